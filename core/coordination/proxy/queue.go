package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/sched"
)

// upstreamQueue makes calls wait until they get a slot at the node's own upstream. The scheduler decides which call is
// next; the queue adds the lock, the wake-ups and a timer.
type upstreamQueue struct {
	clock core.Clock

	mut       sync.Mutex
	scheduler *sched.Scheduler
	timerSet  bool // a timer for the next dispatch is running
	// checkDue is called when a health check is due that would allow further calls.
	checkDue func()

	partRefusals atomic.Int64 // calls refused because their teams were above their parts
}

// dispatchInterval is the time between dispatches while queued calls can become admissible by the passing of time
// alone, as under the reduced rate of a cold upstream.
const dispatchInterval = 20 * time.Millisecond

// queuedCall is the value of a queued task. The queue's lock guards the other fields until ready is closed.
type queuedCall struct {
	ready   chan struct{} // closed when the call gets a slot or is refused
	tooLate bool          // the deadline is too close for the call to be served
	evicted bool          // the call made room for one of a team within its part
}

func newUpstreamQueue(clo core.Clock) *upstreamQueue {
	que := &upstreamQueue{clock: clo, scheduler: sched.New(defaultSlots)}
	// The process before this one may have sent requests until this one started.
	que.scheduler.SetUnknownUntil(clo.Now())
	return que
}

// acquire returns nil once the call holds a slot, or a refusal whose outcome is always "not run".
func (que *upstreamQueue) acquire(ctx context.Context, tsk *sched.Task, quc *queuedCall) error {
	que.mut.Lock()
	now := que.clock.Now()
	que.dispatch(now)
	dec := que.scheduler.Admit(now, tsk)
	que.refuseEvicted()
	retryAfter := que.scheduler.ColdRetryAfter(now)
	dependencyRemaining := que.scheduler.DependencyColdRemaining(now, tsk.Class())
	if que.scheduler.ColdRemaining(now) > 0 || que.scheduler.Unconfirmed() {
		que.scheduleDispatch()
	}
	que.mut.Unlock()
	switch dec {
	case sched.Admitted:
		return nil
	case sched.Queued:
		return que.wait(ctx, tsk, quc)
	case sched.UpstreamCold:
		return refusalFor(dec).WithRetryAfter(retryAfter)
	case sched.DependencyCold:
		return refusalFor(dec).WithRetryAfter(dependencyRemaining)
	case sched.PartExceeded:
		return que.partRefusal(tsk)
	}
	return refusalFor(dec)
}

// partRefusal returns the refusal of a call whose team is above its part, and counts it.
func (que *upstreamQueue) partRefusal(tsk *sched.Task) *core.Refusal {
	que.partRefusals.Add(1)
	return refusalFor(sched.PartExceeded).WithRetryAfter(tsk.RetryAfter())
}

func refusalFor(dec sched.Decision) *core.Refusal {
	switch dec {
	case sched.DeadlineTooClose:
		return refuse(core.ReasonDeadline, "the time left until the deadline is less than the upstream needs for a call")
	case sched.UpstreamCold:
		return refuse(core.ReasonCold, "the upstream is or may be cold and its reduced rate is used up")
	case sched.DependencyCold:
		return refuse(core.ReasonDependencyCold, "a service that requests of the class need is cold")
	case sched.PartExceeded:
		return refuse(core.ReasonOverload, "the team uses more than its part of the room for requests of the class")
	case sched.ClassLimitReached:
		return refuse(core.ReasonOverload, "as many requests of the class are in progress as finish in time")
	}
	return refuse(core.ReasonOverload, "the wait for a slot at the upstream is longer than the call may be queued")
}

func (que *upstreamQueue) wait(ctx context.Context, tsk *sched.Task, quc *queuedCall) error {
	timer := time.NewTimer(tsk.MaxWait())
	defer timer.Stop()
	var ref *core.Refusal
	select {
	case <-quc.ready:
	case <-ctx.Done():
		ref = core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the call was cancelled while it was queued").WithCause(ctx.Err())
	case <-timer.C:
		ref = refusalFor(sched.QueueFull)
	}
	if ref != nil {
		que.mut.Lock()
		removed := que.scheduler.Remove(tsk)
		que.mut.Unlock()
		if removed {
			return ref
		}
		<-quc.ready
	}
	if quc.evicted {
		return que.partRefusal(tsk)
	}
	if quc.tooLate {
		return refusalFor(sched.DeadlineTooClose)
	}
	if ctx.Err() != nil {
		que.release(tsk, 0, sched.Cancelled)
		return core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the call was cancelled while it was queued").WithCause(ctx.Err())
	}
	return nil
}

// markSent records that a call that holds a slot has been sent to the upstream.
func (que *upstreamQueue) markSent(tsk *sched.Task) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.MarkSent(que.clock.Now(), tsk)
}

// release frees the slot of a call that held it for the elapsed time.
func (que *upstreamQueue) release(tsk *sched.Task, elapsed time.Duration, res sched.Result) {
	que.mut.Lock()
	defer que.mut.Unlock()
	now := que.clock.Now()
	que.scheduler.Release(now, tsk, elapsed, res)
	que.dispatch(now)
}

