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

// At the end of each interval the controller divides the admission rate, the number of calls that the node admits
// per interval, among the demands of classes and teams. Entry nodes learn the resulting fractions and refuse root
// requests by them, so the calls that arrive here are not the whole demand. Two rules follow:
//
// The controller divides the rate by estimated demand, not by arrivals. The hashes of root requests are uniformly
// distributed, so the number of arrivals whose hash is below the fraction, divided by the fraction, estimates the
// whole demand, whether or not the entry nodes refuse the rest. Dividing by arrivals would find that all of them
// fit, admit everything, and oscillate between the two states.
//
// The admission rate rises step by step while the queue is not overloaded, because completions show the capacity
// only while there are more calls than slots; at other times they show the demand.

const (
	defaultInterval = 100 * time.Millisecond
	maxCatchUp      = 20   // intervals that are closed one by one after a time without events; more are skipped
	maxTeamClasses  = 4096 // pairs of class and team; further teams share one teamClass per class
	maxIdle         = 50   // intervals without arrivals after which a teamClass is dropped
	// Intervals without arrivals after which a demand refused in full counts as 0; longer than the 500 ms for which
	// entry nodes keep a fraction.
	fractionExpiry     = 7
	demandWeight       = 0.3  // weight of the last interval in the smoothed demand
	refusedDemandDecay = 0.95 // factor per interval for a demand that is refused in full and so cannot be measured
	capacityFallWeight = 0.3  // weight of an interval with fewer completions than the smoothed capacity
	// Weight of an interval with more completions; larger, because completions prove capacity.
	capacityRiseWeight = 0.6
	// Smaller fractions become 0, because one arrival below such a fraction would imply a huge demand.
	minFraction = 0.01
	// Admission rate divided by capacity; above 1, so that the queue always has a call for a free slot.
	rateOverCapacity = 1.05
	firstRaise       = 1.15 // first factor by which the admission rate rises after an overload
	maxRaise         = 2.0  // largest factor by which the admission rate rises per interval
	// Calls per interval; lets the admission rate rise again after an interval without completions.
	minAdmitRate = 1
	// Intervals in a row without overload after which the rate becomes unlimited, if it covers all demand.
	recoveryIntervals = 5
	overloadThreshold = 0.1            // overload events divided by completions above which an interval is overloaded
	overflowTeam      = "\x00overflow" // stands for all teams beyond maxTeamClasses
)

// Settings configures a Controller; zero fields take defaults.
type Settings struct {
	Interval time.Duration // time between two divisions of the admission rate
}

type teamClassKey struct {
	rank int
	team string
}

// teamClass counts the calls of one class and team.
type teamClass struct {
	teamClassKey
	admitted     atomic.Int64  // calls admitted in this interval: their hash is below the fraction
	refused      atomic.Int64  // calls refused in this interval
	limited      atomic.Bool   // the fraction is below 1
	fractionBits atomic.Uint64 // float64 bits of the fraction of calls that is admitted

	demand float64 // calls per interval, smoothed
	idle   int     // intervals in a row without arrivals
}

func (tec *teamClass) fraction() float64 { return math.Float64frombits(tec.fractionBits.Load()) }

func (tec *teamClass) setFraction(fraction float64) {
	if fraction < minFraction {
		fraction = 0
	}
	tec.fractionBits.Store(math.Float64bits(fraction))
	tec.limited.Store(fraction < 1)
}

// Controller divides the capacity of an upstream among classes in the order of their rank, and among the teams of the
// class that fits only in part by max-min fairness. It is safe for concurrent use; calls of known teams take no lock
// except to end an interval.
type Controller struct {
	interval     time.Duration
	teamClasses  atomic.Pointer[map[teamClassKey]*teamClass]
	intervalEnd  atomic.Int64 // Unix nanoseconds
	marginalRank atomic.Int64 // rank of the class that fits only in part; classes of a higher rank number are refused
	completed    atomic.Int64
	overloads    atomic.Int64 // calls in this interval that waited long for a slot or found none

	mut           sync.Mutex
	admitRate     float64 // calls per interval, infinite without overload
	capacity      float64 // completions per interval, smoothed over overloaded intervals
	raiseFactor   float64 // factor of the next raise of admitRate
	calmIntervals int     // intervals in a row without overload
}

const noMarginalRank = math.MaxInt64

// NewController returns a controller that admits everything until it observes an overload.
func NewController(set Settings) *Controller {
	con := &Controller{interval: set.Interval, admitRate: math.Inf(1), raiseFactor: firstRaise}
	if con.interval <= 0 {
		con.interval = defaultInterval
	}
	con.teamClasses.Store(&map[teamClassKey]*teamClass{})
	con.marginalRank.Store(noMarginalRank)
	return con
}

// Admit counts a call and reports whether it is admitted. Nested calls are admitted by the same fraction as root
// requests, so that all hops of a chain shed the calls of the same root requests.
func (con *Controller) Admit(now time.Time, rank int, team string, hash uint32, _ bool) bool {
	con.advance(now)
	tec := con.teamClassFor(teamClassKey{rank, team})
	if hashBelow(hash, tec.fraction()) {
		tec.admitted.Add(1)
		return true
	}
	tec.refused.Add(1)
	return false
}

func hashBelow(hash uint32, fraction float64) bool {
	return float64(hash) < fraction*core.AdmissionHashSpace
}

// Completed counts an answer of the upstream.
func (con *Controller) Completed(now time.Time) {
	con.advance(now)
	con.completed.Add(1)
}

// ObserveOverload counts a call if overloaded is true, that is if the call waited long for its slot or found none.
func (con *Controller) ObserveOverload(now time.Time, overloaded bool) {
	con.advance(now)
	if overloaded {
		con.overloads.Add(1)
	}
}

