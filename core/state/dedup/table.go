package dedup

import (
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"amaranthline/core"
)

// shardCount is a power of two, so that the first byte of a digest selects a shard evenly.
const shardCount = 64

// Settings configures a table.
type Settings struct {
	Host         string        // ID of this node's host, as in the memberships
	Retention    time.Duration // how long a record is kept after its request ended
	MaxClockSkew time.Duration // largest difference between the clocks of a caller and a host
	AckLifetime  time.Duration // how long an ack proves contact with a host, from when the message that it answers was sent
	Grace        time.Duration // longest gap in the quorum that does not end the ownership
	MaxRecords   int           // most records kept at once
}

// DefaultSettings returns the settings for a host of the given name.
func DefaultSettings(self string) Settings {
	return Settings{
		Host: self, Retention: 10 * time.Minute, MaxClockSkew: 5 * time.Second,
		AckLifetime: 3 * time.Second, Grace: time.Second, MaxRecords: 100_000,
	}
}

// takeoverWait outlasts the quorum of a former owner, a gap in it of at most Grace, and the quorum after that gap.
func (set Settings) takeoverWait() time.Duration {
	return set.AckLifetime + set.Grace + set.AckLifetime
}

// Kind is the kind of a decision on a request.
type Kind uint8

// The kinds of decisions.
const (
	KindRun            Kind = iota // run the request, then call Finish
	KindDuplicate                  // a request with the key ran and was answered with the decision's Status
	KindInProgress                 // a request with the key is running
	KindOutcomeUnknown             // a request with the key may have run, so this one must not
	KindConflict                   // the key was used for a request with other content
	KindFutureKey                  // the timestamp of a UUIDv7 key is in the future
	KindNotOwner                   // another host owns the key
	KindNoQuorum                   // this host owns the key but lacks a quorum
	KindTableFull                  // the table is full; records are never dropped for new keys
)

// Decision reports whether a request may run, and why not.
type Decision struct {
	kind   Kind
	status int
	detail string
}

// Kind returns the kind of the decision.
func (dec Decision) Kind() Kind { return dec.kind }

// Status returns the HTTP status of the earlier answer for KindDuplicate, otherwise 0.
func (dec Decision) Status() int { return dec.status }

// Refusal returns the refusal of a request that must not run, or nil if the request may run.
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
	case KindFutureKey:
		return core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, dec.detail)
	case KindNotOwner, KindNoQuorum:
		return core.NewRefusal(core.ReasonNoUpstream, core.OutcomeNotRun, dec.detail)
	case KindTableFull:
		return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, dec.detail)
	default:
		return core.NewRefusal(core.ReasonOutcomeUnknown, core.OutcomeUnknown, dec.detail)
	}
}

// record is what a table knows about a key that it ran.
type record struct {
	fingerprint core.Fingerprint
	running     bool
	outcome     core.Outcome // meaningful once running is false
	status      int
}

// decide decides on a request with the given fingerprint whose key has this record.
func (rec *record) decide(fp core.Fingerprint) Decision {
	switch {
	case rec.fingerprint != fp:
		return Decision{kind: KindConflict, detail: "the idempotency key was already used for a request with another method, path or body"}
	case rec.running:
		return Decision{kind: KindInProgress, detail: "a request with this idempotency key is running"}
	case rec.outcome == core.OutcomeRan:
		return Decision{kind: KindDuplicate, status: rec.status, detail: fmt.Sprintf("a request with this idempotency key ran and was answered with status %d", rec.status)}
	}
	return Decision{kind: KindOutcomeUnknown, detail: "a request with this idempotency key was sent to an upstream and its outcome is not known"}
}

// expiry is the time at which a record may be dropped.
type expiry struct {
	digest [sha256.Size]byte
	at     time.Time
}

// shard holds the records of the keys whose digests select it.
type shard struct {
	mut      sync.Mutex
	records  map[[sha256.Size]byte]*record
	expiries []expiry // of ended requests, in the order of their ends
}

