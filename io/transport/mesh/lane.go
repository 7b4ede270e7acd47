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
// short answer another; frames that are ready at the same time go in one write.

// laneWindow is how many parts of an answer may be on their way; the first one starts it.
const laneWindow = 4

// maxOutbox is how many bytes may wait for a peer that does not read before further calls to it are refused.
const maxOutbox = 4 << 20

// errLaneEnded says that the lane of a session has ended.
var errLaneEnded = errors.New("the connection has ended; send to another host")

// outbox collects frames of many goroutines and writes what has come together.
type outbox struct {
	str  *yamux.Stream
	kick chan struct{}
	done chan struct{}

	mut     sync.Mutex
	filling *wire.Writer
	other   *wire.Writer
	calls   []*pending
	settled int // calls of the peer whose last frame is in filling
	ended   bool

	release func(calls int) // called for calls of the peer once their last frame has been written, or cannot be
}

func newOutbox(str *yamux.Stream, release func(int)) *outbox {
	return &outbox{
		str: str, kick: make(chan struct{}, 1), done: make(chan struct{}), release: release,
		filling: wire.NewWriter(str), other: wire.NewWriter(str),
	}
}

// add queues a frame; pen is the call that it starts, or nil.
func (box *outbox) add(msg proto.Message, pen *pending) error {
	box.mut.Lock()
	defer box.mut.Unlock()
	switch {
	case box.ended:
		return errLaneEnded
	case pen != nil && box.filling.Buffered() > maxOutbox:
		return core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "the peer does not read what waits for it")
	}
	if err := box.filling.Append(msg); err != nil {
		return err
	}
	if pen != nil {
		box.calls = append(box.calls, pen)
	}
	box.wake()
	return nil
}

func (box *outbox) wake() {
	select {
	case box.kick <- struct{}{}:
	default:
	}
}

// settle says that a call of the peer has no further frame. The call counts as in progress until its frames are written.
func (box *outbox) settle() {
	box.mut.Lock()
	defer box.mut.Unlock()
	if box.ended {
		box.release(1)
		return
	}
	box.settled++
	box.wake()
}

// run writes until the outbox ends; an error ends the session.
func (box *outbox) run(fail func()) {
	for {
		select {
		case <-box.kick:
		case <-box.done:
			return
		}
		box.mut.Lock()
		if box.ended {
			box.mut.Unlock()
			return
		}
		wri := box.filling
		box.filling, box.other = box.other, wri
		for i, pen := range box.calls {
			pen.sent.Store(true)
			box.calls[i] = nil
		}
		settled := box.settled
		box.calls, box.settled = box.calls[:0], 0
		box.mut.Unlock()
		err := wri.Flush()
		box.release(settled)
		if err != nil {
			fail()
			return
		}
	}
}

// end refuses further frames. Those that wait are not written.
func (box *outbox) end() {
	box.mut.Lock()
	defer box.mut.Unlock()
	if !box.ended {
		box.ended = true
		close(box.done)
		box.release(box.settled)
	}
}

// lane is the calling side.
type lane struct {
	ses *session
	str *yamux.Stream
	box *outbox

	mut     sync.Mutex
	last    uint64
	waiting map[uint64]*pending
	ended   bool
}

// openLane starts the stream; the peer learns of it with the first call.
func (ses *session) openLane() error {
	str, err := ses.mux.OpenStream()
	if err != nil {
		return err
	}
	lan := &lane{ses: ses, str: str, box: newOutbox(str, func(int) {}), waiting: map[uint64]*pending{}}
	if err := lan.box.add(&wire.LaneOpen{}, nil); err != nil {
		return err
	}
	ses.lane = lan
	return nil
}

// run reads answers until the session ends.
func (lan *lane) run() {
	var writing sync.WaitGroup
	writing.Go(func() { lan.box.run(func() { _ = lan.ses.raw.Close() }) })
	rea := wire.NewReader(lan.str)
	for {
		msg, err := rea.Read()
		if err != nil {
			if wire.Malformed(err) {
				lan.ses.malformed()
			}
			break
		}
		lan.ses.heard.Add(1)
		if !lan.take(msg) {
			lan.ses.malformed()
			break
		}
	}
	_ = lan.ses.raw.Close()
	lan.box.end()
	lan.fail()
	writing.Wait()
	rea.Release()
}

// take hands a message to the call that waits for it; it says false for one that cannot come here.
func (lan *lane) take(msg proto.Message) bool {
	switch frm := msg.(type) {
	case *wire.LaneAnswer:
		return lan.deliver(frm.GetNumber(), &part{head: frm.GetHead(), data: frm.GetBody(), end: frm.GetEnd()})
	case *wire.LanePart:
		return lan.deliver(frm.GetNumber(), &part{data: frm.GetBody(), end: frm.GetEnd()})
	}
	return false
}

