package share_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/core/coordination/share"
	"amaranthline/core/state/decl"
	"amaranthline/io/protocol/wire"
)

const (
	rate             = 200.0                  // requests per second
	burst            = 400.0                  // requests
	sameDomainDelay  = 100 * time.Microsecond // one way, like crossDomainDelay
	crossDomainDelay = 1500 * time.Microsecond
	warmUp           = 10 * time.Second
	frameHeaderBytes = 4
)

// TestMain runs the tests on one processor. With several, the race detector of Go 1.26 itself failed in some runs with a
// check in tsan_rtl.cpp; with one, it did not fail in 8 runs.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// cluster runs one manager for each host and delivers messages between them in memory, with the delay within or between
// failure domains.
type cluster struct {
	mut             sync.Mutex
	managers        map[string]*share.Manager     // by host
	cancels         map[string]context.CancelFunc // by host; each ends the process of the host
	domains         map[string]string             // by host
	services        map[string]string             // by host
	isolated        map[string]bool               // failure domains without contact to others
	resumeSignals   map[string]chan struct{}      // by paused host, closed when it resumes
	messages        int                           // sent; a test may set this and bytes to 0
	bytes           int
	lastIncarnation uint64
	snapshot        *decl.Snapshot
	centralBucket   *bucket // admits the requests that one bucket for all hosts would; the others may be refused
	// admittedBucket is charged for the requests that were admitted; its overdraft is their number above rate and burst.
	admittedBucket *bucket
	running        sync.WaitGroup
}

// bucket is a token bucket with the team's rate and burst; its tokens may become negative.
type bucket struct {
	filledAt time.Time
	tokens   float64
}

// refill adds the tokens for the time since the last refill.
func (buc *bucket) refill() {
	now := time.Now()
	buc.tokens = min(burst, buc.tokens+rate*now.Sub(buc.filledAt).Seconds())
	buc.filledAt = now
}

// peerLink is the core.Peers of one host.
type peerLink struct {
	*cluster
	self string
	core.Peers
}

// State returns a state in which the peer is not known.
func (pli *peerLink) State(string) core.PeerState { return core.PeerState{} }

// Exchange delivers a message to the manager of another host and its reply back.
func (pli *peerLink) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	if err := pli.awaitDelivery(ctx, pli.self, host, msg); err != nil {
		return nil, err
	}
	pli.mut.Lock()
	mgr := pli.managers[host]
	pli.mut.Unlock()
	if mgr == nil {
		return nil, errors.New("connection refused")
	}
	reply, _, err := mgr.HandleControl(ctx, pli.self, proto.CloneOf(msg))
	if err != nil {
		return nil, err
	}
	return reply, pli.awaitDelivery(ctx, host, pli.self, reply)
}

