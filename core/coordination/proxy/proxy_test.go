package proxy_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
)

type jsonObject map[string]any

const (
	localHost = "10.0.0.1"
	apiKey    = "verona-key"
)

// snapshot declares a service "orders" on localHost and two others, "stock" on two hosts and "deep" on seven. If
// revoked is true, no key is declared; if domainOut is true, the failure domain of localHost is out of service.
func snapshot(t *testing.T, version int, revoked, domainOut bool) *decl.Snapshot {
	t.Helper()
	return snapshotWithCold(t, version, revoked, domainOut, 0)
}

// snapshotWithCold is snapshot with a host list that shows the upstream of localHost as cold.
func snapshotWithCold(t *testing.T, version int, revoked, domainOut bool, cold time.Duration) *decl.Snapshot {
	t.Helper()
	return snapshotWith(t, version, revoked, domainOut, cold, jsonObject{})
}

// snapshotWith is snapshotWithCold with further fields of the declarations.
func snapshotWith(t *testing.T, version int, revoked, domainOut bool, cold time.Duration, fields jsonObject) *decl.Snapshot {
	t.Helper()
	sum := sha256.Sum256([]byte(apiKey))
	keys := []jsonObject{{"id": "verona-1", "team": "verona", "sha256": hex.EncodeToString(sum[:])}}
	if revoked {
		keys = []jsonObject{}
	}
	state := "in"
	if domainOut {
		state = "out"
	}
	class := func(name string, priority int) jsonObject {
		return jsonObject{"name": name, "priority": priority, "target": jsonObject{"answered": 0.99, "within": "1s"}}
	}
	route := func(name, prefix, service string, idempotent bool) jsonObject {
		return jsonObject{
			"name": name, "host": "shop.example", "prefix": prefix, "class": name, "idempotent": idempotent, "attempts": 2,
			"timeout": "800ms", "services": []jsonObject{{"name": service, "weight": 1}},
		}
	}
	document := jsonObject{
		"version": version, "classes": []jsonObject{class("confirm", 0), class("read", 2), class("lookup", 2), class("deep", 0)},
		"services": []jsonObject{
			{"name": "orders", "routes": []jsonObject{}, "upstream": jsonObject{"connections": 100, "health": "/health", "cold": jsonObject{"rate": 2, "lasts": "3s"}}},
			{"name": "stock", "routes": []jsonObject{}},
			{"name": "deep", "routes": []jsonObject{}},
		},
		"teams": []jsonObject{{"name": "verona", "rate": 1000, "burst": 1000}}, "keys": keys,
		"domains": []jsonObject{{"name": "a", "region": "r", "state": state}, {"name": "b", "region": "r", "state": "in"}},
		"entries": []jsonObject{
			route("confirm", "/confirm/", "orders", false), route("read", "/read/", "orders", true),
			route("lookup", "/stock/", "stock", true), route("deep", "/deep/", "deep", true),
		},
	}
	maps.Copy(document, fields)
	dec, err := decl.Decode(encode(t, document))
	if err != nil {
		t.Fatal(err)
	}
	host := func(id, domain, service string) jsonObject {
		return jsonObject{"id": id, "domain": domain, "service": service, "peer": id + ":7000", "state": "live", "slots": 20, "instance": "i-" + id}
	}
	hosts := []jsonObject{
		host(localHost, "a", "orders"), host("10.0.0.2", "b", "orders"), host("10.0.0.3", "b", "orders"),
		host("10.0.0.4", "a", "stock"), host("10.0.0.5", "b", "stock"),
	}
	if cold > 0 {
		hosts[0]["cold"], hosts[0]["cold_at"] = cold.String(), version
	}
	for i := range 7 {
		hosts = append(hosts, host(fmt.Sprintf("10.0.1.%d", i), "a", "deep"))
	}
	lst, err := decl.DecodeHosts(encode(t, jsonObject{"version": version, "hosts": hosts}))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

func encode(t *testing.T, obj jsonObject) []byte {
	t.Helper()
	data, err := json.Marshal(obj)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// fakeEnv stands in for the peers, the node's own upstream, the observer and the event log of the proxy under test.
type fakeEnv struct {
	mut      sync.Mutex
	sna      *decl.Snapshot
	forward  func(ctx context.Context, host string, call *core.Call) (*core.Answer, error)
	upstream func(ctx context.Context, call *core.Call) (*core.Answer, error)
	health   func() (core.Health, error) // nil means an upstream that is warm
	sent     []string                    // hosts of forwarded calls
}

func (env *fakeEnv) Forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	env.mut.Lock()
	env.sent = append(env.sent, host)
	env.mut.Unlock()
	return env.forward(ctx, host, call)
}

func (env *fakeEnv) snapshot() *decl.Snapshot {
	env.mut.Lock()
	defer env.mut.Unlock()
	return env.sna
}

func (env *fakeEnv) setSnapshot(sna *decl.Snapshot) {
	env.mut.Lock()
	defer env.mut.Unlock()
	env.sna = sna
}

func (env *fakeEnv) hosts() []string {
	env.mut.Lock()
	defer env.mut.Unlock()
	return append([]string(nil), env.sent...)
}

func (*fakeEnv) Exchange(context.Context, string, proto.Message) (proto.Message, error) {
	return nil, errors.New("no peer")
}
func (*fakeEnv) SetPeers(map[string]string, []string)       {}
func (*fakeEnv) State(string) core.PeerState                { return core.PeerState{} }
func (*fakeEnv) PinInstance(string)                         {}
func (*fakeEnv) Served(string, string, bool, time.Duration) {}
func (*fakeEnv) Refused(core.Reason, string, string)        {}
func (*fakeEnv) Retried(string)                             {}
func (*fakeEnv) Note(string, string, map[string]any)        {}
func (*fakeEnv) Enabled(string) bool                        { return true }

func (env *fakeEnv) Health(context.Context, string) (core.Health, error) {
	if env.health == nil {
		return core.Health{}, nil
	}
	return env.health()
}

func (env *fakeEnv) Do(ctx context.Context, call *core.Call, _ string) (*core.Answer, error) {
	return env.upstream(ctx, call)
}

func newProxy(t *testing.T, env *fakeEnv) *proxy.Proxy {
	t.Helper()
	return newProxyWithPeers(t, env, env)
}

func newProxyWithPeers(t *testing.T, env *fakeEnv, peers core.Peers) *proxy.Proxy {
	t.Helper()
	return newProxyWith(t, env, peers, env)
}

func newProxyWith(t *testing.T, env *fakeEnv, peers core.Peers, upstream core.CheckedUpstream) *proxy.Proxy {
	t.Helper()
	if env.sna == nil {
		env.setSnapshot(snapshot(t, 5, false, false))
	}
	prx := proxy.New(proxy.Settings{
		Host: localHost, Domain: "a", Service: "orders", Peers: peers, Upstream: upstream, Observer: env, EventLog: env,
		Snapshot: env.snapshot, Rand: rand.New(rand.NewPCG(1, 2)), RetryShare: 10,
	})
	prx.SetSnapshot(env.snapshot())
	return prx
}

func answer(status int, text string, fee core.Feedback) *core.Answer {
	return core.NewAnswer(status, http.Header{}, io.NopCloser(strings.NewReader(text)), func() core.Feedback { return fee })
}

func okAnswer() (*core.Answer, error) { return answer(http.StatusOK, "whole", core.Feedback{}), nil }

func request(path, id, key string) *core.Request {
	return core.NewRequest(core.RequestSpec{
		Method: http.MethodGet, Path: path, Authority: "shop.example", AttemptID: id, APIKey: key, Timeout: 5 * time.Second,
	})
}

// awaitHealthCheck runs a new proxy until the end of the test and waits until it has checked the health of its upstream.
func awaitHealthCheck(t *testing.T, prx *proxy.Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		if err := prx.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	time.Sleep(1100 * time.Millisecond)
}

func checkRefusal(t *testing.T, err error, reason core.Reason, outcome core.Outcome) {
	t.Helper()
	if err == nil {
		t.Fatalf("the request was answered, want %s", reason)
	}
	ref := core.AsRefusal(err)
	if ref.Reason() != reason || ref.Outcome() != outcome {
		t.Errorf("got %s with outcome %v, want %s with %v: %v", ref.Reason(), ref.Outcome(), reason, outcome, err)
	}
}

// Guards against a retry that the outcome of the first attempt forbids, or a missing one that it allows. An idempotent
// request is retried whether or not it may have run, but not for a reason that every host would give.
func TestRetryAfterFailure(t *testing.T) {
	unknown := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	full := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	tests := []struct {
		name    string
		path    string
		first   error
		sent    int
		reason  core.Reason // of the refusal, or "" for an answer
		outcome core.Outcome
	}{
		{"idempotent that may have run", "/stock/1", unknown, 2, "", 0},
		{"idempotent that has not run", "/stock/1", full, 2, "", 0},
		{"peer connection failed", "/stock/1", core.NewRefusal(core.ReasonPeerFailed, core.OutcomeNotRun, "cut"), 2, "", 0},
		{
			"key revoked at the node beside the upstream", "/stock/1", core.NewRefusal(core.ReasonKeyUnknown, core.OutcomeNotRun, "revoked"), 1,
			core.ReasonKeyUnknown, core.OutcomeNotRun,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			first := true
			env := &fakeEnv{}
			env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
				if first {
					first = false
					return nil, tst.first
				}
				return okAnswer()
			}
			_, err := newProxy(t, env).ServeRoot(t.Context(), request(tst.path, "r1", apiKey))
			if got := len(env.hosts()); got != tst.sent {
				t.Errorf("%d attempts were sent to peers, want %d", got, tst.sent)
			}
			if tst.reason != "" {
				checkRefusal(t, err, tst.reason, tst.outcome)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against running a non-idempotent request twice. When its outcome is unknown, it must not go to a second host,
// and its outcome must not be reported as "not run".
func TestNonIdempotentIsNotRetried(t *testing.T) {
	env := &fakeEnv{sna: snapshot(t, 5, false, false)}
	env.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	}
	env.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		if call.Idempotent() {
			t.Error("the call of a non-idempotent route is marked as idempotent")
		}
		return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	}
	prx := newProxy(t, env)
	prx.Leave(time.Now().Add(time.Minute)) // so that this host is not picked
	_, err := prx.ServeRoot(t.Context(), request("/confirm/1", "r1", apiKey))
	checkRefusal(t, err, core.ReasonUpstreamFailed, core.OutcomeUnknown)
	if got := len(env.hosts()); got != 1 {
		t.Errorf("%d attempts were made, want 1", got)
	}
}

// Guards against a refusal that comes late. A request that all hosts refuse must be refused immediately, as not run, with a
// retry time that leaves enough of its target for the answer.
func TestRefusalIsImmediateAndNotRun(t *testing.T) {
	env := &fakeEnv{}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	}
	began := time.Now()
	_, err := newProxy(t, env).ServeRoot(t.Context(), request("/stock/1", "r1", apiKey))
	checkRefusal(t, err, core.ReasonOverload, core.OutcomeNotRun)
	ref := core.AsRefusal(err)
	if elapsed := time.Since(began); elapsed > 100*time.Millisecond {
		t.Errorf("the refusal took %v, want at most 100 ms", elapsed)
	}
	if ref.RetryAfter() <= 0 || ref.RetryAfter() > 400*time.Millisecond {
		t.Errorf("the caller may retry after %v, want more than 0 and at most half of the target of 800 ms", ref.RetryAfter())
	}
	if got := len(env.hosts()); got != 2 {
		t.Errorf("%d hosts were tried, want both", got)
	}
}

// Guards against waiting until the deadline for a lost answer. An idempotent request must be hedged with one more
// attempt once its answer takes longer than the usual ones.
func TestLostAnswerIsHedged(t *testing.T) {
	var lost atomic.Bool
	env := &fakeEnv{}
	env.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
		if lost.Swap(false) {
			<-ctx.Done()
			return nil, core.AsRefusal(ctx.Err())
		}
		return okAnswer()
	}
	prx := newProxy(t, env)
	for i := range 50 {
		if _, err := prx.ServeRoot(t.Context(), request("/stock/1", fmt.Sprint(i), apiKey)); err != nil {
			t.Fatal(err)
		}
	}
	lost.Store(true)
	began := time.Now()
	if _, err := prx.ServeRoot(t.Context(), request("/stock/1", "lost", apiKey)); err != nil {
		t.Error(err)
	}
	if elapsed := time.Since(began); elapsed > 400*time.Millisecond {
		t.Errorf("the answer to the hedged request took %v, want at most 400 ms", elapsed)
	}
}

