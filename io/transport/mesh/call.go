package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

const (
	maxReplayed = 64 << 10 // bytes of a body that a retry may send again
	pastSeconds = 1        // any time in the past, as a deadline that unblocks a stream
)

var past = time.Unix(pastSeconds, 0)

var parts = sync.Pool{New: func() any { return new([wire.MaxBodyPart]byte) }}

// Phases of an exchange. Only one of the sender and the receiver leaves phaseOpening, so that "not run" is only
// reported when the sender writes nothing.
const (
	phaseOpening int32 = iota
	phaseWriting
	phaseAbandoned
)

// exchange is one stream on which this node sends a call or a control message. A sender goroutine opens the stream
// and writes, because both may block; the receiver is the caller's goroutine.
type exchange struct {
	ses    *session
	ctx    context.Context
	cancel context.CancelFunc
	phase  atomic.Int32
	opened chan error    // result of opening the stream
	sent   chan struct{} // closed when the sender has ended
	fault  atomic.Pointer[core.Refusal]
	str    *yamux.Stream
	rea    *wire.Reader
	unhook func() bool
	once   sync.Once
}

// exchange starts the sender and waits until the stream is open. Any error means that nothing was written.
func (ses *session) exchange(ctx context.Context, cancel context.CancelFunc, send func(*wire.Writer) error) (*exchange, error) {
	if !ses.begin() {
		cancel()
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls to one host are in progress")
	}
	exc := &exchange{ses: ses, ctx: ctx, cancel: cancel, opened: make(chan error, 1), sent: make(chan struct{})}
	go exc.run(send)
	if err := exc.wait(); err != nil {
		cancel()
		ses.end()
		return nil, err
	}
	exc.rea = wire.NewReader(exc.str)
	exc.unhook = context.AfterFunc(ctx, exc.abort)
	return exc, nil
}

func (exc *exchange) run(send func(*wire.Writer) error) {
	defer close(exc.sent)
	str, err := exc.ses.mux.OpenStream()
	if err != nil {
		exc.opened <- err
		return
	}
	if !exc.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		_ = str.Close()
		return
	}
	exc.str = str
	exc.opened <- nil
	wri := wire.NewWriter(str)
	defer wri.Release()
	if err := send(wri); err != nil {
		exc.fail(err)
	}
}

func (exc *exchange) wait() error {
	select {
	case err := <-exc.opened:
		return exc.openError(err)
	case <-exc.ctx.Done():
	}
	if exc.phase.CompareAndSwap(phaseOpening, phaseAbandoned) {
		return ended(exc.ctx, core.OutcomeNotRun)
	}
	return exc.openError(<-exc.opened)
}

func (exc *exchange) openError(err error) error {
	if err == nil {
		return nil
	}
	return notRun("no stream to host %q", exc.ses.pee.host).WithCause(err)
}

// fail ends the exchange because the request could not be read, encoded or written in time. Another error of the
// stream is left to the receiver, which may still find a refusal that the peer sent before it stopped reading.
func (exc *exchange) fail(err error) {
	if errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		err = notRun("writing to host %q took too long", exc.ses.pee.host).WithCause(err)
	}
	var ref *core.Refusal
	if !errors.As(err, &ref) {
		return
	}
	exc.fault.Store(core.NewRefusal(ref.Reason(), core.OutcomeUnknown, ref.Detail()).WithCause(err))
	exc.abort()
}

// abort unblocks the receiver and the sender and tells the peer by the end of the stream.
func (exc *exchange) abort() {
	_ = exc.str.SetDeadline(past)
	_ = exc.str.Close()
}

// finish releases the exchange; the receiver calls it when it reads no more.
func (exc *exchange) finish() {
	exc.once.Do(func() {
		exc.unhook()
		exc.cancel()
		exc.abort()
		exc.rea.Release()
		exc.ses.end()
	})
}

