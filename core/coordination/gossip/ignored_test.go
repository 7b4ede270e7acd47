package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/state/decl"

	"github.com/google/go-cmp/cmp"
)

// unusableHosts returns hosts of a host list that cannot be used.
func unusableHosts() []string {
	var out []string
	for field, values := range map[string][]string{
		"id": {`""`, "7", "null"}, "domain": {`""`, "7"}, "service": {`""`, "{}"}, "state": {`"resting"`, "true"},
		"peer":  {`"host.example:7002"`, `"::1:7002"`, `"10.0.0.9:70000"`, `"10.0.0.9"`, "7"},
		"slots": {"-1", "3.5", "2147483648", "1e300", `"35"`}, "cold": {`"-1s"`, `"soon"`, "5"},
		"instance": {`""`, "7"},
	} {
		for _, value := range values {
			fields := map[string]string{
				"id": `"agent"`, "domain": `"domain-0"`, "service": `"service-000"`, "peer": `"10.0.0.9:7002"`, "state": `"live"`,
			}
			fields[field] = value
			var text []string
			for name, val := range fields {
				text = append(text, fmt.Sprintf("%q:%s", name, val))
			}
			out = append(out, "{"+strings.Join(text, ",")+"}")
		}
	}
	return append(out, "7", "null", "[]", "{}", strings.Repeat("[", 100)+strings.Repeat("]", 100),
		`{"id":"agent","id":"agent","domain":"domain-0","service":"service-000","peer":"10.0.0.9:7002","state":"live"}`)
}

// withHosts returns a host list with further hosts before and after the others.
func withHosts(doc core.Document, rows ...string) core.Document {
	text := strings.Replace(string(doc.Data()), "[\n", "["+strings.Join(rows, ",")+",\n", 1)
	return core.NewDocument(doc.Name(), doc.Version(), []byte(strings.Replace(text, "]}", ","+strings.Join(rows, ",")+"]}", 1)))
}

// Guards against nodes that learn of no further host, and of none at all after a restart, because one host on the list
// cannot be used.
func TestUnusableHostLeavesHostListInForce(t *testing.T) {
	for _, row := range unusableHosts() {
		t.Run(row, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fle := newFleet(4, 2)
				defer fle.stopAll()
				fle.start(fle.ids[:3]...)
				advance(5 * time.Second)
				fle.publish(withHosts(fle.hostList(2), row))
				advance(maxPropagation)
				fle.start(fle.ids[3])
				advance(5 * time.Second)
				if diff := cmp.Diff(map[string]int{"1 2": 4}, fle.countVersions()); diff != "" {
					t.Errorf("nodes by versions of declarations and host list (-want +got):\n%s", diff)
				}
				for _, nod := range fle.runningNodes() {
					if got := len(nod.syncer.Snapshot().Hosts().All()); got != 4 {
						t.Errorf("node %s uses %d hosts, want 4", nod.id, got)
					}
				}
			})
		})
	}
}

// Guards against invalid items that operators cannot see, and against a report of the same item with each version.
func TestIgnoredItemIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fle := newFleet(2, 1)
		fle.isWatcher = func(string) bool { return true }
		var reports []string
		syn := gossip.New(gossip.Settings{
			Host: "h0000", Domain: "domain-0", Peers: &peerLinks{fleet: fle, self: "h0000"}, Rand: rand.New(rand.NewPCG(1, 1)),
			Source:    &source{platform: fle.platform, host: "h0000"},
			OnIgnored: func(ign *decl.IgnoredItem) { reports = append(reports, ign.Name()+": "+ign.Reason()) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = syn.Run(ctx)
		}()
		defer func() { cancel(); <-done }()
		const row = `{"id":"agent","domain":"domain-0","service":"service-000","peer":"10.0.0.9:7002","state":"resting"}`
		for version, broken := range []bool{false, true, true, false, true} {
			doc := fle.hostList(uint64(version + 2))
			if broken {
				doc = withHosts(doc, row)
			}
			fle.publish(doc)
			advance(maxPropagation)
			want := 0
			if broken {
				want = 2 // before and after the others
			}
			if got := len(syn.Ignored()); got != want {
				t.Errorf("%d items of version %d are ignored, want %d", got, version+2, want)
			}
		}
		const report = `hosts agent: line 1: hosts[0].state: is "resting"; use one of ["live" "leaving"]`
		if diff := cmp.Diff([]string{report, report}, reports); diff != "" {
			t.Errorf("reports (-want +got):\n%s", diff)
		}
	})
}

