package mesh_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
	"amaranthline/io/transport/mesh"
)

// eventTimeout bounds the wait for an event that must occur; a test in which the event does not occur in time fails.
const eventTimeout = 20 * time.Second

type handlerFunc func(ctx context.Context, call *core.Call) (*core.Answer, error)

func (han handlerFunc) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	return han(ctx, call)
}

// fakeControl answers an Offer with an Offer that names the sender, refuses a Pull and has no reply to other messages.
type fakeControl struct {
	leaving   atomic.Bool
	loadReads atomic.Int64 // one for each probe that is sent or answered
}

func (con *fakeControl) HandleControl(_ context.Context, host string, msg proto.Message) (proto.Message, error) {
	switch msg.(type) {
	case *wire.Offer:
		return &wire.Offer{Versions: []*wire.Version{{Name: host}}}, nil
	case *wire.Pull:
		return nil, core.NewRefusal(core.ReasonNoConfiguration, core.OutcomeNotRun, "no document")
	}
	return nil, nil
}

func (con *fakeControl) LocalLoad() (float64, bool) {
	con.loadReads.Add(1)
	return 0.5, con.leaving.Load()
}

// node is a running mesh whose events are counted.
type node struct {
	*mesh.Mesh
	control *fakeControl
	stop    func()
	mut     sync.Mutex
	counts  map[mesh.Event]int
	changed chan struct{} // closed and replaced at each event
}

func (nod *node) count(eve mesh.Event) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	nod.counts[eve]++
	close(nod.changed)
	nod.changed = make(chan struct{})
}

func (nod *node) countOf(eve mesh.Event) int {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	return nod.counts[eve]
}

// awaitCount waits until an event has been counted at least the given number of times.
func (nod *node) awaitCount(t testing.TB, eve mesh.Event, times int) {
	t.Helper()
	limit := time.After(eventTimeout)
	for {
		nod.mut.Lock()
		got, changed := nod.counts[eve], nod.changed
		nod.mut.Unlock()
		if got >= times {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("event %v was counted %d times, want %d", eve, got, times)
		}
	}
}

func startNode(t testing.TB, host string, han handlerFunc, edit func(*mesh.Settings)) *node {
	t.Helper()
	nod := &node{control: &fakeControl{}, counts: map[mesh.Event]int{}, changed: make(chan struct{})}
	set := mesh.Settings{Host: host, Listen: "127.0.0.1:0", Handler: han, Control: nod.control, OnEvent: nod.count}
	if edit != nil {
		edit(&set)
	}
	nod.Mesh = mesh.New(set)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- nod.Run(ctx) }()
	nod.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run of node %s returned %v", host, err)
		}
	})
	t.Cleanup(nod.stop)
	select {
	case <-nod.Ready():
	case <-time.After(eventTimeout):
		t.Fatalf("node %s does not listen in time", host)
	}
	return nod
}

type callResult struct {
	status int
	body   string
	err    error
}

func newRoot(timeout time.Duration) *core.Root {
	now := time.Now()
	return core.NewRoot(core.RootSpec{ID: core.RootID{1}, Team: "verona", Class: "read", Deadline: now.Add(timeout), AdmittedAt: now})
}

func newCall(body string) *core.Call {
	spec := core.CallSpec{
		Root: newRoot(eventTimeout), Service: "stampa", Method: http.MethodPost, Path: "/prints?x=1",
		Header: http.Header{"X-Job": {"a"}, "Connection": {"x-hop"}, "X-Hop": {"1"}}, RetryBudget: 2, Depth: 1, IdempotencyKey: "k",
	}
	if body != "" {
		spec.Body, spec.Length = strings.NewReader(body), int64(len(body))
	}
	return core.NewCall(spec)
}

func echo(_ context.Context, call *core.Call) (*core.Answer, error) {
	body := []byte("empty")
	if call.Body() != nil {
		read, err := io.ReadAll(call.Body())
		if err != nil {
			return nil, err
		}
		body = read
	}
	return newAnswer(bytes.NewReader(body)), nil
}

func newAnswer(body io.Reader) *core.Answer {
	return core.NewAnswer(http.StatusOK, http.Header{"X-Kind": {"echo"}}, io.NopCloser(body), func() core.Feedback {
		return core.NewFeedback(1, 0.25, 2, true)
	})
}

