package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/decl"
	"amaranthline/io/protocol/wire"

	"google.golang.org/protobuf/proto"
)

const (
	gossipInterval = time.Second
	// A node that is not on the host list is no node's neighbour and gets no offers, so it sends its own more often.
	unlistedInterval = 200 * time.Millisecond
	offerTimeout     = time.Second
	pushTimeout      = 3 * time.Second
	minPullTimeout   = 1500 * time.Millisecond // for the first round over the offering peers; doubles with each round
	maxPullTimeout   = 6 * time.Second
	// pullHedgeDelay is the time after which the next peer is asked for the same document while the earlier request
	// is still open. Otherwise a peer whose connection has gone silent would cost the whole pull timeout.
	pullHedgeDelay     = 250 * time.Millisecond
	maxOfferers        = 8 // offering peers remembered for one version
	maxConcurrentPulls = 8 // for one document
	maxPullRounds      = 6 // requests to each offering peer for one version
	defaultBootJitter  = 2 * time.Second
	// unknownAge is the age that a node sends while it knows of no direct read.
	unknownAge = -1
)

// Settings hold the identity, dependencies and parameters of a Syncer.
type Settings struct {
	Host   string // ID of this node's host
	Domain string
	// Seeds are the hosts that the node contacts before it has a host list; Peers must know their addresses.
	Seeds  []string
	Peers  core.Peers
	Source core.ConfigSource
	// Rand must not be shared: the Syncer guards it with its own lock.
	Rand *rand.Rand
	// OnChange is called with every new pair of declarations and host list, in order and never concurrently; it may
	// be nil.
	OnChange func(*decl.Snapshot)
	// BootJitter limits the random pause of a starting node before it reads each document from the platform; zero
	// means 2 s.
	BootJitter time.Duration
	// OnRefused is called for each document that is refused; it may be nil.
	OnRefused func(error)
	// OnlyDeclared keeps hosts of services that are not declared out of use, where programs that are no upstreams may be on
	// the host list.
	OnlyDeclared bool
	// OnIgnored is called once for each item of a document in force that is invalid or not used, in order and never
	// concurrently, until the item is in use or gone; it may be nil.
	OnIgnored func(*decl.IgnoredItem)
	// MaxBackoff is the longest pause of a watcher between calls to a platform that fails; zero means 5 s. A starting
	// node uses twice that, limited to 10 s, or MaxBackoff if that is longer.
	MaxBackoff time.Duration
}

// Syncer keeps the declarations and the host list of one node current.
type Syncer struct {
	settings             Settings
	snapshot             atomic.Pointer[decl.Snapshot]
	applyMut             sync.Mutex      // held from the validation of a document to the end of OnChange
	reportedIgnored      map[string]bool // names of the items that OnIgnored was called for; guarded by applyMut
	changedFrom          chan string     // a change to offer: the peer that the new version came from, or "" to offer it to all
	checkingHigherRanked atomic.Bool
	counts               counters

	mut       sync.Mutex // guards the fields below and set.Rand
	store     *Store
	overlay   *Overlay
	freshness *Freshness
	reads     map[string]*readState // by document name
	pulls     map[string]*pullState // by document name
}

// pullState tracks the pulls of one document from the peers that offered it.
type pullState struct {
	wanted    Version
	offerers  []string      // peers that offered the wanted version
	pullsSent int           // pulls sent for the wanted version
	running   int           // pulls without a reply yet, also those for a version wanted earlier
	wake      chan struct{} // tells runPulls that a pull may be due
}

// New returns a Syncer; Run starts it.
func New(set Settings) *Syncer {
	if set.BootJitter == 0 {
		set.BootJitter = defaultBootJitter
	}
	if set.MaxBackoff == 0 {
		set.MaxBackoff = defaultMaxBackoff
	}
	syn := &Syncer{
		settings: set, changedFrom: make(chan string, 1), store: NewStore(), overlay: NewOverlay(set.Host, set.Domain),
		freshness: NewFreshness(time.Now()), reads: map[string]*readState{}, pulls: map[string]*pullState{},
	}
	if set.OnlyDeclared {
		syn.store.UseOnlyDeclared()
	}
	for _, name := range documentNames {
		syn.reads[name] = &readState{}
		syn.pulls[name] = &pullState{wake: make(chan struct{}, 1)}
	}
	return syn
}

// Snapshot returns the declarations and the host list in force, or nil until the node has both.
func (syn *Syncer) Snapshot() *decl.Snapshot { return syn.snapshot.Load() }

// Neighbours returns the hosts to which this node offers versions.
func (syn *Syncer) Neighbours() []string {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	return syn.overlay.Neighbours()
}

