package retry_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"amaranthline/core"
	"amaranthline/core/state/retry"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const applicationRetries = 5

// tree runs one root request through a call graph in which every service makes fan nested calls of its own.
type tree struct {
	rng        *rand.Rand
	ratio      *retry.Ratio
	depth, fan int
	idempotent bool
	failShare  float64 // share of sends that fail on the way
	deepFails  bool    // the deepest service refuses every call

	leaf    map[string]int // attempts at the deepest service, by path through the tree
	sends   int
	firsts  int // nested calls that were not retries
	retries int
	unsafe  int // sends of a non-idempotent call beyond its first that ran or may have run
}

// reply is what the node of the called service or the connection to it reports.
type reply struct {
	failure *core.Refusal // nil when the application answered
	status  int
	outcome core.Outcome
	unused  int
}

func lost(out core.Outcome) reply {
	return reply{failure: core.NewRefusal(core.ReasonPeerFailed, out, "lost"), outcome: out}
}

// send carries one call over a hop; failures of all three outcomes happen before, during and after the run.
func (tre *tree) send(path string, level, budget int) reply {
	tre.sends++
	fail := tre.rng.Float64() < tre.failShare
	kind := tre.rng.IntN(5)
	if fail && kind == 0 {
		return reply{failure: core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "shed"), outcome: core.OutcomeNotRun, unused: budget}
	}
	if fail && kind == 1 {
		return lost(core.OutcomeUnknown)
	}
	rep := tre.run(path, level, budget)
	if fail && kind == 2 {
		return lost(core.OutcomeUnknown)
	}
	if fail && kind == 3 {
		rep.failure = core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "connection reset")
		rep.outcome = core.OutcomeUnknown
		return rep
	}
	if fail && rep.failure == nil {
		rep.status = 500
	}
	return rep
}

// run serves a call: the application makes its nested calls at once and repeats each that fails.
func (tre *tree) run(path string, level, budget int) reply {
	if level == tre.depth {
		tre.leaf[path]++
		if tre.deepFails {
			return reply{failure: core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "shed"), outcome: core.OutcomeNotRun, unused: budget}
		}
		return reply{status: 200, outcome: core.OutcomeRan, unused: budget}
	}
	bud := retry.NewBudget(budget)
	nes := retry.NewFailedCalls()
	calls := make([]*nested, tre.fan)
	for i := range calls {
		calls[i] = &nested{path: path + string(rune('a'+i)), level: level + 1}
		tre.begin(bud, nes, calls[i])
	}
	status := 200
	// Parallel calls have all borrowed before the first one ends.
	for _, i := range tre.rng.Perm(len(calls)) {
		if !tre.finish(bud, nes, calls[i]) {
			status = 502
		}
	}
	return reply{status: status, outcome: core.OutcomeRan, unused: bud.Close()}
}

type nested struct {
	path     string
	level    int
	borrowed int
	mayRan   bool
}

func (cal *nested) print() core.Fingerprint {
	var fin core.Fingerprint
	copy(fin[:], cal.path)
	return fin
}

// begin admits a nested call as the node beside the calling upstream does.
func (tre *tree) begin(bud *retry.Budget, nes *retry.FailedCalls, cal *nested) bool {
	switch nes.Classify(cal.print(), tre.idempotent) {
	case retry.KindUnsafeRetry:
		return false
	case retry.KindRetry:
		if !bud.Spend() {
			return false
		}
		tre.retries++
	default:
		tre.firsts++
	}
	cal.borrowed = bud.Borrow()
	return true
}

// finish sends an admitted call, lets the node retry it, and lets the application repeat it.
func (tre *tree) finish(bud *retry.Budget, nes *retry.FailedCalls, cal *nested) bool {
	for again := 0; ; again++ {
		rep := tre.attempts(bud, cal)
		failed := rep.failure != nil || retry.IsFailureStatus(rep.status)
		nes.Record(cal.print(), failed, rep.outcome)
		if !failed {
			return true
		}
		if again == applicationRetries || !tre.begin(bud, nes, cal) {
			return false
		}
	}
}

// attempts is the node's own loop around one call of the application.
func (tre *tree) attempts(bud *retry.Budget, cal *nested) reply {
	for n := 0; ; n++ {
		if cal.mayRan && !tre.idempotent {
			tre.unsafe++
		}
		rep := tre.send(cal.path, cal.level, cal.borrowed)
		bud.Return(cal.borrowed, rep.unused)
		cal.mayRan = cal.mayRan || rep.outcome != core.OutcomeNotRun
		ver := retry.Decide(retry.Attempt{
			Failure: rep.failure, Idempotent: tre.idempotent, Replayable: true,
			Remaining: time.Second, Backoff: retry.Backoff(tre.rng, n), TypicalLatency: 10 * time.Millisecond,
			Budget: bud, Ratio: tre.ratio, Now: epoch,
		})
		if ver != retry.DecisionRetry {
			return rep
		}
		tre.retries++
		cal.borrowed = bud.Borrow()
	}
}

