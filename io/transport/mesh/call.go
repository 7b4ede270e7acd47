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
	maxReplayableBody = 64 << 10 // bytes of a body that a retry may send again
	pastSeconds       = 1        // any time in the past, as a deadline that unblocks a stream
)

var pastDeadline = time.Unix(pastSeconds, 0)

var bodyBuffers = sync.Pool{New: func() any { return new([wire.MaxBodyPart]byte) }}

// Phases of an exchange. Only one of the sender and the receiver leaves phaseOpening, so that "not run" is only
// reported when the sender writes nothing.
const (
	phaseOpening int32 = iota
	phaseWriting
	phaseAbandoned
)

// exchange is one stream on which this node sends a call or a control message. A sender goroutine opens the stream
// and writes, because both may block; the receiver is the caller's goroutine.
type streamExchange struct {
	session     *outboundSession
	ctx         context.Context
	cancel      context.CancelFunc
	phase       atomic.Int32
	opened      chan error    // result of opening the stream
	senderDone  chan struct{} // closed when the sender has ended
	sendRefusal atomic.Pointer[core.Refusal]
	stream      *yamux.Stream
	reader      *wire.Reader
	stopAbort   func() bool
	finishOnce  sync.Once
}

// exchange starts the sender and waits until the stream is open. Any error means that nothing was written.
func (ses *outboundSession) startExchange(ctx context.Context, cancel context.CancelFunc, send func(*wire.Writer) error) (*streamExchange, error) {
	if !ses.beginCall() {
		cancel()
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls to one host are in progress")
	}
	exc := &streamExchange{session: ses, ctx: ctx, cancel: cancel, opened: make(chan error, 1), senderDone: make(chan struct{})}
	go exc.runSender(send)
	if err := exc.awaitOpen(); err != nil {
		cancel()
		ses.endCall()
		return nil, err
	}
	exc.reader = wire.NewReader(exc.stream)
	exc.stopAbort = context.AfterFunc(ctx, exc.abort)
	return exc, nil
}

func (exc *streamExchange) runSender(send func(*wire.Writer) error) {
	defer close(exc.senderDone)
	str, err := exc.session.mux.OpenStream()
	if err != nil {
		exc.opened <- err
		return
	}
	if !exc.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		_ = str.Close()
		return
	}
	exc.stream = str
	exc.opened <- nil
	wri := wire.NewWriter(str)
	defer wri.Release()
	if err := send(wri); err != nil {
		exc.failSend(err)
	}
}

func (exc *streamExchange) awaitOpen() error {
	select {
	case err := <-exc.opened:
		return exc.openRefusal(err)
	case <-exc.ctx.Done():
	}
	if exc.phase.CompareAndSwap(phaseOpening, phaseAbandoned) {
		return contextRefusal(exc.ctx, core.OutcomeNotRun)
	}
	return exc.openRefusal(<-exc.opened)
}

func (exc *streamExchange) openRefusal(err error) error {
	if err == nil {
		return nil
	}
	return notRunRefusal("no stream to host %q", exc.session.peer.host).WithCause(err)
}

// fail ends the exchange because the request could not be read, encoded or written in time. Another error of the
// stream is left to the receiver, which may still find a refusal that the peer sent before it stopped reading.
func (exc *streamExchange) failSend(err error) {
	if errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		err = notRunRefusal("writing to host %q took too long", exc.session.peer.host).WithCause(err)
	}
	var ref *core.Refusal
	if !errors.As(err, &ref) {
		return
	}
	exc.sendRefusal.Store(core.NewRefusal(ref.Reason(), core.OutcomeUnknown, ref.Detail()).WithCause(err))
	exc.abort()
}

// abort unblocks the receiver and the sender and tells the peer by the end of the stream.
func (exc *streamExchange) abort() {
	_ = exc.stream.SetDeadline(pastDeadline)
	_ = exc.stream.Close()
}

// finish releases the exchange; the receiver calls it when it reads no more.
func (exc *streamExchange) finish() {
	exc.finishOnce.Do(func() {
		exc.stopAbort()
		exc.cancel()
		exc.abort()
		exc.reader.Release()
		exc.session.endCall()
	})
}

// read returns the next message, or a refusal with the reason for a stream that ended too early.
func (exc *streamExchange) read(reason core.Reason) (proto.Message, error) {
	msg, err := exc.reader.Read()
	if err == nil {
		exc.session.otherFrames.Add(1)
		return msg, nil
	}
	if wire.Malformed(err) {
		exc.session.closeMalformed()
	}
	if ref := exc.sendRefusal.Load(); ref != nil {
		return nil, ref
	}
	if exc.ctx.Err() != nil {
		return nil, contextRefusal(exc.ctx, core.OutcomeUnknown)
	}
	detail := fmt.Sprintf("the stream to host %q ended early", exc.session.peer.host)
	return nil, core.NewRefusal(reason, core.OutcomeUnknown, detail).WithCause(err)
}

func (exc *streamExchange) unexpectedMessage(msg proto.Message) error {
	exc.session.closeMalformed()
	detail := fmt.Sprintf("host %q sent an unexpected %T", exc.session.peer.host, msg)
	return core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, detail)
}

