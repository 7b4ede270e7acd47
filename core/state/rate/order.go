package rate

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"amaranthline/core/state/decl"
)

const (
	// One host grants the tokens of a group of teams. The number of groups grows with the fleet, so that a granter answers
	// about as many requests for tokens as hostsPerGroup hosts send; a host keeps a connection to each granter.
	hostsPerGroup = 24
	minGroups     = 4
	maxGroups     = 64
	// maxRanked is how many hosts of a group's order are known: in each part of a partition one of them should be left.
	maxRanked = 24
	// maxSilent is how many hosts may not reply in time before only hosts of the own failure domain are asked: when it is
	// cut off from the others, all other hosts are silent.
	maxSilent = 2
	// avoidTime is how long a host that did not reply is not asked.
	avoidTime = 300 * time.Millisecond
)

// Order names the hosts that grant the tokens of each team. It is safe for concurrent use.
type Order struct {
	self string

	mut        sync.Mutex
	hosts      []string
	local      map[string]bool // hosts in the failure domain of this host
	ranked     [][]string      // by group of teams: hosts in the order in which they are asked; nil until first used
	firstSince []time.Time     // by group: since when this host is the first, or zero
	avoidUntil map[string]time.Time
}

// NewOrder returns an order without hosts for the host self.
func NewOrder(self string) *Order { return &Order{self: self, avoidUntil: map[string]time.Time{}} }

// groupCount returns the number of groups of teams in a fleet.
func groupCount(hosts int) int { return min(max(hosts/hostsPerGroup, minGroups), maxGroups) }

// SetHosts sets the hosts that may grant tokens; local holds those in the failure domain of this host.
func (ord *Order) SetHosts(now time.Time, hosts []string, local map[string]bool) {
	count := groupCount(len(hosts))
	ord.mut.Lock()
	defer ord.mut.Unlock()
	since := make([]time.Time, count)
	for i := range since {
		if !isFirst(groupKey(i), ord.self, hosts) {
			continue
		}
		since[i] = now
		if count == len(ord.firstSince) && !ord.firstSince[i].IsZero() {
			since[i] = ord.firstSince[i]
		}
	}
	ord.hosts, ord.local, ord.ranked, ord.firstSince = hosts, local, make([][]string, count), since
}

// groupKey returns the key of the rendezvous hashing of a group.
func groupKey(group int) string { return fmt.Sprintf("rate/%d", group) }

// isFirst reports whether a host is the first in the order of the given hosts for a key.
func isFirst(key, self string, hosts []string) bool {
	score, listed := decl.RendezvousScore(key, self), false
	for _, host := range hosts {
		if host == self {
			listed = true
		} else if other := decl.RendezvousScore(key, host); other > score || other == score && host < self {
			return false
		}
	}
	return listed
}

// rank returns the order of a group. The caller holds the lock.
func (ord *Order) rank(group int) []string {
	if ord.ranked[group] == nil {
		ids := decl.RendezvousOrder(groupKey(group), ord.hosts)
		ord.ranked[group] = slices.Clone(ids[:min(maxRanked, len(ids))])
	}
	return ord.ranked[group]
}

// Search asks the hosts of an order in turn until one replies.
type Search struct {
	order  *Order
	left   []string
	silent int
}

// Search starts a search for a host that grants tokens of a team; it leaves out hosts that are not reachable as far as
// is known, and those that come after this host.
func (ord *Order) Search(now time.Time, team string, reachable func(host string) bool) *Search {
	sea := &Search{order: ord}
	for _, host := range ord.untilSelf(now, team) {
		if host == ord.self || reachable(host) {
			sea.left = append(sea.left, host)
		}
	}
	return sea
}

// untilSelf returns the hosts in the order for a team that replied lately as far as is known, up to this host.
func (ord *Order) untilSelf(now time.Time, team string) []string {
	ord.mut.Lock()
	defer ord.mut.Unlock()
	if len(ord.ranked) == 0 {
		return nil
	}
	var out []string
	for _, host := range ord.rank(decl.RateGroup(team, len(ord.ranked))) {
		if host == ord.self {
			return append(out, host)
		}
		if !now.Before(ord.avoidUntil[host]) {
			out = append(out, host)
		}
	}
	return out
}

// Next returns the next host to ask, or false if none is left.
func (sea *Search) Next() (string, bool) {
	for len(sea.left) > 0 {
		host := sea.left[0]
		sea.left = sea.left[1:]
		if sea.silent < maxSilent || sea.order.isLocal(host) {
			return host, true
		}
	}
	return "", false
}

// Failed records that a host could not be reached or, if it was silent, did not reply in time.
func (sea *Search) Failed(now time.Time, host string, silent bool) {
	if silent {
		sea.silent++
	}
	sea.order.avoid(now, host)
}

func (ord *Order) isLocal(host string) bool {
	ord.mut.Lock()
	defer ord.mut.Unlock()
	return ord.local[host]
}

// FirstSince returns since when this host is the first in the order for a team, or the zero time if it is not.
func (ord *Order) FirstSince(team string) time.Time {
	ord.mut.Lock()
	defer ord.mut.Unlock()
	if len(ord.ranked) == 0 {
		return time.Time{}
	}
	return ord.firstSince[decl.RateGroup(team, len(ord.ranked))]
}

// avoid keeps a host that did not reply from being asked for a while.
func (ord *Order) avoid(now time.Time, host string) {
	ord.mut.Lock()
	defer ord.mut.Unlock()
	for id, until := range ord.avoidUntil {
		if !now.Before(until) {
			delete(ord.avoidUntil, id)
		}
	}
	ord.avoidUntil[host] = now.Add(avoidTime)
}

// Granters returns the first host of each group's order.
func (ord *Order) Granters() []string {
	ord.mut.Lock()
	defer ord.mut.Unlock()
	var out []string
	for i := range ord.ranked {
		ids := ord.rank(i)
		if len(ids) > 0 && !slices.Contains(out, ids[0]) {
			out = append(out, ids[0])
		}
	}
	return out
}
