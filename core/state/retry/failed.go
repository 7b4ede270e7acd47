package retry

import (
	"net/http"
	"sync"

	"amaranthline/core"
)

// maxFailedCalls bounds the failed nested calls that one running call remembers.
const maxFailedCalls = 256

// Kind says what a nested call is to the running call that makes it.
type Kind uint8

// The kinds of nested calls.
const (
	// KindFirst is a first call, or a repeated one after a success.
	KindFirst Kind = iota
	// KindRetry is a repeated call after a failure; it needs one retry of the budget.
	KindRetry
	// KindUnsafeRetry repeats a call of a non-idempotent route that ran or may have run; it is refused.
	KindUnsafeRetry
)

// FailedCalls remembers the failed nested calls of one running call, by fingerprint.
//
// Parallel calls with one fingerprint are distinct calls until one of them has failed. When the table is full of failed
// calls, every call that it does not hold counts as a retry, so that an application cannot evade the budget by
// forgetting.
type FailedCalls struct {
	mut      sync.Mutex
	outcomes map[core.Fingerprint]core.Outcome
	full     bool
}

// NewFailedCalls returns the table of a running call that has made no nested call.
func NewFailedCalls() *FailedCalls { return &FailedCalls{} }

// Classify classifies a nested call before it is sent.
func (fca *FailedCalls) Classify(fin core.Fingerprint, idempotent bool) Kind {
	fca.mut.Lock()
	defer fca.mut.Unlock()
	out, ok := fca.outcomes[fin]
	switch {
	case ok && out != core.OutcomeNotRun && !idempotent:
		return KindUnsafeRetry
	case ok || fca.full:
		return KindRetry
	}
	return KindFirst
}

// Record records how a nested call ended for the application; a call that was refused as unsafe is not recorded.
func (fca *FailedCalls) Record(fin core.Fingerprint, failed bool, out core.Outcome) {
	fca.mut.Lock()
	defer fca.mut.Unlock()
	previous, known := fca.outcomes[fin]
	switch {
	case !failed:
		delete(fca.outcomes, fin)
	case known && previous != core.OutcomeNotRun:
		// A repeated call that did not run does not undo that the first one may have run.
	case !known && len(fca.outcomes) >= maxFailedCalls:
		fca.full = true
	default:
		if fca.outcomes == nil {
			fca.outcomes = map[core.Fingerprint]core.Outcome{}
		}
		fca.outcomes[fin] = out
	}
}

// IsFailureStatus says whether an application's answer counts as a failure: a server error or 429.
func IsFailureStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}
