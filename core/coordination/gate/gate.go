package gate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/admit"
	"amaranthline/core/state/limit"
)

const (
	defaultMaxWait  = 100 * time.Millisecond
	minOverloadWait = 5 * time.Millisecond // a longer wait in the queue than this and one typical call counts as overload
	minQueueSize    = 16                   // calls; the queue holds as many as the limit, but at least these
	retryAfter      = time.Second          // longer than the 500 ms for which entry nodes use an admission fraction
)

// Settings configures a Gate; zero fields take defaults.
type Settings struct {
	Limit   limit.Settings
	Admit   admit.Settings
	MaxWait time.Duration // longest time in the queue
}

// Gate decides which calls may be sent to the node's own upstream, and when. It is safe for concurrent use.
type Gate struct {
	maxWait    time.Duration
	limiter    *limit.Limiter
	controller *admit.Controller

	queued      atomic.Int64 // length of the queue, for reads without the lock
	idleWaiters atomic.Int64 // callers of WaitIdle

	mut   sync.Mutex // guards the fields below
	queue *admit.Queue
	idle  chan struct{} // closed when nothing is in flight or queued; nil while no caller of WaitIdle waits
}

// New returns a gate at the initial limit, as for a cold upstream.
func New(set Settings) *Gate {
	if set.MaxWait <= 0 {
		set.MaxWait = defaultMaxWait
	}
	return &Gate{
		maxWait:    set.MaxWait,
		limiter:    limit.New(set.Limit),
		controller: admit.NewController(set.Admit),
		queue:      admit.NewQueue(minQueueSize),
	}
}

// Limit returns how many calls may be in flight.
func (gat *Gate) Limit() int { return gat.limiter.Limit() }

// InFlight returns how many calls are in flight, without those that are paused for their nested calls.
func (gat *Gate) InFlight() int { return gat.limiter.InFlight() }

// Queued returns how many calls are queued.
func (gat *Gate) Queued() int { return int(gat.queued.Load()) }

// Load returns the calls in flight and queued, divided by the limit.
func (gat *Gate) Load() float64 {
	return float64(gat.InFlight()+gat.Queued()) / float64(max(gat.Limit(), 1))
}

// AdmissionFraction returns the fraction of the root requests of a class and team that is admitted here.
func (gat *Gate) AdmissionFraction(rank int, team string) float64 {
	return gat.controller.Fraction(time.Now(), rank, team)
}

// Permit is the right to send one call to the upstream; it holds a slot until Release.
type Permit struct {
	gate     *Gate
	released atomic.Bool
}

// queuedCall is the value of a queue item. The gate's lock guards refusal until ready is closed.
type queuedCall struct {
	queuedAt time.Time
	ready    chan struct{} // closed when the call gets a slot or a refusal
	refusal  *core.Refusal // nil if the call got a slot
}

func (quc *queuedCall) grant() { close(quc.ready) }

func (quc *queuedCall) refuse(ref *core.Refusal) {
	quc.refusal = ref
	close(quc.ready)
}

// Acquire returns once the call may be sent to the upstream, or a *core.Refusal whose outcome is always "not run".
func (gat *Gate) Acquire(ctx context.Context, cal *core.Call, rank int) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, contextRefusal(ctx)
	}
	now := time.Now()
	if minLeft := gat.minTimeLeft(gat.limiter.InFlight()); deadlineTooClose(cal, now, minLeft) {
		return nil, timeLeftRefusal(cal, now, minLeft)
	}
	if !gat.controller.Admit(now, rank, cal.Team(), cal.ID().Hash(), cal.Nested()) {
		return nil, overloadRefusal("the service has no capacity left for this class and team")
	}
	if gat.tryAcquire() {
		return &Permit{gate: gat}, nil
	}
	return gat.wait(ctx, cal, rank, now)
}

// minTimeLeft returns the time that a call must have left until its deadline, given the number of other calls in
// flight. With no other call in flight it is 0: the typical time is learned from answers, so if calls were refused
// because of a typical time that is too long, no answer would ever correct it.
func (gat *Gate) minTimeLeft(inFlight int) time.Duration {
	if inFlight == 0 {
		return 0
	}
	return gat.limiter.SelfTime()
}

