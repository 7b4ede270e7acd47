package gate_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/state/limit"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// admission limits the calls to an upstream: the gate, or a fixed limit for comparison.
type admission interface {
	acquire(ctx context.Context, cal *core.Call) (release func(selfTime time.Duration, res limit.Result), err error)
	fraction(rank int, team string) float64
}

type gateAdmission struct{ *gate.Gate }

func (gta gateAdmission) acquire(ctx context.Context, cal *core.Call) (func(time.Duration, limit.Result), error) {
	per, err := gta.Acquire(ctx, cal, cal.Rank())
	if err != nil {
		return nil, err
	}
	return per.Release, nil
}

func (gta gateAdmission) fraction(rank int, team string) float64 {
	return gta.AdmissionFraction(rank, team)
}

// fixedAdmission has a fixed limit and an unbounded FIFO queue.
type fixedAdmission struct{ slots chan struct{} }

func (fxa fixedAdmission) acquire(ctx context.Context, _ *core.Call) (func(time.Duration, limit.Result), error) {
	select {
	case fxa.slots <- struct{}{}:
		return func(time.Duration, limit.Result) { <-fxa.slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (fxa fixedAdmission) fraction(int, string) float64 { return 1 }

// fakeUpstream serves one call per slot at a time and has an unbounded FIFO queue in front of its slots.
type fakeUpstream struct {
	slots       chan struct{}
	serviceTime time.Duration
}

func newFakeUpstream(slots int, serviceTime time.Duration) *fakeUpstream {
	return &fakeUpstream{slots: make(chan struct{}, slots), serviceTime: serviceTime}
}

// serve serves one call and returns its latency, which includes the time in the queue of the upstream.
func (fup *fakeUpstream) serve() time.Duration {
	start := time.Now()
	fup.slots <- struct{}{}
	time.Sleep(fup.serviceTime)
	<-fup.slots
	return time.Since(start)
}

// loadStream is the load of one class and team.
type loadStream struct {
	rank int
	team string
	rate float64       // calls per second
	end  time.Duration // since the start of the simulation
}

// learnedFraction is the admission fraction that an entry node has learned for one stream.
type learnedFraction struct {
	sync.Mutex
	fraction  float64
	usedUntil time.Time
}

// fractionLifetime is how long an entry node uses a learned fraction before it admits all calls again.
const fractionLifetime = 500 * time.Millisecond

func (lfr *learnedFraction) admit(hash uint32) bool {
	lfr.Lock()
	defer lfr.Unlock()
	return time.Now().After(lfr.usedUntil) || float64(hash) < lfr.fraction*core.AdmissionHashSpace
}

func (lfr *learnedFraction) update(fraction float64) {
	lfr.Lock()
	defer lfr.Unlock()
	lfr.fraction, lfr.usedUntil = fraction, time.Now().Add(fractionLifetime)
}

// simulation sends streams of load through an admission to an upstream.
type simulation struct {
	admission admission
	upstream  *fakeUpstream
	rng       *rand.Rand
	start     time.Time

	mut         sync.Mutex
	offered     map[loadStream]float64       // calls sent during the surge
	answered    map[loadStream]float64       // those of them that were answered in time
	lastRefusal map[loadStream]time.Duration // since the start of the simulation
}

// Calls are counted from surgeStart to surgeEnd; by surgeStart the limit has adapted to the slots of the upstream.
const (
	surgeStart     = 4 * time.Second
	surgeEnd       = 12 * time.Second
	simulationTime = 16 * time.Second
)

func newSimulation(adm admission, fup *fakeUpstream) *simulation {
	return &simulation{
		admission: adm, upstream: fup, rng: rand.New(rand.NewPCG(3, 4)), start: time.Now(),
		offered: map[loadStream]float64{}, answered: map[loadStream]float64{}, lastRefusal: map[loadStream]time.Duration{},
	}
}

const callTimeout = time.Second

func newCall(lst loadStream, hash uint32, depth int, deadline time.Time) *core.Call {
	rid := core.RootID{byte(hash >> 24), byte(hash >> 16), byte(hash >> 8), byte(hash)}
	roo := core.NewRoot(core.RootSpec{ID: rid, Team: lst.team, Rank: lst.rank, Deadline: deadline})
	return core.NewCall(core.CallSpec{Root: roo, Depth: depth})
}

func (sim *simulation) count(into map[loadStream]float64, lst loadStream, at time.Duration) {
	sim.mut.Lock()
	defer sim.mut.Unlock()
	if at >= surgeStart && at < surgeEnd {
		into[lst]++
	}
}

func (sim *simulation) recordRefusal(lst loadStream) {
	sim.mut.Lock()
	defer sim.mut.Unlock()
	sim.lastRefusal[lst] = time.Since(sim.start)
}

func (sim *simulation) call(lst loadStream, hash uint32, lfr *learnedFraction) {
	at := time.Since(sim.start)
	sim.count(sim.offered, lst, at)
	if !lfr.admit(hash) {
		sim.recordRefusal(lst)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	release, err := sim.admission.acquire(ctx, newCall(lst, hash, 0, time.Now().Add(callTimeout)))
	if err != nil {
		lfr.update(sim.admission.fraction(lst.rank, lst.team))
		sim.recordRefusal(lst)
		return
	}
	selfTime := sim.upstream.serve()
	release(selfTime, limit.Success)
	lfr.update(sim.admission.fraction(lst.rank, lst.team))
	if ctx.Err() == nil {
		sim.count(sim.answered, lst, at)
	}
}

func (sim *simulation) run(streams []loadStream) {
	var grp sync.WaitGroup
	for _, lst := range streams {
		lfr := &learnedFraction{}
		rng := rand.New(rand.NewPCG(sim.rng.Uint64(), 1))
		grp.Go(func() {
			for time.Since(sim.start) < lst.end {
				time.Sleep(time.Duration(rng.ExpFloat64() / lst.rate * float64(time.Second)))
				hash := rng.Uint32()
				grp.Go(func() { sim.call(lst, hash, lfr) })
			}
		})
	}
	grp.Wait()
}

// servedFraction returns the fraction of a stream's calls during the surge that was answered in time.
func (sim *simulation) servedFraction(lst loadStream) float64 {
	return sim.answered[lst] / max(sim.offered[lst], 1)
}

// goodput returns the calls of the surge that were answered in time, divided by the capacity of the slots in that time.
func (sim *simulation) goodput() float64 {
	sum := 0.0
	for _, count := range sim.answered {
		sum += count
	}
	capacity := float64(cap(sim.upstream.slots)) / sim.upstream.serviceTime.Seconds() * (surgeEnd - surgeStart).Seconds()
	return sum / capacity
}

// Guards against an overload that costs calls for which there is capacity: the most important class is refused while a
// less important one runs, a team within its fair share gets less than its demand, the upstream has idle slots, or
// refusals go on for more than 2 s after the overload. With a fixed limit and a FIFO queue, for comparison, the
// upstream serves calls whose callers no longer wait.
func TestOverload(t *testing.T) {
	confirm, modestTeam := loadStream{0, "a", 400, simulationTime}, loadStream{1, "a", 150, simulationTime}
	streams := []loadStream{
		confirm, modestTeam,
		{1, "b", 1000, surgeEnd},
		{1, "c", 2000, surgeEnd}, // fair share of b and of c in calls per second: (1000 - 400 - 150) / 2
		{2, "a", 2000, surgeEnd},
	}
	run := func(build func() admission) *simulation {
		var sim *simulation
		synctest.Test(t, func(*testing.T) {
			sim = newSimulation(build(), newFakeUpstream(20, 20*time.Millisecond))
			sim.run(streams)
		})
		return sim
	}
	fixed := run(func() admission { return fixedAdmission{make(chan struct{}, 750)} })
	sim := run(func() admission {
		return gateAdmission{gate.New(gate.Settings{Limit: limit.Settings{MaxConnections: 750}})}
	})
	for name, res := range map[string]*simulation{"fixed limit": fixed, "gate": sim} {
		t.Logf("%s: goodput %.3f; served fraction of rank 0 %.4f, modest team %.4f, surging teams %.3f %.3f, rank 2 %.3f", name,
			res.goodput(), res.servedFraction(confirm), res.servedFraction(modestTeam),
			res.servedFraction(streams[2]), res.servedFraction(streams[3]), res.servedFraction(streams[4]))
	}
	if got := sim.goodput(); got < 0.95 || got <= fixed.goodput() {
		t.Errorf("goodput is %.3f, with a fixed limit %.3f; want at least 0.95 and more than with a fixed limit", got, fixed.goodput())
	}
	if got := sim.servedFraction(confirm); got < 0.9999 {
		t.Errorf("served fraction of rank 0 is %.4f, want at least 0.9999", got)
	}
	if got := sim.servedFraction(modestTeam); got < 0.95 {
		t.Errorf("served fraction of the modest team is %.4f, want at least 0.95", got)
	}
	for _, lst := range streams {
		if last := sim.lastRefusal[lst]; last > surgeEnd+2*time.Second {
			t.Errorf("%v was refused until %v after the overload, want at most 2 s", lst, last-surgeEnd)
		}
	}
}

func fixedGate(slots int, maxWait time.Duration) *gate.Gate {
	return gate.New(gate.Settings{Limit: limit.Settings{Initial: slots, MaxConnections: slots}, MaxWait: maxWait})
}

// Guards against a queue that serves or evicts calls in the wrong order. Slots go to the most important rank first,
// then to nested calls, then to low hashes; a full queue evicts from the other end of that order.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := fixedGate(1, time.Minute)
		per, err := gat.Acquire(t.Context(), newCall(loadStream{}, 0, 0, time.Time{}), 0)
		if err != nil {
			t.Fatal(err)
		}
		var order, evicted []string
		enqueue := func(name string, rank, depth int, hash uint32) {
			go func() {
				per, err := gat.Acquire(t.Context(), newCall(loadStream{rank: rank, team: "a"}, hash, depth, time.Time{}), rank)
				if err != nil {
					evicted = append(evicted, name+" "+string(core.AsRefusal(err).Reason())+" "+core.AsRefusal(err).Outcome().String())
					return
				}
				order = append(order, name)
				per.Release(time.Millisecond, limit.Cancelled)
			}()
			synctest.Wait()
		}
		enqueue("read", 2, 0, 1)
		for range 12 {
			enqueue("fill", 1, 0, 5<<20)
		}
		enqueue("new low hash", 0, 0, 1<<20)
		enqueue("new high hash", 0, 0, 2<<20)
		enqueue("nested", 0, 1, 3<<20)
		enqueue("nested read", 2, 1, 9<<20) // the queue is full: evicts the read
		if diff := cmp.Diff(16.0+1, gat.Load()); diff != "" {
			t.Errorf("load (-want +got):\n%s", diff)
		}
		per.Release(time.Millisecond, limit.Cancelled)
		per.Release(time.Millisecond, limit.Cancelled)
		synctest.Wait()
		got := append(slices.Compact(order), evicted...)
		want := []string{"nested", "new low hash", "new high hash", "fill", "nested read", "read overload not-run"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("order, then evicted (-want +got):\n%s", diff)
		}
		if gat.InFlight() != 0 || gat.Queued() != 0 {
			t.Errorf("%d in flight, %d queued; want none", gat.InFlight(), gat.Queued())
		}
	})
}

// Guards against a refusal with the wrong reason or outcome, one that comes too early or too late, and one that keeps a
// slot or stays queued.
func TestRefusals(t *testing.T) {
	const never, maxWait = time.Hour, 100 * time.Millisecond
	tests := []struct {
		name     string
		deadline time.Duration
		cancel   time.Duration // when the caller cancels the call; 0 is before the call
		timeout  time.Duration // of the context
		want     core.Reason
		after    time.Duration // from the call to its refusal
	}{
		{"cancelled before", never, 0, never, core.ReasonCancelled, 0},
		{"cancelled while queued", never, 30 * time.Millisecond, never, core.ReasonCancelled, 30 * time.Millisecond},
		{"context ends", never, never, 40 * time.Millisecond, core.ReasonDeadline, 40 * time.Millisecond},
		{"deadline passed", -time.Second, never, never, core.ReasonDeadline, 0},
		{"less left than the upstream needs", 15 * time.Millisecond, never, never, core.ReasonDeadline, 0},
		{"too late while queued", 70 * time.Millisecond, never, never, core.ReasonDeadline, 50 * time.Millisecond},
		{"no slot", never, never, never, core.ReasonOverload, maxWait},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gat := fixedGate(1, maxWait)
				for range 20 { // until the gate has learned a typical self time of 20 ms
					mustAcquire(t, gat).Release(20*time.Millisecond, limit.Success)
					time.Sleep(20 * time.Millisecond)
				}
				holder := mustAcquire(t, gat)
				ctx, cancel := context.WithTimeout(t.Context(), tst.timeout)
				if tst.cancel == 0 {
					cancel()
				}
				time.AfterFunc(tst.cancel, cancel)
				start := time.Now()
				_, err := gat.Acquire(ctx, newCall(loadStream{}, 1, 0, start.Add(tst.deadline)), 0)
				ref := core.AsRefusal(err)
				got := []any{ref.Reason(), ref.Outcome(), time.Since(start), gat.Queued(), gat.InFlight()}
				if diff := cmp.Diff([]any{tst.want, core.OutcomeNotRun, tst.after, 0, 1}, got); diff != "" {
					t.Errorf("reason, outcome, time of the refusal, queued, in flight (-want +got):\n%s", diff)
				}
				holder.Release(0, limit.Cancelled)
				cancel()
			})
		})
	}
}

