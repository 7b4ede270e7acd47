package inlet_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/memory"
	"amaranthline/io/transport/inlet"

	"github.com/google/go-cmp/cmp"
)

// limited is a server on loopback whose connections have limits.
type limited struct {
	t      testing.TB
	addr   string
	limits *inlet.Limits

	mut sync.Mutex
	met map[inlet.Limit]int
}

// division divides a machine that is small enough for tests to use its parts up: 64 connections, 4 MiB for requests and 1
// MiB for unfinished heads.
func division() memory.Division { return memory.Divide(8, 0, 0) }

func serveLimited(t testing.TB, handler http.HandlerFunc) *limited {
	t.Helper()
	return serveLimitedPausing(t, headTimeout, handler)
}

func serveLimitedPausing(t testing.TB, writePause time.Duration, handler http.HandlerFunc) *limited {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lmd := &limited{t: t, addr: raw.Addr().String(), met: map[inlet.Limit]int{}}
	lmd.limits = inlet.NewLimits(division(), func(lim inlet.Limit, _ net.Addr) {
		lmd.mut.Lock()
		defer lmd.mut.Unlock()
		lmd.met[lim]++
	})
	set := settings()
	set.Limits, set.WritePause = lmd.limits, writePause
	set.MaxHeadBytes = 16 << 10
	set.Refuse = func(ref *core.Refusal) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", ref.Status(), ref.Outcome())
	}
	ser := server(handler)
	done := make(chan struct{})
	go func() { defer close(done); _ = ser.Serve(inlet.Listen(raw, set)) }()
	t.Cleanup(func() {
		_ = ser.Close()
		<-done
	})
	return lmd
}

func (lmd *limited) dial() net.Conn {
	lmd.t.Helper()
	con, err := net.Dial("tcp", lmd.addr)
	if err != nil {
		lmd.t.Fatal(err)
	}
	_ = con.SetDeadline(time.Now().Add(10 * time.Second))
	lmd.t.Cleanup(func() { _ = con.Close() })
	return con
}

// send sends a text on a new connection and returns the status line of the answer, or "closed".
func (lmd *limited) send(text string) string {
	lmd.t.Helper()
	con := lmd.dial()
	defer con.Close()
	go func() { _, _ = io.WriteString(con, text) }() // the answer may come before everything is sent
	return statusOf(con)
}

func statusOf(con net.Conn) string {
	line, err := bufio.NewReader(con).ReadString('\n')
	if err != nil {
		return "closed"
	}
	return strings.TrimSpace(strings.TrimPrefix(line, "HTTP/1.1 "))
}

func (lmd *limited) count(lim inlet.Limit) int {
	lmd.mut.Lock()
	defer lmd.mut.Unlock()
	return lmd.met[lim]
}

// await waits until a condition holds.
func (lmd *limited) await(what string, condition func() bool) {
	lmd.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			lmd.t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// shortLines returns header lines of four bytes.
func shortLines(size int) string { return strings.Repeat("a:\r\n", size/len("a:\r\n")) }

func answerOK(wri http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wri, "answer") }

// Guards against limits that a caller inside the pages' limits meets, and against heads beyond them that cost more than
// their refusal.
func TestHeadLimits(t *testing.T) {
	lmd := serveLimited(t, answerOK)
	start := "GET / HTTP/1.1\r\nHost: a\r\n"
	for _, tst := range []struct{ name, text, want string }{
		{"ordinary", start + "\r\n", "200 OK"},
		{"shortest lines up to the limit", start + shortLines(15<<10) + "\r\n", "200 OK"},
		{"few long lines up to the limit", start + "x: " + strings.Repeat("y", 15<<10) + "\r\n\r\n", "200 OK"},
		{"some empty lines", "\r\n\r\n\n" + start + "\r\n", "200 OK"},
		{"many empty lines", strings.Repeat("\r\n", 40) + start + "\r\n", "400 not-run"},
		{"endless empty lines", strings.Repeat("\n", 100<<10), "400 not-run"},
		{"lines beyond the limit", start + shortLines(20<<10) + "\r\n", "431 not-run"},
		{"endless lines", start + shortLines(1<<20), "431 not-run"},
		{"endless line", start + strings.Repeat("y", 1<<20), "431 not-run"},
		{"incomplete head", start, "408 not-run"},
		{"first byte", "G", "408 not-run"},
	} {
		if diff := cmp.Diff(tst.want, lmd.send(tst.text)); diff != "" {
			t.Errorf("%s: %s", tst.name, diff)
		}
	}
	lmd.await("everything is given back", func() bool {
		return lmd.limits.Connections() == 0 && lmd.limits.HeadBytes() == 0 && lmd.limits.RequestBytes() == 0
	})
}

