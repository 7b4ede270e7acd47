package proxy_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

type object map[string]any

const (
	ownHost = "10.0.0.1"
	secret  = "verona-key"
)

// snapshot declares a service "orders" on this host and two others, and a service "stock" on two hosts.
func snapshot(t *testing.T, version int, revoked, out bool) *decl.Snapshot {
	t.Helper()
	sum := sha256.Sum256([]byte(secret))
	keys := []object{{"id": "verona-1", "team": "verona", "sha256": hex.EncodeToString(sum[:])}}
	if revoked {
		keys = []object{}
	}
	state := "in"
	if out {
		state = "out"
	}
	class := func(name string, priority int) object {
		return object{"name": name, "priority": priority, "target": object{"answered": 0.99, "within": "1s"}}
	}
	entry := func(name, prefix, service string, idempotent bool) object {
		return object{
			"name": name, "host": "shop.example", "prefix": prefix, "class": name, "idempotent": idempotent, "attempts": 2,
			"timeout": "800ms", "services": []object{{"name": service, "weight": 1}},
		}
	}
	dec, err := decl.Decode(encode(t, object{
		"version": version, "classes": []object{class("confirm", 0), class("read", 2), class("lookup", 2), class("deep", 0)},
		"services": []object{{"name": "orders", "routes": []object{}}, {"name": "stock", "routes": []object{}}, {"name": "deep", "routes": []object{}}},
		"teams":    []object{{"name": "verona", "rate": 1000, "burst": 1000}}, "keys": keys,
		"domains": []object{{"name": "a", "region": "r", "state": state}, {"name": "b", "region": "r", "state": "in"}},
		"entries": []object{
			entry("confirm", "/confirm/", "orders", false), entry("read", "/read/", "orders", true),
			entry("lookup", "/stock/", "stock", true), entry("deep", "/deep/", "deep", true),
		},
	}))
	if err != nil {
		t.Fatal(err)
	}
	host := func(id, domain, service string) object {
		return object{"id": id, "domain": domain, "service": service, "peer": id + ":7000", "state": "live", "slots": 20, "instance": "i-" + id}
	}
	hosts := []object{
		host(ownHost, "a", "orders"), host("10.0.0.2", "b", "orders"), host("10.0.0.3", "b", "orders"),
		host("10.0.0.4", "a", "stock"), host("10.0.0.5", "b", "stock"),
	}
	for i := range 7 {
		hosts = append(hosts, host(fmt.Sprintf("10.0.1.%d", i), "a", "deep"))
	}
	lst, err := decl.DecodeHosts(encode(t, object{"version": version, "hosts": hosts}))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

func encode(t *testing.T, obj object) []byte {
	t.Helper()
	data, err := json.Marshal(obj)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// world is what surrounds the proxy under test.
type world struct {
	mut      sync.Mutex
	sna      *decl.Snapshot
	forward  func(ctx context.Context, host string, call *core.Call) (*core.Answer, error)
	upstream func(ctx context.Context, call *core.Call) (*core.Answer, error)
	sent     []string // hosts of forwarded calls
}

func (wor *world) Forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	wor.mut.Lock()
	wor.sent = append(wor.sent, host)
	wor.mut.Unlock()
	return wor.forward(ctx, host, call)
}

func (wor *world) hosts() []string {
	wor.mut.Lock()
	defer wor.mut.Unlock()
	return append([]string(nil), wor.sent...)
}

func (*world) Exchange(context.Context, string, proto.Message) (proto.Message, error) {
	return nil, errors.New("no peer")
}
func (*world) SetPeers(map[string]string, []string)                {}
func (*world) State(string) core.PeerState                         { return core.PeerState{} }
func (*world) PinInstance(string)                                  {}
func (*world) Served(string, string, bool, time.Duration)          {}
func (*world) Refused(core.Reason, string, string)                 {}
func (*world) Retried(string)                                      {}
func (*world) Note(string, string, map[string]any)                 {}
func (*world) Enabled(string) bool                                 { return true }
func (*world) Health(context.Context, string) (core.Health, error) { return core.Health{}, nil }

func (wor *world) Do(ctx context.Context, call *core.Call, _ string) (*core.Answer, error) {
	return wor.upstream(ctx, call)
}

func newProxy(t *testing.T, wor *world) *proxy.Proxy {
	t.Helper()
	if wor.sna == nil {
		wor.sna = snapshot(t, 5, false, false)
	}
	rel := proxy.New(proxy.Settings{
		Host: ownHost, Domain: "a", Service: "orders", Peers: wor, Upstream: wor, Observer: wor, EventLog: wor,
		Snapshot: func() *decl.Snapshot { return wor.sna }, Rand: rand.New(rand.NewPCG(1, 2)), RetryShare: 10,
	})
	rel.SetSnapshot(wor.sna)
	return rel
}

func answer(status int, text string, fee core.Feedback) *core.Answer {
	return core.NewAnswer(status, http.Header{}, io.NopCloser(strings.NewReader(text)), func() core.Feedback { return fee })
}

func ok() (*core.Answer, error) { return answer(http.StatusOK, "whole", core.Feedback{}), nil }

func request(path, id, key string) *core.Request {
	return core.NewRequest(core.RequestSpec{
		Method: http.MethodGet, Path: path, Authority: "shop.example", AttemptID: id, APIKey: key, Timeout: 5 * time.Second,
	})
}

// served waits for the time in which a new proxy asks its upstream for its health.
func served() { time.Sleep(1100 * time.Millisecond) }

func check(t *testing.T, err error, reason core.Reason, out core.Outcome) {
	t.Helper()
	if err == nil {
		t.Fatalf("the request was answered, want %s", reason)
	}
	ref := core.AsRefusal(err)
	if ref.Reason() != reason || ref.Outcome() != out {
		t.Errorf("got %s with outcome %v, want %s with %v: %v", ref.Reason(), ref.Outcome(), reason, out, err)
	}
}

// Whether a request is sent once more must follow from what is known about the first attempt: a non-idempotent one
// that may have run never is, and one that has not run always may be.
func TestAttempts(t *testing.T) {
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
		{"unknown host", "/stock/1", core.NewRefusal(core.ReasonPeerFailed, core.OutcomeNotRun, "cut"), 2, "", 0},
		{
			"key revoked beside the upstream", "/stock/1", core.NewRefusal(core.ReasonKeyUnknown, core.OutcomeNotRun, "revoked"), 1,
			core.ReasonKeyUnknown, core.OutcomeNotRun,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			first := true
			wor := &world{}
			wor.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
				if first {
					first = false
					return nil, tst.first
				}
				return ok()
			}
			_, err := newProxy(t, wor).ServeRoot(t.Context(), request(tst.path, "r1", secret))
			if got := len(wor.hosts()); got != tst.sent {
				t.Errorf("%d attempts were made, want %d", got, tst.sent)
			}
			if tst.reason != "" {
				check(t, err, tst.reason, tst.outcome)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}

// A non-idempotent request whose outcome is unknown must go to no second host, and must not be called "not run".
func TestUnsafeIsNotRepeated(t *testing.T) {
	wor := &world{sna: snapshot(t, 5, false, false)}
	wor.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	}
	wor.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		if call.Idempotent() {
			t.Error("the call is marked idempotent")
		}
		return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	}
	rel := newProxy(t, wor)
	rel.Leave() // keeps the request from this host
	_, err := rel.ServeRoot(t.Context(), request("/confirm/1", "r1", secret))
	check(t, err, core.ReasonUpstreamFailed, core.OutcomeUnknown)
	if got := len(wor.hosts()); got != 1 {
		t.Errorf("%d attempts were made, want 1", got)
	}
}

