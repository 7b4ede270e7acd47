package inlet

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is what net/http reads next from a connection.
type phase uint8

const (
	phaseHead     phase = iota // the head of the next request, once it is complete
	phaseHeadRest              // the rest of a complete head
	phaseBody                  // the rest of a body of known length
	phaseChunks                // the rest of a chunked body
	phaseServed                // nothing: the whole request was handed on and is not answered yet
	phaseUnframed              // all bytes as they come
)

const (
	minHeldBytes = 4 << 10 // smallest buffer for bytes that are held back
	// lingerTime is how long a connection is read on after it was closed with further requests unread. Closing it at once
	// would reset it, and the caller could lose answers that it has not read yet. net/http waits as long after a request
	// whose body is too long.
	lingerTime = 500 * time.Millisecond
	// leftInterval is the time between two looks whether a caller has left whose bytes are not read.
	leftInterval = 100 * time.Millisecond
)

// Conn is a connection that hands net/http one request at a time.
type Conn struct {
	net.Conn
	listener *Listener
	settings *Settings

	mut      sync.Mutex
	wake     sync.Cond // a deadline was set, or the connection was closed
	phase    phase
	left     int64 // bytes of the head or the body that are still to be handed on
	body     int64 // length of the body after the head that is being handed on; -1 if it is chunked
	scan     headScan
	chunks   chunkReader
	held     []byte // read from the socket and not handed on
	heldBuf  []byte // holds held
	readErr  error  // ended the reading of the socket
	deadline time.Time
	headBy   time.Time // when the head that has begun must be complete; zero if none has
	closed   bool
	reset    bool // ResetOnClose was called
	wait     wait // for a request, under Settings.Bounds
	further  bool // the caller has sent a request before the one before it was answered
	row      row

	guard
}

func newConn(raw net.Conn, lis *Listener) *Conn {
	con := &Conn{Conn: raw, listener: lis, settings: &lis.settings}
	con.row.ahead = lis.settings.Ahead
	con.wake.L = &con.mut
	con.waitingSince.Store(time.Now().UnixNano())
	con.startWait(true)
	return con
}

// SetState tells the connection its state at net/http: once it is idle, the next request is handed on.
func (con *Conn) SetState(state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.settings.Limits != nil && con.phase != phaseServed && con.phase != phaseHead {
		con.readErr = io.EOF // its requests can no longer be told apart, and so not be limited
	}
	switch con.phase {
	case phaseServed:
		con.phase, con.scan = phaseHead, headScan{}
		con.endTurn()
		con.startWait(false)
	case phaseHeadRest, phaseBody, phaseChunks:
		con.phase = phaseUnframed // net/http ended the request elsewhere
		con.discardBegun()
	case phaseHead, phaseUnframed:
	}
	con.endRequest()
}

// Read hands on bytes of the present request. It blocks after the last one until the request has been answered, and then
// until the head of the next one is complete; it returns an error as soon as the caller has left.
func (con *Conn) Read(buf []byte) (int, error) {
	con.mut.Lock()
	defer con.mut.Unlock()
	if len(buf) == 0 {
		return 0, nil
	}
	for {
		if con.refusal != nil {
			return 0, con.sendRefusal()
		}
		if con.readErr != nil && con.phase == phaseServed {
			con.freeHeld() // nobody is left to answer
		}
		if con.readErr != nil && len(con.held) == 0 {
			return 0, con.readErr
		}
		if got := con.handOnHeld(buf); got > 0 {
			return got, nil
		}
		if con.refusal != nil {
			continue
		}
		if con.readErr != nil {
			if con.settings.Limits != nil {
				con.freeHeld() // net/http would answer an incomplete head that nobody waits for
				continue
			}
			con.phase = phaseUnframed // net/http gets the incomplete head and then the error
			continue
		}
		got, err := con.fill(buf)
		if con.refusal == nil && (got > 0 || err != nil) {
			return got, err
		}
	}
}

// handOnHeld hands on held bytes.
func (con *Conn) handOnHeld(buf []byte) int {
	rest := con.skipEmptyLines(con.held)
	con.dropHeld(len(con.held) - len(rest))
	if con.held = rest; len(con.held) == 0 {
		con.freeHeld()
		return 0
	}
	count := con.advance(con.held, min(len(con.held), len(buf)))
	copy(buf, con.held[:count])
	con.dropHeld(count)
	if con.held = con.held[count:]; len(con.held) == 0 {
		con.freeHeld()
	}
	return count
}

