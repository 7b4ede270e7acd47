package retry

import (
	"net/http"
	"sync"

	"amaranthline/core"
)

// maxFailedCalls bounds the table of failed nested calls of one running call.
const maxFailedCalls = 256

// Kind reports whether a nested call retries an earlier nested call of the same running call.
type Kind uint8

// The kinds of nested calls.
const (
	// KindFirst is a first call, or the same call again after a success.
	KindFirst Kind = iota
	// KindRetry is the same call again after a failure; it takes one retry from the budget.
	KindRetry
	// KindUnsafeRetry is the retry of a call to a non-idempotent route that ran or may have run; it is refused.
	KindUnsafeRetry
)

// FailedCalls records the failed nested calls of one running call by fingerprint.
//
// Parallel calls with one fingerprint are distinct calls until one of them has failed. When the table is full of failed
// calls, every call that it does not hold counts as a retry, so that an application cannot evade the budget by
// overflowing the table.
type FailedCalls struct {
	mut      sync.Mutex
	outcomes map[core.Fingerprint]core.Outcome
	full     bool
}

// NewFailedCalls returns the table of a running call that has made no nested call yet.
func NewFailedCalls() *FailedCalls { return &FailedCalls{} }

// Classify reports whether a nested call that is about to be sent is a retry.
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

// Record records how a nested call ended for the application. Callers must not record a KindUnsafeRetry.
func (fca *FailedCalls) Record(fin core.Fingerprint, failed bool, out core.Outcome) {
	fca.mut.Lock()
	defer fca.mut.Unlock()
	previous, known := fca.outcomes[fin]
	switch {
	case !failed:
		delete(fca.outcomes, fin)
	case known && previous != core.OutcomeNotRun:
		// A retry that did not run does not change that an earlier attempt may have run.
	case !known && len(fca.outcomes) >= maxFailedCalls:
		fca.full = true
	default:
		if fca.outcomes == nil {
			fca.outcomes = map[core.Fingerprint]core.Outcome{}
		}
		fca.outcomes[fin] = out
	}
}

// IsFailureStatus reports whether an application's answer counts as a failure: status 429, or 500 and above.
func IsFailureStatus(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}