func forwardAndRead(ctx context.Context, nod *node, host string, call *core.Call) (res callResult) {
	ans, err := nod.Forward(ctx, host, call)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = ans.Body().Close() }()
	body, err := io.ReadAll(ans.Body())
	return callResult{status: ans.Status(), body: string(body), err: err}
}

func wantRefusal(t testing.TB, err error, reason core.Reason, out core.Outcome) {
	t.Helper()
	ref := core.AsRefusal(err)
	if err == nil || ref.Reason() != reason || ref.Outcome() != out {
		t.Errorf("got error %v with outcome %v, want reason %s with outcome %v", err, ref.Outcome(), reason, out)
	}
}

// setPeer makes one host the only peer of a node.
func setPeer(nod *node, host, addr string, keep ...string) {
	nod.SetPeers(map[string]string{host: addr}, keep)
}

// Every field of a call, its body in any size and the feedback of the answer must arrive. The admission time must be
// right on the clock of the serving node, although the monotonic clocks of the two nodes have different zeros.
func TestForward(t *testing.T) {
	calls := make(chan *core.Call, 1)
	caller := startNode(t, "h1", echo, nil)
	time.Sleep(100 * time.Millisecond) // so that the zeros of the two clocks differ
	server := startNode(t, "h2", func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		calls <- call
		return echo(ctx, call)
	}, nil)
	setPeer(caller, "h2", server.Addr())
	for _, size := range []int{0, 1, 1 << 10, wire.MaxBodyFrameData, wire.MaxBodyFrameData + 1, 300 << 10, wire.MaxRequestBody} {
		for _, lengthKnown := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, length known %v", size, lengthKnown), func(t *testing.T) {
				body := strings.Repeat("b", size)
				spec := core.CallSpec{Root: newRoot(eventTimeout), Method: http.MethodPost, Path: "/p", Body: strings.NewReader(body), Length: -1}
				if lengthKnown {
					spec.Length = int64(size)
				}
				res := forwardAndRead(t.Context(), caller, "h2", core.NewCall(spec))
				<-calls
				want := body
				if size == 0 && lengthKnown {
					want = "empty"
				}
				if res.err != nil || res.body != want {
					t.Errorf("got a body of %d bytes, error %v", len(res.body), res.err)
				}
			})
		}
	}
	sent, started, rtt := newCall(""), time.Now(), caller.State("h2").RTT()
	ans, err := caller.Forward(t.Context(), "h2", sent)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(ans.Body()); err != nil {
		t.Fatal(err)
	}
	got := <-calls
	type fields struct {
		Service, Method, Path, Key string
		Budget, Depth, Rank        int
		Header, Answer             http.Header
		Feedback                   core.Feedback
	}
	want := fields{
		"stampa", http.MethodPost, "/prints?x=1", "k", 2, 1, wire.UnknownRank,
		http.Header{"X-Job": {"a"}},
		http.Header{"X-Kind": {"echo"}},
		core.NewFeedback(1, 0.25, 2, true),
	}
	have := fields{
		got.Service(), got.Method(), got.Path(), got.IdempotencyKey(), got.RetryBudget(), got.Depth(), got.Rank(),
		got.Header(), ans.Header(), ans.Feedback(),
	}
	if diff := cmp.Diff(want, have, cmp.AllowUnexported(core.Feedback{})); diff != "" {
		t.Errorf("call as served and its answer (-want +got):\n%s", diff)
	}
	// The clock offset comes from the probe with the shortest round-trip time, so that of the last probe bounds its error.
	if off := got.AdmittedAt().Sub(sent.AdmittedAt()).Abs(); off > rtt {
		t.Errorf("the admission time is off by %v, more than the round-trip time of %v", off, rtt)
	}
	if late := got.Deadline().Sub(sent.Deadline()); late < 0 || late > time.Since(started) {
		t.Errorf("the deadline moved by %v, but the call took %v", late, time.Since(started))
	}
}