// advance returns how many of the first limit bytes of data are handed on now, and moves to the phase after them.
func (con *Conn) advance(data []byte, limit int) int {
	count := 0
	for count < limit {
		rest := data[count:limit]
		switch con.phase {
		case phaseHead:
			if !con.beginHead(data) {
				return count
			}
			con.endWait()
		case phaseHeadRest, phaseBody:
			step := int(min(int64(len(rest)), con.left))
			count += step
			if con.left -= int64(step); con.left == 0 {
				con.endPart()
			}
		case phaseChunks:
			count += con.chunks.read(rest)
			switch con.chunks.state {
			case chunksDone:
				con.phase = phaseServed
			case chunksInvalid:
				con.phase = phaseUnframed
			default:
			}
		case phaseUnframed:
			return limit
		case phaseServed:
			return count
		}
	}
	return count
}

// beginHead moves on from phaseHead if the head at the start of data is complete or is left to net/http. Only there may a
// request begin, so count is 0 in advance.
func (con *Conn) beginHead(data []byte) bool {
	if data[0] == '\r' || data[0] == '\n' { // under limits they have been skipped
		con.phase = phaseUnframed // net/http skips empty lines after a POST and refuses others
		return true
	}
	length := con.scan.end(data)
	if length == 0 {
		if len(data) < con.maxHeadBytes() {
			return false
		}
		if con.settings.Limits != nil {
			con.refuseLongHead()
			return false
		}
		con.phase = phaseUnframed
		con.limitHead(false)
		return true
	}
	con.limitHead(false)
	if !con.admitHead(data[:length]) {
		return false
	}
	body, ok := con.scan.bodyLength(data[:length])
	if !ok {
		con.phase = phaseUnframed
		return true
	}
	con.phase, con.left, con.body = phaseHeadRest, int64(length), body
	con.takeHead(length)
	return true
}

// endPart moves to the phase after the end of a head or of a body of known length.
func (con *Conn) endPart() {
	switch {
	case con.phase == phaseHeadRest && con.body > 0:
		con.phase, con.left = phaseBody, con.body
	case con.phase == phaseHeadRest && con.body < 0:
		con.phase, con.chunks = phaseChunks, chunkReader{}
	default:
		con.phase = phaseServed
	}
}

// fill reads from the socket: into buf if the bytes may be handed on at once, or else into the held bytes.
func (con *Conn) fill(buf []byte) (int, error) {
	if con.phase == phaseHead && len(con.held) > 0 {
		con.limitHead(true)
	}
	if len(con.held) > 0 || con.phase == phaseServed {
		return 0, con.fillHeld(buf)
	}
	got, err := con.readSocket(buf)
	if con.phase == phaseHead {
		got = copy(buf, con.skipEmptyLines(buf[:got]))
	}
	count := con.advance(buf[:got], got)
	con.hold(buf[count:got])
	if count > 0 {
		return count, nil // an error that ended the reading is returned by the next call
	}
	return 0, con.timeoutOf(err)
}

// fillHeld reads into the held bytes. Their buffer is allocated with the first byte, so that connections without a further
// request need none.
func (con *Conn) fillHeld(buf []byte) error {
	if con.phase == phaseServed && len(con.held) >= con.settings.ReadAheadBytes {
		return con.waitForRoom()
	}
	if len(con.held) == 0 {
		got, err := con.readSocket(buf[:1])
		con.hold(buf[:got])
		return con.timeoutOf(err)
	}
	if len(con.held) == cap(con.held) && !con.growHeld() {
		if con.phase == phaseServed {
			return con.waitForRoom()
		}
		return nil // refused
	}
	got, err := con.readSocket(con.held[len(con.held):cap(con.held)])
	con.held = con.held[:len(con.held)+got]
	if con.phase == phaseServed && got > 0 {
		con.noteArrival()
		con.lookAhead()
	}
	return con.timeoutOf(err)
}

