package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/coordination/gossip"
	"amaranthline/core/coordination/proxy"
	"amaranthline/core/state/decl"
	"amaranthline/io/base"
	"amaranthline/io/transport/back"
	"amaranthline/io/transport/front"
	"amaranthline/io/transport/mesh"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	peerInterval = 100 * time.Millisecond // how often the proxy takes over what connections show
	bootSpread   = 200 * time.Millisecond // of a restarted node, so that it serves again at once
	maxBackoff   = time.Second            // between calls to a configuration service that fails
	// keepAll is the size of a fleet up to which a node keeps connections to all hosts. In a larger one it keeps those
	// to which it prefers to send calls; further ones are opened when needed.
	keepAll = 32
	// upstreamIdle is below the 10 s after which the upstreams of today's deployments close idle connections.
	upstreamIdle  = 8 * time.Second
	headerTimeout = 5 * time.Second
)

// Node is one process beside an upstream.
type Node struct {
	set     Settings
	drainBy atomic.Pointer[drainTimes]
	log     *logrus.Logger
	notes   *EventLog
	met     *base.Metrics
	mesh    *mesh.Mesh
	spread  *gossip.Syncer
	relay   *proxy.Proxy
	back    *back.Client
	front   *front.Frontend
	current atomic.Pointer[decl.Snapshot] // whose addresses the mesh has
	ready   atomic.Bool
	leaving atomic.Bool
}

// drainTimes are the settings of a graceful shutdown that may change while the node runs.
type drainTimes struct {
	pause   time.Duration
	timeout time.Duration
}

// Reload takes the settings that can change while the node runs: the times of a graceful shutdown and the share of
// retries.
func (nod *Node) Reload(set Settings) {
	nod.drainBy.Store(&drainTimes{pause: set.DrainPause, timeout: set.DrainTimeout})
	nod.relay.SetRetryShare(set.RetryShare)
}

