package mesh

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

const (
	acceptRetryPause = 5 * time.Millisecond // after an error of Accept, such as too many open files
	maxReadAhead     = 64 << 10             // bytes of a request body that are buffered before the handler reads them
)

// inboundSessions holds the accepted sessions by host and bounds the handshakes in progress.
type inboundSessions struct {
	mut        sync.Mutex // taken when sessions start and end, not by calls
	byHost     map[string][]*inboundSession
	handshakes chan struct{} // has one element for each connection whose Hello has not been accepted yet
}

func newInboundSessions(handshakes int) *inboundSessions {
	return &inboundSessions{byHost: map[string][]*inboundSession{}, handshakes: make(chan struct{}, cmp.Or(handshakes, defaultHandshakes))}
}

// add records a session. When its host has maxSessionsPerHost already, it closes the oldest of them, which is the most
// likely to be silent.
func (ibs *inboundSessions) add(inb *inboundSession) {
	ibs.mut.Lock()
	defer ibs.mut.Unlock()
	list := ibs.byHost[inb.host]
	if len(list) == maxSessionsPerHost {
		_ = list[0].raw.Close()
		list = list[1:]
	}
	ibs.byHost[inb.host] = append(list, inb)
}

func (ibs *inboundSessions) remove(inb *inboundSession) {
	ibs.mut.Lock()
	defer ibs.mut.Unlock()
	var rest []*inboundSession
	for _, other := range ibs.byHost[inb.host] {
		if other != inb {
			rest = append(rest, other)
		}
	}
	ibs.byHost[inb.host] = rest
	if len(rest) == 0 {
		delete(ibs.byHost, inb.host)
	}
}

// accept accepts connections until ctx ends, which closes the listener.
func (mes *Mesh) accept(ctx context.Context, lis net.Listener) error {
	for {
		conn, err := lis.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			sleep(ctx, acceptRetryPause)
			continue
		}
		mes.startHandshake(conn) //nolint:contextcheck // spawn passes the context of Run
	}
}

// startHandshake serves a new connection, or closes it when too many have not yet sent their Hello.
func (mes *Mesh) startHandshake(conn net.Conn) {
	select {
	case mes.inbound.handshakes <- struct{}{}:
	default:
		mes.settings.OnEvent(EventHandshakeFailed)
		_ = conn.Close()
		return
	}
	started := mes.spawn(func(ctx context.Context) { mes.serveConn(ctx, conn) })
	if !started {
		<-mes.inbound.handshakes
		_ = conn.Close()
	}
}

// serveConn runs the handshake on a new connection and serves its session.
func (mes *Mesh) serveConn(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	inb, err := mes.handshake(ctx, raw)
	<-mes.inbound.handshakes
	if err != nil {
		mes.settings.OnEvent(handshakeEvent(err))
		return
	}
	mes.inbound.add(inb)
	defer mes.inbound.remove(inb)
	mes.settings.OnEvent(EventOpened)
	defer mes.settings.OnEvent(EventClosed)
	inb.serve(ctx)
}

func handshakeEvent(err error) Event {
	if isYamuxViolation(err) || wire.IsMalformed(err) {
		return EventProtocolViolation
	}
	return EventHandshakeFailed
}

// handshake runs TLS, yamux and Hello under a deadline on the TCP connection, so that a slow or silent peer cannot
// occupy one of the places for handshakes for longer than handshakeTimeout.
func (mes *Mesh) handshake(ctx context.Context, raw net.Conn) (*inboundSession, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	conn := raw
	if mes.settings.ServerTLS != nil {
		tco := tls.Server(raw, serverConfig(mes.settings.ServerTLS))
		if err := tco.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = tco
	}
	mux, err := yamux.Server(&sessionConn{Conn: conn, raw: raw}, muxConfig())
	if err != nil {
		return nil, err
	}
	inb := &inboundSession{mesh: mes, mux: mux, raw: raw}
	if err := inb.exchangeHello(ctx, conn); err != nil {
		endSession(raw, mux)
		return nil, err
	}
	return inb, raw.SetDeadline(time.Time{})
}

// inboundSession is a yamux session on a connection that a peer dialled.
type inboundSession struct {
	mesh        *Mesh
	host        string
	mux         *yamux.Session
	raw         net.Conn      // TCP connection, below TLS if that is used
	probeStream *yamux.Stream // carries Hello and probes
	probeReader *wire.Reader
	probeWriter *wire.Writer
	incarnation uint64       // of the peer's process
	silent      atomic.Bool  // the session ended because no probe arrived
	activeCalls atomic.Int64 // calls and control messages in flight
}

