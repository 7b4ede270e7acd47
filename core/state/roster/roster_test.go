package roster_test

import (
	"testing"
	"time"

	"amaranthline/core/state/roster"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func at(sec float64) time.Time { return start.Add(time.Duration(sec * float64(time.Second))) }

func ids(ros *roster.Roster) []string {
	var out []string
	for _, ups := range ros.LatestPerHost() {
		out = append(out, ups.ID)
	}
	return out
}

// Entries that expired while the registry was away must not be published as gone before they had the time to return;
// a reader that was merely cut off for a moment must not wait.
func TestSynced(t *testing.T) {
	tests := []struct {
		name    string
		away    float64 // seconds without an answer
		after   float64 // seconds since the first answer
		settled bool
	}{
		{"short interruption", 2.9, 0, true},
		{"just back", 3.5, 0.1, false},
		{"entries had their time", 3.5, 2.1, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			ros := roster.New()
			ros.RegistryDown(at(0))
			ros.RegistryDown(at(tst.away / 2)) // further failures do not restart the interruption
			ros.RegistryUp(at(tst.away))
			if got := ros.Synced(at(tst.away + tst.after)); got != tst.settled {
				t.Errorf("settled is %v, want %v", got, tst.settled)
			}
		})
	}
}

// Readers that took different ways to a version must publish the same list under it, or lists alternate in the fleet:
// a removed entry came back that way and got calls for two seconds after it had left.
func TestContentFollowsFromVersion(t *testing.T) {
	one := roster.Instance{ID: "i-1", Host: "10.0.0.1", ModVersion: 3}
	two := roster.Instance{ID: "i-2", Host: "10.0.0.2", ModVersion: 5, ColdRemaining: time.Second}
	watcher, reader := roster.New(), roster.New()
	watcher.Put(one)
	watcher.Put(two)
	watcher.Remove(7, "i-1")
	reader.RegistryDown(at(0))
	reader.RegistryUp(at(9))
	reader.Put(one)
	reader.Replace(7, []roster.Instance{two})
	if watcher.Version() != 7 || reader.Version() != 7 {
		t.Errorf("versions %d and %d, want 7", watcher.Version(), reader.Version())
	}
	if diff := cmp.Diff(watcher.LatestPerHost(), reader.LatestPerHost()); diff != "" {
		t.Error(diff)
	}
}

// An upstream that starts again on its machine registers before its last entry has expired; the old entry must not
// hide it.
func TestNewestStartOfAMachine(t *testing.T) {
	ros := roster.New()
	ros.Put(roster.Instance{ID: "i-9", Host: "10.0.0.1", StartedMillis: 100, ModVersion: 4})
	ros.Put(roster.Instance{ID: "i-1", Host: "10.0.0.1", StartedMillis: 200, ModVersion: 5})
	ros.Put(roster.Instance{ID: "i-5", Host: "10.0.0.2", StartedMillis: 150, ModVersion: 6})
	if diff := cmp.Diff([]string{"i-1", "i-5"}, ids(ros)); diff != "" {
		t.Error(diff)
	}
	ros.Remove(7, "i-1")
	if diff := cmp.Diff([]string{"i-9", "i-5"}, ids(ros)); diff != "" {
		t.Error(diff)
	}
}
