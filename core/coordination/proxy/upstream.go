package proxy

import (
	"context"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
)

const (
	healthInterval = 100 * time.Millisecond // between health checks until one succeeds
	healthTimeout  = 400 * time.Millisecond
	// unknownHealthTimeout is how long calls are refused because a health check is due and none has succeeded since.
	// After that they are sent without one, but not faster than to a cold upstream, if the host list has this host and the
	// upstream is not known to be down.
	unknownHealthTimeout = time.Second
	// coldMargin is added to a cold time: it is told in whole milliseconds, and a call that is sent as it ends arrives while the
	// upstream is cold if the time was rounded down. All queued calls are sent then.
	coldMargin = 10 * time.Millisecond
	// unavailableLatency is the expected latency that a host reports while its upstream takes no calls.
	unavailableLatency = 5 * time.Second
)

// ownUpstream holds what this node knows of the upstream on its host. The host list lags, so the node sends a health
// check to the upstream after each event that may have replaced it or made it cold. After the start of the node, the loss of
// all connections, an answer of another instance, and the return of the failure domain to service, calls are refused until
// then, for a while. After the loss of one connection, a change of the list, and while or after the node may miss an
// evacuation, they are limited.
type ownUpstream struct {
	settings Settings
	clock    core.Clock
	queue    *upstreamQueue

	mut          sync.Mutex
	listed       bool   // the host list has this host for this service
	leaving      bool   // the host list shows this host as leaving
	domainOut    bool   // the failure domain is out of service
	instance     string // as the host list named it last
	coldVersion  uint64 // newest version under which the host list showed the upstream as cold
	healthPath   string
	coldRate     float64       // requests per second while cold; 0 if the service declares none
	coldDuration time.Duration // after a start; 0 if the service declares none
	coldUntil    time.Time     // as the host list or a health check said last
	checkWanted  bool          // the host list shows the upstream as cold, and no health check has succeeded since then

	checkPending   bool          // a health check became due, and none has succeeded since then; calls are refused at first
	checkRejected  bool          // since checkPending was set, the upstream has refused one as it refuses calls
	checkRequested chan struct{} // wakes runHealthChecks after healthInterval
	confirmDue     chan struct{} // wakes runHealthChecks at once
	events         int           // that may have made the upstream cold; a check answers for those before its start
	pendingSince   time.Time     // when checkPending was set
	// mayMissConfiguration means that the failure domain may be out of service without this node's knowledge.
	mayMissConfiguration bool
	lastEvent            time.Time // latest event that may have made the upstream cold; zero once a check answers for all
	down                 bool      // all connections were lost, and no health check has succeeded since then
}

func newOwnUpstream(set Settings, clo core.Clock, que *upstreamQueue) *ownUpstream {
	oup := &ownUpstream{
		settings: set, clock: clo, queue: que, checkPending: true, pendingSince: clo.Now(),
		checkRequested: make(chan struct{}, 1), confirmDue: make(chan struct{}, 1), lastEvent: clo.Now(),
	}
	que.checkDue = func() { wake(oup.confirmDue) }
	return oup
}

// wake wakes the reader of a channel with a buffer of one, without blocking.
func wake(woken chan struct{}) {
	select {
	case woken <- struct{}{}:
	default:
	}
}

// applySnapshot applies what a new configuration says about this host.
func (oup *ownUpstream) applySnapshot(now time.Time, sna *decl.Snapshot) {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	if ser := sna.Service(oup.settings.Service); ser != nil {
		if oup.coldRate == 0 && ser.ColdRate() > 0 {
			oup.recordEvent(now) // what checks have said so far was not applied
		}
		oup.healthPath, oup.coldRate, oup.coldDuration = ser.HealthPath(), ser.ColdRate(), ser.ColdDuration()
		if oup.coldRate > 0 {
			oup.queue.setColdRate(oup.coldRate)
		}
	}
	dom := sna.Domain(oup.settings.Domain)
	domainOut := dom != nil && dom.OutOfService()
	if oup.domainOut && !domainOut {
		oup.requireCheck(now, "evacuation ended")
	}
	oup.domainOut = domainOut
	hos := sna.Hosts().Host(oup.settings.Host)
	wasListed := oup.listed
	oup.listed = hos != nil && hos.Service() == oup.settings.Service
	if oup.listed && (!wasListed || hos.Instance() != oup.instance) {
		oup.recordEvent(now)
	}
	oup.updateConfirmation(now)
	if !oup.listed {
		return
	}
	oup.leaving = hos.Leaving()
	if hos.Slots() > 0 {
		oup.queue.setSlots(hos.Slots())
	}
	if hos.Instance() != oup.instance {
		oup.instance = hos.Instance()
		oup.settings.Upstream.PinInstance(oup.instance)
	}
	// Host lists come from different readers of the registry, so a newer list may show an older observation again.
	if hos.ColdVersion() > oup.coldVersion && oup.coldRate > 0 {
		oup.coldVersion = hos.ColdVersion()
		oup.listedCold(now, hos.ColdRemaining())
	}
}

