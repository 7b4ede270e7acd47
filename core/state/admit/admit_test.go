package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/admit"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const interval = 100 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

// teamDemand is the demand of one class and team, in calls per interval.
type teamDemand struct {
	rank   int
	team   string
	demand int
}

// hop simulates a node with a controller, an upstream of fixed capacity, and entry nodes that learn its fractions.
type hop struct {
	con      *admit.Controller
	capacity int // calls per interval
	now      time.Time
	admitted map[teamDemand]int
	refused  map[teamDemand]int
}

func newHop(capacity int) *hop {
	return &hop{con: admit.NewController(admit.Settings{}), capacity: capacity, now: epoch}
}

// runInterval simulates one interval. The hashes of a demand are evenly spaced, so that only the division is under
// test.
func (hop *hop) runInterval(demands []teamDemand) {
	hop.now = hop.now.Add(interval)
	hop.admitted, hop.refused = map[teamDemand]int{}, map[teamDemand]int{}
	total := 0
	for _, ted := range demands {
		// Of ten root requests at or above the fraction, the entry nodes refuse nine; the tenth stands for those of entry
		// nodes that have not learned the fraction yet.
		fraction := hop.con.Fraction(hop.now, ted.rank, ted.team)
		for i := range ted.demand {
			hash := uint32((2*uint64(i) + 1) * core.AdmissionHashSpace / (2 * uint64(ted.demand)))
			if float64(hash) >= fraction*core.AdmissionHashSpace && i%10 != 0 {
				hop.refused[ted]++
				continue
			}
			if hop.con.Admit(hop.now, ted.rank, ted.team, hash, i%2 == 0) {
				hop.admitted[ted]++
				total++
				continue
			}
			hop.refused[ted]++
		}
	}
	for range min(total, hop.capacity) {
		hop.con.Completed(hop.now)
	}
	for range max(total-hop.capacity, 0) {
		hop.con.ObserveOverload(hop.now, true)
	}
}

// expectedAdmissions divides a rate in strict class order and, within a class, by max-min fairness: it grants equal
// parts to all teams whose demand is not met yet until the rate is used up.
func expectedAdmissions(demands []teamDemand, rate float64) map[teamDemand]float64 {
	admitted := map[teamDemand]float64{}
	for rank := range ranks {
		var class []teamDemand
		for _, ted := range demands {
			if ted.rank == rank {
				class = append(class, ted)
			}
		}
		for unsatisfied := class; len(unsatisfied) > 0 && rate > 1e-6; {
			perTeam := rate / float64(len(unsatisfied))
			var rest []teamDemand
			for _, ted := range unsatisfied {
				granted := min(perTeam, float64(ted.demand)-admitted[ted])
				admitted[ted] += granted
				rate -= granted
				if float64(ted.demand)-admitted[ted] > 1e-6 {
					rest = append(rest, ted)
				}
			}
			unsatisfied = rest
		}
	}
	return admitted
}

const ranks = 3

func drawDemands(rt *rapid.T) []teamDemand {
	var demands []teamDemand
	for rank := range ranks {
		for team := range rapid.IntRange(1, 4).Draw(rt, "teams") {
			demand := rapid.IntRange(10, 400).Draw(rt, "demand")
			demands = append(demands, teamDemand{rank, fmt.Sprintf("t%d", team), demand})
		}
	}
	return demands
}

// checkClassOrder fails if a call was refused in an interval in which a call of a less important class was admitted.
func (hop *hop) checkClassOrder(rt *rapid.T) {
	for refusedDemand, refusals := range hop.refused {
		for admittedDemand, admissions := range hop.admitted {
			if refusals > 0 && admissions > 0 && admittedDemand.rank > refusedDemand.rank {
				rt.Fatalf("%v was refused %d times while %v was admitted %d times", refusedDemand, refusals, admittedDemand, admissions)
			}
		}
	}
}

