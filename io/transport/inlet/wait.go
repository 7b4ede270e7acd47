package inlet

import (
	"time"

	"amaranthline/core/state/bounds"
)

const (
	// idleMargin is how much longer than the limit an idle connection stays open. The caller counts from when it has read the
	// answer, which may have been in buffers for a while after it was written here.
	idleMargin = 2 * time.Second
	// lastLookTime is how long a connection whose time is over is still read: a request may have arrived while the process was
	// paused, and an expired deadline hides it.
	lastLookTime = 20 * time.Millisecond
	// headSlackBytes is how much longer than the limit of headers a head may be that is held back: its line ends and the
	// request line are not part of that limit.
	headSlackBytes = 4 << 10
)

// wait is the wait of a connection for its next request.
type wait struct {
	first    bool // no request has come yet
	since    time.Time
	until    time.Time // deadline of the socket; zero if the limits of http.Server apply
	lastLook bool
}

// startWait begins the wait for a request. The lock is held, or the connection is not in use yet.
func (con *Conn) startWait(first bool) {
	if con.settings.Bounds == nil {
		return
	}
	now := time.Now()
	con.wait = wait{first: first, since: now}
	con.wait.until = con.waitEnd(now)
	_ = con.applyDeadline() // fails only on a closed connection, whose next read fails too
}

// waitEnd returns when the wait ends by the limits that hold now. A new connection has the time of a head, as at http.Server,
// but no less than the default one: callers may open connections before they have a request.
func (con *Conn) waitEnd(now time.Time) time.Time {
	lim := con.settings.Bounds.At(now)
	if con.wait.first {
		return con.wait.since.Add(max(lim.HeaderTimeout, bounds.DefaultHeaderTimeout))
	}
	return con.wait.since.Add(lim.IdleTimeout + idleMargin)
}

// waiting reports whether the limits of this package, and not those that http.Server sets, bound the wait for a request.
func (con *Conn) waiting() bool { return con.phase == phaseHead && !con.wait.until.IsZero() }

// waitsOn decides after an expired deadline whether the connection is read on: the limit may have been raised meanwhile, and a
// request may have arrived with the end of the time. A wait never becomes shorter than it was when it began.
func (con *Conn) waitsOn() bool {
	if !con.waiting() || !con.headBy.IsZero() || con.closed {
		return false
	}
	now := time.Now()
	if end := con.waitEnd(now); end.After(now) {
		con.wait.until, con.wait.lastLook = end, false
	} else {
		if con.wait.lastLook {
			return false
		}
		con.wait.until, con.wait.lastLook = now.Add(lastLookTime), true
	}
	return con.applyDeadline() == nil
}

// endWait ends the wait with a complete head, and leaves further deadlines to http.Server. Those that it has set before are for
// the head, and hold on only if it reads the head itself.
func (con *Conn) endWait() {
	if con.wait.until.IsZero() {
		return
	}
	con.wait = wait{}
	if con.phase != phaseUnframed {
		con.deadline = time.Time{}
	}
	_ = con.applyDeadline() // fails only on a closed connection, whose next read fails too
}

func (con *Conn) headTimeout() time.Duration {
	if con.settings.Bounds == nil {
		return con.settings.HeadTimeout
	}
	return con.settings.Bounds.At(time.Now()).HeaderTimeout
}

func (con *Conn) maxHeadBytes() int {
	if con.settings.Bounds == nil {
		return con.settings.MaxHeadBytes
	}
	return con.settings.Bounds.At(time.Now()).HeaderBytes + headSlackBytes
}
