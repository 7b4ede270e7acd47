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

// session is a connection that this node dialled.
type outboundSession struct {
	peer        *peer
	mux         *yamux.Session
	raw         net.Conn
	probeStream *yamux.Stream // carries Hello and probes
	probeReader *wire.Reader
	probeWriter *wire.Writer

	lane        *laneClient
	activeCalls atomic.Int64
	ackCount    atomic.Int64
	otherFrames atomic.Int64 // frames that arrived on other streams
	clockOffset atomic.Int64 // nanoseconds from this node's clock to the peer's
	slowProbing atomic.Bool  // the next probe is up to probeIdle away
	probeSoon   chan struct{}
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

// close ends the session and all its streams. The connection goes first, so that no blocked write delays the end.
func (ses *outboundSession) close() {
	_ = ses.raw.Close()
	_ = ses.mux.Close()
}

func (ses *outboundSession) releaseBuffers() {
	if ses.probeReader != nil {
		ses.probeReader.Release()
		ses.probeWriter.Release()
	}
}

// begin counts a call and makes probes frequent; it reports false when the session is full.
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

// malformed ends the session because the peer broke the protocol.
func (ses *outboundSession) closeMalformed() {
	ses.peer.mesh.settings.OnEvent(EventMalformed)
	_ = ses.raw.Close()
}

// remote returns a local time on the peer's monotonic clock. A time far away, as the zero time, is cut to a bound.
func (ses *outboundSession) toPeerClock(when time.Time) int64 {
	const bound = int64(1) << 62
	local := min(max(int64(when.Sub(ses.peer.mesh.epoch)), -bound), bound)
	return local + ses.clockOffset.Load()
}

func (ses *outboundSession) newProbe() *wire.Probe {
	load, leaving := ses.peer.mesh.localState()
	return &wire.Probe{SentNanos: ses.peer.mesh.nowNanos(), Load: load, Leaving: leaving}
}

// readAck reads one answer to a probe and records what it shows.
func (ses *outboundSession) readAck() error {
	msg, err := ses.probeReader.Read()
	if err != nil {
		return err
	}
	now := ses.peer.mesh.nowNanos()
	ack, ok := msg.(*wire.ProbeAck)
	if !ok || ack.GetSentNanos() < 0 || ack.GetSentNanos() > now {
		return fmt.Errorf("peer %s answered a probe with %v; run the same version on both nodes", ses.peer.host, msg)
	}
	rtt := now - ack.GetSentNanos()
	ses.clockOffset.Store(ses.offsets.add(rtt, ack.GetLocalNanos()+rtt/2-now))
	pst := core.NewPeerState(true, ack.GetLeaving(), ack.GetLoad(), time.Duration(rtt))
	ses.peer.state.Store(&pst)
	ses.ackCount.Add(1)
	return nil
}

// clock estimates the offset of the peer's clock; the error of a sample is at most half its round trip.
type offsetEstimator struct {
	samples [offsetSamples]struct{ rtt, offset int64 }
	count   int
}

// add records a sample and returns the offset with the shortest round trip among the recent ones.
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

// watch probes the peer until the session ends. Reading and writing have their own goroutines, because both block
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
	ses.peer.setReachable(false) // after the last answer to a probe, which would show the peer as up
	ses.releaseBuffers()
	ses.peer.mesh.settings.OnEvent(EventClosed)
}

func (ses *outboundSession) readAcks() {
	for {
		if err := ses.readAck(); err != nil {
			if wire.Malformed(err) {
				ses.peer.mesh.settings.OnEvent(EventMalformed)
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

// probeLoop counts the probes in a row that were not answered. A process that was paused counts one at most, because
// the timer fires once; so it reads the answers that wait before it judges the peer.
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
			// Most calls are answered before a probe would be; only one that stays silent needs it.
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
		// Answers to calls show as much as a probe would; one a second is still sent for the clock and the load.
		if frames := ses.otherFrames.Load(); frames != seenFrames && missed == 0 && time.Since(lastProbe) < probeIntervalIdle {
			seenFrames, awaitingAck = frames, false
			nextCheck = time.Now().Add(ses.checkInterval(missed))
			tick.Reset(time.Until(nextCheck))
			continue
		}
		select {
		case probes <- ses.newProbe():
		default: // the write of an earlier probe still blocks, which counts as not answered
		}
		lastProbe, awaitingAck = time.Now(), true
		nextCheck = lastProbe.Add(ses.checkInterval(missed))
		tick.Reset(time.Until(nextCheck))
	}
}

// interval returns the time to the next check. The flag is set before the calls are read, so that a call that
// begins in between either is seen here or kicks the loop.
func (ses *outboundSession) checkInterval(missed int) time.Duration {
	ses.slowProbing.Store(true)
	if ses.activeCalls.Load() == 0 && missed == 0 {
		return probeIntervalIdle
	}
	ses.slowProbing.Store(false)
	return probeIntervalBusy
}
