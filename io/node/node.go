package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/fanout"
	"amaranthline/core/coordination/gate"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/coordination/handle"
	"amaranthline/core/coordination/member"
	"amaranthline/core/coordination/share"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/dedup"
	"amaranthline/core/state/limit"
	"amaranthline/io/base"
	"amaranthline/io/transport/back"
	"amaranthline/io/transport/config"
	"amaranthline/io/transport/front"
	"amaranthline/io/transport/mesh"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	peerStateInterval = 100 * time.Millisecond // how often the membership view takes over what connections show
	readHeaderTimeout = 2 * time.Second
	maxShareWait      = 12 * time.Second // three lease terms
	shareFillTime     = time.Second      // a new share starts without tokens; the first requests need some
)

// Node is one process beside an upstream.
type Node struct {
	settings   Settings
	log        *logrus.Logger
	metrics    *base.Metrics
	mesh       *mesh.Mesh
	handler    *handle.Handler
	gate       *gate.Gate
	syncer     *gossip.Syncer
	upstream   *back.Client
	membership *member.View
	exchanger  *fanout.Exchanger
	shares     *share.Manager
	ingress    *front.Frontend
	nested     *front.Frontend
	serving    atomic.Bool

	connectMut   sync.Mutex // guards the fields below
	meshSnapshot *decl.Snapshot
	meshHosts    []string

	configuredAt atomic.Int64 // when the first configuration came into force, in Unix nanoseconds
	firstShareAt atomic.Int64 // when the node first held a part of the rates, in Unix nanoseconds
}

