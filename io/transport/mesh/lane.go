package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

// A stream for each call costs several frames and writes, and goroutines on both sides. Calls whose body is short and
// in memory, which are nearly all, share one stream of the session instead: a lane. Each call is one frame and each
// short answer another; frames that are queued at the same time are written in one write. A long answer is sent in
// parts, and the caller grants credit for further parts, so that an answer that is not read does not block those of
// other calls.

// laneWindowParts is how many parts of an answer may be sent and not yet read; the first part needs no credit.
const laneWindowParts = 4

// maxUnwrittenBytes is how many bytes may be queued on a lane for a peer that does not read before further calls to it
// are refused.
const maxUnwrittenBytes = 4 << 20

// errLaneClosed means that the session of a lane has ended.
var errLaneClosed = errors.New("the connection to the peer has ended; send the call to another host")

// frameBatcher queues the frames that many goroutines send on one stream and writes those queued at a time in one write.
type frameBatcher struct {
	stream *yamux.Stream
	ready  chan struct{} // has an element while there are frames to write or finished calls to report; run receives it
	done   chan struct{} // closed by close

	mut            sync.Mutex
	packer         *wire.HeadPacker
	collecting     *wire.Writer // holds the queued frames
	spare          *wire.Writer // swapped with collecting at each write
	unwrittenCalls []*laneCall  // calls of this node whose frame is in collecting
	finishedCalls  int          // served calls that ended; their last frames are in collecting
	closed         bool
	outOfStep      bool // a packed head was not queued, so that the peer cannot unpack the next ones

	// onFinishedCalls is called with a number of calls served for the peer when their last frames have been written, or
	// never will be.
	onFinishedCalls func(calls int)
}

func newFrameBatcher(str *yamux.Stream, onFinishedCalls func(int)) *frameBatcher {
	return &frameBatcher{
		stream: str, ready: make(chan struct{}, 1), done: make(chan struct{}), onFinishedCalls: onFinishedCalls,
		packer: wire.NewHeadPacker(), collecting: wire.NewWriter(str), spare: wire.NewWriter(str),
	}
}

// add queues a frame; lac is the call that the frame starts, or nil if it starts none.
func (bat *frameBatcher) add(msg proto.Message, lac *laneCall) error {
	bat.mut.Lock()
	defer bat.mut.Unlock()
	switch {
	case bat.closed:
		return errLaneClosed
	case lac != nil && bat.collecting.Buffered() > maxUnwrittenBytes:
		return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "the peer does not read the calls that are queued for it")
	}
	packed := bat.pack(msg)
	if err := bat.collecting.Append(packed); err != nil {
		if packed != msg {
			bat.outOfStep = true
			bat.signal()
		}
		return err
	}
	if lac != nil {
		bat.unwrittenCalls = append(bat.unwrittenCalls, lac)
	}
	bat.signal()
	return nil
}

// pack returns a message with its head packed, if it has one. The caller holds the lock and must queue the result next.
func (bat *frameBatcher) pack(msg proto.Message) proto.Message {
	switch frm := msg.(type) {
	case *wire.LaneCall:
		return &wire.LaneCall{Number: frm.GetNumber(), Head: bat.packer.PackCall(frm.GetHead()), Body: frm.GetBody()}
	case *wire.LaneAnswer:
		return &wire.LaneAnswer{Number: frm.GetNumber(), Head: bat.packer.PackAnswer(frm.GetHead()), Body: frm.GetBody(), End: frm.GetEnd()}
	}
	return msg
}

func (bat *frameBatcher) signal() {
	select {
	case bat.ready <- struct{}{}:
	default:
	}
}

// finishCall records that one call served for the peer queues no further frames. The call counts as in flight until its
// queued frames are written.
func (bat *frameBatcher) finishCall() {
	bat.mut.Lock()
	defer bat.mut.Unlock()
	if bat.closed {
		bat.onFinishedCalls(1)
		return
	}
	bat.finishedCalls++
	bat.signal()
}

