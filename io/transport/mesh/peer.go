package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

var errNotRunning = errors.New("this node is not running; start it, or send the call to another node")

// peer is one host at one address. A goroutine maintains its connection while the connection is kept or in use.
type peer struct {
	mesh          *Mesh
	host          string
	addr          string
	kept          atomic.Bool                     // the connection stays open even when it is unused
	retired       atomic.Bool                     // SetPeers has removed the host or changed its address
	openSession   atomic.Pointer[outboundSession] // nil while there is no connection
	state         atomic.Pointer[core.PeerState]
	lastUsedNanos atomic.Int64 // time of the last use, as Mesh.nowNanos returns it

	mut         sync.Mutex // guards the fields below; calls take it only while there is no connection
	managed     bool       // manageConnection runs
	currentDial *dialAttempt

	laneGroup      uint64
	resumeMut      sync.Mutex // guards the fields below and the moves of calls between lanes; taken before a lane's lock
	laneSequence   uint64
	suspendedCalls map[uint64]*laneCall // by number; calls that wait for the next lane
}

// dialAttempt is a dial whose result callers wait for. A failed one stays the current one until the pause before the
// next dial is over, so that calls fail immediately meanwhile.
type dialAttempt struct {
	done    chan struct{}
	session *outboundSession
	err     error
}

func newDialAttempt() *dialAttempt { return &dialAttempt{done: make(chan struct{})} }

func (att *dialAttempt) complete(ses *outboundSession, err error) {
	att.session, att.err = ses, err
	close(att.done)
}

func (att *dialAttempt) completed() bool {
	select {
	case <-att.done:
		return true
	default:
		return false
	}
}

func newPeer(mes *Mesh, host, addr string) *peer {
	return &peer{mesh: mes, host: host, addr: addr, laneGroup: mes.lastNumber.Add(1), suspendedCalls: map[uint64]*laneCall{}}
}

// setKept sets whether the connection stays open when it is unused, and reports whether the caller must open it now.
func (pee *peer) setKept(keep bool) bool {
	if !keep && pee.kept.Load() {
		pee.lastUsedNanos.Store(pee.mesh.nowNanos())
	}
	return !pee.kept.Swap(keep) && keep
}

func (pee *peer) lastState() core.PeerState {
	if pst := pee.state.Load(); pst != nil {
		return *pst
	}
	return core.PeerState{}
}

// setReachable sets whether the peer is up and keeps its last known load, leaving state and round-trip time.
func (pee *peer) setReachable(up bool) {
	old := pee.lastState()
	pst := core.NewPeerState(up, old.Leaving(), old.Load(), old.RTT())
	pee.state.Store(&pst)
}

