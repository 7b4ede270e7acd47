package limit

import (
	"math"
	"time"
)

// The tuner searches for the knee of the upstream's throughput: the limit above which throughput no longer rises. It
// compares the throughput of two windows at different limits, and never a latency with an earlier minimum, because an
// upstream that became slower without queueing has the same knee. If throughput is x at a limit a below the knee, and
// y at a limit above the knee, the knee is a*y/x.
//
// Throughput is the mean number of calls in flight divided by the mean self time (Little's law), not the number of
// answers divided by the time: upstreams with equal service times answer in batches, and a window that ends within a
// batch misjudges the rate. Self times also keep changes in nested calls out of the comparison.
//
// After each change of the limit, the tuner first skips at least as many answers as calls were in flight, so that a
// window holds only calls that were sent under its limit.
//
// An error is a call that the upstream shed or that ended in a connection failure or a timeout.

const (
	answersPerTick = 4 // answers between two ticks
	// A window ends after this time even with fewer answers than its target, if it has earlyAnswers and as many answers
	// as the limit.
	maxWindow = 500 * time.Millisecond
	// Pause after a probe that calls for no immediate further one, and after a cut because of errors.
	probePause        = 300 * time.Millisecond
	largeRaise        = 2.0  // factor of the first raise after a start
	smallRaise        = 1.2  // factor of a raise near the knee
	smallestRaise     = 1.03 // smallest factor, reached by raises that made the upstream shed
	minRaiseCalls     = 2    // calls; a smaller raise of a small limit is lost in noise
	loweringFactor    = 0.85 // factor of a lower limit that is tried
	headroom          = 1.1  // limit divided by the estimated knee after a lowering
	probesPerLowering = 5    // every fifth probe near the knee tries a lower limit
	// Standard error of a comparison divided by the logarithm of the ratio of its limits.
	comparisonError  = 0.35
	minFewestAnswers = 100 // answers; with fewer, noise stops the climb of a small limit
	maxFewestAnswers = 200 // answers; enough to compare a limit with its double
	// Fewest answers of a window per call of the limit, between those two bounds.
	fewestAnswersPerCall = 12
	// A gain is the relative rise of the throughput divided by that of the limit; below the knee it is 1.
	largerRaiseGain  = 0.8 // gain from which a raised limit is kept and the next raise is larger
	smallerRaiseGain = 0.6 // gain from which a large raise is kept, but the next one is smaller
	// Calls; up to this limit, a few calls too many do less harm than a slow climb.
	smallLimit = 16
	// Replaces smallerRaiseGain up to smallLimit, where smallerRaiseGain replaces largerRaiseGain. At any limit, a large
	// raise that is not kept whole but gained more than this is followed by a smaller one without a pause.
	smallLimitGain = 0.3
	skipHalves     = 3 // answers that are skipped, in halves of the calls in flight or, if it is more, of the limit
	// Calls that found no slot divided by answers from which the limit, not the demand, bounded the calls.
	limitReachedRatio = 0.5
	selfTimeConstant  = time.Second // time constant of the smoothed self time
)

const (
	// Fewest answers for a decision before minRecentTime or the target of a window.
	earlyAnswers = 16
	// Fewest answers for a decision after minRecentTime; a cold upstream took 180 ms to send 16 answers.
	fewestRecent  = 8
	minRecentTime = 40 * time.Millisecond // longer than a short pause of the upstream, such as garbage collection
	// Mean self time of recent answers divided by the smoothed one above which calls are slow.
	slowRatio          = 2
	minSlowRise        = 10_000 // microseconds; without any queue, self times of 2 ms tripled on a busy host
	slowSigmas         = 2      // standard errors added to the mean self time above which calls are slow
	maxErrorRate       = 0.1    // errors divided by answers from which the limit is cut
	floodErrorRate     = 0.5    // error rate from which the limit is cut without waiting for minRecentTime
	maxWindowErrorRate = 0.02   // error rate of a whole window from which the limit is cut
	deepestErrorCut    = 0.5    // smallest factor of one cut because of errors
	slightestErrorCut  = 0.97   // largest factor of one cut because of errors
	largeRaiseBelow    = 0.7    // a cut because of errors by a smaller factor is followed by large raises
	deepestSlowCut     = 0.25   // smallest factor of one cut because of slow calls
	// Limit divided by the initial limit up to which the self time after a cut counts as normal, so that slow calls
	// cause no further cut.
	finalSlowCut     = 3
	minVerifyAnswers = 32 // fewest answers to verify a cut
	// Throughput after a cut divided by that before it, below which the cut is undone.
	undoThroughput = 0.7
	// Self time after a cut divided by that before it, above which the cut is undone.
	undoSelfTime = 0.7
)