// dropExpired drops the records whose retention has passed; the caller holds the lock.
func (shd *shard) dropExpired(now time.Time) {
	for len(shd.expiries) > 0 && !shd.expiries[0].at.After(now) {
		delete(shd.records, shd.expiries[0].digest)
		shd.expiries = shd.expiries[1:]
	}
}

// Table holds the records of the keys that this host owns.
type Table struct {
	settings Settings
	own      *ownership
	shards   [shardCount]shard
}

// New returns the table of a host that has just started and knows no membership.
func New(set Settings) *Table {
	tab := &Table{settings: set, own: newOwnership(set)}
	for i := range tab.shards {
		tab.shards[i].records = map[[sha256.Size]byte]*record{}
	}
	return tab
}

// SetHosts records a version of the published list of the service's hosts, at start and whenever it changes.
func (tab *Table) SetHosts(now time.Time, version uint64, hosts []string) {
	tab.own.setHosts(now, NewMembership(version, hosts, 0))
}

// HandleAck records the ack of a host of the service: its Memberships, in answer to a message that this host sent at
// the time sent on the local clock.
func (tab *Table) HandleAck(now, sent time.Time, host string, memberships []Membership) {
	tab.own.handleAck(now, sent, host, memberships)
}

// Memberships returns what this host reports in acks to the other hosts of the service: its current membership and the
// earlier ones that may still be in use.
func (tab *Table) Memberships(now time.Time) []Membership { return tab.own.memberships(now) }

// HasQuorum reports whether the host is in contact with a majority of the hosts of each membership that may be in use.
func (tab *Table) HasQuorum(now time.Time) bool { return now.Before(tab.own.latest.Load().quorumUntil) }

// Start decides whether a request may run; after KindRun the caller must call Finish.
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
	if len(shd.records) >= (tab.settings.MaxRecords+shardCount-1)/shardCount {
		return Decision{kind: KindTableFull, detail: "the host's table of idempotency keys is full"}
	}
	shd.records[key.digest] = &record{fingerprint: key.fingerprint, running: true}
	return Decision{kind: KindRun}
}

// decideNewKey decides on a request whose key has no record.
func (tab *Table) decideNewKey(now time.Time, key Key) Decision {
	kow, takeover := tab.own.latest.Load().ownerSince(now, key.rendezvousKey, tab.settings)
	switch kow {
	case keyNotOwned:
		return Decision{kind: KindNotOwner, detail: "another host owns the idempotency key"}
	case keyOwnedNoQuorum:
		return Decision{kind: KindNoQuorum, detail: "the host that owns the idempotency key has no contact with a majority of the service's hosts"}
	}
	if key.timestamp.IsZero() {
		if now.Sub(takeover) < tab.settings.Retention {
			return Decision{kind: KindOutcomeUnknown, detail: "the idempotency key may have run before this host became its owner; use a UUIDv7 key, whose timestamp shows its age"}
		}
		return Decision{kind: KindRun}
	}
	skew := tab.settings.MaxClockSkew
	switch {
	case key.timestamp.After(now.Add(skew)):
		return Decision{kind: KindFutureKey, detail: "the timestamp of the UUIDv7 idempotency key is in the future; correct the caller's clock"}
	case !key.timestamp.After(now.Add(skew - tab.settings.Retention)):
		return Decision{kind: KindOutcomeUnknown, detail: "the UUIDv7 idempotency key is older than the retention of records"}
	case !key.timestamp.After(takeover.Add(skew)):
		return Decision{kind: KindOutcomeUnknown, detail: "the idempotency key may have run before this host became its owner"}
	}
	return Decision{kind: KindRun}
}

// Finish records how a request that Start let run has ended; a request with core.OutcomeNotRun leaves no record, so its
// key may be sent again.
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
	shd.expiries = append(shd.expiries, expiry{digest: key.digest, at: now.Add(tab.settings.Retention)})
}
