package back

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthline/core"
)

// Result is how a call to the upstream ended.
type Result uint8

// The results of a call. ResultConnRefused and ResultConnReset may mean that the upstream has crashed.
const (
	ResultAnswered    Result = iota
	ResultShed               // 503 or 429 from the upstream, or a refusal before work started
	ResultConnRefused        // the upstream does not accept connections
	ResultConnReset          // the connection was lost before the answer or in its body
	ResultTimeout            // the deadline passed
	ResultCancelled          // the caller cancelled the call
	ResultFailed             // any other failure, such as an unreadable request body
)

// String returns the result as a metric label.
func (res Result) String() string {
	return [...]string{"answered", "shed", "refused", "reset", "timeout", "cancelled", "failed"}[res]
}

// Error is the refusal of a call to the upstream together with its result.
type Error struct {
	*core.Refusal
	result Result
}

// Result returns how the call ended.
func (er *Error) Result() Result { return er.result }

// Unwrap returns the refusal.
func (er *Error) Unwrap() error { return er.Refusal }

func newError(res Result, reason core.Reason, out core.Outcome, detail string, cause error) *Error {
	return &Error{Refusal: core.NewRefusal(reason, out, detail).WithCause(cause), result: res}
}

// ResultOf returns how a call ended, given what Do returned or an error of the answer's body.
func ResultOf(ans *core.Answer, err error) Result {
	var er *Error
	switch {
	case errors.As(err, &er):
		return er.result
	case err != nil:
		return ResultFailed
	case ans.Status() == http.StatusServiceUnavailable, ans.Status() == http.StatusTooManyRequests:
		return ResultShed
	}
	return ResultAnswered
}

// errorBeforeHead classifies an error that occurred before the head of the answer was read. The outcome is not run only
// when no byte of the request was written.
func (att *attempt) errorBeforeHead(err error) *Error {
	out := core.OutcomeUnknown
	if !att.wrote {
		out = core.OutcomeNotRun
	}
	if er := att.contextError(err, out); er != nil {
		return er
	}
	if body := att.body; body != nil && body.readError() != nil {
		return requestBodyError(body.readError(), out)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		att.cli.detector.markDown()
		return newError(ResultConnRefused, core.ReasonNoUpstream, out, "the upstream refused the connection", err)
	case out == core.OutcomeNotRun:
		att.cli.detector.onConnLost()
		return newError(ResultFailed, core.ReasonNoUpstream, out, "the connection to the upstream failed before any byte of the request was sent", err)
	case isConnectionLoss(err):
		att.con.recordLostOnReuse()
		att.cli.detector.recordLostConn(att.cli.inFlight.Load())
		return newError(ResultConnReset, core.ReasonUpstreamFailed, out, "the upstream closed the connection before it answered", err)
	}
	return newError(ResultFailed, core.ReasonUpstreamFailed, out, "sending the request or reading the head of the answer failed", err)
}

// errorInBody classifies an error that occurred while the body of the answer was read.
func (att *attempt) errorInBody(err error) *Error {
	if er := att.contextError(err, core.OutcomeUnknown); er != nil {
		return er
	}
	res := ResultFailed
	if isConnectionLoss(err) {
		res = ResultConnReset
		att.cli.detector.recordLostConn(att.cli.inFlight.Load())
	}
	return newError(res, core.ReasonTruncated, core.OutcomeUnknown, "the upstream did not send the complete answer", err)
}

// contextError returns the error of a call whose context has ended, or nil if the context has not ended.
func (att *attempt) contextError(err error, out core.Outcome) *Error {
	if att.ctx.Err() == nil {
		return nil
	}
	if errors.Is(att.ctx.Err(), context.DeadlineExceeded) {
		return newError(ResultTimeout, core.ReasonDeadline, out, "the upstream did not answer in time", err)
	}
	return newError(ResultCancelled, core.ReasonCancelled, out, "the caller cancelled the call", err)
}

// requestBodyError keeps the reason of the refusal that the body's reader returned, such as a slow sender.
func requestBodyError(err error, out core.Outcome) *Error {
	var ref *core.Refusal
	if errors.As(err, &ref) {
		return newError(ResultFailed, ref.Reason(), out, ref.Detail(), err)
	}
	return newError(ResultFailed, core.ReasonCancelled, out, "the request body could not be read", err)
}

// isConnectionLoss reports whether an error means that the upstream closed or reset the connection.
func isConnectionLoss(err error) bool {
	for _, target := range []error{syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// crashWindow is the time within which lost connections count as one event.
const crashWindow = 250 * time.Millisecond

// crashDetector detects from refused and lost connections that the upstream has crashed.
type crashDetector struct {
	onCrash    func()
	onConnLost func()
	down       atomic.Bool // a crash was detected, and the upstream has not been reached since then

	mut         sync.Mutex // guards the fields below; taken only when connections are lost
	windowStart time.Time
	inFlight    int64 // calls in flight when the window started
	lostConns   int64 // connections lost since windowStart
}

// markUp records that the upstream answered or accepted a connection.
func (det *crashDetector) markUp() {
	if det.down.Load() {
		det.down.Store(false)
	}
}

// markDown reports a crash, unless one is already reported and the upstream has not been reached since.
func (det *crashDetector) markDown() {
	if det.down.CompareAndSwap(false, true) && det.onCrash != nil {
		det.onCrash()
	}
}

// recordLostConn counts a lost connection. The first one starts a window of crashWindow. The upstream has crashed when as
// many connections are lost within the window as calls were in flight at its start.
func (det *crashDetector) recordLostConn(inFlight int64) {
	det.mut.Lock()
	now := time.Now()
	if now.Sub(det.windowStart) > crashWindow {
		det.windowStart, det.inFlight, det.lostConns = now, inFlight, 0
	}
	det.lostConns++
	crashed := det.lostConns >= det.inFlight
	if crashed {
		det.windowStart = time.Time{}
	}
	det.mut.Unlock()
	det.onConnLost()
	if crashed {
		det.markDown()
	}
}
