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
	// driftFactor is the highest ratio between the speeds of two nodes' clocks, of which one may run up to 20% faster.
	driftFactor = 1.2
	// minLoanTerm is the shortest term for which a share is lent: the borrower must be able to renew the loan in time.
	minLoanTerm = 100 * time.Millisecond
	// maxLoanDepth bounds how often a share is lent on: from a host to its broker, to the broker of another group, and to
	// a host of that group.
	maxLoanDepth = 3
	// maxForwardedDepth is the limit of a loan to another broker, which must be able to lend the share to its host.
	maxForwardedDepth = maxLoanDepth - 1
	// maxBorrowedLoans bounds the loans of one team that a node holds as borrower.
	maxBorrowedLoans = 128
	// minShare is the smallest share that is lent or borrowed, as a fraction of a team's rate.
	minShare = 1e-4
	// demandHeadroom multiplies the measured demand to get the share that a node needs, because arrivals fluctuate.
	demandHeadroom = 1.3
	// reserveFraction is the fraction of its own share that an idle node does not lend, so that the first request finds a
	// token.
	reserveFraction = 0.05
	// fallingDemandWeight is the weight of the last interval in the moving average of a falling demand; with a small
	// weight, loans would be held longer than needed.
	fallingDemandWeight = 0.75
)

const (
	// idleGapFactor is the number of mean gaps between arrivals without a request after which a node counts as idle. In a
	// Poisson process, one gap in 3,000 is that long.
	idleGapFactor = 8
	// minIdleGap is the shortest time without a request after which a node counts as idle.
	minIdleGap = 20 * time.Millisecond
)

// Team is the declared rate and burst of a team across all hosts.
type Team struct {
	Name  string
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Loan is a share that a lender grants to a borrower for a term; a renewal has only ID and Term.
type Loan struct {
	ID        uint64
	Team      string
	Share     float64 // fraction of the team's rate
	Tokens    float64 // moved from the lender's bucket together with the share
	Term      time.Duration
	TimesLent int // how often the share has been lent since it left the node that owns it, this loan included
}

// Shortage is the share and the tokens that a node needs beyond those it has.
type Shortage struct {
	Team   string
	Share  float64 // fraction of the team's rate
	Tokens float64
}

// Status is one team's state on this node; shares are fractions of the team's rate.
type Status struct {
	Team     string
	Own      float64
	Lent     float64
	Borrowed float64
	Usable   float64 // own and borrowed shares less those that are lent
	Tokens   float64
	Demand   float64 // requests per second
}

// bucket is the token bucket of the node's own share or of one borrowed loan.
type bucket struct {
	loanID    uint64 // zero for the own share, like lender and timesLent
	lender    string
	share     float64 // fraction of the team's rate, with the part that is lent
	lentShare float64 // part of share that is lent
	tokens    float64
	expiresAt time.Time
	timesLent int // Loan.TimesLent
}

// usableShare returns the share that is not lent.
func (buc *bucket) usableShare() float64 { return max(0, buc.share-buc.lentShare) }

// lentLoan is a loan of which this node is the lender.
type lentLoan struct {
	id        uint64
	borrower  string
	share     float64
	bucket    *bucket // from which share and tokens were taken
	lentAt    time.Time
	returnsBy time.Time // when the share is this node's again, unless the borrower returns it earlier
}

// teamLimiter limits the rate of one team on this node.
type teamLimiter struct {
	mut        sync.Mutex
	team       Team
	revoked    bool      // the team is not declared any more
	declaredAt time.Time // when the team was last declared after it had not been
	own        *bucket
	borrowed   []*bucket
	lent       []*lentLoan
	updatedAt  time.Time // time up to which the buckets are refilled

	arrivals      int // counted since lastTickAt
	lastArrivalAt time.Time
	demand        float64 // requests per second
	lastTickAt    time.Time
}

// RateLimiter limits the rates of all teams on one node; it is safe for concurrent use.
type RateLimiter struct {
	teams atomic.Pointer[map[string]*teamLimiter]

	mut        sync.Mutex // guards share, shareUntil and stores to teams; locked before teamLimiter.mut
	share      float64
	shareUntil time.Time

	rngMut sync.Mutex // locked after teamLimiter.mut
	rng    *rand.Rand
}

// New returns the rate limiter of a node that has just started: no teams, no share, no tokens.
func New(rng *rand.Rand) *RateLimiter {
	rl := &RateLimiter{rng: rng}
	rl.teams.Store(&map[string]*teamLimiter{})
	return rl
}

func (rl *RateLimiter) teamLimiter(team string) *teamLimiter { return (*rl.teams.Load())[team] }

// SetTeams applies the declared teams; a team that is no longer declared gets no tokens from now on.
func (rl *RateLimiter) SetTeams(now time.Time, teams []Team) {
	rl.mut.Lock()
	defer rl.mut.Unlock()
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
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	tl.team = tea
	if tl.revoked {
		tl.revoked, tl.declaredAt = false, now
	}
	tl.capTokens()
}

// revoke stops admitting requests of the team and reports whether its limiter must be kept: while a share is lent, the
// node must not use it too if the team is declared again.
func (tl *teamLimiter) revoke(now time.Time) bool {
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	tl.team.Rate, tl.team.Burst = 0, 0
	tl.revoked = true
	tl.capTokens()
	return len(tl.lent) > 0
}

// SetShare sets the node's own share, the fraction of every team's rate that it may use before a time.
func (rl *RateLimiter) SetShare(now time.Time, share float64, until time.Time) {
	rl.mut.Lock()
	defer rl.mut.Unlock()
	rl.share, rl.shareUntil = share, until
	for _, tl := range *rl.teams.Load() {
		tl.setShare(now, share, until)
	}
}

func (tl *teamLimiter) setShare(now time.Time, share float64, until time.Time) {
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	tl.own.share, tl.own.expiresAt = share, until
	if !now.Before(until) {
		tl.own.share = 0
	}
	tl.capTokens()
}

// advance refills the buckets up to now and removes expired loans. A loan or an own share that expired since the last
// call gets no tokens for that time, and a lent share that has returned starts without tokens.
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

// refill adds the tokens of a number of seconds, up to the burst of the usable share.
func (buc *bucket) refill(seconds float64, tea Team) {
	buc.tokens = min(buc.tokens+buc.usableShare()*tea.Rate*seconds, buc.usableShare()*tea.Burst)
}

// capTokens limits the tokens of each bucket to the burst of its usable share.
func (tl *teamLimiter) capTokens() {
	for _, buc := range tl.buckets() {
		buc.tokens = min(buc.tokens, buc.usableShare()*tl.team.Burst)
	}
}

// buckets returns all buckets, that of the own share last.
func (tl *teamLimiter) buckets() []*bucket { return append(slices.Clone(tl.borrowed), tl.own) }

// Take counts a new request as demand and takes one token for it; it returns false if there is none.
func (rl *RateLimiter) Take(now time.Time, team string) bool {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return false
	}
	tl.mut.Lock()
	defer tl.mut.Unlock()
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
	tl.mut.Lock()
	defer tl.mut.Unlock()
	return tl.take(now)
}

