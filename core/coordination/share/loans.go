package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/quota"
	"amaranthline/io/protocol/wire"
)

const (
	// loanInterval is the time between measurements of demand, after each of which loans are renewed and requested.
	loanInterval = 250 * time.Millisecond
	// returnInterval is the time between returns of idle loans.
	returnInterval = 50 * time.Millisecond
	// renewThreshold is the remaining term below which a loan is renewed. Loans from members of the rate
	// group, with a term of at most 2 s, are also renewed by the contacts, one each second.
	renewThreshold = 1200 * time.Millisecond
	// maxTakeWait is the longest time that a request waits for a loan. A round trip between failure domains takes 3 ms,
	// and the broker of the node's rate group may have to make one before it answers.
	maxTakeWait = 10 * time.Millisecond
	// maxBrokerWait is the longest time that a broker waits for other brokers; the rest of maxTakeWait is for its
	// answer to the node that requested the loan.
	maxBrokerWait = 8 * time.Millisecond
	// borrowBackoff is the time without a new borrowing attempt for a team after one that brought no loan.
	borrowBackoff = 25 * time.Millisecond
	// growthWindow is the time after the start of a borrowing attempt within which the next one requests more tokens.
	growthWindow = 100 * time.Millisecond
	// borrowGrowth multiplies the requested tokens from one attempt to the next, so that a burst needs few round trips.
	borrowGrowth = 4
	// firstBurstFraction is the fraction of the team's burst that a first attempt requests.
	firstBurstFraction = 1.0 / 16
	// maxBrokersAsked bounds the brokers asked concurrently for one shortage, so that messages do not grow with the fleet.
	maxBrokersAsked = 4
	// maxRetryAfter bounds the time after which a refusal tells the caller to retry.
	maxRetryAfter = time.Second
)

// borrowState is the state of the borrowing attempts for one team; one attempt is in flight at a time.
type borrowState struct {
	mut           sync.Mutex
	done          chan struct{} // closed when the attempt in flight ends; nil without one
	backoffUntil  time.Time
	lastStartedAt time.Time
	burstFraction float64 // fraction of the team's burst that startBorrowing requested last
}

// borrowState returns the state of a team and creates it if necessary.
func (mgr *Manager) borrowState(team string) *borrowState {
	value, _ := mgr.borrowStates.LoadOrStore(team, &borrowState{})
	return value.(*borrowState)
}

// Take takes one token of a team. If the node has none, it waits up to maxTakeWait for a loan; if that brings no token
// either, it returns a *core.Refusal.
func (mgr *Manager) Take(ctx context.Context, team string) error {
	if mgr.limiter.Take(time.Now(), team) {
		return nil
	}
	if _, ok := mgr.limiter.Team(team); !ok {
		return core.NewRefusal(core.ReasonRateExceeded, core.OutcomeNotRun, "the team of this request is not declared; add it to the declarations")
	}
	ctx, cancel := context.WithTimeout(ctx, maxTakeWait)
	defer cancel()
	for {
		done := mgr.startBorrowing(team)
		if done == nil {
			return mgr.newRefusal(team)
		}
		select {
		case <-done:
		case <-ctx.Done():
			if mgr.limiter.TakeUncounted(time.Now(), team) {
				return nil
			}
			return mgr.newRefusal(team)
		}
		if mgr.limiter.TakeUncounted(time.Now(), team) {
			return nil
		}
	}
}

func (mgr *Manager) newRefusal(team string) error {
	retryAfter := mgr.limiter.RetryAfter(time.Now(), team, maxRetryAfter)
	return core.NewRefusal(core.ReasonRateExceeded, core.OutcomeNotRun, "the team's rate is used up on this host and no loan came in time; retry later").WithRetryAfter(retryAfter)
}

// startBorrowing starts a borrowing attempt for a request, or joins the one in flight, and returns a channel that is
// closed when it ends. It returns nil if the team is not declared or is in a backoff, or if too many jobs are
// queued.
func (mgr *Manager) startBorrowing(team string) <-chan struct{} {
	tea, declared := mgr.limiter.Team(team)
	if !declared {
		return nil
	}
	now := time.Now()
	bst := mgr.borrowState(team)
	bst.mut.Lock()
	defer bst.mut.Unlock()
	if bst.done != nil {
		return bst.done
	}
	if now.Before(bst.backoffUntil) {
		return nil
	}
	if now.Sub(bst.lastStartedAt) > growthWindow {
		bst.burstFraction = firstBurstFraction / borrowGrowth
	}
	bst.burstFraction = min(1, borrowGrowth*bst.burstFraction)
	bst.lastStartedAt = now
	shortage, _ := mgr.limiter.Shortage(now, team, max(1, bst.burstFraction*tea.Burst))
	return mgr.queueBorrowing(bst, shortage, mgr.borrow)
}