// Guards against a request that outlives the timeout of its ingress route because the caller allows more time.
func TestTimeout(t *testing.T) {
	env := &fakeEnv{}
	env.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
		<-ctx.Done()
		return nil, core.NewRefusal(core.ReasonDeadline, core.OutcomeUnknown, "no answer")
	}
	began := time.Now()
	_, err := newProxy(t, env).ServeRoot(t.Context(), request("/stock/1", "r1", apiKey))
	checkRefusal(t, err, core.ReasonDeadline, core.OutcomeUnknown)
	if elapsed := time.Since(began); elapsed < 700*time.Millisecond || elapsed > time.Second {
		t.Errorf("the refusal took %v, want 700 ms to 1 s; the timeout is 800 ms", elapsed)
	}
}

// Guards against upstreams that are given more time than the caller has left, after the request waited on its connection for
// those sent ahead of it, and against work for a caller whose time has passed.
func TestWaitOnTheConnectionCounts(t *testing.T) {
	deadlines := make(chan time.Time, 1)
	env := &fakeEnv{}
	env.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		deadlines <- call.Deadline()
		return okAnswer()
	}
	prx := newProxy(t, env)
	waiting := func(id string, waited time.Duration) *core.Request {
		return core.NewRequest(core.RequestSpec{
			Method: http.MethodGet, Path: "/stock/1", Authority: "shop.example", AttemptID: id, APIKey: apiKey, Timeout: 700 * time.Millisecond, Waited: waited,
		})
	}
	began := time.Now()
	if _, err := prx.ServeRoot(t.Context(), waiting("r1", 500*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	ended := time.Now()
	if got := <-deadlines; got.Before(began.Add(200*time.Millisecond)) || got.After(ended.Add(200*time.Millisecond)) {
		t.Errorf("the call ends %v after the request began, want 200 ms", got.Sub(began))
	}
	_, err := prx.ServeRoot(t.Context(), waiting("r2", 800*time.Millisecond))
	checkRefusal(t, err, core.ReasonDeadline, core.OutcomeNotRun)
}

// Guards against requests that run side by side with others on their connection although their route is not idempotent or
// does not exist.
func TestLookUpRoute(t *testing.T) {
	prx := newProxy(t, &fakeEnv{})
	got := map[string]bool{}
	for _, path := range []string{"/stock/1", "/confirm/1", "/none/1"} {
		name, idempotent := prx.LookUpRoute(request(path, "r1", ""))
		got[path+" "+name] = idempotent
	}
	want := map[string]bool{"/stock/1 lookup": true, "/confirm/1 confirm": false, "/none/1 ": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("idempotent by path and route (-want +got):\n%s", diff)
	}
}

// Guards against a caller that is accepted without a valid key because of the identifier that it chose.
func TestCallerIdentification(t *testing.T) {
	tests := []struct {
		name, id, key string
		reason        core.Reason
	}{
		{"no key", "r1", "", core.ReasonKeyMissing},
		{"wrong key", "r1", "stolen", core.ReasonKeyUnknown},
		{"identifier extends that of a call that is not running", "r1.c1", "", core.ReasonOrphanedCall},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return okAnswer() }}
			_, err := newProxy(t, env).ServeRoot(t.Context(), request("/stock/1", tst.id, tst.key))
			checkRefusal(t, err, tst.reason, core.OutcomeNotRun)
		})
	}
}

