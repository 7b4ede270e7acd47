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
	res        limit.Result
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
func (cas calls) soonest() time.Duration { return cas[0].done }

// origin simulates an upstream with slots, a FIFO queue behind them and a load that always has a next call.
type origin struct {
	lim     *limit.Limiter
	rng     *rand.Rand
	slots   func(at time.Duration) float64
	service func(at time.Duration) time.Duration // own time without queueing
	nested  func(at time.Duration) time.Duration // nested call before the own work, or nil
	noisy   bool
	sheds   bool // answers 503 above the slots instead of queueing
	demand  int  // calls that callers keep in flight at most
	at      time.Duration
	running calls
	waiting []call
	serving int             // running calls that occupy a slot
	good    []time.Duration // when each success was answered
	peak    float64         // highest limit over slots
}

const shedTime = time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func (ori *origin) begin(cal call) {
	own := float64(ori.service(ori.at))
	if ori.noisy {
		own *= ori.rng.ExpFloat64()
	}
	cal.done = ori.at + time.Duration(own)
	ori.serving++
	heap.Push(&ori.running, cal)
}

func (ori *origin) full() bool { return ori.serving >= int(ori.slots(ori.at)) }

func (ori *origin) send() {
	cal := call{sent: ori.at}
	switch {
	case ori.nested != nil && ori.nested(ori.at) > 0:
		cal.nested, cal.done = true, ori.at+time.Duration((0.5+ori.rng.Float64())*float64(ori.nested(ori.at)))
		heap.Push(&ori.running, cal)
	default:
		ori.work(cal)
	}
}

func (ori *origin) work(cal call) {
	switch {
	case !ori.full():
		ori.begin(cal)
	case ori.sheds:
		cal.res, cal.done = limit.Shed, ori.at+shedTime
		heap.Push(&ori.running, cal)
	default:
		ori.waiting = append(ori.waiting, cal)
	}
}

// replace puts a new process in the place of the old one; calls in flight arrive at it anew.
func (ori *origin) replace() {
	pending := len(ori.running) + len(ori.waiting)
	ori.running, ori.waiting, ori.serving = nil, nil, 0
	for range pending {
		ori.send()
	}
}

// run drives load against the limiter until a time.
func (ori *origin) run(until time.Duration) {
	for ori.at < until {
		for ori.lim.InFlight() < ori.demand && ori.lim.TryAcquire() {
			ori.send()
		}
		cal := heap.Pop(&ori.running).(call)
		ori.at = cal.done
		if cal.nested {
			ori.work(call{sent: ori.at})
			continue
		}
		if cal.res == limit.Success {
			ori.serving--
			ori.good = append(ori.good, ori.at)
		}
		for len(ori.waiting) > 0 && !ori.full() {
			ori.begin(ori.waiting[0])
			ori.waiting = ori.waiting[1:]
		}
		ori.lim.Release(epoch.Add(ori.at), ori.at-cal.sent, cal.res)
		ori.peak = max(ori.peak, float64(ori.lim.Limit())/ori.slots(ori.at))
	}
}

// goodput returns successes between two times over what the slots could do at most.
func (ori *origin) goodput(from, until time.Duration) float64 {
	count, most := 0.0, 0.0
	for _, at := range ori.good {
		if at >= from && at < until {
			count++
		}
	}
	for at := from; at < until; at += time.Millisecond {
		most += ori.slots(at) * float64(time.Millisecond) / float64(ori.service(at))
	}
	return count / most
}

func fixed[T any](val T) func(time.Duration) T {
	return func(time.Duration) T { return val }
}

const (
	serviceTime = 20 * time.Millisecond
	trials      = 7 // seeds of each noisy case
)

// kind is one kind of upstream.
type kind struct {
	slots        float64
	noisy, sheds bool
}

func (kin kind) String() string {
	return fmt.Sprintf("slots=%v/noisy=%v/sheds=%v", kin.slots, kin.noisy, kin.sheds)
}

func (kin kind) origin(seed uint64) *origin {
	return &origin{
		lim: limit.New(limit.Settings{Max: 750}), rng: rand.New(rand.NewPCG(seed, uint64(kin.slots))),
		slots: fixed(kin.slots), service: fixed(serviceTime), noisy: kin.noisy, sheds: kin.sheds, demand: math.MaxInt,
	}
}

