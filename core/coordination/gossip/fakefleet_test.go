package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/state/decl"

	"google.golang.org/protobuf/proto"
)

const (
	linkLatency     = 2 * time.Millisecond
	platformLatency = 5 * time.Millisecond
)

var errUnreachable = errors.New("the host or the platform is unreachable")

// callCounts counts the platform calls of one second, by watchers and by other nodes.
type callCounts struct{ watchers, otherNodes int }

// platform is a fake configuration service.
type platform struct {
	mut           sync.Mutex
	down          bool
	silentBefore  time.Time // long polls that began before this time never end
	docs          map[string]core.Document
	replicaDocs   func(host string) map[string]core.Document // replaces docs for the hosts for which it is not nil
	hostBlocked   func(host string) bool                     // calls of these hosts never end
	changed       chan struct{}                              // closed and replaced at every change
	callsBySecond map[int64]callCounts                       // by Unix time
	isWatcher     func(host string) bool
}

func newPlatform() *platform {
	return &platform{
		docs: map[string]core.Document{}, changed: make(chan struct{}), callsBySecond: map[int64]callCounts{},
		replicaDocs: func(string) map[string]core.Document { return nil },
		hostBlocked: func(string) bool { return false },
	}
}

func (pla *platform) publish(docs ...core.Document) {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	for _, doc := range docs {
		pla.docs[doc.Name()] = doc
	}
	close(pla.changed)
	pla.changed = make(chan struct{})
}

func (pla *platform) setDown(down bool) {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	pla.down = down
	close(pla.changed)
	pla.changed = make(chan struct{})
}

func (pla *platform) lookUp(host, name string) (core.Document, chan struct{}, error) {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	docs := pla.docs
	if replica := pla.replicaDocs(host); replica != nil {
		docs = replica
	}
	doc, ok := docs[name]
	if pla.down || !ok {
		return doc, pla.changed, errUnreachable
	}
	return doc, pla.changed, nil
}

func (pla *platform) countCall(host string) {
	watcher := pla.isWatcher(host)
	pla.mut.Lock()
	defer pla.mut.Unlock()
	cts := pla.callsBySecond[time.Now().Unix()]
	if watcher {
		cts.watchers++
	} else {
		cts.otherNodes++
	}
	pla.callsBySecond[time.Now().Unix()] = cts
}

// callRates returns the highest number of calls in one second since a time, and the mean number per second. Calls of
// nodes other than watchers are multiplied by a factor.
func (pla *platform) callRates(since time.Time, factor float64) (peak, mean float64) {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	for sec := since.Unix(); sec <= time.Now().Unix(); sec++ {
		calls := float64(pla.callsBySecond[sec].watchers) + factor*float64(pla.callsBySecond[sec].otherNodes)
		peak = max(peak, calls)
		mean += calls / time.Since(since).Seconds()
	}
	return peak, mean
}

func (pla *platform) isHostBlocked(host string) bool {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	return pla.hostBlocked(host)
}

// isWatchSilent reports whether the connection of a long poll has gone silent.
func (pla *platform) isWatchSilent(host string, began time.Time) bool {
	pla.mut.Lock()
	defer pla.mut.Unlock()
	return pla.hostBlocked(host) || began.Before(pla.silentBefore)
}

// source is the platform as one host sees it.
type source struct {
	*platform
	host string
}

func (src *source) beginCall(ctx context.Context) error {
	src.countCall(src.host)
	if src.isHostBlocked(src.host) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(platformLatency)
	return ctx.Err()
}

func (src *source) Read(ctx context.Context, name string, _ uint64) (core.Document, error) {
	if err := src.beginCall(ctx); err != nil {
		return core.Document{}, err
	}
	doc, _, err := src.lookUp(src.host, name)
	return doc, err
}

