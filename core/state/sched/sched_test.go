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

func newRootTask(rank int, class string, now time.Time) *sched.Task {
	return sched.NewTask(sched.TaskSpec{Class: class, Root: true, Rank: rank, Target: target, Deadline: now.Add(5 * time.Second)})
}

func newNestedTask(rank int, now time.Time, name string) *sched.Task {
	return sched.NewTask(sched.TaskSpec{Class: "root", Rank: rank, Target: target, Deadline: now.Add(5 * time.Second), Value: name})
}

// fill takes all places with nested calls.
func fillSlots(t *testing.T, sch *sched.Scheduler, now time.Time) []*sched.Task {
	t.Helper()
	var out []*sched.Task
	for sch.InFlight() < sch.Slots() {
		tas := newNestedTask(0, now, "")
		if dec := sch.Admit(now, tas); dec != sched.Admitted {
			t.Fatalf("call %d of %d got %v", len(out), sch.Slots(), dec)
		}
		out = append(out, tas)
	}
	return out
}

// An upstream that is full must get no further call, because some never answer beyond their queue.
func TestSlots(t *testing.T) {
	sch := sched.New(35)
	if sch.Slots() > 33 {
		t.Errorf("%d of 35 slots are used; connections and health checks take slots too", sch.Slots())
	}
	fillSlots(t, sch, start)
	if dec := sch.Admit(start, newNestedTask(0, start, "")); dec != sched.Queued {
		t.Errorf("a call beyond the places got %v", dec)
	}
}

// Load pattern: a full upstream with calls of begun roots and new roots waiting. Turning away a begun root throws its
// work away, so a new root is refused first; and important calls wait shorter.
func TestNestedCallsBeforeNewRoots(t *testing.T) {
	sch := sched.New(4)
	held := fillSlots(t, sch, start)
	for i := range 20 {
		name := []string{"low", "high"}[i%2]
		if dec := sch.Admit(start, newNestedTask(2-2*(i%2), start, name)); dec != sched.Queued {
			t.Fatalf("nested call %d got %v", i, dec)
		}
	}
	if dec := sch.Admit(start, newRootTask(0, "confirm", start)); dec != sched.QueueFull {
		t.Errorf("a new root behind %d calls got %v, want full", sch.Waiting(), dec)
	}
	var order []string
	now := start
	for len(held) > 0 && len(order) < 20 {
		now = now.Add(10 * time.Millisecond)
		sch.Release(now, held[0], 50*time.Millisecond, sched.Success)
		held = held[1:]
		dispatched, dropped := sch.Dispatch(now)
		if len(dropped) > 0 {
			t.Fatalf("%d calls were dropped", len(dropped))
		}
		for _, tas := range dispatched {
			order = append(order, tas.Value().(string))
			held = append(held, tas)
		}
	}
	want := append(slices.Repeat([]string{"high"}, 10), slices.Repeat([]string{"low"}, 10)...)
	if diff := cmp.Diff(want, order); diff != "" {
		t.Error(diff)
	}
}

// A call whose deadline leaves less than the upstream needs must not take a place, whether it arrives or waits.
func TestDeadlineTooClose(t *testing.T) {
	sch := sched.New(4)
	held := fillSlots(t, sch, start)
	short := sched.NewTask(sched.TaskSpec{Deadline: start.Add(20 * time.Millisecond)})
	if dec := sch.Admit(start, short); dec != sched.DeadlineTooClose {
		t.Errorf("a call with 20 ms left got %v", dec)
	}
	queued := sched.NewTask(sched.TaskSpec{Deadline: start.Add(200 * time.Millisecond)})
	if dec := sch.Admit(start, queued); dec != sched.Queued {
		t.Fatalf("a call with 200 ms left got %v", dec)
	}
	later := start.Add(190 * time.Millisecond)
	sch.Release(later, held[0], 190*time.Millisecond, sched.Success)
	if dispatched, dropped := sch.Dispatch(later); len(dispatched) != 0 || len(dropped) != 1 {
		t.Errorf("%d calls were granted and %d dropped, want 0 and 1", len(dispatched), len(dropped))
	}
}

