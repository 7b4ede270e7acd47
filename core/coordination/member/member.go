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
	upLifetime      = 3 * time.Second // three intervals of the slowest probes
	downLifetime    = 10 * time.Second
	leavingLifetime = time.Minute
	usedLifetime    = time.Minute     // a host that is not on the list stays this long after its last use
	calledLifetime  = time.Minute     // connections to a service are kept this long after its last call
	drainSettle     = 2 * time.Second // probes and answers that were sent before a drain may still arrive
	failSettle      = time.Second     // probes that were answered before a failure may still be reported
	warmTime        = 5 * time.Second
	warmStart       = 0.1 // share of its calls that a returning host gets at first
	localKept       = 4   // connections to hosts of the own failure domain for each called service
	remoteKept      = 2   // connections to hosts of other failure domains for each called service
)

// Settings describe the node whose view it is.
type Settings struct {
	Host    string
	Domain  string
	Service string
}

// Candidate is a host that may serve a call.
type Candidate struct {
	host   string
	domain string
	load   float64
	local  bool
	warm   float64
}

// NewCandidate returns a candidate; warm is the share of its calls that it should get, in (0,1].
func NewCandidate(host, domain string, load float64, local bool, warm float64) Candidate {
	return Candidate{host: host, domain: domain, load: load, local: local, warm: warm}
}

// Host returns the host's ID.
func (can Candidate) Host() string { return can.host }

// Domain returns the host's failure domain.
func (can Candidate) Domain() string { return can.domain }

// Load returns the load that the host last reported.
func (can Candidate) Load() float64 { return can.load }

// Local says whether the host is in the node's own failure domain.
func (can Candidate) Local() bool { return can.local }

// Weight returns the share of its calls that the host should get; it is below 1 for some seconds after a return.
func (can Candidate) Weight() float64 { return can.warm }

// record is what the node observed about one host; the request path reads and writes it without a lock.
type record struct {
	id      string
	phase   atomic.Uint32
	seen    atomic.Int64  // newest observation that supports the phase, in nanoseconds since the epoch
	changed atomic.Int64  // start of the phase
	used    atomic.Int64  // last successful call
	load    atomic.Uint64 // bits of a float64
	warm    atomic.Int64  // start of the warm-up, or 0
}

// at returns the phase at a time: without new observations it becomes unknown.
func (rec *record) at(now time.Time) phase {
	pha := phase(rec.phase.Load())
	if since(now, &rec.seen) > pha.lifetime() {
		return phaseUnknown
	}
	return pha
}

func since(now time.Time, at *atomic.Int64) time.Duration {
	return time.Duration(now.UnixNano() - at.Load())
}

func (rec *record) warmth(now time.Time) float64 {
	if rec.warm.Load() == 0 {
		return 1
	}
	part := float64(since(now, &rec.warm)) / float64(warmTime)
	return min(max(part, warmStart), 1)
}

// entry is a host as the current list and declarations describe it; it does not change.
type entry struct {
	*record
	domain   string
	service  string
	addr     string
	listed   bool
	retained bool // missing on a list that is too short to be believed
	leaving  bool
	out      bool
	local    bool
	group    bool // in the node's own rate group
}

// believed says whether the list, or a recent use, still supports the host.
func (ent *entry) believed(now time.Time) bool {
	return ent.listed || ent.retained || since(now, &ent.used) < usedLifetime
}

// table indexes the entries; it is replaced as a whole.
type table struct {
	hosts    map[string]*entry
	services map[string][]*entry // best first for this node's connections
	called   map[string]*atomic.Int64
}

// View is the node's view of all hosts.
type View struct {
	set   Settings
	table atomic.Pointer[table]

	mu         sync.Mutex // guards all changes
	lifecycle  *lifecycle
	neighbours []string
	listed     bool
}

// New returns a view without hosts.
func New(set Settings) *View {
	vie := &View{set: set, lifecycle: newLifecycle()}
	vie.table.Store(&table{})
	return vie
}

// SetNeighbours gives the overlay neighbours, to which connections are kept.
func (vie *View) SetNeighbours(hosts []string) {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	vie.neighbours = slices.Clone(hosts)
}

// SetSnapshot takes a new host list and new declarations. Hosts that are missing on a list with less than half
// of the hosts known before stay as long as they answer: an empty list must not empty the fleet.
func (vie *View) SetSnapshot(now time.Time, snap *decl.Snapshot) {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	old := vie.table.Load()
	hosts := map[string]*entry{}
	for _, hst := range snap.Hosts().All() {
		hosts[hst.ID()] = &entry{
			record: vie.recordOf(now, old, hst.ID()), domain: hst.Domain(), service: hst.Service(), addr: hst.PeerAddr(),
			listed: true, leaving: hst.Leaving(),
		}
	}
	tiny := 2*len(hosts) < old.trusted()
	for id, ent := range old.hosts {
		if hosts[id] == nil {
			kept := *ent
			kept.listed, kept.retained = false, tiny && (ent.listed || ent.retained)
			hosts[id] = &kept
		}
	}
	for id, ent := range hosts {
		vie.place(now, snap, old.hosts[id], ent)
	}
	vie.listed = true
	vie.store(now, hosts, old)
}

