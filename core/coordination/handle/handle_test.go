package handle_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"amaranthline/core"
)

const testSeed = 1

// bubble runs a test on a chain in virtual time; the service times are 10 ms in the mean.
func bubble(t *testing.T, depth int, test func(ctx context.Context, t *testing.T, fle *fleet)) {
	t.Helper()
	chain := make([]plan, depth)
	for idx := range chain {
		chain[idx] = plan{slots: 10, mean: 10 * time.Millisecond}
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fle := newFleet(ctx, t, chain, []string{"ann", "bob"}, testSeed, false)
		synctest.Wait()
		test(ctx, t, fle)
	})
}

// result is what a caller sees.
type result struct {
	Status  int
	Reason  core.Reason
	Outcome string
}

func resultOf(ans *core.Answer, err error) result {
	if err == nil {
		_, err = io.Copy(io.Discard, ans.Body())
		_ = ans.Body().Close()
	}
	if err != nil {
		ref := core.AsRefusal(err)
		return result{Reason: ref.Reason(), Outcome: ref.Outcome().String()}
	}
	return result{Status: ans.Status()}
}

func enter(ctx context.Context, hos *host, method, path string) result {
	return resultOf(hos.flow.ServeRoot(ctx, core.NewRequest(core.RequestSpec{
		APIKey: "ann-key", Service: serviceName(0), Method: method, Path: path, Header: http.Header{},
	})))
}

// callOf returns a call of a root request as it arrives beside the upstream.
func callOf(team string, admitted, deadline time.Time) *core.Call {
	root := core.NewRoot(core.RootSpec{Team: team, KeyID: team + "-1", Class: "read", Rank: 1, Admitted: admitted, Deadline: deadline})
	return core.NewCall(core.CallSpec{Root: root, Service: serviceName(0), Method: http.MethodGet, Path: "/read", Header: http.Header{}, Idempotent: true})
}

func serve(ctx context.Context, hos *host, team string) result {
	return resultOf(hos.flow.Serve(ctx, callOf(team, time.Now(), time.Now().Add(within))))
}

func diff(t *testing.T, want, got any) {
	t.Helper()
	if text := cmp.Diff(want, got); text != "" {
		t.Errorf("(-want +got):\n%s", text)
	}
}

// Guards against a request that may have run being reported as "not run" or sent again although it is not
// idempotent, and against an answer that is cut short being passed on as a whole one.
func TestFailedAttempts(t *testing.T) {
	reset := func(ups *upstream) {
		ups.seen = func(context.Context, *core.Call) bool { return false }
	}
	cut := func(ups *upstream) {
		ups.answer = func(*core.Call) (*core.Answer, error) {
			ans := reply(http.StatusOK, "0")
			ans.Body().(*content).end = core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the connection ended early")
			return ans, nil
		}
	}
	untyped := func(ups *upstream) {
		ups.answer = func(*core.Call) (*core.Answer, error) { return nil, errors.New("broken pipe") }
	}
	tests := []struct {
		name     string
		fault    func(ups *upstream)
		method   string
		path     string
		want     result
		attempts int
	}{
		{"reset, not idempotent", reset, http.MethodPost, "/order", result{0, core.ReasonUpstreamFailed, "unknown"}, 1},
		{"cut answer, not idempotent", cut, http.MethodPost, "/order", result{0, core.ReasonTruncated, "unknown"}, 1},
		{"untyped error, not idempotent", untyped, http.MethodPost, "/order", result{0, core.ReasonPeerFailed, "unknown"}, 1},
		// Two hosts, then no host is left: the first failure stays the answer.
		{"reset, idempotent", reset, http.MethodGet, "/read", result{0, core.ReasonUpstreamFailed, "unknown"}, 2},
		// The budget went out with the call and is lost with the end of the answer, so no retry is left.
		{"cut answer, idempotent", cut, http.MethodGet, "/read", result{0, core.ReasonTruncated, "unknown"}, 1},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			bubble(t, 1, func(ctx context.Context, t *testing.T, fle *fleet) {
				attempts := 0
				for _, hos := range fle.order {
					tst.fault(hos.upstream)
				}
				diff(t, tst.want, enter(ctx, fle.order[0], tst.method, tst.path))
				for _, hos := range fle.order {
					attempts += hos.upstream.starts()
				}
				diff(t, tst.attempts, attempts)
			})
		})
	}
}

