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
	rate        = 200.0 // requests per second
	burst       = 400.0
	nearDelay   = 100 * time.Microsecond
	farDelay    = 1500 * time.Microsecond
	warmUp      = 10 * time.Second
	frameHeader = 4 // bytes
)

// TestMain runs the tests on one processor. On several, the race detector of Go 1.26 itself failed in some runs with a
// check in tsan_rtl.cpp; it did not in 8 runs on one.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// fabric carries messages between managers in memory, with the delay of their failure domains.
type fabric struct {
	mu       sync.Mutex
	nodes    map[string]*share.Manager
	stops    map[string]context.CancelFunc
	domains  map[string]string
	services map[string]string
	cut      map[string]bool          // failure domains without contact to others
	gates    map[string]chan struct{} // closed when a paused process resumes
	messages int
	bytes    int
	starts   uint64
	sna      *decl.Snapshot
	bucket   *bucket // what one central token bucket would admit, and the bound on all admissions
	admitted *bucket
	wait     sync.WaitGroup
}

// bucket is a token bucket that may be overdrawn, to find how far.
type bucket struct {
	at     time.Time
	tokens float64
}

func (buc *bucket) fill() {
	now := time.Now()
	buc.tokens = min(burst, buc.tokens+rate*now.Sub(buc.at).Seconds())
	buc.at = now
}

// link is the fabric as one host sees it.
type link struct {
	*fabric
	self string
	core.Peers
}

func (lin *link) State(string) core.PeerState { return core.PeerState{} }

func (lin *link) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	if err := lin.carry(ctx, lin.self, host, msg); err != nil {
		return nil, err
	}
	lin.mu.Lock()
	kee := lin.nodes[host]
	lin.mu.Unlock()
	if kee == nil {
		return nil, errors.New("connection refused")
	}
	reply, _, err := kee.HandleControl(ctx, lin.self, proto.CloneOf(msg))
	if err != nil {
		return nil, err
	}
	return reply, lin.carry(ctx, host, lin.self, reply)
}

