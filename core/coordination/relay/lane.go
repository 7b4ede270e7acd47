package relay

import (
	"context"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/stage"
)

// lane lets calls wait for their place at the own upstream; stage decides, lane blocks and wakes.
type lane struct {
	clock core.Clock

	mut    sync.Mutex
	stage  *stage.Stage
	pacing bool // a timer runs that grants places to waiting calls
}

// grantInterval is the time between grants of places that only the passing of time frees, as at a cold upstream.
const grantInterval = 20 * time.Millisecond

// waiter is a call that waits. The lane's lock guards late until ready is closed.
type waiter struct {
	ready chan struct{}
	late  bool
}

func newLane(clo core.Clock) *lane { return &lane{clock: clo, stage: stage.New(defaultSlots)} }

// enter returns nil once the call may be sent, or a refusal whose outcome is always "not run".
func (lan *lane) enter(ctx context.Context, cal *stage.Call, wai *waiter) error {
	lan.mut.Lock()
	now := lan.clock.Now()
	lan.grant(now)
	ver := lan.stage.Arrive(now, cal)
	cold := lan.stage.Cold(now)
	if cold > 0 {
		lan.pace()
	}
	lan.mut.Unlock()
	switch ver {
	case stage.Run:
		return nil
	case stage.Wait:
		return lan.wait(ctx, cal, wai)
	case stage.Cold:
		return refusal(ver).After(cold)
	}
	return refusal(ver)
}

func refusal(ver stage.Verdict) *core.Refusal {
	switch ver {
	case stage.Late:
		return refuse(core.ReasonDeadline, "the time left is less than the upstream needs")
	case stage.Cold:
		return refuse(core.ReasonCold, "the upstream is cold and its rate is used up")
	case stage.Closed:
		return refuse(core.ReasonOverload, "as many requests of the class are in progress as finish in time")
	}
	return refuse(core.ReasonOverload, "the wait for a place is too long")
}

func (lan *lane) wait(ctx context.Context, cal *stage.Call, wai *waiter) error {
	timer := time.NewTimer(cal.Patience())
	defer timer.Stop()
	var ref *core.Refusal
	select {
	case <-wai.ready:
	case <-ctx.Done():
		ref = core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the caller went away").Wrap(ctx.Err())
	case <-timer.C:
		ref = refusal(stage.Full)
	}
	if ref != nil {
		lan.mut.Lock()
		waited := lan.stage.Withdraw(cal)
		lan.mut.Unlock()
		if waited {
			return ref
		}
		<-wai.ready
	}
	if wai.late {
		return refusal(stage.Late)
	}
	if ctx.Err() != nil {
		lan.leave(cal, 0, stage.Cancelled)
		return core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the caller went away").Wrap(ctx.Err())
	}
	return nil
}

// leave gives a place back.
func (lan *lane) leave(cal *stage.Call, took time.Duration, res stage.Result) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	now := lan.clock.Now()
	lan.stage.Leave(now, cal, took, res)
	lan.grant(now)
}

// grant wakes the calls that have a place now. The caller holds the lock.
func (lan *lane) grant(now time.Time) {
	granted, late := lan.stage.Grants(now)
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
	return lan.stage.Expected(lan.clock.Now()), lan.stage.Step()
}

func (lan *lane) load() float64 {
	slots, busy, waiting := lan.places()
	return float64(busy+waiting) / float64(slots)
}

func (lan *lane) places() (slots, busy, waiting int) {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	return lan.stage.Slots(), lan.stage.Busy(), lan.stage.Waiting()
}