// listedCold applies that the host list shows the upstream as cold. The remaining time counts from when the upstream
// wrote it, up to seconds ago, so a health check asks the upstream itself, also within a cold time that is known: the
// upstream may have become cold again. The caller holds the lock.
func (oup *ownUpstream) listedCold(now time.Time, remaining time.Duration) {
	if until := now.Add(remaining + coldMargin); until.After(oup.coldUntil) {
		oup.coldUntil = until
		oup.queue.setCold(until, oup.coldRate)
	}
	oup.checkWanted = true
	oup.recordEvent(now)
	oup.updateConfirmation(now)
	wake(oup.confirmDue)
	oup.settings.EventLog.Note("upstream cold", "", map[string]any{
		"instance": oup.instance, "for_ms": remaining.Milliseconds(), "version": oup.coldVersion, "sent_last_s": oup.queue.sentLastSecond(),
	})
}

// requireCheck makes a health check due. The caller holds the lock.
func (oup *ownUpstream) requireCheck(now time.Time, reason string) {
	oup.recordEvent(now)
	oup.updateConfirmation(now)
	if !oup.checkPending {
		oup.checkPending, oup.checkRejected, oup.pendingSince = true, false, now
		wake(oup.checkRequested)
		oup.settings.EventLog.Note("upstream asked for its health", "", map[string]any{"why": reason, "sent_last_s": oup.queue.sentLastSecond()})
	}
}

// recordEvent records an event that may have made the upstream cold. The caller holds the lock and calls updateConfirmation.
func (oup *ownUpstream) recordEvent(now time.Time) {
	oup.events++
	oup.lastEvent = now
}

// setMayMissConfiguration sets whether changes of the configuration may not reach this node in time. Upstreams get cold while
// their failure domain is out of service.
func (oup *ownUpstream) setMayMissConfiguration(mayMiss bool) {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	if mayMiss == oup.mayMissConfiguration {
		return
	}
	oup.mayMissConfiguration = mayMiss
	now := oup.clock.Now()
	oup.recordEvent(now) // at the end too: an evacuation may have begun and ended meanwhile
	oup.updateConfirmation(now)
	oup.settings.EventLog.Note("configuration may be missed", "", map[string]any{"may_be": mayMiss, "sent_last_s": oup.queue.sentLastSecond()})
}

// updateConfirmation tells the queue whether the upstream may be cold although nothing shows it as cold. After the latest
// event it stays cold for coldDuration at most. The caller holds the lock.
func (oup *ownUpstream) updateConfirmation(now time.Time) {
	sinceEvent := !oup.lastEvent.IsZero() && (oup.coldDuration == 0 || now.Sub(oup.lastEvent) < oup.coldDuration)
	oup.queue.setUnconfirmed((oup.mayMissConfiguration || sinceEvent) && oup.coldRate > 0 && oup.healthPath != "")
}

// connectionsLost records that the upstream does not listen or that all connections to it were lost.
func (oup *ownUpstream) connectionsLost() {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	if !oup.down {
		oup.settings.EventLog.Note("upstream lost", "", map[string]any{"instance": oup.instance})
	}
	oup.down = true
	oup.requireCheck(oup.clock.Now(), "connections lost")
}

// connectionLost records that a connection was lost or could not be established. Until a health check shows whether the
// upstream has started again, it is unconfirmed; calls are not refused for that.
func (oup *ownUpstream) connectionLost() {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	now := oup.clock.Now()
	oup.recordEvent(now)
	oup.updateConfirmation(now)
}

