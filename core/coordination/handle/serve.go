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

// headerPrefix marks the headers that only nodes set.
const headerPrefix = "Amaranthline-"

// serving is one call at the node beside the upstream.
type serving struct {
	flo    *Handler
	call   *core.Call
	rank   int
	run    *running
	token  string
	ticket *gate.Permit
	start  time.Time
	key    *dedup.Key
	flight *crash.Run
	once   sync.Once
}

// Serve runs a call of a peer, or of this node itself, at the own upstream.
func (flo *Handler) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	srv := &serving{flo: flo, call: call, run: &running{
		call: call, budget: retry.NewBudget(call.RetryBudget()), nested: retry.NewFailedCalls(), fraction: 1,
	}}
	ans, err := srv.serve(ctx)
	if err != nil {
		return nil, core.WithFeedback(core.AsRefusal(err), srv.feedback())
	}
	return ans, nil
}

// feedback returns unused budget, smallest fraction and load for the calling node.
func (srv *serving) feedback() core.Feedback {
	gat := srv.flo.set.Gate
	fraction := min(srv.run.minFraction(), gat.AdmissionFraction(srv.rank, srv.call.Team()))
	return core.NewFeedback(srv.run.budget.Remaining(), fraction, srv.flo.Load(), srv.flo.Leaving())
}

func (srv *serving) serve(ctx context.Context) (*core.Answer, error) {
	if err := srv.check(time.Now()); err != nil {
		return nil, err
	}
	if err := firstError(srv.checkSuspect(time.Now()), srv.begin(time.Now())); err != nil {
		return nil, err
	}
	ticket, err := srv.flo.set.Gate.Acquire(ctx, srv.call, srv.rank)
	if err == nil {
		srv.ticket = ticket
		// The call may have waited, or this process may have been paused, since the first check.
		err = firstError(srv.check(time.Now()), srv.startRun(time.Now()))
	}
	if err != nil {
		srv.abandon(time.Now())
		return nil, err
	}
	return srv.do(ctx)
}

// check refuses what must not run here now. It is asked on arrival and again right before the
// call is sent to the upstream.
func (srv *serving) check(now time.Time) error {
	flo, cal := srv.flo, srv.call
	sna := flo.set.Snapshot()
	if sna == nil {
		return refuse(core.ReasonNoConfiguration, "no declarations and host list have been received")
	}
	if flo.draining.Load() && srv.ticket == nil {
		return refuse(core.ReasonDraining, "host %q is leaving", flo.set.Host)
	}
	if cal.Service() != flo.set.Service {
		return refuse(core.ReasonUnknownService, "host %q serves %q, not %q", flo.set.Host, flo.set.Service, cal.Service())
	}
	if dom := sna.Domain(flo.set.Domain); dom != nil && dom.OutOfService() && srv.ticket == nil {
		return refuse(core.ReasonDomainOutOfService, "failure domain %q is out", flo.set.Domain)
	}
	if err := srv.checkRoute(sna); err != nil {
		return err
	}
	if err := checkKey(sna, cal.Root); err != nil {
		return err
	}
	if !cal.Nested() && now.Sub(cal.Admitted()) > maxAdmissionAge {
		return refuse(core.ReasonStaleAdmission, "the admission is %s old", now.Sub(cal.Admitted()).Round(time.Millisecond))
	}
	if !now.Before(cal.Deadline()) {
		return refuse(core.ReasonDeadline, "the deadline passed before the call was sent")
	}
	return nil
}

// checkRoute takes route and rank from the own declarations, so that a peer cannot open a route.
func (srv *serving) checkRoute(sna *decl.Snapshot) error {
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

// begin records the call by its idempotency key.
func (srv *serving) begin(now time.Time) error {
	cal := srv.call
	if cal.Idempotent() || cal.IdempotencyKey() == "" {
		return nil
	}
	key := dedup.NewKey(cal.Team(), cal.Service(), cal.IdempotencyKey(), cal.Fingerprint())
	ver := srv.flo.set.Dedup.Start(now, key)
	if ver.Kind() != dedup.KindRun {
		return ver.Refusal()
	}
	srv.key = &key
	return nil
}

// end records how the call of an idempotency key ended.
func (srv *serving) end(now time.Time, out core.Outcome, status int) {
	if srv.key != nil {
		srv.flo.set.Dedup.Finish(now, *srv.key, out, status)
	}
}

func (srv *serving) do(ctx context.Context) (*core.Answer, error) {
	flo, cal := srv.flo, srv.call
	srv.run.ctx, srv.run.ticket = ctx, srv.ticket
	srv.token = flo.calls.add(srv.run)
	srv.start = time.Now()
	ans, err := flo.set.Upstream.Do(ctx, cal, srv.token)
	if err != nil {
		ref := core.AsRefusal(err)
		srv.finish(time.Now(), resultOf(ref), ref.Outcome(), 0, endOf(ref))
		return nil, err
	}
	return srv.stream(ans), nil
}

// resultOf tells the limit what a failed call shows of the upstream.
func resultOf(ref *core.Refusal) limit.Result {
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

// stream returns the answer with a body that ends the call when it has been read or closed.
func (srv *serving) stream(ans *core.Answer) *core.Answer {
	header := ans.Header()
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
	status := ans.Status()
	src := &answerBody{ReadCloser: ans.Body(), end: func(err error) { srv.ended(err, status) }}
	return core.NewAnswer(status, header, src, srv.feedback)
}

func (srv *serving) ended(err error, status int) {
	now := time.Now()
	if err == nil {
		srv.finish(now, srv.resultOfStatus(status), core.OutcomeRan, status, crash.ResultAnswered)
		return
	}
	// The head of the answer shows that the application ran it, also when the rest is lost.
	ref := core.AsRefusal(err)
	srv.finish(now, resultOf(ref), core.OutcomeRan, status, endOf(ref))
}

// resultOfStatus takes 429 and 503 as load shedding by the upstream, unless a nested call failed:
// a service deep in the chain must not reduce the limit of its callers.
func (srv *serving) resultOfStatus(status int) limit.Result {
	shed := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if shed && !srv.run.nestedFailed() {
		return limit.Shed
	}
	return limit.Success
}

// answerBody reports the end of an answer once: nil after the last byte, else the error.
type answerBody struct {
	io.ReadCloser
	end func(err error)
}

// Read passes on the upstream's bytes.
func (bod *answerBody) Read(buf []byte) (int, error) {
	got, err := bod.ReadCloser.Read(buf)
	switch {
	case errors.Is(err, io.EOF):
		bod.end(nil)
	case err != nil:
		bod.end(err)
	}
	return got, err
}

// Close ends the call; a body that was not read to its end was cancelled by the reader.
func (bod *answerBody) Close() error {
	bod.end(refuse(core.ReasonCancelled, "the answer was not read to its end"))
	return bod.ReadCloser.Close()
}

// abandon undoes begin for a call that was not sent.
func (srv *serving) abandon(now time.Time) {
	srv.once.Do(func() {
		if srv.ticket != nil {
			srv.ticket.Release(0, limit.Cancelled)
		}
		srv.end(now, core.OutcomeNotRun, 0)
		srv.endRun(now, crash.ResultInconclusive)
	})
}

// finish ends a call that was sent.
func (srv *serving) finish(now time.Time, res limit.Result, out core.Outcome, status int, end crash.Result) {
	srv.once.Do(func() {
		srv.flo.calls.remove(srv.token)
		srv.flo.shed.ended(now, res)
		srv.run.end(now, srv.start, res)
		srv.end(now, out, status)
		srv.endRun(now, end)
	})
}
