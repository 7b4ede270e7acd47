package status_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"amaranthline/io/protocol/status"
)

// Guards against a head that is judged beyond its end, or whose judgement depends on the parts in which it arrives.
func TestHead(t *testing.T) {
	tests := []struct {
		name, text string
		good       int  // length of the longest start without an error
		ended      bool // the head ends in text
	}{
		{"no fields", "HTTP/1.1 200 OK\r\n\r\nnot: a head", 30, true},
		{"bare line feeds", "HTTP/1.1 200 OK\nA: 1\n\n not a head", 33, true},
		{"fields", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a b\tc:\r\nB:\r\n\r\n", 55, true},
		{"not ended", "HTTP/1.1 200 OK\r\nA: 1\r\n\r", 24, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", 18, false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nA : 1\r\n\r\n", 18, false},
		{"blank at the start", "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n", 17, false},
		{"continued line", "HTTP/1.1 200 OK\r\nA: 1\r\n 2\r\n\r\n", 23, false},
		{"control byte", "HTTP/1.1 200 OK\r\nA\x01: 1\r\n\r\n", 18, false},
		{"byte above ASCII", "HTTP/1.1 200 OK\r\nA\xf6: 1\r\n\r\n", 18, false},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\n\r\n", 17, false},
		{"no colon", "HTTP/1.1 200 OK\r\nA\r\n\r\n", 18, false},
		{"no colon, bare line feed", "HTTP/1.1 200 OK\r\nA\n\r\n", 18, false},
		{"carriage return in a line", "HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n", 18, false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var parts status.Head
			for end := range len(tst.text) + 1 {
				var whole status.Head
				err := whole.Check([]byte(tst.text[:end]))
				if diff := cmp.Diff(end <= tst.good, err == nil); diff != "" {
					t.Errorf("%q in one part (-want +got):\n%s", tst.text[:end], diff)
				}
				if end == 0 {
					continue
				}
				partsErr := parts.Check([]byte(tst.text[end-1 : end]))
				if diff := cmp.Diff([]any{err == nil, whole.Ended()}, []any{partsErr == nil, parts.Ended()}); diff != "" {
					t.Errorf("%q in single bytes (-one part +bytes):\n%s", tst.text[:end], diff)
				}
				var fne *status.FieldNameError
				if err != nil && !errors.As(err, &fne) {
					t.Errorf("%q returned %v, want a FieldNameError", tst.text[:end], err)
				}
			}
			if diff := cmp.Diff(tst.ended, parts.Ended()); diff != "" {
				t.Errorf("the head has ended (-want +got):\n%s", diff)
			}
		})
	}
}