// read returns the next message, or a refusal with the reason for a stream that ended too early.
func (exc *exchange) read(reason core.Reason) (proto.Message, error) {
	msg, err := exc.rea.Read()
	if err == nil {
		exc.ses.heard.Add(1)
		return msg, nil
	}
	if wire.Malformed(err) {
		exc.ses.malformed()
	}
	if ref := exc.fault.Load(); ref != nil {
		return nil, ref
	}
	if exc.ctx.Err() != nil {
		return nil, ended(exc.ctx, core.OutcomeUnknown)
	}
	detail := fmt.Sprintf("the stream to host %q ended early", exc.ses.pee.host)
	return nil, core.NewRefusal(reason, core.OutcomeUnknown, detail).WithCause(err)
}

func (exc *exchange) unexpected(msg proto.Message) error {
	exc.ses.malformed()
	detail := fmt.Sprintf("host %q sent an unexpected %T", exc.ses.pee.host, msg)
	return core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, detail)
}

// forward sends a call and returns its answer once the head has arrived.
func (ses *session) forward(ctx context.Context, cancel context.CancelFunc, call *core.Call) (*core.Answer, error) {
	head := wire.FromCall(call, time.Until(call.Deadline()), ses.remote(call.Admitted()))
	if err := checkCall(call, head); err != nil {
		cancel()
		return nil, err
	}
	if short(call) {
		return ses.quick(ctx, cancel, call, head)
	}
	exc, err := ses.exchange(ctx, cancel, func(wri *wire.Writer) error { return sendCall(wri, call, head) })
	if err != nil {
		return nil, err
	}
	ans, err := exc.answer()
	if err != nil {
		exc.abort()
		exc.settle(ctx, call)
		exc.finish()
		return nil, err
	}
	return ans, nil
}

// settle waits until the sender reads the body no more, when a retry may send the body again.
func (exc *exchange) settle(ctx context.Context, call *core.Call) {
	if call.Length() < 0 || call.Length() > maxReplayed {
		return
	}
	select {
	case <-exc.sent:
	case <-ctx.Done():
	}
}

func checkCall(call *core.Call, head *wire.CallHead) error {
	const overhead = 16 // tags and lengths around the head
	switch {
	case call.Length() > wire.MaxRequestBody:
		return core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeNotRun, "the body is too long for a call between nodes")
	case proto.Size(head) > wire.MaxControlFrame-overhead:
		return core.NewRefusal(core.ReasonHeaderTooLarge, core.OutcomeNotRun, "the head is too long for a call between nodes")
	case head.GetRemainingNanos() <= 0:
		return core.NewRefusal(core.ReasonDeadline, core.OutcomeNotRun, "no time is left for a call between nodes")
	}
	return nil
}

func sendCall(wri *wire.Writer, call *core.Call, head *wire.CallHead) error {
	head.RemainingNanos = int64(time.Until(call.Deadline()))
	if err := wri.Append(head); err != nil {
		return err
	}
	if call.Body() != nil && call.Length() != 0 {
		if err := sendBody(wri, call); err != nil {
			return err
		}
	}
	return wri.Write(&wire.CallEnd{})
}

// sendBody streams the body. A body of one part is written together with the head and the end.
func sendBody(wri *wire.Writer, call *core.Call) error {
	buf, _ := parts.Get().(*[wire.MaxBodyPart]byte)
	defer parts.Put(buf)
	small := call.Length() > 0 && call.Length() <= wire.MaxBodyPart
	var total int64
	for {
		if !small {
			if err := wri.Flush(); err != nil {
				return err
			}
		}
		got, err := call.Body().Read(buf[:])
		if total += int64(got); total > wire.MaxRequestBody {
			return core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, "the body grew beyond the bound")
		}
		if call.Length() >= 0 && (total > call.Length() || errors.Is(err, io.EOF) && total < call.Length()) {
			return core.NewRefusal(core.ReasonBadRequest, core.OutcomeUnknown, "the body does not have the announced length")
		}
		if got > 0 {
			if err := wri.AppendBody(buf[:got]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyError(err)
		}
	}
}

// bodyError keeps the refusal of the reader that failed, such as a slow sender.
func bodyError(err error) error {
	var ref *core.Refusal
	if errors.As(err, &ref) {
		return err
	}
	return core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the body of the request could not be read").WithCause(err)
}