// carry waits for the delay of the way, and for ever if there is none. A paused process handles its messages late.
func (fab *fabric) carry(ctx context.Context, from, to string, msg proto.Message) error {
	fab.mu.Lock()
	delay := nearDelay
	if fab.domains[from] != fab.domains[to] {
		delay = farDelay
		if fab.cut[fab.domains[from]] || fab.cut[fab.domains[to]] {
			delay = time.Hour
		}
	}
	fab.messages++
	fab.bytes += proto.Size(frameOf(msg)) + frameHeader
	gates := []chan struct{}{fab.gates[from], fab.gates[to]}
	fab.mu.Unlock()
	for _, gate := range gates {
		if gate == nil {
			continue
		}
		select {
		case <-gate:
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

// newFabric starts hosts in domains a, b, c and more, in services that have at most 12 hosts.
func newFabric(t *testing.T, domains, hosts int) *fabric {
	fab := &fabric{
		nodes: map[string]*share.Manager{}, stops: map[string]context.CancelFunc{}, domains: map[string]string{}, services: map[string]string{},
		cut: map[string]bool{}, gates: map[string]chan struct{}{},
		bucket: &bucket{time.Now(), burst}, admitted: &bucket{time.Now(), burst},
	}
	for d := range domains {
		for h := range hosts {
			fab.domains[hostName(d, h)] = domainName(d)
			fab.services[hostName(d, h)] = fmt.Sprintf("service-%d", h/(12/domains))
		}
	}
	fab.sna = fab.snapshot(t, 1, domains, "bellandi", "verona")
	for host := range fab.domains {
		fab.start(host)
	}
	t.Cleanup(fab.stop)
	return fab
}

func domainName(d int) string { return string(rune('a' + d)) }

func hostName(d, h int) string { return fmt.Sprintf("%s-%02d", domainName(d), h) }

func (fab *fabric) snapshot(t *testing.T, version, domains int, teams ...string) *decl.Snapshot {
	var doms, hosts, tens []string
	for d := range domains {
		doms = append(doms, fmt.Sprintf(`{"name": %q, "region": "r", "state": "in"}`, domainName(d)))
	}
	for host, domain := range fab.domains {
		hosts = append(hosts, fmt.Sprintf(`{"id": %q, "domain": %q, "service": %q, "peer": "127.0.0.1:%d", "state": "live"}`,
			host, domain, fab.services[host], 1000+len(hosts)))
	}
	for _, name := range teams {
		tens = append(tens, fmt.Sprintf(`{"name": %q, "rate": %v, "burst": %v}`, name, rate, burst))
	}
	dec, err := decl.Decode(fmt.Appendf(nil, `{"version": %d, "classes": [], "services": [], "keys": [], "teams": [%s], "domains": [%s]}`,
		version, strings.Join(tens, ","), strings.Join(doms, ",")))
	if err != nil {
		t.Fatal(err)
	}
	lst, err := decl.DecodeHosts(fmt.Appendf(nil, `{"version": %d, "hosts": [%s]}`, version, strings.Join(hosts, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

// start runs a new process of a host, after ending the present one.
func (fab *fabric) start(host string) {
	if stop := fab.stops[host]; stop != nil {
		stop()
	}
	fab.starts++
	kee := share.New(share.Settings{
		Host: host, Domain: fab.domains[host], Service: fab.services[host], Incarnation: fab.starts,
		Peers: &link{fabric: fab, self: host}, Rand: rand.New(rand.NewPCG(fab.starts, 1)),
	})
	kee.SetSnapshot(fab.sna)
	ctx, cancel := context.WithCancel(context.Background())
	fab.mu.Lock()
	fab.nodes[host], fab.stops[host] = kee, cancel
	fab.mu.Unlock()
	fab.wait.Go(func() { _ = kee.Run(ctx) })
}

func (fab *fabric) stop() {
	for _, cancel := range fab.stops {
		cancel()
	}
	fab.wait.Wait()
}

// tally counts the requests of one part of a test.
type tally struct {
	mu                         sync.Mutex
	arrived, refused, wrongful int
	staticRefused, staticWrong int
	static                     map[string]*bucket
	over                       float64
	length                     time.Duration
	wait                       sync.WaitGroup
}

// arrive sends one request to a host. It is wrongly refused if one central bucket would have had a token for it.
func (fab *fabric) arrive(tal *tally, host string) {
	fab.bucket.fill()
	within := fab.bucket.tokens >= 1
	if within {
		fab.bucket.tokens--
	}
	tal.arrived++
	tal.wait.Go(func() {
		err := fab.nodes[host].Take(context.Background(), "bellandi")
		tal.mu.Lock()
		defer tal.mu.Unlock()
		if err != nil {
			tal.refused++
			if within {
				tal.wrongful++
			}
			return
		}
		fab.admitted.fill()
		fab.admitted.tokens--
		tal.over = max(tal.over, -fab.admitted.tokens)
	})
	tal.arriveStatic(host, within, len(fab.domains))
}

// arriveStatic counts the same request for an equal static split.
func (tal *tally) arriveStatic(host string, within bool, hosts int) {
	if tal.static == nil {
		tal.static = map[string]*bucket{}
	}
	buc := tal.static[host]
	if buc == nil {
		buc = &bucket{time.Now(), burst / float64(hosts)}
		tal.static[host] = buc
	}
	now := time.Now()
	buc.tokens = min(burst/float64(hosts), buc.tokens+rate/float64(hosts)*now.Sub(buc.at).Seconds())
	buc.at = now
	if buc.tokens >= 1 {
		buc.tokens--
		return
	}
	tal.staticRefused++
	if within {
		tal.staticWrong++
	}
}

// poisson sends requests for a time to the host that a function names.
func (fab *fabric) poisson(tal *tally, rng *rand.Rand, perSecond float64, length time.Duration, host func(elapsed time.Duration) string) {
	start := time.Now()
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		elapsed := time.Since(start)
		if elapsed >= length {
			break
		}
		fab.arrive(tal, host(elapsed))
	}
	tal.wait.Wait()
}

// Guards against refusals within the rate where a team's demand is not spread evenly, and against admissions above it.
func TestWrongfulRefusals(t *testing.T) {
	const limitSteady = 0.001
	first := func(time.Duration) string { return hostName(0, 0) }
	tests := []struct {
		name  string
		limit float64 // highest fraction of wrongful refusals, 1 where it is only measured
		run   func(fab *fabric, tal *tally, rng *rand.Rand)
	}{
		{"steady at one node", limitSteady, func(fab *fabric, tal *tally, rng *rand.Rand) {
			fab.poisson(&tally{}, rng, 0.9*rate, 10*time.Second, first)
			fab.poisson(tal, rng, 0.9*rate, 40*time.Second, first)
		}},
		{"moves every 2 s", 1, func(fab *fabric, tal *tally, rng *rand.Rand) {
			fab.poisson(tal, rng, 0.9*rate, 48*time.Second, func(elapsed time.Duration) string {
				turn := int(elapsed / (2 * time.Second))
				return hostName(turn%3, turn/3%4)
			})
		}},
		{"one burst", 1, func(fab *fabric, tal *tally, _ *rand.Rand) {
			for turn := range 12 {
				for range int(0.8 * burst) {
					fab.arrive(tal, hostName(turn%3, turn/3%4))
				}
				tal.wait.Wait()
				time.Sleep(4 * time.Second)
			}
		}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fab := newFabric(t, 3, 4)
				time.Sleep(warmUp)
				tal := &tally{}
				tst.run(fab, tal, rand.New(rand.NewPCG(1, 1)))
				wrongful := float64(tal.wrongful) / float64(tal.arrived)
				t.Logf("%d requests: refused %d, wrongfully %.3f%%; static split: refused %d, wrongfully %.3f%%",
					tal.arrived, tal.refused, 100*wrongful, tal.staticRefused, 100*float64(tal.staticWrong)/float64(tal.arrived))
				if wrongful > tst.limit {
					t.Errorf("%.3f%% of the requests were wrongly refused, above %.3f%%", 100*wrongful, 100*tst.limit)
				}
				if tal.over > 1e-6 {
					t.Errorf("%.3f requests more than rate and burst allow", tal.over)
				}
			})
		})
	}
}

// Guards against control traffic that grows with the fleet or exceeds the budget of a node.
func TestControlTraffic(t *testing.T) {
	const budget = 28e3 // bytes per second and node, for all control messages
	const length = 8 * time.Second
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
				fab := newFabric(t, tst.domains, tst.hosts)
				time.Sleep(warmUp)
				fab.mu.Lock()
				fab.messages, fab.bytes = 0, 0
				fab.mu.Unlock()
				if tst.demand > 0 {
					rng := rand.New(rand.NewPCG(1, 1))
					fab.poisson(&tally{}, rng, tst.demand, length, func(time.Duration) string { return hostName(0, 0) })
				} else {
					time.Sleep(length)
				}
				fab.mu.Lock()
				defer fab.mu.Unlock()
				nodeSeconds := length.Seconds() * float64(len(fab.domains))
				perNode := float64(fab.bytes) / nodeSeconds
				t.Logf("%.1f messages and %.0f bytes per second and node", float64(fab.messages)/nodeSeconds, perNode)
				if perNode > budget {
					t.Errorf("%.0f bytes per second and node are above %.0f", perNode, budget)
				}
			})
		})
	}
}

