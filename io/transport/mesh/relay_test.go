package mesh_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relay forwards TCP connections to a target and can cut, stall or delay them.
type relay struct {
	lis    net.Listener
	target string
	delay  time.Duration // before each write

	mut   sync.Mutex
	conns []*relayedConn
	tasks sync.WaitGroup
}

// relayedConn is one forwarded connection. Once silent is closed, neither direction forwards any more data.
type relayedConn struct {
	client, target net.Conn
	silent         chan struct{}
	done           chan struct{}
	once           sync.Once
}

func newRelay(t testing.TB, target string, delay time.Duration) *relay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rel := &relay{lis: lis, target: target, delay: delay}
	rel.tasks.Go(rel.accept)
	t.Cleanup(func() {
		_ = lis.Close()
		rel.cut()
		rel.tasks.Wait()
	})
	return rel
}

func (rel *relay) addr() string { return rel.lis.Addr().String() }

func (rel *relay) accept() {
	for {
		client, err := rel.lis.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", rel.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		con := &relayedConn{client: client, target: target, silent: make(chan struct{}), done: make(chan struct{})}
		rel.mut.Lock()
		rel.conns = append(rel.conns, con)
		rel.mut.Unlock()
		rel.tasks.Go(func() { con.forward(client, target, rel.delay) })
		rel.tasks.Go(func() { con.forward(target, client, rel.delay) })
	}
}

func (con *relayedConn) forward(dst, src net.Conn, delay time.Duration) {
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

func (con *relayedConn) close() {
	con.once.Do(func() {
		close(con.done)
		_ = con.client.Close()
		_ = con.target.Close()
	})
}

// takeConns returns the open connections and forgets them.
func (rel *relay) takeConns() []*relayedConn {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	conns := rel.conns
	rel.conns = nil
	return conns
}

// cut closes all connections.
func (rel *relay) cut() {
	for _, con := range rel.takeConns() {
		con.close()
	}
}

// stall makes the open connections silent; new connections work.
func (rel *relay) stall(t testing.TB) {
	for _, con := range rel.takeConns() {
		close(con.silent)
		t.Cleanup(con.close)
	}
}
