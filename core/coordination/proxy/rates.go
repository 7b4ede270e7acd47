package proxy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/rate"
	"amaranthline/io/protocol/wire"

	"google.golang.org/protobuf/proto"
)

const (
	// tokenTimeout is how long a host may take to reply to a request for tokens.
	tokenTimeout = 150 * time.Millisecond
	// forwardTimeout is how long a host that is asked in place of another one may take to reach that one.
	forwardTimeout = 60 * time.Millisecond
	// cutDomainInterval is how long the failure domains that cannot be reached stay known.
	cutDomainInterval = 250 * time.Millisecond
	// minDownHosts is the number of hosts of a failure domain to which connections are down, and none is up, at which the
	// whole domain counts as unreachable.
	minDownHosts = 2
)

// tokenQueue holds the requests that wait for a token of their team's rate. For each team one request for tokens is in
// flight.
type tokenQueue struct {
	mut     sync.Mutex
	waiting map[string][]*tokenWaiter // by team; present while a request for tokens is in flight
}

// tokenWaiter is a request that waits for a token.
type tokenWaiter struct {
	admitted chan bool // receives the result once
}

func newTokenQueue() *tokenQueue { return &tokenQueue{waiting: map[string][]*tokenWaiter{}} }

// join adds a request that waits and reports whether the caller must ask for tokens.
func (que *tokenQueue) join(team string) (*tokenWaiter, bool) {
	que.mut.Lock()
	defer que.mut.Unlock()
	wai := &tokenWaiter{admitted: make(chan bool, 1)}
	waiting, inFlight := que.waiting[team]
	que.waiting[team] = append(waiting, wai)
	return wai, !inFlight
}

// take removes and returns the requests of a team that wait, or ends its turn of asking if there are none.
func (que *tokenQueue) take(team string) []*tokenWaiter {
	que.mut.Lock()
	defer que.mut.Unlock()
	waiting := que.waiting[team]
	if len(waiting) == 0 {
		delete(que.waiting, team)
		return nil
	}
	que.waiting[team] = nil
	return waiting
}

// chargeRate takes a token of the team's rate for a request, or returns the refusal of the request.
func (prx *Proxy) chargeRate(ctx context.Context, team string) error {
	dec, retryAfter := prx.limiter.Take(prx.clock.Now(), team)
	switch dec {
	case rate.Admitted:
		return nil
	case rate.Refused:
		return rateRefusal(team, retryAfter)
	}
	wai, first := prx.tokenQueue.join(team)
	if first {
		go prx.fetchTokens(context.WithoutCancel(ctx), team)
	}
	select {
	case admitted := <-wai.admitted:
		if admitted {
			return nil
		}
		return rateRefusal(team, prx.limiter.RetryAfter(prx.clock.Now(), team))
	case <-ctx.Done():
		go func() {
			if <-wai.admitted {
				prx.limiter.Refund(team)
			}
		}()
		return core.NewRefusal(core.ReasonCancelled, core.OutcomeNotRun, "the request was cancelled while it waited for its team's rate").WithCause(ctx.Err())
	}
}

func rateRefusal(team string, retryAfter time.Duration) error {
	return refuse(core.ReasonRateExceeded, "team %q is above its rate", team).WithRetryAfter(retryAfter)
}

// fetchTokens asks for tokens of a team until no request waits for one. Each round ends within the time-outs of the
// hosts that are asked.
func (prx *Proxy) fetchTokens(ctx context.Context, team string) {
	for waiting := prx.tokenQueue.take(team); waiting != nil; waiting = prx.tokenQueue.take(team) {
		for len(waiting) > 0 {
			gra, asked := prx.requestTokens(ctx, team, len(waiting))
			now := prx.clock.Now()
			admitted := 0
			if asked {
				admitted = prx.limiter.Receive(now, team, gra, len(waiting))
			} else {
				for admitted < len(waiting) && prx.limiter.TakeContactless(now, team) {
					admitted++
				}
			}
			for _, wai := range waiting[:admitted] {
				wai.admitted <- true
			}
			waiting = waiting[admitted:]
			if !asked || gra.Pause() > 0 {
				break
			}
		}
		for _, wai := range waiting {
			wai.admitted <- false
		}
	}
}

