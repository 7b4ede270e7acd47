package wire_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

// frame encodes with the general protobuf encoder what the package writes with its own.
func encodeFrame(t testing.TB, frm *wire.Frame) []byte {
	data, err := proto.Marshal(frm)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

func bodyFrame(size int) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Body{Body: &wire.Body{Data: make([]byte, size)}}}
}

func documentFrame(size int) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Document{Document: &wire.Document{Name: "hosts", Data: make([]byte, size)}}}
}

// The frames must be those of any protobuf implementation, in whatever pieces they arrive.
func TestFramesAreProtobuf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 100, 4090, wire.MaxBodyPart}), 1, 3).Draw(t, "sizes")
		var got, want bytes.Buffer
		var msgs []proto.Message
		wrt := wire.NewWriter(&got)
		defer wrt.Release()
		for i, size := range sizes {
			data := bytes.Repeat([]byte{byte(i + 1)}, size)
			head := &wire.AnswerHead{Status: int32(size), Detail: fmt.Sprint(size), Outcome: 2}
			msgs = append(msgs, &wire.Body{Data: data}, head, &wire.Done{})
			for _, frm := range []*wire.Frame{
				{Kind: &wire.Frame_Body{Body: &wire.Body{Data: data}}},
				{Kind: &wire.Frame_AnswerHead{AnswerHead: head}},
				{Kind: &wire.Frame_Done{Done: &wire.Done{}}},
			} {
				raw, _ := proto.Marshal(frm)
				want.Write(binary.BigEndian.AppendUint32(nil, uint32(len(raw))))
				want.Write(raw)
			}
		}
		for _, msg := range msgs {
			if err := wrt.Append(msg); err != nil {
				t.Fatal(err)
			}
		}
		if err := wrt.Flush(); err != nil {
			t.Fatal(err)
		}
		// An empty Body has two encodings: with and without its empty field. Both must decode.
		sources := []io.Reader{&got, &want, iotest.HalfReader(bytes.NewReader(want.Bytes()))}
		for _, src := range sources {
			rdr := wire.NewReader(src)
			for _, msg := range msgs {
				decoded, err := rdr.Read()
				if err != nil {
					t.Fatal(err)
				}
				if !proto.Equal(msg, decoded) { // a diff of large bodies takes a second
					t.Fatalf("message (-want +got):\n%s", cmp.Diff(msg, decoded, protocmp.Transform()))
				}
			}
			if _, err := rdr.Read(); !errors.Is(err, io.EOF) {
				t.Fatalf("end of frames gave %v", err)
			}
			rdr.Release()
		}
	})
}

// Frames that are too long, cut or not of the protocol must be refused with a typed error.
func TestReaderRejectsInvalidFrames(t *testing.T) {
	complete := encodeFrame(t, bodyFrame(9))
	tests := []struct {
		name      string
		data      []byte
		malformed bool
		wantErr   error
	}{
		{"body above its bound", encodeFrame(t, bodyFrame(wire.MaxBodyFrame)), true, nil},
		{"control above its bound", encodeFrame(t, &wire.Frame{Kind: &wire.Frame_AnswerHead{
			AnswerHead: &wire.AnswerHead{Detail: string(make([]byte, wire.MaxControlFrame))},
		}}), true, nil},
		{"document above its bound", encodeFrame(t, documentFrame(wire.MaxDocumentFrame)), true, nil},
		{"document within its bound", encodeFrame(t, documentFrame(1<<20)), false, nil},
		{"length of 4 GiB", []byte{255, 255, 255, 255, 0}, true, nil},
		{"empty", []byte{0, 0, 0, 0}, true, nil},
		{"unknown kind", []byte{0, 0, 0, 2, 0xfa, 0x01}, true, nil},
		{"two messages in a frame", append([]byte{0, 0, 0, 4}, 0x1a, 0, 0x1a, 0), true, nil},
		{"message that does not decode", []byte{0, 0, 0, 4, 0x22, 2, 0x08, 0xff}, true, nil},
		{"cut in the length", complete[:3], false, io.ErrUnexpectedEOF},
		{"cut after the length", complete[:4], false, io.ErrUnexpectedEOF},
		{"cut in the message", complete[:len(complete)-1], false, io.ErrUnexpectedEOF},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			rdr := wire.NewReader(bytes.NewReader(tst.data))
			defer rdr.Release()
			_, err := rdr.Read()
			if wire.Malformed(err) != tst.malformed || !tst.malformed && !errors.Is(err, tst.wantErr) {
				t.Errorf("got %v, want malformed %v, error %v", err, tst.malformed, tst.wantErr)
			}
		})
	}
	wrt := wire.NewWriter(io.Discard)
	defer wrt.Release()
	var fre *wire.FrameSizeError
	if err := wrt.AppendBody(make([]byte, wire.MaxBodyFrame)); !errors.As(err, &fre) || fre.Limit() != wire.MaxBodyFrame {
		t.Errorf("a body part that is too long gave %v", err)
	}
	if err := wrt.AppendBody(make([]byte, wire.MaxBodyPart)); err != nil {
		t.Errorf("the longest body part gave %v", err)
	}
}

