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

// heldSlot is the slot of the node's own upstream that a running call holds.
type heldSlot struct {
	proxy *Proxy
	run   *runningCall
	task  *sched.Task
	start time.Time // when the call got the slot
	once  sync.Once
}

// Serve serves a call of a peer or of this node at the node's own upstream.
func (prx *Proxy) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	ans, err := prx.serve(ctx, call)
	if err == nil {
		return ans, nil
	}
	ref := core.AsRefusal(err)
	if prx.settings.EventLog.Enabled(eventCallRefused) {
		prx.settings.EventLog.Note(eventCallRefused, call.AttemptID(), map[string]any{
			"reason": string(ref.Reason()), "outcome": ref.Outcome().String(), "detail": ref.Detail(),
			"class": call.Class(), "rank": call.EntryRank(), "depth": call.Depth(), "root": call.ID().String(),
			"remaining_ms": time.Until(call.Deadline()).Milliseconds(),
		})
	}
	return nil, core.WithFeedback(ref, prx.feedback(nil))
}

func (prx *Proxy) serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	if err := prx.checkCall(call); err != nil {
		return nil, err
	}
	quc := &queuedCall{ready: make(chan struct{})}
	tsk := sched.NewTask(sched.TaskSpec{
		Class: call.Class(), IsRoot: !call.Nested(), Rank: call.EntryRank(), TargetLatency: call.TargetLatency(),
		Deadline: call.Deadline(), Team: call.Team(), TeamLoad: call.TeamLoad(), ReportsSent: true, Value: quc,
	})
	arrived := prx.clock.Now()
	if err := prx.queue.acquire(ctx, tsk, quc); err != nil {
		return nil, err
	}
	slo := &heldSlot{proxy: prx, task: tsk, run: &runningCall{ctx: ctx, call: call}, start: prx.clock.Now()}
	slo.run.queuedFor = slo.start.Sub(arrived)
	// The configuration may have changed while the call was queued.
	if err := prx.checkCall(call); err != nil {
		slo.release(sched.Cancelled)
		return nil, err
	}
	if prx.byWork.Load() {
		kin := kindOf(prx.settings.Snapshot(), call.Service(), call.Class(), call.Authority(), call.Path(), call.Method(), call.Length())
		slo.run.work = prx.ownWork.begin(slo.start, kin)
	}
	prx.running.add(slo.run)
	ans, err := prx.settings.Upstream.Do(ctx, call.OnSent(slo.sent), call.AttemptID())
	if err != nil {
		slo.release(schedResult(core.AsRefusal(err)))
		if core.AsRefusal(err).Reason() == core.ReasonWrongInstance {
			prx.upstream.instanceMismatch()
		}
		return nil, err
	}
	return core.NewAnswer(ans.Status(), ans.Header(), &answerBody{ReadCloser: ans.Body(), slot: slo, status: ans.Status()},
		func() core.Feedback { return prx.feedback(slo.run) }), nil
}

// checkCall refuses a call that must not be sent to the node's own upstream now.
func (prx *Proxy) checkCall(call *core.Call) error {
	sna := prx.settings.Snapshot()
	switch {
	case sna == nil:
		return refuse(core.ReasonNoConfiguration, "no declarations and host list have been received")
	case call.Service() != prx.settings.Service:
		return refuse(core.ReasonNoUpstream, "this host serves only service %q", prx.settings.Service)
	case prx.Draining():
		return refuse(core.ReasonDraining, "this host is draining")
	}
	if ref := prx.upstream.refusal(); ref != nil {
		return ref
	}
	return checkKey(sna, call)
}

// checkKey refuses a call whose key has been revoked since the entry node admitted it. An entry node with newer
// declarations may know keys that this node does not know yet. A nested call carries no key and passes: its root
// request was admitted, and refusing the call would only waste the work done so far.
func checkKey(sna *decl.Snapshot, call *core.Call) error {
	if !call.Authenticated() || sna.ContentVersion() <= call.DeclarationsVersion() {
		return nil
	}
	if key := sna.KeyByID(call.KeyID()); key == nil || key.Team().Name() != call.Team() {
		return refuse(core.ReasonKeyUnknown, "key %q of this request has been revoked or belongs to another team", call.KeyID())
	}
	return nil
}

func schedResult(ref *core.Refusal) sched.Result {
	if ref.Reason() == core.ReasonCancelled {
		return sched.Cancelled
	}
	return sched.Failed
}

// feedback returns what an answer tells the calling node about this host.
func (prx *Proxy) feedback(run *runningCall) core.Feedback {
	expected, marginal := prx.queue.expectedLatency()
	if prx.upstream.unavailable() {
		expected = unavailableLatency
	}
	fee := core.NewFeedback(0, 1, prx.queue.load(), prx.Leaving()).WithLatency(expected, marginal)
	byWork := prx.byWork.Load()
	if byWork {
		fee = prx.workFeedback(fee, run)
	}
	if run == nil {
		return fee
	}
	fee = fee.WithNestedFailed(run.nestedFailed.Load()).WithNestedColdFor(max(run.dependencyColdUntil().Sub(prx.clock.Now()), 0))
	if !byWork {
		return fee.WithNestedNoRoom(run.nestedFailed.Load()) // not known
	}
	return fee.WithNestedNoRoom(run.noRoom.Load()).WithQueuedFor(run.queuedFor + run.waits.queuedFor())
}

// sent records that the call has been sent to the upstream.
func (slo *heldSlot) sent() { slo.proxy.queue.markSent(slo.task) }

// release frees the slot; only the first release has an effect.
func (slo *heldSlot) release(res sched.Result) {
	slo.once.Do(func() {
		if rep, ok := slo.proxy.settings.Upstream.(core.SendReporter); !ok || !rep.ReportsSent() {
			slo.sent() // it is not known whether and when the call was sent
		}
		slo.proxy.running.remove(slo.run)
		slo.proxy.ownWork.end(slo.proxy.clock.Now(), slo.run.work, res)
		if until := slo.run.dependencyColdUntil(); res == sched.Failed && until.After(slo.proxy.clock.Now()) {
			slo.proxy.queue.releaseCold(slo.task, until)
			return
		}
		if slo.proxy.byWork.Load() {
			slo.task.SetQueued(slo.run.queuedFor, slo.run.waits.queuedFor())
		}
		slo.proxy.queue.release(slo.task, slo.proxy.clock.Now().Sub(slo.start), res)
	})
}

// failedResult returns how a call ended whose upstream answered with a server error.
func (slo *heldSlot) failedResult() sched.Result {
	if slo.proxy.byWork.Load() && slo.run.nestedFailed.Load() && !slo.run.noRoom.Load() {
		return sched.DependencyFailed
	}
	return sched.Failed
}

// answerBody frees the slot of the call when the answer has been read to its end or closed.
type answerBody struct {
	io.ReadCloser
	slot   *heldSlot
	status int
}

// Read reads the body of the answer.
func (abo *answerBody) Read(data []byte) (int, error) {
	read, err := abo.ReadCloser.Read(data)
	switch {
	case err == nil:
	case !errors.Is(err, io.EOF):
		abo.slot.release(schedResult(core.AsRefusal(err)))
	case abo.status >= http.StatusInternalServerError:
		abo.slot.release(abo.slot.failedResult())
	default:
		abo.slot.release(sched.Success)
	}
	return read, err
}

// Close closes the body and frees the slot; a body that was not read to its end counts as cancelled by the reader.
func (abo *answerBody) Close() error {
	abo.slot.release(sched.Cancelled)
	return abo.ReadCloser.Close()
}
