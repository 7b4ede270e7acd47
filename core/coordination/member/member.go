package member

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
)

const (
	// A phase becomes unknown when this time has passed without an observation that confirms it.
	upLifetime      = 3 * time.Second // three of the longest probe intervals
	downLifetime    = 10 * time.Second
	leavingLifetime = time.Minute

	unlistedLifetime    = time.Minute // a host that is not on the list is kept this long after its last successful call
	idleServiceLifetime = time.Minute // connections to a service are kept this long after its last call

	// For these times, an observation that a host is up is ignored, because it may be older than the drain or failure:
	// probes and answers that were sent before a drain may still arrive, and probes that were answered before a failure
	// may still be reported.
	drainSettleTime   = 2 * time.Second
	failureSettleTime = time.Second

	warmUpTime        = 5 * time.Second
	initialWeight     = 0.1 // at the start of the warm-up
	localConnections  = 4   // to hosts of the local failure domain, for each called service
	remoteConnections = 2   // to hosts of other failure domains, for each called service
)

// Settings describe the node that holds the view.
type Settings struct {
	Host    string // ID of this node's host
	Domain  string
	Service string
}

// Candidate is a host that may serve a call.
type Candidate struct {
	host   string
	domain string
	load   float64
	local  bool
	weight float64
}

// NewCandidate returns a candidate; weight is the fraction of its usual calls that it should get, in (0,1].
func NewCandidate(host, domain string, load float64, local bool, weight float64) Candidate {
	return Candidate{host: host, domain: domain, load: load, local: local, weight: weight}
}

// Host returns the host's ID.
func (can Candidate) Host() string { return can.host }

// Domain returns the host's failure domain.
func (can Candidate) Domain() string { return can.domain }

// Load returns the load that the host last reported.
func (can Candidate) Load() float64 { return can.load }

// Local reports whether the host is in the local failure domain.
func (can Candidate) Local() bool { return can.local }

// Weight returns the fraction of its usual calls that the host should get; it is below 1 while the host warms up.
func (can Candidate) Weight() float64 { return can.weight }

// hostRecord is what the node observed about one host. The request path reads and writes it without a lock. Times are in
// nanoseconds since the Unix epoch.
type hostRecord struct {
	id          string
	phase       atomic.Uint32
	confirmedAt atomic.Int64  // newest observation that confirms the phase
	phaseSince  atomic.Int64  // start of the phase
	lastSuccess atomic.Int64  // last successful call
	loadBits    atomic.Uint64 // the last reported load, as the bits of a float64
	warmUpStart atomic.Int64  // start of the last warm-up, or 0 if the host never had to warm up
}

// currentPhase returns the phase, or unknown if no observation has confirmed it within its lifetime.
func (rec *hostRecord) currentPhase(now time.Time) phase {
	pha := phase(rec.phase.Load())
	if elapsed(now, &rec.confirmedAt) > pha.lifetime() {
		return phaseUnknown
	}
	return pha
}

func elapsed(now time.Time, at *atomic.Int64) time.Duration {
	return time.Duration(now.UnixNano() - at.Load())
}

func (rec *hostRecord) weight(now time.Time) float64 {
	if rec.warmUpStart.Load() == 0 {
		return 1
	}
	progress := float64(elapsed(now, &rec.warmUpStart)) / float64(warmUpTime)
	return min(max(progress, initialWeight), 1)
}

// hostEntry is a host as the current host list and declarations describe it; it is not changed once it is published.
type hostEntry struct {
	*hostRecord
	domain       string
	service      string
	addr         string
	listed       bool
	retained     bool // missing on a list that is too short to be trusted
	leaving      bool // according to the host list
	outOfService bool // its failure domain is out of service
	local        bool // in the local failure domain
	inRateGroup  bool // in this node's rate group, which is part of the local failure domain
}

// inFleet reports whether the host is listed, is retained or has recently answered a call.
func (ent *hostEntry) inFleet(now time.Time) bool {
	return ent.listed || ent.retained || elapsed(now, &ent.lastSuccess) < unlistedLifetime
}

// hostTable indexes the entries; it is replaced as a whole.
type hostTable struct {
	hosts     map[string]*hostEntry
	services  map[string][]*hostEntry  // by name; first the hosts that this node prefers to connect to
	lastCalls map[string]*atomic.Int64 // by service, in nanoseconds since the Unix epoch
}