// run writes the queued frames until close; after a failed write it calls closeSession and returns.
func (bat *frameBatcher) run(closeSession func()) {
	for {
		select {
		case <-bat.ready:
		case <-bat.done:
			return
		}
		bat.mut.Lock()
		if bat.closed {
			bat.mut.Unlock()
			return
		}
		wri := bat.collecting
		bat.collecting, bat.spare = bat.spare, wri
		for i, lac := range bat.unwrittenCalls {
			lac.maybeWritten.Store(true)
			bat.unwrittenCalls[i] = nil
		}
		finished, outOfStep := bat.finishedCalls, bat.outOfStep
		bat.unwrittenCalls, bat.finishedCalls = bat.unwrittenCalls[:0], 0
		bat.mut.Unlock()
		err := wri.Flush()
		bat.onFinishedCalls(finished)
		if err != nil || outOfStep {
			closeSession()
			return
		}
	}
}

// close makes add refuse further frames. Frames that are still queued are not written.
func (bat *frameBatcher) close() {
	bat.mut.Lock()
	defer bat.mut.Unlock()
	if !bat.closed {
		bat.closed = true
		close(bat.done)
		bat.onFinishedCalls(bat.finishedCalls)
	}
}

// laneClient is the calling side of a lane.
type laneClient struct {
	session  *outboundSession
	stream   *yamux.Stream
	batcher  *frameBatcher
	unpacker *wire.HeadUnpacker

	mut          sync.Mutex
	pendingCalls map[uint64]*laneCall // by number
	closed       bool
}

// openLane opens the stream of the lane. Peer.resumeCalls queues LaneOpen.
func (ses *outboundSession) openLane() error {
	str, err := ses.mux.OpenStream()
	if err != nil {
		return err
	}
	ses.lane = &laneClient{session: ses, stream: str, batcher: newFrameBatcher(str, func(int) {}), unpacker: wire.NewHeadUnpacker(), pendingCalls: map[uint64]*laneCall{}}
	return nil
}

// run reads answers until the session ends.
func (lan *laneClient) run() {
	var tasks sync.WaitGroup
	tasks.Go(func() { lan.batcher.run(func() { _ = lan.session.raw.Close() }) })
	rea := wire.NewReader(lan.stream)
	for {
		msg, err := rea.Read()
		if err != nil {
			if wire.IsMalformed(err) {
				lan.session.closeMalformed()
			}
			break
		}
		lan.session.otherFrames.Add(1)
		if !lan.dispatch(msg) {
			lan.session.closeMalformed()
			break
		}
	}
	_ = lan.session.raw.Close()
	lan.batcher.close()
	lan.suspendCalls()
	tasks.Wait()
	rea.Release()
}

// dispatch passes a message on to the call that it answers; it returns false when the message violates the protocol.
func (lan *laneClient) dispatch(msg proto.Message) bool {
	switch frm := msg.(type) {
	case *wire.LaneAnswer:
		if lan.unpacker.UnpackAnswer(frm.GetHead()) != nil {
			return false
		}
		return lan.deliver(frm.GetNumber(), &answerPart{head: frm.GetHead(), data: frm.GetBody(), end: frm.GetEnd()})
	case *wire.LanePart:
		return lan.deliver(frm.GetNumber(), &answerPart{data: frm.GetBody(), end: frm.GetEnd()})
	}
	return false
}

func (lan *laneClient) deliver(number uint64, par *answerPart) bool {
	lan.mut.Lock()
	lac := lan.pendingCalls[number]
	if par.isLast() {
		delete(lan.pendingCalls, number)
	}
	lan.mut.Unlock()
	if lac == nil {
		return true // the call has finished, for example because its caller cancelled it
	}
	return lac.parts.add(par) // otherwise the peer sent more parts than it has credit for
}

// register numbers a call and records it as pending; it returns false when the lane has ended.
func (lan *laneClient) register(lac *laneCall) bool {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	if lan.closed {
		return false
	}
	lac.number = lan.session.peer.mesh.lastNumber.Add(1)
	lan.pendingCalls[lac.number] = lac
	return true
}

// unregister removes a call and reports whether its answer was still pending.
func (lan *laneClient) unregister(lac *laneCall) bool {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	_, pending := lan.pendingCalls[lac.number]
	delete(lan.pendingCalls, lac.number)
	return pending
}

