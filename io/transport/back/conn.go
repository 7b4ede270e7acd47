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
	readBufferBytes = 4 << 10
	// trustTime is how long non-idempotent calls avoid connections that rested as long as one that was found dead.
	staleMemory = 10 * time.Second
	// leastTrust keeps the connections of a busy upstream in use: those rest shorter.
	minReuseLimit = 20 * time.Millisecond
	// keepAliveShare is the part of the idle time announced by the upstream during which a connection is used again.
	keepAliveFraction = 0.8
)

// errHeadTooLong says that the head of an answer is longer than maxHeaderBytes.
var errHeadTooLong = errors.New("the head of the answer is longer than 32 KiB; shorten the headers of the upstream")

// pool keeps connections to one upstream. net/http's client hands each request to two other goroutines and may send a
// request again by itself; here the caller's goroutine writes and reads, and nothing is sent twice.
type pool struct {
	addr        string
	dialer      net.Dialer
	idleTimeout time.Duration
	inUse       chan struct{} // one for each connection in use
	mut         sync.Mutex
	idle        []*conn // the one that was used last is at the end

	reuseLimit      time.Duration // longest rest of a connection for non-idempotent calls, or 0 for the idle time
	reuseLimitUntil time.Time
}

func newPool(addr string, set Settings) *pool {
	return &pool{
		addr: addr, dialer: net.Dialer{Timeout: set.DialTimeout}, idleTimeout: set.IdleTimeout,
		inUse: make(chan struct{}, max(set.Connections, 1)),
	}
}

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	pool          *pool
	rawConn       syscall.RawConn
	reader        *bufio.Reader
	idleSince     time.Time     // since then
	idleLimit     time.Duration // longest rest
	reused        bool
	headBytesLeft int // bytes of the head that may still be read, or -1 in the body
	probeBuf      [1]byte
}

// Read bounds the head of an answer.
func (con *conn) Read(data []byte) (int, error) {
	if con.headBytesLeft < 0 {
		return con.Conn.Read(data)
	}
	if con.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	got, err := con.Conn.Read(data[:min(len(data), con.headBytesLeft)])
	con.headBytesLeft -= got
	return got, err
}

