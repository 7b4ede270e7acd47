package handle

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/route"
	"amaranthline/core/state/body"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/dedup"
	"amaranthline/core/state/retry"
)

// maxAttempts allows the first attempt, the retries of the budget, and one further attempt at the owner of a suspected
// request.
const maxAttempts = retry.DefaultBudget + 2

// outgoingCall is a call from this node to a service, in one or more attempts.
type outgoingCall struct {
	dest           destination
	root           *core.Root
	req            *core.Request
	budget         *retry.Budget
	depth          int
	parent         *runningCall // the running call whose upstream makes this one, or nil for a root request
	recordFraction func(fraction float64)

	body        *body.Replay
	fingerprint core.Fingerprint
	triedHosts  []string
	attempts    int
	suspected   bool // a serving node refused the fingerprint as suspected of crashes
}

func (out *outgoingCall) newAttempt(budget int) *core.Call {
	return core.NewCall(core.CallSpec{
		Root: out.root, Service: out.req.Service(), Method: out.req.Method(), Path: out.req.RequestURI(),
		Header: out.req.Header(), Body: out.body.Reader(), Length: out.req.Length(),
		Idempotent: out.dest.route.Idempotent(), IdempotencyKey: out.req.IdempotencyKey(),
		RetryBudget: budget, Depth: out.depth, Fingerprint: out.fingerprint,
	})
}

// requiresOwner reports whether only the owner of the idempotency key may run the request.
func (out *outgoingCall) requiresOwner() bool {
	return !out.dest.route.Idempotent() && out.req.IdempotencyKey() != ""
}

// send makes attempts until one is answered or no further attempt is allowed.
func (han *Handler) send(ctx context.Context, out *outgoingCall) (*core.Answer, error) {
	if out.body == nil {
		rep, err := body.New(out.req.Body(), out.req.Length())
		if err != nil {
			return nil, bodyRefusal(err)
		}
		out.body = rep
	}
	out.fingerprint = crash.Fingerprint(out.root.Team(), out.req.Service(), out.req.Method(), out.req.RequestURI(), out.body.Prefix())
	if out.parent == nil {
		return han.sendAttempts(ctx, out)
	}
	if err := han.checkNestedRetry(out); err != nil {
		return nil, err
	}
	ans, err := han.sendAttempts(ctx, out)
	if err != nil {
		out.parent.failedNested.Record(out.fingerprint, true, core.AsRefusal(err).Outcome())
		return nil, err
	}
	out.parent.failedNested.Record(out.fingerprint, retry.IsFailureStatus(ans.Status()), core.OutcomeRan)
	return ans, nil
}

// bodyRefusal returns the refusal of a request whose body could not be read; it has not been sent to any host.
func bodyRefusal(err error) error {
	var ref *core.Refusal
	if errors.As(err, &ref) {
		return core.NewRefusal(ref.Reason(), core.OutcomeNotRun, ref.Detail()).WithCause(err)
	}
	return refuse(core.ReasonCancelled, "the request body could not be read").WithCause(err)
}

// checkNestedRetry refuses a nested call that retries a failed one, unless the root's retry budget and the node's retry
// ratio allow it.
func (han *Handler) checkNestedRetry(out *outgoingCall) error {
	switch out.parent.failedNested.Classify(out.fingerprint, out.dest.route.Idempotent()) {
	case retry.KindUnsafeRetry:
		return refuse(core.ReasonOutcomeUnknown, "an earlier nested call with this content ran or may have run, and its route is not idempotent")
	case retry.KindRetry:
		if !out.budget.Spend() || !han.ratio.Allow(time.Now()) {
			return refuse(core.ReasonBudgetExhausted, "no retry is left in the budget of the root request or in the retry ratio of the node")
		}
	case retry.KindFirst:
	}
	return nil
}

func (han *Handler) sendAttempts(ctx context.Context, out *outgoingCall) (*core.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, out.root.Deadline())
	han.ratio.CountCall(time.Now())
	var lastErr error
	for out.attempts < maxAttempts {
		host, err := han.chooseHost(out)
		if err != nil {
			cancel()
			return nil, firstError(lastErr, err)
		}
		ans, err := han.attempt(ctx, out, host)
		if err == nil {
			return onClose(ans, cancel), nil
		}
		lastErr = err
		if !han.awaitRetry(ctx, out, core.AsRefusal(err)) {
			break
		}
	}
	cancel()
	return nil, lastErr
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// chooseHost returns the host of the next attempt.
func (han *Handler) chooseHost(out *outgoingCall) (string, error) {
	service := out.req.Service()
	if out.requiresOwner() {
		// The owner is chosen from the published host list without regard to health: two nodes that see different hosts
		// as healthy would otherwise run the key at two owners.
		return route.Owner(dedup.NewKey(out.root.Team(), service, out.req.IdempotencyKey(), out.fingerprint).RendezvousKey(), hostIDs(out.dest.snapshot, service)), nil
	}
	if out.suspected {
		return han.suspectOwner(out), nil
	}
	exclude := out.triedHosts
	if han.Leaving() {
		exclude = append(slices.Clone(exclude), han.settings.Host)
	}
	host, ok := route.Pick(newRand(), han.settings.Members.Candidates(time.Now(), service), exclude)
	if !ok {
		return "", refuse(core.ReasonNoUpstream, "no host of service %q can be reached", service).WithRetryAfter(time.Second)
	}
	return host, nil
}

