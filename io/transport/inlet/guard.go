package inlet

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"amaranthline/core"
	"amaranthline/core/state/memory"
)

const (
	// maxEmptyBytes is how many line ends may come before a request. RFC 9112 asks servers to skip at least one empty line.
	maxEmptyBytes = 16
	// retryAfterMemory is when a request that was refused for the memory that it would hold may come again.
	retryAfterMemory = time.Second
	// refusalWriteTime bounds the write of a refusal to a caller that does not read.
	refusalWriteTime = 500 * time.Millisecond
	// impatience divides Settings.WritePause while memory is short.
	impatience = 5
	// minUnreadTime is how long a write must have waited for its caller before the connection may be closed in favour of others.
	minUnreadTime = 500 * time.Millisecond
)

// guard is the part of a connection that Limits reads.
type guard struct {
	stage        atomic.Int32
	shown        atomic.Bool  // a request of the connection was complete
	waitingSince atomic.Int64 // Unix nanoseconds
	heldReserved atomic.Int64 // bytes of Limits.heads
	charged      atomic.Int64 // bytes of Limits.requests

	emptyBytes int           // line ends that came before the present request; guarded by Conn.mut
	refusal    *core.Refusal // to be sent; guarded by Conn.mut
	refused    bool          // the refusal was sent; guarded by Conn.mut

	writingSince atomic.Int64 // Unix nanoseconds of the start of the present write, or 0

	writeBy   time.Time   // deadline that writes have now; used only by the goroutine that writes
	impatient atomic.Bool // WritePause is shortened for the present answer
}

// refuse makes the next read send a refusal and end the connection.
func (con *Conn) refuse(lim Limit, ref *core.Refusal) {
	con.refusal = ref
	con.settings.Limits.onLimit(lim, con.RemoteAddr())
}

// sendRefusal sends a refusal and returns the error that makes net/http close the connection.
func (con *Conn) sendRefusal() error {
	text := con.settings.Refuse(con.refusal)
	con.refusal, con.refused = nil, true
	con.readErr = io.EOF
	con.discardBegun()
	con.freeHeld()
	con.mut.Unlock()
	defer con.mut.Lock()
	_ = con.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = con.Conn.Write(text) // a caller that does not read gets none
	return io.EOF
}

// skipEmptyLines returns the data without empty lines before a request. It refuses a caller that sends too many.
func (con *Conn) skipEmptyLines(data []byte) []byte {
	if con.phase != phaseHead || con.settings.Limits == nil || len(data) == 0 || data[0] != '\r' && data[0] != '\n' {
		return data
	}
	rest := bytes.TrimLeft(data, "\r\n")
	if con.emptyBytes += len(data) - len(rest); con.emptyBytes > maxEmptyBytes && con.refusal == nil {
		con.refuse(LimitEmptyLines, core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, "too many empty lines came before the request"))
		return nil
	}
	return rest
}

// admitHead takes the cost of a complete head from the budget before net/http parses it. It reports false if the request is
// refused or the connection was closed.
func (con *Conn) admitHead(head []byte) bool {
	if con.settings.Limits == nil {
		return true
	}
	cost := memory.HeadCost(len(head), bytes.Count(head, []byte{'\n'}))
	if !con.Charge(memory.Charged(cost)) {
		con.refusal = core.NewRefusal(core.ReasonCallerMemory, core.OutcomeNotRun, "the headers would cost more memory than is left for requests").
			WithRetryAfter(retryAfterMemory)
		return false
	}
	if con.stage.Load() != stageBusy && !con.stage.CompareAndSwap(stageWaiting, stageBusy) {
		con.readErr = net.ErrClosed
		return false
	}
	con.shown.Store(true)
	con.emptyBytes = 0
	return true
}

// isOrdinary reports whether a head costs so little that its request may be begun ahead of its turn.
func isOrdinary(head []byte) bool {
	return memory.Charged(memory.HeadCost(len(head), bytes.Count(head, []byte{'\n'}))) == 0
}

// refuseLongHead refuses a head that is longer than the limit.
func (con *Conn) refuseLongHead() {
	con.refuse(LimitHeadBytes, core.NewRefusal(core.ReasonHeaderTooLarge, core.OutcomeNotRun, "the request head is longer than the limit"))
}