// awaitDelivery waits until a message arrives, or until the context ends if the hosts are in different failure domains of which
// one is isolated. Messages from and to a paused process arrive after it resumes.
func (clu *cluster) awaitDelivery(ctx context.Context, from, to string, msg proto.Message) error {
	clu.mut.Lock()
	delay := sameDomainDelay
	if clu.domains[from] != clu.domains[to] {
		delay = crossDomainDelay
		if clu.isolated[clu.domains[from]] || clu.isolated[clu.domains[to]] {
			delay = time.Hour
		}
	}
	clu.messages++
	clu.bytes += proto.Size(frameOf(msg)) + frameHeaderBytes
	resumeSignals := []chan struct{}{clu.resumeSignals[from], clu.resumeSignals[to]}
	clu.mut.Unlock()
	for _, resumed := range resumeSignals {
		if resumed == nil {
			continue
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// frameOf returns the frame that carries a message, to count its bytes. A message of a type not listed counts as a Done
// frame.
func frameOf(msg proto.Message) *wire.Frame {
	switch msg := msg.(type) {
	case *wire.Contact:
		return &wire.Frame{Kind: &wire.Frame_Contact{Contact: msg}}
	case *wire.ContactAck:
		return &wire.Frame{Kind: &wire.Frame_ContactAck{ContactAck: msg}}
	case *wire.LoanRequest:
		return &wire.Frame{Kind: &wire.Frame_LoanRequest{LoanRequest: msg}}
	case *wire.LoanGrant:
		return &wire.Frame{Kind: &wire.Frame_LoanGrant{LoanGrant: msg}}
	case *wire.LoanOffer:
		return &wire.Frame{Kind: &wire.Frame_LoanOffer{LoanOffer: msg}}
	}
	return &wire.Frame{Kind: &wire.Frame_Done{Done: &wire.Done{}}}
}

// newCluster starts a number of hosts in each of the domains a, b, c and so on, in services of at most 12 hosts.
func newCluster(t *testing.T, domains, hosts int) *cluster {
	clu := &cluster{
		managers: map[string]*share.Manager{}, cancels: map[string]context.CancelFunc{}, domains: map[string]string{}, services: map[string]string{},
		isolated: map[string]bool{}, resumeSignals: map[string]chan struct{}{},
		centralBucket: &bucket{time.Now(), burst}, admittedBucket: &bucket{time.Now(), burst},
	}
	for d := range domains {
		for h := range hosts {
			clu.domains[hostName(d, h)] = domainName(d)
			clu.services[hostName(d, h)] = fmt.Sprintf("service-%d", h/(12/domains))
		}
	}
	clu.snapshot = clu.newSnapshot(t, 1, domains, "bellandi", "verona")
	for host := range clu.domains {
		clu.restartNode(host)
	}
	t.Cleanup(clu.stopNodes)
	return clu
}

// domainName returns a, b, c and so on.
func domainName(idx int) string { return string(rune('a' + idx)) }

// hostName returns the ID of a host, from the numbers of its domain and of the host in it.
func hostName(domain, host int) string { return fmt.Sprintf("%s-%02d", domainName(domain), host) }

// newSnapshot declares all hosts of the cluster, the first domains and the teams. A host in a domain that is not declared
// stays on the host list.
func (clu *cluster) newSnapshot(t *testing.T, version, domains int, teams ...string) *decl.Snapshot {
	var domainDocs, hostDocs, teamDocs []string
	for d := range domains {
		domainDocs = append(domainDocs, fmt.Sprintf(`{"name": %q, "region": "r", "state": "in"}`, domainName(d)))
	}
	for host, domain := range clu.domains {
		hostDocs = append(hostDocs, fmt.Sprintf(`{"id": %q, "domain": %q, "service": %q, "peer": "127.0.0.1:%d", "state": "live"}`,
			host, domain, clu.services[host], 1000+len(hostDocs)))
	}
	for _, name := range teams {
		teamDocs = append(teamDocs, fmt.Sprintf(`{"name": %q, "rate": %v, "burst": %v}`, name, rate, burst))
	}
	dec, err := decl.Decode(fmt.Appendf(nil, `{"version": %d, "classes": [], "services": [], "keys": [], "teams": [%s], "domains": [%s]}`,
		version, strings.Join(teamDocs, ","), strings.Join(domainDocs, ",")))
	if err != nil {
		t.Fatal(err)
	}
	lst, err := decl.DecodeHosts(fmt.Appendf(nil, `{"version": %d, "hosts": [%s]}`, version, strings.Join(hostDocs, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

// restartNode stops the present process of a host, if there is one, and starts a new one.
func (clu *cluster) restartNode(host string) {
	if stop := clu.cancels[host]; stop != nil {
		stop()
	}
	clu.lastIncarnation++
	mgr := share.New(share.Settings{
		Host: host, Domain: clu.domains[host], Service: clu.services[host], Incarnation: clu.lastIncarnation,
		Peers: &peerLink{cluster: clu, self: host}, Rand: rand.New(rand.NewPCG(clu.lastIncarnation, 1)),
	})
	mgr.SetSnapshot(clu.snapshot)
	ctx, cancel := context.WithCancel(context.Background())
	clu.mut.Lock()
	clu.managers[host], clu.cancels[host] = mgr, cancel
	clu.mut.Unlock()
	clu.running.Go(func() { _ = mgr.Run(ctx) })
}

// stopNodes ends all processes and waits until they have ended.
func (clu *cluster) stopNodes() {
	for _, cancel := range clu.cancels {
		cancel()
	}
	clu.running.Wait()
}

// requestCounts counts the requests of one phase of a test, and what a static split into equal shares would refuse.
type requestCounts struct {
	mut                                 sync.Mutex
	arrived, refused, wronglyRefused    int
	staticRefused, staticWronglyRefused int
	staticBuckets                       map[string]*bucket
	maxOverdraft                        float64 // requests admitted above rate and burst
	duration                            time.Duration
	running                             sync.WaitGroup
}

// sendRequest sends one request to a host. A refusal is wrong if one bucket for all hosts has a token for the request.
func (clu *cluster) sendRequest(cnt *requestCounts, host string) {
	clu.centralBucket.refill()
	withinRate := clu.centralBucket.tokens >= 1
	if withinRate {
		clu.centralBucket.tokens--
	}
	cnt.arrived++
	cnt.running.Go(func() {
		err := clu.managers[host].Take(context.Background(), "bellandi")
		cnt.mut.Lock()
		defer cnt.mut.Unlock()
		if err != nil {
			cnt.refused++
			if withinRate {
				cnt.wronglyRefused++
			}
			return
		}
		clu.admittedBucket.refill()
		clu.admittedBucket.tokens--
		cnt.maxOverdraft = max(cnt.maxOverdraft, -clu.admittedBucket.tokens)
	})
	cnt.countStaticSplit(host, withinRate, len(clu.domains))
}

// countStaticSplit counts whether the same request would be refused if each host had a fixed equal share.
func (cnt *requestCounts) countStaticSplit(host string, withinRate bool, hosts int) {
	if cnt.staticBuckets == nil {
		cnt.staticBuckets = map[string]*bucket{}
	}
	buc := cnt.staticBuckets[host]
	if buc == nil {
		buc = &bucket{time.Now(), burst / float64(hosts)}
		cnt.staticBuckets[host] = buc
	}
	now := time.Now()
	buc.tokens = min(burst/float64(hosts), buc.tokens+rate/float64(hosts)*now.Sub(buc.filledAt).Seconds())
	buc.filledAt = now
	if buc.tokens >= 1 {
		buc.tokens--
		return
	}
	cnt.staticRefused++
	if withinRate {
		cnt.staticWronglyRefused++
	}
}

// sendPoisson sends requests as a Poisson process for a time to the host that a function returns.
func (clu *cluster) sendPoisson(cnt *requestCounts, rng *rand.Rand, perSecond float64, duration time.Duration, host func(elapsed time.Duration) string) {
	start := time.Now()
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		elapsed := time.Since(start)
		if elapsed >= duration {
			break
		}
		clu.sendRequest(cnt, host(elapsed))
	}
	cnt.running.Wait()
}

// Guards against refusals within a team's rate when its demand is at one host, moves or comes in bursts, so that the
// host's own share does not cover it and loans must, and against admissions above rate and burst.
func TestWrongfulRefusals(t *testing.T) {
	const maxSteadyWrongful = 0.001
	first := func(time.Duration) string { return hostName(0, 0) }
	tests := []struct {
		name        string
		maxWrongful float64 // highest allowed fraction of wrong refusals; 1 means no bound
		run         func(clu *cluster, cnt *requestCounts, rng *rand.Rand)
	}{
		{"steady at one node", maxSteadyWrongful, func(clu *cluster, cnt *requestCounts, rng *rand.Rand) {
			clu.sendPoisson(&requestCounts{}, rng, 0.9*rate, 10*time.Second, first)
			clu.sendPoisson(cnt, rng, 0.9*rate, 40*time.Second, first)
		}},
		{"moves every 2 s", 1, func(clu *cluster, cnt *requestCounts, rng *rand.Rand) {
			clu.sendPoisson(cnt, rng, 0.9*rate, 48*time.Second, func(elapsed time.Duration) string {
				turn := int(elapsed / (2 * time.Second))
				return hostName(turn%3, turn/3%4)
			})
		}},
		{"one burst", 1, func(clu *cluster, cnt *requestCounts, _ *rand.Rand) {
			for turn := range 12 {
				for range int(0.8 * burst) {
					clu.sendRequest(cnt, hostName(turn%3, turn/3%4))
				}
				cnt.running.Wait()
				time.Sleep(4 * time.Second)
			}
		}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clu := newCluster(t, 3, 4)
				time.Sleep(warmUp)
				cnt := &requestCounts{}
				tst.run(clu, cnt, rand.New(rand.NewPCG(1, 1)))
				wrongful := float64(cnt.wronglyRefused) / float64(cnt.arrived)
				t.Logf("%d requests: refused %d, wrongfully %.3f%%; static split: refused %d, wrongfully %.3f%%",
					cnt.arrived, cnt.refused, 100*wrongful, cnt.staticRefused, 100*float64(cnt.staticWronglyRefused)/float64(cnt.arrived))
				if wrongful > tst.maxWrongful {
					t.Errorf("%.3f%% of the requests were wrongly refused, above %.3f%%", 100*wrongful, 100*tst.maxWrongful)
				}
				if cnt.maxOverdraft > 1e-6 {
					t.Errorf("the hosts admitted %.3f requests more than rate and burst allow", cnt.maxOverdraft)
				}
			})
		})
	}
}

// Guards against control messages, that is contacts and loan messages, that grow with the fleet or with the demand at one
// node beyond the traffic budget of a node.
func TestControlTraffic(t *testing.T) {
	const budget = 28e3 // bytes per second and node, for all control messages
	const duration = 8 * time.Second
	tests := []struct {
		name           string
		domains, hosts int
		demand         float64
	}{
		{"12 hosts, idle", 3, 4, 0},
		{"12 hosts, demand at one node", 3, 4, 0.9 * rate},
		{"48 hosts, idle", 4, 12, 0},
		{"48 hosts, demand at one node", 4, 12, 0.9 * rate},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clu := newCluster(t, tst.domains, tst.hosts)
				time.Sleep(warmUp)
				clu.mut.Lock()
				clu.messages, clu.bytes = 0, 0
				clu.mut.Unlock()
				if tst.demand > 0 {
					rng := rand.New(rand.NewPCG(1, 1))
					clu.sendPoisson(&requestCounts{}, rng, tst.demand, duration, func(time.Duration) string { return hostName(0, 0) })
				} else {
					time.Sleep(duration)
				}
				clu.mut.Lock()
				defer clu.mut.Unlock()
				nodeSeconds := duration.Seconds() * float64(len(clu.domains))
				perNode := float64(clu.bytes) / nodeSeconds
				t.Logf("%.1f messages and %.0f bytes per second and node", float64(clu.messages)/nodeSeconds, perNode)
				if perNode > budget {
					t.Errorf("control messages take %.0f bytes per second and node, above the budget of %.0f", perNode, budget)
				}
			})
		})
	}
}

