package back_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/io/transport/back"
)

// Guards against an upstream that sends bytes without end until its caller closes the connection: in a status line, a
// header line, header lines, interim answers, a body beyond its length, and a body in chunks. A call that cannot get an
// answer fails at once, one whose body does not end fails at its deadline, memory stays bounded, and the next call gets
// its own answer on a clean connection.
func TestBytesWithoutEnd(t *testing.T) {
	const callTimeout, maxHeap = 500 * time.Millisecond, 64 << 20
	head := "HTTP/1.1 200 OK\r\nX-Call: first\r\n"
	tests := []struct {
		name, start, repeat string
		atDeadline          bool // the call lasts until its deadline
		answered            bool // what came before the surplus bytes is an answer
	}{
		{name: "status line", repeat: "x"},
		{name: "header line", start: head + "X-Long: ", repeat: "x"},
		{name: "header lines", start: head, repeat: "X-More: 1\r\n"},
		{name: "interim answers", repeat: "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n"},
		{name: "interim answers without headers", repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "body beyond its length", start: head + "Content-Length: 3\r\n\r\nown", repeat: "x", answered: true},
		{name: "chunks", start: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n", atDeadline: true},
		{name: "chunk extension", start: head + "Transfer-Encoding: chunked\r\n\r\n1;", repeat: "x"},
		{name: "trailer", start: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "X-More: 1\r\n"},
		{name: "body without length", start: head + "\r\n", repeat: "x", atDeadline: true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			srv := startScriptedServer(t, func(number int, conn net.Conn, req *http.Request) bool {
				if number > 1 {
					writeAnswer(conn, req.Header.Get("X-Call"), "own")
					return true
				}
				_, _ = io.WriteString(conn, tst.start)
				block := make([]byte, 0, 4<<10)
				for len(block) < 4<<10-len(tst.repeat) {
					block = append(block, tst.repeat...)
				}
				for {
					if _, err := conn.Write(block); err != nil {
						return false // the caller has closed the connection
					}
				}
			})
			cli := newClient(t, back.Settings{BaseURL: srv.baseURL(), Dialect: echoDialect{}})
			call := core.NewCall(core.CallSpec{
				Root:   core.NewRoot(core.RootSpec{Deadline: time.Now().Add(callTimeout)}),
				Method: http.MethodPost, Path: "/prints", AttemptID: "first",
			})
			began := time.Now()
			res, err := do(t.Context(), cli, call)
			elapsed := time.Since(began)
			switch {
			case tst.answered != (err == nil):
				t.Errorf("the call ended as %v with %v, want an answer: %v", res, err, tst.answered)
			case err != nil && core.AsRefusal(err).Outcome() == core.OutcomeNotRun:
				t.Errorf("the caller is told that the call has not run: %v", err)
			case !tst.atDeadline && elapsed > callTimeout/2:
				t.Errorf("the call ended after %v, long after its answer could not be valid any more", elapsed)
			case elapsed > callTimeout+testTimeout/10:
				t.Errorf("the call ended %v after its deadline", elapsed-callTimeout)
			}
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			if mem.HeapAlloc > maxHeap {
				t.Errorf("the heap holds %d bytes, want at most %d", mem.HeapAlloc, maxHeap)
			}
			if got := readBody(t, cli, newNamedCall(fmt.Sprint("after ", tst.name))); got != "own" {
				t.Errorf("the next call got the answer %q, want its own", got)
			}
		})
	}
}
