package lease

import (
	"slices"
	"time"
)

const (
	// contactsPerTerm is how often each host is contacted within a term, so that a few lost messages do not end the
	// validity of a share.
	contactsPerTerm = 4
	// driftFactor is the highest ratio between the speeds of two hosts' clocks, of which one may run up to 20% faster.
	driftFactor = 1.2
	// maxEarlierMemberships bounds the earlier memberships in a message. A host that knows more gives up its share until
	// a confirmation round completes.
	maxEarlierMemberships = 64
)

// Membership is one version of the members of a group.
type Membership struct {
	Version uint64
	Members []string
}

// Message is a contact between two hosts of a group, or the answer to one.
type Message struct {
	Membership
	// Incarnation is the sender's; it rises with each start of a process on the host.
	Incarnation uint64
	// PeerIncarnation is the highest incarnation of the receiving host that the sender knows.
	PeerIncarnation uint64
	// Recovered is true if the sender counts for majorities: it has learned every version that an earlier process of its
	// host may have confirmed, and is in contact with a majority of the group.
	Recovered bool
	// EarlierMemberships are the memberships under which hosts may still use shares.
	EarlierMemberships []Membership
}

// peer is the state that a host keeps about another host of the group.
type peer struct {
	incarnation uint64
	version     uint64    // highest membership version that the host has applied
	recovered   bool      // the last answered contact says that the host's process counts for majorities
	acked       bool      // the process with this incarnation has answered a contact of this host
	ackedSentAt time.Time // when the last answered contact was sent
	dueAt       time.Time // when the next contact is due
}

// Lease gives one process its share of a group's rates for as long as the process is in contact with a majority.
//
// A smaller share applies immediately. A larger share applies only after a confirmation round of two phases. In the first
// phase, every member of the new membership and at least half of the members of each earlier one confirm the new
// membership. In the second phase, which begins after a wait, the same processes answer again. No host can then use a
// share under an earlier membership, because it would need one of those processes for its majority. A process without
// memory (new or restarted) does not count for majorities until it has learned the versions that the earlier process of
// its host may have confirmed.
type Lease struct {
	group       string
	self        string
	incarnation uint64
	term        time.Duration

	membership Membership
	// confirmedMembership is that of the last completed round. Until the next round completes, the share is valid only in
	// contact with a majority of it too.
	confirmedMembership Membership
	earlierMemberships  []Membership // between confirmedMembership and membership; hosts may still use shares under them
	grantedShare        float64
	superseded          bool

	peers                 map[string]*peer
	contactHosts          []string     // other hosts whose answers may be needed
	startedAt             time.Time    // first call of DueHosts
	lastActiveAt          time.Time    // last call of DueHosts
	unansweredMemberships []Membership // replaced before enough of their members had answered this process
	membersAnsweredAt     time.Time    // when enough members had answered this process for its recovery
	recovered             bool
	firstPhase            map[string]uint64 // incarnations that confirmed membership in the first phase; nil until it ends
	firstPhaseEnd         time.Time
	roundComplete         bool
}

// New returns the lease of a process that has just started: no membership, no share.
func New(group, self string, incarnation uint64, term time.Duration) *Lease {
	return &Lease{group: group, self: self, incarnation: incarnation, term: term, peers: map[string]*peer{}}
}

// Group returns the name of the group.
func (lea *Lease) Group() string { return lea.group }

// Version returns the version of the current membership.
func (lea *Lease) Version() uint64 { return lea.membership.Version }

// Members returns the hosts of the current membership.
func (lea *Lease) Members() []string { return lea.membership.Members }

// GrantedShare returns the share that applies while the host is in contact with a majority.
func (lea *Lease) GrantedShare() float64 { return lea.grantedShare }

// Superseded reports whether a later process of the same host is known; this one then no longer gets a share.
func (lea *Lease) Superseded() bool { return lea.superseded }

// Recovered reports whether the process has learned every version that an earlier process of its host may have
// confirmed.
func (lea *Lease) Recovered() bool { return lea.recovered }

// Pending reports whether the confirmation round of the current membership has not completed.
func (lea *Lease) Pending() bool { return !lea.roundComplete }

// SetMembers applies a published membership if its version is higher than the current one.
func (lea *Lease) SetMembers(now time.Time, version uint64, members []string) {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	lea.applyMembership(now, Membership{Version: version, Members: sorted})
	lea.advance(now)
}