// Guards against costly heads that together exceed the budget, against ordinary requests that are refused because of them,
// and against a budget that does not come back.
func TestCostlyHeadsShareABudget(t *testing.T) {
	release := make(chan struct{})
	lmd := serveLimited(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			<-release
		}
		answerOK(wri, req)
	})
	costly := "GET /wait HTTP/1.1\r\nHost: a\r\n" + shortLines(15<<10) + "\r\n"
	statuses := make(chan string, 6)
	for range 6 {
		go func() { statuses <- lmd.send(costly) }()
	}
	got := []string{}
	for range 4 { // the budget of 4 MiB has room for two heads of 1.3 MiB and not for a fourth
		select {
		case sta := <-statuses:
			got = append(got, sta)
		case <-time.After(500 * time.Millisecond):
		}
	}
	if len(got) < 2 {
		t.Errorf("%d of 6 costly requests were refused, want at least 2", len(got))
	}
	for _, sta := range got {
		if diff := cmp.Diff("503 not-run", sta); diff != "" {
			t.Error(diff)
		}
	}
	if used, limit := lmd.limits.RequestBytes(), division().RequestBytes(); used > limit || used == 0 {
		t.Errorf("%d bytes of %d are used", used, limit)
	}
	if diff := cmp.Diff("200 OK", lmd.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); diff != "" {
		t.Errorf("ordinary request beside them: %s", diff)
	}
	close(release)
	for range 6 - len(got) {
		if diff := cmp.Diff("200 OK", <-statuses); diff != "" {
			t.Errorf("request that was passed on: %s", diff)
		}
	}
	lmd.await("the budget is given back", func() bool { return lmd.limits.RequestBytes() == 0 })
	if diff := cmp.Diff("200 OK", lmd.send(strings.ReplaceAll(costly, "/wait", "/"))); diff != "" {
		t.Errorf("a single costly request: %s", diff)
	}
}

// Guards against unfinished heads that together exceed their budget, and against a request that is shed for them although
// it has been passed on or holds little.
func TestUnfinishedHeadsAreShed(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	lmd := serveLimited(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			close(begun)
			<-release
		}
		answerOK(wri, req)
	})
	passedOn := lmd.dial()
	_, _ = io.WriteString(passedOn, "GET /wait HTTP/1.1\r\nHost: a\r\nx: "+strings.Repeat("y", 9<<10)+"\r\n\r\n")
	<-begun
	for range 60 {
		con := lmd.dial()
		_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\nx: "+strings.Repeat("y", 15<<10))
	}
	for range 64 { // several rounds, each within the time limit of heads
		con := lmd.dial()
		_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\nx: "+strings.Repeat("y", 15<<10))
		if used, limit := lmd.limits.HeadBytes(), division().HeadBytes(); used > limit {
			t.Fatalf("%d bytes of %d are used", used, limit)
		}
	}
	if diff := cmp.Diff("200 OK", lmd.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); diff != "" {
		t.Errorf("ordinary request beside them: %s", diff)
	}
	close(release)
	if diff := cmp.Diff("200 OK", statusOf(passedOn)); diff != "" {
		t.Errorf("request that was passed on: %s", diff)
	}
}

