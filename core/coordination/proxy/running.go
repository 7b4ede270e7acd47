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
func derived(id string) bool { return strings.LastIndex(id, idSeparator) > 0 }

// run is a call that the own upstream is working on.
type run struct {
	ctx    context.Context
	call   *core.Call
	failed atomic.Bool // a nested call failed
}

// running finds the running calls by the caller's identifier of the attempt.
type running struct {
	mut  sync.RWMutex
	byID map[string]*run
}

func newRunning() *running { return &running{byID: map[string]*run{}} }

func (rng *running) add(run *run) {
	rng.mut.Lock()
	defer rng.mut.Unlock()
	rng.byID[run.call.AttemptID()] = run
}

func (rng *running) remove(run *run) {
	rng.mut.Lock()
	defer rng.mut.Unlock()
	if rng.byID[run.call.AttemptID()] == run {
		delete(rng.byID, run.call.AttemptID())
	}
}

// parent returns the running call from whose identifier another one is derived, or nil. Only calls that run beside
// this node now are found, so a caller cannot claim the rank of another request by its identifier.
func (rng *running) parent(id string) *run {
	idx := strings.LastIndex(id, idSeparator)
	if idx <= 0 {
		return nil
	}
	rng.mut.RLock()
	defer rng.mut.RUnlock()
	return rng.byID[id[:idx]]
}

func (rng *running) empty() bool {
	rng.mut.RLock()
	defer rng.mut.RUnlock()
	return len(rng.byID) == 0
}
