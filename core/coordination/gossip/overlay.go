package gossip

import (
	"slices"
	"time"

	"amaranthline/core/state/decl"
)

const (
	localNeighbours  = 4 // hosts of the local failure domain
	remoteNeighbours = 2 // hosts of other failure domains
	// minDomainsForOneWatcher is the number of failure domains from which one host of each domain watches the platform.
	// With fewer domains two do, because too few other watchers are left when one of them stops.
	minDomainsForOneWatcher = 4
	maxWatchCandidates      = 8               // hosts of a failure domain that may become watchers
	maxRanked               = 16              // hosts kept of each ranking, local and remote, as replacements for failed neighbours
	recheckAfter            = 5 * time.Second // time from the failure of a host until it is tried again
)

// Overlay chooses the neighbours of a node, and the hosts that watch the platform for its failure domain. Both choices
// use rendezvous hashing, so that a change of the host list changes few of them.
type Overlay struct {
	self            string
	domain          string
	domains         map[string]string    // failure domain by host ID
	domainCount     int                  // different failure domains in domains
	rankedLocal     []string             // hosts of the local failure domain, highest score first
	rankedRemote    []string             // hosts of other domains, highest score first
	watchCandidates []string             // possible watchers of the local failure domain, highest score first; may contain the node
	failedAt        map[string]time.Time // last failure of the hosts that have not replied since then
	stale           bool                 // no recent read of the platform is known
}

// NewOverlay returns the overlay of a node that has no host list yet.
func NewOverlay(self, domain string) *Overlay {
	return &Overlay{self: self, domain: domain, domains: map[string]string{}, failedAt: map[string]time.Time{}}
}

// SetHosts applies a new host list. A list with less than half as many hosts as are known is added to the known
// hosts instead of replacing them: with an empty list, every node would consider itself the only watcher, and all nodes
// would read the platform.
func (ove *Overlay) SetHosts(hos *decl.Hosts) {
	domains := map[string]string{}
	for _, hst := range hos.All() {
		if !hst.Leaving() {
			domains[hst.ID()] = hst.Domain()
		}
	}
	if 2*len(domains) < len(ove.domains) {
		for id, dom := range ove.domains {
			if !hos.Lists(id) {
				domains[id] = dom
			}
		}
	}
	ove.domains = domains
	ove.rank()
}

func (ove *Overlay) rank() {
	var local, remote []string
	names := map[string]bool{}
	for id, dom := range ove.domains {
		names[dom] = true
		if dom == ove.domain {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	ove.domainCount = len(names)
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

// topRanked returns the hosts with the highest rendezvous scores for a key, highest first.
func topRanked(key string, ids []string, count int) []string {
	ranked := decl.RendezvousOrder(key, ids)
	return slices.Clone(ranked[:min(count, len(ranked))])
}

func (ove *Overlay) isRanked(id string) bool {
	return slices.Contains(ove.rankedLocal, id) || slices.Contains(ove.rankedRemote, id) || slices.Contains(ove.watchCandidates, id)
}

// RecordFailure records that a host did not reply. Until RecordContact is called for it, it does not count as a
// watcher, and it is a neighbour only if too few other hosts are left.
func (ove *Overlay) RecordFailure(now time.Time, host string) {
	if ove.isRanked(host) {
		ove.failedAt[host] = now
	}
}

// RecordContact records that a host replied or sent a message.
func (ove *Overlay) RecordContact(host string) { delete(ove.failedAt, host) }

// HostToRecheck returns the host whose last failure is the longest ago, if it is time to try it again.
func (ove *Overlay) HostToRecheck(now time.Time) (string, bool) {
	found, oldest := "", now.Add(-recheckAfter)
	for id, at := range ove.failedAt {
		if at.Before(oldest) || at.Equal(oldest) && (found == "" || id < found) {
			found, oldest = id, at
		}
	}
	return found, found != ""
}

// Neighbours returns the hosts to which this node offers versions. When too few hosts of the local or of the other
// domains are reachable, as in a partition, failed hosts are neighbours too, up to the usual number, so that the
// first contact after the partition is not delayed.
func (ove *Overlay) Neighbours() []string {
	return append(ove.selectHosts(ove.rankedLocal, localNeighbours), ove.selectHosts(ove.rankedRemote, remoteNeighbours)...)
}

// selectHosts returns the highest-ranked hosts that have not failed and then, up to the count, those that have.
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

// SetStale records whether no recent read of the platform by any node is known. While that is so, two hosts of each
// failure domain watch: the domain may be cut off together with a watcher that cannot reach the platform.
func (ove *Overlay) SetStale(stale bool) { ove.stale = stale }

// watchersPerDomain returns how many hosts of each failure domain watch the platform. The platform counts every call, so
// while the watchers of the other domains deliver versions too, one is enough.
func (ove *Overlay) watchersPerDomain() int {
	if ove.stale || ove.domainCount < minDomainsForOneWatcher {
		return 2
	}
	return 1
}

// HigherRanked returns the watchers of the domain that rank above this node and have not failed; it returns none for a
// node that is not a possible watcher.
func (ove *Overlay) HigherRanked() []string {
	rank := slices.Index(ove.watchCandidates, ove.self)
	if rank < 0 {
		return nil
	}
	var out []string
	for _, id := range ove.watchCandidates[:rank] {
		if _, failed := ove.failedAt[id]; !failed && len(out) < ove.watchersPerDomain() {
			out = append(out, id)
		}
	}
	return out
}

// IsWatcher reports whether this node watches the platform: it is a possible watcher, and fewer hosts that have not
// failed rank above it than watch in each domain.
func (ove *Overlay) IsWatcher() bool {
	return slices.Contains(ove.watchCandidates, ove.self) && len(ove.HigherRanked()) < ove.watchersPerDomain()
}