func (src *source) WaitChange(ctx context.Context, name string, after uint64, wait time.Duration) (core.Document, error) {
	if err := src.beginCall(ctx); err != nil {
		return core.Document{}, err
	}
	began, timeout := time.Now(), time.NewTimer(wait)
	defer timeout.Stop()
	for {
		if src.isWatchSilent(src.host, began) {
			<-ctx.Done()
			return core.Document{}, ctx.Err()
		}
		doc, changed, err := src.lookUp(src.host, name)
		if err != nil || doc.Version() > after {
			return doc, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return core.Document{}, core.ErrUnchanged
		case <-ctx.Done():
			return core.Document{}, ctx.Err()
		}
	}
}

// testNode is one node of the fake fleet.
type testNode struct {
	id, domain string
	syncer     *gossip.Syncer
	stop       context.CancelFunc
	firstSeen  map[string]time.Time // by document and version number, such as "declarations 3"
	reverted   bool                 // a document went back to a lower version
}

// fleet runs nodes over fake links in the virtual time of a synctest bubble.
type fleet struct {
	*platform
	mut          sync.Mutex
	nodes        map[string]*testNode
	ids          []string
	linkBlocked  func(from, to string) bool // messages on these links never arrive
	lastRandSeed uint64
	domainCount  int
}

func newFleet(size, domains int) *fleet {
	fle := &fleet{
		platform: newPlatform(), nodes: map[string]*testNode{}, domainCount: domains,
		linkBlocked: func(string, string) bool { return false },
	}
	fle.isWatcher = func(host string) bool {
		nod := fle.node(host)
		return nod != nil && nod.syncer.IsWatcher()
	}
	for i := range size {
		fle.ids = append(fle.ids, fmt.Sprintf("h%04d", i))
	}
	fle.publish(declarations(1, domains), fle.hostList(1))
	return fle
}

func (fle *fleet) domainOf(id string) string {
	return fmt.Sprintf("domain-%d", slices.Index(fle.ids, id)%fle.domainCount)
}

func (fle *fleet) hostList(version uint64) core.Document {
	var rows []string
	for i, id := range fle.ids {
		rows = append(rows, fmt.Sprintf(`{"id": %q, "domain": "domain-%d", "service": "service-%03d", "peer": "10.%d.%d.%d:7002", "state": "live"}`,
			id, i%fle.domainCount, i/10, i%fle.domainCount, decl.RendezvousScore("subnet", id)%256, i%250))
	}
	text := fmt.Sprintf("{\"version\": %d, \"hosts\": [\n%s]}", version, strings.Join(rows, ",\n"))
	return core.NewDocument(core.DocumentHosts, version, []byte(text))
}

func declarations(version uint64, domains int) core.Document {
	var rows []string
	for i := range domains {
		rows = append(rows, fmt.Sprintf(`{"name": "domain-%d", "region": "region-%d", "state": "in"}`, i, i/3))
	}
	text := fmt.Sprintf(`{"version": %d, "classes": [], "services": [], "teams": [], "keys": [], "domains": [%s]}`,
		version, strings.Join(rows, ","))
	return core.NewDocument(core.DocumentDeclarations, version, []byte(text))
}

func (fle *fleet) start(ids ...string) {
	for _, id := range ids {
		fle.startWithSeeds(id)
	}
}

