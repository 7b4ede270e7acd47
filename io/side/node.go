package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/bounds"
	"amaranthline/core/state/decl"
	"amaranthline/core/state/memory"
	"amaranthline/io/base"
	"amaranthline/io/transport/back"
	"amaranthline/io/transport/front"
	"amaranthline/io/transport/inlet"
	"amaranthline/io/transport/mesh"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	peerStateInterval = 100 * time.Millisecond // between two updates of the proxy with the state of the peer connections
	// bootJitter is the longest random pause before a starting node reads the configuration. It is short, so that a
	// restarted node serves again soon.
	bootJitter       = 200 * time.Millisecond
	maxSourceBackoff = time.Second // longest pause between calls to a configuration service that fails
	// maxFullMeshHosts is the number of hosts up to which a node keeps connections to all of them. On a longer host
	// list the node keeps connections to its gossip neighbours and to the hosts that it sends calls to; it opens others
	// on demand.
	maxFullMeshHosts = 32
	// upstreamIdleTimeout is below the 10 s after which the upstreams of the present deployments close idle connections.
	upstreamIdleTimeout = 8 * time.Second
	// peerIdleTimeout is how long a connection stays open that is not among those of hostsToConnect any more. While the
	// host list fills after a start, a node connects to many hosts that it does not need later; each connection costs
	// probes.
	peerIdleTimeout = 5 * time.Second
)

// Node is a sidecar: the process beside an upstream that forwards requests and calls between hosts.
type Node struct {
	settings      Settings
	drainSettings atomic.Pointer[drainSettings]
	log           *logrus.Logger
	eventLog      *EventLog
	metrics       *base.Metrics
	mesh          *mesh.Mesh
	syncer        *gossip.Syncer
	proxy         *proxy.Proxy
	upstream      *back.Client
	frontend      *front.Frontend
	limits        *inlet.Limits                 // of what callers make the node hold
	bounds        *bounds.Bounds                // limits for callers
	meshSnapshot  atomic.Pointer[decl.Snapshot] // the snapshot whose peer addresses the mesh was last given
	ready         atomic.Bool                   // a configuration has come into force
	leaving       atomic.Bool                   // a graceful shutdown has started
}

// drainSettings are the times of a graceful shutdown; Reload replaces them while the node runs.
type drainSettings struct {
	pause   time.Duration
	timeout time.Duration
}

// Reload applies the settings that can change while the node runs: DrainPause, DrainTimeout and RetryShare. It ignores
// all others.
func (nod *Node) Reload(set Settings) {
	nod.drainSettings.Store(&drainSettings{pause: set.DrainPause, timeout: set.DrainTimeout})
	nod.proxy.SetRetryShare(set.RetryShare)
}

// New checks the settings and assembles a node.
func New(set Settings, ada Adapter, eventLog *EventLog, log *logrus.Logger) (*Node, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	nod := &Node{settings: set, log: log, eventLog: eventLog, metrics: base.NewMetrics()}
	div := memory.Divide(set.MemoryMB, set.MaxFiles, set.Connections)
	nod.mesh = mesh.New(mesh.Settings{
		Host: set.Host, Incarnation: uint64(time.Now().UnixNano()), Listen: set.Peer, Insecure: set.InsecurePeers,
		IdleTimeout: peerIdleTimeout, Handshakes: div.Handshakes(), Handler: nod, Control: nod, OnEvent: func(eve mesh.Event) { nod.metrics.CountPeerEvent(eve.String()) },
	})
	nod.upstream = back.New(back.Settings{
		BaseURL: set.Upstream, MaxConnections: set.Connections, OnCrash: func() { nod.proxy.UpstreamCrashed() },
		OnConnLost: func() { nod.proxy.ConnectionLost() }, IdleTimeout: upstreamIdleTimeout, Dialect: ada.Upstream,
	})
	nod.syncer = gossip.New(gossip.Settings{
		Host: set.Host, Domain: set.Domain, Peers: nod.mesh, Source: ada.Source, Rand: newRand(),
		OnChange: nod.onSnapshot, OnRefused: nod.onDocumentRefused, OnIgnored: nod.onItemIgnored, OnlyDeclared: true, BootJitter: bootJitter, MaxBackoff: maxSourceBackoff,
	})
	nod.proxy = proxy.New(proxy.Settings{
		Host: set.Host, Domain: set.Domain, Service: set.Service, Peers: nod.mesh, Upstream: nod.upstream,
		Snapshot: nod.syncer.Snapshot, Observer: nod.metrics, EventLog: eventLog, Rand: newRand(), RetryShare: set.RetryShare,
		Scheduling: set.Scheduling, ConfigurationStale: nod.syncer.Stale,
	})
	base.LimitHeap(div)
	nod.limits = inlet.NewLimits(div, nod.onCallerLimit)
	nod.bounds = bounds.New()
	nod.frontend = front.New(front.Settings{Handler: nod.proxy, Observer: nod.metrics, Dialect: ada.Callers, EventLog: eventLog, Limits: nod.limits, Bounds: nod.bounds})
	nod.metrics.RegisterAhead(nod.frontend.AheadStats)
	nod.registerGauges(ada.IgnoredEntries)
	nod.metrics.RegisterCallerGauges(nod.limits)
	nod.Reload(set)
	return nod, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:gosec // no secret

// Serve runs a call that a peer forwarded.
func (nod *Node) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	charged := memory.Charged(base.CallCost(call))
	if !nod.limits.ReserveCall(charged) {
		nod.metrics.CountCallerLimit(string(inlet.LimitRequests))
		return nil, base.RefuseCallMemory()
	}
	defer nod.limits.ReleaseCall(charged)
	return nod.proxy.Serve(ctx, call)
}