// flood sends more requests than the rate to each of some hosts, so that they admit as many as they can.
func (clu *cluster) flood(cnt *requestCounts, duration time.Duration, hosts ...string) {
	cnt.duration = duration
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		for _, host := range hosts {
			for range 3 {
				clu.sendRequest(cnt, host)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	cnt.running.Wait()
}

// Guards against admissions above rate and burst, and against a team that gets too little of its rate, after a domain is
// isolated, a node is paused or restarted, a team is revoked, or a domain is removed from the declarations.
func TestFaults(t *testing.T) {
	all := func(clu *cluster) []string {
		var hosts []string
		for host := range clu.domains {
			hosts = append(hosts, host)
		}
		return hosts
	}
	tests := []struct {
		name                     string
		minAdmitted, maxAdmitted float64 // bounds on the requests admitted in the last phase, as a fraction of the rate
		run                      func(t *testing.T, clu *cluster, cnt *requestCounts) *requestCounts
	}{
		{"isolated domain keeps its share", 0.30, 0.34, func(_ *testing.T, clu *cluster, cnt *requestCounts) *requestCounts {
			clu.setIsolated("a", true)
			clu.flood(cnt, 10*time.Second, all(clu)...)
			after := &requestCounts{}
			clu.flood(after, 10*time.Second, hostName(0, 0), hostName(0, 1))
			return after
		}},
		{"paused node uses nothing stale", 0, 0, func(_ *testing.T, clu *cluster, cnt *requestCounts) *requestCounts {
			resume := clu.pause(hostName(0, 0))
			clu.flood(cnt, 6*time.Second, hostName(0, 1), hostName(1, 0), hostName(2, 0))
			after := &requestCounts{}
			for range 50 {
				clu.sendRequest(after, hostName(0, 0))
			}
			after.running.Wait()
			resume()
			clu.flood(cnt, 10*time.Second, all(clu)...)
			return after
		}},
		{"restarted node admits by loans at once", 0.80, 1, func(_ *testing.T, clu *cluster, _ *requestCounts) *requestCounts {
			clu.restartNode(hostName(0, 0))
			after := &requestCounts{}
			clu.flood(after, 10*time.Second, hostName(0, 0))
			return after
		}},
		{"revoked team gets nothing", 0, 0, func(t *testing.T, clu *cluster, cnt *requestCounts) *requestCounts {
			clu.flood(cnt, time.Second, all(clu)...)
			clu.applySnapshot(clu.newSnapshot(t, 2, 3, "verona"))
			after := &requestCounts{}
			clu.flood(after, time.Second, all(clu)...)
			return after
		}},
		{"larger share of a domain applies after a wait", 0.60, 0.68, func(t *testing.T, clu *cluster, cnt *requestCounts) *requestCounts {
			clu.applySnapshot(clu.newSnapshot(t, 2, 2, "bellandi"))
			time.Sleep(50 * time.Second)
			clu.flood(cnt, 5*time.Second, all(clu)...)
			after := &requestCounts{}
			clu.flood(after, 3*time.Second, append(hostsOfDomain(clu, "a"), hostsOfDomain(clu, "b")...)...)
			return after
		}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clu := newCluster(t, 3, 4)
				time.Sleep(warmUp)
				start := &requestCounts{}
				clu.flood(start, 5*time.Second, all(clu)...)
				cnt := &requestCounts{}
				after := tst.run(t, clu, cnt)
				fraction := float64(after.arrived-after.refused) / max(1, after.duration.Seconds()) / rate
				t.Logf("admitted %.3f of the rate", fraction)
				if fraction < tst.minAdmitted || fraction > tst.maxAdmitted {
					t.Errorf("the hosts admitted %.3f of the rate, want %.2f to %.2f", fraction, tst.minAdmitted, tst.maxAdmitted)
				}
				if diff := cmp.Diff([]bool{true, true, true}, []bool{start.maxOverdraft < 1e-6, cnt.maxOverdraft < 1e-6, after.maxOverdraft < 1e-6}); diff != "" {
					t.Errorf("admissions of the three phases within rate and burst (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// hostsOfDomain returns the hosts of a failure domain in any order.
func hostsOfDomain(clu *cluster, domain string) []string {
	var hosts []string
	for host, name := range clu.domains {
		if name == domain {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// setIsolated cuts a failure domain off from the others, or connects it again.
func (clu *cluster) setIsolated(domain string, isolated bool) {
	clu.mut.Lock()
	defer clu.mut.Unlock()
	clu.isolated[domain] = isolated
}

// pause holds back all messages of a host until the returned function is called.
func (clu *cluster) pause(host string) (resume func()) {
	clu.mut.Lock()
	defer clu.mut.Unlock()
	resumed := make(chan struct{})
	clu.resumeSignals[host] = resumed
	return func() {
		close(resumed)
		clu.mut.Lock()
		defer clu.mut.Unlock()
		delete(clu.resumeSignals, host)
	}
}

// applySnapshot gives all nodes a new snapshot.
func (clu *cluster) applySnapshot(sna *decl.Snapshot) {
	clu.snapshot = sna
	for _, mgr := range clu.managers {
		mgr.SetSnapshot(sna)
	}
}

// Guards against a request with an idempotency key that runs on both sides of a partition: only the side with a majority
// of the service's hosts may run it.
func TestServiceQuorumInPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clu := newCluster(t, 3, 4)
		time.Sleep(warmUp)
		clu.setIsolated("a", true)
		time.Sleep(warmUp)
		got := map[string][]bool{}
		for _, host := range []string{hostName(0, 0), hostName(1, 0)} {
			sta := clu.managers[host].Status()
			got[host] = []bool{sta.Majority, sta.ServiceMajority}
		}
		want := map[string][]bool{hostName(0, 0): {true, false}, hostName(1, 0): {true, true}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("contact with a majority of rate group and service (-want +got):\n%s", diff)
		}
	})
}
