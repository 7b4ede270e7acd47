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
	defaultMaxWait = 100 * time.Millisecond
	overloadWait   = 5 * time.Millisecond // a wait longer than this and than one typical call counts as overload
	leastQueue     = 16                   // entries; the queue holds as many calls as the limit, but at least these
	retryAfter     = time.Second          // entry nodes keep a fraction for 500 ms
)

// Settings configures a Gate; zero fields take defaults.
type Settings struct {
	Limit   limit.Settings
	Admit   admit.Settings
	MaxWait time.Duration // longest wait for a place
}

// Gate decides which calls may be sent to the upstream of this host, and when. It is safe for concurrent use.
type Gate struct {
	maxWait time.Duration
	lim     *limit.Limiter
	con     *admit.Controller

	waiting  atomic.Int64
	drainers atomic.Int64

	mu   sync.Mutex // guards the fields below
	que  *admit.Queue
	idle chan struct{} // closed when nothing is in flight or waiting; nil without drainers
}

// New returns a gate for an upstream that is cold.
func New(set Settings) *Gate {
	if set.MaxWait <= 0 {
		set.MaxWait = defaultMaxWait
	}
	return &Gate{
		maxWait: set.MaxWait,
		lim:     limit.New(set.Limit),
		con:     admit.NewController(set.Admit),
		que:     admit.NewQueue(leastQueue),
	}
}

// Limit returns how many calls may be in flight.
func (gat *Gate) Limit() int { return gat.lim.Limit() }

// InFlight returns how many calls are in flight, without those that wait for their nested calls.
func (gat *Gate) InFlight() int { return gat.lim.InFlight() }

// Waiting returns how many calls wait for a place.
func (gat *Gate) Waiting() int { return int(gat.waiting.Load()) }

// Load returns the calls in flight and waiting divided by the limit.
func (gat *Gate) Load() float64 {
	return float64(gat.InFlight()+gat.Waiting()) / float64(max(gat.Limit(), 1))
}

// AdmissionFraction returns the part of the roots of a class and team that is admitted here.
func (gat *Gate) AdmissionFraction(rank int, team string) float64 {
	return gat.con.Fraction(time.Now(), rank, team)
}

// Permit is the right to send one call to the upstream; it must be given back by Release.
type Permit struct {
	gat  *Gate
	left atomic.Bool
}

// waiter is a call in the queue. The queue's lock guards refusal until ready is closed.
type waiter struct {
	since   time.Time
	ready   chan struct{}
	refusal *core.Refusal
}

func (wai *waiter) grant() { close(wai.ready) }

func (wai *waiter) refuse(ref *core.Refusal) {
	wai.refusal = ref
	close(wai.ready)
}

// Acquire returns once the call may be sent to the upstream, or a *core.Refusal whose outcome is always "not run".
func (gat *Gate) Acquire(ctx context.Context, cal *core.Call, rank int) (*Permit, error) {
	if ctx.Err() != nil {
		return nil, gone(ctx)
	}
	now := time.Now()
	if need := gat.need(gat.lim.InFlight()); late(cal, now, need) {
		return nil, tooLate(cal, now, need)
	}
	if !gat.con.Admit(now, rank, cal.Team(), cal.ID().Hash(), cal.Nested()) {
		return nil, overloaded("the service has no capacity left for this class and team")
	}
	if gat.pass() {
		return &Permit{gat: gat}, nil
	}
	return gat.wait(ctx, cal, rank, now)
}

// need returns the time that a call must have left when others are in flight already. A single call always
// passes, because without any answers the typical time would never fall again.
func (gat *Gate) need(others int) time.Duration {
	if others == 0 {
		return 0
	}
	return gat.lim.SelfTime()
}

// pass takes a place without the queue's lock. A call that took a place while another one came to wait gives
// it back, because the waiting one may be more important.
func (gat *Gate) pass() bool {
	if gat.waiting.Load() > 0 || !gat.lim.TryAcquire() {
		return false
	}
	if gat.waiting.Load() == 0 {
		return true
	}
	gat.lim.Release(time.Now(), 0, limit.Cancelled)
	return false
}

// wait queues the call until it gets a place, or is refused.
func (gat *Gate) wait(ctx context.Context, cal *core.Call, rank int, now time.Time) (*Permit, error) {
	wai := &waiter{since: now, ready: make(chan struct{})}
	ent := admit.NewQueueItem(admit.QueueItemSpec{
		Rank: rank, Nested: cal.Nested(), Deadline: cal.Deadline(), Value: wai,
		Order: gat.con.QueueOrder(rank, cal.Team(), cal.ID().Hash()),
	})
	gat.enqueue(ent, now)
	patience := gat.patience(cal, now)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-wai.ready:
	case <-ctx.Done():
		gat.withdraw(ent, gone(ctx))
	case <-timer.C:
		gat.withdraw(ent, gat.timedOut(cal, patience))
	}
	<-wai.ready
	if wai.refusal != nil {
		return nil, wai.refusal
	}
	tic := &Permit{gat: gat}
	if ctx.Err() != nil {
		tic.Release(0, limit.Cancelled)
		return nil, gone(ctx)
	}
	return tic, nil
}

