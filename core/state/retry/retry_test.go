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
type callTree struct {
	rng            *rand.Rand
	ratio          *retry.Ratio
	depth, fanOut  int
	idempotent     bool
	failureRate    float64 // share of sends that fail on the way
	deepestRefuses bool    // the deepest service refuses every call

	deepestAttempts map[string]int // attempts at the deepest service, by path through the tree
	sends           int
	firstCalls      int // nested calls that were not retries
	retries         int
	unsafeRetries   int // sends of a non-idempotent call beyond its first that ran or may have run
}

// reply is what the node of the called service or the connection to it reports.
type answer struct {
	failure *core.Refusal // nil when the application answered
	status  int
	outcome core.Outcome
	unused  int
}

func connectionLost(out core.Outcome) answer {
	return answer{failure: core.NewRefusal(core.ReasonPeerFailed, out, "lost"), outcome: out}
}

// send carries one call over a hop; failures of all three outcomes happen before, during and after the run.
func (tre *callTree) send(path string, depth, budget int) answer {
	tre.sends++
	fail := tre.rng.Float64() < tre.failureRate
	failureKind := tre.rng.IntN(5)
	if fail && failureKind == 0 {
		return answer{failure: core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "shed"), outcome: core.OutcomeNotRun, unused: budget}
	}
	if fail && failureKind == 1 {
		return connectionLost(core.OutcomeUnknown)
	}
	ans := tre.run(path, depth, budget)
	if fail && failureKind == 2 {
		return connectionLost(core.OutcomeUnknown)
	}
	if fail && failureKind == 3 {
		ans.failure = core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "connection reset")
		ans.outcome = core.OutcomeUnknown
		return ans
	}
	if fail && ans.failure == nil {
		ans.status = 500
	}
	return ans
}

// run serves a call: the application makes its nested calls at once and repeats each that fails.
func (tre *callTree) run(path string, depth, budget int) answer {
	if depth == tre.depth {
		tre.deepestAttempts[path]++
		if tre.deepestRefuses {
			return answer{failure: core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "shed"), outcome: core.OutcomeNotRun, unused: budget}
		}
		return answer{status: 200, outcome: core.OutcomeRan, unused: budget}
	}
	bud := retry.NewBudget(budget)
	fca := retry.NewFailedCalls()
	calls := make([]*nestedCall, tre.fanOut)
	for i := range calls {
		calls[i] = &nestedCall{path: path + string(rune('a'+i)), depth: depth + 1}
		tre.admit(bud, fca, calls[i])
	}
	status := 200
	// Parallel calls have all borrowed before the first one ends.
	for _, i := range tre.rng.Perm(len(calls)) {
		if !tre.sendWithAppRetries(bud, fca, calls[i]) {
			status = 502
		}
	}
	return answer{status: status, outcome: core.OutcomeRan, unused: bud.Close()}
}

type nestedCall struct {
	path       string
	depth      int
	borrowed   int
	mayHaveRun bool
}

func (cal *nestedCall) fingerprint() core.Fingerprint {
	var fin core.Fingerprint
	copy(fin[:], cal.path)
	return fin
}

// begin admits a nested call as the node beside the calling upstream does.
func (tre *callTree) admit(bud *retry.Budget, fca *retry.FailedCalls, cal *nestedCall) bool {
	switch fca.Classify(cal.fingerprint(), tre.idempotent) {
	case retry.KindUnsafeRetry:
		return false
	case retry.KindRetry:
		if !bud.Spend() {
			return false
		}
		tre.retries++
	default:
		tre.firstCalls++
	}
	cal.borrowed = bud.Borrow()
	return true
}

