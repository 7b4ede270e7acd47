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
	// A node that is not on the host list is nobody's neighbour and gets no offers, so it asks more often.
	unlistedInterval = 200 * time.Millisecond
	offerTimeout     = time.Second
	pushTimeout      = 3 * time.Second
	pullTimeout      = 1500 * time.Millisecond // doubles with each round over the offering peers
	maxPullTimeout   = 6 * time.Second
	// pullHedge is the wait before a second peer is asked for the same document: a peer behind a silent
	// connection would otherwise cost the whole timeout.
	pullHedge   = 250 * time.Millisecond
	maxOfferers = 8 // peers remembered for one pull
	maxPulls    = 8 // pulls of one document at the same time
	pullRounds  = 6 // times that each offering peer is asked
	bootSpread  = 2 * time.Second
	// unknownAge is sent by nodes that know of no direct read.
	unknownAge = -1
)

// Settings are the parts and parameters of a Syncer.
type Settings struct {
	Host   string
	Domain string
	// Seeds are hosts to ask before the node has a host list; Peers must know their addresses.
	Seeds  []string
	Peers  core.Peers
	Source core.ConfigSource
	// Rand must not be shared with other users.
	Rand *rand.Rand
	// OnChange is called with every new pair of documents, in order and never concurrently; it may be nil.
	OnChange func(*decl.Snapshot)
	// BootJitter is the longest random pause of a starting node before a direct read; zero means 2 s.
	BootJitter time.Duration
	// OnRefused is called for each document that is refused; it may be nil.
	OnRefused func(error)
	// MaxBackoff is the longest pause between calls to a platform that fails; zero means 5 s.
	MaxBackoff time.Duration
}

// Syncer keeps the documents of one node current.
type Syncer struct {
	set      Settings
	snapshot atomic.Pointer[decl.Snapshot]
	applying sync.Mutex  // held from a document's check to the end of OnChange
	changed  chan string // the peer that has the new version already, or ""
	checking atomic.Bool
	counts   counters

	mu      sync.Mutex
	store   *Store
	overlay *Overlay
	fresh   *Freshness
	direct  map[string]*direct
	pulls   map[string]*pull
}

// pull is the work of fetching one document from the peers that offered it.
type pull struct {
	want   Version
	hosts  []string // peers that offered it
	asked  int
	active int
	wake   chan struct{}
}

// New returns a Syncer; Run starts its work.
func New(set Settings) *Syncer {
	if set.BootJitter == 0 {
		set.BootJitter = bootSpread
	}
	if set.MaxBackoff == 0 {
		set.MaxBackoff = maxBackoff
	}
	spr := &Syncer{
		set: set, changed: make(chan string, 1), store: NewStore(), overlay: NewOverlay(set.Host, set.Domain),
		fresh: NewFreshness(time.Now()), direct: map[string]*direct{}, pulls: map[string]*pull{},
	}
	for _, name := range names {
		spr.direct[name] = &direct{}
		spr.pulls[name] = &pull{wake: make(chan struct{}, 1)}
	}
	return spr
}

// Snapshot returns the documents in force, or nil before there is one of each.
func (spr *Syncer) Snapshot() *decl.Snapshot { return spr.snapshot.Load() }

// Neighbours returns the hosts to which this node offers versions.
func (spr *Syncer) Neighbours() []string {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	return spr.overlay.Neighbours()
}

// Run works until the context ends; it returns after all its goroutines have ended.
func (spr *Syncer) Run(ctx context.Context) error {
	var grp sync.WaitGroup
	grp.Go(func() { spr.gossip(ctx, &grp) })
	grp.Go(func() { spr.boot(ctx) })
	grp.Go(func() { spr.fallback(ctx) })
	for _, name := range names {
		grp.Go(func() { spr.watch(ctx, name) })
		grp.Go(func() { spr.pull(ctx, name, &grp) })
	}
	grp.Wait()
	return nil
}

