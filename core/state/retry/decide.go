package retry

import (
	"math/rand/v2"
	"time"

	"amaranthline/core"
)

const (
	backoffBase = 5 * time.Millisecond
	backoffCap  = 100 * time.Millisecond
)

// Backoff returns the pause before retry number n, counted from 0. The base is doubled n times up to a cap; the pause is
// half of the result plus uniform jitter of up to the other half.
func Backoff(rng *rand.Rand, n int) time.Duration {
	ceiling := backoffCap
	if n < 5 { // 5 ms doubled 5 times exceeds the cap
		ceiling = backoffBase << max(n, 0)
	}
	half := ceiling / 2
	return half + time.Duration(rng.Int64N(int64(half)+1))
}

// Attempt describes a call that failed and what a retry would need.
type Attempt struct {
	Failure        *core.Refusal // nil when the called upstream's application answered
	Idempotent     bool
	Replayable     bool          // the request body is empty or still buffered
	HeadersSent    bool          // the status and headers of the answer were already sent to the caller
	Remaining      time.Duration // time until the deadline
	Backoff        time.Duration // backoff before the retry
	TypicalLatency time.Duration // typical time from sending a call to its answer
	Budget         *Budget       // after the failed call has returned its unused retries
	Ratio          *Ratio
	Now            time.Time
}

// Decision reports whether a failed call is sent again and, if not, why.
type Decision uint8

// The decisions of Decide.
const (
	DecisionAnswered         Decision = iota // the application answered; a failure that it passes on is decided on at a deeper hop
	DecisionRetry                            // one retry was taken from the budget and counted in the ratio
	DecisionUnsafe                           // the call may have run and its route is not idempotent
	DecisionNotRetryable                     // another host would refuse for the same reason
	DecisionHeadersSent                      // the status and headers of the answer were already sent to the caller
	DecisionNotReplayable                    // the request body is no longer buffered
	DecisionDeadlineTooClose                 // the time until the deadline is less than the backoff plus the typical latency
	DecisionBudgetExhausted                  // the root request has no retry left
	DecisionRatioExceeded                    // the node's retries have reached their share of its calls
)

var decisionNames = [...]string{
	"answered", "retry", "unsafe", "pointless", "started", "no_body", "no_time", "no_budget", "no_ratio",
}

// String returns the decision as a metric label.
func (dec Decision) String() string { return decisionNames[dec] }

// retryableReasons lists the reasons for which another host of the service may not refuse or fail.
var retryableReasons = map[core.Reason]bool{
	core.ReasonOverload:           true,
	core.ReasonDraining:           true,
	core.ReasonDomainOutOfService: true,
	core.ReasonNoConfiguration:    true,
	core.ReasonNoUpstream:         true,
	core.ReasonUpstreamFailed:     true,
	core.ReasonTruncated:          true,
	core.ReasonPeerFailed:         true,
	core.ReasonCallerMemory:       true,
}

// Decide reports whether a failed call is sent again and, if so, takes one retry from the budget and the ratio.
func Decide(att Attempt) Decision {
	switch {
	case att.Failure == nil:
		return DecisionAnswered
	case att.Failure.Outcome() != core.OutcomeNotRun && !att.Idempotent:
		return DecisionUnsafe
	case !retryableReasons[att.Failure.Reason()]:
		return DecisionNotRetryable
	case att.HeadersSent:
		return DecisionHeadersSent
	case !att.Replayable:
		return DecisionNotReplayable
	case att.Remaining < att.Backoff+att.TypicalLatency:
		return DecisionDeadlineTooClose
	case !att.Budget.Spend():
		return DecisionBudgetExhausted
	case !att.Ratio.Allow(att.Now):
		att.Budget.Return(1, 1)
		return DecisionRatioExceeded
	}
	return DecisionRetry
}