// queueBorrowing queues a borrowing attempt for Run; bst must be locked. It returns nil if too many jobs are queued.
func (mgr *Manager) queueBorrowing(bst *borrowState, shortage quota.Shortage, run func(context.Context, quota.Shortage) int) <-chan struct{} {
	done := make(chan struct{})
	job := func(ctx context.Context) {
		loans := run(ctx, shortage)
		bst.mut.Lock()
		defer bst.mut.Unlock()
		if loans == 0 {
			bst.backoffUntil = time.Now().Add(borrowBackoff)
		}
		close(done)
		bst.done = nil
	}
	select {
	case mgr.jobs <- job:
		bst.done = done
		return done
	default:
		return nil
	}
}

// borrow requests loans from the team's broker in this node's rate group, or from the brokers of other groups if this node
// is the broker. It returns the number of loans.
func (mgr *Manager) borrow(ctx context.Context, shortage quota.Shortage) int {
	broker := mgr.broker(shortage.Team, mgr.rateGroups.Load().thisGroup)
	if broker == mgr.settings.Host || broker == "" {
		return mgr.borrowFromBrokers(ctx, shortage)
	}
	return mgr.requestLoans(ctx, broker, &wire.LoanRequest{Wants: []*wire.Want{wireWant(shortage)}})
}

// requestLoans sends a loan request, applies the grant and returns the number of loans.
func (mgr *Manager) requestLoans(ctx context.Context, host string, msg *wire.LoanRequest) int {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := mgr.settings.Peers.Exchange(ctx, host, msg)
	grant, ok := reply.(*wire.LoanGrant)
	if err != nil || !ok {
		return 0
	}
	loans := quotaLoans(grant)
	mgr.limiter.ApplyGrant(time.Now(), sentAt, host, loans)
	return len(loans)
}

// borrowFromBrokers requests loans from the brokers of a few other groups and returns after the first grant with a loan,
// or after maxBrokerWait. A broker that is out of contact must not delay the grants of others; later grants are applied
// when they arrive. It returns the number of loans of the first grant.
func (mgr *Manager) borrowFromBrokers(ctx context.Context, shortage quota.Shortage) int {
	if tea, _ := mgr.limiter.Team(shortage.Team); shortage.Tokens > 0 {
		// A burst needs as many tokens as possible in one round trip. Loans that it
		// does not use are soon returned as idle.
		shortage.Tokens = tea.Burst
	}
	brokers := mgr.otherBrokers(shortage.Team)
	grants := make(chan int, len(brokers))
	for _, broker := range brokers {
		mgr.tasks.Go(func() {
			grants <- mgr.requestLoans(ctx, broker, &wire.LoanRequest{Wants: []*wire.Want{wireWant(shortage)}, Forwarded: true})
		})
	}
	timer := time.NewTimer(maxBrokerWait)
	defer timer.Stop()
	for range brokers {
		select {
		case loans := <-grants:
			if loans > 0 {
				return loans
			}
		case <-timer.C:
			return 0
		}
	}
	return 0
}

// broker returns a team's broker in a rate group, which collects the group's idle shares of the team's rate, lends them to
// members and other brokers, and borrows from the brokers of other groups. It is the first member in the team's rendezvous
// order that is this node, is up or is in an unknown state.
func (mgr *Manager) broker(team string, members []string) string {
	for _, host := range decl.RendezvousOrder(team, members) {
		if host == mgr.settings.Host {
			return host
		}
		if sta := mgr.settings.Peers.State(host); !sta.Known() || sta.Up() {
			return host
		}
	}
	return ""
}

// otherBrokers returns up to maxBrokersAsked brokers of other groups in random order, those of the local failure domain
// first.
func (mgr *Manager) otherBrokers(team string) []string {
	rgs := mgr.rateGroups.Load()
	var out []string
	for _, groups := range [][][]string{rgs.sameDomain, rgs.otherDomains} {
		for _, i := range mgr.permutation(len(groups)) {
			if len(out) == maxBrokersAsked {
				return out
			}
			if host := mgr.broker(team, groups[i]); host != "" {
				out = append(out, host)
			}
		}
	}
	return out
}

func (mgr *Manager) permutation(n int) []int {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	return mgr.rng.Perm(n)
}

// brokerRequest returns the loan request that a contact to a member of this node's rate group carries: for idle shares of
// the teams whose broker this node is, and for renewals. It returns nil if there is nothing to request.
func (mgr *Manager) brokerRequest(host string) *wire.LoanRequest {
	rgs := mgr.rateGroups.Load()
	if !slices.Contains(rgs.thisGroup, host) {
		return nil
	}
	now := time.Now()
	msg := &wire.LoanRequest{Renew: mgr.limiter.LoansEndingBefore(now, now.Add(quota.MaxLoanTerm))[host]}
	for _, sta := range mgr.limiter.Status(now) {
		if mgr.broker(sta.Team, rgs.thisGroup) == mgr.settings.Host {
			msg.Wants = append(msg.Wants, &wire.Want{Team: sta.Team, Share: 1})
		}
	}
	if len(msg.Wants) == 0 && len(msg.Renew) == 0 {
		return nil
	}
	return msg
}

