package admit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

// Each window the controller divides a level, the calls per window that the node lets through, among the
// demands of classes and teams. Two rules keep it right although the entry nodes already refuse roots by
// the fractions that they learned from here:
//
// Demand is measured, not what still arrives. The hashes of roots are uniform, so the arrivals below the
// fraction, divided by the fraction, are the whole demand, whether or not the entry nodes refuse the rest.
// A division by arrivals would find that all fit, admit everything, and swing between the two states.
//
// The level is raised step by step while the queue is not overloaded, because completions only show the
// capacity while there is more work than places; at other times they show the demand.

const (
	defaultInterval    = 100 * time.Millisecond
	maxCatchUp         = 20   // windows without any event that are caught up one by one
	maxEntries         = 4096 // classes times teams; more share one entry for each class
	maxIdle            = 50   // windows without arrivals after which an entry is dropped
	fractionExpiry     = 7    // a little longer than the 500 ms for which entry nodes keep a fraction
	demandWeight       = 0.3  // weight of a window in the smoothed demand
	refusedDemandDecay = 0.95 // per window, of a demand that is refused wholly and so cannot be measured
	capacityFallWeight = 0.3  // weight of a window with fewer completions in the smoothed capacity
	capacityRiseWeight = 0.6  // weight of a window with more completions; they prove capacity
	minFraction        = 0.01 // a smaller one is taken for 0, because one arrival below it would show a huge demand
	rateOverCapacity   = 1.05 // level over capacity; the queue always has a call for a free place
	firstRaise         = 1.15 // first raise of the level after an overload
	maxRaise           = 2.0  // largest raise of the level per window
	minAdmitRate       = 1    // calls per window; lets the level rise again after a window without completions
	recoveryIntervals  = 5    // windows without overload and with room for all demand that end the overload
	overloadThreshold  = 0.1  // part of the completions in a window that must have met overload
	overflowTeam       = "\x00overflow"
)

// Settings configures a Controller; zero fields take defaults.
type Settings struct {
	Interval time.Duration // time between two divisions
}

type entryKey struct {
	rank int
	team string
}

// entry counts the calls of one class and team.
type entry struct {
	entryKey
	admitted     atomic.Int64  // arrivals below the fraction in this window
	refused      atomic.Int64  // arrivals at or above the fraction in this window
	limited      atomic.Bool   // the fraction is below 1
	fractionBits atomic.Uint64 // bits of the fraction

	demand float64 // calls per window
	idle   int     // windows without arrivals
}

func (ent *entry) fraction() float64 { return math.Float64frombits(ent.fractionBits.Load()) }

func (ent *entry) setFraction(fraction float64) {
	if fraction < minFraction {
		fraction = 0
	}
	ent.fractionBits.Store(math.Float64bits(fraction))
	ent.limited.Store(fraction < 1)
}

// Controller divides the capacity of an upstream by class order and, in the class that fits only in part,
// by max-min fairness among teams. It is safe for concurrent use; arrivals take no lock.
type Controller struct {
	interval     time.Duration
	entries      atomic.Pointer[map[entryKey]*entry]
	intervalEnd  atomic.Int64 // Unix nanoseconds
	marginalRank atomic.Int64 // rank that fits only in part; lower classes are refused
	completed    atomic.Int64
	overloads    atomic.Int64 // events that showed overload in this window

	mu            sync.Mutex
	admitRate     float64 // calls per window, infinite without overload
	capacity      float64 // calls per window
	raiseFactor   float64
	calmIntervals int // windows in a row without overload
}

const noMarginalRank = math.MaxInt64

// NewController returns a controller that admits everything until it observes an overload.
func NewController(set Settings) *Controller {
	con := &Controller{interval: set.Interval, admitRate: math.Inf(1), raiseFactor: firstRaise}
	if con.interval <= 0 {
		con.interval = defaultInterval
	}
	con.entries.Store(&map[entryKey]*entry{})
	con.marginalRank.Store(noMarginalRank)
	return con
}

