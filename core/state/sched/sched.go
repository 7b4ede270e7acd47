package sched

import (
	"container/heap"
	"math"
	"time"

	"amaranthline/core/state/parts"
)

const (
	// reservedFraction is the fraction of the upstream's slots that is never used for calls: new connections and health
	// checks take slots too, and some upstreams slow down above 95% of their slots.
	reservedFraction = 0.06
	// rootWaitFraction is the longest wait of a new root request in the queue, as a fraction of its target latency. A
	// caller that is refused after it still has the time to send the request again.
	rootWaitFraction = 1.0 / 8
	// maxNestedWait is the longest wait of a nested call in the queue.
	maxNestedWait = 400 * time.Millisecond
	// The queue is ordered by due time. A nested call of rank 0 is due nestedDueOffset after its arrival, and each further
	// rank adds rankDueOffset: under overload, the waits of more important calls stay this much shorter. A new root
	// request is due at the end of its longest wait.
	nestedDueOffset = 10 * time.Millisecond
	rankDueOffset   = 150 * time.Millisecond
	// initialServiceTime is the starting value of the average service time.
	initialServiceTime = 50 * time.Millisecond
	serviceTimeWeight  = 0.05 // weight of one call in the moving average
	// queueWaitWeight is the weight of the wait in the queue in the expected latency that callers compare. A wait shows that
	// the upstream's capacity is used up, and grows with each further call. Service times differ without that: by the speed
	// of the machine and by the kinds of requests that an upstream happened to get.
	queueWaitWeight = 20
	// minRemainingFraction is the least time until the deadline at which a call is sent, as a fraction of the average
	// service time.
	minRemainingFraction = 0.6
	// coldRateFactor is the multiple of the declared cold rate at which calls are sent: what a cold upstream tolerates in
	// a second. No network lies between it and this node on which requests could bunch.
	coldRateFactor = 1.5
	// coldNestedFraction is the fraction of the cold rate that nested calls may use while root requests arrive. A root
	// request that needs only this service is answered by one call; one whose nested calls arrive here needs several, at
	// services that are cold as well after a loss of power, and mostly fails.
	coldNestedFraction = 0.5
	// coldRootTime is how long after a root request another one is expected.
	coldRootTime = time.Second
)

// Decision is the outcome of an admission check.
type Decision uint8

// The decisions of Admit.
const (
	Admitted          Decision = iota // the call has a slot
	Queued                            // Dispatch returns the call once it has a slot or is dropped
	QueueFull                         // the call would wait longer than its maximum wait
	ClassLimitReached                 // as many root requests of its class are in flight as can finish in time
	DeadlineTooClose                  // the upstream needs longer than the time until the deadline
	UpstreamCold                      // the upstream is cold and its rate is used up
	DependencyCold                    // a service that root requests of the class need is cold
	PartExceeded                      // the team uses more than its part of the class's room
)

var decisionNames = [...]string{"run", "wait", "full", "closed", "late", "cold", "dependency_cold", "part"}

// String returns the decision as a log field and metric label.
func (dec Decision) String() string { return decisionNames[dec] }

// TaskSpec lists the fields of a new Task.
type TaskSpec struct {
	Class         string        // class of the root request
	Team          string        // team of the root request; empty if it has none
	TeamLoad      float64       // what the team asks of all hosts, divided by its declared rate; 0 if not known
	IsRoot        bool          // whether this is the first call of the root request, not a nested one
	Rank          int           // rank of the class; 0 is the most important
	TargetLatency time.Duration // target latency of the class
	Deadline      time.Time
	ReportsSent   bool // MarkSent is called once the call has been sent; otherwise it counts as sent when it gets its slot
	Value         any  // opaque to the scheduler
}

