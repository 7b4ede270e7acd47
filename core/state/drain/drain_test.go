package drain_test

import (
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/drain"

	"github.com/google/go-cmp/cmp"
)

// Guards against requests that outlast a host which stops: each one that arrives after the announcement must end before the
// stop, and while the host drains a nested call that may not must be refused as not run.
func TestDeadlinesAroundStop(t *testing.T) {
	now := time.Now()
	type limits struct {
		deadline time.Duration // after now
		refused  bool
	}
	tests := []struct {
		name   string
		change func(sta *drain.State)
		asked  time.Duration
		want   limits
	}{
		{"a host that stays", func(*drain.State) {}, time.Hour, limits{time.Hour, false}},
		{"a host that drains without an announced stop", func(sta *drain.State) { sta.Drain() }, time.Hour, limits{time.Hour, false}},
		{"leaving, ends in time", func(sta *drain.State) { sta.Leave(now.Add(5 * time.Second)) }, 4 * time.Second, limits{4 * time.Second, false}},
		{"leaving, longer", func(sta *drain.State) { sta.Leave(now.Add(5 * time.Second)) }, 6 * time.Second, limits{4900 * time.Millisecond, false}},
		{"draining, ends in time", leaveAndDrain(now.Add(5 * time.Second)), 4 * time.Second, limits{4 * time.Second, false}},
		{"draining, longer", leaveAndDrain(now.Add(5 * time.Second)), 4950 * time.Millisecond, limits{4900 * time.Millisecond, true}},
		{"draining, after the stop", leaveAndDrain(now.Add(-time.Second)), time.Second, limits{-1100 * time.Millisecond, true}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var sta drain.State
			tst.change(&sta)
			err := sta.CheckNested(now.Add(tst.asked))
			if err != nil && core.AsRefusal(err).Outcome() != core.OutcomeNotRun {
				t.Errorf("refused with %v, want the outcome not run", err)
			}
			got := limits{sta.LimitDeadline(now.Add(tst.asked)).Sub(now), err != nil}
			if diff := cmp.Diff(tst.want, got, cmp.AllowUnexported(limits{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func leaveAndDrain(stopsAt time.Time) func(sta *drain.State) {
	return func(sta *drain.State) {
		sta.Leave(stopsAt)
		sta.Drain()
	}
}