// exchangeHello accepts the first stream, checks the Hello on it and answers with this node's.
func (inb *inboundSession) exchangeHello(ctx context.Context, conn net.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	str, err := inb.mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return err
	}
	if err := str.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	rea, wri := wire.NewReader(str), wire.NewWriter(str)
	msg, err := rea.Read()
	if err != nil {
		return err
	}
	hel, ok := msg.(*wire.Hello)
	if !ok || hel.GetHost() == "" {
		return &IdentityError{}
	}
	if err := checkIdentity(conn, hel.GetHost()); err != nil {
		return err
	}
	inb.host, inb.incarnation = hel.GetHost(), hel.GetIncarnation()
	inb.probeStream, inb.probeReader, inb.probeWriter = str, rea, wri
	return wri.Write(&wire.Hello{Host: inb.mesh.settings.Host, Incarnation: inb.mesh.settings.Incarnation})
}

// serve answers probes and accepts streams until the session ends; then it cancels the calls that have a stream of their
// own and waits for them. Calls on a lane may outlive the session, until nodeCtx ends.
func (inb *inboundSession) serve(nodeCtx context.Context) {
	ctx, cancel := context.WithCancel(nodeCtx)
	var tasks sync.WaitGroup
	tasks.Go(inb.answerProbes)
	for {
		str, err := inb.mux.AcceptStream()
		if err != nil {
			if isYamuxViolation(err) {
				inb.mesh.settings.OnEvent(EventProtocolViolation)
			}
			break
		}
		if inb.activeCalls.Add(1) > maxSessionCalls {
			inb.refuseStream(str)
			continue
		}
		inb.mesh.activeCalls.Add(1)
		tasks.Go(func() {
			inb.serveStream(ctx, nodeCtx, str)
			inb.mesh.activeCalls.Add(-1)
			inb.activeCalls.Add(-1)
		})
	}
	cancel()
	endSession(inb.raw, inb.mux)
	tasks.Wait()
	inb.probeReader.Release()
	inb.probeWriter.Release()
}

// refuseStream refuses a stream above maxSessionCalls. It has no goroutine of its own, so that the write of the refusal
// slows down the accepting of further streams.
func (inb *inboundSession) refuseStream(str *yamux.Stream) {
	wri := wire.NewWriter(str)
	defer wri.Release()
	ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls from one node to this host are in flight")
	_ = wri.Write(wire.FromRefusal(ref))
	_ = str.Close()
	inb.activeCalls.Add(-1)
}

// answerProbes answers probes and closes the session when none has arrived for probeSilenceTimeout.
func (inb *inboundSession) answerProbes() {
	defer func() { _ = inb.raw.Close() }()
	for {
		if err := inb.probeStream.SetReadDeadline(time.Now().Add(probeSilenceTimeout)); err != nil {
			return
		}
		msg, err := inb.probeReader.Read()
		if err != nil {
			if wire.IsMalformed(err) {
				inb.mesh.settings.OnEvent(EventProtocolViolation)
			}
			inb.silent.Store(errors.Is(err, yamux.ErrTimeout))
			return
		}
		pro, ok := msg.(*wire.Probe)
		if !ok {
			inb.mesh.settings.OnEvent(EventProtocolViolation)
			return
		}
		load, leaving := inb.mesh.localState()
		ack := &wire.ProbeAck{SentNanos: pro.GetSentNanos(), LocalNanos: inb.mesh.nowNanos(), Load: load, Leaving: leaving}
		if err := inb.probeWriter.Write(ack); err != nil {
			return
		}
	}
}

// closeMalformed ends the session because the peer violated the protocol.
func (inb *inboundSession) closeMalformed() {
	inb.mesh.settings.OnEvent(EventProtocolViolation)
	_ = inb.raw.Close()
}

