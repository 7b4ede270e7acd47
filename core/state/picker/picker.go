package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// initialLatency is the expected latency of a host that has reported none; it is low, so that new hosts are tried.
	initialLatency = 10 * time.Millisecond
	// failurePenalty is added to the expected latency of a host that fails all its calls; one that fails only a fraction of
	// them gets the same fraction of the penalty.
	failurePenalty  = 2 * time.Second
	failureWeight   = 0.2             // weight of one call in the moving average of the failure rate
	failureHalfLife = 2 * time.Second // half-life of the failure rate between calls
	// A reported latency counts in full for reportFreshTime and then decays with reportHalfLife, so that a host that gets
	// no calls is tried again.
	reportFreshTime = time.Second
	reportHalfLife  = time.Second
	// blockTime is how long a host that could not be reached is blocked; a probe that finds its connection up, or an
	// answer from it, ends the block earlier.
	blockTime = 500 * time.Millisecond
	// coldPenalty is added to the expected latency of a host that has refused a call because its upstream is cold, until
	// the upstream is warm: other hosts are preferred meanwhile, and it is not avoided any longer.
	coldPenalty = time.Second
	leavingTime = 8 * time.Second // how long an announcement of a host that it is leaving counts, or its refusal of a call for that
	// Of a large service only some hosts are compared for a call, so that the cost of a choice and the number of
	// connections do not grow with the service. They are the same hosts for each call while they can be reached; each
	// caller has its own order of preference. maxLocal bounds the hosts in the caller's failure domain, maxRemote those in
	// others.
	maxLocal    = 6
	maxRemote   = 2
	maxCompared = maxLocal + maxRemote
	// A host in another failure domain is picked only if its expected latency, in which waits in the queue weigh more, is
	// below that of any in this domain by more than this fraction of the root's target latency. The fraction is larger for
	// a root request, which is sent to a host once and has the larger answer, than for its nested calls, whose delays add
	// up.
	rootRemoteFraction   = 0.5
	nestedRemoteFraction = 0.3
	jitterFraction       = 0.1 // greatest random increase of the cost, so that callers with the same reports choose differently
)

// Candidate is a host that may serve a call.
type Candidate struct {
	id    string
	local bool
}

// NewCandidate returns a candidate; local reports whether it is in the caller's failure domain.
func NewCandidate(id string, local bool) Candidate { return Candidate{id: id, local: local} }

// ID returns the host's ID.
func (can Candidate) ID() string { return can.id }

// hostState is what this node knows about one host.
type hostState struct {
	expectedLatency  time.Duration // as last reported
	marginalLatency  time.Duration // as last reported: what each further call adds to the expected latency
	reportedAt       time.Time     // zero before the first report
	inFlight         int           // calls of this node at the host
	inFlightAtReport int
	failureRate      float64   // moving average of the fraction of failed calls, at failureRateAt
	failureRateAt    time.Time // when the last call was counted
	blockedUntil     time.Time // the host cannot be reached
	leavingUntil     time.Time // the host is leaving and still takes calls
	drainingUntil    time.Time // the host refuses calls because it is leaving
	coldUntil        time.Time // the upstream is cold, and the host has refused a call because of it
	work             workState
}

// Picker knows the hosts to which a node sends calls. It is safe for concurrent use.
type Picker struct {
	mut         sync.Mutex
	hosts       map[string]*hostState
	kinds       map[Call]*kindState // of the calls whose hosts are chosen by expected work
	rng         *rand.Rand
	eligibleBuf []Candidate  // reused for the result of eligible
	hostsBuf    []*hostState // reused for the states of these hosts
	scoredBuf   []scored     // reused for the result of score
}

// New returns a picker without hosts; nothing else may use the random generator.
func New(rng *rand.Rand) *Picker {
	return &Picker{hosts: map[string]*hostState{}, kinds: map[Call]*kindState{}, rng: rng}
}

// host returns the state of a host and adds it if it is missing.
func (pic *Picker) host(id string) *hostState {
	hst := pic.hosts[id]
	if hst == nil {
		hst = &hostState{}
		pic.hosts[id] = hst
	}
	return hst
}

// Retain drops the hosts that are not in the list and have no call in flight.
func (pic *Picker) Retain(ids []string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	for id, hst := range pic.hosts {
		if hst.inFlight == 0 && !slices.Contains(ids, id) {
			delete(pic.hosts, id)
		}
	}
}

// RemotePenalty returns what is added to the expected latency of hosts in other failure domains for a call of a root
// request with the given target latency; nested tells whether it is a nested call.
func RemotePenalty(target time.Duration, nested bool) time.Duration {
	fraction := rootRemoteFraction
	if nested {
		fraction = nestedRemoteFraction
	}
	return time.Duration(fraction * float64(target))
}

