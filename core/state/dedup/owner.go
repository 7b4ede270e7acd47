package dedup

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core/state/decl"
)

// Membership is one version of the list of a service's hosts.
type Membership struct {
	version uint64
	hosts   []string
	digest  string
	age     time.Duration // time since a higher version was seen; zero for the current membership
}

// NewMembership returns a membership as published with age zero, or as a peer reported it with the time since a higher
// version was seen.
func NewMembership(version uint64, hosts []string, age time.Duration) Membership {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	return Membership{version: version, hosts: sorted, digest: strings.Join(sorted, "\x00"), age: age}
}

// Version returns the version under which the list was published.
func (mem Membership) Version() uint64 { return mem.version }

// Hosts returns the hosts in ascending order.
func (mem Membership) Hosts() []string { return mem.hosts }

// Age returns the time since a higher version was seen, or zero for the current membership.
func (mem Membership) Age() time.Duration { return mem.age }

// owner returns the host that decl.RendezvousOrder puts first, without sorting all hosts.
func (mem Membership) owner(key string) string {
	best, bestScore := "", uint64(0)
	for _, host := range mem.hosts {
		if score := decl.RendezvousScore(key, host); best == "" || score > bestScore {
			best, bestScore = host, score
		}
	}
	return best
}

// trackedMembership is a membership with what this host knows about its use.
type trackedMembership struct {
	Membership
	supersededAt  time.Time // when a higher version was seen; zero for the current membership
	firstQuorumAt time.Time // first time that this host had a quorum while the membership was its current one
	// retired is true once a majority of the membership's hosts has confirmed a later one, so that no host of this
	// membership can own keys by it.
	retired bool
}

// snapshot is the immutable state that the request path reads; its memberships ascend by version, and the last one is
// the current one.
type snapshot struct {
	memberships []trackedMembership
	quorumSince time.Time // start of the present quorum; gaps of at most Settings.Grace do not end it
	quorumUntil time.Time // until when the acks so far prove the quorum
}

// ackRecord is the current membership that a host last reported, and when the message that it answered was sent.
type ackRecord struct {
	version uint64
	digest  string
	sent    time.Time
}

// ownership keeps memberships and acks; every change stores a new snapshot.
type ownership struct {
	settings Settings
	mut      sync.Mutex
	acks     map[string]ackRecord
	latest   atomic.Pointer[snapshot]
}

func newOwnership(set Settings) *ownership {
	own := &ownership{settings: set, acks: map[string]ackRecord{}}
	own.latest.Store(&snapshot{})
	return own
}

// setHosts records a published membership; one with a version below the current one may still be in use.
func (own *ownership) setHosts(now time.Time, mem Membership) {
	own.mut.Lock()
	defer own.mut.Unlock()
	next := own.copyLatest()
	next.insert(now, mem)
	own.store(now, next)
}

// handleAck records the memberships that a host reported in answer to a message that this host sent at the time sent.
func (own *ownership) handleAck(now, sent time.Time, host string, memberships []Membership) {
	own.mut.Lock()
	defer own.mut.Unlock()
	if len(memberships) == 0 || sent.Before(own.acks[host].sent) {
		return
	}
	ordered := slices.Clone(memberships)
	slices.SortFunc(ordered, func(one, two Membership) int { return cmp.Compare(one.version, two.version) })
	current := ordered[len(ordered)-1]
	next := own.copyLatest()
	for _, mem := range ordered {
		if mem.age < own.settings.Retention {
			next.insert(now, mem)
		}
	}
	own.acks[host] = ackRecord{version: current.version, digest: current.digest, sent: sent}
	own.store(now, next)
}

// copyLatest returns a copy of the latest snapshot that may be changed.
func (own *ownership) copyLatest() *snapshot {
	next := *own.latest.Load()
	next.memberships = slices.Clone(next.memberships)
	return &next
}

// insert adds a membership in the order of versions; a higher version with the same hosts only raises the version of
// the current membership.
func (sna *snapshot) insert(now time.Time, mem Membership) {
	last := len(sna.memberships) - 1
	if last < 0 {
		sna.memberships = []trackedMembership{{Membership: mem}}
		return
	}
	current := &sna.memberships[last]
	if mem.version > current.version && mem.digest == current.digest {
		current.version = mem.version
		return
	}
	if mem.version > current.version {
		current.supersededAt = now
		sna.memberships = append(sna.memberships, trackedMembership{Membership: mem})
		return
	}
	at, known := slices.BinarySearchFunc(sna.memberships, mem.version, func(trk trackedMembership, ver uint64) int {
		return cmp.Compare(trk.version, ver)
	})
	// If the next higher membership has the same hosts, it is the same list under a later version.
	if known || sna.memberships[at].digest == mem.digest {
		return
	}
	sna.memberships = slices.Insert(sna.memberships, at, trackedMembership{Membership: mem, supersededAt: now.Add(-mem.age)})
}

