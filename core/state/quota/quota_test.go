package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"amaranthline/core/state/quota"
)

const (
	step      = 20 * time.Millisecond
	shareTerm = 4 * time.Second
	// shareMoveDelay is the shortest real time after which package lease lets a host use a share that another host has
	// given up: 4 s x 1.2, by a clock that runs 8% fast.
	shareMoveDelay = 4440 * time.Millisecond
	tolerance      = 1e-6 // tokens or shares, for rounding errors
)

var epoch = time.Unix(1000, 0)

// node is one process with its rate limiter. A replaced process stays in the simulation, because it may be paused and
// resume after its successor has started.
type node struct {
	*quota.RateLimiter
	name          string
	clockRate     float64 // speed of the node's clock, 1 for real time
	share         float64
	pendingShares map[time.Duration]float64 // increases of share by the time at which they apply
	appliedTeams  map[string]quota.Team     // teams as the node last applied them
	hasDemand     bool
	paused        bool
	replaced      bool
}

func (nod *node) clock(at time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(at) * nod.clockRate))
}

// message is a message in transit.
type message struct {
	deliverAt time.Duration
	to        *node
	handle    func()
}

// simulation runs the rate limiters of all nodes and checks the requests that they admit together.
type simulation struct {
	rt              *rapid.T
	rng             *rand.Rand
	now             time.Duration // real time since the start
	maxClockDrift   float64       // clocks run slow or fast by at most this fraction
	nodes           []*node
	messages        []message
	referenceTokens map[string]float64 // by team, tokens of one central bucket for all nodes, which bounds what they admit
	teams           map[string]quota.Team
	admitted        int
	loans           int
}

func newSimulation(rt *rapid.T) *simulation {
	sim := &simulation{
		rt: rt, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), referenceTokens: map[string]float64{},
		teams: map[string]quota.Team{"ordini": {Name: "ordini", Rate: 200, Burst: 400}, "varchi": {Name: "varchi", Rate: 20, Burst: 5}},
	}
	if rapid.Bool().Draw(rt, "drift") {
		sim.maxClockDrift = 0.08
	}
	count := rapid.IntRange(2, 5).Draw(rt, "nodes")
	for i := range count {
		sim.startNode(fmt.Sprintf("h%d", i), 1/float64(count), 0)
	}
	for name, tea := range sim.teams {
		sim.referenceTokens[name] = tea.Burst
	}
	return sim
}

// startNode adds a process that gets its share after a wait.
func (sim *simulation) startNode(name string, share float64, wait time.Duration) {
	nod := &node{
		RateLimiter: quota.New(sim.rng), name: name, clockRate: 1 + sim.maxClockDrift*(2*sim.rng.Float64()-1),
		pendingShares: map[time.Duration]float64{sim.now + wait: share},
	}
	sim.nodes = append(sim.nodes, nod)
	sim.applyTeams(nod)
}

func (sim *simulation) applyTeams(nod *node) {
	nod.appliedTeams = map[string]quota.Team{}
	var teams []quota.Team
	for name, tea := range sim.teams {
		nod.appliedTeams[name] = tea
		teams = append(teams, tea)
	}
	nod.SetTeams(nod.clock(sim.now), teams)
}

// send delivers a message after a random delay, or loses it. A paused process handles it when it resumes.
func (sim *simulation) send(to *node, handle func()) {
	if sim.rng.IntN(10) == 0 {
		return
	}
	delay := time.Duration(sim.rng.IntN(4)) * step
	if sim.rng.IntN(10) == 0 {
		delay = time.Duration(sim.rng.IntN(4000)) * time.Millisecond
	}
	sim.messages = append(sim.messages, message{sim.now + delay, to, handle})
}

func (sim *simulation) deliver() {
	waiting := sim.messages
	sim.messages = nil
	for _, msg := range waiting {
		if msg.deliverAt > sim.now || msg.to.paused {
			sim.messages = append(sim.messages, msg)
			continue
		}
		msg.handle()
	}
}

