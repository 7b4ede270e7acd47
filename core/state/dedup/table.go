package dedup

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"amaranthline/core"
)

// shards is a power of two, so that the first byte of a digest selects a shard evenly.
const shards = 64

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
func (ver Decision) Kind() Kind { return ver.kind }

// Status returns the status with which a duplicate ran.
func (ver Decision) Status() int { return ver.status }

// Refusal returns the refusal of a request that must not run, or nil.
func (ver Decision) Refusal() *core.Refusal {
	switch ver.kind {
	case KindRun:
		return nil
	case KindDuplicate:
		return core.NewRefusal(core.ReasonDuplicate, core.OutcomeRan, ver.detail)
	case KindInProgress:
		return core.NewRefusal(core.ReasonDuplicate, core.OutcomeUnknown, ver.detail)
	case KindConflict:
		return core.NewRefusal(core.ReasonDuplicate, core.OutcomeNotRun, ver.detail)
	case KindBadKey:
		return core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, ver.detail)
	case KindNotOwner, KindNoQuorum:
		return core.NewRefusal(core.ReasonNoUpstream, core.OutcomeNotRun, ver.detail)
	case KindTableFull:
		return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, ver.detail)
	default:
		return core.NewRefusal(core.ReasonOutcomeUnknown, core.OutcomeUnknown, ver.detail)
	}
}

// record is what a table knows of a key.
type record struct {
	print   core.Fingerprint
	running bool
	outcome core.Outcome // of a request that ended
	status  int
}

// verdict answers a request whose key has a record.
func (rec *record) verdict(fin core.Fingerprint) Decision {
	switch {
	case rec.print != fin:
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
	mut     sync.Mutex
	records map[[sha256.Size]byte]*record
	expired []expiry // in the order in which requests ended
}

// expire drops records at the front of the queue; the caller holds the lock.
func (sha *shard) expire(now time.Time) {
	for len(sha.expired) > 0 && !sha.expired[0].at.After(now) {
		delete(sha.records, sha.expired[0].digest)
		sha.expired = sha.expired[1:]
	}
}

// Table holds the records of the keys that this host owns.
type Table struct {
	set    Settings
	own    *ownership
	shards [shards]shard
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
func (tab *Table) HandleAck(now, sent time.Time, host string, lists []Membership) {
	tab.own.confirm(now, sent, host, lists)
}

// Memberships returns what this host reports to the other hosts of the service: its current list and the earlier ones
// that may still be in use.
func (tab *Table) Memberships(now time.Time) []Membership { return tab.own.lists(now) }

// HasQuorum says whether the host is in contact with a majority of the service's hosts.
func (tab *Table) HasQuorum(now time.Time) bool { return now.Before(tab.own.view.Load().until) }

// Start decides on a request; after KindRun the caller must call Finish.
func (tab *Table) Start(now time.Time, key Key) Decision {
	sha := &tab.shards[key.digest[0]%shards]
	sha.mut.Lock()
	defer sha.mut.Unlock()
	sha.expire(now)
	if rec := sha.records[key.digest]; rec != nil {
		return rec.verdict(key.print)
	}
	if ver := tab.judge(now, key); ver.kind != KindRun {
		return ver
	}
	if len(sha.records) >= (tab.set.MaxRecords+shards-1)/shards {
		return Decision{kind: KindTableFull, detail: "the host keeps no more records of idempotency keys"}
	}
	sha.records[key.digest] = &record{print: key.print, running: true}
	return Decision{kind: KindRun}
}

// judge decides on a key without a record.
func (tab *Table) judge(now time.Time, key Key) Decision {
	cla, takeover := tab.own.view.Load().takeover(now, key.name, tab.set)
	switch cla {
	case claimNone:
		return Decision{kind: KindNotOwner, detail: "another host owns the idempotency key"}
	case claimSuspended:
		return Decision{kind: KindNoQuorum, detail: "the owner of the idempotency key has no contact with a majority of the service's hosts"}
	}
	if key.stamp.IsZero() {
		if now.Sub(takeover) < tab.set.Retention {
			return Decision{kind: KindOutcomeUnknown, detail: "the key may have run before its owner took over; a UUIDv7 key shows its age"}
		}
		return Decision{kind: KindRun}
	}
	diff := tab.set.MaxClockSkew
	switch {
	case key.stamp.After(now.Add(diff)):
		return Decision{kind: KindBadKey, detail: "the time in the UUIDv7 key lies in the future; correct the clock"}
	case !key.stamp.After(now.Add(diff - tab.set.Retention)):
		return Decision{kind: KindOutcomeUnknown, detail: "the UUIDv7 key is older than the records"}
	case !key.stamp.After(takeover.Add(diff)):
		return Decision{kind: KindOutcomeUnknown, detail: "the key may have run before its owner took over"}
	}
	return Decision{kind: KindRun}
}

// Finish records how a request that Start let run ended; one that did not run leaves no record and may be sent again.
func (tab *Table) Finish(now time.Time, key Key, out core.Outcome, status int) {
	sha := &tab.shards[key.digest[0]%shards]
	sha.mut.Lock()
	defer sha.mut.Unlock()
	rec := sha.records[key.digest]
	if rec == nil || !rec.running {
		return
	}
	if out == core.OutcomeNotRun {
		delete(sha.records, key.digest)
		return
	}
	rec.running = false
	rec.outcome = out
	rec.status = status
	sha.expired = append(sha.expired, expiry{digest: key.digest, at: now.Add(tab.set.Retention)})
}