// LocalLoad returns this node's load and whether it is leaving, which the mesh sends in probes and their answers.
func (nod *Node) LocalLoad() (load float64, leaving bool) {
	return nod.proxy.Load(), nod.proxy.Leaving()
}

// HandleControl passes a control message to gossip or the proxy, whichever handles its type.
func (nod *Node) HandleControl(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	for _, handle := range []func(context.Context, string, proto.Message) (proto.Message, bool, error){
		nod.syncer.HandleControl, nod.proxy.HandleControl,
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
	nod.proxy.SetSnapshot(sna)
	lim := sna.Limits()
	nod.bounds.Set(time.Now(), bounds.Limits{
		HeaderBytes: lim.HeaderBytes(), BodyBytes: lim.BodyBytes(), HeaderTimeout: lim.HeaderTimeout(), IdleTimeout: lim.IdleTimeout(),
	})
	allowed := nod.bounds.At(time.Now())
	nod.connectPeers()
	nod.eventLog.Note("configuration in force", "", map[string]any{
		"declarations": sna.Version(), "hosts": sna.Hosts().Version(), "listed": len(sna.Hosts().All()),
		"header_bytes": allowed.HeaderBytes, "body_bytes": allowed.BodyBytes,
		"header_timeout_s": allowed.HeaderTimeout.Seconds(), "idle_timeout_s": allowed.IdleTimeout.Seconds(),
	})
	nod.ready.Store(true)
}

// onDocumentRefused logs why gossip refused a configuration document.
func (nod *Node) onDocumentRefused(err error) {
	nod.eventLog.Note("document refused", "", map[string]any{"error": err.Error()})
}

// onItemIgnored logs an invalid item of a configuration document.
func (nod *Node) onItemIgnored(ign *decl.IgnoredItem) {
	nod.eventLog.Note("item ignored", "", map[string]any{"item": ign.Name(), "reason": ign.Reason()})
}

// onCallerLimit counts and logs that a caller met a limit.
func (nod *Node) onCallerLimit(lim inlet.Limit, remote net.Addr) {
	nod.metrics.CountCallerLimit(string(lim))
	nod.eventLog.Note("caller limited", "", map[string]any{"limit": string(lim), "caller": remote.String()})
}

// connectPeers tells the mesh the addresses of all listed hosts, and to which of them it must keep connections.
func (nod *Node) connectPeers() {
	sna := nod.syncer.Snapshot()
	if sna == nil {
		return
	}
	addrs := map[string]string{}
	for _, hos := range sna.Hosts().All() {
		if hos.ID() != nod.settings.Host {
			addrs[hos.ID()] = hos.PeerAddr()
		}
	}
	nod.mesh.SetPeers(addrs, nod.hostsToConnect(sna))
	nod.meshSnapshot.Store(sna)
}

// hostsToConnect returns the hosts to which connections stay open, in ascending order.
func (nod *Node) hostsToConnect(sna *decl.Snapshot) []string {
	all := sna.Hosts().All()
	hosts := map[string]bool{}
	for _, host := range nod.syncer.Neighbours() {
		hosts[host] = true
	}
	for _, host := range append(nod.proxy.PreferredPeers(), nod.proxy.Granters()...) {
		hosts[host] = true
	}
	if len(all) <= maxFullMeshHosts {
		for _, hos := range all {
			hosts[hos.ID()] = true
		}
	}
	delete(hosts, nod.settings.Host)
	sorted := make([]string, 0, len(hosts))
	for id := range hosts {
		sorted = append(sorted, id)
	}
	slices.Sort(sorted)
	return sorted
}

// Run serves until the context ends, then shuts down gracefully.
func (nod *Node) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := nod.listen()
	if err != nil {
		return err
	}
	if nod.settings.InsecurePeers {
		nod.log.Warn("connections between nodes are neither encrypted nor authenticated (--insecure-peers)")
	}
	grp, workCtx := errgroup.WithContext(workCtx)
	grp.Go(func() error { return nod.mesh.Run(workCtx) })
	grp.Go(func() error { return nod.syncer.Run(workCtx) })
	grp.Go(func() error { return nod.proxy.Run(workCtx) })
	grp.Go(func() error { nod.eventLog.Run(workCtx); return nil })
	grp.Go(func() error { nod.watchPeers(workCtx); return nil })
	for _, ser := range servers {
		grp.Go(ser.Run)
	}
	nod.log.WithFields(logrus.Fields{"host": nod.settings.Host, "domain": nod.settings.Domain, "service": nod.settings.Service}).Info("node started")
	select {
	case <-ctx.Done():
		nod.shutDown(servers[0])
	case <-workCtx.Done(): // one of the goroutines failed
	}
	cancel()
	for _, ser := range servers {
		_ = ser.Close()
	}
	if err := grp.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	nod.log.Info("node stopped")
	return nil
}

