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

type callHeap []call

func (cas callHeap) Len() int           { return len(cas) }
func (cas callHeap) Less(i, j int) bool { return cas[i].done < cas[j].done }
func (cas callHeap) Swap(i, j int)      { cas[i], cas[j] = cas[j], cas[i] }
func (cas *callHeap) Push(x any)        { *cas = append(*cas, x.(call)) }
func (cas *callHeap) Pop() any {
	all := *cas
	last := all[len(all)-1]
	*cas = all[:len(all)-1]
	return last
}

// soonest returns when the next call is answered.
func (cas callHeap) nextDone() time.Duration { return cas[0].done }

// origin simulates an upstream with slots, a FIFO queue behind them and a load that always has a next call.
type upstream struct {
	lim         *limit.Limiter
	rng         *rand.Rand
	slots       func(at time.Duration) float64
	serviceTime func(at time.Duration) time.Duration // own time without queueing
	nestedTime  func(at time.Duration) time.Duration // nested call before the own work, or nil
	exponential bool
	sheds       bool // answers 503 above the slots instead of queueing
	maxInFlight int  // calls that callers keep in flight at most
	now         time.Duration
	running     callHeap
	waiting     []call
	inService   int             // running calls that occupy a slot
	successes   []time.Duration // when each success was answered
	peakLimit   float64         // highest limit over slots
}

const shedTime = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func (ups *upstream) startService(cal call) {
	workTime := float64(ups.serviceTime(ups.now))
	if ups.exponential {
		workTime *= ups.rng.ExpFloat64()
	}
	cal.done = ups.now + time.Duration(workTime)
	ups.inService++
	heap.Push(&ups.running, cal)
}

func (ups *upstream) full() bool { return ups.inService >= int(ups.slots(ups.now)) }

func (ups *upstream) send() {
	cal := call{sent: ups.now}
	switch {
	case ups.nestedTime != nil && ups.nestedTime(ups.now) > 0:
		cal.nested, cal.done = true, ups.now+time.Duration((0.5+ups.rng.Float64())*float64(ups.nestedTime(ups.now)))
		heap.Push(&ups.running, cal)
	default:
		ups.arrive(cal)
	}
}

func (ups *upstream) arrive(cal call) {
	switch {
	case !ups.full():
		ups.startService(cal)
	case ups.sheds:
		cal.result, cal.done = limit.Shed, ups.now+shedTime
		heap.Push(&ups.running, cal)
	default:
		ups.waiting = append(ups.waiting, cal)
	}
}

// replace puts a new process in the place of the old one; calls in flight arrive at it anew.
func (ups *upstream) restart() {
	pending := len(ups.running) + len(ups.waiting)
	ups.running, ups.waiting, ups.inService = nil, nil, 0
	for range pending {
		ups.send()
	}
}

// run drives load against the limiter until a time.
func (ups *upstream) run(until time.Duration) {
	for ups.now < until {
		for ups.lim.InFlight() < ups.maxInFlight && ups.lim.TryAcquire() {
			ups.send()
		}
		cal := heap.Pop(&ups.running).(call)
		ups.now = cal.done
		if cal.nested {
			ups.arrive(call{sent: ups.now})
			continue
		}
		if cal.result == limit.Success {
			ups.inService--
			ups.successes = append(ups.successes, ups.now)
		}
		for len(ups.waiting) > 0 && !ups.full() {
			ups.startService(ups.waiting[0])
			ups.waiting = ups.waiting[1:]
		}
		ups.lim.Release(epoch.Add(ups.now), ups.now-cal.sent, cal.result)
		ups.peakLimit = max(ups.peakLimit, float64(ups.lim.Limit())/ups.slots(ups.now))
	}
}

// goodput returns successes between two times over what the slots could do at most.
func (ups *upstream) goodput(from, until time.Duration) float64 {
	count, possible := 0.0, 0.0
	for _, at := range ups.successes {
		if at >= from && at < until {
			count++
		}
	}
	for at := from; at < until; at += time.Millisecond {
		possible += ups.slots(at) * float64(time.Millisecond) / float64(ups.serviceTime(at))
	}
	return count / possible
}