// View is the node's view of all hosts.
type View struct {
	settings Settings
	table    atomic.Pointer[hostTable]

	mut         sync.Mutex // guards the fields below, and changes of the table and of phases
	phases      *phaseMachine
	neighbours  []string
	hasSnapshot bool
}

// New returns a view without hosts.
func New(set Settings) *View {
	vie := &View{settings: set, phases: newPhaseMachine()}
	vie.table.Store(&hostTable{})
	return vie
}

// SetNeighbours sets the hosts with which this node exchanges configuration; connections to them are kept open.
func (vie *View) SetNeighbours(hosts []string) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	vie.neighbours = slices.Clone(hosts)
}

// SetSnapshot applies a new host list and new declarations. If the list has less than half as many hosts as the view,
// the hosts missing on it are kept as long as they answer: an empty list must not empty the fleet.
func (vie *View) SetSnapshot(now time.Time, snap *decl.Snapshot) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	old := vie.table.Load()
	hosts := map[string]*hostEntry{}
	for _, hst := range snap.Hosts().All() {
		hosts[hst.ID()] = &hostEntry{
			hostRecord: vie.recordFor(now, old, hst.ID()), domain: hst.Domain(), service: hst.Service(), addr: hst.PeerAddr(),
			listed: true, leaving: hst.Leaving(),
		}
	}
	tooShort := 2*len(hosts) < old.countExpected()
	for id, ent := range old.hosts {
		if hosts[id] == nil {
			kept := *ent
			kept.listed, kept.retained = false, tooShort && (ent.listed || ent.retained)
			hosts[id] = &kept
		}
	}
	for id, ent := range hosts {
		vie.applyDeclarations(now, snap, old.hosts[id], ent)
	}
	vie.hasSnapshot = true
	vie.publish(now, hosts, old)
}

// countExpected returns the number of hosts that a new list is compared with to find whether it is too short.
func (tab *hostTable) countExpected() int {
	count := 0
	for _, ent := range tab.hosts {
		if ent.listed || ent.retained {
			count++
		}
	}
	return count
}

// recordFor returns the record of a host. A host that joins after the first host list has to warm up.
func (vie *View) recordFor(now time.Time, old *hostTable, id string) *hostRecord {
	if ent := old.hosts[id]; ent != nil {
		return ent.hostRecord
	}
	rec := &hostRecord{id: id}
	if vie.hasSnapshot {
		rec.warmUpStart.Store(now.UnixNano())
	}
	return rec
}

// applyDeclarations sets the fields that depend on the declarations. A host whose failure domain returns to service has
// to warm up.
func (vie *View) applyDeclarations(now time.Time, snap *decl.Snapshot, before, ent *hostEntry) {
	ent.local = ent.domain == vie.settings.Domain
	ent.outOfService, ent.inRateGroup = false, false
	if dom := snap.Domain(ent.domain); dom != nil {
		ent.outOfService = dom.OutOfService()
		ent.inRateGroup = ent.local && decl.RateGroup(ent.id, dom.RateGroups()) == decl.RateGroup(vie.settings.Host, dom.RateGroups())
	}
	if before != nil && before.outOfService && !ent.outOfService {
		ent.warmUpStart.Store(now.UnixNano())
	}
}

// publish replaces the table by one without the hosts that are gone.
func (vie *View) publish(now time.Time, hosts map[string]*hostEntry, old *hostTable) {
	tab := &hostTable{hosts: map[string]*hostEntry{}, services: map[string][]*hostEntry{}, lastCalls: map[string]*atomic.Int64{}}
	idsByService := map[string][]string{}
	for id, ent := range hosts {
		if vie.isGone(now, ent) {
			continue
		}
		tab.hosts[id] = ent
		idsByService[ent.service] = append(idsByService[ent.service], id)
	}
	for service, ids := range idsByService {
		for _, id := range decl.RendezvousOrder(vie.settings.Host+"/"+service, ids) {
			tab.services[service] = append(tab.services[service], tab.hosts[id])
		}
		tab.lastCalls[service] = old.lastCalls[service]
		if tab.lastCalls[service] == nil {
			tab.lastCalls[service] = &atomic.Int64{}
		}
	}
	vie.table.Store(tab)
}

