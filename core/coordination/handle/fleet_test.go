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
	leastDelay    = 500 * time.Microsecond // one way between two hosts
	mostDelay     = 1500 * time.Microsecond
	probeInterval = 250 * time.Millisecond
	naiveAttempts = 3
	within        = 3 * time.Second // a slowed call of the deepest service takes 400 ms in the mean
	workHeader    = "X-Work"        // nanoseconds that the deepest service spent on the request
	connections   = 5               // connections of an upstream over its slots
)

type object map[string]any

// plan is one service of a chain; each calls the next one.
type plan struct {
	slots int
	mean  time.Duration
}

func serviceName(idx int) string { return fmt.Sprintf("s%d", idx) }

// snapshot declares a chain with one host of each service in each of two failure domains.
func snapshot(tb testing.TB, chain int, names, revoked []string) *decl.Snapshot {
	tb.Helper()
	services, hosts, teams, keys := []object{}, []object{}, []object{}, []object{}
	for idx := range chain {
		services = append(services, object{"name": serviceName(idx), "routes": []object{
			{"method": "GET", "path": "/read", "class": "read", "idempotent": true, "open": false},
			{"method": "GET", "path": "/confirm", "class": "confirm", "idempotent": true, "open": false},
			{"method": "POST", "path": "/order", "class": "confirm", "idempotent": false, "open": false},
		}})
		for _, dom := range []string{"a", "b"} {
			hosts = append(hosts, object{
				"id": serviceName(idx) + dom, "domain": dom, "service": serviceName(idx),
				"peer": fmt.Sprintf("127.0.0.1:%d", 7000+len(hosts)), "state": "live",
			})
		}
	}
	for _, name := range names {
		sum := sha256.Sum256([]byte(name + "-key"))
		teams = append(teams, object{"name": name, "rate": 1e6, "burst": 1e6})
		if len(revoked) == 0 || revoked[0] != name {
			keys = append(keys, object{"id": name + "-1", "team": name, "sha256": hex.EncodeToString(sum[:])})
		}
	}
	dec, err := decl.Decode(encode(tb, object{
		"version": 1, "services": services, "teams": teams, "keys": keys,
		"classes": []object{
			{"name": "confirm", "target": object{"answered": 0.9999, "within": within.String()}},
			{"name": "read", "target": object{"answered": 0.99, "within": within.String()}},
		},
		"domains": []object{
			{"name": "a", "region": "r", "state": "in", "rate_groups": 1},
			{"name": "b", "region": "r", "state": "in", "rate_groups": 1},
		},
	}))
	if err != nil {
		tb.Fatal(err)
	}
	lst, err := decl.DecodeHosts(encode(tb, object{"version": 1, "hosts": hosts}))
	if err != nil {
		tb.Fatal(err)
	}
	return decl.NewSnapshot(dec, lst)
}