// forward sends a call and returns its answer once the head has arrived.
func (ses *outboundSession) forward(ctx context.Context, cancel context.CancelFunc, call *core.Call) (*core.Answer, error) {
	head := wire.FromCall(call, time.Until(call.Deadline()), ses.toPeerClock(call.Admitted()))
	if err := checkCall(call, head); err != nil {
		cancel()
		return nil, err
	}
	if fitsLane(call) {
		return ses.forwardOnLane(ctx, cancel, call, head)
	}
	exc, err := ses.startExchange(ctx, cancel, func(wri *wire.Writer) error { return sendCall(wri, call, head) })
	if err != nil {
		return nil, err
	}
	ans, err := exc.readAnswer()
	if err != nil {
		exc.abort()
		exc.awaitSender(ctx, call)
		exc.finish()
		return nil, err
	}
	return ans, nil
}

// settle waits until the sender reads the body no more, when a retry may send the body again.
func (exc *streamExchange) awaitSender(ctx context.Context, call *core.Call) {
	if call.Length() < 0 || call.Length() > maxReplayableBody {
		return
	}
	select {
	case <-exc.senderDone:
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
	buf, _ := bodyBuffers.Get().(*[wire.MaxBodyPart]byte)
	defer bodyBuffers.Put(buf)
	singlePart := call.Length() > 0 && call.Length() <= wire.MaxBodyPart
	var totalBytes int64
	for {
		if !singlePart {
			if err := wri.Flush(); err != nil {
				return err
			}
		}
		got, err := call.Body().Read(buf[:])
		if totalBytes += int64(got); totalBytes > wire.MaxRequestBody {
			return core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, "the body grew beyond the bound")
		}
		if call.Length() >= 0 && (totalBytes > call.Length() || errors.Is(err, io.EOF) && totalBytes < call.Length()) {
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

func (exc *streamExchange) readAnswer() (*core.Answer, error) {
	msg, err := exc.read(core.ReasonPeerFailed)
	if err != nil {
		return nil, err
	}
	head, ok := msg.(*wire.AnswerHead)
	if !ok {
		return nil, exc.unexpectedMessage(msg)
	}
	if err := wire.ToRefusal(head); err != nil {
		return nil, replaceCancelled(exc.ctx, err)
	}
	bod := &streamAnswerBody{exchange: exc}
	return core.NewAnswer(int(head.GetStatus()), wire.ToHeader(head.GetHeaders()), bod, bod.feedback), nil
}

// ownReason replaces the reason cancelled of a peer that only saw the end of the call: this node knows whether the
// deadline passed or the caller gave up.
func replaceCancelled(ctx context.Context, err error) error {
	ref := core.AsRefusal(err)
	if ref.Reason() == core.ReasonCancelled && ctx.Err() != nil {
		return contextRefusal(ctx, ref.Outcome())
	}
	return err
}

// answerBody reads the body frames of an answer. It returns io.EOF only after the end frame of a whole answer.
type streamAnswerBody struct {
	exchange    *streamExchange
	mut         sync.Mutex // Close may come from another goroutine than Read
	unread      []byte     // unread data of the last frame
	totalBytes  int
	err         error
	endFeedback atomic.Pointer[core.Feedback]
}

// Read returns data, io.EOF for a whole answer, or a refusal.
func (abo *streamAnswerBody) Read(data []byte) (int, error) {
	abo.mut.Lock()
	defer abo.mut.Unlock()
	for len(abo.unread) == 0 {
		if abo.err == nil {
			abo.err = abo.nextFrame()
		}
		if abo.err != nil {
			abo.exchange.finish()
			return 0, abo.err
		}
	}
	got := copy(data, abo.unread)
	abo.unread = abo.unread[got:]
	return got, nil
}

func (abo *streamAnswerBody) nextFrame() error {
	msg, err := abo.exchange.read(core.ReasonTruncated)
	if err != nil {
		return err
	}
	switch frm := msg.(type) {
	case *wire.Body:
		abo.unread = frm.GetData()
		if abo.totalBytes += len(abo.unread); abo.totalBytes > wire.MaxAnswerBody {
			abo.unread = nil
			return core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		}
		return nil
	case *wire.AnswerEnd:
		fee := wire.ToFeedback(frm.GetFeedback())
		abo.endFeedback.Store(&fee)
		if err := wire.ToFailure(frm); err != nil {
			return replaceCancelled(abo.exchange.ctx, err)
		}
		return io.EOF
	}
	return abo.exchange.unexpectedMessage(msg)
}

// Close ends the call on the serving side when the answer has not been read to its end.
func (abo *streamAnswerBody) Close() error {
	abo.exchange.abort()
	abo.mut.Lock()
	defer abo.mut.Unlock()
	if abo.err == nil {
		abo.err = io.ErrClosedPipe
		abo.unread = nil
	}
	abo.exchange.finish()
	return nil
}

func (abo *streamAnswerBody) feedback() core.Feedback {
	if fee := abo.endFeedback.Load(); fee != nil {
		return *fee
	}
	return core.NewFeedback(0, 1, 0, false)
}

// control sends one control message and reads the reply.
func (ses *outboundSession) exchangeControl(ctx context.Context, cancel context.CancelFunc, msg proto.Message) (proto.Message, error) {
	exc, err := ses.startExchange(ctx, cancel, func(wri *wire.Writer) error { return sendControl(wri, msg) })
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
		return nil, exc.unexpectedMessage(reply)
	case *wire.Body:
		return nil, exc.unexpectedMessage(reply)
	}
	return reply, nil
}

func sendControl(wri *wire.Writer, msg proto.Message) error {
	if err := wri.Write(msg); wire.Malformed(err) {
		return core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, "the control message cannot be sent").WithCause(err)
	}
	return nil
}