// requestLoan asks another process for a loan and for renewals of the loans that it has granted.
func (sim *simulation) requestLoan(from, to *node, shortage quota.Shortage, forwarded bool) {
	requestedAt := from.clock(sim.now)
	ids := from.LoansEndingBefore(requestedAt, requestedAt.Add(time.Hour))[to.name]
	sim.send(to, func() {
		now := to.clock(sim.now)
		loans := append(to.Renew(now, from.name, ids), to.Lend(now, from.name, shortage, forwarded)...)
		sim.loans += len(loans)
		sim.send(from, func() { from.ApplyGrant(from.clock(sim.now), requestedAt, to.name, loans) })
	})
}

func (sim *simulation) returnIdleLoans(from *node) {
	for lender, loans := range from.ReturnIdle(from.clock(sim.now), func(string, string) bool { return false }) {
		for _, to := range sim.nodes {
			if to.name == lender && !to.replaced {
				sim.send(to, func() { to.AcceptReturn(to.clock(sim.now), from.name, loans) })
			}
		}
	}
}

// moveShare reduces the share of one process immediately and adds the difference to that of another one after
// shareMoveDelay.
func (sim *simulation) moveShare(from, to *node) {
	moved := from.share * sim.rng.Float64()
	from.share -= moved
	from.SetShare(from.clock(sim.now), from.share, from.clock(sim.now).Add(shareTerm))
	to.pendingShares[sim.now+shareMoveDelay] += moved
}

// replaceNode starts a new process for the host of an old one, which may be paused and resume later.
func (sim *simulation) replaceNode(oldNode *node) {
	share := oldNode.share
	for _, part := range oldNode.pendingShares {
		share += part
	}
	clear(oldNode.pendingShares)
	oldNode.replaced = true
	sim.startNode(oldNode.name, share, shareMoveDelay)
}

// changeTeams declares a new rate and burst for a team, or revokes it, and lets one process apply that.
func (sim *simulation) changeTeams(nod *node) {
	name := []string{"ordini", "varchi"}[sim.rng.IntN(2)]
	if sim.rng.IntN(8) == 0 {
		delete(sim.teams, name)
	} else {
		sim.teams[name] = quota.Team{Name: name, Rate: 1 + 300*sim.rng.Float64(), Burst: 1 + 300*sim.rng.Float64()}
	}
	sim.applyTeams(nod)
}

func (sim *simulation) randomAction() {
	nod := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(sim.rt, "node")]
	other := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(sim.rt, "other")]
	team := []string{"ordini", "varchi"}[sim.rng.IntN(2)]
	shortage := quota.Shortage{Team: team, Share: sim.rng.Float64(), Tokens: 100 * sim.rng.Float64()}
	action := rapid.IntRange(0, 21).Draw(sim.rt, "action")
	switch {
	case action == 19:
		nod.paused = !nod.paused && sim.rng.IntN(4) == 0
	case action > 19:
		nod.hasDemand = sim.rng.IntN(3) == 0
	case nod.paused || nod == other:
	case action < 11:
		if !other.replaced {
			sim.requestLoan(nod, other, shortage, sim.rng.IntN(2) == 0)
		}
	case action == 11:
		sim.returnIdleLoans(nod)
	case action == 12:
		if !nod.replaced && !other.replaced {
			sim.moveShare(nod, other)
		}
	case action == 13:
		sim.changeTeams(nod)
	case action == 14:
		if sim.rng.IntN(2) == 0 {
			nod.SetTeams(nod.clock(sim.now), nil)
		}
		sim.applyTeams(nod)
	case action == 15:
		if !nod.replaced && sim.rng.IntN(8) == 0 {
			sim.replaceNode(nod)
			nod.paused = true
		}
	default:
		nod.Tick(nod.clock(sim.now))
	}
}

// runStep delivers messages, lets each running process renew its share and take tokens, and checks every window of time
// that ends now.
func (sim *simulation) runStep() {
	sim.deliver()
	for _, nod := range sim.nodes {
		nod.paused = nod.paused && sim.rng.IntN(100) > 0
		if nod.paused {
			continue
		}
		now := nod.clock(sim.now)
		for at, part := range nod.pendingShares {
			if at <= sim.now {
				nod.share += part
				delete(nod.pendingShares, at)
			}
		}
		if !nod.replaced && sim.rng.IntN(20) == 0 && nod.share > 0 {
			nod.SetShare(now, nod.share, now.Add(shareTerm))
		}
		if nod.hasDemand && sim.rng.IntN(4) == 0 {
			sim.takeAllTokens(nod, now)
		}
	}
	sim.checkInvariants()
	sim.refillReference()
	sim.now += step
}

