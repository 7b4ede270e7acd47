package sched

import "time"

// rootFloor is the fraction of the root requests of a class that goes before all other calls, so that no class is shut out
// by more important ones and by calls of requests in progress.
const rootFloor = 0.3

// SetRankOrder makes root requests wait behind the nested calls of their rank and of more important ones. Without it they
// are due at the end of their longest wait, whatever their rank.
func (sch *Scheduler) SetRankOrder(enabled bool) { sch.rankOrder = enabled }

// rootDueAt returns when a root request with a longest wait is due: after the nested calls of its rank that arrive at the
// same time, and before those of the next rank. The order by rank answers this load: a service has too little room, because
// root requests at services above it make several calls each to it. Root requests of its own that go before these calls
// cost the work done for those above.
func (sch *Scheduler) rootDueAt(now time.Time, spec TaskSpec, maxWait time.Duration) time.Time {
	switch {
	case !sch.rankOrder:
		return now.Add(maxWait)
	case sch.class(spec).belowFloor(now):
		return now
	}
	nested := nestedDueOffset + time.Duration(spec.Rank)*rankDueOffset
	return now.Add(min(max(maxWait, nested), nested+rankDueOffset))
}

// belowFloor reports whether fewer of the root requests of the last second than rootFloor have got a slot.
func (lim *classLimiter) belowFloor(now time.Time) bool {
	total := lim.totals(now)
	return float64(total.begun) < rootFloor*float64(total.asked)
}

// countAsked counts a root request that arrives.
func (lim *classLimiter) countAsked(now time.Time) {
	lim.advance(now)
	lim.buckets[lim.newest%bucketCount].asked++
}

// countBegun counts a root request that gets a slot.
func (lim *classLimiter) countBegun(now time.Time) {
	lim.advance(now)
	lim.buckets[lim.newest%bucketCount].begun++
}