func mustAcquire(t *testing.T, gat *gate.Gate) *gate.Permit {
	t.Helper()
	per, err := gat.Acquire(t.Context(), newCall(loadStream{}, 0, 0, time.Time{}), 0)
	if err != nil {
		t.Fatal(err)
	}
	return per
}

// scheduledCall is one call of a random schedule and its result.
type scheduledCall struct {
	rank        int
	arrival     time.Duration
	serviceTime time.Duration
	queueTime   time.Duration // from the arrival to the slot or the refusal
	granted     bool
}

// Guards against priority inversion: a call gets a slot while a more important one is queued, also when it gets the
// slot without having been queued.
func TestNoPriorityInversion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		schedule := make([]*scheduledCall, rapid.IntRange(2, 60).Draw(rt, "calls"))
		for i := range schedule {
			schedule[i] = &scheduledCall{
				rank:        rapid.IntRange(0, 2).Draw(rt, "rank"),
				arrival:     time.Duration(rapid.IntRange(0, 200).Draw(rt, "arrival")) * time.Millisecond,
				serviceTime: time.Duration(rapid.IntRange(1, 60).Draw(rt, "service time")) * time.Millisecond,
			}
		}
		synctest.Test(t, func(t *testing.T) { runSchedule(t, slots, schedule) })
		for _, one := range schedule {
			for _, two := range schedule {
				at := one.arrival + one.queueTime
				if one.granted && two.rank < one.rank && two.arrival < at && two.arrival+two.queueTime > at {
					rt.Fatalf("%+v got a slot while the more important %+v was queued", *one, *two)
				}
			}
		}
	})
}