// Run keeps the documents current until the context ends and returns after all its goroutines have ended.
func (syn *Syncer) Run(ctx context.Context) error {
	var grp sync.WaitGroup
	grp.Go(func() { syn.runGossip(ctx, &grp) })
	grp.Go(func() { syn.runBoot(ctx) })
	grp.Go(func() { syn.runFallback(ctx) })
	for _, name := range documentNames {
		grp.Go(func() { syn.runWatch(ctx, name) })
		grp.Go(func() { syn.runPulls(ctx, name, &grp) })
	}
	grp.Wait()
	return nil
}

// runGossip offers the versions in force to the neighbours after a change, and to one random neighbour each second.
func (syn *Syncer) runGossip(ctx context.Context, grp *sync.WaitGroup) {
	for _, host := range syn.settings.Seeds {
		grp.Go(func() { syn.offer(ctx, host) })
	}
	if !sleep(ctx, syn.randomDuration(gossipInterval)) {
		return
	}
	tick := time.NewTicker(unlistedInterval)
	defer tick.Stop()
	for count := 0; ; {
		select {
		case <-ctx.Done():
			return
		case from := <-syn.changedFrom:
			for _, host := range syn.Neighbours() {
				if host != from {
					grp.Go(func() { syn.offer(ctx, host) })
				}
			}
		case <-tick.C:
			if count++; count%int(gossipInterval/unlistedInterval) != 0 && syn.isListed() {
				continue
			}
			syn.recordFailedConnections()
			for _, host := range syn.exchangePartners() {
				grp.Go(func() { syn.offer(ctx, host) })
			}
			grp.Go(func() { syn.checkHigherRanked(ctx) })
		}
	}
}

// isListed reports whether this node is on the host list in force; without a list it counts as listed.
func (syn *Syncer) isListed() bool {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	hosts := syn.store.Hosts()
	return hosts == nil || hosts.Host(syn.settings.Host) != nil
}

// recordFailedConnections marks the hosts whose connections are down as failed, so that they are replaced before an
// exchange with them times out.
func (syn *Syncer) recordFailedConnections() {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	for _, host := range append(syn.overlay.Neighbours(), syn.overlay.HigherRanked()...) {
		if pst := syn.settings.Peers.State(host); pst.Known() && !pst.Up() {
			syn.overlay.RecordFailure(time.Now(), host)
		}
	}
}

// exchangePartners returns the hosts to exchange offers with now: a random neighbour or, without neighbours, a random
// seed, and a failed host if one is due to be tried again.
func (syn *Syncer) exchangePartners() []string {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	neighbours := syn.overlay.Neighbours()
	if len(neighbours) == 0 {
		neighbours = syn.settings.Seeds
	}
	var out []string
	if len(neighbours) > 0 {
		out = append(out, neighbours[syn.settings.Rand.IntN(len(neighbours))])
	}
	if host, ok := syn.overlay.HostToRecheck(time.Now()); ok {
		out = append(out, host)
	}
	return out
}

// checkHigherRanked exchanges offers with the hosts whose failure would make this node a watcher. When one fails, the
// next one in the ranking is checked immediately.
func (syn *Syncer) checkHigherRanked(ctx context.Context) {
	if !syn.checkingHigherRanked.CompareAndSwap(false, true) {
		return
	}
	defer syn.checkingHigherRanked.Store(false)
	checked := map[string]bool{}
	for {
		hosts := syn.uncheckedHigherRanked(checked)
		if len(hosts) == 0 {
			return
		}
		var grp sync.WaitGroup
		for _, host := range hosts {
			checked[host] = true
			grp.Go(func() { syn.offer(ctx, host) })
		}
		grp.Wait()
	}
}

func (syn *Syncer) uncheckedHigherRanked(checked map[string]bool) []string {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	return slices.DeleteFunc(syn.overlay.HigherRanked(), func(host string) bool { return checked[host] })
}

// offer sends a host the versions in force and processes the host's own offer, which is the reply.
func (syn *Syncer) offer(ctx context.Context, host string) {
	if host == syn.settings.Host {
		return
	}
	syn.counts.offers.Add(1)
	reply, err := syn.exchange(ctx, host, syn.offerMessage(), offerTimeout)
	if err != nil {
		syn.recordFailure(ctx, host)
		return
	}
	if off, ok := reply.(*wire.Offer); ok {
		syn.processOffer(host, off)
		syn.push(ctx, host, off)
	}
}

// push sends the documents in force to a peer whose offer contains no host list. Such a peer knows no addresses and
// cannot pull: a node that restarts while the platform is down depends on the peers that still contact it.
func (syn *Syncer) push(ctx context.Context, host string, off *wire.Offer) {
	if slices.ContainsFunc(off.GetVersions(), func(ver *wire.Version) bool { return ver.GetName() == core.DocumentHosts }) {
		return
	}
	for _, name := range documentNames {
		if doc := syn.documentMessage(&wire.Pull{Name: name}); len(doc.GetData()) > 0 {
			_, _ = syn.exchange(ctx, host, doc, pushTimeout) // if it did not arrive, the peer's next offer still lacks a host list
		}
	}
}