func (fle *fleet) startWithSeeds(id string, seeds ...string) {
	fle.lastRandSeed++
	nod := &testNode{id: id, domain: fle.domainOf(id), firstSeen: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	last := map[string]uint64{}
	nod.syncer = gossip.New(gossip.Settings{
		Host: id, Domain: nod.domain, Seeds: seeds, Peers: &peerLinks{fleet: fle, self: id, seeds: seeds},
		Source: &source{platform: fle.platform, host: id}, Rand: rand.New(rand.NewPCG(1, fle.lastRandSeed)),
		OnChange: func(snap *decl.Snapshot) {
			fle.mut.Lock()
			defer fle.mut.Unlock()
			for name, ver := range map[string]uint64{"declarations": snap.Version(), "hosts": snap.Hosts().Version()} {
				nod.reverted = nod.reverted || ver < last[name]
				last[name] = ver
				if key := fmt.Sprint(name, " ", ver); nod.firstSeen[key].IsZero() {
					nod.firstSeen[key] = time.Now()
				}
			}
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = nod.syncer.Run(ctx)
	}()
	nod.stop = func() {
		fle.mut.Lock()
		delete(fle.nodes, id)
		fle.mut.Unlock()
		cancel()
		<-done
	}
	fle.mut.Lock()
	fle.nodes[id] = nod
	fle.mut.Unlock()
}

// setFaults changes faults while nodes run.
func (fle *fleet) setFaults(set func()) {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	fle.platform.mut.Lock()
	defer fle.platform.mut.Unlock()
	set()
}

func (fle *fleet) node(id string) *testNode {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	return fle.nodes[id]
}

func (fle *fleet) runningNodes() []*testNode {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	var out []*testNode
	for _, id := range fle.ids {
		if nod := fle.nodes[id]; nod != nil {
			out = append(out, nod)
		}
	}
	return out
}

func (fle *fleet) stopAll() {
	for _, nod := range fle.runningNodes() {
		nod.stop()
	}
}

// advance lets virtual time pass and then waits until every goroutine of the synctest bubble is blocked.
func advance(pause time.Duration) {
	time.Sleep(pause)
	synctest.Wait()
}

// propagationDelays returns, in ascending order, how long after a time each running node put a version in force, and the
// number of nodes that have not. Nodes for which skip is true are left out.
func (fle *fleet) propagationDelays(version string, since time.Time, skip func(id string) bool) (delays []time.Duration, missing int) {
	for _, nod := range fle.runningNodes() {
		fle.mut.Lock()
		at, ok := nod.firstSeen[version]
		fle.mut.Unlock()
		switch {
		case skip != nil && skip(nod.id):
		case !ok:
			missing++
		default:
			delays = append(delays, at.Sub(since))
		}
	}
	slices.Sort(delays)
	return delays, missing
}

// countVersions returns the number of nodes by the version numbers of their declarations and host list, such as "2 1".
func (fle *fleet) countVersions() map[string]int {
	out := map[string]int{}
	for _, nod := range fle.runningNodes() {
		key := "none"
		if snap := nod.syncer.Snapshot(); snap != nil {
			key = fmt.Sprint(snap.Version(), " ", snap.Hosts().Version())
		}
		out[key]++
	}
	return out
}

func (fle *fleet) watchers(domain string) []string {
	var out []string
	for _, nod := range fle.runningNodes() {
		if nod.syncer.IsWatcher() && (domain == "" || nod.domain == domain) {
			out = append(out, nod.id)
		}
	}
	return out
}

// peerLinks are the connections of one node to the others. The Syncer calls only Exchange and State.
type peerLinks struct {
	core.Peers // nil
	*fleet
	self  string
	seeds []string
}

func (pls *peerLinks) isLinkBlocked(from, to string) bool {
	pls.mut.Lock()
	defer pls.mut.Unlock()
	return pls.linkBlocked(from, to)
}

// transmit waits for the latency of a link, or until the context ends if the link is blocked.
func (pls *peerLinks) transmit(ctx context.Context, from, to string) error {
	if pls.isLinkBlocked(from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkLatency)
	return ctx.Err()
}

// knowsAddress reports whether the node has the address of a host, from its seeds or its host list.
func (pls *peerLinks) knowsAddress(host string) bool {
	self := pls.node(pls.self)
	return slices.Contains(pls.seeds, host) || self == nil || self.syncer.Snapshot() != nil
}

// Exchange delivers a message after the latency of the link; it fails at once if the host is not running.
func (pls *peerLinks) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	if err := pls.transmit(ctx, pls.self, host); err != nil {
		return nil, err
	}
	nod := pls.node(host)
	if nod == nil || !pls.knowsAddress(host) {
		return nil, errUnreachable
	}
	reply, _, err := nod.syncer.HandleControl(ctx, pls.self, msg)
	if err != nil {
		return nil, err
	}
	return reply, pls.transmit(ctx, host, pls.self)
}

func (pls *peerLinks) State(string) core.PeerState { return core.PeerState{} }
