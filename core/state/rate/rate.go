package rate

import (
	"sync"
	"time"
)

const (
	// demandInterval is the time constant of the smoothed demand. A host gets only a few requests per second of a team,
	// too few to estimate its demand over a shorter time.
	demandInterval = time.Second
	// All hosts together admit a multiple of a team's rate. The factor falls linearly from maxRateFactor, for a team
	// whose demand is its rate or less, to minRateFactor, for one whose demand exceeds its rate by excessAtMinFactor
	// times the rate. The factor is more than 1, since shares in proportion to a noisy demand refuse requests of a team
	// at its rate, and a team may use its burst in addition; a team that sends several times its rate has used up its
	// burst before its rate is first divided.
	maxRateFactor     = 1.4
	minRateFactor     = 1.1
	excessAtMinFactor = 2.0
	// reportLifetime is how long a host's report counts.
	reportLifetime = 1500 * time.Millisecond
	// A host whose share is less than the rate of the team may admit a burst of what the share allows in shareBurstTime,
	// but at least minShareBurst requests.
	shareBurstTime = 300 * time.Millisecond
	minShareBurst  = 3.0
	// A surge is reported immediately. It is a number of requests since the last report above minSurgeRequests plus
	// surgeFactor times the smoothed demand over surgeInterval. Twelve times the usual demand exceeds the admitted rate
	// within half a second.
	minSurgeRequests = 3.0
	surgeFactor      = 2.0
	surgeInterval    = 250 * time.Millisecond
	minShare         = 0.5 // requests per second, so that a team with little demand at a host still gets some through
)

// TeamDemand is the demand of a team at one host.
type TeamDemand struct {
	team   string
	demand float64
}

// NewTeamDemand returns the demand of a team; demand is in requests per second.
func NewTeamDemand(team string, demand float64) TeamDemand {
	return TeamDemand{team: team, demand: demand}
}

// Team returns the name of the team.
func (ted TeamDemand) Team() string { return ted.team }

// Demand returns the requests per second, admitted or not.
func (ted TeamDemand) Demand() float64 { return ted.demand }

// bucket is the token bucket of a team at this host.
type bucket struct {
	rate       float64 // declared, in requests per second
	burst      float64 // declared, in requests
	share      float64 // part of the rate that this host may use, in requests per second
	tokens     float64
	refilledAt time.Time
	requests   int     // counted since the demand was last collected
	demand     float64 // smoothed, in requests per second
	limited    bool    // this host may use only a part of the declared rate
}

// capacity returns how many requests may be admitted in one burst.
func (buc *bucket) capacity() float64 {
	if buc.limited {
		return max(minShareBurst, buc.share*shareBurstTime.Seconds())
	}
	return max(1, buc.burst)
}

// Limiter admits or refuses the requests of teams at one host. It is safe for concurrent use.
type Limiter struct {
	mut         sync.Mutex
	buckets     map[string]*bucket // by team
	collectedAt time.Time          // when the demand was last collected
	surged      bool               // the demand of a team has surged since collectedAt
}

// New returns a limiter without teams.
func New() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// SetRate sets the declared rate of a team, in requests per second, and its burst, in requests.
func (lim *Limiter) SetRate(now time.Time, team string, rate, burst float64) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	buc := lim.buckets[team]
	if buc == nil {
		lim.buckets[team] = &bucket{rate: rate, burst: burst, share: rate, tokens: max(1, burst), refilledAt: now}
		return
	}
	if buc.rate != rate && buc.limited {
		// The share changes in proportion to the rate until the allocator sends a new one.
		buc.share *= rate / max(buc.rate, minShare)
	}
	buc.rate, buc.burst = rate, burst
	if !buc.limited {
		buc.share = rate
	}
	buc.tokens = min(buc.tokens, buc.capacity())
}

// Retain drops the teams for which keep returns false: those that are no longer declared or have no rate.
func (lim *Limiter) Retain(keep func(team string) bool) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	for team := range lim.buckets {
		if !keep(team) {
			delete(lim.buckets, team)
		}
	}
}

