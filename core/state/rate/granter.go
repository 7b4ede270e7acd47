package rate

import (
	"maps"
	"sync"
	"time"
)

const (
	// A granter grants a multiple of a team's rate. The factor falls linearly from maxRateFactor, for a team whose demand
	// is its rate or less, to minRateFactor, for one whose demand exceeds its rate by excessAtMinFactor times the rate. A
	// team whose demand varies around its rate is then refused little, while one that sends several times its rate, whose
	// tokens may be granted twice when granters change, stays within the tolerance of the platform, a quarter above rate
	// and burst.
	maxRateFactor     = 1.4
	minRateFactor     = 1.0
	excessAtMinFactor = 0.5
	// A granter that does not know what was granted before starts with the tokens of startTime, and startTokens more for
	// teams with a low rate.
	startTime   = 150 * time.Millisecond
	startTokens = 3
	// AdvanceInterval is the time between calls of Advance.
	AdvanceInterval = 100 * time.Millisecond
	// maxAdvanceGap is the longest time between calls of Advance in which the process counts as running.
	maxAdvanceGap = 4 * AdvanceInterval
	// The bucket of a host that stands in is refilled for maxGap at most between two requests, or for the time of gapTokens
	// tokens if that is longer: in a longer time the first host has probably granted tokens.
	maxGap    = 250 * time.Millisecond
	gapTokens = 2
	// takeoverGap is the time without requests after which a host that stands in for the granter starts anew.
	takeoverGap = 2 * time.Second
	// A host that was granted too few tokens for the requests that wait asks again with the next one or, where more than
	// askRate requests for tokens of the team arrive per second, after a pause of up to maxPause.
	askRate  = 400.0
	askPause = 250 * time.Millisecond
	minPause = time.Millisecond
	maxPause = time.Second
	// maxRetryAfter is the longest time until a refused caller is told to return. Callers keep to shorter ones only.
	maxRetryAfter = time.Second
	// A granter remembers the last return of each of up to maxSenders hosts for senderTime, which is longer than a return is
	// repeated and on its way. While it remembers maxSenders hosts, it counts no returns of others.
	maxSenders = 4096
	senderTime = 10 * time.Second
	// minRate keeps calculations finite for a team with a rate of 0.
	minRate = 1e-9 // requests per second
)

// GrantSpec lists what a granter knows of the team whose tokens it grants.
type GrantSpec struct {
	Team  string
	Rate  float64 // that the granter may use, in requests per second
	Burst float64
	Since time.Time // since when this host is the first in the order of granters; zero if it only stands in
}

// Grant is the reply to a request for tokens. Its load is the rate at which tokens of the team are granted, divided by
// the team's rate.
type Grant struct {
	tokens     int
	load       float64
	pause      time.Duration
	retryAfter time.Duration
	origin     Origin
}

// From returns the grant with the bucket that its tokens come from.
func (gra Grant) From(origin Origin) Grant {
	gra.origin = origin
	return gra
}

// Origin returns the bucket that the tokens come from; it is the zero value if they come from none.
func (gra Grant) Origin() Origin { return gra.origin }

// NewGrant returns a grant whose fields are those of the accessors of the same names.
func NewGrant(tokens int, load float64, pause, retryAfter time.Duration) Grant {
	return Grant{tokens: tokens, load: load, pause: pause, retryAfter: retryAfter}
}

// Tokens returns how many requests the asking host may admit.
func (gra Grant) Tokens() int { return gra.tokens }

// Load returns the rate at which tokens of the team are granted, divided by the team's rate.
func (gra Grant) Load() float64 { return gra.load }

// Pause returns how long the asking host refuses further requests; it is zero if the grant covers the requests that
// wait.
func (gra Grant) Pause() time.Duration { return gra.pause }

// RetryAfter returns the time until there is a token for the first caller that is refused; the next ones are to return
// at the rate of the team.
func (gra Grant) RetryAfter() time.Duration { return gra.retryAfter }

// lastReturn is the last return of tokens that a host was credited for.
type lastReturn struct {
	sequence int64
	at       time.Time
}