// Guards against a request that runs with an admission from before a pause of the entry node.
func TestStaleAdmission(t *testing.T) {
	tests := []struct {
		age  time.Duration
		want result
	}{
		{time.Second, result{Status: http.StatusOK}},
		{time.Second + time.Millisecond, result{0, core.ReasonStaleAdmission, "not-run"}},
	}
	for _, tst := range tests {
		bubble(t, 1, func(ctx context.Context, t *testing.T, fle *fleet) {
			now := time.Now()
			diff(t, tst.want, resultOf(fle.order[0].flow.Serve(ctx, callOf("ann", now.Add(-tst.age), now.Add(within)))))
		})
	}
}

// Guards against a call that is sent to the upstream although its key was revoked while it waited.
func TestRevokedWhileQueued(t *testing.T) {
	bubble(t, 1, func(ctx context.Context, t *testing.T, fle *fleet) {
		hos := fle.order[0]
		release := make(chan struct{})
		hos.upstream.seen = func(context.Context, *core.Call) bool {
			<-release
			return true
		}
		limit := hos.gate.Limit()
		results := make(chan result, limit)
		for range limit {
			go func() { results <- serve(ctx, hos, "bob") }()
		}
		synctest.Wait()
		queued := make(chan result, 1)
		go func() { queued <- serve(ctx, hos, "ann") }()
		synctest.Wait()
		diff(t, 1, hos.gate.Waiting())
		fle.snap.Store(snapshot(t, 1, []string{"ann", "bob"}, []string{"ann"}))
		close(release)
		diff(t, result{0, core.ReasonKeyUnknown, "not-run"}, <-queued)
		for range limit {
			diff(t, result{Status: http.StatusOK}, <-results)
		}
		diff(t, limit, hos.upstream.starts())
	})
}

// Guards against nested work for a caller whose key was revoked while its request ran.
func TestRevokedBeforeNested(t *testing.T) {
	bubble(t, 2, func(ctx context.Context, t *testing.T, fle *fleet) {
		revoked := snapshot(t, 2, []string{"ann", "bob"}, []string{"ann"})
		for _, hos := range fle.service(serviceName(0)) {
			hos.upstream.called = func(context.Context, *core.Request) { fle.snap.Store(revoked) }
		}
		diff(t, result{Status: http.StatusServiceUnavailable}, enter(ctx, fle.order[0], http.MethodGet, "/read"))
		refused, started := 0, 0
		for _, hos := range fle.order {
			refused += hos.observer.refused[core.ReasonKeyUnknown]
		}
		for _, hos := range fle.deepest() {
			started += hos.upstream.starts()
		}
		diff(t, []int{1, 0}, []int{refused, started})
	})
}

// Guards against an upstream that chooses team, class, deadline or budget for its nested calls.
func TestNestedKeepsRoot(t *testing.T) {
	type root struct {
		Team, KeyID, Class string
		Deadline           time.Time
		Budget, Depth      int
	}
	bubble(t, 2, func(ctx context.Context, t *testing.T, fle *fleet) {
		var seen []root
		for _, hos := range fle.order {
			hos.upstream.seen = func(_ context.Context, cal *core.Call) bool {
				seen = append(seen, root{cal.Team(), cal.KeyID(), cal.Class(), cal.Deadline(), cal.RetryBudget(), cal.Depth()})
				return true
			}
		}
		for _, hos := range fle.service(serviceName(0)) {
			hos.upstream.called = func(_ context.Context, req *core.Request) {
				*req = *core.NewRequest(core.RequestSpec{
					APIKey: "bob-key", CallToken: req.CallToken(), Service: req.Service(), Method: http.MethodGet, Path: "/confirm",
					Header: http.Header{}, Timeout: time.Hour,
				})
			}
		}
		deadline := time.Now().Add(within)
		diff(t, result{Status: http.StatusOK}, enter(ctx, fle.order[0], http.MethodGet, "/read"))
		want := root{"ann", "ann-1", "read", deadline, 2, 0}
		nested := want
		nested.Depth = 1
		diff(t, []root{want, nested}, seen)
	})
}