func hostIDs(sna *decl.Snapshot, service string) []string {
	hosts := sna.Hosts().OfService(service)
	ids := make([]string, len(hosts))
	for i, hos := range hosts {
		ids[i] = hos.ID()
	}
	return ids
}

// attempt sends one call that borrows the whole remaining retry budget, and returns to the budget what the call left of it.
func (han *Handler) attempt(ctx context.Context, out *outgoingCall, host string) (*core.Answer, error) {
	out.attempts++
	out.triedHosts = append(out.triedHosts, host)
	borrowed := out.budget.Borrow()
	ans, err := han.forward(ctx, host, out.newAttempt(borrowed))
	if err == nil {
		ans, err = body.BufferAnswer(ans)
	}
	if err == nil {
		fee := ans.Feedback()
		han.recordAnswer(host, fee)
		out.budget.Return(borrowed, fee.RetryBudget())
		out.recordFraction(fee.MinAdmissionFraction())
		return ans, nil
	}
	ref := core.AsRefusal(err)
	var fer *core.FeedbackError
	switch {
	case errors.As(err, &fer):
		han.settings.Members.ObserveLoad(host, fer.Feedback().Load())
		out.budget.Return(borrowed, fer.Feedback().RetryBudget())
		han.recordRefusal(host, fer.Feedback(), out)
	case ref.Outcome() == core.OutcomeNotRun:
		out.budget.Return(borrowed, borrowed)
		if ref.Reason() == core.ReasonNoUpstream {
			han.settings.Members.ObserveConnFailed(time.Now(), host) // no connection to the host's node
		}
	}
	han.recordFailure(host, ref)
	return nil, err
}

// recordRefusal records the load and the admission fraction that came with a refusal. The fraction of a host whose
// upstream takes no calls is ignored: it says nothing about the capacity of the other hosts, to which the next calls go.
func (han *Handler) recordRefusal(host string, fee core.Feedback, out *outgoingCall) {
	han.settings.Members.ObserveLoad(host, fee.Load())
	if fee.Load() < unavailableLoad {
		out.recordFraction(fee.MinAdmissionFraction())
	}
}

func (han *Handler) forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	if host == han.settings.Host {
		return han.Serve(ctx, call)
	}
	return han.settings.Peers.Forward(ctx, host, call)
}

func (han *Handler) recordAnswer(host string, fee core.Feedback) {
	now := time.Now()
	han.settings.Members.ObserveSuccess(now, host)
	han.settings.Members.ObserveLoad(host, fee.Load())
	if fee.Leaving() {
		han.settings.Members.ObserveLeaving(now, host)
	}
}

// recordFailure tells the host view what a failed attempt shows about the host.
func (han *Handler) recordFailure(host string, ref *core.Refusal) {
	now := time.Now()
	switch ref.Reason() {
	case core.ReasonDraining:
		han.settings.Members.ObserveLeaving(now, host)
	case core.ReasonPeerFailed:
		han.settings.Members.ObserveConnFailed(now, host)
	}
}

// awaitRetry reports whether a failed call is sent again, after a wait for the backoff. The attempt at the owner of a
// suspected request is no retry: it takes nothing from the retry budget and has no backoff.
func (han *Handler) awaitRetry(ctx context.Context, out *outgoingCall, ref *core.Refusal) bool {
	if ref.Reason() == core.ReasonCrashSuspect && ref.Outcome() == core.OutcomeNotRun && !out.suspected && !out.requiresOwner() {
		// The serving node knows of a crash that this node does not know of; only the owner may run the request.
		out.suspected = true
		return out.body.Replayable()
	}
	if out.requiresOwner() && ref.Reason() == core.ReasonNoUpstream {
		return false // the key has one owner, which cannot be reached
	}
	now := time.Now()
	pause := retry.Backoff(newRand(), out.attempts-1)
	dec := retry.Decide(retry.Attempt{
		Failure: ref, Idempotent: out.dest.route.Idempotent(), Replayable: out.body.Replayable(),
		Remaining: out.root.Deadline().Sub(now), Backoff: pause, TypicalLatency: assumedTypicalLatency,
		Budget: out.budget, Ratio: han.ratio, Now: now,
	})
	if dec != retry.DecisionRetry {
		return false
	}
	han.settings.Observer.Retried(out.root.Class())
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callbackBody is an answer body that calls a function when it is closed.
type callbackBody struct {
	io.Reader
	onClose func() error
}

// Close calls the function.
func (cbo *callbackBody) Close() error { return cbo.onClose() }

// onClose returns the answer with a body that also calls done when it is closed.
func onClose(ans *core.Answer, done func()) *core.Answer {
	cbo := &callbackBody{Reader: ans.Body(), onClose: func() error {
		defer done()
		return ans.Body().Close()
	}}
	return ans.WithBody(cbo)
}
