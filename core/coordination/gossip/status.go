package gossip

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

// counters count since the start of the process.
type counters struct {
	bootReads, fallbackReads, watchReads, waits atomic.Uint64
	offers, pulls                               atomic.Uint64
	messagesOut, messagesIn                     atomic.Uint64
	bytesOut, bytesIn                           atomic.Uint64
	waiting                                     atomic.Int64
}

func (cou *counters) countSent(msg proto.Message) {
	cou.messagesOut.Add(1)
	cou.bytesOut.Add(uint64(proto.Size(msg)))
}

func (cou *counters) countReceived(msg proto.Message) {
	if msg == nil {
		return
	}
	cou.messagesIn.Add(1)
	cou.bytesIn.Add(uint64(proto.Size(msg)))
}

// HeldStatus describes one document in force.
type HeldStatus struct {
	Name        string
	Version     uint64
	Digest      string
	Bytes       int
	PackedBytes int
}

// RefusedStatus describes a refused document above the version in force.
type RefusedStatus struct {
	Name    string
	Version uint64
	Digest  string
	Reason  string
}

// Status is what a node holds and did since its start.
type Status struct {
	Held    []HeldStatus
	Refused []RefusedStatus
	Watcher bool
	// FreshKnown is false while no direct read is known; FreshAge is then the time since the start.
	FreshKnown bool
	FreshAge   time.Duration
	// Platform calls of this node by cause; Waiting is the number of watches that wait now.
	BootReads, FallbackReads, WatchReads, Waits uint64
	Waiting                                     int64
	Offers, Pulls                               uint64
	MessagesOut, MessagesIn                     uint64
	// Bytes of messages before framing, multiplexing and encryption.
	BytesOut, BytesIn uint64
}

// PlatformCalls returns all calls to the platform.
func (sta Status) PlatformCalls() uint64 {
	return sta.BootReads + sta.FallbackReads + sta.WatchReads + sta.Waits
}

// Status returns what the node holds and did since its start.
func (syn *Syncer) Status() Status {
	cou := &syn.counts
	sta := Status{
		BootReads: cou.bootReads.Load(), FallbackReads: cou.fallbackReads.Load(),
		WatchReads: cou.watchReads.Load(), Waits: cou.waits.Load(), Waiting: cou.waiting.Load(),
		Offers: cou.offers.Load(), Pulls: cou.pulls.Load(),
		MessagesOut: cou.messagesOut.Load(), MessagesIn: cou.messagesIn.Load(),
		BytesOut: cou.bytesOut.Load(), BytesIn: cou.bytesIn.Load(),
	}
	syn.mu.Lock()
	defer syn.mu.Unlock()
	sta.Watcher = syn.overlay.Watcher()
	sta.FreshAge, sta.FreshKnown = syn.freshness.Age(time.Now())
	sta.Held, sta.Refused = syn.store.status()
	return sta
}

func (sto *Store) status() ([]HeldStatus, []RefusedStatus) {
	var held []HeldStatus
	for _, name := range documentNames {
		if hel, ok := sto.held[name]; ok {
			held = append(held, HeldStatus{
				Name: name, Version: hel.number, Digest: hel.digest.String(), Bytes: hel.size, PackedBytes: len(hel.compressed),
			})
		}
	}
	var refused []RefusedStatus
	for _, doe := range sto.Refused() {
		ver := doe.version
		refused = append(refused, RefusedStatus{
			Name: ver.name, Version: ver.number, Digest: ver.digest.String(), Reason: doe.cause.Error(),
		})
	}
	return held, refused
}
