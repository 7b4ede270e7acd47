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
	maxEarlier = 64
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
	settled     bool
	acked       bool
	sentAt      time.Time // when the last acknowledged contact was sent
	due         time.Time
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

	list       Membership
	base       Membership   // list of the last completed round; its majority vouches for the share until the next one completes
	earlier    []Membership // lists since base, which may still have shares in force
	granted    float64
	superseded bool

	peers     map[string]*peer
	contacts  []string     // other hosts whose answers may be needed
	startAt   time.Time    // first call of DueHosts
	aliveAt   time.Time    // last call of DueHosts
	unread    []Membership // lists that were replaced before their members had answered this process
	recovered time.Time    // when enough members had answered since the start
	settled   bool
	round     map[string]uint64 // incarnations that had confirmed the list when the first phase ended
	roundAt   time.Time
	complete  bool
}

// New returns the state of a process that has just started and knows nothing.
func New(group, self string, incarnation uint64, term time.Duration) *Lease {
	return &Lease{group: group, self: self, incarnation: incarnation, term: term, peers: map[string]*peer{}}
}

// Group returns the name of the group.
func (lea *Lease) Group() string { return lea.group }

// Version returns the version of the list in force.
func (lea *Lease) Version() uint64 { return lea.list.Version }

// Members returns the hosts on the list in force.
func (lea *Lease) Members() []string { return lea.list.Members }

// Granted returns the share that applies while the host is in contact with a majority.
func (lea *Lease) Granted() float64 { return lea.granted }

// Superseded says that a later process of the same host is known; this one gets no share any more.
func (lea *Lease) Superseded() bool { return lea.superseded }

// Recovered says that the process has learned what its predecessor may have confirmed.
func (lea *Lease) Recovered() bool { return lea.settled }

// Pending says that the list has not yet been confirmed by all who must.
func (lea *Lease) Pending() bool { return !lea.complete }

// SetMembers applies a published list if its version is higher than the one in force.
func (lea *Lease) SetMembers(now time.Time, version uint64, members []string) {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	lea.adopt(now, Membership{Version: version, Members: sorted})
	lea.advance(now)
}

// adopt moves to a higher list. A smaller share applies at once.
func (lea *Lease) adopt(now time.Time, list Membership) {
	if list.Version <= lea.list.Version {
		return
	}
	if slices.Equal(list.Members, lea.list.Members) && lea.list.Version > 0 && lea.valid(now) {
		lea.list = list
		lea.restartRound(now)
		return
	}
	if !lea.valid(now) {
		// Others may have raised their shares under a list that this host has not seen.
		lea.granted = 0
	}
	if lea.list.Version > 0 {
		lea.note(lea.list)
		if lea.recovered.IsZero() {
			lea.unread = append(lea.unread, lea.list)
		}
	}
	lea.list = list
	lea.granted = min(lea.granted, lea.target(list))
	lea.restartRound(now)
}

// note remembers an earlier list until a round completes.
func (lea *Lease) note(list Membership) {
	if list.Version == 0 || slices.ContainsFunc(lea.earlier, func(old Membership) bool { return old.Version == list.Version }) {
		return
	}
	lea.earlier = append(lea.earlier, list)
	if len(lea.earlier) > maxEarlier {
		lea.granted = 0
	}
}