// A request that no host took is refused at once, as not run, with a time to come back that leaves its target.
func TestRefusalIsEarlyAndTrue(t *testing.T) {
	wor := &world{}
	wor.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	}
	began := time.Now()
	_, err := newProxy(t, wor).ServeRoot(t.Context(), request("/stock/1", "r1", secret))
	check(t, err, core.ReasonOverload, core.OutcomeNotRun)
	ref := core.AsRefusal(err)
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	if ref.RetryAfter() <= 0 || ref.RetryAfter() > 400*time.Millisecond {
		t.Errorf("the caller may come back after %v; the target is 800 ms", ref.RetryAfter())
	}
	if got := len(wor.hosts()); got != 2 {
		t.Errorf("%d hosts were asked, want both", got)
	}
}

// An answer that never comes must cost an idempotent request one more attempt, not its deadline.
func TestLostAnswerIsHedged(t *testing.T) {
	var lost atomic.Bool
	wor := &world{}
	wor.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
		if lost.Swap(false) {
			<-ctx.Done()
			return nil, core.AsRefusal(ctx.Err())
		}
		return ok()
	}
	rel := newProxy(t, wor)
	for i := range 50 {
		if _, err := rel.ServeRoot(t.Context(), request("/stock/1", fmt.Sprint(i), secret)); err != nil {
			t.Fatal(err)
		}
	}
	lost.Store(true)
	began := time.Now()
	if _, err := rel.ServeRoot(t.Context(), request("/stock/1", "lost", secret)); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > 400*time.Millisecond {
		t.Errorf("the answer took %v", took)
	}
}

