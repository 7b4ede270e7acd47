package proxy_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
)

// switchedPeers are the peers of a node whose failure domain is cut off while cut is set.
type switchedPeers struct {
	*fakeEnv
	cut *atomic.Bool
}

func (swp switchedPeers) State(host string) core.PeerState {
	hos := swp.snapshot().Hosts().Host(host)
	return core.NewPeerState(!swp.cut.Load() || hos != nil && hos.Domain() == "a", false, 0, time.Millisecond)
}

// Guards against a node that takes its upstream for warm as soon as it is back in contact, although an evacuation may have
// begun and ended meanwhile.
func TestContactReturnsBesideColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		var cut atomic.Bool
		env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: coldSnapshot(t, 5, false, 0)}
		prx := newProxyWithPeers(t, env, switchedPeers{env, &cut})
		defer runUntilStopped(t, prx)()
		time.Sleep(time.Second)
		cut.Store(true)
		time.Sleep(2 * time.Second)
		cup.becomeCold(coldDuration)
		time.Sleep(time.Second)
		cut.Store(false)
		time.Sleep(500 * time.Millisecond)
		sendCalls(t, prx, 100, time.Second)
		cup.checkArrivals(t)
	})
}

// Guards against the same while calls run.
func TestContactReturnsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		var cut atomic.Bool
		env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: coldSnapshot(t, 5, false, 0)}
		prx := newProxyWithPeers(t, env, switchedPeers{env, &cut})
		defer runUntilStopped(t, prx)()
		time.Sleep(time.Second)
		cut.Store(true)
		var grp sync.WaitGroup
		grp.Go(func() { sendCalls(t, prx, 40, 5*time.Second) })
		time.Sleep(2 * time.Second)
		cup.becomeCold(coldDuration)
		cut.Store(false)
		grp.Wait()
		cup.checkArrivals(t)
	})
}

// Guards against an event that does not count because the health check for an earlier one is still unanswered.
func TestSecondEventWhileCheckPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		env.health = func() (core.Health, error) {
			time.Sleep(400 * time.Millisecond)
			return core.Health{}, context.DeadlineExceeded
		}
		prx, stop := runProxy(t, env)
		defer stop()
		time.Sleep(time.Second)
		env.setSnapshot(coldSnapshot(t, 6, true, 0))
		prx.SetSnapshot(env.snapshot())
		time.Sleep(1500 * time.Millisecond)
		cup.becomeCold(coldDuration)
		env.setSnapshot(coldSnapshot(t, 7, false, 0))
		prx.SetSnapshot(env.snapshot())
		sendCalls(t, prx, 100, coldDuration)
		cup.checkArrivals(t)
	})
}

// Guards against a health check that began before the host list showed a second cold time and shortens that.
func TestEarlierCheckShortensListedColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		cup.becomeCold(2 * time.Second)
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		var dead atomic.Bool
		env.health = func() (core.Health, error) {
			if dead.Load() {
				time.Sleep(400 * time.Millisecond)
				return core.Health{}, context.DeadlineExceeded
			}
			hea, err := cup.health()
			time.Sleep(200 * time.Millisecond)
			return hea, err
		}
		prx, stop := runProxy(t, env)
		defer stop()
		time.Sleep(1500 * time.Millisecond)
		env.setSnapshot(coldSnapshot(t, 6, false, 500*time.Millisecond))
		prx.SetSnapshot(env.snapshot())
		time.Sleep(50 * time.Millisecond)
		dead.Store(true)
		cup.becomeCold(coldDuration)
		env.setSnapshot(coldSnapshot(t, 7, false, coldDuration))
		prx.SetSnapshot(env.snapshot())
		sendCalls(t, prx, 100, coldDuration)
		cup.checkArrivals(t)
	})
}

