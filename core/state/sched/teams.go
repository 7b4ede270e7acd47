package sched

import (
	"container/heap"
	"math"
	"time"

	"amaranthline/core/state/parts"
)

const (
	// overshootDeviations is by how many standard deviations of the number in flight the root requests of a class may
	// exceed its limit for the sake of teams within their parts, as their requests arrive at random.
	overshootDeviations = 2
	// reserveTime is how long a class keeps room free for teams within their parts after a request of one was refused.
	reserveTime = time.Second
	// overTime is how long after a request of a team above its part another one is expected.
	overTime = time.Second
	// maxReserveFraction is the largest fraction of a class's limit that is kept free.
	maxReserveFraction = 0.5
	// importantDeviations is by how many standard deviations of their number the calls of more important classes may
	// grow into the free slots before a class exceeds its limit.
	importantDeviations = 2
	// rankCount is how many ranks are told apart when slots are left to more important classes.
	rankCount = 8
)

// SetTeamWeights makes the scheduler divide the room of each class among the teams in proportion to their weights, which
// must be positive. Without weights (nil) requests are admitted in the order of their arrival.
func (sch *Scheduler) SetTeamWeights(weight func(team string) float64) {
	sch.teamWeight = weight
	for _, lim := range sch.classes {
		switch {
		case weight == nil:
			lim.ledger = nil
		case lim.ledger != nil:
			lim.ledger.SetWeights(weight)
		}
	}
}

// Teams returns how many teams are tracked, those of each class counted separately.
func (sch *Scheduler) Teams() int {
	count := 0
	for _, lim := range sch.classes {
		if lim.ledger != nil {
			count += lim.ledger.Teams()
		}
	}
	return count
}

// TakeEvicted returns the queued calls that have had to make room for calls of teams within their parts since the last
// time. They hold no slot.
func (sch *Scheduler) TakeEvicted() []*Task {
	evicted := sch.evicted
	sch.evicted = nil
	return evicted
}

// RetryAfter returns when the team of a call that was refused because of its team's part is within its part again.
func (tas *Task) RetryAfter() time.Duration { return tas.retryAfter }

// overPart reports whether the team of a root request was above its part when it asked.
func (tas *Task) overPart() bool { return tas.excess > 0 }

// admitToClass decides whether a root request finds room in its class. A team above its part is refused at the limit of
// the class, so it may use what others leave. While there are such teams, one within its part takes the place of a queued
// request of theirs or exceeds the limit, until enough of their requests have ended.
func (sch *Scheduler) admitToClass(now time.Time, lim *classLimiter, tas *Task) Decision {
	limit := lim.limit(now, sch.slots)
	if sch.teamWeight == nil {
		if lim.inFlight >= limit {
			return ClassLimitReached
		}
		return Admitted
	}
	if lim.ledger == nil {
		lim.ledger = parts.New(sch.teamWeight)
	}
	tas.ledger, tas.askedAt = lim.ledger, now
	lim.ledger.Ask(now, tas.spec.Team, tas.spec.TeamLoad)
	tas.excess = lim.ledger.Excess(now, tas.spec.Team)
	if tas.overPart() {
		lim.overUntil = now.Add(overTime)
	}
	switch {
	case !tas.overPart() && lim.inFlight < limit:
		return Admitted
	case !tas.overPart():
		if sch.evictFor(now, tas) {
			return Admitted
		}
		if !sch.leavesRoomForImportant(tas.spec.Rank) {
			lim.reservedUntil = now.Add(reserveTime)
		} else if now.Before(lim.overUntil) && lim.inFlight < limit+lim.overshoot(now, limit) {
			return Admitted
		}
		return ClassLimitReached
	case now.Before(lim.reservedUntil):
		limit -= int(min(overshootDeviations*math.Sqrt(float64(limit)), maxReserveFraction*float64(limit)))
	}
	if lim.inFlight >= limit {
		return sch.refuseForPart(now, tas)
	}
	return Admitted
}

// overshoot returns by how many root requests teams within their parts may exceed the limit. While most root requests fail,
// the limit is low because each one costs work at services deeper in the call chain.
func (lim *classLimiter) overshoot(now time.Time, limit int) int {
	ratio := lim.totals(now).successRatio()
	return int(overshootDeviations * math.Sqrt(float64(limit)) * ratio * ratio)
}