// Answers that arrive late and out of order must reach only their own calls.
func TestAnswersReachOwnCalls(t *testing.T) {
	const calls = 200
	rnd := mrand.New(mrand.NewPCG(1, 2))
	delays := make([]time.Duration, calls)
	for i := range delays {
		delays[i] = time.Duration(rnd.IntN(50)) * time.Millisecond
	}
	server := startNode(t, "h2", func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		time.Sleep(delays[call.RetryBudget()])
		return echo(ctx, call)
	}, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", newProxy(t, server.Addr(), time.Millisecond).addr())
	got := make([]string, calls)
	want := make([]string, calls)
	var tasks sync.WaitGroup
	for i := range calls {
		want[i] = strings.Repeat(fmt.Sprint(i, " "), 1+i*20)
		tasks.Go(func() {
			res := forwardAndRead(t.Context(), caller, "h2", newCall(want[i]).ForRetry(strings.NewReader(want[i]), i))
			got[i] = res.body
			if res.err != nil {
				t.Error(res.err)
			}
		})
	}
	tasks.Wait()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// A connection that goes silent must be detected within about a second and replaced, with and without calls on it. A
// call that runs goes on and its answer arrives; one that was sent on the silent connection ends as not run.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, callInFlight := range []bool{true, false} {
		t.Run(fmt.Sprintf("with a call in flight %v", callInFlight), func(t *testing.T) {
			arrived, released := make(chan struct{}), make(chan struct{})
			var runs atomic.Int64
			server := startNode(t, "h2", func(ctx context.Context, call *core.Call) (*core.Answer, error) {
				if call.RetryBudget() == 0 {
					runs.Add(1)
					close(arrived)
					<-released
				}
				return echo(ctx, call)
			}, nil)
			caller := startNode(t, "h1", echo, nil)
			pro := newProxy(t, server.Addr(), 0)
			setPeer(caller, "h2", pro.addr(), "h2")
			caller.awaitCount(t, mesh.EventOpened, 1)
			if res := forwardAndRead(t.Context(), caller, "h2", newCall("first")); res.err != nil {
				t.Fatal(res.err)
			}
			ended := make(chan callResult, 1)
			if callInFlight {
				go func() { ended <- forwardAndRead(t.Context(), caller, "h2", newCall("x").ForRetry(nil, 0)) }()
				<-arrived
			}
			pro.stall(t)
			started := time.Now()
			if !callInFlight {
				res := forwardAndRead(t.Context(), caller, "h2", newCall("x").ForRetry(nil, 1))
				wantRefusal(t, res.err, core.ReasonPeerFailed, core.OutcomeNotRun)
			}
			caller.awaitCount(t, mesh.EventProbeTimeout, 1)
			caller.awaitCount(t, mesh.EventOpened, 2)
			if time.Since(started) > 2*time.Second {
				t.Errorf("the silent connection was replaced after %v, want at most 2 s", time.Since(started))
			}
			close(released)
			if callInFlight {
				if res := <-ended; res.err != nil || res.body != "empty" || runs.Load() != 1 {
					t.Errorf("the call in flight gave %+v after %d runs, want its answer after one", res, runs.Load())
				}
			}
			if res := forwardAndRead(t.Context(), caller, "h2", newCall("again")); res.err != nil || res.body != "again" {
				t.Errorf("a call on the new connection gave %+v", res)
			}
			if !caller.State("h2").Up() {
				t.Error("the peer is not up after the connection was replaced")
			}
		})
	}
}

// Control messages on a connection without calls must not delay its probes beyond a second, because only probes show the
// load of a peer that gets no calls.
func TestControlMessagesDoNotDelayProbes(t *testing.T) {
	const (
		handshakeProbes = 2                       // the one with Hello, and the first of the session
		messageDelay    = 650 * time.Millisecond  // after a probe; the next check is 250 ms later
		maxInterval     = 1500 * time.Millisecond // a second, and time for a busy machine
	)
	server := startNode(t, "h2", echo, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr(), "h2")
	awaitProbe := func(count int64) time.Time {
		for limit := time.Now().Add(eventTimeout); server.control.loadReads.Load() < count; time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatalf("probe %d did not arrive in time", count)
			}
		}
		return time.Now()
	}
	last := awaitProbe(handshakeProbes)
	for count := int64(handshakeProbes + 1); count <= handshakeProbes+3; count++ {
		time.Sleep(messageDelay)
		if _, err := caller.Exchange(t.Context(), "h2", &wire.Offer{}); err != nil {
			t.Fatal(err)
		}
		arrived := awaitProbe(count)
		if arrived.Sub(last) > maxInterval {
			t.Errorf("probe %d arrived %v after the one before, want at most %v", count, arrived.Sub(last), maxInterval)
		}
		last = arrived
	}
}