// snapshotOfHost returns a configuration in which localHost is listed with an instance, or not if that is empty. Without a
// rate, the service declares no cold upstreams.
func snapshotOfHost(t *testing.T, version, rate int, instance string) *decl.Snapshot {
	t.Helper()
	upstream := jsonObject{"connections": 100, "health": "/health"}
	if rate > 0 {
		upstream["cold"] = jsonObject{"rate": rate, "lasts": coldDuration.String()}
	}
	base := snapshotWith(t, version, false, false, 0, jsonObject{"services": []jsonObject{
		{"name": "orders", "routes": []jsonObject{}, "upstream": upstream}, {"name": "stock", "routes": []jsonObject{}}, {"name": "deep", "routes": []jsonObject{}},
	}})
	hosts := []jsonObject{{"id": "10.0.0.2", "domain": "b", "service": "orders", "peer": "10.0.0.2:7000", "state": "live", "slots": 20, "instance": "i-2"}}
	if instance != "" {
		hosts = append(hosts, jsonObject{"id": localHost, "domain": "a", "service": "orders", "peer": localHost + ":7000", "state": "live", "slots": 20, "instance": instance})
	}
	lst, err := decl.DecodeHosts(encode(t, jsonObject{"version": version, "hosts": hosts}))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(base.Declarations, lst)
}

// Guards against taking the upstream of a host that is listed again, or with another instance, for the one of before.
func TestHostListedAgain(t *testing.T) {
	for _, instance := range []string{"i-" + localHost, "i-new"} {
		t.Run(instance, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cup := &coldUpstream{}
				env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: snapshotOfHost(t, 5, coldRate, "i-"+localHost)}
				prx, stop := runProxy(t, env)
				defer stop()
				time.Sleep(time.Second)
				env.setSnapshot(snapshotOfHost(t, 6, coldRate, ""))
				prx.SetSnapshot(env.snapshot())
				time.Sleep(2 * time.Second)
				cup.becomeCold(coldDuration)
				env.setSnapshot(snapshotOfHost(t, 7, coldRate, instance))
				prx.SetSnapshot(env.snapshot())
				sendCalls(t, prx, 100, 2*time.Second)
				cup.checkArrivals(t)
			})
		})
	}
}

// Guards against a cold rate that is declared after the health check which found the upstream cold.
func TestColdRateDeclaredAfterHealthCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		cup.becomeCold(coldDuration)
		env := &fakeEnv{upstream: cup.serve, health: cup.health, sna: snapshotOfHost(t, 5, 0, "i-"+localHost)}
		prx, stop := runProxy(t, env)
		defer stop()
		time.Sleep(500 * time.Millisecond)
		env.setSnapshot(snapshotOfHost(t, 6, coldRate, "i-"+localHost))
		prx.SetSnapshot(env.snapshot())
		sendCalls(t, prx, 100, 2*time.Second)
		cup.checkArrivals(t)
	})
}

// Guards against an upstream that is down for longer than the cold duration, starts cold and has no room for health checks.
func TestColdUpstreamAfterLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		var state atomic.Int32
		env.health = func() (core.Health, error) {
			switch state.Load() {
			case 0:
				return cup.health()
			case 1:
				return core.Health{}, context.DeadlineExceeded // connection refused
			}
			return core.NewRejectedHealth(""), nil
		}
		prx, stop := runProxy(t, env)
		defer stop()
		time.Sleep(time.Second)
		state.Store(1)
		prx.UpstreamCrashed()
		time.Sleep(4 * time.Second) // the upstream is down for some seconds
		cup.becomeCold(coldDuration)
		state.Store(2)
		sendCalls(t, prx, 100, 2*time.Second)
		cup.checkArrivals(t)
	})
}

// Guards against sending all queued calls a moment before the upstream is warm: it tells the cold time in whole milliseconds.
func TestEndOfColdTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cup := &coldUpstream{}
		env := &fakeEnv{upstream: cup.serve, sna: coldSnapshot(t, 5, false, 0)}
		env.health = func() (core.Health, error) {
			hea, err := cup.health()
			return core.NewHealth(hea.Instance(), true, hea.ColdRemaining().Truncate(time.Millisecond)), err
		}
		cup.becomeCold(2500*time.Millisecond + 900*time.Microsecond)
		prx, stop := runProxy(t, env)
		defer stop()
		sendCalls(t, prx, 2000, coldDuration+time.Second)
		cup.checkArrivals(t)
	})
}
