package decl_test

import (
	"strings"
	"testing"

	"amaranthline/core/state/decl"
)

// The reason of an ignored item must not fill the log, however long the values in it are.
func TestReasonOfIgnoredItemIsShort(t *testing.T) {
	long := strings.Repeat("é", 1<<17)
	hos, err := decl.DecodeHostsTolerant([]byte(`{"version": 2, "hosts": [
{"id": "h1", "domain": "nord-a", "service": "stampa", "peer": "127.0.0.1:1", "state": "live"},
{"id": "` + long + `", "domain": "nord-a", "service": "stampa", "peer": "` + long + `", "state": "live"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if ign := hos.Ignored()[0]; len(ign.Name()) > 500 || len(ign.Reason()) > 500 {
		t.Errorf("name of %d bytes, reason of %d bytes, want at most 500", len(ign.Name()), len(ign.Reason()))
	}
}