// The serving side must end a session whose peer stops probing, and the calls on it, although nothing closes the
// connection.
func TestServerEndsSilentSession(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	server := startNode(t, "h2", func(ctx context.Context, _ *core.Call) (*core.Answer, error) {
		close(arrived)
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	}, nil)
	caller := startNode(t, "h1", echo, nil)
	pro := newProxy(t, server.Addr(), 0)
	setPeer(caller, "h2", pro.addr())
	result := make(chan error, 1)
	go func() { result <- forwardAndRead(t.Context(), caller, "h2", newCall("x")).err }()
	<-arrived
	pro.refuse()
	pro.stall(t)
	<-cancelled
	server.awaitCount(t, mesh.EventClosed, 1)
	wantRefusal(t, <-result, core.ReasonPeerFailed, core.OutcomeUnknown)
}

// A connection that SetPeers does not keep must close when it is unused, the state of its peer must become unknown, and
// the next call must open it again.
func TestUnusedConnectionCloses(t *testing.T) {
	server := startNode(t, "h2", echo, nil)
	caller := startNode(t, "h1", echo, func(set *mesh.Settings) { set.IdleTimeout = time.Millisecond })
	setPeer(caller, "h2", server.Addr())
	for i := range 2 {
		if res := forwardAndRead(t.Context(), caller, "h2", newCall("x")); res.err != nil {
			t.Fatal(res.err)
		}
		caller.awaitCount(t, mesh.EventClosed, i+1)
		for limit := time.Now().Add(eventTimeout); caller.State("h2").Known(); time.Sleep(time.Millisecond) {
			if time.Now().After(limit) {
				t.Fatal("the state of an unused peer is still known")
			}
		}
	}
	setPeer(caller, "h2", server.Addr(), "h2")
	caller.awaitCount(t, mesh.EventOpened, 3)
	setPeer(caller, "h9", server.Addr())
	caller.awaitCount(t, mesh.EventClosed, 3)
}

// One peer must not occupy a node with an unbounded number of calls or sessions. Calls above the bound are refused before
// they are sent; a session above the bound ends the oldest one of its host.
func TestSessionsAndCallsAreBounded(t *testing.T) {
	const maxCalls, maxSessions = 1024, 4
	arrived, release := make(chan struct{}, maxCalls), make(chan struct{})
	server := startNode(t, "h2", func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		arrived <- struct{}{}
		<-release
		return echo(ctx, call)
	}, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr())
	results := make(chan error, maxCalls)
	for range maxCalls {
		go func() { results <- forwardAndRead(t.Context(), caller, "h2", newCall("x")).err }()
	}
	for range maxCalls {
		<-arrived
	}
	wantRefusal(t, forwardAndRead(t.Context(), caller, "h2", newCall("x")).err, core.ReasonOverload, core.OutcomeNotRun)
	close(release)
	for range maxCalls {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	for i := range maxSessions + 1 {
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		mux, _ := yamux.Client(conn, nil)
		defer func() { _ = mux.Close() }()
		str, err := mux.OpenStream()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = str.Write(encodeFrame(&wire.Hello{Host: "h7"}))
		server.awaitCount(t, mesh.EventOpened, i+2)
	}
	server.awaitCount(t, mesh.EventClosed, 1)
}

type failingReader struct{ err error }

func (fai failingReader) Read([]byte) (int, error) { return 0, fai.err }

// An answer that the upstream or the end of the connection cuts short, or that is longer than the bound, must end with
// an error and never as a short success.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	tests := []struct {
		name          string
		tail          io.Reader
		cutConnection bool
		reason        core.Reason
	}{
		{"upstream fails", failingReader{core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "reset")}, false, core.ReasonUpstreamFailed},
		{"connection cut", nil, true, core.ReasonTruncated},
		{"answer longer than the bound", io.LimitReader(zeroReader{}, wire.MaxAnswerBody), false, core.ReasonTruncated},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			server := startNode(t, "h2", func(ctx context.Context, _ *core.Call) (*core.Answer, error) {
				tail := tst.tail
				if tail == nil {
					tail = blockedReader{ctx}
				}
				return newAnswer(io.MultiReader(strings.NewReader("part"), tail)), nil
			}, nil)
			caller := startNode(t, "h1", echo, nil)
			pro := newProxy(t, server.Addr(), 0)
			setPeer(caller, "h2", pro.addr())
			ans, err := caller.Forward(t.Context(), "h2", newCall("x"))
			if err != nil {
				t.Fatal(err)
			}
			part := make([]byte, 4)
			if _, err := io.ReadFull(ans.Body(), part); err != nil {
				t.Fatal(err)
			}
			if tst.cutConnection {
				pro.refuse()
				pro.cut()
			}
			_, err = io.Copy(io.Discard, ans.Body())
			wantRefusal(t, err, tst.reason, core.OutcomeUnknown)
		})
	}
}