func runSchedule(t *testing.T, slots int, schedule []*scheduledCall) {
	gat := fixedGate(slots, 50*time.Millisecond)
	var grp sync.WaitGroup
	for i, sch := range schedule {
		grp.Go(func() {
			time.Sleep(sch.arrival)
			cal := newCall(loadStream{rank: sch.rank}, uint32(i)<<24, 0, time.Time{})
			start := time.Now()
			per, err := gat.Acquire(t.Context(), cal, sch.rank)
			sch.queueTime = time.Since(start)
			if sch.granted = err == nil; sch.granted {
				time.Sleep(sch.serviceTime)
				per.Release(sch.serviceTime, limit.Success)
			}
		})
	}
	grp.Wait()
	if gat.InFlight() != 0 || gat.Queued() != 0 {
		t.Errorf("%d in flight, %d queued; want none", gat.InFlight(), gat.Queued())
	}
}

// Guards against a shutdown that does not wait for the calls in flight and queued, and against a restarted upstream
// that gets calls up to the limit of the previous one instead of the initial limit.
func TestWaitIdleAndReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gate.Settings{MaxWait: time.Second})
		var permits []*gate.Permit
		for range gat.Limit() {
			permits = append(permits, mustAcquire(t, gat))
		}
		start := time.Now()
		go func() {
			per := mustAcquire(t, gat) // is queued for 100 ms
			time.Sleep(200 * time.Millisecond)
			per.Release(200*time.Millisecond, limit.Success)
		}()
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := gat.WaitIdle(short); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("WaitIdle returned %v, want context.DeadlineExceeded", err)
		}
		time.AfterFunc(50*time.Millisecond, func() {
			for _, per := range permits {
				per.Release(0, limit.ConnectionFailed)
			}
		})
		if err := gat.WaitIdle(t.Context()); err != nil {
			t.Error(err)
		}
		gat.Reset()
		got := []any{time.Since(start), gat.Limit(), gat.InFlight()}
		if diff := cmp.Diff([]any{300 * time.Millisecond, 4, 0}, got); diff != "" {
			t.Errorf("idle after, limit, in flight (-want +got):\n%s", diff)
		}
	})
}