// teamBucket is the token bucket of a team at its granter.
type teamBucket struct {
	origin     Origin
	credited   map[string]lastReturn // by host that returned tokens
	forgotAt   time.Time             // when hosts that returned none for senderTime were last dropped from credited
	tokens     float64
	refilledAt time.Time
	refilledTo time.Duration // active time of the granter at the last refill
	lead       bool          // this host was the first in the order of granters
	asked      meter         // requests for tokens
	demand     meter         // requests of all hosts
	granted    meter
	promisedTo time.Time     // until when tokens are expected to go to callers that were told to return
	spare      []spareTokens // granted within the last tokenLifetime, the oldest first
}

// spareTokens are tokens granted for requests that had not arrived yet. A host may use them later, so until then the
// bucket holds fewer.
type spareTokens struct {
	count int
	at    time.Time
}

// sparesOut returns the number of spare tokens that hosts may still use.
func (buc *teamBucket) sparesOut(now time.Time) int {
	for len(buc.spare) > 0 && now.Sub(buc.spare[0].at) >= tokenLifetime {
		buc.spare = buc.spare[1:]
	}
	total := 0
	for _, spa := range buc.spare {
		total += spa.count
	}
	return total
}

// Granter holds the token buckets of the teams whose tokens this host grants. It is safe for concurrent use.
type Granter struct {
	self       string
	mut        sync.Mutex
	buckets    map[string]*teamBucket
	active     time.Duration // time in which this process ran
	advancedAt time.Time
	resumedAt  time.Time // end of the last time in which the process did not run or had no contact
}

// NewGranter returns a granter without buckets at the host self.
func NewGranter(self string) *Granter { return &Granter{self: self, buckets: map[string]*teamBucket{}} }

// Retain drops the buckets of the teams for which keep returns false.
func (grr *Granter) Retain(keep func(team string) bool) {
	grr.mut.Lock()
	defer grr.mut.Unlock()
	for team := range grr.buckets {
		if !keep(team) {
			delete(grr.buckets, team)
		}
	}
}

// Advance must be called each AdvanceInterval. After a time in which it was not called, because the process did not run,
// or in which the host was not in contact with the others, the buckets are nearly empty, since another host stood in.
func (grr *Granter) Advance(now time.Time, inContact bool) {
	grr.mut.Lock()
	defer grr.mut.Unlock()
	grr.advance(now, inContact)
}

// advance is Advance for callers that hold the lock.
func (grr *Granter) advance(now time.Time, inContact bool) {
	grr.active = grr.activeTime(now)
	if !inContact || now.Sub(grr.advancedAt) > maxAdvanceGap {
		grr.resumedAt = now
	}
	grr.advancedAt = now
}

// activeTime returns the active time of the granter until now. The caller holds the lock.
func (grr *Granter) activeTime(now time.Time) time.Duration {
	return grr.active + min(max(now.Sub(grr.advancedAt), 0), maxAdvanceGap)
}

// Grant takes up to the wanted number of tokens from the bucket of a team.
func (grr *Granter) Grant(now time.Time, spec GrantSpec, ask Ask) Grant {
	grr.mut.Lock()
	defer grr.mut.Unlock()
	if now.Sub(grr.advancedAt) > maxAdvanceGap {
		grr.advance(now, true) // the process has just resumed
	}
	buc := grr.bucket(now, spec)
	if buc.refilledAt.Before(grr.resumedAt) {
		buc.tokens = min(buc.tokens, spec.startTokens())
	}
	buc.demand.count(now, ask.arrived)
	grr.refill(now, buc, spec, buc.credit(now, ask))
	count := min(ask.wanted, max(int(buc.tokens), 0))
	buc.tokens -= float64(count)
	if spare := ask.spare - (ask.wanted - count); spare > 0 {
		buc.spare = append(buc.spare, spareTokens{count: spare, at: now})
	}
	buc.asked.count(now, 1)
	buc.granted.count(now, count)
	gra := Grant{origin: buc.origin, tokens: count, load: buc.granted.rate(now) / max(spec.Rate, minRate)}
	if refused := ask.wanted - ask.spare - count; refused > 0 {
		gra.pause = min(max(minPause, time.Duration(float64(askPause)*(buc.asked.rate(now)/askRate-1))), maxPause)
		gra.retryAfter = buc.promise(now, spec.Rate, refused)
	}
	return gra
}