func constant[T any](val T) func(time.Duration) T {
	return func(time.Duration) T { return val }
}

const (
	serviceTime  = 20 * time.Millisecond
	seedsPerCase = 7 // seeds of each noisy case
)

// kind is one kind of upstream.
type upstreamKind struct {
	slots              float64
	exponential, sheds bool
}

func (ukd upstreamKind) String() string {
	return fmt.Sprintf("slots=%v/noisy=%v/sheds=%v", ukd.slots, ukd.exponential, ukd.sheds)
}

func (ukd upstreamKind) newUpstream(seed uint64) *upstream {
	return &upstream{
		lim: limit.New(limit.Settings{Max: 750}), rng: rand.New(rand.NewPCG(seed, uint64(ukd.slots))),
		slots: constant(ukd.slots), serviceTime: constant(serviceTime), exponential: ukd.exponential, sheds: ukd.sheds, maxInFlight: math.MaxInt,
	}
}

// forEachKind runs a test for each kind of upstream with an origin for each seed.
func forEachUpstream(t *testing.T, sheds []bool, test func(t *testing.T, ukd upstreamKind, upstreams []*upstream)) {
	for _, slots := range []float64{30, 100, 220} {
		for _, exponential := range []bool{false, true} {
			for _, shed := range sheds {
				ukd := upstreamKind{slots, exponential, shed}
				count := 1
				if exponential {
					count = seedsPerCase
				}
				var upstreams []*upstream
				for seed := range count {
					upstreams = append(upstreams, ukd.newUpstream(uint64(seed)))
				}
				t.Run(ukd.String(), func(t *testing.T) {
					t.Parallel()
					test(t, ukd, upstreams)
				})
			}
		}
	}
}

func sortedMedian(vals []float64) float64 {
	slices.Sort(vals)
	return vals[len(vals)/2]
}

// A climb that stops early wastes the upstream; one that goes on too long overloads it.
func TestFindsKnee(t *testing.T) {
	const maxPeak = 2.5 // a doubling may start just below the knee; the rest is noise
	forEachUpstream(t, []bool{false, true}, func(t *testing.T, ukd upstreamKind, upstreams []*upstream) {
		var climbing, steady []float64
		for _, ups := range upstreams {
			ups.run(10 * time.Second)
			climbing = append(climbing, ups.goodput(2*time.Second, 4*time.Second))
			steady = append(steady, ups.goodput(4*time.Second, 10*time.Second))
			if ups.peakLimit > maxPeak {
				t.Errorf("limit reached %.2f times the slots, want at most %v", ups.peakLimit, maxPeak)
			}
		}
		t.Logf("goodput after 2 s: median %.3f, worst %.3f; after 4 s: median %.3f, worst %.3f",
			sortedMedian(climbing), climbing[0], sortedMedian(steady), steady[0])
		// Near the slots of an upstream that sheds, the climb goes in small steps and takes longer.
		if sortedMedian(climbing) < 0.95 && !ukd.sheds {
			t.Errorf("median goodput from 2 s to 4 s is %.3f, want 0.95", sortedMedian(climbing))
		}
		if sortedMedian(steady) < 0.95 || steady[0] < 0.9 {
			t.Errorf("goodput after 4 s is %.3f, worst %.3f; want 0.95, worst 0.9", sortedMedian(steady), steady[0])
		}
	})
}

