package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxLoanTerm is the longest term of a loan.
	MaxLoanTerm = 2 * time.Second
	// driftFactor covers the difference between two clocks, of which one may run up to 20% faster.
	driftFactor = 1.2
	// minTerm is the shortest term worth a loan; it must be renewed before it ends.
	minTerm = 100 * time.Millisecond
	// maxDepth bounds the chain host, broker, broker of another group, host.
	maxDepth = 3
	// forwardedDepth leaves the asking broker one more loan to its host.
	forwardedDepth = maxDepth - 1
	// maxLoans bounds the loans of one team that a node holds.
	maxLoans = 128
	// minShare is the smallest share worth a loan.
	minShare = 1e-4
	// headroom keeps more share than the measured demand needs, because arrivals fluctuate.
	headroom = 1.3
	// reservePart is the part of the own share that is not lent while idle, so that a first request finds a token.
	reservePart = 0.05
	// decay weighs the last interval's arrivals when demand falls; a small weight would hold loans longer than needed.
	decay = 0.75
)

const (
	// longGap is the number of mean gaps between arrivals after which demand has ended; a Poisson stream has one such
	// gap in 3,000.
	longGap = 8
	// minGap is the shortest gap that ends demand.
	minGap = 20 * time.Millisecond
)

// Team is the declared rate and burst of a team across all hosts.
type Team struct {
	Name  string
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Loan is a share that moves to another node; a renewal has only ID and Term.
type Loan struct {
	ID     uint64
	Team   string
	Share  float64
	Tokens float64
	Term   time.Duration
	Depth  int
}

// Shortage is what a node lacks of a team's rate.
type Shortage struct {
	Team   string
	Share  float64
	Tokens float64
}

// Status is one team's state on this node.
type Status struct {
	Team     string
	Own      float64
	Lent     float64
	Borrowed float64
	Usable   float64 // own and borrowed share that is not lent on
	Tokens   float64
	Demand   float64 // requests per second
}

// lot is a share with its own tokens: the node's own one, or a loan that the node holds.
type lot struct {
	id     uint64
	lender string
	share  float64
	lent   float64
	tokens float64
	until  time.Time
	depth  int
}

// usable returns the share that is not lent on.
func (lot *lot) usable() float64 { return max(0, lot.share-lot.lent) }

// debt is a loan that the node has given.
type debt struct {
	id       uint64
	borrower string
	share    float64
	from     *lot
	lentAt   time.Time
	back     time.Time // when the share returns at the latest
}

// account is the state of one team.
type account struct {
	mu      sync.Mutex
	team    Team
	revoked bool
	since   time.Time // when the team was last declared after an absence
	own     *lot
	lots    []*lot
	debts   []*debt
	at      time.Time // tokens are counted up to here

	arrived int
	lastAt  time.Time // of the last arrival
	demand  float64   // requests per second
	tickAt  time.Time
}

// RateLimiter holds the accounts of all teams on one node; it is safe for concurrent use.
type RateLimiter struct {
	accounts atomic.Pointer[map[string]*account]

	mu    sync.Mutex // guards the fields below and changes of accounts; taken before an account's
	share float64
	until time.Time

	rngMu sync.Mutex // taken after an account's
	rng   *rand.Rand
}

// New returns the rate limiter of a node that has just started: no teams, no share, no tokens.
func New(rng *rand.Rand) *RateLimiter {
	led := &RateLimiter{rng: rng}
	led.accounts.Store(&map[string]*account{})
	return led
}

func (led *RateLimiter) account(team string) *account { return (*led.accounts.Load())[team] }

// SetTeams applies the declared teams; an undeclared one gets no tokens from now on.
func (led *RateLimiter) SetTeams(now time.Time, teams []Team) {
	led.mu.Lock()
	defer led.mu.Unlock()
	next := map[string]*account{}
	for _, tea := range teams {
		acc := led.account(tea.Name)
		if acc == nil {
			acc = &account{own: &lot{}, at: now, tickAt: now, since: now}
			acc.setShare(now, led.share, led.until)
		}
		next[tea.Name] = acc
		acc.setTeam(now, tea)
	}
	for name, acc := range *led.accounts.Load() {
		if next[name] == nil && acc.revoke(now) {
			next[name] = acc
		}
	}
	led.accounts.Store(&next)
}

func (acc *account) setTeam(now time.Time, tea Team) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	acc.team = tea
	if acc.revoked {
		acc.revoked, acc.since = false, now
	}
	acc.clip()
}

// revoke ends a team and says whether the account must be kept: a share that is lent must not be used twice when the
// team is declared again.
func (acc *account) revoke(now time.Time) bool {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	acc.team.Rate, acc.team.Burst = 0, 0
	acc.revoked = true
	acc.clip()
	return len(acc.debts) > 0
}