// Guards against programs that are no upstreams and register beside them: they must take no part, must not keep an upstream
// on the same host from being used, and must not stay among the hosts that nodes ask for newer versions.
func TestHostsOfUndeclaredServices(t *testing.T) {
	sto := gossip.NewStore()
	sto.UseOnlyDeclared()
	hosts := core.NewDocument(core.DocumentHosts, 1, []byte(`{"version":1,"hosts":[
{"id":"10.0.0.1","domain":"domain-0","service":"backup-agent","peer":"10.0.0.1:7002","state":"leaving","instance":"agent-1"},
{"id":"10.0.0.1","domain":"domain-0","service":"stampa","peer":"10.0.0.1:7002","state":"live","instance":"i-1"},
{"id":"10.0.0.2","domain":"domain-0","service":"backup-agent","peer":"10.0.0.2:7002","state":"live","instance":"agent-2"}]}`))
	declared := core.NewDocument(core.DocumentDeclarations, 1, []byte(`{"version":1,"classes":[],"services":[{"name":"stampa","routes":[]}],"teams":[],"keys":[],"domains":[]}`))
	for _, doc := range []core.Document{hosts, declared} {
		if changed, err := sto.Apply(doc, nil); err != nil || !changed {
			t.Fatalf("%s are not in force: changed %t, %v", doc.Name(), changed, err)
		}
	}
	var got []string
	for _, hos := range sto.Snapshot().Hosts().All() {
		got = append(got, hos.ID()+" "+hos.Instance())
	}
	for _, ign := range sto.Ignored() {
		got = append(got, ign.Name()+": "+ign.Reason())
	}
	want := []string{
		"10.0.0.1 i-1",
		`hosts 10.0.0.1 backup-agent: names the undeclared service "backup-agent"`,
		`hosts 10.0.0.2 backup-agent: names the undeclared service "backup-agent"`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("hosts in use and ignored items (-want +got):\n%s", diff)
	}
}

// Guards against hosts that stay among the watchers and neighbours after declarations have shown that they are no upstreams.
func TestUndeclaredHostsLeaveOverlay(t *testing.T) {
	ove := gossip.NewOverlay("10.0.0.1", "domain-0")
	var rows []string
	for i := range 40 {
		service := "backup-agent"
		if i < 4 {
			service = "stampa"
		}
		rows = append(rows, fmt.Sprintf(`{"id":"10.0.0.%d","domain":"domain-0","service":%q,"peer":"10.0.0.%d:7002","state":"live"}`, i+1, service, i+1))
	}
	hosts, err := decl.DecodeHosts([]byte(`{"version":1,"hosts":[` + strings.Join(rows, ",") + "]}"))
	if err != nil {
		t.Fatal(err)
	}
	dec, err := decl.Decode([]byte(`{"version":1,"classes":[],"services":[{"name":"stampa","routes":[]}],"teams":[],"keys":[],"domains":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	ove.SetHosts(hosts)
	ove.SetHosts(hosts.OfDeclaredServices(dec))
	for _, host := range append(ove.Neighbours(), ove.HigherRanked()...) {
		if hos := hosts.Host(host); hos.Service() != "stampa" {
			t.Errorf("%s of the service %s is asked for newer versions", host, hos.Service())
		}
	}
}
