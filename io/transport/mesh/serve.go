package mesh

import (
	"bytes"
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
	acceptPause = 5 * time.Millisecond // after an error of accept, such as too many open files
	maxAhead    = 64 << 10             // bytes of a request body that are read before the handler asks for them
)

// inbox holds the accepted sessions by host.
type inbox struct {
	mut        sync.Mutex // taken when sessions start and end, not by calls
	byHost     map[string][]*inbound
	handshakes chan struct{}
}

func newInbox() *inbox {
	return &inbox{byHost: map[string][]*inbound{}, handshakes: make(chan struct{}, maxHandshakes)}
}

// add bounds the sessions of a host: a new one replaces the oldest, which is most likely the silent one.
func (inx *inbox) add(inb *inbound) {
	inx.mut.Lock()
	defer inx.mut.Unlock()
	list := inx.byHost[inb.host]
	if len(list) == maxSessions {
		_ = list[0].raw.Close()
		list = list[1:]
	}
	inx.byHost[inb.host] = append(list, inb)
}

func (inx *inbox) remove(inb *inbound) {
	inx.mut.Lock()
	defer inx.mut.Unlock()
	var rest []*inbound
	for _, other := range inx.byHost[inb.host] {
		if other != inb {
			rest = append(rest, other)
		}
	}
	inx.byHost[inb.host] = rest
	if len(rest) == 0 {
		delete(inx.byHost, inb.host)
	}
}

// accept takes connections until the listener closes with ctx.
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
			sleep(ctx, acceptPause)
			continue
		}
		mes.admit(conn) //nolint:contextcheck // spawn passes the context of Run
	}
}

// admit bounds the connections that have not yet said who they are.
func (mes *Mesh) admit(conn net.Conn) {
	select {
	case mes.inbox.handshakes <- struct{}{}:
	default:
		mes.set.OnEvent(EventHandshake)
		_ = conn.Close()
		return
	}
	started := mes.spawn(func(ctx context.Context) { mes.welcome(ctx, conn) })
	if !started {
		<-mes.inbox.handshakes
		_ = conn.Close()
	}
}

// welcome takes a new connection through the handshake and serves it.
func (mes *Mesh) welcome(ctx context.Context, raw net.Conn) {
	defer func() { _ = raw.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	inb, err := mes.handshake(ctx, raw)
	<-mes.inbox.handshakes
	if err != nil {
		mes.set.OnEvent(handshakeEvent(err))
		return
	}
	mes.inbox.add(inb)
	defer mes.inbox.remove(inb)
	mes.set.OnEvent(EventOpened)
	defer mes.set.OnEvent(EventClosed)
	inb.serve(ctx)
}

func handshakeEvent(err error) Event {
	if brokeMux(err) || wire.Malformed(err) {
		return EventMalformed
	}
	return EventHandshake
}

// handshake cuts a slow or silent peer by a deadline on the connection itself.
func (mes *Mesh) handshake(ctx context.Context, raw net.Conn) (*inbound, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	conn := raw
	if mes.set.Server != nil {
		tco := tls.Server(raw, serverConfig(mes.set.Server))
		if err := tco.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = tco
	}
	mux, err := yamux.Server(&joinConn{Conn: conn}, muxConfig())
	if err != nil {
		return nil, err
	}
	inb := &inbound{mes: mes, mux: mux, raw: raw}
	if err := inb.greet(ctx, conn); err != nil {
		_ = raw.Close()
		_ = mux.Close()
		return nil, err
	}
	return inb, raw.SetDeadline(time.Time{})
}

// inbound is a connection that a peer dialled.
type inbound struct {
	mes    *Mesh
	host   string
	mux    *yamux.Session
	raw    net.Conn
	ctl    *yamux.Stream
	rea    *wire.Reader
	wri    *wire.Writer
	active atomic.Int64
}

func (inb *inbound) greet(ctx context.Context, conn net.Conn) error {
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
	inb.host, inb.ctl, inb.rea, inb.wri = hel.GetHost(), str, rea, wri
	return wri.Write(&wire.Hello{Host: inb.mes.set.Host, Incarnation: inb.mes.set.Incarnation})
}

// serve answers probes and accepts streams until the session ends; then it waits for its calls.
func (inb *inbound) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	tasks.Go(inb.answerProbes)
	for {
		str, err := inb.mux.AcceptStream()
		if err != nil {
			if brokeMux(err) {
				inb.mes.set.OnEvent(EventMalformed)
			}
			break
		}
		if inb.active.Add(1) > maxStreams {
			inb.refuse(str)
			continue
		}
		inb.mes.active.Add(1)
		tasks.Go(func() {
			inb.stream(ctx, str)
			inb.mes.active.Add(-1)
			inb.active.Add(-1)
		})
	}
	cancel()
	_ = inb.raw.Close()
	_ = inb.mux.Close()
	tasks.Wait()
	inb.rea.Release()
	inb.wri.Release()
}