// Guards against more connections than descriptors allow, against new callers that get none because others keep theirs
// idle, and against the end of a connection whose request was passed on.
func TestConnectionsThatHaveShownLeastMakeRoom(t *testing.T) {
	most := division().Connections()
	begun, release := make(chan struct{}), make(chan struct{})
	lmd := serveLimited(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			begun <- struct{}{}
			<-release
		}
		answerOK(wri, req)
	})
	busy := lmd.dial()
	_, _ = io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	idle := lmd.dial()
	_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if diff := cmp.Diff("200 OK", statusOf(idle)); diff != "" {
		t.Fatal(diff)
	}
	for range 2 * most { // connections that send nothing
		lmd.dial()
		if got := lmd.limits.Connections(); got > most {
			t.Fatalf("%d connections are open, want at most %d", got, most)
		}
	}
	lmd.await("connections were closed", func() bool { return lmd.count(inlet.LimitConnections) > most })
	for name, con := range map[string]net.Conn{"used": idle, "new": lmd.dial()} {
		_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if diff := cmp.Diff("200 OK", statusOf(con)); diff != "" {
			t.Errorf("%s connection: %s", name, diff)
		}
	}
	for range most - 1 { // all connections have a request that was passed on
		con := lmd.dial()
		_, _ = io.WriteString(con, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		<-begun
	}
	if diff := cmp.Diff("closed", lmd.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); diff != "" {
		t.Errorf("connection beyond the limit: %s", diff)
	}
	close(release)
	if diff := cmp.Diff("200 OK", statusOf(busy)); diff != "" {
		t.Errorf("request that was passed on: %s", diff)
	}
	lmd.await("there is room again", func() bool { return lmd.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n") == "200 OK" })
}

// Guards against an answer that is held for as long as its caller does not read, and against an end of one that is read on
// slowly.
func TestUnreadAnswerEnds(t *testing.T) {
	failed := make(chan error, 2)
	lmd := serveLimited(t, func(wri http.ResponseWriter, _ *http.Request) {
		_, err := wri.Write(make([]byte, 32<<20))
		failed <- err
	})
	unread := lmd.dial()
	_, _ = io.WriteString(unread, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case err := <-failed:
		if err == nil {
			t.Error("32 MiB that nobody reads were written")
		}
	case <-time.After(10 * time.Second):
		t.Error("the answer that nobody reads did not end")
	}
	if diff := cmp.Diff(1, lmd.count(inlet.LimitUnread)); diff != "" {
		t.Error(diff)
	}
	slow := lmd.dial()
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	buf, got := make([]byte, 2<<20), 0
	for got < 32<<20 {
		count, err := slow.Read(buf)
		if err != nil {
			t.Fatalf("the answer that is read on ended after %d bytes: %v", got, err)
		}
		got += count
		time.Sleep(time.Duration(count) * headTimeout / (8 << 20)) // 1.2 s for all
	}
	if err := <-failed; err != nil {
		t.Errorf("the answer that is read on ended: %v", err)
	}
}

// Guards against an unread answer without a time limit on a connection that was used before: net/http takes the deadline of
// writes back after each answer.
func TestUnreadAnswerEndsOnUsedConnection(t *testing.T) {
	failed := make(chan error, 1)
	lmd := serveLimited(t, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/short" {
			answerOK(wri, req)
			return
		}
		_, err := wri.Write(make([]byte, 32<<20))
		failed <- err
	})
	con := lmd.dial()
	_, _ = io.WriteString(con, "GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
	if diff := cmp.Diff("200 OK", statusOf(con)); diff != "" {
		t.Fatal(diff)
	}
	_, _ = io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case err := <-failed:
		if err == nil {
			t.Error("32 MiB that nobody reads were written")
		}
	case <-time.After(10*headTimeout + 2*time.Second):
		t.Error("the answer that nobody reads did not end")
	}
}

// Guards against input that makes the framing hold more than its limits, panic or never end.
func FuzzConn(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\n\r\n\r\n", strings.Repeat("\n", 40), "GET / HTTP/1.1\r\n" + shortLines(20<<10), "GET " + strings.Repeat("/", 20<<10),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "A\x00\xff\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
	} {
		f.Add([]byte(seed), uint16(7))
		f.Add([]byte(strings.Repeat(seed, 3)), uint16(4000))
	}
	f.Fuzz(func(t *testing.T, input []byte, part uint16) {
		defer time.AfterFunc(15*time.Second, func() { panic("the connection hangs") }).Stop()
		limits := inlet.NewLimits(division(), nil)
		set := settings()
		set.Limits, set.Refuse = limits, func(*core.Refusal) []byte {
			return []byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}
		pli := newPipeListener()
		ser := server(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			if size := len(fmt.Sprint(req.Header)); size > 8*maxHeadBytes {
				t.Errorf("a head of %d bytes was passed on", size)
			}
			_, _ = io.Copy(io.Discard, req.Body)
		}))
		done := make(chan struct{})
		go func() { defer close(done); _ = ser.Serve(inlet.Listen(pli, set)) }()
		con := pli.dial()
		drained := make(chan struct{})
		go func() { defer close(drained); _, _ = io.Copy(io.Discard, con) }()
		_ = con.SetWriteDeadline(time.Now().Add(5 * time.Second))
		for rest := input; len(rest) > 0; {
			size := min(int(part)%(8<<10)+1, len(rest))
			if _, err := con.Write(rest[:size]); err != nil {
				if errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe) {
					break
				}
				t.Fatalf("the connection is not read on: %v", err)
			}
			if held := limits.HeadBytes(); held > maxHeadBytes+settings().ReadAheadBytes {
				t.Fatalf("the connection holds %d bytes", held)
			}
			rest = rest[size:]
		}
		_ = con.Close()
		_ = ser.Close()
		<-done
		<-drained
		for start := time.Now(); limits.Connections() > 0 || limits.HeadBytes() > 0 || limits.RequestBytes() > 0; time.Sleep(time.Millisecond) {
			if time.Since(start) > 5*time.Second {
				t.Fatalf("%d connections, %d and %d bytes are not given back", limits.Connections(), limits.HeadBytes(), limits.RequestBytes())
			}
		}
	})
}

