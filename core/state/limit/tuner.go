package limit

import (
	"math"
	"time"
)

// The tuner finds the knee of the upstream: the limit above which throughput no longer rises. It compares
// the throughput of two windows at different limits, and never a latency with an old minimum, because an
// upstream that became slower without queueing has the same knee. If throughput at limit a below the knee
// is x, and y at a limit above the knee, the knee is a*y/x.
//
// Throughput is taken as calls in flight over mean own time (Little's law) and not as answers over time:
// upstreams with even service times answer in rounds, and a window that cuts a round misjudges the rate. It
// also keeps changes in nested calls out of the comparison.
//
// Each change of the limit is followed by a settling time in which as many answers are skipped as calls
// were in flight, so that a window holds only calls that started under its limit.

const (
	answersPerTick       = 4                      // answers between two looks at the state
	maxWindow            = 500 * time.Millisecond // a window that has its fewest answers ends by then
	probePause           = 300 * time.Millisecond // pause between probes that changed nothing
	largeRaise           = 2.0                    // first raise after a start
	smallRaise           = 1.2                    // raise near the knee
	smallestRaise        = 1.03                   // raise after raises that made the upstream shed
	minRaiseCalls        = 2                      // calls; a smaller raise of a small limit is lost in noise
	loweringFactor       = 0.85                   // a lowering that is tried
	headroom             = 1.1                    // limit over the estimated knee after a lowering
	probesPerLowering    = 5                      // each fifth probe tries a lower limit
	comparisonError      = 0.35                   // standard error of a comparison over the log of the factor
	minFewestAnswers     = 100                    // answers; with fewer, noise stops the climb of a small limit
	maxFewestAnswers     = 200                    // answers for a doubling
	fewestAnswersPerCall = 12                     // answers per place in flight, between those two bounds
	keepGain             = 0.8                    // part of the expected gain above which the knee is not reached
	partialGain          = 0.6                    // part of the expected gain above which a large raise is kept, but the next one is smaller
	smallLimit           = 16                     // calls; up to here a few calls too many do less harm than a slow climb
	smallLimitGain       = 0.3                    // takes the place of partShare up to smallLimit
	skipHalves           = 3                      // halves of the calls in flight whose answers are skipped
	limitReachedRatio    = 0.5                    // calls that found no place, over the answers
	selfTimeConstant     = time.Second            // time constant of the typical own time
)

const (
	earlyAnswers       = 16                    // fewest answers for a verdict before alarmTime
	fewestRecent       = 8                     // fewest answers for a verdict; 16 took a cold upstream 180 ms to send
	minRecentTime      = 40 * time.Millisecond // outlasts a short pause of the upstream, such as garbage collection
	slowRatio          = 2                     // rise of the own time over the typical one
	minSlowRise        = 10_000                // microseconds; own times of 2 ms tripled on a busy host without any queue
	slowSigmas         = 2                     // standard errors on top of the rise
	maxErrorRate       = 0.1                   // part of bad answers that lowers the limit
	floodErrorRate     = 0.5                   // part of bad answers that lowers the limit without waiting for alarmTime
	maxWindowErrorRate = 0.02                  // part of bad answers of a whole window that lowers the limit
	deepestErrorCut    = 0.5                   // smallest factor for one cut because of bad answers
	slightestErrorCut  = 0.97                  // largest factor for one cut because of bad answers
	largeRaiseBelow    = 0.7                   // a cut below this factor is followed by large raises
	deepestSlowCut     = 0.25                  // smallest factor for one cut because of own time
	finalSlowCut       = 3                     // times the initial limit; below it own time causes no second cut
	minVerifyAnswers   = 32                    // answers after a cut
	undoThroughput     = 0.7                   // throughput after a cut over that before, below which the cut is taken back
	undoSelfTime       = 0.7                   // own time after a cut over that before, above which the cut is taken back
)

type phase uint8

const (
	phaseBaseline phase = iota // measures the base for the next probe
	phaseRaised                // measures a raised limit
	phaseLowered               // measures a lowered limit
	phaseDrain                 // measures the answers to calls sent before a cut
	phaseVerify                // measures the limit after a cut
)

