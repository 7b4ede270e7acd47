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
	loanTick = 250 * time.Millisecond
	// returnTick is how often idle loans are given back.
	returnTick = 50 * time.Millisecond
	// renewBefore is the remaining term below which a loan is renewed. The contact of each second renews idle loans of
	// 2 s before that.
	renewBefore = 1200 * time.Millisecond
	// takeWait is the longest wait of a request for a loan. A round trip between failure domains takes 3 ms, and a broker
	// of the own domain may have to make one before it answers.
	takeWait = 10 * time.Millisecond
	// brokerWait is the longest wait of a broker for other brokers; it leaves time for its own answer within takeWait.
	brokerWait = 8 * time.Millisecond
	// dryPause is the time without a new ask after one that brought nothing.
	dryPause = 25 * time.Millisecond
	// streak is the time within which the next ask wants more tokens.
	streak = 100 * time.Millisecond
	// askGrowth multiplies the tokens wanted, so that a burst needs few round trips.
	askGrowth = 4
	// firstAsk is the part of the burst that the first ask wants.
	firstAsk = 1.0 / 16
	// maxAsked bounds the brokers asked at once, so that messages do not grow with the fleet.
	maxAsked = 4
	// maxRetryAfter is the longest advised pause.
	maxRetryAfter = time.Second
)

// asking is the state of the asks for one team, of which one is in flight at a time.
type asking struct {
	mu       sync.Mutex
	done     chan struct{} // closed when the ask in flight ends
	dryUntil time.Time
	lastAt   time.Time
	part     float64 // of the burst, wanted by the last ask
}

func (kee *Manager) asking(team string) *asking {
	val, _ := kee.asks.LoadOrStore(team, &asking{})
	return val.(*asking)
}

// Take takes one token of a team. It waits a few milliseconds for a loan when the local share has none, and returns
// a *core.Refusal when there is none to be had.
func (kee *Manager) Take(ctx context.Context, team string) error {
	if kee.ledger.Take(time.Now(), team) {
		return nil
	}
	if _, ok := kee.ledger.Team(team); !ok {
		return core.NewRefusal(core.ReasonRateExceeded, core.OutcomeNotRun, "the team is not declared")
	}
	ctx, cancel := context.WithTimeout(ctx, takeWait)
	defer cancel()
	for {
		done := kee.ask(team)
		if done == nil {
			return kee.refuse(team)
		}
		select {
		case <-done:
		case <-ctx.Done():
			if kee.ledger.TakeUncounted(time.Now(), team) {
				return nil
			}
			return kee.refuse(team)
		}
		if kee.ledger.TakeUncounted(time.Now(), team) {
			return nil
		}
	}
}

func (kee *Manager) refuse(team string) error {
	after := kee.ledger.RetryAfter(time.Now(), team, maxRetryAfter)
	return core.NewRefusal(core.ReasonRateExceeded, core.OutcomeNotRun, "no token is left for the team on this host").WithRetryAfter(after)
}

// ask starts an ask for tokens, or joins the one in flight; nil means that asking is of no use now.
func (kee *Manager) ask(team string) <-chan struct{} {
	tea, declared := kee.ledger.Team(team)
	if !declared {
		return nil
	}
	now := time.Now()
	ask := kee.asking(team)
	ask.mu.Lock()
	defer ask.mu.Unlock()
	if ask.done != nil {
		return ask.done
	}
	if now.Before(ask.dryUntil) {
		return nil
	}
	if now.Sub(ask.lastAt) > streak {
		ask.part = firstAsk / askGrowth
	}
	ask.part = min(1, askGrowth*ask.part)
	ask.lastAt = now
	want, _ := kee.ledger.Shortage(now, team, max(1, ask.part*tea.Burst))
	return kee.start(ask, want, kee.askAny)
}

