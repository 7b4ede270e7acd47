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
	initialLatency = 10 * time.Millisecond
	// failCost is what a host adds to the expected time that fails all its calls.
	failurePenalty  = 2 * time.Second
	failureWeight   = 0.2             // weight of one call in the share of failed calls
	failureHalfLife = 2 * time.Second // in which an unconfirmed share of failed calls halves
	// Reports are believed for freshTime and then halve with reportHalf, so that a host is tried again.
	reportFreshTime = time.Second
	reportHalfLife  = time.Second
	// blockTime is how long a host that could not be reached is passed over; probes end it earlier.
	blockTime   = 500 * time.Millisecond
	leavingTime = 8 * time.Second // after its last notice, a host that was leaving may be back
	// Of a large service only some hosts are compared for a call, so that the cost of a choice and the number of
	// connections do not grow with the fleet. They are the same for each call while they can be reached; the callers
	// differ in their order of preference.
	maxLocal       = 6
	maxRemote      = 2
	maxCompared    = maxLocal + maxRemote
	jitterFraction = 0.1 // of the expected time, so that entries with the same reports choose differently
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
type hostState struct {
	expectedLatency  time.Duration
	marginalLatency  time.Duration
	reportedAt       time.Time // of the report
	inFlight         int
	inFlightAtReport int // calls in flight at the report
	failureRate      float64
	failureRateAt    time.Time
	blockedUntil     time.Time // until then
	leavingUntil     time.Time // until then
}

// Picker knows the hosts to which a node sends calls. It is safe for concurrent use.
type Picker struct {
	mut         sync.Mutex
	hosts       map[string]*hostState
	rng         *rand.Rand
	eligibleBuf []Candidate // of compared
}

// New returns a picker without hosts; the generator must not be shared.
func New(rng *rand.Rand) *Picker { return &Picker{hosts: map[string]*hostState{}, rng: rng} }

func (pic *Picker) host(id string) *hostState {
	hst := pic.hosts[id]
	if hst == nil {
		hst = &hostState{}
		pic.hosts[id] = hst
	}
	return hst
}

// Retain forgets the hosts that are not on a list.
func (pic *Picker) Retain(ids []string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	for id, hst := range pic.hosts {
		if hst.inFlight == 0 && !slices.Contains(ids, id) {
			delete(pic.hosts, id)
		}
	}
}

// Pick returns the best candidate that has not been tried, or false. The candidates are in the caller's order of
// preference, which matters in a large service only. A host in another failure domain must be expected to answer sooner
// by more than remote. A host that cannot be reached is chosen only when there is no other, and not for a further attempt
// (again); hosts that leave are not chosen.
func (pic *Picker) Pick(now time.Time, candidates []Candidate, tried []string, isRetry bool, remotePenalty time.Duration) (string, bool) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	bestID, found, lowest := "", false, math.Inf(1)
	for _, can := range pic.eligible(now, candidates, tried) {
		hst := pic.host(can.id)
		blocked := now.Before(hst.blockedUntil)
		if blocked && isRetry {
			continue
		}
		cost := pic.cost(now, hst)
		if !can.local {
			cost += remotePenalty.Seconds()
		}
		if blocked {
			cost += time.Hour.Seconds()
		}
		if cost < lowest {
			bestID, found, lowest = can.id, true, cost
		}
	}
	return bestID, found
}

// compared returns the candidates of which the best is chosen: in a large service the first of both kinds that can be
// reached, or the first of all when none can.
func (pic *Picker) eligible(now time.Time, candidates []Candidate, tried []string) []Candidate {
	out := pic.eligibleBuf[:0]
	local, remote := 0, 0
	for _, blocked := range []bool{false, true} {
		for _, can := range candidates {
			hst := pic.host(can.id)
			if now.Before(hst.blockedUntil) != blocked || now.Before(hst.leavingUntil) || slices.Contains(tried, can.id) {
				continue
			}
			if count := &remote; len(candidates) > maxCompared {
				maxCount := maxRemote
				if can.local {
					count, maxCount = &local, maxLocal
				}
				if *count == maxCount {
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
	pic.eligibleBuf = out[:0]
	return out
}

// Subset returns the candidates that are compared while all can be reached.
func Subset(candidates []Candidate) []Candidate {
	if len(candidates) <= maxCompared {
		return candidates
	}
	var out []Candidate
	free := map[bool]int{true: maxLocal, false: maxRemote}
	for _, can := range candidates {
		if free[can.local] > 0 {
			free[can.local]--
			out = append(out, can)
		}
	}
	return out
}

// cost returns the expected time in seconds, with what speaks against the host.
func (pic *Picker) cost(now time.Time, hst *hostState) float64 {
	cost := initialLatency.Seconds()
	if !hst.reportedAt.IsZero() {
		cost = hst.expectedLatency.Seconds() * decay(now.Sub(hst.reportedAt)-reportFreshTime, reportHalfLife)
	}
	cost += float64(max(hst.inFlight-hst.inFlightAtReport, 0)) * hst.marginalLatency.Seconds()
	cost += hst.failureRate * decay(now.Sub(hst.failureRateAt), failureHalfLife) * failurePenalty.Seconds()
	return cost * (1 + jitterFraction*pic.rng.Float64())
}

// halved returns the part that is left after an age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Sent records that a call is on its way to a host.
func (pic *Picker) Sent(id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).inFlight++
}

// Done records the end of a call, the time that the host then expected for one more, and whether the call failed
// for a reason that another host may not have. A zero time means that the host did not say.
func (pic *Picker) Done(now time.Time, id string, expectedLatency, marginalLatency time.Duration, failed bool) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	hst := pic.host(id)
	hst.inFlight--
	hst.recordOutcome(now, failed)
	if expectedLatency > 0 {
		hst.expectedLatency, hst.marginalLatency, hst.reportedAt, hst.inFlightAtReport = expectedLatency, marginalLatency, now, hst.inFlight
		hst.blockedUntil = time.Time{}
	}
}

// count takes one call into the share of failed calls.
func (hst *hostState) recordOutcome(now time.Time, failed bool) {
	rate := hst.failureRate * decay(now.Sub(hst.failureRateAt), failureHalfLife)
	hst.failureRate, hst.failureRateAt = rate*(1-failureWeight), now
	if failed {
		hst.failureRate += failureWeight
	}
}

// Unanswered records that a host has not answered a call that another host answered meanwhile.
func (pic *Picker) Unanswered(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).recordOutcome(now, true)
}

// Unreachable records that a call ended because its host could not be reached.
func (pic *Picker) Unreachable(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	hst := pic.host(id)
	hst.inFlight--
	hst.blockedUntil = now.Add(blockTime)
}

// Cancelled records that a call ended without showing anything about its host.
func (pic *Picker) Cancelled(id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).inFlight--
}

// SetPeerState takes what the connection to a host shows.
func (pic *Picker) SetPeerState(now time.Time, id string, connected, leaving bool) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	hst := pic.host(id)
	switch {
	case !connected:
		hst.blockedUntil = now.Add(blockTime)
	case leaving:
		hst.leavingUntil = now.Add(leavingTime)
	default:
		hst.leavingUntil, hst.blockedUntil = time.Time{}, time.Time{}
	}
}

// SetLeaving records that a host said that it leaves.
func (pic *Picker) SetLeaving(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).leavingUntil = now.Add(leavingTime)
}
