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
	windowTime    = 100 * time.Millisecond
	maxWindows    = 20   // windows without any event that are caught up one by one
	maxEntries    = 4096 // classes times teams; more share one entry for each class
	idleWindows   = 50   // windows without arrivals after which an entry is dropped
	silentWindows = 7    // a little longer than the 500 ms for which entry nodes keep a fraction
	demandWeight  = 0.3  // weight of a window in the smoothed demand
	hiddenDecay   = 0.95 // per window, of a demand that is refused wholly and so cannot be measured
	fallWeight    = 0.3  // weight of a window with fewer completions in the smoothed capacity
	riseWeight    = 0.6  // weight of a window with more completions; they prove capacity
	leastFraction = 0.01 // a smaller one is taken for 0, because one arrival below it would show a huge demand
	pressure      = 1.05 // level over capacity; the queue always has a call for a free place
	firstStep     = 1.15 // first raise of the level after an overload
	maxStep       = 2.0  // largest raise of the level per window
	minLevel      = 1    // calls per window; lets the level rise again after a window without completions
	calmWindows   = 5    // windows without overload and with room for all demand that end the overload
	overloadShare = 0.1  // part of the completions in a window that must have met overload
	overflowTeam  = "\x00overflow"
)

// Settings configures a Controller; zero fields take defaults.
type Settings struct {
	Interval time.Duration // time between two divisions
}

type key struct {
	rank int
	team string
}

// entry counts the calls of one class and team.
type entry struct {
	key
	within  atomic.Int64  // arrivals below the fraction in this window
	beyond  atomic.Int64  // arrivals at or above the fraction in this window
	limited atomic.Bool   // the fraction is below 1
	share   atomic.Uint64 // bits of the fraction

	demand float64 // calls per window
	quiet  int     // windows without arrivals
}

func (ent *entry) fraction() float64 { return math.Float64frombits(ent.share.Load()) }

func (ent *entry) set(fraction float64) {
	if fraction < leastFraction {
		fraction = 0
	}
	ent.share.Store(math.Float64bits(fraction))
	ent.limited.Store(fraction < 1)
}

// Controller divides the capacity of an upstream by class order and, in the class that fits only in part,
// by max-min fairness among teams. It is safe for concurrent use; arrivals take no lock.
type Controller struct {
	window   time.Duration
	entries  atomic.Pointer[map[key]*entry]
	end      atomic.Int64 // Unix nanoseconds
	marginal atomic.Int64 // rank that fits only in part; lower classes are refused
	done     atomic.Int64
	waited   atomic.Int64 // events that showed overload in this window

	mu       sync.Mutex
	level    float64 // calls per window, infinite without overload
	capacity float64 // calls per window
	step     float64
	calm     int // windows in a row without overload
}

const noMarginal = math.MaxInt64

// NewController returns a controller that admits everything until it observes an overload.
func NewController(set Settings) *Controller {
	con := &Controller{window: set.Interval, level: math.Inf(1), step: firstStep}
	if con.window <= 0 {
		con.window = windowTime
	}
	con.entries.Store(&map[key]*entry{})
	con.marginal.Store(noMarginal)
	return con
}

// Admit counts a call and says whether it is admitted. Nested calls are admitted by the same fraction as new
// ones, so that all hops of a chain shed the same roots.
func (con *Controller) Admit(now time.Time, rank int, team string, hash uint32, _ bool) bool {
	con.roll(now)
	ent := con.entry(key{rank, team})
	if below(hash, ent.fraction()) {
		ent.within.Add(1)
		return true
	}
	ent.beyond.Add(1)
	return false
}

func below(hash uint32, fraction float64) bool { return float64(hash) < fraction*core.HashSpace }

// Completed counts an answer of the upstream.
func (con *Controller) Completed(now time.Time) {
	con.roll(now)
	con.done.Add(1)
}

// ObserveOverload counts an event that shows overload: a call that waited long for its place, or found none.
func (con *Controller) ObserveOverload(now time.Time, overloaded bool) {
	con.roll(now)
	if overloaded {
		con.waited.Add(1)
	}
}

// Fraction returns the part of the roots of a class and team that is admitted.
func (con *Controller) Fraction(now time.Time, rank int, team string) float64 {
	con.roll(now)
	if ent, ok := (*con.entries.Load())[key{rank, team}]; ok {
		return ent.fraction()
	}
	return con.unknown(rank)
}

// unknown returns the fraction of a class and team without arrivals. A new team of the class that fits
// in part is taken for one that asks for less than its fair part.
func (con *Controller) unknown(rank int) float64 {
	if int64(rank) > con.marginal.Load() {
		return 0
	}
	return 1
}

// QueueOrder maps a hash to a place in the queue: calls of teams within their fair part go first, and among
// those of one team the order of the hashes stays.
func (con *Controller) QueueOrder(rank int, team string, hash uint32) uint32 {
	ent, ok := (*con.entries.Load())[key{rank, team}]
	if !ok || !ent.limited.Load() {
		return hash / 2
	}
	const half = core.HashSpace / 2
	part := float64(hash) / core.HashSpace / max(ent.fraction(), 1.0/core.HashSpace)
	return uint32(half + min(part*half, half-1))
}

