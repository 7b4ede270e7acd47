package handle_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/coordination/handle"
	"amaranthline/core/coordination/member"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/dedup"
	"amaranthline/core/state/limit"
	"amaranthline/core/state/retry"
)

const (
	minNetworkDelay    = 500 * time.Microsecond // one way between two hosts
	maxNetworkDelay    = 1500 * time.Microsecond
	probeInterval      = 250 * time.Millisecond
	baselineAttempts   = 3
	targetLatency      = 3 * time.Second // a call of the deepest service takes 400 ms on average when slowed down
	serviceTimeHeader  = "X-Work"        // service time of the request at the deepest service, in nanoseconds
	connectionsPerSlot = 5
)

type jsonObject map[string]any

// serviceSpec describes one service of a chain; each service calls the next one.
type serviceSpec struct {
	slots           int
	meanServiceTime time.Duration
}

func serviceName(idx int) string { return fmt.Sprintf("s%d", idx) }

// newSnapshot declares a chain with one host of each service in each of two failure domains. It leaves out the key of the
// first revoked team.
func newSnapshot(tb testing.TB, depth int, teamNames, revoked []string) *decl.Snapshot {
	tb.Helper()
	services, hosts, teams, keys := []jsonObject{}, []jsonObject{}, []jsonObject{}, []jsonObject{}
	for idx := range depth {
		services = append(services, jsonObject{"name": serviceName(idx), "routes": []jsonObject{
			{"method": "GET", "path": "/read", "class": "read", "idempotent": true, "open": false},
			{"method": "GET", "path": "/confirm", "class": "confirm", "idempotent": true, "open": false},
			{"method": "POST", "path": "/order", "class": "confirm", "idempotent": false, "open": false},
		}})
		for _, dom := range []string{"a", "b"} {
			hosts = append(hosts, jsonObject{
				"id": serviceName(idx) + dom, "domain": dom, "service": serviceName(idx),
				"peer": fmt.Sprintf("127.0.0.1:%d", 7000+len(hosts)), "state": "live",
			})
		}
	}
	for _, name := range teamNames {
		sum := sha256.Sum256([]byte(name + "-key"))
		teams = append(teams, jsonObject{"name": name, "rate": 1e6, "burst": 1e6})
		if len(revoked) == 0 || revoked[0] != name {
			keys = append(keys, jsonObject{"id": name + "-1", "team": name, "sha256": hex.EncodeToString(sum[:])})
		}
	}
	dec, err := decl.Decode(encodeJSON(tb, jsonObject{
		"version": 1, "services": services, "teams": teams, "keys": keys,
		"classes": []jsonObject{
			{"name": "confirm", "target": jsonObject{"answered": 0.9999, "within": targetLatency.String()}},
			{"name": "read", "target": jsonObject{"answered": 0.99, "within": targetLatency.String()}},
		},
		"domains": []jsonObject{
			{"name": "a", "region": "r", "state": "in", "rate_groups": 1},
			{"name": "b", "region": "r", "state": "in", "rate_groups": 1},
		},
	}))
	if err != nil {
		tb.Fatal(err)
	}
	lst, err := decl.DecodeHosts(encodeJSON(tb, jsonObject{"version": 1, "hosts": hosts}))
	if err != nil {
		tb.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

func encodeJSON(tb testing.TB, doc jsonObject) []byte {
	tb.Helper()
	data, err := json.Marshal(doc)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// host is an upstream with its node.
type host struct {
	id       string
	upstream *upstream
	gate     *gate.Gate
	members  *member.View
	handler  *handle.Handler
	observer *observer
}

// fleet is the hosts of a chain and the network between them.
type fleet struct {
	snapshot   atomic.Pointer[decl.Snapshot]
	hosts      map[string]*host
	ordered    []*host       // in the order of the host list, so by depth
	isBaseline bool          // entries are baselineEntry instead of handlers
	roundRobin atomic.Uint64 // attempts made by all baselineEntry values; selects the next host
	mut        sync.Mutex    // guards rng
	rng        *rand.Rand
}

// newFleet starts a fleet whose probes stop when the context ends. It must run in a synctest bubble.
func newFleet(ctx context.Context, tb testing.TB, chain []serviceSpec, teams []string, seed uint64, isBaseline bool) *fleet {
	tb.Helper()
	fle := &fleet{hosts: map[string]*host{}, isBaseline: isBaseline, rng: rand.New(rand.NewPCG(seed, 1))}
	fle.snapshot.Store(newSnapshot(tb, len(chain), teams, nil))
	for idx, hos := range fle.snapshot.Load().Hosts().All() {
		fle.addHost(hos, chain, seed+uint64(idx))
	}
	for _, hos := range fle.ordered {
		go fle.feedProbes(ctx, hos)
	}
	return fle
}

// addHost creates the host of an entry of the host list, with its upstream and node.
func (fle *fleet) addHost(dho *decl.Host, chain []serviceSpec, seed uint64) {
	idx, _ := strconv.Atoi(dho.Service()[1:])
	ups := newUpstream(chain[idx], seed)
	if idx+1 < len(chain) {
		ups.nextService = serviceName(idx + 1)
	}
	hos := &host{
		id: dho.ID(), upstream: ups, observer: &observer{refusals: map[core.Reason]int{}},
		gate:    gate.New(gate.Settings{Limit: limit.Settings{MaxConnections: connectionsPerSlot * chain[idx].slots}}),
		members: member.New(member.Settings{Host: dho.ID(), Domain: dho.Domain(), Service: dho.Service()}),
	}
	hos.members.SetSnapshot(time.Now(), fle.snapshot.Load())
	hos.handler = handle.New(handle.Settings{
		Host: hos.id, Domain: dho.Domain(), Service: dho.Service(), Peers: &peers{fle: fle}, Upstream: ups, Gate: hos.gate,
		Members: hos.members, Dedup: dedup.New(dedup.DefaultSettings(hos.id)), Snapshot: fle.snapshot.Load, Observer: hos.observer,
		RateLimiter: unlimitedRate{}, Crash: crash.New(crash.DefaultSettings()), Broadcast: func(...crash.StateUpdate) {},
	})
	ups.entry = core.EntryHandler(hos.handler)
	if fle.isBaseline {
		ups.entry = &baselineEntry{fle: fle}
	}
	fle.hosts[hos.id] = hos
	fle.ordered = append(fle.ordered, hos)
}

// unlimitedRate admits every request, because the tests are about overload and not about the rates of teams.
type unlimitedRate struct{}

func (unlimitedRate) Take(context.Context, string) error { return nil }

// hostsOf returns the hosts of a service.
func (fle *fleet) hostsOf(service string) []*host {
	var hosts []*host
	for _, dho := range fle.snapshot.Load().Hosts().OfService(service) {
		hosts = append(hosts, fle.hosts[dho.ID()])
	}
	return hosts
}

// deepestHosts returns the hosts of the last service of the chain.
func (fle *fleet) deepestHosts() []*host { return fle.ordered[len(fle.ordered)-2:] }

// feedProbes stands in for the probes of one node: at each probe interval it tells the node's host view the state of
// every host.
func (fle *fleet) feedProbes(ctx context.Context, hos *host) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	net := &peers{fle: fle}
	for {
		for _, other := range fle.ordered {
			hos.members.Observe(time.Now(), other.id, net.State(other.id))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitNetworkDelay waits for a random time that a message takes, or until the context ends.
func (fle *fleet) awaitNetworkDelay(ctx context.Context) error {
	fle.mut.Lock()
	delay := minNetworkDelay + time.Duration(fle.rng.Int64N(int64(maxNetworkDelay-minNetworkDelay)))
	fle.mut.Unlock()
	return sleepUnlessCancelled(ctx, delay)
}

// sleepUnlessCancelled waits for a time and returns nil, or returns the error of the context when that ends first.
func sleepUnlessCancelled(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// peers calls the handlers of other hosts with a network delay in each direction.
type peers struct{ fle *fleet }

// Forward serves the call at the other host and reads the whole answer there; the body that it returns ends with the error
// of that reading, if there was one.
func (prs *peers) Forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	if err := prs.fle.awaitNetworkDelay(ctx); err != nil {
		return nil, err
	}
	ans, err := prs.fle.hosts[host].handler.Serve(ctx, call)
	var data []byte
	var readErr error
	if err == nil {
		data, readErr = io.ReadAll(ans.Body())
		_ = ans.Body().Close()
	}
	if delayErr := prs.fle.awaitNetworkDelay(ctx); delayErr != nil {
		return nil, delayErr
	}
	if err != nil {
		return nil, err
	}
	return core.NewAnswer(ans.Status(), ans.Header(), &answerBody{Reader: bytes.NewReader(data), endErr: readErr}, ans.Feedback), nil
}

func (prs *peers) Exchange(context.Context, string, proto.Message) (proto.Message, error) {
	return nil, nil
}

func (prs *peers) SetPeers(map[string]string, []string) {}

func (prs *peers) State(id string) core.PeerState {
	hos := prs.fle.hosts[id]
	return core.NewPeerState(true, hos.handler.Leaving(), hos.gate.Load(), 2*time.Millisecond)
}

// answerBody is an answer body that ends with endErr, if that is set, instead of io.EOF.
type answerBody struct {
	*bytes.Reader
	endErr error
}

func (abo *answerBody) Read(buf []byte) (int, error) {
	n, err := abo.Reader.Read(buf)
	if err == io.EOF && abo.endErr != nil {
		return n, abo.endErr
	}
	return n, err
}

func (abo *answerBody) Close() error { return nil }

// upstream is an application with a number of slots and a queue that has no bound.
type upstream struct {
	meanServiceTime time.Duration
	slots           chan struct{}
	nextService     string // service of its nested call, or "" if it makes none
	entry           core.EntryHandler
	nestedRetries   int                                             // retries that the application itself makes of a failed nested call
	respond         func(call *core.Call) (*core.Answer, error)     // replaces the answer after the service time
	onNestedCall    func(ctx context.Context, req *core.Request)    // called before each nested call is sent; may change it
	onCall          func(ctx context.Context, call *core.Call) bool // called when a call arrives; false ends it with a connection reset

	mut            sync.Mutex // guards the fields below
	rng            *rand.Rand
	slowdown       float64 // factor of the service times
	inFlight       int
	peakInFlight   int
	attemptsByRoot map[core.RootID]int
	received       int // calls that arrived
}

func newUpstream(ssp serviceSpec, seed uint64) *upstream {
	return &upstream{
		meanServiceTime: ssp.meanServiceTime, slots: make(chan struct{}, ssp.slots), rng: rand.New(rand.NewPCG(seed, 2)),
		slowdown: 1, attemptsByRoot: map[core.RootID]int{},
	}
}

// setSlowdown sets the factor of the service times and starts a new measurement of the peak.
func (ups *upstream) setSlowdown(slowdown float64) {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	ups.slowdown = slowdown
	ups.peakInFlight = ups.inFlight
}

// recordArrival counts an arriving call and returns its random service time, without the slowdown.
func (ups *upstream) recordArrival(id core.RootID) time.Duration {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	ups.inFlight++
	ups.peakInFlight = max(ups.peakInFlight, ups.inFlight)
	ups.received++
	ups.attemptsByRoot[id]++
	return time.Duration(ups.rng.ExpFloat64() * float64(ups.meanServiceTime))
}

// receivedCalls returns how many calls the upstream has received.
func (ups *upstream) receivedCalls() int {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	return ups.received
}

// recordEnd counts a call as no longer in flight.
func (ups *upstream) recordEnd() {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	ups.inFlight--
}

// slowedTime returns a service time multiplied by the present slowdown.
func (ups *upstream) slowedTime(serviceTime time.Duration) time.Duration {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	return time.Duration(float64(serviceTime) * ups.slowdown)
}

// Do serves a call: it takes the service time and then makes a nested call, if there is a next service.
func (ups *upstream) Do(ctx context.Context, call *core.Call, callToken string) (*core.Answer, error) {
	serviceTime := ups.recordArrival(call.ID())
	defer ups.recordEnd()
	if ups.onCall != nil && !ups.onCall(ctx, call) {
		return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "connection reset")
	}
	serviceTime, err := ups.process(ctx, serviceTime)
	if err != nil {
		return nil, err
	}
	if ups.respond != nil {
		return ups.respond(call)
	}
	if ups.nextService == "" {
		return newAnswer(http.StatusOK, strconv.FormatInt(int64(serviceTime), 10)), nil
	}
	for range ups.nestedRetries + 1 {
		if ans := ups.callNested(ctx, call, callToken); ans != nil {
			return ans, nil
		}
	}
	return newAnswer(http.StatusServiceUnavailable, "0"), nil
}

// process waits for a slot, holds it for the service time times the slowdown, and returns that time.
func (ups *upstream) process(ctx context.Context, serviceTime time.Duration) (time.Duration, error) {
	select {
	case ups.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-ups.slots }()
	serviceTime = ups.slowedTime(serviceTime)
	return serviceTime, sleepUnlessCancelled(ctx, serviceTime)
}

// callNested makes the nested call and returns the answer to pass on, or nil when the nested call failed.
func (ups *upstream) callNested(ctx context.Context, call *core.Call, callToken string) *core.Answer {
	req := core.NewRequest(core.RequestSpec{
		CallToken: callToken, Service: ups.nextService, Method: call.Method(), Path: call.Path(), Header: http.Header{},
	})
	if ups.onNestedCall != nil {
		ups.onNestedCall(ctx, req)
	}
	ans, err := ups.entry.ServeNested(ctx, req)
	if err != nil {
		return nil
	}
	_, err = io.Copy(io.Discard, ans.Body())
	_ = ans.Body().Close()
	if err != nil || retry.IsFailureStatus(ans.Status()) {
		return nil
	}
	return newAnswer(ans.Status(), ans.Header().Get(serviceTimeHeader))
}

// newAnswer returns an answer with the service time at the deepest service in its header.
func newAnswer(status int, serviceTime string) *core.Answer {
	header := http.Header{serviceTimeHeader: {serviceTime}}
	return core.NewAnswer(status, header, &answerBody{Reader: bytes.NewReader([]byte("ok"))}, func() core.Feedback { return core.Feedback{} })
}

// observer counts refusals by reason.
type observer struct {
	mut      sync.Mutex
	refusals map[core.Reason]int
}

func (obs *observer) Served(string, string, bool, time.Duration) {}

func (obs *observer) Refused(reason core.Reason, _, _ string) {
	obs.mut.Lock()
	defer obs.mut.Unlock()
	obs.refusals[reason]++
}

func (obs *observer) Retried(string) {}

// baselineEntry is the system to compare with: no limits, three attempts per hop, hosts chosen round robin.
type baselineEntry struct{ fle *fleet }

// rootContextKey is the context key of the root request that baselineEntry passes on to nested calls.
type rootContextKey struct{}

func (bas *baselineEntry) ServeRoot(ctx context.Context, req *core.Request) (*core.Answer, error) {
	var id core.RootID
	bas.fle.mut.Lock()
	for idx := range id {
		id[idx] = byte(bas.fle.rng.Uint32())
	}
	bas.fle.mut.Unlock()
	root := core.NewRoot(core.RootSpec{ID: id, Deadline: time.Now().Add(targetLatency)})
	ctx, cancel := context.WithDeadline(context.WithValue(ctx, rootContextKey{}, root), root.Deadline())
	defer cancel()
	return bas.sendWithRetries(ctx, req, root)
}

func (bas *baselineEntry) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return bas.sendWithRetries(ctx, req, ctx.Value(rootContextKey{}).(*core.Root))
}

// sendWithRetries makes up to baselineAttempts attempts until one succeeds.
func (bas *baselineEntry) sendWithRetries(ctx context.Context, req *core.Request, root *core.Root) (ans *core.Answer, err error) {
	hosts := bas.fle.hostsOf(req.Service())
	call := core.NewCall(core.CallSpec{Root: root, Service: req.Service(), Method: req.Method(), Path: req.Path()})
	for range baselineAttempts {
		hos := hosts[bas.fle.roundRobin.Add(1)%uint64(len(hosts))]
		ans, err = bas.sendAttempt(ctx, hos, call)
		if ctx.Err() != nil || err == nil && !retry.IsFailureStatus(ans.Status()) {
			break
		}
	}
	return ans, err
}

// sendAttempt calls the upstream of a host directly, with a network delay before the call and another before the answer.
func (bas *baselineEntry) sendAttempt(ctx context.Context, hos *host, call *core.Call) (*core.Answer, error) {
	if err := bas.fle.awaitNetworkDelay(ctx); err != nil {
		return nil, err
	}
	ans, err := hos.upstream.Do(ctx, call, "")
	if err != nil {
		return nil, err
	}
	return ans, bas.fle.awaitNetworkDelay(ctx)
}