func (nod *Node) listen() ([]*base.Server, error) {
	listeners := []struct {
		flag, addr string
		server     *http.Server
		wrap       func(net.Listener) net.Listener
	}{
		{"ingress", nod.settings.Ingress, nod.frontend.Server(), nod.frontend.Listen},
		{"ready", nod.settings.Ready, base.NewInnerServer(nod.admin()), base.ListenInner},
		{"admin", nod.settings.Admin, base.NewInnerServer(nod.operatorAdmin()), base.ListenInner},
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

// watchPeers gives the proxy the state of each peer connection and logs connections that go up or down.
func (nod *Node) watchPeers(ctx context.Context) {
	tick := time.NewTicker(peerStateInterval)
	defer tick.Stop()
	lastUp := map[string]bool{}
	for {
		select {
		case <-tick.C:
			for _, host := range nod.mesh.Hosts() {
				pst := nod.mesh.State(host)
				nod.proxy.SetPeerState(host, pst)
				if wasUp, seen := lastUp[host]; pst.Known() && (!seen || wasUp != pst.Up()) {
					lastUp[host] = pst.Up()
					nod.eventLog.Note("peer connection changed", "", map[string]any{"host": host, "up": pst.Up(), "leaving": pst.Leaving()})
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// shutDown ends the node without cutting requests in flight. It announces the shutdown to peers and callers, waits
// DrainPause for them to switch to other hosts, refuses new calls, and closes the ingress once the calls in flight have
// ended. The ingress stays open until then because the node's own upstream makes its nested calls through it.
func (nod *Node) shutDown(ingress *base.Server) {
	drain := nod.drainSettings.Load()
	nod.log.WithField("pause", drain.pause).Info("graceful shutdown started")
	nod.leaving.Store(true)
	nod.proxy.Leave(time.Now().Add(drain.pause + drain.timeout))
	nod.frontend.Drain()
	time.Sleep(drain.pause)
	nod.proxy.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), drain.timeout)
	defer cancel()
	if err := errors.Join(nod.mesh.Drain(ctx), nod.proxy.WaitIdle(ctx), ingress.Shutdown(ctx)); err != nil {
		nod.log.WithError(err).Warn("graceful shutdown cut calls in flight; raise --drain-timeout")
		return
	}
	nod.log.Info("graceful shutdown finished")
}