// Admit counts a call and says whether it is admitted. Nested calls are admitted by the same fraction as new
// ones, so that all hops of a chain shed the same roots.
func (con *Controller) Admit(now time.Time, rank int, team string, hash uint32, _ bool) bool {
	con.advance(now)
	ent := con.entryFor(entryKey{rank, team})
	if hashBelow(hash, ent.fraction()) {
		ent.admitted.Add(1)
		return true
	}
	ent.refused.Add(1)
	return false
}

func hashBelow(hash uint32, fraction float64) bool { return float64(hash) < fraction*core.HashSpace }

// Completed counts an answer of the upstream.
func (con *Controller) Completed(now time.Time) {
	con.advance(now)
	con.completed.Add(1)
}

// ObserveOverload counts an event that shows overload: a call that waited long for its place, or found none.
func (con *Controller) ObserveOverload(now time.Time, overloaded bool) {
	con.advance(now)
	if overloaded {
		con.overloads.Add(1)
	}
}

// Fraction returns the part of the roots of a class and team that is admitted.
func (con *Controller) Fraction(now time.Time, rank int, team string) float64 {
	con.advance(now)
	if ent, ok := (*con.entries.Load())[entryKey{rank, team}]; ok {
		return ent.fraction()
	}
	return con.defaultFraction(rank)
}

// unknown returns the fraction of a class and team without arrivals. A new team of the class that fits
// in part is taken for one that asks for less than its fair part.
func (con *Controller) defaultFraction(rank int) float64 {
	if int64(rank) > con.marginalRank.Load() {
		return 0
	}
	return 1
}

// QueueOrder maps a hash to a place in the queue: calls of teams within their fair part go first, and among
// those of one team the order of the hashes stays.
func (con *Controller) QueueOrder(rank int, team string, hash uint32) uint32 {
	ent, ok := (*con.entries.Load())[entryKey{rank, team}]
	if !ok || !ent.limited.Load() {
		return hash / 2
	}
	const half = core.HashSpace / 2
	relative := float64(hash) / core.HashSpace / max(ent.fraction(), 1.0/core.HashSpace)
	return uint32(half + min(relative*half, half-1))
}

// TrackedEntries returns how many entries of classes and teams are kept.
func (con *Controller) TrackedEntries() int { return len(*con.entries.Load()) }

func (con *Controller) entryFor(id entryKey) *entry {
	if ent, ok := (*con.entries.Load())[id]; ok {
		return ent
	}
	return con.addEntry(id)
}

func (con *Controller) addEntry(id entryKey) *entry {
	con.mu.Lock()
	defer con.mu.Unlock()
	entries := *con.entries.Load()
	if ent, ok := entries[id]; ok {
		return ent
	}
	if len(entries) >= maxEntries {
		id.team = overflowTeam
		if ent, ok := entries[id]; ok {
			return ent
		}
	}
	ent := &entry{entryKey: id}
	ent.setFraction(con.defaultFraction(id.rank))
	extended := maps.Clone(entries)
	extended[id] = ent
	con.entries.Store(&extended)
	return ent
}

// roll closes the windows that have ended. Only one caller does it; the others go on with the old fractions.
func (con *Controller) advance(now time.Time) {
	nowNanos := now.UnixNano()
	if nowNanos < con.intervalEnd.Load() || !con.mu.TryLock() {
		return
	}
	defer con.mu.Unlock()
	end := con.intervalEnd.Load()
	if nowNanos < end {
		return
	}
	length := con.interval.Nanoseconds()
	elapsed := int64(1)
	if end > 0 {
		elapsed += (nowNanos - end) / length
	}
	for range min(elapsed, maxCatchUp) {
		con.closeInterval()
	}
	if end == 0 {
		end = nowNanos
	}
	con.intervalEnd.Store(end + elapsed*length)
}

func (con *Controller) closeInterval() {
	completed := float64(con.completed.Swap(0))
	overloads := float64(con.overloads.Swap(0))
	con.measureDemands()
	con.adjustAdmitRate(completed, overloads > overloadThreshold*completed)
	con.assignFractions()
}