// Guards against dividing the rate by arrivals instead of by demand, against refusing an important class first, and
// against fractions that stay low after the overload because the entry nodes refuse calls and so hide the demand.
func TestDivisionAmongClassesAndTeams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := drawDemands(rt)
		hop := newHop(rapid.IntRange(50, 1000).Draw(rt, "capacity"))
		const settleIntervals, measuredIntervals = 40, 40
		sums := map[teamDemand]int{}
		for i := range settleIntervals + measuredIntervals {
			hop.runInterval(demands)
			hop.checkClassOrder(rt)
			for ted, count := range hop.admitted {
				if i >= settleIntervals {
					sums[ted] += count
				}
			}
		}
		// The admission rate oscillates around the capacity, because only an overload shows the capacity.
		fewest, most := expectedAdmissions(demands, 0.9*float64(hop.capacity)), expectedAdmissions(demands, 1.25*float64(hop.capacity))
		for _, ted := range demands {
			observed := float64(sums[ted]) / measuredIntervals
			slack := 2 + 0.05*float64(ted.demand)
			if observed < fewest[ted]-slack || observed > most[ted]+slack {
				rt.Fatalf("%v got %.1f calls per interval, want %.1f to %.1f", ted, observed, fewest[ted], most[ted])
			}
		}
		hop.checkRecovery(rt, demands)
	})
}

// checkRecovery ends the overload by more capacity or less demand, and fails unless all fractions are 1 within 2 s.
func (hop *hop) checkRecovery(rt *rapid.T, demands []teamDemand) {
	total := 0
	for _, ted := range demands {
		total += ted.demand
	}
	if rapid.Bool().Draw(rt, "more capacity") {
		hop.capacity = max(hop.capacity, 2*total)
	}
	for i := range demands {
		demands[i].demand = min(demands[i].demand, demands[i].demand*hop.capacity/(2*total))
	}
	for range 20 {
		hop.runInterval(demands)
		hop.checkClassOrder(rt)
	}
	for _, ted := range demands {
		if got := hop.con.Fraction(hop.now.Add(interval), ted.rank, ted.team); got != 1 {
			rt.Fatalf("fraction of %v is %.3f 2 s after the overload, want 1", ted, got)
		}
	}
}

// Guards against a class order that a team without arrivals bypasses: it must not be admitted in a class that is refused.
func TestNewTeamsUnderOverload(t *testing.T) {
	hop := newHop(100)
	demands := []teamDemand{{0, "a", 60}, {1, "a", 300}, {2, "a", 300}}
	for range 40 {
		hop.runInterval(demands)
	}
	// The team of the least important class stops sending; its teamClass remains.
	for range 10 {
		hop.runInterval(demands[:2])
	}
	got := map[string]float64{}
	for rank := range ranks {
		got[fmt.Sprint("new ", rank)] = hop.con.Fraction(hop.now, rank, "b")
	}
	got["silent 2"] = hop.con.Fraction(hop.now, 2, "a")
	want := map[string]float64{"new 0": 1, "new 1": 1, "new 2": 0, "silent 2": 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("fractions (-want +got):\n%s", diff)
	}
}

// Guards against wasted work at overloaded hops in a row: if each hop shed calls independently, only the product of
// the two fractions would survive both; with thresholds on one hash, the smaller fraction does.
func TestHopsAdmitTheSameRoots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := drawDemands(rt)
		hops := []*hop{newHop(rapid.IntRange(50, 500).Draw(rt, "capacity of hop 1")), newHop(rapid.IntRange(50, 500).Draw(rt, "capacity of hop 2"))}
		for range 30 {
			for _, hop := range hops {
				hop.runInterval(demands)
			}
		}
		ted := demands[rapid.IntRange(0, len(demands)-1).Draw(rt, "demand")]
		hashes := rapid.SliceOfN(rapid.Uint32(), 1, 50).Draw(rt, "hashes")
		slices.Sort(hashes)
		counts := make([]int, len(hops))
		both := 0
		for _, hash := range hashes {
			all := true
			for i, hop := range hops {
				ok := hop.con.Admit(hop.now, ted.rank, ted.team, hash, i == 1)
				all = all && ok
				if ok {
					counts[i]++
				}
			}
			if all {
				both++
			}
		}
		if diff := cmp.Diff(slices.Min(counts), both); diff != "" {
			rt.Fatalf("root requests that both hops admit (-want +got):\n%s", diff)
		}
		for i, hash := range hashes[1:] {
			if hops[0].con.QueueOrder(ted.rank, ted.team, hashes[i]) > hops[0].con.QueueOrder(ted.rank, ted.team, hash) {
				rt.Fatalf("queue order changes the order of hashes %d and %d", hashes[i], hash)
			}
		}
	})
}

