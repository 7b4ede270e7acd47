package back_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"amaranthline/core"
	"amaranthline/io/transport/back"
)

const (
	// longBodyBytes do not fit into the buffers of a connection that is not read.
	longBodyBytes = 16 << 20
	// settleTime is enough for the loopback interface and for goroutines that are woken.
	settleTime = 30 * time.Millisecond
)

// steppedBody is a request body whose parts arrive when a test says so.
type steppedBody struct {
	steps chan int // sizes of the parts; closed at the end of the body
	left  int      // bytes of the present part
}

// Read returns zeros.
func (stb *steppedBody) Read(data []byte) (int, error) {
	if stb.left == 0 {
		size, ok := <-stb.steps
		if !ok {
			return 0, io.EOF
		}
		stb.left = size
	}
	got := min(len(data), stb.left)
	clear(data[:got])
	stb.left -= got
	return got, nil
}

// startEarlyUpstream returns the base URL of an upstream that answers the start of a request, reads no more of it, and ends the
// connection when the test says so.
func startEarlyUpstream(t *testing.T, answer string, end func(conn *net.TCPConn)) (baseURL string, endNow func()) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	begin, ended := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 512))
		_, _ = io.WriteString(conn, answer)
		<-begin
		end(conn.(*net.TCPConn))
		close(ended)
		<-t.Context().Done()
	}()
	return "http://" + lis.Addr().String(), func() {
		close(begin)
		<-ended
		time.Sleep(settleTime)
	}
}

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite ends the upstream's side of a connection and leaves the other one open.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }

func closeWriteThenReset(conn *net.TCPConn) {
	closeWrite(conn)
	time.Sleep(settleTime)
	reset(conn)
}

// newUpload returns a call with a body; length is -1 for one in chunks.
func newUpload(t *testing.T, length int64) (*core.Call, *steppedBody) {
	bod := &steppedBody{steps: make(chan int, 4)}
	t.Cleanup(func() { close(bod.steps) })
	return core.NewCall(core.CallSpec{
		Root:   core.NewRoot(core.RootSpec{Deadline: time.Now().Add(testTimeout)}),
		Method: http.MethodPost, Path: "/upload", AttemptID: "first", Body: bod, Length: length,
	}), bod
}

// readAnswer returns the body of an answer, or the reason for which it is incomplete.
func readAnswer(ans *core.Answer) string {
	data, err := io.ReadAll(ans.Body())
	_ = ans.Body().Close()
	if err != nil {
		return string(core.AsRefusal(err).Reason())
	}
	return string(data)
}

// Guards against an answer that was cut off by a reset and looks complete. The kernel reports a reset once: when the sender of
// the request body gets it, the reader of the answer sees the same end of the connection as after a whole answer without a
// length. An answer that ended in order or with its length is whole, whatever happens to the rest of the request.
func TestAnswerEndedByReset(t *testing.T) {
	const truncated = string(core.ReasonTruncated)
	const withLength, inChunks = "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"
	answers := []struct {
		name, fields, body string
		end                func(*net.TCPConn)
		want               string
	}{
		{"no length, reset", "", "part", reset, truncated},
		{"no length, end", "", "whole", closeWrite, "whole"},
		{"no length, end and reset", "", "whole", closeWriteThenReset, "whole"},
		{"length, reset", withLength, "whole", reset, "whole"},
		{"shorter than its length, reset", withLength, "part", reset, truncated},
		{"shorter than its length, end", withLength, "part", closeWrite, truncated},
		{"chunks, reset", inChunks, "5\r\nwhole\r\n0\r\n\r\n", reset, "whole"},
		{"no last chunk, reset", inChunks, "4\r\npart\r\n", reset, truncated},
		{"no last chunk, end", inChunks, "4\r\npart\r\n", closeWrite, truncated},
	}
	uploads := []struct {
		name          string
		length        int64 // of the body
		before, after int   // bytes of the body that are sent before and after the end of the answer
	}{
		{"paused", longBodyBytes, 1000, 1000},
		{"paused, in chunks", -1, 1000, 1000},
		{"blocked", longBodyBytes, longBodyBytes, 0},
		{"blocked, in chunks", -1, longBodyBytes, 0},
		{"ended", 100_000, 100_000, 0},
	}
	for _, upl := range uploads {
		for _, tst := range answers {
			t.Run("upload "+upl.name+"/"+tst.name, func(t *testing.T) {
				baseURL, end := startEarlyUpstream(t, "HTTP/1.1 200 OK\r\nX-Call: first\r\n"+tst.fields+"\r\n"+tst.body, tst.end)
				cli := newClient(t, back.Settings{BaseURL: baseURL, Dialect: echoDialect{}})
				call, bod := newUpload(t, upl.length)
				bod.steps <- upl.before
				ans, err := cli.Do(t.Context(), call, "")
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(settleTime)
				end()
				if upl.after > 0 {
					bod.steps <- upl.after
					time.Sleep(settleTime)
				}
				if diff := cmp.Diff(tst.want, readAnswer(ans)); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// Guards against the same when the answer is being read at the moment of the reset, which wakes reader and sender.
func TestAnswerResetWhileItIsRead(t *testing.T) {
	for round := range 100 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			baseURL, end := startEarlyUpstream(t, "HTTP/1.1 200 OK\r\nX-Call: first\r\n\r\npart", reset)
			cli := newClient(t, back.Settings{BaseURL: baseURL, Dialect: echoDialect{}})
			call, bod := newUpload(t, -1)
			bod.steps <- longBodyBytes
			ans, err := cli.Do(t.Context(), call, "")
			if err != nil {
				t.Fatal(err)
			}
			answered := make(chan string, 1)
			go func() { answered <- readAnswer(ans) }()
			time.Sleep(settleTime)
			end()
			if diff := cmp.Diff(string(core.ReasonTruncated), <-answered); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}