// isGone reports whether a host no longer belongs to the fleet. A retained host is gone once it has not answered for a
// minute: the host list that does not contain it was then right.
func (vie *View) isGone(now time.Time, ent *hostEntry) bool {
	if !ent.inFleet(now) {
		return true
	}
	unresponsive := vie.phaseAt(now, ent) != phaseUp && elapsed(now, &ent.confirmedAt) > unlistedLifetime && elapsed(now, &ent.lastSuccess) > unlistedLifetime
	return ent.retained && unresponsive
}

func (vie *View) hasGoneHosts(now time.Time, tab *hostTable) bool {
	for _, ent := range tab.hosts {
		if vie.isGone(now, ent) {
			return true
		}
	}
	return false
}

// phaseAt returns the phase of a host; the node itself is up unless it is leaving.
func (vie *View) phaseAt(now time.Time, ent *hostEntry) phase {
	if ent.id == vie.settings.Host && phase(ent.phase.Load()) != phaseLeaving {
		return phaseUp
	}
	return ent.currentPhase(now)
}

// Observe records the state of the connection to a host as its probes show it. It must be called at least once a second
// for each connection, because a host without an observation for 3 s no longer counts as up.
func (vie *View) Observe(now time.Time, host string, pst core.PeerState) {
	ent := vie.table.Load().hosts[host]
	if ent == nil || !pst.Known() {
		return
	}
	if !pst.Up() {
		vie.applyEvent(now, ent, eventFailed)
		return
	}
	ent.loadBits.Store(math.Float64bits(pst.Load()))
	pha := phase(ent.phase.Load())
	switch {
	case pst.Leaving():
		vie.applyEvent(now, ent, eventDrained)
	case pha == phaseLeaving && elapsed(now, &ent.phaseSince) >= drainSettleTime:
		vie.applyEvent(now, ent, eventReturned)
	case pha == phaseUp, pha == phaseUnknown, elapsed(now, &ent.confirmedAt) >= failureSettleTime:
		vie.applyEvent(now, ent, eventAnswered)
	}
}

// ObserveSuccess records a successful call. It does not bring back a host that has just failed or is leaving, because
// the answer may be older than the failure or the drain.
func (vie *View) ObserveSuccess(now time.Time, host string) {
	ent := vie.table.Load().hosts[host]
	if ent == nil {
		return
	}
	ent.lastSuccess.Store(now.UnixNano())
	switch phase(ent.phase.Load()) {
	case phaseUp:
		ent.confirmedAt.Store(now.UnixNano())
	case phaseLeaving:
	case phaseDown:
		if elapsed(now, &ent.phaseSince) >= failureSettleTime {
			vie.applyEvent(now, ent, eventAnswered)
		}
	default:
		vie.applyEvent(now, ent, eventAnswered)
	}
}

// ObserveLoad records the load that a host reported with an answer.
func (vie *View) ObserveLoad(host string, load float64) {
	if ent := vie.table.Load().hosts[host]; ent != nil {
		ent.loadBits.Store(math.Float64bits(load))
	}
}

// ObserveConnFailed records a refused or failed connection; the host counts as up again after a successful probe.
func (vie *View) ObserveConnFailed(now time.Time, host string) {
	vie.observeEvent(now, host, eventFailed)
}

// ObserveSilent records a connection that went silent; the host counts as up again once a new connection answers.
func (vie *View) ObserveSilent(now time.Time, host string) { vie.observeEvent(now, host, eventSilent) }

// ObserveLeaving records that a host is leaving or draining, as an answer or a refusal with the reason draining showed.
func (vie *View) ObserveLeaving(now time.Time, host string) {
	vie.observeEvent(now, host, eventDrained)
}

func (vie *View) observeEvent(now time.Time, host, event string) {
	if ent := vie.table.Load().hosts[host]; ent != nil {
		vie.applyEvent(now, ent, event)
	}
}

