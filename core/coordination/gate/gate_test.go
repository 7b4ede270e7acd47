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

// entrance is what holds calls back before an upstream: the gate, or the naive version.
type entrance interface {
	enter(ctx context.Context, cal *core.Call) (leave func(own time.Duration, res limit.Result), err error)
	fraction(rank int, team string) float64
}

type gated struct{ *gate.Gate }

func (gtd gated) enter(ctx context.Context, cal *core.Call) (func(time.Duration, limit.Result), error) {
	tic, err := gtd.Acquire(ctx, cal, cal.Rank())
	if err != nil {
		return nil, err
	}
	return tic.Release, nil
}

func (gtd gated) fraction(rank int, team string) float64 { return gtd.AdmissionFraction(rank, team) }

// naive has a fixed limit and an unbounded FIFO queue.
type naive struct{ places chan struct{} }

func (nai naive) enter(ctx context.Context, _ *core.Call) (func(time.Duration, limit.Result), error) {
	select {
	case nai.places <- struct{}{}:
		return func(time.Duration, limit.Result) { <-nai.places }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (nai naive) fraction(int, string) float64 { return 1 }

// origin is a fake upstream with a FIFO queue behind its slots.
type origin struct {
	slots   chan struct{}
	service time.Duration
}

func newOrigin(slots int, service time.Duration) *origin {
	return &origin{slots: make(chan struct{}, slots), service: service}
}

func (ori *origin) serve() time.Duration {
	start := time.Now()
	ori.slots <- struct{}{}
	time.Sleep(ori.service)
	<-ori.slots
	return time.Since(start)
}

// stream is the load of one class and team.
type stream struct {
	rank  int
	team  string
	rate  float64 // calls per second
	until time.Duration
}

// learned is what an entry node knows of one stream's fraction.
type learned struct {
	sync.Mutex
	fraction float64
	until    time.Time
}

const learnedTime = 500 * time.Millisecond

func (lea *learned) admits(hash uint32) bool {
	lea.Lock()
	defer lea.Unlock()
	return time.Now().After(lea.until) || float64(hash) < lea.fraction*core.HashSpace
}

func (lea *learned) learn(fraction float64) {
	lea.Lock()
	defer lea.Unlock()
	lea.fraction, lea.until = fraction, time.Now().Add(learnedTime)
}

// bench runs streams of load through an entrance to an upstream.
type bench struct {
	ent   entrance
	ori   *origin
	rng   *rand.Rand
	start time.Time

	mu          sync.Mutex
	offered     map[stream]float64 // in the measured time
	answered    map[stream]float64
	lastRefusal map[stream]time.Duration
}

// The surge is measured once the limit has found the upstream's slots.
const (
	surgeFrom  = 4 * time.Second
	surgeUntil = 12 * time.Second
	benchTime  = 16 * time.Second
)

func newBench(ent entrance, ori *origin) *bench {
	return &bench{
		ent: ent, ori: ori, rng: rand.New(rand.NewPCG(3, 4)), start: time.Now(),
		offered: map[stream]float64{}, answered: map[stream]float64{}, lastRefusal: map[stream]time.Duration{},
	}
}

const callTimeout = time.Second

func newCall(str stream, hash uint32, depth int, deadline time.Time) *core.Call {
	rid := core.RootID{byte(hash >> 24), byte(hash >> 16), byte(hash >> 8), byte(hash)}
	roo := core.NewRoot(core.RootSpec{ID: rid, Team: str.team, Rank: str.rank, Deadline: deadline})
	return core.NewCall(core.CallSpec{Root: roo, Depth: depth})
}

func (ben *bench) count(into map[stream]float64, str stream, at time.Duration) {
	ben.mu.Lock()
	defer ben.mu.Unlock()
	if at >= surgeFrom && at < surgeUntil {
		into[str]++
	}
}

func (ben *bench) refused(str stream) {
	ben.mu.Lock()
	defer ben.mu.Unlock()
	ben.lastRefusal[str] = time.Since(ben.start)
}

func (ben *bench) call(str stream, hash uint32, lea *learned) {
	at := time.Since(ben.start)
	ben.count(ben.offered, str, at)
	if !lea.admits(hash) {
		ben.refused(str)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	leave, err := ben.ent.enter(ctx, newCall(str, hash, 0, time.Now().Add(callTimeout)))
	if err != nil {
		lea.learn(ben.ent.fraction(str.rank, str.team))
		ben.refused(str)
		return
	}
	own := ben.ori.serve()
	leave(own, limit.Success)
	lea.learn(ben.ent.fraction(str.rank, str.team))
	if ctx.Err() == nil {
		ben.count(ben.answered, str, at)
	}
}

func (ben *bench) run(streams []stream) {
	var wait sync.WaitGroup
	for _, str := range streams {
		lea := &learned{}
		rng := rand.New(rand.NewPCG(ben.rng.Uint64(), 1))
		wait.Go(func() {
			for time.Since(ben.start) < str.until {
				time.Sleep(time.Duration(rng.ExpFloat64() / str.rate * float64(time.Second)))
				hash := rng.Uint32()
				wait.Go(func() { ben.call(str, hash, lea) })
			}
		})
	}
	wait.Wait()
}

// served returns the part of a stream's calls in the measured time that was answered in time.
func (ben *bench) served(str stream) float64 { return ben.answered[str] / max(ben.offered[str], 1) }

// goodput returns the answers in the measured time over what the slots could do at most.
func (ben *bench) goodput() float64 {
	sum := 0.0
	for _, count := range ben.answered {
		sum += count
	}
	most := float64(cap(ben.ori.slots)) / ben.ori.service.Seconds() * (surgeUntil - surgeFrom).Seconds()
	return sum / most
}

// An important class is never refused while a less important one runs, a team within its fair part gets all
// of its demand, the upstream stays busy, and refusals end within 2 s of the overload. The naive version
// answers calls that nobody waits for any longer.
func TestOverload(t *testing.T) {
	confirm, modest := stream{0, "a", 400, benchTime}, stream{1, "a", 150, benchTime}
	streams := []stream{
		confirm, modest,
		{1, "b", 1000, surgeUntil},
		{1, "c", 2000, surgeUntil}, // fair part of b and c: (1000 - 400 - 150) / 2
		{2, "a", 2000, surgeUntil},
	}
	run := func(build func() entrance) *bench {
		var ben *bench
		synctest.Test(t, func(*testing.T) {
			ben = newBench(build(), newOrigin(20, 20*time.Millisecond))
			ben.run(streams)
		})
		return ben
	}
	base := run(func() entrance { return naive{make(chan struct{}, 750)} })
	ben := run(func() entrance { return gated{gate.New(gate.Settings{Limit: limit.Settings{Max: 750}})} })
	for name, ben := range map[string]*bench{"naive": base, "gate": ben} {
		t.Logf("%s: goodput %.3f; served of rank 0 %.4f, modest team %.4f, surging teams %.3f %.3f, rank 2 %.3f", name,
			ben.goodput(), ben.served(confirm), ben.served(modest),
			ben.served(streams[2]), ben.served(streams[3]), ben.served(streams[4]))
	}
	if got := ben.goodput(); got < 0.95 || got <= base.goodput() {
		t.Errorf("goodput is %.3f, naive %.3f; want at least 0.95", got, base.goodput())
	}
	if got := ben.served(confirm); got < 0.9999 {
		t.Errorf("served of rank 0 is %.4f, want all", got)
	}
	if got := ben.served(modest); got < 0.95 {
		t.Errorf("served of the modest team is %.4f, want 0.95", got)
	}
	for _, str := range streams {
		if last := ben.lastRefusal[str]; last > surgeUntil+2*time.Second {
			t.Errorf("%v was refused until %v after the overload", str, last-surgeUntil)
		}
	}
}

func fixedGate(places int, maxWait time.Duration) *gate.Gate {
	return gate.New(gate.Settings{Limit: limit.Settings{Initial: places, Max: places}, MaxWait: maxWait})
}

// Places go to rank first, then to nested calls, then to low hashes; a full queue evicts from the other end.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := fixedGate(1, time.Minute)
		tic, err := gat.Acquire(t.Context(), newCall(stream{}, 0, 0, time.Time{}), 0)
		if err != nil {
			t.Fatal(err)
		}
		var order, evicted []string
		enter := func(name string, rank, depth int, hash uint32) {
			go func() {
				tic, err := gat.Acquire(t.Context(), newCall(stream{rank: rank, team: "a"}, hash, depth, time.Time{}), rank)
				if err != nil {
					evicted = append(evicted, name+" "+string(core.AsRefusal(err).Reason())+" "+core.AsRefusal(err).Outcome().String())
					return
				}
				order = append(order, name)
				tic.Release(time.Millisecond, limit.Cancelled)
			}()
			synctest.Wait()
		}
		enter("read", 2, 0, 1)
		for range 12 {
			enter("fill", 1, 0, 5<<20)
		}
		enter("new low hash", 0, 0, 1<<20)
		enter("new high hash", 0, 0, 2<<20)
		enter("nested", 0, 1, 3<<20)
		enter("nested read", 2, 1, 9<<20) // the queue is full: evicts the read
		if diff := cmp.Diff(16.0+1, gat.Load()); diff != "" {
			t.Errorf("load (-want +got):\n%s", diff)
		}
		tic.Release(time.Millisecond, limit.Cancelled)
		tic.Release(time.Millisecond, limit.Cancelled)
		synctest.Wait()
		got := append(slices.Compact(order), evicted...)
		want := []string{"nested", "new low hash", "new high hash", "fill", "nested read", "read overload not-run"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("order, then evicted (-want +got):\n%s", diff)
		}
		if gat.InFlight() != 0 || gat.Waiting() != 0 {
			t.Errorf("%d in flight, %d waiting; want none", gat.InFlight(), gat.Waiting())
		}
	})
}