func newTree(seed uint64, depth, fan int) *tree {
	return &tree{
		rng: rand.New(rand.NewPCG(seed, 1)), ratio: retry.NewRatio(1, 1<<20), depth: depth, fan: fan,
		leaf: map[string]int{},
	}
}

// Guards P1 and P9: no path of a call tree is attempted more often than 1 + budget, retries of the whole tree stay within
// the budget, and a non-idempotent call that may have run is not sent again, whatever the applications repeat.
func TestBudgetBoundsRetriesOfTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fan := rapid.IntRange(1, 3).Draw(rt, "fan")
		depth := rapid.IntRange(1, 9/fan).Draw(rt, "depth")
		seed := rapid.Uint64().Draw(rt, "seed")
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		failShare := rapid.Float64Range(0, 1).Draw(rt, "failShare")
		deepFails := rapid.Bool().Draw(rt, "deepFails")
		budget := rapid.IntRange(0, 4).Draw(rt, "budget")
		for root := range uint64(50) {
			tre := newTree(seed+root, depth, fan)
			tre.idempotent, tre.failShare, tre.deepFails = idempotent, failShare, deepFails
			tre.check(rt, budget)
		}
	})
}

// check sends one root request as the entry node does, which is a caller with one call.
func (tre *tree) check(rt *rapid.T, budget int) {
	bud := retry.NewBudget(budget)
	tre.firsts++
	tre.attempts(bud, &nested{level: 1, borrowed: bud.Borrow()})

	for path, n := range tre.leaf {
		if n > 1+budget {
			rt.Errorf("path %q reached the deepest service %d times with budget %d", path, n, budget)
		}
	}
	if tre.retries > budget || tre.sends != tre.firsts+tre.retries {
		rt.Errorf("%d sends of %d distinct calls with %d retries and budget %d", tre.sends, tre.firsts, tre.retries, budget)
	}
	if tre.unsafe > 0 {
		rt.Errorf("%d non-idempotent calls were sent again although they may have run", tre.unsafe)
	}
}

// What a nested call returns after its caller has answered must not be spent, because the answer has reported it lost.
func TestClosedBudgetStaysClosed(t *testing.T) {
	bud := retry.NewBudget(2)
	borrowed := bud.Borrow()
	got := []int{borrowed, bud.Close(), bud.Borrow()}
	bud.Return(borrowed, borrowed)
	got = append(got, bud.Remaining(), bud.Borrow())
	if diff := cmp.Diff([]int{2, 0, 0, 0, 0}, got); diff != "" {
		t.Errorf("borrowed, closed, borrowed, left, borrowed (-want +got):\n%s", diff)
	}
	if bud.Spend() {
		t.Error("a closed budget gave a retry")
	}
}

// Compares attempts at a refusing deepest service with a fleet that makes three attempts per hop. With the budget, the
// applications repeat each failed call up to five times; without it, they repeat nothing.
func TestAttemptsAgainstThreePerHop(t *testing.T) {
	power := 1
	for depth := 1; depth <= 9; depth++ {
		power *= 3
		tre := newTree(1, depth, 1)
		tre.deepFails, tre.idempotent = true, true
		bud := retry.NewBudget(retry.DefaultBudget)
		tre.attempts(bud, &nested{level: 1, borrowed: bud.Borrow()})
		got := map[string]int{"three per hop": threePerHop(1, depth)}
		for _, n := range tre.leaf {
			got["budget"] += n
		}
		t.Logf("depth %d: attempts %v", depth, got)
		want := map[string]int{"budget": 1 + retry.DefaultBudget, "three per hop": power}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("depth %d (-want +got):\n%s", depth, diff)
		}
	}
}

// threePerHop counts the attempts at a failing deepest service when each hop tries three times.
func threePerHop(level, depth int) int {
	if level > depth {
		return 1
	}
	total := 0
	for range 3 {
		total += threePerHop(level+1, depth)
	}
	return total
}

