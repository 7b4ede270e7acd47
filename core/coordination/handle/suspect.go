package handle

import (
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/route"
	"amaranthline/core/state/crash"
)

// suspectOwner returns the only host of the called service that runs trials of the call's fingerprint.
func (han *Handler) suspectOwner(out *outgoingCall) string {
	return route.Owner(crash.RendezvousKey(out.fingerprint), hostIDs(out.dest.snapshot, out.req.Service()))
}

// checkSuspect refuses a call on its arrival, before it takes a slot, if its fingerprint must not run here.
func (srv *serverCall) checkSuspect(now time.Time) error {
	return srv.refuseByDecision(srv.handler.settings.Crash.Check(now, srv.call.Fingerprint()))
}

func (srv *serverCall) refuseByDecision(dec crash.Decision) error {
	fin := srv.call.Fingerprint()
	switch dec {
	case crash.DecisionBlock:
		return refuse(core.ReasonCrashSuspect, "requests with fingerprint %s are blocked because they crash upstreams", fin)
	case crash.DecisionWait:
		return refuse(core.ReasonCrashSuspect, "the trial of another suspected request is in progress").WithRetryAfter(time.Second)
	case crash.DecisionForward:
		if !srv.ownsTrial() {
			return refuse(core.ReasonCrashSuspect, "trials of requests with fingerprint %s run at another host", fin)
		}
	case crash.DecisionAllow, crash.DecisionTrial:
	}
	return nil
}

// ownsTrial reports whether this host runs trials of the call's fingerprint. A request with an idempotency key has its
// trial at the owner of the key, because no other host may run it.
func (srv *serverCall) ownsTrial() bool {
	if srv.dedupKey != nil {
		return true
	}
	sna := srv.handler.settings.Snapshot()
	owner := route.Owner(crash.RendezvousKey(srv.call.Fingerprint()), hostIDs(sna, srv.handler.settings.Service))
	return owner == srv.handler.settings.Host
}

// startCrashRun registers the call with the crash detector as in flight at the upstream, or refuses it.
func (srv *serverCall) startCrashRun(now time.Time) error {
	run, dec := srv.handler.settings.Crash.Start(now, srv.call.Fingerprint(), srv.ownsTrial())
	if dec == crash.DecisionForward {
		return refuse(core.ReasonCrashSuspect, "trials of requests with fingerprint %s run at another host", srv.call.Fingerprint())
	}
	if err := srv.refuseByDecision(dec); err != nil {
		return err
	}
	srv.crashRun = &run
	return nil
}

// finishCrashRun tells the crash detector how the call ended. If the answer cleared the fingerprint, it tells the other
// hosts of the service.
func (srv *serverCall) finishCrashRun(now time.Time, res crash.Result) {
	if srv.crashRun == nil {
		return
	}
	if upd, ok := srv.handler.settings.Crash.Finish(now, *srv.crashRun, res); ok {
		srv.handler.settings.Broadcast(upd)
	}
}

// crashResult returns how a failed call counts for the crash detector.
func crashResult(ref *core.Refusal) crash.Result {
	switch ref.Reason() {
	case core.ReasonUpstreamFailed, core.ReasonTruncated:
		return crash.ResultReset
	}
	return crash.ResultInconclusive
}

// UpstreamCrashed must be called when the upstream has crashed: the limit of calls in flight starts again as after a cold
// start, and the fingerprints of the calls in flight become suspected on all hosts of the service.
func (han *Handler) UpstreamCrashed() {
	han.settings.Gate.Reset()
	han.settings.Broadcast(han.settings.Crash.HandleCrash(time.Now())...)
}
