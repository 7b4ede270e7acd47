package inlet

import (
	"net"
	"sync"
	"time"

	"amaranthline/core/state/memory"
)

// Limit names the limit that a caller met; it is also the value of the metric label "limit".
type Limit string

// The limits of callers.
const (
	LimitConnections Limit = "connections" // a connection was closed in favour of a new one, or a new one at once
	LimitHeadBytes   Limit = "head_bytes"  // a head was too long
	LimitHeadTime    Limit = "head_time"   // a head was not complete in time
	LimitEmptyLines  Limit = "empty_lines" // too many empty lines came before a request
	LimitHeads       Limit = "heads"       // unfinished heads held too much memory together
	LimitRequests    Limit = "requests"    // requests held too much memory together
	LimitUnread      Limit = "unread"      // an answer was not read on
)

// Limits bounds what the connections of one or several listeners hold together. It is safe for concurrent use.
type Limits struct {
	connections int
	heads       *memory.Budget // held bytes of unfinished heads and of further requests, beyond minHeldBytes each
	requests    *memory.Budget // costs of the requests that net/http serves, beyond memory.FreeBytes each
	onLimit     func(lim Limit, remote net.Addr)

	mut   sync.Mutex
	conns map[*Conn]struct{}
}

// NewLimits returns the limits of a division of memory. It calls onLimit, unless it is nil, for each caller that met one.
func NewLimits(div memory.Division, onLimit func(lim Limit, remote net.Addr)) *Limits {
	if onLimit == nil {
		onLimit = func(Limit, net.Addr) {}
	}
	return &Limits{
		connections: div.Connections(), heads: memory.New(div.HeadBytes()), requests: memory.New(div.RequestBytes()), onLimit: onLimit,
		conns: map[*Conn]struct{}{},
	}
}

// Connections returns how many connections are open.
func (lim *Limits) Connections() int {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	return len(lim.conns)
}

// Requests returns the budget of the requests that are served.
func (lim *Limits) Requests() *memory.Budget { return lim.requests }

// HeadBytes returns how many bytes unfinished heads and further requests hold beyond the smallest buffer of each.
func (lim *Limits) HeadBytes() int { return lim.heads.Used() }

// crowdedFraction is the fraction of the connections from which slow callers are in the way of others.
const crowdedFraction = 0.75

// Crowded reports whether so many connections are open that slow callers are in the way of others.
func (con *Conn) Crowded() bool {
	lim := con.settings.Limits
	return lim != nil && float64(lim.Connections()) >= crowdedFraction*float64(lim.connections)
}

// RequestBytes returns what the requests that are served hold beyond the part that each may hold anyway.
func (lim *Limits) RequestBytes() int { return lim.requests.Used() }

// add registers a new connection. If there are too many, it closes the one that has shown least; it reports false if none
// may be closed.
func (lim *Limits) add(con *Conn) bool {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	for len(lim.conns) >= lim.connections {
		victim := lim.leastShown()
		if victim == nil {
			return false
		}
		lim.close(victim, LimitConnections)
	}
	lim.conns[con] = struct{}{}
	return true
}

func (lim *Limits) remove(con *Conn) {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	delete(lim.conns, con)
}

// close closes a connection that waits for a request. It does nothing to one whose request was passed on meanwhile. The
// caller holds the lock.
func (lim *Limits) close(victim *Conn, why Limit) {
	if !victim.stage.CompareAndSwap(stageWaiting, stageClosed) && !victim.stage.CompareAndSwap(stageLingering, stageClosed) {
		return
	}
	delete(lim.conns, victim)
	lim.heads.Release(int(victim.heldReserved.Swap(0)))
	_ = victim.Conn.Close()
	lim.onLimit(why, victim.RemoteAddr())
}

// leastShown returns the connection to close in favour of a new one: one that is closing anyway, else one that has not
// completed a request, else the one that has been idle longest; of several the one that has waited longest.
func (lim *Limits) leastShown() *Conn {
	var least *Conn
	var leastRank int
	var leastSince int64
	for con := range lim.conns {
		rank, since := con.rank(), con.waitingSince.Load()
		if rank != rankBusy && (least == nil || rank < leastRank || rank == leastRank && since < leastSince) {
			least, leastRank, leastSince = con, rank, since
		}
	}
	return least
}

