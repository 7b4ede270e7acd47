package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

// The loss of a connection says nothing about the calls that were in flight on it. The serving node goes on with them
// for a while and keeps their answers. The calling node names them when it opens the next lane to the same process; for
// each it then gets the answer, or learns that the call never arrived, so that it can be sent to another host.

const (
	// maxResumeTime is how long a call that must not run twice waits for a new connection after its own was lost. Its
	// caller would otherwise never learn whether it has run. It waits for at most resumeFraction of the time until its
	// deadline, because the answer may never come.
	maxResumeTime  = 3 * time.Second
	resumeFraction = 0.5
	// idempotentResumeTime is the same for a call that may be repeated elsewhere. It covers a dial at once and nothing
	// more.
	idempotentResumeTime = 150 * time.Millisecond
	// detachedTime and idempotentDetachedTime are how long a served call goes on without a lane. They are longer than the
	// times above, because the two sides may see the loss at different times.
	detachedTime           = 5 * time.Second
	idempotentDetachedTime = 300 * time.Millisecond
	// Answers are kept for retainTime or until a lane keeps more than maxRetainedBytes of them. A connection is found to
	// be silent within a second, so older ones have arrived.
	retainTime       = 2 * time.Second
	maxRetainedBytes = 64 << 10
	frameOverhead    = 512 // bytes of a kept frame beside its body; an estimate
)

// suspendCalls keeps the pending calls of a lost lane for the next one, and ends those that need not wait for it.
func (lan *laneClient) suspendCalls() {
	pee := lan.session.peer
	pee.resumeMut.Lock()
	defer pee.resumeMut.Unlock()
	lan.mut.Lock()
	defer lan.mut.Unlock()
	lan.closed = true
	for _, lac := range lan.pendingCalls {
		wait := lac.resumeTime()
		if wait == 0 {
			close(lac.sessionLost)
			continue
		}
		lac.suspended.Store(true)
		lac.resumeTimer = time.AfterFunc(wait, func() { pee.abandonCall(lac) })
		pee.suspendedCalls[lac.number] = lac
	}
	clear(lan.pendingCalls)
}

// resumeTime returns how long the call waits for a new connection, or 0 if it need not.
func (lac *laneCall) resumeTime() time.Duration {
	if !lac.maybeWritten.Load() {
		return 0
	}
	if lac.idempotent {
		return idempotentResumeTime
	}
	deadline, _ := lac.ctx.Deadline() // Mesh.Forward sets one
	return max(0, min(maxResumeTime, time.Duration(resumeFraction*float64(time.Until(deadline)))))
}

// abandonCall ends a suspended call whose connection has not been replaced in time.
func (pee *peer) abandonCall(lac *laneCall) {
	pee.resumeMut.Lock()
	defer pee.resumeMut.Unlock()
	if pee.suspendedCalls[lac.number] == lac {
		delete(pee.suspendedCalls, lac.number)
		close(lac.sessionLost)
	}
}

// abandonCalls ends all suspended calls, because the connection will not be replaced.
func (pee *peer) abandonCalls() {
	pee.resumeMut.Lock()
	defer pee.resumeMut.Unlock()
	for number, lac := range pee.suspendedCalls {
		lac.resumeTimer.Stop()
		delete(pee.suspendedCalls, number)
		close(lac.sessionLost)
	}
}

// resumeCalls opens the lane of a new session and continues the suspended calls on it. Calls that another process of
// the host served have ended with that process.
func (pee *peer) resumeCalls(ses *outboundSession) {
	pee.resumeMut.Lock()
	defer pee.resumeMut.Unlock()
	pee.laneSequence++
	open := &wire.LaneOpen{Group: pee.laneGroup, Sequence: pee.laneSequence}
	for number, lac := range pee.suspendedCalls {
		lac.resumeTimer.Stop()
		delete(pee.suspendedCalls, number)
		if lac.session.Load().incarnation != ses.incarnation {
			close(lac.sessionLost)
			continue
		}
		ses.activeCalls.Add(1)
		lac.session.Store(ses)
		ses.lane.mut.Lock()
		ses.lane.pendingCalls[number] = lac
		ses.lane.mut.Unlock()
		open.Resumed = append(open.Resumed, &wire.LaneResume{Number: number, Parts: lac.parts.received(), Credits: lac.credits})
	}
	// An error means that the session has ended already; its calls are then suspended again.
	_ = ses.lane.batcher.add(open, nil)
}