// answerPart is one frame of an answer. The first part has the head. The last part has the end, or is a head with a
// refusal.
type answerPart struct {
	head *wire.AnswerHead
	data []byte
	end  *wire.AnswerEnd
}

func (par *answerPart) isLast() bool { return par.end != nil || par.head.GetReason() != "" }

// partQueue holds the parts of an answer that have not been read, and counts all that arrived.
type partQueue struct {
	parts chan *answerPart
	count atomic.Uint32
}

func newPartQueue() partQueue { return partQueue{parts: make(chan *answerPart, laneWindowParts)} }

// add queues a part; it returns false when the queue is full.
func (paq *partQueue) add(par *answerPart) bool {
	select {
	case paq.parts <- par:
		paq.count.Add(1)
		return true
	default:
		return false
	}
}

func (paq *partQueue) received() uint32 { return paq.count.Load() }

// laneCall is a call that this node sends on a lane.
type laneCall struct {
	session      atomic.Pointer[outboundSession] // another one after the connection was lost and replaced
	ctx          context.Context
	cancel       context.CancelFunc
	idempotent   bool
	number       uint64      // zero until the call is registered
	maybeWritten atomic.Bool // the call frame has been passed to a write
	parts        partQueue
	sessionLost  chan struct{} // closed when the session ends before the answer does and is not replaced
	finishOnce   sync.Once

	suspended   atomic.Bool // the call has waited for a new connection
	resumeTimer *time.Timer // ends that wait; guarded by the peer's resumeMut
	credits     uint32      // sent so far; guarded by the peer's resumeMut
}

// fitsLane reports whether a call can be sent on a lane: its body is absent, or short and in memory.
func fitsLane(call *core.Call) bool {
	if call.Body() == nil || call.Length() == 0 {
		return true
	}
	sized, ok := call.Body().(interface{ Len() int })
	return ok && call.Length() <= wire.MaxLaneBody && int64(sized.Len()) == call.Length()
}

// forwardOnLane sends a call on the lane and returns its answer once the first part has arrived.
func (ses *outboundSession) forwardOnLane(ctx context.Context, cancel context.CancelFunc, call *core.Call, head *wire.CallHead) (*core.Answer, error) {
	if !ses.beginCall() {
		cancel()
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls from this node to one host are in flight")
	}
	lac := &laneCall{ctx: ctx, cancel: cancel, idempotent: call.Idempotent(), parts: newPartQueue(), sessionLost: make(chan struct{})}
	lac.session.Store(ses)
	ans, err := lac.roundTrip(call, head)
	if err != nil {
		lac.finish()
		return nil, err
	}
	return ans, nil
}

// roundTrip sends the call and waits for the first part of its answer.
func (lac *laneCall) roundTrip(call *core.Call, head *wire.CallHead) (*core.Answer, error) {
	ses := lac.session.Load()
	msg := &wire.LaneCall{Head: head}
	if call.Body() != nil && call.Length() > 0 {
		msg.Body = make([]byte, call.Length())
		if _, err := io.ReadFull(call.Body(), msg.GetBody()); err != nil {
			return nil, core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, "the request body does not have the announced length").WithCause(err)
		}
	}
	if !ses.lane.register(lac) {
		return nil, notRunRefusal("the connection to host %q has ended", ses.peer.host)
	}
	msg.Number = lac.number
	if err := ses.lane.batcher.add(msg, lac); err != nil {
		var ref *core.Refusal
		if errors.As(err, &ref) {
			return nil, err
		}
		return nil, notRunRefusal("the call could not be queued for host %q", ses.peer.host).WithCause(err)
	}
	par, err := lac.nextPart(core.ReasonPeerFailed)
	if err != nil {
		return nil, err
	}
	if par.head == nil {
		lac.session.Load().closeMalformed()
		return nil, core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, "the answer of the peer has no head")
	}
	if err := wire.ToRefusal(par.head); err != nil {
		return nil, replaceCancelled(lac.ctx, err)
	}
	if err := lac.session.Load().checkHead(par.head); err != nil {
		return nil, err
	}
	bod := &laneAnswerBody{call: lac, unread: par.data}
	bod.applyPart(par)
	return core.NewAnswer(int(par.head.GetStatus()), wire.ToHeader(par.head.GetHeaders()), bod, bod.feedback), nil
}