type phase uint8

const (
	phaseBaseline phase = iota // measures the present limit, as the baseline of the next probe
	phaseRaised                // measures a raised limit
	phaseLowered               // measures a lowered limit
	phaseDrain                 // measures the answers to calls that were sent before a cut because of slow calls
	phaseVerify                // measures the limit after such a cut
)

// sample sums up answers; the fields are as in Limiter.
type sample struct {
	answers     int
	successes   int
	shed        int
	failed      int     // connection failures and timeouts
	noSlot      int     // calls that found no slot
	inFlightSum int     // sum over the answers: calls in flight when the answer came, itself included
	selfMicros  float64 // self times of successes, microseconds
	selfSquares float64 // squares of those, square microseconds
	shedMicros  float64 // self times of shed calls, microseconds
}

func (smp *sample) add(oth sample) {
	smp.answers += oth.answers
	smp.successes += oth.successes
	smp.shed += oth.shed
	smp.failed += oth.failed
	smp.noSlot += oth.noSlot
	smp.inFlightSum += oth.inFlightSum
	smp.selfMicros += oth.selfMicros
	smp.selfSquares += oth.selfSquares
	smp.shedMicros += oth.shedMicros
}

// limitReached reports whether the limit, not the demand, bounded the calls in flight. Calls that found no slot show
// this; the calls in flight at an answer do not, because many calls end at the same time where service times are equal.
func (smp *sample) limitReached() bool {
	return float64(smp.noSlot) >= limitReachedRatio*float64(smp.answers)
}

// meanSelfTime returns microseconds per success.
func (smp *sample) meanSelfTime() float64 { return smp.selfMicros / float64(max(smp.successes, 1)) }

// throughput returns the throughput by Little's law, in calls per microsecond.
func (smp *sample) throughput() float64 {
	if smp.selfMicros == 0 {
		return 0
	}
	return float64(smp.inFlightSum) / float64(smp.answers) / smp.meanSelfTime()
}

// errorRate returns errors divided by answers.
func (smp *sample) errorRate() float64 {
	return float64(smp.shed+smp.failed) / float64(max(smp.answers, 1))
}

// usefulFraction returns the fraction of the slots that did useful work. Shed calls count by their time, not their
// number: when only a few calls are too many, an upstream sheds far more calls in a second than it serves.
func (smp *sample) usefulFraction() float64 {
	shed := smp.shedMicros / max(smp.shedMicros+smp.selfMicros, 1)
	failed := float64(smp.failed) / float64(max(smp.answers, 1))
	return 1 - max(shed, failed)
}

// tuner sets the limit of a Limiter, whose lock guards the tuner.
type tuner struct {
	settings Settings
	lim      *Limiter

	phase        phase
	skip         int       // answers still to skip
	windowStart  time.Time // the window begins after skipping
	window       sample
	windowTarget int // answers at which the window ends

	// In a probe: throughput at baseLimit, in calls per microsecond. In phaseDrain: 1 after a first cut, else 0. In
	// phaseVerify: successes per second before the cut, or 0 if unknown.
	baseThroughput  float64
	baseLimit       int     // limit before the probe
	limitBeforeCuts int     // limit before the first of successive cuts because of slow calls, or zero if there was none
	cutSelfTime     float64 // mean self time that caused the last of those cuts, microseconds
	raiseFactor     float64 // factor of the next raise
	probes          int
	lowerAgain      bool // the last lowering was kept at least in part, so the next probe lowers again
	nextProbe       time.Time

	expectedRise float64 // factor by which the last raise of the limit alone can lengthen self times
	recent       sample  // answers in which errors and slow calls are detected
	recentSince  time.Time

	selfTime   float64 // smoothed self time, microseconds
	selfSquare float64 // smoothed square of self times, square microseconds
	lastTick   time.Time
}