// sample sums up answers.
type sample struct {
	answers     int
	successes   int
	shed        int
	failed      int     // failed or timed out
	noSlot      int     // calls that found no place
	inFlightSum int     // sum over the answers
	selfMicros  float64 // microseconds
	selfSquares float64 // square microseconds
	shedMicros  float64 // microseconds
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

// used says whether the limit, not the demand, bounded the calls in flight. Calls that found no place show
// it; the calls in flight at an answer do not, because even service times end many calls at once.
func (smp *sample) limitReached() bool {
	return float64(smp.noSlot) >= limitReachedRatio*float64(smp.answers)
}

func (smp *sample) meanSelfTime() float64 { return smp.selfMicros / float64(max(smp.successes, 1)) }

// flow returns the throughput by Little's law, in calls per microsecond of own time.
func (smp *sample) throughput() float64 {
	if smp.selfMicros == 0 {
		return 0
	}
	return float64(smp.inFlightSum) / float64(smp.answers) / smp.meanSelfTime()
}

// badShare returns the part of the answers that say that the upstream cannot take the load.
func (smp *sample) errorRate() float64 {
	return float64(smp.shed+smp.failed) / float64(max(smp.answers, 1))
}

// goodPart returns the part of the places in flight that did useful work. Shed calls count by their time,
// because an upstream sheds far more calls in a second than it serves when only a few are too many.
func (smp *sample) usefulFraction() float64 {
	shed := smp.shedMicros / max(smp.shedMicros+smp.selfMicros, 1)
	failed := float64(smp.failed) / float64(max(smp.answers, 1))
	return 1 - max(shed, failed)
}

// tuner decides the limit; the Limiter's lock guards it.
type tuner struct {
	set Settings
	lim *Limiter

	phase        phase
	skip         int       // answers still to skip
	windowStart  time.Time // start of the window
	window       sample
	windowTarget int // answers of a whole window

	baseThroughput  float64 // throughput at the limit before the probe
	baseLimit       int
	limitBeforeCuts int     // limit before the first of successive cuts because of own time, or zero
	cutSelfTime     float64 // own time that caused the last cut, microseconds
	raiseFactor     float64 // next raise
	probes          int
	lowerAgain      bool // the last lowering was kept in part
	nextProbe       time.Time

	expectedRise float64 // rise of own times that the last raise of the limit explains
	recent       sample
	recentSince  time.Time

	selfTime   float64 // microseconds
	selfSquare float64 // smoothed square of own times
	lastTick   time.Time
}

func (tun *tuner) reset(now time.Time) {
	fresh := tuner{set: tun.set, lim: tun.lim, raiseFactor: largeRaise, expectedRise: 1, windowStart: now, recentSince: now, lastTick: now}
	*tun = fresh
	tun.lim.selfTime.Store(0)
	tun.setLimit(tun.set.Initial)
	tun.measureBaseline(now)
}

func (tun *tuner) limit() int { return tun.lim.Limit() }

// apply sets the limit and skips the answers to calls that are in flight now. After a raise it skips as
// many as the new limit, because the first of the added calls find the queue of the upstream still short.
// It skips half as many again, because long calls sent earlier are answered after short ones sent later.
func (tun *tuner) setLimit(limit int) {
	limit = min(max(limit, minLimit), tun.set.Max)
	tun.lim.limit.Store(int64(limit))
	tun.skip = skipHalves * max(tun.lim.InFlight(), limit) / 2
	tun.clearRecent(tun.lastTick)
	tun.scheduleTick()
}

func (tun *tuner) clearRecent(now time.Time) {
	tun.recent = sample{}
	tun.recentSince = now
}

// schedule sets the next tick, so that settling and windows end at exactly their number of answers.
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

// isBad says whether too many calls were shed or failed. One bad answer alone says nothing.
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

// isDue says whether the alarm's answers are enough for a verdict.
func (tun *tuner) hasEnoughRecent(now time.Time) bool {
	return tun.recent.answers >= fewestRecent && now.Sub(tun.recentSince) >= minRecentTime
}

// isSlow says whether own times rose suddenly. It counts the noise of own times in, because a mix of short
// and long calls can double the mean of a few of them.
func (tun *tuner) isSlow(now time.Time) bool {
	if tun.phase == phaseDrain || tun.phase == phaseVerify || tun.selfTime == 0 {
		return false
	}
	if tun.recent.successes < fewestRecent || !tun.hasEnoughRecent(now) {
		return false
	}
	spread := math.Sqrt(max(tun.selfSquare-tun.selfTime*tun.selfTime, 0) / float64(tun.recent.successes))
	threshold := max(slowRatio*tun.selfTime, tun.selfTime+minSlowRise)
	return tun.recent.meanSelfTime() > tun.expectedRise*(threshold+slowSigmas*spread)
}

// cutBad lowers the limit to the part of it that did useful work.
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

// undoRaise ends a raise that made the upstream shed. Near the knee the next raise is smaller, because each
// call too many is shed at once and again until its place is taken away.
func (tun *tuner) undoRaise(now time.Time, smp sample) {
	nextFactor := max(math.Sqrt(tun.raiseFactor), smallestRaise)
	limit := tun.baseLimit
	if tun.raiseFactor > smallRaise {
		limit = max(int(math.Round(float64(tun.limit())*smp.usefulFraction())), limit)
	}
	tun.endProbe(now, limit)
	tun.raiseFactor = nextFactor
}

// reach returns the calls in flight, when they are fewer than the limit allows.
func (tun *tuner) limitInUse() int {
	return max(min(tun.limit(), tun.lim.InFlight()+1), minLimit)
}

// cutSlow lowers the limit at once, and then finds out whether that was right. A cold upstream with few
// slots and an upstream that became slower without queueing look alike in the first answers; they differ
// in that only the first keeps its throughput at the lower limit.
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

// isFalseAlarm says whether calls that were sent before a first cut have typical own times after all. A pause
// of the upstream ends so. A jump of the time in nested calls does too: until the next calls come back, only
// the longest of the earlier ones are answered.
func (tun *tuner) isFalseAlarm(now time.Time) bool {
	if tun.phase != phaseDrain || tun.baseThroughput == 0 || !tun.hasEnoughRecent(now) {
		return false
	}
	return tun.recent.successes >= fewestRecent && tun.recent.meanSelfTime() <= slowRatio*tun.selfTime
}

// restore takes successive cuts because of own time back.
func (tun *tuner) undoCuts(now time.Time) {
	limit := tun.limitBeforeCuts
	tun.limitBeforeCuts = 0
	tun.endProbe(now, limit)
}

// learn moves the typical own time towards that of the last answers.
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

// start begins a window of a phase, after settling.
func (tun *tuner) startWindow(now time.Time, pha phase, target int) {
	tun.phase = pha
	tun.window = sample{}
	tun.windowStart = now
	tun.windowTarget = target
}

// hold measures the base at the present limit.
func (tun *tuner) measureBaseline(now time.Time) {
	tun.startWindow(now, phaseBaseline, tun.answersToCompare(tun.raisedLimit(), tun.limit()))
}

// size returns how many answers it takes to compare two limits, as a multiple of the limit in force.
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

// collect adds answers to the window and ends it when it is whole.
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

// settled begins a window whose answers all belong to calls sent under the limit in force.
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
	return min(raised, tun.set.Max)
}

