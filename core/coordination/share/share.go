package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/lease"
	"amaranthline/core/state/quota"
	"amaranthline/io/protocol/wire"
)

const (
	// leaseTerm is how long a share may be used without contact with a majority.
	leaseTerm = 4 * time.Second
	// shareIncreaseDelay is the time before a larger share of a failure domain or rate group applies, so that other
	// domains learn of the change before it takes effect.
	shareIncreaseDelay = 60 * time.Second
	// contactInterval is the time between checks for hosts that are due for a contact.
	contactInterval = 100 * time.Millisecond
	// exchangeTimeout is the longest time that the node waits for the answer to a contact, a loan request or a return.
	exchangeTimeout = time.Second
	// maxQueuedJobs bounds the borrowing attempts queued for Run. A request whose attempt finds the queue full is refused.
	maxQueuedJobs = 256
)

// Settings identify a node and give it its peers; they do not change.
type Settings struct {
	Host        string // ID of this node's host
	Domain      string
	Service     string
	Incarnation uint64 // higher than that of any earlier process of the host
	Peers       core.Peers
	Rand        *rand.Rand
}

// allocation is the node's lease in its rate group and the share of every rate that the group has.
type allocation struct {
	lease      *lease.Lease
	groupCount int       // rate groups of the failure domain
	groupShare float64   // fraction of every rate
	replacedAt time.Time // zero for the current allocation
}

// rateGroups holds the members of all rate groups that are not empty; it is not changed once stored.
type rateGroups struct {
	thisGroup    []string   // members of this node's rate group
	sameDomain   [][]string // other groups of the same failure domain
	otherDomains [][]string // groups of other failure domains
}

// Manager keeps the node's share of every team's rate, and borrows and lends shares.
type Manager struct {
	settings     Settings
	limiter      *quota.RateLimiter
	rateGroups   atomic.Pointer[rateGroups]
	borrowStates sync.Map // team name to *borrowState
	tasks        sync.WaitGroup
	jobs         chan func(context.Context) // borrowing attempts, which may outlast the request that started them

	mut             sync.Mutex
	allocations     []*allocation // the current one is the last
	serviceLease    *lease.Lease  // over the hosts of the service; only its quorum is used
	hostListVersion uint64
	rng             *rand.Rand
}

// New returns a manager that has no share until SetSnapshot and Run are called.
func New(set Settings) *Manager {
	mgr := &Manager{
		settings:     set,
		jobs:         make(chan func(context.Context), maxQueuedJobs),
		limiter:      quota.New(rand.New(rand.NewPCG(set.Rand.Uint64(), set.Rand.Uint64()))),
		rng:          rand.New(rand.NewPCG(set.Rand.Uint64(), set.Rand.Uint64())),
		serviceLease: lease.New("service/"+set.Service, set.Host, set.Incarnation, leaseTerm),
	}
	mgr.rateGroups.Store(&rateGroups{})
	return mgr
}

// SetSnapshot applies the teams, rate groups and hosts of a new snapshot.
func (mgr *Manager) SetSnapshot(sna *decl.Snapshot) {
	now := time.Now()
	mgr.rateGroups.Store(mgr.newRateGroups(sna))
	mgr.updateLeases(now, sna)
	var teams []quota.Team
	for name, tea := range sna.Teams() {
		teams = append(teams, quota.Team{Name: name, Rate: tea.Rate(), Burst: tea.Burst()})
	}
	mgr.limiter.SetTeams(now, teams)
}

func (mgr *Manager) updateLeases(now time.Time, sna *decl.Snapshot) {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	mgr.hostListVersion = sna.Hosts().Version()
	var members []string
	for _, hos := range sna.Hosts().OfService(mgr.settings.Service) {
		members = append(members, hos.ID())
	}
	mgr.serviceLease.SetMembers(now, mgr.hostListVersion, members)
	groupCount, groupShare := 1, 0.0
	if dom := sna.Domain(mgr.settings.Domain); dom != nil {
		groupCount = dom.RateGroups()
		groupShare = 1 / float64(len(sna.DomainNames())*groupCount)
	}
	mgr.updateAllocation(now, groupCount, groupShare)
	for _, alc := range mgr.allocations {
		membersByGroup := splitIntoRateGroups(sna.Hosts().OfDomain(mgr.settings.Domain), alc.groupCount)
		alc.lease.SetMembers(now, mgr.hostListVersion, membersByGroup[decl.RateGroup(mgr.settings.Host, alc.groupCount)])
	}
	mgr.applyShare(now)
}

