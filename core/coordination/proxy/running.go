package proxy

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"amaranthline/core"
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
