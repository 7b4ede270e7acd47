package mesh_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

// invalidStatuses are no statuses of an answer that ends a call.
var invalidStatuses = []int32{-200, -1, 0, 1, 99, 100, 101, 103, 199, 600, 999, 1000, 1 << 30}

// standInPeer is a peer that answers calls with a given head, on lanes and on streams of their own.
type standInPeer struct {
	head *wire.AnswerHead
}

// startStandInPeer starts one and returns its address.
func startStandInPeer(t *testing.T, head *wire.AnswerHead) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go standInPeer{head}.serve(conn)
		}
	}()
	return lis.Addr().String()
}

func (sip standInPeer) serve(conn net.Conn) {
	mux, err := yamux.Server(conn, nil)
	if err != nil {
		return
	}
	for {
		str, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go sip.serveStream(str)
	}
}

func (sip standInPeer) serveStream(str *yamux.Stream) {
	rea, wri := wire.NewReader(str), wire.NewWriter(str)
	end := wire.FromAnswerEnd(core.Feedback{})
	for {
		msg, err := rea.Read()
		if err != nil {
			return
		}
		var replies []proto.Message
		switch frm := msg.(type) {
		case *wire.Hello:
			replies = []proto.Message{&wire.Hello{Host: "h2"}}
		case *wire.Probe:
			replies = []proto.Message{&wire.ProbeAck{SentNanos: frm.GetSentNanos()}}
		case *wire.LaneCall:
			replies = []proto.Message{&wire.LaneAnswer{Number: frm.GetNumber(), Head: sip.head, Body: []byte("forged"), End: end}}
		case *wire.CallEnd:
			replies = []proto.Message{sip.head, &wire.Body{Data: []byte("forged")}, end}
		}
		for _, rep := range replies {
			if wri.Write(rep) != nil {
				return
			}
		}
	}
}

// callsOfBothKinds returns a call that goes on a lane and one that has a stream of its own.
func callsOfBothKinds() map[string]*core.Call {
	body := strings.Repeat("x", 100)
	return map[string]*core.Call{
		"lane": newCall("x"),
		"stream": core.NewCall(core.CallSpec{
			Root: newRoot(eventTimeout), Service: "stampa", Method: http.MethodPost, Path: "/", Header: http.Header{},
			Body: io.MultiReader(strings.NewReader(body)), Length: int64(len(body)),
		}),
	}
}

// Guards against a peer whose answer has no status of HTTP: its caller must be told that the call failed, with an unknown
// outcome, and not get it as an answer.
func TestAnswerOfPeerWithoutStatus(t *testing.T) {
	for _, status := range append([]int32{200, 599}, invalidStatuses...) {
		caller := startNode(t, "h1", echo, nil)
		setPeer(caller, "h2", startStandInPeer(t, &wire.AnswerHead{Status: status, Outcome: uint32(core.OutcomeRan)}))
		for kind, call := range callsOfBothKinds() {
			t.Run(fmt.Sprint(kind, " ", status), func(t *testing.T) {
				res := forwardAndRead(t.Context(), caller, "h2", call)
				if core.ValidStatus(int(status)) {
					if diff := cmp.Diff([]any{int(status), "forged", nil}, []any{res.status, res.body, res.err}); diff != "" {
						t.Errorf("answer (-want +got):\n%s", diff)
					}
					return
				}
				if res.err == nil {
					t.Fatalf("the caller got %d with %q", res.status, res.body)
				}
				wantRefusal(t, res.err, core.ReasonPeerFailed, core.OutcomeUnknown)
			})
		}
	}
}

// Guards against a peer of an older version that passes on a field without a valid name from its upstream: the body of such an
// answer may end elsewhere than the upstream's.
func TestAnswerOfPeerWithInvalidFieldName(t *testing.T) {
	tests := map[string]bool{
		"X-Sound": true, "!#$%&'*+-.^_`|~09": true, "": false, " ": false, "X Broken": false, "Content-Length ": false, " Transfer-Encoding": false,
		"X-Broken\t": false, "X-Bro\x00ken": false, "X-Broken\r\nContent-Length": false, "X-Broken:": false, "X-Br\u00f6ken": false,
	}
	for name, valid := range tests {
		caller := startNode(t, "h1", echo, nil)
		fields := []*wire.Header{{Name: name, Values: []string{"1"}}, {Name: "X-Last", Values: []string{"1"}}}
		setPeer(caller, "h2", startStandInPeer(t, &wire.AnswerHead{Status: http.StatusOK, Outcome: uint32(core.OutcomeRan), Headers: fields}))
		for kind, call := range callsOfBothKinds() {
			t.Run(fmt.Sprintf("%s %q", kind, name), func(t *testing.T) {
				res := forwardAndRead(t.Context(), caller, "h2", call)
				if valid {
					if diff := cmp.Diff([]any{http.StatusOK, "forged", nil}, []any{res.status, res.body, res.err}); diff != "" {
						t.Errorf("answer (-want +got):\n%s", diff)
					}
					return
				}
				if res.err == nil {
					t.Fatalf("the caller got %d with %q", res.status, res.body)
				}
				wantRefusal(t, res.err, core.ReasonPeerFailed, core.OutcomeUnknown)
			})
		}
	}
}

// Guards against a node that sends an answer without a status of HTTP to a peer, which may be of an older version and take it.
func TestInvalidStatusIsNotSentToPeer(t *testing.T) {
	for _, status := range invalidStatuses {
		server := startNode(t, "h2", answerWith(int(status)), nil)
		caller := startNode(t, "h1", echo, nil)
		setPeer(caller, "h2", server.Addr())
		for kind, call := range callsOfBothKinds() {
			t.Run(fmt.Sprint(kind, " ", status), func(t *testing.T) {
				res := forwardAndRead(t.Context(), caller, "h2", call)
				if res.err == nil {
					t.Fatalf("the caller got %d with %q", res.status, res.body)
				}
				wantRefusal(t, res.err, core.ReasonUpstreamFailed, core.OutcomeUnknown)
			})
		}
	}
}

func answerWith(status int) handlerFunc {
	return func(_ context.Context, _ *core.Call) (*core.Answer, error) {
		return core.NewAnswer(status, http.Header{}, io.NopCloser(strings.NewReader("forged")), func() core.Feedback { return core.Feedback{} }), nil
	}
}