// Task is one call to the upstream.
type Task struct {
	spec       TaskSpec
	dueAt      time.Time // position in the queue; zero if never queued
	maxWait    time.Duration
	queueIndex int // in the heap; -1 when not queued
	holdsSlot  bool
	unsent     bool          // it has a slot and has not been sent
	slotAt     time.Time     // when it got its slot
	ownWait    time.Duration // in the queue of this host
	nestedWait time.Duration // of nested calls in queues
	hasWaits   bool          // the waits were set

	// The fields below are set for root requests while the room of classes is divided among teams.
	ledger     *parts.Ledger
	askedAt    time.Time
	excess     float64 // use of the team beyond its part when the request was queued; more than 0 if above its part
	charged    float64 // expected work, in seconds
	retryAfter time.Duration
}

// NewTask returns a call that has not been through Admit.
func NewTask(spec TaskSpec) *Task { return &Task{spec: spec, queueIndex: -1} }

// Value returns the value given to NewTask.
func (tas *Task) Value() any { return tas.spec.Value }

// Class returns the class of the call's root request.
func (tas *Task) Class() string { return tas.spec.Class }

// SetQueued sets, before Release, how long the call waited for its slot, and for how much of its time in the slot nested calls
// were queued.
func (tas *Task) SetQueued(ownWait, nestedWait time.Duration) {
	tas.ownWait, tas.nestedWait, tas.hasWaits = ownWait, nestedWait, true
}

// MaxWait returns the longest time that the call may be queued; it is set once Admit has returned Queued.
func (tas *Task) MaxWait() time.Duration { return tas.maxWait }

// Result says how a call that held a slot ended.
type Result uint8

// The results of a call.
const (
	Success   Result = iota // the application answered without an error
	Failed                  // any other end that depends on the upstream or on the services that it calls
	Cancelled               // the caller cancelled the call
	// DependencyFailed is the end of a call whose nested call failed for another reason than lack of room. Fewer calls in
	// flight would not have helped it, so it does not lower the limit of its class.
	DependencyFailed
)

// Scheduler assigns the slots of one upstream.
type Scheduler struct {
	slots       int // usable for calls, without the reserved ones
	inFlight    int
	queue       taskQueue
	serviceTime time.Duration // moving average of the time that a call holds its slot
	classes     map[string]*classLimiter
	cold        coldLimiter
	sent        sendCounter
	byRank      [rankCount]int // calls queued or holding a slot

	gradual    bool                      // whether classes start with a low limit
	teamWeight func(team string) float64 // nil while the room of classes is not divided among teams
	evicted    []*Task
	rankOrder  bool // root requests wait behind nested calls of their rank

	trialInterval time.Duration // between the root requests of a class that are admitted while it needs a cold service
	trialOffset   time.Duration // of the first one
}

// New returns a scheduler for an upstream with the given number of slots.
func New(slots int) *Scheduler {
	sch := &Scheduler{classes: map[string]*classLimiter{}, serviceTime: initialServiceTime}
	sch.SetSlots(slots)
	return sch
}

// SetSlots sets how many calls the upstream runs at once.
func (sch *Scheduler) SetSlots(slots int) {
	sch.slots = max(1, slots-int(math.Ceil(reservedFraction*float64(slots))))
}

// SetColdRate sets the declared rate of the upstream while it is cold, in requests per second.
func (sch *Scheduler) SetColdRate(declaredRate float64) {
	sch.cold.setRate(declaredRate * coldRateFactor)
}

// SetCold sets until when the upstream is cold and its declared rate until then, in requests per second. If the rate was
// set before, the calls that were sent within the last second count against it.
func (sch *Scheduler) SetCold(until time.Time, declaredRate float64) {
	sch.SetColdRate(declaredRate)
	sch.cold.until = until
	sch.cold.credit = 0
}

// SetUnconfirmed sets whether it is not known that the upstream is warm, although nothing shows it as cold. Meanwhile it is
// limited to the cold rate beyond what Confirm allows. Without a cold rate there is no such state.
func (sch *Scheduler) SetUnconfirmed(unconfirmed bool) {
	unconfirmed = unconfirmed && len(sch.cold.all.sentAt) > 0
	if unconfirmed && !sch.cold.unconfirmed {
		sch.cold.credit, sch.cold.checksFail = 0, false
	}
	sch.cold.unconfirmed = unconfirmed
}