// Fraction returns the fraction of the root requests of a class and team that is admitted.
func (con *Controller) Fraction(now time.Time, rank int, team string) float64 {
	con.advance(now)
	if tec, ok := (*con.teamClasses.Load())[teamClassKey{rank, team}]; ok {
		return tec.fraction()
	}
	return con.defaultFraction(rank)
}

// defaultFraction returns the fraction of a class and team without arrivals. In the class that fits only in part, a
// new team is assumed to ask for less than its fair share.
func (con *Controller) defaultFraction(rank int) float64 {
	if int64(rank) > con.marginalRank.Load() {
		return 0
	}
	return 1
}

// QueueOrder maps the hash of a call to its order in the queue within its class: calls of teams within their fair
// share come first, and calls of one team keep the order of their hashes.
func (con *Controller) QueueOrder(rank int, team string, hash uint32) uint32 {
	tec, ok := (*con.teamClasses.Load())[teamClassKey{rank, team}]
	if !ok || !tec.limited.Load() {
		return hash / 2
	}
	const half = core.AdmissionHashSpace / 2
	relative := float64(hash) / core.AdmissionHashSpace / max(tec.fraction(), 1.0/core.AdmissionHashSpace)
	return uint32(half + min(relative*half, half-1))
}

// TrackedTeamClasses returns how many pairs of class and team are kept.
func (con *Controller) TrackedTeamClasses() int { return len(*con.teamClasses.Load()) }

func (con *Controller) teamClassFor(id teamClassKey) *teamClass {
	if tec, ok := (*con.teamClasses.Load())[id]; ok {
		return tec
	}
	return con.addTeamClass(id)
}

func (con *Controller) addTeamClass(id teamClassKey) *teamClass {
	con.mut.Lock()
	defer con.mut.Unlock()
	teamClasses := *con.teamClasses.Load()
	if tec, ok := teamClasses[id]; ok {
		return tec
	}
	if len(teamClasses) >= maxTeamClasses {
		id.team = overflowTeam
		if tec, ok := teamClasses[id]; ok {
			return tec
		}
	}
	tec := &teamClass{teamClassKey: id}
	tec.setFraction(con.defaultFraction(id.rank))
	extended := maps.Clone(teamClasses)
	extended[id] = tec
	con.teamClasses.Store(&extended)
	return tec
}

// advance closes the intervals that have ended. Only one caller does so; the others go on with the old fractions.
func (con *Controller) advance(now time.Time) {
	nowNanos := now.UnixNano()
	if nowNanos < con.intervalEnd.Load() || !con.mut.TryLock() {
		return
	}
	defer con.mut.Unlock()
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
	con.divideAdmitRate()
}

// measureDemands estimates the demand of each teamClass and drops those that are idle.
func (con *Controller) measureDemands() {
	teamClasses := *con.teamClasses.Load()
	idleCount := 0
	for _, tec := range teamClasses {
		if tec.measureDemand(); tec.idle >= maxIdle {
			idleCount++
		}
	}
	if idleCount == 0 {
		return
	}
	kept := make(map[teamClassKey]*teamClass, len(teamClasses)-idleCount)
	for id, tec := range teamClasses {
		if tec.idle < maxIdle {
			kept[id] = tec
		}
	}
	con.teamClasses.Store(&kept)
}

func (tec *teamClass) measureDemand() {
	admitted, refused := float64(tec.admitted.Swap(0)), float64(tec.refused.Swap(0))
	arrivals := admitted + refused
	tec.idle++
	if arrivals > 0 {
		tec.idle = 0
	}
	fraction := tec.fraction()
	switch {
	case fraction > 0:
		measured := max(admitted/fraction, arrivals)
		if tec.demand == 0 {
			tec.demand = measured
		}
		tec.demand += demandWeight * (measured - tec.demand)
	case tec.idle >= fractionExpiry:
		tec.demand = 0
	default:
		// Entry nodes refuse all root requests but a few, which they send to learn the fraction again.
		tec.demand = max(tec.demand*refusedDemandDecay, arrivals)
	}
}

// adjustAdmitRate limits the admission rate by the capacity that an overloaded interval shows, or else raises it.
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

// divideAdmitRate divides the admission rate among the classes in the order of their rank, and within a class fairly
// among the teams.
func (con *Controller) divideAdmitRate() {
	if math.IsInf(con.admitRate, 1) {
		return
	}
	byRank := slices.SortedFunc(maps.Values(*con.teamClasses.Load()), func(one, two *teamClass) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.demand, two.demand))
	})
	remaining := con.admitRate
	marginal := int64(noMarginalRank)
	for len(byRank) > 0 {
		rank := byRank[0].rank
		count := slices.IndexFunc(byRank, func(tec *teamClass) bool { return tec.rank != rank })
		if count < 0 {
			count = len(byRank)
		}
		class := byRank[:count]
		byRank = byRank[count:]
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

func refuseClass(class []*teamClass) {
	for _, tec := range class {
		tec.setFraction(0)
	}
}

// shareMaxMin divides a rate by max-min fairness among the teams of a class, which must be sorted by demand, and
// returns the unused part. A team that asks for no more than its fair share gets its whole demand.
func shareMaxMin(class []*teamClass, rate float64) float64 {
	for i, tec := range class {
		fairShare := rate / float64(len(class)-i)
		if tec.demand <= fairShare {
			tec.setFraction(1)
			rate -= tec.demand
			continue
		}
		tec.setFraction(fairShare / tec.demand)
		rate -= fairShare
		if i == len(class)-1 {
			rate = 0
		}
	}
	return rate
}
