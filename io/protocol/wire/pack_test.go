package wire_test

import (
	"fmt"
	"testing"

	"amaranthline/io/protocol/wire"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
)

// nestedCall returns the head of a nested call of one of a few teams, as upstreams of the users' platform send them.
func nestedCall(number int) *wire.CallHead {
	team := number % 5
	return &wire.CallHead{
		RootId: []byte(fmt.Sprintf("root%012d", number)), Team: fmt.Sprint("team-", team), KeyId: fmt.Sprintf("86c111a12991eec%d", team),
		Class: "confirm", Service: "stampa", Method: "GET", Path: fmt.Sprintf("/jeno376/%x", number*7919),
		Headers: []*wire.Header{
			{Name: "User-Agent", Values: []string{"sdk-client/1.9.3"}},
			{Name: "Accept", Values: []string{"*/*"}},
			{Name: "X-Part", Values: []string{"first", "second"}},
		},
		Idempotent: true, Depth: 3, RemainingNanos: 679999250, AdmittedNanos: 8302027145, TargetNanos: 1200000000, Version: 9, Rank: 2,
		CallId: fmt.Sprintf("e773dd57c707a354.%016x.%016x.%016x", number, number*31, number*1009), Authority: "zise13.example", Origin: "ordini",
	}
}

// Guards against heads that cost more bytes between failure domains than the bodies of the calls: most of their texts are
// those of earlier calls.
func TestPackedHeads(t *testing.T) {
	const calls = 1000
	pak, unp := wire.NewHeadPacker(), wire.NewHeadUnpacker()
	plain, packed := 0, 0
	for number := range calls {
		want := nestedCall(number)
		msg := pak.PackCall(want)
		plain += proto.Size(want)
		packed += proto.Size(msg)
		if err := unp.UnpackCall(msg); err != nil {
			t.Fatal(err)
		}
		want = nestedCall(number) // packing must not change the head, which may be sent again
		got := msg
		joinValues(got)
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Fatalf("call %d: %s", number, diff)
		}
	}
	if packed > plain/2 {
		t.Errorf("%d calls have %d bytes of heads, packed %d; want at most half", calls, plain, packed)
	}
}

// joinValues joins the values of a header, which are unpacked one by one.
func joinValues(head *wire.CallHead) {
	var out []*wire.Header
	for _, hdr := range head.GetHeaders() {
		if last := len(out) - 1; last >= 0 && out[last].GetName() == hdr.GetName() {
			out[last].Values = append(out[last].Values, hdr.GetValues()...)
		} else {
			out = append(out, hdr)
		}
	}
	head.Headers = out
}

// Guards against a peer that sends packed heads which cannot be unpacked: each must end in an error.
func TestUnpackErrors(t *testing.T) {
	for name, block := range map[string][]byte{
		"unknown index":       {0xff, 0xff, 0x7f},
		"text without an end": {0x00, 0x05, 'a'},
		"endless number":      {0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if err := wire.NewHeadUnpacker().UnpackCall(&wire.CallHead{Packed: block}); !wire.IsMalformed(err) {
			t.Errorf("%s in a call: %v", name, err)
		}
		if err := wire.NewHeadUnpacker().UnpackAnswer(&wire.AnswerHead{Packed: block}); !wire.IsMalformed(err) {
			t.Errorf("%s in an answer: %v", name, err)
		}
	}
	if err := wire.NewHeadUnpacker().UnpackAnswer(nil); !wire.IsMalformed(err) {
		t.Errorf("an answer without a head: %v", err)
	}
}
