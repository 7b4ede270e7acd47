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

const remotePenalty = 40 * time.Millisecond

var candidates = []picker.Candidate{
	picker.NewCandidate("a", true), picker.NewCandidate("b", false), picker.NewCandidate("c", false),
}

func newPicker() *picker.Picker { return picker.New(rand.New(rand.NewPCG(1, 2))) }

func report(pic *picker.Picker, now time.Time, host string, expected time.Duration, failed bool) {
	pic.Sent(host)
	pic.Done(now, host, expected, time.Millisecond, failed)
}

func picks(pic *picker.Picker, now time.Time, count int) map[string]int {
	out := map[string]int{}
	for range count {
		host, _ := pic.Pick(now, candidates, nil, false, remotePenalty)
		out[host]++
	}
	return out
}

// Guards against calls sent to a host in another failure domain that is faster by less than the penalty, which stands
// for the cost of traffic between failure domains.
func TestPrefersLocalFailureDomain(t *testing.T) {
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
			pic := newPicker()
			report(pic, start, "a", tst.local, false)
			report(pic, start, "b", 60*time.Millisecond, false)
			report(pic, start, "c", 100*time.Millisecond, false)
			if got := picks(pic, start, 50); got[tst.want] != 50 {
				t.Errorf("hosts chosen for 50 calls are %v, want only %s", got, tst.want)
			}
		})
	}
}

// Guards against an upstream that fails its calls quickly: it looks the fastest of all and would attract every call.
// Once its failures are long ago, it must be tried again.
func TestFastFailingHost(t *testing.T) {
	pic := newPicker()
	for range 20 {
		report(pic, start, "a", 5*time.Millisecond, true)
		report(pic, start, "b", 60*time.Millisecond, false)
		report(pic, start, "c", 60*time.Millisecond, false)
	}
	if got := picks(pic, start, 100); got["a"] > 0 {
		t.Errorf("a host that fails all its calls got %d of 100 calls, want none", got["a"])
	}
	later := start.Add(20 * time.Second)
	report(pic, later, "b", 60*time.Millisecond, false)
	report(pic, later, "c", 60*time.Millisecond, false)
	if got := picks(pic, later, 100); got["a"] < 90 {
		t.Errorf("a host whose last failure was 20 s ago got %d of 100 calls, want at least 90", got["a"])
	}
}

// Guards against sending all calls between two reports to the host whose last report was the best: the calls sent since
// then must count.
func TestCallsSinceReportCount(t *testing.T) {
	pic := newPicker()
	for _, host := range []string{"a", "b", "c"} {
		pic.Sent(host)
		pic.Done(start, host, 50*time.Millisecond, 5*time.Millisecond, false)
	}
	got := map[string]int{}
	for range 60 {
		host, _ := pic.Pick(start, candidates, nil, false, 0)
		pic.Sent(host)
		got[host]++
	}
	for host, count := range got {
		if count > 30 {
			t.Errorf("host %s got %d of 60 calls sent since the last reports, want at most 30", host, count)
		}
	}
}

// Guards against calls to hosts that cannot be reached while there are others, retries to such hosts, and calls to
// hosts that refuse calls because they are leaving.
func TestUnreachableAndDrainingHosts(t *testing.T) {
	pic := newPicker()
	pic.Sent("a")
	pic.Unreachable(start, "a")
	pic.SetDraining(start, "b")
	if got := picks(pic, start, 20); got["c"] != 20 {
		t.Errorf("hosts chosen for 20 calls are %v, want only c", got)
	}
	if host, ok := pic.Pick(start, candidates, []string{"c"}, true, remotePenalty); ok {
		t.Errorf("a retry went to host %s, which cannot be reached or is draining", host)
	}
	if host, _ := pic.Pick(start, candidates[:2], nil, false, remotePenalty); host != "a" {
		t.Errorf("without a reachable host the first attempt went to %q, want a", host)
	}
	pic.SetPeerState(start, "a", true, false)
	if got := picks(pic, start, 20); got["a"] != 20 {
		t.Errorf("after the connection to a was up again, the hosts chosen for 20 calls are %v, want only a", got)
	}
}

// Guards against refusing calls while all hosts of a service are leaving, as when they restart one after the other: such
// hosts still take calls, and are left alone only while there is another one.
func TestLeavingHostsServeWhenThereIsNoOther(t *testing.T) {
	pic := newPicker()
	pic.SetPeerState(start, "a", true, true)
	pic.SetLeaving(start, "b")
	if got := picks(pic, start, 20); got["c"] != 20 {
		t.Errorf("hosts chosen for 20 calls are %v, want only c, which is not leaving", got)
	}
	pic.SetPeerState(start, "c", false, false)
	if got := picks(pic, start, 20); got["a"]+got["b"] != 20 {
		t.Errorf("hosts chosen for 20 calls are %v, want only a and b, which are leaving but can be reached", got)
	}
	pic.SetDraining(start, "b")
	if host, _ := pic.Pick(start, candidates, nil, true, remotePenalty); host != "a" {
		t.Errorf("a retry went to %q, want a, the only host that takes calls", host)
	}
}

// Guards against a cost of each choice and a number of connections that grow with the size of the service: each node
// must send its calls to a few hosts of a large service, and replace those that cannot be reached by the next ones.
func TestFewHostsOfLargeService(t *testing.T) {
	pic := newPicker()
	var many []picker.Candidate
	for i := range 200 {
		many = append(many, picker.NewCandidate(fmt.Sprint(i), i%3 == 0))
	}
	choose := func() map[string]bool {
		got := map[string]bool{}
		for range 2000 {
			host, ok := pic.Pick(start, many, nil, false, 0)
			if !ok {
				t.Fatal("no host was chosen from 200 candidates")
			}
			got[host] = true
		}
		return got
	}
	preferred := map[string]bool{}
	for _, can := range picker.Subset(many) {
		preferred[can.ID()] = true
	}
	got := choose()
	if diff := cmp.Diff(preferred, got); diff != "" {
		t.Errorf("hosts chosen while all can be reached (-preferred +chosen):\n%s", diff)
	}
	for host := range got {
		pic.Sent(host)
		pic.Unreachable(start, host)
	}
	for host := range choose() {
		if got[host] {
			t.Errorf("host %s was chosen though it cannot be reached", host)
		}
	}
}

// Replays the restart of a whole fleet, after which the upstreams are cold for three seconds and refuse most calls. A
// host that became warm a moment later than another one kept being avoided for seconds, because its last report counted
// the cold time in; the hosts that were tried first filled their queues meanwhile.
func TestColdHostIsUsedAsSoonAsItIsWarm(t *testing.T) {
	pic := newPicker()
	warm := start.Add(3 * time.Second)
	for now := start; now.Before(warm); now = now.Add(50 * time.Millisecond) {
		for _, host := range []string{"a", "b"} {
			report(pic, now, host, 60*time.Millisecond, false)
			pic.SetCold(host, warm)
		}
		report(pic, now, "c", 150*time.Millisecond, false)
	}
	cold := warm.Add(-time.Millisecond)
	if got := picks(pic, cold, 50); got["c"] != 50 {
		t.Errorf("hosts chosen for 50 calls while a and b are cold are %v, want only c", got)
	}
	if got := picks(pic, warm, 50); got["a"] != 50 {
		t.Errorf("hosts chosen for 50 calls when all are warm are %v, want only a", got)
	}
}