// Guards against a nested call that is treated as a new root request, or refused. It must inherit the rank, team and
// deadline of the running call, also after the key of the root request has been revoked.
func TestNestedCall(t *testing.T) {
	env := &fakeEnv{sna: snapshot(t, 5, false, false)}
	var got *core.Call
	env.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		got = call
		return okAnswer()
	}
	var prx *proxy.Proxy
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		env.setSnapshot(snapshot(t, 6, true, false))
		ans, err := prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", ""))
		if err != nil {
			return nil, err
		}
		return ans, ans.Body().Close()
	}
	prx = newProxy(t, env)
	awaitHealthCheck(t, prx)
	root := core.NewRoot(core.RootSpec{Team: "verona", KeyID: "verona-1", Class: "confirm", Deadline: time.Now().Add(500 * time.Millisecond)})
	ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
		Root: root, Service: "orders", Method: http.MethodPost, Path: "/confirm/1", AttemptID: "r1", TargetLatency: time.Second, DeclarationsVersion: 5,
		Authenticated: true, EntryRank: 0,
	}))
	if err != nil {
		t.Fatal(err)
	}
	_ = ans.Body().Close()
	if got.Team() != "verona" || got.Class() != "confirm" || got.EntryRank() != 0 || got.Depth() != 1 || got.Authenticated() {
		t.Errorf("nested call has team %q, class %q, rank %d, depth %d, authenticated %v; want verona, confirm, 0, 1, false", got.Team(), got.Class(), got.EntryRank(), got.Depth(), got.Authenticated())
	}
	if got.Deadline().After(root.Deadline()) {
		t.Error("the deadline of the nested call is after that of its root request")
	}
}

