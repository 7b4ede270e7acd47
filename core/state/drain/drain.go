package drain

import (
	"sync/atomic"
	"time"

	"amaranthline/core"
)

// lastAnswerTime is the time between the latest deadline of a request and the end of a leaving host, in which the answers
// of the request's upstreams arrive.
const lastAnswerTime = 100 * time.Millisecond

// State is the progress of a graceful shutdown. Its zero value is that of a host which stays; it is safe for concurrent use.
type State struct {
	latestEnd atomic.Pointer[time.Time] // nil until the host leaves
	draining  atomic.Bool
}

// Leave announces that the host is leaving and stops at a time, at which calls in flight are cut. Calls that still arrive
// are served, because peers learn that it is leaving only with their next probe or answer, and a refusal would cost them a
// retry.
func (sta *State) Leave(stopsAt time.Time) {
	latest := stopsAt.Add(-lastAnswerTime)
	sta.latestEnd.Store(&latest)
}

// Leaving reports whether Leave was called.
func (sta *State) Leaving() bool { return sta.latestEnd.Load() != nil }

// Drain makes the host refuse new requests of callers, and calls that have not been sent to its upstream, so that they go
// to other hosts. Callers that go on sending requests would otherwise keep calls in flight until the time of the graceful
// shutdown is over. Nested calls of the upstream are served if they end in time.
func (sta *State) Drain() { sta.draining.Store(true) }

// Draining reports whether Drain was called.
func (sta *State) Draining() bool { return sta.draining.Load() }

// LimitDeadline returns the deadline of a request that arrives now: a leaving host ends it with an answer before it stops.
func (sta *State) LimitDeadline(deadline time.Time) time.Time {
	if latest := sta.latestEnd.Load(); latest != nil && latest.Before(deadline) {
		return *latest
	}
	return deadline
}

// CheckNested refuses a nested call that arrives while the host drains and may last longer than the host. It would be
// broken off while an upstream works on it; a refusal leaves no doubt that it has not run.
func (sta *State) CheckNested(deadline time.Time) error {
	if !sta.draining.Load() || !sta.LimitDeadline(deadline).Before(deadline) {
		return nil
	}
	return core.NewRefusal(core.ReasonDraining, core.OutcomeNotRun, "this host stops before the deadline of the call")
}
