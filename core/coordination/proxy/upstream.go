package proxy

import (
	"context"
	"sync"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
)

const (
	healthInterval = 100 * time.Millisecond // between health checks while the state of the upstream is not known
	healthTimeout  = 400 * time.Millisecond
	// unknownTime is how long calls wait for a first health check when the host list already shows the upstream.
	unknownHealthTimeout = time.Second
	unavailableLatency   = 5 * time.Second // expected time that a host without upstream reports
)

// own is what this node knows of the upstream beside it. The host list lags, so a node asks the upstream itself after
// each event that may have replaced it or made it cold: its own start, a lost upstream, and the end of an evacuation.
type localUpstream struct {
	settings Settings
	clock    core.Clock
	queue    *upstreamQueue

	mut            sync.Mutex
	listed         bool
	leaving        bool
	domainOut      bool
	instance       string // that the list named last
	coldVersion    uint64 // newest observation of the list that the upstream is cold
	healthPath     string // path
	coldRate       float64
	checkPending   bool // a health check must succeed before calls are sent
	checkRequested chan struct{}
	pendingSince   time.Time // of asking
	down           bool
}

func newLocalUpstream(set Settings, clo core.Clock, que *upstreamQueue) *localUpstream {
	return &localUpstream{settings: set, clock: clo, queue: que, checkPending: true, pendingSince: clo.Now(), checkRequested: make(chan struct{}, 1)}
}

// update takes what a new configuration says about this host.
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
	// Lists of different readers may show an old observation again.
	if hos.ColdVersion() > lup.coldVersion && lup.coldRate > 0 {
		lup.coldVersion = hos.ColdVersion()
		lup.queue.setCold(now.Add(hos.ColdRemaining()), lup.coldRate)
		lup.settings.EventLog.Note("upstream cold", "", map[string]any{"instance": lup.instance, "for_ms": hos.ColdRemaining().Milliseconds(), "version": lup.coldVersion})
	}
}

// ask requires a health check. The caller holds the lock.
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

// crashed records that the upstream does not listen or lost all its connections.
func (lup *localUpstream) connectionsLost() {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	if !lup.down {
		lup.settings.EventLog.Note("upstream lost", "", map[string]any{"instance": lup.instance})
	}
	lup.down = true
	lup.requireCheck(lup.clock.Now(), "connections lost")
}

// check refuses calls that the upstream must not get now.
func (lup *localUpstream) refusal() *core.Refusal {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	switch {
	case lup.domainOut:
		return refuse(core.ReasonDomainOutOfService, "failure domain %q has been taken out", lup.settings.Domain)
	case !lup.listed, lup.leaving:
		return refuse(core.ReasonDraining, "the upstream leaves or is not on the host list")
	case lup.down:
		return refuse(core.ReasonNoUpstream, "the upstream does not listen")
	case lup.checkPending && lup.clock.Now().Sub(lup.pendingSince) < unknownHealthTimeout:
		return refuse(core.ReasonNoUpstream, "the upstream has not yet said whether it is cold")
	}
	return nil
}

func (lup *localUpstream) unavailable() bool {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	return lup.down || lup.domainOut || lup.leaving || !lup.listed
}

// run asks the upstream for its health while that is required.
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
				continue // until the next event that requires a check
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

// replaced takes the instance that answered a call that was meant for another one.
func (lup *localUpstream) instanceMismatch() {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	lup.requireCheck(lup.clock.Now(), "another instance answered")
}
