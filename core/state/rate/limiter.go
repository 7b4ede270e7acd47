package rate

import (
	"math"
	"sync"
	"time"
)

const (
	// prefetchTime is the time for whose expected demand a host asks for tokens in advance.
	prefetchTime = 250 * time.Millisecond
	// tokenLifetime is how long after its request for tokens a host may use them; then it gives them back.
	tokenLifetime = 250 * time.Millisecond
	// meterInterval is the time constant of the measured rates.
	meterInterval = time.Second
	// minLoad is the lowest load of a team that a host assumes without contact to a granter: its part of the rate grows
	// by the inverse.
	minLoad = 0.5
	// minKnownLoad is what Load returns for a team that had sent nothing before. 0 would mean that its load is not known.
	minKnownLoad = 0.01
	// contactlessBurst is the time whose part of the rate a host may admit at once when it loses contact to all granters.
	contactlessBurst = 300 * time.Millisecond
)

// meter is a rate of events per second, smoothed over meterInterval.
type meter struct {
	value float64
	at    time.Time
}

func (met *meter) rate(now time.Time) float64 {
	return met.value * math.Exp(-max(now.Sub(met.at).Seconds(), 0)/meterInterval.Seconds())
}

func (met *meter) count(now time.Time, events int) {
	met.value = met.rate(now) + float64(events)/meterInterval.Seconds()
	met.at = now
}

// Decision is the result of Take.
type Decision uint8

// The decisions of Take.
const (
	Admitted   Decision = iota // the request took a token, or its team has no rate
	NeedsToken                 // a granter must be asked
	Refused                    // a granter had no token a short time ago
)

// tokens are the tokens of a team at this host.
type tokens struct {
	rate      float64 // declared, in requests per second
	evenShare float64 // rate divided by the number of hosts
	held      int
	expireAt  time.Time
	askedAt   time.Time // of the last request for tokens
	count     int       // requests that arrived
	asked     int       // the value of count when tokens were last asked for
	unused    int       // tokens to give back: expired, or of requests that have not run

	arrived      meter
	admitted     meter
	load         float64   // of the team at all hosts, as the last granter reported
	loadBefore   float64   // the load without the tokens of the last grant itself
	refusedUntil time.Time // no granter is asked until then
	returnAt     time.Time // when the next refused caller is told to return
	promised     int       // callers for whom the granter expects tokens from returnAt on

	// Without contact to a granter, a host uses a token bucket of its own part of the rate.
	contactless       bool
	contactlessRate   float64
	contactlessTokens float64
	contactlessAt     time.Time
}

// Ask is what a host asks a granter for.
type Ask struct {
	arrived int
	wanted  int
	spare   int
	unused  int
}

// NewAsk returns a request for a wanted number of tokens, a part of them spare ones for requests that have not arrived
// yet. It reports the requests that arrived since the host last asked, and gives unused tokens back.
func NewAsk(arrived, wanted, spare, unused int) Ask {
	return Ask{arrived: arrived, wanted: wanted, spare: spare, unused: unused}
}

// Arrived returns the number of requests that arrived since the host last asked.
func (ask Ask) Arrived() int { return ask.arrived }

// Wanted returns the number of tokens asked for.
func (ask Ask) Wanted() int { return ask.wanted }

// Spare returns how many of the wanted tokens are for requests that have not arrived yet.
func (ask Ask) Spare() int { return ask.spare }

// Unused returns the number of tokens that are given back.
func (ask Ask) Unused() int { return ask.unused }

// Repeated returns the request for another granter after one that did not reply, which may have counted the arrived
// requests and the tokens given back.
func (ask Ask) Repeated() Ask { return Ask{arrived: ask.arrived, wanted: ask.wanted, spare: ask.spare} }

// Limiter admits or refuses the requests of teams at one host. It is safe for concurrent use.
type Limiter struct {
	mut   sync.Mutex
	teams map[string]*tokens
}

// New returns a limiter without teams.
func New() *Limiter { return &Limiter{teams: map[string]*tokens{}} }

// SetRate sets the declared rate of a team, in requests per second, and the number of hosts. Tokens granted under
// another rate are not used any more.
func (lim *Limiter) SetRate(team string, rate float64, hosts int) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	tok := lim.teams[team]
	if tok == nil {
		tok = &tokens{rate: rate}
		lim.teams[team] = tok
	}
	if tok.rate != rate {
		tok.rate, tok.held, tok.refusedUntil = rate, 0, time.Time{}
	}
	tok.evenShare = rate / float64(max(hosts, 1))
}

// Retain drops the teams for which keep returns false: those that are no longer declared or have no rate.
func (lim *Limiter) Retain(keep func(team string) bool) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	for team := range lim.teams {
		if !keep(team) {
			delete(lim.teams, team)
		}
	}
}

// Take counts a request and decides about it; for a refused request it also returns the time after which its caller is
// told to return.
func (lim *Limiter) Take(now time.Time, team string) (Decision, time.Duration) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	tok := lim.teams[team]
	if tok == nil {
		return Admitted, 0
	}
	tok.arrived.count(now, 1)
	tok.count++
	tok.expire(now)
	dec := tok.decide(now)
	switch dec {
	case Admitted:
		tok.use(now, 1)
	case Refused:
		return Refused, tok.retryAfter(now)
	}
	return dec, 0
}

