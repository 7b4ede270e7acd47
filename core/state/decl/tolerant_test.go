package decl_test

import (
	"strings"
	"testing"

	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
)

// An invalid item of declarations must cost itself and what refers to it, and nothing else: a node that refused the whole
// document would miss the other changes in it, and would have none if it had just started.
func TestInvalidItemsLeaveOthersInForce(t *testing.T) {
	tests := []struct {
		name, old, replacement string
		want                   []string // ignored items
	}{
		{"nothing invalid", "", "", nil},
		{"unknown field", `"rate": 200`, `"rate": 200, "weight": 3`, []string{"teams[0].weight"}},
		{"duplicate field", `"burst": 400`, `"burst": 400, "burst": 5`, []string{"teams verona", "keys verona-1"}},
		{"zero rate", `"rate": 200`, `"rate": 0`, []string{"teams verona", "keys verona-1"}},
		{"rate of another type", `"rate": 200`, `"rate": {"a": [[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]}`, []string{"teams verona", "keys verona-1"}},
		{"undeclared class", `"class": "confirm"`, `"class": "gold"`, []string{"services[0].routes[2]"}},
		{"undeclared team", `"team": "verona"`, `"team": "torino"`, []string{"keys verona-1"}},
		{"bad digest", hexDigest("secret"), "abc", []string{"keys verona-1"}},
		{"same pattern but for wildcard names", `"/prints/all"`, `"/prints/{name}"`, []string{"services[0].routes[1]"}},
		{"target ratio of 1", `0.9999`, `1`, []string{"classes confirm", "services[0].routes[2]"}},
		{"priority of one class only", `"name": "read"`, `"name": "read", "priority": 1`, []string{"classes confirm", "services[0].routes[2]"}},
		{"duplicate class", `"name": "confirm"`, `"name": "read"`, []string{"classes read", "services[0].routes[2]"}},
		{"bad state", `"state": "in"`, `"state": "off"`, []string{"domains nord-a"}},
		{"no object", `{"name": "nord-a", "region": "it", "state": "in"}`, `7`, []string{"domains[0]"}},
		{
			"invalid item before a valid one of the same name", `"domains": [`, `"domains": [{"name": "nord-a", "state": 7},`,
			[]string{"domains nord-a"},
		},
		{"bad limits", `"version": 7,`, `"version": 7, "limits": {"header_bytes": -1},`, []string{"limits"}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			data := testDocument(func(text string) string { return strings.Replace(text, tst.old, tst.replacement, 1) })
			dec, err := decl.DecodeTolerant(data)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, ign := range dec.Ignored() {
				got = append(got, ign.Name())
			}
			if diff := cmp.Diff(tst.want, got); diff != "" {
				t.Errorf("ignored items (-want +got):\n%s", diff)
			}
			if _, err := decl.Decode(data); (err == nil) != (tst.want == nil) {
				t.Errorf("Decode returned %v, want an error for an invalid item only", err)
			}
			if tst.name == "invalid item before a valid one of the same name" && dec.Domain("nord-a") == nil {
				t.Error("the valid item is not in force")
			}
		})
	}
}

// A document that is invalid outside of the items of its lists must be refused: nothing shows what of it holds.
func TestInvalidDocumentIsRefused(t *testing.T) {
	for old, replacement := range map[string]string{
		`"version": 7,`: "", `"version": 7`: `"version": 0`, `"domains":`: `"domains"`, `"teams": [`: `"teams": 7, "unknown": [`,
		`"services": [`: `"services": [], "services": [`,
	} {
		if _, err := decl.DecodeTolerant(testDocument(func(text string) string { return strings.Replace(text, old, replacement, 1) })); err == nil {
			t.Errorf("with %q in place of %q the document is not refused", replacement, old)
		}
	}
}

// The name and the reason of an ignored item must not fill the log, however long the values in it are.
func TestReasonOfIgnoredItemIsShort(t *testing.T) {
	long := strings.Repeat("é", 1<<17)
	for name, host := range map[string]string{
		"values":        `"id": "` + long + `", "domain": "nord-a", "service": "stampa", "peer": "` + long + `", "state": "live"`,
		"unknown field": `"id": "h2", "domain": "nord-a", "service": "stampa", "peer": "127.0.0.1:2", "state": "live", "` + long + `": 1`,
	} {
		t.Run(name, func(t *testing.T) {
			hos, err := decl.DecodeHostsTolerant([]byte(`{"version": 2, "hosts": [
{"id": "h1", "domain": "nord-a", "service": "stampa", "peer": "127.0.0.1:1", "state": "live"}, {` + host + "}]}"))
			if err != nil {
				t.Fatal(err)
			}
			if ign := hos.Ignored()[0]; len(ign.Name()) > 500 || len(ign.Reason()) > 500 {
				t.Errorf("name of %d bytes, reason of %d bytes, want at most 500", len(ign.Name()), len(ign.Reason()))
			}
		})
	}
}

// Operators must be told of a document that is longer than what the platform stores, and nodes must take longer ones, which
// a value of the platform was translated to.
func TestLengthOfDocument(t *testing.T) {
	for length, want := range map[int][2]bool{
		1 << 20: {true, true}, 1<<20 + 1: {false, true}, decl.MaxDocumentBytes: {false, true}, decl.MaxDocumentBytes + 1: {false, false},
	} {
		data := testDocument(nil)
		data = append(data, strings.Repeat(" ", length-len(data))...)
		_, strict := decl.Decode(data)
		_, tolerant := decl.DecodeTolerant(data)
		if diff := cmp.Diff(want, [2]bool{strict == nil, tolerant == nil}); diff != "" {
			t.Errorf("document of %d bytes valid for Decode and DecodeTolerant (-want +got):\n%s", length, diff)
		}
	}
}
