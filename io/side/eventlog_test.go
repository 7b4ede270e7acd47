package side_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"amaranthline/io/side"

	"github.com/sirupsen/logrus"
)

// Guards against logging that uses up the CPU under load: the lines of an event that occurs for every request must be
// limited to the rate of the event. Lines beyond the rate must be counted, also those that the caller did not pass to
// Note because Enabled returned false.
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
		t.Errorf("%d lines were written for %d events, Enabled permitted %d, and at most 100 may be written", lines, events, written)
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
		t.Errorf("the summary counts %v lines as left out, want %d", got, events-written)
	}
}
