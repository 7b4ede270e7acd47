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

const maxAttempts = retry.DefaultBudget + 2 // the budget bounds retries; one more attempt may follow a suspect to its owner

// outgoing is a request on its way to a service, over one or more attempts.
type outgoing struct {
	tar    target
	root   *core.Root
	req    *core.Request
	budget *retry.Budget
	depth  int
	parent *running // the running call that made it, or nil for a root request
	learn  func(fraction float64)

	body    *body.Replay
	print   core.Fingerprint
	tried   []string
	sent    int
	suspect bool // a serving node has named the fingerprint a suspect
}

func (out *outgoing) call(budget int) *core.Call {
	return core.NewCall(core.CallSpec{
		Root: out.root, Service: out.req.Service(), Method: out.req.Method(), Path: out.req.RequestURI(),
		Header: out.req.Header(), Body: out.body.Reader(), Length: out.req.Length(),
		Idempotent: out.tar.route.Idempotent(), IdempotencyKey: out.req.IdempotencyKey(),
		RetryBudget: budget, Depth: out.depth, Fingerprint: out.print,
	})
}

// keyed says whether the request runs only at the owner of its idempotency key.
func (out *outgoing) keyed() bool {
	return !out.tar.route.Idempotent() && out.req.IdempotencyKey() != ""
}

// send makes attempts until one is answered or no other is allowed.
func (flo *Handler) send(ctx context.Context, out *outgoing) (*core.Answer, error) {
	if out.body == nil {
		rep, err := body.New(out.req.Body(), out.req.Length())
		if err != nil {
			return nil, bodyRefusal(err)
		}
		out.body = rep
	}
	out.print = crash.Fingerprint(out.root.Team(), out.req.Service(), out.req.Method(), out.req.RequestURI(), out.body.Prefix())
	if out.parent == nil {
		return flo.attempts(ctx, out)
	}
	if err := flo.beginNested(out); err != nil {
		return nil, err
	}
	ans, err := flo.attempts(ctx, out)
	if err != nil {
		out.parent.nested.Record(out.print, true, core.AsRefusal(err).Outcome())
		return nil, err
	}
	out.parent.nested.Record(out.print, retry.IsFailureStatus(ans.Status()), core.OutcomeRan)
	return ans, nil
}

// bodyRefusal types a request body that could not be read; nothing has been sent then.
func bodyRefusal(err error) error {
	var ref *core.Refusal
	if errors.As(err, &ref) {
		return core.NewRefusal(ref.Reason(), core.OutcomeNotRun, ref.Detail()).WithCause(err)
	}
	return refuse(core.ReasonCancelled, "the request body ended early").WithCause(err)
}

// beginNested lets an upstream repeat a failed nested call only within the root's attempt budget.
func (flo *Handler) beginNested(out *outgoing) error {
	switch out.parent.nested.Classify(out.print, out.tar.route.Idempotent()) {
	case retry.KindUnsafeRetry:
		return refuse(core.ReasonOutcomeUnknown, "an earlier call of the non-idempotent route may have run")
	case retry.KindRetry:
		if !out.budget.Spend() || !flo.ratio.Allow(time.Now()) {
			return refuse(core.ReasonBudgetExhausted, "the root request has no retry left")
		}
	case retry.KindFirst:
	}
	return nil
}