type zeroReader struct{}

func (zeroReader) Read(data []byte) (int, error) { return len(data), nil }

// blockedReader blocks until ctx ends.
type blockedReader struct{ ctx context.Context }

func (blr blockedReader) Read([]byte) (int, error) {
	<-blr.ctx.Done()
	return 0, blr.ctx.Err()
}

// A call to a peer that refuses connections must end with the outcome not run, and the state of the peer must show that
// it is not up as soon as the connection has ended.
func TestRefusedConnection(t *testing.T) {
	server := startNode(t, "h2", echo, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr(), "h2")
	caller.awaitCount(t, mesh.EventOpened, 1)
	if pst := caller.State("h2"); !pst.Up() || pst.Load() != 0.5 || pst.RTT() <= 0 {
		t.Errorf("state while the peer runs: %+v", pst)
	}
	server.stop()
	caller.awaitCount(t, mesh.EventClosed, 1)
	err := forwardAndRead(t.Context(), caller, "h2", newCall("x")).err
	wantRefusal(t, err, core.ReasonPeerFailed, core.OutcomeNotRun)
	if pst := caller.State("h2"); !pst.Known() || pst.Up() {
		t.Errorf("state after the peer has stopped: %+v", pst)
	}
	err = forwardAndRead(t.Context(), caller, "h9", newCall("x")).err
	wantRefusal(t, err, core.ReasonPeerFailed, core.OutcomeNotRun)
	setPeer(caller, "h9", server.Addr())
	if pst := caller.State("h2"); pst.Known() {
		t.Errorf("a host that is not listed any more has state %+v", pst)
	}
}

// A host that accepts connections and never answers must not delay a call for longer than the dial timeout.
func TestSilentHostFailsDial(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", lis.Addr().String())
	started := time.Now()
	wantRefusal(t, forwardAndRead(t.Context(), caller, "h2", newCall("x")).err, core.ReasonPeerFailed, core.OutcomeNotRun)
	if elapsed := time.Since(started); elapsed > time.Second {
		t.Errorf("the call failed after %v, want at most 1 s", elapsed)
	}
	if pst := caller.State("h2"); !pst.Known() || pst.Up() {
		t.Errorf("state of the silent host: %+v, want known and not up", pst)
	}
}

// The end of the caller's context must reach the handler, also while the body streams. The caller's error must say
// whether the call was cancelled or its deadline passed.
func TestCancellationReachesServer(t *testing.T) {
	tests := []struct {
		name    string
		body    io.Reader
		length  int64
		reason  core.Reason
		timeout time.Duration
	}{
		{"cancelled after the request", strings.NewReader("x"), 1, core.ReasonCancelled, eventTimeout},
		{"cancelled while the body streams", io.MultiReader(strings.NewReader("x"), blockedReader{t.Context()}), -1, core.ReasonCancelled, eventTimeout},
		{"deadline", strings.NewReader("x"), 1, core.ReasonDeadline, 200 * time.Millisecond},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			arrived, cancelled := make(chan struct{}), make(chan struct{})
			server := startNode(t, "h2", func(ctx context.Context, _ *core.Call) (*core.Answer, error) {
				close(arrived)
				<-ctx.Done()
				close(cancelled)
				return nil, ctx.Err()
			}, nil)
			caller := startNode(t, "h1", echo, nil)
			setPeer(caller, "h2", server.Addr())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tst.reason == core.ReasonCancelled {
				go func() {
					<-arrived
					cancel()
				}()
			}
			call := core.NewCall(core.CallSpec{Root: newRoot(tst.timeout), Method: http.MethodPost, Path: "/p", Body: tst.body, Length: tst.length})
			wantRefusal(t, forwardAndRead(ctx, caller, "h2", call).err, tst.reason, core.OutcomeUnknown)
			<-cancelled
		})
	}
}

