package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/body"
	"amaranthline/core/state/picker"
	"amaranthline/core/state/retry"
)

const (
	// maxHosts is how many hosts are tried for one request. A host that refuses the call without sending it
	// to its upstream costs one round trip between nodes and no work at the upstream.
	maxHosts = 3
	// maxShedHosts is how many more hosts may be tried, one for each upstream that shed the call after the serving
	// node had given the call a slot. While all upstreams of a service shed half of their calls, three attempts lose
	// one call in eight, and a root request with eight such calls fails nearly always. The share of retries still
	// bounds all of these attempts.
	maxShedHosts = 3
	// lowerRankRetryFraction is the fraction of the retries to a service that root requests of ranks below the most
	// important one may use. While an upstream sheds most calls, the remaining retries let the most important root
	// requests finish; otherwise none would.
	lowerRankRetryFraction = 0.5
	// minRetryTime is the time that must be left until the deadline for a retry.
	minRetryTime = 30 * time.Millisecond
	// A refused caller is told to retry after a random time between these fractions of the target latency, so that its
	// answer can still be in time. The randomness keeps callers that were refused together from returning together.
	minRetryAfterFraction = 0.2
	maxRetryAfterFraction = 0.45
	// After a cold time many callers return within a short time, the most important ones before the others.
	maxImportantReturnFraction = 0.1
	minOtherReturnFraction     = 0.05
	maxOtherReturnFraction     = 0.25
)

// send runs the attempts of a request within its deadline and returns the answer or refusal for its sender.
func (prx *Proxy) send(callerCtx context.Context, out *outgoing) (*core.Answer, error) {
	// A nested call does not end with the call that made it: its upstream may have answered already, and closes the
	// connection of a nested call that it has no use for any more.
	ctx, cancel := context.WithDeadline(callerCtx, out.root.Deadline())
	ans, err := prx.runAttempts(ctx, out)
	if err != nil {
		cancel()
		ref := core.AsRefusal(err)
		if ref.Reason() == core.ReasonCancelled && callerCtx.Err() == nil {
			// The context of an attempt is cancelled also when the request reaches its deadline. The sender is still
			// waiting and has not cancelled anything.
			ref = core.NewRefusal(core.ReasonDeadline, ref.Outcome(), "no answer arrived before the deadline of the request").WithCause(ref)
		}
		return nil, prx.callerRefusal(out, ref)
	}
	return ans.WithBody(&cancelOnClose{ans, cancel}), nil
}

// cancelOnClose cancels the context of a request when its answer is closed.
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

// LeftDomain returns how many attempts this node has sent to another failure domain because hosts of its own had no room.
func (prx *Proxy) LeftDomain() int { return int(prx.leftDomain.Load()) }

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

// SetRetryShare changes the share of retries per service; if it differs, the counts of recent calls and retries
// restart.
func (prx *Proxy) SetRetryShare(share float64) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if share != prx.retryShare {
		prx.retryShare = share
		clear(prx.retryRatios)
	}
}

// pickHost returns the host of the next attempt.
func (prx *Proxy) pickHost(out *outgoing) (string, bool) {
	if len(out.tried) >= out.hostLimit() {
		return "", false
	}
	if prx.Leaving() {
		prx.picker.SetLeaving(prx.clock.Now(), prx.settings.Host)
	}
	cans := (*prx.currentCandidates(out.snapshot))[out.service]
	now, isRetry, remotePenalty := prx.clock.Now(), len(out.tried) > 0, picker.RemotePenalty(out.targetLatency, out.nested())
	if prx.byWork.Load() {
		if out.mayLeaveDomain() {
			host, ok := prx.picker.PickAfterRefusal(now, cans, out.placed, out.tried, out.root.Rank())
			if hos := out.snapshot.Hosts().Host(host); ok && hos != nil && hos.Domain() != prx.settings.Domain {
				prx.leftDomain.Add(1)
			}
			return host, ok
		}
		return prx.picker.PickByWork(now, cans, out.placed, out.tried, isRetry, remotePenalty)
	}
	return prx.picker.Pick(now, cans, out.tried, isRetry, remotePenalty)
}

// sendAttempt sends one call to a host and records the result in the picker.
func (prx *Proxy) sendAttempt(ctx context.Context, call *core.Call, placed picker.Call, host string) (*core.Answer, error) {
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
		prx.recordFailure(now, placed, host, err)
		return nil, err
	}
	prx.recordAnswer(now, placed, host, ans)
	return ans, nil
}

// recordAnswer records an answer of a host in the picker.
func (prx *Proxy) recordAnswer(now time.Time, placed picker.Call, host string, ans *core.Answer) {
	fee := ans.Feedback()
	failed := ans.Status() >= http.StatusInternalServerError && !fee.NestedFailed()
	prx.picker.Done(now, host, fee.ExpectedLatency(), fee.MarginalLatency(), failed)
	prx.picker.Reported(now, host, placed, reportOf(fee))
	if fee.Leaving() {
		prx.picker.SetLeaving(now, host)
	}
}