// applyEvent moves a host to its next phase. A host that was down or leaving and is up again has to warm up.
func (vie *View) applyEvent(now time.Time, ent *hostEntry, event string) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	stored := phase(ent.phase.Load())
	from := stored
	if elapsed(now, &ent.confirmedAt) > from.lifetime() {
		from = vie.phases.next(from, eventExpired)
	}
	next := vie.phases.next(from, event)
	if next == phaseUp && (stored == phaseDown || stored == phaseLeaving) {
		ent.warmUpStart.Store(now.UnixNano())
	}
	if next != stored {
		ent.phaseSince.Store(now.UnixNano())
	}
	if confirms(event, next) {
		ent.confirmedAt.Store(now.UnixNano())
	}
	ent.phase.Store(uint32(next))
}

// confirms reports whether an event confirms a phase, so that the lifetime of the phase starts again. A failed
// connection to a leaving host does not show whether it is still leaving.
func confirms(event string, pha phase) bool {
	switch pha {
	case phaseUp:
		return event == eventAnswered || event == eventReturned
	case phaseLeaving:
		return event == eventDrained
	}
	return event == eventFailed || event == eventSilent
}

// Candidates returns the hosts that may get new calls of a service: those that are up or, if there are none, those
// whose phase is unknown.
func (vie *View) Candidates(now time.Time, service string) []Candidate {
	tab := vie.table.Load()
	if lastCall := tab.lastCalls[service]; lastCall != nil {
		lastCall.Store(now.UnixNano())
	}
	if out := vie.candidatesInPhase(now, tab.services[service], phaseUp); len(out) > 0 {
		return out
	}
	return vie.candidatesInPhase(now, tab.services[service], phaseUnknown)
}

func (vie *View) candidatesInPhase(now time.Time, ents []*hostEntry, want phase) []Candidate {
	var out []Candidate
	for _, ent := range ents {
		if ent.leaving || ent.outOfService || vie.phaseAt(now, ent) != want || !ent.inFleet(now) {
			continue
		}
		load := math.Float64frombits(ent.loadBits.Load())
		out = append(out, Candidate{host: ent.id, domain: ent.domain, load: load, local: ent.local, weight: ent.weight(now)})
	}
	return out
}

// Reachable reports whether a host answers probes or calls.
func (vie *View) Reachable(now time.Time, host string) bool {
	ent := vie.table.Load().hosts[host]
	if ent == nil {
		return false
	}
	pha := vie.phaseAt(now, ent)
	return pha == phaseUp || pha == phaseLeaving
}

// PeerAddrs returns the peer addresses of all hosts of the view.
func (vie *View) PeerAddrs() map[string]string {
	out := map[string]string{}
	for id, ent := range vie.table.Load().hosts {
		out[id] = ent.addr
	}
	return out
}

// HostsToConnect returns, in ascending order, the hosts to which connections must be kept open. A host of a called
// service that fails is replaced by the next one of that service, if there is any, and connected to again after 10 s.
func (vie *View) HostsToConnect(now time.Time) []string {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	if old := vie.table.Load(); vie.hasGoneHosts(now, old) {
		vie.publish(now, old.hosts, old)
	}
	tab := vie.table.Load()
	keep := map[string]bool{}
	for _, id := range vie.neighbours {
		keep[id] = tab.hosts[id] != nil
	}
	for id, ent := range tab.hosts {
		keep[id] = keep[id] || ent.inRateGroup || ent.service == vie.settings.Service
	}
	for service, lastCall := range tab.lastCalls {
		if elapsed(now, lastCall) < idleServiceLifetime {
			vie.keepServiceHosts(now, tab.services[service], keep)
		}
	}
	delete(keep, vie.settings.Host)
	var out []string
	for id, kept := range keep {
		if kept {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// keepServiceHosts adds the hosts of one called service to those to connect to. Hosts that are down or leaving are added
// only if there are too few others: without a connection, no probe would show that they are back.
func (vie *View) keepServiceHosts(now time.Time, ents []*hostEntry, keep map[string]bool) {
	remaining := map[bool]int{true: localConnections, false: remoteConnections} // connections left, by whether the host is local
	for _, unavailable := range []bool{false, true} {
		for _, ent := range ents {
			pha := vie.phaseAt(now, ent)
			if ent.leaving || ent.outOfService || (pha == phaseDown || pha == phaseLeaving) != unavailable || remaining[ent.local] == 0 {
				continue
			}
			remaining[ent.local]--
			keep[ent.id] = true
		}
	}
}
