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
	unknownTime = time.Second
	downTime    = 5 * time.Second // expected time that a host without upstream reports
)

// own is what this node knows of the upstream beside it. The host list lags, so a node asks the upstream itself after
// each event that may have replaced it or made it cold: its own start, a lost upstream, and the end of an evacuation.
type own struct {
	set   Settings
	clock core.Clock
	lane  *lane

	mut      sync.Mutex
	listed   bool
	leaving  bool
	out      bool
	instance string // that the list named last
	coldAt   uint64 // newest observation of the list that the upstream is cold
	health   string // path
	coldRate float64
	asking   bool // a health check must succeed before calls are sent
	wake     chan struct{}
	since    time.Time // of asking
	down     bool
}

func newOwn(set Settings, clo core.Clock, lan *lane) *own {
	return &own{set: set, clock: clo, lane: lan, asking: true, since: clo.Now(), wake: make(chan struct{}, 1)}
}

// update takes what a new configuration says about this host.
func (ow *own) update(now time.Time, sna *decl.Snapshot) {
	ow.mut.Lock()
	defer ow.mut.Unlock()
	if ser := sna.Service(ow.set.Service); ser != nil {
		ow.health, ow.coldRate = ser.HealthPath(), ser.ColdRate()
	}
	dom := sna.Domain(ow.set.Domain)
	out := dom != nil && dom.OutOfService()
	if ow.out && !out {
		ow.ask(now, "evacuation ended")
	}
	ow.out = out
	hos := sna.Hosts().Host(ow.set.Host)
	ow.listed = hos != nil && hos.Service() == ow.set.Service
	if !ow.listed {
		return
	}
	ow.leaving = hos.Leaving()
	if hos.Slots() > 0 {
		ow.lane.setSlots(hos.Slots())
	}
	if hos.Instance() != ow.instance {
		ow.instance = hos.Instance()
		ow.set.Upstream.PinInstance(ow.instance)
	}
	// Lists of different readers may show an old observation again.
	if hos.ColdVersion() > ow.coldAt && ow.coldRate > 0 {
		ow.coldAt = hos.ColdVersion()
		ow.lane.setCold(now.Add(hos.ColdRemaining()), ow.coldRate)
		ow.set.EventLog.Note("upstream cold", "", map[string]any{"instance": ow.instance, "for_ms": hos.ColdRemaining().Milliseconds(), "version": ow.coldAt})
	}
}

// ask requires a health check. The caller holds the lock.
func (ow *own) ask(now time.Time, why string) {
	if !ow.asking {
		ow.asking, ow.since = true, now
		select {
		case ow.wake <- struct{}{}:
		default:
		}
		ow.set.EventLog.Note("upstream asked for its health", "", map[string]any{"why": why})
	}
}

// crashed records that the upstream does not listen or lost all its connections.
func (ow *own) crashed() {
	ow.mut.Lock()
	defer ow.mut.Unlock()
	if !ow.down {
		ow.set.EventLog.Note("upstream lost", "", map[string]any{"instance": ow.instance})
	}
	ow.down = true
	ow.ask(ow.clock.Now(), "connections lost")
}

// check refuses calls that the upstream must not get now.
func (ow *own) check() *core.Refusal {
	ow.mut.Lock()
	defer ow.mut.Unlock()
	switch {
	case ow.out:
		return refuse(core.ReasonDomainOutOfService, "failure domain %q has been taken out", ow.set.Domain)
	case !ow.listed, ow.leaving:
		return refuse(core.ReasonDraining, "the upstream leaves or is not on the host list")
	case ow.down:
		return refuse(core.ReasonNoUpstream, "the upstream does not listen")
	case ow.asking && ow.clock.Now().Sub(ow.since) < unknownTime:
		return refuse(core.ReasonNoUpstream, "the upstream has not yet said whether it is cold")
	}
	return nil
}

func (ow *own) unavailable() bool {
	ow.mut.Lock()
	defer ow.mut.Unlock()
	return ow.down || ow.out || ow.leaving || !ow.listed
}

// run asks the upstream for its health while that is required.
func (ow *own) run(ctx context.Context) {
	tick := time.NewTimer(healthInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.wake:
		case <-tick.C:
			path, asking := ow.due()
			if asking && path != "" {
				ow.probe(ctx, path)
			}
			if _, asking = ow.due(); !asking {
				continue // until the next event that requires a check
			}
		}
		tick.Reset(healthInterval)
	}
}

func (ow *own) due() (path string, asking bool) {
	ow.mut.Lock()
	defer ow.mut.Unlock()
	return ow.health, ow.asking
}

func (ow *own) probe(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	hea, err := ow.set.Upstream.Health(ctx, path)
	if err != nil {
		return
	}
	ow.mut.Lock()
	defer ow.mut.Unlock()
	now := ow.clock.Now()
	cold := hea.ColdRemaining()
	if hea.Instance() != "" {
		ow.set.Upstream.PinInstance(hea.Instance())
	}
	if ow.coldRate > 0 {
		ow.lane.setCold(now.Add(cold), ow.coldRate)
	}
	ow.asking, ow.down = false, false
	ow.set.EventLog.Note("upstream answers", "", map[string]any{
		"instance": hea.Instance(), "serving": hea.Serving(), "cold_ms": cold.Milliseconds(),
	})
}

// replaced takes the instance that answered a call that was meant for another one.
func (ow *own) replaced() {
	ow.mut.Lock()
	defer ow.mut.Unlock()
	ow.ask(ow.clock.Now(), "another instance answered")
}
