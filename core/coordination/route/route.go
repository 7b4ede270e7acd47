package route

import (
	"math/rand/v2"
	"slices"

	"amaranthline/core/coordination/member"
	"amaranthline/core/state/decl"
)

// overloadedLoad is the load above which a host counts as overloaded: its limit is used up, and the calls queued are
// half as many as the limit. A lower bound would send calls to other failure domains for each short burst.
const overloadedLoad = 1.5

// preallocatedCandidates is the number of candidates up to which Pick does not allocate memory.
const preallocatedCandidates = 16

// Pick chooses a candidate that is not excluded, and reports whether there is one. Candidates of the local failure
// domain come first: calls between domains take longer and fail with the network between them. Calls go to other
// domains when there are no candidates in the local domain or all of them are overloaded, because capacity there would
// otherwise stay unused while calls are refused here. Of two random candidates the one with less load is chosen:
// choosing the least loaded of all would send the calls of all nodes to one host until its next report.
func Pick(rng *rand.Rand, candidates []member.Candidate, exclude []string) (host string, ok bool) {
	local, remote, fallback := make([]int, 0, preallocatedCandidates), make([]int, 0, preallocatedCandidates), make([]int, 0, preallocatedCandidates)
	for idx, can := range candidates {
		switch {
		case slices.Contains(exclude, can.Host()):
		case can.Load() > overloadedLoad || !drawByWeight(rng, can):
			fallback = append(fallback, idx)
		case can.Local():
			local = append(local, idx)
		default:
			remote = append(remote, idx)
		}
	}
	switch {
	case len(local) > 0:
		return lessLoadedOfTwo(rng, candidates, local), true
	case len(remote) > 0:
		return lessLoadedOfTwo(rng, candidates, remote), true
	case len(fallback) > 0:
		return lessLoadedOfTwo(rng, candidates, fallback), true
	}
	return "", false
}

// drawByWeight reports whether a host takes part in this choice, at random by its weight. The weight of a host that has
// just returned grows to 1, so that its load does not surge.
func drawByWeight(rng *rand.Rand, can member.Candidate) bool {
	return can.Weight() >= 1 || rng.Float64() < can.Weight()
}

// lessLoadedOfTwo returns the less loaded of two random candidates; group holds indexes of candidates.
func lessLoadedOfTwo(rng *rand.Rand, candidates []member.Candidate, group []int) string {
	firstIdx := rng.IntN(len(group))
	if len(group) == 1 {
		return candidates[group[firstIdx]].Host()
	}
	secondIdx := rng.IntN(len(group) - 1)
	if secondIdx >= firstIdx {
		secondIdx++
	}
	first, second := candidates[group[firstIdx]], candidates[group[secondIdx]]
	if second.Load() < first.Load() {
		return second.Host()
	}
	return first.Host()
}

// Owner returns the host that owns a key by rendezvous hashing, or "" when there is no host.
func Owner(key string, hosts []string) string {
	owner := ""
	for _, host := range hosts {
		if owner == "" || ranksHigher(key, host, owner) {
			owner = host
		}
	}
	return owner
}

// ranksHigher orders hosts as decl.RendezvousOrder does, without sorting them.
func ranksHigher(key, hostA, hostB string) bool {
	scoreA, scoreB := decl.RendezvousScore(key, hostA), decl.RendezvousScore(key, hostB)
	return scoreA > scoreB || scoreA == scoreB && hostA < hostB
}
