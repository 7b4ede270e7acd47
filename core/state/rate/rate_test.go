package rate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthline/core/state/rate"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const (
	teamRate = 100.0 // requests per second
	burst    = 100.0
	hosts    = 17
	team     = "verona"
)

// fleet simulates requests of one team to many hosts that report to one allocator.
type fleet struct {
	limiters  []*rate.Limiter
	allocator *rate.Allocator
	rng       *rand.Rand
}

func newFleet() *fleet {
	fle := &fleet{allocator: rate.NewAllocator(), rng: rand.New(rand.NewPCG(1, 2))}
	for range hosts {
		lim := rate.New()
		lim.SetRate(start, team, teamRate, burst)
		fle.limiters = append(fle.limiters, lim)
	}
	return fle
}

// run sends requests at a demand, in requests per second, that depends on time. It returns the times of the admitted
// requests and the number of all.
func (fle *fleet) run(length time.Duration, demand func(time.Duration) float64, reachable func(host int) bool) (admitted []time.Duration, requests int) {
	nextReport := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(fle.rng.ExpFloat64() / demand(at) * float64(time.Second)) {
		now := start.Add(at)
		for ; nextReport < at; nextReport += 50 * time.Millisecond {
			when := start.Add(nextReport)
			for i, lim := range fle.limiters {
				if !lim.DemandSurged() && nextReport%(250*time.Millisecond) != 0 {
					continue
				}
				for _, ted := range lim.CollectDemand(when) {
					if reachable(i) {
						lim.SetShare(team, fle.allocator.Allocate(when, fmt.Sprint(i), ted, teamRate))
					}
				}
			}
		}
		requests++
		// The smaller of two random hosts: callers are spread unevenly, so some hosts get twice the requests of others.
		host := min(fle.rng.IntN(hosts), fle.rng.IntN(hosts))
		if ok, _ := fle.limiters[host].Allow(now, team); ok {
			admitted = append(admitted, at)
		}
	}
	return admitted, requests
}

func allReachable(int) bool { return true }

// maxInWindow returns the largest number of times that lie within one window.
func maxInWindow(times []time.Duration, window time.Duration) int {
	highest, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Guards against admitting too many requests of a team whose demand suddenly rises to 2 to 12 times the usual: each
// host sees only a fraction of its requests. All hosts together may admit, in any 5 s, a quarter more than rate and
// burst allow, and must go on admitting at least the rate. The rate is 1.6 times the usual demand.
func TestTeamAboveRate(t *testing.T) {
	for _, multiple := range []float64{2, 4, 7.5, 12} {
		t.Run(fmt.Sprint(multiple), func(t *testing.T) {
			admitted, _ := newFleet().run(20*time.Second, func(at time.Duration) float64 {
				if at > 5*time.Second {
					return multiple * teamRate / 1.6
				}
				return teamRate / 1.6
			}, allReachable)
			const window = 5 * time.Second
			allowed := (teamRate*window.Seconds()+burst)*1.25 + 20
			if got := maxInWindow(admitted, window); float64(got) > allowed {
				t.Errorf("%d requests were admitted within 5 s, want at most %.0f", got, allowed)
			}
			admittedLate := 0
			for _, at := range admitted {
				if at > 10*time.Second {
					admittedLate++
				}
			}
			if float64(admittedLate) < 10*teamRate {
				t.Errorf("%d requests were admitted in the last 10 s, less than the rate of %v per second", admittedLate, teamRate)
			}
		})
	}
}

// Guards against refusing requests of a team that stays within its rate: each host sees only a few of its requests, so
// the demand that it measures is noisy.
func TestTeamWithinRate(t *testing.T) {
	for _, fraction := range []float64{0.6, 0.9, 1} {
		t.Run(fmt.Sprint(fraction), func(t *testing.T) {
			admitted, requests := newFleet().run(30*time.Second, func(time.Duration) float64 { return fraction * teamRate }, allReachable)
			if refused := float64(requests-len(admitted)) / float64(requests); refused > 0.005 {
				t.Errorf("%.1f%% of the requests within the rate were refused, want at most 0.5%%", 100*refused)
			}
		})
	}
}

// Guards against hosts that fall back to the whole rate of a team when they lose contact with the allocator: each must
// keep its last share.
func TestShareKeptWithoutContact(t *testing.T) {
	partitioned := false
	fle := newFleet()
	admitted, _ := fle.run(20*time.Second, func(at time.Duration) float64 {
		partitioned = at > 8*time.Second
		return 5 * teamRate
	}, func(int) bool { return !partitioned })
	admittedLate := 0
	for _, at := range admitted {
		if at > 10*time.Second {
			admittedLate++
		}
	}
	if got := float64(admittedLate) / 10; got > 1.5*teamRate {
		t.Errorf("%.0f requests per second were admitted without contact to the allocator, want at most 1.5 times the rate of %v", got, teamRate)
	}
}

// Guards against a lowered rate that takes effect only with the next report, and against a rate that stays in force for
// a team that no longer has one.
func TestLoweredRate(t *testing.T) {
	lim := rate.New()
	lim.SetRate(start, team, teamRate, burst)
	lim.SetRate(start, team, 5, 5)
	count := 0
	for range 100 {
		if ok, _ := lim.Allow(start, team); ok {
			count++
		}
	}
	if count > 5 {
		t.Errorf("%d requests were admitted at once after the burst was lowered to 5, want at most 5", count)
	}
	lim.Retain(func(string) bool { return false })
	if ok, _ := lim.Allow(start, team); !ok {
		t.Error("a team without a rate was refused")
	}
}