// gossip offers the versions in force to all neighbours after a change, and to one random neighbour each second.
func (spr *Syncer) gossip(ctx context.Context, grp *sync.WaitGroup) {
	for _, host := range spr.set.Seeds {
		grp.Go(func() { spr.offer(ctx, host) })
	}
	if !sleep(ctx, spr.random(gossipInterval)) {
		return
	}
	tick := time.NewTicker(unlistedInterval)
	defer tick.Stop()
	for count := 0; ; {
		select {
		case <-ctx.Done():
			return
		case from := <-spr.changed:
			for _, host := range spr.Neighbours() {
				if host != from {
					grp.Go(func() { spr.offer(ctx, host) })
				}
			}
		case <-tick.C:
			if count++; count%int(gossipInterval/unlistedInterval) != 0 && spr.listed() {
				continue
			}
			spr.markDown()
			for _, host := range spr.partners() {
				grp.Go(func() { spr.offer(ctx, host) })
			}
			grp.Go(func() { spr.checkHigherRanked(ctx) })
		}
	}
}

// listed says whether this node is on the host list in force.
func (spr *Syncer) listed() bool {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	hos := spr.store.Hosts()
	return hos == nil || hos.Host(spr.set.Host) != nil
}

// markDown takes over what the connections show, so that a silent host is replaced before an exchange fails.
func (spr *Syncer) markDown() {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	for _, host := range append(spr.overlay.Neighbours(), spr.overlay.HigherRanked()...) {
		if pst := spr.set.Peers.State(host); pst.Known() && !pst.Up() {
			spr.overlay.Failed(time.Now(), host)
		}
	}
}

// partners returns the hosts of this second's exchange: a random neighbour, and at times a host that has failed.
func (spr *Syncer) partners() []string {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	near := spr.overlay.Neighbours()
	if len(near) == 0 {
		near = spr.set.Seeds
	}
	var out []string
	if len(near) > 0 {
		out = append(out, near[spr.set.Rand.IntN(len(near))])
	}
	if host, ok := spr.overlay.Recheck(time.Now()); ok {
		out = append(out, host)
	}
	return out
}

// checkHigherRanked exchanges versions with the hosts whose failure would make this node a watcher. When one fails,
// the next one is checked at once.
func (spr *Syncer) checkHigherRanked(ctx context.Context) {
	if !spr.checking.CompareAndSwap(false, true) {
		return
	}
	defer spr.checking.Store(false)
	checked := map[string]bool{}
	for {
		hosts := spr.nextHigherRanked(checked)
		if len(hosts) == 0 {
			return
		}
		var grp sync.WaitGroup
		for _, host := range hosts {
			checked[host] = true
			grp.Go(func() { spr.offer(ctx, host) })
		}
		grp.Wait()
	}
}

func (spr *Syncer) nextHigherRanked(checked map[string]bool) []string {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	return slices.DeleteFunc(spr.overlay.HigherRanked(), func(host string) bool { return checked[host] })
}

// offer tells a host the versions in force and learns those of the host.
func (spr *Syncer) offer(ctx context.Context, host string) {
	if host == spr.set.Host {
		return
	}
	spr.counts.offers.Add(1)
	reply, err := spr.exchange(ctx, host, spr.offerMessage(), offerTimeout)
	if err != nil {
		spr.failed(ctx, host)
		return
	}
	if off, ok := reply.(*wire.Offer); ok {
		spr.heard(host, off)
		spr.push(ctx, host, off)
	}
}

// push sends the documents in force to a peer that has no host list. Such a peer knows no addresses, so it
// cannot pull: a node that restarts while the platform is down depends on the peers that still contact it.
func (spr *Syncer) push(ctx context.Context, host string, off *wire.Offer) {
	if slices.ContainsFunc(off.GetVersions(), func(ver *wire.Version) bool { return ver.GetName() == core.DocumentHosts }) {
		return
	}
	for _, name := range names {
		if doc := spr.documentMessage(&wire.Pull{Name: name}); len(doc.GetData()) > 0 {
			_, _ = spr.exchange(ctx, host, doc, pushTimeout) // the next offer shows whether it arrived
		}
	}
}