// Guards against requests, nested calls above all, that arrive while the host is leaving and are cut without an answer when
// it stops: their upstreams must end them before. A nested call that arrives while the host drains and may last longer than
// the host must be refused before it is sent to any host, one that ends in time must be served.
func TestRequestsOfLeavingHostEndBeforeItStops(t *testing.T) {
	const routeTimeout = 800 * time.Millisecond
	tests := []struct {
		name    string
		stopsIn time.Duration
		drain   bool
		refused bool
	}{
		{"leaving", 300 * time.Millisecond, false, false},
		{"draining, longer than the host", 300 * time.Millisecond, true, true},
		{"draining, ends in time", 2 * time.Second, true, false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			deadlines := map[string]time.Time{} // by path
			env := &fakeEnv{}
			env.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
				deadlines[call.Path()] = call.Deadline()
				return okAnswer()
			}
			prx := newProxy(t, env)
			var sentAt, stopsAt time.Time
			env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
				sentAt = time.Now()
				stopsAt = sentAt.Add(tst.stopsIn)
				prx.Leave(stopsAt)
				if _, err := prx.ServeRoot(ctx, request("/stock/root", "r2", apiKey)); err != nil {
					t.Error(err)
				}
				if tst.drain {
					prx.Drain()
				}
				return prx.ServeRoot(ctx, request("/stock/nested", call.AttemptID()+".c1", ""))
			}
			awaitHealthCheck(t, prx)
			serving := core.NewRoot(core.RootSpec{Class: "read", Deadline: time.Now().Add(time.Minute)})
			ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{Root: serving, Service: "orders", AttemptID: "r1", TargetLatency: time.Second}))
			paths := []string{"/stock/root", "/stock/nested"}
			switch {
			case tst.refused:
				paths = paths[:1]
				if ref := core.AsRefusal(err); ref == nil || ref.Reason() != core.ReasonDraining || ref.Outcome() != core.OutcomeNotRun {
					t.Errorf("the nested call ended with %v, want a refusal as draining and not run", err)
				}
			case err != nil:
				t.Fatal(err)
			default:
				_ = ans.Body().Close()
			}
			if len(deadlines) != len(paths) {
				t.Errorf("%d calls were sent, want %d", len(deadlines), len(paths))
			}
			for _, path := range paths {
				deadline, ok := deadlines[path]
				if !ok || !deadline.Before(stopsAt) {
					t.Errorf("the deadline of %s is %v after the stop, want it before", path, deadline.Sub(stopsAt))
				}
				if shortened := deadline.Before(sentAt.Add(routeTimeout)); shortened && tst.stopsIn > routeTimeout {
					t.Errorf("the deadline of %s is %v after the request, want the route's timeout", path, deadline.Sub(sentAt))
				}
			}
		})
	}
}