// A request that exceeds a bound, or whose body does not have the announced length, must fail without ending the
// session, which other calls use.
func TestRequestBounds(t *testing.T) {
	server := startNode(t, "h2", echo, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr())
	tooLarge := http.Header{"X-Large": {strings.Repeat("a", wire.MaxControlFrame)}}
	tests := []struct {
		name   string
		spec   core.CallSpec
		reason core.Reason
		out    core.Outcome
	}{
		{"announced too long", core.CallSpec{Body: zeroReader{}, Length: wire.MaxRequestBody + 1}, core.ReasonBodyTooLarge, core.OutcomeNotRun},
		{"too long without announcement", core.CallSpec{Body: zeroReader{}, Length: -1}, core.ReasonBodyTooLarge, core.OutcomeUnknown},
		{"shorter than announced", core.CallSpec{Body: strings.NewReader("x"), Length: 9}, core.ReasonBadRequest, core.OutcomeUnknown},
		{"longer than announced", core.CallSpec{Body: strings.NewReader("xyz"), Length: 2}, core.ReasonBadRequest, core.OutcomeUnknown},
		{"head too long", core.CallSpec{Header: tooLarge}, core.ReasonHeaderTooLarge, core.OutcomeNotRun},
		{"no time left", core.CallSpec{Root: newRoot(-time.Second)}, core.ReasonDeadline, core.OutcomeNotRun},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			if tst.spec.Root == nil {
				tst.spec.Root = newRoot(eventTimeout)
			}
			wantRefusal(t, forwardAndRead(t.Context(), caller, "h2", core.NewCall(tst.spec)).err, tst.reason, tst.out)
		})
	}
	if res := forwardAndRead(t.Context(), caller, "h2", newCall("fine")); res.err != nil {
		t.Error(res.err)
	}
	if opened, malformed := caller.countOf(mesh.EventOpened), server.countOf(mesh.EventProtocolViolation); opened != 1 || malformed != 0 {
		t.Errorf("%d sessions were opened and %d protocol violations counted, want 1 and 0", opened, malformed)
	}
}

func encodeFrame(msg proto.Message) []byte {
	var buf bytes.Buffer
	_ = wire.NewWriter(&buf).Write(msg)
	return buf.Bytes()
}

// Garbage on the peer port must end only its own session, must be counted, and must run no call.
func TestGarbageEndsOnlyItsSession(t *testing.T) {
	var ran atomic.Int64
	server := startNode(t, "h2", func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		ran.Add(1)
		return echo(ctx, call)
	}, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr(), "h2")
	caller.awaitCount(t, mesh.EventOpened, 1)
	hello := encodeFrame(&wire.Hello{Host: "h7"})
	tests := []struct {
		name    string
		raw     []byte
		streams [][]byte
		event   mesh.Event
	}{
		{"not yamux", []byte("GET / HTTP/1.1\r\n\r\n"), nil, mesh.EventProtocolViolation},
		{"silent handshake", []byte{}, nil, mesh.EventHandshakeFailed},
		{"no hello", nil, [][]byte{encodeFrame(&wire.Done{})}, mesh.EventHandshakeFailed},
		{"garbage for hello", nil, [][]byte{[]byte("garbage!")}, mesh.EventProtocolViolation},
		{"garbage for a probe", nil, [][]byte{append(hello, "garbage!"...)}, mesh.EventProtocolViolation},
		{"garbage for a call", nil, [][]byte{hello, []byte("garbage!")}, mesh.EventProtocolViolation},
		{"call with a short root id", nil, [][]byte{hello, encodeFrame(&wire.CallHead{RootId: []byte{1}, RemainingNanos: 1e9})}, mesh.EventProtocolViolation},
		{"answer for a call", nil, [][]byte{hello, encodeFrame(&wire.AnswerEnd{})}, mesh.EventProtocolViolation},
		{"frame of 4 GiB", nil, [][]byte{hello, binary.BigEndian.AppendUint32(nil, 1<<32-1)}, mesh.EventProtocolViolation},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			before := server.countOf(tst.event)
			conn, err := net.Dial("tcp", server.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if tst.raw != nil {
				_, _ = conn.Write(tst.raw)
			} else {
				mux, _ := yamux.Client(conn, nil)
				defer func() { _ = mux.Close() }()
				for _, data := range tst.streams {
					str, err := mux.OpenStream()
					if err != nil {
						t.Fatal(err)
					}
					_, _ = str.Write(data)
				}
			}
			server.awaitCount(t, tst.event, before+1)
		})
	}
	if res := forwardAndRead(t.Context(), caller, "h2", newCall("fine")); res.err != nil {
		t.Error(res.err)
	}
	if ran.Load() != 1 || caller.countOf(mesh.EventOpened) != 1 {
		t.Errorf("%d calls ran and the caller opened %d sessions, want 1 and 1", ran.Load(), caller.countOf(mesh.EventOpened))
	}
}

