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
	maxShedHosts = 3
	// lowerRetries is the part of the retries for a service that ranks below the first may use. While an upstream sheds
	// most calls, what is left lets the important roots finish instead of none.
	lowerRankRetryFraction = 0.5
	// A call stays in its failure domain while that takes no longer than these parts of its root's target. A root is
	// placed once and has the larger answers; its nested calls add up.
	rootRemoteFraction   = 0.1
	nestedRemoteFraction = 0.04
	// leastRetry is the time that must be left for another attempt.
	minRetryTime = 30 * time.Millisecond
	// A refused caller comes back within this part of its class's target, so that its answer can still be in time; the
	// spread keeps those refused together from returning together.
	minRetryAfterFraction = 0.2
	maxRetryAfterFraction = 0.45
)

// send makes attempts until one is answered or no other is allowed.
func (prx *Proxy) send(callerCtx context.Context, out *outgoing) (*core.Answer, error) {
	ctx, cancel := context.WithDeadline(callerCtx, out.root.Deadline())
	if out.parent != nil {
		// A nested call ends with the running call as well as with its own connection.
		stop := context.AfterFunc(out.parent.ctx, cancel)
		defer stop()
	}
	ans, err := prx.runAttempts(ctx, out)
	if err != nil {
		cancel()
		ref := core.AsRefusal(err)
		if ref.Reason() == core.ReasonCancelled && callerCtx.Err() == nil {
			// The contexts of the attempts end by a cancellation when the one of the request ends by its deadline, or
			// when the run that made it has ended. The sender still waits and has done nothing wrong.
			ref = core.NewRefusal(core.ReasonDeadline, ref.Outcome(), "no answer came before the end of the request or of the run that made it").WithCause(ref)
		}
		return nil, prx.callerRefusal(out, ref)
	}
	return core.NewAnswer(ans.Status(), ans.Header(), &cancelOnClose{ans, cancel}, ans.Feedback), nil
}

// closing ends the context of a request when its answer has been closed.
type cancelOnClose struct {
	*core.Answer
	cancel context.CancelFunc
}

// Read reads the body of the answer.
func (coc *cancelOnClose) Read(data []byte) (int, error) { return coc.Body().Read(data) }

// Close closes the body of the answer.
func (coc *cancelOnClose) Close() error {
	defer coc.cancel()
	return coc.Body().Close()
}

func (prx *Proxy) retryRatio(service string) *retry.Ratio {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	rat := prx.retryRatios[service]
	if rat == nil {
		rat = retry.NewRatio(prx.retryShare, 0).IncludePreviousWindow()
		prx.retryRatios[service] = rat
	}
	return rat
}

// SetRetryShare takes the share of retries for each service; the counts of the last seconds start again.
func (prx *Proxy) SetRetryShare(share float64) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if share != prx.retryShare {
		prx.retryShare = share
		clear(prx.retryRatios)
	}
}

// choose returns the host of the next attempt.
func (prx *Proxy) pickHost(out *outgoing) (string, bool) {
	if len(out.tried) >= out.hostLimit() {
		return "", false
	}
	tried := out.tried
	if prx.Leaving() {
		tried = append(slices.Clip(tried), prx.settings.Host)
	}
	fraction := rootRemoteFraction
	if out.nested() {
		fraction = nestedRemoteFraction
	}
	cans := (*prx.currentCandidates(out.snapshot))[out.service]
	return prx.picker.Pick(prx.clock.Now(), cans, tried, len(out.tried) > 0, secondsToDuration(out.targetLatency.Seconds()*fraction))
}

// attempt sends one call to a host and learns from its end.
func (prx *Proxy) sendAttempt(ctx context.Context, call *core.Call, host string) (*core.Answer, error) {
	prx.picker.Sent(host)
	var ans *core.Answer
	var err error
	if host == prx.settings.Host {
		ans, err = prx.Serve(ctx, call)
	} else {
		ans, err = prx.settings.Peers.Forward(ctx, host, call)
	}
	if err == nil {
		ans, err = body.BufferAnswer(ans)
	}
	now := prx.clock.Now()
	if err != nil {
		prx.recordFailure(now, host, err)
		return nil, err
	}
	prx.recordAnswer(now, host, ans)
	return ans, nil
}

func (prx *Proxy) recordAnswer(now time.Time, host string, ans *core.Answer) {
	fee := ans.Feedback()
	failed := ans.Status() >= http.StatusInternalServerError && !fee.NestedFailed()
	prx.picker.Done(now, host, fee.ExpectedLatency(), fee.MarginalLatency(), failed)
	if fee.Leaving() {
		prx.picker.SetLeaving(now, host)
	}
}