// The route's timeout must be answered on time, however long the caller would wait.
func TestTimeout(t *testing.T) {
	wor := &world{}
	wor.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
		<-ctx.Done()
		return nil, core.NewRefusal(core.ReasonDeadline, core.OutcomeUnknown, "no answer")
	}
	began := time.Now()
	_, err := newProxy(t, wor).ServeRoot(t.Context(), request("/stock/1", "r1", secret))
	check(t, err, core.ReasonDeadline, core.OutcomeUnknown)
	if took := time.Since(began); took < 700*time.Millisecond || took > time.Second {
		t.Errorf("the answer took %v, the timeout is 800 ms", took)
	}
}

// Callers are told apart by their keys only; an identifier must not stand for one.
func TestIdentity(t *testing.T) {
	tests := []struct {
		name, id, key string
		reason        core.Reason
	}{
		{"no key", "r1", "", core.ReasonKeyMissing},
		{"wrong key", "r1", "stolen", core.ReasonKeyUnknown},
		{"identifier of a call that does not run", "r1.c1", "", core.ReasonOrphanedCall},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			wor := &world{forward: func(context.Context, string, *core.Call) (*core.Answer, error) { return ok() }}
			_, err := newProxy(t, wor).ServeRoot(t.Context(), request("/stock/1", tst.id, tst.key))
			check(t, err, tst.reason, core.OutcomeNotRun)
		})
	}
}

// A call of the own upstream goes on for the root that it serves: rank, team and deadline come from the running call,
// also after the root's key has been revoked.
func TestNestedCall(t *testing.T) {
	wor := &world{sna: snapshot(t, 5, false, false)}
	var got *core.Call
	wor.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		got = call
		return ok()
	}
	var rel *proxy.Proxy
	wor.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		wor.sna = snapshot(t, 6, true, false)
		ans, err := rel.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", ""))
		if err != nil {
			return nil, err
		}
		return ans, ans.Body().Close()
	}
	rel = newProxy(t, wor)
	served()
	root := core.NewRoot(core.RootSpec{Team: "verona", KeyID: "verona-1", Class: "confirm", Deadline: time.Now().Add(500 * time.Millisecond)})
	ans, err := rel.Serve(t.Context(), core.NewCall(core.CallSpec{
		Root: root, Service: "orders", Method: http.MethodPost, Path: "/confirm/1", AttemptID: "r1", TargetLatency: time.Second, DeclarationsVersion: 5,
		Authenticated: true, EntryRank: 0,
	}))
	if err != nil {
		t.Fatal(err)
	}
	_ = ans.Body().Close()
	if got.Team() != "verona" || got.Class() != "confirm" || got.EntryRank() != 0 || got.Depth() != 1 || got.Authenticated() {
		t.Errorf("nested call for team %q, class %q, rank %d, depth %d, keyed %v", got.Team(), got.Class(), got.EntryRank(), got.Depth(), got.Authenticated())
	}
	if got.Deadline().After(root.Deadline()) {
		t.Error("the nested call outlives its root")
	}
}