// testCA issues certificates.
type testCA struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(t testing.TB) *testCA {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, Subject: pkix.Name{CommonName: "ca"},
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	return &testCA{key: key, cert: cert}
}

func (tca *testCA) tlsConfig(t testing.TB, tpl *x509.Certificate) *tls.Config {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	tpl.SerialNumber, tpl.NotAfter = big.NewInt(2), time.Now().Add(time.Hour)
	tpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tca.cert, &key.PublicKey, tca.key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(tca.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
	}
}

// Only a peer that proves its host id by a certificate of the configured CA may call or be called.
func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newTestCA(t), newTestCA(t)
	withDNSName := func(name string) *x509.Certificate { return &x509.Certificate{DNSNames: []string{name}} }
	withCommonName := &x509.Certificate{Subject: pkix.Name{CommonName: "h1"}}
	noCertificate := trusted.tlsConfig(t, withDNSName("h1"))
	noCertificate.Certificates = nil
	withServerTLS := func(set *mesh.Settings) { set.ServerTLS = trusted.tlsConfig(t, withDNSName("h2")) }
	tests := []struct {
		name        string
		client      *tls.Config
		dialedHost  string
		wantSuccess bool
	}{
		{"DNS name", trusted.tlsConfig(t, withDNSName("h1")), "h2", true},
		{"common name", trusted.tlsConfig(t, withCommonName), "h2", true},
		{"spoofed Hello", trusted.tlsConfig(t, withDNSName("h3")), "h2", false},
		{"certificate of another CA", untrusted.tlsConfig(t, withDNSName("h1")), "h2", false},
		{"no certificate", noCertificate, "h2", false},
		{"no TLS", nil, "h2", false},
		{"another host at the address", trusted.tlsConfig(t, withDNSName("h1")), "h4", false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			server := startNode(t, "h2", echo, withServerTLS)
			caller := startNode(t, "h1", echo, func(set *mesh.Settings) { set.ClientTLS = tst.client })
			setPeer(caller, tst.dialedHost, server.Addr())
			res := forwardAndRead(t.Context(), caller, tst.dialedHost, newCall("x"))
			if tst.wantSuccess != (res.err == nil) {
				t.Fatalf("the call got error %v, want success %v", res.err, tst.wantSuccess)
			}
			if !tst.wantSuccess {
				wantRefusal(t, res.err, core.ReasonPeerFailed, core.OutcomeNotRun)
			}
		})
	}
}

// Without TLS neither side may use an address outside loopback.
func TestInsecureAddressIsRefused(t *testing.T) {
	var ins *mesh.InsecureError
	err := mesh.New(mesh.Settings{Listen: "0.0.0.0:0", Control: &fakeControl{}}).Run(t.Context())
	if !errors.As(err, &ins) {
		t.Errorf("listening outside loopback without TLS gave %v, want an InsecureError", err)
	}
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", "192.0.2.1:7002")
	res := forwardAndRead(t.Context(), caller, "h2", newCall("x"))
	wantRefusal(t, res.err, core.ReasonPeerFailed, core.OutcomeNotRun)
	if !errors.As(res.err, &ins) {
		t.Errorf("dialling outside loopback without TLS gave %v, want an InsecureError", res.err)
	}
}