// waitForRoom blocks while the caller has sent more further requests than are held, until the read is aborted or the caller has
// left.
func (con *Conn) waitForRoom() error {
	for !con.closed {
		if !con.deadline.IsZero() && !time.Now().Before(con.deadline) {
			return os.ErrDeadlineExceeded
		}
		if con.hasLeft() {
			con.readErr = io.EOF
			con.discardBegun()
			return nil
		}
		look := time.AfterFunc(leftInterval, con.wakeUp)
		con.wake.Wait()
		look.Stop()
	}
	return net.ErrClosed
}

// wakeUp ends a wait. It takes the lock, which the waiting goroutine holds until it waits.
func (con *Conn) wakeUp() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.wake.Broadcast()
}

// hold keeps bytes for later.
func (con *Conn) hold(data []byte) {
	if len(data) == 0 {
		return
	}
	con.heldBuf = newBuffer(max(len(data), minHeldBytes))
	con.held = con.heldBuf[:copy(con.heldBuf, data)]
	if con.phase == phaseServed {
		con.further = true
		con.noteArrival()
		con.lookAhead()
	}
}

// readSocket reads without the lock, and keeps an error that ends the reading.
func (con *Conn) readSocket(buf []byte) (int, error) {
	con.mut.Unlock()
	got, err := con.Conn.Read(buf)
	con.mut.Lock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		con.readErr = err
		con.discardBegun()
	}
	if err != nil && con.readErr == nil && con.waitsOn() {
		err = nil
	}
	con.checkHeadTime(err)
	return got, err
}

// timeoutOf returns an error that does not end the reading; Read returns others once the held bytes allow it.
func (con *Conn) timeoutOf(err error) error {
	if con.readErr != nil {
		return nil
	}
	return err
}

// SetReadDeadline sets the deadline of reads; the time limit of a head that has begun stays in force beside it.
func (con *Conn) SetReadDeadline(when time.Time) error {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.deadline = when
	con.wake.Broadcast()
	return con.applyDeadline()
}

// SetDeadline sets the deadlines of reads and writes.
func (con *Conn) SetDeadline(when time.Time) error {
	return errors.Join(con.SetReadDeadline(when), con.SetWriteDeadline(when))
}

func (con *Conn) applyDeadline() error {
	when := con.deadline
	if con.waiting() {
		when = con.wait.until
		if !con.headBy.IsZero() {
			when = con.headBy // the wait ended with the first byte
		}
	}
	if !con.headBy.IsZero() && (when.IsZero() || con.headBy.Before(when)) {
		when = con.headBy
	}
	return con.Conn.SetReadDeadline(when)
}

// limitHead begins or ends the time limit of a head. net/http does not see a head before it is complete, so that its own
// limit cannot end one.
func (con *Conn) limitHead(begin bool) {
	switch {
	case begin && con.headBy.IsZero():
		con.headBy = time.Now().Add(con.headTimeout())
	case !begin && !con.headBy.IsZero():
		con.headBy = time.Time{}
	default:
		return
	}
	_ = con.applyDeadline() // fails only on a closed connection, whose next read fails too
}

// ResetOnClose makes Close reset the connection, and drop what the caller has not received, instead of ending it in order.
func (con *Conn) ResetOnClose() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.reset = true
	if lin, ok := con.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lin.SetLinger(0) // fails only on a closed connection
	}
}

// Close closes the connection. One with further requests that were not answered is read on for a while after its end was
// sent, so that the answers before them reach the caller.
func (con *Conn) Close() error {
	con.mut.Lock()
	idle := con.phase == phaseHead && len(con.held) == 0
	first, further := !con.closed, !con.reset && (con.refused || con.further && !idle && con.readErr == nil)
	con.closed = true
	con.discardBegun()
	con.wake.Broadcast()
	con.mut.Unlock()
	closer, ok := con.Conn.(interface{ CloseWrite() error })
	if !first {
		return con.Conn.Close()
	}
	if !further || !ok || closer.CloseWrite() != nil {
		con.endGuard()
		return con.Conn.Close()
	}
	con.stage.CompareAndSwap(stageWaiting, stageLingering)
	con.stage.CompareAndSwap(stageBusy, stageLingering)
	_ = con.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	go func() {
		_, _ = io.Copy(io.Discard, con.Conn)
		_ = con.Conn.Close()
		con.endGuard()
	}()
	return nil
}

// CloseWrite sends the end of the connection and goes on reading.
func (con *Conn) CloseWrite() error {
	if closer, ok := con.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.ErrUnsupported
}
