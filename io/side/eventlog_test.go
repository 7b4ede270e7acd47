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
	var output bytes.Buffer
	log := logrus.New()
	log.SetOutput(&output)
	log.SetFormatter(&logrus.JSONFormatter{})
	eventLog := side.NewEventLog(log)
	const events = 500
	written := 0
	for range events {
		if eventLog.Enabled("call refused") {
			written++
			eventLog.Note("call refused", "id", map[string]any{"reason": "overload"})
		}
	}
	if lines := bytes.Count(output.Bytes(), []byte("\n")); lines != written || lines > 100 {
		t.Errorf("%d lines were written for %d events, %d were wanted", lines, events, written)
	}
	output.Reset()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	eventLog.Run(ctx)
	var summary map[string]any
	if err := json.Unmarshal(output.Bytes(), &summary); err != nil {
		t.Fatal(err)
	}
	if got := summary["call refused"]; got != float64(events-written) {
		t.Errorf("%v lines are counted as left out, want %d", got, events-written)
	}
}
