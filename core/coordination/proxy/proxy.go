package proxy

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/body"
	"amaranthline/core/state/cost"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/drain"
	"amaranthline/core/state/hedge"
	"amaranthline/core/state/picker"
	"amaranthline/core/state/rate"
	"amaranthline/core/state/retry"
	"amaranthline/core/state/split"
)

const (
	// maxCallDepth ends call loops; the deepest intended chain has 9 hops.
	maxCallDepth = 16
	// defaultSlots is the number of slots of an upstream whose number of slots the host list does not give.
	defaultSlots = 16
	// noConfigurationRetryAfter is how long a caller is told to wait before it retries at a node that has just started
	// and has no configuration yet.
	noConfigurationRetryAfter = 300 * time.Millisecond
	// drainingRetryAfter is how long a caller is told to wait that still sends requests to a node which is about to exit:
	// its next one should go to another node, or to the next process of this one.
	drainingRetryAfter = 500 * time.Millisecond
	idlePollInterval   = 10 * time.Millisecond
	// dependencyTrialSpacing is the time between two root requests of a class that all hosts of a service together admit
	// although a service that the class needs is cold.
	dependencyTrialSpacing = 250 * time.Millisecond
)

// Events that a request or call writes to the event log.
const (
	eventAnswered    = "request answered"
	eventRefused     = "request refused"
	eventCallRefused = "call refused"
)

// Settings configures a Proxy.
type Settings struct {
	Host     string // ID of this node's host
	Domain   string
	Service  string
	Peers    core.Peers
	Upstream core.CheckedUpstream
	Snapshot func() *decl.Snapshot
	// ConfigurationStale reports whether no recent read of the configuration is known; nil means that one always is.
	ConfigurationStale func() bool
	Observer           core.Observer
	EventLog           core.EventLog
	Rand               *rand.Rand // must not be used elsewhere
	// Scheduling selects what decides where calls run and who is refused.
	Scheduling Scheduling
	// RetryShare is the highest ratio of retries to calls that this node sends to a service.
	RetryShare float64
}

// Proxy serves requests of callers and of the node's own upstream, and calls of peers.
type Proxy struct {
	drain.State
	settings   Settings
	clock      core.Clock
	picker     *picker.Picker
	splitter   *split.Splitter
	limiter    *rate.Limiter
	granter    *rate.Granter
	granters   *rate.Order // of the hosts that grant tokens of the teams' rates
	tokenQueue *tokenQueue
	queue      *upstreamQueue
	upstream   *ownUpstream
	candidates atomic.Pointer[candidateLists]
	ownWork    *ownWork
	byWork     atomic.Bool // scheduling by expected work is in force
	running    *runningCalls
	rng        lockedRand
	leftDomain atomic.Int64 // attempts sent to another failure domain because hosts of this one had no room
	trialPhase float64      // in [0,1); spreads the trials of the hosts of a service

	mut             sync.Mutex // guards the fields below
	retryShare      float64
	retryRatios     map[string]*retry.Ratio     // by service
	hedgeEstimators map[string]*hedge.Estimator // by ingress route
	cutDomainNames  map[string]bool             // failure domains that seemed unreachable at cutDomainsAt
	cutDomainsAt    time.Time
}

// New returns a proxy without a configuration; SetSnapshot gives it one.
func New(set Settings) *Proxy {
	clo := core.NewClock()
	prx := &Proxy{
		settings: set, clock: clo, picker: picker.New(rand.New(rand.NewPCG(set.Rand.Uint64(), set.Rand.Uint64()))), //nolint:gosec // no secret
		splitter: split.New(), limiter: rate.New(set.Host), granter: rate.NewGranter(set.Host), granters: rate.NewOrder(set.Host),
		tokenQueue: newTokenQueue(), queue: newUpstreamQueue(clo),
		running: newRunningCalls(), retryShare: set.RetryShare, retryRatios: map[string]*retry.Ratio{}, hedgeEstimators: map[string]*hedge.Estimator{}, rng: lockedRand{rng: set.Rand},
	}
	prx.trialPhase = prx.rng.between(0, time.Second).Seconds()
	prx.ownWork = newOwnWork(set.EventLog)
	prx.upstream = newOwnUpstream(set, clo, prx.queue)
	return prx
}

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mut sync.Mutex
	rng *rand.Rand
}

// between returns a duration that is uniformly distributed from low to high.
func (lra *lockedRand) between(low, high time.Duration) time.Duration {
	lra.mut.Lock()
	defer lra.mut.Unlock()
	return low + time.Duration(lra.rng.Float64()*float64(high-low))
}

