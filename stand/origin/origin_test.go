package origin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"amaranthline/stand/origin"
)

func send(srv *origin.Server, method, target, body string, hdr http.Header) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	for name, values := range hdr {
		req.Header[name] = values
	}
	rec := httptest.NewRecorder()
	srv.Handler().ServeHTTP(rec, req)
	return rec
}

func control(t *testing.T, srv *origin.Server, name, body string) {
	t.Helper()
	rec := httptest.NewRecorder()
	srv.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, "/control/"+name, strings.NewReader(body)))
	if rec.Code != http.StatusNoContent {
		t.Fatalf("control command %s got status %d: %s", name, rec.Code, rec.Body)
	}
}

// burst sends requests at the same time and returns the virtual time until the last answer.
func burst(srv *origin.Server, count int) time.Duration {
	start := time.Now()
	var tasks sync.WaitGroup
	for range count {
		tasks.Go(func() { send(srv, http.MethodGet, "/a", "", nil) })
	}
	tasks.Wait()
	return time.Since(start)
}

// Guards against a capacity that does not follow the configured slots and slow factor, or a cold start that does not slow
// the upstream under load.
func TestCapacity(t *testing.T) {
	tests := []struct {
		name string
		set  origin.Settings
		age  time.Duration
		send int
		want time.Duration
	}{
		{"within the slots", origin.Settings{Slots: 4}, 0, 4, 10 * time.Millisecond},
		{"three rounds", origin.Settings{Slots: 4}, 0, 12, 30 * time.Millisecond},
		{"slow", origin.Settings{Slots: 4, SlowFactor: 3}, 0, 4, 30 * time.Millisecond},
		{"cold, little load", origin.Settings{Slots: 10, InitialWarmSlots: 2, WarmupTime: time.Second}, 0, 2, 10 * time.Millisecond},
		{"cold, full load", origin.Settings{Slots: 10, InitialWarmSlots: 2, WarmupTime: time.Second}, 0, 10, 250 * time.Millisecond},
		{"half warm", origin.Settings{Slots: 10, InitialWarmSlots: 2, WarmupTime: time.Second}, 375 * time.Millisecond, 10, 40 * time.Millisecond},
		{"warm", origin.Settings{Slots: 10, InitialWarmSlots: 2, WarmupTime: time.Second}, time.Second, 10, 10 * time.Millisecond},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tst.set.ServiceTime = 10 * time.Millisecond
				srv := origin.New(tst.set)
				time.Sleep(tst.age)
				got := burst(srv, tst.send)
				if got != tst.want {
					t.Errorf("the burst took %v, want %v", got, tst.want)
				}
				if peak := srv.Stats().PeakInFlight; peak != tst.send {
					t.Errorf("the peak of requests in flight is %d, want %d", peak, tst.send)
				}
			})
		})
	}
}

// Guards against service times that differ between upstreams with equal seeds, whose results could not be compared.
func TestExponentialWorkFollowsSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := map[uint64]time.Duration{}
		for _, seed := range []uint64{1, 2, 1} {
			srv := origin.New(origin.Settings{ServiceTime: time.Millisecond, Exponential: true, Seed: seed})
			elapsed := burst(srv, 100)
			if before, ok := times[seed]; ok && before != elapsed {
				t.Errorf("100 requests with seed %d took %v and then %v", seed, before, elapsed)
			}
			times[seed] = elapsed
		}
		if times[1] == times[2] || times[1] < 50*time.Millisecond || times[1] > 200*time.Millisecond {
			t.Errorf("100 requests with a mean of 1 ms took %v by seed, want 50 ms to 200 ms and different times for different seeds", times)
		}
	})
}

