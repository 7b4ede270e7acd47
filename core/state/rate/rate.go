package rate

import (
	"sync"
	"time"
)

const (
	// demandTime is the time over which demand is smoothed. A host gets a few requests a second of a team, whose
	// demand over a shorter time would say little.
	demandTime = time.Second
	// All hosts together admit a multiple of a team's rate that falls from mostOver, for a team that asks for its rate,
	// to leastOver for one that asks for overFall more multiples of it. A part in proportion to a noisy demand refuses
	// requests of a team at its rate, and a team may use its burst in addition; a team that sends several times its rate
	// has used the burst before the first division.
	mostOver  = 1.4
	leastOver = 1.1
	overFall  = 2.0
	// reportLife is how long a host's report counts.
	reportLife = 1500 * time.Millisecond
	// A host may admit the requests of partTime at once when the rate is divided, and at least leastBurst.
	partTime   = 300 * time.Millisecond
	leastBurst = 3.0
	// A surge is reported at once: more requests since the last report than surgeLeast and surgeTimes what the smoothed
	// demand of surgeTime explains. Twelve times the usual demand passes the allowed rate within half a second.
	surgeLeast = 3.0
	surgeTimes = 2.0
	surgeTime  = 250 * time.Millisecond
	leastPart  = 0.5 // requests a second, so that a team with small demand at a host is not cut off
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
	rate    float64 // declared
	burst   float64 // declared
	part    float64
	tokens  float64
	filled  time.Time
	asked   int // since the last report
	demand  float64
	divided bool
}

// depth returns how many requests may be admitted at once.
func (buc *bucket) depth() float64 {
	if buc.divided {
		return max(leastBurst, buc.part*partTime.Seconds())
	}
	return max(1, buc.burst)
}

// Limiter admits requests at one host. It is safe for concurrent use.
type Limiter struct {
	mut   sync.Mutex
	teams map[string]*bucket
	last  time.Time
	surge bool // since the last report
}

// New returns a limiter without teams.
func New() *Limiter { return &Limiter{teams: map[string]*bucket{}} }

// SetRate takes the declared rate and burst of a team.
func (met *Limiter) SetRate(now time.Time, team string, rate, burst float64) {
	met.mut.Lock()
	defer met.mut.Unlock()
	buc := met.teams[team]
	if buc == nil {
		met.teams[team] = &bucket{rate: rate, burst: burst, part: rate, tokens: max(1, burst), filled: now}
		return
	}
	if buc.rate != rate && buc.divided {
		// Until the next reply, the part follows the rate.
		buc.part *= rate / max(buc.rate, leastPart)
	}
	buc.rate, buc.burst = rate, burst
	if !buc.divided {
		buc.part = rate
	}
	buc.tokens = min(buc.tokens, buc.depth())
}

// Retain drops the teams that are not declared any more or have no rate.
func (met *Limiter) Retain(keep func(team string) bool) {
	met.mut.Lock()
	defer met.mut.Unlock()
	for team := range met.teams {
		if !keep(team) {
			delete(met.teams, team)
		}
	}
}

// Allow counts a request and says whether it is admitted; a team without a rate always is. It also returns when the
// next request would be.
func (met *Limiter) Allow(now time.Time, team string) (bool, time.Duration) {
	met.mut.Lock()
	defer met.mut.Unlock()
	buc := met.teams[team]
	if buc == nil {
		return true, 0
	}
	buc.asked++
	if float64(buc.asked) > surgeLeast+surgeTimes*buc.demand*surgeTime.Seconds() {
		met.surge = true
	}
	buc.tokens = min(buc.tokens+buc.part*max(now.Sub(buc.filled).Seconds(), 0), buc.depth())
	buc.filled = now
	if buc.tokens < 1 {
		return false, time.Duration((1 - buc.tokens) / max(buc.part, leastPart) * float64(time.Second))
	}
	buc.tokens--
	return true, 0
}

// Refund gives back what a request took that was admitted and then refused without having run: its caller comes again,
// and would pay twice.
func (met *Limiter) Refund(team string) {
	met.mut.Lock()
	defer met.mut.Unlock()
	if buc := met.teams[team]; buc != nil {
		buc.tokens = min(buc.tokens+1, buc.depth())
	}
}

// DemandSurged says whether a team has asked for far more than usual since the last report.
func (met *Limiter) DemandSurged() bool {
	met.mut.Lock()
	defer met.mut.Unlock()
	return met.surge
}

// CollectUsage returns the smoothed demand of the teams that asked for something lately, and starts the next interval.
func (met *Limiter) CollectUsage(now time.Time) []Usage {
	met.mut.Lock()
	defer met.mut.Unlock()
	passed := now.Sub(met.last)
	met.last, met.surge = now, false
	if passed <= 0 || passed > reportLife {
		passed = demandTime
	}
	weight := min(passed.Seconds()/demandTime.Seconds(), 1)
	var out []Usage
	for team, buc := range met.teams {
		buc.demand += weight * (float64(buc.asked)/passed.Seconds() - buc.demand)
		buc.asked = 0
		if buc.demand > leastPart/10 {
			out = append(out, NewUsage(team, buc.demand))
		}
	}
	return out
}

// SetShare takes the part of a team's rate that this host may use.
func (met *Limiter) SetShare(team string, part float64) {
	met.mut.Lock()
	defer met.mut.Unlock()
	buc := met.teams[team]
	if buc == nil {
		return
	}
	buc.part = max(part, leastPart)
	buc.divided = buc.part < buc.rate
	buc.tokens = min(buc.tokens, buc.depth())
}

type report struct {
	demand float64
	at     time.Time
}

// Allocator divides the rates of some teams. It is safe for concurrent use.
type Allocator struct {
	mut   sync.Mutex
	teams map[string]map[string]report // by team and host
}

// NewAllocator returns an allocator without reports.
func NewAllocator() *Allocator { return &Allocator{teams: map[string]map[string]report{}} }

// Allocate records a host's usage of a team and returns the part of the rate that the host may use. While the team is
// below its rate each host may also use what nobody asked for.
func (div *Allocator) Allocate(now time.Time, host string, usa Usage, rate float64) float64 {
	div.mut.Lock()
	defer div.mut.Unlock()
	hosts := div.teams[usa.team]
	if hosts == nil {
		hosts = map[string]report{}
		div.teams[usa.team] = hosts
	}
	hosts[host] = report{demand: usa.demand, at: now}
	total := 0.0
	for id, rep := range hosts {
		if now.Sub(rep.at) > reportLife {
			delete(hosts, id)
			continue
		}
		total += rep.demand
	}
	excess := min(max(total/max(rate, leastPart)-1, 0)/overFall, 1)
	admitted := rate * (mostOver - excess*(mostOver-leastOver))
	if total < admitted {
		return usa.demand + admitted - total
	}
	return admitted * usa.demand / total
}
