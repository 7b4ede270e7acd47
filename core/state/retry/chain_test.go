package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"amaranthline/core/state/retry"
)

// chain simulates services in a row, each of which calls the next one several times.
type chain struct {
	rng         *rand.Rand
	now         time.Time
	ratios      [][]*retry.Ratio // by service and calling host
	fanOut      []int            // by service, the calls that one run of the service above makes
	failureRate float64          // fraction of the attempts that fail after they ran
	requests    []int            // by service, the calls without the retries at its own hop
	extra       []int            // by service, the retries at its own hop and the calls that retries at earlier hops caused
}

func newChain(share, failureRate float64, hosts int, fanOut []int) *chain {
	cha := &chain{
		rng: rand.New(rand.NewPCG(7, 11)), now: time.Unix(1_700_000_000, 0), fanOut: fanOut, failureRate: failureRate,
		requests: make([]int, len(fanOut)), extra: make([]int, len(fanOut)),
	}
	for range fanOut {
		var ratios []*retry.Ratio
		for range hosts {
			ratios = append(ratios, retry.NewRatio(share, 0))
		}
		cha.ratios = append(cha.ratios, ratios)
	}
	return cha
}

// call makes one call to a service, with at most one retry; induced reports whether a retry at an earlier hop caused
// it.
func (cha *chain) call(service int, induced bool) {
	rat := cha.ratios[service][cha.rng.IntN(len(cha.ratios[service]))]
	cha.requests[service]++
	if induced {
		rat.CountInducedRetry(cha.now)
		cha.extra[service]++
	} else {
		rat.CountCall(cha.now)
	}
	cha.run(service, induced)
	if cha.rng.Float64() < cha.failureRate && rat.Allow(cha.now) {
		cha.extra[service]++
		cha.run(service, true)
	}
}

// run makes the calls to the next service.
func (cha *chain) run(service int, induced bool) {
	if service+1 < len(cha.fanOut) {
		for range cha.fanOut[service+1] {
			cha.call(service+1, induced)
		}
	}
}

// Guards against retries that add up along a chain, here one in which every hop loses a third of its answers. Each hop
// has its own share of retries, but a retry also causes calls to the services below. Unless those calls use up the
// shares there, the shares of all hops add up at the deepest service.
func TestSharesOfHopsDoNotAddUp(t *testing.T) {
	const allowed = 0.2
	cha := newChain(retry.NestedShareFactor*allowed, 0.35, 5, []int{1, 1, 2, 4})
	for range 4000 {
		cha.now = cha.now.Add(5 * time.Millisecond)
		cha.call(0, false)
	}
	for i, all := range cha.requests {
		got := float64(cha.extra[i]) / float64(all)
		t.Logf("service %d: retries and induced calls are %.3f of %d requests", i, got, all)
		if got > allowed {
			t.Errorf("service %d: retries and induced calls are %.3f of its requests, want at most %.2f", i, got, allowed)
		}
	}
}

// Guards against a bound on retries that drops as soon as the load does, and against one that never drops. When
// upstreams shed most calls, their callers refuse root requests and send fewer calls; those still need the retries of
// the previous load. After one window the bound must follow the lower load, because retries for a load that is gone
// overload the service.
func TestRetryShareFollowsPreviousWindow(t *testing.T) {
	rat := retry.NewRatio(0.1, 0).IncludePreviousWindow()
	now := time.Unix(1_700_000_000, 0)
	runSeconds := func(seconds, calls int) (retries int) {
		for range seconds {
			now = now.Add(time.Second)
			for range calls {
				rat.CountCall(now)
			}
			for range calls + 100 {
				if rat.Allow(now) {
					retries++
				}
			}
		}
		return retries
	}
	if got := runSeconds(10, 1000); got > 1000 {
		t.Errorf("%d retries for 10000 calls", got)
	}
	runSeconds(10, 0) // moves the retries of the first 10 seconds out of the window
	now = now.Add(20 * time.Second)
	runSeconds(10, 1000)
	dropped := runSeconds(10, 100)
	if dropped < 200 || dropped > 1000 {
		t.Errorf("%d retries in the window after a drop from 1000 to 100 calls a second, want more than a tenth of the new calls and at most a tenth of the old ones", dropped)
	}
	if later := runSeconds(10, 100); later > 110 {
		t.Errorf("%d retries in a later window for 1000 calls", later)
	}
}
