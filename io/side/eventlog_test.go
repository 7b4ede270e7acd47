package side_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"amaranthline/io/side"

	"github.com/sirupsen/logrus"
)

// Under load a node must not spend its time on log lines: each event has a rate, and what goes beyond it is counted, also
// when its fields were never put together.
func TestEventLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	notes := side.NewEventLog(log)
	const events = 500
	wanted := 0
	for range events {
		if notes.Enabled("call refused") {
			wanted++
			notes.Note("call refused", "id", map[string]any{"reason": "overload"})
		}
	}
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines != wanted || lines > 100 {
		t.Errorf("%d lines were written for %d events, %d were wanted", lines, events, wanted)
	}
	out.Reset()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	notes.Run(ctx)
	var summary map[string]any
	if err := json.Unmarshal(out.Bytes(), &summary); err != nil {
		t.Fatal(err)
	}
	if got := summary["call refused"]; got != float64(events-wanted) {
		t.Errorf("%v lines are counted as left out, want %d", got, events-wanted)
	}
}