// Guards against a request that fails because the host that runs it stops, although another host can run it: a nested call
// that was refused because of the stop does not keep an idempotent request from being retried elsewhere.
func TestRequestOfDrainingHostIsRetriedElsewhere(t *testing.T) {
	env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return okAnswer() }}
	prx := newProxy(t, env)
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		prx.Leave(time.Now().Add(300 * time.Millisecond))
		prx.Drain()
		if _, err := prx.ServeRoot(ctx, request("/stock/nested", call.AttemptID()+".c1", "")); err == nil {
			t.Error("a nested call that outlasts the host was served")
		}
		return core.NewAnswer(http.StatusInternalServerError, http.Header{}, http.NoBody, func() core.Feedback { return core.NewFeedback(0, 1, 0, false) }), nil
	}
	awaitHealthCheck(t, prx)
	serving := core.NewRoot(core.RootSpec{Class: "read", Deadline: time.Now().Add(time.Minute)})
	ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{Root: serving, Service: "orders", AttemptID: "r1", TargetLatency: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ans.Body().Close() }()
	if ans.Feedback().NestedFailed() {
		t.Error("the answer says that another host would fail as well")
	}
}

// Guards against giving up a nested call that still runs because the call that made it has ended. An upstream that makes
// several calls at the same time may answer as soon as one of them fails, and the others are running elsewhere; only the
// upstream that made a call ends it early, by closing its connection.
func TestNestedCallOutlivesCallThatMadeIt(t *testing.T) {
	tests := []struct {
		name string
		// end ends the call that made the nested one.
		end  func(cancel context.CancelFunc, answered chan struct{})
		want int // status of the nested call
	}{
		{"the upstream has answered", func(_ context.CancelFunc, answered chan struct{}) { close(answered) }, http.StatusOK},
		{"the caller has cancelled", func(cancel context.CancelFunc, _ chan struct{}) { cancel() }, http.StatusOK},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sent, finish, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
			env := &fakeEnv{}
			env.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
				close(sent)
				select {
				case <-finish:
					return okAnswer()
				case <-ctx.Done():
					return nil, core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the caller cancelled the call")
				}
			}
			var prx *proxy.Proxy
			nested := make(chan int, 1)
			env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
				go func() {
					ans, err := prx.ServeRoot(context.WithoutCancel(ctx), request("/stock/1", call.AttemptID()+".c1", ""))
					if err != nil {
						nested <- core.AsRefusal(err).Status()
						return
					}
					nested <- ans.Status()
				}()
				select {
				case <-answered:
					return answer(http.StatusInternalServerError, "another call failed", core.Feedback{}), nil
				case <-ctx.Done():
					return nil, core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the caller cancelled the call")
				}
			}
			prx = newProxy(t, env)
			awaitHealthCheck(t, prx)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				defer cancel() // as the mesh does once a call has been served
				root := core.NewRoot(core.RootSpec{Class: "read", Deadline: time.Now().Add(time.Minute)})
				if ans, err := prx.Serve(ctx, core.NewCall(core.CallSpec{Root: root, Service: "orders", AttemptID: "r1", TargetLatency: time.Second})); err == nil {
					_, _ = io.Copy(io.Discard, ans.Body())
					_ = ans.Body().Close()
				}
			}()
			<-sent
			tst.end(cancel, answered)
			<-ended
			time.Sleep(20 * time.Millisecond) // in which the nested call would be given up
			close(finish)
			if diff := cmp.Diff(tst.want, <-nested); diff != "" {
				t.Errorf("status of the nested call (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against running a call that the entry node admitted with an outdated configuration. The node beside the
// upstream must refuse the call when the key of the call has been revoked, the node's failure domain is out of service,
// or the call is for another service.
func TestServeRefusals(t *testing.T) {
	call := func(service string, version uint64) *core.Call {
		return core.NewCall(core.CallSpec{
			Root:    core.NewRoot(core.RootSpec{Team: "verona", KeyID: "verona-1", Class: "read", Deadline: time.Now().Add(time.Minute)}),
			Service: service, AttemptID: "r1", Authenticated: true, DeclarationsVersion: version, TargetLatency: time.Second,
		})
	}
	tests := []struct {
		name    string
		sna     *decl.Snapshot
		service string
		version uint64
		reason  core.Reason
	}{
		{"accepted", snapshot(t, 5, false, false), "orders", 5, ""},
		{"key revoked since", snapshot(t, 6, true, false), "orders", 5, core.ReasonKeyUnknown},
		{"key newer than this node's declarations", snapshot(t, 4, true, false), "orders", 5, ""},
		{"key revoked since, version of a restored platform", snapshotWith(t, 4, true, false, 0, jsonObject{"operator_version": 6}), "orders", 5, core.ReasonKeyUnknown},
		{"key newer than the content of this node's declarations", snapshotWith(t, 90, true, false, 0, jsonObject{"operator_version": 4}), "orders", 5, ""},
		{"failure domain out of service", snapshot(t, 6, false, true), "orders", 5, core.ReasonDomainOutOfService},
		{"call for another service", snapshot(t, 5, false, false), "stock", 5, core.ReasonNoUpstream},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			ran := false
			env := &fakeEnv{sna: tst.sna}
			env.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
				ran = true
				return okAnswer()
			}
			prx := newProxy(t, env)
			awaitHealthCheck(t, prx)
			ans, err := prx.Serve(t.Context(), call(tst.service, tst.version))
			if tst.reason == "" {
				if err != nil {
					t.Fatal(err)
				}
				_ = ans.Body().Close()
				return
			}
			checkRefusal(t, err, tst.reason, core.OutcomeNotRun)
			if ran {
				t.Error("the refused call was sent to the upstream")
			}
		})
	}
}

