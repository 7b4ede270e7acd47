package retry

import "time"

const (
	// rankCount is how many ranks are told apart when retries are reserved; less important ones count as the last.
	rankCount = 4
	// reservedPerCall is how many retries are reserved for each call of a more important rank: as many as it needs on
	// average while upstreams shed half of their calls.
	reservedPerCall = 1
	// minRankFraction is the fraction of the share that every rank may use, however many more important calls there are.
	minRankFraction = 0.25
	// scarceFactor is how many times the share the calls up to a rank must need before a call may use the less of it the
	// fewer calls of its run have been answered. Below that, what is kept for later calls is left over.
	scarceFactor = 2
)

// CountRank counts a call of a rank, besides CountCall or CountInducedRetry.
func (rat *Ratio) CountRank(now time.Time, rank int) {
	rat.byRank[rankIndex(rank)].add(unixSecond(now), 1)
}

// needed returns how many retries the recent calls of ranks more important than a rank are expected to need.
func (rat *Ratio) needed(sec uint64, rank int) float64 {
	need := 0.0
	for i := range rank {
		need += reservedPerCall * float64(rat.recent(&rat.byRank[i], sec))
	}
	return need
}

// FractionOfRank returns the fraction of the share that calls of a rank may use: what the more important calls that
// CountRank counted lately are not expected to need. It answers this load: all upstreams of a service shed half of their
// calls, and the share, which is for ten seconds, is used up within the first one or two, mostly by the many calls of less
// important ranks.
func (rat *Ratio) FractionOfRank(now time.Time, rank int) float64 {
	sec := unixSecond(now)
	need := rat.needed(sec, rankIndex(rank))
	if need == 0 {
		return 1
	}
	return max(1-need/rat.bound(sec), minRankFraction)
}

// FractionOfRankedRun is FractionOfRank for a nested call: where the share is much too small for the calls up to its rank,
// the fraction is also that of FractionOfRun.
func (rat *Ratio) FractionOfRankedRun(now time.Time, rank, answered int) float64 {
	sec, fraction := unixSecond(now), rat.FractionOfRank(now, rank)
	if rat.needed(sec, rankIndex(rank)+1) < scarceFactor*rat.bound(sec) {
		return fraction
	}
	return fraction * FractionOfRun(answered)
}

func rankIndex(rank int) int { return min(max(rank, 0), rankCount-1) }
