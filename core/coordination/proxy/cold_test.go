package proxy_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/decl"
)

const (
	coldRate     = 10 // requests per second that the service declares for cold upstreams
	coldRateMax  = coldRate * 3 / 2
	coldDuration = 3 * time.Second
)

// coldUpstream is an upstream that is cold at times. It counts the calls that arrive while it is.
type coldUpstream struct {
	mut       sync.Mutex
	coldUntil time.Time
	arrivals  []time.Time // while it was cold
	served    int         // while it was warm
}

func (cup *coldUpstream) becomeCold(lasts time.Duration) {
	cup.mut.Lock()
	defer cup.mut.Unlock()
	cup.coldUntil = time.Now().Add(lasts)
}

func (cup *coldUpstream) serve(context.Context, *core.Call) (*core.Answer, error) {
	cup.mut.Lock()
	defer cup.mut.Unlock()
	if now := time.Now(); now.Before(cup.coldUntil) {
		cup.arrivals = append(cup.arrivals, now)
	} else {
		cup.served++
	}
	return okAnswer()
}

func (cup *coldUpstream) health() (core.Health, error) {
	cup.mut.Lock()
	defer cup.mut.Unlock()
	return core.NewHealth("i-"+localHost, true, max(time.Until(cup.coldUntil), 0)), nil
}

// checkArrivals checks that the upstream got calls while it was cold, but in no second more than it tolerates.
func (cup *coldUpstream) checkArrivals(t *testing.T) {
	t.Helper()
	cup.mut.Lock()
	defer cup.mut.Unlock()
	if len(cup.arrivals) == 0 {
		t.Error("no call reached the cold upstream")
	}
	most, start := 0, time.Time{}
	for i, first := range cup.arrivals {
		count := 0
		for _, at := range cup.arrivals[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		if count > most {
			most, start = count, first
		}
	}
	if most > coldRateMax {
		t.Errorf("%d calls reached the cold upstream in the second from %v on, want at most %d", most, start, coldRateMax)
	}
}

// coldSnapshot declares coldRate and coldDuration for the service of localHost. If listedFor is more than 0, the host list
// shows the upstream as cold.
func coldSnapshot(t *testing.T, version int, domainOut bool, listedFor time.Duration) *decl.Snapshot {
	t.Helper()
	return snapshotWith(t, version, false, domainOut, listedFor, jsonObject{"services": []jsonObject{
		{"name": "orders", "routes": []jsonObject{}, "upstream": jsonObject{
			"connections": 100, "health": "/health", "cold": jsonObject{"rate": coldRate, "lasts": coldDuration.String()},
		}},
		{"name": "stock", "routes": []jsonObject{}},
		{"name": "deep", "routes": []jsonObject{}},
	}})
}

// runProxy runs a new proxy until stop is called.
func runProxy(t *testing.T, env *fakeEnv) (prx *proxy.Proxy, stop func()) {
	t.Helper()
	prx = newProxy(t, env)
	return prx, runUntilStopped(t, prx)
}

func runUntilStopped(t *testing.T, prx *proxy.Proxy) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		if err := prx.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// sendCalls serves calls of peers at a rate per second for a time and returns how many were answered.
func sendCalls(t *testing.T, prx *proxy.Proxy, perSecond int, lasts time.Duration) int {
	t.Helper()
	var mut sync.Mutex
	var grp sync.WaitGroup
	answered := 0
	interval := time.Second / time.Duration(perSecond)
	for num := range int(lasts / interval) {
		grp.Go(func() {
			time.Sleep(time.Duration(num) * interval)
			root := core.NewRoot(core.RootSpec{Team: "verona", Class: "confirm", Deadline: time.Now().Add(5 * time.Second)})
			ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
				Root: root, Service: "orders", Path: "/confirm/1", AttemptID: fmt.Sprint(num), TargetLatency: time.Second,
			}))
			if err != nil {
				return
			}
			_, _ = io.ReadAll(ans.Body())
			_ = ans.Body().Close()
			mut.Lock()
			defer mut.Unlock()
			answered++
		})
	}
	grp.Wait()
	return answered
}

// Guards against a node that restarts beside a cold upstream and uses the whole cold rate again within the second in which
// the process before it has used it.
func TestRestartBesideColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		cup.becomeCold(5 * time.Second)
		env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: coldSnapshot(t, 5, false, 0)}
		for range 2 {
			prx, stop := runProxy(t, env)
			sendCalls(t, prx, 100, 1500*time.Millisecond)
			stop()
		}
		cup.checkArrivals(t)
	})
}

// Guards against taking an upstream for warm because its health checks are not answered.
func TestColdUpstreamWithoutHealthAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		cup.becomeCold(coldDuration)
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		env.health = func() (core.Health, error) {
			time.Sleep(400 * time.Millisecond)
			return core.Health{}, context.DeadlineExceeded
		}
		prx, stop := runProxy(t, env)
		defer stop()
		sendCalls(t, prx, 100, 4*time.Second)
		cup.checkArrivals(t)
		if answered := sendCalls(t, prx, 100, time.Second); answered < 90 {
			t.Errorf("%d of 100 calls were answered after the longest cold time", answered)
		}
	})
}