// Guards against slots and queued calls that leak when a caller leaves. A call that is cancelled while it is queued
// must be removed from the queue and be refused as not run.
func TestCancelledWhileQueued(t *testing.T) {
	release := make(chan struct{})
	env := &fakeEnv{}
	env.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
		<-release
		return okAnswer()
	}
	prx := newProxy(t, env)
	awaitHealthCheck(t, prx)
	root := core.NewRoot(core.RootSpec{Class: "read", Deadline: time.Now().Add(time.Minute)})
	call := func(id string) *core.Call {
		return core.NewCall(core.CallSpec{Root: root, Service: "orders", AttemptID: id, Depth: 1, TargetLatency: time.Second})
	}
	slots, _, _ := prx.SlotUsage()
	var grp sync.WaitGroup
	for i := range slots {
		grp.Go(func() {
			if ans, err := prx.Serve(t.Context(), call(fmt.Sprint(i))); err == nil {
				_ = ans.Body().Close()
			}
		})
	}
	for _, inFlight, _ := prx.SlotUsage(); inFlight < slots; _, inFlight, _ = prx.SlotUsage() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := prx.Serve(ctx, call("cancelled"))
	checkRefusal(t, err, core.ReasonCancelled, core.OutcomeNotRun)
	if _, _, queued := prx.SlotUsage(); queued != 0 {
		t.Errorf("%d calls are still queued, want none", queued)
	}
	close(release)
	grp.Wait()
	if _, inFlight, _ := prx.SlotUsage(); inFlight != 0 {
		t.Errorf("%d slots were not released", inFlight)
	}
}

// Guards against reporting a request as not run when one of its attempts may have run and a later one has not.
func TestOutcomeCoversAllAttempts(t *testing.T) {
	var calls atomic.Int64
	env := &fakeEnv{}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		if calls.Add(1) == 1 {
			return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
		}
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	}
	_, err := newProxy(t, env).ServeRoot(t.Context(), request("/stock/1", "r1", apiKey))
	checkRefusal(t, err, core.ReasonUpstreamFailed, core.OutcomeUnknown)
	if calls.Load() != 2 {
		t.Errorf("%d attempts were made, want 2", calls.Load())
	}
}

// Guards against retries that multiply along a call chain. Attempts after the first, and nested calls that an upstream
// makes while it serves a retry, must be marked as retries, so that nodes deeper in the chain count them as such.
func TestRetriesAreMarked(t *testing.T) {
	failure := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	var got []bool
	env := &fakeEnv{}
	env.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		got = append(got, call.IsRetry())
		if len(got) == 1 {
			return nil, failure
		}
		return okAnswer()
	}
	var prx *proxy.Proxy
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		return prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", ""))
	}
	prx = newProxy(t, env)
	if _, err := prx.ServeRoot(t.Context(), request("/stock/1", "r1", apiKey)); err != nil {
		t.Fatal(err)
	}
	awaitHealthCheck(t, prx)
	for i, retry := range []bool{false, true} {
		root := core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(time.Second)})
		ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
			Root: root, Service: "orders", Path: "/read/1", AttemptID: fmt.Sprint("run", i), TargetLatency: time.Second, IsRetry: retry,
		}))
		if err != nil {
			t.Fatal(err)
		}
		_ = ans.Body().Close()
	}
	if diff := cmp.Diff([]bool{false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against callers that retry too early after all upstreams of a service have restarted simultaneously. A caller that
// returns before they are warm is refused again, and many callers retry only once, so the refusal must name the time at
// which the upstream is warm.
func TestColdRefusalRetryAfter(t *testing.T) {
	const cold = 2 * time.Second
	env := &fakeEnv{}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonCold, core.OutcomeNotRun, "cold").WithRetryAfter(cold)
	}
	_, err := newProxy(t, env).ServeRoot(t.Context(), request("/stock/1", "r1", apiKey))
	checkRefusal(t, err, core.ReasonCold, core.OutcomeNotRun)
	if got := core.AsRefusal(err).RetryAfter(); got < cold || got > cold+500*time.Millisecond {
		t.Errorf("the caller may retry after %v, want at most 500 ms after the upstream's cold time of %v", got, cold)
	}
}