// forEachKind runs a test for each kind of upstream with an origin for each seed.
func forEachKind(t *testing.T, sheds []bool, test func(t *testing.T, kin kind, oris []*origin)) {
	for _, slots := range []float64{30, 100, 220} {
		for _, noisy := range []bool{false, true} {
			for _, shed := range sheds {
				kin := kind{slots, noisy, shed}
				count := 1
				if noisy {
					count = trials
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
	const farPast = 2.5 // a doubling may start just below the knee; the rest is noise
	forEachKind(t, []bool{false, true}, func(t *testing.T, kin kind, oris []*origin) {
		var early, steady []float64
		for _, ori := range oris {
			ori.run(10 * time.Second)
			early = append(early, ori.goodput(2*time.Second, 4*time.Second))
			steady = append(steady, ori.goodput(4*time.Second, 10*time.Second))
			if ori.peak > farPast {
				t.Errorf("limit reached %.2f times the slots, want at most %v", ori.peak, farPast)
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
	forEachKind(t, []bool{false}, func(t *testing.T, _ kind, oris []*origin) {
		var after []float64
		for _, ori := range oris {
			ori.service = func(at time.Duration) time.Duration {
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
func TestFallsForColdUpstream(t *testing.T) {
	const (
		cold  = 5 * time.Second
		warm  = 10 * time.Second // time until all slots are there
		slots = 4.0              // of a cold upstream
	)
	forEachKind(t, []bool{false, true}, func(t *testing.T, kin kind, oris []*origin) {
		var falls, climb, end []float64
		for _, ori := range oris {
			ori.slots = func(at time.Duration) float64 {
				if at < cold {
					return kin.slots
				}
				return min(kin.slots, slots+(kin.slots-slots)*(at-cold).Seconds()/warm.Seconds())
			}
			ori.run(cold)
			ori.replace()
			first, before := ori.running.soonest(), ori.lim.Limit()
			for ori.lim.Limit() > before/2 {
				ori.run(ori.at + 1)
			}
			falls = append(falls, (ori.at - first).Seconds())
			ori.run(cold + warm + 5*time.Second)
			climb = append(climb, ori.goodput(cold+time.Second, cold+warm))
			end = append(end, ori.goodput(cold+warm+2*time.Second, cold+warm+5*time.Second))
		}
		t.Logf("fell %.0f ms after the first answer (median), %.0f ms at worst; goodput while warming %.3f, warm %.3f",
			1000*median(falls), 1000*falls[len(falls)-1], median(climb), median(end))
		if median(falls) > 0.12 || falls[len(falls)-1] > 0.2 {
			t.Errorf("limit fell after %.3f s, at worst %.3f s", median(falls), falls[len(falls)-1])
		}
		if median(climb) < 0.7 || median(end) < 0.9 {
			t.Errorf("goodput is %.3f while warming and %.3f when warm", median(climb), median(end))
		}
	})
}

// A limit that grows without use lets the next surge through in full.
func TestUnusedLimitDoesNotGrow(t *testing.T) {
	ori := kind{100, true, false}.origin(1)
	ori.demand = 3
	ori.run(20 * time.Second)
	if diff := cmp.Diff(4, ori.lim.Limit()); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
}

// A slow service deep in the chain must not reduce the limit of its callers. When nested calls jump from 0 to
// 500 ms, only the longest of the earlier calls are answered for a while; a cut because of them is taken back.
func TestNestedTimeDoesNotLowerLimit(t *testing.T) {
	for seed := range uint64(trials) {
		ori := kind{100, true, false}.origin(seed)
		const slow, end = 5 * time.Second, 12 * time.Second
		ori.nested = func(at time.Duration) time.Duration {
			if at >= slow && at < end {
				return 500 * time.Millisecond
			}
			return 0
		}
		ori.run(slow)
		before, least := ori.lim.Limit(), math.MaxInt
		ori.run(slow + time.Second)
		for ori.at < end {
			ori.run(ori.at + 1)
			least = min(least, ori.lim.Limit())
		}
		ori.run(end + 5*time.Second)
		after := ori.goodput(end+2*time.Second, end+5*time.Second)
		t.Logf("limit %d, at least %d with slow nested calls, goodput from 2 s after %.3f", before, least, after)
		if float64(least) < 0.7*float64(before) || after < 0.95 {
			t.Errorf("limit fell from %d to %d, goodput %.3f; want 0.7 of it and 0.95", before, least, after)
		}
	}
}

// Timeouts of calls that spent their time in nested calls say nothing about this upstream.
func TestNestedTimeouts(t *testing.T) {
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