func (lan *lane) deliver(number uint64, par *part) bool {
	lan.mut.Lock()
	pen := lan.waiting[number]
	if par.last() {
		delete(lan.waiting, number)
	}
	lan.mut.Unlock()
	if pen == nil {
		return true // the caller has gone
	}
	select {
	case pen.parts <- par:
		return true
	default:
		return false // more parts than the peer has credit for
	}
}

// fail ends the calls that wait.
func (lan *lane) fail() {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	lan.ended = true
	for _, pen := range lan.waiting {
		close(pen.lost)
	}
	clear(lan.waiting)
}

func (lan *lane) enter(pen *pending) bool {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	if lan.ended {
		return false
	}
	lan.last++
	pen.number = lan.last
	lan.waiting[pen.number] = pen
	return true
}

// leave forgets a call and says whether its answer was still due.
func (lan *lane) leave(pen *pending) bool {
	lan.mut.Lock()
	defer lan.mut.Unlock()
	_, due := lan.waiting[pen.number]
	delete(lan.waiting, pen.number)
	return due
}

// part is a piece of an answer; the first one has a head.
type part struct {
	head *wire.AnswerHead
	data []byte
	end  *wire.AnswerEnd
}

func (par *part) last() bool { return par.end != nil || par.head.GetReason() != "" }

// pending is a call on a lane whose answer is due.
type pending struct {
	ses    *session
	ctx    context.Context
	cancel context.CancelFunc
	number uint64
	sent   atomic.Bool // the frame may have been written
	parts  chan *part
	lost   chan struct{} // closed when the session ends
	once   sync.Once
}

// short says whether a call can go on a lane.
func short(call *core.Call) bool {
	if call.Body() == nil || call.Length() == 0 {
		return true
	}
	sized, ok := call.Body().(interface{ Len() int })
	return ok && call.Length() <= wire.MaxLaneBody && int64(sized.Len()) == call.Length()
}

// quick sends a short call and returns its answer once the first part has arrived.
func (ses *session) quick(ctx context.Context, cancel context.CancelFunc, call *core.Call, head *wire.CallHead) (*core.Answer, error) {
	if !ses.begin() {
		cancel()
		return nil, core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls to one host are in progress")
	}
	pen := &pending{ses: ses, ctx: ctx, cancel: cancel, parts: make(chan *part, laneWindow), lost: make(chan struct{})}
	ans, err := pen.exchange(call, head)
	if err != nil {
		pen.finish()
		return nil, err
	}
	return ans, nil
}

func (pen *pending) exchange(call *core.Call, head *wire.CallHead) (*core.Answer, error) {
	msg := &wire.LaneCall{Head: head}
	if call.Body() != nil && call.Length() > 0 {
		msg.Body = make([]byte, call.Length())
		if _, err := io.ReadFull(call.Body(), msg.GetBody()); err != nil {
			return nil, core.NewRefusal(core.ReasonBadRequest, core.OutcomeNotRun, "the body does not have the announced length").WithCause(err)
		}
	}
	if !pen.ses.lane.enter(pen) {
		return nil, notRun("no stream to host %q", pen.ses.pee.host)
	}
	msg.Number = pen.number
	if err := pen.ses.lane.box.add(msg, pen); err != nil {
		var ref *core.Refusal
		if errors.As(err, &ref) {
			return nil, err
		}
		return nil, notRun("no stream to host %q", pen.ses.pee.host).WithCause(err)
	}
	par, err := pen.next(core.ReasonPeerFailed)
	if err != nil {
		return nil, err
	}
	if par.head == nil {
		pen.ses.malformed()
		return nil, core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, "the answer has no head")
	}
	if err := wire.ToRefusal(par.head); err != nil {
		return nil, ownReason(pen.ctx, err)
	}
	bod := &laneBody{pen: pen, rest: par.data}
	bod.took(par)
	return core.NewAnswer(int(par.head.GetStatus()), wire.ToHeader(par.head.GetHeaders()), bod, bod.feedback), nil
}

// next waits for the next part of the answer.
func (pen *pending) next(reason core.Reason) (*part, error) {
	select {
	case par := <-pen.parts:
		return par, nil
	default:
	}
	select {
	case par := <-pen.parts:
		return par, nil
	case <-pen.ctx.Done():
		return nil, ended(pen.ctx, core.OutcomeUnknown)
	case <-pen.lost:
		select {
		case par := <-pen.parts: // it came before the end
			return par, nil
		default:
		}
		ref := notRun("the connection to host %q ended early", pen.ses.pee.host)
		if !pen.sent.Load() {
			return nil, ref
		}
		return nil, core.NewRefusal(reason, core.OutcomeUnknown, ref.Detail())
	}
}