// TrackedEntries returns how many entries of classes and teams are kept.
func (con *Controller) TrackedEntries() int { return len(*con.entries.Load()) }

func (con *Controller) entry(id key) *entry {
	if ent, ok := (*con.entries.Load())[id]; ok {
		return ent
	}
	return con.add(id)
}

func (con *Controller) add(id key) *entry {
	con.mu.Lock()
	defer con.mu.Unlock()
	old := *con.entries.Load()
	if ent, ok := old[id]; ok {
		return ent
	}
	if len(old) >= maxEntries {
		id.team = overflowTeam
		if ent, ok := old[id]; ok {
			return ent
		}
	}
	ent := &entry{key: id}
	ent.set(con.unknown(id.rank))
	next := maps.Clone(old)
	next[id] = ent
	con.entries.Store(&next)
	return ent
}

// roll closes the windows that have ended. Only one caller does it; the others go on with the old fractions.
func (con *Controller) roll(now time.Time) {
	at := now.UnixNano()
	if at < con.end.Load() || !con.mu.TryLock() {
		return
	}
	defer con.mu.Unlock()
	end := con.end.Load()
	if at < end {
		return
	}
	width := con.window.Nanoseconds()
	gone := int64(1)
	if end > 0 {
		gone += (at - end) / width
	}
	for range min(gone, maxWindows) {
		con.close()
	}
	if end == 0 {
		end = at
	}
	con.end.Store(end + gone*width)
}

func (con *Controller) close() {
	completed := float64(con.done.Swap(0))
	waited := float64(con.waited.Swap(0))
	con.measure()
	con.adjust(completed, waited > overloadShare*completed)
	con.divide()
}

// measure estimates the demand of each entry and drops idle ones.
func (con *Controller) measure() {
	entries := *con.entries.Load()
	idle := 0
	for _, ent := range entries {
		if ent.measure(); ent.quiet >= idleWindows {
			idle++
		}
	}
	if idle == 0 {
		return
	}
	kept := make(map[key]*entry, len(entries)-idle)
	for id, ent := range entries {
		if ent.quiet < idleWindows {
			kept[id] = ent
		}
	}
	con.entries.Store(&kept)
}

func (ent *entry) measure() {
	within, beyond := float64(ent.within.Swap(0)), float64(ent.beyond.Swap(0))
	seen := within + beyond
	ent.quiet++
	if seen > 0 {
		ent.quiet = 0
	}
	fraction := ent.fraction()
	switch {
	case fraction > 0:
		found := max(within/fraction, seen)
		if ent.demand == 0 {
			ent.demand = found
		}
		ent.demand += demandWeight * (found - ent.demand)
	case ent.quiet >= silentWindows:
		ent.demand = 0
	default:
		// Entry nodes refuse all roots and send only a few to learn the fraction anew.
		ent.demand = max(ent.demand*hiddenDecay, seen)
	}
}

// adjust sets the level from the capacity that an overloaded window shows, or raises it.
func (con *Controller) adjust(completed float64, overloaded bool) {
	if overloaded {
		if math.IsInf(con.level, 1) {
			con.capacity = completed
		}
		weight := fallWeight
		if completed > con.capacity {
			weight = riseWeight
		}
		con.capacity += weight * (completed - con.capacity)
		con.level = max(min(con.level, con.capacity*pressure), minLevel)
		con.step = firstStep
		con.calm = 0
		return
	}
	con.calm++
	con.level = max(con.level, completed) * con.step
	con.step = min(con.step*con.step, maxStep)
}

// divide gives the level to the classes in order of their rank.
func (con *Controller) divide() {
	if math.IsInf(con.level, 1) {
		return
	}
	entries := slices.SortedFunc(maps.Values(*con.entries.Load()), func(one, two *entry) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.demand, two.demand))
	})
	left := con.level
	marginal := int64(noMarginal)
	for len(entries) > 0 {
		rank := entries[0].rank
		count := slices.IndexFunc(entries, func(ent *entry) bool { return ent.rank != rank })
		if count < 0 {
			count = len(entries)
		}
		class := entries[:count]
		entries = entries[count:]
		if marginal != noMarginal {
			refuse(class)
			continue
		}
		rest := share(class, left)
		if rest <= 0 {
			marginal = int64(rank)
		}
		left = rest
	}
	con.marginal.Store(marginal)
	if marginal == noMarginal && con.calm >= calmWindows {
		con.level = math.Inf(1)
	}
}

func refuse(class []*entry) {
	for _, ent := range class {
		ent.set(0)
	}
}

// share divides a level by max-min fairness among the teams of a class, in order of their demands, and
// returns what is left. A team that asks for less than its fair part gets all of it.
func share(class []*entry, level float64) float64 {
	for i, ent := range class {
		fair := level / float64(len(class)-i)
		if ent.demand <= fair {
			ent.set(1)
			level -= ent.demand
			continue
		}
		ent.set(fair / ent.demand)
		level -= fair
		if i == len(class)-1 {
			level = 0
		}
	}
	return level
}
