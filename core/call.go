package core

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/http"
	"time"
)

// AdmissionHashSpace is the number of values that the admission hash of a root request can have.
const AdmissionHashSpace = 1 << 32

// RootID identifies a root request along its whole call chain.
type RootID [16]byte

// String returns the identifier in hexadecimal digits.
func (rid RootID) String() string { return hex.EncodeToString(rid[:]) }

// Hash returns the admission hash, which every hop of the chain compares with its own admission fraction.
func (rid RootID) Hash() uint32 { return binary.BigEndian.Uint32(rid[:4]) }

// Fingerprint identifies requests that have team, service, method, path, query and the start of the body in common.
type Fingerprint [32]byte

// String returns the first 8 of the 32 bytes in hexadecimal digits.
func (fin Fingerprint) String() string { return hex.EncodeToString(fin[:8]) }

// Root holds what is the same for all calls in the chain of a root request.
type Root struct {
	id         RootID
	team       string
	keyID      string
	class      string
	rank       int
	deadline   time.Time
	admittedAt time.Time
	public     bool
}

// RootSpec lists the fields of a new Root.
type RootSpec struct {
	ID         RootID
	Team       string
	KeyID      string
	Class      string
	Rank       int
	Deadline   time.Time
	AdmittedAt time.Time
	Public     bool
}

// NewRoot returns a root request.
func NewRoot(spec RootSpec) *Root {
	return &Root{
		id: spec.ID, team: spec.Team, keyID: spec.KeyID, class: spec.Class, rank: spec.Rank,
		deadline: spec.Deadline, admittedAt: spec.AdmittedAt, public: spec.Public,
	}
}

// ID returns the identifier.
func (roo *Root) ID() RootID { return roo.id }

// Team returns the team that the key belongs to, or "" on a public route.
func (roo *Root) Team() string { return roo.team }

// KeyID returns the declared identifier of the key, not the key itself.
func (roo *Root) KeyID() string { return roo.keyID }

// Class returns the class of the route at the entry.
func (roo *Root) Class() string { return roo.class }

// Rank returns the rank of the class; 0 is the most important class.
func (roo *Root) Rank() int { return roo.rank }

// Deadline returns when the caller stops waiting, on the local clock.
func (roo *Root) Deadline() time.Time { return roo.deadline }

// AdmittedAt returns when the entry node admitted the root request, on the local clock.
func (roo *Root) AdmittedAt() time.Time { return roo.admittedAt }

// Public reports whether the route at the entry needs no key.
func (roo *Root) Public() bool { return roo.public }

// Call is one call of a root request to one service.
type Call struct {
	*Root
	service             string
	method              string
	path                string
	header              http.Header
	body                io.Reader
	length              int64
	idempotent          bool
	idempotencyKey      string
	retryBudget         int
	depth               int
	fingerprint         Fingerprint
	attemptID           string
	authority           string
	callerService       string
	targetLatency       time.Duration
	declarationsVersion uint64
	authenticated       bool
	entryRank           int
	isRetry             bool
	teamLoad            float64
	onSent              func() // nil when nobody is told
}

// CallSpec lists the fields of a new Call.
type CallSpec struct {
	Root                *Root
	Service             string
	Method              string
	Path                string // path and query as sent to the upstream
	Header              http.Header
	Body                io.Reader // nil when there is no body
	Length              int64     // -1 when unknown
	Idempotent          bool
	IdempotencyKey      string
	RetryBudget         int // retries that this call and its nested calls may spend
	Depth               int // nested calls between the root request and this call; 0 for the root request's own call
	Fingerprint         Fingerprint
	AttemptID           string        // the caller's own identifier of this attempt, or "" if there is none
	Authority           string        // Host header of the request, or ""
	CallerService       string        // service of the host at which the call entered the system, or "" if not set
	TargetLatency       time.Duration // target latency of the root's class, or 0 if not set
	DeclarationsVersion uint64        // content version of the declarations by which the entry node admitted the call, or 0 if not set
	Authenticated       bool          // this call itself came with a key, not only its root request
	EntryRank           int           // rank that the entry node gave the root request, for a call that arrived from a peer
	IsRetry             bool          // an attempt after the first, or a nested call that an upstream made while it ran such an attempt
	TeamLoad            float64       // requests that the team sends to all hosts, divided by its declared rate, or 0 if not known
}