// forget removes a call that its caller has finished from the calls that await an answer. It returns true if the call
// must be cancelled at the peer.
func (lac *laneCall) forget() bool {
	if lac.session.Load().lane.unregister(lac) {
		return true
	}
	if !lac.suspended.Load() {
		return false
	}
	pee := lac.session.Load().peer
	pee.resumeMut.Lock()
	defer pee.resumeMut.Unlock()
	if pee.suspendedCalls[lac.number] == lac {
		lac.resumeTimer.Stop()
		delete(pee.suspendedCalls, lac.number)
		return false
	}
	return lac.session.Load().lane.unregister(lac)
}

// grantCredit allows the peer to send one more part of the answer.
func (lac *laneCall) grantCredit() {
	pee := lac.session.Load().peer
	pee.resumeMut.Lock()
	defer pee.resumeMut.Unlock()
	lac.credits++
	// An error means that the session has ended; the next lane then carries the number of credits.
	_ = lac.session.Load().lane.batcher.add(&wire.LaneCredit{Number: lac.number}, nil)
}

// laneKey identifies the lanes from one process to this node that succeed each other.
type laneKey struct {
	host        string
	incarnation uint64
	group       uint64
}

// laneRegistry holds the newest lane of each group, and lost ones for detachedTime.
type laneRegistry struct {
	mut   sync.Mutex // taken when lanes start and end, not by calls
	lanes map[laneKey]*laneServer
}

func newLaneRegistry() *laneRegistry { return &laneRegistry{lanes: map[laneKey]*laneServer{}} }

// takeOver records the newest lane of a group, which continues the calls of the lane before it. It returns false for a
// lane that is older than the recorded one. The lock is held throughout, so that a third lane cannot take over calls
// that are still being moved.
func (lar *laneRegistry) takeOver(las *laneServer, resumed []*wire.LaneResume) bool {
	lar.mut.Lock()
	defer lar.mut.Unlock()
	previous := lar.lanes[las.key]
	if previous != nil && previous.sequence >= las.sequence {
		return false
	}
	lar.lanes[las.key] = las
	las.takeOver(previous, resumed)
	return true
}

func (lar *laneRegistry) remove(las *laneServer) {
	lar.mut.Lock()
	defer lar.mut.Unlock()
	if lar.lanes[las.key] == las {
		delete(lar.lanes, las.key)
	}
}

// takeOver continues the calls of the previous lane of the group, which may still be open at this side. It is called
// before the first call of the lane is read.
func (las *laneServer) takeOver(previous *laneServer, resumed []*wire.LaneResume) {
	wanted := map[uint64]*wire.LaneResume{}
	for _, res := range resumed {
		wanted[res.GetNumber()] = res
	}
	lastForgotten := ^uint64(0) // of an unknown lane anything may have been forgotten
	if previous != nil {
		lastForgotten = las.takeCalls(previous, wanted)
	}
	for number := range wanted {
		ref := notRunRefusal("the call had not arrived when its connection was lost")
		if number <= lastForgotten {
			ref = core.NewRefusal(core.ReasonPeerFailed, core.OutcomeUnknown, "the answer was lost with its connection")
		}
		_ = las.batcher.add(&wire.LaneAnswer{Number: number, Head: wire.FromRefusal(ref)}, nil)
	}
}

// takeCalls moves the wanted calls of the previous lane to this one, removes them from wanted and cancels the others.
// After it the previous lane starts no call any more, so a call that is still wanted will never run. It returns the
// highest number of the calls whose answers are not kept any more.
func (las *laneServer) takeCalls(previous *laneServer, wanted map[uint64]*wire.LaneResume) uint64 {
	calls, lastForgotten := previous.supersede()
	_ = previous.session.raw.Close()
	las.mut.Lock()
	las.lastForgotten = lastForgotten
	for number, slc := range calls {
		las.calls[number] = slc
	}
	las.mut.Unlock()
	for number, slc := range calls {
		res := wanted[number]
		if res == nil {
			slc.cancel()
		} else {
			delete(wanted, number)
		}
		slc.attach(las, res)
	}
	return lastForgotten
}

// supersede makes the lane refuse further calls and returns those that it serves or keeps the answers of.
func (las *laneServer) supersede() (calls map[uint64]*servedLaneCall, lastForgotten uint64) {
	las.mut.Lock()
	defer las.mut.Unlock()
	las.superseded = true
	calls, las.calls = las.calls, nil
	return calls, las.lastForgotten
}

// detach lets the calls of a lost lane go on for a while. When the caller has been silent, it has given up long before.
func (las *laneServer) detach() {
	if las.session.silent.Load() {
		las.session.mesh.lanes.remove(las)
		las.cancelCalls(func(*servedLaneCall) bool { return true })
		return
	}
	time.AfterFunc(idempotentDetachedTime, func() { las.cancelCalls(func(slc *servedLaneCall) bool { return slc.idempotent }) })
	time.AfterFunc(detachedTime, func() {
		las.session.mesh.lanes.remove(las)
		las.cancelCalls(func(*servedLaneCall) bool { return true })
	})
}

