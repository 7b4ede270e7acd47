package limit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthline/core/state/limit"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// call is one call inside the simulated upstream; done is when it is answered.
type call struct {
	sent, done time.Duration
	result     limit.Result
	nested     bool // done is when its nested call ends and its own work begins
}

type calls []call

func (cas calls) Len() int           { return len(cas) }
func (cas calls) Less(i, j int) bool { return cas[i].done < cas[j].done }
func (cas calls) Swap(i, j int)      { cas[i], cas[j] = cas[j], cas[i] }
func (cas *calls) Push(x any)        { *cas = append(*cas, x.(call)) }
func (cas *calls) Pop() any {
	old := *cas
	last := old[len(old)-1]
	*cas = old[:len(old)-1]
	return last
}

// soonest returns when the next call is answered.
func (cas calls) nextDone() time.Duration { return cas[0].done }

// origin simulates an upstream with slots, a FIFO queue behind them and a load that always has a next call.
type origin struct {
	lim         *limit.Limiter
	rng         *rand.Rand
	slots       func(at time.Duration) float64
	serviceTime func(at time.Duration) time.Duration // own time without queueing
	nested      func(at time.Duration) time.Duration // nested call before the own work, or nil
	exponential bool
	sheds       bool // answers 503 above the slots instead of queueing
	maxInFlight int  // calls that callers keep in flight at most
	now         time.Duration
	running     calls
	waiting     []call
	inService   int             // running calls that occupy a slot
	successes   []time.Duration // when each success was answered
	peakLimit   float64         // highest limit over slots
}

const shedTime = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func (ori *origin) startService(cal call) {
	own := float64(ori.serviceTime(ori.now))
	if ori.exponential {
		own *= ori.rng.ExpFloat64()
	}
	cal.done = ori.now + time.Duration(own)
	ori.inService++
	heap.Push(&ori.running, cal)
}

func (ori *origin) full() bool { return ori.inService >= int(ori.slots(ori.now)) }

func (ori *origin) send() {
	cal := call{sent: ori.now}
	switch {
	case ori.nested != nil && ori.nested(ori.now) > 0:
		cal.nested, cal.done = true, ori.now+time.Duration((0.5+ori.rng.Float64())*float64(ori.nested(ori.now)))
		heap.Push(&ori.running, cal)
	default:
		ori.arrive(cal)
	}
}

func (ori *origin) arrive(cal call) {
	switch {
	case !ori.full():
		ori.startService(cal)
	case ori.sheds:
		cal.result, cal.done = limit.Shed, ori.now+shedTime
		heap.Push(&ori.running, cal)
	default:
		ori.waiting = append(ori.waiting, cal)
	}
}

// replace puts a new process in the place of the old one; calls in flight arrive at it anew.
func (ori *origin) restart() {
	pending := len(ori.running) + len(ori.waiting)
	ori.running, ori.waiting, ori.inService = nil, nil, 0
	for range pending {
		ori.send()
	}
}

// run drives load against the limiter until a time.
func (ori *origin) run(until time.Duration) {
	for ori.now < until {
		for ori.lim.InFlight() < ori.maxInFlight && ori.lim.TryAcquire() {
			ori.send()
		}
		cal := heap.Pop(&ori.running).(call)
		ori.now = cal.done
		if cal.nested {
			ori.arrive(call{sent: ori.now})
			continue
		}
		if cal.result == limit.Success {
			ori.inService--
			ori.successes = append(ori.successes, ori.now)
		}
		for len(ori.waiting) > 0 && !ori.full() {
			ori.startService(ori.waiting[0])
			ori.waiting = ori.waiting[1:]
		}
		ori.lim.Release(epoch.Add(ori.now), ori.now-cal.sent, cal.result)
		ori.peakLimit = max(ori.peakLimit, float64(ori.lim.Limit())/ori.slots(ori.now))
	}
}

// goodput returns successes between two times over what the slots could do at most.
func (ori *origin) goodput(from, until time.Duration) float64 {
	count, most := 0.0, 0.0
	for _, at := range ori.successes {
		if at >= from && at < until {
			count++
		}
	}
	for at := from; at < until; at += time.Millisecond {
		most += ori.slots(at) * float64(time.Millisecond) / float64(ori.serviceTime(at))
	}
	return count / most
}

func constant[T any](val T) func(time.Duration) T {
	return func(time.Duration) T { return val }
}

const (
	serviceTime = 20 * time.Millisecond
	seeds       = 7 // seeds of each noisy case
)

// kind is one kind of upstream.
type upstreamKind struct {
	slots              float64
	exponential, sheds bool
}