// finish releases the call; the peer stops its work when the answer is still due.
func (pen *pending) finish() {
	pen.once.Do(func() {
		if pen.number != 0 && pen.ses.lane.leave(pen) {
			// Also when the call waits to be written, because it will be. A lane that has ended needs none.
			_ = pen.ses.lane.box.add(&wire.LaneCancel{Number: pen.number}, nil)
		}
		pen.cancel()
		pen.ses.end()
	})
}

// laneBody is the body of an answer on a lane. It returns io.EOF only after the end of a whole answer.
type laneBody struct {
	pen  *pending
	mut  sync.Mutex // Close may come from another goroutine than Read
	rest []byte
	size int
	err  error // what Read returns after the rest
	fee  atomic.Pointer[core.Feedback]
}

// took notes what a part says about the end. The caller holds the lock, or is the only user yet.
func (lab *laneBody) took(par *part) {
	if lab.size += len(par.data); lab.size > wire.MaxAnswerBody {
		lab.rest, lab.err = nil, core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		lab.pen.finish()
		return
	}
	if par.end == nil {
		return
	}
	fee := wire.ToFeedback(par.end.GetFeedback())
	lab.fee.Store(&fee)
	lab.err = io.EOF
	if err := wire.ToFailure(par.end); err != nil {
		lab.err = ownReason(lab.pen.ctx, err)
	}
	lab.pen.finish()
}

// Read returns data, io.EOF for a whole answer, or a refusal.
func (lab *laneBody) Read(data []byte) (int, error) {
	lab.mut.Lock()
	defer lab.mut.Unlock()
	for len(lab.rest) == 0 {
		if lab.err != nil {
			return 0, lab.err
		}
		if err := lab.more(); err != nil {
			lab.err = err
			lab.pen.finish()
		}
	}
	got := copy(data, lab.rest)
	lab.rest = lab.rest[got:]
	return got, nil
}

// more asks for the next part, now that the last one has been read.
func (lab *laneBody) more() error {
	// When the session has ended meanwhile, the rest may have come before.
	_ = lab.pen.ses.lane.box.add(&wire.LaneCredit{Number: lab.pen.number}, nil)
	par, err := lab.pen.next(core.ReasonTruncated)
	if err != nil {
		return err
	}
	lab.rest = par.data
	lab.took(par)
	return nil
}

// Close ends the call on the serving side when the answer has not been read to its end. It unblocks a Read.
func (lab *laneBody) Close() error {
	lab.pen.finish()
	lab.mut.Lock()
	defer lab.mut.Unlock()
	if lab.err == nil {
		lab.err, lab.rest = io.ErrClosedPipe, nil
	}
	return nil
}

func (lab *laneBody) feedback() core.Feedback {
	if fee := lab.fee.Load(); fee != nil {
		return *fee
	}
	return core.NewFeedback(0, 1, 0, false)
}

// laneEnd is the serving side of a lane.
type laneEnd struct {
	inb *inbound
	box *outbox

	mut   sync.Mutex
	calls map[uint64]*laneServing
}

// laneServing is one call of a lane that this node serves.
type laneServing struct {
	cancel context.CancelFunc
	credit chan struct{}
}

// lane serves the calls of a lane until its stream ends; then it waits for them.
func (inb *inbound) lane(ctx context.Context, str *yamux.Stream, rea *wire.Reader) {
	ctx, cancel := context.WithCancel(ctx)
	release := func(calls int) {
		inb.mes.active.Add(-int64(calls))
		inb.active.Add(-int64(calls))
	}
	lae := &laneEnd{inb: inb, box: newOutbox(str, release), calls: map[uint64]*laneServing{}}
	var tasks sync.WaitGroup
	tasks.Go(func() { lae.box.run(func() { _ = inb.raw.Close() }) })
	for {
		msg, err := rea.Read()
		if err != nil {
			if wire.Malformed(err) {
				inb.malformed()
			}
			break
		}
		if !lae.take(ctx, &tasks, msg) {
			inb.malformed()
			break
		}
	}
	cancel()
	lae.box.end()
	tasks.Wait()
}

func (lae *laneEnd) take(ctx context.Context, tasks *sync.WaitGroup, msg proto.Message) bool {
	switch frm := msg.(type) {
	case *wire.LaneCall:
		return lae.begin(ctx, tasks, frm)
	case *wire.LaneCredit:
		if las := lae.serving(frm.GetNumber()); las != nil {
			select {
			case las.credit <- struct{}{}:
			default:
				return false
			}
		}
		return true
	case *wire.LaneCancel:
		if las := lae.serving(frm.GetNumber()); las != nil {
			las.cancel()
		}
		return true
	}
	return false
}

func (lae *laneEnd) serving(number uint64) *laneServing {
	lae.mut.Lock()
	defer lae.mut.Unlock()
	return lae.calls[number]
}

