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

var errEnded = errors.New("the node does not run; start it, or send to another node")

// peer is one host at one address. A task manages its connection while the connection is kept or in use.
type peer struct {
	mes     *Mesh
	host    string
	addr    string
	keep    atomic.Bool
	retired atomic.Bool
	live    atomic.Pointer[session]
	state   atomic.Pointer[core.PeerState]
	used    atomic.Int64 // monotonic time of the last use

	mut     sync.Mutex // guards the fields below; calls take it only while there is no connection
	managed bool
	current *attempt
}

// attempt is a dial that callers wait for; a failed one stays current during the backoff.
type attempt struct {
	done chan struct{}
	ses  *session
	err  error
}

func newAttempt() *attempt { return &attempt{done: make(chan struct{})} }

func (att *attempt) settle(ses *session, err error) {
	att.ses, att.err = ses, err
	close(att.done)
}

func (att *attempt) settled() bool {
	select {
	case <-att.done:
		return true
	default:
		return false
	}
}

func newPeer(mes *Mesh, host, addr string) *peer {
	return &peer{mes: mes, host: host, addr: addr}
}

// setKeep reports whether the connection must be opened now.
func (pee *peer) setKeep(keep bool) bool {
	if !keep && pee.keep.Load() {
		pee.used.Store(pee.mes.now())
	}
	return !pee.keep.Swap(keep) && keep
}

func (pee *peer) shown() core.PeerState {
	if pst := pee.state.Load(); pst != nil {
		return *pst
	}
	return core.PeerState{}
}

// show replaces the reachability and keeps what the peer last reported.
func (pee *peer) show(up bool) {
	old := pee.shown()
	pst := core.NewPeerState(up, old.Leaving(), old.Load(), old.RTT())
	pee.state.Store(&pst)
}

// session returns the connection, and waits for the dial when there is none.
func (pee *peer) session(ctx context.Context) (*session, error) {
	pee.used.Store(pee.mes.now())
	if ses := pee.live.Load(); ses != nil {
		return ses, nil
	}
	att := pee.wake() //nolint:contextcheck // the connection outlives the call
	select {
	case <-att.done:
		return att.ses, att.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// wake starts the managing task unless it runs, and returns the current attempt.
func (pee *peer) wake() *attempt {
	pee.mut.Lock()
	defer pee.mut.Unlock()
	if pee.managed {
		return pee.current
	}
	pee.current = newAttempt()
	if !pee.mes.spawn(pee.manage) {
		pee.current.settle(nil, errEnded)
		return pee.current
	}
	pee.managed = true
	return pee.current
}

// manage dials and watches the connection until it is not wanted any more.
func (pee *peer) manage(ctx context.Context) {
	pause := backoffMin
	for !pee.leave(ctx) {
		ses, err := pee.dial(ctx)
		pee.settle(ses, err)
		began := time.Now()
		if err == nil {
			ses.watch(ctx)
		}
		if err == nil && time.Since(began) >= stableAfter {
			pause = backoffMin
			continue
		}
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, backoffMax)
		pee.renew()
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	tim := time.NewTimer(pause)
	defer tim.Stop()
	select {
	case <-tim.C:
	case <-ctx.Done():
	}
}

// settle publishes the result of a dial.
func (pee *peer) settle(ses *session, err error) {
	pee.live.Store(ses)
	if err != nil {
		pee.show(false)
	}
	pee.mut.Lock()
	defer pee.mut.Unlock()
	pee.current.settle(ses, err)
}

// redial makes callers wait for the next dial.
func (pee *peer) redial() {
	pee.live.Store(nil)
	pee.renew()
}

func (pee *peer) renew() {
	pee.mut.Lock()
	defer pee.mut.Unlock()
	if pee.current.settled() {
		pee.current = newAttempt()
	}
}

// leave ends the managing task when the connection is not wanted or the node ends. The decision and the end are one
// step under the mutex, so that a caller either is seen as use or starts the next task.
func (pee *peer) leave(ctx context.Context) bool {
	pee.mut.Lock()
	defer pee.mut.Unlock()
	if ctx.Err() == nil && !pee.unwanted() {
		return false
	}
	if !pee.current.settled() {
		pee.current.settle(nil, errEnded)
	}
	pee.managed = false
	pee.state.Store(nil)
	return true
}

func (pee *peer) unwanted() bool {
	if pee.retired.Load() {
		return true
	}
	return !pee.keep.Load() && pee.mes.now()-pee.used.Load() > int64(pee.mes.set.IdleTimeout)
}

// dial opens a connection and returns it after Hello and the first probe have been answered.
func (pee *peer) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if pee.mes.set.Client == nil && !pee.mes.set.Insecure && !loopback(pee.addr) {
		return nil, &InsecureError{address: pee.addr}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", pee.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	ses, err := pee.secure(ctx, raw)
	if !stop() && err == nil {
		ses.close()
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	pee.mes.set.OnEvent(EventOpened)
	return ses, nil
}

func (pee *peer) secure(ctx context.Context, raw net.Conn) (*session, error) {
	conn := raw
	if pee.mes.set.Client != nil {
		tco := tls.Client(raw, clientConfig(pee.mes.set.Client))
		if err := tco.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = tco
	}
	mux, err := yamux.Client(&joinConn{Conn: conn}, muxConfig())
	if err != nil {
		return nil, err
	}
	ses := newSession(pee, mux, raw)
	err = pee.greet(ses, conn)
	if err == nil {
		err = ses.openLane()
	}
	if err != nil {
		ses.close()
		ses.release()
		return nil, err
	}
	return ses, nil
}

// greet exchanges Hello and the first probe, which gives the clock offset before the first call.
func (pee *peer) greet(ses *session, conn net.Conn) error {
	str, err := ses.mux.OpenStream()
	if err != nil {
		return err
	}
	ses.open(str)
	hello := &wire.Hello{Host: pee.mes.set.Host, Incarnation: pee.mes.set.Incarnation}
	if err := ses.wri.Append(hello); err != nil {
		return err
	}
	if err := ses.wri.Write(ses.probe()); err != nil {
		return err
	}
	msg, err := ses.rea.Read()
	if err != nil {
		return err
	}
	hel, ok := msg.(*wire.Hello)
	if !ok {
		return fmt.Errorf("peer at %s answered Hello with %T; run the same version on both nodes", pee.addr, msg)
	}
	if hel.GetHost() != pee.host {
		return &IdentityError{host: pee.host, names: []string{hel.GetHost()}}
	}
	if err := checkIdentity(conn, hel.GetHost()); err != nil {
		return err
	}
	return ses.readAck()
}