// checkInvariants requires that the running processes together hold at most the reference tokens, because they may spend
// all of their tokens now, and that their shares add up to at most 1.
func (sim *simulation) checkInvariants() {
	tokens, shares := map[string]float64{}, map[string]float64{}
	for _, nod := range sim.nodes {
		if nod.paused {
			continue
		}
		for _, sta := range nod.Status(nod.clock(sim.now)) {
			tokens[sta.Team] += sta.Tokens
			shares[sta.Team] += sta.Usable
		}
	}
	for team := range sim.referenceTokens {
		if excess := tokens[team] - sim.referenceTokens[team]; excess > tolerance {
			sim.rt.Fatalf("team %s at %v: the nodes hold %.3f tokens more than rate and burst allow", team, sim.now, excess)
		}
		if shares[team] > 1+tolerance {
			sim.rt.Fatalf("team %s at %v: the shares of the nodes add up to %.3f, above 1", team, sim.now, shares[team])
		}
	}
}

func (sim *simulation) takeAllTokens(nod *node, now time.Time) {
	for _, team := range []string{"ordini", "varchi"} {
		for nod.Take(now, team) {
			sim.countAdmitted(team)
		}
	}
}

func (sim *simulation) countAdmitted(team string) {
	sim.admitted++
	sim.referenceTokens[team]--
	if sim.referenceTokens[team] < -tolerance {
		sim.rt.Fatalf("team %s at %v: the nodes admitted %.3f requests more than rate and burst allow", team, sim.now, -sim.referenceTokens[team])
	}
}

// refillReference adds the tokens of one step. The reference tokens of a team are the minimum, over all windows of time
// that end now, of burst + rate x length - admitted requests, with the highest rate and burst that any process applies.
func (sim *simulation) refillReference() {
	for name := range sim.referenceTokens {
		var rate, burst float64
		for _, nod := range sim.nodes {
			rate = max(rate, nod.appliedTeams[name].Rate)
			burst = max(burst, nod.appliedTeams[name].Burst)
		}
		sim.referenceTokens[name] = min(sim.referenceTokens[name]+rate*(1+sim.maxClockDrift)*step.Seconds(), burst)
	}
}

// Guards against a window of time in which all nodes together admit more requests of a team than rate x length + burst.
// Lost and late messages, paused and replaced processes, clock drift, and changes of shares and teams could cause that.
func TestAdmittedWithinRateAndBurst(t *testing.T) {
	var admitted, loans int
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		for sim.now < 20*time.Second {
			for range sim.rng.IntN(6) {
				sim.randomAction()
			}
			sim.runStep()
		}
		admitted += sim.admitted
		loans += sim.loans
	})
	t.Logf("%d requests admitted, %d loans", admitted, loans)
}