// Unconfirmed reports whether it is not known that the upstream is warm.
func (sch *Scheduler) Unconfirmed() bool { return sch.cold.unconfirmed }

// Granted returns how many calls were given a slot.
func (sch *Scheduler) Granted() uint64 { return sch.cold.granted }

// Confirm records that a health check has found the upstream warm; grantedBefore is what Granted returned when it began.
func (sch *Scheduler) Confirm(grantedBefore uint64) { sch.cold.confirm(grantedBefore) }

// CheckFailed records that a health check was not answered with the state of the upstream. While the upstream is
// unconfirmed, calls beyond the cold rate are refused until the next one that finds it warm, instead of waiting for it.
func (sch *Scheduler) CheckFailed() { sch.cold.checksFail = true }

// NeedsCheck reports whether a health check is due, because the upstream is unconfirmed and the latest check allows few
// further calls.
func (sch *Scheduler) NeedsCheck(now time.Time) bool { return sch.cold.needsCheck(now) }

// SetUnknownUntil sets the time until which other processes may have sent requests to the upstream. While it is cold, their
// requests count against its rate like those of this one.
func (sch *Scheduler) SetUnknownUntil(until time.Time) { sch.cold.unknownUntil = until }

// SetGradualStart sets whether the limit of a class that has just started grows with each answered root request, unless
// its root requests make no nested calls. Otherwise it is all slots until one fails, for unlimitedTime at most: after a
// return of all hosts, these root requests have more nested calls in flight than the services further down the chain have
// room for, and most of them fail after work.
func (sch *Scheduler) SetGradualStart(gradual bool) {
	sch.gradual = gradual
	for _, lim := range sch.classes {
		lim.gradual = gradual
	}
}

// NestedBegan records that a root request of a class has made a nested call.
func (sch *Scheduler) NestedBegan(class string) {
	if lim := sch.classes[class]; lim != nil {
		lim.nests = true
	}
}

// SetTrials sets the time between the root requests of a class that are admitted while a service that it needs is cold,
// and the time until the first.
func (sch *Scheduler) SetTrials(interval, offset time.Duration) {
	sch.trialInterval, sch.trialOffset = interval, offset
}

// DependencyColdRemaining returns how much longer a service is cold that root requests of a class need, as far as is
// known.
func (sch *Scheduler) DependencyColdRemaining(now time.Time, class string) time.Duration {
	if lim := sch.classes[class]; lim != nil {
		return max(lim.coldUntil.Sub(now), 0)
	}
	return 0
}

// ColdRemaining returns how much longer the upstream is cold, or 0 if it is not cold.
func (sch *Scheduler) ColdRemaining(now time.Time) time.Duration {
	return max(sch.cold.until.Sub(now), 0)
}

// ColdRetryAfter returns when a call that was refused as UpstreamCold may come again: once the upstream is warm or, if it
// is not known to be cold, once another call may be sent.
func (sch *Scheduler) ColdRetryAfter(now time.Time) time.Duration {
	if remaining := sch.ColdRemaining(now); remaining > 0 {
		return remaining
	}
	return max(sch.cold.delay(now, 0), 0)
}

// SentLastSecond returns how many calls were sent within the last second.
func (sch *Scheduler) SentLastSecond(now time.Time) int { return sch.sent.total(now) }

// InFlight returns how many slots are taken.
func (sch *Scheduler) InFlight() int { return sch.inFlight }

// Slots returns how many slots calls may take; it is less than the upstream has.
func (sch *Scheduler) Slots() int { return sch.slots }

// Queued returns how many calls are queued.
func (sch *Scheduler) Queued() int { return len(sch.queue) }

// ServiceTime returns the moving average of the time that a call holds its slot.
func (sch *Scheduler) ServiceTime() time.Duration { return sch.serviceTime }