// Run keeps the state of the node's own upstream and of the teams' rates up to date until ctx ends.
func (prx *Proxy) Run(ctx context.Context) error {
	var grp sync.WaitGroup
	defer grp.Wait()
	grp.Go(func() { prx.upstream.runHealthChecks(ctx) })
	ticker := time.NewTicker(rate.AdvanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			sna := prx.settings.Snapshot()
			if sna == nil {
				continue
			}
			up, down := prx.peersByDomain(sna)
			prx.granter.Advance(prx.clock.Now(), inContact(up, down))
			prx.upstream.setMayMissConfiguration(prx.mayMissConfiguration(up, down))
		}
	}
}

// WaitIdle waits until no call is in flight at the node's own upstream. Until then the upstream may make nested calls.
func (prx *Proxy) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !prx.running.empty() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("calls are still in flight at the node's own upstream; allow more time for the graceful shutdown: %w", ctx.Err())
		}
	}
	return nil
}

// Load returns the calls in flight at the node's own upstream and queued for it, divided by its slots.
func (prx *Proxy) Load() float64 { return prx.queue.load() }

// SlotUsage returns the number of slots of the node's own upstream, of calls in flight at it and of calls queued for
// it.
func (prx *Proxy) SlotUsage() (slots, inFlight, queued int) { return prx.queue.slotUsage() }

// UpstreamCrashed records that the node's own upstream seems to have crashed: it does not listen, or all connections to
// it were lost.
func (prx *Proxy) UpstreamCrashed() { prx.upstream.connectionsLost() }

// ConnectionLost records that a connection to the node's own upstream was lost or could not be established. The upstream may
// have started again under the same identifier.
func (prx *Proxy) ConnectionLost() { prx.upstream.connectionLost() }

// SetSnapshot applies a new configuration.
func (prx *Proxy) SetSnapshot(sna *decl.Snapshot) {
	now := prx.clock.Now()
	cls := rankCandidates(prx.settings, sna)
	prx.candidates.Store(cls)
	prx.byWork.Store(prx.settings.Scheduling.ByWork(sna))
	interval := time.Duration(max(len((*cls)[prx.settings.Service]), 1)) * dependencyTrialSpacing
	prx.queue.setTrials(interval, secondsToDuration(prx.trialPhase*interval.Seconds()))
	prx.queue.setTeamWeights(prx.teamWeights(sna))
	prx.queue.setRankOrder(prx.byWork.Load())
	prx.queue.setGradualStart(prx.byWork.Load())
	prx.upstream.applySnapshot(now, sna)
	prx.setRateHosts(now, sna)
	ids := make([]string, 0, len(sna.Hosts().All()))
	for _, hos := range sna.Hosts().All() {
		ids = append(ids, hos.ID())
	}
	prx.picker.Retain(ids)
}

// SetPeerState records the state of the connection to a peer.
func (prx *Proxy) SetPeerState(host string, pst core.PeerState) {
	if pst.Known() {
		prx.picker.SetPeerState(prx.clock.Now(), host, pst.Up(), pst.Leaving())
	}
}

