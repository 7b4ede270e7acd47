package handle

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/coordination/member"
	"amaranthline/core/state/body"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/dedup"
	"amaranthline/core/state/drain"
	"amaranthline/core/state/retry"
)

const (
	// maxCallDepth is the greatest depth of a nested call. It ends call loops; the deepest intended chain has 9 hops.
	maxCallDepth = 16
	// maxAdmissionAge is the greatest age of an admission at which the serving node still runs the request. An entry
	// node that was paused after an admission must not use a part of the team's rate that other hosts have used since.
	maxAdmissionAge = time.Second
	// assumedTypicalLatency stands in for the typical latency of an answer, which this node does not measure.
	assumedTypicalLatency = 5 * time.Millisecond
	// unavailableLoad is the load that a host reports while its upstream does not listen or sheds every call. The
	// node of such a host refuses calls immediately, so by its real load it would seem the least loaded host and attract
	// the calls of its peers.
	unavailableLoad = 1000
)

// RateLimiter admits root requests up to the rate of their team.
type RateLimiter interface {
	// Take takes one token of the team, or returns a refusal with reason rate_exceeded.
	Take(ctx context.Context, team string) error
}

// Settings configures a Handler.
type Settings struct {
	Host         string // ID of this node's host
	Domain       string
	Service      string
	Peers        core.Peers
	Upstream     core.Upstream
	UpstreamDown func() bool // reports whether this host's upstream is known not to listen; nil means never
	Gate         *gate.Gate
	RateLimiter  RateLimiter
	Members      *member.View
	Dedup        *dedup.Table
	Crash        *crash.Detector
	Snapshot     func() *decl.Snapshot
	// Broadcast sends state updates of fingerprints to the other hosts of the service; it must not block.
	Broadcast func(updates ...crash.StateUpdate)
	Observer  core.Observer
}

// Handler serves root requests of callers, calls from peers and nested calls of this host's upstream.
type Handler struct {
	drain.State
	settings  Settings
	admission admissionFilter
	sheds     shedDetector
	calls     callTable
	ratio     *retry.Ratio
}

// New returns a handler that accepts requests.
func New(set Settings) *Handler {
	return &Handler{settings: set, ratio: retry.NewRatio(retry.DefaultShare, retry.DefaultMinPerSecond)}
}

// Load returns the load that this host reports to peers: calls in flight and queued divided by the limit of calls in
// flight, or a fixed high value while the upstream takes no calls.
func (han *Handler) Load() float64 {
	if han.sheds.shedsAll(time.Now()) || han.settings.UpstreamDown != nil && han.settings.UpstreamDown() {
		return unavailableLoad
	}
	return han.settings.Gate.Load()
}

