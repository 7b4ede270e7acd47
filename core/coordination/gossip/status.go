package gossip

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
)

// counters count calls, messages and bytes since the Syncer was created, except waiting, which is a current number.
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

// HeldStatus describes one document in force; PackedBytes is its compressed size.
type HeldStatus struct {
	Name        string
	Version     uint64
	Digest      string
	Bytes       int
	PackedBytes int
}

// RefusedStatus describes a refused document that is newer than the one in force.
type RefusedStatus struct {
	Name    string
	Version uint64
	Digest  string
	Reason  string
}

// Status describes the documents that a node holds and refused, and counts its calls and messages since its start.
type Status struct {
	Held    []HeldStatus
	Refused []RefusedStatus
	Watcher bool
	// FreshAge is the time since the newest known direct read of the platform. While none is known, FreshKnown is false
	// and FreshAge is the time since the start.
	FreshKnown bool
	FreshAge   time.Duration
	// Calls of this node to the platform by cause; Waits are long polls, and Waiting is the number of open ones.
	BootReads, FallbackReads, WatchReads, Waits uint64
	Waiting                                     int64
	Offers, Pulls                               uint64
	MessagesOut, MessagesIn                     uint64
	// BytesOut and BytesIn count messages before framing, multiplexing and encryption.
	BytesOut, BytesIn uint64
}

// PlatformCalls returns the number of all calls to the platform.
func (sta Status) PlatformCalls() uint64 {
	return sta.BootReads + sta.FallbackReads + sta.WatchReads + sta.Waits
}

// missedAfter is the age of the newest known read of the platform from which changes may have been missed. In a large fleet
// some nodes learn of a read only seconds after staleAfter.
const missedAfter = 2 * staleAfter

// Stale reports whether the newest known read of the platform is so old that changes may have been missed.
func (syn *Syncer) Stale() bool {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	age, _ := syn.freshness.Age(time.Now())
	return age > missedAfter
}

// Status returns the current status of the node.
func (syn *Syncer) Status() Status {
	cou := &syn.counts
	sta := Status{
		BootReads: cou.bootReads.Load(), FallbackReads: cou.fallbackReads.Load(),
		WatchReads: cou.watchReads.Load(), Waits: cou.waits.Load(), Waiting: cou.waiting.Load(),
		Offers: cou.offers.Load(), Pulls: cou.pulls.Load(),
		MessagesOut: cou.messagesOut.Load(), MessagesIn: cou.messagesIn.Load(),
		BytesOut: cou.bytesOut.Load(), BytesIn: cou.bytesIn.Load(),
	}
	syn.mut.Lock()
	defer syn.mut.Unlock()
	sta.Watcher = syn.overlay.IsWatcher()
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