func (tun *tuner) reset(now time.Time) {
	fresh := tuner{settings: tun.settings, lim: tun.lim, raiseFactor: largeRaise, expectedRise: 1, windowStart: now, recentSince: now, lastTick: now}
	*tun = fresh
	tun.lim.selfTime.Store(0)
	tun.setLimit(tun.settings.Initial)
	tun.measureBaseline(now)
}

func (tun *tuner) limit() int { return tun.lim.Limit() }

// setLimit sets the limit and skips answers that do not show its effect yet: those to the calls in flight, or as many as
// the limit if that is more, because the first of the calls that a raise adds find the queue of the upstream still short.
// It skips one and a half times that number, because long calls sent earlier are answered after short ones sent later.
func (tun *tuner) setLimit(limit int) {
	limit = min(max(limit, minLimit), tun.settings.MaxConnections)
	tun.lim.limit.Store(int64(limit))
	tun.skip = skipHalves * max(tun.lim.InFlight(), limit) / 2
	tun.clearRecent(tun.lastTick)
	tun.scheduleTick()
}

func (tun *tuner) clearRecent(now time.Time) {
	tun.recent = sample{}
	tun.recentSince = now
}

// scheduleTick sets the next tick, so that skipping and windows end at exactly their number of answers.
func (tun *tuner) scheduleTick() {
	answers := answersPerTick
	switch {
	case tun.skip > 0:
		answers = tun.skip
	case tun.phase == phaseDrain:
		answers = tun.lim.InFlight() - tun.limit()
	case tun.windowTarget > tun.window.answers:
		answers = tun.windowTarget - tun.window.answers
	}
	tun.lim.answersUntilTick.Store(int64(min(max(answers, 1), answersPerTick)))
}

func (tun *tuner) tick(now time.Time, smp sample) {
	tun.lastTick = now
	tun.recent.add(smp)
	switch {
	case tun.isFailing(now):
		tun.cutFailing(now, tun.recent)
	case tun.isSlow(now):
		tun.cutSlow(now)
	case tun.isFalseAlarm(now):
		tun.undoCuts(now)
	default:
		tun.updateSelfTime(now)
		tun.collect(now, smp)
	}
	tun.scheduleTick()
}

// isFailing reports whether too many of the recent answers are errors. A single error is not evidence enough for a cut.
func (tun *tuner) isFailing(now time.Time) bool {
	errorCount := tun.recent.shed + tun.recent.failed
	if errorCount < 2 || tun.skip > 0 {
		return false
	}
	if tun.recent.answers >= earlyAnswers && tun.recent.errorRate() >= floodErrorRate {
		return true
	}
	return tun.hasEnoughRecent(now) && tun.recent.errorRate() >= maxErrorRate
}

// hasEnoughRecent reports whether the recent answers are enough for a decision.
func (tun *tuner) hasEnoughRecent(now time.Time) bool {
	return tun.recent.answers >= fewestRecent && now.Sub(tun.recentSince) >= minRecentTime
}

// isSlow reports whether self times rose suddenly. The threshold includes the noise of self times, because a mix of
// short and long calls can double the mean of a few of them.
func (tun *tuner) isSlow(now time.Time) bool {
	if tun.phase == phaseDrain || tun.phase == phaseVerify || tun.selfTime == 0 {
		return false
	}
	if tun.recent.successes < fewestRecent || !tun.hasEnoughRecent(now) {
		return false
	}
	standardError := math.Sqrt(max(tun.selfSquare-tun.selfTime*tun.selfTime, 0) / float64(tun.recent.successes))
	threshold := max(slowRatio*tun.selfTime, tun.selfTime+minSlowRise)
	return tun.recent.meanSelfTime() > tun.expectedRise*(threshold+slowSigmas*standardError)
}