func encode(tb testing.TB, doc object) []byte {
	tb.Helper()
	data, err := json.Marshal(doc)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// host is one upstream with its node.
type host struct {
	id       string
	upstream *upstream
	gate     *gate.Gate
	members  *member.View
	flow     *handle.Handler
	observer *observer
}

// fleet is all hosts of a chain with the network between them.
type fleet struct {
	snap  atomic.Pointer[decl.Snapshot]
	hosts map[string]*host
	order []*host
	naive bool
	turn  atomic.Uint64
	mu    sync.Mutex // guards rng
	rng   *rand.Rand
}

// newFleet starts a fleet whose probes end with the context. It must run in a synctest bubble.
func newFleet(ctx context.Context, tb testing.TB, chain []plan, teams []string, seed uint64, naive bool) *fleet {
	tb.Helper()
	fle := &fleet{hosts: map[string]*host{}, naive: naive, rng: rand.New(rand.NewPCG(seed, 1))}
	fle.snap.Store(snapshot(tb, len(chain), teams, nil))
	for idx, hos := range fle.snap.Load().Hosts().All() {
		fle.add(hos, chain, seed+uint64(idx))
	}
	for _, hos := range fle.order {
		go fle.probe(ctx, hos)
	}
	return fle
}

func (fle *fleet) add(dec *decl.Host, chain []plan, seed uint64) {
	idx, _ := strconv.Atoi(dec.Service()[1:])
	ups := newUpstream(chain[idx], seed)
	if idx+1 < len(chain) {
		ups.next = serviceName(idx + 1)
	}
	hos := &host{
		id: dec.ID(), upstream: ups, observer: &observer{refused: map[core.Reason]int{}},
		gate:    gate.New(gate.Settings{Limit: limit.Settings{Max: connections * chain[idx].slots}}),
		members: member.New(member.Settings{Host: dec.ID(), Domain: dec.Domain(), Service: dec.Service()}),
	}
	hos.members.SetSnapshot(time.Now(), fle.snap.Load())
	hos.flow = handle.New(handle.Settings{
		Host: hos.id, Domain: dec.Domain(), Service: dec.Service(), Peers: &peers{fle: fle}, Upstream: ups, Gate: hos.gate,
		Members: hos.members, Dedup: dedup.New(dedup.DefaultSettings(hos.id)), Snapshot: fle.snap.Load, Observer: hos.observer,
		RateLimiter: unlimited{}, Crash: crash.New(crash.DefaultSettings()), Broadcast: func(...crash.StateUpdate) {},
	})
	ups.entry = core.EntryHandler(hos.flow)
	if fle.naive {
		ups.entry = &baseline{fle: fle}
	}
	fle.hosts[hos.id] = hos
	fle.order = append(fle.order, hos)
}

// unlimited admits every request, because the measurements are about overload and not about rates.
type unlimited struct{}

func (unlimited) Take(context.Context, string) error { return nil }

// service returns the hosts of a service.
func (fle *fleet) service(name string) []*host {
	var hosts []*host
	for _, dec := range fle.snap.Load().Hosts().OfService(name) {
		hosts = append(hosts, fle.hosts[dec.ID()])
	}
	return hosts
}

// deepest returns the hosts of the last service of the chain.
func (fle *fleet) deepest() []*host { return fle.order[len(fle.order)-2:] }

// probe gives the membership view of a host what probes would show.
func (fle *fleet) probe(ctx context.Context, hos *host) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	net := &peers{fle: fle}
	for {
		for _, oth := range fle.order {
			hos.members.Observe(time.Now(), oth.id, net.State(oth.id))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (fle *fleet) delay(ctx context.Context) error {
	fle.mu.Lock()
	pause := leastDelay + time.Duration(fle.rng.Int64N(int64(mostDelay-leastDelay)))
	fle.mu.Unlock()
	return sleep(ctx, pause)
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// peers calls the handlers of other hosts after a delay.
type peers struct{ fle *fleet }

func (pee *peers) Forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	if err := pee.fle.delay(ctx); err != nil {
		return nil, err
	}
	ans, err := pee.fle.hosts[host].flow.Serve(ctx, call)
	var data []byte
	var cut error
	if err == nil {
		data, cut = io.ReadAll(ans.Body())
		_ = ans.Body().Close()
	}
	if late := pee.fle.delay(ctx); late != nil {
		return nil, late
	}
	if err != nil {
		return nil, err
	}
	return core.NewAnswer(ans.Status(), ans.Header(), &content{Reader: bytes.NewReader(data), end: cut}, ans.Feedback), nil
}

func (pee *peers) Exchange(context.Context, string, proto.Message) (proto.Message, error) {
	return nil, nil
}

func (pee *peers) SetPeers(map[string]string, []string) {}

func (pee *peers) State(id string) core.PeerState {
	hos := pee.fle.hosts[id]
	return core.NewPeerState(true, hos.flow.Leaving(), hos.gate.Load(), 2*time.Millisecond)
}

// content is an answer body that ends with an error when it was cut short.
type content struct {
	*bytes.Reader
	end error
}

func (con *content) Read(buf []byte) (int, error) {
	got, err := con.Reader.Read(buf)
	if err == io.EOF && con.end != nil {
		return got, con.end
	}
	return got, err
}

func (con *content) Close() error { return nil }

// upstream is an application with a number of slots and a queue that has no bound.
type upstream struct {
	mean    time.Duration
	slots   chan struct{}
	next    string // service of its nested call, or ""
	entry   core.EntryHandler
	repeats int                                             // own repeats of a failed nested call
	answer  func(call *core.Call) (*core.Answer, error)     // replaces the work, for crashes and cut answers
	called  func(ctx context.Context, req *core.Request)    // sees each nested call before it is sent
	seen    func(ctx context.Context, call *core.Call) bool // false ends the call with a reset

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	factor   float64
	inFlight int
	peak     int
	roots    map[core.RootID]int
	started  int
}

func newUpstream(pla plan, seed uint64) *upstream {
	return &upstream{
		mean: pla.mean, slots: make(chan struct{}, pla.slots), rng: rand.New(rand.NewPCG(seed, 2)),
		factor: 1, roots: map[core.RootID]int{},
	}
}

// setFactor makes the upstream slower and starts a new measurement of the peak.
func (ups *upstream) setFactor(factor float64) {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.factor = factor
	ups.peak = ups.inFlight
}

func (ups *upstream) enter(id core.RootID) time.Duration {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.inFlight++
	ups.peak = max(ups.peak, ups.inFlight)
	ups.started++
	ups.roots[id]++
	return time.Duration(ups.rng.ExpFloat64() * float64(ups.mean))
}

// starts returns how many calls the upstream has received.
func (ups *upstream) starts() int {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	return ups.started
}

func (ups *upstream) leave() {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.inFlight--
}

func (ups *upstream) slowed(work time.Duration) time.Duration {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	return time.Duration(float64(work) * ups.factor)
}

func (ups *upstream) Do(ctx context.Context, call *core.Call, token string) (*core.Answer, error) {
	work := ups.enter(call.ID())
	defer ups.leave()
	if ups.seen != nil && !ups.seen(ctx, call) {
		return nil, core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeUnknown, "connection reset")
	}
	work, err := ups.work(ctx, work)
	if err != nil {
		return nil, err
	}
	if ups.answer != nil {
		return ups.answer(call)
	}
	if ups.next == "" {
		return reply(http.StatusOK, strconv.FormatInt(int64(work), 10)), nil
	}
	for range ups.repeats + 1 {
		if ans := ups.nested(ctx, call, token); ans != nil {
			return ans, nil
		}
	}
	return reply(http.StatusServiceUnavailable, "0"), nil
}

// work holds a slot for the service time.
func (ups *upstream) work(ctx context.Context, work time.Duration) (time.Duration, error) {
	select {
	case ups.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { <-ups.slots }()
	work = ups.slowed(work)
	return work, sleep(ctx, work)
}

// nested makes the nested call and returns the answer to pass on, or nil when it failed.
func (ups *upstream) nested(ctx context.Context, call *core.Call, token string) *core.Answer {
	req := core.NewRequest(core.RequestSpec{
		CallToken: token, Service: ups.next, Method: call.Method(), Path: call.Path(), Header: http.Header{},
	})
	if ups.called != nil {
		ups.called(ctx, req)
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
	return reply(ans.Status(), ans.Header().Get(workHeader))
}

func reply(status int, work string) *core.Answer {
	header := http.Header{workHeader: {work}}
	return core.NewAnswer(status, header, &content{Reader: bytes.NewReader([]byte("ok"))}, func() core.Feedback { return core.Feedback{} })
}

// observer counts refusals.
type observer struct {
	mu      sync.Mutex
	refused map[core.Reason]int
}

func (obs *observer) Served(string, string, bool, time.Duration) {}

func (obs *observer) Refused(reason core.Reason, _, _ string) {
	obs.mu.Lock()
	defer obs.mu.Unlock()
	obs.refused[reason]++
}

func (obs *observer) Retried(string) {}

// baseline is the naive version: no limits, three attempts per hop, round robin.
type baseline struct{ fle *fleet }

type rootKey struct{}

func (bas *baseline) ServeRoot(ctx context.Context, req *core.Request) (*core.Answer, error) {
	var id core.RootID
	bas.fle.mu.Lock()
	for idx := range id {
		id[idx] = byte(bas.fle.rng.Uint32())
	}
	bas.fle.mu.Unlock()
	root := core.NewRoot(core.RootSpec{ID: id, Deadline: time.Now().Add(within)})
	ctx, cancel := context.WithDeadline(context.WithValue(ctx, rootKey{}, root), root.Deadline())
	defer cancel()
	return bas.send(ctx, req, root)
}

func (bas *baseline) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return bas.send(ctx, req, ctx.Value(rootKey{}).(*core.Root))
}

func (bas *baseline) send(ctx context.Context, req *core.Request, root *core.Root) (ans *core.Answer, err error) {
	hosts := bas.fle.service(req.Service())
	call := core.NewCall(core.CallSpec{Root: root, Service: req.Service(), Method: req.Method(), Path: req.Path()})
	for range naiveAttempts {
		hos := hosts[bas.fle.turn.Add(1)%uint64(len(hosts))]
		ans, err = bas.attempt(ctx, hos, call)
		if ctx.Err() != nil || err == nil && !retry.IsFailureStatus(ans.Status()) {
			break
		}
	}
	return ans, err
}

func (bas *baseline) attempt(ctx context.Context, hos *host, call *core.Call) (*core.Answer, error) {
	if err := bas.fle.delay(ctx); err != nil {
		return nil, err
	}
	ans, err := hos.upstream.Do(ctx, call, "")
	if err != nil {
		return nil, err
	}
	return ans, bas.fle.delay(ctx)
}