// take takes one token, in parts from several buckets if necessary. Borrowed tokens go first, because they expire with
// their loan.
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

// debit takes up to a number of tokens and returns how many it took.
func (buc *bucket) debit(tokens float64) float64 {
	debited := min(buc.tokens, tokens)
	buc.tokens -= debited
	return debited
}

// Tick updates the measured demand from the arrivals since the last call; call it a few times a second.
func (rl *RateLimiter) Tick(now time.Time) {
	for _, tl := range *rl.teams.Load() {
		tl.tick(now)
	}
}

func (tl *teamLimiter) tick(now time.Time) {
	tl.mut.Lock()
	defer tl.mut.Unlock()
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

// neededShare returns the share that the demand on this node needs.
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

// RetryAfter returns the time in which the team's usable share yields one token, at most maxWait.
func (rl *RateLimiter) RetryAfter(now time.Time, team string, maxWait time.Duration) time.Duration {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return maxWait
	}
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	tokensPerSecond := tl.usableShare() * tl.team.Rate
	if tokensPerSecond*maxWait.Seconds() < 1 {
		return maxWait
	}
	return time.Duration(float64(time.Second) / tokensPerSecond)
}

// Team returns the declared rate and burst of a team and whether the team is declared.
func (rl *RateLimiter) Team(team string) (Team, bool) {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return Team{}, false
	}
	tl.mut.Lock()
	defer tl.mut.Unlock()
	return tl.team, !tl.revoked
}

// Shortage returns the share that the demand on this node lacks, with the tokens that the caller needs immediately,
// and whether there is anything to borrow.
func (rl *RateLimiter) Shortage(now time.Time, team string, tokens float64) (Shortage, bool) {
	tl := rl.teamLimiter(team)
	if tl == nil {
		return Shortage{}, false
	}
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	shortage := Shortage{Team: team, Share: max(0, tl.neededShare()-tl.usableShare()), Tokens: tokens}
	return shortage, !tl.revoked && (shortage.Share > minShare || tokens > 0)
}

// Shortages returns the shortage of each team that lacks share, in ascending order of team name.
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

// Lend takes idle shares and their tokens out of this node's buckets, up to the borrower's shortage, and returns them
// as loans. If forwarded is true, the borrower is the broker of another group, which lends the share on to one of its
// hosts.
func (rl *RateLimiter) Lend(now time.Time, borrower string, shortage Shortage, forwarded bool) []Loan {
	tl := rl.teamLimiter(shortage.Team)
	if tl == nil {
		return nil
	}
	tl.mut.Lock()
	defer tl.mut.Unlock()
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
	rl.rngMut.Lock()
	defer rl.rngMut.Unlock()
	return rl.rng.Uint64()
}

