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

	"amaranthline/core"
	"amaranthline/io/protocol/status"
)

const (
	readBufferBytes = 4 << 10
	// reuseLimitDuration is how long a lost reused connection restricts the pool: for that time non-idempotent calls
	// reuse only connections that were idle for less than half as long as that one.
	reuseLimitDuration = 10 * time.Second
	// minReuseLimit keeps the connections of a busy upstream reusable, since they are idle for less than this.
	minReuseLimit = 20 * time.Millisecond
	// keepAliveFraction is the fraction of the idle timeout announced by the upstream during which a connection is
	// reused.
	keepAliveFraction = 0.8
	// maxKeepAliveSeconds is the longest announced timeout that is told from longer ones.
	maxKeepAliveSeconds = 24 * 60 * 60
)

// errHeadTooLong reports that the head of an answer is longer than maxHeaderBytes.
var errHeadTooLong = errors.New("the head of the upstream's answer, with interim answers before it, is longer than 32 KiB; shorten the headers that the upstream sends")

// errInterimContent reports an interim answer that announces content. It is not known where the next answer begins.
var errInterimContent = errors.New("an interim answer of the upstream announces content, which it cannot have")

// pool keeps connections to one upstream. It replaces net/http's client, which hands each request to two other
// goroutines and may send a request again by itself. Here the goroutine of the call writes and reads, except for long
// bodies, and no request is sent twice.
type pool struct {
	addr        string
	dialer      net.Dialer
	idleTimeout time.Duration
	onConnLost  func()        // called for an idle connection that the upstream has closed
	inUse       chan struct{} // semaphore with one element for each connection in use
	mut         sync.Mutex
	idle        []*conn // ordered by the time of last use, latest last

	reuseLimit      time.Duration // longest idle time of connections for non-idempotent calls, until reuseLimitUntil
	reuseLimitUntil time.Time
}

func newPool(addr string, set Settings) *pool {
	return &pool{
		addr: addr, dialer: net.Dialer{Timeout: set.DialTimeout}, idleTimeout: set.IdleTimeout, onConnLost: set.OnConnLost,
		inUse: make(chan struct{}, max(set.MaxConnections, 1)),
	}
}

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	pool          *pool
	rawConn       syscall.RawConn
	reader        *bufio.Reader
	idleSince     time.Time
	idleLimit     time.Duration // longest idle time after which the connection is reused
	reused        bool
	headBytesLeft int         // bytes of an answer's head that may still be read, or -1 while a body is read
	head          status.Head // checks the head that is being read
	probeBuf      [1]byte
}

// Read limits the head of an answer to maxHeaderBytes and checks the names of its fields.
func (con *conn) Read(data []byte) (int, error) {
	if con.headBytesLeft < 0 {
		return con.Conn.Read(data)
	}
	if con.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	got, err := con.Conn.Read(data[:min(len(data), con.headBytesLeft)])
	con.headBytesLeft -= got
	if checkErr := con.head.Check(data[:got]); checkErr != nil {
		return 0, checkErr
	}
	return got, err
}

// get returns an idle connection or opens one. It waits while the maximum of connections is in use.
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
	return pol.dial(ctx)
}

