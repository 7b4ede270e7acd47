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
	minLoanTerm = 100 * time.Millisecond
	// maxDepth bounds the chain host, broker, broker of another group, host.
	maxLoanDepth = 3
	// forwardedDepth leaves the asking broker one more loan to its host.
	maxForwardedDepth = maxLoanDepth - 1
	// maxLoans bounds the loans of one team that a node holds.
	maxBorrowedLoans = 128
	// minShare is the smallest share worth a loan.
	minShare = 1e-4
	// headroom keeps more share than the measured demand needs, because arrivals fluctuate.
	demandHeadroom = 1.3
	// reservePart is the part of the own share that is not lent while idle, so that a first request finds a token.
	reserveFraction = 0.05
	// decay weighs the last interval's arrivals when demand falls; a small weight would hold loans longer than needed.
	fallingDemandWeight = 0.75
)

const (
	// longGap is the number of mean gaps between arrivals after which demand has ended; a Poisson stream has one such
	// gap in 3,000.
	idleGapFactor = 8
	// minGap is the shortest gap that ends demand.
	minIdleGap = 20 * time.Millisecond
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
type bucket struct {
	loanID    uint64
	lender    string
	share     float64
	lentShare float64
	tokens    float64
	expiresAt time.Time
	timesLent int
}

// usable returns the share that is not lent on.
func (buc *bucket) usableShare() float64 { return max(0, buc.share-buc.lentShare) }

// debt is a loan that the node has given.
type lentLoan struct {
	id        uint64
	borrower  string
	share     float64
	bucket    *bucket
	lentAt    time.Time
	returnsBy time.Time // when the share returns at the latest
}

// account is the state of one team.
type teamLimiter struct {
	mu         sync.Mutex
	team       Team
	revoked    bool
	declaredAt time.Time // when the team was last declared after an absence
	own        *bucket
	borrowed   []*bucket
	lent       []*lentLoan
	updatedAt  time.Time // tokens are counted up to here

	arrivals      int
	lastArrivalAt time.Time // of the last arrival
	demand        float64   // requests per second
	lastTickAt    time.Time
}

// RateLimiter holds the accounts of all teams on one node; it is safe for concurrent use.
type RateLimiter struct {
	teams atomic.Pointer[map[string]*teamLimiter]

	mu         sync.Mutex // guards the fields below and changes of accounts; taken before an account's
	share      float64
	shareUntil time.Time

	rngMu sync.Mutex // taken after an account's
	rng   *rand.Rand
}

// New returns the rate limiter of a node that has just started: no teams, no share, no tokens.
func New(rng *rand.Rand) *RateLimiter {
	rl := &RateLimiter{rng: rng}
	rl.teams.Store(&map[string]*teamLimiter{})
	return rl
}

func (rl *RateLimiter) teamLimiter(team string) *teamLimiter { return (*rl.teams.Load())[team] }

// SetTeams applies the declared teams; an undeclared one gets no tokens from now on.
func (rl *RateLimiter) SetTeams(now time.Time, teams []Team) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	next := map[string]*teamLimiter{}
	for _, tea := range teams {
		tl := rl.teamLimiter(tea.Name)
		if tl == nil {
			tl = &teamLimiter{own: &bucket{}, updatedAt: now, lastTickAt: now, declaredAt: now}
			tl.setShare(now, rl.share, rl.shareUntil)
		}
		next[tea.Name] = tl
		tl.setTeam(now, tea)
	}
	for name, tl := range *rl.teams.Load() {
		if next[name] == nil && tl.revoke(now) {
			next[name] = tl
		}
	}
	rl.teams.Store(&next)
}

func (tl *teamLimiter) setTeam(now time.Time, tea Team) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	tl.team = tea
	if tl.revoked {
		tl.revoked, tl.declaredAt = false, now
	}
	tl.capTokens()
}

// revoke ends a team and says whether the account must be kept: a share that is lent must not be used twice when the
// team is declared again.
func (tl *teamLimiter) revoke(now time.Time) bool {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	tl.team.Rate, tl.team.Burst = 0, 0
	tl.revoked = true
	tl.capTokens()
	return len(tl.lent) > 0
}

// SetShare applies the node's own part of every rate, which ends by itself.
func (rl *RateLimiter) SetShare(now time.Time, share float64, until time.Time) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.share, rl.shareUntil = share, until
	for _, tl := range *rl.teams.Load() {
		tl.setShare(now, share, until)
	}
}

func (tl *teamLimiter) setShare(now time.Time, share float64, until time.Time) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	tl.own.share, tl.own.expiresAt = share, until
	if !now.Before(until) {
		tl.own.share = 0
	}
	tl.capTokens()
}

