package proxy

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/cost"
)

// idSeparator separates the identifier of a running call from the suffix that the upstream appends to it for a nested
// call.
const idSeparator = "."

// isDerivedID reports whether an identifier has the form of a nested call's identifier.
func isDerivedID(id string) bool { return strings.LastIndex(id, idSeparator) > 0 }

// runningCall is a call in flight at the node's own upstream.
type runningCall struct {
	ctx          context.Context
	call         *core.Call
	nestedFailed atomic.Bool
	queuedFor    time.Duration // before it got its slot
	waits        nestedWaits
	noRoom       atomic.Bool   // a nested call, or one further down the chain, was refused for lack of room
	nestedServed atomic.Int32  // nested calls of this call that were answered without a server error
	work         *cost.Running // nil if the call got its slot while scheduling by work was not in force
	coldUntil    atomic.Int64  // Unix nanoseconds; until when a service is cold that refused a nested call because of it
}

// recordNestedAnswer records that a nested call of this call was answered. It does nothing if run is nil.
func (run *runningCall) recordNestedAnswer(now time.Time, ans *core.Answer) {
	if run == nil {
		return
	}
	if ans.Status() < http.StatusInternalServerError {
		run.nestedServed.Add(1)
		return
	}
	run.nestedFailed.Store(true)
	if ans.Feedback().NestedNoRoom() {
		run.noRoom.Store(true)
	}
	if cold := ans.Feedback().NestedColdFor(); cold > 0 {
		run.recordCold(now.Add(cold))
	}
}

// recordNestedRefusal records that a nested call of this call was refused or failed. It does nothing if run is nil.
func (run *runningCall) recordNestedRefusal(now time.Time, ref *core.Refusal) {
	if run == nil {
		return
	}
	run.nestedFailed.Store(true)
	if meansNoRoom(ref.Reason()) {
		run.noRoom.Store(true)
	}
	if ref.Reason() == core.ReasonCold {
		run.recordCold(now.Add(ref.RetryAfter()))
	}
}

// meansNoRoom reports whether a call was refused because the hosts that it reached had no room for it.
func meansNoRoom(reason core.Reason) bool {
	switch reason {
	case core.ReasonOverload, core.ReasonDeadline, core.ReasonCold, core.ReasonDependencyCold:
		return true
	}
	return false
}

// recordCold records until when a service is cold that refused a nested call of this call, or one further down the chain.
func (run *runningCall) recordCold(until time.Time) {
	for old := run.coldUntil.Load(); until.UnixNano() > old; old = run.coldUntil.Load() {
		if run.coldUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// dependencyColdUntil returns the time given to recordCold, or the zero time.
func (run *runningCall) dependencyColdUntil() time.Time {
	if nanos := run.coldUntil.Load(); nanos > 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

// runningCalls holds the running calls of this host. It is safe for concurrent use.
type runningCalls struct {
	mut  sync.RWMutex
	byID map[string]*runningCall // by the caller's identifier of the attempt
}

func newRunningCalls() *runningCalls { return &runningCalls{byID: map[string]*runningCall{}} }

func (rcs *runningCalls) add(run *runningCall) {
	rcs.mut.Lock()
	defer rcs.mut.Unlock()
	rcs.byID[run.call.AttemptID()] = run
}

func (rcs *runningCalls) remove(run *runningCall) {
	rcs.mut.Lock()
	defer rcs.mut.Unlock()
	if rcs.byID[run.call.AttemptID()] == run {
		delete(rcs.byID, run.call.AttemptID())
	}
}

// parent returns the running call whose identifier the given one extends, or nil if there is none. It finds only calls
// that run on this host now, so a caller cannot claim the rank of another request by its identifier.
func (rcs *runningCalls) parent(id string) *runningCall {
	idx := strings.LastIndex(id, idSeparator)
	if idx <= 0 {
		return nil
	}
	rcs.mut.RLock()
	defer rcs.mut.RUnlock()
	return rcs.byID[id[:idx]]
}

func (rcs *runningCalls) empty() bool {
	rcs.mut.RLock()
	defer rcs.mut.RUnlock()
	return len(rcs.byID) == 0
}
