package handle

import (
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/route"
	"amaranthline/core/state/crash"
)

// owner returns the host of a service that alone tries a suspect.
func (han *Handler) suspectOwner(out *outgoingCall) string {
	return route.Owner(crash.RendezvousKey(out.fingerprint), hostIDs(out.dest.snapshot, out.req.Service()))
}

// checkSuspect refuses on arrival what may not run here, before it takes a place.
func (srv *serverCall) checkSuspect(now time.Time) error {
	return srv.refuseByDecision(srv.handler.set.Crash.Check(now, srv.call.Fingerprint()))
}

func (srv *serverCall) refuseByDecision(dec crash.Decision) error {
	fin := srv.call.Fingerprint()
	switch dec {
	case crash.DecisionBlock:
		return refuse(core.ReasonCrashSuspect, "requests like %s crash upstreams", fin)
	case crash.DecisionWait:
		return refuse(core.ReasonCrashSuspect, "another suspect is being tried").WithRetryAfter(time.Second)
	case crash.DecisionSuspect:
		if !srv.ownsTrial() {
			return refuse(core.ReasonCrashSuspect, "requests like %s are tried at another host", fin)
		}
	case crash.DecisionAllow, crash.DecisionTrial:
	}
	return nil
}

// ownsSuspect says whether this host tries the fingerprint. A request with an idempotency key is
// tried at the owner of its key, because no other host may run it.
func (srv *serverCall) ownsTrial() bool {
	if srv.dedupKey != nil {
		return true
	}
	sna := srv.handler.set.Snapshot()
	owner := route.Owner(crash.RendezvousKey(srv.call.Fingerprint()), hostIDs(sna, srv.handler.set.Service))
	return owner == srv.handler.set.Host
}

// startRun registers the call as in flight at the upstream, or refuses it.
func (srv *serverCall) startCrashRun(now time.Time) error {
	run, dec := srv.handler.set.Crash.Start(now, srv.call.Fingerprint(), srv.ownsTrial())
	if dec == crash.DecisionSuspect {
		return refuse(core.ReasonCrashSuspect, "requests like %s are tried at another host", srv.call.Fingerprint())
	}
	if err := srv.refuseByDecision(dec); err != nil {
		return err
	}
	srv.crashRun = &run
	return nil
}

// endRun tells the detector how the upstream ended the call, and the service's hosts of a clearance.
func (srv *serverCall) finishCrashRun(now time.Time, res crash.Result) {
	if srv.crashRun == nil {
		return
	}
	if upd, ok := srv.handler.set.Crash.Finish(now, *srv.crashRun, res); ok {
		srv.handler.set.Broadcast(upd)
	}
}

// endOf says what the end of a call shows of a suspect.
func crashResult(ref *core.Refusal) crash.Result {
	switch ref.Reason() {
	case core.ReasonUpstreamFailed, core.ReasonTruncated:
		return crash.ResultReset
	}
	return crash.ResultInconclusive
}

// UpstreamCrashed is called when the upstream has crashed: its limit starts again as after a cold start,
// and what was in flight becomes suspect on all hosts of the service.
func (han *Handler) UpstreamCrashed() {
	han.set.Gate.Reset()
	han.set.Broadcast(han.set.Crash.HandleCrash(time.Now())...)
}
