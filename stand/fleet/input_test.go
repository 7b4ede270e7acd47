package fleet_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"amaranthline/stand/fleet"
)

const (
	slowSenderTimeout  = 5*time.Second + 2*deadlineSlack // a node refuses a request whose body pauses for 5 s
	bodyPause          = 1500 * time.Millisecond         // longer than the maximum age of an admission, 1 s
	goroutineTolerance = 10                              // allowed increase, for idle peer connections and the like
)

// Guards against bad input that reaches an upstream, leaks goroutines, or is refused without the status, reason and
// metric of its kind.
func TestBadInput(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	host := fix.hostsOf("stampa")[0]
	baseline := fix.metric(host, "go_goroutines")
	path := "/stampa/prints/1"
	auth := http.Header{"Authorization": {"Bearer verona-key"}}
	with := func(name, value string) http.Header {
		hdr := auth.Clone()
		hdr.Set(name, value)
		return hdr
	}
	large := func() io.Reader { return bytes.NewReader(make([]byte, 9<<20)) }
	for _, tst := range []struct {
		name   string
		path   string
		header http.Header
		body   io.Reader
		status int
		reason string
	}{
		{"oversize header", path, with("X-Large", strings.Repeat("x", 40<<10)), nil, 431, "header_too_large"},
		{"oversize body", path, auth, large(), 413, "body_too_large"},
		{"oversize body of unknown length", path, auth, io.MultiReader(large()), 413, "body_too_large"},
		{"unknown service", "/unknown/prints/1", auth, nil, 404, "unknown_service"},
		{"unknown route", "/stampa/unknown", auth, nil, 404, "unknown_route"},
		{"spoofed header", path, with("Amaranthline-Call", "x"), nil, 400, "spoofed_header"},
		{"ambiguous path", "/stampa/prints/%2e%2e", auth, nil, 400, "bad_request"},
		{"bad timeout", path, with("Request-Timeout", "soon"), nil, 400, "bad_request"},
		{"missing key", path, http.Header{}, nil, 401, "key_missing"},
		{"unknown key", path, http.Header{"Authorization": {"Bearer unknown"}}, nil, 401, "key_unknown"},
		{"key in the URL", path + "?key=verona-key", auth, nil, 400, "key_leak"},
		{"key in another header", path, with("X-Key", "verona-key"), nil, 400, "key_leak"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			before := fix.refusalCount(host, tst.reason)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, host.Ingress()+tst.path, tst.body)
			fix.must(err)
			req.Header = tst.header
			res, err := http.DefaultClient.Do(req)
			fix.must(err)
			defer res.Body.Close()
			want := []any{tst.status, tst.reason}
			if diff := cmp.Diff(want, []any{res.StatusCode, res.Header.Get("Amaranthline-Reason")}); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if after := fix.refusalCount(host, tst.reason); after != before+1 {
				t.Errorf("the metric of refusals with reason %s went from %v to %v, want an increase by 1", tst.reason, before, after)
			}
		})
	}
	t.Run("slow sender", func(t *testing.T) { fix.testSlowSenders(host) })
	t.Run("garbage on the peer port", func(t *testing.T) { fix.testPeerGarbage(host) })
	for _, hos := range fix.Hosts() {
		if sta := fix.stats(hos); sta.total() > 0 || len(sta.Forbidden) > 0 {
			t.Errorf("the upstream of host %s ran %v and got the forbidden headers %v, want none", hos.ID(), sta.Runs, sta.Forbidden)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	fix.await(settleTimeout, fmt.Sprintf("a return to the %v goroutines before the requests, within the tolerance", baseline), func() bool { return fix.metric(host, "go_goroutines") <= baseline+goroutineTolerance })
	if exc := (&exchange{host: host, method: http.MethodPost, path: path}).send(http.DefaultClient); !exc.ok() {
		t.Error(exc)
	}
}

func (fix *fixture) refusalCount(hos *fleet.Host, reason string) float64 {
	return fix.metric(hos, `amaranthline_refused_total.*reason="`+reason+`"`)
}

// testSlowSenders sends a part of a body on many connections, with a known key and with an unknown key, and waits for the
// refusals and for the end of the connections.
func (fix *fixture) testSlowSenders(hos *fleet.Host) {
	fix.t.Helper()
	before := fix.refusalCount(hos, "slow_sender")
	const senders = 20
	for num := range 2 * senders {
		key, want := "verona-key", []any{http.StatusRequestTimeout, "slow_sender"}
		if num >= senders {
			key, want = "unknown", []any{http.StatusUnauthorized, "key_unknown"}
		}
		conn, err := net.Dial("tcp", strings.TrimPrefix(hos.Ingress(), "http://"))
		fix.must(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /stampa/prints/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\npart", key)
		fix.must(err)
		fix.must(conn.SetReadDeadline(time.Now().Add(slowSenderTimeout)))
		defer func() {
			reader := bufio.NewReader(conn)
			res, err := http.ReadResponse(reader, nil)
			if err != nil {
				fix.t.Errorf("a slow sender got no answer: %v", err)
				return
			}
			_ = res.Body.Close()
			if _, err := io.Copy(io.Discard, reader); err != nil && strings.Contains(err.Error(), "timeout") {
				fix.t.Error("the connection of a slow sender stays open after the answer")
			}
			if diff := cmp.Diff(want, []any{res.StatusCode, res.Header.Get("Amaranthline-Reason")}); diff != "" {
				fix.t.Errorf("answer (-want +got):\n%s", diff)
			}
		}()
	}
	fix.await(slowSenderTimeout, "refusals of slow senders", func() bool { return fix.refusalCount(hos, "slow_sender") == before+senders })
}

// testPeerGarbage sends data to the peer port that does not follow the peer protocol; the node must close the connections
// and count them.
func (fix *fixture) testPeerGarbage(hos *fleet.Host) {
	fix.t.Helper()
	count := func() float64 {
		return fix.metric(hos, `amaranthline_peer_events_total\{event="(?:malformed|handshake)"`)
	}
	before := count()
	inputs := []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", strings.Repeat("\xff", 64<<10), strings.Repeat("\x00", 64<<10), "\x00\x00\x00\x01\x00\x00\x00\x01\x00\x00\x00\x08\xff\xff\xff\xff\xff\xff\xff\xff"}
	for _, text := range inputs {
		conn, err := net.Dial("tcp", hos.Peer())
		fix.must(err)
		defer conn.Close()
		_, _ = io.WriteString(conn, text) // the node may close the connection meanwhile
		fix.must(conn.SetReadDeadline(time.Now().Add(settleTimeout)))
		if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
			fix.t.Errorf("the peer connection stays open after the malformed data %.20q", text)
		}
	}
	fix.await(settleTimeout, "peer events malformed or handshake for each connection", func() bool { return count() >= before+float64(len(inputs)) })
}

// Guards against an admission that expires while the entry node waits for the body: a caller that sends its body slowly,
// but within the allowed pauses, must be served.
func TestSlowBody(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, "first part,")
		time.Sleep(bodyPause)
		_, _ = io.WriteString(writer, "second part")
		_ = writer.Close()
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fix.hostsOf("ordini")[0].Ingress()+"/stampa/orders/1", reader)
	fix.must(err)
	req.Header.Set("Authorization", "Bearer verona-key")
	res, err := http.DefaultClient.Do(req)
	fix.must(err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	fix.must(err)
	if res.StatusCode != http.StatusOK || !strings.Contains(string(text), "first part,second part") {
		t.Errorf("status %s: %s", res.Status, text)
	}
}
