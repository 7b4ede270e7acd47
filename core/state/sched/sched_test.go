package sched_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthline/core/state/sched"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const target = time.Second

func root(rank int, class string, now time.Time) *sched.Task {
	return sched.NewTask(sched.TaskSpec{Class: class, Root: true, Rank: rank, Target: target, Deadline: now.Add(5 * time.Second)})
}

func nested(rank int, now time.Time, name string) *sched.Task {
	return sched.NewTask(sched.TaskSpec{Class: "root", Rank: rank, Target: target, Deadline: now.Add(5 * time.Second), Value: name})
}

// fill takes all places with nested calls.
func fill(t *testing.T, sta *sched.Scheduler, now time.Time) []*sched.Task {
	t.Helper()
	var out []*sched.Task
	for sta.InFlight() < sta.Slots() {
		cal := nested(0, now, "")
		if ver := sta.Admit(now, cal); ver != sched.Admitted {
			t.Fatalf("call %d of %d got %v", len(out), sta.Slots(), ver)
		}
		out = append(out, cal)
	}
	return out
}

// An upstream that is full must get no further call, because some never answer beyond their queue.
func TestPlaces(t *testing.T) {
	sta := sched.New(35)
	if sta.Slots() > 33 {
		t.Errorf("%d of 35 slots are used; connections and health checks take slots too", sta.Slots())
	}
	fill(t, sta, start)
	if ver := sta.Admit(start, nested(0, start, "")); ver != sched.Queued {
		t.Errorf("a call beyond the places got %v", ver)
	}
}

// Load pattern: a full upstream with calls of begun roots and new roots waiting. Turning away a begun root throws its
// work away, so a new root is refused first; and important calls wait shorter.
func TestBegunBeforeNew(t *testing.T) {
	sta := sched.New(4)
	held := fill(t, sta, start)
	for i := range 20 {
		name := []string{"low", "high"}[i%2]
		if ver := sta.Admit(start, nested(2-2*(i%2), start, name)); ver != sched.Queued {
			t.Fatalf("nested call %d got %v", i, ver)
		}
	}
	if ver := sta.Admit(start, root(0, "confirm", start)); ver != sched.QueueFull {
		t.Errorf("a new root behind %d calls got %v, want full", sta.Waiting(), ver)
	}
	var order []string
	now := start
	for len(held) > 0 && len(order) < 20 {
		now = now.Add(10 * time.Millisecond)
		sta.Release(now, held[0], 50*time.Millisecond, sched.Success)
		held = held[1:]
		granted, late := sta.Dispatch(now)
		if len(late) > 0 {
			t.Fatalf("%d calls were dropped", len(late))
		}
		for _, cal := range granted {
			order = append(order, cal.Value().(string))
			held = append(held, cal)
		}
	}
	want := append(slices.Repeat([]string{"high"}, 10), slices.Repeat([]string{"low"}, 10)...)
	if diff := cmp.Diff(want, order); diff != "" {
		t.Error(diff)
	}
}

// A call whose deadline leaves less than the upstream needs must not take a place, whether it arrives or waits.
func TestDeadlineTooClose(t *testing.T) {
	sta := sched.New(4)
	held := fill(t, sta, start)
	short := sched.NewTask(sched.TaskSpec{Deadline: start.Add(20 * time.Millisecond)})
	if ver := sta.Admit(start, short); ver != sched.DeadlineTooClose {
		t.Errorf("a call with 20 ms left got %v", ver)
	}
	waits := sched.NewTask(sched.TaskSpec{Deadline: start.Add(200 * time.Millisecond)})
	if ver := sta.Admit(start, waits); ver != sched.Queued {
		t.Fatalf("a call with 200 ms left got %v", ver)
	}
	later := start.Add(190 * time.Millisecond)
	sta.Release(later, held[0], 190*time.Millisecond, sched.Success)
	if granted, late := sta.Dispatch(later); len(granted) != 0 || len(late) != 1 {
		t.Errorf("%d calls were granted and %d dropped, want 0 and 1", len(granted), len(late))
	}
}

// Load pattern: a cold return, when all entries send at once. In no second may the upstream get more than half above
// the declared rate; it crashes beyond that.
func TestColdRate(t *testing.T) {
	const rate = 16.0
	sta := sched.New(100)
	until := start.Add(3 * time.Second)
	sta.SetCold(until, rate)
	var sent []time.Time
	for now := start; now.Before(until); now = now.Add(5 * time.Millisecond) {
		cal := nested(0, now, "")
		if sta.Admit(now, cal) == sched.Admitted {
			sent = append(sent, now)
			sta.Release(now, cal, time.Millisecond, sched.Success)
		}
		granted, _ := sta.Dispatch(now)
		for _, cal := range granted {
			sent = append(sent, now)
			sta.Release(now, cal, time.Millisecond, sched.Success)
		}
	}
	for i, first := range sent {
		count := 0
		for _, when := range sent[i:] {
			if when.Sub(first) < time.Second {
				count++
			}
		}
		if float64(count) > 1.5*rate {
			t.Fatalf("%d requests in the second from %v", count, first.Sub(start))
		}
	}
	if float64(len(sent)) < 2.5*rate {
		t.Errorf("%d requests in 3 s use less than the upstream bears", len(sent))
	}
	if ver := sta.Admit(until, nested(0, until, "")); ver != sched.Admitted && ver != sched.Queued {
		t.Errorf("after the cold time a call got %v", ver)
	}
}

