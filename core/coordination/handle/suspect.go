package handle

import (
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/route"
	"amaranthline/core/state/crash"
)

// owner returns the host of a service that alone tries a suspect.
func (flo *Handler) ownerOf(out *outgoing) string {
	return route.Owner(crash.RendezvousKey(out.print), hostIDs(out.tar.sna, out.req.Service()))
}

// checkSuspect refuses on arrival what may not run here, before it takes a place.
func (srv *serving) checkSuspect(now time.Time) error {
	return srv.refuseSuspect(srv.flo.set.Crash.Check(now, srv.call.Fingerprint()))
}

func (srv *serving) refuseSuspect(ver crash.Decision) error {
	print := srv.call.Fingerprint()
	switch ver {
	case crash.DecisionBlock:
		return refuse(core.ReasonCrashSuspect, "requests like %s crash upstreams", print)
	case crash.DecisionWait:
		return refuse(core.ReasonCrashSuspect, "another suspect is being tried").WithRetryAfter(time.Second)
	case crash.DecisionSuspect:
		if !srv.ownsSuspect() {
			return refuse(core.ReasonCrashSuspect, "requests like %s are tried at another host", print)
		}
	case crash.DecisionAllow, crash.DecisionTrial:
	}
	return nil
}

// ownsSuspect says whether this host tries the fingerprint. A request with an idempotency key is
// tried at the owner of its key, because no other host may run it.
func (srv *serving) ownsSuspect() bool {
	if srv.key != nil {
		return true
	}
	sna := srv.flo.set.Snapshot()
	owner := route.Owner(crash.RendezvousKey(srv.call.Fingerprint()), hostIDs(sna, srv.flo.set.Service))
	return owner == srv.flo.set.Host
}

// startRun registers the call as in flight at the upstream, or refuses it.
func (srv *serving) startRun(now time.Time) error {
	run, ver := srv.flo.set.Crash.Start(now, srv.call.Fingerprint(), srv.ownsSuspect())
	if ver == crash.DecisionSuspect {
		return refuse(core.ReasonCrashSuspect, "requests like %s are tried at another host", srv.call.Fingerprint())
	}
	if err := srv.refuseSuspect(ver); err != nil {
		return err
	}
	srv.flight = &run
	return nil
}

// endRun tells the detector how the upstream ended the call, and the service's hosts of a clearance.
func (srv *serving) endRun(now time.Time, end crash.Result) {
	if srv.flight == nil {
		return
	}
	if mark, ok := srv.flo.set.Crash.Finish(now, *srv.flight, end); ok {
		srv.flo.set.Broadcast(mark)
	}
}

// endOf says what the end of a call shows of a suspect.
func endOf(ref *core.Refusal) crash.Result {
	switch ref.Reason() {
	case core.ReasonUpstreamFailed, core.ReasonTruncated:
		return crash.ResultReset
	}
	return crash.ResultInconclusive
}

// UpstreamCrashed is called when the upstream has crashed: its limit starts again as after a cold start,
// and what was in flight becomes suspect on all hosts of the service.
func (flo *Handler) UpstreamCrashed() {
	flo.set.Gate.Reset()
	flo.set.Broadcast(flo.set.Crash.HandleCrash(time.Now())...)
}
