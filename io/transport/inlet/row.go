package inlet

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Ahead begins requests before those sent ahead of them on their connection are answered.
type Ahead interface {
	// MayPass reports whether requests sent behind this one may be begun before it is answered.
	MayPass(hrq *http.Request) bool
	// Begin begins a request without a body while a number of requests sent before it are not answered, or returns nil if it
	// has to wait for its turn. The request must end when the context does. Begin must not block, nor use the connection.
	Begin(ctx context.Context, hrq *http.Request, unanswered int) Begun
}

// Begun is a request that was begun ahead of its turn.
type Begun interface {
	// Discard ends a request whose turn will not come. It must not block, nor use the connection.
	Discard()
}

// row is what a connection knows of the requests behind the one that is served.
type row struct {
	ahead  Ahead
	ctx    context.Context // of the requests that were begun; nil before the first
	cancel context.CancelFunc

	served    uint64        // number of the last request that was handed on
	current   *http.Request // the request that is served, or nil before its handler has called Serving
	passable  bool          // requests behind current may be begun, as far as current is concerned
	checked   bool          // passable was determined
	blocked   bool          // nothing more is begun during the turn of current
	closing   bool          // nothing more is begun at all, because the connection will be closed
	begun     []numbered
	looked    int // held bytes that belong to begun requests
	scan      headScan
	arrivals  []arrival
	arrivedAt time.Time // of the last byte of the head that was handed on last; zero if nobody held it back
}

// numbered is a begun request with the number that it has on its connection.
type numbered struct {
	Begun
	number uint64
}

// arrival says when the held bytes up to a position had arrived.
type arrival struct {
	end int
	at  time.Time
}

const (
	// arrivalStep is the precision of arrivals.
	arrivalStep = 10 * time.Millisecond
	// maxArrivals bounds the arrivals that are kept. Bytes beyond count as arrived when the last known ones did.
	maxArrivals = 64
)

// Serving tells the connection which request net/http serves now. It returns the request as it was begun ahead of its turn,
// or nil, and how long the request has waited since its head was complete.
func (con *Conn) Serving(hrq *http.Request) (beg Begun, waited time.Duration) {
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.phase == phaseUnframed || con.row.ahead == nil {
		return nil, 0
	}
	con.row.current, con.row.checked, con.row.blocked = hrq, false, false
	if hrq.Close {
		con.row.closing = true
	}
	if !con.row.arrivedAt.IsZero() {
		waited = time.Since(con.row.arrivedAt)
	}
	if len(con.row.begun) > 0 && con.row.begun[0].number == con.row.served {
		beg = con.row.begun[0].Begun
		con.row.begun = con.row.begun[1:]
		con.row.passable, con.row.checked = true, true
		con.countBegun(-1)
	}
	con.lookAhead()
	return beg, waited
}

// MayClose reports whether the answer to the present request may close the connection without loss: no request behind it
// was begun. If it reports true, none will be.
func (con *Conn) MayClose() bool {
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.begunBehind() {
		return false
	}
	con.row.closing = true
	return true
}

// Answering tells the connection that the answer to the present request is about to be written. It reports whether requests
// behind it were begun. No more are begun during this turn: an answer that breaks off ends the connection, and they would be
// lost.
func (con *Conn) Answering() (begunBehind bool) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.row.blocked = true
	return con.begunBehind()
}

// begunBehind reports whether a request behind the present one was begun.
func (con *Conn) begunBehind() bool {
	last := len(con.row.begun) - 1
	return last >= 0 && con.row.begun[last].number > con.row.served
}

// lookAhead begins the requests that are held complete behind the one that is served, up to the first that has to wait.
func (con *Conn) lookAhead() {
	row := &con.row
	for con.phase == phaseServed && row.current != nil && !row.blocked && !row.closing && len(con.held) > row.looked {
		if !row.checked {
			row.passable, row.checked = row.ahead.MayPass(row.current), true
		}
		rest := con.held[row.looked:]
		if !row.passable || rest[0] == '\r' || rest[0] == '\n' {
			row.blocked = true
			return
		}
		length := row.scan.end(rest)
		if length == 0 {
			return
		}
		var hrq *http.Request
		if isOrdinary(rest[:length]) {
			hrq = row.scan.parseBodiless(rest[:length])
		}
		if hrq == nil {
			row.blocked = true
			return
		}
		beg := con.begin(hrq)
		if beg == nil {
			row.blocked = true
			return
		}
		row.begun = append(row.begun, numbered{beg, row.served + uint64(len(row.begun)) + 1})
		row.looked += length
		row.scan = headScan{}
		row.closing = hrq.Close
	}
}