// reserveHead takes bytes for the growth of an unfinished head. If they are not left, it closes the connections whose
// unfinished heads hold most; it reports false if the growing head is itself among these.
func (lim *Limits) reserveHead(con *Conn, bytes int) bool {
	if lim.heads.Reserve(bytes) {
		return true
	}
	lim.mut.Lock()
	defer lim.mut.Unlock()
	for !lim.heads.Reserve(bytes) {
		costliest := con
		most := con.heldReserved.Load() + int64(bytes)
		for other := range lim.conns {
			if held := other.heldReserved.Load(); held > most && other.rank() != rankBusy {
				costliest, most = other, held
			}
		}
		if costliest == con {
			return false
		}
		lim.close(costliest, LimitHeads)
	}
	return true
}

// The stages of a connection under limits.
const (
	stageWaiting   int32 = iota // for the next request to be complete
	stageBusy                   // a request was passed on to net/http
	stageLingering              // everything was sent, and the rest of what the caller sends is read off
	stageClosed                 // closed; nothing that is taken after it would be returned
)

// The ranks of connections, by what they have shown.
const (
	rankLingering int = iota
	rankNew           // no request was complete yet
	rankIdle
	rankBusy
)

// rank returns what the connection has shown.
func (con *Conn) rank() int {
	switch con.stage.Load() {
	case stageLingering, stageClosed:
		return rankLingering
	case stageBusy:
		return rankBusy
	}
	if con.shown.Load() {
		return rankIdle
	}
	return rankNew
}

// endRequest returns what a request held once it has been served. The connection waits for the next one then, unless that
// was begun ahead of its turn.
func (con *Conn) endRequest() {
	lim := con.settings.Limits
	if lim == nil {
		return
	}
	lim.requests.Release(int(con.charged.Swap(0)))
	con.impatient.Store(false)
	if len(con.row.begun) > 0 {
		return
	}
	con.waitingSince.Store(time.Now().UnixNano())
	con.stage.CompareAndSwap(stageBusy, stageWaiting)
}

// ReserveCall takes bytes that a call of a peer holds, and reports whether they were left.
func (lim *Limits) ReserveCall(bytes int) bool { return lim.requests.Reserve(bytes) }

// ReleaseCall gives back bytes that ReserveCall took.
func (lim *Limits) ReleaseCall(bytes int) { lim.requests.Release(bytes) }

// ChargeAnswer takes bytes that the answer to the present request holds while it is read, as Charge does. If they are not left, it
// closes the connections whose answers have been unread for longest.
func (con *Conn) ChargeAnswer(bytes int) bool {
	lim := con.settings.Limits
	for lim != nil && bytes > lim.requests.Limit()-lim.requests.Used() {
		if !lim.closeUnread() {
			break
		}
	}
	return con.Charge(bytes)
}

// closeUnread closes the connection whose present write has waited longest, and reports whether there was one that had waited for
// minUnreadTime.
func (lim *Limits) closeUnread() bool {
	lim.mut.Lock()
	defer lim.mut.Unlock()
	var victim *Conn
	oldest := time.Now().Add(-minUnreadTime).UnixNano()
	for con := range lim.conns {
		if since := con.writingSince.Load(); since != 0 && since <= oldest && con.charged.Load() > 0 {
			victim, oldest = con, since
		}
	}
	if victim == nil {
		return false
	}
	lim.requests.Release(int(victim.charged.Swap(0)))
	if lin, ok := victim.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lin.SetLinger(0) // without a reset, the end of the connection may complete an answer over HTTP/1.0
	}
	_ = victim.Conn.Close()
	lim.onLimit(LimitUnread, victim.RemoteAddr())
	return true
}

// Charge takes bytes that the present request holds, until it has been served, and reports whether they were left.
func (con *Conn) Charge(bytes int) bool {
	lim := con.settings.Limits
	if lim == nil || bytes <= 0 {
		return true
	}
	if !lim.requests.Reserve(bytes) {
		lim.onLimit(LimitRequests, con.RemoteAddr())
		return false
	}
	con.charged.Add(int64(bytes))
	if con.stage.Load() == stageClosed { // in between
		lim.requests.Release(int(con.charged.Swap(0)))
	}
	return true
}
