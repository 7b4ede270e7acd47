package back

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readBuffer = 4 << 10
	// trustTime is how long non-idempotent calls avoid connections that rested as long as one that was found dead.
	trustTime = 10 * time.Second
	// leastTrust keeps the connections of a busy upstream in use: those rest shorter.
	leastTrust = 20 * time.Millisecond
	// keepAliveShare is the part of the idle time announced by the upstream during which a connection is used again.
	keepAliveShare = 0.8
)

// errHeadTooLong says that the head of an answer is longer than maxHeaderBytes.
var errHeadTooLong = errors.New("the head of the answer is longer than 32 KiB; shorten the headers of the upstream")

// pool keeps connections to one upstream. net/http's client hands each request to two other goroutines and may send a
// request again by itself; here the caller's goroutine writes and reads, and nothing is sent twice.
type pool struct {
	addr  string
	dial  net.Dialer
	idle  time.Duration
	room  chan struct{} // one for each connection in use
	mut   sync.Mutex
	rests []*conn // the one that was used last is at the end

	trust   time.Duration // longest rest of a connection for non-idempotent calls, or 0 for the idle time
	trustBy time.Time
}

func newPool(addr string, set Settings) *pool {
	return &pool{
		addr: addr, dial: net.Dialer{Timeout: set.DialTimeout}, idle: set.IdleTimeout,
		room: make(chan struct{}, max(set.Connections, 1)),
	}
}

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	pool   *pool
	raw    syscall.RawConn
	rea    *bufio.Reader
	rested time.Time     // since then
	limit  time.Duration // longest rest
	reused bool
	left   int // bytes of the head that may still be read, or -1 in the body
	buf    [1]byte
}

// Read bounds the head of an answer.
func (con *conn) Read(data []byte) (int, error) {
	if con.left < 0 {
		return con.Conn.Read(data)
	}
	if con.left == 0 {
		return 0, errHeadTooLong
	}
	got, err := con.Conn.Read(data[:min(len(data), con.left)])
	con.left -= got
	return got, err
}

// get returns a connection that is free, or opens one. It waits while all are in use.
func (poo *pool) get(ctx context.Context, repeatable bool) (*conn, error) {
	select {
	case poo.room <- struct{}{}:
	default:
		select {
		case poo.room <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if con := poo.rest(repeatable); con != nil {
		return con, nil
	}
	raw, err := poo.dial.DialContext(ctx, "tcp", poo.addr)
	if err != nil {
		<-poo.room
		return nil, err
	}
	con := &conn{Conn: raw, pool: poo, limit: poo.idle}
	con.rea = bufio.NewReaderSize(con, readBuffer)
	if sys, ok := raw.(syscall.Conn); ok {
		con.raw, _ = sys.SyscallConn() // without it, rest cannot see that the upstream has closed the connection
	}
	return con, nil
}

// rest takes the connection that rested shortest, and closes those that cannot be used any more.
func (poo *pool) rest(repeatable bool) *conn {
	now := time.Now()
	for {
		poo.mut.Lock()
		count := len(poo.rests)
		if count == 0 {
			poo.mut.Unlock()
			return nil
		}
		con := poo.rests[count-1]
		poo.rests[count-1] = nil
		poo.rests = poo.rests[:count-1]
		limit := con.limit
		if !repeatable && now.Before(poo.trustBy) {
			limit = min(limit, poo.trust)
		}
		poo.mut.Unlock()
		if now.Sub(con.rested) < limit && con.quiet() {
			con.reused = true
			return con
		}
		_ = con.Close()
	}
}

// quiet says whether a resting connection is open and has nothing to read, such as a second answer.
func (con *conn) quiet() bool {
	if con.raw == nil {
		return true
	}
	var err error
	if con.raw.Read(func(fd uintptr) bool {
		_, err = syscall.Read(int(fd), con.buf[:])
		return true
	}) != nil {
		return false
	}
	return errors.Is(err, syscall.EAGAIN)
}

// put gives a connection back whose answer has been read to its end.
func (con *conn) put(keepAlive string) {
	defer func() { <-con.pool.room }()
	if con.rea.Buffered() > 0 || con.SetDeadline(time.Time{}) != nil {
		_ = con.Close() // bytes after the answer belong to no request
		return
	}
	if limit := announced(keepAlive); limit > 0 {
		con.limit = min(con.pool.idle, limit)
	}
	con.rested = time.Now()
	con.pool.mut.Lock()
	defer con.pool.mut.Unlock()
	con.pool.rests = append(con.pool.rests, con)
	// Those that have rested longest are at the start; without this they would stay while fewer are needed.
	for len(con.pool.rests) > 1 && con.rested.Sub(con.pool.rests[0].rested) > con.pool.rests[0].limit {
		_ = con.pool.rests[0].Close()
		con.pool.rests = append(con.pool.rests[:0], con.pool.rests[1:]...)
	}
}

// drop closes a connection that cannot be used again.
func (con *conn) drop() {
	_ = con.Close()
	<-con.pool.room
}

// dead records that a connection that had rested was lost with the next request: the upstream forgets connections
// sooner than it says, and a non-idempotent request that is lost so cannot be sent again.
func (con *conn) dead() {
	if !con.reused {
		return
	}
	now := time.Now()
	con.pool.mut.Lock()
	defer con.pool.mut.Unlock()
	trust := max(now.Sub(con.rested)/2, leastTrust)
	if now.Before(con.pool.trustBy) {
		trust = min(trust, con.pool.trust)
	}
	con.pool.trust, con.pool.trustBy = trust, now.Add(trustTime)
}

// close closes the connections that rest.
func (poo *pool) close() {
	poo.mut.Lock()
	defer poo.mut.Unlock()
	for _, con := range poo.rests {
		_ = con.Close()
	}
	poo.rests = nil
}

// announced reads the idle time that an upstream states.
func announced(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if sec, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && sec > 0 {
			return time.Duration(keepAliveShare * float64(sec) * float64(time.Second))
		}
	}
	return 0
}

// answer reads the next answer; interim ones are passed over.
func (con *conn) answer(req *http.Request) (*http.Response, error) {
	for {
		con.left = maxHeaderBytes
		rsp, err := http.ReadResponse(con.rea, req)
		con.left = -1
		if err != nil {
			return nil, err
		}
		if rsp.StatusCode >= http.StatusOK || rsp.StatusCode == http.StatusSwitchingProtocols {
			return rsp, nil
		}
	}
}

// head returns the head of a request; length is -1 for a body in chunks, and 0 for none.
func head(method, target, host string, hdr http.Header, length int64) []byte {
	buf := make([]byte, 0, 512)
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, host...)
	buf = append(buf, "\r\n"...)
	for name, values := range hdr {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, val := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, val...)
			buf = append(buf, "\r\n"...)
		}
	}
	switch {
	case length < 0:
		buf = append(buf, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || !usuallyEmpty(method):
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, length, 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// sendable says whether a text can stand in a request's head without ending its line.
func sendable(text string) bool { return !strings.ContainsAny(text, "\r\n\x00") }

// sendableTarget says whether a request line can hold a path and query.
func sendableTarget(target string) bool {
	if !strings.HasPrefix(target, "/") {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}

// chunks writes a body in chunks.
type chunks struct{ dst io.Writer }

// Write writes one chunk.
func (chu chunks) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	buf := make([]byte, 0, len(data)+16)
	buf = strconv.AppendInt(buf, int64(len(data)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, data...)
	buf = append(buf, "\r\n"...)
	if _, err := chu.dst.Write(buf); err != nil {
		return 0, err
	}
	return len(data), nil
}