// Each condition alone must stop a retry, and a stopped retry must cost neither budget nor ratio.
func TestDecide(t *testing.T) {
	shed := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	broken := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	duplicate := core.NewRefusal(core.ReasonDuplicate, core.OutcomeNotRun, "other content")
	tests := []struct {
		name   string
		change func(*retry.Attempt)
		want   retry.Decision
	}{
		{"not run", func(att *retry.Attempt) {}, retry.DecisionRetry},
		{"unknown, idempotent", func(att *retry.Attempt) { att.Failure, att.Idempotent = broken, true }, retry.DecisionRetry},
		{"unknown", func(att *retry.Attempt) { att.Failure = broken }, retry.DecisionUnsafe},
		{"answer passed on from a deeper hop", func(att *retry.Attempt) { att.Failure = nil }, retry.DecisionAnswered},
		{"same answer elsewhere", func(att *retry.Attempt) { att.Failure = duplicate }, retry.DecisionNotRetryable},
		{"head sent", func(att *retry.Attempt) { att.HeadersSent = true }, retry.DecisionHeadersSent},
		{"body gone", func(att *retry.Attempt) { att.Replayable = false }, retry.DecisionNotReplayable},
		{"deadline near", func(att *retry.Attempt) { att.Remaining = 14 * time.Millisecond }, retry.DecisionDeadlineTooClose},
		{"no budget", func(att *retry.Attempt) { att.Budget = retry.NewBudget(0) }, retry.DecisionBudgetExhausted},
		{"ratio", func(att *retry.Attempt) { att.Ratio = retry.NewRatio(0, 0) }, retry.DecisionRatioExceeded},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			att := retry.Attempt{
				Failure: shed, Replayable: true, Remaining: time.Second, Backoff: 5 * time.Millisecond, TypicalLatency: 10 * time.Millisecond,
				Budget: retry.NewBudget(2), Ratio: retry.NewRatio(0, 2), Now: epoch,
			}
			tst.change(&att)
			before := att.Budget.Remaining()
			got := retry.Decide(att)
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
			if spent := before - att.Budget.Remaining(); spent != 0 && got != retry.DecisionRetry {
				t.Errorf("verdict %v cost %d retries", got, spent)
			}
		})
	}
}

// Guards against retries above 10% of the calls plus the floor in any 10 seconds, also with concurrent callers.
func TestRatioBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rat := retry.NewRatio(retry.DefaultShare, retry.DefaultMinPerSecond)
		load := rapid.SliceOfN(rapid.IntRange(0, 300), 15, 40).Draw(rt, "calls per second")
		var allowed []int
		for sec, calls := range load {
			now := epoch.Add(time.Duration(sec) * time.Second)
			for range calls {
				rat.CountCall(now)
			}
			var wgr sync.WaitGroup
			var mut sync.Mutex
			allowed = append(allowed, 0)
			for range 4 {
				wgr.Go(func() {
					for range 50 {
						if rat.Allow(now) {
							mut.Lock()
							allowed[sec]++
							mut.Unlock()
						}
					}
				})
			}
			wgr.Wait()
			sum, ret := 0, 0
			for i := max(0, sec-9); i <= sec; i++ {
				sum += load[i]
				ret += allowed[i]
			}
			if allowed[sec] < 1 {
				rt.Errorf("second %d: no retry although the floor allows one", sec)
			}
			// All retries of a second but the first must have passed the share of the whole window.
			if allowed[sec] > 1 && float64(ret) > retry.DefaultShare*float64(sum) {
				rt.Errorf("second %d: %d retries for %d calls in the window", sec, ret, sum)
			}
		}
	})
}

// A running call must not evade the budget by failing more distinct calls than the table holds.
func TestFailedCalls(t *testing.T) {
	nes := retry.NewFailedCalls()
	var fin core.Fingerprint
	steps := []struct {
		end        func()
		idempotent bool
		want       retry.Kind
	}{
		{func() {}, true, retry.KindFirst},
		{func() { nes.Record(fin, true, core.OutcomeNotRun) }, false, retry.KindRetry},
		{func() { nes.Record(fin, true, core.OutcomeRan) }, true, retry.KindRetry},
		{func() { nes.Record(fin, true, core.OutcomeNotRun) }, false, retry.KindUnsafeRetry},
		{func() { nes.Record(fin, false, core.OutcomeRan) }, false, retry.KindFirst},
	}
	for i, stp := range steps {
		stp.end()
		if diff := cmp.Diff(stp.want, nes.Classify(fin, stp.idempotent)); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
	}
	for i := range 257 {
		nes.Record(core.Fingerprint{1, byte(i), byte(i >> 8)}, true, core.OutcomeNotRun)
	}
	if diff := cmp.Diff(retry.KindRetry, nes.Classify(core.Fingerprint{2}, true)); diff != "" {
		t.Errorf("call beyond the table (-want +got):\n%s", diff)
	}
}

func BenchmarkRatioAllow(b *testing.B) {
	rat := retry.NewRatio(retry.DefaultShare, retry.DefaultMinPerSecond)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			rat.CountCall(epoch)
			rat.Allow(epoch)
		}
	})
}

func BenchmarkNestedCall(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		bud := retry.NewBudget(2)
		nes := retry.NewFailedCalls()
		nes.Classify(core.Fingerprint{1}, true)
		bud.Return(bud.Borrow(), 2)
		nes.Record(core.Fingerprint{1}, false, core.OutcomeRan)
	}
}