// SetShare applies the node's own part of every rate, which ends by itself.
func (led *RateLimiter) SetShare(now time.Time, share float64, until time.Time) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.share, led.until = share, until
	for _, acc := range *led.accounts.Load() {
		acc.setShare(now, share, until)
	}
}

func (acc *account) setShare(now time.Time, share float64, until time.Time) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	acc.own.share, acc.own.until = share, until
	if !now.Before(until) {
		acc.own.share = 0
	}
	acc.clip()
}

// advance counts tokens and drops what has ended. A loan or share that ended since the last call earns nothing for that
// time, and a share that has come back starts with no tokens.
func (acc *account) advance(now time.Time) {
	if !now.After(acc.at) {
		return
	}
	seconds := now.Sub(acc.at).Seconds()
	acc.at = now
	acc.own.earn(seconds, acc.team)
	if !now.Before(acc.own.until) {
		acc.own.share, acc.own.tokens = 0, 0
	}
	for _, lot := range acc.lots {
		lot.earn(seconds, acc.team)
	}
	acc.lots = slices.DeleteFunc(acc.lots, func(lot *lot) bool { return !now.Before(lot.until) })
	acc.debts = slices.DeleteFunc(acc.debts, func(deb *debt) bool {
		if now.Before(deb.back) {
			return false
		}
		deb.from.lent -= deb.share
		return true
	})
}

// earn adds tokens for a time.
func (lot *lot) earn(seconds float64, tea Team) {
	lot.tokens = min(lot.tokens+lot.usable()*tea.Rate*seconds, lot.usable()*tea.Burst)
}

// clip cuts tokens to the burst of the present shares.
func (acc *account) clip() {
	for _, lot := range acc.sources() {
		lot.tokens = min(lot.tokens, lot.usable()*acc.team.Burst)
	}
}

// sources returns all lots, the own one last.
func (acc *account) sources() []*lot { return append(slices.Clone(acc.lots), acc.own) }