// recordFailure records a call without an answer in the picker.
func (prx *Proxy) recordFailure(now time.Time, placed picker.Call, host string, err error) {
	ref := core.AsRefusal(err)
	var fer *core.FeedbackError
	switch {
	case errors.As(err, &fer):
		fee := fer.Feedback()
		prx.picker.Done(now, host, fee.ExpectedLatency(), fee.MarginalLatency(), isHostFault(ref.Reason()))
		prx.picker.Reported(now, host, placed, reportOf(fee))
		switch {
		case ref.Reason() == core.ReasonDraining:
			prx.picker.SetDraining(now, host)
		case fee.Leaving():
			prx.picker.SetLeaving(now, host)
		}
		if ref.Reason() == core.ReasonCold && ref.RetryAfter() > 0 {
			prx.picker.SetCold(host, now.Add(ref.RetryAfter()))
		}
	case ref.Reason() == core.ReasonCancelled:
		prx.picker.Cancelled(host)
	case ref.Reason() == core.ReasonPeerFailed, ref.Reason() == core.ReasonNoUpstream:
		prx.picker.Unreachable(now, host)
	default:
		prx.picker.Done(now, host, 0, 0, true)
	}
}

// isHostFault reports whether a refusal counts against its host in the picker. Refusals that show only the load of the
// host, or a fault of the request, do not.
func isHostFault(reason core.Reason) bool {
	switch reason {
	case core.ReasonUpstreamShed, core.ReasonUpstreamFailed, core.ReasonTruncated, core.ReasonMismatchedAnswer,
		core.ReasonNoUpstream, core.ReasonWrongInstance, core.ReasonDeadline:
		return true
	}
	return false
}

// worthRetrying reports whether the answer is a server error that another host may not give.
func (prx *Proxy) worthRetrying(out *outgoing, ans *core.Answer) bool {
	return ans.Status() >= http.StatusInternalServerError && out.route.Idempotent() && !ans.Feedback().NestedFailed()
}

// retryableReasons lists the reasons for which another host of the service may not refuse or fail.
var retryableReasons = map[core.Reason]bool{
	core.ReasonOverload: true, core.ReasonCold: true, core.ReasonUpstreamShed: true, core.ReasonDraining: true,
	core.ReasonDomainOutOfService: true, core.ReasonNoConfiguration: true, core.ReasonNoUpstream: true,
	core.ReasonWrongInstance: true, core.ReasonUpstreamFailed: true, core.ReasonTruncated: true,
	core.ReasonMismatchedAnswer: true, core.ReasonPeerFailed: true, core.ReasonDeadline: true, core.ReasonCallerMemory: true,
}

// shouldRetry reports whether another host is tried after a failure; err is nil for a server error of the application.
// If an attempt may have reached an upstream, it also counts the retry within the limits of allowRetry.
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

// allowRetry reports whether one more attempt may be made beside or after one that may have reached an upstream, and counts
// it as a retry if so. It keeps the ingress route's maximum of attempts, the limit of hosts and the service's share of
// retries, of which requests of lower ranks may use only a part. Attempts that an upstream shed do not count against the
// maximum of attempts.
func (prx *Proxy) allowRetry(ctx context.Context, out *outgoing, ratio *retry.Ratio) bool {
	if ctx.Err() != nil || !out.body.Replayable() || out.mayHaveReached-out.shed >= out.route.MaxAttempts() || len(out.tried) >= out.hostLimit() {
		return false
	}
	if !ratio.AllowFraction(prx.clock.Now(), prx.retryFraction(out, ratio)) {
		return false
	}
	prx.settings.Observer.Retried(out.root.Class())
	return true
}

// retryFraction returns the fraction of the share of retries that a request may use. Where scheduling by work is in force,
// less important requests leave as much as the recent more important ones are expected to need.
func (prx *Proxy) retryFraction(out *outgoing, ratio *retry.Ratio) float64 {
	now, rank := prx.clock.Now(), out.root.Rank()
	switch {
	case prx.byWork.Load() && out.parent != nil:
		return ratio.FractionOfRankedRun(now, rank, int(out.parent.nestedServed.Load()))
	case prx.byWork.Load() && rank > 0:
		return min(ratio.FractionOfRank(now, rank), lowerRankRetryFraction)
	case rank > 0:
		return lowerRankRetryFraction
	}
	return 1
}

// callerRefusal returns a refusal in the form that the sender of the request gets. A request that has not run is
// reported as overload also if its deadline passed or a peer failed, and the refusal of a root request names a time to
// retry.
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
	if ref.Reason() == core.ReasonCold || ref.Reason() == core.ReasonDependencyCold {
		// Callers that retry before the upstreams are warm would be refused again, and many callers retry only once.
		low, high := 0.0, maxImportantReturnFraction
		if out.root != nil && out.root.Rank() > 0 {
			low, high = minOtherReturnFraction, maxOtherReturnFraction
		}
		return ref.WithRetryAfter(ref.RetryAfter() + prx.rng.between(secondsToDuration(target*low), secondsToDuration(target*high)))
	}
	// A host that refuses a call because of its team's part says when the team is within its part again.
	untilPart := time.Duration(0)
	if ref.Reason() == core.ReasonOverload && prx.byWork.Load() {
		untilPart = min(ref.RetryAfter(), maxPartWait)
	}
	return ref.WithRetryAfter(untilPart + prx.rng.between(secondsToDuration(target*minRetryAfterFraction), secondsToDuration(target*maxRetryAfterFraction)))
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
