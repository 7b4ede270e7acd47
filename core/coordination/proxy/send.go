package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/body"
	"amaranthline/core/state/retry"
)

const (
	// maxHosts is how many hosts are asked for one request. A host that refuses before it has sent the call costs a
	// round trip between nodes and nothing at the upstream.
	maxHosts = 3
	// maxShed is how many further hosts are asked when upstreams shed a call that had a place. While all upstreams of a
	// service shed half of their calls, three of them lose one call in eight, and a root with eight such calls nearly
	// always; the share of retries still bounds all of this.
	maxShed = 3
	// lowerRetries is the part of the retries for a service that ranks below the first may use. While an upstream sheds
	// most calls, what is left lets the important roots finish instead of none.
	lowerRetries = 0.5
	// A call stays in its failure domain while that takes no longer than these parts of its root's target. A root is
	// placed once and has the larger answers; its nested calls add up.
	remoteRoot   = 0.1
	remoteNested = 0.04
	// leastRetry is the time that must be left for another attempt.
	leastRetry = 30 * time.Millisecond
	// A refused caller comes back within this part of its class's target, so that its answer can still be in time; the
	// spread keeps those refused together from returning together.
	comeBackEarly = 0.2
	comeBackLate  = 0.45
)

// send makes attempts until one is answered or no other is allowed.
func (rel *Proxy) send(caller context.Context, out *outgoing) (*core.Answer, error) {
	ctx, cancel := context.WithDeadline(caller, out.root.Deadline())
	if out.parent != nil {
		// A nested call ends with the running call as well as with its own connection.
		stop := context.AfterFunc(out.parent.ctx, cancel)
		defer stop()
	}
	ans, err := rel.attempts(ctx, out)
	if err != nil {
		cancel()
		ref := core.AsRefusal(err)
		if ref.Reason() == core.ReasonCancelled && caller.Err() == nil {
			// The contexts of the attempts end by a cancellation when the one of the request ends by its deadline, or
			// when the run that made it has ended. The sender still waits and has done nothing wrong.
			ref = core.NewRefusal(core.ReasonDeadline, ref.Outcome(), "no answer came before the end of the request or of the run that made it").WithCause(ref)
		}
		return nil, rel.final(out, ref)
	}
	return core.NewAnswer(ans.Status(), ans.Header(), &closing{ans, cancel}, ans.Feedback), nil
}

// closing ends the context of a request when its answer has been closed.
type closing struct {
	*core.Answer
	cancel context.CancelFunc
}

// Read reads the body of the answer.
func (clo *closing) Read(data []byte) (int, error) { return clo.Body().Read(data) }

// Close closes the body of the answer.
func (clo *closing) Close() error {
	defer clo.cancel()
	return clo.Body().Close()
}

func (rel *Proxy) ratio(service string) *retry.Ratio {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	rat := rel.ratios[service]
	if rat == nil {
		rat = retry.NewRatio(rel.retryShare, 0).IncludePreviousWindow()
		rel.ratios[service] = rat
	}
	return rat
}

// SetRetryShare takes the share of retries for each service; the counts of the last seconds start again.
func (rel *Proxy) SetRetryShare(share float64) {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	if share != rel.retryShare {
		rel.retryShare = share
		clear(rel.ratios)
	}
}

// choose returns the host of the next attempt.
func (rel *Proxy) choose(out *outgoing) (string, bool) {
	if len(out.tried) >= out.most() {
		return "", false
	}
	tried := out.tried
	if rel.Leaving() {
		tried = append(slices.Clip(tried), rel.set.Host)
	}
	share := remoteRoot
	if out.nested() {
		share = remoteNested
	}
	cans := (*rel.pools(out.sna))[out.service]
	return rel.table.Pick(rel.clock.Now(), cans, tried, len(out.tried) > 0, seconds(out.target.Seconds()*share))
}

// attempt sends one call to a host and learns from its end.
func (rel *Proxy) attempt(ctx context.Context, call *core.Call, host string) (*core.Answer, error) {
	rel.table.Sent(host)
	var ans *core.Answer
	var err error
	if host == rel.set.Host {
		ans, err = rel.Serve(ctx, call)
	} else {
		ans, err = rel.set.Peers.Forward(ctx, host, call)
	}
	if err == nil {
		ans, err = body.BufferAnswer(ans)
	}
	now := rel.clock.Now()
	if err != nil {
		rel.failed(now, host, err)
		return nil, err
	}
	rel.answered(now, host, ans)
	return ans, nil
}

func (rel *Proxy) answered(now time.Time, host string, ans *core.Answer) {
	fee := ans.Feedback()
	bad := ans.Status() >= http.StatusInternalServerError && !fee.NestedFailed()
	rel.table.Done(now, host, fee.ExpectedLatency(), fee.MarginalLatency(), bad)
	if fee.Leaving() {
		rel.table.SetLeaving(now, host)
	}
}

