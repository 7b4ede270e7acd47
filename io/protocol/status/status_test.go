package status_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"amaranthline/io/protocol/status"
)

// Guards against a judgement that waits for more bytes than it needs, and against one that comes before they are in.
func TestCheckLine(t *testing.T) {
	tests := []struct {
		line string
		good int // length of the longest start that may begin an answer
	}{
		{"HTTP/1.1 200 OK", 15},
		{"HTTP/1.0 599\r\n", 14},
		{"HTTP/1.1 100\n", 13},
		{"HTTP/1.1 000 ", 9},
		{"HTTP/1.1 600 ", 9},
		{"HTTP/1.1 101 ", 12},
		{"HTTP/1.1 2000 ", 12},
		{"HTTP/1.1 20 ", 11},
		{"HTTP/2.0 200 ", 5},
		{"garbage", 0},
	}
	for _, tst := range tests {
		for end := range len(tst.line) + 1 {
			err := status.CheckLine([]byte(tst.line[:end]))
			if diff := cmp.Diff(end <= tst.good, err == nil); diff != "" {
				t.Errorf("%q (-want +got):\n%s", tst.line[:end], diff)
			}
		}
	}
}

// Guards against a connection that changes what is read, that misses a status line or a field after interim answers or in parts,
// or that judges a body.
func TestConn(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	tests := []struct {
		name, sent string
		fails      bool
	}{
		{"answer", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nHTTP/1.1 000", false},
		{"answer after interim ones", interim + "HTTP/1.1 100 Continue\n\n" + "HTTP/1.1 204 None\r\n\r\n", false},
		{"000", "HTTP/1.1 000 None\r\n\r\n", true},
		{"000 after an interim answer", interim + "HTTP/1.1 000 None\r\n\r\n", true},
		{"most interim answers", strings.Repeat(interim, status.MaxInterim) + "HTTP/1.1 200 OK\r\n\r\n", false},
		{"invalid name of a field", "HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\n", true},
		{"invalid name in an interim answer", "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"invalid name after an interim answer", interim + "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", true},
		{"too many interim answers", strings.Repeat(interim, status.MaxInterim+1) + "HTTP/1.1 200 OK\r\n\r\n", true},
	}
	for _, tst := range tests {
		for _, partBytes := range []int{1, 7, 1 << 10} {
			t.Run(tst.name, func(t *testing.T) {
				near, far := net.Pipe()
				go func() {
					for range 2 { // a second answer after a second request
						_, _ = http.ReadRequest(bufio.NewReader(far))
						for rest := tst.sent; rest != ""; {
							part := rest[:min(partBytes, len(rest))]
							if _, err := io.WriteString(far, part); err != nil {
								return
							}
							rest = rest[len(part):]
						}
					}
					_ = far.Close()
				}()
				con := status.NewConn(near)
				defer func() { _ = con.Close() }()
				got := make([]byte, len(tst.sent))
				for range 2 {
					if _, err := io.WriteString(con, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
						t.Fatal(err)
					}
					_, err := io.ReadFull(con, got)
					var lie *status.LineError
					var many *status.TooManyInterimError
					var fne *status.FieldNameError
					if tst.fails {
						if !errors.As(err, &lie) && !errors.As(err, &many) && !errors.As(err, &fne) {
							t.Errorf("reading returned %v, want an error of this package", err)
						}
						return
					}
					if err != nil {
						t.Fatal(err)
					}
					if diff := cmp.Diff(tst.sent, string(got)); diff != "" {
						t.Errorf("read bytes (-want +got):\n%s", diff)
					}
				}
			})
		}
	}
}
