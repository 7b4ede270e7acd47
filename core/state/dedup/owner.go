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
	age     time.Duration // time since a higher version was seen; zero for the current list
}

// NewMembership returns a list as published, or as a peer reported it with the time since it was superseded.
func NewMembership(version uint64, hosts []string, age time.Duration) Membership {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	return Membership{version: version, hosts: sorted, digest: strings.Join(sorted, "\x00"), age: age}
}

// Version returns the published version.
func (lst Membership) Version() uint64 { return lst.version }

// Hosts returns the hosts in ascending order.
func (lst Membership) Hosts() []string { return lst.hosts }

// Age returns the time since the list was superseded.
func (lst Membership) Age() time.Duration { return lst.age }

// owner returns the host that decl.RendezvousOrder puts first, without its sorting.
func (lst Membership) owner(name string) string {
	best, top := "", uint64(0)
	for _, host := range lst.hosts {
		if score := decl.RendezvousScore(name, host); best == "" || score > top {
			best, top = host, score
		}
	}
	return best
}

// useTerm is a list together with what this host knows about its use.
type useTerm struct {
	Membership
	ended   time.Time // when a higher version was seen; zero for the current list
	held    time.Time // first time that this host held the majority with the list as its current one
	settled bool      // a majority of its hosts has confirmed a later list, so none of them can own by it
}

// standing is an immutable view of the ownership for the request path; terms ascend by version.
type standing struct {
	terms []useTerm
	since time.Time // start of the unbroken contact with all majorities
	until time.Time // end of that contact
}

// confirmation is the list that a host last reported, and when it was asked.
type confirmation struct {
	version uint64
	digest  string
	sent    time.Time
}

// ownership keeps lists and confirmations; every change publishes a new standing.
type ownership struct {
	set       Settings
	mut       sync.Mutex
	confirmed map[string]confirmation
	view      atomic.Pointer[standing]
}

func newOwnership(set Settings) *ownership {
	own := &ownership{set: set, confirmed: map[string]confirmation{}}
	own.view.Store(&standing{})
	return own
}

// setHosts records a published list; a version below the current one is an earlier list that may still be in use.
func (own *ownership) setHosts(now time.Time, lst Membership) {
	own.mut.Lock()
	defer own.mut.Unlock()
	next := own.draft()
	next.insert(now, lst)
	own.publish(now, next)
}

// confirm records the lists that a host reported in answer to a question sent at a time.
func (own *ownership) confirm(now, sent time.Time, host string, lists []Membership) {
	own.mut.Lock()
	defer own.mut.Unlock()
	if len(lists) == 0 || sent.Before(own.confirmed[host].sent) {
		return
	}
	ordered := slices.Clone(lists)
	slices.SortFunc(ordered, func(one, two Membership) int { return cmp.Compare(one.version, two.version) })
	current := ordered[len(ordered)-1]
	next := own.draft()
	for _, lst := range ordered {
		if lst.age < own.set.Retention {
			next.insert(now, lst)
		}
	}
	own.confirmed[host] = confirmation{version: current.version, digest: current.digest, sent: sent}
	own.publish(now, next)
}

// draft returns a copy of the standing.
func (own *ownership) draft() *standing {
	next := *own.view.Load()
	next.terms = slices.Clone(next.terms)
	return &next
}

// insert adds a list in the order of versions; a version that does not change the hosts only renames the current list.
func (sta *standing) insert(now time.Time, lst Membership) {
	last := len(sta.terms) - 1
	if last < 0 {
		sta.terms = []useTerm{{Membership: lst}}
		return
	}
	current := &sta.terms[last]
	if lst.version > current.version && lst.digest == current.digest {
		current.version = lst.version
		return
	}
	if lst.version > current.version {
		current.ended = now
		sta.terms = append(sta.terms, useTerm{Membership: lst})
		return
	}
	at, known := slices.BinarySearchFunc(sta.terms, lst.version, func(tea useTerm, ver uint64) int {
		return cmp.Compare(tea.version, ver)
	})
	// The next higher useTerm with the same hosts is the same list under a later version.
	if known || sta.terms[at].digest == lst.digest {
		return
	}
	sta.terms = slices.Insert(sta.terms, at, useTerm{Membership: lst, ended: now.Add(-lst.age)})
}