// NewCall returns a call of a root request.
func NewCall(spec CallSpec) *Call {
	return &Call{
		Root: spec.Root, service: spec.Service, method: spec.Method, path: spec.Path, header: spec.Header,
		body: spec.Body, length: spec.Length, idempotent: spec.Idempotent, idempotencyKey: spec.IdempotencyKey,
		retryBudget: spec.RetryBudget, depth: spec.Depth, fingerprint: spec.Fingerprint, attemptID: spec.AttemptID, authority: spec.Authority,
		callerService: spec.CallerService, targetLatency: spec.TargetLatency, declarationsVersion: spec.DeclarationsVersion, authenticated: spec.Authenticated,
		entryRank: spec.EntryRank, isRetry: spec.IsRetry, teamLoad: spec.TeamLoad,
	}
}

// Service returns the name of the called service.
func (cal *Call) Service() string { return cal.service }

// Method returns the HTTP method.
func (cal *Call) Method() string { return cal.method }

// Path returns the path and query as sent to the upstream.
func (cal *Call) Path() string { return cal.path }

// Header returns the end-to-end headers without the key.
func (cal *Call) Header() http.Header { return cal.header }

// Body returns the request body, or nil when there is no body.
func (cal *Call) Body() io.Reader { return cal.body }

// Length returns the length of the body, or -1 when it is unknown.
func (cal *Call) Length() int64 { return cal.length }

// Idempotent reports whether the route is declared idempotent, so that a call may run more than once.
func (cal *Call) Idempotent() bool { return cal.idempotent }

// IdempotencyKey returns the caller's idempotency key, or "" if there is none.
func (cal *Call) IdempotencyKey() string { return cal.idempotencyKey }

// RetryBudget returns how many retries this call and its nested calls may spend.
func (cal *Call) RetryBudget() int { return cal.retryBudget }

// Depth returns the number of nested calls from the root request to this call, which is 0 for its own call.
func (cal *Call) Depth() int { return cal.depth }

// Nested reports whether an upstream made the call while it served another call of the root request.
func (cal *Call) Nested() bool { return cal.depth > 0 }

// Fingerprint returns the fingerprint of the request.
func (cal *Call) Fingerprint() Fingerprint { return cal.fingerprint }

// AttemptID returns the caller's own identifier of this attempt, or "" if there is none.
func (cal *Call) AttemptID() string { return cal.attemptID }

// Authority returns the Host header of the request, or "".
func (cal *Call) Authority() string { return cal.authority }

// CallerService returns the service of the host at which the call entered the system, or "" if not set.
func (cal *Call) CallerService() string { return cal.callerService }

// TargetLatency returns the target latency of the root's class, or 0 if not set.
func (cal *Call) TargetLatency() time.Duration { return cal.targetLatency }

// DeclarationsVersion returns the content version of the declarations by which the entry node admitted the call, or 0 if not set.
func (cal *Call) DeclarationsVersion() uint64 { return cal.declarationsVersion }

// Authenticated reports whether this call itself came with a key; a nested call of an authenticated root request did
// not.
func (cal *Call) Authenticated() bool { return cal.authenticated }

// EntryRank returns the rank that the entry node gave the root request, for a call that arrived from a peer.
func (cal *Call) EntryRank() int { return cal.entryRank }

// IsRetry reports whether the call is an attempt after the first, or a nested call that an upstream made while it ran
// such an attempt.
func (cal *Call) IsRetry() bool { return cal.isRetry }

// TeamLoad returns the requests that the team of the root request sends to all hosts, divided by its declared rate, as the
// entry node knew it, or 0 if it did not.
func (cal *Call) TeamLoad() float64 { return cal.teamLoad }

