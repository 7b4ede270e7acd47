package sched

import (
	"container/heap"
	"math"
	"time"
)

const (
	// spare is the part of the slots that stays free: new connections and health checks take slots too, and some
	// upstreams slow down above 95% of their slots.
	spare = 0.06
	// rootPatience is the part of its class's target that a new root waits for a place. A caller that is refused then
	// still has the time to come back.
	rootPatience = 1.0 / 8
	// nestedPatience bounds the wait of calls whose root has begun.
	nestedPatience = 400 * time.Millisecond
	// nestedSlack is how long a nested call of rank 0 may wait behind later arrivals, and rankSlack how much longer each
	// further rank may: under overload, waits of important calls stay this much shorter.
	nestedSlack = 10 * time.Millisecond
	rankSlack   = 150 * time.Millisecond
	// assumedTook is the time of a call before any has been measured.
	assumedTook = 50 * time.Millisecond
	tookWeight  = 0.05 // weight of one call in the smoothed time
	// leastNeed is the part of the smoothed time that must be left until the deadline when a call is sent.
	leastNeed = 0.6
	// coldShare is the multiple of the declared cold rate that is used. An upstream tolerates half more for a second;
	// the difference covers arrivals that bunch on their way.
	coldShare = 1.25
	coldDelay = time.Second // what a cold upstream without free rate adds to the expected time
)

// Decision says what happens to a call that asks for a place.
type Decision uint8

// The decisions of Admit.
const (
	Admitted          Decision = iota // it has a place
	Queued                            // it waits; Dispatch returns it when it has a place
	QueueFull                         // the wait would be longer than it is worth
	ClassLimitReached                 // its class has as many roots in flight as finish in time
	DeadlineTooClose                  // the time until its deadline is less than the upstream needs
	UpstreamCold                      // the upstream is cold and its rate is used up
)

var verdictNames = [...]string{"run", "wait", "full", "closed", "late", "cold"}

// String returns the decision as a log field and metric label.
func (ver Decision) String() string { return verdictNames[ver] }

// TaskSpec lists the fields of a new Task.
type TaskSpec struct {
	Class    string // class of the root
	Root     bool   // the first call of a root request
	Rank     int    // 0 is the most important
	Target   time.Duration
	Deadline time.Time
	Value    any // owner's data
}

// Task is one call that asks for a place.
type Task struct {
	spec     TaskSpec
	due      time.Time
	patience time.Duration
	index    int // in the heap, or -1
	placed   bool
}

// NewTask returns a call that has not asked yet.
func NewTask(spec TaskSpec) *Task { return &Task{spec: spec, index: -1} }

// Value returns the owner's data.
func (cal *Task) Value() any { return cal.spec.Value }

// MaxWait returns the longest wait for a place, once Admit has returned Queued.
func (cal *Task) MaxWait() time.Duration { return cal.patience }

// Result says how a call that had a place ended.
type Result uint8

// The results of a call.
const (
	Success   Result = iota // the application answered with success
	Failed                  // any other end that says something about the upstream or the chain below it
	Cancelled               // the caller went away
)

// Scheduler owns the places of one upstream.
type Scheduler struct {
	slots   int
	busy    int
	waiting queue
	took    time.Duration // smoothed time that a call holds its place
	windows map[string]*window
	cold    pacer
}

// New returns a scheduler for an upstream that runs so many calls at once.
func New(slots int) *Scheduler {
	sta := &Scheduler{windows: map[string]*window{}, took: assumedTook}
	sta.SetSlots(slots)
	return sta
}

// SetSlots takes how many calls the upstream runs at once.
func (sta *Scheduler) SetSlots(slots int) {
	sta.slots = max(1, slots-int(math.Ceil(spare*float64(slots))))
}

// SetCold takes until when the upstream is cold and how many requests a second it bears until then.
func (sta *Scheduler) SetCold(until time.Time, rate float64) { sta.cold.set(until, rate*coldShare) }

// ColdRemaining returns how much longer the upstream is cold.
func (sta *Scheduler) ColdRemaining(now time.Time) time.Duration {
	return max(sta.cold.until.Sub(now), 0)
}

// InFlight returns how many places are taken.
func (sta *Scheduler) InFlight() int { return sta.busy }

// Slots returns how many places there are.
func (sta *Scheduler) Slots() int { return sta.slots }

// Waiting returns how many calls wait.
func (sta *Scheduler) Waiting() int { return len(sta.waiting) }

// ServiceTime returns the smoothed time that a call holds its place.
func (sta *Scheduler) ServiceTime() time.Duration { return sta.took }

// ClassLimit returns how many roots of a class may be in flight, and how many are.
func (sta *Scheduler) ClassLimit(now time.Time, class string) (limit, flying int) {
	win := sta.windows[class]
	if win == nil {
		return sta.slots, 0
	}
	return win.limit(now, sta.slots), win.flying
}

// MarginalLatency returns by how much each call lengthens the wait of those behind it.
func (sta *Scheduler) MarginalLatency() time.Duration { return sta.took / time.Duration(sta.slots) }

