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
	perSecond = 100.0
	burst     = 100.0
	hosts     = 17
	team      = "verona"
)

// fleet replays requests of one team at many hosts that report to one allocator.
type fleet struct {
	meters  []*rate.Limiter
	divider *rate.Allocator
	rng     *rand.Rand
}

func newFleet() *fleet {
	fle := &fleet{divider: rate.NewAllocator(), rng: rand.New(rand.NewPCG(1, 2))}
	for range hosts {
		met := rate.New()
		met.SetRate(start, team, perSecond, burst)
		fle.meters = append(fle.meters, met)
	}
	return fle
}

// run sends requests at a demand that depends on time and returns the times of the admitted ones, and the number asked.
func (fle *fleet) run(length time.Duration, demand func(time.Duration) float64, reach func(host int) bool) (admitted []time.Duration, asked int) {
	report := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(fle.rng.ExpFloat64() / demand(at) * float64(time.Second)) {
		now := start.Add(at)
		for ; report < at; report += 50 * time.Millisecond {
			when := start.Add(report)
			for i, met := range fle.meters {
				if !met.DemandSurged() && report%(250*time.Millisecond) != 0 {
					continue
				}
				for _, usa := range met.CollectUsage(when) {
					if reach(i) {
						met.SetShare(team, fle.divider.Allocate(when, fmt.Sprint(i), usa, perSecond))
					}
				}
			}
		}
		asked++
		// Callers are spread unevenly: some hosts get twice the requests of others.
		host := min(fle.rng.IntN(hosts), fle.rng.IntN(hosts))
		if ok, _ := fle.meters[host].Allow(now, team); ok {
			admitted = append(admitted, at)
		}
	}
	return admitted, asked
}

func all(int) bool { return true }

// most returns the largest number of events in a window.
func most(times []time.Duration, window time.Duration) int {
	best, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// Load pattern: a hot team sends several times its rate to all hosts. All hosts together may admit, in any 5 s, a
// quarter more than rate and burst.
func TestHotTeam(t *testing.T) {
	for _, times := range []float64{2, 4, 7.5, 12} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			admitted, _ := newFleet().run(20*time.Second, func(at time.Duration) float64 {
				if at > 5*time.Second {
					return times * perSecond / 1.6
				}
				return perSecond / 1.6
			}, all)
			const window = 5 * time.Second
			allowed := (perSecond*window.Seconds()+burst)*1.25 + 20
			if got := most(admitted, window); float64(got) > allowed {
				t.Errorf("%d requests were admitted in 5 s, allowed are %.0f", got, allowed)
			}
			late := 0
			for _, at := range admitted {
				if at > 10*time.Second {
					late++
				}
			}
			if float64(late) < 10*perSecond {
				t.Errorf("%d requests were admitted in 10 s at a rate of %v", late, perSecond)
			}
		})
	}
}

// A team that stays within its rate must not be refused, although each host sees only a few of its requests.
func TestWithinRate(t *testing.T) {
	for _, share := range []float64{0.6, 0.9, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			admitted, asked := newFleet().run(30*time.Second, func(time.Duration) float64 { return share * perSecond }, all)
			if refused := float64(asked-len(admitted)) / float64(asked); refused > 0.005 {
				t.Errorf("%.1f%% of the requests were refused, want at most 0.5%%", 100*refused)
			}
		})
	}
}

// Hosts that lose contact must go on with the part that they had, not with the whole rate.
func TestLostContact(t *testing.T) {
	cut := false
	fle := newFleet()
	admitted, _ := fle.run(20*time.Second, func(at time.Duration) float64 {
		cut = at > 8*time.Second
		return 5 * perSecond
	}, func(int) bool { return !cut })
	late := 0
	for _, at := range admitted {
		if at > 10*time.Second {
			late++
		}
	}
	if got := float64(late) / 10; got > 1.5*perSecond {
		t.Errorf("%.0f requests a second were admitted without contact, the rate is %v", got, perSecond)
	}
}

// A lowered rate must bind at once, also while nobody reports.
func TestLoweredRate(t *testing.T) {
	met := rate.New()
	met.SetRate(start, team, perSecond, burst)
	met.SetRate(start, team, 5, 5)
	count := 0
	for range 100 {
		if ok, _ := met.Allow(start, team); ok {
			count++
		}
	}
	if count > 5 {
		t.Errorf("%d requests were admitted at once after the burst was lowered to 5", count)
	}
	met.Retain(func(string) bool { return false })
	if ok, _ := met.Allow(start, team); !ok {
		t.Error("a team without a rate was refused")
	}
}