// start hands an ask to the loop; nil means that too many wait there.
func (kee *Manager) start(ask *asking, want quota.Shortage, run func(context.Context, quota.Shortage) int) <-chan struct{} {
	done := make(chan struct{})
	job := func(ctx context.Context) {
		got := run(ctx, want)
		ask.mu.Lock()
		defer ask.mu.Unlock()
		if got == 0 {
			ask.dryUntil = time.Now().Add(dryPause)
		}
		close(done)
		ask.done = nil
	}
	select {
	case kee.jobs <- job:
		ask.done = done
		return done
	default:
		return nil
	}
}

// askAny asks the broker of the own group, or other brokers if this node is the broker.
func (kee *Manager) askAny(ctx context.Context, want quota.Shortage) int {
	broker := kee.broker(want.Team, kee.layout.Load().own)
	if broker == kee.set.Host || broker == "" {
		return kee.askBrokers(ctx, want)
	}
	return kee.request(ctx, broker, &wire.LoanRequest{Wants: []*wire.Want{wireWant(want)}})
}

// request sends a loan request and takes in the grant; it returns the number of loans.
func (kee *Manager) request(ctx context.Context, host string, msg *wire.LoanRequest) int {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := kee.set.Peers.Exchange(ctx, host, msg)
	grant, ok := reply.(*wire.LoanGrant)
	if err != nil || !ok {
		return 0
	}
	loans := loansOf(grant)
	kee.ledger.ApplyGrant(time.Now(), asked, host, loans)
	return len(loans)
}

// askBrokers asks the brokers of a few other groups and returns with the first grant, or after brokerWait. A broker that
// is cut off must not hold up what others grant; later grants are taken in when they arrive.
func (kee *Manager) askBrokers(ctx context.Context, want quota.Shortage) int {
	if tea, _ := kee.ledger.Team(want.Team); want.Tokens > 0 {
		// A burst needs all it can get in one round trip; what it leaves goes back at once.
		want.Tokens = tea.Burst
	}
	brokers := kee.otherBrokers(want.Team)
	grants := make(chan int, len(brokers))
	for _, broker := range brokers {
		kee.tasks.Go(func() {
			grants <- kee.request(ctx, broker, &wire.LoanRequest{Wants: []*wire.Want{wireWant(want)}, Forwarded: true})
		})
	}
	timer := time.NewTimer(brokerWait)
	defer timer.Stop()
	for range brokers {
		select {
		case got := <-grants:
			if got > 0 {
				return got
			}
		case <-timer.C:
			return 0
		}
	}
	return 0
}

// broker returns the first reachable host of a group by rendezvous hashing of the team.
func (kee *Manager) broker(team string, members []string) string {
	for _, host := range decl.RendezvousOrder(team, members) {
		if host == kee.set.Host {
			return host
		}
		if sta := kee.set.Peers.State(host); !sta.Known() || sta.Up() {
			return host
		}
	}
	return ""
}

// otherBrokers returns brokers of other groups, those of the own failure domain first.
func (kee *Manager) otherBrokers(team string) []string {
	lay := kee.layout.Load()
	var out []string
	for _, groups := range [][][]string{lay.near, lay.remote} {
		for _, i := range kee.permutation(len(groups)) {
			if len(out) == maxAsked {
				return out
			}
			if host := kee.broker(team, groups[i]); host != "" {
				out = append(out, host)
			}
		}
	}
	return out
}

func (kee *Manager) permutation(n int) []int {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return kee.rng.Perm(n)
}

// pull asks a member of the own group for idle shares of the teams whose broker this node is, and for renewals.
func (kee *Manager) pull(host string) *wire.LoanRequest {
	lay := kee.layout.Load()
	if !slices.Contains(lay.own, host) {
		return nil
	}
	now := time.Now()
	msg := &wire.LoanRequest{Renew: kee.ledger.LoansEndingBefore(now, now.Add(quota.MaxLoanTerm))[host]}
	for _, sta := range kee.ledger.Status(now) {
		if kee.broker(sta.Team, lay.own) == kee.set.Host {
			msg.Wants = append(msg.Wants, &wire.Want{Team: sta.Team, Share: 1})
		}
	}
	if len(msg.Wants) == 0 && len(msg.Renew) == 0 {
		return nil
	}
	return msg
}

