package back_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"amaranthline/core"
	"amaranthline/io/transport/back"
)

const testTimeout = 20 * time.Second

func newCall(method, body string, timeout time.Duration, hdr http.Header) *core.Call {
	spec := core.CallSpec{
		Root:   core.NewRoot(core.RootSpec{Deadline: time.Now().Add(timeout)}),
		Method: method, Path: "/prints/a%2Fb?x=1", Header: hdr, RetryBudget: 2,
	}
	if body != "" {
		spec.Body, spec.Length = strings.NewReader(body), int64(len(body))
	}
	return core.NewCall(spec)
}

// scriptedServer is a TCP server whose behavior a test scripts per request.
type scriptedServer struct {
	lis      net.Listener
	mut      sync.Mutex
	requests []string // method and body of each request
	tasks    sync.WaitGroup
}

// startScriptedServer runs a script for each request that arrives; the connection closes when the script returns false.
func startScriptedServer(t *testing.T, script func(number int, conn net.Conn, req *http.Request) bool) *scriptedServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &scriptedServer{lis: lis}
	srv.tasks.Go(func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			srv.tasks.Go(func() { srv.serve(conn, script) })
		}
	})
	t.Cleanup(func() { _ = lis.Close() })
	return srv
}

func (srv *scriptedServer) serve(conn net.Conn, script func(int, net.Conn, *http.Request) bool) {
	defer func() { _ = conn.Close() }()
	buf := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(buf)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		srv.mut.Lock()
		srv.requests = append(srv.requests, req.Method+" "+string(body))
		number := len(srv.requests)
		srv.mut.Unlock()
		if !script(number, conn, req) {
			return
		}
	}
}

func (srv *scriptedServer) baseURL() string { return "http://" + srv.lis.Addr().String() }

func newClient(t *testing.T, set back.Settings) *back.Client {
	if set.MaxConnections == 0 {
		set.MaxConnections = 8
	}
	cli := back.New(set)
	t.Cleanup(cli.Close)
	return cli
}

func do(ctx context.Context, cli *back.Client, call *core.Call) (back.Result, error) {
	ans, err := cli.Do(ctx, call, "token")
	if err != nil {
		return back.ResultOf(nil, err), err
	}
	defer func() { _ = ans.Body().Close() }()
	_, err = io.Copy(io.Discard, ans.Body())
	return back.ResultOf(ans, err), err
}

// Guards against giving up a call at the moment at which its upstream ends it: the upstream's answer must be passed on.
func TestUpstreamAnswersAtItsDeadline(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		var remainingMillis int
		_, _ = fmt.Sscan(req.Header.Get("Request-Timeout"), &remainingMillis)
		time.Sleep(time.Duration(remainingMillis) * time.Millisecond)
		rsw.WriteHeader(http.StatusGatewayTimeout)
	}))
	defer srv.Close()
	cli := newClient(t, back.Settings{BaseURL: srv.URL})
	for range 20 {
		ans, err := cli.Do(t.Context(), newCall(http.MethodGet, "", 100*time.Millisecond, http.Header{}), "token")
		if err != nil {
			t.Fatalf("the call was given up before the upstream's answer: %v", err)
		}
		_ = ans.Body().Close()
		if diff := cmp.Diff(http.StatusGatewayTimeout, ans.Status()); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	}
}

// Guards against calls that count against the rate of a cold upstream without having been sent, and against sent ones that
// do not count.
func TestSentCallsAreReported(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		rsw.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = lis.Close()
	tests := []struct {
		name, baseURL, path string
		want                int
	}{
		{"answered", srv.URL, "/", 1},
		{"invalid path", srv.URL, "a b", 0},
		{"connection refused", "http://" + lis.Addr().String(), "/", 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			got := 0
			call := core.NewCall(core.CallSpec{
				Root: core.NewRoot(core.RootSpec{Deadline: time.Now().Add(testTimeout)}), Method: http.MethodGet, Path: tst.path,
			})
			_, _ = do(t.Context(), newClient(t, back.Settings{BaseURL: tst.baseURL}), call.OnSent(func() { got++ }))
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("reports of a sent call (-want +got):\n%s", diff)
			}
		})
	}
}

