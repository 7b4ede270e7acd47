package mesh_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards TCP connections to a target and can cut, stall or delay them.
type proxy struct {
	lis    net.Listener
	target string
	delay  time.Duration // before each write

	mut   sync.Mutex
	conns []*proxiedConn
	tasks sync.WaitGroup
}

// proxiedConn is one forwarded connection. Once silent is closed, neither direction forwards any more data.
type proxiedConn struct {
	client, target net.Conn
	silent         chan struct{}
	done           chan struct{}
	once           sync.Once
}

func newProxy(t testing.TB, target string, delay time.Duration) *proxy {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pro := &proxy{lis: lis, target: target, delay: delay}
	pro.tasks.Go(pro.accept)
	t.Cleanup(func() {
		_ = lis.Close()
		pro.cut()
		pro.tasks.Wait()
	})
	return pro
}

func (pro *proxy) addr() string { return pro.lis.Addr().String() }

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
		con := &proxiedConn{client: client, target: target, silent: make(chan struct{}), done: make(chan struct{})}
		pro.mut.Lock()
		pro.conns = append(pro.conns, con)
		pro.mut.Unlock()
		pro.tasks.Go(func() { con.forward(client, target, pro.delay) })
		pro.tasks.Go(func() { con.forward(target, client, pro.delay) })
	}
}

func (con *proxiedConn) forward(dst, src net.Conn, delay time.Duration) {
	defer con.close()
	buf := make([]byte, 64<<10)
	for {
		got, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-con.silent:
			<-con.done
			return
		default:
		}
		time.Sleep(delay)
		if _, err := dst.Write(buf[:got]); err != nil {
			return
		}
	}
}

func (con *proxiedConn) close() {
	con.once.Do(func() {
		close(con.done)
		_ = con.client.Close()
		_ = con.target.Close()
	})
}

// takeConns returns the open connections and removes them from the proxy's list.
func (pro *proxy) takeConns() []*proxiedConn {
	pro.mut.Lock()
	defer pro.mut.Unlock()
	conns := pro.conns
	pro.conns = nil
	return conns
}

// cut closes all connections.
func (pro *proxy) cut() {
	for _, con := range pro.takeConns() {
		con.close()
	}
}

// stall stops forwarding on the open connections; data on new connections is forwarded.
func (pro *proxy) stall(t testing.TB) {
	for _, con := range pro.takeConns() {
		close(con.silent)
		t.Cleanup(con.close)
	}
}
