package cost

import (
	"math"
	"time"
)

const (
	// initialWork is the expected work of a call while none has ended.
	initialWork = 50 * time.Millisecond
	// maxKinds is how many kinds are known at once; a new one replaces the one that was used longest ago.
	maxKinds = 256
	// priorCalls is for how many calls the mean over all kinds counts in the expected work of a kind.
	priorCalls = 4
	// pooledWeight is the weight of one call in the mean over all kinds.
	pooledWeight = 1.0 / 64
	// knownCalls is how many calls of a kind must have ended before its calls show how slow the upstream is.
	knownCalls = 16
	// reportedCalls is how many calls of a kind must have ended before its expected work is told to callers: after a
	// restart of the node the mean over all kinds would make the upstream look faster or slower than it is.
	reportedCalls = 8
	// slownessHalfLife is that of what a call says about how slow the upstream is. It is longer than the time between two stalls of an
	// upstream that stalls each 600 ms, so that no stall alone changes the figure by much.
	slownessHalfLife = 800 * time.Millisecond
	// slownessPrior is the number of calls at the usual speed that are counted beside the recent ones. Without recent calls an upstream
	// is expected to have it, so that one that was slow is tried again.
	slownessPrior = 8
	// maxRatio bounds what one call says about how slow the upstream is, as a multiple of the expected work of its kind.
	maxRatio = 16
	// minSlowness and maxSlowness bound the figure.
	minSlowness = 1.0 / 8
	maxSlowness = 32
)

// Learner learns the work of the calls at one upstream.
type Learner struct {
	kinds  map[Kind]*distribution
	pooled float64 // mean work over all kinds in seconds, at the usual speed

	slowSum   float64 // decayed sum of the work of calls, each as a multiple of what was expected of it
	slowCount float64 // decayed number of these calls
	slowAt    time.Time
}

// New returns a learner that knows no kind.
func New() *Learner {
	return &Learner{kinds: map[Kind]*distribution{}, pooled: initialWork.Seconds()}
}

// Ended records that a call of a kind has ended, and its work: the time in its slot without the waits for nested calls.
func (lea *Learner) Ended(now time.Time, kin Kind, work time.Duration) {
	dis := lea.distribution(now, kin)
	slowness := lea.Slowness(now)
	if dis.count >= knownCalls {
		lea.recordSlowness(now, work.Seconds(), lea.mean(dis))
	}
	usual, weight := work.Seconds()/slowness, 1.0
	if dis.count >= knownCalls && (slowness > usualFactor || slowness < 1/usualFactor) {
		weight = unusualWeight
	}
	dis.add(now, usual, weight)
	lea.pooled += pooledWeight * (usual - lea.pooled)
}

// Cut records that a call ended early, because it failed or its caller left. Its work says something only if it was more
// than expected: an upstream so slow that all its calls are given up would otherwise not be seen as slow.
func (lea *Learner) Cut(now time.Time, kin Kind, work time.Duration) {
	dis := lea.kinds[kin]
	if dis == nil || dis.count < knownCalls {
		return
	}
	if expected := lea.mean(dis); work.Seconds() > expected*lea.Slowness(now) {
		lea.recordSlowness(now, work.Seconds(), expected)
	}
}

// recordSlowness counts a call by the middle of its work: one that took seconds says little about the upstream at its
// end.
func (lea *Learner) recordSlowness(now time.Time, work, expected float64) {
	lea.decaySlowness(now)
	weight := math.Exp2(-work / 2 / slownessHalfLife.Seconds())
	lea.slowSum += weight * min(work/expected, maxRatio)
	lea.slowCount += weight
}

func (lea *Learner) decaySlowness(now time.Time) {
	if age := now.Sub(lea.slowAt); age > 0 && !lea.slowAt.IsZero() {
		left := math.Exp2(-age.Seconds() / slownessHalfLife.Seconds())
		lea.slowSum, lea.slowCount = lea.slowSum*left, lea.slowCount*left
	}
	lea.slowAt = now
}

// Slowness returns by how much longer the upstream needs for a call at present than it usually did.
func (lea *Learner) Slowness(now time.Time) float64 {
	lea.decaySlowness(now)
	return min(max((lea.slowSum+slownessPrior)/(lea.slowCount+slownessPrior), minSlowness), maxSlowness)
}

// Expected returns the expected work of a call of a kind that begins now, or false while too few calls of the kind have
// ended.
func (lea *Learner) Expected(now time.Time, kin Kind) (time.Duration, bool) {
	dis := lea.kinds[kin]
	if dis == nil || dis.count < reportedCalls {
		return 0, false
	}
	return toDuration(lea.mean(dis) * lea.Slowness(now)), true
}

// Estimate returns the expected work of a call of a kind at the usual speed of the upstream.
func (lea *Learner) Estimate(kin Kind) time.Duration { return toDuration(lea.mean(lea.kinds[kin])) }

// Remaining returns the expected rest of the work of a call of a kind of which the given work has been done.
func (lea *Learner) Remaining(now time.Time, kin Kind, done time.Duration) time.Duration {
	slowness := lea.Slowness(now)
	dis := lea.kinds[kin]
	mean, usual := lea.mean(dis), done.Seconds()/slowness
	if dis == nil {
		return toDuration(slowness * max(mean, usual))
	}
	return toDuration(slowness * max(dis.remaining(usual, mean), minWork.Seconds()))
}

// Estimate is what is known of a kind.
type Estimate struct {
	kind  Kind
	work  time.Duration
	calls float64
}

// Kind returns the kind.
func (est Estimate) Kind() Kind { return est.kind }

// Work returns the expected work of a call at the usual speed of the upstream.
func (est Estimate) Work() time.Duration { return est.work }

// Calls returns the number of calls behind the estimate, the older ones weighted less.
func (est Estimate) Calls() float64 { return est.calls }

// Known returns what is known of each kind.
func (lea *Learner) Known() []Estimate {
	out := make([]Estimate, 0, len(lea.kinds))
	for kin, dis := range lea.kinds {
		out = append(out, Estimate{kind: kin, work: toDuration(lea.mean(dis)), calls: dis.count})
	}
	return out
}

// mean returns the expected work of a kind in seconds; it is that over all kinds if dis is nil.
func (lea *Learner) mean(dis *distribution) float64 {
	if dis == nil {
		return lea.pooled
	}
	return (dis.sum + priorCalls*lea.pooled) / (dis.count + priorCalls)
}

// distribution returns that of a kind, which it adds if it is missing.
func (lea *Learner) distribution(now time.Time, kin Kind) *distribution {
	dis := lea.kinds[kin]
	if dis == nil {
		if len(lea.kinds) >= maxKinds {
			lea.evict()
		}
		dis = newDistribution(now)
		lea.kinds[kin] = dis
	}
	dis.usedAt = now
	return dis
}

// evict drops the kind that was used longest ago.
func (lea *Learner) evict() {
	var oldest Kind
	var oldestAt time.Time
	for kin, dis := range lea.kinds {
		if oldestAt.IsZero() || dis.usedAt.Before(oldestAt) {
			oldest, oldestAt = kin, dis.usedAt
		}
	}
	delete(lea.kinds, oldest)
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