// publish drops lists that ended before the retention, evaluates the majorities and stores the new standing.
func (own *ownership) publish(now time.Time, next *standing) {
	next.terms = slices.DeleteFunc(next.terms, func(tea useTerm) bool {
		return !tea.ended.IsZero() && now.Sub(tea.ended) > own.set.Retention
	})
	own.evaluate(now, next)
	own.view.Store(next)
}

// evaluate extends or ends the contact with the majorities of all lists that may still be in use.
func (own *ownership) evaluate(now time.Time, next *standing) {
	last := len(next.terms) - 1
	if last < 0 {
		return
	}
	current := &next.terms[last]
	until := own.contact(current.hosts, next)
	for _, tea := range next.terms[:last] {
		if !tea.settled {
			until = earlier(until, own.contact(tea.hosts, next))
		}
	}
	if !until.After(now) {
		next.until = earlier(next.until, now)
		return
	}
	if next.since.IsZero() || now.Sub(next.until) > own.set.Grace {
		next.since = now
	}
	next.until = until
	if current.held.IsZero() {
		current.held = now
	}
	for i := range next.terms[:last] {
		next.terms[i].settled = true
	}
}

// contact returns until when a majority of hosts is known to use the current list, or the zero time.
func (own *ownership) contact(hosts []string, sta *standing) time.Time {
	last := len(sta.terms) - 1
	digest := sta.terms[last].digest
	// The current list may have the hosts of one before the last; a host that still uses that one has yet to see the last.
	above := uint64(0)
	if last > 0 {
		above = sta.terms[last-1].version
	}
	var sent []time.Time
	for _, host := range hosts {
		if host == own.set.Self {
			sent = append(sent, farFuture)
		} else if con := own.confirmed[host]; con.digest == digest && con.version > above {
			sent = append(sent, con.sent)
		}
	}
	majority := len(hosts)/2 + 1
	if len(sent) < majority {
		return time.Time{}
	}
	slices.SortFunc(sent, func(one, two time.Time) int { return two.Compare(one) })
	return sent[majority-1].Add(own.set.Term)
}

// farFuture stands for the contact of a host with itself.
var farFuture = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

func earlier(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

// lists returns the current list and the earlier ones that may still be in use, for confirmations to peers.
func (own *ownership) lists(now time.Time) []Membership {
	var out []Membership
	for _, tea := range own.view.Load().terms {
		if tea.ended.IsZero() {
			out = append(out, tea.Membership)
		} else if age := now.Sub(tea.ended); !tea.settled && age <= own.set.Retention {
			out = append(out, NewMembership(tea.version, tea.hosts, age))
		}
	}
	return out
}

// claim is what a host may say about a key.
type claim uint8

const (
	claimNone      claim = iota // another host owns the key
	claimSuspended              // this host owns the key but lacks contact with a majority
	claimHeld                   // this host owns the key since its takeover
)

// takeover returns the claim on a key and the time from which this host knows all runs of it.
func (sta *standing) takeover(now time.Time, name string, set Settings) (claim, time.Time) {
	last := len(sta.terms) - 1
	if last < 0 || sta.terms[last].owner(name) != set.Self {
		return claimNone, time.Time{}
	}
	if !now.Before(sta.until) {
		return claimSuspended, time.Time{}
	}
	held := sta.terms[last].held
	for i := last - 1; i >= 0 && sta.terms[i].owner(name) == set.Self; i-- {
		if before := sta.terms[i].held; !before.IsZero() {
			held = before
		}
	}
	if held.Before(sta.since) {
		held = sta.since
	}
	return claimHeld, held.Add(set.takeoverWait())
}