func (syn *Syncer) exchange(ctx context.Context, host string, msg proto.Message, timeout time.Duration) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	syn.counts.countSent(msg)
	reply, err := syn.settings.Peers.Exchange(ctx, host, msg)
	if err == nil {
		syn.counts.countReceived(reply)
	}
	return reply, err
}

// recordFailure marks a host as failed after an exchange with it failed, unless this node is stopping.
func (syn *Syncer) recordFailure(ctx context.Context, host string) {
	if ctx.Err() != nil {
		return
	}
	syn.mut.Lock()
	defer syn.mut.Unlock()
	syn.overlay.RecordFailure(time.Now(), host)
}

func (syn *Syncer) offerMessage() *wire.Offer {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	off := &wire.Offer{FreshAgeNanos: unknownAge}
	if age, ok := syn.freshness.Age(time.Now()); ok {
		off.FreshAgeNanos = max(int64(age), 1)
	}
	for _, name := range documentNames {
		if ver, ok := syn.store.Version(name); ok {
			off.Versions = append(off.Versions, &wire.Version{Name: name, Version: ver.number, Digest: ver.digest[:]})
		}
	}
	return off
}

// processOffer records that a peer is reachable and the newest direct read that it knows of, and requests pulls of the
// newer documents that it offers.
func (syn *Syncer) processOffer(host string, off *wire.Offer) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	syn.overlay.RecordContact(host)
	if off.GetFreshAgeNanos() > 0 {
		syn.freshness.RecordRead(time.Now().Add(-time.Duration(off.GetFreshAgeNanos())))
	}
	for _, ver := range off.GetVersions() {
		syn.requestPull(host, ver)
	}
}

// requestPull adds a peer to those that offered a version, if that version is wanted.
func (syn *Syncer) requestPull(host string, msg *wire.Version) {
	ver := Version{name: msg.GetName(), number: msg.GetVersion()}
	if len(msg.GetDigest()) != len(ver.digest) {
		return
	}
	copy(ver.digest[:], msg.GetDigest())
	if !syn.store.Supersedes(ver) {
		return
	}
	pul := syn.pulls[ver.name]
	if ver.NewerThan(pul.wanted) {
		pul.wanted, pul.offerers, pul.pullsSent = ver, nil, 0
	}
	if ver == pul.wanted && len(pul.offerers) < maxOfferers && !slices.Contains(pul.offerers, host) {
		pul.offerers = append(pul.offerers, host)
	}
	notify(pul.wake)
}

// notify wakes the reader of a channel with a buffer of one, without blocking.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// runPulls fetches the offered versions of one document, each from a single peer unless that peer is slow to reply.
func (syn *Syncer) runPulls(ctx context.Context, name string, grp *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-syn.pulls[name].wake:
			syn.pullOffered(ctx, name, grp)
		}
	}
}

func (syn *Syncer) pullOffered(ctx context.Context, name string, grp *sync.WaitGroup) {
	for ctx.Err() == nil {
		host, ver, timeout, ok := syn.nextPull(name)
		if !ok {
			return
		}
		done := make(chan struct{})
		grp.Go(func() {
			defer close(done)
			syn.pullFrom(ctx, host, ver, timeout)
			syn.finishPull(name)
		})
		await(ctx, done, pullHedgeDelay)
	}
}

// nextPull returns the next peer to ask, the wanted version and the timeout; it returns false if no version is wanted
// any more, all rounds are used up, or too many pulls are running.
func (syn *Syncer) nextPull(name string) (string, Version, time.Duration, bool) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	pul := syn.pulls[name]
	if pul.running >= maxConcurrentPulls {
		return "", Version{}, 0, false
	}
	if pul.pullsSent >= maxPullRounds*len(pul.offerers) || !syn.store.Supersedes(pul.wanted) {
		pul.wanted, pul.offerers, pul.pullsSent = Version{}, nil, 0
		return "", Version{}, 0, false
	}
	host := pul.offerers[pul.pullsSent%len(pul.offerers)]
	timeout := min(minPullTimeout<<(pul.pullsSent/len(pul.offerers)), maxPullTimeout)
	pul.pullsSent++
	pul.running++
	return host, pul.wanted, timeout, true
}

func (syn *Syncer) finishPull(name string) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	syn.pulls[name].running--
	notify(syn.pulls[name].wake)
}

func (syn *Syncer) pullFrom(ctx context.Context, host string, ver Version, timeout time.Duration) {
	syn.counts.pulls.Add(1)
	reply, err := syn.exchange(ctx, host, &wire.Pull{Name: ver.name, Version: ver.number}, timeout)
	if err != nil {
		syn.recordFailure(ctx, host)
		return
	}
	msg, ok := reply.(*wire.Document)
	if !ok || msg.GetVersion() < ver.number {
		return
	}
	data, err := Decompress(msg.GetData())
	if err != nil {
		return
	}
	_ = syn.apply(core.NewDocument(ver.name, msg.GetVersion(), data), msg.GetData(), host) // the store records a refusal for Status
}