// cutFailing lowers the limit to the fraction of it that did useful work, or undoes a raise.
func (tun *tuner) cutFailing(now time.Time, smp sample) {
	if tun.phase == phaseRaised {
		tun.undoRaise(now, smp)
		return
	}
	keep := min(max(smp.usefulFraction(), deepestErrorCut), slightestErrorCut)
	tun.raiseFactor = smallRaise
	if keep < largeRaiseBelow {
		tun.raiseFactor = largeRaise
	}
	tun.limitBeforeCuts = 0
	tun.setLimit(int(float64(tun.limitInUse()) * keep))
	tun.measureBaseline(now)
	tun.nextProbe = now.Add(probePause)
}

// undoRaise ends a raise that made the upstream fail or shed calls. The next raise is smaller, because near the knee
// a slot too many sheds one call after another until the limit is lowered.
func (tun *tuner) undoRaise(now time.Time, smp sample) {
	nextFactor := max(math.Sqrt(tun.raiseFactor), smallestRaise)
	limit := tun.baseLimit
	if tun.raiseFactor > smallRaise {
		limit = max(int(math.Round(float64(tun.limit())*smp.usefulFraction())), limit)
	}
	tun.endProbe(now, limit)
	tun.raiseFactor = nextFactor
}

// limitInUse returns the limit, or the calls in flight with the one just answered if they are fewer.
func (tun *tuner) limitInUse() int {
	return max(min(tun.limit(), tun.lim.InFlight()+1), minLimit)
}

// cutSlow lowers the limit immediately, and the windows that follow show whether that was right. A cold upstream with few
// slots and an upstream that became slower without queueing look alike in the first answers; they differ in that only
// the cold one keeps its throughput at the lower limit.
func (tun *tuner) cutSlow(now time.Time) {
	keep := max(tun.selfTime/tun.recent.meanSelfTime(), deepestSlowCut)
	tun.baseThroughput, tun.cutSelfTime = 0, tun.recent.meanSelfTime()
	if tun.limitBeforeCuts == 0 {
		tun.limitBeforeCuts, tun.baseThroughput = tun.limit(), 1
	}
	tun.raiseFactor = largeRaise
	tun.setLimit(int(math.Ceil(float64(tun.limitInUse()) * keep)))
	tun.skip = 0
	tun.startWindow(now, phaseDrain, 0)
}

// isFalseAlarm reports whether calls that were sent before a first cut have usual self times after all. This happens
// after a pause of the upstream, and after a jump of the time in nested calls: until the calls with the longer nested
// calls are answered, only the longest of the earlier calls are.
func (tun *tuner) isFalseAlarm(now time.Time) bool {
	if tun.phase != phaseDrain || tun.baseThroughput == 0 || !tun.hasEnoughRecent(now) {
		return false
	}
	return tun.recent.successes >= fewestRecent && tun.recent.meanSelfTime() <= slowRatio*tun.selfTime
}

// undoCuts undoes all successive cuts because of slow calls.
func (tun *tuner) undoCuts(now time.Time) {
	limit := tun.limitBeforeCuts
	tun.limitBeforeCuts = 0
	tun.endProbe(now, limit)
}

// updateSelfTime moves the smoothed self time towards that of the recent answers.
func (tun *tuner) updateSelfTime(now time.Time) {
	if !tun.hasEnoughRecent(now) {
		return
	}
	if tun.phase != phaseDrain && tun.phase != phaseVerify && tun.skip == 0 {
		weight := -math.Expm1(-now.Sub(tun.recentSince).Seconds() / selfTimeConstant.Seconds())
		tun.smoothSelfTime(tun.recent, weight)
	}
	tun.clearRecent(now)
}

func (tun *tuner) smoothSelfTime(smp sample, weight float64) {
	if smp.successes == 0 {
		return
	}
	if tun.selfTime == 0 {
		weight = 1
	}
	tun.selfTime += weight * (smp.meanSelfTime() - tun.selfTime)
	tun.selfSquare += weight * (smp.selfSquares/float64(smp.successes) - tun.selfSquare)
	tun.lim.selfTime.Store(int64(tun.selfTime * float64(time.Microsecond)))
}