// Exchange must return the handler's reply, nil if the handler gives none, or the handler's refusal. A control message
// that is too long must be refused.
func TestExchange(t *testing.T) {
	server := startNode(t, "h2", echo, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr())
	rep, err := caller.Exchange(t.Context(), "h2", &wire.Offer{})
	if off, ok := rep.(*wire.Offer); err != nil || !ok || off.GetVersions()[0].GetName() != "h1" {
		t.Errorf("Offer got reply %v, error %v", rep, err)
	}
	// A kind of message that the serving side does not accept would end the session and with it other calls.
	for _, msg := range []proto.Message{&wire.Document{}, &wire.ServiceLists{}, &wire.Contact{}, &wire.LoanOffer{}, &wire.LoanRequest{}} {
		if _, err := caller.Exchange(t.Context(), "h2", msg); err != nil {
			t.Errorf("%T: %v", msg, err)
		}
	}
	if rep, err := caller.Exchange(t.Context(), "h2", &wire.Suspect{}); rep != nil || err != nil {
		t.Errorf("a message without reply got reply %v, error %v", rep, err)
	}
	_, err = caller.Exchange(t.Context(), "h2", &wire.Pull{})
	wantRefusal(t, err, core.ReasonNoConfiguration, core.OutcomeNotRun)
	_, err = caller.Exchange(t.Context(), "h2", &wire.Suspect{Fingerprint: make([]byte, wire.MaxControlFrame)})
	wantRefusal(t, err, core.ReasonBadRequest, core.OutcomeUnknown)
}

// A graceful shutdown must wait for the call in flight, and peers must see that the node is leaving.
func TestDrainWaitsForCalls(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := startNode(t, "h2", func(ctx context.Context, call *core.Call) (*core.Answer, error) {
		close(arrived)
		<-release
		return echo(ctx, call)
	}, nil)
	caller := startNode(t, "h1", echo, nil)
	setPeer(caller, "h2", server.Addr(), "h2")
	result := make(chan callResult, 1)
	go func() { result <- forwardAndRead(t.Context(), caller, "h2", newCall("x")) }()
	<-arrived
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(t.Context()) }()
	for limit := time.Now().Add(eventTimeout); !caller.State("h2").Leaving(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the caller does not see that the serving node is leaving")
		}
	}
	select {
	case err := <-drained:
		t.Fatalf("Drain returned %v with a call in flight", err)
	default:
	}
	close(release)
	if res := <-result; res.err != nil {
		t.Error(res.err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// All goroutines of a mesh must end with the context of Run, also with calls in flight and a peer that refuses
// connections.
func TestNoGoroutineOutlivesRun(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("nodes", func(t *testing.T) {
		arrived := make(chan struct{}, 8)
		server := startNode(t, "h2", func(ctx context.Context, _ *core.Call) (*core.Answer, error) {
			arrived <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}, nil)
		caller := startNode(t, "h1", echo, nil)
		caller.SetPeers(map[string]string{"h2": server.Addr(), "h3": "127.0.0.1:1"}, []string{"h2", "h3"})
		results := make(chan error, 8)
		for range cap(results) {
			go func() { results <- forwardAndRead(context.Background(), caller, "h2", newCall("x")).err }()
		}
		for range cap(results) {
			<-arrived
		}
		server.stop()
		for range cap(results) {
			if <-results == nil {
				t.Error("a call to a stopped node succeeded")
			}
		}
	})
	for limit := time.Now().Add(eventTimeout); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			stacks := make([]byte, 1<<20)
			t.Fatalf("%d goroutines before the nodes ran, %d after:\n%s", before, runtime.NumGoroutine(), stacks[:runtime.Stack(stacks, true)])
		}
	}
}

// BenchmarkForward measures a call with a body of 1 KiB over loopback, with one call and with 64 calls at a time.
func BenchmarkForward(b *testing.B) {
	for _, concurrency := range []int{1, 64} {
		b.Run(fmt.Sprintf("calls=%d", concurrency), func(b *testing.B) {
			server := startNode(b, "h2", echo, nil)
			caller := startNode(b, "h1", echo, nil)
			setPeer(caller, "h2", server.Addr(), "h2")
			body := strings.Repeat("b", 1<<10)
			if res := forwardAndRead(b.Context(), caller, "h2", newCall(body)); res.err != nil {
				b.Fatal(res.err)
			}
			latencies := make([]time.Duration, b.N)
			var next atomic.Int64
			var tasks sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for range concurrency {
				tasks.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						started := time.Now()
						if res := forwardAndRead(b.Context(), caller, "h2", newCall(body)); res.err != nil {
							b.Error(res.err)
							return
						}
						latencies[i] = time.Since(started)
					}
				})
			}
			tasks.Wait()
			b.StopTimer()
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
			perCore := float64(b.N) / b.Elapsed().Seconds() / float64(runtime.GOMAXPROCS(0))
			b.ReportMetric(perCore, "calls/s/core")
		})
	}
}