func refuse(reason core.Reason, format string, args ...any) *core.Refusal {
	return core.NewRefusal(reason, core.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// outgoing is a request on its way to a service, over one or more attempts.
type outgoing struct {
	snapshot      *decl.Snapshot
	route         *decl.IngressRoute
	request       *core.Request
	root          *core.Root
	parent        *runningCall // the running call that made the request, or nil for a root request
	service       string
	placed        picker.Call // what a host is picked for by work
	targetLatency time.Duration
	body          *body.Replay
	authenticated bool // the request carried a valid key
	rateCharged   bool // the request was counted against its team's rate
	teamLoad      float64
	began         time.Time

	tried          []string // hosts
	mayHaveReached int      // attempts that have reached an upstream or may still do so, as far as is known
	shed           int      // the attempts among them that an upstream shed
	noRoom         int      // hosts that had no room for the request
}

// hostLimit returns how many hosts may be tried.
func (out *outgoing) hostLimit() int { return maxHosts + min(out.shed, maxShedHosts) }

// rootTargetLatency returns the target latency of a root request of the ingress route.
func (out *outgoing) rootTargetLatency() time.Duration {
	return min(out.route.Class().TargetLatency(), out.route.Timeout())
}

func (out *outgoing) nested() bool { return out.parent != nil }

// causedByRetry reports whether the request was made by an upstream while it served a retry.
func (out *outgoing) causedByRetry() bool { return out.parent != nil && out.parent.call.IsRetry() }

// ServeRoot serves a request of a caller or of the node's own upstream.
func (prx *Proxy) ServeRoot(ctx context.Context, req *core.Request) (*core.Answer, error) {
	out := &outgoing{request: req, began: prx.clock.Now()}
	ans, err := prx.handleRequest(ctx, out)
	prx.recordOutcome(out, ans, err)
	return ans, err
}

// ServeNested serves a call of the node's own upstream, which arrives on the same port as requests of callers.
func (prx *Proxy) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	return prx.ServeRoot(ctx, req)
}

func (prx *Proxy) handleRequest(ctx context.Context, out *outgoing) (*core.Answer, error) {
	if err := prx.resolveRoute(out); err != nil {
		return nil, err
	}
	if err := prx.admit(ctx, out); err != nil {
		return nil, err
	}
	rep, err := body.New(out.request.Body(), out.request.Length())
	if err != nil {
		return nil, refuse(core.ReasonCancelled, "the request body could not be read").WithCause(err)
	}
	out.body = rep
	out.setService(prx.splitter.Next(out.route))
	return prx.send(ctx, out)
}

// LookUpRoute returns the name of a request's ingress route and whether its requests may run more than once.
func (prx *Proxy) LookUpRoute(req *core.Request) (name string, idempotent bool) {
	out := outgoing{request: req}
	if err := prx.resolveRoute(&out); err != nil {
		return "", false // refused when it is served
	}
	return out.route.Name(), out.route.Idempotent()
}

// resolveRoute finds the ingress route of a request.
func (prx *Proxy) resolveRoute(out *outgoing) error {
	out.snapshot = prx.settings.Snapshot()
	if out.snapshot == nil {
		return refuse(core.ReasonNoConfiguration, "no declarations and host list have been received").WithRetryAfter(noConfigurationRetryAfter)
	}
	host := hostName(out.request.Authority())
	out.route = out.snapshot.IngressRoute(host, out.request.Path())
	if out.route == nil {
		return refuse(core.ReasonUnknownRoute, "no ingress route of host %q has a prefix of path %q", host, out.request.Path())
	}
	return nil
}

// admit identifies the team of a request and charges the team's rate. A nested call carries no key; its identifier
// extends that of the running call that made it. The nested call inherits the team, rank and deadline of the running call,
// and the team's rate is not charged again.
func (prx *Proxy) admit(ctx context.Context, out *outgoing) error {
	now := prx.clock.Now()
	cla := out.route.Class()
	out.targetLatency = out.rootTargetLatency()
	spec := core.RootSpec{Class: cla.Name(), Rank: cla.Rank(), Public: out.route.Public(), AdmittedAt: now}
	arrived := now.Add(-out.request.Waited())
	spec.Deadline = arrived.Add(out.route.Timeout())
	if out.request.Timeout() > 0 && out.request.Timeout() < out.route.Timeout() {
		spec.Deadline = arrived.Add(out.request.Timeout())
	}
	if !now.Before(spec.Deadline) {
		return refuse(core.ReasonDeadline, "the requests sent ahead of it on its connection were answered after its deadline")
	}
	if out.request.APIKey() == "" {
		out.parent = prx.running.parent(out.request.AttemptID())
	}
	if run := out.parent; run != nil {
		prx.ownWork.nestedBegan(now, run.work)
		run.waits.begin(now)
		if !run.call.Nested() && !run.nests.Swap(true) {
			prx.queue.nestedBegan(run.call.Class())
		}
		return prx.inheritRoot(out, spec)
	}
	key, err := prx.identify(out)
	if err != nil {
		return err
	}
	spec.Deadline = prx.LimitDeadline(spec.Deadline)
	_, _ = crand.Read(spec.ID[:]) // crypto/rand.Read never fails
	if key != nil {
		spec.Team, spec.KeyID = key.Team().Name(), key.ID()
		out.authenticated = true
	}
	out.root = core.NewRoot(spec)
	if spec.Team == "" {
		return nil
	}
	if err := prx.chargeRate(ctx, spec.Team); err != nil {
		return err
	}
	out.rateCharged = true
	if prx.byWork.Load() {
		out.teamLoad = prx.limiter.Load(spec.Team)
	}
	return nil
}

// identify returns the key of a root request, or nil if it needs none, or why the request is refused.
func (prx *Proxy) identify(out *outgoing) (*decl.Key, error) {
	if prx.Draining() {
		return nil, refuse(core.ReasonDraining, "this host is draining").WithRetryAfter(drainingRetryAfter)
	}
	key := out.snapshot.KeyBySecret(out.request.APIKey())
	switch {
	case key != nil, out.route.Public():
	case out.request.APIKey() != "":
		return nil, refuse(core.ReasonKeyUnknown, "the key is not valid")
	case isDerivedID(out.request.AttemptID()):
		return nil, refuse(core.ReasonOrphanedCall, "the call that made this one has ended")
	// While calls are running here, a request without a key is admitted as a root request without a team.
	case prx.running.empty():
		return nil, refuse(core.ReasonKeyMissing, "the ingress route needs a key")
	}
	return key, nil
}

// inheritRoot makes the request a nested call of the root request to which the running call belongs.
func (prx *Proxy) inheritRoot(out *outgoing, spec core.RootSpec) error {
	run := out.parent
	if run.call.Depth() >= maxCallDepth {
		return refuse(core.ReasonBadRequest, "the call chain is more than %d nested calls deep", maxCallDepth)
	}
	if run.call.Deadline().Before(spec.Deadline) {
		spec.Deadline = run.call.Deadline()
	}
	if err := prx.CheckNested(spec.Deadline); err != nil {
		return err
	}
	spec.Deadline = prx.LimitDeadline(spec.Deadline)
	spec.ID, spec.Team, spec.KeyID = run.call.ID(), run.call.Team(), run.call.KeyID()
	spec.Class, spec.Rank, spec.Public = run.call.Class(), run.call.EntryRank(), run.call.Public()
	out.targetLatency = run.call.TargetLatency()
	out.root = core.NewRoot(spec)
	return nil
}

// setService sets the service that the request goes to.
func (out *outgoing) setService(service string) {
	out.service = service
	out.placed = picker.NewCall(service, cost.NewKind(out.route.Name(), out.request.Method(), out.request.Length()))
}

// newCall returns the call of the next attempt; callerService is the service of this host.
func (out *outgoing) newCall(callerService string) *core.Call {
	depth, teamLoad := 0, 0.0
	if out.parent != nil {
		depth = out.parent.call.Depth() + 1
	}
	// A host counts the requests of a team that come with its load, each of which the load counts once.
	if len(out.tried) <= 1 {
		teamLoad = out.teamLoad
	}
	return core.NewCall(core.CallSpec{
		Root: out.root, Service: out.service, Method: out.request.Method(), Path: out.request.RequestURI(), Header: out.request.Header(),
		Body: out.body.Reader(), Length: out.request.Length(), Idempotent: out.route.Idempotent(), Depth: depth,
		AttemptID: out.request.AttemptID(), Authority: out.request.Authority(), CallerService: callerService, TargetLatency: out.targetLatency,
		DeclarationsVersion: out.snapshot.ContentVersion(), Authenticated: out.authenticated, EntryRank: out.root.Rank(),
		IsRetry: out.causedByRetry() || out.mayHaveReached > 1, TeamLoad: teamLoad,
	})
}

// recordOutcome counts and logs how a request ended at its entry node, and refunds the team's rate if the request has
// not run.
func (prx *Proxy) recordOutcome(out *outgoing, ans *core.Answer, err error) {
	class, team := "", ""
	if out.root != nil {
		class, team = out.root.Class(), out.root.Team()
	}
	now := prx.clock.Now()
	elapsed := now.Sub(out.began)
	if out.parent != nil {
		prx.ownWork.nestedEnded(now, out.parent.work)
		queued := time.Duration(0)
		if err == nil {
			queued = ans.Feedback().QueuedFor()
		}
		out.parent.waits.end(now, out.began, queued)
	}
	if err == nil {
		out.parent.recordNestedAnswer(now, ans)
		prx.settings.Observer.Served(class, team, out.nested(), elapsed)
		if prx.settings.EventLog.Enabled(eventAnswered) {
			prx.logEvent(eventAnswered, out, map[string]any{"status": ans.Status(), "took_ms": elapsed.Milliseconds()})
		}
		return
	}
	ref := core.AsRefusal(err)
	prx.settings.Observer.Refused(ref.Reason(), class, team)
	if out.rateCharged && ref.Outcome() == core.OutcomeNotRun {
		prx.limiter.Refund(team)
	}
	// Another host can make the nested call that this one refuses because it stops, so the call that made it may be retried.
	if out.root != nil || ref.Reason() != core.ReasonDraining {
		out.parent.recordNestedRefusal(now, ref)
	}
	if prx.settings.EventLog.Enabled(eventRefused) {
		prx.logEvent(eventRefused, out, map[string]any{
			"reason": string(ref.Reason()), "outcome": ref.Outcome().String(), "detail": ref.Detail(),
			"retry_after_ms": ref.RetryAfter().Milliseconds(), "took_ms": elapsed.Milliseconds(),
		})
	}
}

// logEvent writes a decision about a request at its entry node to the event log.
func (prx *Proxy) logEvent(event string, out *outgoing, fields map[string]any) {
	if out.route != nil {
		fields["entry"] = out.route.Name()
	}
	if out.root != nil {
		fields["root"], fields["class"], fields["team"] = out.root.ID().String(), out.root.Class(), out.root.Team()
		fields["remaining_ms"] = out.root.Deadline().Sub(prx.clock.Now()).Milliseconds()
	}
	if out.snapshot != nil {
		fields["declarations"], fields["hosts"] = out.snapshot.Version(), out.snapshot.Hosts().Version()
	}
	fields["service"], fields["tried"] = out.service, strings.Join(out.tried, " ")
	prx.settings.EventLog.Note(event, out.request.AttemptID(), fields)
}