// cancelCalls cancels the selected calls, unless another lane has taken them over.
func (las *laneServer) cancelCalls(selected func(*servedLaneCall) bool) {
	las.mut.Lock()
	defer las.mut.Unlock()
	for _, slc := range las.calls {
		if selected(slc) {
			slc.cancel()
		}
	}
}

// retain keeps the answer of a finished call and forgets old ones. A lane that has been superseded keeps none.
func (las *laneServer) retain(slc *servedLaneCall) {
	las.mut.Lock()
	defer las.mut.Unlock()
	if las.superseded {
		return
	}
	now := time.Now()
	las.finished = append(las.finished, finishedCall{number: slc.number, bytes: slc.unacknowledgedBytes(), at: now})
	las.retainedBytes += las.finished[len(las.finished)-1].bytes
	forgotten := 0
	for _, fin := range las.finished {
		if las.retainedBytes <= maxRetainedBytes && now.Sub(fin.at) <= retainTime {
			break
		}
		forgotten++
		las.retainedBytes -= fin.bytes
		las.lastForgotten = max(las.lastForgotten, fin.number)
		delete(las.calls, fin.number)
	}
	las.finished = append(las.finished[:0], las.finished[forgotten:]...)
}

// finishedCall is a served call whose answer is kept.
type finishedCall struct {
	number uint64
	bytes  int
	at     time.Time
}

// servedLaneCall is one call of a lane that this node serves, or whose answer it keeps.
type servedLaneCall struct {
	number     uint64
	idempotent bool
	cancel     context.CancelFunc
	credit     chan struct{} // has one element for each further part that may be sent

	mut            sync.Mutex
	lane           *laneServer     // on which the answer is sent
	unacknowledged []proto.Message // frames of the answer for which no credit has arrived
	acknowledged   uint32          // frames before those
	done           bool
}

// send sends a frame of the answer and keeps it until the caller has it. A lost lane is no error: the next one carries
// the frame.
func (slc *servedLaneCall) send(msg proto.Message) error {
	slc.mut.Lock()
	defer slc.mut.Unlock()
	err := slc.lane.batcher.add(msg, nil)
	if err != nil && !errors.Is(err, errLaneClosed) {
		return err
	}
	slc.unacknowledged = append(slc.unacknowledged, msg)
	return nil
}

// addCredit records that the caller has read one more frame; it returns false if the caller has more credit than the
// window allows.
func (slc *servedLaneCall) addCredit() bool {
	slc.mut.Lock()
	defer slc.mut.Unlock()
	return slc.addCreditLocked()
}

func (slc *servedLaneCall) addCreditLocked() bool {
	if len(slc.unacknowledged) > 0 {
		slc.unacknowledged = slc.unacknowledged[1:]
		slc.acknowledged++
	}
	select {
	case slc.credit <- struct{}{}:
		return true
	default:
		return false
	}
}

// attach continues the answer on another lane; res says what the caller has of it, and is nil if it wants none.
func (slc *servedLaneCall) attach(las *laneServer, res *wire.LaneResume) {
	slc.mut.Lock()
	defer slc.mut.Unlock()
	slc.lane = las
	if !slc.done {
		las.session.activeCalls.Add(1)
	}
	if res != nil {
		for slc.acknowledged < res.GetCredits() && len(slc.unacknowledged) > 0 {
			slc.addCreditLocked()
		}
		arrived := min(int(max(res.GetParts(), slc.acknowledged)-slc.acknowledged), len(slc.unacknowledged))
		for _, msg := range slc.unacknowledged[arrived:] {
			_ = las.batcher.add(msg, nil)
		}
	}
	if slc.done {
		las.retain(slc)
	}
}

// finish records that the answer is complete or has failed.
func (slc *servedLaneCall) finish() {
	slc.mut.Lock()
	defer slc.mut.Unlock()
	slc.done = true
	slc.lane.batcher.finishCall()
	slc.lane.retain(slc)
}

// unacknowledgedBytes returns the size of the kept frames. The caller holds the lock.
func (slc *servedLaneCall) unacknowledgedBytes() int {
	bytes := 0
	for _, msg := range slc.unacknowledged {
		bytes += frameOverhead
		if bod, ok := msg.(interface{ GetBody() []byte }); ok {
			bytes += len(bod.GetBody())
		}
	}
	return bytes
}