// nextPart waits for the next part of the answer; the given reason is that of the refusal when the session ended first.
func (lac *laneCall) nextPart(reason core.Reason) (*answerPart, error) {
	select {
	case par := <-lac.parts.parts:
		return par, nil
	default:
	}
	select {
	case par := <-lac.parts.parts:
		return par, nil
	case <-lac.ctx.Done():
		return nil, contextRefusal(lac.ctx, core.OutcomeUnknown)
	case <-lac.sessionLost:
		select {
		case par := <-lac.parts.parts: // it arrived before the session ended
			return par, nil
		default:
		}
		ref := notRunRefusal("the connection to host %q ended early", lac.session.Load().peer.host)
		if !lac.maybeWritten.Load() {
			return nil, ref
		}
		return nil, core.NewRefusal(reason, core.OutcomeUnknown, ref.Detail())
	}
}

// finish releases the call, and cancels it at the peer when its answer is still pending.
func (lac *laneCall) finish() {
	lac.finishOnce.Do(func() {
		if lac.number != 0 && lac.forget() {
			// LaneCancel is sent also when the call frame is still queued, because that frame will be written. The
			// error of add is ignored, because a lane that has ended needs no LaneCancel.
			_ = lac.session.Load().lane.batcher.add(&wire.LaneCancel{Number: lac.number}, nil)
		}
		lac.cancel()
		lac.session.Load().endCall()
	})
}

// laneAnswerBody is the body of an answer on a lane. Read returns io.EOF only after the end of a whole answer.
type laneAnswerBody struct {
	call        *laneCall
	mut         sync.Mutex // Close may be called from another goroutine than Read
	unread      []byte     // rest of the data of the last part
	totalBytes  int        // received so far
	err         error      // what Read returns after unread
	endFeedback atomic.Pointer[core.Feedback]
}

// applyPart counts the data of a part and records the end of the answer if the part has it. The caller holds mut, or the
// body is not yet shared.
func (lab *laneAnswerBody) applyPart(par *answerPart) {
	if lab.totalBytes += len(par.data); lab.totalBytes > wire.MaxAnswerBody {
		lab.unread, lab.err = nil, core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		lab.call.finish()
		return
	}
	if par.end == nil {
		return
	}
	fee := wire.ToFeedback(par.end.GetFeedback())
	lab.endFeedback.Store(&fee)
	lab.err = io.EOF
	if err := wire.ToAnswerError(par.end); err != nil {
		lab.err = replaceCancelled(lab.call.ctx, err)
	}
	lab.call.finish()
}

// Read returns data, io.EOF after a whole answer, or a refusal.
func (lab *laneAnswerBody) Read(data []byte) (int, error) {
	lab.mut.Lock()
	defer lab.mut.Unlock()
	for len(lab.unread) == 0 {
		if lab.err != nil {
			return 0, lab.err
		}
		if err := lab.fetchPart(); err != nil {
			lab.err = err
			lab.call.finish()
		}
	}
	got := copy(data, lab.unread)
	lab.unread = lab.unread[got:]
	return got, nil
}

// fetchPart grants the peer credit for one more part, because the last one has been read, and waits for the next.
func (lab *laneAnswerBody) fetchPart() error {
	lab.call.grantCredit()
	par, err := lab.call.nextPart(core.ReasonTruncated)
	if err != nil {
		return err
	}
	lab.unread = par.data
	lab.applyPart(par)
	return nil
}

// Close ends the call on the serving side when the answer has not been read to its end. It unblocks a Read.
func (lab *laneAnswerBody) Close() error {
	lab.call.finish()
	lab.mut.Lock()
	defer lab.mut.Unlock()
	if lab.err == nil {
		lab.err, lab.unread = io.ErrClosedPipe, nil
	}
	return nil
}