// begin starts a call. The deadline counts from the arrival of the head, so that clocks need not agree.
func (lae *laneEnd) begin(ctx context.Context, tasks *sync.WaitGroup, frm *wire.LaneCall) bool {
	head, number := frm.GetHead(), frm.GetNumber()
	if head == nil || head.GetLength() != int64(len(frm.GetBody())) {
		return false
	}
	deadline := time.Now().Add(min(time.Duration(head.GetRemainingNanos()), maxRemaining))
	var src io.Reader
	if len(frm.GetBody()) > 0 {
		src = bytes.NewReader(frm.GetBody())
	}
	call, err := wire.ToCall(head, src, deadline, lae.inb.mes.base.Add(time.Duration(head.GetAdmittedNanos())))
	if err != nil {
		return false
	}
	if lae.inb.active.Add(1) > maxStreams {
		lae.inb.active.Add(-1)
		ref := core.NewRefusal(core.ReasonOverload, core.OutcomeNotRun, "too many calls from one host are in progress")
		return lae.box.add(&wire.LaneAnswer{Number: number, Head: wire.FromRefusal(ref)}, nil) == nil
	}
	lae.inb.mes.active.Add(1)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	las := &laneServing{cancel: cancel, credit: make(chan struct{}, laneWindow)}
	for range laneWindow - 1 {
		las.credit <- struct{}{}
	}
	lae.mut.Lock()
	lae.calls[number] = las
	lae.mut.Unlock()
	tasks.Go(func() {
		lae.serve(ctx, number, las, call)
		lae.mut.Lock()
		delete(lae.calls, number)
		lae.mut.Unlock()
		cancel()
		lae.box.settle()
	})
	return true
}

// serve runs the handler and sends its answer. An error of the outbox needs no answer: the session has ended.
func (lae *laneEnd) serve(ctx context.Context, number uint64, las *laneServing, call *core.Call) {
	ans, err := lae.inb.handle(ctx, call)
	if err != nil {
		_ = lae.box.add(&wire.LaneAnswer{Number: number, Head: wire.FromRefusal(err)}, nil)
		return
	}
	if ans.Body() != nil {
		defer func() { _ = ans.Body().Close() }()
	}
	first := wire.FromAnswer(ans)
	if proto.Size(first) > wire.MaxControlFrame {
		ref := core.NewRefusal(core.ReasonUpstreamFailed, core.OutcomeRan, "the head of the answer is too long")
		_ = lae.box.add(&wire.LaneAnswer{Number: number, Head: wire.FromRefusal(ref)}, nil)
		return
	}
	total := 0
	for head := first; ; head = nil {
		data, end := readPart(ans, &total)
		var msg proto.Message = &wire.LanePart{Number: number, Body: data, End: end}
		if head != nil {
			msg = &wire.LaneAnswer{Number: number, Head: head, Body: data, End: end}
		}
		if lae.box.add(msg, nil) != nil || end != nil {
			return
		}
		select {
		case <-las.credit:
		case <-ctx.Done():
			// The caller has gone or will not wait any longer; it must not take what it has for the whole.
			ref := ended(ctx, core.OutcomeUnknown)
			_ = lae.box.add(&wire.LanePart{Number: number, End: wire.FromFailure(ref, ans.Feedback())}, nil)
			return
		}
	}
}

// readPart reads what fits into a frame, and the end of the body if that comes with it. It waits for more than the next
// bytes only in a body whose short length is announced.
func readPart(ans *core.Answer, total *int) ([]byte, *wire.AnswerEnd) {
	if ans.Body() == nil {
		return nil, wire.FromEnd(ans.Feedback())
	}
	buf, _ := lanes.Get().(*[wire.MaxLaneBody]byte)
	defer lanes.Put(buf)
	length, err := strconv.Atoi(ans.Header().Get("Content-Length"))
	whole := err == nil && length <= wire.MaxLaneBody
	got, err := 0, error(nil)
	for err == nil && got < len(buf) && (got == 0 || whole) {
		var more int
		more, err = ans.Body().Read(buf[got:])
		got += more
	}
	data := bytes.Clone(buf[:got])
	*total += got
	switch {
	case *total > wire.MaxAnswerBody:
		ref := core.NewRefusal(core.ReasonTruncated, core.OutcomeUnknown, "the answer is longer than 64 MiB")
		return nil, wire.FromFailure(ref, ans.Feedback())
	case err == nil:
		return data, nil
	case err == io.EOF: //nolint:errorlint // a refusal for a cut answer may wrap io.EOF
		return data, wire.FromEnd(ans.Feedback())
	}
	return data, wire.FromFailure(err, ans.Feedback())
}

var lanes = sync.Pool{New: func() any { return new([wire.MaxLaneBody]byte) }}