// finish sends an admitted call, lets the node retry it, and lets the application repeat it.
func (tre *callTree) sendWithAppRetries(bud *retry.Budget, fca *retry.FailedCalls, cal *nestedCall) bool {
	for appRetries := 0; ; appRetries++ {
		ans := tre.sendWithNodeRetries(bud, cal)
		failed := ans.failure != nil || retry.IsFailureStatus(ans.status)
		fca.Record(cal.fingerprint(), failed, ans.outcome)
		if !failed {
			return true
		}
		if appRetries == applicationRetries || !tre.admit(bud, fca, cal) {
			return false
		}
	}
}

// attempts is the node's own loop around one call of the application.
func (tre *callTree) sendWithNodeRetries(bud *retry.Budget, cal *nestedCall) answer {
	for n := 0; ; n++ {
		if cal.mayHaveRun && !tre.idempotent {
			tre.unsafeRetries++
		}
		ans := tre.send(cal.path, cal.depth, cal.borrowed)
		bud.Return(cal.borrowed, ans.unused)
		cal.mayHaveRun = cal.mayHaveRun || ans.outcome != core.OutcomeNotRun
		decision := retry.Decide(retry.Attempt{
			Failure: ans.failure, Idempotent: tre.idempotent, Replayable: true,
			Remaining: time.Second, Backoff: retry.Backoff(tre.rng, n), TypicalLatency: 10 * time.Millisecond,
			Budget: bud, Ratio: tre.ratio, Now: epoch,
		})
		if decision != retry.DecisionRetry {
			return ans
		}
		tre.retries++
		cal.borrowed = bud.Borrow()
	}
}

func newCallTree(seed uint64, depth, fanOut int) *callTree {
	return &callTree{
		rng: rand.New(rand.NewPCG(seed, 1)), ratio: retry.NewRatio(1, 1<<20), depth: depth, fanOut: fanOut,
		deepestAttempts: map[string]int{},
	}
}

// Guards P1 and P9: no path of a call tree is attempted more often than 1 + budget, retries of the whole tree stay within
// the budget, and a non-idempotent call that may have run is not sent again, whatever the applications repeat.
func TestBudgetBoundsRetriesOfTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fanOut := rapid.IntRange(1, 3).Draw(rt, "fan")
		depth := rapid.IntRange(1, 9/fanOut).Draw(rt, "depth")
		seed := rapid.Uint64().Draw(rt, "seed")
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		failureRate := rapid.Float64Range(0, 1).Draw(rt, "failShare")
		deepestRefuses := rapid.Bool().Draw(rt, "deepFails")
		budget := rapid.IntRange(0, 4).Draw(rt, "budget")
		for root := range uint64(50) {
			tre := newCallTree(seed+root, depth, fanOut)
			tre.idempotent, tre.failureRate, tre.deepestRefuses = idempotent, failureRate, deepestRefuses
			tre.checkRootRequest(rt, budget)
		}
	})
}

// check sends one root request as the entry node does, which is a caller with one call.
func (tre *callTree) checkRootRequest(rt *rapid.T, budget int) {
	bud := retry.NewBudget(budget)
	tre.firstCalls++
	tre.sendWithNodeRetries(bud, &nestedCall{depth: 1, borrowed: bud.Borrow()})

	for path, n := range tre.deepestAttempts {
		if n > 1+budget {
			rt.Errorf("path %q reached the deepest service %d times with budget %d", path, n, budget)
		}
	}
	if tre.retries > budget || tre.sends != tre.firstCalls+tre.retries {
		rt.Errorf("%d sends of %d distinct calls with %d retries and budget %d", tre.sends, tre.firstCalls, tre.retries, budget)
	}
	if tre.unsafeRetries > 0 {
		rt.Errorf("%d non-idempotent calls were sent again although they may have run", tre.unsafeRetries)
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
	naive := 1
	for depth := 1; depth <= 9; depth++ {
		naive *= 3
		tre := newCallTree(1, depth, 1)
		tre.deepestRefuses, tre.idempotent = true, true
		bud := retry.NewBudget(retry.DefaultBudget)
		tre.sendWithNodeRetries(bud, &nestedCall{depth: 1, borrowed: bud.Borrow()})
		got := map[string]int{"three per hop": attemptsWithThreePerHop(1, depth)}
		for _, n := range tre.deepestAttempts {
			got["budget"] += n
		}
		t.Logf("depth %d: attempts %v", depth, got)
		want := map[string]int{"budget": 1 + retry.DefaultBudget, "three per hop": naive}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("depth %d (-want +got):\n%s", depth, diff)
		}
	}
}