// Each refusal must say "not run" with the right reason, at the right time, and leave no place taken.
func TestRefusals(t *testing.T) {
	const never, maxWait = time.Hour, 100 * time.Millisecond
	tests := []struct {
		name     string
		deadline time.Duration
		cancel   time.Duration // when the caller goes away
		timeout  time.Duration // of the context
		want     core.Reason
		after    time.Duration
	}{
		{"gone before", never, 0, never, core.ReasonCancelled, 0},
		{"gone while waiting", never, 30 * time.Millisecond, never, core.ReasonCancelled, 30 * time.Millisecond},
		{"context ends", never, never, 40 * time.Millisecond, core.ReasonDeadline, 40 * time.Millisecond},
		{"deadline passed", -time.Second, never, never, core.ReasonDeadline, 0},
		{"less left than the upstream needs", 15 * time.Millisecond, never, never, core.ReasonDeadline, 0},
		{"too late while waiting", 70 * time.Millisecond, never, never, core.ReasonDeadline, 50 * time.Millisecond},
		{"no place", never, never, never, core.ReasonOverload, maxWait},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gat := fixedGate(1, maxWait)
				for range 20 { // teaches a typical own time of 20 ms
					pass(t, gat).Release(20*time.Millisecond, limit.Success)
					time.Sleep(20 * time.Millisecond)
				}
				holder := pass(t, gat)
				ctx, cancel := context.WithTimeout(t.Context(), tst.timeout)
				if tst.cancel == 0 {
					cancel()
				}
				time.AfterFunc(tst.cancel, cancel)
				start := time.Now()
				_, err := gat.Acquire(ctx, newCall(stream{}, 1, 0, start.Add(tst.deadline)), 0)
				ref := core.AsRefusal(err)
				got := []any{ref.Reason(), ref.Outcome(), time.Since(start), gat.Waiting(), gat.InFlight()}
				if diff := cmp.Diff([]any{tst.want, core.OutcomeNotRun, tst.after, 0, 1}, got); diff != "" {
					t.Errorf("reason, outcome, after, waiting, in flight (-want +got):\n%s", diff)
				}
				holder.Release(0, limit.Cancelled)
				cancel()
			})
		})
	}
}