// failed learns from a call without an answer.
func (rel *Proxy) failed(now time.Time, host string, err error) {
	ref := core.AsRefusal(err)
	var fer *core.FeedbackError
	switch {
	case errors.As(err, &fer):
		fee := fer.Feedback()
		rel.table.Done(now, host, fee.ExpectedLatency(), fee.MarginalLatency(), hostFault(ref.Reason()))
		if fee.Leaving() || ref.Reason() == core.ReasonDraining {
			rel.table.SetLeaving(now, host)
		}
	case ref.Reason() == core.ReasonCancelled:
		rel.table.Cancelled(host)
	case ref.Reason() == core.ReasonPeerFailed, ref.Reason() == core.ReasonNoUpstream:
		rel.table.Unreachable(now, host)
	default:
		rel.table.Done(now, host, 0, 0, true)
	}
}

// hostFault says whether a refusal speaks against its host, and not only against its load or the request.
func hostFault(reason core.Reason) bool {
	switch reason {
	case core.ReasonUpstreamShed, core.ReasonUpstreamFailed, core.ReasonTruncated, core.ReasonMismatchedAnswer,
		core.ReasonNoUpstream, core.ReasonWrongInstance, core.ReasonDeadline:
		return true
	}
	return false
}

// worthRepeating says whether a failure of the application may be different at another host.
func (rel *Proxy) worthRepeating(out *outgoing, ans *core.Answer) bool {
	return ans.Status() >= http.StatusInternalServerError && out.ent.Idempotent() && !ans.Feedback().NestedFailed()
}

// elsewhere lists the reasons that another host of the service may not have.
var elsewhere = map[core.Reason]bool{
	core.ReasonOverload: true, core.ReasonCold: true, core.ReasonUpstreamShed: true, core.ReasonDraining: true,
	core.ReasonDomainOutOfService: true, core.ReasonNoConfiguration: true, core.ReasonNoUpstream: true,
	core.ReasonWrongInstance: true, core.ReasonUpstreamFailed: true, core.ReasonTruncated: true,
	core.ReasonMismatchedAnswer: true, core.ReasonPeerFailed: true, core.ReasonDeadline: true,
}

// again says whether another host is asked after a failure; err is nil for a failure of the application. An attempt
// that reached an upstream is repeated only within the ingress route's attempts and the share of retries for the
// service.
func (rel *Proxy) again(ctx context.Context, out *outgoing, err error, ratio *retry.Ratio) bool {
	now := rel.clock.Now()
	if ctx.Err() != nil || out.root.Deadline().Sub(now) < leastRetry || !out.body.Replayable() {
		return false
	}
	if out.parent != nil && out.parent.ctx.Err() != nil {
		return false
	}
	if err != nil {
		ref := core.AsRefusal(err)
		if !elsewhere[ref.Reason()] || ref.Outcome() != core.OutcomeNotRun && !out.ent.Idempotent() {
			return false
		}
	}
	return out.arrived == 0 || rel.repeats(ctx, out, ratio)
}

// repeats says whether an attempt may be made beside or after one that may have reached an upstream, and counts it.
func (rel *Proxy) repeats(ctx context.Context, out *outgoing, ratio *retry.Ratio) bool {
	if ctx.Err() != nil || !out.body.Replayable() || out.arrived-out.shed >= out.ent.MaxAttempts() || len(out.tried) >= out.most() {
		return false
	}
	part := 1.0
	if out.root.Rank() > 0 {
		part = lowerRetries
	}
	if !ratio.AllowFraction(rel.clock.Now(), part) {
		return false
	}
	rel.set.Observer.Retried(out.root.Class())
	return true
}

// final gives a refusal the form in which the caller gets it. A request that has not run is refused as such also at
// its deadline, and tells the caller when to come back.
func (rel *Proxy) final(out *outgoing, ref *core.Refusal) *core.Refusal {
	if ref.Outcome() != core.OutcomeNotRun {
		return ref
	}
	switch ref.Reason() {
	case core.ReasonCancelled, core.ReasonKeyUnknown, core.ReasonBadRequest:
		return ref
	case core.ReasonDeadline, core.ReasonPeerFailed:
		ref = refuse(core.ReasonOverload, "%s", ref.Detail()).WithCause(ref)
	}
	if out.nested() {
		return ref
	}
	target := out.target.Seconds()
	if ref.Reason() == core.ReasonCold {
		// Before the upstreams are warm, those that return would be refused again, and many callers return only once.
		return ref.WithRetryAfter(ref.RetryAfter() + rel.rng.between(0, seconds(target*comeBackLate)))
	}
	return ref.WithRetryAfter(rel.rng.between(seconds(target*comeBackEarly), seconds(target*comeBackLate)))
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }
