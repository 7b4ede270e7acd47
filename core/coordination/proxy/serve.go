package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/sched"
)

// serving is one call at the node beside the upstream.
type serving struct {
	rel   *Proxy
	run   *run
	ask   *sched.Task
	start time.Time
	once  sync.Once
}

// Serve serves a call of a peer or of this node at the own upstream.
func (rel *Proxy) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	ans, err := rel.serve(ctx, call)
	if err == nil {
		return ans, nil
	}
	ref := core.AsRefusal(err)
	if rel.set.EventLog.Enabled(eventCallRefused) {
		rel.set.EventLog.Note(eventCallRefused, call.AttemptID(), map[string]any{
			"reason": string(ref.Reason()), "outcome": ref.Outcome().String(), "detail": ref.Detail(),
			"class": call.Class(), "rank": call.EntryRank(), "depth": call.Depth(), "root": call.ID().String(),
			"remaining_ms": time.Until(call.Deadline()).Milliseconds(),
		})
	}
	return nil, core.WithFeedback(ref, rel.feedback(nil))
}

func (rel *Proxy) serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	if err := rel.check(call); err != nil {
		return nil, err
	}
	wai := &waiter{ready: make(chan struct{})}
	ask := sched.NewTask(sched.TaskSpec{
		Class: call.Class(), Root: !call.Nested(), Rank: call.EntryRank(), Target: call.TargetLatency(),
		Deadline: call.Deadline(), Value: wai,
	})
	if err := rel.lane.enter(ctx, ask, wai); err != nil {
		return nil, err
	}
	srv := &serving{rel: rel, ask: ask, run: &run{ctx: ctx, call: call}, start: rel.clock.Now()}
	// The configuration may have changed while the call waited.
	if err := rel.check(call); err != nil {
		srv.end(sched.Cancelled)
		return nil, err
	}
	rel.running.add(srv.run)
	ans, err := rel.set.Upstream.Do(ctx, call, call.AttemptID())
	if err != nil {
		srv.end(resultOf(core.AsRefusal(err)))
		if core.AsRefusal(err).Reason() == core.ReasonWrongInstance {
			rel.own.replaced()
		}
		return nil, err
	}
	return core.NewAnswer(ans.Status(), ans.Header(), &answerBody{ReadCloser: ans.Body(), srv: srv, status: ans.Status()},
		func() core.Feedback { return rel.feedback(srv.run) }), nil
}

// check refuses a call that must not be sent to the upstream now.
func (rel *Proxy) check(call *core.Call) error {
	sna := rel.set.Snapshot()
	switch {
	case sna == nil:
		return refuse(core.ReasonNoConfiguration, "no declarations and host list have been received")
	case call.Service() != rel.set.Service:
		return refuse(core.ReasonNoUpstream, "this host serves %q", rel.set.Service)
	case rel.draining.Load():
		return refuse(core.ReasonDraining, "this host stops")
	}
	if ref := rel.own.check(); ref != nil {
		return ref
	}
	return checkKey(sna, call)
}

// checkKey refuses a call whose key has been revoked since its entry admitted it. An entry with newer declarations may
// know keys that this node does not know yet. A nested call carries no key: its root was admitted, and refusing it
// would only waste the work done so far.
func checkKey(sna *decl.Snapshot, call *core.Call) error {
	if !call.Authenticated() || sna.Version() <= call.DeclarationsVersion() {
		return nil
	}
	if key := sna.KeyByID(call.KeyID()); key == nil || key.Team().Name() != call.Team() {
		return refuse(core.ReasonKeyUnknown, "the key %q of this request has been revoked", call.KeyID())
	}
	return nil
}

func resultOf(ref *core.Refusal) sched.Result {
	if ref.Reason() == core.ReasonCancelled {
		return sched.Cancelled
	}
	return sched.Failed
}

// feedback returns what an answer tells the calling node about this host.
func (rel *Proxy) feedback(run *run) core.Feedback {
	expected, step := rel.lane.expected()
	if rel.own.unavailable() {
		expected = downTime
	}
	fee := core.NewFeedback(0, 1, rel.lane.load(), rel.Leaving()).WithLatency(expected, step)
	return fee.WithNestedFailed(run != nil && run.failed.Load())
}

// end gives the place of a call back.
func (srv *serving) end(res sched.Result) {
	srv.once.Do(func() {
		srv.rel.running.remove(srv.run)
		srv.rel.lane.leave(srv.ask, srv.rel.clock.Now().Sub(srv.start), res)
	})
}

// answerBody ends the call when the answer has been read or closed.
type answerBody struct {
	io.ReadCloser
	srv    *serving
	status int
}

// Read passes on the upstream's bytes.
func (abo *answerBody) Read(data []byte) (int, error) {
	got, err := abo.ReadCloser.Read(data)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		abo.srv.end(resultOf(core.AsRefusal(err)))
	case abo.status >= http.StatusInternalServerError:
		abo.srv.end(sched.Failed)
	default:
		abo.srv.end(sched.Success)
	}
	return got, err
}

// Close ends the call; a body that was not read to its end was given up by the reader.
func (abo *answerBody) Close() error {
	abo.srv.end(sched.Cancelled)
	return abo.ReadCloser.Close()
}
