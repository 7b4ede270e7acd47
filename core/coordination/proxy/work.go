package proxy

import (
	"net"
	"strings"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/cost"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/picker"
	"amaranthline/core/state/sched"
)

const (
	// The event log gets a line when the own upstream becomes slower than usual by slowLogFactor, and one when it needs
	// less than fastLogFactor times the usual time again.
	slowLogFactor = 2.0
	fastLogFactor = 1.3
)

// ownWork learns the work of the calls at the node's own upstream. It is safe for concurrent use.
type ownWork struct {
	eventLog core.EventLog

	mut    sync.Mutex
	server *cost.Server
	isSlow bool // as last logged
}

func newOwnWork(log core.EventLog) *ownWork {
	return &ownWork{eventLog: log, server: cost.NewServer()}
}

// kindOf returns the kind of a request to a service. A request of no known ingress route is of a kind of its class.
func kindOf(sna *decl.Snapshot, service, class, authority, path, method string, length int64) cost.Kind {
	path, _, _ = strings.Cut(path, "?")
	if rou := sna.IngressRoute(hostName(authority), path); rou != nil {
		return cost.NewKind(rou.Name(), method, length)
	}
	return cost.NewKind(class+"/"+service, method, length)
}

// hostName returns a Host header without its port.
func hostName(authority string) string {
	if name, _, err := net.SplitHostPort(authority); err == nil {
		return name
	}
	return authority
}

// begin records that a call has got a slot.
func (own *ownWork) begin(now time.Time, kin cost.Kind) *cost.Running {
	own.mut.Lock()
	defer own.mut.Unlock()
	return own.server.Begin(now, kin)
}

// end records that a call has left its slot; it does nothing if run is nil.
func (own *ownWork) end(now time.Time, run *cost.Running, res sched.Result) {
	if run == nil {
		return
	}
	own.mut.Lock()
	defer own.mut.Unlock()
	result := cost.Broken
	if res == sched.Success {
		result = cost.Whole
	}
	own.server.End(now, run, result)
	own.logSlowness(now)
}

// logSlowness logs that the upstream has become slow or is no longer slow. The caller holds the lock.
func (own *ownWork) logSlowness(now time.Time) {
	slowness := own.server.Slowness(now)
	if own.isSlow == (slowness > fastLogFactor) || !own.isSlow && slowness < slowLogFactor {
		return
	}
	own.isSlow = !own.isSlow
	own.eventLog.Note("upstream speed changed", "", map[string]any{"slow": own.isSlow, "time_factor": slowness, "calls": own.server.InSlots()})
}

// nestedBegan records that a running call has made a nested call; it does nothing if run is nil.
func (own *ownWork) nestedBegan(now time.Time, run *cost.Running) {
	if run == nil {
		return
	}
	own.mut.Lock()
	defer own.mut.Unlock()
	own.server.NestedBegan(now, run)
}

// nestedEnded records that a nested call of a running call has ended; it does nothing if run is nil.
func (own *ownWork) nestedEnded(now time.Time, run *cost.Running) {
	if run == nil {
		return
	}
	own.mut.Lock()
	defer own.mut.Unlock()
	own.server.NestedEnded(now, run)
}

// expected returns the expected service time of a call of a kind, or 0 if it is not known.
func (own *ownWork) expected(now time.Time, kin cost.Kind) time.Duration {
	own.mut.Lock()
	defer own.mut.Unlock()
	service, _ := own.server.Expected(now, kin)
	return service
}

// wait returns the expected time until a call that arrives now gets a slot.
func (own *ownWork) wait(now time.Time, free, queued int) time.Duration {
	own.mut.Lock()
	defer own.mut.Unlock()
	return own.server.Wait(now, free, queued)
}

// Estimate returns the expected work of a call of a kind at the usual speed of the own upstream.
func (own *ownWork) Estimate(kin cost.Kind) time.Duration {
	own.mut.Lock()
	defer own.mut.Unlock()
	return own.server.Estimate(kin)
}

// WorkEstimates returns the expected work of all kinds of calls that the own upstream has served lately.
func (prx *Proxy) WorkEstimates() []cost.Estimate {
	prx.ownWork.mut.Lock()
	defer prx.ownWork.mut.Unlock()
	return prx.ownWork.server.Known()
}

// ExpectedWait returns the expected time until a call that arrives now gets a slot of the own upstream.
func (prx *Proxy) ExpectedWait() time.Duration {
	slots, inFlight, queued := prx.queue.slotUsage()
	return prx.ownWork.wait(prx.clock.Now(), slots-inFlight, queued)
}

// ByWork reports whether scheduling by work is in force.
func (prx *Proxy) ByWork() bool { return prx.byWork.Load() }

// UpstreamSpeed returns the speed of the own upstream against the others of its service, as far as this node sends calls
// to them, or false if it sends none to its own.
func (prx *Proxy) UpstreamSpeed() (float64, bool) { return prx.picker.Speed(prx.settings.Host) }

// UpstreamTimeFactor returns the time that the own upstream needs for a call at present, as a multiple of its usual time.
func (prx *Proxy) UpstreamTimeFactor() float64 {
	prx.ownWork.mut.Lock()
	defer prx.ownWork.mut.Unlock()
	return prx.ownWork.server.Slowness(prx.clock.Now())
}

// workFeedback adds what the host reports on its work to feedback; run is the call that was answered, or nil.
func (prx *Proxy) workFeedback(fee core.Feedback, run *runningCall) core.Feedback {
	now := prx.clock.Now()
	slots, inFlight, queued := prx.queue.slotUsage()
	wait := prx.ownWork.wait(now, slots-inFlight, queued)
	if prx.upstream.unavailable() {
		wait = unavailableLatency
	}
	service := time.Duration(0)
	if run != nil && run.work != nil {
		service = prx.ownWork.expected(now, run.work.Kind())
	}
	return fee.WithWork(service, wait, slots)
}

// reportOf returns what a host has reported on its work.
func reportOf(fee core.Feedback) picker.Report {
	return picker.NewReport(fee.ExpectedService(), fee.ExpectedWait(), fee.Slots(), fee.Load())
}
