package mesh

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthline/core"
	"amaranthline/io/protocol/wire"
)

// outboundSession is a yamux session on a connection that this node dialled.
type outboundSession struct {
	peer        *peer
	mux         *yamux.Session
	raw         net.Conn      // TCP connection, below TLS if that is used
	probeStream *yamux.Stream // carries Hello and probes
	probeReader *wire.Reader
	probeWriter *wire.Writer

	lane        *laneClient
	incarnation uint64        // of the peer's process
	activeCalls atomic.Int64  // calls and control messages in flight
	ackCount    atomic.Int64  // answered probes
	otherFrames atomic.Int64  // frames that arrived on streams other than probeStream
	clockOffset atomic.Int64  // nanoseconds by which the peer's clock is ahead of this node's
	slowProbing atomic.Bool   // the next probe may be as late as probeIntervalIdle
	probeSoon   chan struct{} // asks probeLoop to shorten the time to the next probe
	offsets     offsetEstimator
}

func newOutboundSession(pee *peer, mux *yamux.Session, raw net.Conn) *outboundSession {
	return &outboundSession{peer: pee, mux: mux, raw: raw, probeSoon: make(chan struct{}, 1)}
}

func (ses *outboundSession) setProbeStream(str *yamux.Stream) {
	ses.probeStream = str
	ses.probeReader = wire.NewReader(str)
	ses.probeWriter = wire.NewWriter(str)
}

// close ends the session and all its streams.
func (ses *outboundSession) close() { endSession(ses.raw, ses.mux) }

func (ses *outboundSession) releaseBuffers() {
	if ses.probeReader != nil {
		ses.probeReader.Release()
		ses.probeWriter.Release()
	}
}

// beginCall counts a call or control message and makes probes frequent; it returns false when maxSessionCalls are in
// flight.
func (ses *outboundSession) beginCall() bool {
	if ses.activeCalls.Add(1) > maxSessionCalls {
		ses.activeCalls.Add(-1)
		return false
	}
	ses.peer.mesh.activeCalls.Add(1)
	if ses.slowProbing.CompareAndSwap(true, false) {
		select {
		case ses.probeSoon <- struct{}{}:
		default:
		}
	}
	return true
}

func (ses *outboundSession) endCall() {
	ses.peer.lastUsedNanos.Store(ses.peer.mesh.nowNanos())
	ses.activeCalls.Add(-1)
	ses.peer.mesh.activeCalls.Add(-1)
}

// closeMalformed ends the session because the peer violated the protocol.
func (ses *outboundSession) closeMalformed() {
	ses.peer.mesh.settings.OnEvent(EventProtocolViolation)
	_ = ses.raw.Close()
}

// toPeerClock converts a local time to nanoseconds on the peer's monotonic clock. A time far from now, such as the zero
// time, is clamped before the clock offset is added, so that the sum cannot overflow.
func (ses *outboundSession) toPeerClock(when time.Time) int64 {
	const bound = int64(1) << 62 // nanoseconds
	local := min(max(int64(when.Sub(ses.peer.mesh.epoch)), -bound), bound)
	return local + ses.clockOffset.Load()
}

func (ses *outboundSession) newProbe() *wire.Probe {
	load, leaving := ses.peer.mesh.localState()
	return &wire.Probe{SentNanos: ses.peer.mesh.nowNanos(), Load: load, Leaving: leaving}
}

// readAck reads the answer to one probe and updates the clock offset and the state of the peer.
func (ses *outboundSession) readAck() error {
	msg, err := ses.probeReader.Read()
	if err != nil {
		return err
	}
	now := ses.peer.mesh.nowNanos()
	ack, ok := msg.(*wire.ProbeAck)
	if !ok || ack.GetSentNanos() < 0 || ack.GetSentNanos() > now {
		return fmt.Errorf("host %q answered a probe with %v; run the same version on both nodes", ses.peer.host, msg)
	}
	rtt := now - ack.GetSentNanos()
	ses.clockOffset.Store(ses.offsets.add(rtt, ack.GetLocalNanos()+rtt/2-now))
	pst := core.NewPeerState(true, ack.GetLeaving(), ack.GetLoad(), time.Duration(rtt))
	ses.peer.state.Store(&pst)
	ses.ackCount.Add(1)
	return nil
}

// offsetEstimator estimates by how much the peer's clock is ahead; a sample's error is at most half its round-trip time.
type offsetEstimator struct {
	samples [offsetSamples]struct{ rtt, offset int64 }
	count   int
}

