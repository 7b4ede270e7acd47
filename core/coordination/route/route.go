package route

import (
	"math/rand/v2"
	"slices"

	"amaranthline/core/coordination/member"
	"amaranthline/core/state/decl"
)

// overloaded is the load above which a host counts as overloaded: its limit is used up and as many calls as half
// of the limit wait. A lower bound would send calls to other failure domains for each short burst.
const overloaded = 1.5

// usual is the number of candidates up to which Pick allocates nothing.
const usual = 16

// Pick chooses a candidate that is not excluded, and says whether there is one. Candidates of the own failure
// domain come first: calls between domains take longer and fail with the network between them. Calls go to other
// domains when those of the own domain are gone or all overloaded, because capacity there would else stay unused
// while calls are refused here. Of two random candidates the one with less load is chosen: choosing the least
// loaded of all would send the calls of all nodes to one host until its next report.
func Pick(rng *rand.Rand, candidates []member.Candidate, exclude []string) (host string, ok bool) {
	local, remote, rest := make([]int, 0, usual), make([]int, 0, usual), make([]int, 0, usual)
	for idx, can := range candidates {
		switch {
		case slices.Contains(exclude, can.Host()):
		case can.Load() > overloaded || !warm(rng, can):
			rest = append(rest, idx)
		case can.Local():
			local = append(local, idx)
		default:
			remote = append(remote, idx)
		}
	}
	switch {
	case len(local) > 0:
		return two(rng, candidates, local), true
	case len(remote) > 0:
		return two(rng, candidates, remote), true
	case len(rest) > 0:
		return two(rng, candidates, rest), true
	}
	return "", false
}

// warm lets a host that has just returned take part in a growing share of the choices, so that nothing surges
// on it.
func warm(rng *rand.Rand, can member.Candidate) bool {
	return can.Weight() >= 1 || rng.Float64() < can.Weight()
}

// two returns the less loaded of two random candidates of a group.
func two(rng *rand.Rand, candidates []member.Candidate, group []int) string {
	one := rng.IntN(len(group))
	if len(group) == 1 {
		return candidates[group[one]].Host()
	}
	other := rng.IntN(len(group) - 1)
	if other >= one {
		other++
	}
	first, second := candidates[group[one]], candidates[group[other]]
	if second.Load() < first.Load() {
		return second.Host()
	}
	return first.Host()
}

// Owner returns the host that owns a key by rendezvous hashing, or "" when there is no host.
func Owner(key string, hosts []string) string {
	owner := ""
	for _, host := range hosts {
		if owner == "" || above(key, host, owner) {
			owner = host
		}
	}
	return owner
}

// above orders hosts as decl.RendezvousOrder does, without sorting them.
func above(key, one, two string) bool {
	sone, stwo := decl.RendezvousScore(key, one), decl.RendezvousScore(key, two)
	return sone > stwo || sone == stwo && one < two
}
