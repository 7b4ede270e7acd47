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

// call is one call in the simulated upstream; done is when it is answered.
type call struct {
	sent, done time.Duration
	result     limit.Result
	nested     bool // done is when its nested call ends and the call asks for a slot
}

// callHeap orders calls by the time at which they are done.
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

// nextDone returns when the next call is done.
func (cas callHeap) nextDone() time.Duration { return cas[0].done }

// upstream simulates an upstream with slots and a FIFO queue before them, under a load that always has another call to
// send.
type upstream struct {
	lim         *limit.Limiter
	rng         *rand.Rand
	slots       func(at time.Duration) float64
	serviceTime func(at time.Duration) time.Duration // mean self time without queueing
	nestedTime  func(at time.Duration) time.Duration // mean time in a nested call before the call takes a slot, or nil
	exponential bool                                 // service times are exponentially distributed, not equal
	sheds       bool                                 // sheds calls without a free slot instead of queueing them
	maxInFlight int                                  // most calls that callers keep in flight
	now         time.Duration
	running     callHeap // calls that hold a slot, wait for a nested call or are being shed
	waiting     []call
	inService   int             // running calls that hold a slot
	successes   []time.Duration // time of each successful answer
	peakLimit   float64         // highest limit divided by the slots
}

const shedTime = time.Millisecond // from the arrival of a call to its refusal by an upstream that sheds it

var epoch = time.Unix(1_000_000, 0)

// startService gives a call a slot and draws its service time.
func (ups *upstream) startService(cal call) {
	workTime := float64(ups.serviceTime(ups.now))
	if ups.exponential {
		workTime *= ups.rng.ExpFloat64()
	}
	cal.done = ups.now + time.Duration(workTime)
	ups.inService++
	heap.Push(&ups.running, cal)
}

// isFull reports whether calls hold all slots.
func (ups *upstream) isFull() bool { return ups.inService >= int(ups.slots(ups.now)) }

// sendCall sends a new call, which first makes its nested call if the upstream has one.
func (ups *upstream) sendCall() {
	cal := call{sent: ups.now}
	switch {
	case ups.nestedTime != nil && ups.nestedTime(ups.now) > 0:
		cal.nested, cal.done = true, ups.now+time.Duration((0.5+ups.rng.Float64())*float64(ups.nestedTime(ups.now)))
		heap.Push(&ups.running, cal)
	default:
		ups.takeSlotOrQueue(cal)
	}
}

// takeSlotOrQueue starts the service of a call if a slot is free; otherwise it sheds or queues the call.
func (ups *upstream) takeSlotOrQueue(cal call) {
	switch {
	case !ups.isFull():
		ups.startService(cal)
	case ups.sheds:
		cal.result, cal.done = limit.Shed, ups.now+shedTime
		heap.Push(&ups.running, cal)
	default:
		ups.waiting = append(ups.waiting, cal)
	}
}

// restart replaces the process of the upstream; calls in flight are sent again to the new process.
func (ups *upstream) restart() {
	pending := len(ups.running) + len(ups.waiting)
	ups.running, ups.waiting, ups.inService = nil, nil, 0
	for range pending {
		ups.sendCall()
	}
}

// run applies load through the limiter until a time.
func (ups *upstream) run(until time.Duration) {
	for ups.now < until {
		for ups.lim.InFlight() < ups.maxInFlight && ups.lim.TryAcquire() {
			ups.sendCall()
		}
		cal := heap.Pop(&ups.running).(call)
		ups.now = cal.done
		if cal.nested {
			ups.takeSlotOrQueue(call{sent: ups.now})
			continue
		}
		if cal.result == limit.Success {
			ups.inService--
			ups.successes = append(ups.successes, ups.now)
		}
		for len(ups.waiting) > 0 && !ups.isFull() {
			ups.startService(ups.waiting[0])
			ups.waiting = ups.waiting[1:]
		}
		ups.lim.Release(epoch.Add(ups.now), ups.now-cal.sent, cal.result)
		ups.peakLimit = max(ups.peakLimit, float64(ups.lim.Limit())/ups.slots(ups.now))
	}
}

// goodput returns the successes between two times divided by the most that the slots could serve.
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

// constantOverTime returns a function that returns the value for every time.
func constantOverTime[T any](val T) func(time.Duration) T {
	return func(time.Duration) T { return val }
}

const (
	serviceTime  = 20 * time.Millisecond
	seedsPerCase = 7 // of each case with exponential service times
)

// upstreamKind selects the behaviour of a simulated upstream.
type upstreamKind struct {
	slots              float64
	exponential, sheds bool
}

func (ukd upstreamKind) String() string {
	return fmt.Sprintf("slots=%v/exponential=%v/sheds=%v", ukd.slots, ukd.exponential, ukd.sheds)
}

// newUpstream returns an upstream of this kind with a new limiter, under a load without a bound.
func (ukd upstreamKind) newUpstream(seed uint64) *upstream {
	return &upstream{
		lim: limit.New(limit.Settings{MaxConnections: 750}), rng: rand.New(rand.NewPCG(seed, uint64(ukd.slots))),
		slots: constantOverTime(ukd.slots), serviceTime: constantOverTime(serviceTime), exponential: ukd.exponential, sheds: ukd.sheds, maxInFlight: math.MaxInt,
	}
}

// forEachUpstream runs a subtest for each kind of upstream, with one upstream per seed.
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

// sortedMedian sorts the values, so that callers then find the extremes at the ends, and returns the median.
func sortedMedian(vals []float64) float64 {
	slices.Sort(vals)
	return vals[len(vals)/2]
}

