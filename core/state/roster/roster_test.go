package roster_test

import (
	"strconv"
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
	fromWatch.Put(at(0), one)
	fromWatch.Put(at(0), two)
	fromWatch.Remove(at(0), 7, "i-1")
	fromSnapshot.RegistryFailed(at(0))
	fromSnapshot.RegistryAnswered(at(9))
	fromSnapshot.Put(at(0), one)
	fromSnapshot.Replace(at(9), 7, []roster.Instance{two})
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
	ros.Put(at(0), roster.Instance{ID: "i-9", Host: "10.0.0.1", StartedMillis: 100, ModVersion: 4})
	ros.Put(at(0), roster.Instance{ID: "i-1", Host: "10.0.0.1", StartedMillis: 200, ModVersion: 5})
	ros.Put(at(0), roster.Instance{ID: "i-5", Host: "10.0.0.2", StartedMillis: 150, ModVersion: 6})
	if diff := cmp.Diff([]string{"i-1", "i-5"}, ids(ros)); diff != "" {
		t.Errorf("latest instance of each host (-want +got):\n%s", diff)
	}
	ros.Remove(at(0), 7, "i-1")
	if diff := cmp.Diff([]string{"i-9", "i-5"}, ids(ros)); diff != "" {
		t.Errorf("latest instance of each host after the removal of i-1 (-want +got):\n%s", diff)
	}
}

// Guards against calls to instances that left before a restoration of the registry, whose entries the copy still has, and
// against the loss of instances that run: those of which the registry has lost the entry, and those that expired only or
// started again under the same identifier and are registered again.
func TestDeparturesOutliveRestoration(t *testing.T) {
	entry := func(id string, started int64, sequence uint64, leaving bool) roster.Instance {
		return roster.Instance{ID: id, Host: id, StartedMillis: started, Sequence: sequence, Leaving: leaving}
	}
	tests := []struct {
		name    string
		before  func(ros *roster.Roster)
		pause   float64 // seconds from the departure to the restoration
		entry   roster.Instance
		listed  bool
		leaving bool
	}{
		{"removed", func(ros *roster.Roster) { ros.Remove(at(1), 9, "i-1") }, 5, entry("i-1", 100, 3, false), false, false},
		{"missing from a whole read", func(ros *roster.Roster) { ros.Replace(at(1), 9, []roster.Instance{entry("i-2", 100, 1, false)}) }, 5, entry("i-1", 100, 3, false), false, false},
		{"leaving", func(ros *roster.Roster) { ros.Put(at(1), entry("i-1", 100, 4, true)) }, 5, entry("i-1", 100, 3, false), true, true},
		{"expired and registered again", func(ros *roster.Roster) { ros.Remove(at(1), 9, "i-1") }, 5, entry("i-1", 100, 4, false), true, false},
		{"started again", func(ros *roster.Roster) { ros.Remove(at(1), 9, "i-1") }, 5, entry("i-1", 200, 1, false), true, false},
		{"start unknown", func(ros *roster.Roster) { ros.Remove(at(1), 9, "i-1") }, 5, entry("i-1", 0, 3, false), true, false},
		{"left long ago", func(ros *roster.Roster) { ros.Remove(at(1), 9, "i-1") }, 120, entry("i-1", 100, 3, false), true, false},
		{"running", func(*roster.Roster) {}, 5, entry("i-1", 100, 3, false), true, false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			ros := roster.New()
			ros.Put(at(0), entry("i-1", 100, 3, false))
			tst.before(ros)
			for count := range 2 { // a second restoration from the same copy
				now := at(1 + float64(count+1)*tst.pause)
				ros.RegistryRestored(now)
				ros.Replace(now, 100, []roster.Instance{tst.entry})
				list := ros.LatestPerHost()
				if (len(list) == 1) != tst.listed || tst.listed && list[0].Leaving != tst.leaving {
					t.Errorf("after restoration %d the roster has %+v, want listed %v, leaving %v", count+1, list, tst.listed, tst.leaving)
				}
			}
		})
	}
}

// Guards against an instance that counts as gone because a restored registry has lost its entry, or because a removed
// instance registers again in a registry that was not restored.
func TestLostEntryIsNoDeparture(t *testing.T) {
	ins := roster.Instance{ID: "i-1", Host: "10.0.0.1", StartedMillis: 100, Sequence: 3}
	ros := roster.New()
	ros.Put(at(0), ins)
	ros.Remove(at(1), 9, ins.ID)
	ros.Put(at(2), ins)
	got := []int{len(ros.LatestPerHost())}
	for _, list := range [][]roster.Instance{nil, {ins}} { // lost with the first restoration, in the copy of the second
		ros.RegistryRestored(at(5))
		ros.Replace(at(5), 100, list)
		got = append(got, len(ros.LatestPerHost()))
	}
	if diff := cmp.Diff([]int{1, 0, 1}, got); diff != "" {
		t.Errorf("instances after the registration, the first and the second restoration (-want +got):\n%s", diff)
	}
}

// Guards against memory that grows with the number of instances that ever left.
func TestDeparturesAreBounded(t *testing.T) {
	ros := roster.New()
	const count = 3000
	for i := range count {
		ins := roster.Instance{ID: strconv.Itoa(i), Host: strconv.Itoa(i), StartedMillis: 100, Sequence: 1}
		ros.Put(at(float64(i)/1000), ins)
		ros.Remove(at(float64(i)/1000), 9, ins.ID)
	}
	ros.RegistryRestored(at(5))
	var list []roster.Instance
	for i := range count {
		list = append(list, roster.Instance{ID: strconv.Itoa(i), Host: strconv.Itoa(i), StartedMillis: 100, Sequence: 1})
	}
	ros.Replace(at(5), 100, list)
	if got := count - len(ros.LatestPerHost()); got != 1024 {
		t.Errorf("%d departures are remembered, want 1,024", got)
	}
}
