package parts

import (
	"container/list"
	"math"
	"time"
)

const (
	// maxTeams bounds the teams that are tracked; beyond it the one that has asked least recently is forgotten.
	maxTeams = 1024
	// smoothingTime is the time constant of the averages of demand and of admitted work. At 25 requests a second they
	// cover some fifty requests.
	smoothingTime = 2 * time.Second
	// levelInterval is the time between two computations of the level.
	levelInterval = 100 * time.Millisecond
	// A team is within its part while its debt is at most the work of burstRequests requests and the work of its part in
	// burstTime. Without the first, a small team that stays below its part on average would lose each request that
	// follows soon after another one.
	burstRequests = 4
	burstTime     = time.Second
	// maxDebtTime is the time in which a team's part pays off the debt beyond the one at which the team is within its part.
	maxDebtTime = time.Second
	// idleTime is how long after its last request a team without debt is forgotten.
	idleTime = 30 * time.Second
	// dividedFraction is the fraction of the admitted work that the parts add up to. The rest goes to whoever asks. A team
	// that uses all that the others leave is therefore clearly above its part, instead of at its edge.
	dividedFraction = 0.9
	// sufficientFraction is the fraction of the demand that must have been admitted lately for the room to suffice.
	// It only allows for rounding.
	sufficientFraction = 1 - 1e-6
	// initialWork is the assumed work of a request, in seconds, before the first one has ended.
	initialWork = 0.05
	workWeight  = 0.1 // weight of one request in the moving average of the work
	// loadWeight is the weight of one request in the moving average of a team's load. The load of a team that sends less
	// than one request a second differs from one request to the next.
	loadWeight = 0.2
	// minWeight keeps calculations finite for a team that has not asked for long.
	minWeight = 1e-9
	// minLoad is the lowest load that is assumed. A team that has just sent its first request has none.
	minLoad = 0.25
)

// Ledger keeps the use of one class at one host by team.
type Ledger struct {
	weight   func(team string) float64
	accounts map[string]*list.Element // of *account
	recent   *list.List               // the account that asked most recently in front
	admitted average                  // work
	work     float64                  // moving average of the work of a request, in seconds
	// slotsPerRate is the part at level 1 of a team whose load is not known, per unit of its declared weight.
	slotsPerRate float64
	level        float64
	levelAt      time.Time
	claims       []Claim // reused by updateLevel
}

// account is the use of one team.
type account struct {
	team     string
	declared float64 // weight
	load     float64 // moving average of what the team asks of all hosts, divided by its declared rate; 0 if not known
	weight   float64 // part at level 1, in slots
	demand   average // work asked for, refused requests included
	counted  average // requests with a known load
	work     float64 // moving average of the work of a request, in seconds
	debt     float64 // slot-seconds admitted and not yet paid off by the part
	paidAt   time.Time
	askedAt  time.Time
}

// average is an exponentially smoothed rate of work in slots, or of requests per second.
type average struct {
	perSecond float64
	at        time.Time
}

func (avg *average) add(now time.Time, amount float64) {
	if now.Before(avg.at) {
		now = avg.at
	}
	avg.perSecond = max(avg.value(now)+amount/smoothingTime.Seconds(), 0)
	avg.at = now
}

func (avg *average) value(now time.Time) float64 {
	if avg.perSecond == 0 {
		return 0
	}
	return avg.perSecond * math.Exp(-max(now.Sub(avg.at), 0).Seconds()/smoothingTime.Seconds())
}

// New returns a ledger without use. The function returns the weight of a team, which must be positive.
func New(weight func(team string) float64) *Ledger {
	return &Ledger{
		weight: weight, accounts: map[string]*list.Element{}, recent: list.New(), work: initialWork, slotsPerRate: 1, level: math.Inf(1),
	}
}