// refuseForPart records when a refused request's team is within its part again.
func (sch *Scheduler) refuseForPart(now time.Time, tas *Task) Decision {
	tas.retryAfter = tas.ledger.RetryAfter(now, tas.spec.Team)
	return PartExceeded
}

// important returns how many calls that are more important than a rank are queued or hold a slot.
func (sch *Scheduler) important(rank int) int {
	count := 0
	for _, calls := range sch.byRank[:rankIndex(rank)] {
		count += calls
	}
	return count
}

// leavesRoomForImportant reports whether the slots suffice for the random variation of the calls that are more important
// than a rank. Without any such call no slot needs to be free.
func (sch *Scheduler) leavesRoomForImportant(rank int) bool {
	important := sch.important(rank)
	free := sch.slots - sch.inFlight - len(sch.queue)
	return important == 0 || float64(free) > importantDeviations*math.Sqrt(float64(important))
}

func rankIndex(rank int) int { return min(max(rank, 0), rankCount-1) }

// evictFor refuses the queued root request of a task's class whose team is furthest above its part, among those due
// before the task if that has a due time. It returns false if there is none. Beside more important calls there is
// no exchange: the task would wait longer than the rest of the other's time, and its class would get more slots than by
// arrival.
func (sch *Scheduler) evictFor(now time.Time, tas *Task) bool {
	if sch.important(tas.spec.Rank) > 0 {
		return false
	}
	var worst *Task
	for _, queued := range sch.queue {
		switch {
		case !queued.spec.IsRoot || queued.spec.Class != tas.spec.Class || !queued.overPart():
		case !tas.dueAt.IsZero() && queued.dueAt.After(tas.dueAt):
		case worst == nil || queued.excess > worst.excess:
			worst = queued
		}
	}
	if worst == nil {
		return false
	}
	sch.Remove(worst)
	sch.refuseForPart(now, worst)
	sch.evicted = append(sch.evicted, worst)
	return true
}

// queueFullFor decides about a call for which the queue is too long: a root request of a team within its part takes the
// place of one of its class whose team is above its part.
func (sch *Scheduler) queueFullFor(now time.Time, tas *Task) Decision {
	switch {
	case tas.ledger == nil:
		return QueueFull
	case tas.overPart():
		return sch.refuseForPart(now, tas)
	case sch.queueWait(sch.queue.dueBy(tas.dueAt)-1) <= tas.maxWait && sch.evictFor(now, tas):
		return Queued
	}
	return QueueFull
}

// preferWithinPart puts the root request whose team is least above its part in the place of the first queued call, if
// that is a root request of the same class and of a team above its part. Calls of other classes keep their places.
func (sch *Scheduler) preferWithinPart() {
	first := sch.queue[0]
	if !first.overPart() {
		return
	}
	best := first
	for _, tas := range sch.queue {
		if tas.spec.IsRoot && tas.spec.Class == first.spec.Class &&
			(tas.excess < best.excess || tas.excess == best.excess && tas.dueAt.Before(best.dueAt)) {
			best = tas
		}
	}
	if best == first {
		return
	}
	first.dueAt, best.dueAt = best.dueAt, first.dueAt
	heap.Init(&sch.queue)
}

// start counts a call as queued or holding a slot.
func (sch *Scheduler) start(now time.Time, tas *Task) {
	sch.byRank[rankIndex(tas.spec.Rank)]++
	if !tas.spec.IsRoot {
		return
	}
	sch.class(tas.spec).start(now)
	if tas.ledger != nil {
		tas.charged = tas.ledger.Charge(now, tas.spec.Team)
	}
}

// end is the counterpart of start.
func (sch *Scheduler) end(tas *Task) {
	sch.byRank[rankIndex(tas.spec.Rank)]--
	if !tas.spec.IsRoot {
		return
	}
	sch.class(tas.spec).end()
}

// endQueued is end for a call that gets no slot.
func (sch *Scheduler) endQueued(tas *Task) {
	sch.end(tas)
	if tas.ledger != nil {
		tas.ledger.Refund(tas.askedAt, tas.spec.Team, tas.charged)
	}
}

// settle replaces the expected work of a call by the time that it held its slot.
func (sch *Scheduler) settle(now time.Time, tas *Task) {
	if tas.ledger != nil {
		tas.ledger.Settle(now, tas.spec.Team, tas.charged, now.Sub(tas.slotAt))
	}
}
