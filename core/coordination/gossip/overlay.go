package gossip

import (
	"slices"
	"time"

	"amaranthline/core/state/decl"
)

const (
	localNeighbours    = 4 // hosts of the own failure domain
	remoteNeighbours   = 2 // hosts of other failure domains
	watchersPerDomain  = 2 // hosts that watch the platform in each failure domain
	maxWatchCandidates = 8 // hosts of a failure domain that may become watchers
	maxRanked          = 16
	recheckAfter       = 5 * time.Second
)

// Overlay chooses the peers of a node: its neighbours, and the hosts that watch the platform for its domain.
// Both choices use rendezvous hashing, so that a changed host list moves few of them.
type Overlay struct {
	self            string
	domain          string
	domains         map[string]string // failure domain by host
	rankedLocal     []string          // own domain, best first
	rankedRemote    []string          // other domains, best first
	watchCandidates []string          // possible watchers of the own domain, best first
	failedAt        map[string]time.Time
}

// NewOverlay returns an overlay of a node that knows no other host.
func NewOverlay(self, domain string) *Overlay {
	return &Overlay{self: self, domain: domain, domains: map[string]string{}, failedAt: map[string]time.Time{}}
}

// SetHosts takes a new host list. A list with less than half of the known hosts is added to them instead of
// replacing them: with an empty list every node would consider itself the only watcher, and all of them would
// read the platform.
func (ove *Overlay) SetHosts(hos *decl.Hosts) {
	domains := map[string]string{}
	for _, hst := range hos.All() {
		if !hst.Leaving() {
			domains[hst.ID()] = hst.Domain()
		}
	}
	if 2*len(domains) < len(ove.domains) {
		for id, dom := range ove.domains {
			if hos.Host(id) == nil {
				domains[id] = dom
			}
		}
	}
	ove.domains = domains
	ove.rank()
}

func (ove *Overlay) rank() {
	var local, remote []string
	for id, dom := range ove.domains {
		if dom == ove.domain {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	ove.watchCandidates = topRanked("watch/"+ove.domain, local, maxWatchCandidates)
	local = slices.DeleteFunc(local, func(id string) bool { return id == ove.self })
	ove.rankedLocal = topRanked("overlay/"+ove.self, local, maxRanked)
	ove.rankedRemote = topRanked("overlay/"+ove.self, remote, maxRanked)
	for id := range ove.failedAt {
		if !ove.isRanked(id) {
			delete(ove.failedAt, id)
		}
	}
}

func topRanked(key string, ids []string, count int) []string {
	ranked := decl.RendezvousOrder(key, ids)
	return slices.Clone(ranked[:min(count, len(ranked))])
}

func (ove *Overlay) isRanked(id string) bool {
	return slices.Contains(ove.rankedLocal, id) || slices.Contains(ove.rankedRemote, id) || slices.Contains(ove.watchCandidates, id)
}

// Failed records that a host did not answer; it is passed over until it is heard again.
func (ove *Overlay) Failed(now time.Time, host string) {
	if ove.isRanked(host) {
		ove.failedAt[host] = now
	}
}

// Heard records that a host answered or sent a message.
func (ove *Overlay) Heard(host string) { delete(ove.failedAt, host) }

// Recheck returns the failed host that has been left alone the longest, if it is time to try it again.
func (ove *Overlay) Recheck(now time.Time) (string, bool) {
	found, oldest := "", now.Add(-recheckAfter)
	for id, at := range ove.failedAt {
		if at.Before(oldest) || at.Equal(oldest) && (found == "" || id < found) {
			found, oldest = id, at
		}
	}
	return found, found != ""
}

// Neighbours returns the hosts to which this node offers versions. When all hosts of a part have failed, as in
// a partition, the best of them stay, so that the first contact after the partition is not delayed.
func (ove *Overlay) Neighbours() []string {
	return append(ove.selectHosts(ove.rankedLocal, localNeighbours), ove.selectHosts(ove.rankedRemote, remoteNeighbours)...)
}

func (ove *Overlay) selectHosts(ranked []string, count int) []string {
	var out []string
	for _, id := range ranked {
		if _, failed := ove.failedAt[id]; !failed && len(out) < count {
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
	rank := slices.Index(ove.watchCandidates, ove.self)
	if rank < 0 {
		return nil
	}
	var out []string
	for _, id := range ove.watchCandidates[:rank] {
		if _, failed := ove.failedAt[id]; !failed && len(out) < watchersPerDomain {
			out = append(out, id)
		}
	}
	return out
}

// Watcher says whether this node watches the platform: fewer than two reachable hosts precede it.
func (ove *Overlay) Watcher() bool {
	return slices.Contains(ove.watchCandidates, ove.self) && len(ove.HigherRanked()) < watchersPerDomain
}