// Guards against a planned stop that shows to callers.
func TestDrainingRetriedElsewhere(t *testing.T) {
	bubble(t, 1, func(ctx context.Context, t *testing.T, fle *fleet) {
		fle.order[0].flow.Drain()
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			path := map[string]string{http.MethodGet: "/read", http.MethodPost: "/order"}[method]
			diff(t, result{Status: http.StatusOK}, enter(ctx, fle.order[0], method, path))
		}
		diff(t, []int{0, 2}, []int{fle.order[0].upstream.starts(), fle.order[1].upstream.starts()})
	})
}

// Guards against a request that fails although only one host refuses it before its work: a host that has just
// restarted has no configuration, and one that is down has no connection.
func TestRefusalOfOneHostRetriedElsewhere(t *testing.T) {
	for _, reason := range []core.Reason{core.ReasonNoConfiguration, core.ReasonNoUpstream} {
		bubble(t, 1, func(ctx context.Context, t *testing.T, fle *fleet) {
			fle.order[0].upstream.answer = func(*core.Call) (*core.Answer, error) {
				return nil, core.NewRefusal(reason, core.OutcomeNotRun, "this host only")
			}
			for range 4 {
				diff(t, result{Status: http.StatusOK}, enter(ctx, fle.order[0], http.MethodPost, "/order"))
				time.Sleep(2 * time.Second) // the retry ratio allows one retry per second at this load
			}
		})
	}
}

// Guards against a slow service deep in the chain that uses up the limit of its callers, or makes them refuse
// short calls because they take the time of nested calls for their own.
func TestOwnTimeExcludesNested(t *testing.T) {
	bubble(t, 2, func(ctx context.Context, t *testing.T, fle *fleet) {
		hos := fle.order[0]
		for _, deep := range fle.deepest() {
			deep.upstream.mean = 300 * time.Millisecond
		}
		for range 50 {
			diff(t, result{Status: http.StatusOK}, serve(ctx, hos, "ann"))
		}
		hos.upstream.mean = 0
		held := make(chan struct{})
		hos.upstream.called = func(context.Context, *core.Request) { <-held }
		first := make(chan result, 1)
		go func() { first <- serve(ctx, hos, "ann") }()
		time.Sleep(time.Second)
		diff(t, 1, hos.gate.InFlight()) // at its own work, before the nested call
		before := hos.upstream.starts()
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = resultOf(hos.flow.Serve(short, callOf("ann", time.Now(), time.Now().Add(100*time.Millisecond))))
		}()
		time.Sleep(time.Millisecond)
		diff(t, before+1, hos.upstream.starts())
		close(held)
		synctest.Wait()
		diff(t, 0, hos.gate.InFlight()) // both wait for their nested calls
		<-ended
		diff(t, result{Status: http.StatusOK}, <-first)
		diff(t, 0, hos.gate.InFlight())
	})
}

// Guards against a peer that claims a team which no key has proved.
func TestUnprovedTeamIsRefused(t *testing.T) {
	bubble(t, 1, func(ctx context.Context, t *testing.T, fle *fleet) {
		now := time.Now()
		for _, open := range []bool{true, false} {
			root := core.NewRoot(core.RootSpec{Team: "ann", Class: "read", Public: open, Admitted: now, Deadline: now.Add(within)})
			call := core.NewCall(core.CallSpec{Root: root, Service: serviceName(0), Method: http.MethodGet, Path: "/read", Depth: 1})
			diff(t, result{0, core.ReasonKeyUnknown, "not-run"}, resultOf(fle.order[0].flow.Serve(ctx, call)))
		}
	})
}
