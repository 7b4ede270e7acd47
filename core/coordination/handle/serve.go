package handle

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/dedup"
	"amaranthline/core/state/limit"
	"amaranthline/core/state/retry"
)

// reservedHeaderPrefix marks the headers that only nodes may set.
const reservedHeaderPrefix = "Amaranthline-"

// serverCall is a call at the node that serves it with its upstream.
type serverCall struct {
	handler   *Handler
	call      *core.Call
	rank      int
	running   *runningCall
	callToken string
	permit    *gate.Permit
	start     time.Time
	dedupKey  *dedup.Key
	crashRun  *crash.Run
	endOnce   sync.Once
}

// Serve runs a call from a peer, or from this node itself, at this host's upstream.
func (han *Handler) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	srv := &serverCall{handler: han, call: call, running: &runningCall{
		call: call, budget: retry.NewBudget(call.RetryBudget()), failedNested: retry.NewFailedCalls(), nestedFraction: 1,
	}}
	ans, err := srv.serve(ctx)
	if err != nil {
		return nil, core.WithFeedback(core.AsRefusal(err), srv.feedback())
	}
	return ans, nil
}

// feedback returns the unused retry budget, the smallest admission fraction, the load, and whether this host is leaving,
// for the calling node.
func (srv *serverCall) feedback() core.Feedback {
	gat := srv.handler.settings.Gate
	fraction := min(srv.running.minFraction(), gat.AdmissionFraction(srv.rank, srv.call.Team()))
	return core.NewFeedback(srv.running.budget.Remaining(), fraction, srv.handler.Load(), srv.handler.Leaving())
}

func (srv *serverCall) serve(ctx context.Context) (*core.Answer, error) {
	if err := srv.checkCall(time.Now()); err != nil {
		return nil, err
	}
	if err := firstError(srv.checkSuspect(time.Now()), srv.startDedup(time.Now())); err != nil {
		return nil, err
	}
	permit, err := srv.handler.settings.Gate.Acquire(ctx, srv.call, srv.rank)
	if err == nil {
		srv.permit = permit
		// The call may have been queued, or this process may have been paused, since the first check.
		err = firstError(srv.checkCall(time.Now()), srv.startCrashRun(time.Now()))
	}
	if err != nil {
		srv.abandon(time.Now())
		return nil, err
	}
	return srv.sendToUpstream(ctx)
}

// checkCall refuses a call that must not run here now. It is called on arrival and again right before the call is sent to
// the upstream.
func (srv *serverCall) checkCall(now time.Time) error {
	han, cal := srv.handler, srv.call
	sna := han.settings.Snapshot()
	if sna == nil {
		return refuse(core.ReasonNoConfiguration, "no declarations and host list have been received")
	}
	if han.Draining() && srv.permit == nil {
		return refuse(core.ReasonDraining, "host %q is draining", han.settings.Host)
	}
	if cal.Service() != han.settings.Service {
		return refuse(core.ReasonUnknownService, "host %q serves %q, not %q",
			han.settings.Host, han.settings.Service, cal.Service())
	}
	if dom := sna.Domain(han.settings.Domain); dom != nil && dom.OutOfService() && srv.permit == nil {
		return refuse(core.ReasonDomainOutOfService, "failure domain %q is out of service", han.settings.Domain)
	}
	if err := srv.checkRoute(sna); err != nil {
		return err
	}
	if err := checkKey(sna, cal.Root); err != nil {
		return err
	}
	if !cal.Nested() && now.Sub(cal.AdmittedAt()) > maxAdmissionAge {
		return refuse(core.ReasonAdmissionTooOld, "the root request was admitted %s ago", now.Sub(cal.AdmittedAt()).Round(time.Millisecond))
	}
	if !now.Before(cal.Deadline()) {
		return refuse(core.ReasonDeadline, "the deadline passed before the call was sent to the upstream")
	}
	return nil
}

// checkRoute checks the route and sets the rank by this node's declarations, so that a peer cannot make a route public.
func (srv *serverCall) checkRoute(sna *decl.Snapshot) error {
	path, _, _ := strings.Cut(srv.call.Path(), "?")
	ser := sna.Service(srv.call.Service())
	if ser == nil {
		return refuse(core.ReasonUnknownService, "no service %q is declared", srv.call.Service())
	}
	rou := ser.Match(srv.call.Method(), path)
	if rou == nil {
		return refuse(core.ReasonUnknownRoute, "service %q has no route for %s %q", ser.Name(), srv.call.Method(), path)
	}
	if srv.call.Public() && !srv.call.Nested() && !rou.Public() {
		return refuse(core.ReasonKeyMissing, "the route needs a key")
	}
	srv.rank = len(sna.Classes())
	if cla := sna.Class(srv.call.Class()); cla != nil {
		srv.rank = cla.Rank()
	}
	return nil
}

