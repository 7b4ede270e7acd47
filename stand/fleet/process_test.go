package fleet_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"amaranthline/stand/fleet"
)

const pauseDuration = 3 * time.Second

// Guards against a killed process that affects more than the calls it was working on: within 2 s, other hosts must serve
// all requests, and no retry may run a print a second time.
func TestKill(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	lod := fix.startLoad(4*time.Millisecond, readsAndPrints("stampa", fix.hostsOf("ordini")))
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	stampa := fix.hostsOf("stampa")
	for _, tst := range []struct {
		name   string
		killed []fleet.Process
	}{
		{"node", []fleet.Process{stampa[1].Node()}},
		{"upstream", []fleet.Process{stampa[2].Upstream()}},
		{"node and upstream of two hosts", []fleet.Process{stampa[0].Node(), stampa[1].Upstream()}},
	} {
		start := time.Now()
		for _, pro := range tst.killed {
			pro.Kill()
		}
		lod.awaitAndCheck(start.Add(takeoverTime), 100, (*exchange).ok)
		t.Logf("%s: %s", tst.name, countOutcomes(lod.sentSince(start)))
		fix.checkAll(lod.sentSince(start), answeredInTime)
		for _, pro := range tst.killed {
			fix.must(pro.Restart())
		}
		for _, hos := range stampa {
			fix.must(hos.WaitReady(t.Context()))
		}
	}
	fix.checkRunsOnce(lod.stop())
}

// Guards against callers of other nodes that wait for a paused node beyond their deadlines, also when another node is
// killed during the pause. The remaining nodes must serve all requests within 2 s, and the paused node must serve again
// afterwards.
func TestPause(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	stampa := fix.hostsOf("stampa")
	lod := fix.startLoad(4*time.Millisecond, readsAndPrints("stampa", fix.hostsOf("ordini")))
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	for _, killed := range []*fleet.Host{nil, stampa[1]} {
		start := time.Now()
		fix.must(stampa[0].Node().Signal(syscall.SIGSTOP))
		if killed != nil {
			killed.Node().Kill()
		}
		lod.awaitAndCheck(start.Add(takeoverTime), 100, (*exchange).ok)
		time.Sleep(pauseDuration - time.Since(start))
		fix.must(stampa[0].Node().Signal(syscall.SIGCONT))
		if killed != nil {
			fix.must(killed.Node().Restart())
		}
		lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
		t.Log(countOutcomes(lod.sentSince(start)))
		fix.checkAll(lod.sentSince(start), answeredInTime)
	}
	fix.checkRunsOnce(lod.stop())
}

// Guards against calls that are queued at a node when it is paused and start after the pause, although other hosts may have
// used their team's rate since. The calls' class has a deadline of 30 s, so that only the age of the admission can be the
// reason to refuse them.
func TestPauseWithQueuedCalls(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	host, entryHosts := fix.hostsOf("stampa")[0], fix.hostsOf("ordini")
	for _, hos := range fix.hostsOf("stampa") {
		fix.control(hos, "service", `{"time": "300ms"}`)
	}
	stopped := make(chan struct{})
	lod := fix.startLoad(time.Millisecond, func(num int) *exchange {
		return &exchange{host: entryHosts[num%len(entryHosts)], method: http.MethodPost, path: fmt.Sprintf("/stampa/orders/%d", num)}
	})
	fix.await(settleTimeout, "more than 2 queued calls", func() bool { return fix.metric(host, "amaranthline_waiting") > 2 })
	lod.cancel()
	fix.must(host.Node().Signal(syscall.SIGSTOP))
	go func() { defer close(stopped); lod.stop() }()
	start := time.Now()
	fix.await(2*time.Second, "the end of the calls that run at the upstream", func() bool { return fix.stats(host).InFlight == 0 })
	before := fix.stats(host).Runs
	time.Sleep(pauseDuration - time.Since(start))
	fix.must(host.Node().Signal(syscall.SIGCONT))
	<-stopped
	exchanges := lod.stop()
	t.Log(countOutcomes(exchanges))
	if diff := cmp.Diff(before, fix.stats(host).Runs); diff != "" {
		t.Errorf("runs before and after the pause (-before +after):\n%s", diff)
	}
	fix.checkAll(exchanges, (*exchange).answeredOrTypedError)
	fix.checkRunsOnce(exchanges)
}

