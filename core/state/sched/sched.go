package sched

import (
	"container/heap"
	"math"
	"time"
)

const (
	// spare is the part of the slots that stays free: new connections and health checks take slots too, and some
	// upstreams slow down above 95% of their slots.
	reservedFraction = 0.06
	// rootPatience is the part of its class's target that a new root waits for a place. A caller that is refused then
	// still has the time to come back.
	rootWaitFraction = 1.0 / 8
	// nestedPatience bounds the wait of calls whose root has begun.
	maxNestedWait = 400 * time.Millisecond
	// nestedSlack is how long a nested call of rank 0 may wait behind later arrivals, and rankSlack how much longer each
	// further rank may: under overload, waits of important calls stay this much shorter.
	nestedDueOffset = 10 * time.Millisecond
	rankDueOffset   = 150 * time.Millisecond
	// assumedTook is the time of a call before any has been measured.
	initialServiceTime = 50 * time.Millisecond
	serviceTimeWeight  = 0.05 // weight of one call in the smoothed time
	// leastNeed is the part of the smoothed time that must be left until the deadline when a call is sent.
	minRemainingFraction = 0.6
	// coldShare is the multiple of the declared cold rate that is used. An upstream tolerates half more for a second;
	// the difference covers arrivals that bunch on their way.
	coldRateFactor     = 1.25
	coldLatencyPenalty = time.Second // what a cold upstream without free rate adds to the expected time
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

var decisionNames = [...]string{"run", "wait", "full", "closed", "late", "cold"}

// String returns the decision as a log field and metric label.
func (dec Decision) String() string { return decisionNames[dec] }

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
	spec       TaskSpec
	dueAt      time.Time
	maxWait    time.Duration
	queueIndex int // in the heap, or -1
	holdsSlot  bool
}

// NewTask returns a call that has not asked yet.
func NewTask(spec TaskSpec) *Task { return &Task{spec: spec, queueIndex: -1} }

// Value returns the owner's data.
func (tas *Task) Value() any { return tas.spec.Value }

// MaxWait returns the longest wait for a place, once Admit has returned Queued.
func (tas *Task) MaxWait() time.Duration { return tas.maxWait }

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
	slots       int
	inFlight    int
	queue       taskQueue
	serviceTime time.Duration // smoothed time that a call holds its place
	classes     map[string]*classLimiter
	cold        coldLimiter
}

// New returns a scheduler for an upstream that runs so many calls at once.
func New(slots int) *Scheduler {
	sch := &Scheduler{classes: map[string]*classLimiter{}, serviceTime: initialServiceTime}
	sch.SetSlots(slots)
	return sch
}

// SetSlots takes how many calls the upstream runs at once.
func (sch *Scheduler) SetSlots(slots int) {
	sch.slots = max(1, slots-int(math.Ceil(reservedFraction*float64(slots))))
}

// SetCold takes until when the upstream is cold and how many requests a second it bears until then.
func (sch *Scheduler) SetCold(until time.Time, rate float64) {
	sch.cold.set(until, rate*coldRateFactor)
}

// ColdRemaining returns how much longer the upstream is cold.
func (sch *Scheduler) ColdRemaining(now time.Time) time.Duration {
	return max(sch.cold.until.Sub(now), 0)
}

// InFlight returns how many places are taken.
func (sch *Scheduler) InFlight() int { return sch.inFlight }

// Slots returns how many places there are.
func (sch *Scheduler) Slots() int { return sch.slots }

// Waiting returns how many calls wait.
func (sch *Scheduler) Waiting() int { return len(sch.queue) }

// ServiceTime returns the smoothed time that a call holds its place.
func (sch *Scheduler) ServiceTime() time.Duration { return sch.serviceTime }

// ClassLimit returns how many roots of a class may be in flight, and how many are.
func (sch *Scheduler) ClassLimit(now time.Time, class string) (limit, inFlight int) {
	lim := sch.classes[class]
	if lim == nil {
		return sch.slots, 0
	}
	return lim.limit(now, sch.slots), lim.inFlight
}

// MarginalLatency returns by how much each call lengthens the wait of those behind it.
func (sch *Scheduler) MarginalLatency() time.Duration {
	return sch.serviceTime / time.Duration(sch.slots)
}

// ExpectedLatency returns the time until the answer of one more nested call.
func (sch *Scheduler) ExpectedLatency(now time.Time) time.Duration {
	expected := sch.serviceTime + sch.queueWait(len(sch.queue))
	if !sch.cold.allows(now) {
		expected += coldLatencyPenalty
	}
	return expected
}

// wait returns how long a call waits behind so many others.
func (sch *Scheduler) queueWait(ahead int) time.Duration {
	completions := ahead + 1 - (sch.slots - sch.inFlight)
	return time.Duration(max(completions, 0)) * sch.MarginalLatency()
}

