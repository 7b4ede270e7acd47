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
	return sched.NewTask(sched.TaskSpec{Class: class, IsRoot: true, Rank: rank, TargetLatency: target, Deadline: now.Add(5 * time.Second)})
}

func newNestedTask(rank int, now time.Time, name string) *sched.Task {
	return sched.NewTask(sched.TaskSpec{Class: "root", Rank: rank, TargetLatency: target, Deadline: now.Add(5 * time.Second), Value: name})
}

// fillSlots takes all slots with nested calls and returns these.
func fillSlots(t *testing.T, sch *sched.Scheduler, now time.Time) []*sched.Task {
	t.Helper()
	var out []*sched.Task
	for sch.InFlight() < sch.Slots() {
		tas := newNestedTask(0, now, "")
		if dec := sch.Admit(now, tas); dec != sched.Admitted {
			t.Fatalf("nested call %d of %d got %v, want run", len(out), sch.Slots(), dec)
		}
		out = append(out, tas)
	}
	return out
}

// No more calls may be sent than the usable slots: some upstreams never answer the calls that exceed their own queue.
func TestSlots(t *testing.T) {
	sch := sched.New(35)
	if sch.Slots() > 33 {
		t.Errorf("%d of 35 slots are used; connections and health checks take slots too", sch.Slots())
	}
	fillSlots(t, sch, start)
	if dec := sch.Admit(start, newNestedTask(0, start, "")); dec != sched.Queued {
		t.Errorf("a call that exceeds the slots got %v, want wait", dec)
	}
}

// Guards against refusing nested calls before new root requests when all slots are taken and calls are queued: a
// refused nested call wastes the work already done for its root request. It also guards against important nested calls
// queued behind less important ones.
func TestNestedCallsBeforeNewRoots(t *testing.T) {
	sch := sched.New(4)
	held := fillSlots(t, sch, start)
	for i := range 20 {
		name := []string{"low", "high"}[i%2]
		if dec := sch.Admit(start, newNestedTask(2-2*(i%2), start, name)); dec != sched.Queued {
			t.Fatalf("nested call %d got %v, want wait", i, dec)
		}
	}
	if dec := sch.Admit(start, newRootTask(0, "confirm", start)); dec != sched.QueueFull {
		t.Errorf("a new root request behind %d queued calls got %v, want full", sch.Queued(), dec)
	}
	var order []string
	now := start
	for len(held) > 0 && len(order) < 20 {
		now = now.Add(10 * time.Millisecond)
		sch.Release(now, held[0], 50*time.Millisecond, sched.Success)
		held = held[1:]
		dispatched, dropped := sch.Dispatch(now)
		if len(dropped) > 0 {
			t.Fatalf("%d calls were dropped for their deadlines, want none", len(dropped))
		}
		for _, tas := range dispatched {
			order = append(order, tas.Value().(string))
			held = append(held, tas)
		}
	}
	want := append(slices.Repeat([]string{"high"}, 10), slices.Repeat([]string{"low"}, 10)...)
	if diff := cmp.Diff(want, order); diff != "" {
		t.Errorf("order of dispatch by rank (-want +got):\n%s", diff)
	}
}

// Guards against sending calls that cannot be answered before their deadline, whether they arrive with too little time
// or their time runs out in the queue.
func TestDeadlineTooClose(t *testing.T) {
	sch := sched.New(4)
	held := fillSlots(t, sch, start)
	short := sched.NewTask(sched.TaskSpec{Deadline: start.Add(20 * time.Millisecond)})
	if dec := sch.Admit(start, short); dec != sched.DeadlineTooClose {
		t.Errorf("a call with 20 ms until its deadline got %v, want late", dec)
	}
	queued := sched.NewTask(sched.TaskSpec{Deadline: start.Add(200 * time.Millisecond)})
	if dec := sch.Admit(start, queued); dec != sched.Queued {
		t.Fatalf("a call with 200 ms until its deadline got %v, want wait", dec)
	}
	later := start.Add(190 * time.Millisecond)
	sch.Release(later, held[0], 190*time.Millisecond, sched.Success)
	if dispatched, dropped := sch.Dispatch(later); len(dispatched) != 0 || len(dropped) != 1 {
		t.Errorf("%d calls were dispatched and %d dropped, want 0 and 1", len(dispatched), len(dropped))
	}
}