// Guards against refusing a team for its rate although it gets less than that. When an overloaded service refuses most
// of a team's requests and the team retries them, requests that have not run must not use up the team's rate.
func TestRefusedRequestsRefundRate(t *testing.T) {
	env := &fakeEnv{}
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	}
	prx := newProxy(t, env)
	for i := range 3000 { // rate and burst of the team are 1000
		_, err := prx.ServeRoot(t.Context(), request("/stock/1", fmt.Sprint(i), apiKey))
		if core.AsRefusal(err).Reason() != core.ReasonOverload {
			t.Fatalf("request %d ended with %v, want a refusal for overload", i, err)
		}
	}
}

// Guards against reporting a timeout as a cancellation by the caller. At the timeout of the ingress route all contexts
// of a request end simultaneously, and the attempt may fail as cancelled. A caller that still waits must get the deadline as
// the reason, which has a server error status.
func TestTimeoutIsNotCancellation(t *testing.T) {
	env := &fakeEnv{}
	env.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
		<-ctx.Done()
		return nil, core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the caller cancelled the call")
	}
	prx := newProxy(t, env)
	_, err := prx.ServeRoot(t.Context(), request("/stock/1", "r1", apiKey))
	checkRefusal(t, err, core.ReasonDeadline, core.OutcomeUnknown)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = prx.ServeRoot(ctx, request("/stock/1", "r2", apiKey))
	checkRefusal(t, err, core.ReasonCancelled, core.OutcomeUnknown)
}

// Guards against giving up too early while all upstreams of a service shed half of their calls. A root request with
// eight such calls needs more than three attempts for some of them, so attempts that upstreams shed must not use up the
// attempts of the ingress route.
func TestShedCallsTryMoreHosts(t *testing.T) {
	env := &fakeEnv{}
	var calls atomic.Int64
	env.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		if calls.Add(1) < 5 {
			return nil, core.NewRefusal(core.ReasonUpstreamShed, core.OutcomeNotRun, "shed")
		}
		return okAnswer()
	}
	if _, err := newProxy(t, env).ServeRoot(t.Context(), request("/deep/1", "r1", apiKey)); err != nil {
		t.Errorf("the request failed after %d attempts, want an answer to the fifth: %v", calls.Load(), err)
	}
}

// serveNesting serves a call whose upstream makes one nested call and fails if that fails, as upstreams do. It returns
// the feedback of the answer.
func serveNesting(t *testing.T, env *fakeEnv) core.Feedback {
	t.Helper()
	return serveNestingBy(t, env, proxy.SchedulingLatency)
}

