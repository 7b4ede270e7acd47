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

const applicationRetries = 5 // by the application, of each failed nested call

// callTree simulates one root request in which every service but the deepest makes fanOut nested calls.
type callTree struct {
	rng            *rand.Rand
	ratio          *retry.Ratio
	depth, fanOut  int
	idempotent     bool
	failureRate    float64 // fraction of the sends that the simulation makes fail
	deepestRefuses bool    // the deepest service refuses every call

	deepestAttempts map[string]int // attempts at the deepest service, by path through the tree
	sends           int
	firstCalls      int // calls that were not retries
	retries         int
	unsafeRetries   int // sends of a non-idempotent call of which an earlier attempt ran or may have run
}

// answer is the answer of the called service's node, or the failure of the connection to it.
type answer struct {
	failure *core.Refusal // nil when the application answered
	status  int
	outcome core.Outcome
	unused  int // retries of the budget that return to the caller
}

func connectionLost(out core.Outcome) answer {
	return answer{failure: core.NewRefusal(core.ReasonPeerFailed, out, "lost"), outcome: out}
}

// send sends one call over a hop. It fails some calls before, during or after their run, with all three outcomes.
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

// run serves a call: the application makes all its nested calls at the same time and retries each that fails.
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

// admit classifies a nested call, spends one retry on it if it is a retry, and borrows the remaining budget for it, as
// the node next to the calling upstream does.
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

// sendWithAppRetries sends an admitted call and retries it as the application does, after the retries of the node.
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

// sendWithNodeRetries sends one call of the application and retries it as the node does.
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

// Guards against retries that multiply along a call tree, and against running a non-idempotent call twice. No path of the
// tree is attempted more than 1 + budget times, all retries of the tree together stay within the budget, and a
// non-idempotent call that may have run is not sent again, however often applications retry.
func TestBudgetBoundsRetriesOfTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fanOut := rapid.IntRange(1, 3).Draw(rt, "fanOut")
		depth := rapid.IntRange(1, 9/fanOut).Draw(rt, "depth")
		seed := rapid.Uint64().Draw(rt, "seed")
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		failureRate := rapid.Float64Range(0, 1).Draw(rt, "failureRate")
		deepestRefuses := rapid.Bool().Draw(rt, "deepestRefuses")
		budget := rapid.IntRange(0, 4).Draw(rt, "budget")
		for root := range uint64(50) {
			tre := newCallTree(seed+root, depth, fanOut)
			tre.idempotent, tre.failureRate, tre.deepestRefuses = idempotent, failureRate, deepestRefuses
			tre.checkRootRequest(rt, budget)
		}
	})
}

// checkRootRequest sends one root request as the entry node does, which makes one call, and checks the bounds.
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

// Guards against spending retries twice: what a nested call returns after its caller has answered must not be spent,
// because that answer has already reported it as lost.
func TestClosedBudgetStaysClosed(t *testing.T) {
	bud := retry.NewBudget(2)
	borrowed := bud.Borrow()
	got := []int{borrowed, bud.Close(), bud.Borrow()}
	bud.Return(borrowed, borrowed)
	got = append(got, bud.Remaining(), bud.Borrow())
	if diff := cmp.Diff([]int{2, 0, 0, 0, 0}, got); diff != "" {
		t.Errorf("results of Borrow, Close, Borrow, Remaining, Borrow (-want +got):\n%s", diff)
	}
	if bud.Spend() {
		t.Error("a closed budget allowed a retry")
	}
}

// Guards against retries that grow exponentially with depth: compares the attempts at a deepest service that refuses all
// calls with those of a fleet that makes three attempts per hop. With the budget, applications also retry each failed
// call up to five times; without it, they do not retry.
func TestAttemptsAgainstThreePerHop(t *testing.T) {
	threePerHop := 1
	for depth := 1; depth <= 9; depth++ {
		threePerHop *= 3
		tre := newCallTree(1, depth, 1)
		tre.deepestRefuses, tre.idempotent = true, true
		bud := retry.NewBudget(retry.DefaultBudget)
		tre.sendWithNodeRetries(bud, &nestedCall{depth: 1, borrowed: bud.Borrow()})
		got := map[string]int{"three per hop": attemptsWithThreePerHop(1, depth)}
		for _, n := range tre.deepestAttempts {
			got["budget"] += n
		}
		t.Logf("depth %d: attempts %v", depth, got)
		want := map[string]int{"budget": 1 + retry.DefaultBudget, "three per hop": threePerHop}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("depth %d (-want +got):\n%s", depth, diff)
		}
	}
}

// attemptsWithThreePerHop counts the attempts at a failing deepest service when each hop makes three attempts.
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

// Guards against retries in spite of one condition that forbids them. Each condition alone must prevent the retry, and a
// prevented retry must use up neither budget nor ratio; the test checks the budget.
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
		{"reason not retryable", func(att *retry.Attempt) { att.Failure = duplicate }, retry.DecisionNotRetryable},
		{"headers sent", func(att *retry.Attempt) { att.HeadersSent = true }, retry.DecisionHeadersSent},
		{"body not buffered", func(att *retry.Attempt) { att.Replayable = false }, retry.DecisionNotReplayable},
		{"deadline too close", func(att *retry.Attempt) { att.Remaining = 14 * time.Millisecond }, retry.DecisionDeadlineTooClose},
		{"budget exhausted", func(att *retry.Attempt) { att.Budget = retry.NewBudget(0) }, retry.DecisionBudgetExhausted},
		{"ratio exceeded", func(att *retry.Attempt) { att.Ratio = retry.NewRatio(0, 0) }, retry.DecisionRatioExceeded},
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
				t.Errorf("decision (-want +got):\n%s", diff)
			}
			if spent := before - att.Budget.Remaining(); spent != 0 && got != retry.DecisionRetry {
				t.Errorf("decision %v took %d retries from the budget", got, spent)
			}
		})
	}
}

// Guards against more retries than 10% of the calls in any 10 seconds, beyond the one per second that is always allowed,
// also with concurrent callers.
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
			windowCalls, windowRetries := 0, 0
			for i := max(0, sec-9); i <= sec; i++ {
				windowCalls += callsPerSecond[i]
				windowRetries += allowed[i]
			}
			if allowed[sec] < 1 {
				rt.Errorf("second %d: no retry was allowed although one per second always is", sec)
			}
			// All retries of a second but the first must be within the share of the calls in the last 10 seconds.
			if allowed[sec] > 1 && float64(windowRetries) > retry.DefaultShare*float64(windowCalls) {
				rt.Errorf("second %d: %d retries for %d calls in the last 10 seconds", sec, windowRetries, windowCalls)
			}
		}
	})
}

// Guards against nested calls whose retries are not detected, also if more distinct calls fail than the table holds.
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
		t.Errorf("call that the full table does not hold (-want +got):\n%s", diff)
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
