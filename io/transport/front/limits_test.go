package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/memory"
	"amaranthline/io/base"
	"amaranthline/io/transport/front"
	"amaranthline/io/transport/inlet"

	"github.com/google/go-cmp/cmp"
)

// bodyReader answers a request once it has read its body.
type bodyReader struct{ served atomic.Int64 }

func (bre *bodyReader) ServeRoot(_ context.Context, req *core.Request) (*core.Answer, error) {
	bre.served.Add(1)
	if req.Body() != nil {
		if _, err := io.Copy(io.Discard, req.Body()); err != nil {
			return nil, err
		}
	}
	return core.NewAnswer(http.StatusOK, http.Header{}, io.NopCloser(strings.NewReader("answer")), nil), nil
}

func (bre *bodyReader) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return bre.ServeRoot(ctx, req)
}

// Guards against refusals for memory that do not say that the request has not run, or that are given although it has, and
// against a budget of bodies that does not come back.
func TestRefusalsForMemorySayNotRun(t *testing.T) {
	han := &bodyReader{}
	limits := inlet.NewLimits(memory.Divide(8, 0, 0), nil) // 64 connections and 4 MiB for requests
	fro := front.New(front.Settings{Handler: han, Observer: base.NewMetrics(), Limits: limits})
	ser := httptest.NewUnstartedServer(nil)
	ser.Config, ser.Listener = fro.Server(), fro.Listen(ser.Listener)
	ser.Start()
	defer ser.Close()
	open := func(text string) (net.Conn, *bufio.Reader) {
		con, err := net.Dial("tcp", ser.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = con.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(con, text)
		return con, bufio.NewReader(con)
	}
	refusal := func(reader *bufio.Reader) string {
		rsp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err.Error()
		}
		defer rsp.Body.Close()
		return fmt.Sprint(rsp.StatusCode, " ", rsp.Header.Get(front.HeaderReason), " ", rsp.Header.Get(front.HeaderOutcome), " ", rsp.Header.Get("Retry-After"))
	}
	head := "POST /stampa/prints/1 HTTP/1.1\r\nHost: a\r\n"
	costly := head + "Content-Length: 65536\r\n" + strings.Repeat("a:\r\n", 3800) + "\r\n" // 1.3 MB with its body
	var waiting []net.Conn
	for len(waiting) < 3 {
		con, _ := open(costly)
		defer con.Close()
		waiting = append(waiting, con)
		for start := time.Now(); han.served.Load() < int64(len(waiting)); time.Sleep(time.Millisecond) {
			if time.Since(start) > 10*time.Second {
				t.Fatal("the costly request was not served")
			}
		}
	}
	for name, tst := range map[string]struct{ text, want string }{
		"costly head":        {costly, "503 caller_memory not-run 1"},
		"head that is long":  {head + strings.Repeat("a:\r\n", 20<<10), "431 header_too_large not-run "},
		"empty lines":        {strings.Repeat("\r\n", 100) + head, "400 bad_request not-run "},
		"ordinary beside it": {head + "Content-Length: 3\r\n\r\nabc", "200  ran "},
	} {
		before := han.served.Load()
		con, reader := open(tst.text)
		if diff := cmp.Diff(tst.want, refusal(reader)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		_ = con.Close()
		if ran := han.served.Load() - before; ran != 0 && !strings.HasPrefix(tst.want, "200") {
			t.Errorf("%s: the request was served although it was refused", name)
		}
	}
	for _, con := range waiting {
		if _, err := con.Write(make([]byte, 65536)); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("200  ran ", refusal(bufio.NewReader(con))); diff != "" {
			t.Errorf("request that was passed on: %s", diff)
		}
	}
	for start := time.Now(); limits.RequestBytes() > 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("%d bytes were not given back", limits.RequestBytes())
		}
	}
}

// Guards against refusing a single slow sender while nothing else is going on.
func TestSlowBodyIsServedInCalm(t *testing.T) {
	const parts, pause = 7, time.Second
	limits := inlet.NewLimits(memory.Divide(64, 0, 0), nil)
	fro := front.New(front.Settings{Handler: &bodyReader{}, Observer: base.NewMetrics(), Limits: limits})
	ser := httptest.NewUnstartedServer(nil)
	ser.Config, ser.Listener = fro.Server(), fro.Listen(ser.Listener)
	ser.Start()
	defer ser.Close()
	con, err := net.Dial("tcp", ser.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	fmt.Fprintf(con, "POST /stampa/prints/1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", parts)
	for range parts {
		time.Sleep(pause)
		if _, err := io.WriteString(con, "x"); err != nil {
			t.Fatal(err)
		}
	}
	rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer rsp.Body.Close()
	if diff := cmp.Diff(http.StatusOK, rsp.StatusCode); diff != "" {
		t.Errorf("status of the answer (-want +got):\n%s", diff)
	}
}