// advance counts tokens and drops what has ended. A loan or share that ended since the last call earns nothing for that
// time, and a share that has come back starts with no tokens.
func (tl *teamLimiter) advance(now time.Time) {
	if !now.After(tl.updatedAt) {
		return
	}
	seconds := now.Sub(tl.updatedAt).Seconds()
	tl.updatedAt = now
	tl.own.refill(seconds, tl.team)
	if !now.Before(tl.own.expiresAt) {
		tl.own.share, tl.own.tokens = 0, 0
	}
	for _, buc := range tl.borrowed {
		buc.refill(seconds, tl.team)
	}
	tl.borrowed = slices.DeleteFunc(tl.borrowed, func(buc *bucket) bool { return !now.Before(buc.expiresAt) })
	tl.lent = slices.DeleteFunc(tl.lent, func(loan *lentLoan) bool {
		if now.Before(loan.returnsBy) {
			return false
		}
		loan.bucket.lentShare -= loan.share
		return true
	})
}

// earn adds tokens for a time.
func (buc *bucket) refill(seconds float64, tea Team) {
	buc.tokens = min(buc.tokens+buc.usableShare()*tea.Rate*seconds, buc.usableShare()*tea.Burst)
}

// clip cuts tokens to the burst of the present shares.
func (tl *teamLimiter) capTokens() {
	for _, buc := range tl.buckets() {
		buc.tokens = min(buc.tokens, buc.usableShare()*tl.team.Burst)
	}
}

// sources returns all lots, the own one last.
func (tl *teamLimiter) buckets() []*bucket { return append(slices.Clone(tl.borrowed), tl.own) }

// Take takes one token for a new request; it says false when there is none.
func (rl *RateLimiter) Take(now time.Time, team string) bool {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return false
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.arrivals++
	tl.lastArrivalAt = now
	return tl.take(now)
}

// TakeUncounted takes one token for a request that Take has already counted.
func (rl *RateLimiter) TakeUncounted(now time.Time, team string) bool {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return false
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return tl.take(now)
}

// take debits one token, from several lots if need be. Loans are used first because their tokens end with them.
func (tl *teamLimiter) take(now time.Time) bool {
	tl.advance(now)
	sum := tl.own.tokens
	for _, buc := range tl.borrowed {
		sum += buc.tokens
	}
	if sum < 1 || tl.revoked {
		return false
	}
	remaining := 1.0
	for _, buc := range tl.borrowed {
		remaining -= buc.debit(remaining)
	}
	tl.own.debit(remaining)
	return true
}

func (buc *bucket) debit(tokens float64) float64 {
	debited := min(buc.tokens, tokens)
	buc.tokens -= debited
	return debited
}

// Tick measures demand; call it a few times a second.
func (rl *RateLimiter) Tick(now time.Time) {
	for _, tl := range *rl.teams.Load() {
		tl.tick(now)
	}
}

func (tl *teamLimiter) tick(now time.Time) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	seconds := now.Sub(tl.lastTickAt).Seconds()
	if seconds <= 0 {
		return
	}
	rate := float64(tl.arrivals) / seconds
	if rate < tl.demand {
		rate = fallingDemandWeight*rate + (1-fallingDemandWeight)*tl.demand
	}
	tl.demand = rate
	tl.arrivals = 0
	tl.lastTickAt = now
}

// need returns the share that the node's own demand takes.
func (tl *teamLimiter) neededShare() float64 {
	if tl.team.Rate == 0 || tl.demand == 0 {
		return 0
	}
	idleGap := max(minIdleGap, time.Duration(idleGapFactor/tl.demand*float64(time.Second)))
	if tl.updatedAt.Sub(tl.lastArrivalAt) > idleGap {
		return 0
	}
	return min(1, demandHeadroom*tl.demand/tl.team.Rate)
}

func (tl *teamLimiter) usableShare() float64 {
	sum := tl.own.usableShare()
	for _, buc := range tl.borrowed {
		sum += buc.usableShare()
	}
	return sum
}

// RetryAfter returns how long the present shares need to earn the next token, at most the given time.
func (rl *RateLimiter) RetryAfter(now time.Time, team string, maxWait time.Duration) time.Duration {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return maxWait
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	tokensPerSecond := tl.usableShare() * tl.team.Rate
	if tokensPerSecond*maxWait.Seconds() < 1 {
		return maxWait
	}
	return time.Duration(float64(time.Second) / tokensPerSecond)
}

// Team returns a team as it was last declared.
func (rl *RateLimiter) Team(team string) (Team, bool) {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return Team{}, false
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	return tl.team, !tl.revoked
}

// Shortage returns what a team's own demand lacks, together with the tokens that are wanted at once.
func (rl *RateLimiter) Shortage(now time.Time, team string, tokens float64) (Shortage, bool) {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return Shortage{}, false
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	shortage := Shortage{Team: team, Share: max(0, tl.neededShare()-tl.usableShare()), Tokens: tokens}
	return shortage, !tl.revoked && (shortage.Share > minShare || tokens > 0)
}

