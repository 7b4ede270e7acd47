package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
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
	"amaranthline/core/state/memory"
	"amaranthline/io/base"
	"amaranthline/io/transport/back"
	"amaranthline/io/transport/config"
	"amaranthline/io/transport/front"
	"amaranthline/io/transport/inlet"
	"amaranthline/io/transport/mesh"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	peerStateInterval = 100 * time.Millisecond // between two updates of the host view with the state of the peer connections
	maxShareWait      = 12 * time.Second       // a node without a share becomes ready after it; three lease terms of package share
	shareFillTime     = time.Second            // a new share starts without tokens, and the first requests need some
)

// Node is the process beside an upstream that forwards requests and calls between hosts.
type Node struct {
	settings  Settings
	log       *logrus.Logger
	metrics   *base.Metrics
	mesh      *mesh.Mesh
	handler   *handle.Handler
	gate      *gate.Gate
	syncer    *gossip.Syncer
	upstream  *back.Client
	hostView  *member.View
	exchanger *fanout.Exchanger
	shares    *share.Manager
	ingress   *front.Frontend // for requests of callers
	nested    *front.Frontend // for nested calls of the node's own upstream
	limits    *inlet.Limits   // of what the callers of both make the node hold
	limitLog  base.LineLimit  // of the lines about limits that callers met
	serving   atomic.Bool     // a configuration has come into force, and no graceful shutdown has started

	connectMut   sync.Mutex     // guards meshSnapshot and meshHosts
	meshSnapshot *decl.Snapshot // snapshot whose peer addresses the mesh was last given
	meshHosts    []string       // hosts to which the mesh was last told to keep connections

	configuredAt atomic.Int64 // when the first configuration came into force, in Unix nanoseconds
	firstShareAt atomic.Int64 // when the node first held a share of the teams' rates, in Unix nanoseconds
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
	nod.metrics.RegisterCallerGauges(nod.limits)
	return nod, nil
}

func (nod *Node) assembleTransport(incarnation uint64) error {
	tlsConfig, err := nod.settings.TLS()
	if err != nil {
		return err
	}
	nod.mesh = mesh.New(mesh.Settings{
		Host: nod.settings.Host, Incarnation: incarnation, Listen: nod.settings.Peer, ServerTLS: tlsConfig, ClientTLS: tlsConfig,
		Handshakes: memory.Divide(nod.settings.MemoryMB, nod.settings.MaxFiles, nod.settings.Connections).Handshakes(),
		Handler:    nod, Control: nod, OnEvent: func(eve mesh.Event) { nod.metrics.CountPeerEvent(eve.String()) },
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
		BaseURL: nod.settings.Upstream, MaxConnections: nod.settings.Connections, OnCrash: func() { nod.handler.UpstreamCrashed() },
	})
	nod.gate = gate.New(gate.Settings{Limit: limit.Settings{MaxConnections: nod.settings.Connections}})
	nod.hostView = member.New(member.Settings{Host: nod.settings.Host, Domain: nod.settings.Domain, Service: nod.settings.Service})
	nod.syncer = gossip.New(gossip.Settings{
		Host: nod.settings.Host, Domain: nod.settings.Domain, Seeds: nod.seedHosts(), Peers: nod.mesh, Source: source,
		Rand: newRand(), OnChange: nod.onSnapshot, OnIgnored: nod.onItemIgnored,
	})
	dedupTable, detector := dedup.New(dedup.DefaultSettings(nod.settings.Host)), crash.New(crash.DefaultSettings())
	nod.exchanger = fanout.New(fanout.Settings{Host: nod.settings.Host, Peers: nod.mesh, Dedup: dedupTable, Crash: detector})
	nod.shares = share.New(share.Settings{
		Host: nod.settings.Host, Domain: nod.settings.Domain, Service: nod.settings.Service, Incarnation: incarnation,
		Peers: nod.mesh, Rand: newRand(),
	})
	nod.handler = handle.New(handle.Settings{
		Host: nod.settings.Host, Service: nod.settings.Service, Domain: nod.settings.Domain, Peers: nod.mesh, Upstream: nod.upstream,
		UpstreamDown: nod.upstream.IsDown, Gate: nod.gate, RateLimiter: nod.shares, Members: nod.hostView, Dedup: dedupTable, Crash: detector,
		Snapshot: nod.syncer.Snapshot, Broadcast: nod.exchanger.BroadcastUpdates, Observer: nod.metrics,
	})
	div := memory.Divide(nod.settings.MemoryMB, nod.settings.MaxFiles, nod.settings.Connections)
	base.LimitHeap(div)
	nod.limits = inlet.NewLimits(div, nod.onCallerLimit)
	nod.ingress = front.New(front.Settings{Handler: nod.handler, Observer: nod.metrics, Limits: nod.limits})
	nod.nested = front.New(front.Settings{Handler: nod.handler, Observer: nod.metrics, Nested: true, Limits: nod.limits})
	nod.metrics.RegisterAhead(nod.ingress.AheadStats)
	return nil
}

// seedHosts gives the mesh the addresses of the seed peers and returns their host IDs.
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