func pass(t *testing.T, gat *gate.Gate) *gate.Permit {
	t.Helper()
	tic, err := gat.Acquire(t.Context(), newCall(stream{}, 0, 0, time.Time{}), 0)
	if err != nil {
		t.Fatal(err)
	}
	return tic
}

// visit is one call of a random schedule.
type visit struct {
	rank    int
	arrive  time.Duration
	service time.Duration
	wait    time.Duration // from the arrival to the place or the refusal
	granted bool
}

// No call may get a place at an instant at which a more important one waits, also when it came by without
// waiting itself.
func TestNoPlaceBeforeMoreImportant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		places := rapid.IntRange(1, 3).Draw(rt, "places")
		visits := make([]*visit, rapid.IntRange(2, 60).Draw(rt, "visits"))
		for i := range visits {
			visits[i] = &visit{
				rank:    rapid.IntRange(0, 2).Draw(rt, "rank"),
				arrive:  time.Duration(rapid.IntRange(0, 200).Draw(rt, "arrive")) * time.Millisecond,
				service: time.Duration(rapid.IntRange(1, 60).Draw(rt, "service")) * time.Millisecond,
			}
		}
		synctest.Test(t, func(t *testing.T) { play(t, places, visits) })
		for _, one := range visits {
			for _, two := range visits {
				at := one.arrive + one.wait
				if one.granted && two.rank < one.rank && two.arrive < at && two.arrive+two.wait > at {
					rt.Fatalf("%+v got a place while %+v waited", *one, *two)
				}
			}
		}
	})
}