// session returns the open session; when there is none, it waits for the current dial.
func (pee *peer) session(ctx context.Context) (*outboundSession, error) {
	pee.lastUsedNanos.Store(pee.mesh.nowNanos())
	if ses := pee.openSession.Load(); ses != nil {
		return ses, nil
	}
	att := pee.ensureManaged() //nolint:contextcheck // the connection outlives the call
	select {
	case <-att.done:
		return att.session, att.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ensureManaged starts manageConnection unless it runs, and returns the current dial.
func (pee *peer) ensureManaged() *dialAttempt {
	pee.mut.Lock()
	defer pee.mut.Unlock()
	if pee.managed {
		return pee.currentDial
	}
	pee.currentDial = newDialAttempt()
	if !pee.mesh.spawn(pee.manageConnection) {
		pee.currentDial.complete(nil, errNotRunning)
		return pee.currentDial
	}
	pee.managed = true
	return pee.currentDial
}

// manageConnection dials and redials until the connection is unwanted. After a session of at least stableSessionTime it
// redials immediately; otherwise after a random pause between half of a bound and the bound, which doubles each time up
// to maxRedialPause.
func (pee *peer) manageConnection(ctx context.Context) {
	pause := minRedialPause
	for !pee.stopIfUnwanted(ctx) {
		ses, err := pee.dial(ctx)
		if err == nil {
			pee.resumeCalls(ses)
		}
		pee.publishDial(ses, err)
		started := time.Now()
		if err == nil {
			ses.run(ctx)
		}
		if err == nil && time.Since(started) >= stableSessionTime {
			pause = minRedialPause
			continue
		}
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxRedialPause)
		pee.renewDial()
	}
}

// sleep returns early when ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	tim := time.NewTimer(pause)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

// publishDial hands the result of a dial to the callers that wait for it.
func (pee *peer) publishDial(ses *outboundSession, err error) {
	pee.openSession.Store(ses)
	if err != nil {
		pee.setReachable(false)
	}
	pee.mut.Lock()
	defer pee.mut.Unlock()
	pee.currentDial.complete(ses, err)
}

// awaitRedial makes further callers wait for the next dial.
func (pee *peer) awaitRedial() {
	pee.openSession.Store(nil)
	pee.renewDial()
}

// renewDial replaces a dial that has a result by one that callers wait for.
func (pee *peer) renewDial() {
	pee.mut.Lock()
	defer pee.mut.Unlock()
	if pee.currentDial.completed() {
		pee.currentDial = newDialAttempt()
	}
}

// stopIfUnwanted marks the peer as not managed and returns true when its connection is unwanted or the node stops. The
// check and the change are one step under the mutex, so that a concurrent caller either counts as a use or starts
// manageConnection again.
func (pee *peer) stopIfUnwanted(ctx context.Context) bool {
	pee.mut.Lock()
	defer pee.mut.Unlock()
	if ctx.Err() == nil && !pee.unwanted() {
		return false
	}
	if !pee.currentDial.completed() {
		pee.currentDial.complete(nil, errNotRunning)
	}
	pee.managed = false
	pee.state.Store(nil)
	pee.abandonCalls()
	return true
}

func (pee *peer) unwanted() bool {
	if pee.retired.Load() {
		return true
	}
	return !pee.kept.Load() && pee.mesh.nowNanos()-pee.lastUsedNanos.Load() > int64(pee.mesh.settings.IdleTimeout)
}

// dial opens a connection and returns its session after Hello and the first probe have been answered.
func (pee *peer) dial(ctx context.Context) (*outboundSession, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if pee.mesh.settings.ClientTLS == nil && !pee.mesh.settings.Insecure && !isLoopback(pee.addr) {
		return nil, &InsecureError{address: pee.addr}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", pee.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	ses, err := pee.handshake(ctx, raw)
	if !stop() && err == nil {
		ses.close()
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	pee.mesh.settings.OnEvent(EventOpened)
	return ses, nil
}

// handshake runs TLS, yamux and Hello on a new connection and opens the stream of the lane.
func (pee *peer) handshake(ctx context.Context, raw net.Conn) (*outboundSession, error) {
	conn := raw
	if pee.mesh.settings.ClientTLS != nil {
		tco := tls.Client(raw, clientConfig(pee.mesh.settings.ClientTLS))
		if err := tco.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = tco
	}
	mux, err := yamux.Client(&sessionConn{Conn: conn, raw: raw}, muxConfig())
	if err != nil {
		return nil, err
	}
	ses := newOutboundSession(pee, mux, raw)
	err = pee.exchangeHello(ses, conn)
	if err == nil {
		err = ses.openLane()
	}
	if err != nil {
		ses.close()
		ses.releaseBuffers()
		return nil, err
	}
	return ses, nil
}

// exchangeHello sends Hello and the first probe and reads both answers, so that the clock offset is known before the
// first call.
func (pee *peer) exchangeHello(ses *outboundSession, conn net.Conn) error {
	str, err := ses.mux.OpenStream()
	if err != nil {
		return err
	}
	ses.setProbeStream(str)
	hello := &wire.Hello{Host: pee.mesh.settings.Host, Incarnation: pee.mesh.settings.Incarnation}
	if err := ses.probeWriter.Append(hello); err != nil {
		return err
	}
	if err := ses.probeWriter.Write(ses.newProbe()); err != nil {
		return err
	}
	msg, err := ses.probeReader.Read()
	if err != nil {
		return err
	}
	hel, ok := msg.(*wire.Hello)
	if !ok {
		return fmt.Errorf("peer at %s answered Hello with %T; run the same version on both nodes", pee.addr, msg)
	}
	ses.incarnation = hel.GetIncarnation()
	if hel.GetHost() != pee.host {
		return &IdentityError{host: pee.host, names: []string{hel.GetHost()}}
	}
	if err := checkIdentity(conn, hel.GetHost()); err != nil {
		return err
	}
	return ses.readAck()
}