// threePerHop counts the attempts at a failing deepest service when each hop tries three times.
func attemptsWithThreePerHop(hop, hops int) int {
	if hop > hops {
		return 1
	}
	total := 0
	for range 3 {
		total += attemptsWithThreePerHop(hop+1, hops)
	}
	return total
}

// Each condition alone must stop a retry, and a stopped retry must cost neither budget nor ratio.
func TestDecide(t *testing.T) {
	overloaded := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	connectionReset := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	duplicate := core.NewRefusal(core.ReasonDuplicate, core.OutcomeNotRun, "other content")
	tests := []struct {
		name   string
		change func(*retry.Attempt)
		want   retry.Decision
	}{
		{"not run", func(att *retry.Attempt) {}, retry.DecisionRetry},
		{"unknown, idempotent", func(att *retry.Attempt) { att.Failure, att.Idempotent = connectionReset, true }, retry.DecisionRetry},
		{"unknown", func(att *retry.Attempt) { att.Failure = connectionReset }, retry.DecisionUnsafe},
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
				Failure: overloaded, Replayable: true, Remaining: time.Second, Backoff: 5 * time.Millisecond, TypicalLatency: 10 * time.Millisecond,
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
		callsPerSecond := rapid.SliceOfN(rapid.IntRange(0, 300), 15, 40).Draw(rt, "calls per second")
		var allowed []int
		for sec, calls := range callsPerSecond {
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
			calls, retries := 0, 0
			for i := max(0, sec-9); i <= sec; i++ {
				calls += callsPerSecond[i]
				retries += allowed[i]
			}
			if allowed[sec] < 1 {
				rt.Errorf("second %d: no retry although the floor allows one", sec)
			}
			// All retries of a second but the first must have passed the share of the whole window.
			if allowed[sec] > 1 && float64(retries) > retry.DefaultShare*float64(calls) {
				rt.Errorf("second %d: %d retries for %d calls in the window", sec, retries, calls)
			}
		}
	})
}

// A running call must not evade the budget by failing more distinct calls than the table holds.
func TestFailedCalls(t *testing.T) {
	fca := retry.NewFailedCalls()
	var fin core.Fingerprint
	steps := []struct {
		record     func()
		idempotent bool
		want       retry.Kind
	}{
		{func() {}, true, retry.KindFirst},
		{func() { fca.Record(fin, true, core.OutcomeNotRun) }, false, retry.KindRetry},
		{func() { fca.Record(fin, true, core.OutcomeRan) }, true, retry.KindRetry},
		{func() { fca.Record(fin, true, core.OutcomeNotRun) }, false, retry.KindUnsafeRetry},
		{func() { fca.Record(fin, false, core.OutcomeRan) }, false, retry.KindFirst},
	}
	for i, step := range steps {
		step.record()
		if diff := cmp.Diff(step.want, fca.Classify(fin, step.idempotent)); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
	}
	for i := range 257 {
		fca.Record(core.Fingerprint{1, byte(i), byte(i >> 8)}, true, core.OutcomeNotRun)
	}
	if diff := cmp.Diff(retry.KindRetry, fca.Classify(core.Fingerprint{2}, true)); diff != "" {
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
		fca := retry.NewFailedCalls()
		fca.Classify(core.Fingerprint{1}, true)
		bud.Return(bud.Borrow(), 2)
		fca.Record(core.Fingerprint{1}, false, core.OutcomeRan)
	}
}