// Guards against tokens that are duplicated or lost when a share is lent, or when a loan is renewed, expires or is
// returned.
func TestLoanMovesTokens(t *testing.T) {
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name    string
		countAt float64                                   // seconds after epoch at which the tokens are counted
		change  func(lender, borrower *quota.RateLimiter) // made after the loan of half the rate at 10 s
		want    []int                                     // tokens of lender and borrower
	}{
		{"lent", 10, nil, []int{50, 50}},
		{"expired at the borrower", 12, nil, []int{50, 0}},
		{"expired at the lender, share back without tokens", 12.5, nil, []int{50, 0}},
		{"returned early with tokens, twice", 10, func(lender, borrower *quota.RateLimiter) {
			returned := borrower.ReturnIdle(at(10), func(string, string) bool { return false })
			lender.AcceptReturn(at(10), "b", returned["a"])
			lender.AcceptReturn(at(10), "b", returned["a"])
		}, []int{100, 0}},
		{"lender's share reduced", 10, func(lender, _ *quota.RateLimiter) { lender.SetShare(at(10), 0.75, at(20)) }, []int{25, 50}},
		{"not renewed while the lender has lent more than its share", 12, func(lender, borrower *quota.RateLimiter) {
			lender.SetShare(at(11), 0.3, at(20))
			ids := borrower.LoansEndingBefore(at(11), at(20))["a"]
			borrower.ApplyGrant(at(11), at(11), "a", lender.Renew(at(11), "b", ids))
		}, []int{0, 0}},
		{"renewed", 12, func(lender, borrower *quota.RateLimiter) {
			ids := borrower.LoansEndingBefore(at(11), at(20))["a"]
			borrower.ApplyGrant(at(11), at(11), "a", lender.Renew(at(11), "b", ids))
		}, []int{50, 50}},
		{"lender's share expired and set again", 20.1, func(lender, _ *quota.RateLimiter) {
			lender.Take(at(20), "t")
			lender.SetShare(at(20.05), 1, at(24))
		}, []int{0, 0}},
		{"revoked", 10, func(lender, borrower *quota.RateLimiter) {
			lender.SetTeams(at(10), nil)
			borrower.SetTeams(at(10), nil)
		}, []int{0, 0}},
		{"revoked and declared again", 10, func(lender, _ *quota.RateLimiter) {
			lender.SetTeams(at(10), nil)
			lender.SetTeams(at(10), []quota.Team{{Name: "t", Rate: 10, Burst: 100}})
		}, []int{0, 50}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			lender, borrower := quota.New(rng), quota.New(rng)
			for _, rl := range []*quota.RateLimiter{lender, borrower} {
				rl.SetTeams(at(0), []quota.Team{{Name: "t", Rate: 10, Burst: 100}})
			}
			lender.SetShare(at(0), 1, at(20))
			lender.Tick(at(10)) // 10 s at 10 tokens per second fill the bucket of 100
			loans := lender.Lend(at(10), "b", quota.Shortage{Team: "t", Share: 0.5}, false)
			borrower.ApplyGrant(at(10), at(10), "a", loans)
			if tst.change != nil {
				tst.change(lender, borrower)
			}
			var got []int
			for _, rl := range []*quota.RateLimiter{lender, borrower} {
				count := 0
				for rl.Take(at(tst.countAt), "t") {
					count++
				}
				got = append(got, count)
			}
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("tokens (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkTake measures concurrent requests of many teams that take one token each.
func BenchmarkTake(b *testing.B) {
	rl := quota.New(rand.New(rand.NewPCG(1, 1)))
	var teams []quota.Team
	for i := range 64 {
		teams = append(teams, quota.Team{Name: fmt.Sprint(i), Rate: 1e9, Burst: 1e9})
	}
	rl.SetTeams(epoch, teams)
	rl.SetShare(epoch, 1, epoch.Add(time.Hour))
	now := epoch.Add(time.Second)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			rl.Take(now, teams[i%len(teams)].Name)
		}
	})
}

// Guards against tokens from before a team's revocation: a grant may arrive after the borrower has seen the team revoked
// and declared again.
func TestLoanFromBeforeRevocationIsIgnored(t *testing.T) {
	teams := []quota.Team{{Name: "varchi", Rate: 100, Burst: 100}}
	lender, borrower := quota.New(rand.New(rand.NewPCG(1, 1))), quota.New(rand.New(rand.NewPCG(1, 2)))
	for _, rl := range []*quota.RateLimiter{lender, borrower} {
		rl.SetTeams(epoch, teams)
		rl.SetShare(epoch, 0.5, epoch.Add(shareTerm))
	}
	now := epoch.Add(time.Second)
	loans := lender.Lend(now, "h1", quota.Shortage{Team: "varchi", Share: 0.4, Tokens: 20}, false)
	borrower.SetTeams(now, nil)
	borrower.SetTeams(now.Add(step), teams)
	borrower.ApplyGrant(now.Add(2*step), now, "h0", loans)
	got := borrower.Status(now.Add(2 * step))[0].Borrowed
	if diff := cmp.Diff(0.0, got); diff != "" {
		t.Errorf("borrowed share (-want +got):\n%s", diff)
	}
}
