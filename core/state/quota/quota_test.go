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
	// raiseWait is the earliest true time after which package lease gives away a share that another host gave up.
	raiseWait = 4440 * time.Millisecond
	slack     = 1e-6
)

var epoch = time.Unix(1000, 0)

// node is one process with its rate limiter; a replaced one stays to wake late.
type node struct {
	*quota.RateLimiter
	name      string
	speed     float64
	share     float64
	raises    map[time.Duration]float64
	rates     map[string]quota.Team
	demanding bool
	paused    bool
	replaced  bool
}

func (nod *node) clock(at time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(at) * nod.speed))
}

// event is a message on its way.
type event struct {
	at  time.Duration
	to  *node
	run func()
}

// simulation runs the rate limiters of all nodes and checks what they admit together.
type simulation struct {
	rt     *rapid.T
	rng    *rand.Rand
	now    time.Duration
	drift  float64
	nodes  []*node
	events []event
	levels map[string]float64
	teams  map[string]quota.Team
	admits int
	loans  int
}

func newSimulation(rt *rapid.T) *simulation {
	sim := &simulation{
		rt: rt, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), levels: map[string]float64{},
		teams: map[string]quota.Team{"ordini": {Name: "ordini", Rate: 200, Burst: 400}, "varchi": {Name: "varchi", Rate: 20, Burst: 5}},
	}
	if rapid.Bool().Draw(rt, "drift") {
		sim.drift = 0.08
	}
	count := rapid.IntRange(2, 5).Draw(rt, "nodes")
	for i := range count {
		sim.start(fmt.Sprintf("h%d", i), 1/float64(count), 0)
	}
	for name, tea := range sim.teams {
		sim.levels[name] = tea.Burst
	}
	return sim
}

// start adds a process that gets its share after a wait.
func (sim *simulation) start(name string, share float64, wait time.Duration) {
	nod := &node{
		RateLimiter: quota.New(sim.rng), name: name, speed: 1 + sim.drift*(2*sim.rng.Float64()-1),
		raises: map[time.Duration]float64{sim.now + wait: share},
	}
	sim.nodes = append(sim.nodes, nod)
	sim.declare(nod)
}

func (sim *simulation) declare(nod *node) {
	nod.rates = map[string]quota.Team{}
	var list []quota.Team
	for name, tea := range sim.teams {
		nod.rates[name] = tea
		list = append(list, tea)
	}
	nod.SetTeams(nod.clock(sim.now), list)
}

// later delivers a message after a random delay, or loses it. A paused process handles it after it wakes.
func (sim *simulation) later(to *node, run func()) {
	if sim.rng.IntN(10) == 0 {
		return
	}
	delay := time.Duration(sim.rng.IntN(4)) * step
	if sim.rng.IntN(10) == 0 {
		delay = time.Duration(sim.rng.IntN(4000)) * time.Millisecond
	}
	sim.events = append(sim.events, event{sim.now + delay, to, run})
}

func (sim *simulation) deliver() {
	waiting := sim.events
	sim.events = nil
	for _, eve := range waiting {
		if eve.at > sim.now || eve.to.paused {
			sim.events = append(sim.events, eve)
			continue
		}
		eve.run()
	}
}

// request asks another process for a loan and for renewals.
func (sim *simulation) request(from, to *node, want quota.Shortage, forwarded bool) {
	asked := from.clock(sim.now)
	ids := from.LoansEndingBefore(asked, asked.Add(time.Hour))[to.name]
	sim.later(to, func() {
		now := to.clock(sim.now)
		loans := append(to.Renew(now, from.name, ids), to.Lend(now, from.name, want, forwarded)...)
		sim.loans += len(loans)
		sim.later(from, func() { from.ApplyGrant(from.clock(sim.now), asked, to.name, loans) })
	})
}

func (sim *simulation) giveBack(from *node) {
	for lender, loans := range from.ReturnIdle(from.clock(sim.now), func(string, string) bool { return false }) {
		for _, to := range sim.nodes {
			if to.name == lender && !to.replaced {
				sim.later(to, func() { to.AcceptReturn(to.clock(sim.now), from.name, loans) })
			}
		}
	}
}

// moveShare takes a part of one share at once and gives it to another process after the wait.
func (sim *simulation) moveShare(from, to *node) {
	part := from.share * sim.rng.Float64()
	from.share -= part
	from.SetShare(from.clock(sim.now), from.share, from.clock(sim.now).Add(shareTerm))
	to.raises[sim.now+raiseWait] += part
}