// ForRetry returns the call with another body and retry budget, for a further attempt.
func (cal *Call) ForRetry(body io.Reader, budget int) *Call {
	attempt := *cal
	attempt.body = body
	attempt.retryBudget = budget
	return &attempt
}

// OnSent returns the call with a function that ReportSent calls.
func (cal *Call) OnSent(sent func()) *Call {
	attempt := *cal
	attempt.onSent = sent
	return &attempt
}

// ReportSent reports that the head of the call has been written to the upstream.
func (cal *Call) ReportSent() {
	if cal.onSent != nil {
		cal.onSent()
	}
}

// Feedback is what an answer reports to the calling node about the chain of calls that produced it.
type Feedback struct {
	retryBudget          int
	minAdmissionFraction float64
	load                 float64
	leaving              bool
	expectedLatency      time.Duration
	marginalLatency      time.Duration
	nestedFailed         bool
	nestedColdFor        time.Duration
	nestedNoRoom         bool
	queuedFor            time.Duration
	expectedService      time.Duration
	expectedWait         time.Duration
	slots                int
}

// NewFeedback returns feedback with the unused retry budget, the smallest admission fraction along the chain, the load
// and whether the serving host is leaving.
func NewFeedback(retryBudget int, minAdmissionFraction, load float64, leaving bool) Feedback {
	return Feedback{retryBudget: retryBudget, minAdmissionFraction: minAdmissionFraction, load: load, leaving: leaving}
}

// WithLatency adds the latency that the serving host expects for one more call, and by how much each further call raises
// it.
func (fee Feedback) WithLatency(expected, marginal time.Duration) Feedback {
	fee.expectedLatency, fee.marginalLatency = expected, marginal
	return fee
}

// WithWork adds the expected time in a slot for a call of the kind that was answered, or 0 if it is not known, the expected
// wait for a slot, and the number of slots of the serving host.
func (fee Feedback) WithWork(service, wait time.Duration, slots int) Feedback {
	fee.expectedService, fee.expectedWait, fee.slots = service, wait, slots
	return fee
}

// ExpectedService returns the expected time in a slot for a call of the kind that was answered, or 0 if it is not known.
func (fee Feedback) ExpectedService() time.Duration { return fee.expectedService }

// ExpectedWait returns the expected time until the serving host has a slot for a call that arrives now.
func (fee Feedback) ExpectedWait() time.Duration { return fee.expectedWait }

// Slots returns how many calls the serving host runs at once, or 0 if it does not report its work.
func (fee Feedback) Slots() int { return fee.slots }

// WithNestedFailed sets whether a nested call of this call failed.
func (fee Feedback) WithNestedFailed(failed bool) Feedback {
	fee.nestedFailed = failed
	return fee
}

// WithNestedNoRoom sets whether a nested call of this call, or one further down the chain, may have failed for lack of room.
func (fee Feedback) WithNestedNoRoom(noRoom bool) Feedback {
	fee.nestedNoRoom = noRoom
	return fee
}

// NestedNoRoom reports whether a nested call of this call, or one further down the chain, may have failed for lack of room.
func (fee Feedback) NestedNoRoom() bool { return fee.nestedNoRoom }

// WithQueuedFor sets how much of the call's duration it and its nested calls spent in queues for a slot.
func (fee Feedback) WithQueuedFor(queued time.Duration) Feedback {
	fee.queuedFor = queued
	return fee
}

// QueuedFor returns how much of the call's duration it and its nested calls spent in queues for a slot, or 0 if it is not
// known.
func (fee Feedback) QueuedFor() time.Duration { return fee.queuedFor }

// WithNestedColdFor sets how much longer a service is cold that refused a call further down the chain because of it.
func (fee Feedback) WithNestedColdFor(remaining time.Duration) Feedback {
	fee.nestedColdFor = remaining
	return fee
}

