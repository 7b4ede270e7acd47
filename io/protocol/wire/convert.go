package wire

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"amaranthline/core"
)

// Maximum body sizes in bytes. Bodies are streamed; the limits of configurations for request bodies, which may be lower, are
// applied where callers send them.
const (
	MaxRequestBody = 64 << 20
	MaxAnswerBody  = 64 << 20
)

// UnknownRank is the rank of a received call. The call names its class, and the serving node must look up the rank of
// that class in its own declarations. A rank that was never looked up counts as the least important.
const UnknownRank = math.MaxInt32

// FromCall returns the head of a call; admittedNanos is the admission time on the receiver's monotonic clock.
func FromCall(cal *core.Call, remaining time.Duration, admittedNanos int64) *CallHead {
	rid := cal.ID()
	var fingerprint []byte // left empty when the call has none
	if fin := cal.Fingerprint(); fin != (core.Fingerprint{}) {
		fingerprint = fin[:]
	}
	length := cal.Length()
	if cal.Body() == nil {
		length = 0
	}
	return &CallHead{
		RootId: rid[:], Team: cal.Team(), KeyId: cal.KeyID(), Class: cal.Class(), Open: cal.Public(),
		Service: cal.Service(), Method: cal.Method(), Path: cal.Path(), Headers: FromHeader(cal.Header()),
		Length: length, Idempotent: cal.Idempotent(), IdempotencyKey: cal.IdempotencyKey(),
		Budget: int32(cal.RetryBudget()), Depth: int32(cal.Depth()), Fingerprint: fingerprint,
		RemainingNanos: int64(remaining), AdmittedNanos: admittedNanos,
		CallId: cal.AttemptID(), Authority: cal.Authority(), Origin: cal.CallerService(), TargetNanos: int64(cal.TargetLatency()),
		Version: cal.DeclarationsVersion(), Keyed: cal.Authenticated(), Rank: int32(cal.Rank()), Repeat: cal.IsRetry(),
		TeamLoad: float32(cal.TeamLoad()),
	}
}

// ToCall returns the call that a head describes, with deadline and admission time on the local clock.
func ToCall(head *CallHead, body io.Reader, deadline, admittedAt time.Time) (*core.Call, error) {
	var rid core.RootID
	var fin core.Fingerprint
	if err := copyFixed("root_id", rid[:], head.GetRootId()); err != nil {
		return nil, err
	}
	if fingerprint := head.GetFingerprint(); len(fingerprint) > 0 {
		if err := copyFixed("fingerprint", fin[:], fingerprint); err != nil {
			return nil, err
		}
	}
	if head.GetLength() < -1 || head.GetBudget() < 0 || head.GetDepth() < 0 {
		return nil, &DecodeError{detail: "CallHead has a length below -1, or a negative budget or depth"}
	}
	roo := core.NewRoot(core.RootSpec{
		ID: rid, Team: head.GetTeam(), KeyID: head.GetKeyId(), Class: head.GetClass(), Rank: UnknownRank,
		Deadline: deadline, AdmittedAt: admittedAt, Public: head.GetOpen(),
	})
	return core.NewCall(core.CallSpec{
		Root: roo, Service: head.GetService(), Method: head.GetMethod(), Path: head.GetPath(),
		Header: ToHeader(head.GetHeaders()), Body: body, Length: head.GetLength(),
		Idempotent: head.GetIdempotent(), IdempotencyKey: head.GetIdempotencyKey(),
		RetryBudget: int(head.GetBudget()), Depth: int(head.GetDepth()), Fingerprint: fin,
		AttemptID: head.GetCallId(), Authority: head.GetAuthority(), CallerService: head.GetOrigin(),
		TargetLatency: time.Duration(max(head.GetTargetNanos(), 0)), DeclarationsVersion: head.GetVersion(), Authenticated: head.GetKeyed(),
		EntryRank: int(max(head.GetRank(), 0)), IsRetry: head.GetRepeat(), TeamLoad: toLoad(float64(head.GetTeamLoad())),
	}), nil
}

func copyFixed(field string, dst, src []byte) error {
	if len(src) != len(dst) {
		return &DecodeError{detail: fmt.Sprintf("%s has %d bytes instead of %d", field, len(src), len(dst))}
	}
	copy(dst, src)
	return nil
}