// Shortages returns what the demand of all teams lacks in share.
func (rl *RateLimiter) Shortages(now time.Time) []Shortage {
	var shortages []Shortage
	for name := range *rl.teams.Load() {
		if shortage, short := rl.Shortage(now, name, 0); short {
			shortages = append(shortages, shortage)
		}
	}
	slices.SortFunc(shortages, func(one, two Shortage) int { return cmp.Compare(one.Team, two.Team) })
	return shortages
}

// Lend debits shares and tokens that are idle here and returns them as loans, up to what is wanted. A forwarded
// shortage comes from the broker of another group.
func (rl *RateLimiter) Lend(now time.Time, borrower string, shortage Shortage, forwarded bool) []Loan {
	tl := rl.teamLimiter(shortage.Team)
	if tl == nil {
		return nil
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	if tl.revoked {
		return nil
	}
	maxDepth := maxLoanDepth
	if forwarded {
		maxDepth = maxForwardedDepth
	}
	spareShare := tl.usableShare() - max(tl.neededShare(), reserveFraction*tl.own.share)
	var loans []Loan
	for _, buc := range slices.Backward(tl.buckets()) {
		share := min(buc.usableShare(), spareShare, max(shortage.Share, shortage.Tokens/tl.team.Burst))
		if share < minShare || buc.timesLent >= maxDepth || buc.lender == borrower {
			continue
		}
		loan, ok := tl.lend(now, buc, borrower, share, rl.newLoanID())
		if !ok {
			continue
		}
		spareShare -= loan.Share
		shortage.Share -= loan.Share
		shortage.Tokens -= loan.Tokens
		loans = append(loans, loan)
	}
	return loans
}

func (rl *RateLimiter) newLoanID() uint64 {
	rl.rngMu.Lock()
	defer rl.rngMu.Unlock()
	return rl.rng.Uint64()
}

// lend moves a share from a lot. The loan ends before the lot does, also when the borrower's clock runs slow.
func (tl *teamLimiter) lend(now time.Time, buc *bucket, borrower string, share float64, id uint64) (Loan, bool) {
	term := longestTerm(now, buc.expiresAt)
	if term < minLoanTerm {
		return Loan{}, false
	}
	tokens := buc.debit(share * tl.team.Burst)
	buc.lentShare += share
	loan := &lentLoan{id: id, borrower: borrower, share: share, bucket: buc, lentAt: now, returnsBy: returnTime(now, term)}
	tl.lent = append(tl.lent, loan)
	return Loan{ID: id, Team: tl.team.Name, Share: share, Tokens: tokens, Term: term, Depth: buc.timesLent + 1}, true
}

// termWithin returns the longest term that ends before a time, clock differences included.
func longestTerm(now, until time.Time) time.Duration {
	return min(MaxLoanTerm, time.Duration(float64(until.Sub(now))/driftFactor))
}

func returnTime(now time.Time, term time.Duration) time.Time {
	return now.Add(time.Duration(float64(term) * driftFactor))
}

// Renew gives longer terms to loans that the borrower still needs. A loan is not renewed while the lot behind it is
// overdrawn or this node's own demand needs the share.
func (rl *RateLimiter) Renew(now time.Time, borrower string, ids []uint64) []Loan {
	var loans []Loan
	for _, tl := range *rl.teams.Load() {
		loans = append(loans, tl.renew(now, borrower, ids)...)
	}
	return loans
}

func (tl *teamLimiter) renew(now time.Time, borrower string, ids []uint64) []Loan {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	missingShare := tl.neededShare() - tl.usableShare()
	var loans []Loan
	for _, loan := range tl.lent {
		if loan.borrower != borrower || !slices.Contains(ids, loan.id) || tl.revoked {
			continue
		}
		buc := loan.bucket
		if buc.lentShare > buc.share+minShare {
			continue
		}
		if buc == tl.own && missingShare > minShare {
			missingShare -= loan.share
			continue
		}
		term := longestTerm(now, buc.expiresAt)
		if term < minLoanTerm {
			continue
		}
		if returnsBy := returnTime(now, term); returnsBy.After(loan.returnsBy) {
			loan.returnsBy = returnsBy
		}
		loans = append(loans, Loan{ID: loan.id, Term: term})
	}
	return loans
}

// ApplyGrant takes in granted and renewed loans; their terms count from when this node asked.
func (rl *RateLimiter) ApplyGrant(now, requestedAt time.Time, lender string, loans []Loan) {
	renewed := map[uint64]time.Duration{}
	for _, loan := range loans {
		if loan.Team == "" {
			renewed[loan.ID] = loan.Term
			continue
		}
		if tl := rl.teamLimiter(loan.Team); tl != nil {
			tl.addLoan(now, requestedAt, lender, loan)
		}
	}
	if len(renewed) == 0 {
		return
	}
	for _, tl := range *rl.teams.Load() {
		tl.extendLoans(now, requestedAt, lender, renewed)
	}
}

func (tl *teamLimiter) addLoan(now, requestedAt time.Time, lender string, loan Loan) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	until := requestedAt.Add(loan.Term)
	// Tokens that were earned before the team was revoked must not come back when it is declared again.
	if requestedAt.Before(tl.declaredAt) {
		return
	}
	if tl.revoked || !now.Before(until) || len(tl.borrowed) >= maxBorrowedLoans {
		return
	}
	if slices.ContainsFunc(tl.borrowed, func(buc *bucket) bool { return buc.loanID == loan.ID }) {
		return
	}
	tl.borrowed = append(tl.borrowed, &bucket{
		loanID: loan.ID, lender: lender, share: loan.Share, tokens: loan.Tokens, expiresAt: until, timesLent: loan.Depth,
	})
	tl.capTokens()
}