// trusted counts the hosts that a new list is compared with.
func (tab *table) trusted() int {
	count := 0
	for _, ent := range tab.hosts {
		if ent.listed || ent.retained {
			count++
		}
	}
	return count
}

// recordOf returns the record of a host. A host that joins a known fleet is cold.
func (vie *View) recordOf(now time.Time, old *table, id string) *record {
	if ent := old.hosts[id]; ent != nil {
		return ent.record
	}
	rec := &record{id: id}
	if vie.listed {
		rec.warm.Store(now.UnixNano())
	}
	return rec
}

// place fills what follows from the declarations. A host whose failure domain returns is cold.
func (vie *View) place(now time.Time, snap *decl.Snapshot, before, ent *entry) {
	ent.local = ent.domain == vie.set.Domain
	ent.out, ent.group = false, false
	if dom := snap.Domain(ent.domain); dom != nil {
		ent.out = dom.OutOfService()
		ent.group = ent.local && decl.RateGroup(ent.id, dom.RateGroups()) == decl.RateGroup(vie.set.Host, dom.RateGroups())
	}
	if before != nil && before.out && !ent.out {
		ent.warm.Store(now.UnixNano())
	}
}

// store drops hosts that nothing supports any more and publishes a new table.
func (vie *View) store(now time.Time, hosts map[string]*entry, old *table) {
	tab := &table{hosts: map[string]*entry{}, services: map[string][]*entry{}, called: map[string]*atomic.Int64{}}
	ids := map[string][]string{}
	for id, ent := range hosts {
		if vie.gone(now, ent) {
			continue
		}
		tab.hosts[id] = ent
		ids[ent.service] = append(ids[ent.service], id)
	}
	for service, members := range ids {
		for _, id := range decl.RendezvousOrder(vie.set.Host+"/"+service, members) {
			tab.services[service] = append(tab.services[service], tab.hosts[id])
		}
		tab.called[service] = old.called[service]
		if tab.called[service] == nil {
			tab.called[service] = &atomic.Int64{}
		}
	}
	vie.table.Store(tab)
}

// gone says whether nothing supports a host any more. A retained host must answer: one that has not done so
// for a minute is gone, and the short list is believed about it.
func (vie *View) gone(now time.Time, ent *entry) bool {
	if !ent.believed(now) {
		return true
	}
	silent := vie.phaseAt(now, ent) != phaseUp && since(now, &ent.seen) > usedLifetime && since(now, &ent.used) > usedLifetime
	return ent.retained && silent
}

func (vie *View) outdated(now time.Time, tab *table) bool {
	for _, ent := range tab.hosts {
		if vie.gone(now, ent) {
			return true
		}
	}
	return false
}

// phaseAt returns the phase of a host; the node itself is up unless it leaves.
func (vie *View) phaseAt(now time.Time, ent *entry) phase {
	if ent.id == vie.set.Host && phase(ent.phase.Load()) != phaseLeaving {
		return phaseUp
	}
	return ent.at(now)
}

// Observe takes the state of a connection as its probes show it. It must be called at least once a second for
// each connection, because a host without news for 3 s is no longer believed to be up.
func (vie *View) Observe(now time.Time, host string, pst core.PeerState) {
	ent := vie.table.Load().hosts[host]
	if ent == nil || !pst.Known() {
		return
	}
	if !pst.Up() {
		vie.apply(now, ent, eventFailed)
		return
	}
	ent.load.Store(math.Float64bits(pst.Load()))
	pha := phase(ent.phase.Load())
	switch {
	case pst.Leaving():
		vie.apply(now, ent, eventDrained)
	case pha == phaseLeaving && since(now, &ent.changed) >= drainSettle:
		vie.apply(now, ent, eventReturned)
	case pha == phaseUp, pha == phaseUnknown, since(now, &ent.seen) >= failSettle:
		vie.apply(now, ent, eventAnswered)
	}
}

// ObserveSuccess records a successful call. A late answer does not bring back a host that has just failed or is
// leaving.
func (vie *View) ObserveSuccess(now time.Time, host string) {
	ent := vie.table.Load().hosts[host]
	if ent == nil {
		return
	}
	ent.used.Store(now.UnixNano())
	switch phase(ent.phase.Load()) {
	case phaseUp:
		ent.seen.Store(now.UnixNano())
	case phaseLeaving:
	case phaseDown:
		if since(now, &ent.changed) >= failSettle {
			vie.apply(now, ent, eventAnswered)
		}
	default:
		vie.apply(now, ent, eventAnswered)
	}
}

