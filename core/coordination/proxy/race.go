package proxy

import (
	"context"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/hedge"
	"amaranthline/core/state/retry"
)

// result is the end of one attempt.
type result struct {
	host string
	ans  *core.Answer
	err  error
}

// flight is an attempt whose end is not known. It ends with the request until it is detached.
type flight struct {
	cancel context.CancelFunc
	detach func() bool
}

// race is the attempts of one request. Usually one is in flight; a second one starts while the first is silent.
type race struct {
	rel     *Proxy
	out     *outgoing
	ratio   *retry.Ratio
	results chan result
	flying  map[string]flight // by host
	failed  *core.Answer      // failure of the application, for want of a better answer
	last    error
}

func (rel *Proxy) attempts(ctx context.Context, out *outgoing) (*core.Answer, error) {
	rac := &race{
		rel: rel, out: out, ratio: rel.ratio(out.service), results: make(chan result, maxHosts+maxShed),
		flying: map[string]flight{},
	}
	if out.repeated() {
		rac.ratio.CountInducedRetry(rel.clock.Now())
	} else {
		rac.ratio.CountCall(rel.clock.Now())
	}
	defer func() { rac.finish(ctx) }()
	rac.start(ctx)
	hedge := rac.timer()
	defer hedge.Stop()
	for len(rac.flying) > 0 {
		select {
		case res := <-rac.results:
			if ans := rac.take(res); ans != nil {
				return ans, nil
			}
			if rel.again(ctx, out, res.err, rac.ratio) {
				rac.start(ctx)
			}
		case <-hedge.C:
			if rel.repeats(ctx, out, rac.ratio) {
				rac.start(ctx)
			}
		}
	}
	switch {
	case rac.failed != nil:
		return rac.failed, nil
	case rac.last != nil:
		return nil, rac.last
	}
	return nil, refuse(core.ReasonNoUpstream, "no host of service %q can be reached", out.service)
}

// timer fires once when the answer to the first attempt has probably been lost.
func (rac *race) timer() *time.Timer {
	var after time.Duration
	if rac.out.ent.Idempotent() {
		after = rac.rel.hedge(rac.out.ent.Name()).Delay(rac.out.root.Deadline().Sub(rac.rel.clock.Now()))
	}
	if after == 0 {
		after = rac.out.ent.Timeout() + time.Second // never: the deadline comes first
	}
	return time.NewTimer(after)
}

// start sends the request to one more host, if there is one.
func (rac *race) start(ctx context.Context) {
	host, ok := rac.rel.choose(rac.out)
	if !ok {
		return
	}
	rac.out.tried = append(rac.out.tried, host)
	rac.out.arrived++
	call := rac.out.call(rac.rel.set.Service)
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), rac.out.root.Deadline())
	rac.flying[host] = flight{cancel: cancel, detach: context.AfterFunc(ctx, cancel)}
	go func() {
		ans, err := rac.rel.attempt(own, call, host)
		rac.results <- result{host: host, ans: ans, err: err}
	}()
}

// take returns the answer of an attempt, or nil when it failed.
func (rac *race) take(res result) *core.Answer {
	fli := rac.flying[res.host]
	delete(rac.flying, res.host)
	if res.err == nil && !rac.rel.worthRepeating(rac.out, res.ans) {
		for host := range rac.flying {
			rac.rel.table.Unanswered(rac.rel.clock.Now(), host)
		}
		rac.rel.hedge(rac.out.ent.Name()).Observe(rac.rel.clock.Now().Sub(rac.out.began))
		return res.ans
	}
	if res.err == nil {
		rac.failed = res.ans
		return nil
	}
	fli.cancel()
	ref := core.AsRefusal(res.err)
	if !reached(ref) {
		rac.out.arrived--
	}
	if ref.Reason() == core.ReasonUpstreamShed {
		rac.out.shed++
	}
	// The request has run if any of its attempts has, so an attempt that may have run decides the outcome.
	undecided := rac.last == nil || core.AsRefusal(rac.last).Outcome() == core.OutcomeNotRun
	if undecided || ref.Outcome() != core.OutcomeNotRun {
		rac.last = res.err
	}
	return nil
}

// reached says whether a failed call may have reached an upstream.
func reached(ref *core.Refusal) bool {
	return ref.Outcome() != core.OutcomeNotRun || ref.Reason() == core.ReasonUpstreamShed || ref.Reason() == core.ReasonWrongInstance
}

// finish leaves the attempts that are still in flight to their end when the caller has its answer: ending them would
// close connections to upstreams, and the upstreams' work on them is nearly done or lost already.
func (rac *race) finish(ctx context.Context) {
	for host, fli := range rac.flying {
		if ctx.Err() != nil || !fli.detach() {
			fli.cancel()
		}
		go func() {
			defer fli.cancel()
			if res := <-rac.results; res.ans != nil {
				_ = res.ans.Body().Close()
			}
		}()
		delete(rac.flying, host)
	}
}

func (rel *Proxy) hedge(entry string) *hedge.Estimator {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	tim := rel.hedges[entry]
	if tim == nil {
		tim = &hedge.Estimator{}
		rel.hedges[entry] = tim
	}
	return tim
}
