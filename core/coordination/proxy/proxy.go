package proxy

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/body"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/hedge"
	"amaranthline/core/state/picker"
	"amaranthline/core/state/rate"
	"amaranthline/core/state/retry"
	"amaranthline/core/state/split"
)

const (
	// maxDepth ends call loops; the deepest intended chain has 9 hops.
	maxDepth = 16
	// defaultSlots is the concurrency of an upstream that the host list says nothing about.
	defaultSlots = 16
	// configurationPause is when a caller may come back to a node that has just started.
	configurationPause = 300 * time.Millisecond
	finishPoll         = 10 * time.Millisecond
)

// Events of the log that every request or call may cause.
const (
	eventAnswered    = "request answered"
	eventRefused     = "request refused"
	eventCallRefused = "call refused"
)

// Settings configures a Proxy.
type Settings struct {
	Host     string
	Domain   string
	Service  string
	Peers    core.Peers
	Upstream core.CheckedUpstream
	Snapshot func() *decl.Snapshot
	Observer core.Observer
	EventLog core.EventLog
	Rand     *rand.Rand // not shared with other users
	// RetryShare bounds the further attempts for a service to a share of the calls that this node sends to it.
	RetryShare float64
}

// Proxy serves requests of callers and of the own upstream, and calls of peers.
type Proxy struct {
	set      Settings
	clock    core.Clock
	table    *picker.Picker
	splitter *split.Splitter
	meter    *rate.Limiter
	divider  *rate.Allocator
	lane     *lane
	own      *own
	ranked   atomic.Pointer[pools]
	surged   chan struct{} // a team asks for far more than usual
	running  *running
	leaving  atomic.Bool
	draining atomic.Bool
	rng      lockedRand

	mut        sync.Mutex // guards the fields below
	retryShare float64
	ratios     map[string]*retry.Ratio     // by service
	hedges     map[string]*hedge.Estimator // by ingress route
}

// New returns a proxy.
func New(set Settings) *Proxy {
	clo := core.NewClock()
	rel := &Proxy{
		set: set, clock: clo, table: picker.New(rand.New(rand.NewPCG(set.Rand.Uint64(), set.Rand.Uint64()))), //nolint:gosec // no secret
		splitter: split.New(), meter: rate.New(), divider: rate.NewAllocator(), lane: newLane(clo),
		running: newRunning(), surged: make(chan struct{}, 1), retryShare: set.RetryShare, ratios: map[string]*retry.Ratio{}, hedges: map[string]*hedge.Estimator{}, rng: lockedRand{rng: set.Rand},
	}
	rel.own = newOwn(set, clo, rel.lane)
	return rel
}

// lockedRand is a generator for many goroutines.
type lockedRand struct {
	mut sync.Mutex
	rng *rand.Rand
}

// between returns a random time between two.
func (lra *lockedRand) between(low, high time.Duration) time.Duration {
	lra.mut.Lock()
	defer lra.mut.Unlock()
	return low + time.Duration(lra.rng.Float64()*float64(high-low))
}

// Leave announces that this host is about to stop. Calls that still arrive are served, because peers learn of it only
// with their next probe or answer.
func (rel *Proxy) Leave() { rel.leaving.Store(true) }

// Leaving says whether Leave was called.
func (rel *Proxy) Leaving() bool { return rel.leaving.Load() }

// Drain makes the proxy refuse calls of peers that have not started, so that they go to other hosts.
func (rel *Proxy) Drain() { rel.draining.Store(true) }

// WaitIdle waits until the own upstream has finished the calls that it works on. Until then it may make calls of its
// own.
func (rel *Proxy) WaitIdle(ctx context.Context) error {
	tick := time.NewTicker(finishPoll)
	defer tick.Stop()
	for !rel.running.empty() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("the upstream still works on calls; allow more time for the graceful shutdown: %w", ctx.Err())
		}
	}
	return nil
}

// Load returns the calls at the own upstream and those that wait for it, divided by its places.
func (rel *Proxy) Load() float64 { return rel.lane.load() }

// SlotUsage returns the places of the own upstream, those that are taken, and the calls that wait.
func (rel *Proxy) SlotUsage() (slots, busy, waiting int) { return rel.lane.places() }

// UpstreamCrashed is called when the own upstream seems to have crashed.
func (rel *Proxy) UpstreamCrashed() { rel.own.crashed() }

