package side

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// Each event has its own rate limit, in lines per second, and the same burst, in lines. Answered requests have a
	// lower rate than requests that fail.
	linesPerSecond         = 20.0
	burstLines             = 60.0
	answeredEvent          = "request answered"
	answeredLinesPerSecond = 2.0
	summaryInterval        = 5 * time.Second
	maxTextBytes           = 256  // of a field; callers choose hosts, paths and identifiers
	maxQueuedLines         = 2048 // when so many lines are queued for writing, further ones are counted and dropped
)

// EventLog writes one structured line for each decision and limits the rate of lines per event. Lines beyond the rate
// are counted instead of written. It never blocks, provided that its logger writes to an AsyncWriter.
type EventLog struct {
	log   *logrus.Logger
	start time.Time

	mut     sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket limits the lines of one event; a line takes one token.
type tokenBucket struct {
	tokens   float64
	refilled time.Duration // time since EventLog.start on the monotonic clock, so that steps of the wall clock do not count
	omitted  int           // lines left out since the last summary
}

// NewEventLog returns an event log that writes to a logger.
func NewEventLog(log *logrus.Logger) *EventLog {
	return &EventLog{log: log, start: time.Now(), buckets: map[string]*tokenBucket{}}
}

// Note writes one line for an event, with the identifier of the attempt if that is not empty, unless the rate of the
// event is used up.
func (evl *EventLog) Note(event, attemptID string, fields map[string]any) {
	if !evl.takeTokens(event, 1) {
		return
	}
	for name, value := range fields {
		if text, ok := value.(string); ok {
			fields[name] = cutText(text)
		}
	}
	ent := evl.log.WithFields(fields)
	if attemptID != "" {
		ent = ent.WithField("call", cutText(attemptID))
	}
	ent.Info(event)
}

// cutText shortens a text of a caller that would make a long line.
func cutText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// Enabled reports whether a line of the event would be written now, and counts it as left out if not.
func (evl *EventLog) Enabled(event string) bool { return evl.takeTokens(event, 0) }

// takeTokens takes tokens from the bucket of an event if it holds at least one, and counts a line as left out if not.
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

// refill returns the bucket of an event with the tokens that it has now. The caller holds the lock.
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

// Run writes the number of lines that were left out, by event, every summaryInterval and when the context ends.
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

// AsyncWriter queues lines for a slow writer, so that Write does not block.
type AsyncWriter struct {
	lines    chan []byte
	dropped  atomic.Uint64
	closing  chan struct{}
	finished chan struct{}
	dst      io.Writer
}

// NewAsyncWriter starts the goroutine that writes to dst; Close ends it.
func NewAsyncWriter(dst io.Writer) *AsyncWriter {
	asw := &AsyncWriter{
		lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), finished: make(chan struct{}), dst: dst,
	}
	go asw.run()
	return asw
}

func (asw *AsyncWriter) run() {
	defer close(asw.finished)
	for {
		select {
		case line := <-asw.lines:
			asw.writeOut(line)
		case <-asw.closing:
			for range len(asw.lines) {
				asw.writeOut(<-asw.lines)
			}
			return
		}
	}
}

func (asw *AsyncWriter) writeOut(line []byte) {
	_, _ = asw.dst.Write(line) // a failure of the log output cannot be logged
}

// Write queues a copy of one line, or drops it when the queue is full. Lines that are written after Close are lost: calls
// that a shutdown cuts still log until the process ends, so lines is never closed.
func (asw *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case asw.lines <- append([]byte(nil), line...):
	default:
		asw.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (asw *AsyncWriter) Dropped() uint64 { return asw.dropped.Load() }

// Close writes the queued lines and returns once they are written. It must be called once.
func (asw *AsyncWriter) Close() {
	close(asw.closing)
	<-asw.finished
}