// releaseCold frees the slot of a call that failed because a service further down the chain is cold.
func (que *upstreamQueue) releaseCold(tsk *sched.Task, until time.Time) {
	que.mut.Lock()
	defer que.mut.Unlock()
	now := que.clock.Now()
	que.scheduler.ReleaseCold(now, tsk, until)
	que.dispatch(now)
}

// dispatch wakes the queued calls that get a slot now and those whose deadline is too close. The caller holds the lock.
func (que *upstreamQueue) dispatch(now time.Time) {
	admitted, tooLate := que.scheduler.Dispatch(now)
	if que.scheduler.NeedsCheck(now) {
		que.checkDue()
	}
	for _, tsk := range admitted {
		quc, _ := tsk.Value().(*queuedCall)
		close(quc.ready)
	}
	for _, tsk := range tooLate {
		quc, _ := tsk.Value().(*queuedCall)
		quc.tooLate = true
		close(quc.ready)
	}
}

// refuseEvicted wakes the queued calls that made room for calls of other teams. The caller holds the lock.
func (que *upstreamQueue) refuseEvicted() {
	for _, tsk := range que.scheduler.TakeEvicted() {
		quc, _ := tsk.Value().(*queuedCall)
		quc.evicted = true
		close(quc.ready)
	}
}

// scheduleDispatch sets a timer that dispatches repeatedly until no call is queued. The caller holds the lock.
func (que *upstreamQueue) scheduleDispatch() {
	if que.timerSet || que.scheduler.Queued() == 0 {
		return
	}
	que.timerSet = true
	time.AfterFunc(dispatchInterval, func() {
		que.mut.Lock()
		defer que.mut.Unlock()
		que.timerSet = false
		que.dispatch(que.clock.Now())
		que.scheduleDispatch()
	})
}

// setSlots changes the number of calls that the upstream serves concurrently.
func (que *upstreamQueue) setSlots(slots int) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetSlots(slots)
}

// setTeamWeights divides the room of classes among teams by their weights, or not if weight is nil.
func (que *upstreamQueue) setTeamWeights(weight func(team string) float64) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetTeamWeights(weight)
}

// setRankOrder makes root requests wait behind the nested calls of their rank, or not.
func (que *upstreamQueue) setRankOrder(enabled bool) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetRankOrder(enabled)
}

// setGradualStart sets whether the limits of classes that have just started grow with the answered root requests.
func (que *upstreamQueue) setGradualStart(gradual bool) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetGradualStart(gradual)
}

// nestedBegan records that a root request of a class has made a nested call.
func (que *upstreamQueue) nestedBegan(class string) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.NestedBegan(class)
}

// teams returns how many teams the scheduler tracks.
func (que *upstreamQueue) teams() int {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.Teams()
}

// setTrials sets how often a root request is admitted although a service that it needs is cold.
func (que *upstreamQueue) setTrials(interval, offset time.Duration) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetTrials(interval, offset)
}

// setColdRate sets the rate per second to which setCold limits calls.
func (que *upstreamQueue) setColdRate(perSecond float64) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetColdRate(perSecond)
}

// setCold limits the calls to a rate per second until the upstream is warm.
func (que *upstreamQueue) setCold(until time.Time, perSecond float64) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetCold(until, perSecond)
	que.scheduleDispatch()
}

// setUnconfirmed sets whether it is not known that the upstream is warm.
func (que *upstreamQueue) setUnconfirmed(unconfirmed bool) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.SetUnconfirmed(unconfirmed)
	que.dispatch(que.clock.Now())
}

// needsCheck reports whether a health check is due that would allow further calls.
func (que *upstreamQueue) needsCheck() bool {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.NeedsCheck(que.clock.Now())
}

// granted returns how many calls were given a slot.
func (que *upstreamQueue) granted() uint64 {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.Granted()
}

// confirm records that a health check found the upstream warm, which began when the given number of calls had got a slot.
func (que *upstreamQueue) confirm(grantedBefore uint64) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.Confirm(grantedBefore)
	que.dispatch(que.clock.Now())
}

// checkFailed records a health check whose answer does not tell the state of the upstream.
func (que *upstreamQueue) checkFailed() {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.scheduler.CheckFailed()
}

// sentLastSecond returns how many calls were sent within the last second.
func (que *upstreamQueue) sentLastSecond() int {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.SentLastSecond(que.clock.Now())
}

func (que *upstreamQueue) expectedLatency() (expected, marginal time.Duration) {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.ExpectedLatency(), que.scheduler.MarginalLatency()
}

// classLimit returns how many root requests of a class may be in flight, and how many are.
func (que *upstreamQueue) classLimit(now time.Time, class string) (limit, inFlight int) {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.ClassLimit(now, class)
}

// load returns the calls in flight and queued, divided by the slots.
func (que *upstreamQueue) load() float64 {
	slots, inFlight, queued := que.slotUsage()
	return float64(inFlight+queued) / float64(slots)
}

func (que *upstreamQueue) slotUsage() (slots, inFlight, queued int) {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.scheduler.Slots(), que.scheduler.InFlight(), que.scheduler.Queued()
}