// flood sends more than the rate to all hosts given, so that whatever may be admitted is admitted.
func (fab *fabric) flood(tal *tally, length time.Duration, hosts ...string) {
	tal.length = length
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		for _, host := range hosts {
			for range 3 {
				fab.arrive(tal, host)
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	tal.wait.Wait()
}

// Guards against admissions above the rate, or a service that stops, when hosts or domains fail or change.
func TestFaults(t *testing.T) {
	all := func(fab *fabric) []string {
		var hosts []string
		for host := range fab.domains {
			hosts = append(hosts, host)
		}
		return hosts
	}
	tests := []struct {
		name     string
		low, top float64 // bounds on what is admitted in the end, as a part of the rate
		run      func(t *testing.T, fab *fabric, tal *tally) *tally
	}{
		{"partitioned domain keeps its part", 0.30, 0.34, func(_ *testing.T, fab *fabric, tal *tally) *tally {
			fab.setCut("a", true)
			fab.flood(tal, 10*time.Second, all(fab)...)
			after := &tally{}
			fab.flood(after, 10*time.Second, hostName(0, 0), hostName(0, 1))
			return after
		}},
		{"paused node uses nothing stale", 0, 0, func(_ *testing.T, fab *fabric, tal *tally) *tally {
			resume := fab.pause(hostName(0, 0))
			fab.flood(tal, 6*time.Second, hostName(0, 1), hostName(1, 0), hostName(2, 0))
			after := &tally{}
			for range 50 {
				fab.arrive(after, hostName(0, 0))
			}
			after.wait.Wait()
			resume()
			fab.flood(tal, 10*time.Second, all(fab)...)
			return after
		}},
		{"restarted node serves by loans at once", 0.80, 1, func(_ *testing.T, fab *fabric, _ *tally) *tally {
			fab.start(hostName(0, 0))
			after := &tally{}
			fab.flood(after, 10*time.Second, hostName(0, 0))
			return after
		}},
		{"revoked team gets nothing", 0, 0, func(t *testing.T, fab *fabric, tal *tally) *tally {
			fab.flood(tal, time.Second, all(fab)...)
			fab.update(fab.snapshot(t, 2, 3, "verona"))
			after := &tally{}
			fab.flood(after, time.Second, all(fab)...)
			return after
		}},
		{"larger part of a domain applies after a wait", 0.60, 0.68, func(t *testing.T, fab *fabric, tal *tally) *tally {
			fab.update(fab.snapshot(t, 2, 2, "bellandi"))
			time.Sleep(50 * time.Second)
			fab.flood(tal, 5*time.Second, all(fab)...)
			after := &tally{}
			fab.flood(after, 3*time.Second, append(hostsOf(fab, "a"), hostsOf(fab, "b")...)...)
			return after
		}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fab := newFabric(t, 3, 4)
				time.Sleep(warmUp)
				start := &tally{}
				fab.flood(start, 5*time.Second, all(fab)...)
				tal := &tally{}
				after := tst.run(t, fab, tal)
				part := float64(after.arrived-after.refused) / max(1, after.length.Seconds()) / rate
				t.Logf("admitted %.3f of the rate", part)
				if part < tst.low || part > tst.top {
					t.Errorf("admitted %.3f of the rate, want %.2f to %.2f", part, tst.low, tst.top)
				}
				if diff := cmp.Diff([]bool{true, true, true}, []bool{start.over < 1e-6, tal.over < 1e-6, after.over < 1e-6}); diff != "" {
					t.Errorf("within rate and burst (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func hostsOf(fab *fabric, domain string) []string {
	var hosts []string
	for host, name := range fab.domains {
		if name == domain {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (fab *fabric) setCut(domain string, cut bool) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	fab.cut[domain] = cut
}

// pause holds all messages of a host until the returned function is called.
func (fab *fabric) pause(host string) (resume func()) {
	fab.mu.Lock()
	defer fab.mu.Unlock()
	gate := make(chan struct{})
	fab.gates[host] = gate
	return func() {
		close(gate)
		fab.mu.Lock()
		defer fab.mu.Unlock()
		delete(fab.gates, host)
	}
}

// update gives all nodes a new snapshot.
func (fab *fabric) update(sna *decl.Snapshot) {
	fab.sna = sna
	for _, kee := range fab.nodes {
		kee.SetSnapshot(sna)
	}
}

// Guards against an idempotency key that both sides of a partition run: only the side with a majority may.
func TestServiceQuorumInPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fab := newFabric(t, 3, 4)
		time.Sleep(warmUp)
		fab.setCut("a", true)
		time.Sleep(warmUp)
		got := map[string][]bool{}
		for _, host := range []string{hostName(0, 0), hostName(1, 0)} {
			sta := fab.nodes[host].Status()
			got[host] = []bool{sta.Majority, sta.ServiceMajority}
		}
		want := map[string][]bool{hostName(0, 0): {true, false}, hostName(1, 0): {true, true}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("contact with a majority of rate group and service (-want +got):\n%s", diff)
		}
	})
}