// Pick returns the candidate of the lowest cost that has not been tried, or false if there is none. The candidates are
// in the caller's order of preference, which matters in a large service only. The cost of a host in another failure
// domain is higher by remotePenalty. A leaving host is chosen only when all others are blocked or leaving too, a blocked
// one only when there is no other, and never for a retry; hosts that are draining are not chosen.
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
		cost := hst.cost(now) * (1 + jitterFraction*pic.rng.Float64())
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

// availability orders hosts by how willingly calls are sent to them.
type availability uint8

const (
	available availability = iota
	leaving
	blocked
	draining
)

func (hst *hostState) availability(now time.Time) availability {
	switch {
	case now.Before(hst.drainingUntil):
		return draining
	case now.Before(hst.blockedUntil):
		return blocked
	case now.Before(hst.leavingUntil):
		return leaving
	}
	return available
}

// eligible returns the candidates among which Pick chooses: the available ones, or if there are none the leaving ones, or
// else the blocked ones. In a large service these are the first maxLocal of the local and the first maxRemote of the other
// candidates.
func (pic *Picker) eligible(now time.Time, candidates []Candidate, tried []string) []Candidate {
	out := pic.eligibleBuf[:0]
	for wanted := available; wanted <= blocked && len(out) == 0; wanted++ {
		local, remote := 0, 0
		for _, can := range candidates {
			if pic.host(can.id).availability(now) != wanted || slices.Contains(tried, can.id) {
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
	}
	pic.eligibleBuf = out[:0]
	return out
}

// Subset returns the candidates among which Pick chooses while all can be reached.
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

// cost returns the expected latency of a host in seconds, plus the penalty for its failed calls.
func (hst *hostState) cost(now time.Time) float64 {
	cost := initialLatency.Seconds()
	if !hst.reportedAt.IsZero() {
		cost = hst.expectedLatency.Seconds() * decay(now.Sub(hst.reportedAt)-reportFreshTime, reportHalfLife)
	}
	cost += float64(max(hst.inFlight-hst.inFlightAtReport, 0)) * hst.marginalLatency.Seconds()
	cost += hst.failurePenalty(now)
	return cost
}

// failurePenalty returns what is added to the cost of a host for its failed calls and a cold upstream, in seconds.
func (hst *hostState) failurePenalty(now time.Time) float64 {
	penalty := hst.failureRate * decay(now.Sub(hst.failureRateAt), failureHalfLife) * failurePenalty.Seconds()
	if now.Before(hst.coldUntil) {
		penalty += coldPenalty.Seconds()
	}
	return penalty
}

// decay returns the fraction of a value that is left at an age.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Sent records that a call was sent to a host.
func (pic *Picker) Sent(id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).inFlight++
}

// Done records the end of a call, the latency that the host then expected for one more call, what each further call
// adds to it, and whether the call failed for a reason that another host may not have. An expected latency of zero
// means that the host did not report any.
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

// recordOutcome counts one call in the failure rate.
func (hst *hostState) recordOutcome(now time.Time, failed bool) {
	rate := hst.failureRate * decay(now.Sub(hst.failureRateAt), failureHalfLife)
	hst.failureRate, hst.failureRateAt = rate*(1-failureWeight), now
	if failed {
		hst.failureRate += failureWeight
	}
}

// Unanswered counts a call as failed because the host has not answered it although another host has.
func (pic *Picker) Unanswered(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).recordOutcome(now, true)
}

// Unreachable records the end of a call whose host could not be reached, and blocks the host.
func (pic *Picker) Unreachable(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	hst := pic.host(id)
	hst.inFlight--
	hst.blockedUntil = now.Add(blockTime)
}

// Cancelled records the end of a call whose outcome says nothing about its host.
func (pic *Picker) Cancelled(id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).inFlight--
}

// SetPeerState records whether the connection to a host is up and whether the host has announced on it that it is
// leaving.
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
		hst.leavingUntil, hst.drainingUntil, hst.blockedUntil = time.Time{}, time.Time{}, time.Time{}
	}
}

// SetCold records that a host refused a call because its upstream is cold, and until when.
func (pic *Picker) SetCold(id string, until time.Time) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).coldUntil = until
}

// SetDraining records that a host has refused a call because it is leaving.
func (pic *Picker) SetDraining(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).drainingUntil = now.Add(leavingTime)
}

// SetLeaving records that a host has announced that it is leaving.
func (pic *Picker) SetLeaving(now time.Time, id string) {
	pic.mut.Lock()
	defer pic.mut.Unlock()
	pic.host(id).leavingUntil = now.Add(leavingTime)
}