// restartRound starts the first phase again.
func (lea *Lease) restartRound(now time.Time) {
	lea.complete = false
	lea.round = nil
	lea.updateContacts()
	for _, host := range lea.contacts {
		lea.peer(host).due = now
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

func (lea *Lease) target(list Membership) float64 {
	if !slices.Contains(list.Members, lea.self) {
		return 0
	}
	return 1 / float64(len(list.Members))
}

// updateContacts collects every other host whose answer may be needed.
func (lea *Lease) updateContacts() {
	hosts := slices.Clone(lea.list.Members)
	hosts = append(hosts, lea.base.Members...)
	for _, old := range lea.earlier {
		hosts = append(hosts, old.Members...)
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	lea.contacts = slices.DeleteFunc(hosts, func(host string) bool { return host == lea.self })
}

// DueHosts returns the hosts to contact now: each several times per term, spread evenly over the period.
func (lea *Lease) DueHosts(now time.Time) []string {
	if lea.superseded {
		return nil
	}
	if len(lea.list.Members) == 1 && now.Sub(lea.aliveAt) > lea.term {
		// Nobody else can tell whether a replacement has started during the pause.
		lea.granted = 0
		lea.settled = false
		lea.recovered = time.Time{}
		lea.restartRound(now)
	}
	if lea.startAt.IsZero() {
		lea.startAt = now
	}
	lea.aliveAt = now
	lea.advance(now)
	var due []string
	for i, host := range lea.contacts {
		per := lea.peer(host)
		if per.due.After(now) {
			continue
		}
		due = append(due, host)
		per.due = lea.nextDue(now, i, len(lea.contacts))
	}
	return due
}

// nextDue returns the next time in the phase of one of several hosts.
func (lea *Lease) nextDue(now time.Time, index, count int) time.Time {
	period := lea.term / contactsPerTerm
	phase := period * time.Duration(index) / time.Duration(count)
	next := now.Add(phase - now.Sub(lea.startAt)%period)
	if !next.After(now) {
		next = next.Add(period)
	}
	return next
}

// Message returns what to send to a host; the lists are left out when the host has them.
func (lea *Lease) Message(now time.Time, host string) Message {
	per := lea.peer(host)
	msg := Message{
		Membership: lea.list, Incarnation: lea.incarnation, PeerIncarnation: per.incarnation,
		Recovered: lea.vouches(now), EarlierMemberships: slices.Clone(lea.earlier),
	}
	if lea.complete && per.version == lea.list.Version {
		msg.Members = nil
	}
	return msg
}

// HandleContact takes in another host's message and returns the answer.
func (lea *Lease) HandleContact(now time.Time, from string, msg Message) Message {
	per := lea.peer(from)
	lea.receive(now, from, per, msg)
	return lea.Message(now, from)
}

// HandleAck takes in the answer to a message that was sent at a time of this host's clock.
func (lea *Lease) HandleAck(now, sentAt time.Time, from string, msg Message) {
	per := lea.peer(from)
	if msg.Incarnation < per.incarnation {
		return
	}
	lea.receive(now, from, per, msg)
	if lea.superseded || msg.Version > lea.list.Version {
		return
	}
	if sentAt.Before(per.sentAt) {
		return
	}
	per.acked = true
	per.sentAt = sentAt
	per.settled = msg.Recovered
	lea.advance(now)
}

// receive applies what any message of a current process tells.
func (lea *Lease) receive(now time.Time, from string, per *peer, msg Message) {
	if msg.PeerIncarnation > lea.incarnation {
		lea.superseded = true
		lea.granted = 0
		return
	}
	if msg.Incarnation < per.incarnation {
		return
	}
	if msg.Incarnation > per.incarnation {
		if _, ok := lea.round[from]; ok {
			lea.round = nil
		}
		*per = peer{incarnation: msg.Incarnation, due: per.due}
	}
	per.version = max(per.version, msg.Version)
	if len(msg.Members) > 0 {
		lea.adopt(now, msg.Membership)
	}
	lea.learn(msg.EarlierMemberships)
}

// learn takes in earlier lists that this host has skipped. Their smaller share applies at once.
func (lea *Lease) learn(lists []Membership) {
	for _, old := range lists {
		if old.Version <= lea.base.Version || old.Version >= lea.list.Version {
			continue
		}
		if slices.ContainsFunc(lea.earlier, func(have Membership) bool { return have.Version == old.Version }) {
			continue
		}
		lea.note(old)
		lea.granted = min(lea.granted, lea.target(old))
		lea.complete = false
		lea.round = nil
		lea.updateContacts()
	}
}

func (lea *Lease) wait() time.Duration { return time.Duration(float64(lea.term) * driftFactor) }

// advance moves recovery and the two phases forward as far as the answers allow.
func (lea *Lease) advance(now time.Time) {
	if lea.superseded || lea.list.Version == 0 || lea.aliveAt.IsZero() {
		return
	}
	lea.recover(now)
	if lea.complete {
		return
	}
	if lea.round == nil {
		lea.startRound(now)
		return
	}
	if now.Sub(lea.roundAt) < lea.wait() || !lea.confirmed(lea.roundAt, lea.round) {
		return
	}
	lea.granted = lea.target(lea.list)
	lea.base = lea.list
	lea.earlier = nil
	lea.complete = true
	lea.updateContacts()
}

// startRound ends the first phase when all who must have confirmed the list.
func (lea *Lease) startRound(now time.Time) {
	if !lea.confirmed(time.Time{}, nil) {
		return
	}
	lea.round = map[string]uint64{lea.self: lea.incarnation}
	for host, per := range lea.peers {
		if per.acked && per.version >= lea.list.Version {
			lea.round[host] = per.incarnation
		}
	}
	lea.roundAt = now
}

// confirmed says whether every member, and so many of each earlier list that the others are no majority, have
// confirmed the list in answer to a contact sent after a time.
func (lea *Lease) confirmed(since time.Time, round map[string]uint64) bool {
	for _, host := range lea.list.Members {
		if host != lea.self && !lea.confirms(host, since, round) {
			return false
		}
	}
	for _, old := range lea.earlier {
		count := 0
		for _, host := range old.Members {
			switch {
			case host == lea.self && lea.settled:
				count++
			case host != lea.self && lea.confirms(host, since, round) && lea.peers[host].settled:
				count++
			}
		}
		if count < len(old.Members)-len(old.Members)/2 {
			return false
		}
	}
	return true
}

func (lea *Lease) confirms(host string, since time.Time, round map[string]uint64) bool {
	per := lea.peers[host]
	if per == nil || !per.acked || per.version < lea.list.Version || per.sentAt.Before(since) {
		return false
	}
	return round == nil || round[host] == per.incarnation
}

// recover settles a process without memory once a majority that has its memory, or every member, has answered.
func (lea *Lease) recover(now time.Time) {
	if lea.settled {
		return
	}
	if !lea.recovered.IsZero() {
		// An older process of this host loses its majority within a term, because its members know this one.
		lea.settled = now.Sub(lea.recovered) >= lea.wait()
		return
	}
	for _, list := range append(lea.unread, lea.list) {
		if !lea.heard(list.Members) {
			return
		}
	}
	lea.recovered = now
	lea.unread = nil
}

// heard says whether a majority with memory, or every other host, has answered.
func (lea *Lease) heard(members []string) bool {
	answered, settled, others := 0, 0, 0
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
		if per.settled {
			settled++
		}
	}
	return answered == others || settled > len(members)/2
}

// vouches says whether other hosts may count this process for their majority.
func (lea *Lease) vouches(now time.Time) bool {
	until := lea.contactUntil(lea.list.Members, func(*peer) bool { return true })
	return lea.settled && !lea.superseded && now.Before(until)
}

// contactUntil returns until when the host is in contact with a majority of hosts whose answers count.
func (lea *Lease) contactUntil(hosts []string, counts func(*peer) bool) time.Time {
	var times []time.Time
	for _, host := range hosts {
		if host == lea.self {
			times = append(times, lea.aliveAt)
			continue
		}
		if per := lea.peers[host]; per != nil && per.acked && counts(per) {
			times = append(times, per.sentAt)
		}
	}
	need := len(hosts)/2 + 1
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(one, two time.Time) int { return two.Compare(one) })
	return times[need-1].Add(lea.term)
}

// validUntil returns until when the granted share may be used without further answers.
func (lea *Lease) validUntil() time.Time {
	if lea.superseded || !lea.settled || lea.granted == 0 {
		return time.Time{}
	}
	settled := func(per *peer) bool { return per.settled }
	until := lea.contactUntil(lea.list.Members, settled)
	if based := lea.contactUntil(lea.base.Members, settled); based.Before(until) {
		return based
	}
	return until
}

func (lea *Lease) valid(now time.Time) bool { return now.Before(lea.validUntil()) }

// Share returns the part of the group that the host may use now, and until when it may do so without further answers.
func (lea *Lease) Share(now time.Time) (share float64, until time.Time) {
	until = lea.validUntil()
	if !now.Before(until) {
		return 0, time.Time{}
	}
	return lea.granted, until
}

// HasQuorum says whether the host is on the list and in contact with a majority of it at the same version.
func (lea *Lease) HasQuorum(now time.Time) bool {
	if lea.superseded || !lea.settled || !slices.Contains(lea.list.Members, lea.self) {
		return false
	}
	same := func(per *peer) bool { return per.settled && per.version == lea.list.Version }
	return now.Before(lea.contactUntil(lea.list.Members, same))
}