// store drops memberships that were superseded longer ago than the retention, updates the quorum and stores the
// snapshot.
func (own *ownership) store(now time.Time, next *snapshot) {
	next.memberships = slices.DeleteFunc(next.memberships, func(trk trackedMembership) bool {
		return !trk.supersededAt.IsZero() && now.Sub(trk.supersededAt) > own.settings.Retention
	})
	own.updateQuorum(now, next)
	own.latest.Store(next)
}

// updateQuorum extends or ends the contact with the majorities of all memberships that may still be in use.
func (own *ownership) updateQuorum(now time.Time, next *snapshot) {
	last := len(next.memberships) - 1
	if last < 0 {
		return
	}
	current := &next.memberships[last]
	until := own.quorumUntil(current.hosts, next)
	for _, trk := range next.memberships[:last] {
		if !trk.retired {
			until = earlier(until, own.quorumUntil(trk.hosts, next))
		}
	}
	if !until.After(now) {
		next.quorumUntil = earlier(next.quorumUntil, now)
		return
	}
	if next.quorumSince.IsZero() || now.Sub(next.quorumUntil) > own.settings.Grace {
		next.quorumSince = now
	}
	next.quorumUntil = until
	if current.firstQuorumAt.IsZero() {
		current.firstQuorumAt = now
	}
	for i := range next.memberships[:last] {
		next.memberships[i].retired = true
	}
}

// quorumUntil returns until when a majority of the hosts is known to use the current membership, or the zero time
// without such a majority.
func (own *ownership) quorumUntil(hosts []string, sna *snapshot) time.Time {
	last := len(sna.memberships) - 1
	digest := sna.memberships[last].digest
	// The current membership may have the same hosts as an earlier one, with another in between. A host that reports at
	// most the version in between may still use the earlier one, so its ack does not count.
	previousVersion := uint64(0)
	if last > 0 {
		previousVersion = sna.memberships[last-1].version
	}
	var sent []time.Time
	for _, host := range hosts {
		if host == own.settings.Host {
			sent = append(sent, farFuture)
		} else if ack := own.acks[host]; ack.digest == digest && ack.version > previousVersion {
			sent = append(sent, ack.sent)
		}
	}
	majority := len(hosts)/2 + 1
	if len(sent) < majority {
		return time.Time{}
	}
	slices.SortFunc(sent, func(one, two time.Time) int { return two.Compare(one) })
	return sent[majority-1].Add(own.settings.AckLifetime)
}

// farFuture stands in for the send time of acks from the host itself, which never expire.
var farFuture = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

func earlier(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

// memberships returns the current membership and the earlier ones that may still be in use, for acks to peers.
func (own *ownership) memberships(now time.Time) []Membership {
	var out []Membership
	for _, trk := range own.latest.Load().memberships {
		if trk.supersededAt.IsZero() {
			out = append(out, trk.Membership)
		} else if age := now.Sub(trk.supersededAt); !trk.retired && age <= own.settings.Retention {
			out = append(out, NewMembership(trk.version, trk.hosts, age))
		}
	}
	return out
}

// keyOwnership is whether this host owns a key and, if so, whether it has the quorum that it needs to run it.
type keyOwnership uint8

const (
	keyNotOwned      keyOwnership = iota // another host owns the key
	keyOwnedNoQuorum                     // this host owns the key but lacks a quorum
	keyOwned                             // this host owns the key and has a quorum
)

// ownerSince returns whether this host owns a key and, for keyOwned, the time of its takeover, since which it knows
// all runs of the key.
func (sna *snapshot) ownerSince(now time.Time, key string, set Settings) (keyOwnership, time.Time) {
	last := len(sna.memberships) - 1
	if last < 0 || sna.memberships[last].owner(key) != set.Host {
		return keyNotOwned, time.Time{}
	}
	if !now.Before(sna.quorumUntil) {
		return keyOwnedNoQuorum, time.Time{}
	}
	ownedSince := sna.memberships[last].firstQuorumAt
	for i := last - 1; i >= 0 && sna.memberships[i].owner(key) == set.Host; i-- {
		if firstQuorumAt := sna.memberships[i].firstQuorumAt; !firstQuorumAt.IsZero() {
			ownedSince = firstQuorumAt
		}
	}
	if ownedSince.Before(sna.quorumSince) {
		ownedSince = sna.quorumSince
	}
	return keyOwned, ownedSince.Add(set.takeoverWait())
}