// Guards against a retry that runs a print at a second upstream after the first one has crashed on it, and against
// requests that still fail 2 s after an upstream crashed, began to drain or began to shed, or that fail because an upstream
// starts cold.
func TestUpstreamFaults(t *testing.T) {
	pla := plan()
	pla.Services[1].UpstreamArgs = []string{"--cold-slots", "2", "--cold-over", "2s"}
	fix := startFleet(t, pla)
	defer fix.checkNoRefusal(t)
	stampa, ordini := fix.hostsOf("stampa"), fix.hostsOf("ordini")
	lod := fix.startLoad(5*time.Millisecond, readsAndPrints("stampa", ordini))
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	for _, hos := range stampa {
		fix.control(hos, "crash", `{"marker": "crash-me"}`)
	}
	start := time.Now()
	crashing := (&exchange{host: ordini[0], method: http.MethodPost, path: "/stampa/prints/crash-me"}).send(http.DefaultClient)
	if crashing.status != http.StatusBadGateway || crashing.outcome != "unknown" {
		t.Errorf("the print that crashes its upstream must get status 502 with outcome unknown: %s", crashing)
	}
	lod.awaitAndCheck(start.Add(takeoverTime), 100, (*exchange).ok)
	fix.checkAll(lod.sentSince(start), answeredInTime)
	var crashed []*fleet.Host
	for _, hos := range stampa {
		if hos.Upstream().Exited() {
			crashed = append(crashed, hos)
		}
	}
	if len(crashed) != 1 {
		t.Fatalf("%d upstreams crashed, want 1", len(crashed))
	}
	fix.must(crashed[0].Upstream().Restart())
	fix.await(takeoverTime, "calls to the upstream that started cold", func() bool { return fix.runsIfReachable(crashed[0]) > 0 })
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)

	for _, tst := range []struct {
		name  string
		hosts []*fleet.Host
	}{{"drain", stampa[:1]}, {"shed", stampa[1:2]}, {"drain", stampa[:2]}} {
		start := time.Now()
		for _, hos := range tst.hosts {
			fix.control(hos, tst.name, `{"on": true}`)
		}
		lod.awaitAndCheck(start.Add(takeoverTime), 100, (*exchange).ok)
		t.Logf("%s of %d: %s", tst.name, len(tst.hosts), countOutcomes(lod.sentSince(start)))
		fix.checkAll(lod.sentSince(start), answeredInTime)
		for _, hos := range tst.hosts {
			before := fix.stats(hos).total()
			fix.control(hos, tst.name, `{"on": false}`)
			fix.await(settleTimeout, "calls to the upstream that returned", func() bool { return fix.stats(hos).total() > before })
		}
	}
	fix.checkRunsOnce(lod.stop())
}

// Guards against a print with an idempotency key that runs twice when its caller sends it again through another host. The
// print must run only at the owner of the key, and must be refused as not run while the owner cannot be reached.
func TestIdempotencyKeys(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	hosts := fix.hostsOf("ordini")
	printWithKey := func(num int) *exchange {
		return &exchange{host: hosts[num%len(hosts)], method: http.MethodPost, path: fmt.Sprintf("/stampa/prints/%d", num), idempotencyKey: newIdempotencyKey()}
	}
	// The hosts become owners of their keys at different times, so the load must not begin before each owner runs prints. 30
	// successes in a row with different keys make that almost certain.
	inARow := 0
	fix.await(settleTimeout, "30 prints with different keys in a row", func() bool {
		inARow++
		if !printWithKey(0).send(http.DefaultClient).ok() {
			inARow = 0
		}
		return inARow == 30
	})
	lod := fix.startLoad(4*time.Millisecond, printWithKey)
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	start := time.Now()
	fix.hostsOf("stampa")[0].Node().Kill()
	lod.awaitAndCheck(start.Add(takeoverTime), 100, func(exc *exchange) bool { return exc.ok() || exc.answeredOrTypedError() && exc.outcome == "not-run" })
	exchanges := lod.stop()
	for num, exc := range exchanges[:100] {
		resent := *exc
		resent.host = hosts[(num+1)%len(hosts)]
		if resent.send(http.DefaultClient); resent.ok() && exc.ok() {
			t.Errorf("a print was answered with 200 twice for one idempotency key: %s", &resent)
		}
	}
	fix.checkRunsOnce(exchanges)
}