func (spr *Syncer) exchange(ctx context.Context, host string, msg proto.Message, timeout time.Duration) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	spr.counts.sent(msg)
	reply, err := spr.set.Peers.Exchange(ctx, host, msg)
	if err == nil {
		spr.counts.received(reply)
	}
	return reply, err
}

// failed records a failed exchange, unless the node itself stops.
func (spr *Syncer) failed(ctx context.Context, host string) {
	if ctx.Err() != nil {
		return
	}
	spr.mu.Lock()
	defer spr.mu.Unlock()
	spr.overlay.Failed(time.Now(), host)
}

func (spr *Syncer) offerMessage() *wire.Offer {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	off := &wire.Offer{FreshAgeNanos: unknownAge}
	if age, ok := spr.fresh.Age(time.Now()); ok {
		off.FreshAgeNanos = max(int64(age), 1)
	}
	for _, name := range names {
		if ver, ok := spr.store.Version(name); ok {
			off.Versions = append(off.Versions, &wire.Version{Name: name, Version: ver.number, Digest: ver.digest[:]})
		}
	}
	return off
}

// heard takes what a peer told about itself and notes which documents to pull from it.
func (spr *Syncer) heard(host string, off *wire.Offer) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	spr.overlay.Heard(host)
	if off.GetFreshAgeNanos() > 0 {
		spr.fresh.Heard(time.Now().Add(-time.Duration(off.GetFreshAgeNanos())))
	}
	for _, ver := range off.GetVersions() {
		spr.want(host, ver)
	}
}

func (spr *Syncer) want(host string, msg *wire.Version) {
	ver := Version{name: msg.GetName(), number: msg.GetVersion()}
	if len(msg.GetDigest()) != len(ver.digest) {
		return
	}
	copy(ver.digest[:], msg.GetDigest())
	if !spr.store.Supersedes(ver) {
		return
	}
	pul := spr.pulls[ver.name]
	if ver.NewerThan(pul.want) {
		pul.want, pul.hosts, pul.asked = ver, nil, 0
	}
	if ver == pul.want && len(pul.hosts) < maxOfferers && !slices.Contains(pul.hosts, host) {
		pul.hosts = append(pul.hosts, host)
	}
	notify(pul.wake)
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// pull fetches offered versions of one document, each from one peer unless that peer is slow to answer.
func (spr *Syncer) pull(ctx context.Context, name string, grp *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-spr.pulls[name].wake:
			spr.pullOffered(ctx, name, grp)
		}
	}
}

func (spr *Syncer) pullOffered(ctx context.Context, name string, grp *sync.WaitGroup) {
	for ctx.Err() == nil {
		host, ver, timeout, ok := spr.nextPull(name)
		if !ok {
			return
		}
		done := make(chan struct{})
		grp.Go(func() {
			defer close(done)
			spr.pullFrom(ctx, host, ver, timeout)
			spr.pullDone(name)
		})
		await(ctx, done, pullHedge)
	}
}

// nextPull returns a peer that offered a version which is still wanted, and how long to wait for it.
func (spr *Syncer) nextPull(name string) (string, Version, time.Duration, bool) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	pul := spr.pulls[name]
	if pul.active >= maxPulls {
		return "", Version{}, 0, false
	}
	if pul.asked >= pullRounds*len(pul.hosts) || !spr.store.Supersedes(pul.want) {
		pul.want, pul.hosts, pul.asked = Version{}, nil, 0
		return "", Version{}, 0, false
	}
	host := pul.hosts[pul.asked%len(pul.hosts)]
	timeout := min(pullTimeout<<(pul.asked/len(pul.hosts)), maxPullTimeout)
	pul.asked++
	pul.active++
	return host, pul.want, timeout, true
}