// FromHeader encodes the end-to-end headers.
func FromHeader(hdr http.Header) []*Header {
	if !allEndToEnd(hdr) {
		hdr = EndToEnd(hdr)
	}
	out := make([]*Header, 0, len(hdr))
	for name, values := range hdr {
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

// ToHeader decodes headers, with canonical names and without the hop-by-hop ones.
func ToHeader(list []*Header) http.Header {
	hdr := make(http.Header, len(list))
	for _, item := range list {
		name := http.CanonicalHeaderKey(item.GetName())
		hdr[name] = append(hdr[name], item.GetValues()...)
	}
	return removeHopByHop(hdr)
}

// FromFeedback encodes feedback.
func FromFeedback(fee core.Feedback) *Feedback {
	return &Feedback{
		Budget: int32(fee.RetryBudget()), Fraction: fee.MinAdmissionFraction(), Load: fee.Load(), Leaving: fee.Leaving(),
		ExpectedNanos: int64(fee.ExpectedLatency()), StepNanos: int64(fee.MarginalLatency()), NestedFailed: fee.NestedFailed(),
		NestedColdNanos: int64(fee.NestedColdFor()), NestedHadRoom: fee.NestedFailed() && !fee.NestedNoRoom(), QueuedMicros: toMicros(fee.QueuedFor()), ServiceMicros: toMicros(fee.ExpectedService()),
		WaitMicros: toMicros(fee.ExpectedWait()), Slots: uint32(min(max(fee.Slots(), 0), math.MaxInt32)),
	}
}

// toMicros returns a duration in whole microseconds, at most about an hour.
func toMicros(dur time.Duration) uint32 {
	return uint32(min(max(dur.Microseconds(), 0), math.MaxUint32))
}

// maxLoad is the highest load of a host or team that is told apart from higher ones. An infinite one would stay in moving
// averages for good.
const maxLoad = 1000

// toLoad returns a received load between 0 and maxLoad; one that is not a number counts as 0.
func toLoad(load float64) float64 {
	if math.IsNaN(load) {
		return 0
	}
	return min(max(load, 0), maxLoad)
}

func fromMicros(micros uint32) time.Duration { return time.Duration(micros) * time.Microsecond }

// ToFeedback decodes feedback. The fraction is clamped to [0,1], and a fraction that is not a number counts as 1.
func ToFeedback(msg *Feedback) core.Feedback {
	fraction := min(max(msg.GetFraction(), 0), 1)
	if math.IsNaN(fraction) {
		fraction = 1
	}
	fee := core.NewFeedback(int(max(msg.GetBudget(), 0)), fraction, toLoad(msg.GetLoad()), msg.GetLeaving())
	expected, marginal := time.Duration(max(msg.GetExpectedNanos(), 0)), time.Duration(max(msg.GetStepNanos(), 0))
	fee = fee.WithNestedColdFor(time.Duration(max(msg.GetNestedColdNanos(), 0)))
	fee = fee.WithWork(fromMicros(msg.GetServiceMicros()), fromMicros(msg.GetWaitMicros()), int(msg.GetSlots()))
	return fee.WithLatency(expected, marginal).WithNestedFailed(msg.GetNestedFailed()).WithNestedNoRoom(msg.GetNestedFailed() && !msg.GetNestedHadRoom()).WithQueuedFor(fromMicros(msg.GetQueuedMicros()))
}

// FromAnswer encodes the head of an answer.
func FromAnswer(ans *core.Answer) *AnswerHead {
	return &AnswerHead{Status: int32(ans.Status()), Headers: FromHeader(ans.Header()), Outcome: uint32(core.OutcomeRan)}
}

// FromRefusal encodes an error as the head of an answer that refuses the call.
func FromRefusal(err error) *AnswerHead {
	ref := core.AsRefusal(err)
	return &AnswerHead{
		Status: int32(ref.Status()), Reason: string(ref.Reason()), Outcome: uint32(ref.Outcome()),
		Detail: ref.Detail(), RetryAfterNanos: int64(ref.RetryAfter()), Feedback: FromFeedback(feedbackOf(err)),
	}
}

// ToRefusal returns the refusal that an answer's head carries, or nil when the head starts an answer.
func ToRefusal(head *AnswerHead) error {
	if head.GetReason() == "" {
		return nil
	}
	ref := core.NewRefusal(core.Reason(head.GetReason()), ToOutcome(head.GetOutcome()), head.GetDetail())
	ref = ref.WithRetryAfter(time.Duration(max(head.GetRetryAfterNanos(), 0)))
	return core.WithFeedback(ref, ToFeedback(head.GetFeedback()))
}

// FromAnswerEnd encodes the end of a complete answer.
func FromAnswerEnd(fee core.Feedback) *AnswerEnd {
	return &AnswerEnd{Outcome: uint32(core.OutcomeRan), Feedback: FromFeedback(fee)}
}

// FromFailure encodes the end of an answer that failed after its head.
func FromFailure(err error, fee core.Feedback) *AnswerEnd {
	ref := core.AsRefusal(err)
	return &AnswerEnd{
		Reason: string(ref.Reason()), Outcome: uint32(ref.Outcome()), Detail: ref.Detail(), Feedback: FromFeedback(fee),
	}
}

// ToAnswerError returns the failure that an answer's end carries, or nil when the answer is complete.
func ToAnswerError(end *AnswerEnd) error {
	if end.GetReason() == "" {
		return nil
	}
	ref := core.NewRefusal(core.Reason(end.GetReason()), ToOutcome(end.GetOutcome()), end.GetDetail())
	return core.WithFeedback(ref, ToFeedback(end.GetFeedback()))
}

// ToOutcome decodes an outcome; a number without a meaning decodes as core.OutcomeUnknown.
func ToOutcome(num uint32) core.Outcome {
	switch out := core.Outcome(num); {
	case num > math.MaxUint8:
		return core.OutcomeUnknown
	case out == core.OutcomeNotRun, out == core.OutcomeRan:
		return out
	}
	return core.OutcomeUnknown
}

type feedbackProvider interface{ Feedback() core.Feedback }

// feedbackOf returns the feedback that an error carries. Without any it returns no unused retries, full admission and
// no load.
func feedbackOf(err error) core.Feedback {
	var fpr feedbackProvider
	if errors.As(err, &fpr) {
		return fpr.Feedback()
	}
	return core.NewFeedback(0, 1, 0, false)
}
