package fleet_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"amaranthline/stand/conf"
	"amaranthline/stand/fleet"
)

// Guards against nodes that stop serving while the configuration service is down, stale or flapping. A node that restarts
// in an outage must get the configuration from its peers, and a change must be in force on all nodes within 3 s of the end
// of the outage.
func TestPlatform(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	stampa := fix.hostsOf("stampa")
	lod := fix.startLoad(10*time.Millisecond, readsAndPrints("stampa", fix.hostsOf("ordini")))
	publish := func() {
		t.Helper()
		fix.must(fix.Publish(plan()))
	}
	awaitInForce := func(what string) {
		t.Helper()
		fix.must(fix.SetMode(conf.ModeLive))
		elapsed := fix.await(propagationTime, what, func() bool { return fix.inForce(fix.Hosts(), fix.DeclarationsVersion()) })
		t.Logf("%s: in force after %v", what, elapsed)
	}
	publish()
	awaitInForce("change while live")

	fix.must(fix.SetMode(conf.ModeDown))
	stampa[0].Node().Kill()
	fix.must(stampa[0].Node().Restart())
	fix.must(stampa[0].WaitReady(t.Context()))
	if !fix.inForce(fix.Hosts(), fix.DeclarationsVersion()) {
		t.Fatal("a node that restarted while the configuration service was down did not get the configuration of its peers")
	}
	start := time.Now()
	publish()
	lod.awaitAndCheck(start, 100, (*exchange).ok)
	awaitInForce("change while down")

	fix.must(fix.SetMode(conf.ModeStale))
	start = time.Now()
	publish()
	lod.awaitAndCheck(start, 100, (*exchange).ok)
	if !fix.inForce(fix.Hosts(), fix.DeclarationsVersion()-1) {
		t.Fatal("a change reached a node although the configuration service is stale")
	}
	awaitInForce("change while stale")

	start = time.Now()
	for num := range 30 {
		fix.must(fix.SetMode([]string{conf.ModeDown, conf.ModeStale, conf.ModeLive}[num%3]))
		publish()
		time.Sleep(20 * time.Millisecond)
	}
	awaitInForce("changes while flapping")
	lod.awaitAndCheck(start, 100, (*exchange).ok)
	fix.checkRunsOnce(lod.stop())
}

// Guards against nodes that keep different declarations of the same version. This happens when two operators publish
// different documents under one version in two configuration services, each of which is read by different nodes; a node may
// restart meanwhile.
func TestRacingOperators(t *testing.T) {
	pla := plan()
	pla.ConfigServices = 2
	fix := startFleet(t, pla)
	defer fix.checkNoRefusal(t)
	for round, restarts := range []bool{false, true} {
		first, second := plan(), plan()
		first.Teams[0].Rate += float64(10 * round)
		second.Teams[0].Rate += float64(10*round + 1)
		version := fix.DeclarationsVersion() + 1
		fix.must(fix.PublishTo(round%2, version, first))
		fix.must(fix.PublishTo(1-round%2, version, second))
		if restarts {
			hos := fix.hostsOf("stampa")[1]
			hos.Node().Kill()
			fix.must(hos.Node().Restart())
			fix.must(hos.WaitReady(t.Context()))
		}
		elapsed := fix.await(propagationTime, "one document on all nodes", func() bool { return fix.inForce(fix.Hosts(), version) })
		t.Logf("all nodes hold the same declarations after %v", elapsed)
	}
}

// Guards against a node that still accepts a revoked key 3 s after the revocation, either on a connection that stays open
// or after a restart of the node, and against one that accepts the key again after it has refused it. No upstream may see a
// key.
func TestRevokedKey(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	next := readsAndPrints("stampa", fix.Hosts())
	torino := func(num int) *exchange {
		exc := next(num)
		exc.apiKey = "torino-key"
		return exc
	}
	for _, kill := range []bool{false, true} {
		others := fix.startLoad(10*time.Millisecond, readsAndPrints("ordini", fix.hostsOf("ordini")))
		lod := fix.startLoad(4*time.Millisecond, torino)
		lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
		pla := plan()
		pla.RevokedTeams = map[string]bool{"torino": true}
		start := time.Now()
		fix.must(fix.Publish(pla))
		if kill {
			hos := fix.hostsOf("stampa")[2]
			hos.Node().Kill()
			fix.must(hos.Node().Restart())
			fix.must(hos.WaitReady(t.Context()))
		}
		lod.awaitAndCheck(start.Add(propagationTime), 100, func(exc *exchange) bool { return exc.status == http.StatusUnauthorized && exc.reason == "key_unknown" })
		exchanges := lod.stop()
		t.Log(countOutcomes(exchanges))
		fix.checkStaysRefused(exchanges)
		fix.checkAll(others.stop(), (*exchange).ok)
		fix.must(fix.Publish(plan()))
		fix.await(propagationTime, "the key is valid again", func() bool { return fix.inForce(fix.Hosts(), fix.DeclarationsVersion()) })
	}
	for _, hos := range fix.Hosts() {
		if sta := fix.stats(hos); len(sta.Forbidden) > 0 {
			t.Errorf("the upstream of host %s got the forbidden headers %v", hos.ID(), sta.Forbidden)
		}
	}
}

