package core

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome reports whether a request reached the application.
type Outcome uint8

// The outcomes of a request. OutcomeUnknown is the zero value, so that a missing outcome never means "not run".
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRan
)

// String returns the value of the outcome in the Amaranthline-Outcome header.
func (out Outcome) String() string {
	switch out {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason is the kind of a refusal; it is also the value of the metric label "reason".
type Reason string

// The reasons why a request is refused or fails.
const (
	ReasonBadRequest         Reason = "bad_request"
	ReasonSpoofedHeader      Reason = "spoofed_header"
	ReasonKeyLeak            Reason = "key_leak"
	ReasonHeaderTooLarge     Reason = "header_too_large"
	ReasonBodyTooLarge       Reason = "body_too_large"
	ReasonSlowSender         Reason = "slow_sender"
	ReasonCallerMemory       Reason = "caller_memory"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonUnknownRoute       Reason = "unknown_route"
	ReasonKeyMissing         Reason = "key_missing"
	ReasonKeyUnknown         Reason = "key_unknown"
	ReasonRateExceeded       Reason = "rate_exceeded"
	ReasonOverload           Reason = "overload"
	ReasonDeadline           Reason = "deadline"
	ReasonCancelled          Reason = "cancelled"
	ReasonNoUpstream         Reason = "no_upstream"
	ReasonNoConfiguration    Reason = "no_configuration"
	ReasonDomainOutOfService Reason = "domain_out"
	ReasonDraining           Reason = "draining"
	ReasonBudgetExhausted    Reason = "budget_exhausted"
	ReasonDuplicate          Reason = "duplicate"
	ReasonOutcomeUnknown     Reason = "outcome_unknown"
	ReasonCrashSuspect       Reason = "suspect"
	ReasonAdmissionTooOld    Reason = "stale_admission"
	ReasonUpstreamFailed     Reason = "upstream_failed"
	ReasonTruncated          Reason = "truncated"
	ReasonPeerFailed         Reason = "peer_failed"
	ReasonCallToken          Reason = "call_token"
	ReasonWrongInstance      Reason = "wrong_instance"
	ReasonMismatchedAnswer   Reason = "foreign_answer"
	ReasonUpstreamShed       Reason = "upstream_shed"
	ReasonCold               Reason = "cold"
	ReasonDependencyCold     Reason = "dependency_cold"
	ReasonOrphanedCall       Reason = "orphan"
)

// refusalKind holds the HTTP status and the remedy of a reason.
type refusalKind struct {
	status int
	remedy string
}

var refusalKinds = map[Reason]refusalKind{
	ReasonBadRequest:         {http.StatusBadRequest, "correct the request and send it again"},
	ReasonSpoofedHeader:      {http.StatusBadRequest, "remove headers that start with Amaranthline-"},
	ReasonKeyLeak:            {http.StatusBadRequest, "send the key only in the Authorization header"},
	ReasonHeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, "send a shorter header block"},
	ReasonBodyTooLarge:       {http.StatusRequestEntityTooLarge, "send a shorter body"},
	ReasonSlowSender:         {http.StatusRequestTimeout, "send the request without long pauses"},
	ReasonCallerMemory:       {http.StatusServiceUnavailable, "send fewer headers or a shorter body, or retry after a pause"},
	ReasonUnknownService:     {http.StatusNotFound, "use /SERVICE/path with a declared service"},
	ReasonUnknownRoute:       {http.StatusNotFound, "use a method and path that the service declares"},
	ReasonKeyMissing:         {http.StatusUnauthorized, "send Authorization: Bearer KEY"},
	ReasonKeyUnknown:         {http.StatusUnauthorized, "ask the operators for a valid key"},
	ReasonRateExceeded:       {http.StatusTooManyRequests, "send at most the team's rate, or ask for a higher one"},
	ReasonOverload:           {http.StatusServiceUnavailable, "retry after a pause"},
	ReasonDeadline:           {http.StatusGatewayTimeout, "allow more time in Request-Timeout"},
	ReasonCancelled:          {499, "keep the connection open until the answer arrives"},
	ReasonNoUpstream:         {http.StatusServiceUnavailable, "retry after a pause; no host of the service can be reached"},
	ReasonNoConfiguration:    {http.StatusServiceUnavailable, "retry after a pause; the node has no configuration yet"},
	ReasonDomainOutOfService: {http.StatusServiceUnavailable, "retry; the failure domain has been taken out of service"},
	ReasonDraining:           {http.StatusServiceUnavailable, "retry; the host is draining"},
	ReasonBudgetExhausted:    {http.StatusServiceUnavailable, "do not retry further nested calls of this request"},
	ReasonDuplicate:          {http.StatusConflict, "do not send this idempotency key again"},
	ReasonOutcomeUnknown:     {http.StatusConflict, "check the state of the resource before sending a new request"},
	ReasonCrashSuspect:       {http.StatusServiceUnavailable, "do not resend; the request crashed an upstream"},
	ReasonAdmissionTooOld:    {http.StatusServiceUnavailable, "retry; the entry node was paused after admission"},
	ReasonUpstreamFailed:     {http.StatusBadGateway, "check the state of the resource; the upstream connection failed"},
	ReasonTruncated:          {http.StatusBadGateway, "send an idempotent request again; the answer was cut short"},
	ReasonPeerFailed:         {http.StatusBadGateway, "check the state of the resource; the connection to the serving node failed"},
	ReasonWrongInstance:      {http.StatusServiceUnavailable, "retry; the upstream has been replaced"},
	ReasonUpstreamShed:       {http.StatusServiceUnavailable, "retry after a pause; the upstream refused the request"},
	ReasonCold:               {http.StatusServiceUnavailable, "retry after a pause; the upstream has just started"},
	ReasonDependencyCold:     {http.StatusServiceUnavailable, "retry after a pause; a service that the request needs has just started"},
	ReasonOrphanedCall:       {http.StatusServiceUnavailable, "make no nested calls for a request that has ended"},
	ReasonMismatchedAnswer:   {http.StatusBadGateway, "check the state of the resource; the upstream answered another request"},
	ReasonCallToken:          {http.StatusForbidden, "pass on the Amaranthline-Call header of the request being served"},
}

// Refusal is the error of every request that this system refuses or that fails before its answer is complete.
type Refusal struct {
	reason     Reason
	outcome    Outcome
	detail     string
	retryAfter time.Duration
	cause      error
}

// NewRefusal returns a refusal; detail is the part of its message that is specific to this refusal.
func NewRefusal(reason Reason, outcome Outcome, detail string) *Refusal {
	return &Refusal{reason: reason, outcome: outcome, detail: detail}
}

// WithCause sets the error that caused the refusal.
func (ref *Refusal) WithCause(cause error) *Refusal {
	ref.cause = cause
	return ref
}

// WithRetryAfter sets the pause that the caller should make before it retries.
func (ref *Refusal) WithRetryAfter(pause time.Duration) *Refusal {
	ref.retryAfter = pause
	return ref
}

// Reason returns the kind of the refusal.
func (ref *Refusal) Reason() Reason { return ref.reason }

// Outcome reports whether the request reached the application.
func (ref *Refusal) Outcome() Outcome { return ref.outcome }

// Detail returns the part of the message that is specific to this refusal.
func (ref *Refusal) Detail() string { return ref.detail }

// RetryAfter returns the pause that the caller should make before it retries, or 0 if none was set.
func (ref *Refusal) RetryAfter() time.Duration { return ref.retryAfter }

// Status returns the HTTP status code of the refusal.
func (ref *Refusal) Status() int {
	if kind, ok := refusalKinds[ref.reason]; ok {
		return kind.status
	}
	return http.StatusInternalServerError
}

// Error returns the reason, the detail and the remedy.
func (ref *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; %s", ref.reason, ref.detail, refusalKinds[ref.reason].remedy)
}

// Unwrap returns the error that caused the refusal.
func (ref *Refusal) Unwrap() error { return ref.cause }

// Is matches refusals by reason.
func (ref *Refusal) Is(target error) bool {
	other, ok := target.(*Refusal)
	return ok && other.reason == ref.reason
}

// InvalidStatusRefusal returns the refusal that replaces an answer whose status is not that of a final HTTP answer.
func InvalidStatusRefusal(status int) *Refusal {
	return NewRefusal(ReasonUpstreamFailed, OutcomeUnknown, fmt.Sprintf("the answer has the status %d, which is none of HTTP", status))
}

// AsRefusal returns the refusal in the chain of wrapped errors, or else a new refusal of unknown outcome that wraps the
// error.
func AsRefusal(err error) *Refusal {
	var ref *Refusal
	if errors.As(err, &ref) {
		return ref
	}
	reason := ReasonPeerFailed
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = ReasonDeadline
	case errors.Is(err, context.Canceled):
		reason = ReasonCancelled
	}
	return NewRefusal(reason, OutcomeUnknown, err.Error()).WithCause(err)
}
