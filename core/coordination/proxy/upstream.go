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
	// unknownHealthTimeout is how long calls are refused for want of a successful health check. After that they are
	// sent if the host list shows the upstream and it is not known to be down.
	unknownHealthTimeout = time.Second
	// unavailableLatency is the expected latency that a host reports while its upstream takes no calls.
	unavailableLatency = 5 * time.Second
)

// localUpstream holds what this node knows of the upstream on its host. The host list lags, so the node sends a health
// check to the upstream after each event that may have replaced it or made it cold: the start of the node, the loss of
// all connections, an answer of another instance, and the return of the failure domain to service.
type localUpstream struct {
	settings Settings
	clock    core.Clock
	queue    *upstreamQueue

	mut            sync.Mutex
	listed         bool   // the host list has this host for this service
	leaving        bool   // the host list shows this host as leaving
	domainOut      bool   // the failure domain is out of service
	instance       string // as the host list named it last
	coldVersion    uint64 // newest version under which the host list showed the upstream as cold
	healthPath     string
	coldRate       float64       // requests per second while cold; 0 if the service declares none
	checkPending   bool          // a health check is due and none has succeeded since
	checkRequested chan struct{} // wakes runHealthChecks
	pendingSince   time.Time     // when checkPending was set
	down           bool          // all connections were lost, and no health check has succeeded since
}

func newLocalUpstream(set Settings, clo core.Clock, que *upstreamQueue) *localUpstream {
	return &localUpstream{settings: set, clock: clo, queue: que, checkPending: true, pendingSince: clo.Now(), checkRequested: make(chan struct{}, 1)}
}

// applySnapshot takes what a new configuration says about this host.
func (lup *localUpstream) applySnapshot(now time.Time, sna *decl.Snapshot) {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	if ser := sna.Service(lup.settings.Service); ser != nil {
		lup.healthPath, lup.coldRate = ser.HealthPath(), ser.ColdRate()
	}
	dom := sna.Domain(lup.settings.Domain)
	domainOut := dom != nil && dom.OutOfService()
	if lup.domainOut && !domainOut {
		lup.requireCheck(now, "evacuation ended")
	}
	lup.domainOut = domainOut
	hos := sna.Hosts().Host(lup.settings.Host)
	lup.listed = hos != nil && hos.Service() == lup.settings.Service
	if !lup.listed {
		return
	}
	lup.leaving = hos.Leaving()
	if hos.Slots() > 0 {
		lup.queue.setSlots(hos.Slots())
	}
	if hos.Instance() != lup.instance {
		lup.instance = hos.Instance()
		lup.settings.Upstream.PinInstance(lup.instance)
	}
	// Host lists come from different readers of the registry, so a newer list may show an older observation again.
	if hos.ColdVersion() > lup.coldVersion && lup.coldRate > 0 {
		lup.coldVersion = hos.ColdVersion()
		lup.queue.setCold(now.Add(hos.ColdRemaining()), lup.coldRate)
		lup.settings.EventLog.Note("upstream cold", "", map[string]any{"instance": lup.instance, "for_ms": hos.ColdRemaining().Milliseconds(), "version": lup.coldVersion})
	}
}

// requireCheck makes a health check due. The caller holds the lock.
func (lup *localUpstream) requireCheck(now time.Time, reason string) {
	if !lup.checkPending {
		lup.checkPending, lup.pendingSince = true, now
		select {
		case lup.checkRequested <- struct{}{}:
		default:
		}
		lup.settings.EventLog.Note("upstream asked for its health", "", map[string]any{"why": reason})
	}
}

// connectionsLost records that the upstream does not listen or that all connections to it were lost.
func (lup *localUpstream) connectionsLost() {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	if !lup.down {
		lup.settings.EventLog.Note("upstream lost", "", map[string]any{"instance": lup.instance})
	}
	lup.down = true
	lup.requireCheck(lup.clock.Now(), "connections lost")
}

// refusal returns why no call may be sent to the upstream now, or nil.
func (lup *localUpstream) refusal() *core.Refusal {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	switch {
	case lup.domainOut:
		return refuse(core.ReasonDomainOutOfService, "failure domain %q is out of service", lup.settings.Domain)
	case !lup.listed, lup.leaving:
		return refuse(core.ReasonDraining, "the upstream is leaving or is not on the host list")
	case lup.down:
		return refuse(core.ReasonNoUpstream, "the upstream does not listen or all connections to it were lost")
	case lup.checkPending && lup.clock.Now().Sub(lup.pendingSince) < unknownHealthTimeout:
		return refuse(core.ReasonNoUpstream, "the upstream has not answered a health check yet, so it may be cold")
	}
	return nil
}

func (lup *localUpstream) unavailable() bool {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	return lup.down || lup.domainOut || lup.leaving || !lup.listed
}

// runHealthChecks sends health checks to the upstream while one is due, until ctx ends.
func (lup *localUpstream) runHealthChecks(ctx context.Context) {
	timer := time.NewTimer(healthInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lup.checkRequested:
		case <-timer.C:
			path, pending := lup.pendingCheck()
			if pending && path != "" {
				lup.checkHealth(ctx, path)
			}
			if _, pending = lup.pendingCheck(); !pending {
				continue // without a timer, until the next event that requires a check
			}
		}
		timer.Reset(healthInterval)
	}
}

func (lup *localUpstream) pendingCheck() (path string, pending bool) {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	return lup.healthPath, lup.checkPending
}

func (lup *localUpstream) checkHealth(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	hea, err := lup.settings.Upstream.Health(ctx, path)
	if err != nil {
		return
	}
	lup.mut.Lock()
	defer lup.mut.Unlock()
	now := lup.clock.Now()
	remaining := hea.ColdRemaining()
	if hea.Instance() != "" {
		lup.settings.Upstream.PinInstance(hea.Instance())
	}
	if lup.coldRate > 0 {
		lup.queue.setCold(now.Add(remaining), lup.coldRate)
	}
	lup.checkPending, lup.down = false, false
	lup.settings.EventLog.Note("upstream answers", "", map[string]any{
		"instance": hea.Instance(), "serving": hea.Serving(), "cold_ms": remaining.Milliseconds(),
	})
}

// instanceMismatch records that another instance than the expected one answered a call.
func (lup *localUpstream) instanceMismatch() {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	lup.requireCheck(lup.clock.Now(), "another instance answered")
}
