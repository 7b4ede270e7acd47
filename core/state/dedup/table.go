package dedup

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"amaranthline/core"
)

// shards is a power of two, so that the first byte of a digest selects a shard evenly.
const shardCount = 64

// Settings are the bounds of a table.
type Settings struct {
	Self         string        // this host's name on the list
	Retention    time.Duration // how long a record is kept after its request ended
	MaxClockSkew time.Duration // largest difference between the clocks of a caller and a host
	Term         time.Duration // how long a host's confirmation counts, from when it was asked for
	Grace        time.Duration // longest gap in the contact with a majority that does not end an ownership
	MaxRecords   int           // records kept at once
}

// DefaultSettings returns the settings of a host.
func DefaultSettings(self string) Settings {
	return Settings{
		Self: self, Retention: 10 * time.Minute, MaxClockSkew: 5 * time.Second,
		Term: 3 * time.Second, Grace: time.Second, MaxRecords: 100_000,
	}
}

// takeoverWait outlasts the contact of a former owner, a gap that it may bridge, and the contact after that gap.
func (set Settings) takeoverWait() time.Duration { return set.Term + set.Grace + set.Term }

// Kind is what a table decides on a request.
type Kind uint8

// The kinds of decisions.
const (
	KindRun            Kind = iota // run it and call Finish
	KindDuplicate                  // the key ran with the status of the decision
	KindInProgress                 // the key is running
	KindOutcomeUnknown             // the key may have run; it is not run
	KindConflict                   // the key was used for a request with other content
	KindBadKey                     // the key is a UUIDv7 of the future
	KindNotOwner                   // another host owns the key
	KindNoQuorum                   // this host owns the key but lacks contact with a majority
	KindTableFull                  // the table has no room; old records are never dropped for new keys
)

// Decision is the decision on one request.
type Decision struct {
	kind   Kind
	status int
	detail string
}

// Kind returns the decision.
func (dec Decision) Kind() Kind { return dec.kind }

// Status returns the status with which a duplicate ran.
func (dec Decision) Status() int { return dec.status }

// Refusal returns the refusal of a request that must not run, or nil.
func (dec Decision) Refusal() *core.Refusal {
	switch dec.kind {
	case KindRun:
		return nil
	case KindDuplicate:
		return core.NewRefusal(core.ReasonDuplicate, core.OutcomeRan, dec.detail)
	case KindInProgress:
		return core.NewRefusal(core.ReasonDuplicate, core.OutcomeUnknown, dec.detail)
	case KindConflict:
		return core.NewRefusal(core.ReasonDuplicate, core.OutcomeNotRun, dec.detail)
	case KindBadKey:
		return core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, dec.detail)
	case KindNotOwner, KindNoQuorum:
		return core.NewRefusal(core.ReasonNoUpstream, core.OutcomeNotRun, dec.detail)
	case KindTableFull:
		return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, dec.detail)
	default:
		return core.NewRefusal(core.ReasonOutcomeUnknown, core.OutcomeUnknown, dec.detail)
	}
}

// record is what a table knows of a key.
type record struct {
	fingerprint core.Fingerprint
	running     bool
	outcome     core.Outcome // of a request that ended
	status      int
}

// verdict answers a request whose key has a record.
func (rec *record) decide(fp core.Fingerprint) Decision {
	switch {
	case rec.fingerprint != fp:
		return Decision{kind: KindConflict, detail: "the key was used for a request with another method, path or body"}
	case rec.running:
		return Decision{kind: KindInProgress, detail: "a request with this key is running"}
	case rec.outcome == core.OutcomeRan:
		return Decision{kind: KindDuplicate, status: rec.status, detail: fmt.Sprintf("a request with this key ran and was answered with status %d", rec.status)}
	}
	return Decision{kind: KindOutcomeUnknown, detail: "a request with this key was sent to an upstream and its outcome is not known"}
}

// expiry is the time at which a record may be dropped.
type expiry struct {
	digest [sha256.Size]byte
	at     time.Time
}

// shard holds the records of a part of the keys.
type shard struct {
	mut      sync.Mutex
	records  map[[sha256.Size]byte]*record
	expiries []expiry // in the order in which requests ended
}

// expire drops records at the front of the queue; the caller holds the lock.
func (shd *shard) dropExpired(now time.Time) {
	for len(shd.expiries) > 0 && !shd.expiries[0].at.After(now) {
		delete(shd.records, shd.expiries[0].digest)
		shd.expiries = shd.expiries[1:]
	}
}