// refuse answers a stream above the bound without a goroutine of its own, which slows the accepting down.
func (inb *inbound) refuse(str *yamux.Stream) {
	wri := wire.NewWriter(str)
	defer wri.Release()
	ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls from one host are in progress")
	_ = wri.Write(wire.FromRefusal(ref))
	_ = str.Close()
	inb.active.Add(-1)
}

// answerProbes ends the session when the peer stops probing.
func (inb *inbound) answerProbes() {
	defer func() { _ = inb.raw.Close() }()
	for {
		if err := inb.ctl.SetReadDeadline(time.Now().Add(controlSilence)); err != nil {
			return
		}
		msg, err := inb.rea.Read()
		if err != nil {
			if wire.Malformed(err) {
				inb.mes.set.OnEvent(EventMalformed)
			}
			return
		}
		pro, ok := msg.(*wire.Probe)
		if !ok {
			inb.mes.set.OnEvent(EventMalformed)
			return
		}
		load, leaving := inb.mes.self()
		ack := &wire.ProbeAck{SentNanos: pro.GetSentNanos(), LocalNanos: inb.mes.now(), Load: load, Leaving: leaving}
		if err := inb.wri.Write(ack); err != nil {
			return
		}
	}
}

func (inb *inbound) malformed() {
	inb.mes.set.OnEvent(EventMalformed)
	_ = inb.raw.Close()
}

// stream serves one call or control message.
func (inb *inbound) stream(ctx context.Context, str *yamux.Stream) {
	rea, wri := wire.NewReader(str), wire.NewWriter(str)
	defer rea.Release()
	defer wri.Release()
	defer func() { _ = str.Close() }()
	if err := str.SetReadDeadline(time.Now().Add(firstFrame)); err != nil {
		return
	}
	msg, err := rea.Read()
	if err != nil {
		if wire.Malformed(err) {
			inb.malformed()
		}
		return
	}
	if err := str.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	switch frm := msg.(type) {
	case *wire.LaneOpen:
		// The calls of the lane count, not its stream.
		inb.mes.active.Add(-1)
		inb.active.Add(-1)
		inb.lane(ctx, str, rea)
		inb.mes.active.Add(1)
		inb.active.Add(1)
	case *wire.CallHead:
		inb.call(ctx, &serving{inb: inb, str: str, rea: rea, wri: wri}, frm)
	case *wire.Offer, *wire.Pull, *wire.Document, *wire.LoanOffer, *wire.LoanRequest, *wire.Suspect, *wire.Contact, *wire.ServiceLists, *wire.UsageReport:
		inb.control(ctx, wri, msg)
	default:
		inb.malformed()
	}
}

func (inb *inbound) control(ctx context.Context, wri *wire.Writer, msg proto.Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := inb.mes.set.Control.HandleControl(ctx, inb.host, msg)
	if err != nil {
		reply = wire.FromRefusal(err)
	}
	if reply == nil {
		reply = &wire.Done{}
	}
	if err := wri.Write(reply); wire.Malformed(err) {
		_ = wri.Write(wire.FromRefusal(err))
	}
}

// serving is one call that this node serves for a peer.
type serving struct {
	inb *inbound
	str *yamux.Stream
	rea *wire.Reader
	wri *wire.Writer
}

