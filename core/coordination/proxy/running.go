package proxy

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"amaranthline/core"
)

// idSeparator stands between the identifier of a running call and the rest of the identifier of a call that the
// upstream makes while it serves it.
const idSeparator = "."

// derived says whether an identifier has the form of one that an upstream derived from another.
func isDerivedID(id string) bool { return strings.LastIndex(id, idSeparator) > 0 }

// run is a call that the own upstream is working on.
type runningCall struct {
	ctx          context.Context
	call         *core.Call
	nestedFailed atomic.Bool // a nested call failed
}

// running finds the running calls by the caller's identifier of the attempt.
type runningCalls struct {
	mut  sync.RWMutex
	byID map[string]*runningCall
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

// parent returns the running call from whose identifier another one is derived, or nil. Only calls that run beside
// this node now are found, so a caller cannot claim the rank of another request by its identifier.
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