// Serve runs a call that a peer forwarded.
func (nod *Node) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	charged := memory.Charged(base.CallCost(call))
	if !nod.limits.ReserveCall(charged) {
		nod.metrics.CountCallerLimit(string(inlet.LimitRequests))
		return nil, base.RefuseCallMemory()
	}
	defer nod.limits.ReleaseCall(charged)
	return nod.handler.Serve(ctx, call)
}

// LocalLoad returns this node's load and whether it is leaving, which the mesh sends in probes and their answers.
func (nod *Node) LocalLoad() (load float64, leaving bool) {
	return nod.handler.Load(), nod.handler.Leaving()
}

// HandleControl passes a control message to gossip, shares or the exchanger of state updates, whichever handles its type.
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

// onSnapshot applies new declarations and a new host list.
func (nod *Node) onSnapshot(sna *decl.Snapshot) {
	now := time.Now()
	nod.hostView.SetSnapshot(now, sna)
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

// onItemIgnored logs an invalid item of a configuration document.
func (nod *Node) onItemIgnored(ign *decl.IgnoredItem) {
	nod.log.WithFields(logrus.Fields{"item": ign.Name(), "reason": ign.Reason()}).Warn("item ignored")
}

// onCallerLimit counts and logs that a caller met a limit.
func (nod *Node) onCallerLimit(lim inlet.Limit, remote net.Addr) {
	nod.metrics.CountCallerLimit(string(lim))
	if omitted, ok := nod.limitLog.Take(time.Now()); ok {
		nod.log.WithFields(logrus.Fields{"limit": string(lim), "caller": remote.String(), "left_out": omitted}).Info("caller limited")
	}
}

// isReady reports whether the node should get requests of callers: it has a configuration, and its share of the teams'
// rates has had time to gain tokens. A node that gets no share becomes ready after maxShareWait, because it can serve
// public routes and borrow tokens.
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

// Run serves until the context ends, then shuts down gracefully.
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
	case <-workCtx.Done(): // one of the goroutines failed
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
		wrap       func(net.Listener) net.Listener
	}{
		{"ingress", nod.settings.Ingress, nod.ingress.Server(), nod.ingress.Listen},
		{"nested", nod.settings.Nested, nod.nested.Server(), nod.nested.Listen},
		{"admin", nod.settings.Admin, base.NewInnerServer(nod.admin()), base.ListenInner},
	}
	var out []*base.Server
	for _, lis := range listeners {
		ser, err := base.Listen(lis.flag, lis.addr, lis.server, lis.wrap)
		if err != nil {
			return nil, err
		}
		out = append(out, ser)
	}
	return out, nil
}

// updateConnections passes the state of each peer connection to the host view, and tells the mesh to which hosts it
// must keep connections. The address table of the mesh is rebuilt only when the host list or those hosts changed: with
// 1,900 hosts on the list, a rebuild in each peerStateInterval took 4.5% to 5.4% of a core.
func (nod *Node) updateConnections(now time.Time) {
	nod.connectMut.Lock()
	defer nod.connectMut.Unlock()
	nod.hostView.SetNeighbours(nod.syncer.Neighbours())
	hosts := nod.hostView.HostsToConnect(now)
	for _, host := range hosts {
		if pst := nod.mesh.State(host); pst.Known() {
			nod.hostView.Observe(now, host, pst)
		}
	}
	nod.hostView.ObserveLoad(nod.settings.Host, nod.handler.Load())
	sna := nod.syncer.Snapshot()
	if sna == nil || sna == nod.meshSnapshot && slices.Equal(hosts, nod.meshHosts) {
		return
	}
	if addrs := nod.hostView.PeerAddrs(); len(addrs) > 0 {
		nod.mesh.SetPeers(addrs, hosts)
		nod.meshSnapshot, nod.meshHosts = sna, hosts
	}
}

// watchPeers checks in each peerStateInterval whether an upstream that is down listens again, updates the peer
// connections, and records when the node first holds a share.
func (nod *Node) watchPeers(ctx context.Context) error {
	tick := time.NewTicker(peerStateInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			nod.upstream.Probe(ctx)
			nod.updateConnections(time.Now())
			if nod.firstShareAt.Load() == 0 && nod.shares.NodeShare() > 0 {
				nod.firstShareAt.Store(time.Now().UnixNano())
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// shutDown ends the node without cutting requests in flight. It announces the shutdown to peers and callers, waits
// DrainPause for them to switch to other hosts, refuses new calls, and closes the listeners once the calls in flight
// have ended. The nested listener closes last, because the node's own upstream needs it until it has finished its
// calls.
func (nod *Node) shutDown(servers []*base.Server) {
	nod.log.WithField("pause", nod.settings.DrainPause).Info("graceful shutdown started")
	nod.serving.Store(false)
	nod.handler.Leave(time.Now().Add(nod.settings.DrainPause + nod.settings.DrainTimeout))
	nod.ingress.Drain()
	time.Sleep(nod.settings.DrainPause)
	nod.handler.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), nod.settings.DrainTimeout)
	defer cancel()
	ingress, nested := servers[0], servers[1]
	if err := errors.Join(ingress.Shutdown(ctx), nod.mesh.Drain(ctx), nod.gate.WaitIdle(ctx), nested.Shutdown(ctx)); err != nil {
		nod.log.WithError(err).Warn("graceful shutdown cut calls in flight; raise --drain-timeout")
		return
	}
	nod.log.Info("graceful shutdown finished")
}