// The upstream must get the call token and the remaining time. It must not get the caller's key, a token that the
// caller forged or hop-by-hop headers; the caller must not get reserved headers that the upstream set.
func TestRequestHeaders(t *testing.T) {
	type receivedRequest struct {
		Method, Target, Body string
		Length               int64
		Encoding             []string
		Header               http.Header
	}
	got := make(chan receivedRequest, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		got <- receivedRequest{req.Method, req.RequestURI, string(body), req.ContentLength, req.TransferEncoding, req.Header}
		rsw.Header().Set("Amaranthline-Outcome", "not-run")
		rsw.Header().Set("X-Kept", "1")
	}))
	defer srv.Close()
	cli := newClient(t, back.Settings{BaseURL: srv.URL})
	hdr := http.Header{
		"Authorization": {"Bearer secret"}, "Amaranthline-Call": {"forged"}, "Connection": {"x-hop"}, "X-Hop": {"1"},
		"Idempotency-Key": {"k"}, "X-Job": {"a"}, "Expect": {"100-continue"},
	}
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodPost, http.MethodPut} {
		for _, body := range []string{"", "body"} {
			t.Run(method+" "+body, func(t *testing.T) {
				ans, err := cli.Do(t.Context(), newCall(method, body, time.Second, hdr), "token")
				if err != nil {
					t.Fatal(err)
				}
				_ = ans.Body().Close()
				if ans.Header().Get("X-Kept") != "1" || ans.Header().Get("Amaranthline-Outcome") != "" {
					t.Errorf("headers of the answer are %v, want X-Kept and no Amaranthline-Outcome", ans.Header())
				}
				req := <-got
				var remainingMillis int
				_, _ = fmt.Sscan(req.Header.Get("Request-Timeout"), &remainingMillis)
				if remainingMillis < 1 || remainingMillis > 1000 {
					t.Errorf("Request-Timeout is %q, want 1 to 1000 ms", req.Header.Get("Request-Timeout"))
				}
				req.Header.Del("Request-Timeout")
				req.Header.Del("Content-Length")
				want := receivedRequest{
					Method: method, Target: "/prints/a%2Fb?x=1", Body: body, Length: int64(len(body)),
					Header: http.Header{"Amaranthline-Call": {"token"}, "Idempotency-Key": {"k"}, "X-Job": {"a"}},
				}
				if diff := cmp.Diff(want, req); diff != "" {
					t.Errorf("request (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// net/http's client sends some requests again when a reused connection closes before the answer. The upstream may have
// received the first one, so a call could run twice; the client of this package must send each call once.
func TestLostConnectionIsNotResent(t *testing.T) {
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodDelete, http.MethodPost, http.MethodPut, http.MethodPatch,
	} {
		for _, body := range []string{"", "body"} {
			t.Run(method+" "+body, func(t *testing.T) {
				srv := startScriptedServer(t, func(number int, conn net.Conn, _ *http.Request) bool {
					if number == 1 {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						return true
					}
					return false
				})
				cli := newClient(t, back.Settings{BaseURL: srv.baseURL(), MaxConnections: 1})
				hdr := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
				if _, err := do(t.Context(), cli, newCall(http.MethodGet, "", testTimeout, nil)); err != nil {
					t.Fatal(err)
				}
				res, err := do(t.Context(), cli, newCall(method, body, testTimeout, hdr))
				if out := core.AsRefusal(err).Outcome(); res != back.ResultConnReset || out != core.OutcomeUnknown {
					t.Errorf("got error %v, result %v, outcome %v, want a reset with unknown outcome", err, res, out)
				}
				_ = srv.lis.Close()
				srv.tasks.Wait()
				if diff := cmp.Diff([]string{"GET ", method + " " + body}, srv.requests); diff != "" {
					t.Errorf("requests (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// An outcome of not run lets the request be sent again. It must be reported only when no byte was written or the
// upstream states that it refused the request. Each way in which a call can end must have its own result and reason.
func TestOutcomes(t *testing.T) {
	const okLine = "HTTP/1.1 200 OK\r\n"
	answerWith := func(text string) func(int, net.Conn, *http.Request) bool {
		return func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, text)
			return false
		}
	}
	neverAnswer := func(_ int, conn net.Conn, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1)) // returns when the client closes the connection
		return false
	}
	tests := []struct {
		name    string
		script  func(int, net.Conn, *http.Request) bool
		timeout time.Duration
		result  back.Result
		reason  core.Reason
		out     core.Outcome
	}{
		{"complete answer", answerWith(okLine + "Content-Length: 4\r\n\r\nbody"), testTimeout, back.ResultAnswered, "", 0},
		{"503, not run", answerWith("HTTP/1.1 503 No\r\nAmaranthline-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), testTimeout, back.ResultShed, core.ReasonOverload, core.OutcomeNotRun},
		{"503", answerWith("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), testTimeout, back.ResultShed, "", 0},
		{"429", answerWith("HTTP/1.1 429 No\r\nAmaranthline-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), testTimeout, back.ResultShed, "", 0},
		{"closed before the answer", answerWith(""), testTimeout, back.ResultConnReset, core.ReasonUpstreamFailed, core.OutcomeUnknown},
		{"closed in the head", answerWith("HTTP/1.1 200 O"), testTimeout, back.ResultConnReset, core.ReasonUpstreamFailed, core.OutcomeUnknown},
		{"not HTTP", answerWith("garbage\r\n\r\n"), testTimeout, back.ResultFailed, core.ReasonUpstreamFailed, core.OutcomeUnknown},
		{"body shorter than Content-Length", answerWith(okLine + "Content-Length: 9\r\n\r\nbody"), testTimeout, back.ResultConnReset, core.ReasonTruncated, core.OutcomeUnknown},
		{"chunk truncated", answerWith(okLine + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody"), testTimeout, back.ResultConnReset, core.ReasonTruncated, core.OutcomeUnknown},
		{"last chunk missing", answerWith(okLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), testTimeout, back.ResultConnReset, core.ReasonTruncated, core.OutcomeUnknown},
		{"deadline", neverAnswer, 100 * time.Millisecond, back.ResultTimeout, core.ReasonDeadline, core.OutcomeUnknown},
		{"deadline passed before", neverAnswer, -time.Second, back.ResultTimeout, core.ReasonDeadline, core.OutcomeNotRun},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			srv := startScriptedServer(t, tst.script)
			cli := newClient(t, back.Settings{BaseURL: srv.baseURL()})
			res, err := do(t.Context(), cli, newCall(http.MethodPost, "x", tst.timeout, nil))
			checkResult(t, res, tst.result, err, tst.reason, tst.out)
			if got := cli.InFlight(); got != 0 {
				t.Errorf("%d calls are in flight after the call ended, want 0", got)
			}
		})
	}
}

func checkResult(t *testing.T, res, want back.Result, err error, reason core.Reason, out core.Outcome) {
	t.Helper()
	if res != want || (err != nil) != (reason != "") {
		t.Fatalf("got result %v, error %v, want result %v, reason %q", res, err, want, reason)
	}
	if err == nil {
		return
	}
	if ref := core.AsRefusal(err); ref.Reason() != reason || ref.Outcome() != out {
		t.Errorf("got %v with outcome %v, want %q with outcome %v", err, ref.Outcome(), reason, out)
	}
}

// A call that ends while it waits for a connection, or cannot get one, has not run and may be sent again. The outcome
// of a call that was sent and then cancelled is unknown.
func TestOutcomeWithoutConnection(t *testing.T) {
	arrived := make(chan struct{})
	srv := startScriptedServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		close(arrived)
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	cli := newClient(t, back.Settings{BaseURL: srv.baseURL(), MaxConnections: 1})
	ctx, cancel := context.WithCancel(t.Context())
	type result struct {
		res back.Result
		err error
	}
	first := make(chan result, 1)
	go func() {
		res, err := do(ctx, cli, newCall(http.MethodPost, "x", testTimeout, nil))
		first <- result{res, err}
	}()
	<-arrived
	res, err := do(t.Context(), cli, newCall(http.MethodPost, "x", 100*time.Millisecond, nil))
	checkResult(t, res, back.ResultTimeout, err, core.ReasonDeadline, core.OutcomeNotRun)
	cancel()
	firstResult := <-first
	checkResult(t, firstResult.res, back.ResultCancelled, firstResult.err, core.ReasonCancelled, core.OutcomeUnknown)
	_ = srv.lis.Close()
	res, err = do(t.Context(), cli, newCall(http.MethodPost, "x", testTimeout, nil))
	checkResult(t, res, back.ResultConnRefused, err, core.ReasonNoUpstream, core.OutcomeNotRun)
	res, err = do(t.Context(), newClient(t, back.Settings{BaseURL: "127.0.0.1:80"}), newCall(http.MethodGet, "", testTimeout, nil))
	checkResult(t, res, back.ResultFailed, err, core.ReasonNoUpstream, core.OutcomeNotRun)
	var bue *back.BaseURLError
	if !errors.As(err, &bue) {
		t.Errorf("a call with an invalid base URL returned %v, want a BaseURLError", err)
	}
}

// When the body of a request cannot be read, the refusal must keep the reason of the body's reader and, once bytes were
// written, have unknown outcome. The client then aborts the connection, which must not count as a crash of the
// upstream.
func TestRequestBodyFailure(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
	}))
	defer srv.Close()
	var crashes atomic.Int64
	cli := newClient(t, back.Settings{BaseURL: srv.URL, OnCrash: func() { crashes.Add(1) }})
	slow := core.NewRefusal(core.ReasonSlowSender, core.OutcomeNotRun, "pause in the body")
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", 64<<10)), failingReader{slow})
	call := core.NewCall(core.CallSpec{
		Root: core.NewRoot(core.RootSpec{Deadline: time.Now().Add(testTimeout)}), Method: http.MethodPost, Path: "/", Body: body, Length: -1,
	})
	res, err := do(t.Context(), cli, call)
	checkResult(t, res, back.ResultFailed, err, core.ReasonSlowSender, core.OutcomeUnknown)
	if crashes.Load() != 0 {
		t.Error("an unreadable request body was reported as a crash")
	}
}

// Guards against a restart of the upstream that shows only in one lost connection, while calls on others go on.
func TestLostConnectionIsReported(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			<-release
			return
		}
		if con, _, err := http.NewResponseController(wri).Hijack(); err == nil {
			_ = con.Close()
		}
	}))
	defer srv.Close()
	defer close(release)
	var crashes, losses atomic.Int64
	cli := newClient(t, back.Settings{BaseURL: srv.URL, OnCrash: func() { crashes.Add(1) }, OnConnLost: func() { losses.Add(1) }})
	for range 3 {
		go do(t.Context(), cli, newCall(http.MethodGet, "", testTimeout, nil)) //nolint:errcheck // ends with the test
	}
	for cli.InFlight() < 3 {
		time.Sleep(time.Millisecond)
	}
	res, err := do(t.Context(), cli, newCall(http.MethodPost, "x", testTimeout, nil))
	checkResult(t, res, back.ResultConnReset, err, core.ReasonUpstreamFailed, core.OutcomeUnknown)
	if diff := cmp.Diff([]int64{0, 1}, []int64{crashes.Load(), losses.Load()}); diff != "" {
		t.Errorf("reported crashes and lost connections (-want +got):\n%s", diff)
	}
}

// Guards against a restart of the upstream between two calls that is not noticed, because the next call opens another
// connection.
func TestClosedIdleConnectionIsReported(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	var losses atomic.Int64
	cli := newClient(t, back.Settings{BaseURL: srv.URL, OnConnLost: func() { losses.Add(1) }})
	for range 2 {
		res, err := do(t.Context(), cli, newCall(http.MethodGet, "", testTimeout, nil))
		checkResult(t, res, back.ResultAnswered, err, "", core.OutcomeUnknown)
		if losses.Load() > 0 {
			t.Fatal("a connection was reported as lost while the upstream kept it open")
		}
	}
	srv.CloseClientConnections()
	res, err := do(t.Context(), cli, newCall(http.MethodGet, "", testTimeout, nil))
	checkResult(t, res, back.ResultAnswered, err, "", core.OutcomeUnknown)
	if diff := cmp.Diff(int64(1), losses.Load()); diff != "" {
		t.Errorf("reported lost connections (-want +got):\n%s", diff)
	}
}

type failingReader struct{ err error }

func (fre failingReader) Read([]byte) (int, error) { return 0, fre.err }

// A crash ends all calls in flight at the same time. It must be reported once for all of them, and again only after the
// upstream has answered. The loss of some connections while others stay open is not a crash.
func TestCrashIsReportedOnce(t *testing.T) {
	const calls = 5
	tests := []struct {
		name string
		lost []bool // for each call, whether its connection is lost
		want int64
	}{
		{"all lost", []bool{true, true, true, true, true}, 1},
		{"one lost", []bool{true, false, false, false, false}, 0},
		{"most lost", []bool{true, true, true, true, false}, 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var crashes atomic.Int64
			arrived, lose, finish := make(chan struct{}, calls), make(chan struct{}), make(chan struct{})
			srv := startScriptedServer(t, func(number int, conn net.Conn, req *http.Request) bool {
				if number <= calls {
					arrived <- struct{}{}
					if req.Header.Get("X-Lost") == "true" {
						<-lose
						return false
					}
					<-finish
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			cli := newClient(t, back.Settings{BaseURL: srv.baseURL(), OnCrash: func() { crashes.Add(1) }})
			results := make(chan back.Result, calls)
			for i := range calls {
				hdr := http.Header{"X-Lost": {fmt.Sprint(tst.lost[i])}}
				go func() {
					res, _ := do(t.Context(), cli, newCall(http.MethodPost, "x", testTimeout, hdr))
					results <- res
				}()
			}
			for range calls {
				<-arrived
			}
			close(lose)
			var got []back.Result
			lost := 0
			for _, isLost := range tst.lost {
				if isLost {
					lost++
				}
			}
			for range lost {
				got = append(got, <-results)
			}
			if slices.ContainsFunc(got, func(res back.Result) bool { return res != back.ResultConnReset }) {
				t.Errorf("calls with lost connections ended as %v, want resets", got)
			}
			if crashes.Load() != tst.want {
				t.Errorf("%d crashes were reported, want %d", crashes.Load(), tst.want)
			}
			close(finish)
			for range calls - lost {
				<-results
			}
			if _, err := do(t.Context(), cli, newCall(http.MethodGet, "", testTimeout, nil)); err != nil {
				t.Fatal(err)
			}
			_ = srv.lis.Close()
			cli.Close()
			for range 3 {
				_, _ = do(t.Context(), cli, newCall(http.MethodGet, "", testTimeout, nil))
			}
			if crashes.Load() != tst.want+1 {
				t.Errorf("%d crashes were reported after the upstream stopped, want %d", crashes.Load(), tst.want+1)
			}
		})
	}
}
