package lease

import (
	"slices"
	"time"
)

const (
	// contactsPerTerm is how often each member is contacted within a term, so that a few lost messages do not end a share.
	contactsPerTerm = 4
	// driftFactor covers the difference between two clocks, of which one may run up to 20% faster.
	driftFactor = 1.2
	// maxEarlier bounds the earlier lists in a message. A host that has more gives up its share until a round completes.
	maxEarlierMemberships = 64
)

// Membership is one version of the members of a group.
type Membership struct {
	Version uint64
	Members []string
}

// Message is what two hosts of a group exchange, in both directions.
type Message struct {
	Membership
	// Incarnation is the sender's; it rises with each start of a process on the host.
	Incarnation uint64
	// PeerIncarnation is the highest incarnation of the receiving host that the sender has heard of.
	PeerIncarnation uint64
	// Recovered says that the sender's memory of versions can be relied on.
	Recovered bool
	// EarlierMemberships holds the lists that may still have shares in force.
	EarlierMemberships []Membership
}

// peer is what is known about another host of the group.
type peer struct {
	incarnation uint64
	version     uint64
	recovered   bool
	acked       bool
	ackedSentAt time.Time // when the last acknowledged contact was sent
	dueAt       time.Time
}

// Lease is the state of one process in one group.
//
// A larger share applies only in two phases: every member of the new list and enough of each earlier list must have
// confirmed the list, and the same processes must still answer after that. Together with the wait between the phases,
// no host can then hold a share under an earlier list, because it would need one of those processes for its majority.
// A process without memory (new or restarted) does not count for majorities until it has learned the versions that
// its predecessor may have confirmed.
type Lease struct {
	group       string
	self        string
	incarnation uint64
	term        time.Duration

	membership          Membership
	confirmedMembership Membership   // list of the last completed round; its majority vouches for the share until the next one completes
	earlierMemberships  []Membership // lists since base, which may still have shares in force
	grantedShare        float64
	superseded          bool

	peers                 map[string]*peer
	contactHosts          []string     // other hosts whose answers may be needed
	startedAt             time.Time    // first call of DueHosts
	lastActiveAt          time.Time    // last call of DueHosts
	unansweredMemberships []Membership // lists that were replaced before their members had answered this process
	membersAnsweredAt     time.Time    // when enough members had answered since the start
	recovered             bool
	firstPhase            map[string]uint64 // incarnations that had confirmed the list when the first phase ended
	firstPhaseEnd         time.Time
	roundComplete         bool
}

// New returns the state of a process that has just started and knows nothing.
func New(group, self string, incarnation uint64, term time.Duration) *Lease {
	return &Lease{group: group, self: self, incarnation: incarnation, term: term, peers: map[string]*peer{}}
}

// Group returns the name of the group.
func (lea *Lease) Group() string { return lea.group }

// Version returns the version of the list in force.
func (lea *Lease) Version() uint64 { return lea.membership.Version }

// Members returns the hosts on the list in force.
func (lea *Lease) Members() []string { return lea.membership.Members }

// Granted returns the share that applies while the host is in contact with a majority.
func (lea *Lease) Granted() float64 { return lea.grantedShare }

// Superseded says that a later process of the same host is known; this one gets no share any more.
func (lea *Lease) Superseded() bool { return lea.superseded }

// Recovered says that the process has learned what its predecessor may have confirmed.
func (lea *Lease) Recovered() bool { return lea.recovered }

// Pending says that the list has not yet been confirmed by all who must.
func (lea *Lease) Pending() bool { return !lea.roundComplete }

// SetMembers applies a published list if its version is higher than the one in force.
func (lea *Lease) SetMembers(now time.Time, version uint64, members []string) {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	lea.applyMembership(now, Membership{Version: version, Members: sorted})
	lea.advance(now)
}

// adopt moves to a higher list. A smaller share applies at once.
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
		// Others may have raised their shares under a list that this host has not seen.
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