// credit returns how many tokens a request gives back to this bucket that were not counted before.
func (buc *teamBucket) credit(now time.Time, ask Ask) int {
	total := 0
	for _, ret := range ask.returns {
		last, known := buc.credited[ask.sender]
		if ret.origin != buc.origin || ret.tokens <= 0 || known && ret.sequence <= last.sequence {
			continue
		}
		if !known && now.Sub(buc.forgotAt) >= senderTime {
			buc.forgotAt = now
			maps.DeleteFunc(buc.credited, func(_ string, one lastReturn) bool { return now.Sub(one.at) >= senderTime })
		}
		if !known && len(buc.credited) >= maxSenders {
			continue
		}
		buc.credited[ask.sender] = lastReturn{sequence: ret.sequence, at: now}
		total += ret.tokens
	}
	return total
}

// refill adds the tokens of the time since the last request, and those that were given back. The caller holds the lock.
func (grr *Granter) refill(now time.Time, buc *teamBucket, spec GrantSpec, unused int) {
	active := grr.activeTime(now)
	elapsed := max(active-buc.refilledTo, 0).Seconds()
	factor := rateFactor(buc.demand.rate(now) / max(spec.Rate, minRate))
	if !buc.lead {
		factor = minRateFactor // the first host may still be granting to hosts that cannot reach this one
		elapsed = min(elapsed, max(maxGap.Seconds(), gapTokens/max(spec.Rate, minRate)))
	}
	capacity := max(1, spec.Burst-float64(buc.sparesOut(now)))
	buc.tokens = min(buc.tokens+elapsed*spec.Rate*factor+float64(unused), capacity)
	buc.refilledAt, buc.refilledTo = now, active
}

// promise returns when the first of some refused callers should return. Callers return one after the other at the rate
// of the tokens, those refused earlier first.
func (buc *teamBucket) promise(now time.Time, teamRate float64, refused int) time.Duration {
	perToken := time.Duration(float64(time.Second) / max(teamRate, minRate))
	if earliest := now.Add(time.Duration((1 - buc.tokens) * float64(perToken))); buc.promisedTo.Before(earliest) {
		buc.promisedTo = earliest
	}
	retryAfter := min(buc.promisedTo.Sub(now), maxRetryAfter)
	buc.promisedTo = buc.promisedTo.Add(time.Duration(refused) * min(perToken, maxRetryAfter))
	if latest := now.Add(maxRetryAfter); buc.promisedTo.After(latest) {
		buc.promisedTo = latest
	}
	return retryAfter
}

// rateFactor returns by what factor more than a team's rate is granted; load is the demand divided by the rate.
func rateFactor(load float64) float64 {
	excess := min(max(load-1, 0)/excessAtMinFactor, 1)
	return maxRateFactor - excess*(maxRateFactor-minRateFactor)
}

// startTokens returns the tokens of a bucket of which it is not known what was granted before.
func (spec GrantSpec) startTokens() float64 {
	return spec.Rate*startTime.Seconds() + startTokens
}

// bucket returns the bucket of a team; one whose earlier grants this host does not know starts nearly empty.
func (grr *Granter) bucket(now time.Time, spec GrantSpec) *teamBucket {
	buc := grr.buckets[spec.Team]
	lead := !spec.Since.IsZero()
	if buc != nil && (buc.lead || lead || now.Sub(buc.refilledAt) < takeoverGap) {
		buc.lead = lead
		return buc
	}
	buc = &teamBucket{origin: NewOrigin(grr.self, now.UnixNano()), credited: map[string]lastReturn{}, lead: lead, refilledAt: now, refilledTo: grr.activeTime(now), tokens: spec.startTokens()}
	if lead {
		buc.tokens += spec.Rate * max(now.Sub(spec.Since).Seconds(), 0)
	}
	grr.buckets[spec.Team] = buc
	return buc
}