// updateAllocation starts a new allocation when the number of rate groups or the share of the group changes. The old one
// also applies for shareIncreaseDelay: the node uses the smaller share of both.
func (mgr *Manager) updateAllocation(now time.Time, groupCount int, groupShare float64) {
	next := &allocation{groupCount: groupCount, groupShare: groupShare}
	if len(mgr.allocations) > 0 {
		last := mgr.allocations[len(mgr.allocations)-1]
		if last.groupCount == groupCount && last.groupShare == groupShare {
			return
		}
		last.replacedAt = now
	}
	for _, alc := range mgr.allocations {
		if alc.groupCount == groupCount {
			next.lease = alc.lease
		}
	}
	if next.lease == nil {
		name := fmt.Sprintf("rate/%s/%d/%d", mgr.settings.Domain, decl.RateGroup(mgr.settings.Host, groupCount), groupCount)
		next.lease = lease.New(name, mgr.settings.Host, mgr.settings.Incarnation, leaseTerm)
	}
	mgr.allocations = append(mgr.allocations, next)
}

// applyShare sets the share of the rate limiter to the smallest share of all allocations that still apply. It applies
// until the first of these shares expires.
func (mgr *Manager) applyShare(now time.Time) {
	mgr.allocations = slices.DeleteFunc(mgr.allocations, func(alc *allocation) bool {
		return !alc.replacedAt.IsZero() && now.Sub(alc.replacedAt) >= shareIncreaseDelay
	})
	var share float64
	var until time.Time
	for i, alc := range mgr.allocations {
		allocated, end := alc.lease.Share(now)
		allocated *= alc.groupShare
		if i == 0 || allocated < share {
			share = allocated
		}
		if i == 0 || end.Before(until) {
			until = end
		}
	}
	mgr.limiter.SetShare(now, share, until)
}

func (mgr *Manager) newRateGroups(sna *decl.Snapshot) *rateGroups {
	rgs := &rateGroups{}
	for _, name := range sna.DomainNames() {
		count := sna.Domain(name).RateGroups()
		for i, members := range splitIntoRateGroups(sna.Hosts().OfDomain(name), count) {
			switch {
			case len(members) == 0:
			case name != mgr.settings.Domain:
				rgs.otherDomains = append(rgs.otherDomains, members)
			case i == decl.RateGroup(mgr.settings.Host, count):
				rgs.thisGroup = members
			default:
				rgs.sameDomain = append(rgs.sameDomain, members)
			}
		}
	}
	return rgs
}

// splitIntoRateGroups splits the hosts of a failure domain into its rate groups.
func splitIntoRateGroups(hosts []*decl.Host, count int) [][]string {
	groups := make([][]string, count)
	for _, hos := range hosts {
		i := decl.RateGroup(hos.ID(), count)
		groups[i] = append(groups[i], hos.ID())
	}
	return groups
}

// Run contacts the hosts of the node's groups and borrows, renews and returns loans until the context ends.
func (mgr *Manager) Run(ctx context.Context) error {
	defer mgr.tasks.Wait()
	contacts := time.NewTicker(contactInterval)
	defer contacts.Stop()
	loans := time.NewTicker(loanInterval)
	defer loans.Stop()
	returns := time.NewTicker(returnInterval)
	defer returns.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-mgr.jobs:
			mgr.tasks.Go(func() { job(ctx) })
		case <-contacts.C:
			mgr.contactDueHosts(ctx)
		case <-loans.C:
			mgr.maintainLoans(ctx)
		case <-returns.C:
			mgr.returnIdleLoans(ctx)
		}
	}
}

// leases returns the lease of the service and those of all allocations, each once.
func (mgr *Manager) leases() []*lease.Lease {
	out := []*lease.Lease{mgr.serviceLease}
	for _, alc := range mgr.allocations {
		if !slices.Contains(out, alc.lease) {
			out = append(out, alc.lease)
		}
	}
	return out
}

// contactDueHosts sends contacts to the hosts of all groups that are due for one.
func (mgr *Manager) contactDueHosts(ctx context.Context) {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	now := time.Now()
	for _, lea := range mgr.leases() {
		for _, host := range lea.DueHosts(now) {
			msg := wireContact(lea.Group(), lea.Message(now, host))
			mgr.tasks.Go(func() { mgr.contactHost(ctx, lea, host, msg) })
		}
	}
	mgr.applyShare(now)
}