// Guards against more calls in flight than the limit and against queued calls that are never woken, when callers
// compete for few slots. Runs without virtual time, so that goroutines run in parallel.
func TestConcurrentAcquire(t *testing.T) {
	const slots = 3
	gat := fixedGate(slots, time.Minute)
	var grp sync.WaitGroup
	var inFlight atomic.Int64
	for i := range 16 {
		grp.Go(func() {
			for range 500 {
				per, err := gat.Acquire(t.Context(), newCall(loadStream{}, uint32(i), i%2, time.Time{}), i%3)
				if err != nil {
					continue // the class is refused while all slots are taken
				}
				if inFlight.Add(1) > slots {
					t.Error("more calls in flight than the limit")
				}
				runtime.Gosched()
				inFlight.Add(-1)
				per.Release(time.Microsecond, limit.Success)
			}
		})
	}
	grp.Wait()
	if err := gat.WaitIdle(t.Context()); err != nil {
		t.Error(err)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	newLargeGate := func() (*gate.Gate, *core.Call) {
		return fixedGate(1<<20, 0), newCall(loadStream{team: "a"}, 1, 0, time.Now().Add(time.Hour))
	}
	acquireRelease := func(gat *gate.Gate, cal *core.Call) {
		per, err := gat.Acquire(context.Background(), cal, 0)
		if err != nil {
			b.Fatal(err)
		}
		per.Release(time.Millisecond, limit.Success)
	}
	b.Run("uncontended", func(b *testing.B) {
		gat, cal := newLargeGate()
		b.ReportAllocs()
		for b.Loop() {
			acquireRelease(gat, cal)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		gat, cal := newLargeGate()
		b.ReportAllocs()
		b.RunParallel(func(pbm *testing.PB) {
			for pbm.Next() {
				acquireRelease(gat, cal)
			}
		})
	})
}
