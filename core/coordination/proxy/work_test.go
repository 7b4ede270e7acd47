package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"

	"github.com/google/go-cmp/cmp"
)

// newScheduledProxy is newProxy with a kind of scheduling.
func newScheduledProxy(t *testing.T, env *fakeEnv, sdl proxy.Scheduling) *proxy.Proxy {
	t.Helper()
	env.setSnapshot(snapshot(t, 5, false, false))
	prx := proxy.New(proxy.Settings{
		Host: localHost, Domain: "a", Service: "orders", Peers: env, Upstream: env, Observer: env, EventLog: env, Scheduling: sdl,
		Snapshot: env.snapshot, Rand: rand.New(rand.NewPCG(1, 2)), RetryShare: 10,
	})
	prx.SetSnapshot(env.snapshot())
	return prx
}

// serveCall serves a call of a peer and returns the feedback of its answer.
func serveCall(t *testing.T, prx *proxy.Proxy, id string) core.Feedback {
	t.Helper()
	root := core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(2 * time.Second)})
	ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
		Root: root, Service: "orders", Method: http.MethodGet, Path: "/read/1?page=2", Authority: "shop.example:8080", AttemptID: id,
		TargetLatency: time.Second, DeclarationsVersion: 5,
	}))
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 100)
	for _, err = ans.Body().Read(buf); err == nil; _, err = ans.Body().Read(buf) {
	}
	return ans.Feedback()
}

// Guards against waits for nested calls that callers are told as work of the upstream, and against feedback on work from
// a node at which scheduling by work is not in force.
func TestWorkFeedback(t *testing.T) {
	for _, tst := range []struct {
		scheduling proxy.Scheduling
		slots      int
		known      bool
	}{
		{proxy.SchedulingWork, 18, true}, // two of the 20 slots are reserved
		{proxy.SchedulingAuto, 0, false}, // the service "orders" declares a cold rate
		{proxy.SchedulingLatency, 0, false},
	} {
		t.Run(string(tst.scheduling), func(t *testing.T) {
			t.Parallel()
			const nestedTime, workTime = 60 * time.Millisecond, 10 * time.Millisecond
			env := &fakeEnv{}
			env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
				time.Sleep(nestedTime)
				return okAnswer()
			}
			var prx *proxy.Proxy
			env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
				time.Sleep(workTime)
				ans, err := prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", ""))
				if err != nil {
					return nil, err
				}
				return ans, nil
			}
			prx = newScheduledProxy(t, env, tst.scheduling)
			awaitHealthCheck(t, prx)
			var fee core.Feedback
			for i := range 30 {
				fee = serveCall(t, prx, fmt.Sprint("r", i))
			}
			if diff := cmp.Diff([]any{tst.slots, tst.known}, []any{fee.Slots(), fee.ExpectedService() > 0}); diff != "" {
				t.Errorf("slots, and whether the service time is reported (-want +got):\n%s", diff)
			}
			if service := fee.ExpectedService(); service > nestedTime {
				t.Errorf("the reported service time is %v, want about the work of %v without the nested call of %v", service, workTime, nestedTime)
			}
			estimates := map[string]bool{}
			for _, est := range prx.WorkEstimates() {
				estimates[est.Kind().Route()] = true
			}
			want := map[string]bool{}
			if tst.known {
				want["read"] = true
			}
			if diff := cmp.Diff(want, estimates); diff != "" {
				t.Errorf("routes of the known kinds (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a choice of hosts by another rule than the one in force. A host reports the lower latency and the longer
// wait for a slot: by latency it gets the calls, by work the other one.
func TestSchedulingSelectsTheRule(t *testing.T) {
	const lowLatency, shortWait = "10.0.1.1", "10.0.1.2"
	for _, tst := range []struct {
		scheduling proxy.Scheduling
		want       string
	}{{proxy.SchedulingWork, shortWait}, {proxy.SchedulingAuto, lowLatency}, {proxy.SchedulingLatency, lowLatency}} {
		t.Run(string(tst.scheduling), func(t *testing.T) {
			env := &fakeEnv{}
			env.forward = func(_ context.Context, host string, _ *core.Call) (*core.Answer, error) {
				fee := core.NewFeedback(0, 1, 1.5, false).WithLatency(time.Second, time.Millisecond).WithWork(50*time.Millisecond, time.Second, 20)
				switch host {
				case lowLatency:
					fee = fee.WithLatency(10*time.Millisecond, time.Millisecond)
				case shortWait:
					fee = core.NewFeedback(0, 1, 0.2, false).WithLatency(500*time.Millisecond, time.Millisecond).WithWork(50*time.Millisecond, 0, 20)
				}
				return answer(http.StatusOK, "whole", fee), nil
			}
			prx := newScheduledProxy(t, env, tst.scheduling)
			const calls = 60
			for i := range calls {
				ans, err := prx.ServeRoot(t.Context(), request("/deep/1", fmt.Sprint("r", i), apiKey))
				if err != nil {
					t.Fatal(err)
				}
				_ = ans.Body().Close()
			}
			for _, host := range env.hosts()[calls/2:] {
				if host != tst.want {
					t.Fatalf("calls went to %v, want the later ones only to %s", env.hosts(), tst.want)
				}
			}
		})
	}
}