// note remembers an earlier list until a round completes.
func (lea *Lease) addEarlier(mem Membership) {
	if mem.Version == 0 || slices.ContainsFunc(lea.earlierMemberships, func(known Membership) bool { return known.Version == mem.Version }) {
		return
	}
	lea.earlierMemberships = append(lea.earlierMemberships, mem)
	if len(lea.earlierMemberships) > maxEarlierMemberships {
		lea.grantedShare = 0
	}
}

// restartRound starts the first phase again.
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

func (lea *Lease) targetShare(mem Membership) float64 {
	if !slices.Contains(mem.Members, lea.self) {
		return 0
	}
	return 1 / float64(len(mem.Members))
}

// updateContacts collects every other host whose answer may be needed.
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

// DueHosts returns the hosts to contact now: each several times per term, spread evenly over the period.
func (lea *Lease) DueHosts(now time.Time) []string {
	if lea.superseded {
		return nil
	}
	if len(lea.membership.Members) == 1 && now.Sub(lea.lastActiveAt) > lea.term {
		// Nobody else can tell whether a replacement has started during the pause.
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

// nextDue returns the next time in the phase of one of several hosts.
func (lea *Lease) nextContactAt(now time.Time, index, count int) time.Time {
	period := lea.term / contactsPerTerm
	offset := period * time.Duration(index) / time.Duration(count)
	next := now.Add(offset - now.Sub(lea.startedAt)%period)
	if !next.After(now) {
		next = next.Add(period)
	}
	return next
}

// Message returns what to send to a host; the lists are left out when the host has them.
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

// HandleContact takes in another host's message and returns the answer.
func (lea *Lease) HandleContact(now time.Time, from string, msg Message) Message {
	per := lea.peer(from)
	lea.applyMessage(now, from, per, msg)
	return lea.Message(now, from)
}

// HandleAck takes in the answer to a message that was sent at a time of this host's clock.
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

// receive applies what any message of a current process tells.
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

// learn takes in earlier lists that this host has skipped. Their smaller share applies at once.
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

func (lea *Lease) termWithDrift() time.Duration {
	return time.Duration(float64(lea.term) * driftFactor)
}

// advance moves recovery and the two phases forward as far as the answers allow.
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

// startRound ends the first phase when all who must have confirmed the list.
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

// confirmed says whether every member, and so many of each earlier list that the others are no majority, have
// confirmed the list in answer to a contact sent after a time.
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

// recover settles a process without memory once a majority that has its memory, or every member, has answered.
func (lea *Lease) updateRecovery(now time.Time) {
	if lea.recovered {
		return
	}
	if !lea.membersAnsweredAt.IsZero() {
		// An older process of this host loses its majority within a term, because its members know this one.
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

// heard says whether a majority with memory, or every other host, has answered.
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

// vouches says whether other hosts may count this process for their majority.
func (lea *Lease) countsForMajority(now time.Time) bool {
	until := lea.majorityUntil(lea.membership.Members, func(*peer) bool { return true })
	return lea.recovered && !lea.superseded && now.Before(until)
}

// contactUntil returns until when the host is in contact with a majority of hosts whose answers count.
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

// validUntil returns until when the granted share may be used without further answers.
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

// Share returns the part of the group that the host may use now, and until when it may do so without further answers.
func (lea *Lease) Share(now time.Time) (share float64, until time.Time) {
	until = lea.shareValidUntil()
	if !now.Before(until) {
		return 0, time.Time{}
	}
	return lea.grantedShare, until
}

// HasQuorum says whether the host is on the list and in contact with a majority of it at the same version.
func (lea *Lease) HasQuorum(now time.Time) bool {
	if lea.superseded || !lea.recovered || !slices.Contains(lea.membership.Members, lea.self) {
		return false
	}
	sameVersion := func(per *peer) bool { return per.recovered && per.version == lea.membership.Version }
	return now.Before(lea.majorityUntil(lea.membership.Members, sameVersion))
}