// Guards against a limit whose climb stops below the capacity of the upstream, which wastes it, or goes on far beyond it,
// which overloads it.
func TestFindsKnee(t *testing.T) {
	const maxPeak = 2.5 // limit divided by slots; a doubling may start just below the knee, and noise adds the rest
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
		// With an upstream that sheds, the limit climbs in small steps near the number of slots and takes longer.
		if sortedMedian(climbing) < 0.95 && !ukd.sheds {
			t.Errorf("median goodput from 2 s to 4 s is %.3f, want 0.95", sortedMedian(climbing))
		}
		if sortedMedian(steady) < 0.95 || steady[0] < 0.9 {
			t.Errorf("goodput after 4 s is %.3f, worst %.3f; want 0.95, worst 0.9", sortedMedian(steady), steady[0])
		}
	})
}

// Guards against a limit that falls when the upstream becomes slower without queueing. A limit that compares latencies
// with an earlier minimum would fall to 1.
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
		t.Logf("goodput from 2 s after the slowdown: median %.3f, worst %.3f", sortedMedian(after), after[0])
		if sortedMedian(after) < 0.95 || after[0] < 0.9 {
			t.Errorf("goodput from 2 s after the slowdown is %.3f, worst %.3f; want 0.95, worst 0.9", sortedMedian(after), after[0])
		}
	})
}

// Guards against overloading a cold upstream that replaces a warm one: it must not get the load of the warm one.
func TestLimitFallsForColdUpstream(t *testing.T) {
	const (
		coldAt    = 5 * time.Second
		warmUp    = 10 * time.Second // time from the restart until all slots are available
		coldSlots = 4.0              // slots right after the restart
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
			firstAnswer, before := ups.running.nextDone(), ups.lim.Limit()
			for ups.lim.Limit() > before/2 {
				ups.run(ups.now + 1)
			}
			fallTimes = append(fallTimes, (ups.now - firstAnswer).Seconds())
			ups.run(coldAt + warmUp + 5*time.Second)
			warming = append(warming, ups.goodput(coldAt+time.Second, coldAt+warmUp))
			warm = append(warm, ups.goodput(coldAt+warmUp+2*time.Second, coldAt+warmUp+5*time.Second))
		}
		t.Logf("limit halved %.0f ms after the first answer (median), %.0f ms at worst; goodput while warming %.3f, warm %.3f",
			1000*sortedMedian(fallTimes), 1000*fallTimes[len(fallTimes)-1], sortedMedian(warming), sortedMedian(warm))
		if sortedMedian(fallTimes) > 0.12 || fallTimes[len(fallTimes)-1] > 0.2 {
			t.Errorf("limit halved %.3f s after the first answer, at worst %.3f s; want 0.12 s, at worst 0.2 s", sortedMedian(fallTimes), fallTimes[len(fallTimes)-1])
		}
		if sortedMedian(warming) < 0.7 || sortedMedian(warm) < 0.9 {
			t.Errorf("goodput is %.3f while warming and %.3f when warm, want 0.7 and 0.9", sortedMedian(warming), sortedMedian(warm))
		}
	})
}

// Guards against a limit that grows although the demand does not reach it: it would let the next surge through in full.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	ups := upstreamKind{100, true, false}.newUpstream(1)
	ups.maxInFlight = 3
	ups.run(20 * time.Second)
	if diff := cmp.Diff(4, ups.lim.Limit()); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}

// Guards against a slow service deep in a chain that lowers the limit of its callers. When the time in nested calls
// jumps from 0 to 500 ms, only the longest of the earlier calls are answered for a while; a cut because of them must be
// undone.
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
		t.Logf("limit %d before and at least %d with slow nested calls; goodput from 2 s after them %.3f", before, lowest, after)
		if float64(lowest) < 0.7*float64(before) || after < 0.95 {
			t.Errorf("limit fell from %d to %d, want at least 0.7 of it; goodput afterwards is %.3f, want 0.95", before, lowest, after)
		}
	}
}

// Guards against timeouts that lower the limit although the calls spent their time in nested calls: such timeouts say
// nothing about this upstream.
func TestNestedTimeoutsDoNotLowerLimit(t *testing.T) {
	lim := limit.New(limit.Settings{Initial: 10, MaxConnections: 10})
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

// Guards against a limit out of its bounds, calls admitted above the limit and wrong counts in flight, for any answers.
func TestLimitInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := limit.Settings{Initial: rapid.IntRange(1, 8).Draw(rt, "initial"), MaxConnections: rapid.IntRange(8, 64).Draw(rt, "max")}
		lim := limit.New(set)
		now, inFlight := epoch, 0
		for range rapid.IntRange(0, 400).Draw(rt, "steps") {
			for room := lim.Limit() - inFlight; lim.TryAcquire(); room-- {
				if room <= 0 {
					rt.Fatalf("a call was admitted above the limit %d", lim.Limit())
				}
				inFlight++
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(rt, "pause")))
			selfTime := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "self time"))
			if rapid.IntRange(0, 99).Draw(rt, "reset") == 0 {
				lim.Reset(now)
			}
			for range rapid.IntRange(0, inFlight).Draw(rt, "answers") {
				lim.Release(now, selfTime, limit.Result(rapid.IntRange(0, 4).Draw(rt, "result")))
				inFlight--
			}
			if lim.Limit() < 1 || lim.Limit() > set.MaxConnections || lim.InFlight() != inFlight || lim.SelfTime() < 0 {
				rt.Fatalf("limit %d, want 1 to %d; in flight %d, want %d", lim.Limit(), set.MaxConnections, lim.InFlight(), inFlight)
			}
		}
	})
}