func (ukd upstreamKind) String() string {
	return fmt.Sprintf("slots=%v/noisy=%v/sheds=%v", ukd.slots, ukd.exponential, ukd.sheds)
}

func (ukd upstreamKind) origin(seed uint64) *origin {
	return &origin{
		lim: limit.New(limit.Settings{Max: 750}), rng: rand.New(rand.NewPCG(seed, uint64(ukd.slots))),
		slots: constant(ukd.slots), serviceTime: constant(serviceTime), exponential: ukd.exponential, sheds: ukd.sheds, maxInFlight: math.MaxInt,
	}
}

// forEachKind runs a test for each kind of upstream with an origin for each seed.
func forEachUpstream(t *testing.T, sheds []bool, test func(t *testing.T, kin upstreamKind, oris []*origin)) {
	for _, slots := range []float64{30, 100, 220} {
		for _, exponential := range []bool{false, true} {
			for _, shed := range sheds {
				kin := upstreamKind{slots, exponential, shed}
				count := 1
				if exponential {
					count = seeds
				}
				var oris []*origin
				for seed := range count {
					oris = append(oris, kin.origin(uint64(seed)))
				}
				t.Run(kin.String(), func(t *testing.T) {
					t.Parallel()
					test(t, kin, oris)
				})
			}
		}
	}
}

func median(vals []float64) float64 {
	slices.Sort(vals)
	return vals[len(vals)/2]
}

// A climb that stops early wastes the upstream; one that goes on too long overloads it.
func TestFindsKnee(t *testing.T) {
	const maxPeak = 2.5 // a doubling may start just below the knee; the rest is noise
	forEachUpstream(t, []bool{false, true}, func(t *testing.T, kin upstreamKind, oris []*origin) {
		var early, steady []float64
		for _, ori := range oris {
			ori.run(10 * time.Second)
			early = append(early, ori.goodput(2*time.Second, 4*time.Second))
			steady = append(steady, ori.goodput(4*time.Second, 10*time.Second))
			if ori.peakLimit > maxPeak {
				t.Errorf("limit reached %.2f times the slots, want at most %v", ori.peakLimit, maxPeak)
			}
		}
		t.Logf("goodput after 2 s: median %.3f, worst %.3f; after 4 s: median %.3f, worst %.3f",
			median(early), early[0], median(steady), steady[0])
		// Near the slots of an upstream that sheds, the climb goes in small steps and takes longer.
		if median(early) < 0.95 && !kin.sheds {
			t.Errorf("median goodput from 2 s to 4 s is %.3f, want 0.95", median(early))
		}
		if median(steady) < 0.95 || steady[0] < 0.9 {
			t.Errorf("goodput after 4 s is %.3f, worst %.3f; want 0.95, worst 0.9", median(steady), steady[0])
		}
	})
}

// A limit from latencies against an old minimum falls to 1 when the upstream becomes slower without queueing.
func TestKeepsGoodputWhenServiceSlows(t *testing.T) {
	const slow = 5 * time.Second
	forEachUpstream(t, []bool{false}, func(t *testing.T, _ upstreamKind, oris []*origin) {
		var after []float64
		for _, ori := range oris {
			ori.serviceTime = func(at time.Duration) time.Duration {
				if at >= slow {
					return 10 * serviceTime
				}
				return serviceTime
			}
			ori.run(slow + 10*time.Second)
			after = append(after, ori.goodput(slow+2*time.Second, slow+10*time.Second))
		}
		t.Logf("goodput from 2 s after: median %.3f, worst %.3f", median(after), after[0])
		if median(after) < 0.95 || after[0] < 0.9 {
			t.Errorf("goodput is %.3f, worst %.3f; want 0.95, worst 0.9", median(after), after[0])
		}
	})
}

