package mesh_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards TCP connections to a target and can cut, stall or delay them.
type proxy struct {
	lis   net.Listener
	delay time.Duration // before each write

	mut    sync.Mutex // guards the fields below
	target string     // address
	conns  []*proxiedConn
	tasks  sync.WaitGroup
}

// proxiedConn is one forwarded connection. Once silent is closed, neither direction forwards any more data; once
// answersSilent is, the one to the client does not. Data that is held back is forwarded after deliver is closed.
type proxiedConn struct {
	client, target net.Conn
	silent         chan struct{}
	answersSilent  chan struct{}
	deliver        chan struct{}
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
		pro.mut.Lock()
		addr := pro.target
		pro.mut.Unlock()
		target, err := net.Dial("tcp", addr)
		if err != nil {
			_ = client.Close()
			continue
		}
		con := &proxiedConn{client: client, target: target, silent: make(chan struct{}), answersSilent: make(chan struct{}), deliver: make(chan struct{}), done: make(chan struct{})}
		pro.mut.Lock()
		pro.conns = append(pro.conns, con)
		pro.mut.Unlock()
		pro.tasks.Go(func() { con.forward(client, target, con.answersSilent, pro.delay) })
		pro.tasks.Go(func() { con.forward(target, client, nil, pro.delay) })
	}
}

func (con *proxiedConn) forward(dst, src net.Conn, silent chan struct{}, delay time.Duration) {
	defer con.close()
	buf := make([]byte, 64<<10)
	for {
		got, err := src.Read(buf)
		if err != nil {
			return
		}
		if isClosed(con.silent) || isClosed(silent) {
			select {
			case <-con.done:
				return
			case <-con.deliver:
			}
		}
		time.Sleep(delay)
		if _, err := dst.Write(buf[:got]); err != nil {
			return
		}
	}
}

// isClosed reports whether a channel is closed; a nil channel is not.
func isClosed(cha chan struct{}) bool {
	select {
	case <-cha:
		return true
	default:
		return false
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

// stall stops forwarding on the open connections; data on new connections is forwarded. It returns a function that
// forwards what was held back.
func (pro *proxy) stall(t testing.TB) func() {
	conns := pro.takeConns()
	for _, con := range conns {
		close(con.silent)
		t.Cleanup(con.close)
	}
	return func() {
		for _, con := range conns {
			close(con.deliver)
		}
	}
}

// stallAnswers is like stall for the data to the client alone.
func (pro *proxy) stallAnswers(t testing.TB) {
	for _, con := range pro.takeConns() {
		close(con.answersSilent)
		t.Cleanup(con.close)
	}
}

// retarget forwards new connections to another address.
func (pro *proxy) retarget(addr string) {
	pro.mut.Lock()
	defer pro.mut.Unlock()
	pro.target = addr
}

// refuse makes the target unreachable for new connections.
func (pro *proxy) refuse() { _ = pro.lis.Close() }