// add records a sample in nanoseconds and returns the offset of the recent sample with the shortest round-trip time.
func (est *offsetEstimator) add(rtt, offset int64) int64 {
	est.samples[est.count%offsetSamples] = struct{ rtt, offset int64 }{rtt, offset}
	est.count++
	best := est.samples[0]
	for _, sam := range est.samples[1:min(est.count, offsetSamples)] {
		if sam.rtt < best.rtt {
			best = sam
		}
	}
	return best.offset
}

// run probes the peer until the session ends. Reading and writing have their own goroutines, because both block
// on a silent connection.
func (ses *outboundSession) run(ctx context.Context) {
	probes := make(chan *wire.Probe, 1)
	var tasks sync.WaitGroup
	tasks.Go(ses.readAcks)
	tasks.Go(ses.lane.run)
	tasks.Go(func() { ses.writeProbes(probes) })
	ses.probeLoop(ctx, probes)
	ses.peer.awaitRedial()
	close(probes)
	ses.close()
	tasks.Wait()
	ses.peer.setReachable(false) // after the end of readAcks, which marks the peer as reachable
	ses.releaseBuffers()
	ses.peer.mesh.settings.OnEvent(EventClosed)
}

func (ses *outboundSession) readAcks() {
	for {
		if err := ses.readAck(); err != nil {
			if wire.IsMalformed(err) {
				ses.peer.mesh.settings.OnEvent(EventProtocolViolation)
			}
			_ = ses.raw.Close()
			return
		}
	}
}

func (ses *outboundSession) writeProbes(probes <-chan *wire.Probe) {
	for pro := range probes {
		if err := ses.probeWriter.Write(pro); err != nil {
			_ = ses.raw.Close()
			return
		}
	}
}

// probeLoop sends probes until the session ends, the connection is unwanted or maxMissedProbes in a row were not
// answered. After this process was suspended the timer fires only once, so at most one probe counts as missed, and the
// answers that arrived meanwhile are read before the session can be ended.
func (ses *outboundSession) probeLoop(ctx context.Context, probes chan<- *wire.Probe) {
	tick := time.NewTimer(probeIntervalBusy)
	defer tick.Stop()
	seenAcks, missed := ses.ackCount.Load(), 0
	seenFrames := ses.otherFrames.Load()
	lastProbe, awaitingAck := time.Now(), false
	nextCheck := lastProbe.Add(probeIntervalBusy) // when the timer fires
	for {
		select {
		case <-ctx.Done():
			return
		case <-ses.mux.CloseChan():
			return
		case <-ses.probeSoon:
			// A call has begun. The probe is brought forward, not sent immediately: most calls are answered before it is due.
			if time.Until(nextCheck) > probeIntervalBusy {
				nextCheck = time.Now().Add(probeIntervalBusy)
				tick.Reset(probeIntervalBusy)
			}
			continue
		case <-tick.C:
		}
		switch acks := ses.ackCount.Load(); {
		case acks != seenAcks:
			seenAcks, missed = acks, 0
		case awaitingAck:
			missed++
		}
		if missed >= maxMissedProbes {
			ses.peer.mesh.settings.OnEvent(EventProbeTimeout)
			return
		}
		if ses.activeCalls.Load() == 0 && ses.peer.unwanted() {
			return
		}
		// Frames on other streams show that the peer is reachable. One probe each probeIntervalIdle is still sent, for
		// the clock offset and the load.
		if frames := ses.otherFrames.Load(); frames != seenFrames && missed == 0 && time.Since(lastProbe) < probeIntervalIdle {
			seenFrames, awaitingAck = frames, false
			wait := min(ses.checkInterval(missed), probeIntervalIdle-time.Since(lastProbe))
			nextCheck = time.Now().Add(wait)
			tick.Reset(wait)
			continue
		}
		select {
		case probes <- ses.newProbe():
		default: // the write of an earlier probe still blocks; this probe counts as not answered
		}
		lastProbe, awaitingAck = time.Now(), true
		nextCheck = lastProbe.Add(ses.checkInterval(missed))
		tick.Reset(time.Until(nextCheck))
	}
}

// checkInterval returns the time until probeLoop next checks the peer. slowProbing is set before activeCalls is read,
// so that a call that begins in between either is counted here or signals probeSoon.
func (ses *outboundSession) checkInterval(missed int) time.Duration {
	ses.slowProbing.Store(true)
	if ses.activeCalls.Load() == 0 && missed == 0 {
		return probeIntervalIdle
	}
	ses.slowProbing.Store(false)
	return probeIntervalBusy
}