// get returns a connection that is free, or opens one. It waits while all are in use.
func (pol *pool) get(ctx context.Context, idempotent bool) (*conn, error) {
	select {
	case pol.inUse <- struct{}{}:
	default:
		select {
		case pol.inUse <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if con := pol.takeIdle(idempotent); con != nil {
		return con, nil
	}
	raw, err := pol.dialer.DialContext(ctx, "tcp", pol.addr)
	if err != nil {
		<-pol.inUse
		return nil, err
	}
	con := &conn{Conn: raw, pool: pol, idleLimit: pol.idleTimeout}
	con.reader = bufio.NewReaderSize(con, readBufferBytes)
	if sys, ok := raw.(syscall.Conn); ok {
		con.rawConn, _ = sys.SyscallConn() // without it, rest cannot see that the upstream has closed the connection
	}
	return con, nil
}

// rest takes the connection that rested shortest, and closes those that cannot be used any more.
func (pol *pool) takeIdle(idempotent bool) *conn {
	now := time.Now()
	for {
		pol.mut.Lock()
		count := len(pol.idle)
		if count == 0 {
			pol.mut.Unlock()
			return nil
		}
		con := pol.idle[count-1]
		pol.idle[count-1] = nil
		pol.idle = pol.idle[:count-1]
		idleLimit := con.idleLimit
		if !idempotent && now.Before(pol.reuseLimitUntil) {
			idleLimit = min(idleLimit, pol.reuseLimit)
		}
		pol.mut.Unlock()
		if now.Sub(con.idleSince) < idleLimit && con.openAndSilent() {
			con.reused = true
			return con
		}
		_ = con.Close()
	}
}

// quiet says whether a resting connection is open and has nothing to read, such as a second answer.
func (con *conn) openAndSilent() bool {
	if con.rawConn == nil {
		return true
	}
	var err error
	if con.rawConn.Read(func(fd uintptr) bool {
		_, err = syscall.Read(int(fd), con.probeBuf[:])
		return true
	}) != nil {
		return false
	}
	return errors.Is(err, syscall.EAGAIN)
}

// put gives a connection back whose answer has been read to its end.
func (con *conn) put(keepAlive string) {
	defer func() { <-con.pool.inUse }()
	if con.reader.Buffered() > 0 || con.SetDeadline(time.Time{}) != nil {
		_ = con.Close() // bytes after the answer belong to no request
		return
	}
	if idleLimit := keepAliveTimeout(keepAlive); idleLimit > 0 {
		con.idleLimit = min(con.pool.idleTimeout, idleLimit)
	}
	con.idleSince = time.Now()
	con.pool.mut.Lock()
	defer con.pool.mut.Unlock()
	con.pool.idle = append(con.pool.idle, con)
	// Those that have rested longest are at the start; without this they would stay while fewer are needed.
	for len(con.pool.idle) > 1 && con.idleSince.Sub(con.pool.idle[0].idleSince) > con.pool.idle[0].idleLimit {
		_ = con.pool.idle[0].Close()
		con.pool.idle = append(con.pool.idle[:0], con.pool.idle[1:]...)
	}
}

// drop closes a connection that cannot be used again.
func (con *conn) discard() {
	_ = con.Close()
	<-con.pool.inUse
}

// dead records that a connection that had rested was lost with the next request: the upstream forgets connections
// sooner than it says, and a non-idempotent request that is lost so cannot be sent again.
func (con *conn) recordStale() {
	if !con.reused {
		return
	}
	now := time.Now()
	con.pool.mut.Lock()
	defer con.pool.mut.Unlock()
	reuseLimit := max(now.Sub(con.idleSince)/2, minReuseLimit)
	if now.Before(con.pool.reuseLimitUntil) {
		reuseLimit = min(reuseLimit, con.pool.reuseLimit)
	}
	con.pool.reuseLimit, con.pool.reuseLimitUntil = reuseLimit, now.Add(staleMemory)
}

// close closes the connections that rest.
func (pol *pool) closeIdle() {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, con := range pol.idle {
		_ = con.Close()
	}
	pol.idle = nil
}

// announced reads the idle time that an upstream states.
func keepAliveTimeout(keepAlive string) time.Duration {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if sec, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && sec > 0 {
			return time.Duration(keepAliveFraction * float64(sec) * float64(time.Second))
		}
	}
	return 0
}

// answer reads the next answer; interim ones are passed over.
func (con *conn) readResponse(req *http.Request) (*http.Response, error) {
	for {
		con.headBytesLeft = maxHeaderBytes
		rsp, err := http.ReadResponse(con.reader, req)
		con.headBytesLeft = -1
		if err != nil {
			return nil, err
		}
		if rsp.StatusCode >= http.StatusOK || rsp.StatusCode == http.StatusSwitchingProtocols {
			return rsp, nil
		}
	}
}

// head returns the head of a request; length is -1 for a body in chunks, and 0 for none.
func requestHead(method, target, host string, hdr http.Header, length int64) []byte {
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
	case length > 0 || !usuallyWithoutBody(method):
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, length, 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// sendable says whether a text can stand in a request's head without ending its line.
func validHeaderText(text string) bool { return !strings.ContainsAny(text, "\r\n\x00") }

// sendableTarget says whether a request line can hold a path and query.
func validRequestTarget(target string) bool {
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
type chunkedWriter struct{ dst io.Writer }

// Write writes one chunk.
func (chw chunkedWriter) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	buf := make([]byte, 0, len(data)+16)
	buf = strconv.AppendInt(buf, int64(len(data)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, data...)
	buf = append(buf, "\r\n"...)
	if _, err := chw.dst.Write(buf); err != nil {
		return 0, err
	}
	return len(data), nil
}