// failed learns from a call without an answer.
func (prx *Proxy) recordFailure(now time.Time, host string, err error) {
	ref := core.AsRefusal(err)
	var fer *core.FeedbackError
	switch {
	case errors.As(err, &fer):
		fee := fer.Feedback()
		prx.picker.Done(now, host, fee.ExpectedLatency(), fee.MarginalLatency(), isHostFault(ref.Reason()))
		if fee.Leaving() || ref.Reason() == core.ReasonDraining {
			prx.picker.SetLeaving(now, host)
		}
	case ref.Reason() == core.ReasonCancelled:
		prx.picker.Cancelled(host)
	case ref.Reason() == core.ReasonPeerFailed, ref.Reason() == core.ReasonNoUpstream:
		prx.picker.Unreachable(now, host)
	default:
		prx.picker.Done(now, host, 0, 0, true)
	}
}

// hostFault says whether a refusal speaks against its host, and not only against its load or the request.
func isHostFault(reason core.Reason) bool {
	switch reason {
	case core.ReasonUpstreamShed, core.ReasonUpstreamFailed, core.ReasonTruncated, core.ReasonMismatchedAnswer,
		core.ReasonNoUpstream, core.ReasonWrongInstance, core.ReasonDeadline:
		return true
	}
	return false
}

// worthRepeating says whether a failure of the application may be different at another host.
func (prx *Proxy) worthRetrying(out *outgoing, ans *core.Answer) bool {
	return ans.Status() >= http.StatusInternalServerError && out.route.Idempotent() && !ans.Feedback().NestedFailed()
}

// elsewhere lists the reasons that another host of the service may not have.
var retryableReasons = map[core.Reason]bool{
	core.ReasonOverload: true, core.ReasonCold: true, core.ReasonUpstreamShed: true, core.ReasonDraining: true,
	core.ReasonDomainOutOfService: true, core.ReasonNoConfiguration: true, core.ReasonNoUpstream: true,
	core.ReasonWrongInstance: true, core.ReasonUpstreamFailed: true, core.ReasonTruncated: true,
	core.ReasonMismatchedAnswer: true, core.ReasonPeerFailed: true, core.ReasonDeadline: true,
}

// again says whether another host is asked after a failure; err is nil for a failure of the application. An attempt
// that reached an upstream is repeated only within the ingress route's attempts and the share of retries for the
// service.
func (prx *Proxy) shouldRetry(ctx context.Context, out *outgoing, err error, ratio *retry.Ratio) bool {
	now := prx.clock.Now()
	if ctx.Err() != nil || out.root.Deadline().Sub(now) < minRetryTime || !out.body.Replayable() {
		return false
	}
	if out.parent != nil && out.parent.ctx.Err() != nil {
		return false
	}
	if err != nil {
		ref := core.AsRefusal(err)
		if !retryableReasons[ref.Reason()] || ref.Outcome() != core.OutcomeNotRun && !out.route.Idempotent() {
			return false
		}
	}
	return out.mayHaveReached == 0 || prx.allowRetry(ctx, out, ratio)
}

// repeats says whether an attempt may be made beside or after one that may have reached an upstream, and counts it.
func (prx *Proxy) allowRetry(ctx context.Context, out *outgoing, ratio *retry.Ratio) bool {
	if ctx.Err() != nil || !out.body.Replayable() || out.mayHaveReached-out.shed >= out.route.MaxAttempts() || len(out.tried) >= out.hostLimit() {
		return false
	}
	fraction := 1.0
	if out.root.Rank() > 0 {
		fraction = lowerRankRetryFraction
	}
	if !ratio.AllowFraction(prx.clock.Now(), fraction) {
		return false
	}
	prx.settings.Observer.Retried(out.root.Class())
	return true
}

// final gives a refusal the form in which the caller gets it. A request that has not run is refused as such also at
// its deadline, and tells the caller when to come back.
func (prx *Proxy) callerRefusal(out *outgoing, ref *core.Refusal) *core.Refusal {
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
	target := out.targetLatency.Seconds()
	if ref.Reason() == core.ReasonCold {
		// Before the upstreams are warm, those that return would be refused again, and many callers return only once.
		return ref.WithRetryAfter(ref.RetryAfter() + prx.rng.between(0, secondsToDuration(target*maxRetryAfterFraction)))
	}
	return ref.WithRetryAfter(prx.rng.between(secondsToDuration(target*minRetryAfterFraction), secondsToDuration(target*maxRetryAfterFraction)))
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