func refuse(reason core.Reason, format string, args ...any) *core.Refusal {
	return core.NewRefusal(reason, core.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// destination is the declared route of a request and the snapshot in which it was found.
type destination struct {
	snapshot *decl.Snapshot
	route    *decl.Route
}

func (han *Handler) resolve(req *core.Request) (destination, error) {
	sna := han.settings.Snapshot()
	if sna == nil {
		return destination{}, refuse(core.ReasonNoConfiguration, "no declarations and host list have been received").WithRetryAfter(time.Second)
	}
	ser := sna.Service(req.Service())
	if ser == nil {
		return destination{}, refuse(core.ReasonUnknownService, "no service %q is declared", req.Service())
	}
	rou := ser.Match(req.Method(), req.Path())
	if rou == nil {
		return destination{}, refuse(core.ReasonUnknownRoute, "service %q has no route for %s %q", req.Service(), req.Method(), req.Path())
	}
	return destination{snapshot: sna, route: rou}, nil
}

// LookUpRoute returns the service and the class of a request's route and whether its requests may run more than once.
func (han *Handler) LookUpRoute(req *core.Request) (name string, idempotent bool) {
	dst, err := han.resolve(req)
	if err != nil {
		return "", false // refused when it is served
	}
	return req.Service() + "/" + dst.route.Class().Name(), dst.route.Idempotent()
}

// ServeRoot serves a root request of a caller.
func (han *Handler) ServeRoot(ctx context.Context, req *core.Request) (*core.Answer, error) {
	start := time.Now()
	dst, err := han.resolve(req)
	if err != nil {
		han.settings.Observer.Refused(core.AsRefusal(err).Reason(), "", "")
		return nil, err
	}
	class, team := dst.route.Class().Name(), ""
	root, rep, err := han.admit(ctx, dst, req, start)
	if root != nil {
		team = root.Team()
	}
	var ans *core.Answer
	if err == nil {
		ans, err = han.sendRoot(ctx, dst, req, root, rep)
	}
	if err != nil {
		han.settings.Observer.Refused(core.AsRefusal(err).Reason(), class, team)
		return nil, err
	}
	han.settings.Observer.Served(class, team, false, time.Since(start))
	return ans, nil
}

// admit authenticates the team, creates the root request and takes a rate token of the team. The admission filter is
// checked first, so that a request that is refused for overload costs its team no token. The token is taken once the start
// of the body has been read, so that the admission does not age while a slow sender sends the body.
func (han *Handler) admit(ctx context.Context, dst destination, req *core.Request, now time.Time) (*core.Root, *body.Replay, error) {
	cla := dst.route.Class()
	arrived := now.Add(-req.Waited())
	spec := core.RootSpec{Class: cla.Name(), Rank: cla.Rank(), Public: dst.route.Public(), Deadline: arrived.Add(cla.TargetLatency())}
	if req.Timeout() > 0 && req.Timeout() < cla.TargetLatency() {
		spec.Deadline = arrived.Add(req.Timeout())
	}
	if !now.Before(spec.Deadline) {
		return nil, nil, refuse(core.ReasonDeadline, "the requests sent ahead of it on its connection were answered after its deadline")
	}
	spec.Deadline = han.LimitDeadline(spec.Deadline)
	_, _ = crand.Read(spec.ID[:]) // crypto/rand.Read never fails
	if !dst.route.Public() {
		key, err := authenticate(dst.snapshot, req.APIKey())
		if err != nil {
			return nil, nil, err
		}
		spec.Team, spec.KeyID = key.Team().Name(), key.ID()
	}
	if !han.admission.admits(now, newFractionKey(dst, req, spec.Team), spec.ID) {
		return core.NewRoot(spec), nil, refuse(core.ReasonOverload, "service %q is overloaded for class %q", req.Service(), cla.Name()).WithRetryAfter(time.Second)
	}
	rep, err := body.New(req.Body(), req.Length())
	if err != nil {
		return core.NewRoot(spec), nil, bodyRefusal(err)
	}
	spec.AdmittedAt = time.Now()
	root := core.NewRoot(spec)
	if root.Team() == "" {
		return root, rep, nil
	}
	return root, rep, han.settings.RateLimiter.Take(ctx, root.Team())
}

func authenticate(sna *decl.Snapshot, secret string) (*decl.Key, error) {
	if secret == "" {
		return nil, refuse(core.ReasonKeyMissing, "the route needs a key")
	}
	key := sna.KeyBySecret(secret)
	if key == nil {
		return nil, refuse(core.ReasonKeyUnknown, "the key is not valid")
	}
	return key, nil
}

func newFractionKey(dst destination, req *core.Request, team string) fractionKey {
	return fractionKey{service: req.Service(), pattern: dst.route.Pattern(), team: team}
}

func (han *Handler) sendRoot(ctx context.Context, dst destination, req *core.Request, root *core.Root, rep *body.Replay) (*core.Answer, error) {
	out := &outgoingCall{dest: dst, root: root, req: req, body: rep, budget: retry.NewBudget(retry.DefaultBudget)}
	out.recordFraction = func(fraction float64) {
		han.admission.record(time.Now(), newFractionKey(dst, req, root.Team()), fraction)
	}
	return han.send(ctx, out)
}

// ServeNested serves a call that this host's upstream makes while it serves another call. Team, class, deadline and retry
// budget come from the running call, never from the upstream.
func (han *Handler) ServeNested(ctx context.Context, req *core.Request) (*core.Answer, error) {
	start := time.Now()
	run := han.calls.get(req.CallToken())
	if run == nil {
		han.settings.Observer.Refused(core.ReasonCallToken, "", "")
		return nil, refuse(core.ReasonCallToken, "the call token belongs to no running call")
	}
	class, team := run.call.Class(), run.call.Team()
	run.startNested(start)
	fraction := 1.0
	ans, err := han.sendNested(ctx, run, req, func(frac float64) { fraction = min(fraction, frac) })
	run.finishNested(time.Now(), fraction, err != nil || retry.IsFailureStatus(ans.Status()))
	if err != nil {
		han.settings.Observer.Refused(core.AsRefusal(err).Reason(), class, team)
		return nil, err
	}
	han.settings.Observer.Served(class, team, true, time.Since(start))
	return ans, nil
}

func (han *Handler) sendNested(ctx context.Context, run *runningCall, req *core.Request, recordFraction func(float64)) (*core.Answer, error) {
	dst, err := han.resolve(req)
	if err != nil {
		return nil, err
	}
	if run.call.Depth() >= maxCallDepth {
		return nil, refuse(core.ReasonBadRequest, "the call chain is more than %d nested calls deep", maxCallDepth)
	}
	if err := checkKey(dst.snapshot, run.call.Root); err != nil {
		return nil, err
	}
	if err := han.CheckNested(run.call.Deadline()); err != nil {
		return nil, err
	}
	out := &outgoingCall{
		dest: dst, root: run.call.Root, req: req, budget: run.budget, depth: run.call.Depth() + 1, recordFraction: recordFraction, parent: run,
	}
	return han.send(ctx, out)
}

// checkKey refuses a root request whose key has been revoked since the admission, or whose team is not the one that its
// key belongs to.
func checkKey(sna *decl.Snapshot, root *core.Root) error {
	if root.Public() && root.Team() == "" {
		return nil
	}
	key := sna.KeyByID(root.KeyID())
	if key == nil || key.Team().Name() != root.Team() {
		return refuse(core.ReasonKeyUnknown, "key %q of this request has been revoked or belongs to another team", root.KeyID())
	}
	return nil
}

// newRand returns a generator for one decision, seeded from the runtime's generator, which needs no lock.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:gosec // no secret