// SetWeights changes the weights of the teams.
func (led *Ledger) SetWeights(weight func(team string) float64) {
	led.weight = weight
	for ele := led.recent.Front(); ele != nil; ele = ele.Next() {
		acc := accountOf(ele)
		acc.declared = weight(acc.team)
	}
}

// Teams returns how many teams are tracked.
func (led *Ledger) Teams() int { return len(led.accounts) }

// Level returns the part of a team of weight 1 that asks for more, in slots; it is infinite while the room suffices.
func (led *Ledger) Level() float64 { return led.level }

// Ask records that a team asks for room. The load is what the team asks of all hosts together, divided by its declared
// rate, or 0 if that is not known or the request has been counted at another host, which refused it. Ask must precede the
// other methods for the same request.
func (led *Ledger) Ask(now time.Time, team string, load float64) {
	if now.Sub(led.levelAt) >= levelInterval {
		led.updateLevel(now) // before the demand of a request that cannot have been admitted yet
	}
	acc := led.open(now, team)
	acc.demand.add(now, acc.work)
	acc.askedAt = now
	if load <= 0 {
		return
	}
	acc.counted.add(now, 1)
	if acc.load == 0 {
		acc.load = max(load, minLoad)
	}
	acc.load += loadWeight * (max(load, minLoad) - acc.load)
}

// Within reports whether a team is within its part.
func (led *Ledger) Within(now time.Time, team string) bool { return led.Excess(now, team) <= 0 }

// Excess returns by how much a team's use exceeds its part, as a fraction of the largest excess; it is 0 or less for a
// team within its part.
func (led *Ledger) Excess(now time.Time, team string) float64 {
	acc := led.account(team)
	if acc == nil || math.IsInf(led.level, 1) {
		return 0
	}
	led.pay(now, acc)
	return (acc.debt - led.freeDebt(acc)) / led.debtRange(acc)
}

// RetryAfter returns the time in which a team that is above its part comes within it if it is admitted nothing.
func (led *Ledger) RetryAfter(now time.Time, team string) time.Duration {
	acc := led.account(team)
	if acc == nil || math.IsInf(led.level, 1) {
		return 0
	}
	led.pay(now, acc)
	excess := max(acc.debt-led.freeDebt(acc), 0)
	return time.Duration(min(excess/max(led.level*acc.weight, minWeight), maxDebtTime.Seconds()) * float64(time.Second))
}

// Charge counts a request of a team as admitted and returns its expected work in seconds.
func (led *Ledger) Charge(now time.Time, team string) float64 {
	acc := led.open(now, team)
	led.pay(now, acc)
	led.admitted.add(now, acc.work)
	acc.debt += acc.work
	led.boundDebt(acc)
	return acc.work
}

// Settle replaces the expected work that was charged for a request by the time that it held a slot.
func (led *Ledger) Settle(now time.Time, team string, charged float64, held time.Duration) {
	led.work += workWeight * (held.Seconds() - led.work)
	acc := led.account(team)
	if acc == nil {
		return
	}
	led.pay(now, acc)
	acc.work += workWeight * (held.Seconds() - acc.work)
	acc.debt = max(acc.debt+held.Seconds()-charged, 0)
	led.boundDebt(acc)
}

// Refund takes back the charge for a request that got no slot; the time may be that of the charge.
func (led *Ledger) Refund(now time.Time, team string, charged float64) {
	led.admitted.add(now, -charged)
	if acc := led.account(team); acc != nil {
		led.pay(now, acc)
		acc.debt = max(acc.debt-charged, 0)
	}
}

func accountOf(ele *list.Element) *account {
	acc, _ := ele.Value.(*account)
	return acc
}

func (led *Ledger) account(team string) *account {
	if ele := led.accounts[team]; ele != nil {
		return accountOf(ele)
	}
	return nil
}

