package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthline/core"
)

// Event is a kind of event on the connections to peers, for which a node keeps a counter.
type Event uint8

// The kinds of events on the connections to peers.
const (
	EventProtocolViolation Event = iota // a peer violated the protocol; its session ended
	EventHandshakeFailed                // a connection to the peer port ended before its Hello was accepted
	EventOpened                         // a session started, in either direction
	EventClosed                         // a session ended, in either direction
	EventProbeTimeout                   // a session was ended because its peer left maxMissedProbes unanswered
)

// String returns the event as a metric label.
func (eve Event) String() string {
	return [...]string{"malformed", "handshake", "opened", "closed", "silent"}[eve]
}

// Settings gives a node's identity, peer port, TLS configuration and handlers of calls and control messages.
type Settings struct {
	Host        string // ID of this node's host
	Incarnation uint64
	Listen      string      // numeric IP address and port of the peer port
	ServerTLS   *tls.Config // certificate and client CAs; nil only on loopback
	ClientTLS   *tls.Config // certificate and root CAs; nil only towards loopback
	Handler     core.Handler
	Control     core.ControlHandler
	OnEvent     func(Event)   // called from many goroutines; may be nil
	Handshakes  int           // bound on accepted connections that have not yet sent their Hello; 256 when zero
	Insecure    bool          // allows addresses outside loopback without TLS
	IdleTimeout time.Duration // after which an unused connection that SetPeers does not keep is closed; 60 s when zero
}

// Mesh reaches the other nodes and serves them; it implements core.Peers.
type Mesh struct {
	settings    Settings
	epoch       time.Time // zero of this node's monotonic clock, whose readings probes carry
	peers       atomic.Pointer[map[string]*peer]
	activeCalls atomic.Int64 // calls and control messages in flight in both directions
	leaving     atomic.Bool  // set by Drain
	inbound     *inboundSessions
	lanes       *laneRegistry
	lastNumber  atomic.Uint64 // of a call on a lane, or of a group of lanes
	ready       chan struct{}
	addr        string // set before ready is closed

	mut    sync.Mutex      // guards changes of peers and the start of tasks; calls do not take it
	runCtx context.Context // nil before Run and after its end
	tasks  sync.WaitGroup
}

var _ core.Peers = (*Mesh)(nil)

// New returns a mesh that opens no connection until Run.
func New(set Settings) *Mesh {
	if set.OnEvent == nil {
		set.OnEvent = func(Event) {}
	}
	if set.IdleTimeout == 0 {
		set.IdleTimeout = defaultIdleTimeout
	}
	mes := &Mesh{settings: set, epoch: time.Now(), inbound: newInboundSessions(set.Handshakes), lanes: newLaneRegistry(), ready: make(chan struct{})}
	mes.peers.Store(&map[string]*peer{})
	return mes
}

// Run listens on the peer port and maintains the connections until ctx ends. It returns when all its goroutines have
// ended.
func (mes *Mesh) Run(ctx context.Context) error {
	if mes.settings.ServerTLS == nil && !mes.settings.Insecure && !isLoopback(mes.settings.Listen) {
		return &InsecureError{address: mes.settings.Listen}
	}
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", mes.settings.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	mes.start(ctx, lis.Addr().String())
	err = mes.accept(ctx, lis)
	cancel()
	mes.waitTasks()
	return err
}

func (mes *Mesh) start(ctx context.Context, addr string) {
	mes.mut.Lock()
	defer mes.mut.Unlock()
	mes.runCtx = ctx
	mes.addr = addr
	close(mes.ready)
	for _, pee := range *mes.peers.Load() {
		if pee.kept.Load() {
			mes.tasks.Go(func() { pee.ensureManaged() }) //nolint:contextcheck // spawn passes the context of Run
		}
	}
}

// waitTasks prevents spawn from starting further tasks and waits for those that run.
func (mes *Mesh) waitTasks() {
	mes.mut.Lock()
	mes.runCtx = nil
	mes.mut.Unlock()
	mes.tasks.Wait()
}

// spawn starts a task that Run waits for; before Run and after its end it starts nothing and returns false.
func (mes *Mesh) spawn(task func(context.Context)) bool {
	mes.mut.Lock()
	defer mes.mut.Unlock()
	if mes.runCtx == nil || mes.runCtx.Err() != nil {
		return false
	}
	ctx := mes.runCtx
	mes.tasks.Go(func() { task(ctx) })
	return true
}