// tryAcquire takes a slot without the gate's lock. It releases the slot if another call was queued meanwhile, because
// that call may be more important.
func (gat *Gate) tryAcquire() bool {
	if gat.queued.Load() > 0 || !gat.limiter.TryAcquire() {
		return false
	}
	if gat.queued.Load() == 0 {
		return true
	}
	gat.limiter.Release(time.Now(), 0, limit.Cancelled)
	return false
}

// wait queues the call until it gets a slot or is refused.
func (gat *Gate) wait(ctx context.Context, cal *core.Call, rank int, now time.Time) (*Permit, error) {
	quc := &queuedCall{queuedAt: now, ready: make(chan struct{})}
	itm := admit.NewQueueItem(admit.QueueItemSpec{
		Rank: rank, Nested: cal.Nested(), Deadline: cal.Deadline(), Value: quc,
		Order: gat.controller.QueueOrder(rank, cal.Team(), cal.ID().Hash()),
	})
	gat.enqueue(itm, now)
	timeout := gat.queueTimeout(cal, now)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-quc.ready:
	case <-ctx.Done():
		gat.removeAndRefuse(itm, contextRefusal(ctx))
	case <-timer.C:
		gat.removeAndRefuse(itm, gat.timeoutRefusal(cal, timeout))
	}
	<-quc.ready
	if quc.refusal != nil {
		return nil, quc.refusal
	}
	per := &Permit{gate: gat}
	if ctx.Err() != nil {
		per.Release(0, limit.Cancelled)
		return nil, contextRefusal(ctx)
	}
	return per, nil
}

// queueTimeout returns how long the call may be queued and still be served in time.
func (gat *Gate) queueTimeout(cal *core.Call, now time.Time) time.Duration {
	if cal.Deadline().IsZero() {
		return gat.maxWait
	}
	return min(gat.maxWait, cal.Deadline().Sub(now)-gat.minTimeLeft(gat.limiter.InFlight()))
}

func (gat *Gate) timeoutRefusal(cal *core.Call, timeout time.Duration) *core.Refusal {
	now := time.Now()
	if timeout < gat.maxWait {
		return timeLeftRefusal(cal, now, gat.minTimeLeft(gat.limiter.InFlight()))
	}
	gat.controller.ObserveOverload(now, true)
	return overloadRefusal(fmt.Sprintf("no slot became free within %v", gat.maxWait))
}

func (gat *Gate) enqueue(itm *admit.QueueItem, now time.Time) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.queue.Resize(max(gat.limiter.Limit(), minQueueSize))
	if evicted := gat.queue.Push(itm); evicted != nil {
		gat.controller.ObserveOverload(now, true)
		evicted.Value().(*queuedCall).refuse(overloadRefusal("the queue is full of more important calls"))
	}
	gat.queued.Store(int64(gat.queue.Len()))
	gat.dispatch(now)
}

// removeAndRefuse refuses a call if it is still queued.
func (gat *Gate) removeAndRefuse(itm *admit.QueueItem, ref *core.Refusal) {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if !gat.queue.Remove(itm) {
		return
	}
	gat.queued.Store(int64(gat.queue.Len()))
	itm.Value().(*queuedCall).refuse(ref)
	gat.notifyIfIdle()
}

// dispatch gives free slots to queued calls in the order of the queue. The caller holds the lock.
func (gat *Gate) dispatch(now time.Time) {
	for gat.queue.Len() > 0 && gat.limiter.TryAcquire() {
		itm, dropped := gat.queue.Pop(now, gat.minTimeLeft(gat.limiter.InFlight()-1))
		gat.queued.Store(int64(gat.queue.Len()))
		for _, late := range dropped {
			late.Value().(*queuedCall).refuse(deadlineRefusal("the time left until the deadline is less than the upstream needs for a call"))
		}
		if itm == nil {
			gat.limiter.Release(now, 0, limit.Cancelled)
			break
		}
		quc := itm.Value().(*queuedCall)
		gat.controller.ObserveOverload(now, now.Sub(quc.queuedAt) > max(minOverloadWait, gat.limiter.SelfTime()))
		quc.grant()
	}
	gat.notifyIfIdle()
}