// begin begins a request, or returns nil if it has to wait.
func (con *Conn) begin(hrq *http.Request) Begun {
	row := &con.row
	if row.ctx == nil {
		row.ctx, row.cancel = context.WithCancel(context.Background())
	}
	con.countBegun(1) // before the check, so that WaitBegun misses no request
	if !con.listener.ending.Load() {
		if beg := row.ahead.Begin(row.ctx, hrq, len(row.begun)+1); beg != nil {
			return beg
		}
	}
	con.countBegun(-1)
	return nil
}

// parseBodiless returns the request with this complete head, or nil if it has a body or is not one that an ordinary
// HTTP/1.1 server passes to its handler.
func (hsc *headScan) parseBodiless(head []byte) *http.Request {
	if length, ok := hsc.bodyLength(head); !ok || length != 0 {
		return nil
	}
	reader, _ := headReaders.Get().(*bufio.Reader)
	reader.Reset(bytes.NewReader(head))
	hrq, err := http.ReadRequest(reader) // keeps no reference to the reader of a request without a body
	reader.Reset(nil)
	headReaders.Put(reader)
	if err != nil || !hrq.ProtoAtLeast(1, 1) || hrq.ProtoMajor != 1 || hrq.Header.Get("Expect") != "" || hrq.Header.Get("Upgrade") != "" {
		return nil
	}
	if !isPlain(head, hrq) {
		return nil
	}
	return hrq
}

// headReaders are reused, because one costs more than an ordinary head.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// isPlain reports whether a head has none of the forms that http.ReadRequest accepts and the server of net/http may refuse: a
// request must not run that is then refused in its turn.
func isPlain(head []byte, hrq *http.Request) bool {
	for _, char := range head {
		if char < ' ' && char != '\t' && char != '\r' && char != '\n' || char == 0x7f {
			return false
		}
	}
	for name := range hrq.Header {
		if strings.Contains(name, " ") {
			return false
		}
	}
	return hrq.Host != "" && !strings.ContainsFunc(hrq.Host, func(char rune) bool {
		return (char < 'a' || char > 'z') && (char < 'A' || char > 'Z') && (char < '0' || char > '9') && !strings.ContainsRune("-._:[]", char)
	})
}

// takeHead notes that a head of a number of bytes is handed on from the start of the held bytes, or directly from the socket
// if none are held.
func (con *Conn) takeHead(length int) {
	row := &con.row
	row.served++
	row.current, row.arrivedAt = nil, time.Time{}
	for _, arr := range row.arrivals {
		if arr.end >= length {
			row.arrivedAt = arr.at
			break
		}
	}
}

// dropHeld notes that bytes were taken from the start of the held ones.
func (con *Conn) dropHeld(count int) {
	row := &con.row
	if row.looked = max(row.looked-count, 0); row.looked == 0 {
		row.scan = headScan{}
	}
	kept := row.arrivals[:0]
	for _, arr := range row.arrivals {
		if arr.end -= count; arr.end > 0 {
			kept = append(kept, arr)
		}
	}
	row.arrivals = kept
}

// noteArrival records when the last held bytes arrived behind a request that was being served.
func (con *Conn) noteArrival() {
	row, now := &con.row, time.Now()
	if last := len(row.arrivals) - 1; last >= 0 && (now.Sub(row.arrivals[last].at) < arrivalStep || last+1 >= maxArrivals) {
		row.arrivals[last].end = len(con.held)
		return
	}
	row.arrivals = append(row.arrivals, arrival{len(con.held), now})
}

// endTurn discards a begun request whose turn has passed without its handler, as that of a request that net/http refuses.
func (con *Conn) endTurn() {
	row := &con.row
	row.current = nil
	for len(row.begun) > 0 && row.begun[0].number <= row.served {
		row.begun[0].Discard()
		row.begun = row.begun[1:]
		con.countBegun(-1)
	}
}

// discardBegun ends all begun requests, because nobody waits for their answers or they cannot be sent any more.
func (con *Conn) discardBegun() {
	row := &con.row
	row.closing = true
	if row.cancel != nil {
		row.cancel()
	}
	for _, beg := range row.begun {
		beg.Discard()
	}
	con.countBegun(-len(row.begun))
	row.begun = nil
}

func (con *Conn) countBegun(delta int) { con.listener.begun.Add(int64(delta)) }