// requestTokens asks the granters of a team in turn; it returns false if none replied.
func (prx *Proxy) requestTokens(ctx context.Context, team string, waiting int) (rate.Grant, bool) {
	return prx.searchGranter(ctx, tokenRequest{team: team, ask: prx.limiter.Ask(prx.clock.Now(), team, waiting)}, tokenTimeout)
}

// tokenRequest is a request for tokens of a team; a forwarded one comes from a host that was asked in place of the
// receiver.
type tokenRequest struct {
	team      string
	ask       rate.Ask
	forwarded bool
}

func (tre tokenRequest) message() *wire.TokenRequest {
	out := &wire.TokenRequest{
		Team: tre.team, Sender: tre.ask.Sender(), Arrived: int64(tre.ask.Arrived()), Wanted: int64(tre.ask.Wanted()), Spare: int64(tre.ask.Spare()),
		Forwarded: tre.forwarded,
	}
	for _, ret := range tre.ask.Returns() {
		out.Returns = append(out.Returns, &wire.TokenReturn{
			Host: ret.Origin().Host(), Number: ret.Origin().Number(), Sequence: ret.Sequence(), Tokens: int64(ret.Tokens()),
		})
	}
	return out
}

// askOf returns what a request for tokens asks for.
func askOf(req *wire.TokenRequest) rate.Ask {
	var returns []rate.Return
	for _, ret := range req.GetReturns() {
		returns = append(returns, rate.NewReturn(rate.NewOrigin(ret.GetHost(), ret.GetNumber()), ret.GetSequence(), int(ret.GetTokens())))
	}
	return rate.NewAsk(req.GetSender(), int(req.GetArrived()), int(req.GetWanted()), int(req.GetSpare()), returns...)
}

// searchGranter asks the hosts that come first in the order for a team, up to this one, until one replies. It returns
// false if none replied.
func (prx *Proxy) searchGranter(ctx context.Context, req tokenRequest, timeout time.Duration) (rate.Grant, bool) {
	sea := prx.granters.Search(prx.clock.Now(), req.team, prx.reachable)
	for host, ok := sea.Next(); ok; host, ok = sea.Next() {
		if host == prx.settings.Host {
			return prx.grantTokens(req.team, req.ask), true
		}
		gra, err := prx.askGranter(ctx, host, req, timeout)
		if err == nil {
			return gra, true
		}
		sea.Failed(prx.clock.Now(), host, errors.Is(err, context.DeadlineExceeded))
		prx.settings.EventLog.Note("rate tokens not received", "", map[string]any{"host": host, "team": req.team, "error": err.Error()})
	}
	return rate.Grant{}, false
}

// askGranter sends a request for tokens to a host.
func (prx *Proxy) askGranter(ctx context.Context, host string, req tokenRequest, timeout time.Duration) (rate.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := prx.settings.Peers.Exchange(ctx, host, req.message())
	if ctx.Err() != nil {
		return rate.Grant{}, fmt.Errorf("host %q did not reply within %v: %w", host, timeout, ctx.Err())
	}
	if err != nil {
		return rate.Grant{}, err
	}
	gra, ok := reply.(*wire.TokenGrant)
	if !ok {
		return rate.Grant{}, fmt.Errorf("host %q replied to a request for tokens with %T; run the same version on all hosts", host, reply)
	}
	return rate.NewGrant(int(gra.GetTokens()), gra.GetLoad(), time.Duration(gra.GetPauseNanos()), time.Duration(gra.GetRetryAfterNanos())).
		From(rate.NewOrigin(gra.GetHost(), gra.GetNumber())), nil
}

// grantTokens takes tokens of a team from the bucket of this host.
func (prx *Proxy) grantTokens(team string, ask rate.Ask) rate.Grant {
	sna := prx.settings.Snapshot()
	if sna == nil {
		return rate.NewGrant(0, 0, noConfigurationRetryAfter, noConfigurationRetryAfter)
	}
	tea := sna.Team(team)
	if tea == nil || tea.Unlimited() {
		return rate.NewGrant(ask.Wanted(), 0, 0, 0)
	}
	fraction := prx.reachableFraction(sna)
	return prx.granter.Grant(prx.clock.Now(), rate.GrantSpec{
		Team: team, Rate: fraction * tea.Rate(), Burst: fraction * tea.Burst(), Since: prx.granters.FirstSince(team),
	}, ask)
}

