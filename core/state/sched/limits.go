package sched

import (
	"math"
	"slices"
	"time"

	"amaranthline/core/state/parts"
)

const (
	// targetFraction is the fraction of the target latency within which the root requests in flight finish at the current
	// completion rate. The rest allows for the variance of their durations.
	targetFraction = 0.85
	// rankZeroDeviations is by how many standard deviations of the number in flight (the square root of its mean, as
	// arrivals are random) the limit of a class of rank 0 exceeds the mean. Without it the limit refuses a tenth of a load
	// within capacity; less important classes do not get it, so that they reach their limits first.
	rankZeroDeviations = 2
	// rateInterval is the time over which completions are counted. It is about the duration of one root request, so that a
	// falling completion rate shows before many more root requests have been admitted.
	rateInterval = time.Second
	bucketCount  = 10
	// A class none of whose root requests has finished lately still has a limit of at least minLimit or, if that is more,
	// minLimitFraction of the slots: after a pause, or while all root requests fail, some must be tried. While most of
	// them fail, as when a service deeper in the call chain has no host, this minimum is lowered by the square of the
	// success ratio, since each one costs work there.
	minLimit         = 4
	minLimitFraction = 1.0 / 8 // of the slots
	// unlimitedTime is how long after its first root request a class is not limited while none has failed. It is about
	// twice the duration of a root request.
	unlimitedTime = 2 * time.Second
)

const (
	// Once root requests wait longer than queueTolerance of the time that they need without waits, in the queues of this host
	// and of those further down the chain, the limit is the number that is answered within maxStretch times that time. More in
	// flight would not be answered sooner, but lengthen the queues until calls of requests with work behind them are refused.
	queueTolerance = 0.25
	maxStretch     = 1.5
	durationWeight = 0.05 // weight of one root request in the moving averages of durations and waits
)

// classLimiter bounds the root requests of one class that are in flight or queued at a host.
type classLimiter struct {
	rank       int
	inFlight   int                 // queued ones included
	firstStart time.Time           // when the first root request was queued or got a slot
	target     time.Duration       // target latency of the last root request that finished
	buckets    [bucketCount]bucket // ring buffer; each bucket covers one bucketInterval
	newest     int64               // number of the newest bucket, counted from the Unix epoch
	coldUntil  time.Time           // a service that the root requests need is cold until then
	nextTrial  time.Time           // when one of them is admitted nevertheless

	gradual       bool // the limit grows with each answered root request instead of being all slots for unlimitedTime
	nests         bool // root requests have made nested calls
	startAnswered int  // answered until unlimitedTime after firstStart
	measured      int  // answered root requests with known waits, up to 1/durationWeight

	needed float64 // moving average of the time that answered root requests need without waits in queues, in seconds
	queued float64 // moving average of their waits

	ledger        *parts.Ledger // nil while the room is not divided among teams
	overUntil     time.Time     // until when teams above their parts are expected to ask
	reservedUntil time.Time     // until when room is kept free for teams within their parts
}

// bucket counts the root requests that finished within one bucketInterval, those that arrived and those that got a slot.
type bucket struct {
	answered int
	failed   int
	asked    int
	begun    int
}

const bucketInterval = rateInterval / bucketCount

// bucketNumber returns the number of bucketIntervals between the Unix epoch and a time.
func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketInterval) }

// advance makes the bucket of the current time the newest one and clears the buckets that it reuses.
func (lim *classLimiter) advance(now time.Time) {
	newest := bucketNumber(now)
	for number := max(lim.newest+1, newest-bucketCount+1); number <= newest; number++ {
		lim.buckets[number%bucketCount] = bucket{}
	}
	lim.newest = max(lim.newest, newest)
}

// totals returns the sums over the last rateInterval.
func (lim *classLimiter) totals(now time.Time) bucket {
	lim.advance(now)
	var total bucket
	for _, buc := range lim.buckets {
		total.answered += buc.answered
		total.failed += buc.failed
		total.asked += buc.asked
		total.begun += buc.begun
	}
	return total
}

// successRatio returns the fraction of the root requests that were answered.
func (buc bucket) successRatio() float64 {
	return float64(buc.answered+1) / float64(buc.answered+buc.failed+1)
}