// Guards against overloading an upstream that has just restarted, when all hosts send to it at once: in any one second
// the upstream must get at most 1.5 times its declared cold rate, because it crashes beyond that.
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
			t.Fatalf("%d requests were sent within the second from %v on, more than 1.5 times the declared cold rate", count, first.Sub(start))
		}
	}
	if float64(len(sent)) < 2.5*rate {
		t.Errorf("%d requests were sent in 3 s, less than 2.5 seconds of the declared cold rate", len(sent))
	}
	if dec := sch.Admit(until, newNestedTask(0, until, "")); dec != sched.Admitted && dec != sched.Queued {
		t.Errorf("a call after the end of the cold time got %v, want run or wait", dec)
	}
}

// Guards against counting calls in the second of their slot although they are sent later, and against calls that were never
// sent and use up the cold rate.
func TestColdRateOfUnsentCalls(t *testing.T) {
	const perSecond = 3 // 1.5 times the declared rate
	sch := sched.New(100)
	sch.SetCold(start.Add(10*time.Second), 2)
	var admitted []*sched.Task
	// fill admits calls until one is refused and returns how many got a slot.
	fill := func(now time.Time) int {
		count := 0
		for ; ; count++ {
			tas := sched.NewTask(sched.TaskSpec{
				Class: "confirm", IsRoot: true, TargetLatency: target, Deadline: now.Add(5 * time.Second), ReportsSent: true,
			})
			if dec := sch.Admit(now, tas); dec != sched.Admitted {
				if dec != sched.UpstreamCold {
					t.Errorf("a call beyond the cold rate got %v, want cold", dec)
				}
				return count
			}
			admitted = append(admitted, tas)
		}
	}
	type counts struct{ AtOnce, WhileUnsent, AfterSent, AfterUnsentEnded, SecondLater int }
	var got counts
	got.AtOnce = fill(start)
	got.WhileUnsent = fill(start.Add(1500 * time.Millisecond))
	sentAt := start.Add(1600 * time.Millisecond)
	sch.MarkSent(sentAt, admitted[0])
	sch.MarkSent(sentAt.Add(time.Millisecond), admitted[0])
	got.AfterSent = fill(sentAt.Add(999 * time.Millisecond))
	sch.Release(sentAt.Add(999*time.Millisecond), admitted[1], time.Second, sched.Cancelled)
	sch.Release(sentAt.Add(999*time.Millisecond), admitted[0], time.Second, sched.Success)
	got.AfterUnsentEnded = fill(sentAt.Add(999 * time.Millisecond))
	got.SecondLater = fill(sentAt.Add(time.Second))
	want := counts{AtOnce: perSecond, AfterUnsentEnded: 1, SecondLater: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("calls that got a slot (-want +got):\n%s", diff)
	}
}

// Replays the seconds after a loss of power: all services are cold, root requests that need only this service arrive
// beside the nested calls of others, of which each needs several and mostly fails. The nested calls, which may be queued,
// used the whole cold rate.
func TestRootsGetTheirPartOfTheColdRate(t *testing.T) {
	const rate = 8.0
	tests := []struct {
		name       string
		withRoots  bool
		minRoots   int
		minNesteds int
	}{
		{"root requests and nested calls", true, 9, 9},
		{"nested calls only", false, 0, 20},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sch := sched.New(100)
			until := start.Add(3 * time.Second)
			sch.SetCold(until, rate)
			roots, nesteds := 0, 0
			send := func(now time.Time, tas *sched.Task, sent *int) {
				if sch.Admit(now, tas) == sched.Admitted {
					*sent++
					sch.Release(now, tas, time.Millisecond, sched.Success)
				}
			}
			for now := start; now.Before(until); now = now.Add(10 * time.Millisecond) {
				send(now, newNestedTask(0, now, ""), &nesteds)
				if tst.withRoots && now.Sub(start)%(50*time.Millisecond) == 0 {
					send(now, newRootTask(2, "batch", now), &roots)
				}
				dispatched, _ := sch.Dispatch(now)
				for _, tas := range dispatched {
					nesteds++
					sch.Release(now, tas, time.Millisecond, sched.Success)
				}
			}
			if roots < tst.minRoots || nesteds < tst.minNesteds {
				t.Errorf("in 3 s at %v/s %d root requests and %d nested calls were sent, want at least %d and %d", rate, roots, nesteds, tst.minRoots, tst.minNesteds)
			}
		})
	}
}

// completion is the scheduled end of a root request in a simulation.
type completion struct {
	at        time.Time
	task      *sched.Task
	startedAt time.Time
}