// A limit from latencies against an old minimum falls to 1 when the upstream becomes slower without queueing.
func TestKeepsGoodputWhenServiceSlows(t *testing.T) {
	const slowFrom = 5 * time.Second
	forEachUpstream(t, []bool{false}, func(t *testing.T, _ upstreamKind, upstreams []*upstream) {
		var after []float64
		for _, ups := range upstreams {
			ups.serviceTime = func(at time.Duration) time.Duration {
				if at >= slowFrom {
					return 10 * serviceTime
				}
				return serviceTime
			}
			ups.run(slowFrom + 10*time.Second)
			after = append(after, ups.goodput(slowFrom+2*time.Second, slowFrom+10*time.Second))
		}
		t.Logf("goodput from 2 s after: median %.3f, worst %.3f", sortedMedian(after), after[0])
		if sortedMedian(after) < 0.95 || after[0] < 0.9 {
			t.Errorf("goodput is %.3f, worst %.3f; want 0.95, worst 0.9", sortedMedian(after), after[0])
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
	forEachUpstream(t, []bool{false, true}, func(t *testing.T, ukd upstreamKind, upstreams []*upstream) {
		var fallTimes, warming, warm []float64
		for _, ups := range upstreams {
			ups.slots = func(at time.Duration) float64 {
				if at < coldAt {
					return ukd.slots
				}
				return min(ukd.slots, coldSlots+(ukd.slots-coldSlots)*(at-coldAt).Seconds()/warmUp.Seconds())
			}
			ups.run(coldAt)
			ups.restart()
			first, before := ups.running.nextDone(), ups.lim.Limit()
			for ups.lim.Limit() > before/2 {
				ups.run(ups.now + 1)
			}
			fallTimes = append(fallTimes, (ups.now - first).Seconds())
			ups.run(coldAt + warmUp + 5*time.Second)
			warming = append(warming, ups.goodput(coldAt+time.Second, coldAt+warmUp))
			warm = append(warm, ups.goodput(coldAt+warmUp+2*time.Second, coldAt+warmUp+5*time.Second))
		}
		t.Logf("fell %.0f ms after the first answer (median), %.0f ms at worst; goodput while warming %.3f, warm %.3f",
			1000*sortedMedian(fallTimes), 1000*fallTimes[len(fallTimes)-1], sortedMedian(warming), sortedMedian(warm))
		if sortedMedian(fallTimes) > 0.12 || fallTimes[len(fallTimes)-1] > 0.2 {
			t.Errorf("limit fell after %.3f s, at worst %.3f s", sortedMedian(fallTimes), fallTimes[len(fallTimes)-1])
		}
		if sortedMedian(warming) < 0.7 || sortedMedian(warm) < 0.9 {
			t.Errorf("goodput is %.3f while warming and %.3f when warm", sortedMedian(warming), sortedMedian(warm))
		}
	})
}

// A limit that grows without use lets the next surge through in full.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	ups := upstreamKind{100, true, false}.newUpstream(1)
	ups.maxInFlight = 3
	ups.run(20 * time.Second)
	if diff := cmp.Diff(4, ups.lim.Limit()); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}

// A slow service deep in the chain must not reduce the limit of its callers. When nested calls jump from 0 to
// 500 ms, only the longest of the earlier calls are answered for a while; a cut because of them is taken back.
func TestNestedTimeDoesNotLowerLimit(t *testing.T) {
	for seed := range uint64(seedsPerCase) {
		ups := upstreamKind{100, true, false}.newUpstream(seed)
		const slowFrom, slowUntil = 5 * time.Second, 12 * time.Second
		ups.nestedTime = func(at time.Duration) time.Duration {
			if at >= slowFrom && at < slowUntil {
				return 500 * time.Millisecond
			}
			return 0
		}
		ups.run(slowFrom)
		before, lowest := ups.lim.Limit(), math.MaxInt
		ups.run(slowFrom + time.Second)
		for ups.now < slowUntil {
			ups.run(ups.now + 1)
			lowest = min(lowest, ups.lim.Limit())
		}
		ups.run(slowUntil + 5*time.Second)
		after := ups.goodput(slowUntil+2*time.Second, slowUntil+5*time.Second)
		t.Logf("limit %d, at least %d with slow nested calls, goodput from 2 s after %.3f", before, lowest, after)
		if float64(lowest) < 0.7*float64(before) || after < 0.95 {
			t.Errorf("limit fell from %d to %d, goodput %.3f; want 0.7 of it and 0.95", before, lowest, after)
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