// A cold upstream in the place of a warm one must not get the load of the warm one.
func TestLimitFallsForColdUpstream(t *testing.T) {
	const (
		coldAt    = 5 * time.Second
		warmUp    = 10 * time.Second // time until all slots are there
		coldSlots = 4.0              // of a cold upstream
	)
	forEachUpstream(t, []bool{false, true}, func(t *testing.T, kin upstreamKind, oris []*origin) {
		var fallTimes, warming, warm []float64
		for _, ori := range oris {
			ori.slots = func(at time.Duration) float64 {
				if at < coldAt {
					return kin.slots
				}
				return min(kin.slots, coldSlots+(kin.slots-coldSlots)*(at-coldAt).Seconds()/warmUp.Seconds())
			}
			ori.run(coldAt)
			ori.restart()
			first, before := ori.running.nextDone(), ori.lim.Limit()
			for ori.lim.Limit() > before/2 {
				ori.run(ori.now + 1)
			}
			fallTimes = append(fallTimes, (ori.now - first).Seconds())
			ori.run(coldAt + warmUp + 5*time.Second)
			warming = append(warming, ori.goodput(coldAt+time.Second, coldAt+warmUp))
			warm = append(warm, ori.goodput(coldAt+warmUp+2*time.Second, coldAt+warmUp+5*time.Second))
		}
		t.Logf("fell %.0f ms after the first answer (median), %.0f ms at worst; goodput while warming %.3f, warm %.3f",
			1000*median(fallTimes), 1000*fallTimes[len(fallTimes)-1], median(warming), median(warm))
		if median(fallTimes) > 0.12 || fallTimes[len(fallTimes)-1] > 0.2 {
			t.Errorf("limit fell after %.3f s, at worst %.3f s", median(fallTimes), fallTimes[len(fallTimes)-1])
		}
		if median(warming) < 0.7 || median(warm) < 0.9 {
			t.Errorf("goodput is %.3f while warming and %.3f when warm", median(warming), median(warm))
		}
	})
}

// A limit that grows without use lets the next surge through in full.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	ori := upstreamKind{100, true, false}.origin(1)
	ori.maxInFlight = 3
	ori.run(20 * time.Second)
	if diff := cmp.Diff(4, ori.lim.Limit()); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}

// A slow service deep in the chain must not reduce the limit of its callers. When nested calls jump from 0 to
// 500 ms, only the longest of the earlier calls are answered for a while; a cut because of them is taken back.
func TestNestedTimeDoesNotLowerLimit(t *testing.T) {
	for seed := range uint64(seeds) {
		ori := upstreamKind{100, true, false}.origin(seed)
		const slowFrom, slowUntil = 5 * time.Second, 12 * time.Second
		ori.nested = func(at time.Duration) time.Duration {
			if at >= slowFrom && at < slowUntil {
				return 500 * time.Millisecond
			}
			return 0
		}
		ori.run(slowFrom)
		before, least := ori.lim.Limit(), math.MaxInt
		ori.run(slowFrom + time.Second)
		for ori.now < slowUntil {
			ori.run(ori.now + 1)
			least = min(least, ori.lim.Limit())
		}
		ori.run(slowUntil + 5*time.Second)
		after := ori.goodput(slowUntil+2*time.Second, slowUntil+5*time.Second)
		t.Logf("limit %d, at least %d with slow nested calls, goodput from 2 s after %.3f", before, least, after)
		if float64(least) < 0.7*float64(before) || after < 0.95 {
			t.Errorf("limit fell from %d to %d, goodput %.3f; want 0.7 of it and 0.95", before, least, after)
		}
	}
}

// Timeouts of calls that spent their time in nested calls say nothing about this upstream.
func TestNestedTimeoutsDoNotLowerLimit(t *testing.T) {
	lim := limit.New(limit.Settings{Initial: 10, Max: 10})
	for i := range 4000 {
		res := limit.Success
		if i >= 2000 {
			res = limit.Timeout
		}
		lim.TryAcquire()
		lim.Release(epoch.Add(time.Duration(i)*time.Millisecond), time.Millisecond, res)
	}
	if diff := cmp.Diff(10, lim.Limit()); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}

// Whatever the answers, the limit stays within its bounds and no more calls are in flight than were let in.
func TestLimitInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := limit.Settings{Initial: rapid.IntRange(1, 8).Draw(rt, "initial"), Max: rapid.IntRange(8, 64).Draw(rt, "max")}
		lim := limit.New(set)
		now, inFlight := epoch, 0
		for range rapid.IntRange(0, 400).Draw(rt, "steps") {
			for room := lim.Limit() - inFlight; lim.TryAcquire(); room-- {
				if room <= 0 {
					rt.Fatalf("a call was let in above the limit %d", lim.Limit())
				}
				inFlight++
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(rt, "pause")))
			own := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "own"))
			if rapid.IntRange(0, 99).Draw(rt, "reset") == 0 {
				lim.Reset(now)
			}
			for range rapid.IntRange(0, inFlight).Draw(rt, "answers") {
				lim.Release(now, own, limit.Result(rapid.IntRange(0, 4).Draw(rt, "result")))
				inFlight--
			}
			if lim.Limit() < 1 || lim.Limit() > set.Max || lim.InFlight() != inFlight || lim.SelfTime() < 0 {
				rt.Fatalf("limit %d of at most %d, in flight %d, want %d", lim.Limit(), set.Max, lim.InFlight(), inFlight)
			}
		}
	})
}