func (spr *Syncer) pullDone(name string) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	spr.pulls[name].active--
	notify(spr.pulls[name].wake)
}

func (spr *Syncer) pullFrom(ctx context.Context, host string, ver Version, timeout time.Duration) {
	spr.counts.pulls.Add(1)
	reply, err := spr.exchange(ctx, host, &wire.Pull{Name: ver.name, Version: ver.number}, timeout)
	if err != nil {
		spr.failed(ctx, host)
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
	_ = spr.apply(core.NewDocument(ver.name, msg.GetVersion(), data), msg.GetData(), host) // Status shows a refusal
}

// apply puts a document in force if it is good and new, and announces it to the neighbours.
func (spr *Syncer) apply(doc core.Document, packed []byte, from string) error {
	spr.applying.Lock()
	defer spr.applying.Unlock()
	changed, err := spr.install(doc, packed)
	if err != nil && spr.set.OnRefused != nil {
		spr.set.OnRefused(err)
	}
	if !changed {
		return err
	}
	spr.announce(from)
	snap := spr.snapshot.Load()
	if snap != nil && spr.set.OnChange != nil {
		spr.set.OnChange(snap)
	}
	return nil
}

// announce lets gossip offer the change to all neighbours but the peer that it came from. When an earlier change
// has not been offered yet, nobody is left out.
func (spr *Syncer) announce(from string) {
	select {
	case spr.changed <- from:
		return
	case <-spr.changed:
	}
	spr.changed <- ""
}

func (spr *Syncer) install(doc core.Document, packed []byte) (bool, error) {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	changed, err := spr.store.Apply(doc, packed)
	if !changed {
		return false, err
	}
	if doc.Name() == core.DocumentHosts {
		spr.overlay.SetHosts(spr.store.Hosts())
	}
	spr.snapshot.Store(spr.store.Snapshot())
	return true, nil
}

// HandleControl answers offers and pulls of peers; it says false for other messages.
func (spr *Syncer) HandleControl(_ context.Context, host string, msg proto.Message) (proto.Message, bool, error) {
	switch req := msg.(type) {
	case *wire.Offer:
		spr.counts.received(req)
		spr.heard(host, req)
		return spr.reply(spr.offerMessage()), true, nil
	case *wire.Pull:
		spr.counts.received(req)
		return spr.reply(spr.documentMessage(req)), true, nil
	case *wire.Document:
		spr.counts.received(req)
		return spr.reply(&wire.Done{}), true, spr.accept(host, req)
	}
	return nil, false, nil
}

// accept applies a document that a peer pushed.
func (spr *Syncer) accept(host string, msg *wire.Document) error {
	data, err := Decompress(msg.GetData())
	if err != nil {
		return err
	}
	return spr.apply(core.NewDocument(msg.GetName(), msg.GetVersion(), data), msg.GetData(), host)
}

func (spr *Syncer) reply(msg proto.Message) proto.Message {
	spr.counts.sent(msg)
	return msg
}

// documentMessage returns the document in force, or an empty one when the node has no version as high as asked.
func (spr *Syncer) documentMessage(req *wire.Pull) *wire.Document {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	ver, ok := spr.store.Version(req.GetName())
	if !ok || ver.number < req.GetVersion() {
		return &wire.Document{Name: req.GetName()}
	}
	return &wire.Document{Name: ver.name, Version: ver.number, Data: spr.store.Compressed(ver.name)}
}

// random returns a random time below a whole.
func (spr *Syncer) random(whole time.Duration) time.Duration {
	spr.mu.Lock()
	defer spr.mu.Unlock()
	return randomPart(spr.set.Rand, whole)
}

// sleep waits and says whether the context is still alive.
func sleep(ctx context.Context, pause time.Duration) bool {
	return await(ctx, nil, pause)
}

// await returns when the work is done or the pause is over, and says whether the context is still alive.
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