// HandleControl answers requests for tokens of peers; it returns false for other messages. A host that is asked although
// others come before it in its order asks those first: the sender may be the only one that cannot reach them, and two
// hosts that grant the tokens of one team would grant twice its rate.
func (prx *Proxy) HandleControl(ctx context.Context, _ string, msg proto.Message) (proto.Message, bool, error) {
	req, ok := msg.(*wire.TokenRequest)
	if !ok {
		return nil, false, nil
	}
	ask := askOf(req)
	if !req.GetForwarded() {
		if gra, found := prx.searchGranter(ctx, tokenRequest{team: req.GetTeam(), ask: ask, forwarded: true}, forwardTimeout); found {
			return tokenGrant(gra), true, nil
		}
	}
	return tokenGrant(prx.grantTokens(req.GetTeam(), ask)), true, nil
}

func tokenGrant(gra rate.Grant) *wire.TokenGrant {
	return &wire.TokenGrant{
		Tokens: int64(gra.Tokens()), Load: gra.Load(), PauseNanos: int64(gra.Pause()), RetryAfterNanos: int64(gra.RetryAfter()),
		Host: gra.Origin().Host(), Number: gra.Origin().Number(),
	}
}

// setRateHosts applies the teams and hosts of a new configuration to the rates.
func (prx *Proxy) setRateHosts(now time.Time, sna *decl.Snapshot) {
	var hosts []string
	local := map[string]bool{}
	for _, hos := range sna.Hosts().All() {
		if !hos.Leaving() {
			hosts = append(hosts, hos.ID())
			local[hos.ID()] = hos.Domain() == prx.settings.Domain
		}
	}
	prx.granters.SetHosts(now, hosts, local)
	for name, tea := range sna.Teams() {
		if !tea.Unlimited() {
			prx.limiter.SetRate(name, tea.Rate(), len(hosts))
		}
	}
	keep := func(name string) bool {
		tea := sna.Team(name)
		return tea != nil && !tea.Unlimited()
	}
	prx.limiter.Retain(keep)
	prx.granter.Retain(keep)
}

// reachable reports whether a host may be reached as far as is known.
func (prx *Proxy) reachable(host string) bool {
	if pst := prx.settings.Peers.State(host); pst.Known() {
		return pst.Up()
	}
	sna := prx.settings.Snapshot()
	if sna == nil {
		return true
	}
	hos := sna.Hosts().Host(host)
	return hos == nil || !prx.cutDomains(sna)[hos.Domain()]
}

// cutDomains returns the failure domains that seem to be unreachable as a whole.
func (prx *Proxy) cutDomains(sna *decl.Snapshot) map[string]bool {
	now := prx.clock.Now()
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if now.Sub(prx.cutDomainsAt) < cutDomainInterval {
		return prx.cutDomainNames
	}
	up, down := prx.peersByDomain(sna)
	cut := map[string]bool{}
	for name, count := range down {
		cut[name] = count >= minDownHosts && up[name] == 0 && name != prx.settings.Domain
	}
	prx.cutDomainsAt, prx.cutDomainNames = now, cut
	return cut
}

// reachableFraction returns the fraction of the hosts that are in reachable failure domains. Each side of a partition
// grants this fraction of each rate, so that the sides do not each grant the whole rate.
func (prx *Proxy) reachableFraction(sna *decl.Snapshot) float64 {
	cut := prx.cutDomains(sna)
	all := len(sna.Hosts().All())
	unreachable := 0
	for name, isCut := range cut {
		if isCut {
			unreachable += len(sna.Hosts().OfDomain(name))
		}
	}
	return float64(all-unreachable) / float64(max(all, 1))
}

// Granters returns the other hosts that grant tokens while all can be reached.
func (prx *Proxy) Granters() []string { return prx.granters.Granters() }

// connectedHosts returns the hosts to which this node keeps connections.
func (prx *Proxy) connectedHosts() []string {
	hosts := append(prx.PreferredPeers(), prx.Granters()...)
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