// SetSnapshot takes a new configuration.
func (rel *Proxy) SetSnapshot(sna *decl.Snapshot) {
	now := rel.clock.Now()
	rel.ranked.Store(newPools(rel.set, sna))
	rel.own.update(now, sna)
	for name, tea := range sna.Teams() {
		if !tea.Unlimited() {
			rel.meter.SetRate(now, name, tea.Rate(), tea.Burst())
		}
	}
	rel.meter.Retain(func(name string) bool {
		tea := sna.Team(name)
		return tea != nil && !tea.Unlimited()
	})
	ids := make([]string, 0, len(sna.Hosts().All()))
	for _, hos := range sna.Hosts().All() {
		ids = append(ids, hos.ID())
	}
	rel.table.Retain(ids)
}

// SetPeerState takes what the connection to a peer shows.
func (rel *Proxy) SetPeerState(host string, pst core.PeerState) {
	if pst.Known() {
		rel.table.SetPeerState(rel.clock.Now(), host, pst.Up(), pst.Leaving())
	}
}

func refuse(reason core.Reason, format string, args ...any) *core.Refusal {
	return core.NewRefusal(reason, core.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// outgoing is a request on its way to a service, over one or more attempts.
type outgoing struct {
	sna     *decl.Snapshot
	ent     *decl.IngressRoute
	req     *core.Request
	root    *core.Root
	parent  *run // the running call that made it, or nil
	service string
	target  time.Duration
	body    *body.Replay
	keyed   bool
	paid    bool // the request took a part of its team's rate
	began   time.Time

	tried   []string
	arrived int // attempts that may have reached an upstream, or may still do so
	shed    int // those of them that upstreams refused to run
}

// most returns how many hosts may be asked.
func (out *outgoing) most() int { return maxHosts + min(out.shed, maxShed) }

func (out *outgoing) nested() bool { return out.parent != nil }

// repeated says whether an upstream made the request while it ran a retry.
func (out *outgoing) repeated() bool { return out.parent != nil && out.parent.call.IsRetry() }

// ServeRoot serves a request of a caller or of the own upstream.
func (rel *Proxy) ServeRoot(ctx context.Context, req *core.Request) (*core.Answer, error) {
	out := &outgoing{req: req, began: rel.clock.Now()}
	ans, err := rel.enter(ctx, out)
	rel.finished(out, ans, err)
	return ans, err
}

// ServeNested serves a call of the own upstream; on this path it comes in where callers do.
func (rel *Proxy) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return rel.ServeRoot(ctx, req)
}

func (rel *Proxy) enter(ctx context.Context, out *outgoing) (*core.Answer, error) {
	if err := rel.resolve(out); err != nil {
		return nil, err
	}
	if err := rel.identify(out); err != nil {
		return nil, err
	}
	rep, err := body.New(out.req.Body(), out.req.Length())
	if err != nil {
		return nil, refuse(core.ReasonCancelled, "the request body ended early").WithCause(err)
	}
	out.body = rep
	out.service = rel.splitter.Next(out.ent)
	return rel.send(ctx, out)
}

// resolve finds the ingress route of a request.
func (rel *Proxy) resolve(out *outgoing) error {
	out.sna = rel.set.Snapshot()
	if out.sna == nil {
		return refuse(core.ReasonNoConfiguration, "no declarations and host list have been received").WithRetryAfter(configurationPause)
	}
	host := out.req.Authority()
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	out.ent = out.sna.IngressRoute(host, out.req.Path())
	if out.ent == nil {
		return refuse(core.ReasonUnknownRoute, "no entry of host %q begins the path %q", host, out.req.Path())
	}
	return nil
}

// identify finds out for whom the request is made, and takes its team's rate. A call of the own upstream carries no
// key: its identifier begins with that of the running call that made it. It goes on for the team, the rank and the
// deadline of that call, whose rate has been taken already.
func (rel *Proxy) identify(out *outgoing) error {
	now := rel.clock.Now()
	cla := out.ent.Class()
	out.target = min(cla.TargetLatency(), out.ent.Timeout())
	spec := core.RootSpec{Class: cla.Name(), Rank: cla.Rank(), Public: out.ent.Public(), Admitted: now}
	spec.Deadline = now.Add(out.ent.Timeout())
	if out.req.Timeout() > 0 && out.req.Timeout() < out.ent.Timeout() {
		spec.Deadline = now.Add(out.req.Timeout())
	}
	if out.req.APIKey() == "" {
		out.parent = rel.running.parent(out.req.AttemptID())
	}
	if run := out.parent; run != nil {
		return out.inherit(run, spec)
	}
	_, _ = crand.Read(spec.ID[:]) // crypto/rand.Read never fails
	key := out.sna.KeyBySecret(out.req.APIKey())
	switch {
	case key != nil:
		spec.Team, spec.KeyID = key.Team().Name(), key.ID()
		out.keyed = true
	case out.ent.Public():
	case out.req.APIKey() != "":
		return refuse(core.ReasonKeyUnknown, "the key is not valid")
	case derived(out.req.AttemptID()):
		return refuse(core.ReasonOrphanedCall, "the call that made this one has ended")
	case rel.running.empty():
		return refuse(core.ReasonKeyMissing, "the entry needs a key")
	}
	out.root = core.NewRoot(spec)
	if spec.Team == "" {
		return nil
	}
	ok, pause := rel.meter.Allow(now, spec.Team)
	if rel.meter.DemandSurged() {
		select {
		case rel.surged <- struct{}{}:
		default:
		}
	}
	if !ok {
		return refuse(core.ReasonRateExceeded, "team %q is above its rate", spec.Team).WithRetryAfter(pause)
	}
	out.paid = true
	return nil
}

// inherit makes the request a part of the root that a running call belongs to.
func (out *outgoing) inherit(run *run, spec core.RootSpec) error {
	if run.call.Depth() >= maxDepth {
		return refuse(core.ReasonBadRequest, "the chain is more than %d calls deep", maxDepth)
	}
	spec.ID, spec.Team, spec.KeyID = run.call.ID(), run.call.Team(), run.call.KeyID()
	spec.Class, spec.Rank, spec.Public = run.call.Class(), run.call.EntryRank(), run.call.Public()
	if run.call.Deadline().Before(spec.Deadline) {
		spec.Deadline = run.call.Deadline()
	}
	out.target = run.call.TargetLatency()
	out.root = core.NewRoot(spec)
	return nil
}

// call returns one attempt as a call.
func (out *outgoing) call(origin string) *core.Call {
	depth := 0
	if out.parent != nil {
		depth = out.parent.call.Depth() + 1
	}
	return core.NewCall(core.CallSpec{
		Root: out.root, Service: out.service, Method: out.req.Method(), Path: out.req.RequestURI(), Header: out.req.Header(),
		Body: out.body.Reader(), Length: out.req.Length(), Idempotent: out.ent.Idempotent(), Depth: depth,
		AttemptID: out.req.AttemptID(), Authority: out.req.Authority(), CallerService: origin, TargetLatency: out.target,
		DeclarationsVersion: out.sna.Version(), Authenticated: out.keyed, EntryRank: out.root.Rank(),
		IsRetry: out.repeated() || out.arrived > 1,
	})
}

// finished counts and logs how a request ended at its entry.
func (rel *Proxy) finished(out *outgoing, ans *core.Answer, err error) {
	class, team := "", ""
	if out.root != nil {
		class, team = out.root.Class(), out.root.Team()
	}
	took := rel.clock.Now().Sub(out.began)
	if err == nil {
		rel.set.Observer.Served(class, team, out.nested(), took)
		if rel.set.EventLog.Enabled(eventAnswered) {
			rel.note(eventAnswered, out, map[string]any{"status": ans.Status(), "took_ms": took.Milliseconds()})
		}
		return
	}
	ref := core.AsRefusal(err)
	rel.set.Observer.Refused(ref.Reason(), class, team)
	if out.paid && ref.Outcome() == core.OutcomeNotRun {
		rel.meter.Refund(team)
	}
	if out.parent != nil {
		out.parent.failed.Store(true)
	}
	if rel.set.EventLog.Enabled(eventRefused) {
		rel.note(eventRefused, out, map[string]any{
			"reason": string(ref.Reason()), "outcome": ref.Outcome().String(), "detail": ref.Detail(),
			"retry_after_ms": ref.RetryAfter().Milliseconds(), "took_ms": took.Milliseconds(),
		})
	}
}

// note logs a decision about a request at its entry.
func (rel *Proxy) note(event string, out *outgoing, fields map[string]any) {
	if out.ent != nil {
		fields["entry"] = out.ent.Name()
	}
	if out.root != nil {
		fields["root"], fields["class"], fields["team"] = out.root.ID().String(), out.root.Class(), out.root.Team()
	}
	if out.sna != nil {
		fields["declarations"], fields["hosts"] = out.sna.Version(), out.sna.Hosts().Version()
	}
	fields["service"], fields["tried"] = out.service, strings.Join(out.tried, " ")
	rel.set.EventLog.Note(event, out.req.AttemptID(), fields)
}