func (tun *tuner) loweredLimit() int { return max(int(float64(tun.limit())*loweringFactor), minLimit) }

// probe tries another limit if the present one was in use.
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

// judgeUp keeps the raised limit, or the part of it up to the knee.
func (tun *tuner) decideRaise(now time.Time) {
	limit := tun.limit()
	gain := tun.window.throughput() / tun.baseThroughput
	gainShare := (gain - 1) / (float64(limit)/float64(tun.baseLimit) - 1)
	nextFactor := max(math.Sqrt(tun.raiseFactor), min(tun.raiseFactor, smallRaise))
	keep, partial := keepGain, partialGain
	if limit <= smallLimit {
		keep, partial = partialGain, smallLimitGain
	}
	switch {
	case gainShare >= keep:
		tun.raiseFactor = min(tun.raiseFactor*tun.raiseFactor, largeRaise)
		tun.startProbe(now)
	case gainShare >= partial && tun.raiseFactor > smallRaise:
		tun.raiseFactor = nextFactor
		tun.startProbe(now)
	default:
		knee := int(math.Round(float64(tun.baseLimit) * gain))
		tun.endProbe(now, min(max(knee, tun.baseLimit), limit))
		if nextFactor > smallRaise && gainShare > smallLimitGain {
			tun.raiseFactor = nextFactor
			tun.nextProbe = now
		}
		tun.measureBaseline(now)
	}
}

// judgeDown keeps the lowered limit as far as it cost no throughput.
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

// drain waits until calls sent before the cut no longer exceed the limit.
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

// judgeCut takes cuts back if the own time did not come from queueing. After the first cut throughput tells:
// own times are still rising then. Later, or without enough answers from before the cut, own time tells.
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
	if tun.limit() <= finalSlowCut*tun.set.Initial {
		// A cold upstream soon has slots for so few calls, while at a slow one each further cut takes seconds to judge.
		tun.smoothSelfTime(tun.window, 1)
	}
	if selfTime <= slowRatio*tun.selfTime {
		tun.limitBeforeCuts = 0
	}
	tun.clearRecent(now)
	tun.measureBaseline(now)
}