func (mgr *Manager) contactHost(ctx context.Context, lea *lease.Lease, host string, msg *wire.Contact) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if lea != mgr.serviceLease {
		msg.Loans = mgr.brokerRequest(host)
	}
	sentAt := time.Now()
	reply, err := mgr.settings.Peers.Exchange(ctx, host, msg)
	ack, ok := reply.(*wire.ContactAck)
	if err != nil || !ok || ack.GetGroup() != lea.Group() {
		return
	}
	mgr.mut.Lock()
	now := time.Now()
	lea.HandleAck(now, sentAt, host, leaseMessage(ack))
	mgr.applyShare(now)
	mgr.mut.Unlock()
	mgr.limiter.ApplyGrant(time.Now(), sentAt, host, quotaLoans(ack.GetLoans()))
}

// HandleControl answers a contact or loan message; handled is false for messages of other packages.
func (mgr *Manager) HandleControl(ctx context.Context, host string, msg proto.Message) (reply proto.Message, handled bool, err error) {
	switch msg := msg.(type) {
	case *wire.Contact:
		return mgr.answerContact(host, msg), true, nil
	case *wire.LoanRequest:
		return mgr.answerLoanRequest(ctx, host, msg), true, nil
	case *wire.LoanOffer:
		mgr.limiter.AcceptReturn(time.Now(), host, quotaLoans(&wire.LoanGrant{Loans: msg.GetReturned()}))
		return &wire.Done{}, true, nil
	}
	return nil, false, nil
}

// answerContact answers a contact with an acknowledgement, or with Done if the node has no lease in its group.
func (mgr *Manager) answerContact(host string, msg *wire.Contact) proto.Message {
	ack := mgr.applyContact(host, msg)
	if ack == nil {
		return &wire.Done{}
	}
	if msg.GetLoans() != nil {
		ack.Loans = mgr.grantLoans(host, msg.GetLoans())
	}
	return ack
}

// applyContact applies a contact to the lease of its group and returns the acknowledgement, or nil if the node has no
// lease in that group.
func (mgr *Manager) applyContact(host string, msg *wire.Contact) *wire.ContactAck {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	now := time.Now()
	for _, lea := range mgr.leases() {
		if lea.Group() != msg.GetGroup() {
			continue
		}
		answer := lea.HandleContact(now, host, leaseMessage(msg))
		mgr.applyShare(now)
		return wireContactAck(lea.Group(), answer)
	}
	return nil
}

// HasQuorum reports whether the node is in contact with a majority of its rate group.
func (mgr *Manager) HasQuorum() bool {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	return len(mgr.allocations) > 0 && mgr.allocations[len(mgr.allocations)-1].lease.HasQuorum(time.Now())
}

// NodeShare returns the node's share of every rate under the current allocation, without loans.
func (mgr *Manager) NodeShare() float64 {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	if len(mgr.allocations) == 0 {
		return 0
	}
	alc := mgr.allocations[len(mgr.allocations)-1]
	share, _ := alc.lease.Share(time.Now())
	return share * alc.groupShare
}

// HasServiceQuorum reports whether the node is in contact with a majority of its service's hosts at the same version of
// the host list.
func (mgr *Manager) HasServiceQuorum() bool {
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	return mgr.serviceLease.HasQuorum(time.Now())
}

// Status is the state of the node's shares and of its lease in its rate group.
type Status struct {
	Group           string
	Version         uint64 // of the host list
	Members         []string
	Share           float64 // fraction of every rate, without loans
	Pending         bool    // not all required hosts have confirmed the current membership
	Superseded      bool    // a later process of this host is known
	Majority        bool    // contact with a majority of the rate group
	ServiceMajority bool    // contact with a majority of the service's hosts
	Teams           []quota.Status
}

// Status returns the current state for the status page.
func (mgr *Manager) Status() Status {
	now := time.Now()
	sta := Status{Teams: mgr.limiter.Status(now), Share: mgr.NodeShare(), Majority: mgr.HasQuorum(), ServiceMajority: mgr.HasServiceQuorum()}
	mgr.mut.Lock()
	defer mgr.mut.Unlock()
	if len(mgr.allocations) == 0 {
		return sta
	}
	alc := mgr.allocations[len(mgr.allocations)-1]
	sta.Group, sta.Version = alc.lease.Group(), alc.lease.Version()
	sta.Members = slices.Clone(alc.lease.Members())
	sta.Pending, sta.Superseded = alc.lease.Pending(), alc.lease.Superseded()
	return sta
}