// ObserveLoad records the load that a host reported with an answer.
func (vie *View) ObserveLoad(host string, load float64) {
	if ent := vie.table.Load().hosts[host]; ent != nil {
		ent.load.Store(math.Float64bits(load))
	}
}

// ObserveRefused records a refused connection; the host returns after a successful probe.
func (vie *View) ObserveRefused(now time.Time, host string) { vie.event(now, host, eventFailed) }

// ObserveSilent records a connection that went silent; the host returns once a new connection answers.
func (vie *View) ObserveSilent(now time.Time, host string) { vie.event(now, host, eventSilent) }

// ObserveLeaving records that a host drains, by an answer or by a refusal with reason draining.
func (vie *View) ObserveLeaving(now time.Time, host string) { vie.event(now, host, eventDrained) }

func (vie *View) event(now time.Time, host, event string) {
	if ent := vie.table.Load().hosts[host]; ent != nil {
		vie.apply(now, ent, event)
	}
}

// apply moves a host to its next phase. A host that was down or left comes back cold.
func (vie *View) apply(now time.Time, ent *entry, event string) {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	stored := phase(ent.phase.Load())
	from := stored
	if since(now, &ent.seen) > from.lifetime() {
		from = vie.lifecycle.next(from, eventExpired)
	}
	next := vie.lifecycle.next(from, event)
	if next == phaseUp && (stored == phaseDown || stored == phaseLeaving) {
		ent.warm.Store(now.UnixNano())
	}
	if next != stored {
		ent.changed.Store(now.UnixNano())
	}
	if supports(event, next) {
		ent.seen.Store(now.UnixNano())
	}
	ent.phase.Store(uint32(next))
}

// supports says whether an event is evidence for a phase, so that the phase is believed for its lifetime again.
// A failed connection to a leaving host says nothing about whether it still leaves.
func supports(event string, pha phase) bool {
	switch pha {
	case phaseUp:
		return event == eventAnswered || event == eventReturned
	case phaseLeaving:
		return event == eventDrained
	}
	return event == eventFailed || event == eventSilent
}

// Candidates returns the hosts that may get new work of a service: those that answer or, when there is none,
// those that have not been tried.
func (vie *View) Candidates(now time.Time, service string) []Candidate {
	tab := vie.table.Load()
	if called := tab.called[service]; called != nil {
		called.Store(now.UnixNano())
	}
	if out := vie.filter(now, tab.services[service], phaseUp); len(out) > 0 {
		return out
	}
	return vie.filter(now, tab.services[service], phaseUnknown)
}

func (vie *View) filter(now time.Time, ents []*entry, want phase) []Candidate {
	var out []Candidate
	for _, ent := range ents {
		if ent.leaving || ent.out || vie.phaseAt(now, ent) != want || !ent.believed(now) {
			continue
		}
		load := math.Float64frombits(ent.load.Load())
		out = append(out, Candidate{host: ent.id, domain: ent.domain, load: load, local: ent.local, warm: ent.warmth(now)})
	}
	return out
}

// Reachable says whether a host answers probes or calls.
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

// HostsToConnect returns the hosts to which connections stay open, in ascending order. Hosts that fail are replaced by
// the next ones of the same service, if there are any, and tried again once their failure is no longer recent.
func (vie *View) HostsToConnect(now time.Time) []string {
	vie.mu.Lock()
	defer vie.mu.Unlock()
	if old := vie.table.Load(); vie.outdated(now, old) {
		vie.store(now, old.hosts, old)
	}
	tab := vie.table.Load()
	keep := map[string]bool{}
	for _, id := range vie.neighbours {
		keep[id] = tab.hosts[id] != nil
	}
	for id, ent := range tab.hosts {
		keep[id] = keep[id] || ent.group || ent.service == vie.set.Service
	}
	for service, called := range tab.called {
		if since(now, called) < calledLifetime {
			vie.keepService(now, tab.services[service], keep)
		}
	}
	delete(keep, vie.set.Host)
	var out []string
	for id, kept := range keep {
		if kept {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// keepService chooses the hosts of one called service. Hosts that failed or that were seen to leave take only the
// places for which there is no other host; without a connection, no probe would show that they are back.
func (vie *View) keepService(now time.Time, ents []*entry, keep map[string]bool) {
	places := map[bool]int{true: localKept, false: remoteKept} // by whether the host is local
	for _, absent := range []bool{false, true} {
		for _, ent := range ents {
			pha := vie.phaseAt(now, ent)
			if ent.leaving || ent.out || (pha == phaseDown || pha == phaseLeaving) != absent || places[ent.local] == 0 {
				continue
			}
			places[ent.local]--
			keep[ent.id] = true
		}
	}
}
