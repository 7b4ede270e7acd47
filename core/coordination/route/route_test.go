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

// candidate makes a host such as "a1"; the own failure domain is a.
func candidate(host string, load, weight float64) member.Candidate {
	return member.NewCandidate(host, host[:1], load, host[0] == 'a', weight)
}

// Each case names the share of calls that every host gets, in steps of a tenth.
func TestPick(t *testing.T) {
	tests := []struct {
		name       string
		candidates []member.Candidate
		exclude    []string
		want       map[string]float64
	}{
		{"own domain first", []member.Candidate{candidate("a1", 1.2, 1), candidate("b1", 0, 1)}, nil, map[string]float64{"a1": 1}},
		{"less loaded of two", []member.Candidate{candidate("a1", 0.9, 1), candidate("a2", 0.1, 1)}, nil, map[string]float64{"a2": 1}},
		{"the least loaded gets no surge", []member.Candidate{
			candidate("a1", 0.1, 1), candidate("a2", 0.2, 1), candidate("a3", 0.3, 1),
		}, nil, map[string]float64{"a1": 0.7, "a2": 0.3}},
		{"own domain overloaded", []member.Candidate{candidate("a1", 2, 1), candidate("b1", 0.5, 1)}, nil, map[string]float64{"b1": 1}},
		{"own domain excluded", []member.Candidate{candidate("a1", 0, 1), candidate("b1", 0, 1)}, []string{"a1"}, map[string]float64{"b1": 1}},
		{"all overloaded", []member.Candidate{candidate("a1", 3, 1), candidate("b1", 2, 1)}, nil, map[string]float64{"b1": 1}},
		{"a cold domain gets its part", []member.Candidate{candidate("a1", 0, 0.2), candidate("b1", 0, 1)}, nil, map[string]float64{"a1": 0.2, "b1": 0.8}},
		{"a cold host alone gets all", []member.Candidate{candidate("a1", 0, 0.1)}, nil, map[string]float64{"a1": 1}},
		{"none left", []member.Candidate{candidate("a1", 0, 1)}, []string{"a1"}, map[string]float64{"": 1}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			counts := map[string]float64{}
			for range draws {
				host, ok := route.Pick(rng, tst.candidates, tst.exclude)
				if ok != (host != "") {
					t.Fatalf("host %q with %v", host, ok)
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

// P9 rests on all nodes naming the same owner, and on a list change that moves only the keys of changed hosts.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`h[0-9]{1,3}`), 1, 12, rapid.ID).Draw(t, "hosts")
		key := rapid.String().Draw(t, "key")
		owner := route.Owner(key, hosts)
		if diff := cmp.Diff(decl.RendezvousOrder(key, hosts)[0], owner); diff != "" {
			t.Fatalf("owner (-first of the ranking +got):\n%s", diff)
		}
		removed := rapid.SampledFrom(hosts).Draw(t, "gone")
		var remaining []string
		for _, host := range hosts {
			if host != removed {
				remaining = append(remaining, host)
			}
		}
		if after := route.Owner(key, remaining); removed != owner && after != owner {
			t.Fatalf("the owner moved from %s to %s when %s left", owner, after, removed)
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