// The node beside the upstream must refuse what the entry could not know: a revoked key, an evacuation, another service.
func TestChecksBesideUpstream(t *testing.T) {
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
		{"domain taken out", snapshot(t, 6, false, true), "orders", 5, core.ReasonDomainOutOfService},
		{"another service had the address", snapshot(t, 5, false, false), "stock", 5, core.ReasonNoUpstream},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			ran := false
			wor := &world{sna: tst.sna}
			wor.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
				ran = true
				return ok()
			}
			rel := newProxy(t, wor)
			served()
			ans, err := rel.Serve(t.Context(), call(tst.service, tst.version))
			if tst.reason == "" {
				if err != nil {
					t.Fatal(err)
				}
				_ = ans.Body().Close()
				return
			}
			check(t, err, tst.reason, core.OutcomeNotRun)
			if ran {
				t.Error("the refused call ran")
			}
		})
	}
}

// A call that waits for its place must leave the queue when its caller goes, and then has not run.
func TestCallerGoesWhileWaiting(t *testing.T) {
	release := make(chan struct{})
	wor := &world{}
	wor.upstream = func(context.Context, *core.Call) (*core.Answer, error) {
		<-release
		return ok()
	}
	rel := newProxy(t, wor)
	served()
	root := core.NewRoot(core.RootSpec{Class: "read", Deadline: time.Now().Add(time.Minute)})
	call := func(id string) *core.Call {
		return core.NewCall(core.CallSpec{Root: root, Service: "orders", AttemptID: id, Depth: 1, TargetLatency: time.Second})
	}
	slots, _, _ := rel.SlotUsage()
	var grp sync.WaitGroup
	for i := range slots {
		grp.Go(func() {
			if ans, err := rel.Serve(t.Context(), call(fmt.Sprint(i))); err == nil {
				_ = ans.Body().Close()
			}
		})
	}
	for _, busy, _ := rel.SlotUsage(); busy < slots; _, busy, _ = rel.SlotUsage() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := rel.Serve(ctx, call("gone"))
	check(t, err, core.ReasonCancelled, core.OutcomeNotRun)
	if _, _, waiting := rel.SlotUsage(); waiting != 0 {
		t.Errorf("%d calls still wait", waiting)
	}
	close(release)
	grp.Wait()
	if _, busy, _ := rel.SlotUsage(); busy != 0 {
		t.Errorf("%d places were not given back", busy)
	}
}

// When one attempt may have run, a later attempt that has not must not turn the answer into "not run".
func TestNotRunIsTrueForAllAttempts(t *testing.T) {
	var calls atomic.Int64
	wor := &world{}
	wor.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		if calls.Add(1) == 1 {
			return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
		}
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	}
	_, err := newProxy(t, wor).ServeRoot(t.Context(), request("/stock/1", "r1", secret))
	check(t, err, core.ReasonUpstreamFailed, core.OutcomeUnknown)
	if calls.Load() != 2 {
		t.Errorf("%d attempts were made, want 2", calls.Load())
	}
}