func serveNestingBy(t *testing.T, env *fakeEnv, sdl proxy.Scheduling) core.Feedback {
	t.Helper()
	var prx *proxy.Proxy
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		if ans, err := prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", "")); err == nil && ans.Status() == http.StatusOK {
			return okAnswer()
		}
		return answer(http.StatusInternalServerError, "", core.Feedback{}), nil
	}
	prx = newScheduledProxy(t, env, sdl)
	awaitHealthCheck(t, prx)
	root := core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(time.Second)})
	ans, err := prx.Serve(t.Context(), core.NewCall(core.CallSpec{
		Root: root, Service: "orders", Path: "/read/1", AttemptID: "run", TargetLatency: time.Second, Depth: 1,
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer ans.Body().Close()
	if _, err := io.ReadAll(ans.Body()); err != nil {
		t.Fatal(err)
	}
	return ans.Feedback()
}

// Guards against retries that multiply along a chain: a call that fails because a nested call failed, which has been
// retried already, must not be retried again at each hop above, nor count against its host. The nested call may be
// refused, or its own upstream may answer with an error.
func TestFailureOfNestedCallPassesUp(t *testing.T) {
	failed := answer(http.StatusInternalServerError, "", core.Feedback{}.WithNestedFailed(true))
	for _, tst := range []struct {
		name string
		ans  func() *core.Answer
		err  error
		want bool
	}{
		{"answered", func() *core.Answer { ans, _ := okAnswer(); return ans }, nil, false},
		{"refused", func() *core.Answer { return nil }, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full"), true},
		{"failed further down", func() *core.Answer { return failed }, nil, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return tst.ans(), tst.err }}
			if diff := cmp.Diff(tst.want, serveNesting(t, env).NestedFailed()); diff != "" {
				t.Errorf("nested failure in the feedback (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against hosts above a failed nested call that take each failure for lack of room, or none: each hop must tell the
// one above whether room was missing further down.
func TestLackOfRoomPassesUp(t *testing.T) {
	failed := func(noRoom bool) *core.Answer {
		return answer(http.StatusInternalServerError, "", core.Feedback{}.WithNestedFailed(true).WithNestedNoRoom(noRoom))
	}
	for _, tst := range []struct {
		name string
		ans  *core.Answer
		err  error
		want bool
	}{
		{"no room", nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full"), true},
		{"shed by its upstream", nil, core.NewRefusal(core.ReasonUpstreamShed, core.OutcomeNotRun, "shed"), false},
		{"broken off", nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset"), false},
		{"no host left", nil, core.NewRefusal(core.ReasonNoUpstream, core.OutcomeNotRun, "none"), true},
		{"given up by its upstream", nil, core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "closed"), true},
		{"lost with its peer", nil, core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, "lost"), true},
		{"out of time", nil, core.NewRefusal(core.ReasonDeadline, core.OutcomeUnknown, "late"), true},
		{"no room further down", failed(true), nil, true},
		{"failed further down for another reason", failed(false), nil, false},
	} {
		t.Run(tst.name, func(t *testing.T) {
			env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return tst.ans, tst.err }}
			if diff := cmp.Diff(tst.want, serveNestingBy(t, env, proxy.SchedulingWork).NestedNoRoom()); diff != "" {
				t.Errorf("lack of room in the feedback (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against root requests that are admitted, and fail, while a service further down the chain is cold: each hop must
// tell the one above until when, and the host of the root requests must tell the next caller.
func TestColdServicePassesUp(t *testing.T) {
	const cold = 2 * time.Second
	failed := answer(http.StatusInternalServerError, "", core.Feedback{}.WithNestedFailed(true).WithNestedColdFor(cold))
	for _, tst := range []struct {
		name string
		ans  *core.Answer
		err  error
	}{
		{"refused by the cold service", nil, core.NewRefusal(core.ReasonCold, core.OutcomeNotRun, "cold").WithRetryAfter(cold)},
		{"failed further down", failed, nil},
	} {
		t.Run(tst.name, func(t *testing.T) {
			env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return tst.ans, tst.err }}
			if got := serveNesting(t, env).NestedColdFor(); got < cold-200*time.Millisecond || got > cold {
				t.Errorf("the answer says that a service is cold for %v, want %v", got, cold)
			}
		})
	}
	env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return failed, nil }}
	var prx *proxy.Proxy
	env.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		_, _ = prx.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", ""))
		return answer(http.StatusInternalServerError, "", core.Feedback{}), nil
	}
	prx = newProxy(t, env)
	awaitHealthCheck(t, prx)
	serveRoot := func(id string) (*core.Answer, error) {
		root := core.NewRoot(core.RootSpec{Team: "verona", Class: "confirm", Deadline: time.Now().Add(5 * time.Second)})
		return prx.Serve(t.Context(), core.NewCall(core.CallSpec{Root: root, Service: "orders", Path: "/confirm/1", AttemptID: id, TargetLatency: time.Second}))
	}
	ans, err := serveRoot("r1")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(ans.Body())
	_ = ans.Body().Close()
	_, err = serveRoot("r2")
	checkRefusal(t, err, core.ReasonDependencyCold, core.OutcomeNotRun)
	if got := core.AsRefusal(err).RetryAfter(); got < cold-200*time.Millisecond || got > cold {
		t.Errorf("the next caller may return after %v, want %v", got, cold)
	}
}

// Guards against an upstream that is kept at its cold rate after it is warm. The host list shows for how much longer the
// upstream was cold when it registered, which may be a second before the list arrives; the upstream has said it exactly.
func TestLateListDoesNotExtendColdTime(t *testing.T) {
	const cold = 500 * time.Millisecond
	began := time.Now()
	env := &fakeEnv{upstream: func(context.Context, *core.Call) (*core.Answer, error) { return okAnswer() }}
	env.health = func() (core.Health, error) {
		return core.NewHealth("i-"+localHost, true, max(time.Until(began.Add(cold)), 0)), nil
	}
	env.setSnapshot(snapshot(t, 5, false, false))
	prx := newProxy(t, env)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		if err := prx.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	defer running.Wait()
	defer cancel()
	time.Sleep(cold - 100*time.Millisecond)
	prx.SetSnapshot(snapshotWithCold(t, 6, false, false, cold))
	time.Sleep(200 * time.Millisecond)
	refused := 0
	for i := range 10 {
		root := core.NewRoot(core.RootSpec{Team: "verona", Class: "confirm", Deadline: time.Now().Add(5 * time.Second)})
		ans, err := prx.Serve(ctx, core.NewCall(core.CallSpec{Root: root, Service: "orders", Path: "/confirm/1", AttemptID: fmt.Sprint(i), TargetLatency: time.Second}))
		if err != nil {
			refused++
			continue
		}
		_, _ = io.ReadAll(ans.Body())
		_ = ans.Body().Close()
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("calls refused although the upstream is warm (-want +got):\n%s", diff)
	}
}

// Guards against less important callers that take the capacity of upstreams which have just become warm from more
// important ones: all were refused and return within a second.
func TestImportantCallersReturnFirst(t *testing.T) {
	const cold, callers = time.Second, 200
	env := &fakeEnv{forward: func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonCold, core.OutcomeNotRun, "cold").WithRetryAfter(cold)
	}}
	prx := newProxy(t, env)
	mean := func(path string) time.Duration { // of the times after the cold time
		var sum time.Duration
		for i := range callers {
			_, err := prx.ServeRoot(t.Context(), request(path, fmt.Sprint(path, i), apiKey))
			checkRefusal(t, err, core.ReasonCold, core.OutcomeNotRun)
			sum += core.AsRefusal(err).RetryAfter() - cold
		}
		return sum / callers
	}
	important, other := mean("/deep/1"), mean("/stock/1")
	if important < 0 || 2*important > other {
		t.Errorf("important callers return %v after the cold time on average and others %v, want at most half", important, other)
	}
}