// New checks the settings and assembles a node.
func New(set Settings, ada Adapter, notes *EventLog, log *logrus.Logger) (*Node, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	nod := &Node{set: set, log: log, notes: notes, met: base.NewMetrics()}
	nod.mesh = mesh.New(mesh.Settings{
		Host: set.Host, Incarnation: uint64(time.Now().UnixNano()), Listen: set.Peer, Insecure: set.InsecurePeers,
		Handler: nod, Control: nod, OnEvent: func(eve mesh.Event) { nod.met.CountPeerEvent(eve.String()) },
	})
	nod.back = back.New(back.Settings{
		BaseURL: set.Upstream, Connections: set.Connections, OnCrash: func() { nod.relay.UpstreamCrashed() },
		IdleTimeout: upstreamIdle, Dialect: ada.Upstream,
	})
	nod.spread = gossip.New(gossip.Settings{
		Host: set.Host, Domain: set.Domain, Peers: nod.mesh, Source: ada.Source, Rand: newRand(),
		OnChange: nod.onSnapshot, OnRefused: nod.onRefused, BootJitter: bootSpread, MaxBackoff: maxBackoff,
	})
	nod.relay = proxy.New(proxy.Settings{
		Host: set.Host, Domain: set.Domain, Service: set.Service, Peers: nod.mesh, Upstream: nod.back,
		Snapshot: nod.spread.Snapshot, Observer: nod.met, EventLog: notes, Rand: newRand(), RetryShare: set.RetryShare,
	})
	nod.front = front.New(front.Settings{Handler: nod.relay, Observer: nod.met, Dialect: ada.Callers})
	nod.registerGauges()
	nod.Reload(set)
	return nod, nil
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:gosec // no secret

// Serve serves a call of a peer.
func (nod *Node) Serve(ctx context.Context, call *core.Call) (*core.Answer, error) {
	return nod.relay.Serve(ctx, call)
}

// LocalLoad returns load and drain state for probes.
func (nod *Node) LocalLoad() (load float64, leaving bool) {
	return nod.relay.Load(), nod.relay.Leaving()
}

// HandleControl hands a control message to the part that handles its kind.
func (nod *Node) HandleControl(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	for _, handle := range []func(context.Context, string, proto.Message) (proto.Message, bool, error){
		nod.spread.HandleControl, nod.relay.HandleControl,
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
	nod.relay.SetSnapshot(sna)
	nod.connect()
	nod.notes.Note("configuration in force", "", map[string]any{
		"declarations": sna.Version(), "hosts": sna.Hosts().Version(), "listed": len(sna.Hosts().All()),
	})
	nod.ready.Store(true)
}

// onRefused logs a document that cannot be used.
func (nod *Node) onRefused(err error) {
	nod.notes.Note("document refused", "", map[string]any{"error": err.Error()})
}

// connect opens the connections that are needed.
func (nod *Node) connect() {
	sna := nod.spread.Snapshot()
	if sna == nil {
		return
	}
	addrs := map[string]string{}
	for _, hos := range sna.Hosts().All() {
		if hos.ID() != nod.set.Host {
			addrs[hos.ID()] = hos.PeerAddr()
		}
	}
	nod.mesh.SetPeers(addrs, nod.kept(sna))
	nod.current.Store(sna)
}

func (nod *Node) kept(sna *decl.Snapshot) []string {
	all := sna.Hosts().All()
	keep := map[string]bool{}
	for _, host := range nod.spread.Neighbours() {
		keep[host] = true
	}
	for _, host := range nod.relay.Subset() {
		keep[host] = true
	}
	if len(all) <= keepAll {
		for _, hos := range all {
			keep[hos.ID()] = true
		}
	}
	delete(keep, nod.set.Host)
	out := make([]string, 0, len(keep))
	for id := range keep {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Run serves until the context ends and then shuts down gracefully.
func (nod *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, err := nod.listen()
	if err != nil {
		return err
	}
	if nod.set.InsecurePeers {
		nod.log.Warn("connections between nodes are neither encrypted nor authenticated (--insecure-peers)")
	}
	grp, work := errgroup.WithContext(work)
	grp.Go(func() error { return nod.mesh.Run(work) })
	grp.Go(func() error { return nod.spread.Run(work) })
	grp.Go(func() error { return nod.relay.Run(work) })
	grp.Go(func() error { nod.notes.Run(work); return nil })
	grp.Go(func() error { nod.watchPeers(work); return nil })
	for _, ser := range servers {
		grp.Go(ser.Run)
	}
	nod.log.WithFields(logrus.Fields{"host": nod.set.Host, "domain": nod.set.Domain, "service": nod.set.Service}).Info("node started")
	select {
	case <-ctx.Done():
		nod.drain(servers[0])
	case <-work.Done(): // a part failed
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
	ports := []struct {
		flag, addr string
		server     *http.Server
	}{
		{"ingress", nod.set.Ingress, nod.front.Server()},
		{"ready", nod.set.Ready, &http.Server{Handler: nod.admin(), ReadHeaderTimeout: headerTimeout}},
		{"admin", nod.set.Admin, &http.Server{Handler: nod.admin(), ReadHeaderTimeout: headerTimeout}},
	}
	var out []*base.Server
	for _, por := range ports {
		ser, err := base.Listen(por.flag, por.addr, por.server)
		if err != nil {
			return nil, err
		}
		out = append(out, ser)
	}
	return out, nil
}

// watchPeers takes over what the connections show, and logs peers that are lost and regained.
func (nod *Node) watchPeers(ctx context.Context) {
	tick := time.NewTicker(peerInterval)
	defer tick.Stop()
	up := map[string]bool{}
	for {
		select {
		case <-tick.C:
			for _, host := range nod.mesh.Hosts() {
				pst := nod.mesh.State(host)
				nod.relay.SetPeerState(host, pst)
				if was, seen := up[host]; pst.Known() && (!seen || was != pst.Up()) {
					up[host] = pst.Up()
					nod.notes.Note("peer connection changed", "", map[string]any{"host": host, "up": pst.Up(), "leaving": pst.Leaving()})
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// drain stops without cutting a request: peers and callers learn first, then new calls are refused, then the port for
// callers closes once what is in progress has ended. Calls that the own upstream makes need that port until then.
func (nod *Node) drain(ingress *base.Server) {
	times := nod.drainBy.Load()
	nod.log.WithField("pause", times.pause).Info("graceful shutdown started")
	nod.leaving.Store(true)
	nod.relay.Leave()
	nod.front.Drain()
	time.Sleep(times.pause)
	nod.relay.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), times.timeout)
	defer cancel()
	if err := errors.Join(nod.mesh.Drain(ctx), nod.relay.WaitIdle(ctx), ingress.Shutdown(ctx)); err != nil {
		nod.log.WithError(err).Warn("graceful shutdown cut calls in progress; raise --drain-timeout")
		return
	}
	nod.log.Info("graceful shutdown finished")
}
