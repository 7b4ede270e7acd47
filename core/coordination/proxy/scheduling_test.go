package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"amaranthline/core"

	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
)

// Guards against deployments that are scheduled otherwise than before although their services declare cold rates, and
// against settings that have no effect.
func TestSchedulingByWork(t *testing.T) {
	declare := func(cold string) *decl.Snapshot {
		dec, err := decl.Decode([]byte(fmt.Sprintf(`{"version":1,"classes":[],"services":[{"name":"stampa","routes":[],"upstream":{"connections":10%s}}],
			"teams":[],"keys":[],"domains":[],"entries":[]}`, cold)))
		if err != nil {
			t.Fatal(err)
		}
		return decl.NewSnapshot(dec, nil)
	}
	got := map[string]bool{}
	for name, sna := range map[string]*decl.Snapshot{"cold": declare(`,"cold":{"rate":5,"lasts":"3s"}`), "none": declare("")} {
		for _, sdl := range []proxy.Scheduling{proxy.SchedulingAuto, proxy.SchedulingLatency, proxy.SchedulingWork} {
			got[name+" "+string(sdl)] = sdl.ByWork(sna)
		}
	}
	want := map[string]bool{
		"cold auto": false, "cold latency": false, "cold work": true, "none auto": true, "none latency": false, "none work": true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a limit of a class that falls to its minimum because a host reports longer waits than its calls took: the
// root requests would seem to need no time without waits.
func TestReportedQueuedTimeIsBounded(t *testing.T) {
	env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) {
		return answer(http.StatusOK, "", core.Feedback{}.WithQueuedFor(time.Hour)), nil
	}}
	if got := serveNestingBy(t, env, proxy.SchedulingWork).QueuedFor(); got > time.Second {
		t.Errorf("the answer says that %v were spent in queues, want at most the time that the call took", got)
	}
}

// Guards against answers that carry more bytes than before while scheduling by work is not in force.
func TestNoFurtherFeedbackByLatency(t *testing.T) {
	failed := answer(http.StatusInternalServerError, "", core.Feedback{}.WithNestedFailed(true).WithQueuedFor(time.Second))
	env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return failed, nil }}
	fee := serveNestingBy(t, env, proxy.SchedulingLatency)
	// A nested call that failed without lack of room would be told, one with it is the default.
	got := []any{fee.NestedNoRoom(), fee.QueuedFor(), fee.ExpectedService(), fee.ExpectedWait(), fee.Slots()}
	if diff := cmp.Diff([]any{true, time.Duration(0), time.Duration(0), time.Duration(0), 0}, got); diff != "" {
		t.Errorf("fields of scheduling by work in the feedback (-want +got):\n%s", diff)
	}
}

// Guards against hosts of root requests that do not learn how long these were queued further down the chain: waits of nested
// calls in a row add up, and those of calls at the same time count once.
func TestQueuedTimePassesUp(t *testing.T) {
	const queued, took = 40 * time.Millisecond, 60 * time.Millisecond
	env := &fakeEnv{sna: snapshot(t, 5, false, false)}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		time.Sleep(took)
		return answer(http.StatusOK, "", core.Feedback{}.WithQueuedFor(queued)), nil
	}
	var prx *proxy.Proxy
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		nested := func(id string) {
			if ans, err := prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+"."+id, "")); err == nil {
				_ = ans.Body().Close()
			}
		}
		nested("first")
		var grp sync.WaitGroup
		for _, id := range []string{"second", "third"} {
			grp.Go(func() { nested(id) })
		}
		grp.Wait()
		return okAnswer()
	}
	prx = newScheduledProxy(t, env, proxy.SchedulingWork)
	awaitHealthCheck(t, prx)
	ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
		Root:    core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(2 * time.Second)}),
		Service: "orders", Path: "/read/1", AttemptID: "run", TargetLatency: time.Second,
	}))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(ans.Body())
	_ = ans.Body().Close()
	if got := ans.Feedback().QueuedFor(); got < 3*queued/2 || got > 5*queued/2 {
		t.Errorf("the answer says that %v were spent in queues, want about %v", got, 2*queued)
	}
}