// serveStream serves one call or control message, or a lane.
func (inb *inboundSession) serveStream(ctx, nodeCtx context.Context, str *yamux.Stream) {
	rea, wri := wire.NewReader(str), wire.NewWriter(str)
	defer rea.Release()
	defer wri.Release()
	defer func() { _ = str.Close() }()
	if err := str.SetReadDeadline(time.Now().Add(firstFrameTimeout)); err != nil {
		return
	}
	msg, err := rea.Read()
	if err != nil {
		if wire.IsMalformed(err) {
			inb.closeMalformed()
		}
		return
	}
	if err := str.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	switch frm := msg.(type) {
	case *wire.LaneOpen:
		// The lane counts each of its calls, so the stream, which was counted when it was accepted, must not count.
		inb.mesh.activeCalls.Add(-1)
		inb.activeCalls.Add(-1)
		inb.serveLane(nodeCtx, str, rea, frm)
		inb.mesh.activeCalls.Add(1)
		inb.activeCalls.Add(1)
	case *wire.CallHead:
		inb.serveCall(ctx, &servedStream{session: inb, stream: str, reader: rea, writer: wri}, frm)
	case *wire.Offer, *wire.Pull, *wire.Document, *wire.LoanOffer, *wire.LoanRequest, *wire.Suspect, *wire.Contact, *wire.ServiceLists, *wire.TokenRequest:
		inb.serveControl(ctx, wri, msg)
	default:
		inb.closeMalformed()
	}
}

func (inb *inboundSession) serveControl(ctx context.Context, wri *wire.Writer, msg proto.Message) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := inb.mesh.settings.Control.HandleControl(ctx, inb.host, msg)
	if err != nil {
		reply = wire.FromRefusal(err)
	}
	if reply == nil {
		reply = &wire.Done{}
	}
	if err := wri.Write(reply); wire.IsMalformed(err) {
		_ = wri.Write(wire.FromRefusal(err))
	}
}

// servedStream is the stream of one call that this node serves for a peer.
type servedStream struct {
	session *inboundSession
	stream  *yamux.Stream
	reader  *wire.Reader
	writer  *wire.Writer
}