// No field of a call may change on its way, but the rank of the root, which each node looks up by itself; the rank that
// the entry gave it travels beside it.
func TestCallRoundTrip(t *testing.T) {
	now := time.Now()
	want := core.CallSpec{
		Root: core.NewRoot(core.RootSpec{
			ID: core.RootID{1, 2}, Team: "verona", KeyID: "verona-1", Class: "confirm", Rank: wire.UnknownRank,
			Deadline: now.Add(time.Second), Admitted: now, Public: true,
		}),
		Service: "stampa", Method: http.MethodPost, Path: "/prints/9?x=1", Header: http.Header{"X-Job": {"a", "b"}},
		Body: http.NoBody, Length: -1, Idempotent: true, IdempotencyKey: "k", RetryBudget: 2, Depth: 3, Fingerprint: core.Fingerprint{7},
		AttemptID: "a.b", Authority: "prints.example", CallerService: "ordini", TargetLatency: time.Second, DeclarationsVersion: 9, Authenticated: true, IsRetry: true,
		EntryRank: wire.UnknownRank,
	}
	head := wire.FromCall(core.NewCall(want), time.Second, 5)
	got, err := wire.ToCall(head, http.NoBody, now.Add(time.Second), now)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(core.NewCall(want), got, cmp.AllowUnexported(core.Call{}, core.Root{})); diff != "" {
		t.Errorf("call (-want +got):\n%s", diff)
	}
	head.RootId = head.RootId[1:]
	if _, err := wire.ToCall(head, nil, now, now); !wire.Malformed(err) {
		t.Errorf("a short root id gave %v", err)
	}
}

// A refusal keeps its outcome and feedback; an outcome that is not known must never read as not run.
func TestRefusalRoundTrip(t *testing.T) {
	fee := core.NewFeedback(1, 0.5, 2, true)
	ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "queue full").WithRetryAfter(time.Second)
	head := wire.FromRefusal(fmt.Errorf("serve: %w", core.WithFeedback(ref, fee)))
	err := wire.ToRefusal(head)
	var fer *core.FeedbackError
	if !errors.As(err, &fer) {
		t.Fatalf("got %v", err)
	}
	opts := cmp.AllowUnexported(core.Refusal{}, core.Feedback{}, core.FeedbackError{})
	if diff := cmp.Diff(core.WithFeedback(ref, fee), fer, opts); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	for _, num := range []uint32{0, 3, 255, 257, 1 << 31} {
		head.Outcome = num
		if got := core.AsRefusal(wire.ToRefusal(head)).Outcome(); got != core.OutcomeUnknown {
			t.Errorf("outcome %d reads as %v", num, got)
		}
	}
}

// Headers of one connection must not reach the next hop, also those that Connection names.
func TestEndToEnd(t *testing.T) {
	in := http.Header{
		"Connection": {"close, X-Private", "x-second"}, "X-Private": {"1"}, "X-Second": {"1"}, "Keep-Alive": {"5"},
		"Proxy-Connection": {"close"}, "Te": {"gzip, Trailers"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"h2c"}, "Trailer": {"X"}, "X-Kept": {"1", "2"},
	}
	before := in.Clone()
	want := http.Header{"X-Kept": {"1", "2"}, "Te": {"trailers"}}
	if diff := cmp.Diff(want, wire.EndToEnd(in)); diff != "" {
		t.Errorf("headers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(before, in); diff != "" {
		t.Errorf("the input changed (-want +got):\n%s", diff)
	}
	if got := wire.EndToEnd(http.Header{"Te": {"gzip"}}); len(got) != 0 {
		t.Errorf("TE without trailers stays: %v", got)
	}
}

// A peer may send any bytes; the decoder must neither crash nor return a message that it cannot write.
func FuzzReader(f *testing.F) {
	f.Add(encodeFrame(f, bodyFrame(3)))
	f.Add(encodeFrame(f, documentFrame(9)))
	f.Add(append(encodeFrame(f, &wire.Frame{Kind: &wire.Frame_Hello{Hello: &wire.Hello{Host: "h1"}}}), 0, 0, 0, 1, 9))
	f.Fuzz(func(t *testing.T, data []byte) {
		rdr := wire.NewReader(bytes.NewReader(data))
		defer rdr.Release()
		wrt := wire.NewWriter(io.Discard)
		defer wrt.Release()
		for {
			msg, err := rdr.Read()
			if err != nil {
				return
			}
			if err := wrt.Write(msg); err != nil && !wire.Malformed(err) {
				t.Fatalf("message %v: %v", msg, err)
			}
			if head, ok := msg.(*wire.CallHead); ok {
				_, _ = wire.ToCall(head, nil, time.Time{}, time.Time{})
			}
		}
	})
}