func (lab *laneAnswerBody) feedback() core.Feedback {
	if fee := lab.endFeedback.Load(); fee != nil {
		return *fee
	}
	return core.NewFeedback(0, 1, 0, false)
}

// laneServer is the serving side of a lane.
type laneServer struct {
	session  *inboundSession
	key      laneKey
	sequence uint64
	batcher  *frameBatcher
	unpacker *wire.HeadUnpacker

	mut           sync.Mutex
	calls         map[uint64]*servedLaneCall // by number; also finished ones whose answers are kept
	finished      []finishedCall             // those in the order in which they finished
	retainedBytes int
	lastForgotten uint64 // highest number of the calls whose answers are not kept any more
	superseded    bool   // another lane has taken over the calls
}

// serveLane serves the calls of a lane until the stream of the lane ends. Its calls then wait for the next lane of the
// group, or end after a while.
func (inb *inboundSession) serveLane(nodeCtx context.Context, str *yamux.Stream, rea *wire.Reader, open *wire.LaneOpen) {
	onFinishedCalls := func(calls int) {
		inb.mesh.activeCalls.Add(-int64(calls))
		inb.activeCalls.Add(-int64(calls))
	}
	las := &laneServer{
		session: inb, key: laneKey{host: inb.host, incarnation: inb.incarnation, group: open.GetGroup()}, sequence: open.GetSequence(),
		batcher: newFrameBatcher(str, onFinishedCalls), unpacker: wire.NewHeadUnpacker(), calls: map[uint64]*servedLaneCall{},
	}
	if !inb.mesh.lanes.takeOver(las, open.GetResumed()) {
		_ = inb.raw.Close()
		return
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { las.batcher.run(func() { _ = inb.raw.Close() }) })
	for {
		msg, err := rea.Read()
		if err != nil {
			if wire.IsMalformed(err) {
				inb.closeMalformed()
			}
			break
		}
		if !las.dispatch(nodeCtx, msg) {
			inb.closeMalformed()
			break
		}
	}
	las.batcher.close()
	las.detach()
	tasks.Wait()
}

// dispatch acts on one frame of the caller; it returns false when the frame violates the protocol.
func (las *laneServer) dispatch(ctx context.Context, msg proto.Message) bool {
	switch frm := msg.(type) {
	case *wire.LaneCall:
		return las.startCall(ctx, frm)
	case *wire.LaneCredit:
		if slc := las.servedCall(frm.GetNumber()); slc != nil {
			return slc.addCredit()
		}
		return true
	case *wire.LaneCancel:
		if slc := las.servedCall(frm.GetNumber()); slc != nil {
			slc.cancel()
		}
		return true
	}
	return false
}

func (las *laneServer) servedCall(number uint64) *servedLaneCall {
	las.mut.Lock()
	defer las.mut.Unlock()
	return las.calls[number]
}

// startCall starts to serve a call; it returns false when the frame violates the protocol or the lane has ended. The
// remaining time counts from the arrival of the head, so that the nodes' clocks need not agree.
func (las *laneServer) startCall(ctx context.Context, frm *wire.LaneCall) bool {
	head, number := frm.GetHead(), frm.GetNumber()
	if head == nil || las.unpacker.UnpackCall(head) != nil || head.GetLength() != int64(len(frm.GetBody())) {
		return false
	}
	deadline := time.Now().Add(min(time.Duration(head.GetRemainingNanos()), maxRemainingTime))
	var body io.Reader
	if len(frm.GetBody()) > 0 {
		body = bytes.NewReader(frm.GetBody())
	}
	call, err := wire.ToCall(head, body, deadline, las.session.mesh.epoch.Add(time.Duration(head.GetAdmittedNanos())))
	if err != nil {
		return false
	}
	if las.session.activeCalls.Add(1) > maxSessionCalls {
		las.session.activeCalls.Add(-1)
		ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls from one node to this host are in flight")
		return las.batcher.add(&wire.LaneAnswer{Number: number, Head: wire.FromRefusal(ref)}, nil) == nil
	}
	las.session.mesh.activeCalls.Add(1)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	slc := &servedLaneCall{
		number: number, idempotent: call.Idempotent(), cancel: cancel, credit: make(chan struct{}, laneWindowParts), lane: las,
	}
	for range laneWindowParts - 1 {
		slc.credit <- struct{}{}
	}
	if !las.addCall(slc) {
		cancel()
		las.session.mesh.activeCalls.Add(-1)
		las.session.activeCalls.Add(-1)
		return false
	}
	mes := las.session.mesh
	mes.tasks.Go(func() { // the task of the session is still counted, so Run waits for this one too
		slc.serve(ctx, mes.settings.Handler, call)
		cancel()
		slc.finish()
	})
	return true
}