// checkStaysRefused fails the test if a host served a request that was sent after the host had refused the key.
func (fix *fixture) checkStaysRefused(exchanges []*exchange) {
	fix.t.Helper()
	refused := map[*fleet.Host]time.Time{}
	for _, exc := range exchanges {
		if refusedAt, ok := refused[exc.host]; exc.reason == "key_unknown" && (!ok || exc.end.Before(refusedAt)) {
			refused[exc.host] = exc.end
		}
	}
	fix.checkAll(exchanges, func(exc *exchange) bool {
		refusedAt, ok := refused[exc.host]
		return !ok || !exc.ok() || exc.start.Before(refusedAt)
	})
}

// Guards against new runs in a failure domain later than 3 s after it was taken out of service, against requests of its
// callers that the other domains do not serve, and against a surge of calls to the domain when it returns.
func TestDomainOut(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	lod := fix.startLoad(4*time.Millisecond, readsAndPrints("stampa", fix.Hosts()))
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	host := fix.Host("stampa-nord-b")
	outPlan, inPlan := plan(), plan()
	outPlan.OutDomains = map[string]bool{"nord-b": true}
	for _, flap := range []bool{false, true} {
		start := time.Now()
		fix.must(fix.Publish(outPlan))
		if flap {
			fix.must(fix.Publish(inPlan))
			fix.must(fix.Publish(outPlan))
		}
		lod.awaitAndCheck(start.Add(propagationTime), 50, (*exchange).ok)
		before := fix.stats(host).total()
		lod.awaitAndCheck(time.Now(), 200, (*exchange).ok)
		if after := fix.stats(host).total(); after != before {
			t.Errorf("%d runs in the failure domain that is out, want none", after-before)
		}
		returned := time.Now()
		fix.must(fix.Publish(inPlan))
		fix.await(propagationTime, "calls in the domain that returned", func() bool { return fix.stats(host).total() > before })
		lod.awaitAndCheck(returned, 300, (*exchange).ok)
		// The callers are spread evenly over three domains of equal size.
		runs, total := fix.stats(host).total()-before, int(lod.sent.Load())
		if sent := total - len(lod.sentBefore(returned)); runs > sent/3+sent/10 {
			t.Errorf("%d of %d calls ran in the failure domain that returned, want at most a third plus a tenth of them", runs, sent)
		}
		t.Log(countOutcomes(lod.sentSince(start)))
		fix.checkAll(lod.sentSince(start), (*exchange).ok)
	}
	fix.checkRunsOnce(lod.stop())
}

func (lod *load) sentBefore(when time.Time) []*exchange {
	total := lod.sentSince(time.Time{})
	return total[:len(total)-len(lod.sentSince(when))]
}

const (
	callerCount     = 24
	requestInterval = 100 * time.Millisecond
)

// runPersistentCaller sends one request after another on a persistent connection. When the host closes the connection or a
// request fails, it moves to the next host that is ready, as a client with a list of hosts does.
func (lod *load) runPersistentCaller(num int, stopped <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	hosts := lod.fixture.Hosts()
	time.Sleep(time.Duration(num) * requestInterval / callerCount) // spreads the callers evenly over the interval
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	for index, seq := num, 0; ; seq++ {
		exc := &exchange{host: hosts[index%len(hosts)], method: http.MethodPost, path: fmt.Sprintf("/stampa/prints/%d-%d", num, seq)}
		lod.add(exc.send(client))
		if exc.closesConnection || exc.err != nil {
			index++
			for !isReady(hosts[index%len(hosts)]) {
				index++
			}
		}
		select {
		case <-tick.C:
		case <-stopped:
			return
		}
	}
}

func isReady(hos *fleet.Host) bool {
	res, err := http.Get(hos.Admin() + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Guards against requests that are aborted, fail or are refused in a rolling restart of all nodes. The callers keep their
// connections, the hosts of one service restart one after another within a minute, and the configuration changes
// meanwhile.
func TestRollingRestart(t *testing.T) {
	fix := startFleet(t, plan())
	defer fix.checkNoRefusal(t)
	stopped := make(chan struct{})
	lod := &load{fixture: fix, cancel: func() {}, client: &http.Client{}}
	for num := range callerCount {
		lod.tasks.Go(func() { lod.runPersistentCaller(num, stopped) })
	}
	var once sync.Once
	stopCallers := func() { once.Do(func() { close(stopped) }); lod.tasks.Wait() }
	t.Cleanup(stopCallers)
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	start := time.Now()
	stampa, ordini := fix.hostsOf("stampa"), fix.hostsOf("ordini")
	for num, batch := range [][]*fleet.Host{stampa[:1], stampa[1:2], {stampa[2], ordini[0]}, ordini[1:]} {
		var grp errgroup.Group
		for _, hos := range batch {
			grp.Go(func() error { return errors.Join(hos.Node().Stop(), hos.Node().Restart(), hos.WaitReady(t.Context())) })
		}
		if num == 1 {
			fix.must(fix.Publish(plan()))
		}
		fix.must(grp.Wait())
	}
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	stopCallers()
	exchanges := lod.sentSince(time.Time{})
	t.Logf("restarts in %v: %s", time.Since(start), countOutcomes(exchanges))
	fix.checkAll(exchanges, (*exchange).ok)
	fix.checkRunsOnce(exchanges)
}