// replace starts a new process for a host; the old one may be paused and wake later.
func (sim *simulation) replace(old *node) {
	share := old.share
	for _, part := range old.raises {
		share += part
	}
	clear(old.raises)
	old.replaced = true
	sim.start(old.name, share, raiseWait)
}

// declareChange publishes new rates, or revokes a team, and tells one process.
func (sim *simulation) declareChange(nod *node) {
	name := []string{"ordini", "varchi"}[sim.rng.IntN(2)]
	if sim.rng.IntN(8) == 0 {
		delete(sim.teams, name)
	} else {
		sim.teams[name] = quota.Team{Name: name, Rate: 1 + 300*sim.rng.Float64(), Burst: 1 + 300*sim.rng.Float64()}
	}
	sim.declare(nod)
}

func (sim *simulation) act() {
	one := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(sim.rt, "one")]
	two := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(sim.rt, "two")]
	team := []string{"ordini", "varchi"}[sim.rng.IntN(2)]
	want := quota.Shortage{Team: team, Share: sim.rng.Float64(), Tokens: 100 * sim.rng.Float64()}
	kind := rapid.IntRange(0, 21).Draw(sim.rt, "kind")
	switch {
	case kind == 19:
		one.paused = !one.paused && sim.rng.IntN(4) == 0
	case kind > 19:
		one.demanding = sim.rng.IntN(3) == 0
	case one.paused || one == two:
	case kind < 11:
		if !two.replaced {
			sim.request(one, two, want, sim.rng.IntN(2) == 0)
		}
	case kind == 11:
		sim.giveBack(one)
	case kind == 12:
		if !one.replaced && !two.replaced {
			sim.moveShare(one, two)
		}
	case kind == 13:
		sim.declareChange(one)
	case kind == 14:
		if sim.rng.IntN(2) == 0 {
			one.SetTeams(one.clock(sim.now), nil)
		}
		sim.declare(one)
	case kind == 15:
		if !one.replaced && sim.rng.IntN(8) == 0 {
			sim.replace(one)
			one.paused = true
		}
	default:
		one.Tick(one.clock(sim.now))
	}
}

// tick lets each running process renew its share and take tokens, and checks every window that ends now.
func (sim *simulation) tick() {
	sim.deliver()
	for _, nod := range sim.nodes {
		nod.paused = nod.paused && sim.rng.IntN(100) > 0
		if nod.paused {
			continue
		}
		now := nod.clock(sim.now)
		for at, part := range nod.raises {
			if at <= sim.now {
				nod.share += part
				delete(nod.raises, at)
			}
		}
		if !nod.replaced && sim.rng.IntN(20) == 0 && nod.share > 0 {
			nod.SetShare(now, nod.share, now.Add(shareTerm))
		}
		if nod.demanding && sim.rng.IntN(4) == 0 {
			sim.takeAll(nod, now)
		}
	}
	sim.check()
	sim.fill()
	sim.now += step
}

// check requires that all running processes could spend all their tokens now, and that their shares add up to at most 1.
func (sim *simulation) check() {
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
	for team := range sim.levels {
		if over := tokens[team] - sim.levels[team]; over > slack {
			sim.rt.Fatalf("%s at %v: %.3f tokens more than rate and burst allow", team, sim.now, over)
		}
		if shares[team] > 1+slack {
			sim.rt.Fatalf("%s at %v: the shares add up to %.3f", team, sim.now, shares[team])
		}
	}
}

func (sim *simulation) takeAll(nod *node, now time.Time) {
	for _, team := range []string{"ordini", "varchi"} {
		for nod.Take(now, team) {
			sim.admit(team)
		}
	}
}

func (sim *simulation) admit(team string) {
	sim.admits++
	sim.levels[team]--
	if sim.levels[team] < -slack {
		sim.rt.Fatalf("%s at %v: %.3f requests more than rate and burst allow", team, sim.now, -sim.levels[team])
	}
}

// fill moves the levels on by one step. The level is the least, over all windows that end now, of burst plus rate times
// length less what was admitted, with the highest rate and burst that any process applies.
func (sim *simulation) fill() {
	for name := range sim.levels {
		var rate, burst float64
		for _, nod := range sim.nodes {
			rate = max(rate, nod.rates[name].Rate)
			burst = max(burst, nod.rates[name].Burst)
		}
		sim.levels[name] = min(sim.levels[name]+rate*(1+sim.drift)*step.Seconds(), burst)
	}
}