// addCall records a call; it returns false when another lane has taken over the calls.
func (las *laneServer) addCall(slc *servedLaneCall) bool {
	las.mut.Lock()
	defer las.mut.Unlock()
	if las.superseded {
		return false
	}
	las.calls[slc.number] = slc
	return true
}

// serve runs the handler and sends its answer. A frame that cannot be sent ends the answer.
func (slc *servedLaneCall) serve(ctx context.Context, han core.Handler, call *core.Call) {
	ans, err := handle(ctx, han, call)
	if err != nil {
		_ = slc.send(&wire.LaneAnswer{Number: slc.number, Head: wire.FromRefusal(err)})
		return
	}
	if ans.Body() != nil {
		defer func() { _ = ans.Body().Close() }()
	}
	first := wire.FromAnswer(ans)
	if proto.Size(first) > wire.MaxControlFrame {
		ref := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeRan, "the answer head is too long for a call between nodes")
		_ = slc.send(&wire.LaneAnswer{Number: slc.number, Head: wire.FromRefusal(ref)})
		return
	}
	totalBytes := 0
	for head := first; ; head = nil {
		data, end := readPart(ans, &totalBytes)
		var msg proto.Message = &wire.LanePart{Number: slc.number, Body: data, End: end}
		if head != nil {
			msg = &wire.LaneAnswer{Number: slc.number, Head: head, Body: data, End: end}
		}
		if slc.send(msg) != nil || end != nil {
			return
		}
		select {
		case <-slc.credit:
		case <-ctx.Done():
			// The call was cancelled or its deadline passed. The answer ends with a failure, so that the caller does not
			// treat the parts that it has received as the whole answer.
			ref := contextRefusal(ctx, core.OutcomeUnknown)
			_ = slc.send(&wire.LanePart{Number: slc.number, End: wire.FromFailure(ref, ans.Feedback())})
			return
		}
	}
}

// readPart returns the next part of the body, at most wire.MaxLaneBody bytes, and the end of the answer if the body ends
// with it. It returns after the first read that gives data, unless the Content-Length says that the whole body fits into
// one frame; then it reads on until the body ends or the frame is full.
func readPart(ans *core.Answer, totalBytes *int) ([]byte, *wire.AnswerEnd) {
	if ans.Body() == nil {
		return nil, wire.FromAnswerEnd(ans.Feedback())
	}
	buf, _ := laneBuffers.Get().(*[wire.MaxLaneBody]byte)
	defer laneBuffers.Put(buf)
	length, err := strconv.Atoi(ans.Header().Get("Content-Length"))
	fitsFrame := err == nil && length <= wire.MaxLaneBody
	got, err := 0, error(nil)
	for err == nil && got < len(buf) && (got == 0 || fitsFrame) {
		var read int
		read, err = ans.Body().Read(buf[got:])
		got += read
	}
	data := bytes.Clone(buf[:got])
	*totalBytes += got
	switch {
	case *totalBytes > wire.MaxAnswerBody:
		ref := core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		return nil, wire.FromFailure(ref, ans.Feedback())
	case err == nil:
		return data, nil
	case err == io.EOF: //nolint:errorlint // a refusal for a truncated answer may wrap io.EOF
		return data, wire.FromAnswerEnd(ans.Feedback())
	}
	return data, wire.FromFailure(err, ans.Feedback())
}

var laneBuffers = sync.Pool{New: func() any { return new([wire.MaxLaneBody]byte) }}