// Admit decides about a call. After Admitted and after a grant, Release must follow.
func (sch *Scheduler) Admit(now time.Time, tas *Task) Decision {
	remaining := tas.spec.Deadline.Sub(now)
	if remaining <= 0 || sch.inFlight > 0 && remaining < sch.minRemaining() {
		return DeadlineTooClose
	}
	if tas.spec.Root && sch.class(tas.spec).reached(now, sch.slots) {
		return ClassLimitReached
	}
	if !sch.cold.allows(now) && (tas.spec.Root || sch.cold.delay(now, len(sch.queue)) > maxNestedWait) {
		return UpstreamCold
	}
	if sch.inFlight < sch.slots && sch.cold.allows(now) && len(sch.queue) == 0 {
		sch.takeSlot(now, tas)
		return Admitted
	}
	return sch.enqueue(now, tas, remaining)
}

func (sch *Scheduler) minRemaining() time.Duration {
	return time.Duration(minRemainingFraction * float64(sch.serviceTime))
}

func (sch *Scheduler) enqueue(now time.Time, tas *Task, remaining time.Duration) Decision {
	if tas.spec.Root {
		tas.maxWait = time.Duration(rootWaitFraction * float64(tas.spec.Target))
		tas.dueAt = now.Add(tas.maxWait)
	} else {
		tas.maxWait = min(maxNestedWait, remaining-sch.minRemaining())
		tas.dueAt = now.Add(nestedDueOffset + time.Duration(tas.spec.Rank)*rankDueOffset)
	}
	if sch.queueWait(sch.queue.dueBy(tas.dueAt)) > tas.maxWait {
		return QueueFull
	}
	if tas.spec.Root {
		sch.class(tas.spec).start(now)
	}
	heap.Push(&sch.queue, tas)
	return Queued
}

// place gives a call its place. A root that waited is in its window already.
func (sch *Scheduler) takeSlot(now time.Time, tas *Task) {
	if tas.spec.Root && tas.dueAt.IsZero() {
		sch.class(tas.spec).start(now)
	}
	sch.inFlight++
	sch.cold.record(now)
	tas.holdsSlot = true
}

// Remove takes out a call that still waits and says whether it did.
func (sch *Scheduler) Remove(tas *Task) bool {
	if tas.queueIndex < 0 {
		return false
	}
	heap.Remove(&sch.queue, tas.queueIndex)
	if tas.spec.Root {
		sch.class(tas.spec).end()
	}
	return true
}

// Release gives back the place of a call that held it for some time.
func (sch *Scheduler) Release(now time.Time, tas *Task, took time.Duration, res Result) {
	if !tas.holdsSlot {
		return
	}
	tas.holdsSlot = false
	sch.inFlight--
	if res == Success {
		sch.serviceTime += time.Duration(serviceTimeWeight * float64(took-sch.serviceTime))
	}
	if !tas.spec.Root {
		return
	}
	lim := sch.class(tas.spec)
	lim.end()
	if res != Cancelled {
		lim.record(now, tas.spec.Target, res == Success)
	}
}

// Dispatch gives free places to waiting calls in their order. It returns the calls that got one, and those that it
// dropped because their deadline is too near.
func (sch *Scheduler) Dispatch(now time.Time) (dispatched, dropped []*Task) {
	for len(sch.queue) > 0 && sch.inFlight < sch.slots && sch.cold.allows(now) {
		tas, _ := heap.Pop(&sch.queue).(*Task)
		if remaining := tas.spec.Deadline.Sub(now); remaining <= 0 || remaining < sch.minRemaining() {
			if tas.spec.Root {
				sch.class(tas.spec).end()
			}
			dropped = append(dropped, tas)
			continue
		}
		sch.takeSlot(now, tas)
		dispatched = append(dispatched, tas)
	}
	return dispatched, dropped
}

func (sch *Scheduler) class(spec TaskSpec) *classLimiter {
	lim := sch.classes[spec.Class]
	if lim == nil {
		lim = &classLimiter{}
		sch.classes[spec.Class] = lim
	}
	lim.rank = spec.Rank
	return lim
}

// queue orders the waiting calls by when they are due.
type taskQueue []*Task

// ahead returns how many calls are due no later.
func (que taskQueue) dueBy(due time.Time) int {
	count := 0
	for _, tas := range que {
		if !tas.dueAt.After(due) {
			count++
		}
	}
	return count
}

func (que taskQueue) Len() int           { return len(que) }
func (que taskQueue) Less(i, j int) bool { return que[i].dueAt.Before(que[j].dueAt) }

func (que taskQueue) Swap(i, j int) {
	que[i], que[j] = que[j], que[i]
	que[i].queueIndex, que[j].queueIndex = i, j
}

func (que *taskQueue) Push(item any) {
	tas, _ := item.(*Task)
	tas.queueIndex = len(*que)
	*que = append(*que, tas)
}

func (que *taskQueue) Pop() any {
	old := *que
	tas := old[len(old)-1]
	old[len(old)-1] = nil
	*que = old[:len(old)-1]
	tas.queueIndex = -1
	return tas
}