// grant renews and lends what is idle here.
func (kee *Manager) grant(host string, msg *wire.LoanRequest) *wire.LoanGrant {
	now := time.Now()
	loans := kee.ledger.Renew(now, host, msg.GetRenew())
	for _, want := range msg.GetWants() {
		loans = append(loans, kee.ledger.Lend(now, host, wantOf(want), msg.GetForwarded())...)
	}
	return &wire.LoanGrant{Loans: wireLoans(loans)}
}

// answerRequest grants what is idle here. A broker that has nothing asks other brokers before it answers; one that has
// too little asks them for the next request.
func (kee *Manager) answerRequest(ctx context.Context, host string, msg *wire.LoanRequest) *wire.LoanGrant {
	reply := kee.grant(host, msg)
	if msg.GetForwarded() {
		return reply
	}
	for _, want := range msg.GetWants() {
		rest, got := lacking(wantOf(want), reply)
		if rest.Share <= 0 && rest.Tokens <= 0 {
			continue
		}
		done := kee.fetch(rest)
		if got || done == nil {
			continue
		}
		timer := time.NewTimer(brokerWait)
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		loans := kee.ledger.Lend(time.Now(), host, rest, false)
		reply.Loans = append(reply.Loans, wireLoans(loans)...)
	}
	return reply
}

// lacking returns what a grant left open of a want, and whether it brought anything.
func lacking(want quota.Shortage, grant *wire.LoanGrant) (rest quota.Shortage, got bool) {
	for _, loan := range grant.GetLoans() {
		if loan.GetTeam() == want.Team {
			want.Share -= loan.GetShare()
			want.Tokens -= loan.GetTokens()
			got = true
		}
	}
	return want, got
}

// fetch asks other brokers on behalf of a host, one ask per team at a time; nil means that asking is of no use now.
func (kee *Manager) fetch(want quota.Shortage) <-chan struct{} {
	ask := kee.asking(want.Team)
	ask.mu.Lock()
	defer ask.mu.Unlock()
	if ask.done != nil {
		return ask.done
	}
	if time.Now().Before(ask.dryUntil) {
		return nil
	}
	return kee.start(ask, want, kee.askBrokers)
}

// tendLoans measures demand, renews the loans in use, and asks ahead for what demand lacks.
func (kee *Manager) tendLoans(ctx context.Context) {
	now := time.Now()
	kee.ledger.Tick(now)
	requests := map[string]*wire.LoanRequest{}
	to := func(host string) *wire.LoanRequest {
		if requests[host] == nil {
			requests[host] = &wire.LoanRequest{}
		}
		return requests[host]
	}
	for host, ids := range kee.ledger.LoansEndingBefore(now, now.Add(renewBefore)) {
		to(host).Renew = ids
	}
	lay := kee.layout.Load()
	for _, want := range kee.ledger.Shortages(now) {
		broker := kee.broker(want.Team, lay.own)
		if broker == kee.set.Host || broker == "" {
			kee.fetch(want)
			continue
		}
		to(broker).Wants = append(to(broker).Wants, wireWant(want))
	}
	for host, msg := range requests {
		kee.tasks.Go(func() { kee.request(ctx, host, msg) })
	}
}

// giveBack returns idle loans to their lenders, except the pool that this node holds as a broker.
func (kee *Manager) giveBack(ctx context.Context) {
	now := time.Now()
	lay := kee.layout.Load()
	pool := func(team, lender string) bool {
		return slices.Contains(lay.own, lender) && kee.broker(team, lay.own) == kee.set.Host
	}
	for lender, loans := range kee.ledger.ReturnIdle(now, pool) {
		msg := &wire.LoanOffer{Returned: wireLoans(loans)}
		kee.tasks.Go(func() { kee.send(ctx, lender, msg) })
	}
}

// send gives up after the exchange timeout: a lost message only means that the lender waits for the end of the loans.
func (kee *Manager) send(ctx context.Context, host string, msg proto.Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, _ = kee.set.Peers.Exchange(ctx, host, msg)
}