// call runs the handler. The deadline counts from the arrival of the head, so that clocks need not agree.
func (inb *inbound) call(ctx context.Context, ser *serving, head *wire.CallHead) {
	remaining := min(time.Duration(head.GetRemainingNanos()), maxRemaining)
	deadline := time.Now().Add(remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	bod := newRequestBody(head.GetLength())
	var src io.Reader
	if head.GetLength() != 0 {
		src = bod
	}
	call, err := wire.ToCall(head, src, deadline, inb.mes.base.Add(time.Duration(head.GetAdmittedNanos())))
	if err != nil {
		inb.malformed()
		return
	}
	var pump sync.WaitGroup
	pump.Go(func() { ser.receive(bod, cancel) })
	stop := context.AfterFunc(ctx, func() { ser.expire(ctx, bod) })
	ser.respond(ctx, call)
	stop()
	_ = ser.str.Close()
	bod.end(io.ErrClosedPipe)
	_ = ser.str.SetReadDeadline(past)
	pump.Wait()
}

// expire unblocks the handler, which may wait for the body, and a write to a caller that reads no more.
func (ser *serving) expire(ctx context.Context, bod *requestBody) {
	bod.end(ended(ctx, core.OutcomeUnknown))
	_ = ser.str.SetWriteDeadline(past)
}

// receive reads the request and then waits for the end of the stream, by which the caller cancels the call. A body
// larger than what is read ahead delays that until the handler has read it.
func (ser *serving) receive(bod *requestBody, cancel context.CancelFunc) {
	defer cancel()
	whole := false
	for {
		msg, err := ser.rea.Read()
		if err != nil {
			bod.end(core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the request ended before its end frame").WithCause(err))
			if wire.Malformed(err) {
				ser.inb.malformed()
			}
			return
		}
		switch frm := msg.(type) {
		case *wire.Body:
			if !whole && bod.put(frm.GetData()) {
				continue
			}
		case *wire.CallEnd:
			if !whole && bod.complete() {
				whole = true
				continue
			}
		}
		ser.inb.malformed()
		return
	}
}

func (ser *serving) respond(ctx context.Context, call *core.Call) {
	ans, err := ser.inb.handle(ctx, call)
	if err != nil {
		_ = ser.wri.Write(wire.FromRefusal(err))
		return
	}
	if body := ans.Body(); body != nil {
		defer func() { _ = body.Close() }()
	}
	if err := ser.wri.Append(wire.FromAnswer(ans)); err != nil {
		ref := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeRan, "the head of the answer is too long").WithCause(err)
		_ = ser.wri.Write(wire.FromRefusal(ref))
		return
	}
	_ = ser.copyBody(ans)
}

func (inb *inbound) handle(ctx context.Context, call *core.Call) (*core.Answer, error) {
	if ctx.Err() != nil {
		return nil, ended(ctx, core.OutcomeNotRun)
	}
	ans, err := inb.mes.set.Handler.Serve(ctx, call)
	var ref *core.Refusal
	if err != nil && ctx.Err() != nil && !errors.As(err, &ref) {
		return nil, ended(ctx, core.OutcomeUnknown).WithCause(err)
	}
	return ans, err
}

// copyBody writes the parts as they come; the head, a part that ends the body and the end frame go in one write.
func (ser *serving) copyBody(ans *core.Answer) error {
	if ans.Body() == nil {
		return ser.wri.Write(wire.FromEnd(ans.Feedback()))
	}
	buf, _ := parts.Get().(*[wire.MaxBodyPart]byte)
	defer parts.Put(buf)
	total := 0
	for {
		got, err := ans.Body().Read(buf[:])
		if total += got; total > wire.MaxAnswerBody {
			got, err = 0, core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		}
		if got > 0 {
			if err := ser.wri.AppendBody(buf[:got]); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
			if err := ser.wri.Flush(); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return ser.wri.Write(wire.FromEnd(ans.Feedback()))
		default:
			return ser.wri.Write(wire.FromFailure(err, ans.Feedback()))
		}
	}
}

// requestBody hands the body frames of a request to the handler.
type requestBody struct {
	mut    sync.Mutex
	change *sync.Cond
	buf    bytes.Buffer
	length int64 // announced, or -1
	total  int64
	err    error // what Read returns after the buffer
}

func newRequestBody(length int64) *requestBody {
	bod := &requestBody{length: length}
	bod.change = sync.NewCond(&bod.mut)
	return bod
}

// Read returns data, io.EOF after a whole request, or a refusal.
func (bod *requestBody) Read(data []byte) (int, error) {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	for bod.buf.Len() == 0 && bod.err == nil {
		bod.change.Wait()
	}
	if bod.buf.Len() == 0 {
		return 0, bod.err
	}
	bod.change.Signal()
	return bod.buf.Read(data)
}

// put adds a part and waits while too much is unread; it reports false when the body is longer than allowed.
func (bod *requestBody) put(data []byte) bool {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	bod.total += int64(len(data))
	if bod.total > wire.MaxRequestBody || bod.length >= 0 && bod.total > bod.length {
		bod.finish(core.NewRefusal(core.ReasonBodyTooLarge, core.OutcomeUnknown, "the body is longer than announced"))
		return false
	}
	if bod.err != nil {
		return true
	}
	bod.buf.Write(data)
	bod.change.Broadcast()
	for bod.buf.Len() > maxAhead && bod.err == nil {
		bod.change.Wait()
	}
	return true
}

// complete marks the end of the body; it reports false when the body is shorter than announced.
func (bod *requestBody) complete() bool {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	if bod.length >= 0 && bod.total < bod.length {
		bod.finish(core.NewRefusal(core.ReasonCancelled, core.OutcomeUnknown, "the body is shorter than announced"))
		return false
	}
	bod.finish(io.EOF)
	return true
}

func (bod *requestBody) end(err error) {
	bod.mut.Lock()
	defer bod.mut.Unlock()
	bod.finish(err)
}

// finish keeps the first error.
func (bod *requestBody) finish(err error) {
	if bod.err == nil {
		bod.err = err
	}
	bod.change.Broadcast()
}
