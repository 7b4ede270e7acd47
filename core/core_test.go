package core_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"amaranthline/core"
)

// Guards against an error without a type being reported as "not run", which would let the caller send the request again
// although it may have run, and against a passed deadline getting another reason at the node that notices it first.
func TestAsRefusal(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		reason core.Reason
		out    core.Outcome
	}{
		{"plain error", errors.New("connection reset"), core.ReasonPeerFailed, core.OutcomeUnknown},
		{"deadline", fmt.Errorf("handler: %w", context.DeadlineExceeded), core.ReasonDeadline, core.OutcomeUnknown},
		{"cancelled", context.Canceled, core.ReasonCancelled, core.OutcomeUnknown},
		{"wrapped refusal", fmt.Errorf("call: %w", core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "queue full")), core.ReasonOverload, core.OutcomeNotRun},
		{"refusal with feedback", core.WithFeedback(core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset"), core.Feedback{}), core.ReasonUpstreamFailed, core.OutcomeUnknown},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			ref := core.AsRefusal(tst.err)
			got := []string{string(ref.Reason()), ref.Outcome().String()}
			if diff := cmp.Diff([]string{string(tst.reason), tst.out.String()}, got); diff != "" {
				t.Errorf("reason and outcome of the refusal (-want +got):\n%s", diff)
			}
		})
	}
}