// checkHeadTime refuses a head that is not complete although its time is over.
func (con *Conn) checkHeadTime(err error) {
	if con.settings.Limits != nil && con.phase == phaseHead && len(con.held) > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		con.refuse(LimitHeadTime, core.NewRefusal(core.ReasonSlowSender, core.OutcomeNotRun, "the sender stalled while it sent the request head"))
	}
}

// growHeld enlarges the buffer of the held bytes. It reports false if there is no room for that now; the head that needed it
// has then been refused.
func (con *Conn) growHeld() bool {
	if len(con.held) <= len(con.heldBuf)/2 { // the rest was handed on
		con.held = con.heldBuf[:copy(con.heldBuf, con.held)]
		return true
	}
	most := con.maxHeadBytes()
	if con.phase == phaseServed {
		most = con.settings.ReadAheadBytes
	}
	size := max(2*len(con.held), minHeldBytes)
	if len(con.held) < most {
		size = min(size, max(most, minHeldBytes))
	}
	if !con.reserveHeld(size) {
		return false
	}
	grown := newBuffer(size)
	con.held = grown[:copy(grown, con.held)]
	freeBuffer(con.heldBuf)
	con.heldBuf = grown
	return true
}

// reserveHeld takes the bytes of a buffer of the given size beyond the smallest one.
func (con *Conn) reserveHeld(size int) bool {
	lim := con.settings.Limits
	if lim == nil {
		return true
	}
	need := size - minHeldBytes - int(con.heldReserved.Load())
	if need <= 0 {
		return true
	}
	switch {
	case con.phase == phaseServed:
		if !lim.heads.Reserve(need) {
			return false
		}
	case !lim.reserveHead(con, need):
		con.refuse(LimitHeads, core.NewRefusal(core.ReasonCallerMemory, core.OutcomeNotRun, "unfinished request heads hold all memory that is left for them").
			WithRetryAfter(retryAfterMemory))
		return false
	}
	con.heldReserved.Add(int64(need))
	if con.stage.Load() == stageClosed { // in between, for example by a head that needed its bytes
		lim.heads.Release(int(con.heldReserved.Swap(0)))
	}
	return true
}

// freeHeld frees the held bytes.
func (con *Conn) freeHeld() {
	freeBuffer(con.heldBuf)
	con.held, con.heldBuf = nil, nil
	if lim := con.settings.Limits; lim != nil {
		lim.heads.Release(int(con.heldReserved.Swap(0)))
	}
}

// endGuard returns everything that the connection has taken.
func (con *Conn) endGuard() {
	lim := con.settings.Limits
	if lim == nil {
		return
	}
	lim.remove(con)
	con.stage.Store(stageClosed) // before the release, so that whoever takes bytes meanwhile returns them
	lim.heads.Release(int(con.heldReserved.Swap(0)))
	lim.requests.Release(int(con.charged.Swap(0)))
}

// HurryReader shortens the time for which an answer of the present request may stay unread, because memory is short.
func (con *Conn) HurryReader() { con.impatient.Store(true) }

// SetWriteDeadline sets the deadline of writes. net/http takes it back after each answer, which is ignored under
// Settings.WritePause: Write sets a later one when it needs it.
func (con *Conn) SetWriteDeadline(when time.Time) error {
	if con.settings.WritePause > 0 && when.IsZero() {
		return nil
	}
	con.writeBy = when
	return con.Conn.SetWriteDeadline(when)
}

// Write writes data. It fails when the caller has read nothing for longer than Settings.WritePause, at the latest after twice
// that time.
func (con *Conn) Write(data []byte) (int, error) {
	pause := con.settings.WritePause
	if pause <= 0 {
		return con.Conn.Write(data)
	}
	if con.impatient.Load() {
		pause /= impatience
	}
	con.writingSince.Store(time.Now().UnixNano())
	defer con.writingSince.Store(0)
	written := 0
	for {
		// The deadline is set again only when less than the pause is left, so that most writes do not pay for it.
		if now := time.Now(); con.writeBy.Sub(now) < pause || con.writeBy.Sub(now) > 2*pause {
			if err := con.SetWriteDeadline(now.Add(2 * pause)); err != nil {
				return written, err
			}
		}
		count, err := con.Conn.Write(data[written:])
		written += count
		if err == nil || count == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			if errors.Is(err, os.ErrDeadlineExceeded) && con.settings.Limits != nil {
				con.settings.Limits.onLimit(LimitUnread, con.RemoteAddr())
			}
			return written, err
		}
	}
}
