package side

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// Lines a second and at once of each event. A request that is answered leaves fewer lines than one that fails.
	noteRate      = 20.0
	noteBurst     = 60.0
	answeredEvent = "request answered"
	answeredRate  = 2.0
	summaryPause  = 5 * time.Second
	outputLines   = 2048 // lines that wait to be written; more are counted and dropped
)

// EventLog writes one structured line for each decision, at a bounded rate for each event. It never blocks.
type EventLog struct {
	log   *logrus.Logger
	start time.Time

	mut    sync.Mutex
	events map[string]*allowance
}

type allowance struct {
	tokens  float64
	filled  time.Duration // since the start, so that steps of the time of day do not count
	omitted int
}

// NewEventLog returns an event log that writes to a logger.
func NewEventLog(log *logrus.Logger) *EventLog {
	return &EventLog{log: log, start: time.Now(), events: map[string]*allowance{}}
}

// Note writes one line unless the event has used up its rate.
func (not *EventLog) Note(event, call string, fields map[string]any) {
	if !not.allow(event, 1) {
		return
	}
	ent := not.log.WithFields(fields)
	if call != "" {
		ent = ent.WithField("call", call)
	}
	ent.Info(event)
}

// Enabled says whether a line of the event would be written now, and counts it as left out if not.
func (not *EventLog) Enabled(event string) bool { return not.allow(event, 0) }

// allow takes so many lines of an event's rate if there is one, and counts a line as left out if not.
func (not *EventLog) allow(event string, lines float64) bool {
	not.mut.Lock()
	defer not.mut.Unlock()
	alw := not.fill(event)
	if alw.tokens < 1 {
		alw.omitted++
		return false
	}
	alw.tokens -= lines
	return true
}

// fill returns the allowance of an event as it is now. The caller holds the lock.
func (not *EventLog) fill(event string) *allowance {
	alw := not.events[event]
	if alw == nil {
		alw = &allowance{tokens: noteBurst}
		not.events[event] = alw
	}
	rate := noteRate
	if event == answeredEvent {
		rate = answeredRate
	}
	now := time.Since(not.start)
	alw.tokens = min(alw.tokens+rate*(now-alw.filled).Seconds(), noteBurst)
	alw.filled = now
	return alw
}

// Run writes from time to time how many lines were left out.
func (not *EventLog) Run(ctx context.Context) {
	tick := time.NewTicker(summaryPause)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			not.summarize()
		case <-ctx.Done():
			not.summarize()
			return
		}
	}
}

func (not *EventLog) summarize() {
	not.mut.Lock()
	fields := logrus.Fields{}
	for event, alw := range not.events {
		if alw.omitted > 0 {
			fields[event], alw.omitted = alw.omitted, 0
		}
	}
	not.mut.Unlock()
	if len(fields) > 0 {
		not.log.WithFields(fields).Info("log lines left out")
	}
}

// AsyncWriter passes lines on to a slow writer without making the sender wait.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	dst     io.Writer
}

// NewAsyncWriter returns an output and starts its work; Close ends it.
func NewAsyncWriter(dst io.Writer) *AsyncWriter {
	out := &AsyncWriter{lines: make(chan []byte, outputLines), done: make(chan struct{}), dst: dst}
	go out.run()
	return out
}

func (out *AsyncWriter) run() {
	defer close(out.done)
	for line := range out.lines {
		_, _ = out.dst.Write(line) // there is no other place to report that standard output fails
	}
}

// Write takes one line, or drops it when too many wait.
func (out *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case out.lines <- append([]byte(nil), line...):
	default:
		out.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (out *AsyncWriter) Dropped() uint64 { return out.dropped.Load() }

// Close writes the lines that wait. No line may be written after it.
func (out *AsyncWriter) Close() {
	close(out.lines)
	<-out.done
}
