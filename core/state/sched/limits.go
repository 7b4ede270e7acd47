package sched

import (
	"math"
	"time"
)

const (
	// windowShare is the part of the target within which the roots in flight finish at the present rate. The rest is
	// left for the spread of their times.
	targetFraction = 0.85
	// firstSpread is how many standard deviations of the number in flight (its square root, as arrivals are random) the
	// window of the first rank leaves above its mean. Without it a window refuses a tenth of a load that fits; lower
	// ranks do without, so that their windows close first.
	rankZeroDeviations = 2
	// rateTime is the time over which completions are counted. It is about the time of one root, so that a rate that
	// falls shows before many more roots have been admitted.
	rateInterval = time.Second
	bucketCount  = 10
	// leastWindow and leastShare keep a window open for roots of a class that has seen none finish lately: after a
	// pause, or while every chain fails, some must be tried. The larger one holds.
	// While most roots fail, as when a service below has no host, fewer are tried: each one costs work below.
	minLimit         = 4
	minLimitFraction = 1.0 / 8 // of the slots
	// openTime is how long a class without history is not limited, about two roots long.
	unlimitedTime = 2 * time.Second
)

// window bounds the roots of one class that are in flight at a host.
type classLimiter struct {
	rank       int
	inFlight   int
	firstStart time.Time // first root
	target     time.Duration
	buckets    [bucketCount]bucket // by tenth of rateTime
	newest     int64               // number of the newest bucket
}

// count is what became of roots in one bucket.
type bucket struct {
	answered int
	failed   int
}

const bucketInterval = rateInterval / bucketCount

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketInterval) }

// roll empties the buckets that have passed.
func (lim *classLimiter) advance(now time.Time) {
	newest := bucketNumber(now)
	for number := max(lim.newest+1, newest-bucketCount+1); number <= newest; number++ {
		lim.buckets[number%bucketCount] = bucket{}
	}
	lim.newest = max(lim.newest, newest)
}

func (lim *classLimiter) totals(now time.Time) bucket {
	lim.advance(now)
	var total bucket
	for _, buc := range lim.buckets {
		total.answered += buc.answered
		total.failed += buc.failed
	}
	return total
}

// limit returns how many roots may be in flight.
func (lim *classLimiter) limit(now time.Time, slots int) int {
	total := lim.totals(now)
	successRatio := float64(total.answered+1) / float64(total.answered+total.failed+1)
	minimum := successRatio * successRatio * max(minLimit, minLimitFraction*float64(slots))
	if total.failed == 0 && (lim.firstStart.IsZero() || now.Sub(lim.firstStart) < unlimitedTime) {
		return slots
	}
	sustained := float64(total.answered) / rateInterval.Seconds() * targetFraction * lim.target.Seconds()
	if lim.rank == 0 {
		sustained += rankZeroDeviations * math.Sqrt(sustained)
	}
	return min(int(max(minimum, sustained))+1, slots)
}

func (lim *classLimiter) reached(now time.Time, slots int) bool {
	return lim.inFlight >= lim.limit(now, slots)
}

func (lim *classLimiter) start(now time.Time) {
	if lim.firstStart.IsZero() {
		lim.firstStart = now
	}
	lim.inFlight++
}

func (lim *classLimiter) end() { lim.inFlight-- }

// finished counts a root that was answered or failed.
func (lim *classLimiter) record(now time.Time, target time.Duration, answered bool) {
	lim.target = target
	lim.advance(now)
	if answered {
		lim.buckets[lim.newest%bucketCount].answered++
	} else {
		lim.buckets[lim.newest%bucketCount].failed++
	}
}

// pacer bounds the requests to a cold upstream in any second.
type coldLimiter struct {
	until  time.Time
	sentAt []time.Time // of the last requests, as many as a second allows; the oldest at next
	oldest int
}

// set takes until when the upstream is cold. What was sent is kept while the rate stays the same.
func (col *coldLimiter) set(until time.Time, rate float64) {
	col.until = until
	if capacity := max(1, int(rate)); capacity != len(col.sentAt) {
		col.sentAt, col.oldest = make([]time.Time, capacity), 0
	}
}

// free says whether one more request may be sent.
func (col *coldLimiter) allows(now time.Time) bool {
	return !now.Before(col.until) || now.Sub(col.sentAt[col.oldest]) >= time.Second
}

// wait returns when a request may be sent that so many others precede.
func (col *coldLimiter) delay(now time.Time, ahead int) time.Duration {
	if ahead >= len(col.sentAt) {
		return time.Second
	}
	previous := col.sentAt[(col.oldest+ahead)%len(col.sentAt)]
	return min(time.Second-now.Sub(previous), col.until.Sub(now))
}

func (col *coldLimiter) record(now time.Time) {
	if len(col.sentAt) == 0 {
		return
	}
	col.sentAt[col.oldest] = now
	col.oldest = (col.oldest + 1) % len(col.sentAt)
}
