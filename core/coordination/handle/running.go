package handle

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/state/limit"
	"amaranthline/core/state/retry"
)

// running is a call that the own upstream is working on, with what its nested calls need.
type running struct {
	ctx    context.Context
	call   *core.Call
	budget *retry.Budget
	nested *retry.FailedCalls

	mu       sync.Mutex
	ticket   *gate.Permit // nil once the call has ended
	fraction float64
	active   int
	since    time.Time
	waited   time.Duration
	failed   bool
}

// enter counts a nested call that starts.
func (run *running) enter(now time.Time) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.active == 0 {
		run.since = now
		if run.ticket != nil {
			run.ticket.Pause()
		}
	}
	run.active++
}

// leave counts a nested call that ended and keeps the smallest fraction of the chain.
func (run *running) leave(now time.Time, fraction float64, failed bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.active--
	if run.active == 0 {
		run.waited += now.Sub(run.since)
		if run.ticket != nil {
			run.ticket.Resume()
		}
	}
	run.fraction = min(run.fraction, fraction)
	run.failed = run.failed || failed
}

// end gives the place of the call back. A nested call may still be in progress when the call ends.
func (run *running) end(now time.Time, start time.Time, res limit.Result) {
	run.mu.Lock()
	defer run.mu.Unlock()
	nested := run.waited
	if run.active > 0 {
		nested += now.Sub(run.since)
		run.ticket.Resume()
	}
	run.ticket.Release(max(now.Sub(start)-nested, 0), res)
	run.ticket = nil
}

// nestedFailed says whether a nested call failed, which explains an error of the application.
func (run *running) nestedFailed() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.failed
}

func (run *running) minFraction() float64 {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.fraction
}

// calls finds running calls by the token that the upstream passes on.
type calls struct {
	byToken sync.Map // string to *running
}

func (cas *calls) add(run *running) (token string) {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	token = hex.EncodeToString(raw[:])
	cas.byToken.Store(token, run)
	return token
}

func (cas *calls) get(token string) *running {
	run, ok := cas.byToken.Load(token)
	if !ok {
		return nil
	}
	return run.(*running)
}

func (cas *calls) remove(token string) { cas.byToken.Delete(token) }
