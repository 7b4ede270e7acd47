package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Result says how a call to the upstream ended.
type Result uint8

// The results of a call.
const (
	Success          Result = iota
	Shed                    // the upstream refused the call because of load
	ConnectionFailed        // the connection was reset or refused
	Timeout                 // no answer before the deadline
	Cancelled               // the caller cancelled the call, which says nothing about the upstream
)

const (
	defaultInitial        = 4   // calls
	defaultMaxConnections = 512 // calls
	minLimit              = 1   // calls
)

// Settings bounds the limit; zero fields take defaults.
type Settings struct {
	Initial        int // limit after a start of the upstream or the node
	MaxConnections int // highest limit: connections to the upstream
}

func (set Settings) withDefaults() Settings {
	if set.Initial <= 0 {
		set.Initial = defaultInitial
	}
	if set.MaxConnections <= 0 {
		set.MaxConnections = defaultMaxConnections
	}
	set.Initial = min(set.Initial, set.MaxConnections)
	return set
}

// Limiter bounds the calls in flight at one upstream. It is safe for concurrent use.
type Limiter struct {
	limit      atomic.Int64
	inFlight   atomic.Int64  // calls that hold a slot
	paused     atomic.Int64  // calls that freed their slot while they wait for nested calls
	selfTime   atomic.Int64  // nanoseconds, smoothed
	throughput atomic.Uint64 // float64 bits, successes per second

	// Counts since the last tick of the tuner.
	answers          atomic.Int64
	successes        atomic.Int64
	shed             atomic.Int64
	failed           atomic.Int64 // connection failures and timeouts
	noSlot           atomic.Int64 // calls that found no slot
	inFlightSum      atomic.Int64 // sum over the answers: calls in flight when the answer came, itself included
	selfMicros       atomic.Int64 // sum of the self times of successes, microseconds
	selfSquares      atomic.Int64 // sum of their squares, square microseconds
	shedMicros       atomic.Int64 // sum of the self times of shed calls, microseconds
	answersUntilTick atomic.Int64 // number of answers since the last tick at which the next tick runs

	mut sync.Mutex
	tun tuner
}

// New returns a limiter at its initial limit.
func New(set Settings) *Limiter {
	lim := &Limiter{}
	lim.tun = tuner{settings: set.withDefaults(), lim: lim}
	lim.tun.reset(time.Time{})
	return lim
}

// Limit returns how many calls may be in flight, without those that are paused.
func (lim *Limiter) Limit() int { return int(lim.limit.Load()) }

// InFlight returns how many calls are in flight, without those that are paused.
func (lim *Limiter) InFlight() int { return int(lim.inFlight.Load()) }

// SelfTime returns the smoothed latency of successful calls without the time in their nested calls, or zero before
// the first answers.
func (lim *Limiter) SelfTime() time.Duration { return time.Duration(lim.selfTime.Load()) }

// Throughput returns the successful answers per second in the last whole window of the tuner.
func (lim *Limiter) Throughput() float64 { return math.Float64frombits(lim.throughput.Load()) }

// Paused returns how many calls wait for their nested calls.
func (lim *Limiter) Paused() int { return int(lim.paused.Load()) }

// Pause frees the slot of a call while the call waits for its nested calls.
func (lim *Limiter) Pause() {
	lim.paused.Add(1)
	lim.inFlight.Add(-1)
}

// Resume takes the slot of a paused call back, even beyond the limit, because the upstream runs the call already.
func (lim *Limiter) Resume() {
	lim.inFlight.Add(1)
	lim.paused.Add(-1)
}

// TryAcquire takes a slot for one call if the limit has room and a connection to the upstream is free.
func (lim *Limiter) TryAcquire() bool {
	for {
		inFlight := lim.inFlight.Load()
		if inFlight >= lim.limit.Load() || inFlight+lim.paused.Load() >= int64(lim.tun.settings.MaxConnections) {
			lim.noSlot.Add(1)
			return false
		}
		if lim.inFlight.CompareAndSwap(inFlight, inFlight+1) {
			return true
		}
	}
}

// Release frees the slot of a call; self is the latency of the call without the time in its nested calls.
func (lim *Limiter) Release(now time.Time, self time.Duration, res Result) {
	inFlight := lim.inFlight.Add(-1)
	if !lim.record(inFlight, self, res) {
		return
	}
	if lim.answers.Add(1) < lim.answersUntilTick.Load() {
		return
	}
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if lim.answers.Load() < lim.answersUntilTick.Load() {
		return
	}
	lim.tun.tick(now, lim.takeSample())
}

// record adds an answer to the counts for the next tick and reports whether the answer carries information about the
// upstream; remaining is the number of calls in flight after the answer.
func (lim *Limiter) record(remaining int64, self time.Duration, res Result) bool {
	switch res {
	case Success:
		micros := self.Microseconds()
		lim.successes.Add(1)
		lim.selfMicros.Add(micros)
		lim.selfSquares.Add(micros * micros)
	case Shed:
		lim.shed.Add(1)
		lim.shedMicros.Add(self.Microseconds())
	case ConnectionFailed:
		lim.failed.Add(1)
	case Timeout:
		// A call that spent its time in nested calls says nothing about this upstream.
		if self < slowRatio*lim.SelfTime() {
			return false
		}
		lim.failed.Add(1)
	default:
		return false
	}
	lim.inFlightSum.Add(remaining + 1)
	return true
}

func (lim *Limiter) takeSample() sample {
	return sample{
		answers:     int(lim.answers.Swap(0)),
		successes:   int(lim.successes.Swap(0)),
		shed:        int(lim.shed.Swap(0)),
		failed:      int(lim.failed.Swap(0)),
		noSlot:      int(lim.noSlot.Swap(0)),
		inFlightSum: int(lim.inFlightSum.Swap(0)),
		selfMicros:  float64(lim.selfMicros.Swap(0)),
		selfSquares: float64(lim.selfSquares.Swap(0)),
		shedMicros:  float64(lim.shedMicros.Swap(0)),
	}
}

// Reset returns to the initial limit because the upstream is cold again.
func (lim *Limiter) Reset(now time.Time) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	lim.takeSample()
	lim.tun.reset(now)
}