// Guards against taking an upstream for warm because it had no room for the health check, and against refusing all calls
// to an upstream that answers.
func TestColdUpstreamRejectsHealthChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		env.health = func() (core.Health, error) { return core.NewRejectedHealth(""), nil }
		// The process starts before the upstream, so it knows of all calls.
		prx, stop := runProxy(t, env)
		defer stop()
		time.Sleep(time.Second)
		cup.becomeCold(900 * time.Millisecond)
		sendCalls(t, prx, 100, time.Second)
		cup.checkArrivals(t)
	})
}

// Guards against an upstream that starts again under the same identifier while calls run, whose restart shows only in a
// lost connection, and that gets all calls until the host list shows it as cold.
func TestColdUpstreamAfterLostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: coldSnapshot(t, 5, false, 0)}
		prx, stop := runProxy(t, env)
		defer stop()
		time.Sleep(time.Second)
		var grp sync.WaitGroup
		grp.Go(func() { sendCalls(t, prx, 200, 3*time.Second) })
		time.Sleep(time.Second)
		cup.becomeCold(coldDuration)
		prx.ConnectionLost()
		grp.Wait()
		cup.checkArrivals(t)
	})
}

// Guards against an upstream that becomes cold again while it is cold, and gets all calls once the first cold time is over.
func TestUpstreamBecomesColdAgainWhileCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		cup.becomeCold(coldDuration)
		env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: coldSnapshot(t, 5, false, 0)}
		prx, stop := runProxy(t, env)
		defer stop()
		var grp sync.WaitGroup
		grp.Go(func() { sendCalls(t, prx, 100, 5*time.Second) })
		time.Sleep(2 * time.Second)
		cup.becomeCold(coldDuration)
		env.setSnapshot(coldSnapshot(t, 6, false, coldDuration))
		prx.SetSnapshot(env.snapshot())
		grp.Wait()
		cup.checkArrivals(t)
	})
}

// cutOffPeers are the peers of a node whose failure domain is cut off from all others.
type cutOffPeers struct{ *fakeEnv }

func (cop cutOffPeers) State(host string) core.PeerState {
	hos := cop.snapshot().Hosts().Host(host)
	return core.NewPeerState(hos != nil && hos.Domain() == "a", false, 0, time.Millisecond)
}

// Guards against a node that does not learn of the evacuation of its failure domain, because it is cut off from the others,
// and sends all calls to its upstream when that has become cold meanwhile.
func TestColdUpstreamOfCutOffNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 2000
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		env.health = func() (core.Health, error) {
			time.Sleep(2 * time.Millisecond)
			hea, err := cup.health()
			time.Sleep(2 * time.Millisecond)
			return hea, err
		}
		prx := newProxyWithPeers(t, env, cutOffPeers{env})
		defer runUntilStopped(t, prx)()
		time.Sleep(time.Second)
		if answered := sendCalls(t, prx, perSecond, 2*time.Second); answered < 2*perSecond {
			t.Errorf("%d of %d calls were answered while the upstream was warm", answered, 2*perSecond)
		}
		cup.becomeCold(coldDuration)
		sendCalls(t, prx, perSecond, coldDuration)
		cup.checkArrivals(t)
		time.Sleep(time.Second)
		if answered := sendCalls(t, prx, perSecond, 2*time.Second); answered < 2*perSecond {
			t.Errorf("%d of %d calls were answered after the cold time", answered, 2*perSecond)
		}
	})
}

// delayingUpstream is a cold upstream whose client holds calls up between their slot and their arrival, as a dial or a busy
// processor does, within a second of the first.
type delayingUpstream struct {
	coldUpstream
	firstCall time.Time
}

func (dup *delayingUpstream) serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	dup.mut.Lock()
	if dup.firstCall.IsZero() {
		dup.firstCall = time.Now()
	}
	heldUp := time.Since(dup.firstCall) < time.Second
	dup.mut.Unlock()
	if heldUp {
		time.Sleep(600 * time.Millisecond)
	}
	ans, err := dup.coldUpstream.serve(ctx, call)
	call.ReportSent()
	return ans, err
}

// reportingEnv is a fakeEnv whose upstream reports the calls that it has sent.
type reportingEnv struct{ *fakeEnv }

func (reportingEnv) ReportsSent() bool { return true }

// Guards against counting calls to a cold upstream in the second of their slot although they arrive in the next one.
func TestDelayedCallsToColdUpstream(t *testing.T) {
	tests := []struct {
		name     string
		upstream func(*fakeEnv) core.CheckedUpstream
	}{
		{"reports what it has sent", func(env *fakeEnv) core.CheckedUpstream { return reportingEnv{env} }},
		{"reports nothing", func(env *fakeEnv) core.CheckedUpstream { return env }},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dup := &delayingUpstream{}
				dup.becomeCold(5 * time.Second)
				env := &fakeEnv{upstream: dup.serve, health: dup.health, sna: coldSnapshot(t, 5, false, 0)}
				prx := newProxyWith(t, env, env, tst.upstream(env))
				stop := runUntilStopped(t, prx)
				answered := sendCalls(t, prx, 200, 4*time.Second)
				stop()
				dup.checkArrivals(t)
				if answered < 2*coldRate { // no call is sent in the first second, and those of the second one are held up
					t.Errorf("%d calls were answered, want at least two seconds of the declared rate, which are %d", answered, 2*coldRate)
				}
			})
		})
	}
}