// Load pattern: a cold return, when all entries send at once. In no second may the upstream get more than half above
// the declared rate; it crashes beyond that.
func TestColdRate(t *testing.T) {
	const rate = 16.0
	sch := sched.New(100)
	until := start.Add(3 * time.Second)
	sch.SetCold(until, rate)
	var sent []time.Time
	for now := start; now.Before(until); now = now.Add(5 * time.Millisecond) {
		tas := newNestedTask(0, now, "")
		if sch.Admit(now, tas) == sched.Admitted {
			sent = append(sent, now)
			sch.Release(now, tas, time.Millisecond, sched.Success)
		}
		dispatched, _ := sch.Dispatch(now)
		for _, tas := range dispatched {
			sent = append(sent, now)
			sch.Release(now, tas, time.Millisecond, sched.Success)
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
	if dec := sch.Admit(until, newNestedTask(0, until, "")); dec != sched.Admitted && dec != sched.Queued {
		t.Errorf("after the cold time a call got %v", dec)
	}
}

// event ends a root in the replay below.
type completion struct {
	at        time.Time
	task      *sched.Task
	startedAt time.Time
}

type completions []completion

func (com completions) Len() int           { return len(com) }
func (com completions) Less(i, j int) bool { return com[i].at.Before(com[j].at) }
func (com completions) Swap(i, j int)      { com[i], com[j] = com[j], com[i] }
func (com *completions) Push(item any)     { *com = append(*com, item.(completion)) }

func (com *completions) Pop() any {
	old := *com
	last := old[len(old)-1]
	*com = old[:len(old)-1]
	return last
}

// below is a service deep in the chain that serves the roots of a host one after the other at a rate.
type dependency struct {
	freeAt time.Time
	rate   float64
}

// finish returns when a root that starts now has its answer: its own work and its turn below.
func (dep *dependency) answerTime(now time.Time) time.Time {
	ready := now.Add(300 * time.Millisecond)
	dep.freeAt = maxTime(dep.freeAt, ready).Add(time.Duration(float64(time.Second) / dep.rate))
	return dep.freeAt
}

func maxTime(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// replay sends roots at a rate to a host whose service below slows down after 5 s, and returns the share of what that
// service can do that was answered within the target, from 7 s to the end.
func simulate(admit func(*sched.Scheduler, time.Time, *sched.Task) bool, arrivals, initialRate, slowRate float64) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	sch := sched.New(200)
	dep := &dependency{rate: initialRate}
	var ends completions
	inTime := 0
	end := start.Add(20 * time.Second)
	for now := start; now.Before(end); now = now.Add(time.Duration(rng.ExpFloat64() / arrivals * float64(time.Second))) {
		if now.Sub(start) > 5*time.Second {
			dep.rate = slowRate
		}
		for len(ends) > 0 && !ends[0].at.After(now) {
			com := heap.Pop(&ends).(completion)
			took := com.at.Sub(com.startedAt)
			res := sched.Success
			if took > target {
				res = sched.Failed // its caller has given up
			} else if com.at.Sub(start) > 7*time.Second {
				inTime++
			}
			sch.Release(com.at, com.task, min(took, target), res)
		}
		tas := newRootTask(1, "read", now)
		if admit(sch, now, tas) {
			heap.Push(&ends, completion{at: dep.answerTime(now), task: tas, startedAt: now})
		}
	}
	return float64(inTime) / (13 * slowRate)
}

// Load pattern: a slow deep service. All roots of a host need it; without a window each of them waits longer than its
// target and none is answered in time, though the service works at its full rate.
func TestSlowDependency(t *testing.T) {
	unlimited := simulate(func(*sched.Scheduler, time.Time, *sched.Task) bool { return true }, 100, 120, 50)
	limited := simulate(func(sch *sched.Scheduler, now time.Time, tas *sched.Task) bool {
		return sch.Admit(now, tas) == sched.Admitted
	}, 100, 120, 50)
	t.Logf("answered in time of what the slow service can do: %.2f without a window, %.2f with it", unlimited, limited)
	if unlimited > 0.1 {
		t.Errorf("the load pattern does not hurt: %.2f without a window", unlimited)
	}
	if limited < 0.9 {
		t.Errorf("%.2f is answered in time, want 0.9 and more", limited)
	}
}

// A load that fits must not be refused by the window of the first rank because its arrivals are random.
func TestRankZeroWithinCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	sch := sched.New(100)
	var ends completions
	offered, refused := 0, 0
	end := start.Add(30 * time.Second)
	for now := start; now.Before(end); now = now.Add(time.Duration(rng.ExpFloat64() / 30 * float64(time.Second))) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			com := heap.Pop(&ends).(completion)
			sch.Release(com.at, com.task, com.at.Sub(com.startedAt), sched.Success)
		}
		tas := newRootTask(0, "confirm", now)
		offered++
		if sch.Admit(now, tas) == sched.Admitted {
			took := 400*time.Millisecond + time.Duration(rng.Float64()*300)*time.Millisecond
			heap.Push(&ends, completion{at: now.Add(took), task: tas, startedAt: now})
		} else {
			refused++
		}
	}
	if fraction := float64(refused) / float64(offered); fraction > 0.01 {
		t.Errorf("%.1f%% of a load that fits was refused, want at most 1%%", 100*fraction)
	}
}

// While all roots fail below, only a few may be tried: each one costs work. Once they are answered again, the window
// opens.
func TestFailuresLowerClassLimit(t *testing.T) {
	sch := sched.New(100)
	now := start
	run := func(res sched.Result) {
		tas := newRootTask(1, "read", now)
		if sch.Admit(now, tas) == sched.Admitted {
			sch.Release(now.Add(100*time.Millisecond), tas, 100*time.Millisecond, res)
		}
		now = now.Add(20 * time.Millisecond)
	}
	for range 100 {
		run(sched.Success)
	}
	before, _ := sch.ClassLimit(now, "read")
	for range 100 {
		run(sched.Failed)
	}
	during, _ := sch.ClassLimit(now, "read")
	for range 100 {
		run(sched.Success)
	}
	after, _ := sch.ClassLimit(now, "read")
	if during > 2 || after < before/2 {
		t.Errorf("windows of %d, %d and %d roots before, during and after failures", before, during, after)
	}
}