// decide returns the decision about one more request; it changes nothing.
func (tok *tokens) decide(now time.Time) Decision {
	switch {
	case tok.held > 0:
		return Admitted
	case now.Before(tok.refusedUntil):
		return Refused
	}
	return NeedsToken
}

// Peek returns the decision that Take would return, and the number of tokens that this host holds for the team. It takes
// none.
func (lim *Limiter) Peek(now time.Time, team string) (dec Decision, held int) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	tok := lim.teams[team]
	if tok == nil {
		return Admitted, 0
	}
	copied := *tok
	copied.expire(now)
	return copied.decide(now), copied.held
}

// expire stops the use of tokens that are held too long.
func (tok *tokens) expire(now time.Time) {
	if tok.held > 0 && !now.Before(tok.expireAt) {
		tok.unused += tok.held
		tok.held = 0
	}
}

func (tok *tokens) use(now time.Time, count int) {
	tok.held -= count
	tok.admitted.count(now, count)
}

// retryAfter returns when one more refused caller should return. The callers for whom the granter expects tokens return
// one after the other at the team's rate, further ones at the rate at which this host gets tokens.
func (tok *tokens) retryAfter(now time.Time) time.Duration {
	retryAfter := min(max(tok.returnAt.Sub(now), tok.refusedUntil.Sub(now), 0), maxRetryAfter)
	perSecond := max(tok.admitted.rate(now), tok.evenShare)
	if tok.promised > 0 {
		tok.promised--
		perSecond = tok.rate
	}
	tok.returnAt = now.Add(retryAfter + time.Duration(float64(time.Second)/max(perSecond, 1/maxRetryAfter.Seconds())))
	return retryAfter
}

// Ask returns the request for tokens of a team while a number of requests wait for one.
func (lim *Limiter) Ask(now time.Time, team string, waiting int) Ask {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	tok := lim.teams[team]
	if tok == nil {
		return Ask{wanted: waiting}
	}
	tok.expire(now)
	ask := Ask{arrived: tok.count - tok.asked, spare: int(tok.arrived.rate(now) * prefetchTime.Seconds()), unused: tok.unused}
	ask.wanted = waiting + ask.spare
	tok.asked, tok.unused, tok.askedAt = tok.count, 0, now
	return ask
}

// Receive takes the tokens of a grant and uses them for the requests that wait. It returns how many of these are
// admitted; the others are refused if the grant has a pause, or else need another grant.
func (lim *Limiter) Receive(now time.Time, team string, gra Grant, waiting int) int {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	tok := lim.teams[team]
	if tok == nil {
		return waiting
	}
	tok.contactless, tok.load = false, gra.load
	tok.loadBefore = max(gra.load-float64(gra.tokens)/(max(tok.rate, minRate)*meterInterval.Seconds()), minKnownLoad)
	tok.expire(now)
	tok.held += gra.tokens
	count := min(waiting, tok.held)
	tok.use(now, count)
	if gra.tokens > 0 {
		tok.expireAt = tok.askedAt.Add(tokenLifetime)
	}
	if gra.pause > 0 {
		tok.refusedUntil, tok.returnAt, tok.promised = now.Add(gra.pause), now.Add(gra.retryAfter), waiting-count
	}
	return count
}

// RetryAfter returns the time after which the caller of a refused request is told to return.
func (lim *Limiter) RetryAfter(now time.Time, team string) time.Duration {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if tok := lim.teams[team]; tok != nil {
		return tok.retryAfter(now)
	}
	return 0
}

// Load returns the rate at which a team's requests are admitted at all hosts together, those included that are refused
// later for another reason, divided by the team's declared rate. It is as old as the tokens that this host holds, and 0
// if the team has no rate or no granter can be reached.
func (lim *Limiter) Load(team string) float64 {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if tok := lim.teams[team]; tok != nil && !tok.contactless {
		return tok.loadBefore
	}
	return 0
}

// TakeContactless decides about a request while no granter can be reached. The host goes on admitting the part of the
// rate that it had before.
func (lim *Limiter) TakeContactless(now time.Time, team string) bool {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	tok := lim.teams[team]
	if tok == nil {
		return true
	}
	if !tok.contactless {
		// An even share is halved, since the other hosts may use the whole rate.
		tok.contactlessRate = max(tok.admitted.rate(now)/max(tok.load, minLoad), tok.evenShare/2)
		tok.contactless, tok.contactlessAt = true, now
		tok.contactlessTokens = tok.contactlessRate * contactlessBurst.Seconds()
	}
	capacity := max(1, tok.contactlessRate*contactlessBurst.Seconds())
	tok.contactlessTokens = min(tok.contactlessTokens+tok.contactlessRate*now.Sub(tok.contactlessAt).Seconds(), capacity)
	tok.contactlessAt = now
	if tok.contactlessTokens < 1 {
		return false
	}
	tok.contactlessTokens--
	return true
}

// Refund returns the token of a request that was admitted and has not run: its caller sends it again, which takes
// another token.
func (lim *Limiter) Refund(team string) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	if tok := lim.teams[team]; tok != nil && !tok.contactless {
		tok.unused++
	}
}