// ClassLimit returns how many root requests of a class may be in flight, and how many are, queued ones included.
func (sch *Scheduler) ClassLimit(now time.Time, class string) (limit, inFlight int) {
	lim := sch.classes[class]
	if lim == nil {
		return sch.slots, 0
	}
	return lim.limit(now, sch.slots), lim.inFlight
}

// MarginalLatency returns by how much each further call lengthens the wait in the queue, without the weight.
func (sch *Scheduler) MarginalLatency() time.Duration {
	return sch.serviceTime / time.Duration(sch.slots)
}

// ExpectedLatency returns the figure by which callers compare hosts: the service time, and the wait that one more nested
// call would have in the queue, weighted.
func (sch *Scheduler) ExpectedLatency() time.Duration {
	return sch.serviceTime + queueWaitWeight*sch.queueWait(len(sch.queue))
}

// queueWait estimates how long a call is queued that has the given number of queued calls ahead of it.
func (sch *Scheduler) queueWait(ahead int) time.Duration {
	completions := ahead + 1 - (sch.slots - sch.inFlight)
	return time.Duration(max(completions, 0)) * sch.MarginalLatency()
}

// Admit decides whether a call gets a slot, is queued or is refused. Release must follow once the call has a slot,
// after Admitted or after Dispatch has returned it as dispatched.
func (sch *Scheduler) Admit(now time.Time, tas *Task) Decision {
	remaining := tas.spec.Deadline.Sub(now)
	if remaining <= 0 || sch.inFlight > 0 && remaining < sch.minRemaining() {
		return DeadlineTooClose
	}
	if tas.spec.IsRoot {
		lim := sch.class(tas.spec)
		lim.countAsked(now)
		if lim.awaitsDependency(now, sch.trialInterval) {
			return DependencyCold
		}
		if dec := sch.admitToClass(now, lim, tas); dec != Admitted {
			return dec
		}
	}
	if tas.spec.IsRoot {
		sch.cold.lastRootAt = now
	}
	coldAllows := sch.cold.allows(now, tas.spec.IsRoot)
	if !coldAllows && sch.cold.refuses(now) && (tas.spec.IsRoot || sch.cold.delay(now, len(sch.queue)) > maxNestedWait) {
		return UpstreamCold
	}
	if sch.inFlight < sch.slots && coldAllows && (len(sch.queue) == 0 || tas.spec.IsRoot && now.Before(sch.cold.until)) {
		sch.takeSlot(now, tas)
		return Admitted
	}
	return sch.enqueue(now, tas, remaining)
}

// minRemaining returns the least time until the deadline at which a call is sent.
func (sch *Scheduler) minRemaining() time.Duration {
	return time.Duration(minRemainingFraction * float64(sch.serviceTime))
}

func (sch *Scheduler) enqueue(now time.Time, tas *Task, remaining time.Duration) Decision {
	if tas.spec.IsRoot {
		tas.maxWait = time.Duration(rootWaitFraction * float64(tas.spec.TargetLatency))
		tas.dueAt = sch.rootDueAt(now, tas.spec, tas.maxWait)
	} else {
		tas.maxWait = min(maxNestedWait, remaining-sch.minRemaining())
		tas.dueAt = now.Add(nestedDueOffset + time.Duration(tas.spec.Rank)*rankDueOffset)
	}
	if sch.queueWait(sch.queue.dueBy(tas.dueAt)) > tas.maxWait {
		if dec := sch.queueFullFor(now, tas); dec != Queued {
			return dec
		}
	}
	sch.start(now, tas)
	heap.Push(&sch.queue, tas)
	return Queued
}

