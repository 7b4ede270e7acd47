package fanout

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/dedup"
	"amaranthline/io/protocol/wire"

	"google.golang.org/protobuf/proto"
)

const (
	contactInterval = time.Second // a fourth of the term for which a contact counts
	contactTimeout  = 500 * time.Millisecond
	broadcastTries  = 3
	broadcastPause  = 200 * time.Millisecond
)

// Settings configures an Exchanger.
type Settings struct {
	Host  string
	Peers core.Peers
	Dedup *dedup.Table
	Crash *crash.Detector
}

// Exchanger exchanges ownership lists and suspects with the hosts of the own service.
type Exchanger struct {
	set   Settings
	hosts atomic.Pointer[[]string]
	marks chan []crash.StateUpdate
}

// New returns an exchanger without hosts.
func New(set Settings) *Exchanger {
	gua := &Exchanger{set: set, marks: make(chan []crash.StateUpdate, 64)}
	gua.hosts.Store(&[]string{})
	return gua
}

// SetHosts takes a version of the list of the service's hosts.
func (gua *Exchanger) SetHosts(now time.Time, version uint64, hosts []string) {
	gua.set.Dedup.SetHosts(now, version, hosts)
	others := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == gua.set.Host })
	gua.hosts.Store(&others)
}

// Run exchanges lists each second and sends state updates until the context ends.
func (gua *Exchanger) Run(ctx context.Context) error {
	tick := time.NewTicker(contactInterval)
	defer tick.Stop()
	var grp sync.WaitGroup
	defer grp.Wait()
	for {
		select {
		case <-tick.C:
			grp.Go(func() { gua.contact(ctx) })
		case marks := <-gua.marks:
			grp.Go(func() { gua.spread(ctx, marks) })
		case <-ctx.Done():
			return nil
		}
	}
}

// contact asks all other hosts for their lists. The time of sending counts, so that a slow answer
// never prolongs a contact.
func (gua *Exchanger) contact(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	var grp sync.WaitGroup
	for _, host := range *gua.hosts.Load() {
		grp.Go(func() {
			sent := time.Now()
			reply, err := gua.set.Peers.Exchange(ctx, host, &wire.ServiceLists{})
			if msg, ok := reply.(*wire.ServiceLists); ok && err == nil {
				gua.set.Dedup.HandleAck(time.Now(), sent, host, toLists(msg))
			}
		})
	}
	grp.Wait()
}

// BroadcastStates sends state updates to the other hosts of the service; it does not block the request path.
func (gua *Exchanger) BroadcastStates(marks ...crash.StateUpdate) {
	if len(marks) == 0 {
		return
	}
	select {
	case gua.marks <- marks:
	default: // more than 64 crashes wait to be sent; the next crash marks the request again
	}
}

// spread repeats state updates to hosts that did not answer, because a host that misses a conviction can
// lose its upstream to the same request.
func (gua *Exchanger) spread(ctx context.Context, marks []crash.StateUpdate) {
	missing := *gua.hosts.Load()
	for try := 0; try < broadcastTries && len(missing) > 0; try++ {
		missing = gua.send(ctx, missing, marks)
		if len(missing) == 0 || !sleep(ctx, broadcastPause) {
			return
		}
	}
}

// send returns the hosts that did not take all state updates.
func (gua *Exchanger) send(ctx context.Context, hosts []string, marks []crash.StateUpdate) []string {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	var mut sync.Mutex
	var missing []string
	var grp sync.WaitGroup
	for _, host := range hosts {
		grp.Go(func() {
			for _, mar := range marks {
				fin := mar.Fingerprint()
				msg := &wire.Suspect{Fingerprint: fin[:], State: uint32(mar.State())}
				if _, err := gua.set.Peers.Exchange(ctx, host, msg); err != nil {
					mut.Lock()
					missing = append(missing, host)
					mut.Unlock()
					return
				}
			}
		})
	}
	grp.Wait()
	return missing
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// HandleControl answers ServiceLists and Suspect messages.
func (gua *Exchanger) HandleControl(_ context.Context, _ string, msg proto.Message) (reply proto.Message, handled bool, err error) {
	now := time.Now()
	switch req := msg.(type) {
	case *wire.ServiceLists:
		return fromLists(gua.set.Dedup.Memberships(now)), true, nil
	case *wire.Suspect:
		var fin core.Fingerprint
		if len(req.GetFingerprint()) == len(fin) {
			copy(fin[:], req.GetFingerprint())
			gua.set.Crash.Merge(now, fin, crash.State(req.GetState()))
		}
		return &wire.Done{}, true, nil
	}
	return nil, false, nil
}

func fromLists(lists []dedup.Membership) *wire.ServiceLists {
	msg := &wire.ServiceLists{}
	for _, lst := range lists {
		msg.Lists = append(msg.Lists, &wire.HostList{Version: lst.Version(), Hosts: lst.Hosts(), AgeNanos: int64(lst.Age())})
	}
	return msg
}

func toLists(msg *wire.ServiceLists) []dedup.Membership {
	lists := make([]dedup.Membership, 0, len(msg.GetLists()))
	for _, lst := range msg.GetLists() {
		lists = append(lists, dedup.NewMembership(lst.GetVersion(), lst.GetHosts(), time.Duration(lst.GetAgeNanos())))
	}
	return lists
}
