package status

import (
	"net"
	"sync"
)

// Conn is a client's connection whose reads fail when an answer begins without a status line or with too many interim
// answers, or has a field without a valid name. A client of net/http closes such a connection and takes nothing more from it.
type Conn struct {
	net.Conn
	mut     sync.Mutex
	state   connState
	start   []byte // of the status line that is being read
	head    Head   // that is being read
	interim int    // interim answers to the current request
}

// connState is the part of the exchange at which a connection is.
type connState uint8

const (
	stateLine        connState = iota // the status line of an answer follows
	stateInterimHead                  // the rest of the head of an interim answer follows
	stateFinalHead                    // the rest of the head of a final answer follows
	stateBody                         // the body of a final answer follows
)

// MaxInterim is the maximum of interim answers to one request. Upstreams send at most a few, such as 100 and 103.
const MaxInterim = 16

// TooManyInterimError reports more than MaxInterim interim answers to one request.
type TooManyInterimError struct{}

// Error returns the limit.
func (*TooManyInterimError) Error() string {
	return "more than 16 interim answers came before the answer"
}

// NewConn returns a checked connection for a client that sends no request before the answer to the last one has ended, and
// that has written the whole of a request before its answer begins.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, state: stateBody} }

// Write sends bytes of a request, after which an answer is expected.
func (con *Conn) Write(data []byte) (int, error) {
	con.mut.Lock()
	con.state, con.start, con.head, con.interim = stateLine, con.start[:0], Head{}, 0
	con.mut.Unlock()
	return con.Conn.Write(data)
}

// Read returns bytes that begin with a status line where an answer is expected, or an error.
func (con *Conn) Read(data []byte) (int, error) {
	got, err := con.Conn.Read(data)
	con.mut.Lock()
	defer con.mut.Unlock()
	if checkErr := con.check(data[:got]); checkErr != nil {
		return 0, checkErr
	}
	return got, err
}

func (con *Conn) check(data []byte) error {
	for idx, char := range data {
		if con.state == stateBody {
			return nil
		}
		if con.state == stateLine {
			if err := con.checkLine(char); err != nil {
				return err
			}
		}
		if err := con.head.Check(data[idx : idx+1]); err != nil {
			return err
		}
		if con.head.Ended() {
			con.endHead()
		}
	}
	return nil
}

// endHead moves on to the next answer or to the body.
func (con *Conn) endHead() {
	if con.state == stateInterimHead {
		con.state, con.head = stateLine, Head{}
		return
	}
	con.state = stateBody
}

// checkLine adds a byte to the start of the status line and changes the state when the line has been judged.
func (con *Conn) checkLine(char byte) error {
	con.start = append(con.start, char)
	if err := CheckLine(con.start); err != nil {
		return err
	}
	if len(con.start) < LineBytes {
		return nil
	}
	con.state = stateFinalHead
	if con.start[LineBytes-4] == '1' {
		con.state = stateInterimHead
		if con.interim++; con.interim > MaxInterim {
			return &TooManyInterimError{}
		}
	}
	con.start = con.start[:0]
	return nil
}