// Guards against a refused request that runs, and a cancelled request that keeps its slot or runs later.
func TestRefusalAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv := origin.New(origin.Settings{ServiceTime: time.Second})
		for _, name := range []string{"shed", "drain"} {
			control(t, srv, name, `{"on": true}`)
			rec := send(srv, http.MethodGet, "/a", "", nil)
			if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Amaranthline-Not-Run") != "true" {
				t.Errorf("a request during %s got status %d, headers %v, want 503 and Amaranthline-Not-Run: true", name, rec.Code, rec.Header())
			}
			control(t, srv, name, `{"on": false}`)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		req := httptest.NewRequest(http.MethodGet, "/cancelled", nil).WithContext(ctx)
		srv.Handler().ServeHTTP(httptest.NewRecorder(), req)
		first := make(chan struct{})
		go func() {
			send(srv, http.MethodGet, "/first", "", nil)
			close(first)
		}()
		synctest.Wait()
		rec := send(srv, http.MethodGet, "/waiting", "", http.Header{"Request-Timeout": {"50"}})
		if rec.Code != http.StatusGatewayTimeout {
			t.Errorf("a request whose deadline passed got status %d, want 504", rec.Code)
		}
		<-first
		want := origin.Stats{
			Runs:      map[string]int{"GET /cancelled": 1, "GET /first": 1},
			RunsByKey: map[string]int{}, Nested: map[string]int{}, ForbiddenHeaders: map[string]int{},
			WithoutToken: 5, Refused: 2, Cancelled: 2, PeakInFlight: 2,
		}
		if diff := cmp.Diff(want, srv.Stats()); diff != "" {
			t.Errorf("statistics (-want +got):\n%s", diff)
		}
	})
}

// Guards against a request with the crash marker in its path or body that gets an answer, and one without it that crashes
// the upstream.
func TestCrash(t *testing.T) {
	var crashes atomic.Int64
	srv := origin.New(origin.Settings{OnCrash: func() { crashes.Add(1) }})
	control(t, srv, "crash", `{"marker": "boom"}`)
	httpServer := httptest.NewServer(srv.Handler())
	defer httpServer.Close()
	for _, tst := range []struct {
		path, body string
		want       int64
	}{{"/a", "b", 0}, {"/boom", "", 1}, {"/a", "has boom inside", 2}} {
		rsp, err := http.Post(httpServer.URL+tst.path, "text/plain", strings.NewReader(tst.body))
		if err == nil {
			_ = rsp.Body.Close()
		}
		if crashes.Load() != tst.want || (err != nil) != (tst.want > 0) {
			t.Errorf("path %s, body %q: %d crashes so far, error %v", tst.path, tst.body, crashes.Load(), err)
		}
	}
}

// Guards against nested calls without the token of their request or with fewer or more retries than configured, and
// against a request that succeeds although a nested call failed.
func TestNestedCalls(t *testing.T) {
	type nestedRequest struct{ Call, Token string }
	var calls []nestedRequest
	node := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		calls = append(calls, nestedRequest{req.Method + " " + req.URL.Path, req.Header.Get("Amaranthline-Call")})
		if req.URL.Path == "/varchi/bad" {
			rsw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer node.Close()
	srv := origin.New(origin.Settings{NestedURL: node.URL, NestedCalls: []origin.NestedCall{{Call: "GET /grafica/x"}}})
	defer srv.Close()
	token := http.Header{"Amaranthline-Call": {"t1"}}
	rec := send(srv, http.MethodPost, "/a?x=1", "body", token)
	var got map[string]any
	if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"method": "POST", "path": "/a?x=1", "body": "body", "nested": []any{200.0}, "padding": ""}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	control(t, srv, "nested", `{"calls": [{"call": "POST /varchi/bad", "retries": 2}, {"call": "GET /grafica/x"}]}`)
	if rec := send(srv, http.MethodGet, "/a", "", token); rec.Code != http.StatusBadGateway {
		t.Errorf("a request with a failed nested call got status %d, want 502", rec.Code)
	}
	bad := nestedRequest{"POST /varchi/bad", "t1"}
	if diff := cmp.Diff([]nestedRequest{{"GET /grafica/x", "t1"}, bad, bad, bad}, calls); diff != "" {
		t.Errorf("nested calls (-want +got):\n%s", diff)
	}
}