// Pause frees the slot for another call while this one waits for its nested calls. Otherwise a slow service deep in the
// call chain would use up the limits of its callers, which would then refuse calls that the service could serve. Each
// Pause must be followed by one Resume, both before Release.
func (per *Permit) Pause() {
	per.gate.limiter.Pause()
	per.gate.dispatchFreed(time.Now())
}

// Resume takes a slot again without queueing, even if the calls in flight then exceed the limit.
func (per *Permit) Resume() { per.gate.limiter.Resume() }

// Release frees the slot; selfTime is the latency of the call without the time in its nested calls. Only the first
// Release has an effect.
func (per *Permit) Release(selfTime time.Duration, res limit.Result) {
	if per.released.Swap(true) {
		return
	}
	gat := per.gate
	now := time.Now()
	gat.limiter.Release(now, selfTime, res)
	if res == limit.Success {
		gat.controller.Completed(now)
	}
	gat.dispatchFreed(now)
}

// dispatchFreed gives a slot that became free to a queued call, if there is one.
func (gat *Gate) dispatchFreed(now time.Time) {
	if gat.queued.Load() == 0 && gat.idleWaiters.Load() == 0 {
		return
	}
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.dispatch(now)
}

// Reset sets the limit back to its initial value after the upstream has become cold again.
func (gat *Gate) Reset() {
	now := time.Now()
	gat.limiter.Reset(now)
	gat.mut.Lock()
	defer gat.mut.Unlock()
	gat.dispatch(now)
}

// WaitIdle waits until no call is in flight or queued. It does not refuse new calls.
func (gat *Gate) WaitIdle(ctx context.Context) error {
	gat.idleWaiters.Add(1)
	defer gat.idleWaiters.Add(-1)
	select {
	case <-gat.idleChannel():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("gate: %d calls in flight and %d queued; allow more time for the graceful shutdown: %w",
			gat.InFlight(), gat.Queued(), ctx.Err())
	}
}

// idleChannel returns a channel that is closed once no call is in flight or queued.
func (gat *Gate) idleChannel() <-chan struct{} {
	gat.mut.Lock()
	defer gat.mut.Unlock()
	if gat.idle == nil {
		gat.idle = make(chan struct{})
	}
	idle := gat.idle
	gat.notifyIfIdle()
	return idle
}

// notifyIfIdle wakes the callers of WaitIdle if no call is in flight or queued. The caller holds the lock.
func (gat *Gate) notifyIfIdle() {
	if gat.idle == nil || gat.limiter.InFlight()+gat.limiter.Paused() > 0 || gat.queue.Len() > 0 {
		return
	}
	close(gat.idle)
	gat.idle = nil
}

func deadlineTooClose(cal *core.Call, now time.Time, minLeft time.Duration) bool {
	if cal.Deadline().IsZero() {
		return false
	}
	left := cal.Deadline().Sub(now)
	return left <= 0 || left < minLeft
}

// contextRefusal returns the refusal for a call whose context has ended.
func contextRefusal(ctx context.Context) *core.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineRefusal("the deadline passed before the call was sent to the upstream").WithCause(ctx.Err())
	}
	return core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the caller cancelled the call").WithCause(ctx.Err())
}

func timeLeftRefusal(cal *core.Call, now time.Time, minLeft time.Duration) *core.Refusal {
	left := cal.Deadline().Sub(now)
	return deadlineRefusal(fmt.Sprintf("%v are left until the deadline, and the upstream typically needs %v", left, minLeft))
}

func deadlineRefusal(detail string) *core.Refusal {
	return core.NewRefusal(core.ReasonDeadline, core.OutcomeNotRun, detail)
}

func overloadRefusal(detail string) *core.Refusal {
	return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, detail).WithRetryAfter(retryAfter)
}
