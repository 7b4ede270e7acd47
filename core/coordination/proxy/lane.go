package proxy

import (
	"context"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/sched"
)

// lane lets calls wait for their place at the own upstream; the scheduler decides, lane blocks and wakes.
type lane struct {
	clock core.Clock

	mut    sync.Mutex
	stage  *sched.Scheduler
	pacing bool // a timer runs that grants places to waiting calls
}

// grantInterval is the time between grants of places that only the passing of time frees, as at a cold upstream.
const grantInterval = 20 * time.Millisecond

// waiter is a call that waits. The lane's lock guards late until ready is closed.
type waiter struct {
	ready chan struct{}
	late  bool
}

func newLane(clo core.Clock) *lane { return &lane{clock: clo, stage: sched.New(defaultSlots)} }

// enter returns nil once the call may be sent, or a refusal whose outcome is always "not run".
func (lan *lane) enter(ctx context.Context, cal *sched.Task, wai *waiter) error {
	lan.mut.Lock()
	now := lan.clock.Now()
	lan.grant(now)
	ver := lan.stage.Admit(now, cal)
	cold := lan.stage.ColdRemaining(now)
	if cold > 0 {
		lan.pace()
	}
	lan.mut.Unlock()
	switch ver {
	case sched.Admitted:
		return nil
	case sched.Queued:
		return lan.wait(ctx, cal, wai)
	case sched.UpstreamCold:
		return refusal(ver).WithRetryAfter(cold)
	}
	return refusal(ver)
}

func refusal(ver sched.Decision) *core.Refusal {
	switch ver {
	case sched.DeadlineTooClose:
		return refuse(core.ReasonDeadline, "the time left is less than the upstream needs")
	case sched.UpstreamCold:
		return refuse(core.ReasonCold, "the upstream is cold and its rate is used up")
	case sched.ClassLimitReached:
		return refuse(core.ReasonOverload, "as many requests of the class are in progress as finish in time")
	}
	return refuse(core.ReasonOverload, "the wait for a place is too long")
}

func (lan *lane) wait(ctx context.Context, cal *sched.Task, wai *waiter) error {
	timer := time.NewTimer(cal.MaxWait())
	defer timer.Stop()
	var ref *core.Refusal
	select {
	case <-wai.ready:
	case <-ctx.Done():
		ref = core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the caller went away").WithCause(ctx.Err())
	case <-timer.C:
		ref = refusal(sched.QueueFull)
	}
	if ref != nil {
		lan.mut.Lock()
		waited := lan.stage.Remove(cal)
		lan.mut.Unlock()
		if waited {
			return ref
		}
		<-wai.ready
	}
	if wai.late {
		return refusal(sched.DeadlineTooClose)
	}
	if ctx.Err() != nil {
		lan.leave(cal, 0, sched.Cancelled)
		return core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the caller went away").WithCause(ctx.Err())
	}
	return nil
}

// leave gives a place back.
func (lan *lane) leave(cal *sched.Task, took time.Duration, res sched.Result) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	now := lan.clock.Now()
	lan.stage.Release(now, cal, took, res)
	lan.grant(now)
}

// grant wakes the calls that have a place now. The caller holds the lock.
func (lan *lane) grant(now time.Time) {
	granted, late := lan.stage.Dispatch(now)
	for _, cal := range granted {
		wai, _ := cal.Value().(*waiter)
		close(wai.ready)
	}
	for _, cal := range late {
		wai, _ := cal.Value().(*waiter)
		wai.late = true
		close(wai.ready)
	}
}

// pace grants places that become free by time alone, until no call waits. The caller holds the lock.
func (lan *lane) pace() {
	if lan.pacing || lan.stage.Waiting() == 0 {
		return
	}
	lan.pacing = true
	time.AfterFunc(grantInterval, func() {
		lan.mut.Lock()
		defer lan.mut.Unlock()
		lan.pacing = false
		lan.grant(lan.clock.Now())
		lan.pace()
	})
}

func (lan *lane) setSlots(slots int) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	lan.stage.SetSlots(slots)
}

func (lan *lane) setCold(until time.Time, rate float64) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	lan.stage.SetCold(until, rate)
	lan.pace()
}

func (lan *lane) expected() (expected, step time.Duration) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	return lan.stage.ExpectedLatency(lan.clock.Now()), lan.stage.MarginalLatency()
}

func (lan *lane) load() float64 {
	slots, busy, waiting := lan.places()
	return float64(busy+waiting) / float64(slots)
}

func (lan *lane) places() (slots, busy, waiting int) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	return lan.stage.Slots(), lan.stage.InFlight(), lan.stage.Waiting()
}