// New checks the settings and assembles a node.
func New(set Settings, log *logrus.Logger) (*Node, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	nod := &Node{settings: set, log: log, metrics: base.NewMetrics()}
	incarnation := uint64(time.Now().UnixNano())
	if err := nod.assembleTransport(incarnation); err != nil {
		return nil, err
	}
	if err := nod.assembleCoordination(incarnation); err != nil {
		return nil, err
	}
	nod.metrics.Register(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	nod.registerGauges()
	return nod, nil
}

func (nod *Node) assembleTransport(incarnation uint64) error {
	tlsConfig, err := nod.settings.TLS()
	if err != nil {
		return err
	}
	nod.mesh = mesh.New(mesh.Settings{
		Host: nod.settings.Host, Incarnation: incarnation, Listen: nod.settings.Peer, Server: tlsConfig, Client: tlsConfig,
		Handler: nod, Control: nod, OnEvent: func(eve mesh.Event) { nod.metrics.CountPeerEvent(eve.String()) },
	})
	return nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:gosec // no secret

func (nod *Node) assembleCoordination(incarnation uint64) error {
	source, err := config.New(config.Settings{BaseURLs: nod.settings.ConfigURLs})
	if err != nil {
		return err
	}
	nod.upstream = back.New(back.Settings{
		BaseURL: nod.settings.Upstream, Connections: nod.settings.Connections, OnCrash: func() { nod.handler.UpstreamCrashed() },
	})
	nod.gate = gate.New(gate.Settings{Limit: limit.Settings{Max: nod.settings.Connections}})
	nod.membership = member.New(member.Settings{Host: nod.settings.Host, Domain: nod.settings.Domain, Service: nod.settings.Service})
	nod.syncer = gossip.New(gossip.Settings{
		Host: nod.settings.Host, Domain: nod.settings.Domain, Seeds: nod.seedHosts(), Peers: nod.mesh, Source: source,
		Rand: newRand(), OnChange: nod.onSnapshot,
	})
	dedupTable, detector := dedup.New(dedup.DefaultSettings(nod.settings.Host)), crash.New(crash.DefaultSettings())
	nod.exchanger = fanout.New(fanout.Settings{Host: nod.settings.Host, Peers: nod.mesh, Dedup: dedupTable, Crash: detector})
	nod.shares = share.New(share.Settings{
		Host: nod.settings.Host, Domain: nod.settings.Domain, Service: nod.settings.Service, Incarnation: incarnation,
		Peers: nod.mesh, Rand: newRand(),
	})
	nod.handler = handle.New(handle.Settings{
		Host: nod.settings.Host, Service: nod.settings.Service, Domain: nod.settings.Domain, Peers: nod.mesh, Upstream: nod.upstream,
		UpstreamDown: nod.upstream.Down, Gate: nod.gate, RateLimiter: nod.shares, Members: nod.membership, Dedup: dedupTable, Crash: detector,
		Snapshot: nod.syncer.Snapshot, Broadcast: nod.exchanger.BroadcastStates, Observer: nod.metrics,
	})
	nod.ingress = front.New(front.Settings{Handler: nod.handler, Observer: nod.metrics})
	nod.nested = front.New(front.Settings{Handler: nod.handler, Observer: nod.metrics, Nested: true})
	return nil
}

// seedHosts gives the mesh the addresses of the seeds and returns their hosts.
func (nod *Node) seedHosts() []string {
	addrs := map[string]string{}
	var hosts []string
	for _, seed := range nod.settings.Seeds {
		host, addr, _ := strings.Cut(seed, "=")
		addrs[host] = addr
		hosts = append(hosts, host)
	}
	nod.mesh.SetPeers(addrs, hosts)
	return hosts
}

// Serve serves a call of a peer.
func (nod *Node) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	return nod.handler.Serve(ctx, call)
}

// LocalLoad returns load and drain state for probes.
func (nod *Node) LocalLoad() (load float64, leaving bool) {
	return nod.handler.Load(), nod.handler.Leaving()
}

// HandleControl hands a control message to the part that handles its kind.
func (nod *Node) HandleControl(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	for _, handle := range []func(context.Context, string, proto.Message) (proto.Message, bool, error){
		nod.syncer.HandleControl, nod.shares.HandleControl, nod.exchanger.HandleControl,
	} {
		reply, handled, err := handle(ctx, host, msg)
		if handled || err != nil {
			return reply, err
		}
	}
	return nil, eris.Errorf("message %T from host %s has no handler; run the same version on all hosts", msg, host)
}

// onSnapshot puts a new configuration into force.
func (nod *Node) onSnapshot(sna *decl.Snapshot) {
	now := time.Now()
	nod.membership.SetSnapshot(now, sna)
	nod.shares.SetSnapshot(sna)
	nod.exchanger.SetHosts(now, sna.Hosts().Version(), hostIDs(sna.Hosts().OfService(nod.settings.Service)))
	nod.updateConnections(now)
	nod.log.WithFields(logrus.Fields{
		"declarations": sna.Version(), "hosts": sna.Hosts().Version(),
	}).Info("configuration in force")
	if nod.configuredAt.CompareAndSwap(0, now.UnixNano()) {
		nod.serving.Store(true)
	}
}

// isReady says whether the node should get callers: with a configuration, and with its part of the rates.
// A node that gets no part is ready after a while, because it can serve open routes and live on loans.
func (nod *Node) isReady(now time.Time) bool {
	sinceConfig := now.Sub(time.Unix(0, nod.configuredAt.Load()))
	shareAt := nod.firstShareAt.Load()
	tokensFilled := shareAt != 0 && now.Sub(time.Unix(0, shareAt)) > shareFillTime
	return nod.serving.Load() && (tokensFilled || sinceConfig > maxShareWait)
}

func hostIDs(hosts []*decl.Host) []string {
	ids := make([]string, len(hosts))
	for i, hos := range hosts {
		ids[i] = hos.ID()
	}
	return ids
}

// Run serves until the context ends and then shuts down gracefully.
func (nod *Node) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := nod.listen()
	if err != nil {
		return err
	}
	grp, workCtx := errgroup.WithContext(workCtx)
	grp.Go(func() error { return nod.mesh.Run(workCtx) })
	grp.Go(func() error { return nod.syncer.Run(workCtx) })
	grp.Go(func() error { return nod.shares.Run(workCtx) })
	grp.Go(func() error { return nod.exchanger.Run(workCtx) })
	grp.Go(func() error { return nod.watchPeers(workCtx) })
	for _, ser := range servers {
		grp.Go(ser.Run)
	}
	nod.log.WithFields(logrus.Fields{"host": nod.settings.Host, "domain": nod.settings.Domain, "service": nod.settings.Service}).Info("node started")
	select {
	case <-ctx.Done():
		nod.shutDown(servers)
	case <-workCtx.Done(): // a part failed
	}
	cancel()
	for _, ser := range servers {
		_ = ser.Close()
	}
	if err := grp.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (nod *Node) listen() ([]*base.Server, error) {
	listeners := []struct {
		flag, addr string
		server     *http.Server
	}{
		{"ingress", nod.settings.Ingress, nod.ingress.Server()},
		{"nested", nod.settings.Nested, nod.nested.Server()},
		{"admin", nod.settings.Admin, &http.Server{Handler: nod.admin(), ReadHeaderTimeout: readHeaderTimeout}},
	}
	var out []*base.Server
	for _, lis := range listeners {
		ser, err := base.Listen(lis.flag, lis.addr, lis.server)
		if err != nil {
			return nil, err
		}
		out = append(out, ser)
	}
	return out, nil
}

// connect takes over what the connections show and opens the connections that are needed. The address table is
// rebuilt only when the list or the needed connections changed: with 1,900 hosts on the list, a rebuild in each
// interval took 4.5% to 5.4% of a core.
func (nod *Node) updateConnections(now time.Time) {
	nod.connectMut.Lock()
	defer nod.connectMut.Unlock()
	nod.membership.SetNeighbours(nod.syncer.Neighbours())
	hosts := nod.membership.HostsToConnect(now)
	for _, host := range hosts {
		if pst := nod.mesh.State(host); pst.Known() {
			nod.membership.Observe(now, host, pst)
		}
	}
	nod.membership.ObserveLoad(nod.settings.Host, nod.handler.Load())
	sna := nod.syncer.Snapshot()
	if sna == nil || sna == nod.meshSnapshot && slices.Equal(hosts, nod.meshHosts) {
		return
	}
	if addrs := nod.membership.PeerAddrs(); len(addrs) > 0 {
		nod.mesh.SetPeers(addrs, hosts)
		nod.meshSnapshot, nod.meshHosts = sna, hosts
	}
}

// watchMembers takes over what the connections show and keeps the right connections open.
func (nod *Node) watchPeers(ctx context.Context) error {
	tick := time.NewTicker(peerStateInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			nod.upstream.Probe(ctx)
			nod.updateConnections(time.Now())
			if nod.firstShareAt.Load() == 0 && nod.shares.Share() > 0 {
				nod.firstShareAt.Store(time.Now().UnixNano())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// drain stops without cutting a request: peers and callers learn first, then new calls are
// refused, then the ports close once what is in progress has ended.
func (nod *Node) shutDown(servers []*base.Server) {
	nod.log.WithField("pause", nod.settings.DrainPause).Info("graceful shutdown started")
	nod.serving.Store(false)
	nod.handler.Leave()
	nod.ingress.Drain()
	time.Sleep(nod.settings.DrainPause)
	nod.handler.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), nod.settings.DrainTimeout)
	defer cancel()
	ingress, nested := servers[0], servers[1]
	if err := errors.Join(ingress.Shutdown(ctx), nod.mesh.Drain(ctx), nod.gate.WaitIdle(ctx), nested.Shutdown(ctx)); err != nil {
		nod.log.WithError(err).Warn("graceful shutdown cut calls in progress; raise --drain-timeout")
		return
	}
	nod.log.Info("graceful shutdown finished")
}