// limit returns how many root requests may be in flight.
func (lim *classLimiter) limit(now time.Time, slots int) int {
	total := lim.totals(now)
	successRatio := total.successRatio()
	minimum := successRatio * successRatio * max(minLimit, minLimitFraction*float64(slots))
	if total.failed == 0 && (lim.firstStart.IsZero() || now.Sub(lim.firstStart) < unlimitedTime) {
		if !lim.gradual || lim.startAnswered > 0 && !lim.nests {
			return slots
		}
		if lim.queued <= queueTolerance*lim.needed {
			return min(int(minimum)+1+lim.startAnswered, slots)
		}
	}
	sustained := float64(total.answered) / rateInterval.Seconds() * lim.horizon()
	if lim.rank == 0 {
		sustained += rankZeroDeviations * math.Sqrt(sustained)
	}
	return min(int(max(minimum, sustained))+1, slots)
}

// horizon returns the time, in seconds, within which the root requests in flight are to be answered.
func (lim *classLimiter) horizon() float64 {
	horizon := targetFraction * lim.target.Seconds()
	if lim.waitsInQueues() {
		horizon = min(horizon, maxStretch*lim.needed)
	}
	return horizon
}

// waitsInQueues reports whether root requests wait so long in queues that the limit is that of their time without waits.
func (lim *classLimiter) waitsInQueues() bool { return lim.queued > queueTolerance*lim.needed }

// recordDuration counts the time that an answered root request needed without waits in queues, and these waits.
func (lim *classLimiter) recordDuration(needed, queued time.Duration) {
	seconds := max(needed, 0).Seconds()
	if lim.needed == 0 {
		lim.needed = seconds
	}
	weight := durationWeight
	if lim.gradual { // the first ones count alike, so that their waits show at once
		lim.measured++
		weight = max(weight, 1/float64(lim.measured))
	}
	lim.needed += weight * (seconds - lim.needed)
	lim.queued += weight * (queued.Seconds() - lim.queued)
}

// awaitsDependency reports whether a root request is refused because a service that it needs is cold. One that is admitted
// as a trial postpones the next.
func (lim *classLimiter) awaitsDependency(now time.Time, trialInterval time.Duration) bool {
	if !now.Before(lim.coldUntil) {
		return false
	}
	if now.Before(lim.nextTrial) {
		return true
	}
	lim.nextTrial = now.Add(trialInterval)
	return false
}

// setDependencyCold records until when a service that the root requests need is cold. The class starts anew then: the
// completions before say nothing about the time after.
func (lim *classLimiter) setDependencyCold(now, until time.Time, firstTrial time.Duration) {
	if !now.Before(lim.coldUntil) {
		lim.nextTrial = now.Add(firstTrial)
	}
	if until.After(lim.coldUntil) {
		lim.coldUntil = until
	}
	lim.firstStart, lim.startAnswered = time.Time{}, 0
	lim.buckets = [bucketCount]bucket{}
}

// start counts a root request as in flight.
func (lim *classLimiter) start(now time.Time) {
	if lim.firstStart.IsZero() {
		lim.firstStart = now
	}
	lim.inFlight++
}

func (lim *classLimiter) end() { lim.inFlight-- }

// record counts a root request that was answered or failed.
func (lim *classLimiter) record(now time.Time, target time.Duration, answered bool) {
	lim.target = target
	lim.advance(now)
	if answered && now.Sub(lim.firstStart) < unlimitedTime {
		lim.startAnswered++
	}
	if answered {
		lim.buckets[lim.newest%bucketCount].answered++
	} else {
		lim.buckets[lim.newest%bucketCount].failed++
	}
}

// sendCounter counts the calls that were sent within the last second, to within a tenth of it. It is for the log only.
type sendCounter struct {
	counts [sendIntervals]int // ring buffer; each count covers one sendInterval
	newest int64              // number of the newest interval, counted from the Unix epoch
}

const (
	sendIntervals = 10
	sendInterval  = time.Second / sendIntervals
)

// advance makes the interval of the current time the newest one and clears the counts that it reuses.
func (snc *sendCounter) advance(now time.Time) {
	newest := now.UnixNano() / int64(sendInterval)
	for number := max(snc.newest+1, newest-sendIntervals+1); number <= newest; number++ {
		snc.counts[number%sendIntervals] = 0
	}
	snc.newest = max(snc.newest, newest)
}

func (snc *sendCounter) record(now time.Time) {
	snc.advance(now)
	snc.counts[snc.newest%sendIntervals]++
}

func (snc *sendCounter) total(now time.Time) int {
	snc.advance(now)
	sum := 0
	for _, count := range snc.counts {
		sum += count
	}
	return sum
}

