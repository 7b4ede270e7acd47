package back_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"amaranthline/io/transport/back"
)

// invalidFieldLines are lines of a head in which the name of the field is none, by RFC 9112, section 5.
var invalidFieldLines = []string{
	"X Broken: 1", "X-Broken : 1", "X-Broken\t: 1", "X\tBroken: 1", " X-Broken: 1", "\tX-Broken: 1", "X-Bro\x00ken: 1", "\x01X-Broken: 1",
	"X-Broken\x0b: 1", "X-Broken\x1f: 1", "X-Broken\x7f: 1", "X\rBroken: 1", "\rX-Broken: 1", "X-Br\xf6ken: 1", "X(Broken): 1", "X-Broken", ": 1", " : 1", " ", "\t",
	"Content-Length : 3", "Content-Length\t: 3", " Content-Length: 3", "Content\x01-Length: 3", "Content Length: 3",
	"Transfer-Encoding : chunked", "\tTransfer-Encoding: chunked", "X-Call : other", " X-Call: other",
}

// headsWith returns starts of answers that have a line at each place in their heads where it may stand.
func headsWith(line string) map[string]string {
	return map[string]string{
		"first":      "HTTP/1.1 200 OK\r\n" + line + "\r\nX-Call: first\r\n",
		"last":       "HTTP/1.1 200 OK\r\nX-Call: first\r\n" + line + "\r\n",
		"bare LF":    "HTTP/1.1 200 OK\nX-Call: first\n" + line + "\n",
		"far":        "HTTP/1.1 200 OK\r\nX-Call: first\r\nX-Long: " + strings.Repeat("x", 20<<10) + "\r\n" + line + "\r\n",
		"interim":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: first\r\n",
		"after one":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + line + "\r\nX-Call: first\r\n",
		"after late": "HTTP/1.1 200 OK\r\nX-Call: late\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-Call: first\r\n" + line + "\r\n",
	}
}

// Guards against an answer with a line whose name is no name of a field. The line was passed on, or it was taken for a part of
// the line before it; where it told the length of the body, the body ended elsewhere.
func TestAnswerWithInvalidFieldName(t *testing.T) {
	bodies := map[string]string{"length": "Content-Length: 3\r\n\r\nown", "chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", "end": "\r\nown"}
	for _, line := range invalidFieldLines {
		for place, head := range headsWith(line) {
			for framing, body := range bodies {
				t.Run(fmt.Sprintf("%q/%s/%s", line, place, framing), func(t *testing.T) {
					checkBrokenAnswer(t, head+body)
				})
			}
		}
	}
}

// Guards against a health check that believes an answer with a line whose name is no name of a field.
func TestHealthWithInvalidFieldName(t *testing.T) {
	for _, line := range invalidFieldLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			srv := brokenServer(t, "HTTP/1.1 200 OK\r\nX-Any: 1\r\n"+line+"\r\nContent-Length: 0\r\n\r\n", make(chan struct{}))
			cli := newClient(t, back.Settings{BaseURL: srv.baseURL(), Dialect: echoDialect{}})
			if hea, err := cli.Health(t.Context(), "/health"); err == nil {
				t.Errorf("the check ended with %+v, want an error", hea)
			}
		})
	}
}

// Guards against refusing or changing answers whose heads RFC 9112 allows, in whatever parts their bytes arrive.
func TestAnswerWithValidFieldNames(t *testing.T) {
	const fields = "!#$%&'*+-.^_`|~09azAZ:  a value: with \t blanks\tand \xf6  \r\nx-empty:\r\nX-Call: first\r\n"
	heads := map[string]string{
		"answer":       "HTTP/1.1 200 OK\r\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
		"late answer":  "HTTP/1.1 200 OK\r\nX-Call: late\r\nContent-Length: 8\r\n\r\n not: \r\nHTTP/1.1 200 OK\r\n",
		"without text": "HTTP/1.1 200\r\n",
	}
	bodies := map[string]string{
		"length": "Content-Length: 13\r\n\r\n in  body: \x01\n",
		"chunks": "Transfer-Encoding: chunked\r\n\r\nd\r\n in  body: \x01\n\r\n0\r\n\r\n",
		"end":    "Connection: close\r\n\r\n in  body: \x01\n",
	}
	for place, head := range heads {
		for framing, body := range bodies {
			for _, partBytes := range []int{1, 7, 1 << 10} {
				t.Run(fmt.Sprint(place, "/", framing, "/", partBytes), func(t *testing.T) {
					srv := startScriptedServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
						for rest := head + fields + body; rest != ""; {
							part := rest[:min(partBytes, len(rest))]
							_, _ = io.WriteString(conn, part)
							rest = rest[len(part):]
						}
						return framing != "end"
					})
					cli := newClient(t, back.Settings{BaseURL: srv.baseURL(), Dialect: echoDialect{}})
					ans, err := cli.Do(t.Context(), newNamedCall("first"), "")
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = ans.Body().Close() }()
					data, err := io.ReadAll(ans.Body())
					want := []any{"a value: with \t blanks\tand \xf6", "", " in  body: \x01\n", nil}
					got := []any{ans.Header().Get("!#$%&'*+-.^_`|~09azAZ"), ans.Header().Get("X-Empty"), string(data), err}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Errorf("answer (-want +got):\n%s", diff)
					}
				})
			}
		}
	}
}