// Take takes one token for a new request; it says false when there is none.
func (led *RateLimiter) Take(now time.Time, team string) bool {
	acc := led.account(team)
	if acc == nil {
		return false
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.arrived++
	acc.lastAt = now
	return acc.take(now)
}

// TakeUncounted takes one token for a request that Take has already counted.
func (led *RateLimiter) TakeUncounted(now time.Time, team string) bool {
	acc := led.account(team)
	if acc == nil {
		return false
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.take(now)
}

// take debits one token, from several lots if need be. Loans are used first because their tokens end with them.
func (acc *account) take(now time.Time) bool {
	acc.advance(now)
	sum := acc.own.tokens
	for _, lot := range acc.lots {
		sum += lot.tokens
	}
	if sum < 1 || acc.revoked {
		return false
	}
	left := 1.0
	for _, lot := range acc.lots {
		left -= lot.debit(left)
	}
	acc.own.debit(left)
	return true
}

func (lot *lot) debit(tokens float64) float64 {
	part := min(lot.tokens, tokens)
	lot.tokens -= part
	return part
}

// Tick measures demand; call it a few times a second.
func (led *RateLimiter) Tick(now time.Time) {
	for _, acc := range *led.accounts.Load() {
		acc.tick(now)
	}
}

func (acc *account) tick(now time.Time) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	seconds := now.Sub(acc.tickAt).Seconds()
	if seconds <= 0 {
		return
	}
	rate := float64(acc.arrived) / seconds
	if rate < acc.demand {
		rate = decay*rate + (1-decay)*acc.demand
	}
	acc.demand = rate
	acc.arrived = 0
	acc.tickAt = now
}

// need returns the share that the node's own demand takes.
func (acc *account) need() float64 {
	if acc.team.Rate == 0 || acc.demand == 0 {
		return 0
	}
	gap := max(minGap, time.Duration(longGap/acc.demand*float64(time.Second)))
	if acc.at.Sub(acc.lastAt) > gap {
		return 0
	}
	return min(1, headroom*acc.demand/acc.team.Rate)
}

func (acc *account) usable() float64 {
	sum := acc.own.usable()
	for _, lot := range acc.lots {
		sum += lot.usable()
	}
	return sum
}

// RetryAfter returns how long the present shares need to earn the next token, at most the given time.
func (led *RateLimiter) RetryAfter(now time.Time, team string, most time.Duration) time.Duration {
	acc := led.account(team)
	if acc == nil {
		return most
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	perSecond := acc.usable() * acc.team.Rate
	if perSecond*most.Seconds() < 1 {
		return most
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// Team returns a team as it was last declared.
func (led *RateLimiter) Team(team string) (Team, bool) {
	acc := led.account(team)
	if acc == nil {
		return Team{}, false
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	return acc.team, !acc.revoked
}

// Shortage returns what a team's own demand lacks, together with the tokens that are wanted at once.
func (led *RateLimiter) Shortage(now time.Time, team string, tokens float64) (Shortage, bool) {
	acc := led.account(team)
	if acc == nil {
		return Shortage{}, false
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	want := Shortage{Team: team, Share: max(0, acc.need()-acc.usable()), Tokens: tokens}
	return want, !acc.revoked && (want.Share > minShare || tokens > 0)
}

// Shortages returns what the demand of all teams lacks in share.
func (led *RateLimiter) Shortages(now time.Time) []Shortage {
	var wants []Shortage
	for name := range *led.accounts.Load() {
		if want, short := led.Shortage(now, name, 0); short {
			wants = append(wants, want)
		}
	}
	slices.SortFunc(wants, func(one, two Shortage) int { return cmp.Compare(one.Team, two.Team) })
	return wants
}

// Lend debits shares and tokens that are idle here and returns them as loans, up to what is wanted. A forwarded
// shortage comes from the broker of another group.
func (led *RateLimiter) Lend(now time.Time, borrower string, want Shortage, forwarded bool) []Loan {
	acc := led.account(want.Team)
	if acc == nil {
		return nil
	}
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	if acc.revoked {
		return nil
	}
	depth := maxDepth
	if forwarded {
		depth = forwardedDepth
	}
	spare := acc.usable() - max(acc.need(), reservePart*acc.own.share)
	var loans []Loan
	for _, lot := range slices.Backward(acc.sources()) {
		share := min(lot.usable(), spare, max(want.Share, want.Tokens/acc.team.Burst))
		if share < minShare || lot.depth >= depth || lot.lender == borrower {
			continue
		}
		loan, ok := acc.lend(now, lot, borrower, share, led.id())
		if !ok {
			continue
		}
		spare -= loan.Share
		want.Share -= loan.Share
		want.Tokens -= loan.Tokens
		loans = append(loans, loan)
	}
	return loans
}

func (led *RateLimiter) id() uint64 {
	led.rngMu.Lock()
	defer led.rngMu.Unlock()
	return led.rng.Uint64()
}

// lend moves a share from a lot. The loan ends before the lot does, also when the borrower's clock runs slow.
func (acc *account) lend(now time.Time, lot *lot, borrower string, share float64, id uint64) (Loan, bool) {
	term := termWithin(now, lot.until)
	if term < minTerm {
		return Loan{}, false
	}
	tokens := lot.debit(share * acc.team.Burst)
	lot.lent += share
	deb := &debt{id: id, borrower: borrower, share: share, from: lot, lentAt: now, back: backAt(now, term)}
	acc.debts = append(acc.debts, deb)
	return Loan{ID: id, Team: acc.team.Name, Share: share, Tokens: tokens, Term: term, Depth: lot.depth + 1}, true
}

// termWithin returns the longest term that ends before a time, clock differences included.
func termWithin(now, until time.Time) time.Duration {
	return min(MaxLoanTerm, time.Duration(float64(until.Sub(now))/driftFactor))
}

func backAt(now time.Time, term time.Duration) time.Time {
	return now.Add(time.Duration(float64(term) * driftFactor))
}

// Renew gives longer terms to loans that the borrower still needs. A loan is not renewed while the lot behind it is
// overdrawn or this node's own demand needs the share.
func (led *RateLimiter) Renew(now time.Time, borrower string, ids []uint64) []Loan {
	var loans []Loan
	for _, acc := range *led.accounts.Load() {
		loans = append(loans, acc.renew(now, borrower, ids)...)
	}
	return loans
}

func (acc *account) renew(now time.Time, borrower string, ids []uint64) []Loan {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	lack := acc.need() - acc.usable()
	var loans []Loan
	for _, deb := range acc.debts {
		if deb.borrower != borrower || !slices.Contains(ids, deb.id) || acc.revoked {
			continue
		}
		lot := deb.from
		if lot.lent > lot.share+minShare {
			continue
		}
		if lot == acc.own && lack > minShare {
			lack -= deb.share
			continue
		}
		term := termWithin(now, lot.until)
		if term < minTerm {
			continue
		}
		if back := backAt(now, term); back.After(deb.back) {
			deb.back = back
		}
		loans = append(loans, Loan{ID: deb.id, Term: term})
	}
	return loans
}

// ApplyGrant takes in granted and renewed loans; their terms count from when this node asked.
func (led *RateLimiter) ApplyGrant(now, askedAt time.Time, lender string, loans []Loan) {
	renewed := map[uint64]time.Duration{}
	for _, loan := range loans {
		if loan.Team == "" {
			renewed[loan.ID] = loan.Term
			continue
		}
		if acc := led.account(loan.Team); acc != nil {
			acc.borrow(now, askedAt, lender, loan)
		}
	}
	if len(renewed) == 0 {
		return
	}
	for _, acc := range *led.accounts.Load() {
		acc.extend(now, askedAt, lender, renewed)
	}
}

func (acc *account) borrow(now, askedAt time.Time, lender string, loan Loan) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	until := askedAt.Add(loan.Term)
	// Tokens that were earned before the team was revoked must not come back when it is declared again.
	if askedAt.Before(acc.since) {
		return
	}
	if acc.revoked || !now.Before(until) || len(acc.lots) >= maxLoans {
		return
	}
	if slices.ContainsFunc(acc.lots, func(lot *lot) bool { return lot.id == loan.ID }) {
		return
	}
	acc.lots = append(acc.lots, &lot{
		id: loan.ID, lender: lender, share: loan.Share, tokens: loan.Tokens, until: until, depth: loan.Depth,
	})
	acc.clip()
}

func (acc *account) extend(now, askedAt time.Time, lender string, renewed map[uint64]time.Duration) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	for _, lot := range acc.lots {
		term, ok := renewed[lot.id]
		if until := askedAt.Add(term); ok && lot.lender == lender && until.After(lot.until) {
			lot.until = until
		}
	}
}

// LoansEndingBefore returns the loans that this node holds from each lender and that end before a time.
func (led *RateLimiter) LoansEndingBefore(now, before time.Time) map[string][]uint64 {
	held := map[string][]uint64{}
	for _, acc := range *led.accounts.Load() {
		acc.mu.Lock()
		acc.advance(now)
		for _, lot := range acc.lots {
			if lot.until.Before(before) {
				held[lot.lender] = append(held[lot.lender], lot.id)
			}
		}
		acc.mu.Unlock()
	}
	return held
}

// ReturnIdle removes loans that own demand and borrowers do not need, and returns them by lender. The caller chooses
// which loans it keeps for later.
func (led *RateLimiter) ReturnIdle(now time.Time, keep func(team, lender string) bool) map[string][]Loan {
	out := map[string][]Loan{}
	for _, acc := range *led.accounts.Load() {
		acc.giveBack(now, keep, out)
	}
	return out
}

func (acc *account) giveBack(now time.Time, keep func(team, lender string) bool, out map[string][]Loan) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	excess := acc.usable() - acc.need()
	acc.lots = slices.DeleteFunc(acc.lots, func(lot *lot) bool {
		if lot.lent > minShare || lot.share > excess || keep(acc.team.Name, lot.lender) {
			return false
		}
		excess -= lot.share
		out[lot.lender] = append(out[lot.lender], Loan{ID: lot.id, Team: acc.team.Name, Tokens: lot.tokens})
		return true
	})
}

// AcceptReturn takes back loans that a borrower has given back before their end, with the tokens that it debited.
func (led *RateLimiter) AcceptReturn(now time.Time, borrower string, loans []Loan) {
	for _, loan := range loans {
		if acc := led.account(loan.Team); acc != nil {
			acc.reclaim(now, borrower, loan)
		}
	}
}

func (acc *account) reclaim(now time.Time, borrower string, loan Loan) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	for i, deb := range acc.debts {
		if deb.id != loan.ID || deb.borrower != borrower {
			continue
		}
		deb.from.lent -= deb.share
		if !deb.lentAt.Before(acc.since) {
			deb.from.tokens += min(loan.Tokens, deb.share*acc.team.Burst)
		}
		acc.debts = slices.Delete(acc.debts, i, i+1)
		acc.clip()
		return
	}
}

// Status returns the state of all declared teams in ascending order of name.
func (led *RateLimiter) Status(now time.Time) []Status {
	var out []Status
	for _, acc := range *led.accounts.Load() {
		out = append(out, acc.status(now))
	}
	slices.SortFunc(out, func(one, two Status) int { return cmp.Compare(one.Team, two.Team) })
	return out
}

func (acc *account) status(now time.Time) Status {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	acc.advance(now)
	sta := Status{Team: acc.team.Name, Own: acc.own.share, Usable: acc.usable(), Tokens: acc.own.tokens, Demand: acc.demand}
	for _, lot := range acc.lots {
		sta.Borrowed += lot.share
		sta.Tokens += lot.tokens
	}
	for _, deb := range acc.debts {
		sta.Lent += deb.share
	}
	return sta
}