// apply puts a document in force if it is valid and newer than the one in force, and announces it to the
// neighbours.
func (syn *Syncer) apply(doc core.Document, compressed []byte, from string) error {
	syn.applyMut.Lock()
	defer syn.applyMut.Unlock()
	changed, err := syn.install(doc, compressed)
	if err != nil && syn.settings.OnRefused != nil {
		syn.settings.OnRefused(err)
	}
	if !changed {
		return err
	}
	syn.announce(from)
	syn.reportIgnored()
	snap := syn.snapshot.Load()
	if snap != nil && syn.settings.OnChange != nil {
		syn.settings.OnChange(snap)
	}
	return nil
}

// reportIgnored calls OnIgnored for the items that were not ignored before. The caller holds applyMut.
func (syn *Syncer) reportIgnored() {
	reported := map[string]bool{}
	for _, ign := range syn.Ignored() {
		isNew := !reported[ign.Name()] && !syn.reportedIgnored[ign.Name()]
		reported[ign.Name()] = true
		if isNew && syn.settings.OnIgnored != nil {
			syn.settings.OnIgnored(ign)
		}
	}
	syn.reportedIgnored = reported
}

// Ignored returns what the documents in force contain but is not in force because it is invalid or not used.
func (syn *Syncer) Ignored() []*decl.IgnoredItem {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	return syn.store.Ignored()
}

// announce makes runGossip offer the change to all neighbours except the peer that it came from. If an earlier change
// is still waiting to be offered, both are offered together and to all neighbours.
func (syn *Syncer) announce(from string) {
	select {
	case syn.changedFrom <- from:
		return
	case <-syn.changedFrom:
	}
	syn.changedFrom <- ""
}

func (syn *Syncer) install(doc core.Document, compressed []byte) (bool, error) {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	before := syn.store.Hosts()
	changed, err := syn.store.Apply(doc, compressed)
	if !changed {
		return false, err
	}
	if hosts := syn.store.Hosts(); hosts != before {
		syn.overlay.SetHosts(hosts)
	}
	syn.snapshot.Store(syn.store.Snapshot())
	return true, nil
}

// HandleControl replies to the offers, pulls and pushed documents of peers; it returns false for other messages.
func (syn *Syncer) HandleControl(_ context.Context, host string, msg proto.Message) (proto.Message, bool, error) {
	switch req := msg.(type) {
	case *wire.Offer:
		syn.counts.countReceived(req)
		syn.processOffer(host, req)
		return syn.countSent(syn.offerMessage()), true, nil
	case *wire.Pull:
		syn.counts.countReceived(req)
		return syn.countSent(syn.documentMessage(req)), true, nil
	case *wire.Document:
		syn.counts.countReceived(req)
		return syn.countSent(&wire.Done{}), true, syn.applyPushed(host, req)
	}
	return nil, false, nil
}

// applyPushed applies a document that a peer pushed.
func (syn *Syncer) applyPushed(host string, msg *wire.Document) error {
	data, err := Decompress(msg.GetData())
	if err != nil {
		return err
	}
	return syn.apply(core.NewDocument(msg.GetName(), msg.GetVersion(), data), msg.GetData(), host)
}

// countSent counts a reply as sent and returns it.
func (syn *Syncer) countSent(msg proto.Message) proto.Message {
	syn.counts.countSent(msg)
	return msg
}

// documentMessage returns the document in force, or one without data if its version is below the requested one.
func (syn *Syncer) documentMessage(req *wire.Pull) *wire.Document {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	ver, ok := syn.store.Version(req.GetName())
	if !ok || ver.number < req.GetVersion() {
		return &wire.Document{Name: req.GetName()}
	}
	return &wire.Document{Name: ver.name, Version: ver.number, Data: syn.store.Compressed(ver.name)}
}

// randomDuration returns a random duration of at least zero and below a limit.
func (syn *Syncer) randomDuration(limit time.Duration) time.Duration {
	syn.mut.Lock()
	defer syn.mut.Unlock()
	return randomDuration(syn.settings.Rand, limit)
}

// sleep waits for a pause and reports whether it ended before the context did.
func sleep(ctx context.Context, pause time.Duration) bool {
	return await(ctx, nil, pause)
}

// await waits until done is closed or the pause is over, and reports whether that was before the context
// ended.
func await(ctx context.Context, done <-chan struct{}, pause time.Duration) bool {
	tim := time.NewTimer(pause)
	defer tim.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	case <-tim.C:
		return true
	}
}
