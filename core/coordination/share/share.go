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
	// leaseTerm is how long a share lasts without contact with a majority.
	leaseTerm = 4 * time.Second
	// raiseDelay is the wait before a larger part of a domain or group applies, so that other domains learn of it first.
	raiseDelay = 60 * time.Second
	// contactTick is how often the loop looks for hosts to contact.
	contactTick = 100 * time.Millisecond
	// exchangeTimeout ends an exchange of the contact or loan loop.
	exchangeTimeout = time.Second
	// maxJobs bounds the asks that wait for the loop; a request whose ask finds no place is refused.
	maxJobs = 256
)

// Settings are the fixed facts of a node.
type Settings struct {
	Host        string
	Domain      string
	Service     string
	Incarnation uint64 // higher than that of any earlier process of the host
	Peers       core.Peers
	Rand        *rand.Rand
}

// plan is a lease together with the part of every rate that its group has.
type plan struct {
	lease      *lease.Lease
	groups     int
	part       float64
	replacedAt time.Time // zero for the plan in force
}

// layout says which hosts belong to which rate group; it does not change.
type layout struct {
	own    []string   // members of this node's rate group
	near   [][]string // other groups of the same failure domain
	remote [][]string // groups of other failure domains
}

// Manager holds this node's part of the rates.
type Manager struct {
	set    Settings
	ledger *quota.RateLimiter
	layout atomic.Pointer[layout]
	asks   sync.Map // team to *asking
	tasks  sync.WaitGroup
	jobs   chan func(context.Context) // work that outlives the request that caused it

	mu      sync.Mutex
	plans   []*plan // the plan in force is the last
	service *lease.Lease
	version uint64
	rng     *rand.Rand
}

// New returns a manager that has no share until SetSnapshot and Run are called.
func New(set Settings) *Manager {
	kee := &Manager{
		set:     set,
		jobs:    make(chan func(context.Context), maxJobs),
		ledger:  quota.New(rand.New(rand.NewPCG(set.Rand.Uint64(), set.Rand.Uint64()))),
		rng:     rand.New(rand.NewPCG(set.Rand.Uint64(), set.Rand.Uint64())),
		service: lease.New("service/"+set.Service, set.Host, set.Incarnation, leaseTerm),
	}
	kee.layout.Store(&layout{})
	return kee
}

// SetSnapshot applies a new snapshot.
func (kee *Manager) SetSnapshot(sna *decl.Snapshot) {
	now := time.Now()
	kee.layout.Store(kee.newLayout(sna))
	kee.updateLeases(now, sna)
	var teams []quota.Team
	for name, tea := range sna.Teams() {
		teams = append(teams, quota.Team{Name: name, Rate: tea.Rate(), Burst: tea.Burst()})
	}
	kee.ledger.SetTeams(now, teams)
}

func (kee *Manager) updateLeases(now time.Time, sna *decl.Snapshot) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	kee.version = sna.Hosts().Version()
	var members []string
	for _, hos := range sna.Hosts().OfService(kee.set.Service) {
		members = append(members, hos.ID())
	}
	kee.service.SetMembers(now, kee.version, members)
	groups, part := 1, 0.0
	if dom := sna.Domain(kee.set.Domain); dom != nil {
		groups = dom.RateGroups()
		part = 1 / float64(len(sna.DomainNames())*groups)
	}
	kee.updatePlan(now, groups, part)
	for _, pla := range kee.plans {
		all := groupsOf(sna.Hosts().OfDomain(kee.set.Domain), pla.groups)
		pla.lease.SetMembers(now, kee.version, all[decl.RateGroup(kee.set.Host, pla.groups)])
	}
	kee.applyShare(now)
}

// updatePlan starts a new plan when the group or its part changes. The old plan stays in force beside it for a while:
// the node uses the smaller share of both.
func (kee *Manager) updatePlan(now time.Time, groups int, part float64) {
	next := &plan{groups: groups, part: part}
	if len(kee.plans) > 0 {
		last := kee.plans[len(kee.plans)-1]
		if last.groups == groups && last.part == part {
			return
		}
		last.replacedAt = now
	}
	for _, pla := range kee.plans {
		if pla.groups == groups {
			next.lease = pla.lease
		}
	}
	if next.lease == nil {
		name := fmt.Sprintf("rate/%s/%d/%d", kee.set.Domain, decl.RateGroup(kee.set.Host, groups), groups)
		next.lease = lease.New(name, kee.set.Host, kee.set.Incarnation, leaseTerm)
	}
	kee.plans = append(kee.plans, next)
}

// applyShare gives the rate limiter the smallest share of the plans that still count.
func (kee *Manager) applyShare(now time.Time) {
	kee.plans = slices.DeleteFunc(kee.plans, func(pla *plan) bool {
		return !pla.replacedAt.IsZero() && now.Sub(pla.replacedAt) >= raiseDelay
	})
	var share float64
	var until time.Time
	for i, pla := range kee.plans {
		part, end := pla.lease.Share(now)
		part *= pla.part
		if i == 0 || part < share {
			share = part
		}
		if i == 0 || end.Before(until) {
			until = end
		}
	}
	kee.ledger.SetShare(now, share, until)
}

func (kee *Manager) newLayout(sna *decl.Snapshot) *layout {
	lay := &layout{}
	for _, name := range sna.DomainNames() {
		count := sna.Domain(name).RateGroups()
		for i, members := range groupsOf(sna.Hosts().OfDomain(name), count) {
			switch {
			case len(members) == 0:
			case name != kee.set.Domain:
				lay.remote = append(lay.remote, members)
			case i == decl.RateGroup(kee.set.Host, count):
				lay.own = members
			default:
				lay.near = append(lay.near, members)
			}
		}
	}
	return lay
}

