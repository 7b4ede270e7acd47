package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/picker"
)

// twoDomains declares a service "stock" with four hosts in the domain of localHost and two in another one, none of which
// declares a cold rate.
func twoDomains(t *testing.T) *decl.Snapshot {
	t.Helper()
	dec, err := decl.Decode(encode(t, jsonObject{
		"version": 5, "classes": []jsonObject{{"name": "lookup", "priority": 2, "target": jsonObject{"answered": 0.99, "within": "1s"}}},
		"services": []jsonObject{{"name": "orders", "routes": []jsonObject{}}, {"name": "stock", "routes": []jsonObject{}}},
		"teams":    []jsonObject{}, "keys": []jsonObject{},
		"domains": []jsonObject{{"name": "a", "region": "r", "state": "in"}, {"name": "b", "region": "r", "state": "in"}},
		"entries": []jsonObject{{
			"name": "lookup", "host": "shop.example", "prefix": "/stock/", "class": "lookup", "idempotent": true, "attempts": 2,
			"timeout": "800ms", "open": true, "services": []jsonObject{{"name": "stock", "weight": 1}},
		}},
	}))
	if err != nil {
		t.Fatal(err)
	}
	var hosts []jsonObject
	for i, domain := range []string{"a", "a", "a", "a", "b", "b"} {
		id := fmt.Sprintf("10.0.2.%d", i)
		hosts = append(hosts, jsonObject{"id": id, "domain": domain, "service": "stock", "peer": id + ":7000", "state": "live", "slots": 20, "instance": "i"})
	}
	hosts = append(hosts, jsonObject{"id": localHost, "domain": "a", "service": "orders", "peer": localHost + ":7000", "state": "live", "slots": 20, "instance": "i"})
	lst, err := decl.DecodeHosts(encode(t, jsonObject{"version": 5, "hosts": hosts}))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

// Guards against requests that are refused because all hosts of their failure domain are full while another domain has
// room; and against large requests, and those of teams above their parts, that go there.
func TestRefusedRequestsGoToOtherDomains(t *testing.T) {
	for _, tst := range []struct {
		name       string
		scheduling proxy.Scheduling
		length     int64
		retryAfter time.Duration
		answered   bool
	}{
		{"no room", proxy.SchedulingWork, 0, 0, true},
		{"large", proxy.SchedulingWork, picker.MaxOtherDomainBody + 1, 0, false},
		{"length not known", proxy.SchedulingWork, -1, 0, false},
		{"team above its part", proxy.SchedulingWork, 0, 100 * time.Millisecond, false},
		{"by latency", proxy.SchedulingLatency, 0, 0, false},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			env := &fakeEnv{sna: twoDomains(t)}
			env.forward = func(_ context.Context, host string, _ *core.Call) (*core.Answer, error) {
				if env.sna.Hosts().Host(host).Domain() != "a" {
					return answer(http.StatusOK, "", core.Feedback{}.WithWork(50*time.Millisecond, 0, 20)), nil
				}
				ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "no room").WithRetryAfter(tst.retryAfter)
				return nil, core.WithFeedback(ref, core.NewFeedback(0, 1, 1, false).WithLatency(50*time.Millisecond, time.Millisecond).WithWork(50*time.Millisecond, 0, 20))
			}
			prx := proxy.New(proxy.Settings{
				Host: localHost, Domain: "a", Service: "orders", Peers: env, Upstream: env, Observer: env, EventLog: env, Scheduling: tst.scheduling,
				Snapshot: env.snapshot, Rand: rand.New(rand.NewPCG(1, 2)), RetryShare: 10,
			})
			prx.SetSnapshot(env.snapshot())
			answered := 0
			const requests = 20
			for i := range requests {
				ans, err := prx.ServeRoot(t.Context(), core.NewRequest(core.RequestSpec{
					Method: http.MethodGet, Path: "/stock/1", Authority: "shop.example", AttemptID: fmt.Sprint("r", i), Timeout: time.Second,
					Length: tst.length, Body: strings.NewReader(strings.Repeat("x", int(max(tst.length, 0)))),
				}))
				if err == nil {
					answered++
					_ = ans.Body().Close()
				}
			}
			least, most := 0, 0
			if tst.answered {
				least, most = requests*9/10, requests
			}
			if answered < least || answered > most || prx.LeftDomain() != answered {
				t.Errorf("%d of %d requests were answered by the other domain and %d counted, want %d to %d", answered, requests, prx.LeftDomain(), least, most)
			}
		})
	}
}
