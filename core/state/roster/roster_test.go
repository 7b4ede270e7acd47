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
	for _, ins := range ros.LatestPerHost() {
		out = append(out, ins.ID)
	}
	return out
}

// Guards against publishing a list without the instances that expired during an outage of the registry and are about to
// register again, and against delaying the list after an outage too short for any to expire.
func TestSynced(t *testing.T) {
	tests := []struct {
		name        string
		outage      float64 // seconds without an answer of the registry
		sinceReturn float64 // seconds since its first answer
		synced      bool
	}{
		{"short outage", 2.9, 0, true},
		{"registry just back", 3.5, 0.1, false},
		{"time to register has passed", 3.5, 2.1, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			ros := roster.New()
			ros.RegistryFailed(at(0))
			ros.RegistryFailed(at(tst.outage / 2)) // further failures do not restart the outage
			ros.RegistryAnswered(at(tst.outage))
			if got := ros.Synced(at(tst.outage + tst.sinceReturn)); got != tst.synced {
				t.Errorf("Synced returned %v, want %v", got, tst.synced)
			}
		})
	}
}

// Guards against different lists under one version: a reader that watched the changes and one that read the whole
// registry must publish the same list, or the lists alternate among the hosts. In this way a removed instance was
// listed again and got calls for two seconds after it had left.
func TestSameVersionSameList(t *testing.T) {
	one := roster.Instance{ID: "i-1", Host: "10.0.0.1", ModVersion: 3}
	two := roster.Instance{ID: "i-2", Host: "10.0.0.2", ModVersion: 5, ColdRemaining: time.Second}
	fromWatch, fromSnapshot := roster.New(), roster.New()
	fromWatch.Put(one)
	fromWatch.Put(two)
	fromWatch.Remove(7, "i-1")
	fromSnapshot.RegistryFailed(at(0))
	fromSnapshot.RegistryAnswered(at(9))
	fromSnapshot.Put(one)
	fromSnapshot.Replace(7, []roster.Instance{two})
	if fromWatch.Version() != 7 || fromSnapshot.Version() != 7 {
		t.Errorf("versions from watching and from a whole read are %d and %d, want 7", fromWatch.Version(), fromSnapshot.Version())
	}
	if diff := cmp.Diff(fromWatch.LatestPerHost(), fromSnapshot.LatestPerHost()); diff != "" {
		t.Errorf("lists under version 7 (-from watching +from a whole read):\n%s", diff)
	}
}

// Guards against listing the previous instance of an upstream that has started again on its host and registered before
// that instance has expired.
func TestLatestInstancePerHost(t *testing.T) {
	ros := roster.New()
	ros.Put(roster.Instance{ID: "i-9", Host: "10.0.0.1", StartedMillis: 100, ModVersion: 4})
	ros.Put(roster.Instance{ID: "i-1", Host: "10.0.0.1", StartedMillis: 200, ModVersion: 5})
	ros.Put(roster.Instance{ID: "i-5", Host: "10.0.0.2", StartedMillis: 150, ModVersion: 6})
	if diff := cmp.Diff([]string{"i-1", "i-5"}, ids(ros)); diff != "" {
		t.Errorf("latest instance of each host (-want +got):\n%s", diff)
	}
	ros.Remove(7, "i-1")
	if diff := cmp.Diff([]string{"i-9", "i-5"}, ids(ros)); diff != "" {
		t.Errorf("latest instance of each host after the removal of i-1 (-want +got):\n%s", diff)
	}
}
