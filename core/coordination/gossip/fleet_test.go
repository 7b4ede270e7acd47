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
	linkDelay     = 2 * time.Millisecond
	platformDelay = 5 * time.Millisecond
)

var errDown = errors.New("not reachable")

// rate counts the calls of one second, by watchers and by other nodes.
type rate struct{ watchers, others int }

// platform is a fake configuration service.
type platform struct {
	mu      sync.Mutex
	down    bool
	silent  time.Time // watches that began before never answer
	docs    map[string]core.Document
	replica func(host string) map[string]core.Document // overrides docs for some hosts
	blocked func(host string) bool
	changed chan struct{}
	calls   map[int64]rate
	watcher func(host string) bool
}

func newPlatform() *platform {
	return &platform{
		docs: map[string]core.Document{}, changed: make(chan struct{}), calls: map[int64]rate{},
		replica: func(string) map[string]core.Document { return nil },
		blocked: func(string) bool { return false },
	}
}

func (pla *platform) publish(docs ...core.Document) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	for _, doc := range docs {
		pla.docs[doc.Name()] = doc
	}
	close(pla.changed)
	pla.changed = make(chan struct{})
}

func (pla *platform) setDown(down bool) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	pla.down = down
	close(pla.changed)
	pla.changed = make(chan struct{})
}

func (pla *platform) get(host, name string) (core.Document, chan struct{}, error) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	docs := pla.docs
	if other := pla.replica(host); other != nil {
		docs = other
	}
	doc, ok := docs[name]
	if pla.down || !ok {
		return doc, pla.changed, errDown
	}
	return doc, pla.changed, nil
}

func (pla *platform) count(host string) {
	watcher := pla.watcher(host)
	pla.mu.Lock()
	defer pla.mu.Unlock()
	rat := pla.calls[time.Now().Unix()]
	if watcher {
		rat.watchers++
	} else {
		rat.others++
	}
	pla.calls[time.Now().Unix()] = rat
}

// peak returns the highest number of calls in one second since a time, and their mean. Calls of other nodes than
// watchers are multiplied by a factor.
func (pla *platform) peak(since time.Time, factor float64) (peak, mean float64) {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	for sec := since.Unix(); sec <= time.Now().Unix(); sec++ {
		calls := float64(pla.calls[sec].watchers) + factor*float64(pla.calls[sec].others)
		peak = max(peak, calls)
		mean += calls / time.Since(since).Seconds()
	}
	return peak, mean
}

func (pla *platform) cut(host string) bool {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	return pla.blocked(host)
}

// lost says whether the connection of a watch has gone silent.
func (pla *platform) lost(host string, began time.Time) bool {
	pla.mu.Lock()
	defer pla.mu.Unlock()
	return pla.blocked(host) || began.Before(pla.silent)
}

// source is the platform as one host sees it.
type source struct {
	*platform
	host string
}

func (src *source) call(ctx context.Context) error {
	src.count(src.host)
	if src.cut(src.host) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(platformDelay)
	return ctx.Err()
}

func (src *source) Read(ctx context.Context, name string) (core.Document, error) {
	if err := src.call(ctx); err != nil {
		return core.Document{}, err
	}
	doc, _, err := src.get(src.host, name)
	return doc, err
}

func (src *source) WaitChange(ctx context.Context, name string, after uint64, wait time.Duration) (core.Document, error) {
	if err := src.call(ctx); err != nil {
		return core.Document{}, err
	}
	began, end := time.Now(), time.NewTimer(wait)
	defer end.Stop()
	for {
		if src.lost(src.host, began) {
			<-ctx.Done()
			return core.Document{}, ctx.Err()
		}
		doc, changed, err := src.get(src.host, name)
		if err != nil || doc.Version() > after {
			return doc, err
		}
		select {
		case <-changed:
		case <-end.C:
			return core.Document{}, core.ErrUnchanged
		case <-ctx.Done():
			return core.Document{}, ctx.Err()
		}
	}
}

// unit is one node of the fake fleet.
type unit struct {
	id, domain string
	spr        *gossip.Syncer
	stop       context.CancelFunc
	seen       map[string]time.Time // first time of a version, such as "declarations 3"
	lowered    bool
}

// fleet runs nodes over fake links in the virtual time of a synctest bubble.
type fleet struct {
	*platform
	mu      sync.Mutex
	units   map[string]*unit
	ids     []string
	blocked func(from, to string) bool
	seed    uint64
	domains int
}

func newFleet(size, domains int) *fleet {
	fle := &fleet{
		platform: newPlatform(), units: map[string]*unit{}, domains: domains,
		blocked: func(string, string) bool { return false },
	}
	fle.watcher = func(host string) bool {
		uni := fle.unit(host)
		return uni != nil && uni.spr.Watching()
	}
	for i := range size {
		fle.ids = append(fle.ids, fmt.Sprintf("h%04d", i))
	}
	fle.publish(declarations(1, domains), fle.hosts(1))
	return fle
}

func (fle *fleet) domainOf(id string) string {
	return fmt.Sprintf("domain-%d", slices.Index(fle.ids, id)%fle.domains)
}

