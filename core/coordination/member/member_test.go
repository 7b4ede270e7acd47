package member_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/member"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_000_000, 0)

// snapshot returns declarations of the failure domains a and b and a host list. A host is given as "a1" for a host of
// domain a, or "a1!" if it is leaving; the domains whose letters are in outDomains are out of service.
func snapshot(t *testing.T, version int, outDomains string, hosts ...string) *decl.Snapshot {
	t.Helper()
	var domains, rows []string
	for _, dom := range []string{"a", "b"} {
		state := "in"
		if strings.Contains(outDomains, dom) {
			state = "out"
		}
		domains = append(domains, fmt.Sprintf(`{"name": %q, "region": "r", "state": %q}`, dom, state))
	}
	for _, name := range hosts {
		id, state := strings.TrimSuffix(name, "!"), "live"
		if id != name {
			state = "leaving"
		}
		port := 7000 + 1000*int(id[0]-'a') + len(rows)
		rows = append(rows, fmt.Sprintf(`{"id": %q, "domain": %q, "service": "s", "peer": "10.0.0.1:%d", "state": %q}`, id, id[:1], port, state))
	}
	dec, err := decl.Decode(fmt.Appendf(nil, `{"version": %d, "classes": [], "services": [], "teams": [], "keys": [], "domains": [%s]}`,
		version, strings.Join(domains, ",")))
	if err != nil {
		t.Fatal(err)
	}
	lst, err := decl.DecodeHosts(fmt.Appendf(nil, `{"version": %d, "hosts": [%s]}`, version, strings.Join(rows, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

var (
	peerUp      = core.NewPeerState(true, false, 0.5, time.Millisecond)
	peerDown    = core.NewPeerState(false, false, 0, 0)
	peerLeaving = core.NewPeerState(true, true, 0.5, time.Millisecond)
)

// fixture is a view under test and its virtual time.
type fixture struct {
	*member.View
	now       time.Time
	answering string // hosts whose probes are answered, separated by spaces
	setList   func(outDomains string, hosts ...string)
}

// advance lets virtual time pass while the hosts in answering answer a probe every 250 ms.
func (fix *fixture) advance(dur time.Duration) {
	for end := fix.now.Add(dur); fix.now.Before(end); fix.now = fix.now.Add(250 * time.Millisecond) {
		for _, host := range strings.Fields(fix.answering) {
			fix.Observe(fix.now, host, peerUp)
		}
	}
}

func (fix *fixture) candidates() string {
	var out []string
	for _, can := range fix.Candidates(fix.now, "s") {
		out = append(out, can.Host())
	}
	return strings.Join(sortUnique(out), " ")
}

// sortUnique returns the given hosts in ascending order and without duplicates, limited to the six hosts of these tests.
func sortUnique(in []string) []string {
	set := map[string]bool{}
	for _, name := range in {
		set[name] = true
	}
	var out []string
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		if set[name] {
			out = append(out, name)
		}
	}
	return out
}

// Guards against calls to hosts that failed, are leaving, left the fleet or are in a failure domain out of service, and
// against the loss of usable hosts after a faulty host list, a recovery or a drain. Each case starts with six hosts that
// are up and names the candidates that must be left.
func TestCandidates(t *testing.T) {
	all := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	tests := []struct {
		name string
		run  func(fix *fixture)
		want string
	}{
		{"all up", func(*fixture) {}, "a1 a2 a3 b1 b2 b3"},
		{"a refused connection removes the host at once", func(fix *fixture) { fix.ObserveConnFailed(fix.now, "a2") }, "a1 a3 b1 b2 b3"},
		{"a late answer does not bring back a failed host", func(fix *fixture) {
			fix.ObserveConnFailed(fix.now, "a2")
			fix.ObserveSuccess(fix.now.Add(100*time.Millisecond), "a2")
		}, "a1 a3 b1 b2 b3"},
		{"a failed host returns after a successful probe", func(fix *fixture) {
			fix.ObserveConnFailed(fix.now, "a2")
			fix.advance(2 * time.Second)
		}, "a1 a2 a3 b1 b2 b3"},
		{"unanswered probes remove the host", func(fix *fixture) { fix.Observe(fix.now, "b1", peerDown) }, "a1 a2 a3 b2 b3"},
		{"a silent connection removes the host", func(fix *fixture) { fix.ObserveSilent(fix.now, "b1") }, "a1 a2 a3 b2 b3"},
		{"a host without observations is removed within 4 s", func(fix *fixture) {
			fix.answering = "a1 a2 a3"
			fix.advance(4 * time.Second)
		}, "a1 a2 a3"},
		{"a probe with the leaving flag removes the host", func(fix *fixture) { fix.Observe(fix.now, "a1", peerLeaving) }, "a2 a3 b1 b2 b3"},
		{"a refusal for draining removes the host, and an older probe or answer does not bring it back", func(fix *fixture) {
			fix.ObserveLeaving(fix.now, "a1")
			fix.ObserveSuccess(fix.now, "a1")
			fix.advance(time.Second)
		}, "a2 a3 b1 b2 b3"},
		{"a host that was restarted after its drain returns", func(fix *fixture) {
			fix.ObserveLeaving(fix.now, "a1")
			fix.advance(4 * time.Second)
		}, "a1 a2 a3 b1 b2 b3"},
		{"a host that is leaving according to the list is removed", func(fix *fixture) { fix.setList("", "a1", "a2!", "a3", "b1", "b2", "b3") }, "a1 a3 b1 b2 b3"},
		{"the hosts of a domain out of service are removed", func(fix *fixture) { fix.setList("b", all...) }, "a1 a2 a3"},
		{"an unlisted host without recent calls is removed", func(fix *fixture) { fix.setList("", "a1", "a2", "a3", "b1", "b2") }, "a1 a2 a3 b1 b2"},
		{"an unlisted host that has just answered a call stays", func(fix *fixture) {
			fix.ObserveSuccess(fix.now, "b3")
			fix.setList("", "a1", "a2", "a3", "b1", "b2")
		}, "a1 a2 a3 b1 b2 b3"},
		{"an empty list never empties the fleet", func(fix *fixture) {
			fix.setList("")
			fix.advance(5 * time.Minute)
		}, "a1 a2 a3 b1 b2 b3"},
		{"an empty list does not keep a host that is down", func(fix *fixture) {
			fix.setList("")
			fix.answering = "a1 a2 b1 b2 b3"
			fix.Observe(fix.now, "a3", peerDown)
			fix.advance(2 * time.Minute)
		}, "a1 a2 b1 b2 b3"},
		{"when no host answers, the hosts of unknown state are candidates", func(fix *fixture) {
			fix.answering = ""
			fix.advance(20 * time.Second)
			fix.ObserveConnFailed(fix.now, "a1")
		}, "a2 a3 b1 b2 b3"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			fix := newFixture(t, all...)
			tst.run(fix)
			if diff := cmp.Diff(tst.want, fix.candidates()); diff != "" {
				t.Errorf("candidates (-want +got):\n%s", diff)
			}
		})
	}
}

func newFixture(t *testing.T, hosts ...string) *fixture {
	fix := &fixture{View: member.New(member.Settings{Host: "c1", Domain: "a", Service: "other"}), now: startTime, answering: strings.Join(hosts, " ")}
	version := 0
	fix.setList = func(outDomains string, hosts ...string) {
		version++
		fix.SetSnapshot(fix.now, snapshot(t, version, outDomains, hosts...))
		fix.HostsToConnect(fix.now)
	}
	fix.setList("", hosts...)
	fix.advance(10 * time.Second)
	return fix
}

// Guards against a surge of calls to a host that returns, alone or with its failure domain: its weight must grow slowly.
func TestReturningHostsWarmUp(t *testing.T) {
	all := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	fix := newFixture(t, all...)
	fix.setList("b", all...)
	fix.advance(time.Minute)
	fix.setList("", all...)
	fix.ObserveConnFailed(fix.now, "a1")
	weights := func() map[string]float64 {
		out := map[string]float64{}
		for _, can := range fix.Candidates(fix.now, "s") {
			out[can.Host()] = can.Weight()
		}
		return out
	}
	var got []map[string]float64
	for range 3 {
		got = append(got, weights())
		fix.advance(2500 * time.Millisecond)
	}
	want := []map[string]float64{
		{"a2": 1, "a3": 1, "b1": 0.1, "b2": 0.1, "b3": 0.1},
		{"a1": 0.3, "a2": 1, "a3": 1, "b1": 0.5, "b2": 0.5, "b3": 0.5},
		{"a1": 0.8, "a2": 1, "a3": 1, "b1": 1, "b2": 1, "b3": 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("weights after 0 s, 2.5 s and 5 s (-want +got):\n%s", diff)
	}
}

// Guards against connections to every host of a called service: at most 4 hosts of the local failure domain and 2 of
// others are connected, and a failed host is replaced by another one and connected to again later.
func TestHostsToConnectIsBounded(t *testing.T) {
	var hosts []string
	for _, dom := range []string{"a", "b"} {
		for i := range 9 {
			hosts = append(hosts, fmt.Sprint(dom, i+1))
		}
	}
	vie := member.New(member.Settings{Host: "b1", Domain: "b", Service: "other"})
	vie.SetSnapshot(startTime, snapshot(t, 1, "", hosts...))
	rateGroup := vie.HostsToConnect(startTime)
	if diff := cmp.Diff(hosts[10:], rateGroup); diff != "" {
		t.Errorf("connections to the hosts of the node's rate group (-want +got):\n%s", diff)
	}
	vie = member.New(member.Settings{Host: "c1", Domain: "c", Service: "other"})
	vie.SetSnapshot(startTime, snapshot(t, 1, "", hosts...))
	vie.Candidates(startTime, "s")
	before := vie.HostsToConnect(startTime)
	failed := before[0]
	vie.ObserveConnFailed(startTime, failed)
	during := vie.HostsToConnect(startTime.Add(time.Second))
	after := vie.HostsToConnect(startTime.Add(11 * time.Second))
	if len(before) != 2 || len(during) != 2 || slices.Contains(during, failed) {
		t.Errorf("when %s failed, the connections %v became %v; want 2 before and after, and none to it", failed, before, during)
	}
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("connections 11 s after the failure, compared with those before it (-want +got):\n%s", diff)
	}
	vie.SetNeighbours([]string{"a1", "gone"})
	if diff := cmp.Diff([]string{"a1"}, vie.HostsToConnect(startTime.Add(2*time.Minute))); diff != "" {
		t.Errorf("connections 2 minutes after the last call of the service (-want +got):\n%s", diff)
	}
}

// Guards against the loss of the connection to a host that failed or is leaving and has no replacement: only a probe over
// that connection can show that the host is back.
func TestHostsToConnectWithoutReplacement(t *testing.T) {
	for name, event := range map[string]func(*member.View){
		"failed":  func(vie *member.View) { vie.ObserveConnFailed(startTime, "a1") },
		"leaving": func(vie *member.View) { vie.ObserveLeaving(startTime, "a1") },
	} {
		vie := member.New(member.Settings{Host: "c1", Domain: "c", Service: "other"})
		vie.SetSnapshot(startTime, snapshot(t, 1, "", "a1", "a2"))
		vie.Candidates(startTime, "s")
		event(vie)
		if diff := cmp.Diff([]string{"a1", "a2"}, vie.HostsToConnect(startTime.Add(time.Second))); diff != "" {
			t.Errorf("connections after the event %s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against calls to a host that has just been observed to fail or drain, under any order of events.
func TestFailedHostsGetNoWork(t *testing.T) {
	snap := snapshot(t, 1, "", "a1", "a2", "b1")
	short := snapshot(t, 2, "", "a1")
	rapid.Check(t, func(t *rapid.T) {
		vie := member.New(member.Settings{Host: "c1", Domain: "a", Service: "other"})
		vie.SetSnapshot(startTime, snap)
		now := startTime
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "milliseconds")) * time.Millisecond)
			host := rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "host")
			unavailable := true
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				vie.ObserveConnFailed(now, host)
			case 1:
				vie.ObserveSilent(now, host)
			case 2:
				vie.ObserveLeaving(now, host)
			case 3:
				vie.Observe(now, host, peerDown)
			case 4:
				vie.Observe(now, host, peerLeaving)
			case 5:
				vie.SetSnapshot(now, short)
				unavailable = false
			case 6:
				vie.ObserveSuccess(now, host)
				unavailable = false
			default:
				vie.Observe(now, host, peerUp)
				unavailable = false
			}
			vie.HostsToConnect(now)
			for _, can := range vie.Candidates(now, "s") {
				if unavailable && can.Host() == host {
					t.Fatalf("%s is a candidate right after it failed or began to drain", host)
				}
			}
		}
	})
}

// Measures Candidates and ObserveSuccess, which every call uses, and the phase changes of a host that fails and returns.
func BenchmarkRequestPath(b *testing.B) {
	vie := member.New(member.Settings{Host: "c1", Domain: "a", Service: "other"})
	vie.SetSnapshot(startTime, snapshot(&testing.T{}, 1, "", "a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"))
	vie.Observe(startTime, "a1", peerUp)
	b.Run("candidates", func(b *testing.B) {
		for b.Loop() {
			vie.Candidates(startTime, "s")
		}
	})
	b.Run("success", func(b *testing.B) {
		for b.Loop() {
			vie.ObserveSuccess(startTime, "a1")
		}
	})
	b.Run("event", func(b *testing.B) {
		for b.Loop() {
			vie.ObserveConnFailed(startTime, "a1")
			vie.Observe(startTime.Add(time.Minute), "a1", peerUp)
		}
	})
}