// open opens a connection. It waits while the maximum of connections is in use.
func (pol *pool) open(ctx context.Context) (*conn, error) {
	select {
	case pol.inUse <- struct{}{}:
		return pol.dial(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a connection that inUse counts already.
func (pol *pool) dial(ctx context.Context) (*conn, error) {
	raw, err := pol.dialer.DialContext(ctx, "tcp", pol.addr)
	if err != nil {
		<-pol.inUse
		return nil, err
	}
	con := &conn{Conn: raw, pool: pol, idleLimit: pol.idleTimeout}
	con.reader = bufio.NewReaderSize(con, readBufferBytes)
	if sys, ok := raw.(syscall.Conn); ok {
		con.rawConn, _ = sys.SyscallConn() // without it, takeIdle cannot see that the upstream has closed the connection
	}
	return con, nil
}

// takeIdle takes the connection that was used last, and closes those that cannot be reused. It returns nil when none is
// left.
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
		open := con.openAndSilent()
		if open && now.Sub(con.idleSince) < idleLimit {
			con.reused = true
			return con
		}
		_ = con.Close()
		if !open {
			pol.onConnLost()
		}
	}
}

// openAndSilent reports whether an idle connection is open and has no unread bytes, such as a second answer.
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

// put returns a connection to its pool after the last answer on it has been read completely; keepAlive is the
// Keep-Alive header of that answer.
func (con *conn) put(keepAlive string) {
	defer func() { <-con.pool.inUse }()
	if con.reader.Buffered() > 0 || con.SetDeadline(time.Time{}) != nil {
		_ = con.Close() // bytes after the answer belong to no request
		return
	}
	if idleLimit, stated := keepAliveTimeout(keepAlive); stated {
		con.idleLimit = min(con.pool.idleTimeout, idleLimit)
	}
	if con.idleLimit <= 0 {
		_ = con.Close()
		return
	}
	con.idleSince = time.Now()
	con.pool.mut.Lock()
	defer con.pool.mut.Unlock()
	con.pool.idle = append(con.pool.idle, con)
	// Connections idle longest come first. Without this loop they would stay open while fewer are needed, because
	// takeIdle takes the last one.
	for len(con.pool.idle) > 1 && con.idleSince.Sub(con.pool.idle[0].idleSince) > con.pool.idle[0].idleLimit {
		_ = con.pool.idle[0].Close()
		con.pool.idle = append(con.pool.idle[:0], con.pool.idle[1:]...)
	}
}

// discard closes a connection that cannot be reused, so that the pool may open another one.
func (con *conn) discard() {
	_ = con.Close()
	<-con.pool.inUse
}

// recordLostOnReuse records that a reused connection was lost with its next request: the upstream drops idle connections
// sooner than the pool expects. A non-idempotent request that is lost this way cannot be retried.
func (con *conn) recordLostOnReuse() {
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
	con.pool.reuseLimit, con.pool.reuseLimitUntil = reuseLimit, now.Add(reuseLimitDuration)
}

// closeIdle closes the idle connections.
func (pol *pool) closeIdle() {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, con := range pol.idle {
		_ = con.Close()
	}
	pol.idle = nil
}

// keepAliveTimeout returns for how long a connection may be idle according to the upstream's Keep-Alive header, and whether the
// header states a timeout. One that cannot be read is 0: after a guess, a call could be sent on a closed connection.
func keepAliveTimeout(keepAlive string) (time.Duration, bool) {
	shortest, stated := float64(maxKeepAliveSeconds), false
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(part, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		stated = true
		sec, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(sec > 0) { // also not a number
			return 0, true
		}
		shortest = min(shortest, sec)
	}
	return time.Duration(keepAliveFraction * shortest * float64(time.Second)), stated
}

// readResponse reads the next answer and skips interim (1xx) ones, whose heads count towards maxHeaderBytes and whose number
// is bounded: an upstream may send them without end. Anything else than an answer with a valid status and valid names of
// fields is an error, after which the connection must not be read any more.
func (con *conn) readResponse(req *http.Request) (*http.Response, error) {
	con.headBytesLeft = maxHeaderBytes
	defer func() { con.headBytesLeft = -1 }()
	for interim := 0; ; interim++ {
		if err := con.beginHead(); err != nil {
			return nil, err
		}
		if err := con.checkStatusLine(); err != nil {
			return nil, err
		}
		rsp, err := http.ReadResponse(con.reader, req)
		switch {
		case err != nil:
			return nil, err
		case core.ValidStatus(rsp.StatusCode):
			return rsp, nil
		case status.HasContent(rsp):
			return nil, errInterimContent
		case interim == status.MaxInterim:
			return nil, &status.TooManyInterimError{}
		}
	}
}

// beginHead begins to check the next head with the bytes of it that were read together with what precedes it.
func (con *conn) beginHead() error {
	con.head = status.Head{}
	start, _ := con.reader.Peek(con.reader.Buffered()) // cannot fail, because these bytes are buffered
	return con.head.Check(start)
}

// checkStatusLine judges the start of the next answer as its bytes arrive: http.ReadResponse reads whole lines, and accepts
// statuses and versions that are none.
func (con *conn) checkStatusLine() error {
	for want := 1; ; want++ {
		if _, err := con.reader.Peek(want); err != nil {
			return err
		}
		want = min(con.reader.Buffered(), status.LineBytes)
		start, _ := con.reader.Peek(want) // cannot fail, because these bytes are buffered
		if err := status.CheckLine(start); err != nil || want == status.LineBytes {
			return err
		}
	}
}

// readMatching reads answers until one matches, and skips up to maxMismatchedAnswers others. Then, or if no further answer
// can follow, it returns the last one although it does not match.
func (con *conn) readMatching(req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		rsp, err := con.readResponse(req)
		if err != nil || matches(rsp) || skipped == maxMismatchedAnswers || !connReusable(rsp) {
			return rsp, err
		}
		if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
			return nil, err
		}
	}
}

// connReusable reports whether another answer can follow on the connection: the upstream keeps it open, and the end of
// this answer is marked and in no doubt.
func connReusable(rsp *http.Response) bool {
	if rsp.StatusCode == http.StatusNoContent && status.HasContent(rsp) {
		return false
	}
	return !rsp.Close && (rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0)
}

// endsWithConnection reports whether the body of an answer lasts until the upstream ends the connection.
func endsWithConnection(rsp *http.Response) bool {
	return rsp.Body != http.NoBody && rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0
}

// requestHead returns the head of a request; length is that of the body in bytes, -1 for a chunked body.
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

// validHeaderText reports whether a text can be part of a header line without ending it.
func validHeaderText(text string) bool { return !strings.ContainsAny(text, "\r\n\x00") }

// validRequestTarget reports whether a path and query can be the target of a request line.
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

// chunkedWriter writes a body in the chunked transfer encoding.
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