func (fle *fleet) hosts(version uint64) core.Document {
	var rows []string
	for i, id := range fle.ids {
		rows = append(rows, fmt.Sprintf(`{"id": %q, "domain": "domain-%d", "service": "service-%03d", "peer": "10.%d.%d.%d:7002", "state": "live"}`,
			id, i%fle.domains, i/10, i%fle.domains, decl.RendezvousScore("subnet", id)%256, i%250))
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
		fle.startSeeded(id)
	}
}

func (fle *fleet) startSeeded(id string, seeds ...string) {
	fle.seed++
	uni := &unit{id: id, domain: fle.domainOf(id), seen: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	last := map[string]uint64{}
	uni.spr = gossip.New(gossip.Settings{
		Host: id, Domain: uni.domain, Seeds: seeds, Peers: &links{fleet: fle, self: id, seeds: seeds},
		Source: &source{platform: fle.platform, host: id}, Rand: rand.New(rand.NewPCG(1, fle.seed)),
		OnChange: func(snap *decl.Snapshot) {
			fle.mu.Lock()
			defer fle.mu.Unlock()
			for name, ver := range map[string]uint64{"declarations": snap.Version(), "hosts": snap.Hosts().Version()} {
				uni.lowered = uni.lowered || ver < last[name]
				last[name] = ver
				if key := fmt.Sprint(name, " ", ver); uni.seen[key].IsZero() {
					uni.seen[key] = time.Now()
				}
			}
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = uni.spr.Run(ctx)
	}()
	uni.stop = func() {
		fle.mu.Lock()
		delete(fle.units, id)
		fle.mu.Unlock()
		cancel()
		<-done
	}
	fle.mu.Lock()
	fle.units[id] = uni
	fle.mu.Unlock()
}

// change sets faults while nodes run.
func (fle *fleet) change(set func()) {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	fle.platform.mu.Lock()
	defer fle.platform.mu.Unlock()
	set()
}

func (fle *fleet) unit(id string) *unit {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	return fle.units[id]
}

func (fle *fleet) running() []*unit {
	fle.mu.Lock()
	defer fle.mu.Unlock()
	var out []*unit
	for _, id := range fle.ids {
		if uni := fle.units[id]; uni != nil {
			out = append(out, uni)
		}
	}
	return out
}

func (fle *fleet) stopAll() {
	for _, uni := range fle.running() {
		uni.stop()
	}
}

// settle waits and then until no goroutine of the bubble is busy.
func settle(pause time.Duration) {
	time.Sleep(pause)
	synctest.Wait()
}

// lags returns, in ascending order, how long after a time each node had a version; missing nodes are counted.
func (fle *fleet) lags(version string, since time.Time, skip func(id string) bool) (lags []time.Duration, missing int) {
	for _, uni := range fle.running() {
		fle.mu.Lock()
		at, ok := uni.seen[version]
		fle.mu.Unlock()
		switch {
		case skip != nil && skip(uni.id):
		case !ok:
			missing++
		default:
			lags = append(lags, at.Sub(since))
		}
	}
	slices.Sort(lags)
	return lags, missing
}

// versions returns how many nodes hold each pair of declarations and host list.
func (fle *fleet) versions() map[string]int {
	out := map[string]int{}
	for _, uni := range fle.running() {
		key := "none"
		if snap := uni.spr.Snapshot(); snap != nil {
			key = fmt.Sprint(snap.Version(), " ", snap.Hosts().Version())
		}
		out[key]++
	}
	return out
}

func (fle *fleet) watchers(domain string) []string {
	var out []string
	for _, uni := range fle.running() {
		if uni.spr.Watching() && (domain == "" || uni.domain == domain) {
			out = append(out, uni.id)
		}
	}
	return out
}

// links are the connections of one node; the syncer uses only Exchange and State.
type links struct {
	core.Peers
	*fleet
	self  string
	seeds []string
}

func (lin *links) cut(from, to string) bool {
	lin.mu.Lock()
	defer lin.mu.Unlock()
	return lin.blocked(from, to)
}

func (lin *links) pass(ctx context.Context, from, to string) error {
	if lin.cut(from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkDelay)
	return ctx.Err()
}

// knows says whether a node has the address of a host: by its seeds or by its host list.
func (lin *links) knows(host string) bool {
	self := lin.unit(lin.self)
	return slices.Contains(lin.seeds, host) || self == nil || self.spr.Snapshot() != nil
}

// Exchange delivers a message after the delay of a link; a host that does not run refuses the connection.
func (lin *links) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	if err := lin.pass(ctx, lin.self, host); err != nil {
		return nil, err
	}
	uni := lin.unit(host)
	if uni == nil || !lin.knows(host) {
		return nil, errDown
	}
	reply, _, err := uni.spr.HandleControl(ctx, lin.self, msg)
	if err != nil {
		return nil, err
	}
	return reply, lin.pass(ctx, host, lin.self)
}

func (lin *links) State(string) core.PeerState { return core.PeerState{} }