// refusal returns why no call may be sent to the upstream now, or nil if calls may be sent.
func (oup *ownUpstream) refusal() *core.Refusal {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	switch {
	case oup.domainOut:
		return refuse(core.ReasonDomainOutOfService, "failure domain %q is out of service", oup.settings.Domain)
	case !oup.listed, oup.leaving:
		return refuse(core.ReasonDraining, "the upstream is leaving or is not on the host list")
	case oup.down:
		return refuse(core.ReasonNoUpstream, "the upstream does not listen or all connections to it were lost")
	case oup.checkPending && !oup.checkRejected && oup.clock.Now().Sub(oup.pendingSince) < unknownHealthTimeout:
		return refuse(core.ReasonNoUpstream, "the upstream has not answered a health check yet, so it may be cold")
	}
	return nil
}

func (oup *ownUpstream) unavailable() bool {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	return oup.down || oup.domainOut || oup.leaving || !oup.listed
}

// runHealthChecks sends health checks to the upstream while one is due or wanted, until ctx ends.
func (oup *ownUpstream) runHealthChecks(ctx context.Context) {
	timer := time.NewTimer(healthInterval)
	defer timer.Stop()
	var retryAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-oup.checkRequested:
			timer.Reset(healthInterval)
			continue
		case <-oup.confirmDue:
			if oup.clock.Now().Before(retryAt) {
				continue
			}
		case <-timer.C:
		}
		path, pending := oup.pendingCheck()
		if !pending {
			continue
		}
		answered := path != "" && oup.checkHealth(ctx, path)
		if _, pending = oup.pendingCheck(); !pending {
			continue
		}
		if answered {
			wake(oup.confirmDue)
			continue
		}
		retryAt = oup.clock.Now().Add(healthInterval)
		timer.Reset(healthInterval)
	}
}

// pendingCheck returns the path of health checks and whether one is due or wanted.
func (oup *ownUpstream) pendingCheck() (path string, pending bool) {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	oup.updateConfirmation(oup.clock.Now())
	return oup.healthPath, oup.checkPending || oup.checkWanted || oup.queue.needsCheck()
}

// checkHealth makes one health check and reports whether its answer told the state of the upstream.
func (oup *ownUpstream) checkHealth(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	oup.mut.Lock()
	events, granted := oup.events, oup.queue.granted()
	oup.mut.Unlock()
	hea, err := oup.settings.Upstream.Health(ctx, path)
	oup.mut.Lock()
	defer oup.mut.Unlock()
	if hea.Instance() != "" {
		oup.settings.Upstream.PinInstance(hea.Instance())
	}
	if err != nil || hea.Rejected() {
		if err == nil {
			if oup.down { // it may have started at any time until now
				oup.recordEvent(oup.clock.Now())
			}
			oup.checkRejected, oup.down = true, false
		}
		oup.queue.checkFailed()
		return false
	}
	now := oup.clock.Now()
	remaining := hea.ColdRemaining()
	if remaining > 0 {
		remaining += coldMargin
	}
	answersAll := events == oup.events
	if oup.coldRate > 0 && (answersAll || remaining > 0) {
		if until := now.Add(remaining); answersAll || until.After(oup.coldUntil) {
			oup.coldUntil = until
		}
		oup.queue.setCold(oup.coldUntil, oup.coldRate)
	}
	if oup.coldRate > 0 && remaining == 0 {
		oup.queue.confirm(granted)
	}
	// Checks that only confirm a warm upstream are too many for the log.
	awaited := oup.checkPending || oup.checkWanted
	if answersAll {
		oup.checkPending, oup.checkWanted, oup.down, oup.lastEvent = false, false, false, time.Time{}
	}
	oup.updateConfirmation(now)
	if !awaited && remaining == 0 {
		return true
	}
	oup.settings.EventLog.Note("upstream answers", "", map[string]any{
		"instance": hea.Instance(), "serving": hea.Serving(), "cold_ms": remaining.Milliseconds(),
		"sent_last_s": oup.queue.sentLastSecond(),
	})
	return true
}

// instanceMismatch records that another instance than the expected one answered a call.
func (oup *ownUpstream) instanceMismatch() {
	oup.mut.Lock()
	defer oup.mut.Unlock()
	oup.requireCheck(oup.clock.Now(), "another instance answered")
}