// patience returns how long the call may wait and still be served in time.
func (gat *Gate) patience(cal *core.Call, now time.Time) time.Duration {
	if cal.Deadline().IsZero() {
		return gat.maxWait
	}
	return min(gat.maxWait, cal.Deadline().Sub(now)-gat.need(gat.lim.InFlight()))
}

func (gat *Gate) timedOut(cal *core.Call, patience time.Duration) *core.Refusal {
	now := time.Now()
	if patience < gat.maxWait {
		return tooLate(cal, now, gat.need(gat.lim.InFlight()))
	}
	gat.con.ObserveOverload(now, true)
	return overloaded(fmt.Sprintf("no place became free within %v", gat.maxWait))
}

func (gat *Gate) enqueue(ent *admit.QueueItem, now time.Time) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.que.Resize(max(gat.lim.Limit(), leastQueue))
	if out := gat.que.Push(ent); out != nil {
		gat.con.ObserveOverload(now, true)
		out.Value().(*waiter).refuse(overloaded("the queue is full of more important calls"))
	}
	gat.waiting.Store(int64(gat.que.Len()))
	gat.dispatch(now)
}

// withdraw refuses a call that still waits.
func (gat *Gate) withdraw(ent *admit.QueueItem, ref *core.Refusal) {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if !gat.que.Remove(ent) {
		return
	}
	gat.waiting.Store(int64(gat.que.Len()))
	ent.Value().(*waiter).refuse(ref)
	gat.wake()
}

// dispatch gives free places to waiting calls in their order. The caller holds the lock.
func (gat *Gate) dispatch(now time.Time) {
	for gat.que.Len() > 0 && gat.lim.TryAcquire() {
		ent, dropped := gat.que.Pop(now, gat.need(gat.lim.InFlight()-1))
		gat.waiting.Store(int64(gat.que.Len()))
		for _, out := range dropped {
			out.Value().(*waiter).refuse(deadline("the time left is less than the upstream needs"))
		}
		if ent == nil {
			gat.lim.Release(now, 0, limit.Cancelled)
			break
		}
		wai := ent.Value().(*waiter)
		gat.con.ObserveOverload(now, now.Sub(wai.since) > max(overloadWait, gat.lim.SelfTime()))
		wai.grant()
	}
	gat.wake()
}

// Pause gives the place to another call while this one waits for its nested calls. Otherwise a slow service
// deep in the chain would use up the limits of its callers, which then refuse work that the service could do.
// Each Pause is followed by one Resume, both before Release.
func (tic *Permit) Pause() {
	tic.gat.lim.Pause()
	tic.gat.freed(time.Now())
}

// Resume takes the place back without waiting.
func (tic *Permit) Resume() { tic.gat.lim.Resume() }

// Release gives the place back; own is the latency of the call without the time in its nested calls.
// Further calls of Release do nothing.
func (tic *Permit) Release(own time.Duration, res limit.Result) {
	if tic.left.Swap(true) {
		return
	}
	gat := tic.gat
	now := time.Now()
	gat.lim.Release(now, own, res)
	if res == limit.Success {
		gat.con.Completed(now)
	}
	gat.freed(now)
}

// freed gives a place that became free to a waiting call.
func (gat *Gate) freed(now time.Time) {
	if gat.waiting.Load() == 0 && gat.drainers.Load() == 0 {
		return
	}
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.dispatch(now)
}

// Reset starts again from the initial limit because the upstream is cold again.
func (gat *Gate) Reset() {
	now := time.Now()
	gat.lim.Reset(now)
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.dispatch(now)
}

// WaitIdle waits until nothing is in flight or waiting. It does not keep new calls out.
func (gat *Gate) WaitIdle(ctx context.Context) error {
	gat.drainers.Add(1)
	defer gat.drainers.Add(-1)
	select {
	case <-gat.idled():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("gate: %d calls in flight and %d waiting; allow more time to drain: %w",
			gat.InFlight(), gat.Waiting(), ctx.Err())
	}
}

func (gat *Gate) idled() <-chan struct{} {
	gat.mu.Lock()
	defer gat.mu.Unlock()
	if gat.idle == nil {
		gat.idle = make(chan struct{})
	}
	idle := gat.idle
	gat.wake()
	return idle
}

// wake tells drainers that nothing is left. The caller holds the lock.
func (gat *Gate) wake() {
	if gat.idle == nil || gat.lim.InFlight()+gat.lim.Paused() > 0 || gat.que.Len() > 0 {
		return
	}
	close(gat.idle)
	gat.idle = nil
}

func late(cal *core.Call, now time.Time, need time.Duration) bool {
	if cal.Deadline().IsZero() {
		return false
	}
	left := cal.Deadline().Sub(now)
	return left <= 0 || left < need
}

func gone(ctx context.Context) *core.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadline("the deadline passed before the call was sent").WithCause(ctx.Err())
	}
	return core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the caller went away").WithCause(ctx.Err())
}

func tooLate(cal *core.Call, now time.Time, need time.Duration) *core.Refusal {
	left := cal.Deadline().Sub(now)
	return deadline(fmt.Sprintf("%v are left and the upstream typically needs %v", left, need))
}

func deadline(detail string) *core.Refusal {
	return core.NewRefusal(core.ReasonDeadline, core.OutcomeNotRun, detail)
}

func overloaded(detail string) *core.Refusal {
	return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, detail).WithRetryAfter(retryAfter)
}