// serveCall runs the handler. The remaining time counts from the arrival of the head, so that the nodes' clocks need
// not agree.
func (inb *inboundSession) serveCall(ctx context.Context, ser *servedStream, head *wire.CallHead) {
	remaining := min(time.Duration(head.GetRemainingNanos()), maxRemainingTime)
	deadline := time.Now().Add(remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	bod := newRequestBody(head.GetLength())
	var body io.Reader
	if head.GetLength() != 0 {
		body = bod
	}
	call, err := wire.ToCall(head, body, deadline, inb.mesh.epoch.Add(time.Duration(head.GetAdmittedNanos())))
	if err != nil {
		inb.closeMalformed()
		return
	}
	var receiving sync.WaitGroup
	receiving.Go(func() { ser.receiveRequest(bod, cancel) })
	stop := context.AfterFunc(ctx, func() { ser.expire(ctx, bod) })
	ser.respond(ctx, call)
	stop()
	_ = ser.stream.Close()
	bod.closeWith(io.ErrClosedPipe)
	_ = ser.stream.SetReadDeadline(expiredDeadline)
	receiving.Wait()
}

// expire unblocks the handler, which may wait for the request body, and a write to a caller that has stopped reading.
func (ser *servedStream) expire(ctx context.Context, bod *requestBody) {
	bod.closeWith(contextRefusal(ctx, core.OutcomeUnknown))
	_ = ser.stream.SetWriteDeadline(expiredDeadline)
}

// receiveRequest reads the request and then waits for the end of the stream, by which the caller cancels the call. While
// more than maxReadAhead bytes of the body are unread, it does not see a cancellation until the handler has read them.
func (ser *servedStream) receiveRequest(bod *requestBody, cancel context.CancelFunc) {
	defer cancel()
	complete := false
	for {
		msg, err := ser.reader.Read()
		if err != nil {
			bod.closeWith(core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the stream of the request ended before the end frame").WithCause(err))
			if wire.IsMalformed(err) {
				ser.session.closeMalformed()
			}
			return
		}
		switch frm := msg.(type) {
		case *wire.Body:
			if !complete && bod.addPart(frm.GetData()) {
				continue
			}
		case *wire.CallEnd:
			if !complete && bod.complete() {
				complete = true
				continue
			}
		}
		ser.session.closeMalformed()
		return
	}
}

func (ser *servedStream) respond(ctx context.Context, call *core.Call) {
	ans, err := handle(ctx, ser.session.mesh.settings.Handler, call)
	if err != nil {
		_ = ser.writer.Write(wire.FromRefusal(err))
		return
	}
	if body := ans.Body(); body != nil {
		defer func() { _ = body.Close() }()
	}
	if err := ser.writer.Append(wire.FromAnswer(ans)); err != nil {
		ref := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeRan, "the answer head is too long for a call between nodes").WithCause(err)
		_ = ser.writer.Write(wire.FromRefusal(ref))
		return
	}
	_ = ser.copyBody(ans)
}

// handle runs the handler unless the call has ended before it starts. An answer without a status of HTTP is not sent to the
// peer: nobody may take it for an answer.
func handle(ctx context.Context, han core.Handler, call *core.Call) (*core.Answer, error) {
	if ctx.Err() != nil {
		return nil, contextRefusal(ctx, core.OutcomeNotRun)
	}
	ans, err := han.Serve(ctx, call)
	var ref *core.Refusal
	if err != nil && ctx.Err() != nil && !errors.As(err, &ref) {
		return nil, contextRefusal(ctx, core.OutcomeUnknown).WithCause(err)
	}
	if err == nil && !core.ValidStatus(ans.Status()) {
		if ans.Body() != nil {
			_ = ans.Body().Close()
		}
		return nil, core.InvalidStatusRefusal(ans.Status())
	}
	return ans, err
}

// copyBody writes the body as its parts become available. Head, data and end frame share one write when the first read
// returns the data together with io.EOF.
func (ser *servedStream) copyBody(ans *core.Answer) error {
	if ans.Body() == nil {
		return ser.writer.Write(wire.FromAnswerEnd(ans.Feedback()))
	}
	buf, _ := bodyBuffers.Get().(*[wire.MaxBodyFrameData]byte)
	defer bodyBuffers.Put(buf)
	totalBytes := 0
	for {
		got, err := ans.Body().Read(buf[:])
		if totalBytes += got; totalBytes > wire.MaxAnswerBody {
			got, err = 0, core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		}
		if got > 0 {
			if err := ser.writer.AppendBody(buf[:got]); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			if err := ser.writer.Flush(); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return ser.writer.Write(wire.FromAnswerEnd(ans.Feedback()))
		default:
			return ser.writer.Write(wire.FromFailure(err, ans.Feedback()))
		}
	}
}

// requestBody passes the data of the body frames of a request on to the handler.
type requestBody struct {
	mut     sync.Mutex
	changed *sync.Cond
	buf     bytes.Buffer
	length  int64 // announced bytes, or -1 when unknown
	total   int64 // bytes received
	err     error // what Read returns after buf
}

func newRequestBody(length int64) *requestBody {
	bod := &requestBody{length: length}
	bod.changed = sync.NewCond(&bod.mut)
	return bod
}

// Read returns data, io.EOF after a whole request, or a refusal.
func (bod *requestBody) Read(data []byte) (int, error) {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	for bod.buf.Len() == 0 && bod.err == nil {
		bod.changed.Wait()
	}
	if bod.buf.Len() == 0 {
		return 0, bod.err
	}
	bod.changed.Signal()
	return bod.buf.Read(data)
}

// addPart adds a part and waits while more than maxReadAhead bytes are unread; it returns false when the body is longer
// than announced or than wire.MaxRequestBody.
func (bod *requestBody) addPart(data []byte) bool {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	bod.total += int64(len(data))
	if bod.total > wire.MaxRequestBody || bod.length >= 0 && bod.total > bod.length {
		bod.setError(core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, "the request body is longer than announced or than 64 MiB"))
		return false
	}
	if bod.err != nil {
		return true
	}
	bod.buf.Write(data)
	bod.changed.Broadcast()
	for bod.buf.Len() > maxReadAhead && bod.err == nil {
		bod.changed.Wait()
	}
	return true
}

// complete marks the end of the body; it returns false when the body is shorter than announced.
func (bod *requestBody) complete() bool {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	if bod.length >= 0 && bod.total < bod.length {
		bod.setError(core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the request body is shorter than announced"))
		return false
	}
	bod.setError(io.EOF)
	return true
}

func (bod *requestBody) closeWith(err error) {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	bod.setError(err)
}

// setError sets what Read returns after the buffered data; the first error stays. The caller holds mut.
func (bod *requestBody) setError(err error) {
	if bod.err == nil {
		bod.err = err
	}
	bod.changed.Broadcast()
}
