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
type session struct {
	pee *peer
	mux *yamux.Session
	raw net.Conn
	str *yamux.Stream // carries Hello and probes
	rea *wire.Reader
	wri *wire.Writer

	lane   *lane
	calls  atomic.Int64
	acks   atomic.Int64
	heard  atomic.Int64 // frames that arrived on other streams
	offset atomic.Int64 // nanoseconds from this node's clock to the peer's
	idle   atomic.Bool  // the next probe is up to probeIdle away
	kick   chan struct{}
	clock  clock
}

func newSession(pee *peer, mux *yamux.Session, raw net.Conn) *session {
	return &session{pee: pee, mux: mux, raw: raw, kick: make(chan struct{}, 1)}
}

func (ses *session) open(str *yamux.Stream) {
	ses.str = str
	ses.rea = wire.NewReader(str)
	ses.wri = wire.NewWriter(str)
}

// close ends the session and all its streams. The connection goes first, so that no blocked write delays the end.
func (ses *session) close() {
	_ = ses.raw.Close()
	_ = ses.mux.Close()
}

func (ses *session) release() {
	if ses.rea != nil {
		ses.rea.Release()
		ses.wri.Release()
	}
}

// begin counts a call and makes probes frequent; it reports false when the session is full.
func (ses *session) begin() bool {
	if ses.calls.Add(1) > maxStreams {
		ses.calls.Add(-1)
		return false
	}
	ses.pee.mes.active.Add(1)
	if ses.idle.CompareAndSwap(true, false) {
		select {
		case ses.kick <- struct{}{}:
		default:
		}
	}
	return true
}

func (ses *session) end() {
	ses.pee.used.Store(ses.pee.mes.now())
	ses.calls.Add(-1)
	ses.pee.mes.active.Add(-1)
}

// malformed ends the session because the peer broke the protocol.
func (ses *session) malformed() {
	ses.pee.mes.set.OnEvent(EventMalformed)
	_ = ses.raw.Close()
}

// remote returns a local time on the peer's monotonic clock. A time far away, as the zero time, is cut to a bound.
func (ses *session) remote(when time.Time) int64 {
	const bound = int64(1) << 62
	local := min(max(int64(when.Sub(ses.pee.mes.base)), -bound), bound)
	return local + ses.offset.Load()
}

func (ses *session) probe() *wire.Probe {
	load, leaving := ses.pee.mes.self()
	return &wire.Probe{SentNanos: ses.pee.mes.now(), Load: load, Leaving: leaving}
}

// readAck reads one answer to a probe and records what it shows.
func (ses *session) readAck() error {
	msg, err := ses.rea.Read()
	if err != nil {
		return err
	}
	now := ses.pee.mes.now()
	ack, ok := msg.(*wire.ProbeAck)
	if !ok || ack.GetSentNanos() < 0 || ack.GetSentNanos() > now {
		return fmt.Errorf("peer %s answered a probe with %v; run the same version on both nodes", ses.pee.host, msg)
	}
	rtt := now - ack.GetSentNanos()
	ses.offset.Store(ses.clock.add(rtt, ack.GetLocalNanos()+rtt/2-now))
	pst := core.NewPeerState(true, ack.GetLeaving(), ack.GetLoad(), time.Duration(rtt))
	ses.pee.state.Store(&pst)
	ses.acks.Add(1)
	return nil
}

// clock estimates the offset of the peer's clock; the error of a sample is at most half its round trip.
type clock struct {
	samples [offsetSamples]struct{ rtt, offset int64 }
	count   int
}

// add records a sample and returns the offset with the shortest round trip among the recent ones.
func (clo *clock) add(rtt, offset int64) int64 {
	clo.samples[clo.count%offsetSamples] = struct{ rtt, offset int64 }{rtt, offset}
	clo.count++
	best := clo.samples[0]
	for _, sam := range clo.samples[1:min(clo.count, offsetSamples)] {
		if sam.rtt < best.rtt {
			best = sam
		}
	}
	return best.offset
}

// watch probes the peer until the session ends. Reading and writing have their own goroutines, because both block
// on a silent connection.
func (ses *session) watch(ctx context.Context) {
	probes := make(chan *wire.Probe, 1)
	var tasks sync.WaitGroup
	tasks.Go(ses.readAcks)
	tasks.Go(ses.lane.run)
	tasks.Go(func() { ses.writeProbes(probes) })
	ses.probeLoop(ctx, probes)
	ses.pee.redial()
	close(probes)
	ses.close()
	tasks.Wait()
	ses.pee.show(false) // after the last answer to a probe, which would show the peer as up
	ses.release()
	ses.pee.mes.set.OnEvent(EventClosed)
}

func (ses *session) readAcks() {
	for {
		if err := ses.readAck(); err != nil {
			if wire.Malformed(err) {
				ses.pee.mes.set.OnEvent(EventMalformed)
			}
			_ = ses.raw.Close()
			return
		}
	}
}

func (ses *session) writeProbes(probes <-chan *wire.Probe) {
	for pro := range probes {
		if err := ses.wri.Write(pro); err != nil {
			_ = ses.raw.Close()
			return
		}
	}
}

// probeLoop counts the probes in a row that were not answered. A process that was paused counts one at most, because
// the timer fires once; so it reads the answers that wait before it judges the peer.
func (ses *session) probeLoop(ctx context.Context, probes chan<- *wire.Probe) {
	tick := time.NewTimer(probeBusy)
	defer tick.Stop()
	seen, missed := ses.acks.Load(), 0
	heard := ses.heard.Load()
	sent, waiting := time.Now(), false
	due := sent.Add(probeBusy) // when the timer fires
	for {
		select {
		case <-ctx.Done():
			return
		case <-ses.mux.CloseChan():
			return
		case <-ses.kick:
			// Most calls are answered before a probe would be; only one that stays silent needs it.
			if time.Until(due) > probeBusy {
				due = time.Now().Add(probeBusy)
				tick.Reset(probeBusy)
			}
			continue
		case <-tick.C:
		}
		switch acks := ses.acks.Load(); {
		case acks != seen:
			seen, missed = acks, 0
		case waiting:
			missed++
		}
		if missed >= maxMissed {
			ses.pee.mes.set.OnEvent(EventProbeTimeout)
			return
		}
		if ses.calls.Load() == 0 && ses.pee.unwanted() {
			return
		}
		// Answers to calls show as much as a probe would; one a second is still sent for the clock and the load.
		if now := ses.heard.Load(); now != heard && missed == 0 && time.Since(sent) < probeIdle {
			heard, waiting = now, false
			due = time.Now().Add(ses.interval(missed))
			tick.Reset(time.Until(due))
			continue
		}
		select {
		case probes <- ses.probe():
		default: // the write of an earlier probe still blocks, which counts as not answered
		}
		sent, waiting = time.Now(), true
		due = sent.Add(ses.interval(missed))
		tick.Reset(time.Until(due))
	}
}

// interval returns the time to the next check. The flag is set before the calls are read, so that a call that
// begins in between either is seen here or kicks the loop.
func (ses *session) interval(missed int) time.Duration {
	ses.idle.Store(true)
	if ses.calls.Load() == 0 && missed == 0 {
		return probeIdle
	}
	ses.idle.Store(false)
	return probeBusy
}
