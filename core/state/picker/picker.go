package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// assumed is the expected time of a host that has reported none; it is low, so that new hosts are tried.
	assumed = 10 * time.Millisecond
	// failCost is what a host adds to the expected time that fails all its calls.
	failCost   = 2 * time.Second
	failWeight = 0.2             // weight of one call in the share of failed calls
	failHalf   = 2 * time.Second // in which an unconfirmed share of failed calls halves
	// Reports are believed for freshTime and then halve with reportHalf, so that a host is tried again.
	freshTime  = time.Second
	reportHalf = time.Second
	// blockTime is how long a host that could not be reached is passed over; probes end it earlier.
	blockTime   = 500 * time.Millisecond
	leavingTime = 8 * time.Second // after its last notice, a host that was leaving may be back
	// Of a large service only some hosts are compared for a call, so that the cost of a choice and the number of
	// connections do not grow with the fleet. They are the same for each call while they can be reached; the callers
	// differ in their order of preference.
	compareLocal  = 6
	compareRemote = 2
	compareAll    = compareLocal + compareRemote
	jitter        = 0.1 // of the expected time, so that entries with the same reports choose differently
)

// Candidate is a host that may serve a call.
type Candidate struct {
	id    string
	local bool
}

// NewCandidate returns a candidate; local says whether it is in the caller's failure domain.
func NewCandidate(id string, local bool) Candidate { return Candidate{id: id, local: local} }

// ID returns the host's ID.
func (can Candidate) ID() string { return can.id }

// record is what this node knows about one host.
type record struct {
	expected time.Duration
	step     time.Duration
	at       time.Time // of the report
	flying   int
	reported int // calls in flight at the report
	failed   float64
	failedAt time.Time
	blocked  time.Time // until then
	leaving  time.Time // until then
}

// Picker knows the hosts to which a node sends calls. It is safe for concurrent use.
type Picker struct {
	mut   sync.Mutex
	hosts map[string]*record
	rng   *rand.Rand
	buf   []Candidate // of compared
}

// New returns a picker without hosts; the generator must not be shared.
func New(rng *rand.Rand) *Picker { return &Picker{hosts: map[string]*record{}, rng: rng} }

func (tab *Picker) host(id string) *record {
	rec := tab.hosts[id]
	if rec == nil {
		rec = &record{}
		tab.hosts[id] = rec
	}
	return rec
}

// Retain forgets the hosts that are not on a list.
func (tab *Picker) Retain(ids []string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	for id, rec := range tab.hosts {
		if rec.flying == 0 && !slices.Contains(ids, id) {
			delete(tab.hosts, id)
		}
	}
}

// Pick returns the best candidate that has not been tried, or false. The candidates are in the caller's order of
// preference, which matters in a large service only. A host in another failure domain must be expected to answer sooner
// by more than remote. A host that cannot be reached is chosen only when there is no other, and not for a further attempt
// (again); hosts that leave are not chosen.
func (tab *Picker) Pick(now time.Time, cans []Candidate, tried []string, again bool, remote time.Duration) (string, bool) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	best, found, lowest := "", false, math.Inf(1)
	for _, can := range tab.compared(now, cans, tried) {
		rec := tab.host(can.id)
		blocked := now.Before(rec.blocked)
		if blocked && again {
			continue
		}
		cost := tab.cost(now, rec)
		if !can.local {
			cost += remote.Seconds()
		}
		if blocked {
			cost += time.Hour.Seconds()
		}
		if cost < lowest {
			best, found, lowest = can.id, true, cost
		}
	}
	return best, found
}

// compared returns the candidates of which the best is chosen: in a large service the first of both kinds that can be
// reached, or the first of all when none can.
func (tab *Picker) compared(now time.Time, cans []Candidate, tried []string) []Candidate {
	out := tab.buf[:0]
	local, remote := 0, 0
	for _, blocked := range []bool{false, true} {
		for _, can := range cans {
			rec := tab.host(can.id)
			if now.Before(rec.blocked) != blocked || now.Before(rec.leaving) || slices.Contains(tried, can.id) {
				continue
			}
			if count := &remote; len(cans) > compareAll {
				most := compareRemote
				if can.local {
					count, most = &local, compareLocal
				}
				if *count == most {
					continue
				}
				*count++
			}
			out = append(out, can)
		}
		if len(out) > 0 {
			break
		}
	}
	tab.buf = out[:0]
	return out
}

// Subset returns the candidates that are compared while all can be reached.
func Subset(cans []Candidate) []Candidate {
	if len(cans) <= compareAll {
		return cans
	}
	var out []Candidate
	places := map[bool]int{true: compareLocal, false: compareRemote}
	for _, can := range cans {
		if places[can.local] > 0 {
			places[can.local]--
			out = append(out, can)
		}
	}
	return out
}

// cost returns the expected time in seconds, with what speaks against the host.
func (tab *Picker) cost(now time.Time, rec *record) float64 {
	cost := assumed.Seconds()
	if !rec.at.IsZero() {
		cost = rec.expected.Seconds() * halved(now.Sub(rec.at)-freshTime, reportHalf)
	}
	cost += float64(max(rec.flying-rec.reported, 0)) * rec.step.Seconds()
	cost += rec.failed * halved(now.Sub(rec.failedAt), failHalf) * failCost.Seconds()
	return cost * (1 + jitter*tab.rng.Float64())
}

// halved returns the part that is left after an age.
func halved(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / half.Seconds())
}

// Sent records that a call is on its way to a host.
func (tab *Picker) Sent(id string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	tab.host(id).flying++
}

// Done records the end of a call, the time that the host then expected for one more, and whether the call failed
// for a reason that another host may not have. A zero time means that the host did not say.
func (tab *Picker) Done(now time.Time, id string, expected, step time.Duration, failed bool) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	rec := tab.host(id)
	rec.flying--
	rec.count(now, failed)
	if expected > 0 {
		rec.expected, rec.step, rec.at, rec.reported = expected, step, now, rec.flying
		rec.blocked = time.Time{}
	}
}

// count takes one call into the share of failed calls.
func (rec *record) count(now time.Time, failed bool) {
	share := rec.failed * halved(now.Sub(rec.failedAt), failHalf)
	rec.failed, rec.failedAt = share*(1-failWeight), now
	if failed {
		rec.failed += failWeight
	}
}

// Unanswered records that a host has not answered a call that another host answered meanwhile.
func (tab *Picker) Unanswered(now time.Time, id string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	tab.host(id).count(now, true)
}

// Unreachable records that a call ended because its host could not be reached.
func (tab *Picker) Unreachable(now time.Time, id string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	rec := tab.host(id)
	rec.flying--
	rec.blocked = now.Add(blockTime)
}

// Cancelled records that a call ended without showing anything about its host.
func (tab *Picker) Cancelled(id string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	tab.host(id).flying--
}

// SetPeerState takes what the connection to a host shows.
func (tab *Picker) SetPeerState(now time.Time, id string, up, leaving bool) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	rec := tab.host(id)
	switch {
	case !up:
		rec.blocked = now.Add(blockTime)
	case leaving:
		rec.leaving = now.Add(leavingTime)
	default:
		rec.leaving, rec.blocked = time.Time{}, time.Time{}
	}
}

// SetLeaving records that a host said that it leaves.
func (tab *Picker) SetLeaving(now time.Time, id string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	tab.host(id).leaving = now.Add(leavingTime)
}