func (exc *exchange) answer() (*core.Answer, error) {
	msg, err := exc.read(core.ReasonPeerFailed)
	if err != nil {
		return nil, err
	}
	head, ok := msg.(*wire.AnswerHead)
	if !ok {
		return nil, exc.unexpected(msg)
	}
	if err := wire.ToRefusal(head); err != nil {
		return nil, ownReason(exc.ctx, err)
	}
	bod := &answerBody{exc: exc}
	return core.NewAnswer(int(head.GetStatus()), wire.ToHeader(head.GetHeaders()), bod, bod.feedback), nil
}

// ownReason replaces the reason cancelled of a peer that only saw the end of the call: this node knows whether the
// deadline passed or the caller gave up.
func ownReason(ctx context.Context, err error) error {
	ref := core.AsRefusal(err)
	if ref.Reason() == core.ReasonCancelled && ctx.Err() != nil {
		return ended(ctx, ref.Outcome())
	}
	return err
}

// answerBody reads the body frames of an answer. It returns io.EOF only after the end frame of a whole answer.
type answerBody struct {
	exc   *exchange
	mut   sync.Mutex // Close may come from another goroutine than Read
	part  []byte     // unread data of the last frame
	total int
	err   error
	fee   atomic.Pointer[core.Feedback]
}

// Read returns data, io.EOF for a whole answer, or a refusal.
func (abo *answerBody) Read(data []byte) (int, error) {
	abo.mut.Lock()
	defer abo.mut.Unlock()
	for len(abo.part) == 0 {
		if abo.err == nil {
			abo.err = abo.next()
		}
		if abo.err != nil {
			abo.exc.finish()
			return 0, abo.err
		}
	}
	got := copy(data, abo.part)
	abo.part = abo.part[got:]
	return got, nil
}

func (abo *answerBody) next() error {
	msg, err := abo.exc.read(core.ReasonTruncated)
	if err != nil {
		return err
	}
	switch frm := msg.(type) {
	case *wire.Body:
		abo.part = frm.GetData()
		if abo.total += len(abo.part); abo.total > wire.MaxAnswerBody {
			abo.part = nil
			return core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		}
		return nil
	case *wire.AnswerEnd:
		fee := wire.ToFeedback(frm.GetFeedback())
		abo.fee.Store(&fee)
		if err := wire.ToFailure(frm); err != nil {
			return ownReason(abo.exc.ctx, err)
		}
		return io.EOF
	}
	return abo.exc.unexpected(msg)
}

// Close ends the call on the serving side when the answer has not been read to its end.
func (abo *answerBody) Close() error {
	abo.exc.abort()
	abo.mut.Lock()
	defer abo.mut.Unlock()
	if abo.err == nil {
		abo.err = io.ErrClosedPipe
		abo.part = nil
	}
	abo.exc.finish()
	return nil
}

func (abo *answerBody) feedback() core.Feedback {
	if fee := abo.fee.Load(); fee != nil {
		return *fee
	}
	return core.NewFeedback(0, 1, 0, false)
}

// control sends one control message and reads the reply.
func (ses *session) control(ctx context.Context, cancel context.CancelFunc, msg proto.Message) (proto.Message, error) {
	exc, err := ses.exchange(ctx, cancel, func(wri *wire.Writer) error { return sendControl(wri, msg) })
	if err != nil {
		return nil, err
	}
	defer exc.finish()
	reply, err := exc.read(core.ReasonPeerFailed)
	if err != nil {
		return nil, err
	}
	switch rep := reply.(type) {
	case *wire.Done:
		return nil, nil
	case *wire.AnswerHead:
		if err := wire.ToRefusal(rep); err != nil {
			return nil, err
		}
		return nil, exc.unexpected(reply)
	case *wire.Body:
		return nil, exc.unexpected(reply)
	}
	return reply, nil
}

func sendControl(wri *wire.Writer, msg proto.Message) error {
	if err := wri.Write(msg); wire.Malformed(err) {
		return core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, "the control message cannot be sent").WithCause(err)
	}
	return nil
}
