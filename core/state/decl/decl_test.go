package decl_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
)

func hexDigest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// testDocument returns valid declarations after a change to their text; a nil change keeps them.
func testDocument(change func(string) string) []byte {
	text := fmt.Sprintf(`{
  "version": 7,
  "classes": [
    {"name": "read", "target": {"answered": 0.99, "within": "1s"}},
    {"name": "confirm", "target": {"answered": 0.9999, "within": "500ms"}}],
  "services": [{"name": "stampa", "routes": [
    {"method": "GET", "path": "/prints/{id}", "class": "read", "idempotent": true},
    {"method": "GET", "path": "/prints/all", "class": "read", "idempotent": true, "open": true},
    {"method": "POST", "path": "/prints", "class": "confirm"}]}],
  "teams": [{"name": "verona", "rate": 200, "burst": 400}],
  "keys": [{"id": "verona-1", "team": "verona", "sha256": %q}],
  "domains": [{"name": "nord-a", "region": "it", "state": "in"}]
}`, hexDigest("secret"))
	if change != nil {
		text = change(text)
	}
	return []byte(text)
}

// Lookups by name, key and path must find what was declared, and the more specific route first.
func TestDecodeIndexes(t *testing.T) {
	dec, err := decl.Decode(testDocument(nil))
	if err != nil {
		t.Fatal(err)
	}
	ser := dec.Service("stampa")
	got := map[string]string{
		"first class":   dec.Classes()[0].Name(),
		"literal first": ser.Match("GET", "/prints/all").Pattern(),
		"wildcard":      ser.Match("GET", "/prints/9").Pattern(),
		"team of key":   dec.KeyBySecret("secret").Team().Name(),
	}
	want := map[string]string{
		"first class": "confirm", "literal first": "/prints/all", "wildcard": "/prints/{id}", "team of key": "verona",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lookups in the declarations (-want +got):\n%s", diff)
	}
	if dec.KeyBySecret("other") != nil || ser.Match("GET", "/prints/9/x") != nil || ser.Match("GET", "/prints/") != nil {
		t.Error("an unknown key secret or an undeclared path was found")
	}
}

// An invalid document must be rejected as a whole, with the line, the field and the fault of each error.
func TestDecodeReportsErrors(t *testing.T) {
	tests := []struct {
		name, old, replacement, want string
	}{
		{"unknown field", `"rate": 200`, `"rate": 200, "weight": 3`, "line 10: teams[0].weight: is not a known field"},
		{"undeclared class", `"class": "confirm"`, `"class": "gold"`, `line 9: services[0].routes[2].class: names the undeclared class "gold"`},
		{"undeclared team", `"team": "verona"`, `"team": "torino"`, `line 11: keys[0].team: names the undeclared team "torino"`},
		{"duplicate class", `"name": "read"`, `"name": "confirm"`, `line 5: classes[1]: repeats "confirm"`},
		{"duplicate field", `"burst": 400`, `"burst": 400, "burst": 5`, "line 10: teams[0].burst: is given twice"},
		{"same pattern but for wildcard names", `"/prints/all"`, `"/prints/{name}"`, `repeats "GET prints/{}"`},
		{"zero rate", `"rate": 200`, `"rate": 0`, "line 10: teams[0].rate: is not above zero"},
		{"target ratio of 1", `0.9999`, `1`, "line 5: classes[1].target.answered: is not below 1"},
		{"bad duration", `"500ms"`, `"soon"`, "line 5: classes[1].target.within"},
		{"bad digest", hexDigest("secret"), "abc", "line 11: keys[0].sha256: is not a SHA-256 digest"},
		{"missing version", `"version": 7,`, "", "line 1: version: is missing"},
		{"syntax", `"domains":`, `"domains"`, "line 12: document"},
		{"bad state", `"state": "in"`, `"state": "off"`, "line 12: domains[0].state"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			_, err := decl.Decode(testDocument(func(text string) string { return strings.Replace(text, tst.old, tst.replacement, 1) }))
			if err == nil || !strings.Contains(err.Error(), tst.want) {
				t.Errorf("got %v, want an error with %q", err, tst.want)
			}
		})
	}
}

// A host list must be sorted and indexed, and a host name as peer address rejected, because peers are dialed by IP address.
func TestDecodeHosts(t *testing.T) {
	hos, err := decl.DecodeHosts([]byte(`{"version": 2, "hosts": [
{"id": "h2", "domain": "nord-a", "service": "stampa", "peer": "127.0.0.1:2", "state": "leaving"},
{"id": "h1", "domain": "nord-a", "service": "stampa", "peer": "127.0.0.1:1", "state": "live"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	got := []string{hos.All()[0].ID(), hos.OfService("stampa")[1].ID(), fmt.Sprint(hos.Host("h2").Leaving())}
	if diff := cmp.Diff([]string{"h1", "h2", "true"}, got); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
	_, err = decl.DecodeHosts([]byte(`{"version": 2, "hosts": [
{"id": "h2", "domain": "nord-a", "service": "stampa", "peer": "host.example:2", "state": "live"}]}`))
	if err == nil || !strings.Contains(err.Error(), "line 2: hosts[0].peer") {
		t.Errorf("a host name as peer address: got %v, want an error at line 2: hosts[0].peer", err)
	}
}

// A host list under the version of a restored platform must be valid: such versions do not fit into 32 bits, and a list with
// a cold host was refused as a whole.
func TestDecodeHostsWithHighVersion(t *testing.T) {
	hos, err := decl.DecodeHosts([]byte(`{"version": 4398046511109, "hosts": [
{"id": "h1", "domain": "nord-a", "service": "stampa", "peer": "127.0.0.1:1", "state": "live", "cold": "2s", "cold_at": 4398046511105}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := hos.Host("h1").ColdVersion(); got != 4398046511105 {
		t.Errorf("cold at version %d, want 4398046511105", got)
	}
}

// Contents must be ordered by the version of the operators, which also rises when the platform was restored from a copy.
// Without one the document's own version orders them.
func TestContentVersion(t *testing.T) {
	for operatorVersion, want := range map[string]uint64{"": 7, "31": 31} {
		dec, err := decl.Decode(testDocument(func(text string) string {
			if operatorVersion == "" {
				return text
			}
			return strings.Replace(text, "{", `{"operator_version": `+operatorVersion+",", 1)
		}))
		if err != nil {
			t.Fatal(err)
		}
		if got := dec.ContentVersion(); got != want {
			t.Errorf("content version with operator version %q is %d, want %d", operatorVersion, got, want)
		}
	}
}

// Decoders read bytes that a replica of the platform or a peer sent; no input may make them panic.
func FuzzDecode(f *testing.F) {
	f.Add(testDocument(nil))
	f.Add([]byte(`{"version": 1, "hosts": []}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decl.Decode(data)
		_, _ = decl.DecodeHosts(data)
		_, _ = decl.DecodeTolerant(data)
		_, _ = decl.DecodeHostsTolerant(data)
	})
}