// startWindow begins a phase with a window of target answers, which opens when no answers are left to skip.
func (tun *tuner) startWindow(now time.Time, pha phase, target int) {
	tun.phase = pha
	tun.window = sample{}
	tun.windowStart = now
	tun.windowTarget = target
}

// measureBaseline measures the throughput at the present limit.
func (tun *tuner) measureBaseline(now time.Time) {
	tun.startWindow(now, phaseBaseline, tun.answersToCompare(tun.raisedLimit(), tun.limit()))
}

// answersToCompare returns how many answers a comparison of two limits takes, rounded up to a multiple of the present
// limit.
func (tun *tuner) answersToCompare(limit, other int) int {
	ratio := float64(limit) / float64(other)
	if limit == other {
		ratio = loweringFactor
	}
	relativeError := comparisonError * max(math.Abs(math.Log(ratio)), math.Log(smallRaise))
	inFlight := tun.limit()
	fewest := min(max(fewestAnswersPerCall*inFlight, minFewestAnswers), maxFewestAnswers)
	answers := max(inFlight, fewest, int(2/(relativeError*relativeError)))
	return (answers + inFlight - 1) / inFlight * inFlight
}

// collect skips answers or adds them to the window, and ends the window when it is complete.
func (tun *tuner) collect(now time.Time, smp sample) {
	if tun.skip > 0 {
		tun.skip = max(tun.skip-smp.answers, 0)
		tun.windowStart = now
		if tun.skip == 0 {
			tun.endSkip(now)
		}
		return
	}
	tun.window.add(smp)
	if tun.phase == phaseDrain {
		tun.checkDrained(now)
		return
	}
	timeout := now.Sub(tun.windowStart) >= maxWindow && tun.window.answers >= max(earlyAnswers, tun.limit())
	if tun.window.answers < tun.windowTarget && !timeout {
		return
	}
	tun.lim.throughput.Store(math.Float64bits(tun.successesPerSecond(now)))
	if tun.window.errorRate() >= maxWindowErrorRate {
		tun.cutFailing(now, tun.window)
		return
	}
	switch tun.phase {
	case phaseRaised:
		tun.decideRaise(now)
	case phaseLowered:
		tun.decideLowering(now)
	case phaseVerify:
		tun.verifyCut(now)
	default:
		tun.startProbe(now)
	}
}

// endSkip opens a window whose answers all belong to calls that were sent under the present limit.
func (tun *tuner) endSkip(now time.Time) {
	tun.clearRecent(now)
	if tun.phase != phaseRaised {
		tun.expectedRise = 1
	}
}

func (tun *tuner) successesPerSecond(now time.Time) float64 {
	return float64(tun.window.successes) / max(now.Sub(tun.windowStart), time.Microsecond).Seconds()
}

func (tun *tuner) raisedLimit() int {
	limit := tun.limit()
	minCalls := minRaiseCalls
	if tun.raiseFactor < smallRaise {
		minCalls = 1
	}
	raised := max(int(math.Round(float64(limit)*tun.raiseFactor)), limit+minCalls)
	return min(raised, tun.settings.MaxConnections)
}

func (tun *tuner) loweredLimit() int { return max(int(float64(tun.limit())*loweringFactor), minLimit) }

// startProbe tries another limit if the present one, not the demand, bounded the calls in flight.
func (tun *tuner) startProbe(now time.Time) {
	if !tun.window.limitReached() || tun.window.selfMicros == 0 || now.Before(tun.nextProbe) {
		tun.measureBaseline(now)
		return
	}
	tun.baseThroughput = tun.window.throughput()
	tun.baseLimit = tun.limit()
	tun.probes++
	raised, lowered := tun.raisedLimit(), tun.loweredLimit()
	if tun.lowerAgain || raised == tun.baseLimit || tun.probes%probesPerLowering == 0 && tun.raiseFactor <= smallRaise {
		tun.tryLimit(now, phaseLowered, lowered)
		return
	}
	tun.tryLimit(now, phaseRaised, raised)
}

