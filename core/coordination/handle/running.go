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
type runningCall struct {
	ctx          context.Context
	call         *core.Call
	budget       *retry.Budget
	failedNested *retry.FailedCalls

	mu              sync.Mutex
	permit          *gate.Permit // nil once the call has ended
	nestedFraction  float64
	activeNested    int
	nestedSince     time.Time
	nestedTime      time.Duration
	anyNestedFailed bool
}

// enter counts a nested call that starts.
func (run *runningCall) startNested(now time.Time) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.activeNested == 0 {
		run.nestedSince = now
		if run.permit != nil {
			run.permit.Pause()
		}
	}
	run.activeNested++
}

// leave counts a nested call that ended and keeps the smallest fraction of the chain.
func (run *runningCall) finishNested(now time.Time, nestedFraction float64, failed bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.activeNested--
	if run.activeNested == 0 {
		run.nestedTime += now.Sub(run.nestedSince)
		if run.permit != nil {
			run.permit.Resume()
		}
	}
	run.nestedFraction = min(run.nestedFraction, nestedFraction)
	run.anyNestedFailed = run.anyNestedFailed || failed
}

// end gives the place of the call back. A nested call may still be in progress when the call ends.
func (run *runningCall) release(now time.Time, start time.Time, res limit.Result) {
	run.mu.Lock()
	defer run.mu.Unlock()
	nestedTime := run.nestedTime
	if run.activeNested > 0 {
		nestedTime += now.Sub(run.nestedSince)
		run.permit.Resume()
	}
	run.permit.Release(max(now.Sub(start)-nestedTime, 0), res)
	run.permit = nil
}

// nestedFailed says whether a nested call failed, which explains an error of the application.
func (run *runningCall) nestedFailed() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.anyNestedFailed
}

func (run *runningCall) minFraction() float64 {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.nestedFraction
}

// calls finds running calls by the token that the upstream passes on.
type callTable struct {
	byToken sync.Map // string to *running
}

func (tab *callTable) add(run *runningCall) (token string) {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	token = hex.EncodeToString(raw[:])
	tab.byToken.Store(token, run)
	return token
}

func (tab *callTable) get(token string) *runningCall {
	run, ok := tab.byToken.Load(token)
	if !ok {
		return nil
	}
	return run.(*runningCall)
}

func (tab *callTable) remove(token string) { tab.byToken.Delete(token) }
