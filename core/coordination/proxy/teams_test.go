package proxy_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"

	"github.com/google/go-cmp/cmp"
)

// surgeResult counts how the calls of two teams ended at one host.
type surgeResult struct {
	quietAsked, quietServed atomic.Int64
	partRefusals            atomic.Int64 // of calls of the loud team that name a time to retry
	quietPartRefusals       atomic.Int64
}

// runSurge sends the calls of a loud team, more than 18 slots serve, beside some of a quiet one for two seconds.
func runSurge(t *testing.T, prx *proxy.Proxy) *surgeResult {
	t.Helper()
	awaitHealthCheck(t, prx)
	sur := &surgeResult{}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	serve := func(team, id string) error {
		call := core.NewCall(core.CallSpec{
			Root:    core.NewRoot(core.RootSpec{Team: team, Class: "read", Deadline: time.Now().Add(5 * time.Second)}),
			Service: "orders", AttemptID: id, TargetLatency: time.Second,
		})
		ans, err := prx.Serve(t.Context(), call)
		if err == nil {
			_, err = io.Copy(io.Discard, ans.Body())
			_ = ans.Body().Close()
		}
		return err
	}
	var grp sync.WaitGroup
	for worker := range 120 {
		grp.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				err := serve("loud", fmt.Sprint("loud", worker, ".", i))
				if err == nil {
					continue
				}
				if core.AsRefusal(err).RetryAfter() > 0 {
					sur.partRefusals.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(20 * time.Millisecond)
		grp.Go(func() {
			sur.quietAsked.Add(1)
			switch err := serve("quiet", fmt.Sprint("quiet", i)); {
			case err == nil:
				sur.quietServed.Add(1)
			case core.AsRefusal(err).RetryAfter() > 0:
				sur.quietPartRefusals.Add(1)
			}
		})
	}
	grp.Wait()
	return sur
}

// Guards against a surge of one team at a host that takes the room of a team which sends little, against refusals without
// a time to retry, and against a division that is in force although the settings do not call for it.
func TestSurgeOfOneTeam(t *testing.T) {
	for _, sdl := range []proxy.Scheduling{proxy.SchedulingLatency, proxy.SchedulingWork} {
		t.Run(string(sdl), func(t *testing.T) {
			t.Parallel()
			env := &fakeEnv{sna: snapshotWith(t, 5, false, false, 0, jsonObject{"teams": []jsonObject{
				{"name": "verona", "rate": 1000, "burst": 1000}, {"name": "loud", "rate": 100, "burst": 100}, {"name": "quiet", "rate": 100, "burst": 100},
			}})}
			env.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
				time.Sleep(40 * time.Millisecond)
				return okAnswer()
			}
			prx := proxy.New(proxy.Settings{
				Host: localHost, Domain: "a", Service: "orders", Peers: env, Upstream: env, Observer: env, EventLog: env, Scheduling: sdl,
				Snapshot: env.snapshot, Rand: rand.New(rand.NewPCG(1, 2)), RetryShare: 10,
			})
			prx.SetSnapshot(env.snapshot())
			sur := runSurge(t, prx)
			t.Logf("%d of %d calls of the quiet team were served; %d refusals of the loud one and %d of the quiet one named its part",
				sur.quietServed.Load(), sur.quietAsked.Load(), sur.partRefusals.Load(), sur.quietPartRefusals.Load())
			if sdl == proxy.SchedulingLatency {
				if prx.PartRefusals() > 0 || sur.partRefusals.Load() > 0 || prx.TrackedTeams() > 0 {
					t.Errorf("%d refusals for parts and %d teams tracked, want none", prx.PartRefusals(), prx.TrackedTeams())
				}
				return
			}
			if sur.partRefusals.Load() == 0 || prx.PartRefusals() == 0 || prx.TrackedTeams() != 2 {
				t.Errorf("%d refusals named a time to retry, %d were counted and %d teams tracked, want some, some and 2",
					sur.partRefusals.Load(), prx.PartRefusals(), prx.TrackedTeams())
			}
			if sur.quietServed.Load()*10 < sur.quietAsked.Load()*9 {
				t.Errorf("%d of %d calls of the quiet team were served, want 9 of 10", sur.quietServed.Load(), sur.quietAsked.Load())
			}
		})
	}
}

// A request above its team's rate must be refused before it takes a slot, a place in the queue or an attempt at any host.
func TestRateRefusalCostsNothing(t *testing.T) {
	env := &fakeEnv{sna: snapshotWith(t, 5, false, false, 0, jsonObject{"teams": []jsonObject{{"name": "verona", "rate": 1, "burst": 5}}})}
	var ran atomic.Int64
	env.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
		ran.Add(1)
		return okAnswer()
	}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		ran.Add(1)
		return okAnswer()
	}
	prx := newProxy(t, env)
	awaitHealthCheck(t, prx)
	admitted := int64(0)
	for i := range 200 {
		ans, err := prx.ServeRoot(t.Context(), request("/stock/1", fmt.Sprint(i), apiKey))
		if err == nil {
			admitted++
			_ = ans.Body().Close()
			continue
		}
		checkRefusal(t, err, core.ReasonRateExceeded, core.OutcomeNotRun)
		if core.AsRefusal(err).RetryAfter() <= 0 {
			t.Fatalf("request %d was refused without a time to retry", i)
		}
		if _, inFlight, queued := prx.SlotUsage(); inFlight+queued > 0 {
			t.Fatalf("%d calls in flight and %d queued after request %d was refused", inFlight, queued, i)
		}
	}
	if admitted == 200 || ran.Load() != admitted {
		t.Errorf("%d of 200 requests were admitted and %d attempts made, want fewer than 200 and one for each", admitted, ran.Load())
	}
}

// Guards against callers that return while their team is still above its part, and against hosts that count a request
// again which another host refused.
func TestPartRefusalAtEntry(t *testing.T) {
	for _, sdl := range []proxy.Scheduling{proxy.SchedulingLatency, proxy.SchedulingWork} {
		t.Run(string(sdl), func(t *testing.T) {
			const said = 700 * time.Millisecond
			untilPart := time.Duration(0) // by latency the time is not used, as before
			if sdl == proxy.SchedulingWork {
				untilPart = said
			}
			env := &fakeEnv{sna: snapshot(t, 5, false, false)}
			var mut sync.Mutex
			var loads []float64
			env.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
				mut.Lock()
				defer mut.Unlock()
				loads = append(loads, call.TeamLoad())
				return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "above its part").WithRetryAfter(said)
			}
			prx := proxy.New(proxy.Settings{
				Host: localHost, Domain: "a", Service: "orders", Peers: env, Upstream: env, Observer: env, EventLog: env, Scheduling: sdl,
				Snapshot: env.snapshot, Rand: rand.New(rand.NewPCG(1, 2)), RetryShare: 10,
			})
			prx.SetSnapshot(env.snapshot())
			_, err := prx.ServeRoot(t.Context(), request("/deep/1", "r1", apiKey))
			checkRefusal(t, err, core.ReasonOverload, core.OutcomeNotRun)
			if got := core.AsRefusal(err).RetryAfter(); got <= untilPart || got > untilPart+time.Second/2 {
				t.Errorf("the caller is told to return after %v, want %v and a spread", got, untilPart)
			}
			known := []bool{}
			for _, load := range loads {
				known = append(known, load > 0)
			}
			if diff := cmp.Diff([]bool{sdl == proxy.SchedulingWork, false, false}, known); diff != "" {
				t.Errorf("attempts that carry the load of the team (-want +got):\n%s", diff)
			}
		})
	}
}