func play(t *testing.T, places int, visits []*visit) {
	gat := fixedGate(places, 50*time.Millisecond)
	var wait sync.WaitGroup
	for i, vis := range visits {
		wait.Go(func() {
			time.Sleep(vis.arrive)
			cal := newCall(stream{rank: vis.rank}, uint32(i)<<24, 0, time.Time{})
			start := time.Now()
			tic, err := gat.Acquire(t.Context(), cal, vis.rank)
			vis.wait = time.Since(start)
			if vis.granted = err == nil; vis.granted {
				time.Sleep(vis.service)
				tic.Release(vis.service, limit.Success)
			}
		})
	}
	wait.Wait()
	if gat.InFlight() != 0 || gat.Waiting() != 0 {
		t.Errorf("%d in flight, %d waiting; want none", gat.InFlight(), gat.Waiting())
	}
}

// A planned stop waits for calls in flight and waiting, and an upstream that restarts begins cold.
func TestDrainAndReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gat := gate.New(gate.Settings{MaxWait: time.Second})
		var tics []*gate.Permit
		for range gat.Limit() {
			tics = append(tics, pass(t, gat))
		}
		start := time.Now()
		go func() {
			tic := pass(t, gat) // waits 100 ms for a place
			time.Sleep(200 * time.Millisecond)
			tic.Release(200*time.Millisecond, limit.Success)
		}()
		short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := gat.WaitIdle(short); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("drain ended with %v, want the deadline", err)
		}
		time.AfterFunc(50*time.Millisecond, func() {
			for _, tic := range tics {
				tic.Release(0, limit.ConnectionFailed)
			}
		})
		if err := gat.WaitIdle(t.Context()); err != nil {
			t.Error(err)
		}
		gat.Reset()
		got := []any{time.Since(start), gat.Limit(), gat.InFlight()}
		if diff := cmp.Diff([]any{300 * time.Millisecond, 4, 0}, got); diff != "" {
			t.Errorf("drained after, limit, in flight (-want +got):\n%s", diff)
		}
	})
}

// Without virtual time: the limit holds and no waiter is forgotten when callers race for few places.
func TestRace(t *testing.T) {
	const places = 3
	gat := fixedGate(places, time.Minute)
	var wait sync.WaitGroup
	var inside atomic.Int64
	for i := range 16 {
		wait.Go(func() {
			for range 500 {
				tic, err := gat.Acquire(t.Context(), newCall(stream{}, uint32(i), i%2, time.Time{}), i%3)
				if err != nil {
					continue // the class is refused while the places are taken
				}
				if inside.Add(1) > places {
					t.Error("more calls in flight than the limit")
				}
				runtime.Gosched()
				inside.Add(-1)
				tic.Release(time.Microsecond, limit.Success)
			}
		})
	}
	wait.Wait()
	if err := gat.WaitIdle(t.Context()); err != nil {
		t.Error(err)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	newBenchGate := func() (*gate.Gate, *core.Call) {
		return fixedGate(1<<20, 0), newCall(stream{team: "a"}, 1, 0, time.Now().Add(time.Hour))
	}
	visit := func(gat *gate.Gate, cal *core.Call) {
		tic, err := gat.Acquire(context.Background(), cal, 0)
		if err != nil {
			b.Fatal(err)
		}
		tic.Release(time.Millisecond, limit.Success)
	}
	b.Run("uncontended", func(b *testing.B) {
		gat, cal := newBenchGate()
		b.ReportAllocs()
		for b.Loop() {
			visit(gat, cal)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		gat, cal := newBenchGate()
		b.ReportAllocs()
		b.RunParallel(func(pbm *testing.PB) {
			for pbm.Next() {
				visit(gat, cal)
			}
		})
	})
}