// completions is a heap, the earliest completion on top.
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

// dependency is a service deep in the call chain that every root request of the simulated host needs. It serves them one
// after the other.
type dependency struct {
	freeAt time.Time
	rate   float64 // requests per second
}

// answerTime returns when a root request that starts now is answered: after its own work and its turn at the
// dependency.
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

// simulate sends a number of root requests per second, arrivals, to a host whose dependency serves initialRate requests
// per second for 5 s and slowRate per second from then on. It returns how many root requests were answered within the
// target latency from 7 s to 20 s, divided by how many the dependency can serve in that time.
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
			elapsed := com.at.Sub(com.startedAt)
			res := sched.Success
			if elapsed > target {
				res = sched.Failed // the caller has timed out
			} else if com.at.Sub(start) > 7*time.Second {
				inTime++
			}
			sch.Release(com.at, com.task, min(elapsed, target), res)
		}
		tas := newRootTask(1, "read", now)
		if admit(sch, now, tas) {
			heap.Push(&ends, completion{at: dep.answerTime(now), task: tas, startedAt: now})
		}
	}
	return float64(inTime) / (13 * slowRate)
}

// Guards against all root requests of a host missing their target latency when a service that they all need slows down:
// without a limit on those in flight, each one waits too long, though the service works at its full rate.
func TestSlowDependency(t *testing.T) {
	unlimited := simulate(func(*sched.Scheduler, time.Time, *sched.Task) bool { return true }, 100, 120, 50)
	limited := simulate(func(sch *sched.Scheduler, now time.Time, tas *sched.Task) bool {
		return sch.Admit(now, tas) == sched.Admitted
	}, 100, 120, 50)
	t.Logf("fraction of the slow service's capacity answered in time: %.2f without a class limit, %.2f with it", unlimited, limited)
	if unlimited > 0.1 {
		t.Errorf("the simulated load causes no overload: %.2f answered in time without a class limit, want at most 0.1", unlimited)
	}
	if limited < 0.9 {
		t.Errorf("a fraction of %.2f is answered in time with a class limit, want at least 0.9", limited)
	}
}

// Guards against a limit that refuses root requests of rank 0 at a load within capacity because random arrivals briefly
// exceed the mean.
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
			elapsed := 400*time.Millisecond + time.Duration(rng.Float64()*300)*time.Millisecond
			heap.Push(&ends, completion{at: now.Add(elapsed), task: tas, startedAt: now})
		} else {
			refused++
		}
	}
	if fraction := float64(refused) / float64(offered); fraction > 0.01 {
		t.Errorf("%.1f%% of a load within capacity was refused, want at most 1%%", 100*fraction)
	}
}

// Guards against sending many root requests while all of them fail deeper in the call chain, where each one costs work,
// and against a limit that stays low once they are answered again.
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
		t.Errorf("limits %d, %d and %d before, during and after failures, want at most 2 during, half the first or more after", before, during, after)
	}
}

// coldChain replays the time after the loss of power of a whole fleet: each root request needs several calls to a deep
// service that is cold and can take few calls for a while. Callers that are refused return once, when they are told to.
type coldChain struct {
	rng       *rand.Rand
	hosts     []*sched.Scheduler
	coldUntil time.Time
	callTimes []time.Time // of the calls that the deep service got within the last second
	events    coldEvents
	asked     map[int]int // by the second in which the caller first asked
	served    map[int]int
}

const (
	coldHosts     = 36
	coldRoots     = 93 // root requests per second
	coldCalls     = 8  // calls of a root request to the deep service
	coldDeepRate  = 74 // calls that the deep service takes per second while it is cold
	coldRootTime  = 700 * time.Millisecond
	coldFailTime  = 250 * time.Millisecond // until a root request fails whose calls are refused
	coldFor       = 3 * time.Second
	coldReplay    = 8 * time.Second
	coldTarget    = 2 * time.Second
	maxReturnTime = 1600 * time.Millisecond // callers do not wait for longer
)

type coldEvent struct {
	at       time.Time
	asked    int         // second in which the caller first asked
	returned bool        // the caller has been refused once
	host     int         // of the task
	task     *sched.Task // that ends, or nil for a caller that asks
	failed   bool
}

type coldEvents []*coldEvent

