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
	"golang.org/x/net/http/httpguts"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

const (
	maxReplayableBody  = 64 << 10 // bytes; a retry may send a body of at most this length again
	expiredUnixSeconds = 1        // Unix time of expiredDeadline; any time in the past does
)

// expiredDeadline is set on a stream to unblock its reads and writes.
var expiredDeadline = time.Unix(expiredUnixSeconds, 0)

var bodyBuffers = sync.Pool{New: func() any { return new([wire.MaxBodyFrameData]byte) }}

// Phases of a stream exchange. Either the sender moves the exchange from phaseOpening to phaseWriting, or the receiver
// moves it to phaseAbandoned, so that "not run" is only reported when the sender writes nothing.
const (
	phaseOpening int32 = iota
	phaseWriting
	phaseAbandoned
)

// streamExchange is a call or a control message that this node sends on a stream of its own. A sender goroutine opens
// the stream and writes the request, because both may block; the goroutine of the caller is the receiver, which reads
// the answer.
type streamExchange struct {
	session     *outboundSession
	ctx         context.Context
	cancel      context.CancelFunc
	phase       atomic.Int32
	opened      chan error                   // result of opening the stream
	senderDone  chan struct{}                // closed when the sender has ended
	sendRefusal atomic.Pointer[core.Refusal] // why the sender ended the exchange; nil if it did not
	stream      *yamux.Stream
	reader      *wire.Reader
	stopAbort   func() bool // detaches abort from the end of ctx
	finishOnce  sync.Once
}