// Ready is closed when Run listens.
func (mes *Mesh) Ready() <-chan struct{} { return mes.ready }

// Addr returns the address of the peer port once Ready is closed.
func (mes *Mesh) Addr() string { return mes.addr }

// nowNanos returns the nanoseconds since the epoch on this node's monotonic clock.
func (mes *Mesh) nowNanos() int64 { return int64(time.Since(mes.epoch)) }

// SetPeers sets the addresses by host, and the hosts to which connections are kept open. The connection to a host
// that is no longer given, or has another address, is closed when its calls have ended.
func (mes *Mesh) SetPeers(addrs map[string]string, keep []string) {
	mes.mut.Lock()
	old := *mes.peers.Load()
	next := make(map[string]*peer, len(addrs))
	for host, addr := range addrs {
		pee := old[host]
		if pee == nil || pee.addr != addr {
			pee = newPeer(mes, host, addr)
		}
		next[host] = pee
	}
	var newlyKept []*peer
	for host, pee := range next {
		if pee.setKept(slices.Contains(keep, host)) {
			newlyKept = append(newlyKept, pee)
		}
	}
	mes.peers.Store(&next)
	mes.mut.Unlock()
	for host, pee := range old {
		if next[host] != pee {
			pee.retired.Store(true)
		}
	}
	for _, pee := range newlyKept {
		pee.ensureManaged()
	}
}

// State returns the last known state of a peer. The state is unknown before the first dial has ended and after an unused
// connection has been closed.
func (mes *Mesh) State(host string) core.PeerState {
	pee := (*mes.peers.Load())[host]
	if pee == nil {
		return core.PeerState{}
	}
	return pee.lastState()
}

// Hosts returns the hosts that SetPeers gave, in ascending order.
func (mes *Mesh) Hosts() []string { return slices.Sorted(maps.Keys(*mes.peers.Load())) }

// Forward sends a call to the node of a host. After it has returned an error for a call with a body of at most
// 64 KiB, the body is not read any more, so that a retry may send it again; this does not hold when ctx has ended.
func (mes *Mesh) Forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	cancel := context.CancelFunc(func() {})
	if until, ok := ctx.Deadline(); !ok || until.After(call.Deadline()) {
		ctx, cancel = context.WithDeadline(ctx, call.Deadline())
	}
	ses, err := mes.sessionTo(ctx, host)
	if err != nil {
		cancel()
		return nil, err
	}
	return ses.forward(ctx, cancel, call)
}

// Exchange sends one control message and returns the reply, or nil when the peer had none.
func (mes *Mesh) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	ses, err := mes.sessionTo(ctx, host)
	if err != nil {
		return nil, err
	}
	return ses.exchangeControl(ctx, cancel, msg)
}

// sessionTo returns the session to a host, or a refusal with the outcome not run.
func (mes *Mesh) sessionTo(ctx context.Context, host string) (*outboundSession, error) {
	pee := (*mes.peers.Load())[host]
	if pee == nil {
		return nil, notRunRefusal("host %q has no address; wait for the host list", host)
	}
	ses, err := pee.session(ctx)
	if err == nil {
		return ses, nil
	}
	if ctx.Err() != nil {
		return nil, contextRefusal(ctx, core.OutcomeNotRun)
	}
	return nil, notRunRefusal("host %q cannot be reached", host).WithCause(err)
}

// Drain reports this node as leaving to its peers and waits until the calls in flight have ended.
func (mes *Mesh) Drain(ctx context.Context) error {
	mes.leaving.Store(true)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for mes.activeCalls.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Join(ErrDrain, ctx.Err())
		}
	}
	return nil
}

// ErrDrain means that calls were still in flight when the time for a graceful shutdown was over.
var ErrDrain = errors.New("calls are still in flight; allow more time for the graceful shutdown")

// localState returns the load of this node and whether it is leaving, for probes and their answers.
func (mes *Mesh) localState() (float64, bool) {
	load, leaving := mes.settings.Control.LocalLoad()
	return load, leaving || mes.leaving.Load()
}
