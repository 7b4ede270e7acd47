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
	membershipInterval = time.Second // a fourth of the term for which a host's confirmation counts
	exchangeTimeout    = 500 * time.Millisecond
	broadcastAttempts  = 3
	broadcastPause     = 200 * time.Millisecond
)

// Settings configures an Exchanger.
type Settings struct {
	Host  string // ID of this node's host
	Peers core.Peers
	Dedup *dedup.Table
	Crash *crash.Detector
}

// Exchanger exchanges memberships and state updates of fingerprints with the other hosts of a service.
type Exchanger struct {
	settings   Settings
	otherHosts atomic.Pointer[[]string]
	updates    chan []crash.StateUpdate
}

// New returns an exchanger that knows no other host.
func New(set Settings) *Exchanger {
	exc := &Exchanger{settings: set, updates: make(chan []crash.StateUpdate, 64)}
	exc.otherHosts.Store(&[]string{})
	return exc
}

// SetHosts sets the membership of the service: a version of the list of its hosts, this host included.
func (exc *Exchanger) SetHosts(now time.Time, version uint64, hosts []string) {
	exc.settings.Dedup.SetHosts(now, version, hosts)
	others := slices.DeleteFunc(slices.Clone(hosts), func(host string) bool { return host == exc.settings.Host })
	exc.otherHosts.Store(&others)
}

// Run exchanges memberships each second and sends state updates, until the context ends.
func (exc *Exchanger) Run(ctx context.Context) error {
	tick := time.NewTicker(membershipInterval)
	defer tick.Stop()
	var grp sync.WaitGroup
	defer grp.Wait()
	for {
		select {
		case <-tick.C:
			grp.Go(func() { exc.exchangeMemberships(ctx) })
		case updates := <-exc.updates:
			grp.Go(func() { exc.broadcast(ctx, updates) })
		case <-ctx.Done():
			return nil
		}
	}
}

// exchangeMemberships asks all other hosts for the memberships that they know. A reply counts as contact at the time at which
// its request was sent, so that a slow reply never prolongs this host's quorum.
func (exc *Exchanger) exchangeMemberships(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var grp sync.WaitGroup
	for _, host := range *exc.otherHosts.Load() {
		grp.Go(func() {
			sent := time.Now()
			reply, err := exc.settings.Peers.Exchange(ctx, host, &wire.ServiceLists{})
			if msg, ok := reply.(*wire.ServiceLists); ok && err == nil {
				exc.settings.Dedup.HandleAck(time.Now(), sent, host, membershipsFromWire(msg))
			}
		})
	}
	grp.Wait()
}

// BroadcastUpdates queues state updates for the other hosts of the service and never blocks, since requests wait for
// it.
func (exc *Exchanger) BroadcastUpdates(updates ...crash.StateUpdate) {
	if len(updates) == 0 {
		return
	}
	select {
	case exc.updates <- updates:
	default: // 64 batches of updates are queued; these are dropped, and the next crash produces them again
	}
}

// broadcast sends state updates and retries the hosts that did not confirm them, because a host that does not know of a
// blocked fingerprint can lose its upstream to the same request.
func (exc *Exchanger) broadcast(ctx context.Context, updates []crash.StateUpdate) {
	unconfirmed := *exc.otherHosts.Load()
	for attempt := 0; attempt < broadcastAttempts && len(unconfirmed) > 0; attempt++ {
		unconfirmed = exc.sendUpdates(ctx, unconfirmed, updates)
		if len(unconfirmed) == 0 || !sleep(ctx, broadcastPause) {
			return
		}
	}
}

// sendUpdates sends state updates to hosts and returns the hosts that did not confirm all of them.
func (exc *Exchanger) sendUpdates(ctx context.Context, hosts []string, updates []crash.StateUpdate) []string {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var mut sync.Mutex
	var unconfirmed []string
	var grp sync.WaitGroup
	for _, host := range hosts {
		grp.Go(func() {
			for _, upd := range updates {
				fin := upd.Fingerprint()
				msg := &wire.Suspect{Fingerprint: fin[:], State: uint32(upd.State())}
				if _, err := exc.settings.Peers.Exchange(ctx, host, msg); err != nil {
					mut.Lock()
					unconfirmed = append(unconfirmed, host)
					mut.Unlock()
					return
				}
			}
		})
	}
	grp.Wait()
	return unconfirmed
}

// sleep waits for a pause and reports whether it ended before the context did.
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

// HandleControl replies to ServiceLists and Suspect messages; handled is false for all others.
func (exc *Exchanger) HandleControl(_ context.Context, _ string, msg proto.Message) (reply proto.Message, handled bool, err error) {
	now := time.Now()
	switch req := msg.(type) {
	case *wire.ServiceLists:
		return membershipsToWire(exc.settings.Dedup.Memberships(now)), true, nil
	case *wire.Suspect:
		var fin core.Fingerprint
		if len(req.GetFingerprint()) == len(fin) {
			copy(fin[:], req.GetFingerprint())
			exc.settings.Crash.Merge(now, fin, crash.State(req.GetState()))
		}
		return &wire.Done{}, true, nil
	}
	return nil, false, nil
}

func membershipsToWire(memberships []dedup.Membership) *wire.ServiceLists {
	msg := &wire.ServiceLists{}
	for _, mem := range memberships {
		msg.Lists = append(msg.Lists, &wire.HostList{Version: mem.Version(), Hosts: mem.Hosts(), AgeNanos: int64(mem.Age())})
	}
	return msg
}

func membershipsFromWire(msg *wire.ServiceLists) []dedup.Membership {
	memberships := make([]dedup.Membership, 0, len(msg.GetLists()))
	for _, lst := range msg.GetLists() {
		memberships = append(memberships, dedup.NewMembership(lst.GetVersion(), lst.GetHosts(), time.Duration(lst.GetAgeNanos())))
	}
	return memberships
}
