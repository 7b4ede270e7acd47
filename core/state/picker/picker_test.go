package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthline/core/state/picker"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const remote = 40 * time.Millisecond

var candidates = []picker.Candidate{
	picker.NewCandidate("a", true), picker.NewCandidate("b", false), picker.NewCandidate("c", false),
}

func newTable() *picker.Picker { return picker.New(rand.New(rand.NewPCG(1, 2))) }

func report(tab *picker.Picker, now time.Time, host string, expected time.Duration, failed bool) {
	tab.Sent(host)
	tab.Done(now, host, expected, time.Millisecond, failed)
}

func picks(tab *picker.Picker, now time.Time, count int) map[string]int {
	out := map[string]int{}
	for range count {
		host, _ := tab.Pick(now, candidates, nil, false, remote)
		out[host]++
	}
	return out
}

// A call must leave its failure domain only when that saves more than the bytes are worth.
func TestStaysInDomain(t *testing.T) {
	tests := []struct {
		name  string
		local time.Duration
		want  string
	}{
		{"a little slower", 90 * time.Millisecond, "a"},
		{"much slower", 200 * time.Millisecond, "b"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tab := newTable()
			report(tab, start, "a", tst.local, false)
			report(tab, start, "b", 60*time.Millisecond, false)
			report(tab, start, "c", 100*time.Millisecond, false)
			if got := picks(tab, start, 50); got[tst.want] != 50 {
				t.Errorf("chose %v, want only %s", got, tst.want)
			}
		})
	}
}

// Load pattern: a gray upstream that sheds at once. It seems the fastest of all and must not attract the calls; once
// it has stopped failing it is tried again.
func TestGrayHost(t *testing.T) {
	tab := newTable()
	for range 20 {
		report(tab, start, "a", 5*time.Millisecond, true)
		report(tab, start, "b", 60*time.Millisecond, false)
		report(tab, start, "c", 60*time.Millisecond, false)
	}
	if got := picks(tab, start, 100); got["a"] > 0 {
		t.Errorf("a host that fails all calls got %d of 100", got["a"])
	}
	later := start.Add(20 * time.Second)
	report(tab, later, "b", 60*time.Millisecond, false)
	report(tab, later, "c", 60*time.Millisecond, false)
	if got := picks(tab, later, 100); got["a"] < 90 {
		t.Errorf("a host whose failures are long ago got %d of 100 calls", got["a"])
	}
}

// Many calls between two reports must not all go to the host with the best last report.
func TestOutstandingCallsCount(t *testing.T) {
	tab := newTable()
	for _, host := range []string{"a", "b", "c"} {
		tab.Sent(host)
		tab.Done(start, host, 50*time.Millisecond, 5*time.Millisecond, false)
	}
	got := map[string]int{}
	for range 60 {
		host, _ := tab.Pick(start, candidates, nil, false, 0)
		tab.Sent(host)
		got[host]++
	}
	for host, count := range got {
		if count > 30 {
			t.Errorf("host %s got %d of 60 calls", host, count)
		}
	}
}

// A host that cannot be reached is the last choice, and never a second attempt; one that leaves is no choice.
func TestUnreachableAndLeaving(t *testing.T) {
	tab := newTable()
	tab.Sent("a")
	tab.Unreachable(start, "a")
	tab.SetLeaving(start, "b")
	if got := picks(tab, start, 20); got["c"] != 20 {
		t.Errorf("chose %v, want only c", got)
	}
	if host, ok := tab.Pick(start, candidates, []string{"c"}, true, remote); ok {
		t.Errorf("a second attempt went to %s, which cannot be reached or leaves", host)
	}
	if host, _ := tab.Pick(start, candidates[:2], nil, false, remote); host != "a" {
		t.Errorf("without another host the first attempt went to %q, want a", host)
	}
	tab.SetPeerState(start, "a", true, false)
	if got := picks(tab, start, 20); got["a"] != 20 {
		t.Errorf("after its connection returned, chose %v, want a", got)
	}
}

// Each node must send its calls to a few hosts of a large service: the cost of a choice and the number of connections
// must not grow with the service. A host that cannot be reached is replaced by the next one.
func TestFewHostsOfLargeService(t *testing.T) {
	tab := newTable()
	var cans []picker.Candidate
	for i := range 200 {
		cans = append(cans, picker.NewCandidate(fmt.Sprint(i), i%3 == 0))
	}
	choose := func() map[string]bool {
		got := map[string]bool{}
		for range 2000 {
			host, ok := tab.Pick(start, cans, nil, false, 0)
			if !ok {
				t.Fatal("no host was chosen")
			}
			got[host] = true
		}
		return got
	}
	preferred := map[string]bool{}
	for _, can := range picker.Subset(cans) {
		preferred[can.ID()] = true
	}
	got := choose()
	if diff := cmp.Diff(preferred, got); diff != "" {
		t.Errorf("chosen hosts of the same load (-preferred +chosen):\n%s", diff)
	}
	for host := range got {
		tab.Sent(host)
		tab.Unreachable(start, host)
	}
	for host := range choose() {
		if got[host] {
			t.Errorf("host %s was chosen though it cannot be reached", host)
		}
	}
}