// Guards against unbounded memory: callers send the names of teams, so the number of pairs of class and team must be
// bounded.
func TestEntriesAreBounded(t *testing.T) {
	con := admit.NewController(admit.Settings{})
	const maxTeamClasses = 4096 + 1 // with the pair that the further teams of the class share
	for i := range 3 * maxTeamClasses {
		con.Admit(epoch, 0, fmt.Sprint(i), 0, false)
	}
	if diff := cmp.Diff(maxTeamClasses, con.TrackedTeamClasses()); diff != "" {
		t.Errorf("tracked entries (-want +got):\n%s", diff)
	}
	con.Completed(epoch.Add(interval))
	for i := range 10 {
		con.Completed(epoch.Add(time.Duration(i) * time.Second))
	}
	if diff := cmp.Diff(0, con.TrackedTeamClasses()); diff != "" {
		t.Errorf("tracked entries after 10 s without arrivals (-want +got):\n%s", diff)
	}
}

// queueModel is the reference for the queue: a list that is sorted after each insertion.
type queueModel struct {
	maxLen int
	items  []modelItem
}

type modelItem struct {
	queued    *admit.QueueItem
	key       [3]int // rank; 0 for nested calls, 1 for root requests; order
	id        int
	cancelled bool
}

func (mod *queueModel) sort() {
	slices.SortStableFunc(mod.items, func(one, two modelItem) int { return slices.Compare(one.key[:], two.key[:]) })
}

// Compares order, bound, eviction and the dropping of late or cancelled calls with a queue that sorts a list.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mod := &queueModel{maxLen: rapid.IntRange(0, 6).Draw(rt, "maxLen")}
		que := admit.NewQueue(mod.maxLen)
		now := epoch
		for id := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(rt, "operation") {
			case 0, 1:
				mod.push(rt, que, now, id)
			case 2:
				mod.pop(rt, que, now, time.Duration(rapid.IntRange(0, 10).Draw(rt, "need"))*time.Millisecond)
			case 3:
				if len(mod.items) > 0 {
					mod.items[0].queued.Cancel()
					mod.items[0].cancelled = true
				}
			case 4:
				if last := len(mod.items) - 1; last >= 0 {
					if !que.Remove(mod.items[last].queued) || que.Remove(mod.items[last].queued) {
						rt.Fatal("an item was not removed exactly once")
					}
					mod.items = mod.items[:last]
				}
			}
			if que.Len() != len(mod.items) || que.Len() > mod.maxLen {
				rt.Fatalf("queue holds %d items, want %d, at most %d", que.Len(), len(mod.items), mod.maxLen)
			}
		}
	})
}

func (mod *queueModel) push(rt *rapid.T, que *admit.Queue, now time.Time, id int) {
	rank, nested, hash := rapid.IntRange(0, 2).Draw(rt, "rank"), rapid.Bool().Draw(rt, "nested"), rapid.IntRange(0, 1000).Draw(rt, "hash")
	deadline := now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "time left")) * time.Millisecond)
	ite := modelItem{id: id, key: [3]int{rank, 1, hash*100 + id}} // no two calls have the same order, so that the order is total
	if nested {
		ite.key[1] = 0
	}
	ite.queued = admit.NewQueueItem(admit.QueueItemSpec{Rank: rank, Nested: nested, Order: uint32(ite.key[2]), Deadline: deadline, Value: id})
	evicted := que.Push(ite.queued)
	mod.items = append(mod.items, ite)
	mod.sort()
	var want *admit.QueueItem
	if len(mod.items) > mod.maxLen {
		want = mod.items[mod.maxLen].queued
		mod.items = mod.items[:mod.maxLen]
	}
	if evicted != want {
		rt.Fatalf("evicted %v, want %v", evicted, want)
	}
}

func (mod *queueModel) pop(rt *rapid.T, que *admit.Queue, now time.Time, need time.Duration) {
	got, dropped := que.Pop(now, need)
	var want *admit.QueueItem
	var wantDropped []*admit.QueueItem
	for want == nil && len(mod.items) > 0 {
		ite := mod.items[0]
		mod.items = mod.items[1:]
		left := ite.queued.Deadline().Sub(now)
		if ite.cancelled || left <= 0 || left < need {
			wantDropped = append(wantDropped, ite.queued)
			continue
		}
		want = ite.queued
	}
	if got != want || !slices.Equal(dropped, wantDropped) {
		rt.Fatalf("popped %v and dropped %d items, want %v and %d", got, len(dropped), want, len(wantDropped))
	}
}