// startExchange starts the sender and waits until the stream is open. An error means that nothing was written.
func (ses *outboundSession) startExchange(ctx context.Context, cancel context.CancelFunc, send func(*wire.Writer) error) (*streamExchange, error) {
	if !ses.beginCall() {
		cancel()
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls from this node to one host are in flight")
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
	return notRunRefusal("no stream to host %q could be opened", exc.session.peer.host).WithCause(err)
}

// failSend ends the exchange because the request could not be read, encoded or written in time. It leaves any other
// error of the stream to the receiver, which may still read a refusal that the peer sent before it stopped reading.
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

// abort unblocks the receiver and the sender and closes the stream, by which the peer learns that the call has ended.
func (exc *streamExchange) abort() {
	_ = exc.stream.SetDeadline(expiredDeadline)
	_ = exc.stream.Close()
}

// finish releases the exchange; the receiver calls it when it stops reading.
func (exc *streamExchange) finish() {
	exc.finishOnce.Do(func() {
		exc.stopAbort()
		exc.cancel()
		exc.abort()
		exc.reader.Release()
		exc.session.endCall()
	})
}

// read returns the next message or a refusal. The refusal has the given reason when the stream ended early and neither
// the sender nor the end of the context explains it.
func (exc *streamExchange) read(reason core.Reason) (proto.Message, error) {
	msg, err := exc.reader.Read()
	if err == nil {
		exc.session.otherFrames.Add(1)
		return msg, nil
	}
	if wire.IsMalformed(err) {
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

// forward sends a call and returns its answer once the head of the answer has arrived.
func (ses *outboundSession) forward(ctx context.Context, cancel context.CancelFunc, call *core.Call) (*core.Answer, error) {
	head := wire.FromCall(call, time.Until(call.Deadline()), ses.toPeerClock(call.AdmittedAt()))
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

// awaitSender waits until the sender has stopped reading a body that a retry may send again.
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
	const overhead = 16 // bytes; upper bound of the tags and lengths around the head
	switch {
	case call.Length() > wire.MaxRequestBody:
		return core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeNotRun, "the request body is too long for a call between nodes")
	case proto.Size(head) > wire.MaxControlFrame-overhead:
		return core.NewRefusal(core.ReasonHeaderTooLarge, core.OutcomeNotRun, "the request head is too long for a call between nodes")
	case head.GetRemainingNanos() <= 0:
		return core.NewRefusal(core.ReasonDeadline, core.OutcomeNotRun, "no time is left to forward the call to another node")
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

// sendBody streams the body. A body that fits into one frame is written together with the head and the end.
func sendBody(wri *wire.Writer, call *core.Call) error {
	buf, _ := bodyBuffers.Get().(*[wire.MaxBodyFrameData]byte)
	defer bodyBuffers.Put(buf)
	singleFrame := call.Length() > 0 && call.Length() <= wire.MaxBodyFrameData
	var totalBytes int64
	for {
		if !singleFrame {
			if err := wri.Flush(); err != nil {
				return err
			}
		}
		got, err := call.Body().Read(buf[:])
		if totalBytes += int64(got); totalBytes > wire.MaxRequestBody {
			return core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, "the request body is longer than 64 MiB")
		}
		if call.Length() >= 0 && (totalBytes > call.Length() || errors.Is(err, io.EOF) && totalBytes < call.Length()) {
			return core.NewRefusal(core.ReasonBadRequest, core.OutcomeUnknown, "the request body does not have the announced length")
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

// bodyError turns an error of reading the body into a refusal. An error that is a refusal already, such as the one for a
// slow sender, stays.
func bodyError(err error) error {
	var ref *core.Refusal
	if errors.As(err, &ref) {
		return err
	}
	return core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the request body could not be read").WithCause(err)
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
	if err := exc.session.checkHead(head); err != nil {
		return nil, err
	}
	bod := &streamAnswerBody{exchange: exc}
	return core.NewAnswer(int(head.GetStatus()), wire.ToHeader(head.GetHeaders()), bod, bod.feedback), nil
}

// checkHead returns the failure of a call whose answer has no status of HTTP or a field without a valid name, or nil. Only
// this call ends, and nothing more is read for it: the answer has a stream or number of its own, and a peer of an older version
// passes on what its upstream sent, which must not cost the other calls their connection.
func (ses *outboundSession) checkHead(head *wire.AnswerHead) error {
	detail := ""
	if !core.ValidStatus(int(head.GetStatus())) {
		detail = fmt.Sprintf("host %q sent an answer with the status %d", ses.peer.host, head.GetStatus())
	}
	for _, field := range head.GetHeaders() {
		if !httpguts.ValidHeaderFieldName(field.GetName()) {
			detail = fmt.Sprintf("host %q sent an answer with a field named %.64q", ses.peer.host, field.GetName())
		}
	}
	if detail == "" {
		return nil
	}
	ses.peer.mesh.settings.OnEvent(EventProtocolViolation)
	return core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, detail)
}

// replaceCancelled replaces a peer's refusal whose reason is cancelled by one of this node when the context of the call
// has ended. The peer only saw the end of the call, while this node knows whether the deadline passed or the caller
// cancelled it.
func replaceCancelled(ctx context.Context, err error) error {
	ref := core.AsRefusal(err)
	if ref.Reason() == core.ReasonCancelled && ctx.Err() != nil {
		return contextRefusal(ctx, ref.Outcome())
	}
	return err
}

// streamAnswerBody is the body of an answer on a call's own stream. Read returns io.EOF only after the end frame of a
// whole answer.
type streamAnswerBody struct {
	exchange    *streamExchange
	mut         sync.Mutex // Close may be called from another goroutine than Read
	unread      []byte     // rest of the data of the last frame
	totalBytes  int        // received so far
	err         error      // what Read returns after unread
	endFeedback atomic.Pointer[core.Feedback]
}

// Read returns data, io.EOF after a whole answer, or a refusal.
func (sab *streamAnswerBody) Read(data []byte) (int, error) {
	sab.mut.Lock()
	defer sab.mut.Unlock()
	for len(sab.unread) == 0 {
		if sab.err == nil {
			sab.err = sab.nextFrame()
		}
		if sab.err != nil {
			sab.exchange.finish()
			return 0, sab.err
		}
	}
	got := copy(data, sab.unread)
	sab.unread = sab.unread[got:]
	return got, nil
}

func (sab *streamAnswerBody) nextFrame() error {
	msg, err := sab.exchange.read(core.ReasonTruncated)
	if err != nil {
		return err
	}
	switch frm := msg.(type) {
	case *wire.Body:
		sab.unread = frm.GetData()
		if sab.totalBytes += len(sab.unread); sab.totalBytes > wire.MaxAnswerBody {
			sab.unread = nil
			return core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		}
		return nil
	case *wire.AnswerEnd:
		fee := wire.ToFeedback(frm.GetFeedback())
		sab.endFeedback.Store(&fee)
		if err := wire.ToAnswerError(frm); err != nil {
			return replaceCancelled(sab.exchange.ctx, err)
		}
		return io.EOF
	}
	return sab.exchange.unexpectedMessage(msg)
}

// Close ends the call on the serving side when the answer has not been read to its end.
func (sab *streamAnswerBody) Close() error {
	sab.exchange.abort()
	sab.mut.Lock()
	defer sab.mut.Unlock()
	if sab.err == nil {
		sab.err = io.ErrClosedPipe
		sab.unread = nil
	}
	sab.exchange.finish()
	return nil
}

func (sab *streamAnswerBody) feedback() core.Feedback {
	if fee := sab.endFeedback.Load(); fee != nil {
		return *fee
	}
	return core.NewFeedback(0, 1, 0, false)
}

// exchangeControl sends one control message and returns the reply, or nil when the peer had none.
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
	if err := wri.Write(msg); wire.IsMalformed(err) {
		return core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, "the control message is too long or cannot be encoded").WithCause(err)
	}
	return nil
}