// Guards against any window in which all nodes together admit more than rate x length + burst.
func TestAdmittedWithinRateAndBurst(t *testing.T) {
	var admits, loans int
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		for sim.now < 20*time.Second {
			for range sim.rng.IntN(6) {
				sim.act()
			}
			sim.tick()
		}
		admits += sim.admits
		loans += sim.loans
	})
	t.Logf("%d requests admitted, %d loans", admits, loans)
}

// Guards against tokens that appear or vanish when a loan moves, ends or comes back.
func TestLoanMovesTokens(t *testing.T) {
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name  string
		end   float64 // seconds at which the tokens are counted
		after func(lender, borrower *quota.RateLimiter)
		want  []int // tokens of lender and borrower
	}{
		{"lent", 10, nil, []int{50, 50}},
		{"ended at the borrower", 12, nil, []int{50, 0}},
		{"back at the lender, without tokens", 12.5, nil, []int{50, 0}},
		{"given back with tokens", 10, func(lender, borrower *quota.RateLimiter) {
			back := borrower.ReturnIdle(at(10), func(string, string) bool { return false })
			lender.AcceptReturn(at(10), "b", back["a"])
			lender.AcceptReturn(at(10), "b", back["a"])
		}, []int{100, 0}},
		{"smaller share", 10, func(lender, _ *quota.RateLimiter) { lender.SetShare(at(10), 0.75, at(20)) }, []int{25, 50}},
		{"not renewed while the lender's share is overdrawn", 12, func(lender, borrower *quota.RateLimiter) {
			lender.SetShare(at(11), 0.3, at(20))
			ids := borrower.LoansEndingBefore(at(11), at(20))["a"]
			borrower.ApplyGrant(at(11), at(11), "a", lender.Renew(at(11), "b", ids))
		}, []int{0, 0}},
		{"renewed", 12, func(lender, borrower *quota.RateLimiter) {
			ids := borrower.LoansEndingBefore(at(11), at(20))["a"]
			borrower.ApplyGrant(at(11), at(11), "a", lender.Renew(at(11), "b", ids))
		}, []int{50, 50}},
		{"share lapsed and renewed", 20.1, func(lender, _ *quota.RateLimiter) {
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
			for _, led := range []*quota.RateLimiter{lender, borrower} {
				led.SetTeams(at(0), []quota.Team{{Name: "t", Rate: 10, Burst: 100}})
			}
			lender.SetShare(at(0), 1, at(20))
			lender.Tick(at(10)) // enough time for a full bucket
			loans := lender.Lend(at(10), "b", quota.Shortage{Team: "t", Share: 0.5}, false)
			borrower.ApplyGrant(at(10), at(10), "a", loans)
			if tst.after != nil {
				tst.after(lender, borrower)
			}
			var got []int
			for _, led := range []*quota.RateLimiter{lender, borrower} {
				count := 0
				for led.Take(at(tst.end), "t") {
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

// BenchmarkTake measures the request path: one token each, many teams at once.
func BenchmarkTake(b *testing.B) {
	led := quota.New(rand.New(rand.NewPCG(1, 1)))
	var teams []quota.Team
	for i := range 64 {
		teams = append(teams, quota.Team{Name: fmt.Sprint(i), Rate: 1e9, Burst: 1e9})
	}
	led.SetTeams(epoch, teams)
	led.SetShare(epoch, 1, epoch.Add(time.Hour))
	now := epoch.Add(time.Second)
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			led.Take(now, teams[i%len(teams)].Name)
		}
	})
}

// A loan that is under way while its team is revoked and declared again must not bring tokens from before.
func TestLoanFromBeforeRevocationBringsNothing(t *testing.T) {
	tea := []quota.Team{{Name: "varchi", Rate: 100, Burst: 100}}
	lender, borrower := quota.New(rand.New(rand.NewPCG(1, 1))), quota.New(rand.New(rand.NewPCG(1, 2)))
	for _, led := range []*quota.RateLimiter{lender, borrower} {
		led.SetTeams(epoch, tea)
		led.SetShare(epoch, 0.5, epoch.Add(shareTerm))
	}
	now := epoch.Add(time.Second)
	loans := lender.Lend(now, "h1", quota.Shortage{Team: "varchi", Share: 0.4, Tokens: 20}, false)
	borrower.SetTeams(now, nil)
	borrower.SetTeams(now.Add(step), tea)
	borrower.ApplyGrant(now.Add(2*step), now, "h0", loans)
	got := borrower.Status(now.Add(2 * step))[0].Borrowed
	if diff := cmp.Diff(0.0, got); diff != "" {
		t.Errorf("borrowed share (-want +got):\n%s", diff)
	}
}