// measure estimates the demand of each entry and drops idle ones.
func (con *Controller) measureDemands() {
	entries := *con.entries.Load()
	idleEntries := 0
	for _, ent := range entries {
		if ent.measureDemand(); ent.idle >= maxIdle {
			idleEntries++
		}
	}
	if idleEntries == 0 {
		return
	}
	kept := make(map[entryKey]*entry, len(entries)-idleEntries)
	for id, ent := range entries {
		if ent.idle < maxIdle {
			kept[id] = ent
		}
	}
	con.entries.Store(&kept)
}

func (ent *entry) measureDemand() {
	admitted, refused := float64(ent.admitted.Swap(0)), float64(ent.refused.Swap(0))
	arrivals := admitted + refused
	ent.idle++
	if arrivals > 0 {
		ent.idle = 0
	}
	fraction := ent.fraction()
	switch {
	case fraction > 0:
		measured := max(admitted/fraction, arrivals)
		if ent.demand == 0 {
			ent.demand = measured
		}
		ent.demand += demandWeight * (measured - ent.demand)
	case ent.idle >= fractionExpiry:
		ent.demand = 0
	default:
		// Entry nodes refuse all roots and send only a few to learn the fraction anew.
		ent.demand = max(ent.demand*refusedDemandDecay, arrivals)
	}
}

// adjust sets the level from the capacity that an overloaded window shows, or raises it.
func (con *Controller) adjustAdmitRate(completed float64, overloaded bool) {
	if overloaded {
		if math.IsInf(con.admitRate, 1) {
			con.capacity = completed
		}
		weight := capacityFallWeight
		if completed > con.capacity {
			weight = capacityRiseWeight
		}
		con.capacity += weight * (completed - con.capacity)
		con.admitRate = max(min(con.admitRate, con.capacity*rateOverCapacity), minAdmitRate)
		con.raiseFactor = firstRaise
		con.calmIntervals = 0
		return
	}
	con.calmIntervals++
	con.admitRate = max(con.admitRate, completed) * con.raiseFactor
	con.raiseFactor = min(con.raiseFactor*con.raiseFactor, maxRaise)
}

// divide gives the level to the classes in order of their rank.
func (con *Controller) assignFractions() {
	if math.IsInf(con.admitRate, 1) {
		return
	}
	entries := slices.SortedFunc(maps.Values(*con.entries.Load()), func(one, two *entry) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.demand, two.demand))
	})
	remaining := con.admitRate
	marginal := int64(noMarginalRank)
	for len(entries) > 0 {
		rank := entries[0].rank
		count := slices.IndexFunc(entries, func(ent *entry) bool { return ent.rank != rank })
		if count < 0 {
			count = len(entries)
		}
		class := entries[:count]
		entries = entries[count:]
		if marginal != noMarginalRank {
			refuseClass(class)
			continue
		}
		unused := shareMaxMin(class, remaining)
		if unused <= 0 {
			marginal = int64(rank)
		}
		remaining = unused
	}
	con.marginalRank.Store(marginal)
	if marginal == noMarginalRank && con.calmIntervals >= recoveryIntervals {
		con.admitRate = math.Inf(1)
	}
}

func refuseClass(class []*entry) {
	for _, ent := range class {
		ent.setFraction(0)
	}
}

// share divides a level by max-min fairness among the teams of a class, in order of their demands, and
// returns what is left. A team that asks for less than its fair part gets all of it.
func shareMaxMin(class []*entry, rate float64) float64 {
	for i, ent := range class {
		fairShare := rate / float64(len(class)-i)
		if ent.demand <= fairShare {
			ent.setFraction(1)
			rate -= ent.demand
			continue
		}
		ent.setFraction(fairShare / ent.demand)
		rate -= fairShare
		if i == len(class)-1 {
			rate = 0
		}
	}
	return rate
}
