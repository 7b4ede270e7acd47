package proxy

import (
	"context"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/hedge"
	"amaranthline/core/state/retry"
)

// attemptResult is the answer to one attempt, or its error.
type attemptResult struct {
	host string
	ans  *core.Answer
	err  error
}

// attempt is an attempt in flight.
type attempt struct {
	cancel context.CancelFunc
	detach func() bool // keeps the end of the request from cancelling the attempt; returns false if it already has
}

// attemptGroup holds the attempts of one request. Usually one is in flight; a hedged one starts when the answer to the
// first has probably been lost.
type attemptGroup struct {
	proxy        *Proxy
	outgoing     *outgoing
	retryRatio   *retry.Ratio
	results      chan attemptResult
	inFlight     map[string]attempt // by host
	failedAnswer *core.Answer       // server error of the application, returned if no attempt gets a better answer
	lastErr      error              // returned if no attempt gets an answer
}

// runAttempts sends the request to further hosts until one answers or no other attempt is allowed.
func (prx *Proxy) runAttempts(ctx context.Context, out *outgoing) (*core.Answer, error) {
	atg := &attemptGroup{
		proxy: prx, outgoing: out, retryRatio: prx.retryRatio(out.service), results: make(chan attemptResult, maxHosts+maxShedHosts),
		inFlight: map[string]attempt{},
	}
	if out.causedByRetry() {
		atg.retryRatio.CountInducedRetry(prx.clock.Now())
	} else {
		atg.retryRatio.CountCall(prx.clock.Now())
	}
	if prx.byWork.Load() {
		atg.retryRatio.CountRank(prx.clock.Now(), out.root.Rank())
	}
	defer func() { atg.detachInFlight(ctx) }()
	atg.startAttempt(ctx)
	hedgeTimer := atg.newHedgeTimer()
	defer hedgeTimer.Stop()
	for len(atg.inFlight) > 0 {
		select {
		case res := <-atg.results:
			if ans := atg.handleResult(res); ans != nil {
				return ans, nil
			}
			if prx.shouldRetry(ctx, out, res.err, atg.retryRatio) {
				atg.startAttempt(ctx)
			}
		case <-hedgeTimer.C:
			if prx.allowRetry(ctx, out, atg.retryRatio) {
				atg.startAttempt(ctx)
			}
		}
	}
	switch {
	case atg.failedAnswer != nil:
		return atg.failedAnswer, nil
	case atg.lastErr != nil:
		return nil, atg.lastErr
	}
	return nil, refuse(core.ReasonNoUpstream, "no host of service %q can be reached", out.service)
}

// newHedgeTimer returns a timer that fires once the answer to the first attempt has probably been lost.
func (atg *attemptGroup) newHedgeTimer() *time.Timer {
	var delay time.Duration
	if atg.outgoing.route.Idempotent() {
		delay = atg.proxy.hedgeEstimator(atg.outgoing.route.Name()).Delay(atg.outgoing.root.Deadline().Sub(atg.proxy.clock.Now()))
	}
	if delay == 0 {
		delay = atg.outgoing.route.Timeout() + time.Second // never: the deadline comes first
	}
	return time.NewTimer(delay)
}

// startAttempt sends the request to one more host, if there is one.
func (atg *attemptGroup) startAttempt(ctx context.Context) {
	host, ok := atg.proxy.pickHost(atg.outgoing)
	if !ok {
		return
	}
	atg.outgoing.tried = append(atg.outgoing.tried, host)
	atg.outgoing.mayHaveReached++
	call, placed := atg.outgoing.newCall(atg.proxy.settings.Service), atg.outgoing.placed
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), atg.outgoing.root.Deadline())
	atg.inFlight[host] = attempt{cancel: cancel, detach: context.AfterFunc(ctx, cancel)}
	go func() {
		ans, err := atg.proxy.sendAttempt(attemptCtx, call, placed, host)
		atg.results <- attemptResult{host: host, ans: ans, err: err}
	}()
}

// handleResult returns the answer of an attempt, or nil when it failed.
func (atg *attemptGroup) handleResult(res attemptResult) *core.Answer {
	att := atg.inFlight[res.host]
	delete(atg.inFlight, res.host)
	if res.err == nil && !atg.proxy.worthRetrying(atg.outgoing, res.ans) {
		for host := range atg.inFlight {
			atg.proxy.picker.Unanswered(atg.proxy.clock.Now(), host)
		}
		atg.proxy.hedgeEstimator(atg.outgoing.route.Name()).Observe(atg.proxy.clock.Now().Sub(atg.outgoing.began))
		return res.ans
	}
	if res.err == nil {
		atg.failedAnswer = res.ans
		return nil
	}
	att.cancel()
	ref := core.AsRefusal(res.err)
	if !mayHaveReachedUpstream(ref) {
		atg.outgoing.mayHaveReached--
	}
	if ref.Reason() == core.ReasonUpstreamShed {
		atg.outgoing.shed++
	}
	// The request has run if any of its attempts has, so an attempt that may have run decides the outcome.
	replaceable := atg.lastErr == nil || core.AsRefusal(atg.lastErr).Outcome() == core.OutcomeNotRun
	if replaceable || ref.Outcome() != core.OutcomeNotRun {
		atg.lastErr = res.err
	}
	return nil
}

// mayHaveReachedUpstream reports whether a failed attempt may have reached an upstream.
func mayHaveReachedUpstream(ref *core.Refusal) bool {
	return ref.Outcome() != core.OutcomeNotRun || ref.Reason() == core.ReasonUpstreamShed || ref.Reason() == core.ReasonWrongInstance
}

// detachInFlight lets the attempts in flight run to their end after the caller has its answer. Cancelling an attempt would
// close a connection to its upstream and save little, because the work on the attempt is nearly done or already lost.
// Attempts are cancelled if the request was cancelled or reached its deadline before they could be detached.
func (atg *attemptGroup) detachInFlight(ctx context.Context) {
	for host, att := range atg.inFlight {
		if ctx.Err() != nil || !att.detach() {
			att.cancel()
		}
		go func() {
			defer att.cancel()
			if res := <-atg.results; res.ans != nil {
				_ = res.ans.Body().Close()
			}
		}()
		delete(atg.inFlight, host)
	}
}

func (prx *Proxy) hedgeEstimator(route string) *hedge.Estimator {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	est := prx.hedgeEstimators[route]
	if est == nil {
		est = &hedge.Estimator{}
		prx.hedgeEstimators[route] = est
	}
	return est
}