// coldLimiter bounds the requests to a cold upstream in any one second, and among them the nested calls while root
// requests arrive. It records sends at all times, because an upstream may have become cold before that is known. A call that
// has a slot and has not been sent may be sent at any time, so it counts as if it were sent now.
//
// While it is not confirmed that the upstream is warm, it is limited in the same way, but each health check that finds it
// warm allows further calls: as many as a cold upstream may get in one second, less those sent since the check began. So it
// gets no more than these if it became cold right after its answer.
type coldLimiter struct {
	until        time.Time
	unknownUntil time.Time // what was sent before this time is not known
	all          sendLog
	nested       sendLog
	lastRootAt   time.Time // when the last root request arrived

	unconfirmed bool
	checksFail  bool   // the latest health check has not found the upstream warm
	granted     uint64 // calls given a slot in all
	credit      int    // calls that the latest health check still allows while unconfirmed
}

// sendLog is a ring buffer of as many of the latest send times as requests are allowed in one second.
type sendLog struct {
	sentAt []time.Time
	oldest int // index of the oldest send time
	unsent int // calls that have a slot and have not been sent
}

// setRate sets the requests per second that are allowed while the upstream is cold.
func (col *coldLimiter) setRate(rate float64) {
	col.all.resize(max(1, int(rate)))
	col.nested.resize(max(1, int(rate*coldNestedFraction)))
}

// resize keeps the latest send times. Those that a shorter log has overwritten are taken to be as late as its oldest.
func (slo *sendLog) resize(capacity int) {
	if capacity == len(slo.sentAt) {
		return
	}
	before := slices.Concat(slo.sentAt[slo.oldest:], slo.sentAt[:slo.oldest])
	after := make([]time.Time, capacity)
	for i := range after {
		if len(before) > 0 {
			after[i] = before[max(len(before)-capacity+i, 0)]
		}
	}
	slo.sentAt, slo.oldest = after, 0
}

// allows reports whether fewer requests than allowed were sent within the last second or have a slot and will be.
func (slo *sendLog) allows(now time.Time) bool {
	return slo.unsent < len(slo.sentAt) && now.Sub(slo.sentAt[(slo.oldest+slo.unsent)%len(slo.sentAt)]) >= time.Second
}

func (slo *sendLog) record(now time.Time) {
	if len(slo.sentAt) > 0 {
		slo.sentAt[slo.oldest] = now
		slo.oldest = (slo.oldest + 1) % len(slo.sentAt)
	}
}

// allows reports whether one more call may be sent now.
func (col *coldLimiter) allows(now time.Time, isRoot bool) bool {
	switch {
	case !now.Before(col.until) && (!col.unconfirmed || col.credit > 0):
		return true
	case now.Sub(col.unknownUntil) < time.Second:
		return false
	case !isRoot && now.Sub(col.lastRootAt) < coldRootTime && !col.nested.allows(now):
		return false
	}
	return col.all.allows(now)
}

// delay returns the time until a call may be sent that has the given number of others ahead of it. Beyond the requests
// of one second, and while nested calls may use only a part of the rate, it is a lower bound.
func (col *coldLimiter) delay(now time.Time, ahead int) time.Duration {
	ahead += col.all.unsent
	if ahead >= len(col.all.sentAt) {
		return time.Second
	}
	previous := col.all.sentAt[(col.all.oldest+ahead)%len(col.all.sentAt)]
	if previous.Before(col.unknownUntil) {
		previous = col.unknownUntil
	}
	wait := time.Second - now.Sub(previous)
	if !col.unconfirmed {
		wait = min(wait, col.until.Sub(now))
	}
	return wait
}

// refuses reports whether calls that may not be sent now are refused instead of waiting for the next health check.
func (col *coldLimiter) refuses(now time.Time) bool { return now.Before(col.until) || col.checksFail }

// confirm records that a health check found the upstream warm, which began when the given number of calls had got a slot.
func (col *coldLimiter) confirm(grantedBefore uint64) {
	col.checksFail = false
	grantedSince := int(col.granted - grantedBefore) //nolint:gosec // calls of one check
	col.credit = max(len(col.all.sentAt)-grantedSince-col.all.unsent, 0)
}

// needsCheck reports whether another health check is due to allow further calls.
func (col *coldLimiter) needsCheck(now time.Time) bool {
	return col.unconfirmed && !now.Before(col.until) && 2*col.credit <= len(col.all.sentAt)
}

// grant counts a call that gets a slot.
func (col *coldLimiter) grant() {
	col.granted++
	col.credit = max(col.credit-1, 0)
}

// record counts a call that is sent now.
func (col *coldLimiter) record(now time.Time, isRoot bool) {
	col.all.record(now)
	if !isRoot {
		col.nested.record(now)
	}
}

// addUnsent changes how many calls have a slot and have not been sent.
func (col *coldLimiter) addUnsent(count int, isRoot bool) {
	col.all.unsent += count
	if !isRoot {
		col.nested.unsent += count
	}
}