func (flo *Handler) attempts(ctx context.Context, out *outgoing) (*core.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, out.root.Deadline())
	flo.ratio.CountCall(time.Now())
	var last error
	for out.sent < maxAttempts {
		host, err := flo.choose(out)
		if err != nil {
			cancel()
			return nil, firstError(last, err)
		}
		ans, err := flo.attempt(ctx, out, host)
		if err == nil {
			return onClose(ans, cancel), nil
		}
		last = err
		if !flo.again(ctx, out, core.AsRefusal(err)) {
			break
		}
	}
	cancel()
	return nil, last
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// choose returns the host of the next attempt.
func (flo *Handler) choose(out *outgoing) (string, error) {
	service := out.req.Service()
	if out.keyed() {
		// The published list decides, not what seems healthy: two nodes that see different hosts
		// as healthy would otherwise run the key at two owners.
		return route.Owner(dedup.NewKey(out.root.Team(), service, out.req.IdempotencyKey(), out.print).RendezvousKey(), hostIDs(out.tar.sna, service)), nil
	}
	if out.suspect {
		return flo.ownerOf(out), nil
	}
	exclude := out.tried
	if flo.Leaving() {
		exclude = append(slices.Clone(exclude), flo.set.Host)
	}
	host, ok := route.Pick(newRand(), flo.set.Members.Candidates(time.Now(), service), exclude)
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

// attempt sends one call with the whole remaining budget and takes back what the answer returns.
func (flo *Handler) attempt(ctx context.Context, out *outgoing, host string) (*core.Answer, error) {
	out.sent++
	out.tried = append(out.tried, host)
	borrowed := out.budget.Borrow()
	ans, err := flo.forward(ctx, host, out.call(borrowed))
	if err == nil {
		ans, err = body.BufferAnswer(ans)
	}
	if err == nil {
		fee := ans.Feedback()
		flo.used(host, fee)
		out.budget.Return(borrowed, fee.RetryBudget())
		out.learn(fee.AdmissionFraction())
		return ans, nil
	}
	ref := core.AsRefusal(err)
	var fer *core.FeedbackError
	switch {
	case errors.As(err, &fer):
		flo.set.Members.ObserveLoad(host, fer.Feedback().Load())
		out.budget.Return(borrowed, fer.Feedback().RetryBudget())
		flo.failed(host, fer.Feedback(), out)
	case ref.Outcome() == core.OutcomeNotRun:
		out.budget.Return(borrowed, borrowed)
		if ref.Reason() == core.ReasonNoUpstream {
			flo.set.Members.ObserveRefused(time.Now(), host) // no connection to the host's node
		}
	}
	flo.note(host, ref)
	return nil, err
}

// failed takes over what a refusal reports. The fraction of a host whose upstream takes nothing is not learned: it
// says nothing about the capacity of the other hosts, to which the next calls go.
func (flo *Handler) failed(host string, fee core.Feedback, out *outgoing) {
	flo.set.Members.ObserveLoad(host, fee.Load())
	if fee.Load() < downLoad {
		out.learn(fee.AdmissionFraction())
	}
}

func (flo *Handler) forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	if host == flo.set.Host {
		return flo.Serve(ctx, call)
	}
	return flo.set.Peers.Forward(ctx, host, call)
}

func (flo *Handler) used(host string, fee core.Feedback) {
	now := time.Now()
	flo.set.Members.ObserveSuccess(now, host)
	flo.set.Members.ObserveLoad(host, fee.Load())
	if fee.Leaving() {
		flo.set.Members.ObserveLeaving(now, host)
	}
}

// note tells the membership view what a failed attempt shows of a host.
func (flo *Handler) note(host string, ref *core.Refusal) {
	now := time.Now()
	switch ref.Reason() {
	case core.ReasonDraining:
		flo.set.Members.ObserveLeaving(now, host)
	case core.ReasonPeerFailed:
		flo.set.Members.ObserveRefused(now, host)
	}
}

// again decides whether a failed call is sent once more, and waits the pause before it.
func (flo *Handler) again(ctx context.Context, out *outgoing, ref *core.Refusal) bool {
	if ref.Reason() == core.ReasonCrashSuspect && ref.Outcome() == core.OutcomeNotRun && !out.suspect && !out.keyed() {
		// The serving node knows of a crash that this node does not; only the owner may run it.
		out.suspect = true
		return out.body.Replayable()
	}
	if out.keyed() && ref.Reason() == core.ReasonNoUpstream {
		return false // the key has one owner, and that cannot be reached
	}
	now := time.Now()
	pause := retry.Backoff(newRand(), out.sent-1)
	verdict := retry.Decide(retry.Attempt{
		Failure: ref, Idempotent: out.tar.route.Idempotent(), Replayable: out.body.Replayable(),
		Remaining: out.root.Deadline().Sub(now), Backoff: pause, TypicalLatency: assumedTypical,
		Budget: out.budget, Ratio: flo.ratio, Now: now,
	})
	if verdict != retry.DecisionRetry {
		return false
	}
	flo.set.Observer.Retried(out.root.Class())
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// closer runs a function once when an answer has been read.
type closer struct {
	io.Reader
	close func() error
}

// Close ends the answer.
func (clo *closer) Close() error { return clo.close() }

// onClose returns the answer with a function that runs when its body is closed.
func onClose(ans *core.Answer, done func()) *core.Answer {
	body := &closer{Reader: ans.Body(), close: func() error {
		defer done()
		return ans.Body().Close()
	}}
	return core.NewAnswer(ans.Status(), ans.Header(), body, ans.Feedback)
}