// open returns the account of a team and makes it the most recent one.
func (led *Ledger) open(now time.Time, team string) *account {
	if ele := led.accounts[team]; ele != nil {
		led.recent.MoveToFront(ele)
		return accountOf(ele)
	}
	if len(led.accounts) >= maxTeams {
		led.forget(led.recent.Back())
	}
	declared := led.weight(team)
	acc := &account{team: team, declared: declared, weight: led.slotsPerRate * declared, work: led.work, paidAt: now, askedAt: now}
	led.accounts[team] = led.recent.PushFront(acc)
	return acc
}

func (led *Ledger) forget(ele *list.Element) {
	delete(led.accounts, accountOf(ele).team)
	led.recent.Remove(ele)
}

// freeDebt returns the debt up to which a team is within its part, in slot-seconds.
func (led *Ledger) freeDebt(acc *account) float64 {
	return burstRequests*acc.work + led.level*acc.weight*burstTime.Seconds()
}

// debtRange returns by how much a debt may exceed freeDebt. It is at least the work of one request, because one that was
// admitted with nearly no debt left counts in full.
func (led *Ledger) debtRange(acc *account) float64 {
	return max(led.level*acc.weight*maxDebtTime.Seconds(), acc.work, minWeight)
}

// pay reduces a team's debt by its part since the last payment. A team that has no bound pays its debt off within
// burstTime, so that a short pause between two refusals does not clear the debts.
func (led *Ledger) pay(now time.Time, acc *account) {
	seconds := now.Sub(acc.paidAt).Seconds()
	if seconds <= 0 {
		return
	}
	acc.paidAt = now
	if math.IsInf(led.level, 1) {
		acc.debt *= math.Exp(-seconds / burstTime.Seconds())
		return
	}
	acc.debt = max(acc.debt-led.level*acc.weight*seconds, 0)
}

func (led *Ledger) boundDebt(acc *account) {
	if !math.IsInf(led.level, 1) {
		acc.debt = min(acc.debt, led.freeDebt(acc)+led.debtRange(acc))
	}
}

// updateLevel computes the level from the demands and the admitted work, and forgets idle teams.
func (led *Ledger) updateLevel(now time.Time) {
	led.levelAt = now
	led.updateWeights(now)
	led.claims = led.claims[:0]
	total := 0.0
	for ele := led.recent.Front(); ele != nil; ele = ele.Next() {
		acc := accountOf(ele)
		if demand := acc.demand.value(now); demand > 0 {
			total += demand
			led.claims = append(led.claims, NewClaim(acc.weight, demand))
		}
	}
	room := led.admitted.value(now)
	if room >= sufficientFraction*total {
		led.level = math.Inf(1)
		return
	}
	led.level = Level(dividedFraction*room, led.claims)
}

// updateWeights sets the part of each team at level 1 and forgets idle teams. A team whose load is known sends this host
// that load times the requests that it would send at its declared rate, so the weight follows from its requests here: a
// team has the same right to room whether its requests reach all hosts or a few. Rates are declared in requests, so each
// request counts with the work of the average one, and a team whose requests are more expensive uses its part up sooner.
// A team whose load is not known, or that sends this host less than the others do, gets the room for its declared weight
// that they get on average.
func (led *Ledger) updateWeights(now time.Time) {
	slots, declared := 0.0, 0.0
	for ele := led.recent.Front(); ele != nil; {
		acc, next := accountOf(ele), ele.Next()
		led.pay(now, acc)
		acc.weight = 0
		switch {
		case now.Sub(acc.askedAt) > idleTime && acc.debt <= acc.work:
			led.forget(ele)
		case acc.load > 0:
			acc.weight = acc.counted.value(now) * led.work / acc.load
			slots += acc.weight
			declared += acc.declared
		}
		ele = next
	}
	led.slotsPerRate = 1
	if declared > 0 {
		led.slotsPerRate = slots / declared
	}
	for ele := led.recent.Front(); ele != nil; ele = ele.Next() {
		acc := accountOf(ele)
		acc.weight = max(acc.weight, led.slotsPerRate*acc.declared, minWeight)
	}
}