// Guards against statistics that miss forbidden headers or runs by key, or that a reset does not clear. Tests use them to
// check nodes.
func TestStatistics(t *testing.T) {
	srv := origin.New(origin.Settings{})
	send(srv, http.MethodPost, "/a?x=1", "", http.Header{
		"Authorization": {"Bearer secret"}, "Amaranthline-Outcome": {"ran"}, "Amaranthline-Call": {"t"}, "Idempotency-Key": {"k"},
	})
	want := map[string]any{
		"runs": map[string]any{"POST /a": 1.0}, "runs_by_key": map[string]any{"k": 1.0}, "nested": map[string]any{},
		"forbidden":     map[string]any{"Authorization": 1.0, "Amaranthline-Outcome": 1.0},
		"without_token": 0.0, "refused": 0.0, "cancelled": 0.0, "in_flight": 0.0, "peak_in_flight": 1.0,
	}
	read := func() map[string]any {
		rec := httptest.NewRecorder()
		srv.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/control/stats", nil))
		var got map[string]any
		if err := json.Unmarshal(rec.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		return got
	}
	if diff := cmp.Diff(want, read()); diff != "" {
		t.Errorf("statistics (-want +got):\n%s", diff)
	}
	control(t, srv, "reset", `{}`)
	if got := read(); len(got["runs"].(map[string]any)) != 0 || got["peak_in_flight"] != 0.0 {
		t.Errorf("the statistics after a reset are %v, want no runs and a peak of 0", got)
	}
}

// Guards against health and load answers that do not lag, or are not fixed, as configured. Tests use lagging and
// fixed answers to check that nodes do not trust them.
func TestHealthLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv := origin.New(origin.Settings{Slots: 2, ServiceTime: 10 * time.Second, HealthLag: 2 * time.Second})
		time.Sleep(time.Minute)
		go send(srv, http.MethodGet, "/a", "", nil)
		synctest.Wait() // until the request has a slot, because a drain refuses requests
		control(t, srv, "drain", `{"on": true}`)
		observe := func() string {
			return send(srv, http.MethodGet, "/health", "", nil).Body.String() + " " + send(srv, http.MethodGet, "/load", "", nil).Body.String()
		}
		got := []string{observe()}
		time.Sleep(2 * time.Second)
		got = append(got, observe())
		control(t, srv, "health", `{"fixed": "ok"}`)
		got = append(got, observe())
		if diff := cmp.Diff([]string{"ok 0", "draining 0.5", "ok 0.5"}, got); diff != "" {
			t.Errorf("health and load (-want +got):\n%s", diff)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against a mistyped control request that is accepted, so that a test runs without the fault that it asked for.
func TestControlRefuses(t *testing.T) {
	srv := origin.New(origin.Settings{})
	for _, tst := range []struct {
		name, body string
		want       int
	}{
		{"slow", `{"factr": 3}`, http.StatusBadRequest},
		{"slow", `{"factor": "3"}`, http.StatusBadRequest},
		{"slow", `{"factor": 0}`, http.StatusBadRequest},
		{"service", `{"time": "soon"}`, http.StatusBadRequest},
		{"shed", `{"factor": 3}`, http.StatusBadRequest},
		{"shed", `on`, http.StatusBadRequest},
		{"sleep", `{}`, http.StatusNotFound},
	} {
		rec := httptest.NewRecorder()
		srv.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, "/control/"+tst.name, strings.NewReader(tst.body)))
		if rec.Code != tst.want {
			t.Errorf("control command %s with body %s got status %d, want %d", tst.name, tst.body, rec.Code, tst.want)
		}
	}
}

// Guards against more open connections than the bound, and against a closed connection that still counts.
func TestConnectionsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := origin.New(origin.Settings{Connections: 1}).LimitListener(inner)
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted while the first was open, although the bound is 1")
	case <-time.After(20 * time.Millisecond):
	}
	_ = first.Close()
	second := <-accepted
	_ = lis.Close()
	if _, ok := <-accepted; ok {
		t.Error("a connection was accepted after the listener was closed")
	}
	_, _ = io.WriteString(second, "x")
	_ = second.Close()
}
