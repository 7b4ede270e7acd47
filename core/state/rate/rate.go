package rate

import (
	"sync"
	"time"
)

const (
	// demandTime is the time over which demand is smoothed. A host gets a few requests a second of a team, whose
	// demand over a shorter time would say little.
	demandInterval = time.Second
	// All hosts together admit a multiple of a team's rate that falls from mostOver, for a team that asks for its rate,
	// to leastOver for one that asks for overFall more multiples of it. A part in proportion to a noisy demand refuses
	// requests of a team at its rate, and a team may use its burst in addition; a team that sends several times its rate
	// has used the burst before the first division.
	maxRateFactor     = 1.4
	minRateFactor     = 1.1
	excessAtMinFactor = 2.0
	// reportLife is how long a host's report counts.
	reportLifetime = 1500 * time.Millisecond
	// A host may admit the requests of partTime at once when the rate is divided, and at least leastBurst.
	shareBurstTime = 300 * time.Millisecond
	minShareBurst  = 3.0
	// A surge is reported at once: more requests since the last report than surgeLeast and surgeTimes what the smoothed
	// demand of surgeTime explains. Twelve times the usual demand passes the allowed rate within half a second.
	minSurgeRequests = 3.0
	surgeFactor      = 2.0
	surgeInterval    = 250 * time.Millisecond
	minShare         = 0.5 // requests a second, so that a team with small demand at a host is not cut off
)

// Usage is what a host was asked for by a team, in requests a second.
type Usage struct {
	team   string
	demand float64
}

// NewUsage returns a usage.
func NewUsage(team string, demand float64) Usage { return Usage{team: team, demand: demand} }

// Team returns the name of the team.
func (usa Usage) Team() string { return usa.team }

// Demand returns the requests a second, admitted or not.
func (usa Usage) Demand() float64 { return usa.demand }

// bucket is the part of a team's rate that this host may use.
type bucket struct {
	rate       float64 // declared
	burst      float64 // declared
	share      float64
	tokens     float64
	refilledAt time.Time
	requests   int // since the last report
	demand     float64
	limited    bool
}

// depth returns how many requests may be admitted at once.
func (buc *bucket) capacity() float64 {
	if buc.limited {
		return max(minShareBurst, buc.share*shareBurstTime.Seconds())
	}
	return max(1, buc.burst)
}

// Limiter admits requests at one host. It is safe for concurrent use.
type Limiter struct {
	mut         sync.Mutex
	buckets     map[string]*bucket
	collectedAt time.Time
	surged      bool // since the last report
}

// New returns a limiter without teams.
func New() *Limiter { return &Limiter{buckets: map[string]*bucket{}} }

// SetRate takes the declared rate and burst of a team.
func (lim *Limiter) SetRate(now time.Time, team string, rate, burst float64) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	buc := lim.buckets[team]
	if buc == nil {
		lim.buckets[team] = &bucket{rate: rate, burst: burst, share: rate, tokens: max(1, burst), refilledAt: now}
		return
	}
	if buc.rate != rate && buc.limited {
		// Until the next reply, the part follows the rate.
		buc.share *= rate / max(buc.rate, minShare)
	}
	buc.rate, buc.burst = rate, burst
	if !buc.limited {
		buc.share = rate
	}
	buc.tokens = min(buc.tokens, buc.capacity())
}

// Retain drops the teams that are not declared any more or have no rate.
func (lim *Limiter) Retain(keep func(team string) bool) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	for team := range lim.buckets {
		if !keep(team) {
			delete(lim.buckets, team)
		}
	}
}

// Allow counts a request and says whether it is admitted; a team without a rate always is. It also returns when the
// next request would be.
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

// Refund gives back what a request took that was admitted and then refused without having run: its caller comes again,
// and would pay twice.
func (lim *Limiter) Refund(team string) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if buc := lim.buckets[team]; buc != nil {
		buc.tokens = min(buc.tokens+1, buc.capacity())
	}
}

// DemandSurged says whether a team has asked for far more than usual since the last report.
func (lim *Limiter) DemandSurged() bool {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	return lim.surged
}

// CollectUsage returns the smoothed demand of the teams that asked for something lately, and starts the next interval.
func (lim *Limiter) CollectUsage(now time.Time) []Usage {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	elapsed := now.Sub(lim.collectedAt)
	lim.collectedAt, lim.surged = now, false
	if elapsed <= 0 || elapsed > reportLifetime {
		elapsed = demandInterval
	}
	weight := min(elapsed.Seconds()/demandInterval.Seconds(), 1)
	var out []Usage
	for team, buc := range lim.buckets {
		buc.demand += weight * (float64(buc.requests)/elapsed.Seconds() - buc.demand)
		buc.requests = 0
		if buc.demand > minShare/10 {
			out = append(out, NewUsage(team, buc.demand))
		}
	}
	return out
}

// SetShare takes the part of a team's rate that this host may use.
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

type report struct {
	demand float64
	at     time.Time
}

// Allocator divides the rates of some teams. It is safe for concurrent use.
type Allocator struct {
	mut     sync.Mutex
	reports map[string]map[string]report // by team and host
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator { return &Allocator{reports: map[string]map[string]report{}} }

// Allocate records a host's usage of a team and returns the part of the rate that the host may use. While the team is
// below its rate each host may also use what nobody asked for.
func (alc *Allocator) Allocate(now time.Time, host string, usa Usage, rate float64) float64 {
	alc.mut.Lock()
	defer alc.mut.Unlock()
	hosts := alc.reports[usa.team]
	if hosts == nil {
		hosts = map[string]report{}
		alc.reports[usa.team] = hosts
	}
	hosts[host] = report{demand: usa.demand, at: now}
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
		return usa.demand + allowed - totalDemand
	}
	return allowed * usa.demand / totalDemand
}
