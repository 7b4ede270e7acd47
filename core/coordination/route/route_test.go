package route_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"amaranthline/core/coordination/member"
	"amaranthline/core/coordination/route"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const draws = 4000

// candidate returns a candidate with a host name such as "a1", which is in failure domain a; a is the local one.
func candidate(host string, load, weight float64) member.Candidate {
	return member.NewCandidate(host, host[:1], load, host[0] == 'a', weight)
}

// Guards against calls that go to another failure domain without need, to an overloaded host, or in a surge to one
// host. Each case names the share of calls that every host gets, rounded to a tenth.
func TestPick(t *testing.T) {
	tests := []struct {
		name       string
		candidates []member.Candidate
		exclude    []string
		want       map[string]float64
	}{
		{"local domain first", []member.Candidate{candidate("a1", 1.2, 1), candidate("b1", 0, 1)}, nil, map[string]float64{"a1": 1}},
		{"less loaded of two", []member.Candidate{candidate("a1", 0.9, 1), candidate("a2", 0.1, 1)}, nil, map[string]float64{"a2": 1}},
		{"no surge to the least loaded of three", []member.Candidate{
			candidate("a1", 0.1, 1), candidate("a2", 0.2, 1), candidate("a3", 0.3, 1),
		}, nil, map[string]float64{"a1": 0.7, "a2": 0.3}},
		{"local domain overloaded", []member.Candidate{candidate("a1", 2, 1), candidate("b1", 0.5, 1)}, nil, map[string]float64{"b1": 1}},
		{"local domain excluded", []member.Candidate{candidate("a1", 0, 1), candidate("b1", 0, 1)}, []string{"a1"}, map[string]float64{"b1": 1}},
		{"all overloaded", []member.Candidate{candidate("a1", 3, 1), candidate("b1", 2, 1)}, nil, map[string]float64{"b1": 1}},
		{"a returned host of the local domain gets its weight", []member.Candidate{candidate("a1", 0, 0.2), candidate("b1", 0, 1)}, nil, map[string]float64{"a1": 0.2, "b1": 0.8}},
		{"a returned host gets all when it is the only one", []member.Candidate{candidate("a1", 0, 0.1)}, nil, map[string]float64{"a1": 1}},
		{"none left", []member.Candidate{candidate("a1", 0, 1)}, []string{"a1"}, map[string]float64{"": 1}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			counts := map[string]float64{}
			for range draws {
				host, ok := route.Pick(rng, tst.candidates, tst.exclude)
				if ok != (host != "") {
					t.Fatalf("Pick returned host %q with ok %v", host, ok)
				}
				counts[host]++
			}
			for host, count := range counts {
				counts[host] = math.Round(10*count/draws) / 10
			}
			if diff := cmp.Diff(tst.want, counts); diff != "" {
				t.Errorf("share of calls (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against running a non-idempotent request twice, which nodes prevent through the owner of its
// key. All nodes must name the same owner, and a change of the host list must move only the keys of the hosts that
// changed.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`h[0-9]{1,3}`), 1, 12, rapid.ID).Draw(t, "hosts")
		key := rapid.String().Draw(t, "key")
		owner := route.Owner(key, hosts)
		if diff := cmp.Diff(decl.RendezvousOrder(key, hosts)[0], owner); diff != "" {
			t.Fatalf("owner (-first of decl.RendezvousOrder +got):\n%s", diff)
		}
		removed := rapid.SampledFrom(hosts).Draw(t, "removed")
		var remaining []string
		for _, host := range hosts {
			if host != removed {
				remaining = append(remaining, host)
			}
		}
		if after := route.Owner(key, remaining); removed != owner && after != owner {
			t.Fatalf("the owner moved from %s to %s when %s was removed", owner, after, removed)
		}
	})
	if owner := route.Owner("key", nil); owner != "" {
		t.Errorf("owner of no hosts is %q", owner)
	}
}

func BenchmarkPick(b *testing.B) {
	var cans []member.Candidate
	for i := range 10 {
		cans = append(cans, candidate(fmt.Sprint("a", i), float64(i)/10, 1))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		route.Pick(rng, cans, nil)
	}
}