func (que coldEvents) Len() int           { return len(que) }
func (que coldEvents) Less(i, j int) bool { return que[i].at.Before(que[j].at) }
func (que coldEvents) Swap(i, j int)      { que[i], que[j] = que[j], que[i] }
func (que *coldEvents) Push(item any)     { eve, _ := item.(*coldEvent); *que = append(*que, eve) }
func (que *coldEvents) Pop() any {
	old := *que
	eve := old[len(old)-1]
	*que = old[:len(old)-1]
	return eve
}

func newColdChain() *coldChain {
	cch := &coldChain{rng: rand.New(rand.NewPCG(5, 8)), coldUntil: start.Add(coldFor), asked: map[int]int{}, served: map[int]int{}}
	for range coldHosts {
		sch := sched.New(47)
		sch.SetTrials(coldHosts*250*time.Millisecond, time.Duration(cch.rng.Float64()*float64(coldHosts*250*time.Millisecond)))
		cch.hosts = append(cch.hosts, sch)
	}
	for at := start; at.Before(start.Add(coldReplay)); at = at.Add(time.Duration(cch.rng.ExpFloat64() / coldRoots * float64(time.Second))) {
		second := int(at.Sub(start) / time.Second)
		cch.asked[second]++
		cch.events = append(cch.events, &coldEvent{at: at, asked: second})
	}
	heap.Init(&cch.events)
	return cch
}

func (cch *coldChain) run() {
	for len(cch.events) > 0 {
		eve, _ := heap.Pop(&cch.events).(*coldEvent)
		if eve.task == nil {
			cch.ask(eve)
			continue
		}
		sch := cch.hosts[eve.host]
		switch {
		case !eve.failed:
			sch.Release(eve.at, eve.task, coldRootTime, sched.Success)
			cch.served[eve.asked]++
		case cch.coldUntil.After(eve.at):
			sch.ReleaseCold(eve.at, eve.task, cch.coldUntil)
		default:
			sch.Release(eve.at, eve.task, coldFailTime, sched.Failed)
		}
	}
}

// ask sends a root request to up to three hosts, as an entry node does.
func (cch *coldChain) ask(eve *coldEvent) {
	var remaining time.Duration
	for range 3 {
		host := cch.rng.IntN(coldHosts)
		tsk := sched.NewTask(sched.TaskSpec{Class: "confirm", IsRoot: true, TargetLatency: coldTarget, Deadline: eve.at.Add(5 * time.Second)})
		switch cch.hosts[host].Admit(eve.at, tsk) {
		case sched.Admitted:
			took, failed := coldRootTime, false
			if !cch.deepAllows(eve.at) {
				took, failed = coldFailTime, true
			}
			heap.Push(&cch.events, &coldEvent{at: eve.at.Add(took), asked: eve.asked, host: host, task: tsk, failed: failed})
			return
		case sched.DependencyCold:
			remaining = cch.hosts[host].DependencyColdRemaining(eve.at, "confirm")
		}
		if remaining > 0 {
			break
		}
	}
	if !eve.returned {
		pause := min(remaining+time.Duration((0.2+0.25*cch.rng.Float64())*float64(coldTarget)), maxReturnTime)
		heap.Push(&cch.events, &coldEvent{at: eve.at.Add(pause), asked: eve.asked, returned: true})
	}
}

// deepAllows reports whether the deep service takes all calls of a root request, and counts what it gets.
func (cch *coldChain) deepAllows(now time.Time) bool {
	for len(cch.callTimes) > 0 && now.Sub(cch.callTimes[0]) > time.Second {
		cch.callTimes = cch.callTimes[1:]
	}
	for range coldCalls {
		if now.Before(cch.coldUntil) && len(cch.callTimes) >= coldDeepRate {
			return false
		}
		cch.callTimes = append(cch.callTimes, now)
	}
	return true
}

// Guards against root requests that use up what a cold service can take without being answered, and against limits on
// them that stay low for seconds after the service is warm: all of their failures came from the cold service.
func TestRootsWaitForColdService(t *testing.T) {
	cch := newColdChain()
	cch.run()
	fraction := func(second int) float64 { return float64(cch.served[second]) / float64(cch.asked[second]) }
	t.Logf("served %v of %v", cch.served, cch.asked)
	// A caller that asks in the last second of the cold time returns when the service is warm.
	for second, want := range map[int]float64{2: 0.85, 3: 0.95, 4: 0.95, 5: 0.95} {
		if got := fraction(second); got < want {
			t.Errorf("%.2f of the callers of second %d were served, want at least %.2f", got, second, want)
		}
	}
}