// applyMembership makes a membership with a higher version the current one. A smaller share applies immediately.
func (lea *Lease) applyMembership(now time.Time, mem Membership) {
	if mem.Version <= lea.membership.Version {
		return
	}
	if slices.Equal(mem.Members, lea.membership.Members) && lea.membership.Version > 0 && lea.shareValid(now) {
		lea.membership = mem
		lea.restartRound(now)
		return
	}
	if !lea.shareValid(now) {
		// Other hosts may have increased their shares under a membership that this host has not seen.
		lea.grantedShare = 0
	}
	if lea.membership.Version > 0 {
		lea.addEarlier(lea.membership)
		if lea.membersAnsweredAt.IsZero() {
			lea.unansweredMemberships = append(lea.unansweredMemberships, lea.membership)
		}
	}
	lea.membership = mem
	lea.grantedShare = min(lea.grantedShare, lea.targetShare(mem))
	lea.restartRound(now)
}

// addEarlier keeps an earlier membership until a round completes.
func (lea *Lease) addEarlier(mem Membership) {
	if mem.Version == 0 || slices.ContainsFunc(lea.earlierMemberships, func(known Membership) bool { return known.Version == mem.Version }) {
		return
	}
	lea.earlierMemberships = append(lea.earlierMemberships, mem)
	if len(lea.earlierMemberships) > maxEarlierMemberships {
		lea.grantedShare = 0
	}
}

// restartRound starts the first phase again and makes all contacts due.
func (lea *Lease) restartRound(now time.Time) {
	lea.roundComplete = false
	lea.firstPhase = nil
	lea.updateContactHosts()
	for _, host := range lea.contactHosts {
		lea.peer(host).dueAt = now
	}
}

func (lea *Lease) peer(host string) *peer {
	per := lea.peers[host]
	if per == nil {
		per = &peer{}
		lea.peers[host] = per
	}
	return per
}

// targetShare returns the host's equal share under a membership.
func (lea *Lease) targetShare(mem Membership) float64 {
	if !slices.Contains(mem.Members, lea.self) {
		return 0
	}
	return 1 / float64(len(mem.Members))
}