// takeSlot gives a call its slot. A root request that was queued counts towards the limit of its class already.
func (sch *Scheduler) takeSlot(now time.Time, tas *Task) {
	if tas.dueAt.IsZero() {
		sch.start(now, tas)
	}
	if tas.spec.IsRoot {
		sch.class(tas.spec).countBegun(now)
	}
	sch.inFlight++
	tas.holdsSlot, tas.slotAt = true, now
	sch.cold.grant()
	if tas.spec.ReportsSent {
		tas.unsent = true
		sch.cold.addUnsent(1, tas.spec.IsRoot)
	} else {
		sch.countSent(now, tas)
	}
}

// MarkSent records that a call that holds a slot has been sent. The call must have reached the upstream by then, or the cold
// rate is exceeded by calls that are delayed between the two.
func (sch *Scheduler) MarkSent(now time.Time, tas *Task) {
	if tas.unsent {
		sch.endUnsent(tas)
		sch.countSent(now, tas)
	}
}

func (sch *Scheduler) countSent(now time.Time, tas *Task) {
	sch.cold.record(now, tas.spec.IsRoot)
	sch.sent.record(now)
}

// endUnsent stops counting a call as one that may be sent at any time.
func (sch *Scheduler) endUnsent(tas *Task) {
	if tas.unsent {
		tas.unsent = false
		sch.cold.addUnsent(-1, tas.spec.IsRoot)
	}
}

// Remove takes a call out of the queue and reports whether it was queued.
func (sch *Scheduler) Remove(tas *Task) bool {
	if tas.queueIndex < 0 {
		return false
	}
	heap.Remove(&sch.queue, tas.queueIndex)
	sch.endQueued(tas)
	return true
}

// Release returns the slot that a call held for the given time.
func (sch *Scheduler) Release(now time.Time, tas *Task, elapsed time.Duration, res Result) {
	if !tas.holdsSlot {
		return
	}
	tas.holdsSlot = false
	sch.endUnsent(tas)
	sch.inFlight--
	if res == Success {
		sch.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-sch.serviceTime))
	}
	sch.end(tas)
	if !tas.spec.IsRoot {
		return
	}
	sch.settle(now, tas)
	if res == Success && tas.hasWaits {
		sch.class(tas.spec).recordDuration(elapsed-tas.nestedWait, tas.ownWait+tas.nestedWait)
	}
	if res != Cancelled {
		sch.class(tas.spec).record(now, tas.spec.TargetLatency, res != Failed)
	}
}

// ReleaseCold is Release for a call that failed because a service deeper in its call chain is cold until the given time.
// That says nothing about how many root requests can be in flight afterwards.
func (sch *Scheduler) ReleaseCold(now time.Time, tas *Task, until time.Time) {
	sch.Release(now, tas, 0, Cancelled)
	if tas.spec.IsRoot {
		sch.class(tas.spec).setDependencyCold(now, until, sch.trialOffset)
	}
}

// Dispatch gives free slots to queued calls in order of their due times. It returns the calls that got one, and those
// dropped from the queue because their deadline is too close.
func (sch *Scheduler) Dispatch(now time.Time) (dispatched, dropped []*Task) {
	for len(sch.queue) > 0 && sch.inFlight < sch.slots && sch.cold.allows(now, sch.queue[0].spec.IsRoot) {
		sch.preferWithinPart()
		tas, _ := heap.Pop(&sch.queue).(*Task)
		if remaining := tas.spec.Deadline.Sub(now); remaining <= 0 || remaining < sch.minRemaining() {
			sch.endQueued(tas)
			dropped = append(dropped, tas)
			continue
		}
		sch.takeSlot(now, tas)
		dispatched = append(dispatched, tas)
	}
	return dispatched, dropped
}

// class returns the limiter of a task's class.
func (sch *Scheduler) class(spec TaskSpec) *classLimiter {
	lim := sch.classes[spec.Class]
	if lim == nil {
		lim = &classLimiter{gradual: sch.gradual}
		sch.classes[spec.Class] = lim
	}
	lim.rank = spec.Rank
	return lim
}

// taskQueue is a heap of the queued calls, the one that is due first on top.
type taskQueue []*Task

// dueBy returns how many queued calls are due at or before a time.
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