// groupsOf splits the hosts of a failure domain into its rate groups.
func groupsOf(hosts []*decl.Host, count int) [][]string {
	groups := make([][]string, count)
	for _, hos := range hosts {
		i := decl.RateGroup(hos.ID(), count)
		groups[i] = append(groups[i], hos.ID())
	}
	return groups
}

// Run keeps contact and loans until the context ends.
func (kee *Manager) Run(ctx context.Context) error {
	defer kee.tasks.Wait()
	contact := time.NewTicker(contactTick)
	defer contact.Stop()
	loans := time.NewTicker(loanTick)
	defer loans.Stop()
	returns := time.NewTicker(returnTick)
	defer returns.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-kee.jobs:
			kee.tasks.Go(func() { job(ctx) })
		case <-contact.C:
			kee.contact(ctx)
		case <-loans.C:
			kee.tendLoans(ctx)
		case <-returns.C:
			kee.giveBack(ctx)
		}
	}
}

// leases returns the leases of all plans and the service's.
func (kee *Manager) leases() []*lease.Lease {
	out := []*lease.Lease{kee.service}
	for _, pla := range kee.plans {
		if !slices.Contains(out, pla.lease) {
			out = append(out, pla.lease)
		}
	}
	return out
}

// contact sends what is due to the hosts of all groups.
func (kee *Manager) contact(ctx context.Context) {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	now := time.Now()
	for _, lea := range kee.leases() {
		for _, host := range lea.DueHosts(now) {
			msg := contactOf(lea.Group(), lea.Message(now, host))
			kee.tasks.Go(func() { kee.contactHost(ctx, lea, host, msg) })
		}
	}
	kee.applyShare(now)
}

func (kee *Manager) contactHost(ctx context.Context, lea *lease.Lease, host string, msg *wire.Contact) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if lea != kee.service {
		msg.Loans = kee.pull(host)
	}
	asked := time.Now()
	reply, err := kee.set.Peers.Exchange(ctx, host, msg)
	ack, ok := reply.(*wire.ContactAck)
	if err != nil || !ok || ack.GetGroup() != lea.Group() {
		return
	}
	kee.mu.Lock()
	now := time.Now()
	lea.HandleAck(now, asked, host, messageOf(ack))
	kee.applyShare(now)
	kee.mu.Unlock()
	kee.ledger.ApplyGrant(time.Now(), asked, host, loansOf(ack.GetLoans()))
}

// HandleControl answers a contact or loan message; handled is false for messages of other packages.
func (kee *Manager) HandleControl(ctx context.Context, host string, msg proto.Message) (reply proto.Message, handled bool, err error) {
	switch msg := msg.(type) {
	case *wire.Contact:
		return kee.answerContact(host, msg), true, nil
	case *wire.LoanRequest:
		return kee.answerRequest(ctx, host, msg), true, nil
	case *wire.LoanOffer:
		kee.ledger.AcceptReturn(time.Now(), host, loansOf(&wire.LoanGrant{Loans: msg.GetReturned()}))
		return &wire.Done{}, true, nil
	}
	return nil, false, nil
}

// answerContact answers within a group that this node shares with the sender, else with Done.
func (kee *Manager) answerContact(host string, msg *wire.Contact) proto.Message {
	ack := kee.answerLease(host, msg)
	if ack == nil {
		return &wire.Done{}
	}
	if msg.GetLoans() != nil {
		ack.Loans = kee.grant(host, msg.GetLoans())
	}
	return ack
}

func (kee *Manager) answerLease(host string, msg *wire.Contact) *wire.ContactAck {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	now := time.Now()
	for _, lea := range kee.leases() {
		if lea.Group() != msg.GetGroup() {
			continue
		}
		answer := lea.HandleContact(now, host, messageOf(msg))
		kee.applyShare(now)
		return ackOf(lea.Group(), answer)
	}
	return nil
}

// HasQuorum says whether the node is in contact with a majority of its rate group.
func (kee *Manager) HasQuorum() bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return len(kee.plans) > 0 && kee.plans[len(kee.plans)-1].lease.HasQuorum(time.Now())
}

// Share returns the part of every rate that the node holds now, without loans.
func (kee *Manager) Share() float64 {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if len(kee.plans) == 0 {
		return 0
	}
	pla := kee.plans[len(kee.plans)-1]
	share, _ := pla.lease.Share(time.Now())
	return share * pla.part
}

// HasServiceQuorum says whether the node is in contact with a majority of its service's hosts at the same list version.
func (kee *Manager) HasServiceQuorum() bool {
	kee.mu.Lock()
	defer kee.mu.Unlock()
	return kee.service.HasQuorum(time.Now())
}

// Status is the state of the node's shares.
type Status struct {
	Group           string
	Version         uint64
	Members         []string
	Share           float64 // part of every rate
	Pending         bool    // a change of the list is not yet confirmed by all
	Superseded      bool    // a later process of this host is known
	Majority        bool
	ServiceMajority bool
	Teams           []quota.Status
}

// Status returns plain data for the status page.
func (kee *Manager) Status() Status {
	now := time.Now()
	sta := Status{Teams: kee.ledger.Status(now), Share: kee.Share(), Majority: kee.HasQuorum(), ServiceMajority: kee.HasServiceQuorum()}
	kee.mu.Lock()
	defer kee.mu.Unlock()
	if len(kee.plans) == 0 {
		return sta
	}
	pla := kee.plans[len(kee.plans)-1]
	sta.Group, sta.Version = pla.lease.Group(), pla.lease.Version()
	sta.Members = slices.Clone(pla.lease.Members())
	sta.Pending, sta.Superseded = pla.lease.Pending(), pla.lease.Superseded()
	return sta
}
