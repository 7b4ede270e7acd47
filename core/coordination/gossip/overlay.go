package gossip

import (
	"slices"
	"time"

	"amaranthline/core/state/decl"
)

const (
	localNeighbours   = 4 // hosts of the own failure domain
	remoteNeighbours  = 2 // hosts of other failure domains
	watchersPerDomain = 2 // hosts that watch the platform in each failure domain
	watchCandidates   = 8 // hosts of a failure domain that may become watchers
	rankedKept        = 16
	recheckAfter      = 5 * time.Second
)

// Overlay chooses the peers of a node: its neighbours, and the hosts that watch the platform for its domain.
// Both choices use rendezvous hashing, so that a changed host list moves few of them.
type Overlay struct {
	self   string
	domain string
	known  map[string]string // failure domain by host
	local  []string          // own domain, best first
	remote []string          // other domains, best first
	watch  []string          // possible watchers of the own domain, best first
	failed map[string]time.Time
}

// NewOverlay returns an overlay of a node that knows no other host.
func NewOverlay(self, domain string) *Overlay {
	return &Overlay{self: self, domain: domain, known: map[string]string{}, failed: map[string]time.Time{}}
}

// SetHosts takes a new host list. A list with less than half of the known hosts is added to them instead of
// replacing them: with an empty list every node would consider itself the only watcher, and all of them would
// read the platform.
func (ove *Overlay) SetHosts(hos *decl.Hosts) {
	fresh := map[string]string{}
	for _, hst := range hos.All() {
		if !hst.Leaving() {
			fresh[hst.ID()] = hst.Domain()
		}
	}
	if 2*len(fresh) < len(ove.known) {
		for id, dom := range ove.known {
			if hos.Host(id) == nil {
				fresh[id] = dom
			}
		}
	}
	ove.known = fresh
	ove.rank()
}

func (ove *Overlay) rank() {
	var local, remote []string
	for id, dom := range ove.known {
		if dom == ove.domain {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	ove.watch = best("watch/"+ove.domain, local, watchCandidates)
	local = slices.DeleteFunc(local, func(id string) bool { return id == ove.self })
	ove.local = best("overlay/"+ove.self, local, rankedKept)
	ove.remote = best("overlay/"+ove.self, remote, rankedKept)
	for id := range ove.failed {
		if !ove.relevant(id) {
			delete(ove.failed, id)
		}
	}
}

func best(key string, ids []string, count int) []string {
	ranked := decl.RendezvousOrder(key, ids)
	return slices.Clone(ranked[:min(count, len(ranked))])
}

func (ove *Overlay) relevant(id string) bool {
	return slices.Contains(ove.local, id) || slices.Contains(ove.remote, id) || slices.Contains(ove.watch, id)
}

// Failed records that a host did not answer; it is passed over until it is heard again.
func (ove *Overlay) Failed(now time.Time, host string) {
	if ove.relevant(host) {
		ove.failed[host] = now
	}
}

// Heard records that a host answered or sent a message.
func (ove *Overlay) Heard(host string) { delete(ove.failed, host) }

// Recheck returns the failed host that has been left alone the longest, if it is time to try it again.
func (ove *Overlay) Recheck(now time.Time) (string, bool) {
	found, oldest := "", now.Add(-recheckAfter)
	for id, at := range ove.failed {
		if at.Before(oldest) || at.Equal(oldest) && (found == "" || id < found) {
			found, oldest = id, at
		}
	}
	return found, found != ""
}

// Neighbours returns the hosts to which this node offers versions. When all hosts of a part have failed, as in
// a partition, the best of them stay, so that the first contact after the partition is not delayed.
func (ove *Overlay) Neighbours() []string {
	return append(ove.pick(ove.local, localNeighbours), ove.pick(ove.remote, remoteNeighbours)...)
}

func (ove *Overlay) pick(ranked []string, count int) []string {
	var out []string
	for _, id := range ranked {
		if _, bad := ove.failed[id]; !bad && len(out) < count {
			out = append(out, id)
		}
	}
	for _, id := range ranked {
		if len(out) < count && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// HigherRanked returns the hosts that watch the platform for the domain as long as they are reachable and that
// precede this node; a node that is no possible watcher has none to check.
func (ove *Overlay) HigherRanked() []string {
	rank := slices.Index(ove.watch, ove.self)
	if rank < 0 {
		return nil
	}
	var out []string
	for _, id := range ove.watch[:rank] {
		if _, bad := ove.failed[id]; !bad && len(out) < watchersPerDomain {
			out = append(out, id)
		}
	}
	return out
}

// Watcher says whether this node watches the platform: fewer than two reachable hosts precede it.
func (ove *Overlay) Watcher() bool {
	return slices.Contains(ove.watch, ove.self) && len(ove.HigherRanked()) < watchersPerDomain
}