// NestedColdFor returns how much longer a service is cold that refused a call further down the chain because of it, or 0
// if there was none.
func (fee Feedback) NestedColdFor() time.Duration { return fee.nestedColdFor }

// ExpectedLatency returns the latency that the serving host expects for one more call, or 0 if it reported none.
func (fee Feedback) ExpectedLatency() time.Duration { return fee.expectedLatency }

// MarginalLatency returns by how much each further call raises the expected latency.
func (fee Feedback) MarginalLatency() time.Duration { return fee.marginalLatency }

// NestedFailed reports whether a nested call of this call failed; an error status of the application may then come from
// that failure.
func (fee Feedback) NestedFailed() bool { return fee.nestedFailed }

// RetryBudget returns the unused part of the call's retry budget.
func (fee Feedback) RetryBudget() int { return fee.retryBudget }

// MinAdmissionFraction returns the smallest admission fraction along the chain for the call's class and team.
func (fee Feedback) MinAdmissionFraction() float64 { return fee.minAdmissionFraction }

// Load returns the calls in flight and queued at the serving node, divided by its limit of calls in flight.
func (fee Feedback) Load() float64 { return fee.load }

// Leaving reports whether the serving host is leaving.
func (fee Feedback) Leaving() bool { return fee.leaving }

// The statuses with which an answer may end. RFC 9110, section 15, calls others invalid, or interim.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// ValidStatus reports whether a number is a status of a final HTTP answer, from 200 to 599.
func ValidStatus(status int) bool { return minFinalStatus <= status && status <= maxFinalStatus }

// Answer is the response to a call; its body must be read to the end or closed.
type Answer struct {
	status   int
	header   http.Header
	body     io.ReadCloser
	feedback func() Feedback
	buffered int  // bytes of the body that are in memory; 0 if that is not known
	hasRest  bool // more than these may follow
}

// NewAnswer returns an answer; feedback returns the final feedback once the body has been read.
func NewAnswer(status int, header http.Header, body io.ReadCloser, feedback func() Feedback) *Answer {
	return &Answer{status: status, header: header, body: body, feedback: feedback}
}

// WithBody returns the answer with another body, which takes over the one that it had.
func (ans *Answer) WithBody(body io.ReadCloser) *Answer {
	out := *ans
	out.body = body
	return &out
}

// WithBufferedBody returns the answer with another body of which a number of bytes are in memory; hasRest says whether more
// may follow.
func (ans *Answer) WithBufferedBody(body io.ReadCloser, buffered int, hasRest bool) *Answer {
	out := ans.WithBody(body)
	out.buffered, out.hasRest = buffered, hasRest
	return out
}

// BufferedBytes returns how many bytes of the body were in memory when the answer was made, or 0 if that is not known.
func (ans *Answer) BufferedBytes() int { return ans.buffered }

// HasRest reports whether the body may be longer than BufferedBytes says.
func (ans *Answer) HasRest() bool { return ans.hasRest }

// Status returns the HTTP status code of the upstream's response.
func (ans *Answer) Status() int { return ans.status }

// Header returns the end-to-end headers of the upstream's response.
func (ans *Answer) Header() http.Header { return ans.header }

// Body returns the body; a read error other than io.EOF means that the answer is incomplete.
func (ans *Answer) Body() io.ReadCloser { return ans.body }

// Feedback returns the feedback of the chain; it is final once the body has returned io.EOF.
func (ans *Answer) Feedback() Feedback { return ans.feedback() }

// FeedbackError is a refusal with the feedback of the node that refused the call.
type FeedbackError struct {
	*Refusal
	feedback Feedback
}

// WithFeedback adds feedback to a refusal.
func WithFeedback(ref *Refusal, fee Feedback) *FeedbackError {
	return &FeedbackError{Refusal: ref, feedback: fee}
}

// Feedback returns the feedback of the node that refused.
func (fer *FeedbackError) Feedback() Feedback { return fer.feedback }

// Unwrap returns the refusal.
func (fer *FeedbackError) Unwrap() error { return fer.Refusal }