// Guards against a node that takes all the root requests which its slots hold right after its start, although it knows
// nothing of the services that they call, and against a changed start where scheduling by work is off.
func TestRootRequestsAfterStart(t *testing.T) {
	const slots, sent = 16, 15
	for _, sdl := range []proxy.Scheduling{proxy.SchedulingLatency, proxy.SchedulingWork} {
		t.Run(string(sdl), func(t *testing.T) {
			env, done := &fakeEnv{sna: snapshot(t, 5, false, false)}, make(chan struct{})
			env.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
				<-done
				return okAnswer()
			}
			prx := newScheduledProxy(t, env, sdl)
			awaitHealthCheck(t, prx)
			results := make(chan error, sent)
			for i := range sent {
				go func() {
					ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
						Root:    core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(5 * time.Second)}),
						Service: "orders", Path: "/read/1", AttemptID: fmt.Sprint("run", i), TargetLatency: time.Second,
					}))
					if err == nil {
						_, _ = io.ReadAll(ans.Body())
						err = ans.Body().Close()
					}
					results <- err
				}()
			}
			time.Sleep(300 * time.Millisecond) // until all have been admitted, queued or refused
			close(done)
			served := 0
			for range sent {
				if <-results == nil {
					served++
				}
			}
			if byWork := sdl == proxy.SchedulingWork; byWork != (served <= slots/2) {
				t.Errorf("%d of %d root requests were admitted at once to %d slots", served, sent, slots)
			}
		})
	}
}

// Guards against charges, running work and waits that stay behind, and against counts that become negative, when a
// configuration declares a cold rate or no longer does while calls are in flight.
func TestColdRateAppearsWhileCallsRun(t *testing.T) {
	const calls, reloads = 40, 100
	env := &fakeEnv{}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		time.Sleep(20 * time.Millisecond)
		return answer(http.StatusOK, "", core.Feedback{}.WithQueuedFor(10*time.Millisecond)), nil
	}
	var prx *proxy.Proxy
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		if ans, err := prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", "")); err == nil {
			_ = ans.Body().Close()
		}
		return okAnswer()
	}
	prx = newScheduledProxy(t, env, proxy.SchedulingAuto)
	awaitHealthCheck(t, prx)
	byLatency := env.snapshot()
	byWork := snapshotWith(t, 5, false, false, 0, jsonObject{"services": []jsonObject{
		{"name": "orders", "routes": []jsonObject{}, "upstream": jsonObject{"connections": 100, "health": "/health"}},
		{"name": "stock", "routes": []jsonObject{}},
		{"name": "deep", "routes": []jsonObject{}},
	}})
	var grp sync.WaitGroup
	for i := range calls {
		grp.Go(func() {
			time.Sleep(time.Duration(i) * 8 * time.Millisecond) // a few at the same time: the upstream has 20 slots
			ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
				Root:    core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(5 * time.Second)}),
				Service: "orders", Path: "/read/1", AttemptID: fmt.Sprint("run", i), TargetLatency: time.Second,
			}))
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.ReadAll(ans.Body())
			_ = ans.Body().Close()
		})
	}
	for i := range reloads {
		prx.SetSnapshot([]*decl.Snapshot{byWork, byLatency}[i%2])
		time.Sleep(3 * time.Millisecond)
	}
	grp.Wait()
	_, inFlight, queued := prx.SlotUsage()
	if diff := cmp.Diff([]any{false, 0, 0, 0, time.Duration(0)}, []any{prx.ByWork(), inFlight, queued, prx.TrackedTeams(), prx.ExpectedWait()}); diff != "" {
		t.Errorf("by work, in flight, queued, tracked teams and expected wait after the calls (-want +got):\n%s", diff)
	}
}
