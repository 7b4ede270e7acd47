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
	// loanTick is how often demand is measured and loans are renewed and asked for.
	loanInterval = 250 * time.Millisecond
	// returnTick is how often idle loans are given back.
	returnInterval = 50 * time.Millisecond
	// renewBefore is the remaining term below which a loan is renewed. The contact of each second renews idle loans of
	// 2 s before that.
	renewThreshold = 1200 * time.Millisecond
	// takeWait is the longest wait of a request for a loan. A round trip between failure domains takes 3 ms, and a broker
	// of the own domain may have to make one before it answers.
	maxTakeWait = 10 * time.Millisecond
	// brokerWait is the longest wait of a broker for other brokers; it leaves time for its own answer within takeWait.
	maxBrokerWait = 8 * time.Millisecond
	// dryPause is the time without a new ask after one that brought nothing.
	borrowBackoff = 25 * time.Millisecond
	// streak is the time within which the next ask wants more tokens.
	growthWindow = 100 * time.Millisecond
	// askGrowth multiplies the tokens wanted, so that a burst needs few round trips.
	borrowGrowth = 4
	// firstAsk is the part of the burst that the first ask wants.
	firstBurstFraction = 1.0 / 16
	// maxAsked bounds the brokers asked at once, so that messages do not grow with the fleet.
	maxBrokersAsked = 4
	// maxRetryAfter is the longest advised pause.
	maxRetryAfter = time.Second
)

// asking is the state of the asks for one team, of which one is in flight at a time.
type borrowState struct {
	mu            sync.Mutex
	done          chan struct{} // closed when the ask in flight ends
	backoffUntil  time.Time
	lastStartedAt time.Time
	burstFraction float64 // of the burst, wanted by the last ask
}

func (mgr *Manager) borrowState(team string) *borrowState {
	value, _ := mgr.borrowStates.LoadOrStore(team, &borrowState{})
	return value.(*borrowState)
}

// Take takes one token of a team. It waits a few milliseconds for a loan when the local share has none, and returns
// a *core.Refusal when there is none to be had.
func (mgr *Manager) Take(ctx context.Context, team string) error {
	if mgr.limiter.Take(time.Now(), team) {
		return nil
	}
	if _, ok := mgr.limiter.Team(team); !ok {
		return core.NewRefusal(core.ReasonRateExceeded, core.OutcomeNotRun, "the team is not declared")
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
	return core.NewRefusal(core.ReasonRateExceeded, core.OutcomeNotRun, "no token is left for the team on this host").WithRetryAfter(retryAfter)
}

// ask starts an ask for tokens, or joins the one in flight; nil means that asking is of no use now.
func (mgr *Manager) startBorrowing(team string) <-chan struct{} {
	tea, declared := mgr.limiter.Team(team)
	if !declared {
		return nil
	}
	now := time.Now()
	bst := mgr.borrowState(team)
	bst.mu.Lock()
	defer bst.mu.Unlock()
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

// start hands an ask to the loop; nil means that too many wait there.
func (mgr *Manager) queueBorrowing(bst *borrowState, shortage quota.Shortage, run func(context.Context, quota.Shortage) int) <-chan struct{} {
	done := make(chan struct{})
	job := func(ctx context.Context) {
		loans := run(ctx, shortage)
		bst.mu.Lock()
		defer bst.mu.Unlock()
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

// askAny asks the broker of the own group, or other brokers if this node is the broker.
func (mgr *Manager) borrow(ctx context.Context, shortage quota.Shortage) int {
	broker := mgr.broker(shortage.Team, mgr.rateGroups.Load().own)
	if broker == mgr.settings.Host || broker == "" {
		return mgr.borrowFromBrokers(ctx, shortage)
	}
	return mgr.requestLoans(ctx, broker, &wire.LoanRequest{Wants: []*wire.Want{wireWant(shortage)}})
}

// request sends a loan request and takes in the grant; it returns the number of loans.
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

// askBrokers asks the brokers of a few other groups and returns with the first grant, or after brokerWait. A broker that
// is cut off must not hold up what others grant; later grants are taken in when they arrive.
func (mgr *Manager) borrowFromBrokers(ctx context.Context, shortage quota.Shortage) int {
	if tea, _ := mgr.limiter.Team(shortage.Team); shortage.Tokens > 0 {
		// A burst needs all it can get in one round trip; what it leaves goes back at once.
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

// broker returns the first reachable host of a group by rendezvous hashing of the team.
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

// otherBrokers returns brokers of other groups, those of the own failure domain first.
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
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.rng.Perm(n)
}

// pull asks a member of the own group for idle shares of the teams whose broker this node is, and for renewals.
func (mgr *Manager) brokerRequest(host string) *wire.LoanRequest {
	rgs := mgr.rateGroups.Load()
	if !slices.Contains(rgs.own, host) {
		return nil
	}
	now := time.Now()
	msg := &wire.LoanRequest{Renew: mgr.limiter.LoansEndingBefore(now, now.Add(quota.MaxLoanTerm))[host]}
	for _, sta := range mgr.limiter.Status(now) {
		if mgr.broker(sta.Team, rgs.own) == mgr.settings.Host {
			msg.Wants = append(msg.Wants, &wire.Want{Team: sta.Team, Share: 1})
		}
	}
	if len(msg.Wants) == 0 && len(msg.Renew) == 0 {
		return nil
	}
	return msg
}

// grant renews and lends what is idle here.
func (mgr *Manager) grantLoans(host string, msg *wire.LoanRequest) *wire.LoanGrant {
	now := time.Now()
	loans := mgr.limiter.Renew(now, host, msg.GetRenew())
	for _, want := range msg.GetWants() {
		loans = append(loans, mgr.limiter.Lend(now, host, quotaShortage(want), msg.GetForwarded())...)
	}
	return &wire.LoanGrant{Loans: wireLoans(loans)}
}

// answerRequest grants what is idle here. A broker that has nothing asks other brokers before it answers; one that has
// too little asks them for the next request.
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

// lacking returns what a grant left open of a want, and whether it brought anything.
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

// fetch asks other brokers on behalf of a host, one ask per team at a time; nil means that asking is of no use now.
func (mgr *Manager) startBorrowingFromBrokers(shortage quota.Shortage) <-chan struct{} {
	bst := mgr.borrowState(shortage.Team)
	bst.mu.Lock()
	defer bst.mu.Unlock()
	if bst.done != nil {
		return bst.done
	}
	if time.Now().Before(bst.backoffUntil) {
		return nil
	}
	return mgr.queueBorrowing(bst, shortage, mgr.borrowFromBrokers)
}

// tendLoans measures demand, renews the loans in use, and asks ahead for what demand lacks.
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
		broker := mgr.broker(shortage.Team, rgs.own)
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

// giveBack returns idle loans to their lenders, except the pool that this node holds as a broker.
func (mgr *Manager) returnIdleLoans(ctx context.Context) {
	now := time.Now()
	rgs := mgr.rateGroups.Load()
	keep := func(team, lender string) bool {
		return slices.Contains(rgs.own, lender) && mgr.broker(team, rgs.own) == mgr.settings.Host
	}
	for lender, loans := range mgr.limiter.ReturnIdle(now, keep) {
		msg := &wire.LoanOffer{Returned: wireLoans(loans)}
		mgr.tasks.Go(func() { mgr.sendReturn(ctx, lender, msg) })
	}
}

// send gives up after the exchange timeout: a lost message only means that the lender waits for the end of the loans.
func (mgr *Manager) sendReturn(ctx context.Context, host string, msg proto.Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, _ = mgr.settings.Peers.Exchange(ctx, host, msg)
}