func (tl *teamLimiter) extendLoans(now, requestedAt time.Time, lender string, renewed map[uint64]time.Duration) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	for _, buc := range tl.borrowed {
		term, ok := renewed[buc.loanID]
		if until := requestedAt.Add(term); ok && buc.lender == lender && until.After(buc.expiresAt) {
			buc.expiresAt = until
		}
	}
}

// LoansEndingBefore returns the loans that this node holds from each lender and that end before a time.
func (rl *RateLimiter) LoansEndingBefore(now, end time.Time) map[string][]uint64 {
	loanIDs := map[string][]uint64{}
	for _, tl := range *rl.teams.Load() {
		tl.mu.Lock()
		tl.advance(now)
		for _, buc := range tl.borrowed {
			if buc.expiresAt.Before(end) {
				loanIDs[buc.lender] = append(loanIDs[buc.lender], buc.loanID)
			}
		}
		tl.mu.Unlock()
	}
	return loanIDs
}

// ReturnIdle removes loans that own demand and borrowers do not need, and returns them by lender. The caller chooses
// which loans it keeps for later.
func (rl *RateLimiter) ReturnIdle(now time.Time, keep func(team, lender string) bool) map[string][]Loan {
	returned := map[string][]Loan{}
	for _, tl := range *rl.teams.Load() {
		tl.returnIdle(now, keep, returned)
	}
	return returned
}

func (tl *teamLimiter) returnIdle(now time.Time, keep func(team, lender string) bool, returned map[string][]Loan) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	excess := tl.usableShare() - tl.neededShare()
	tl.borrowed = slices.DeleteFunc(tl.borrowed, func(buc *bucket) bool {
		if buc.lentShare > minShare || buc.share > excess || keep(tl.team.Name, buc.lender) {
			return false
		}
		excess -= buc.share
		returned[buc.lender] = append(returned[buc.lender], Loan{ID: buc.loanID, Team: tl.team.Name, Tokens: buc.tokens})
		return true
	})
}

// AcceptReturn takes back loans that a borrower has given back before their end, with the tokens that it debited.
func (rl *RateLimiter) AcceptReturn(now time.Time, borrower string, loans []Loan) {
	for _, loan := range loans {
		if tl := rl.teamLimiter(loan.Team); tl != nil {
			tl.acceptReturn(now, borrower, loan)
		}
	}
}

func (tl *teamLimiter) acceptReturn(now time.Time, borrower string, returned Loan) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	for i, loan := range tl.lent {
		if loan.id != returned.ID || loan.borrower != borrower {
			continue
		}
		loan.bucket.lentShare -= loan.share
		if !loan.lentAt.Before(tl.declaredAt) {
			loan.bucket.tokens += min(returned.Tokens, loan.share*tl.team.Burst)
		}
		tl.lent = slices.Delete(tl.lent, i, i+1)
		tl.capTokens()
		return
	}
}

// Status returns the state of all declared teams in ascending order of name.
func (rl *RateLimiter) Status(now time.Time) []Status {
	var statuses []Status
	for _, tl := range *rl.teams.Load() {
		statuses = append(statuses, tl.status(now))
	}
	slices.SortFunc(statuses, func(one, two Status) int { return cmp.Compare(one.Team, two.Team) })
	return statuses
}

func (tl *teamLimiter) status(now time.Time) Status {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.advance(now)
	sta := Status{Team: tl.team.Name, Own: tl.own.share, Usable: tl.usableShare(), Tokens: tl.own.tokens, Demand: tl.demand}
	for _, buc := range tl.borrowed {
		sta.Borrowed += buc.share
		sta.Tokens += buc.tokens
	}
	for _, loan := range tl.lent {
		sta.Lent += loan.share
	}
	return sta
}