// grantLoans renews loans and lends idle shares as a host requests.
func (mgr *Manager) grantLoans(host string, msg *wire.LoanRequest) *wire.LoanGrant {
	now := time.Now()
	loans := mgr.limiter.Renew(now, host, msg.GetRenew())
	for _, want := range msg.GetWants() {
		loans = append(loans, mgr.limiter.Lend(now, host, quotaShortage(want), msg.GetForwarded())...)
	}
	return &wire.LoanGrant{Loans: wireLoans(loans)}
}

// answerLoanRequest grants idle shares. If they do not cover a request that is not forwarded, the node borrows from other
// brokers: before it answers if it has nothing to lend, and for the next request if it has too little.
func (mgr *Manager) answerLoanRequest(ctx context.Context, host string, msg *wire.LoanRequest) *wire.LoanGrant {
	reply := mgr.grantLoans(host, msg)
	if msg.GetForwarded() {
		return reply
	}
	for _, want := range msg.GetWants() {
		remaining, lent := remainingShortage(quotaShortage(want), reply)
		if remaining.Share <= 0 && remaining.Tokens <= 0 {
			continue
		}
		done := mgr.startBorrowingFromBrokers(remaining)
		if lent || done == nil {
			continue
		}
		timer := time.NewTimer(maxBrokerWait)
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		loans := mgr.limiter.Lend(time.Now(), host, remaining, false)
		reply.Loans = append(reply.Loans, wireLoans(loans)...)
	}
	return reply
}

// remainingShortage returns the part of a shortage that a grant does not cover, and whether the grant has a loan for it.
func remainingShortage(shortage quota.Shortage, grant *wire.LoanGrant) (remaining quota.Shortage, lent bool) {
	for _, loan := range grant.GetLoans() {
		if loan.GetTeam() == shortage.Team {
			shortage.Share -= loan.GetShare()
			shortage.Tokens -= loan.GetTokens()
			lent = true
		}
	}
	return shortage, lent
}

// startBorrowingFromBrokers starts a borrowing attempt for a shortage of another host or of this node, or joins the one
// in flight. It returns nil if the team is in a backoff or too many jobs are queued.
func (mgr *Manager) startBorrowingFromBrokers(shortage quota.Shortage) <-chan struct{} {
	bst := mgr.borrowState(shortage.Team)
	bst.mut.Lock()
	defer bst.mut.Unlock()
	if bst.done != nil {
		return bst.done
	}
	if time.Now().Before(bst.backoffUntil) {
		return nil
	}
	return mgr.queueBorrowing(bst, shortage, mgr.borrowFromBrokers)
}

// maintainLoans measures demand, renews borrowed loans, and requests the shares that demand lacks before requests need
// them.
func (mgr *Manager) maintainLoans(ctx context.Context) {
	now := time.Now()
	mgr.limiter.Tick(now)
	requests := map[string]*wire.LoanRequest{}
	requestTo := func(host string) *wire.LoanRequest {
		if requests[host] == nil {
			requests[host] = &wire.LoanRequest{}
		}
		return requests[host]
	}
	for host, ids := range mgr.limiter.LoansEndingBefore(now, now.Add(renewThreshold)) {
		requestTo(host).Renew = ids
	}
	rgs := mgr.rateGroups.Load()
	for _, shortage := range mgr.limiter.Shortages(now) {
		broker := mgr.broker(shortage.Team, rgs.thisGroup)
		if broker == mgr.settings.Host || broker == "" {
			mgr.startBorrowingFromBrokers(shortage)
			continue
		}
		requestTo(broker).Wants = append(requestTo(broker).Wants, wireWant(shortage))
	}
	for host, msg := range requests {
		mgr.tasks.Go(func() { mgr.requestLoans(ctx, host, msg) })
	}
}

// returnIdleLoans returns idle loans to their lenders. As a team's broker, this node keeps the loans from members of its
// rate group, so that it can lend them.
func (mgr *Manager) returnIdleLoans(ctx context.Context) {
	now := time.Now()
	rgs := mgr.rateGroups.Load()
	keep := func(team, lender string) bool {
		return slices.Contains(rgs.thisGroup, lender) && mgr.broker(team, rgs.thisGroup) == mgr.settings.Host
	}
	for lender, loans := range mgr.limiter.ReturnIdle(now, keep) {
		msg := &wire.LoanOffer{Returned: wireLoans(loans)}
		mgr.tasks.Go(func() { mgr.sendReturn(ctx, lender, msg) })
	}
}

// sendReturn returns loans to a host. A lost message is not sent again: it only means that the lender waits until the
// loans expire.
func (mgr *Manager) sendReturn(ctx context.Context, host string, msg proto.Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, _ = mgr.settings.Peers.Exchange(ctx, host, msg)
}