// Allow counts a request and reports whether it is admitted; a team without a rate is always admitted. For a refused
// request it also returns the time until the next one can be admitted.
func (lim *Limiter) Allow(now time.Time, team string) (bool, time.Duration) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	buc := lim.buckets[team]
	if buc == nil {
		return true, 0
	}
	buc.requests++
	if float64(buc.requests) > minSurgeRequests+surgeFactor*buc.demand*surgeInterval.Seconds() {
		lim.surged = true
	}
	buc.tokens = min(buc.tokens+buc.share*max(now.Sub(buc.refilledAt).Seconds(), 0), buc.capacity())
	buc.refilledAt = now
	if buc.tokens < 1 {
		return false, time.Duration((1 - buc.tokens) / max(buc.share, minShare) * float64(time.Second))
	}
	buc.tokens--
	return true, 0
}

// Refund returns the token of a request that was admitted and then refused without having run: its caller sends it
// again, which would take a second token.
func (lim *Limiter) Refund(team string) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if buc := lim.buckets[team]; buc != nil {
		buc.tokens = min(buc.tokens+1, buc.capacity())
	}
}

// DemandSurged reports whether the demand of a team has been far above its smoothed demand since the demand was last
// collected.
func (lim *Limiter) DemandSurged() bool {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	return lim.surged
}

// CollectDemand returns the smoothed demand of the teams that sent requests lately, and starts the next interval.
func (lim *Limiter) CollectDemand(now time.Time) []TeamDemand {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	elapsed := now.Sub(lim.collectedAt)
	lim.collectedAt, lim.surged = now, false
	if elapsed <= 0 || elapsed > reportLifetime {
		elapsed = demandInterval
	}
	weight := min(elapsed.Seconds()/demandInterval.Seconds(), 1)
	var out []TeamDemand
	for team, buc := range lim.buckets {
		buc.demand += weight * (float64(buc.requests)/elapsed.Seconds() - buc.demand)
		buc.requests = 0
		if buc.demand > minShare/10 {
			out = append(out, NewTeamDemand(team, buc.demand))
		}
	}
	return out
}

// SetShare sets the part of a team's rate that this host may use, in requests per second.
func (lim *Limiter) SetShare(team string, share float64) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	buc := lim.buckets[team]
	if buc == nil {
		return
	}
	buc.share = max(share, minShare)
	buc.limited = buc.share < buc.rate
	buc.tokens = min(buc.tokens, buc.capacity())
}

// report is the demand of a team at one host, in requests per second.
type report struct {
	demand float64
	at     time.Time
}

// Allocator divides the rates of teams among the hosts that report demand. It is safe for concurrent use.
type Allocator struct {
	mut     sync.Mutex
	reports map[string]map[string]report // by team and host
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator { return &Allocator{reports: map[string]map[string]report{}} }

// Allocate records the demand of a team at a host and returns the host's share of the rate, in requests per second.
// While the total demand is below what all hosts together may admit, each host may also use the whole unused remainder.
func (alc *Allocator) Allocate(now time.Time, host string, ted TeamDemand, rate float64) float64 {
	alc.mut.Lock()
	defer alc.mut.Unlock()
	hosts := alc.reports[ted.team]
	if hosts == nil {
		hosts = map[string]report{}
		alc.reports[ted.team] = hosts
	}
	hosts[host] = report{demand: ted.demand, at: now}
	totalDemand := 0.0
	for id, rep := range hosts {
		if now.Sub(rep.at) > reportLifetime {
			delete(hosts, id)
			continue
		}
		totalDemand += rep.demand
	}
	excess := min(max(totalDemand/max(rate, minShare)-1, 0)/excessAtMinFactor, 1)
	allowed := rate * (maxRateFactor - excess*(maxRateFactor-minRateFactor))
	if totalDemand < allowed {
		return ted.demand + allowed - totalDemand
	}
	return allowed * ted.demand / totalDemand
}