// event ends a root in the replay below.
type event struct {
	at   time.Time
	cal  *sched.Task
	born time.Time
}

type events []event

func (eve events) Len() int           { return len(eve) }
func (eve events) Less(i, j int) bool { return eve[i].at.Before(eve[j].at) }
func (eve events) Swap(i, j int)      { eve[i], eve[j] = eve[j], eve[i] }
func (eve *events) Push(item any)     { *eve = append(*eve, item.(event)) }

func (eve *events) Pop() any {
	old := *eve
	last := old[len(old)-1]
	*eve = old[:len(old)-1]
	return last
}

// below is a service deep in the chain that serves the roots of a host one after the other at a rate.
type below struct {
	free time.Time
	rate float64
}

// finish returns when a root that starts now has its answer: its own work and its turn below.
func (bel *below) finish(now time.Time) time.Time {
	ready := now.Add(300 * time.Millisecond)
	bel.free = maxTime(bel.free, ready).Add(time.Duration(float64(time.Second) / bel.rate))
	return bel.free
}

func maxTime(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// replay sends roots at a rate to a host whose service below slows down after 5 s, and returns the share of what that
// service can do that was answered within the target, from 7 s to the end.
func replay(admit func(*sched.Scheduler, time.Time, *sched.Task) bool, arrivals, before, after float64) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	sta := sched.New(200)
	bel := &below{rate: before}
	var ends events
	good := 0
	end := start.Add(20 * time.Second)
	for now := start; now.Before(end); now = now.Add(time.Duration(rng.ExpFloat64() / arrivals * float64(time.Second))) {
		if now.Sub(start) > 5*time.Second {
			bel.rate = after
		}
		for len(ends) > 0 && !ends[0].at.After(now) {
			eve := heap.Pop(&ends).(event)
			took := eve.at.Sub(eve.born)
			res := sched.Success
			if took > target {
				res = sched.Failed // its caller has given up
			} else if eve.at.Sub(start) > 7*time.Second {
				good++
			}
			sta.Release(eve.at, eve.cal, min(took, target), res)
		}
		cal := root(1, "read", now)
		if admit(sta, now, cal) {
			heap.Push(&ends, event{at: bel.finish(now), cal: cal, born: now})
		}
	}
	return float64(good) / (13 * after)
}

// Load pattern: a slow deep service. All roots of a host need it; without a window each of them waits longer than its
// target and none is answered in time, though the service works at its full rate.
func TestSlowServiceBelow(t *testing.T) {
	naive := replay(func(*sched.Scheduler, time.Time, *sched.Task) bool { return true }, 100, 120, 50)
	ours := replay(func(sta *sched.Scheduler, now time.Time, cal *sched.Task) bool {
		return sta.Admit(now, cal) == sched.Admitted
	}, 100, 120, 50)
	t.Logf("answered in time of what the slow service can do: %.2f without a window, %.2f with it", naive, ours)
	if naive > 0.1 {
		t.Errorf("the load pattern does not hurt: %.2f without a window", naive)
	}
	if ours < 0.9 {
		t.Errorf("%.2f is answered in time, want 0.9 and more", ours)
	}
}

// A load that fits must not be refused by the window of the first rank because its arrivals are random.
func TestFirstRankFits(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	sta := sched.New(100)
	var ends events
	asked, refused := 0, 0
	end := start.Add(30 * time.Second)
	for now := start; now.Before(end); now = now.Add(time.Duration(rng.ExpFloat64() / 30 * float64(time.Second))) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			eve := heap.Pop(&ends).(event)
			sta.Release(eve.at, eve.cal, eve.at.Sub(eve.born), sched.Success)
		}
		cal := root(0, "confirm", now)
		asked++
		if sta.Admit(now, cal) == sched.Admitted {
			took := 400*time.Millisecond + time.Duration(rng.Float64()*300)*time.Millisecond
			heap.Push(&ends, event{at: now.Add(took), cal: cal, born: now})
		} else {
			refused++
		}
	}
	if share := float64(refused) / float64(asked); share > 0.01 {
		t.Errorf("%.1f%% of a load that fits was refused, want at most 1%%", 100*share)
	}
}

// While all roots fail below, only a few may be tried: each one costs work. Once they are answered again, the window
// opens.
func TestFailuresNarrowWindow(t *testing.T) {
	sta := sched.New(100)
	now := start
	run := func(res sched.Result) {
		cal := root(1, "read", now)
		if sta.Admit(now, cal) == sched.Admitted {
			sta.Release(now.Add(100*time.Millisecond), cal, 100*time.Millisecond, res)
		}
		now = now.Add(20 * time.Millisecond)
	}
	for range 100 {
		run(sched.Success)
	}
	open, _ := sta.ClassLimit(now, "read")
	for range 100 {
		run(sched.Failed)
	}
	narrow, _ := sta.ClassLimit(now, "read")
	for range 100 {
		run(sched.Success)
	}
	again, _ := sta.ClassLimit(now, "read")
	if narrow > 2 || again < open/2 {
		t.Errorf("windows of %d, %d and %d roots before, during and after failures", open, narrow, again)
	}
}