// Attempts after the first, and the calls of an upstream that runs one, must arrive as retries, so that nodes deeper in
// the chain count them into the share of retries.
func TestRetriesAreMarked(t *testing.T) {
	full := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")
	var got []bool
	wor := &world{}
	wor.forward = func(_ context.Context, _ string, call *core.Call) (*core.Answer, error) {
		got = append(got, call.IsRetry())
		if len(got) == 1 {
			return nil, full
		}
		return ok()
	}
	var rel *proxy.Proxy
	wor.upstream = func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		return rel.ServeRoot(ctx, request("/stock/1", call.AttemptID()+".c1", ""))
	}
	rel = newProxy(t, wor)
	if _, err := rel.ServeRoot(t.Context(), request("/stock/1", "r1", secret)); err != nil {
		t.Fatal(err)
	}
	served()
	for i, repeat := range []bool{false, true} {
		root := core.NewRoot(core.RootSpec{Team: "verona", Class: "read", Deadline: time.Now().Add(time.Second)})
		ans, err := rel.Serve(t.Context(), core.NewCall(core.CallSpec{
			Root: root, Service: "orders", Path: "/read/1", AttemptID: fmt.Sprint("run", i), TargetLatency: time.Second, IsRetry: repeat,
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

// Load pattern: all upstreams of a service start again at once. Whoever returns before they are warm is refused again,
// and many callers return only once, so the refusal names the time at which the upstream is warm.
func TestColdRefusalNamesWarmTime(t *testing.T) {
	const cold = 2 * time.Second
	wor := &world{}
	wor.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonCold, core.OutcomeNotRun, "cold").WithRetryAfter(cold)
	}
	_, err := newProxy(t, wor).ServeRoot(t.Context(), request("/stock/1", "r1", secret))
	check(t, err, core.ReasonCold, core.OutcomeNotRun)
	if got := core.AsRefusal(err).RetryAfter(); got < cold || got > cold+500*time.Millisecond {
		t.Errorf("the caller may come back after %v, the upstream is cold for %v", got, cold)
	}
}

// Load pattern: an overloaded service refuses most of a team's requests, and they come again. A request that has not run
// must not use up the team's rate, or the team is refused for its rate although it gets less than that.
func TestRefusedRequestsKeepTheRate(t *testing.T) {
	wor := &world{}
	wor.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "full")
	}
	rel := newProxy(t, wor)
	for i := range 3000 { // rate and burst of the team are 1000
		_, err := rel.ServeRoot(t.Context(), request("/stock/1", fmt.Sprint(i), secret))
		if core.AsRefusal(err).Reason() != core.ReasonOverload {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// When the route's time is over, all contexts of a request end at once, and the attempt may see that as a cancellation.
// A caller that still waits must be told of the deadline, with a server's status, and not that it has left.
func TestTimeoutIsNoCancellation(t *testing.T) {
	wor := &world{}
	wor.forward = func(ctx context.Context, _ string, _ *core.Call) (*core.Answer, error) {
		<-ctx.Done()
		return nil, core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the caller gave up")
	}
	rel := newProxy(t, wor)
	_, err := rel.ServeRoot(t.Context(), request("/stock/1", "r1", secret))
	check(t, err, core.ReasonDeadline, core.OutcomeUnknown)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = rel.ServeRoot(ctx, request("/stock/1", "r2", secret))
	check(t, err, core.ReasonCancelled, core.OutcomeUnknown)
}

// Load pattern: all upstreams of a service shed half of their calls. A root with eight such calls needs more than three
// attempts for some of them; attempts that upstreams refused to run do not use up the ingress route's attempts.
func TestShedCallsAskFurtherHosts(t *testing.T) {
	wor := &world{}
	var calls atomic.Int64
	wor.forward = func(context.Context, string, *core.Call) (*core.Answer, error) {
		if calls.Add(1) < 5 {
			return nil, core.NewRefusal(core.ReasonUpstreamShed, core.OutcomeNotRun, "shed")
		}
		return ok()
	}
	if _, err := newProxy(t, wor).ServeRoot(t.Context(), request("/deep/1", "r1", secret)); err != nil {
		t.Errorf("after %d attempts: %v", calls.Load(), err)
	}
}
