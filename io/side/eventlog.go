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
	linesPerSecond         = 20.0
	burstLines             = 60.0
	answeredEvent          = "request answered"
	answeredLinesPerSecond = 2.0
	summaryInterval        = 5 * time.Second
	maxQueuedLines         = 2048 // lines that wait to be written; more are counted and dropped
)

// EventLog writes one structured line for each decision, at a bounded rate for each event. It never blocks.
type EventLog struct {
	log   *logrus.Logger
	start time.Time

	mut     sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens   float64
	refilled time.Duration // since the start, so that steps of the time of day do not count
	omitted  int
}

// NewEventLog returns an event log that writes to a logger.
func NewEventLog(log *logrus.Logger) *EventLog {
	return &EventLog{log: log, start: time.Now(), buckets: map[string]*tokenBucket{}}
}

// Note writes one line unless the event has used up its rate.
func (evl *EventLog) Note(event, call string, fields map[string]any) {
	if !evl.takeTokens(event, 1) {
		return
	}
	ent := evl.log.WithFields(fields)
	if call != "" {
		ent = ent.WithField("call", call)
	}
	ent.Info(event)
}

// Enabled says whether a line of the event would be written now, and counts it as left out if not.
func (evl *EventLog) Enabled(event string) bool { return evl.takeTokens(event, 0) }

// allow takes so many lines of an event's rate if there is one, and counts a line as left out if not.
func (evl *EventLog) takeTokens(event string, tokens float64) bool {
	evl.mut.Lock()
	defer evl.mut.Unlock()
	buc := evl.refill(event)
	if buc.tokens < 1 {
		buc.omitted++
		return false
	}
	buc.tokens -= tokens
	return true
}

// fill returns the allowance of an event as it is now. The caller holds the lock.
func (evl *EventLog) refill(event string) *tokenBucket {
	buc := evl.buckets[event]
	if buc == nil {
		buc = &tokenBucket{tokens: burstLines}
		evl.buckets[event] = buc
	}
	rate := linesPerSecond
	if event == answeredEvent {
		rate = answeredLinesPerSecond
	}
	now := time.Since(evl.start)
	buc.tokens = min(buc.tokens+rate*(now-buc.refilled).Seconds(), burstLines)
	buc.refilled = now
	return buc
}

// Run writes from time to time how many lines were left out.
func (evl *EventLog) Run(ctx context.Context) {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			evl.summarize()
		case <-ctx.Done():
			evl.summarize()
			return
		}
	}
}

func (evl *EventLog) summarize() {
	evl.mut.Lock()
	fields := logrus.Fields{}
	for event, buc := range evl.buckets {
		if buc.omitted > 0 {
			fields[event], buc.omitted = buc.omitted, 0
		}
	}
	evl.mut.Unlock()
	if len(fields) > 0 {
		evl.log.WithFields(fields).Info("log lines left out")
	}
}

// AsyncWriter passes lines on to a slow writer without making the sender wait.
type AsyncWriter struct {
	lines    chan []byte
	dropped  atomic.Uint64
	finished chan struct{}
	dst      io.Writer
}

// NewAsyncWriter returns an output and starts its work; Close ends it.
func NewAsyncWriter(dst io.Writer) *AsyncWriter {
	asw := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), finished: make(chan struct{}), dst: dst}
	go asw.run()
	return asw
}

func (asw *AsyncWriter) run() {
	defer close(asw.finished)
	for line := range asw.lines {
		_, _ = asw.dst.Write(line) // there is no other place to report that standard output fails
	}
}

// Write takes one line, or drops it when too many wait.
func (asw *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case asw.lines <- append([]byte(nil), line...):
	default:
		asw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (asw *AsyncWriter) Dropped() uint64 { return asw.dropped.Load() }

// Close writes the lines that wait. No line may be written after it.
func (asw *AsyncWriter) Close() {
	close(asw.lines)
	<-asw.finished
}