// lend lends a share of a bucket. The loan expires before the bucket does, even if the borrower's clock runs slow.
func (tl *teamLimiter) lend(now time.Time, buc *bucket, borrower string, share float64, id uint64) (Loan, bool) {
	term := longestTerm(now, buc.expiresAt)
	if term < minLoanTerm {
		return Loan{}, false
	}
	tokens := buc.debit(share * tl.team.Burst)
	buc.lentShare += share
	loan := &lentLoan{id: id, borrower: borrower, share: share, bucket: buc, lentAt: now, returnsBy: returnTime(now, term)}
	tl.lent = append(tl.lent, loan)
	return Loan{ID: id, Team: tl.team.Name, Share: share, Tokens: tokens, Term: term, TimesLent: buc.timesLent + 1}, true
}

// longestTerm returns the longest term of a loan that ends before a time even if the borrower's clock runs slow.
func longestTerm(now, until time.Time) time.Duration {
	return min(MaxLoanTerm, time.Duration(float64(until.Sub(now))/driftFactor))
}

// returnTime returns when a loan granted now has expired even if the borrower's clock runs slow.
func returnTime(now time.Time, term time.Duration) time.Time {
	return now.Add(time.Duration(float64(term) * driftFactor))
}

// Renew extends the terms of the loans that a borrower names. A loan is not renewed while its bucket has lent more than
// its share, or while the demand on this node needs the share.
func (rl *RateLimiter) Renew(now time.Time, borrower string, ids []uint64) []Loan {
	var loans []Loan
	for _, tl := range *rl.teams.Load() {
		loans = append(loans, tl.renew(now, borrower, ids)...)
	}
	return loans
}

func (tl *teamLimiter) renew(now time.Time, borrower string, ids []uint64) []Loan {
	tl.mut.Lock()
	defer tl.mut.Unlock()
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

// ApplyGrant adds the loans that a lender has granted or renewed; their terms count from when this node sent the
// request.
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
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	until := requestedAt.Add(loan.Term)
	// A loan requested before the team was revoked and declared again would bring tokens from before the revocation.
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
		loanID: loan.ID, lender: lender, share: loan.Share, tokens: loan.Tokens, expiresAt: until, timesLent: loan.TimesLent,
	})
	tl.capTokens()
}

func (tl *teamLimiter) extendLoans(now, requestedAt time.Time, lender string, renewed map[uint64]time.Duration) {
	tl.mut.Lock()
	defer tl.mut.Unlock()
	tl.advance(now)
	for _, buc := range tl.borrowed {
		term, ok := renewed[buc.loanID]
		if until := requestedAt.Add(term); ok && buc.lender == lender && until.After(buc.expiresAt) {
			buc.expiresAt = until
		}
	}
}

// LoansEndingBefore returns, by lender, the IDs of the borrowed loans that expire before a time.
func (rl *RateLimiter) LoansEndingBefore(now, end time.Time) map[string][]uint64 {
	loanIDs := map[string][]uint64{}
	for _, tl := range *rl.teams.Load() {
		tl.mut.Lock()
		tl.advance(now)
		for _, buc := range tl.borrowed {
			if buc.expiresAt.Before(end) {
				loanIDs[buc.lender] = append(loanIDs[buc.lender], buc.loanID)
			}
		}
		tl.mut.Unlock()
	}
	return loanIDs
}

// ReturnIdle removes borrowed loans that neither the demand on this node nor its borrowers need, and returns them by
// lender. Loans for which keep returns true stay.
func (rl *RateLimiter) ReturnIdle(now time.Time, keep func(team, lender string) bool) map[string][]Loan {
	returned := map[string][]Loan{}
	for _, tl := range *rl.teams.Load() {
		tl.returnIdle(now, keep, returned)
	}
	return returned
}

func (tl *teamLimiter) returnIdle(now time.Time, keep func(team, lender string) bool, returned map[string][]Loan) {
	tl.mut.Lock()
	defer tl.mut.Unlock()
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

// AcceptReturn takes back loans that a borrower returns before they expire, with the tokens that it has left of them.
func (rl *RateLimiter) AcceptReturn(now time.Time, borrower string, loans []Loan) {
	for _, loan := range loans {
		if tl := rl.teamLimiter(loan.Team); tl != nil {
			tl.acceptReturn(now, borrower, loan)
		}
	}
}

func (tl *teamLimiter) acceptReturn(now time.Time, borrower string, returned Loan) {
	tl.mut.Lock()
	defer tl.mut.Unlock()
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

// Status returns the state of all declared teams, and of revoked ones with shares still lent, in ascending order of name.
func (rl *RateLimiter) Status(now time.Time) []Status {
	var statuses []Status
	for _, tl := range *rl.teams.Load() {
		statuses = append(statuses, tl.status(now))
	}
	slices.SortFunc(statuses, func(one, two Status) int { return cmp.Compare(one.Team, two.Team) })
	return statuses
}

func (tl *teamLimiter) status(now time.Time) Status {
	tl.mut.Lock()
	defer tl.mut.Unlock()
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