func (tun *tuner) tryLimit(now time.Time, pha phase, limit int) {
	if limit == tun.baseLimit {
		tun.endProbe(now, limit)
		return
	}
	tun.expectedRise = max(float64(limit)/float64(tun.baseLimit), 1)
	tun.setLimit(limit)
	tun.startWindow(now, pha, tun.answersToCompare(limit, tun.baseLimit))
}

// decideRaise keeps the raised limit, or the part of the raise up to the knee.
func (tun *tuner) decideRaise(now time.Time) {
	limit := tun.limit()
	throughputRatio := tun.window.throughput() / tun.baseThroughput
	gain := (throughputRatio - 1) / (float64(limit)/float64(tun.baseLimit) - 1)
	nextFactor := max(math.Sqrt(tun.raiseFactor), min(tun.raiseFactor, smallRaise))
	largerFrom, smallerFrom := largerRaiseGain, smallerRaiseGain
	if limit <= smallLimit {
		largerFrom, smallerFrom = smallerRaiseGain, smallLimitGain
	}
	switch {
	case gain >= largerFrom:
		tun.raiseFactor = min(tun.raiseFactor*tun.raiseFactor, largeRaise)
		tun.startProbe(now)
	case gain >= smallerFrom && tun.raiseFactor > smallRaise:
		tun.raiseFactor = nextFactor
		tun.startProbe(now)
	default:
		knee := int(math.Round(float64(tun.baseLimit) * throughputRatio))
		tun.endProbe(now, min(max(knee, tun.baseLimit), limit))
		if nextFactor > smallRaise && gain > smallLimitGain {
			tun.raiseFactor = nextFactor
			tun.nextProbe = now
		}
		tun.measureBaseline(now)
	}
}

// decideLowering keeps the part of the lowering that cost no throughput.
func (tun *tuner) decideLowering(now time.Time) {
	limit := tun.limit()
	kept := min(max(tun.window.throughput()/tun.baseThroughput, loweringFactor/headroom), 1)
	knee := int(math.Round(float64(limit) / kept * headroom))
	limitAfter := min(max(knee, limit), tun.baseLimit)
	tun.endProbe(now, limitAfter)
	tun.lowerAgain = limitAfter < tun.baseLimit
	if tun.lowerAgain {
		tun.nextProbe = now
	}
}

func (tun *tuner) endProbe(now time.Time, limit int) {
	tun.lowerAgain = false
	tun.raiseFactor = smallRaise
	tun.setLimit(limit)
	tun.measureBaseline(now)
	tun.nextProbe = now.Add(probePause)
}

// checkDrained ends phaseDrain once the calls sent before the cut no longer exceed the limit.
func (tun *tuner) checkDrained(now time.Time) {
	if tun.lim.InFlight() > tun.limit() {
		return
	}
	if tun.window.answers < earlyAnswers {
		tun.baseThroughput = 0
	}
	tun.baseThroughput *= tun.successesPerSecond(now)
	tun.setLimit(tun.limit())
	tun.startWindow(now, phaseVerify, max(minVerifyAnswers, tun.limit()))
}

// verifyCut undoes cuts if queueing did not cause the long self times. After a first cut throughput decides, because
// self times are still rising then. After a further cut, or with too few answers from before the cut, self time decides.
func (tun *tuner) verifyCut(now time.Time) {
	selfTime := tun.window.meanSelfTime()
	slower := selfTime > undoSelfTime*tun.cutSelfTime
	if tun.baseThroughput > 0 {
		slower = tun.successesPerSecond(now) < undoThroughput*tun.baseThroughput
	}
	if slower {
		tun.smoothSelfTime(tun.window, 1)
		tun.undoCuts(now)
		return
	}
	if tun.limit() <= finalSlowCut*tun.settings.Initial {
		// A cold upstream soon has slots for so few calls, while at a slow upstream each further cut takes seconds to verify.
		tun.smoothSelfTime(tun.window, 1)
	}
	if selfTime <= slowRatio*tun.selfTime {
		tun.limitBeforeCuts = 0
	}
	tun.clearRecent(now)
	tun.measureBaseline(now)
}
