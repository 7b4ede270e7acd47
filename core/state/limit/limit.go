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
	Shed                    // the upstream refused it because of load
	ConnectionFailed        // the connection was reset or refused
	Timeout                 // no answer before the deadline
	Cancelled               // the caller gave up; says nothing about the upstream
)

const (
	defaultInitial = 4   // calls
	defaultMax     = 512 // calls
	minLimit       = 1   // calls
)

// Settings bounds the limit; zero fields take defaults.
type Settings struct {
	Initial int // limit after a start of the upstream or the node
	Max     int // connections of the upstream
}

func (set Settings) withDefaults() Settings {
	if set.Initial <= 0 {
		set.Initial = defaultInitial
	}
	if set.Max <= 0 {
		set.Max = defaultMax
	}
	set.Initial = min(set.Initial, set.Max)
	return set
}

// Limiter bounds the calls in flight to one upstream. It is safe for concurrent use.
type Limiter struct {
	limit      atomic.Int64
	inFlight   atomic.Int64  // calls at their own work
	paused     atomic.Int64  // calls that wait for their nested calls
	selfTime   atomic.Int64  // nanoseconds
	throughput atomic.Uint64 // bits of a float64, successes per second

	// Answers since the last tick.
	answers          atomic.Int64
	successes        atomic.Int64
	shed             atomic.Int64
	failed           atomic.Int64
	noSlot           atomic.Int64 // calls that found no place
	inFlightSum      atomic.Int64 // sum of the calls in flight at each answer
	selfMicros       atomic.Int64
	selfSquares      atomic.Int64 // square microseconds
	shedMicros       atomic.Int64
	answersUntilTick atomic.Int64 // answers at which the tick closes

	mu  sync.Mutex
	tun tuner
}

// New returns a limiter at its initial limit.
func New(set Settings) *Limiter {
	lim := &Limiter{}
	lim.tun = tuner{set: set.withDefaults(), lim: lim}
	lim.tun.reset(time.Time{})
	return lim
}

// Limit returns how many calls may be in flight.
func (lim *Limiter) Limit() int { return int(lim.limit.Load()) }

// InFlight returns how many calls are in flight, without those that are paused.
func (lim *Limiter) InFlight() int { return int(lim.inFlight.Load()) }

// SelfTime returns the smoothed own time of successful calls, or zero before the first answers.
func (lim *Limiter) SelfTime() time.Duration { return time.Duration(lim.selfTime.Load()) }

// Throughput returns the successful answers per second in the last whole window.
func (lim *Limiter) Throughput() float64 { return math.Float64frombits(lim.throughput.Load()) }

// Paused returns how many calls wait for their nested calls.
func (lim *Limiter) Paused() int { return int(lim.paused.Load()) }

// Pause gives the place of a call to others while the call waits for its nested calls.
func (lim *Limiter) Pause() {
	lim.paused.Add(1)
	lim.inFlight.Add(-1)
}

// Resume takes the place back, also beyond the limit, because the upstream has started the call already.
func (lim *Limiter) Resume() {
	lim.inFlight.Add(1)
	lim.paused.Add(-1)
}

// TryAcquire takes a place for one call if the limit has room and the upstream a connection.
func (lim *Limiter) TryAcquire() bool {
	for {
		inFlight := lim.inFlight.Load()
		if inFlight >= lim.limit.Load() || inFlight+lim.paused.Load() >= int64(lim.tun.set.Max) {
			lim.noSlot.Add(1)
			return false
		}
		if lim.inFlight.CompareAndSwap(inFlight, inFlight+1) {
			return true
		}
	}
}

// Release gives back a place; own is the latency of the call without the time in its nested calls.
func (lim *Limiter) Release(now time.Time, self time.Duration, res Result) {
	inFlight := lim.inFlight.Add(-1)
	if !lim.record(inFlight, self, res) {
		return
	}
	if lim.answers.Add(1) < lim.answersUntilTick.Load() {
		return
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if lim.answers.Load() < lim.answersUntilTick.Load() {
		return
	}
	lim.tun.tick(now, lim.takeSample())
}

// count adds an answer to the tick and says whether it carries information.
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
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.takeSample()
	lim.tun.reset(now)
}