// updateContactHosts collects every other host whose answer may be needed.
func (lea *Lease) updateContactHosts() {
	hosts := slices.Clone(lea.membership.Members)
	hosts = append(hosts, lea.confirmedMembership.Members...)
	for _, mem := range lea.earlierMemberships {
		hosts = append(hosts, mem.Members...)
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	lea.contactHosts = slices.DeleteFunc(hosts, func(host string) bool { return host == lea.self })
}

// DueHosts returns the hosts to contact now: each contactsPerTerm times per term, at evenly spaced times.
func (lea *Lease) DueHosts(now time.Time) []string {
	if lea.superseded {
		return nil
	}
	if len(lea.membership.Members) == 1 && now.Sub(lea.lastActiveAt) > lea.term {
		// No other host can tell this process whether a later process of its host has started since lastActiveAt.
		lea.grantedShare = 0
		lea.recovered = false
		lea.membersAnsweredAt = time.Time{}
		lea.restartRound(now)
	}
	if lea.startedAt.IsZero() {
		lea.startedAt = now
	}
	lea.lastActiveAt = now
	lea.advance(now)
	var due []string
	for i, host := range lea.contactHosts {
		per := lea.peer(host)
		if per.dueAt.After(now) {
			continue
		}
		due = append(due, host)
		per.dueAt = lea.nextContactAt(now, i, len(lea.contactHosts))
	}
	return due
}

// nextContactAt returns when to contact a host next: each of count hosts has its own offset within the contact period.
func (lea *Lease) nextContactAt(now time.Time, index, count int) time.Time {
	period := lea.term / contactsPerTerm
	offset := period * time.Duration(index) / time.Duration(count)
	next := now.Add(offset - now.Sub(lea.startedAt)%period)
	if !next.After(now) {
		next = next.Add(period)
	}
	return next
}

// Message returns the message to send to a host; it leaves out the members if no round is running and the host has
// applied this version.
func (lea *Lease) Message(now time.Time, host string) Message {
	per := lea.peer(host)
	msg := Message{
		Membership: lea.membership, Incarnation: lea.incarnation, PeerIncarnation: per.incarnation,
		Recovered: lea.countsForMajority(now), EarlierMemberships: slices.Clone(lea.earlierMemberships),
	}
	if lea.roundComplete && per.version == lea.membership.Version {
		msg.Members = nil
	}
	return msg
}

// HandleContact applies a contact from another host and returns the answer.
func (lea *Lease) HandleContact(now time.Time, from string, msg Message) Message {
	per := lea.peer(from)
	lea.applyMessage(now, from, per, msg)
	return lea.Message(now, from)
}

// HandleAck applies the answer to a contact that this host sent at sentAt by its own clock.
func (lea *Lease) HandleAck(now, sentAt time.Time, from string, msg Message) {
	per := lea.peer(from)
	if msg.Incarnation < per.incarnation {
		return
	}
	lea.applyMessage(now, from, per, msg)
	if lea.superseded || msg.Version > lea.membership.Version {
		return
	}
	if sentAt.Before(per.ackedSentAt) {
		return
	}
	per.acked = true
	per.ackedSentAt = sentAt
	per.recovered = msg.Recovered
	lea.advance(now)
}

// applyMessage applies a contact or an answer, unless an earlier process of the sender's host sent it.
func (lea *Lease) applyMessage(now time.Time, from string, per *peer, msg Message) {
	if msg.PeerIncarnation > lea.incarnation {
		lea.superseded = true
		lea.grantedShare = 0
		return
	}
	if msg.Incarnation < per.incarnation {
		return
	}
	if msg.Incarnation > per.incarnation {
		if _, ok := lea.firstPhase[from]; ok {
			lea.firstPhase = nil
		}
		*per = peer{incarnation: msg.Incarnation, dueAt: per.dueAt}
	}
	per.version = max(per.version, msg.Version)
	if len(msg.Members) > 0 {
		lea.applyMembership(now, msg.Membership)
	}
	lea.applyEarlier(msg.EarlierMemberships)
}

// applyEarlier adds earlier memberships that this host has skipped. A smaller share under them applies immediately.
func (lea *Lease) applyEarlier(memberships []Membership) {
	for _, mem := range memberships {
		if mem.Version <= lea.confirmedMembership.Version || mem.Version >= lea.membership.Version {
			continue
		}
		if slices.ContainsFunc(lea.earlierMemberships, func(known Membership) bool { return known.Version == mem.Version }) {
			continue
		}
		lea.addEarlier(mem)
		lea.grantedShare = min(lea.grantedShare, lea.targetShare(mem))
		lea.roundComplete = false
		lea.firstPhase = nil
		lea.updateContactHosts()
	}
}

// termWithDrift returns the time by this host's clock in which a term has ended by the clock of every host.
func (lea *Lease) termWithDrift() time.Duration {
	return time.Duration(float64(lea.term) * driftFactor)
}

// advance moves recovery and the confirmation round forward as far as the answers allow.
func (lea *Lease) advance(now time.Time) {
	if lea.superseded || lea.membership.Version == 0 || lea.lastActiveAt.IsZero() {
		return
	}
	lea.updateRecovery(now)
	if lea.roundComplete {
		return
	}
	if lea.firstPhase == nil {
		lea.tryEndFirstPhase(now)
		return
	}
	if now.Sub(lea.firstPhaseEnd) < lea.termWithDrift() || !lea.allConfirmed(lea.firstPhaseEnd, lea.firstPhase) {
		return
	}
	lea.grantedShare = lea.targetShare(lea.membership)
	lea.confirmedMembership = lea.membership
	lea.earlierMemberships = nil
	lea.roundComplete = true
	lea.updateContactHosts()
}

// tryEndFirstPhase ends the first phase if all required hosts have confirmed the current membership.
func (lea *Lease) tryEndFirstPhase(now time.Time) {
	if !lea.allConfirmed(time.Time{}, nil) {
		return
	}
	lea.firstPhase = map[string]uint64{lea.self: lea.incarnation}
	for host, per := range lea.peers {
		if per.acked && per.version >= lea.membership.Version {
			lea.firstPhase[host] = per.incarnation
		}
	}
	lea.firstPhaseEnd = now
}

// allConfirmed reports whether the required hosts have confirmed the current membership in answer to contacts sent at or
// after a time: every member, and at least half of the members of each earlier membership, so that the rest are no
// majority. If incarnations is not nil, only these processes count.
func (lea *Lease) allConfirmed(since time.Time, incarnations map[string]uint64) bool {
	for _, host := range lea.membership.Members {
		if host != lea.self && !lea.hostConfirmed(host, since, incarnations) {
			return false
		}
	}
	for _, mem := range lea.earlierMemberships {
		count := 0
		for _, host := range mem.Members {
			switch {
			case host == lea.self && lea.recovered:
				count++
			case host != lea.self && lea.hostConfirmed(host, since, incarnations) && lea.peers[host].recovered:
				count++
			}
		}
		if count < len(mem.Members)-len(mem.Members)/2 {
			return false
		}
	}
	return true
}

func (lea *Lease) hostConfirmed(host string, since time.Time, incarnations map[string]uint64) bool {
	per := lea.peers[host]
	if per == nil || !per.acked || per.version < lea.membership.Version || per.ackedSentAt.Before(since) {
		return false
	}
	return incarnations == nil || incarnations[host] == per.incarnation
}

// updateRecovery lets a process without memory recover. In each membership since its start, recovered processes that are
// a majority of the members, or all other members, must have answered this process, and then a term must pass.
func (lea *Lease) updateRecovery(now time.Time) {
	if lea.recovered {
		return
	}
	if !lea.membersAnsweredAt.IsZero() {
		// An earlier process of this host loses its majority within a term, because the hosts that answered know this process.
		lea.recovered = now.Sub(lea.membersAnsweredAt) >= lea.termWithDrift()
		return
	}
	for _, mem := range append(lea.unansweredMemberships, lea.membership) {
		if !lea.enoughAnswered(mem.Members) {
			return
		}
	}
	lea.membersAnsweredAt = now
	lea.unansweredMemberships = nil
}

// enoughAnswered reports whether a majority of recovered processes, or every other member, has answered.
func (lea *Lease) enoughAnswered(members []string) bool {
	answered, recovered, others := 0, 0, 0
	for _, host := range members {
		if host == lea.self {
			continue
		}
		others++
		per := lea.peers[host]
		if per == nil || !per.acked {
			continue
		}
		answered++
		if per.recovered {
			recovered++
		}
	}
	return answered == others || recovered > len(members)/2
}

// countsForMajority reports whether other hosts may count this process for their majority.
func (lea *Lease) countsForMajority(now time.Time) bool {
	until := lea.majorityUntil(lea.membership.Members, func(*peer) bool { return true })
	return lea.recovered && !lea.superseded && now.Before(until)
}

// majorityUntil returns the time until which this host is in contact with a majority of the given hosts. Of the other
// hosts, only those count that have answered and for which countable is true. A contact lasts one term from when it was
// sent.
func (lea *Lease) majorityUntil(hosts []string, countable func(*peer) bool) time.Time {
	var times []time.Time
	for _, host := range hosts {
		if host == lea.self {
			times = append(times, lea.lastActiveAt)
			continue
		}
		if per := lea.peers[host]; per != nil && per.acked && countable(per) {
			times = append(times, per.ackedSentAt)
		}
	}
	majority := len(hosts)/2 + 1
	if len(times) < majority {
		return time.Time{}
	}
	slices.SortFunc(times, func(one, two time.Time) int { return two.Compare(one) })
	return times[majority-1].Add(lea.term)
}

// shareValidUntil returns the time until which the granted share may be used without further answers.
func (lea *Lease) shareValidUntil() time.Time {
	if lea.superseded || !lea.recovered || lea.grantedShare == 0 {
		return time.Time{}
	}
	recovered := func(per *peer) bool { return per.recovered }
	until := lea.majorityUntil(lea.membership.Members, recovered)
	if confirmedUntil := lea.majorityUntil(lea.confirmedMembership.Members, recovered); confirmedUntil.Before(until) {
		return confirmedUntil
	}
	return until
}

func (lea *Lease) shareValid(now time.Time) bool { return now.Before(lea.shareValidUntil()) }

// Share returns the host's share of the group's rates, and the time until which it may be used without further answers.
func (lea *Lease) Share(now time.Time) (share float64, until time.Time) {
	until = lea.shareValidUntil()
	if !now.Before(until) {
		return 0, time.Time{}
	}
	return lea.grantedShare, until
}

// HasQuorum reports whether the host is a member and in contact with a majority of the members at the same version.
func (lea *Lease) HasQuorum(now time.Time) bool {
	if lea.superseded || !lea.recovered || !slices.Contains(lea.membership.Members, lea.self) {
		return false
	}
	sameVersion := func(per *peer) bool { return per.recovered && per.version == lea.membership.Version }
	return now.Before(lea.majorityUntil(lea.membership.Members, sameVersion))
}