// ExpectedLatency returns the time until the answer of one more nested call.
func (sta *Scheduler) ExpectedLatency(now time.Time) time.Duration {
	expected := sta.took + sta.wait(len(sta.waiting))
	if !sta.cold.free(now) {
		expected += coldDelay
	}
	return expected
}

// wait returns how long a call waits behind so many others.
func (sta *Scheduler) wait(ahead int) time.Duration {
	behind := ahead + 1 - (sta.slots - sta.busy)
	return time.Duration(max(behind, 0)) * sta.MarginalLatency()
}

// Admit decides about a call. After Admitted and after a grant, Release must follow.
func (sta *Scheduler) Admit(now time.Time, cal *Task) Decision {
	left := cal.spec.Deadline.Sub(now)
	if left <= 0 || sta.busy > 0 && left < sta.need() {
		return DeadlineTooClose
	}
	if cal.spec.Root && sta.window(cal.spec).closed(now, sta.slots) {
		return ClassLimitReached
	}
	if !sta.cold.free(now) && (cal.spec.Root || sta.cold.wait(now, len(sta.waiting)) > nestedPatience) {
		return UpstreamCold
	}
	if sta.busy < sta.slots && sta.cold.free(now) && len(sta.waiting) == 0 {
		sta.place(now, cal)
		return Admitted
	}
	return sta.enqueue(now, cal, left)
}

func (sta *Scheduler) need() time.Duration { return time.Duration(leastNeed * float64(sta.took)) }

func (sta *Scheduler) enqueue(now time.Time, cal *Task, left time.Duration) Decision {
	if cal.spec.Root {
		cal.patience = time.Duration(rootPatience * float64(cal.spec.Target))
		cal.due = now.Add(cal.patience)
	} else {
		cal.patience = min(nestedPatience, left-sta.need())
		cal.due = now.Add(nestedSlack + time.Duration(cal.spec.Rank)*rankSlack)
	}
	if sta.wait(sta.waiting.ahead(cal.due)) > cal.patience {
		return QueueFull
	}
	if cal.spec.Root {
		sta.window(cal.spec).enter(now)
	}
	heap.Push(&sta.waiting, cal)
	return Queued
}

// place gives a call its place. A root that waited is in its window already.
func (sta *Scheduler) place(now time.Time, cal *Task) {
	if cal.spec.Root && cal.due.IsZero() {
		sta.window(cal.spec).enter(now)
	}
	sta.busy++
	sta.cold.take(now)
	cal.placed = true
}

// Remove takes out a call that still waits and says whether it did.
func (sta *Scheduler) Remove(cal *Task) bool {
	if cal.index < 0 {
		return false
	}
	heap.Remove(&sta.waiting, cal.index)
	if cal.spec.Root {
		sta.window(cal.spec).leave()
	}
	return true
}

// Release gives back the place of a call that held it for some time.
func (sta *Scheduler) Release(now time.Time, cal *Task, took time.Duration, res Result) {
	if !cal.placed {
		return
	}
	cal.placed = false
	sta.busy--
	if res == Success {
		sta.took += time.Duration(tookWeight * float64(took-sta.took))
	}
	if !cal.spec.Root {
		return
	}
	win := sta.window(cal.spec)
	win.leave()
	if res != Cancelled {
		win.finished(now, cal.spec.Target, res == Success)
	}
}

// Dispatch gives free places to waiting calls in their order. It returns the calls that got one, and those that it
// dropped because their deadline is too near.
func (sta *Scheduler) Dispatch(now time.Time) (granted, late []*Task) {
	for len(sta.waiting) > 0 && sta.busy < sta.slots && sta.cold.free(now) {
		cal, _ := heap.Pop(&sta.waiting).(*Task)
		if left := cal.spec.Deadline.Sub(now); left <= 0 || left < sta.need() {
			if cal.spec.Root {
				sta.window(cal.spec).leave()
			}
			late = append(late, cal)
			continue
		}
		sta.place(now, cal)
		granted = append(granted, cal)
	}
	return granted, late
}

func (sta *Scheduler) window(spec TaskSpec) *window {
	win := sta.windows[spec.Class]
	if win == nil {
		win = &window{}
		sta.windows[spec.Class] = win
	}
	win.rank = spec.Rank
	return win
}

// queue orders the waiting calls by when they are due.
type queue []*Task

// ahead returns how many calls are due no later.
func (que queue) ahead(due time.Time) int {
	count := 0
	for _, cal := range que {
		if !cal.due.After(due) {
			count++
		}
	}
	return count
}

func (que queue) Len() int           { return len(que) }
func (que queue) Less(i, j int) bool { return que[i].due.Before(que[j].due) }

func (que queue) Swap(i, j int) {
	que[i], que[j] = que[j], que[i]
	que[i].index, que[j].index = i, j
}

func (que *queue) Push(item any) {
	cal, _ := item.(*Task)
	cal.index = len(*que)
	*que = append(*que, cal)
}

func (que *queue) Pop() any {
	old := *que
	cal := old[len(old)-1]
	old[len(old)-1] = nil
	*que = old[:len(old)-1]
	cal.index = -1
	return cal
}