// startDedup records the idempotency key of the call as running, or refuses the call.
func (srv *serverCall) startDedup(now time.Time) error {
	cal := srv.call
	if cal.Idempotent() || cal.IdempotencyKey() == "" {
		return nil
	}
	key := dedup.NewKey(cal.Team(), cal.Service(), cal.IdempotencyKey(), cal.Fingerprint())
	dec := srv.handler.settings.Dedup.Start(now, key)
	if dec.Kind() != dedup.KindRun {
		return dec.Refusal()
	}
	srv.dedupKey = &key
	return nil
}

// finishDedup records how the call ended, if it has an idempotency key.
func (srv *serverCall) finishDedup(now time.Time, out core.Outcome, status int) {
	if srv.dedupKey != nil {
		srv.handler.settings.Dedup.Finish(now, *srv.dedupKey, out, status)
	}
}

func (srv *serverCall) sendToUpstream(ctx context.Context) (*core.Answer, error) {
	han, cal := srv.handler, srv.call
	srv.running.permit = srv.permit
	srv.callToken = han.calls.add(srv.running)
	srv.start = time.Now()
	ans, err := han.settings.Upstream.Do(ctx, cal, srv.callToken)
	if err != nil {
		ref := core.AsRefusal(err)
		srv.finish(time.Now(), limitResult(ref), ref.Outcome(), 0, crashResult(ref))
		return nil, err
	}
	return srv.wrapAnswer(ans), nil
}

// limitResult returns how a failed call counts for the limit of calls in flight.
func limitResult(ref *core.Refusal) limit.Result {
	switch ref.Reason() {
	case core.ReasonOverload, core.ReasonDraining:
		return limit.Shed
	case core.ReasonDeadline:
		return limit.Timeout
	case core.ReasonCancelled:
		return limit.Cancelled
	}
	return limit.ConnectionFailed
}

// wrapAnswer returns the answer without reserved headers and with a body that ends the call when it has been read or
// closed.
func (srv *serverCall) wrapAnswer(ans *core.Answer) *core.Answer {
	header := ans.Header()
	for name := range header {
		if strings.HasPrefix(name, reservedHeaderPrefix) {
			delete(header, name)
		}
	}
	status := ans.Status()
	bod := &answerBody{ReadCloser: ans.Body(), onEnd: func(err error) { srv.answerEnded(err, status) }}
	return core.NewAnswer(status, header, bod, srv.feedback)
}

func (srv *serverCall) answerEnded(err error, status int) {
	now := time.Now()
	if err == nil {
		srv.finish(now, srv.limitResultOfStatus(status), core.OutcomeRan, status, crash.ResultAnswered)
		return
	}
	// The head of the answer shows that the application ran the call, also when the rest is lost.
	ref := core.AsRefusal(err)
	srv.finish(now, limitResult(ref), core.OutcomeRan, status, crashResult(ref))
}

// limitResultOfStatus treats 429 and 503 as load shedding by the upstream, unless a nested call failed: a service deep in
// the chain must not reduce the limits of its callers.
func (srv *serverCall) limitResultOfStatus(status int) limit.Result {
	shed := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if shed && !srv.running.nestedFailed() {
		return limit.Shed
	}
	return limit.Success
}

// answerBody reports the end of an answer: nil after the last byte, else the error. Only the first report counts, since
// finish ignores the others.
type answerBody struct {
	io.ReadCloser
	onEnd func(err error)
}

// Read reads from the upstream's body.
func (bod *answerBody) Read(buf []byte) (int, error) {
	n, err := bod.ReadCloser.Read(buf)
	switch {
	case errors.Is(err, io.EOF):
		bod.onEnd(nil)
	case err != nil:
		bod.onEnd(err)
	}
	return n, err
}

// Close ends the call; a body that was not read to its end counts as cancelled by the reader.
func (bod *answerBody) Close() error {
	bod.onEnd(refuse(core.ReasonCancelled, "the reader closed the answer before its end"))
	return bod.ReadCloser.Close()
}

// abandon releases everything that a call has acquired if it is not sent to the upstream.
func (srv *serverCall) abandon(now time.Time) {
	srv.endOnce.Do(func() {
		if srv.permit != nil {
			srv.permit.Release(0, limit.Cancelled)
		}
		srv.finishDedup(now, core.OutcomeNotRun, 0)
		srv.finishCrashRun(now, crash.ResultInconclusive)
	})
}

// finish ends a call that was sent to the upstream; only the first call of finish or abandon has an effect.
func (srv *serverCall) finish(now time.Time, res limit.Result, out core.Outcome, status int, crashRes crash.Result) {
	srv.endOnce.Do(func() {
		srv.handler.calls.remove(srv.callToken)
		srv.handler.sheds.record(now, res)
		srv.running.release(now, srv.start, res)
		srv.finishDedup(now, out, status)
		srv.finishCrashRun(now, crashRes)
	})
}
