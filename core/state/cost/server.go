package cost

import (
	"math"
	"time"
)

const (
	// rateInterval is how long the computed rate of releases is used: a full upstream answers many calls in that time,
	// and each answer reports the wait.
	rateInterval = 5 * time.Millisecond
	// nestedWeight is the weight of one call in the mean time that calls of a kind wait for nested calls.
	nestedWeight = 0.1
	// minRelease is the shortest expected time until a slot is released.
	minRelease = time.Millisecond
)

// Result says what the end of a call says about its work.
type Result uint8

// The results of a call.
const (
	Whole  Result = iota // the call was answered
	Broken               // the call failed or was cancelled; its whole work would have been more
	Unsent               // the call did not reach the upstream
)

// Running is a call in a slot of the upstream.
type Running struct {
	kind        Kind
	began       time.Time
	nested      int // nested calls in flight
	nestedSince time.Time
	nestedTotal time.Duration // time with at least one nested call in flight, until nestedSince
	index       int           // in the list of the server; -1 once ended
}

// Kind returns the kind of the call.
func (run *Running) Kind() Kind { return run.kind }

// Server knows the calls in the slots of one upstream, and learns the work of their kinds.
type Server struct {
	*Learner
	running []*Running
	nested  map[Kind]float64 // mean time that calls wait for nested calls, in seconds
	rate    float64          // expected releases of slots in a second, at rateAt
	rateAt  time.Time
}

// NewServer returns a server without calls that knows no kind.
func NewServer() *Server { return &Server{Learner: New(), nested: map[Kind]float64{}} }

// Begin records that a call has got a slot.
func (ser *Server) Begin(now time.Time, kin Kind) *Running {
	run := &Running{kind: kin, began: now, index: len(ser.running)}
	ser.running = append(ser.running, run)
	return run
}

// NestedBegan records that a running call has made a nested call.
func (ser *Server) NestedBegan(now time.Time, run *Running) {
	if run.nested == 0 {
		run.nestedSince = now
	}
	run.nested++
}

// NestedEnded records that a nested call of a running call has ended. Nested calls at the same time count once.
func (ser *Server) NestedEnded(now time.Time, run *Running) {
	if run.nested--; run.nested == 0 {
		run.nestedTotal += now.Sub(run.nestedSince)
	}
}

// waited returns how long a call has waited for nested calls.
func (run *Running) waited(now time.Time) time.Duration {
	if run.nested > 0 {
		return run.nestedTotal + now.Sub(run.nestedSince)
	}
	return run.nestedTotal
}

// End records that a call has left its slot. It has no effect on a call that has ended already.
func (ser *Server) End(now time.Time, run *Running, res Result) {
	if run.index < 0 {
		return
	}
	last := ser.running[len(ser.running)-1]
	ser.running[run.index], last.index = last, run.index
	ser.running[len(ser.running)-1] = nil
	ser.running, run.index = ser.running[:len(ser.running)-1], -1
	waited := run.waited(now)
	work := max(now.Sub(run.began)-waited, 0)
	switch res {
	case Whole:
		ser.Ended(now, run.kind, work)
		ser.recordNested(run.kind, waited.Seconds())
	case Broken:
		ser.Cut(now, run.kind, work)
	}
}

func (ser *Server) recordNested(kin Kind, waited float64) {
	mean, known := ser.nested[kin]
	switch {
	case known:
		ser.nested[kin] = mean + nestedWeight*(waited-mean)
	case waited > 0:
		if len(ser.nested) >= maxKinds {
			clear(ser.nested) // learned again from the next calls
		}
		ser.nested[kin] = waited
	}
}

// InSlots returns the number of calls in slots.
func (ser *Server) InSlots() int { return len(ser.running) }

// left returns the expected time until a call leaves its slot. The wait for nested calls is expected to last for its
// mean; one that has lasted longer, for as long again as it has exceeded the mean.
func (ser *Server) left(now time.Time, run *Running) time.Duration {
	waited := run.waited(now)
	left := ser.Remaining(now, run.kind, max(now.Sub(run.began)-waited, 0))
	rest := ser.nested[run.kind] - waited.Seconds()
	if run.nested > 0 {
		rest = math.Abs(rest)
	}
	return left + toDuration(max(rest, 0))
}

// Wait returns the expected time until a slot is free for a call that arrives now, with the given numbers of free slots
// and of calls queued before it. Slots become free at the sum of the rates at which the calls in them are expected to
// leave.
func (ser *Server) Wait(now time.Time, free, queued int) time.Duration {
	releases := queued + 1 - free
	if releases <= 0 || len(ser.running) == 0 {
		return 0
	}
	if ser.rate == 0 || now.Sub(ser.rateAt).Abs() >= rateInterval {
		ser.rate, ser.rateAt = 0, now
		for _, run := range ser.running {
			ser.rate += 1 / max(ser.left(now, run), minRelease).Seconds()
		}
	}
	return toDuration(float64(releases) / ser.rate)
}
