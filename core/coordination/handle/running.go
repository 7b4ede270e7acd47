package handle

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/state/limit"
	"amaranthline/core/state/retry"
)

// runningCall is a call in flight at this host's upstream, with the state that its nested calls need.
type runningCall struct {
	call         *core.Call
	budget       *retry.Budget
	failedNested *retry.FailedCalls

	mut             sync.Mutex   // guards the fields below
	permit          *gate.Permit // nil once the call has ended
	nestedFraction  float64      // smallest admission fraction that nested calls reported, at most 1
	activeNested    int
	nestedSince     time.Time     // when activeNested last rose from 0
	nestedTime      time.Duration // time with nested calls in flight, up to when activeNested last fell to 0
	anyNestedFailed bool
}

// startNested counts a nested call that starts. When the first one starts, the running call frees its slot at the
// upstream.
func (run *runningCall) startNested(now time.Time) {
	run.mut.Lock()
	defer run.mut.Unlock()
	if run.activeNested == 0 {
		run.nestedSince = now
		if run.permit != nil {
			run.permit.Pause()
		}
	}
	run.activeNested++
}

// finishNested counts a nested call that ended and keeps the smallest admission fraction. When the last one ends,
// the running call takes a slot again.
func (run *runningCall) finishNested(now time.Time, nestedFraction float64, failed bool) {
	run.mut.Lock()
	defer run.mut.Unlock()
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

// release frees the slot of the call, which started at the given time. A nested call may still be in flight when
// the call ends.
func (run *runningCall) release(now time.Time, start time.Time, res limit.Result) {
	run.mut.Lock()
	defer run.mut.Unlock()
	nestedTime := run.nestedTime
	if run.activeNested > 0 {
		nestedTime += now.Sub(run.nestedSince)
		run.permit.Resume()
	}
	run.permit.Release(max(now.Sub(start)-nestedTime, 0), res)
	run.permit = nil
}

// nestedFailed reports whether a nested call failed, which explains an error status of the application.
func (run *runningCall) nestedFailed() bool {
	run.mut.Lock()
	defer run.mut.Unlock()
	return run.anyNestedFailed
}

func (run *runningCall) minFraction() float64 {
	run.mut.Lock()
	defer run.mut.Unlock()
	return run.nestedFraction
}

// callTable finds running calls by the call token that the upstream passes on with its nested calls.
type callTable struct {
	byToken sync.Map // string to *runningCall
}

func (tab *callTable) add(run *runningCall) (callToken string) {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails
	callToken = hex.EncodeToString(raw[:])
	tab.byToken.Store(callToken, run)
	return callToken
}

func (tab *callTable) get(callToken string) *runningCall {
	run, ok := tab.byToken.Load(callToken)
	if !ok {
		return nil
	}
	return run.(*runningCall)
}

func (tab *callTable) remove(callToken string) { tab.byToken.Delete(callToken) }