// BenchmarkRequests measures requests on one connection, whose head is ordinary.
func BenchmarkRequests(b *testing.B) {
	head := []byte("GET /a HTTP/1.1\r\nHost: a.example\r\nCall-Id: 9c41d07be2a35f68\r\nRequest-Timeout: 6000\r\nAuthorization: 6wsjnbanfqasnmgkcuyj\r\nAccept: */*\r\nUser-Agent: caller\r\n\r\n")
	run := func(b *testing.B, addr string) {
		con, err := net.Dial("tcp", addr)
		if err != nil {
			b.Fatal(err)
		}
		defer con.Close()
		reader := bufio.NewReader(con)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := con.Write(head); err != nil {
				b.Fatal(err)
			}
			rsp, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, rsp.Body)
			_ = rsp.Body.Close()
		}
	}
	for _, kind := range []string{"plain", "framed"} {
		b.Run(kind, func(b *testing.B) {
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			lis := raw
			if kind == "framed" {
				lis = inlet.Listen(raw, settings())
			}
			ser := server(http.HandlerFunc(answerOK))
			go func() { _ = ser.Serve(lis) }()
			defer ser.Close()
			run(b, raw.Addr().String())
		})
	}
	b.Run("limited", func(b *testing.B) { run(b, serveLimited(b, answerOK).addr) })
}

// Guards against answers that nobody reads, which keep the memory of requests from the answers of other callers, and against
// closing a connection whose answer is not being written.
func TestLongestUnreadAnswerIsClosed(t *testing.T) {
	const charge = 1 << 20 // a quarter of the budget
	lmd := serveLimitedPausing(t, time.Minute, func(wri http.ResponseWriter, req *http.Request) {
		charged := inlet.FromContext(req.Context()).ChargeAnswer(charge)
		switch req.URL.Path {
		case "/unread":
			for err := error(nil); err == nil; {
				_, err = wri.Write(make([]byte, 64<<10))
			}
		case "/waits":
			<-req.Context().Done()
		default:
			fmt.Fprint(wri, charged)
		}
	})
	request := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }
	waiting := lmd.dial()
	_, _ = io.WriteString(waiting, request("/waits"))
	lmd.awaitRequestBytes(charge)
	for num := range 3 {
		_, _ = io.WriteString(lmd.dial(), request("/unread"))
		lmd.awaitRequestBytes((num + 2) * charge)
	}
	var answer string
	for start := time.Now(); answer != "true" && time.Since(start) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		con := lmd.dial()
		_, _ = io.WriteString(con, request("/"))
		rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(rsp.Body)
		answer = string(data)
		_ = rsp.Body.Close()
	}
	if diff := cmp.Diff("true", answer); diff != "" {
		t.Error(diff)
	}
	lmd.mut.Lock()
	unread := lmd.met[inlet.LimitUnread]
	lmd.mut.Unlock()
	if diff := cmp.Diff(1, unread); diff != "" {
		t.Error("connections that were closed for unread answers: ", diff)
	}
	if _, err := waiting.Write([]byte("x")); err != nil {
		t.Error("the connection whose answer is not being written was closed: ", err)
	}
}

func (lmd *limited) awaitRequestBytes(bytes int) {
	lmd.t.Helper()
	for start := time.Now(); lmd.limits.RequestBytes() < bytes; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			lmd.t.Fatalf("%d bytes are charged, want %d", lmd.limits.RequestBytes(), bytes)
		}
	}
}
