package fleet_test

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthline/stand/fleet"
)

// proxy forwards the peer connections of one host and can cut, stall or delay them.
type proxy struct {
	lis    net.Listener
	target string
	delay  atomic.Int64 // before each write, in nanoseconds

	mut   sync.Mutex
	conns []*proxiedConn
	tasks sync.WaitGroup
}

// proxiedConn is one connection; once silent, it drops all data in both directions permanently.
type proxiedConn struct {
	client, target net.Conn
	silent         atomic.Bool
}

func newProxy(t testing.TB, target string) *proxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pro := &proxy{lis: lis, target: target}
	pro.tasks.Go(pro.accept)
	t.Cleanup(func() {
		_ = lis.Close()
		pro.forEach((*proxiedConn).close)
		pro.tasks.Wait()
	})
	return pro
}

func (pro *proxy) accept() {
	for {
		client, err := pro.lis.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", pro.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		con := &proxiedConn{client: client, target: target}
		pro.mut.Lock()
		pro.conns = append(pro.conns, con)
		pro.mut.Unlock()
		pro.tasks.Go(func() { pro.copy(con, client, target) })
		pro.tasks.Go(func() { pro.copy(con, target, client) })
	}
}

func (pro *proxy) copy(con *proxiedConn, dst, src net.Conn) {
	defer con.close()
	buf := make([]byte, 64<<10)
	for {
		got, err := src.Read(buf)
		if err != nil {
			return
		}
		if con.silent.Load() {
			continue
		}
		time.Sleep(time.Duration(pro.delay.Load()))
		if _, err := dst.Write(buf[:got]); err != nil {
			return
		}
	}
}

func (con *proxiedConn) close() {
	_ = con.client.Close()
	_ = con.target.Close()
}

func (con *proxiedConn) stall() { con.silent.Store(true) }

// forEach applies a function to all connections accepted so far; later connections are not affected.
func (pro *proxy) forEach(apply func(*proxiedConn)) {
	pro.mut.Lock()
	defer pro.mut.Unlock()
	for _, con := range pro.conns {
		apply(con)
	}
}

// addProxies puts a proxy in front of the peer port of every host of a plan, and returns the proxies by host ID.
func addProxies(t testing.TB, pla *fleet.Plan) map[string]*proxy {
	out := map[string]*proxy{}
	pla.Advertise = func(host, peer string) (string, error) {
		out[host] = newProxy(t, peer)
		return out[host].lis.Addr().String(), nil
	}
	return out
}

// Guards against callers that wait on a peer connection that has gone silent: it must be detected and replaced within a
// second, and its calls must be answered with an error that has a reason. A cut connection may cause only the calls on it
// to fail, and a delayed one none.
func TestConnections(t *testing.T) {
	pla := plan()
	proxies := addProxies(t, &pla)
	fix := startFleet(t, pla)
	defer fix.checkNoRefusal(t)
	stampa := fix.hostsOf("stampa")
	lod := fix.startLoad(4*time.Millisecond, readsAndPrints("stampa", fix.hostsOf("ordini")))
	lod.awaitAndCheck(time.Now(), 100, (*exchange).ok)
	delay := func(dur time.Duration) func(*proxy) {
		return func(pro *proxy) { pro.delay.Store(int64(dur)) }
	}
	cut := func(pro *proxy) { pro.forEach((*proxiedConn).close) }
	stall := func(pro *proxy) { pro.forEach((*proxiedConn).stall) }
	for _, tst := range []struct {
		name          string
		hosts         []*fleet.Host
		fault         func(*proxy)
		recoveryBound time.Duration
	}{
		{"cut", stampa[:1], cut, 0},
		{"stall", stampa[1:2], stall, silenceDetectionTime},
		{"delay", stampa[2:], delay(20 * time.Millisecond), 0},
		// An idle silent connection is detected after its next use, so two may be detected one after the other.
		{"stall of two, one of them delayed", stampa[1:], stall, 2 * silenceDetectionTime},
		{"stall and cut of two", stampa[:2], func(pro *proxy) {
			if pro == proxies[stampa[0].ID()] {
				stall(pro)
				return
			}
			cut(pro)
		}, 2 * silenceDetectionTime},
	} {
		start := time.Now()
		for _, hos := range tst.hosts {
			tst.fault(proxies[hos.ID()])
		}
		lod.awaitAndCheck(start.Add(tst.recoveryBound), 100, func(exc *exchange) bool { return exc.ok() || tst.recoveryBound == 0 && exc.answeredOrTypedError() })
		t.Logf("%s: %s", tst.name, countOutcomes(lod.sentSince(start)))
		fix.checkAll(lod.sentSince(start), answeredInTime)
		for _, hos := range tst.hosts {
			before := fix.stats(hos).total()
			fix.await(takeoverTime, fmt.Sprintf("calls to %s after %s", hos.ID(), tst.name), func() bool { return fix.stats(hos).total() > before })
		}
	}
	fix.checkRunsOnce(lod.stop())
}