// Table holds the records of the keys that this host owns.
type Table struct {
	set    Settings
	own    *ownership
	shards [shardCount]shard
}

// New returns the table of a host that has just started and knows no list.
func New(set Settings) *Table {
	tab := &Table{set: set, own: newOwnership(set)}
	for i := range tab.shards {
		tab.shards[i].records = map[[sha256.Size]byte]*record{}
	}
	return tab
}

// SetHosts records a version of the list of the service's hosts, at start and whenever it changes.
func (tab *Table) SetHosts(now time.Time, version uint64, hosts []string) {
	tab.own.setHosts(now, NewMembership(version, hosts, 0))
}

// HandleAck records the answer of a host of the service, with its Memberships, to a message sent at a time on the local
// clock.
func (tab *Table) HandleAck(now, sent time.Time, host string, memberships []Membership) {
	tab.own.handleAck(now, sent, host, memberships)
}

// Memberships returns what this host reports to the other hosts of the service: its current list and the earlier ones
// that may still be in use.
func (tab *Table) Memberships(now time.Time) []Membership { return tab.own.memberships(now) }

// HasQuorum says whether the host is in contact with a majority of the service's hosts.
func (tab *Table) HasQuorum(now time.Time) bool { return now.Before(tab.own.latest.Load().quorumUntil) }

// Start decides on a request; after KindRun the caller must call Finish.
func (tab *Table) Start(now time.Time, key Key) Decision {
	shd := &tab.shards[key.digest[0]%shardCount]
	shd.mut.Lock()
	defer shd.mut.Unlock()
	shd.dropExpired(now)
	if rec := shd.records[key.digest]; rec != nil {
		return rec.decide(key.fingerprint)
	}
	if dec := tab.decideNewKey(now, key); dec.kind != KindRun {
		return dec
	}
	if len(shd.records) >= (tab.set.MaxRecords+shardCount-1)/shardCount {
		return Decision{kind: KindTableFull, detail: "the host keeps no more records of idempotency keys"}
	}
	shd.records[key.digest] = &record{fingerprint: key.fingerprint, running: true}
	return Decision{kind: KindRun}
}

// judge decides on a key without a record.
func (tab *Table) decideNewKey(now time.Time, key Key) Decision {
	ost, takeover := tab.own.latest.Load().ownerSince(now, key.rendezvousKey, tab.set)
	switch ost {
	case stateNotOwner:
		return Decision{kind: KindNotOwner, detail: "another host owns the idempotency key"}
	case stateNoQuorum:
		return Decision{kind: KindNoQuorum, detail: "the owner of the idempotency key has no contact with a majority of the service's hosts"}
	}
	if key.timestamp.IsZero() {
		if now.Sub(takeover) < tab.set.Retention {
			return Decision{kind: KindOutcomeUnknown, detail: "the key may have run before its owner took over; a UUIDv7 key shows its age"}
		}
		return Decision{kind: KindRun}
	}
	skew := tab.set.MaxClockSkew
	switch {
	case key.timestamp.After(now.Add(skew)):
		return Decision{kind: KindBadKey, detail: "the time in the UUIDv7 key lies in the future; correct the clock"}
	case !key.timestamp.After(now.Add(skew - tab.set.Retention)):
		return Decision{kind: KindOutcomeUnknown, detail: "the UUIDv7 key is older than the records"}
	case !key.timestamp.After(takeover.Add(skew)):
		return Decision{kind: KindOutcomeUnknown, detail: "the key may have run before its owner took over"}
	}
	return Decision{kind: KindRun}
}

// Finish records how a request that Start let run ended; one that did not run leaves no record and may be sent again.
func (tab *Table) Finish(now time.Time, key Key, out core.Outcome, status int) {
	shd := &tab.shards[key.digest[0]%shardCount]
	shd.mut.Lock()
	defer shd.mut.Unlock()
	rec := shd.records[key.digest]
	if rec == nil || !rec.running {
		return
	}
	if out == core.OutcomeNotRun {
		delete(shd.records, key.digest)
		return
	}
	rec.running = false
	rec.outcome = out
	rec.status = status
	shd.expiries = append(shd.expiries, expiry{digest: key.digest, at: now.Add(tab.set.Retention)})
}
