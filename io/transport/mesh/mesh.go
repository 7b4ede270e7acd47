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

// Event is something that a node counts about its connections.
type Event uint8

// The events of the connections to peers.
const (
	EventMalformed    Event = iota // a peer broke the framing; its session ended
	EventHandshake                 // a connection to the peer port ended before its Hello was accepted
	EventOpened                    // a session started, in either direction
	EventClosed                    // a session ended, in either direction
	EventProbeTimeout              // a session was ended because its peer left three probes unanswered
)

// String returns the event as a metric label.
func (eve Event) String() string {
	return [...]string{"malformed", "handshake", "opened", "closed", "silent"}[eve]
}

// Settings says who a node is, where it listens and who handles what arrives.
type Settings struct {
	Host        string
	Incarnation uint64
	Listen      string      // numeric IP address and port of the peer port
	Server      *tls.Config // certificate and client CAs; nil only on loopback
	Client      *tls.Config // certificate and root CAs; nil only towards loopback
	Handler     core.Handler
	Control     core.ControlHandler
	OnEvent     func(Event)   // called from many goroutines; may be nil
	Insecure    bool          // allows addresses outside loopback without TLS
	IdleTimeout time.Duration // after which an unused connection that is not kept is closed; 60 s when zero
}

// Mesh reaches the other nodes and serves them; it implements core.Peers.
type Mesh struct {
	set     Settings
	base    time.Time // zero of this node's monotonic clock in probes
	table   atomic.Pointer[map[string]*peer]
	active  atomic.Int64 // calls in progress in both directions
	leaving atomic.Bool
	inbox   *inbox
	ready   chan struct{}
	addr    string // set before ready is closed

	mut   sync.Mutex // guards changes of the table and the start of tasks; calls do not take it
	run   context.Context
	tasks sync.WaitGroup
}

var _ core.Peers = (*Mesh)(nil)

// New returns a mesh that does nothing until Run.
func New(set Settings) *Mesh {
	if set.OnEvent == nil {
		set.OnEvent = func(Event) {}
	}
	if set.IdleTimeout == 0 {
		set.IdleTimeout = defaultIdleClose
	}
	mes := &Mesh{set: set, base: time.Now(), inbox: newInbox(), ready: make(chan struct{})}
	mes.table.Store(&map[string]*peer{})
	return mes
}

// Run listens on the peer port and keeps the connections until ctx ends; it returns when all work has ended.
func (mes *Mesh) Run(ctx context.Context) error {
	if mes.set.Server == nil && !mes.set.Insecure && !loopback(mes.set.Listen) {
		return &InsecureError{address: mes.set.Listen}
	}
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", mes.set.Listen)
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
	mes.finish()
	return err
}

func (mes *Mesh) start(ctx context.Context, addr string) {
	mes.mut.Lock()
	defer mes.mut.Unlock()
	mes.run = ctx
	mes.addr = addr
	close(mes.ready)
	for _, pee := range *mes.table.Load() {
		if pee.keep.Load() {
			mes.tasks.Go(func() { pee.wake() }) //nolint:contextcheck // spawn passes the context of Run
		}
	}
}

// finish waits for all tasks, after it has made sure that spawn starts no more.
func (mes *Mesh) finish() {
	mes.mut.Lock()
	mes.run = nil
	mes.mut.Unlock()
	mes.tasks.Wait()
}

// spawn starts a task that Run waits for; it reports false before Run and after its end.
func (mes *Mesh) spawn(task func(context.Context)) bool {
	mes.mut.Lock()
	defer mes.mut.Unlock()
	if mes.run == nil || mes.run.Err() != nil {
		return false
	}
	ctx := mes.run
	mes.tasks.Go(func() { task(ctx) })
	return true
}

// Ready is closed when Run listens.
func (mes *Mesh) Ready() <-chan struct{} { return mes.ready }

// Addr returns the address of the peer port once Ready is closed.
func (mes *Mesh) Addr() string { return mes.addr }

// now returns this node's monotonic time in nanoseconds.
func (mes *Mesh) now() int64 { return int64(time.Since(mes.base)) }

// SetPeers gives the addresses by host, and the hosts to which connections are kept open. The connection to a host
// that is no longer given, or has another address, ends when its calls have ended.
func (mes *Mesh) SetPeers(addrs map[string]string, keep []string) {
	mes.mut.Lock()
	old := *mes.table.Load()
	next := make(map[string]*peer, len(addrs))
	for host, addr := range addrs {
		pee := old[host]
		if pee == nil || pee.addr != addr {
			pee = newPeer(mes, host, addr)
		}
		next[host] = pee
	}
	var wanted []*peer
	for host, pee := range next {
		if pee.setKeep(slices.Contains(keep, host)) {
			wanted = append(wanted, pee)
		}
	}
	mes.table.Store(&next)
	mes.mut.Unlock()
	for host, pee := range old {
		if next[host] != pee {
			pee.retired.Store(true)
		}
	}
	for _, pee := range wanted {
		pee.wake()
	}
}

// State returns what the connection to a host shows.
func (mes *Mesh) State(host string) core.PeerState {
	pee := (*mes.table.Load())[host]
	if pee == nil {
		return core.PeerState{}
	}
	return pee.shown()
}

// Hosts returns the hosts that SetPeers gave, in ascending order.
func (mes *Mesh) Hosts() []string { return slices.Sorted(maps.Keys(*mes.table.Load())) }

// Forward sends a call to the node of a host. When it returns an error for a call with a body of at most
// 64 KiB, the body is not read any more, unless ctx has ended.
func (mes *Mesh) Forward(ctx context.Context, host string, call *core.Call) (*core.Answer, error) {
	cancel := context.CancelFunc(func() {})
	if until, ok := ctx.Deadline(); !ok || until.After(call.Deadline()) {
		ctx, cancel = context.WithDeadline(ctx, call.Deadline())
	}
	ses, err := mes.session(ctx, host)
	if err != nil {
		cancel()
		return nil, err
	}
	return ses.forward(ctx, cancel, call)
}

// Exchange sends one control message and returns the reply, or nil when the peer had none.
func (mes *Mesh) Exchange(ctx context.Context, host string, msg proto.Message) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	ses, err := mes.session(ctx, host)
	if err != nil {
		return nil, err
	}
	return ses.control(ctx, cancel, msg)
}

func (mes *Mesh) session(ctx context.Context, host string) (*session, error) {
	pee := (*mes.table.Load())[host]
	if pee == nil {
		return nil, notRun("host %q has no address; wait for the host list", host)
	}
	ses, err := pee.session(ctx)
	if err == nil {
		return ses, nil
	}
	if ctx.Err() != nil {
		return nil, ended(ctx, core.OutcomeNotRun)
	}
	return nil, notRun("host %q cannot be reached", host).WithCause(err)
}

// Drain marks this node as leaving in its probes and waits until the calls in progress have ended.
func (mes *Mesh) Drain(ctx context.Context) error {
	mes.leaving.Store(true)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for mes.active.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Join(ErrDrain, ctx.Err())
		}
	}
	return nil
}

// ErrDrain says that calls were still in progress when the time for a graceful shutdown was over.
var ErrDrain = errors.New("calls are still in progress; allow more time for the graceful shutdown")

// self returns the load and the drain state for probes.
func (mes *Mesh) self() (float64, bool) {
	load, leaving := mes.set.Control.LocalLoad()
	return load, leaving || mes.leaving.Load()
}
