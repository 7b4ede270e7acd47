//go:build review

package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Upstream is the back end of one machine. It runs one request at a time on a connection and registers itself in the store.
type Upstream struct {
	IP, Zone, Service string
	Port, Slots       int
	// Handle answers one request on a connection; it returns false to close the connection. The body is read by Handle.
	Handle func(ups *Upstream, con *Conn, req *http.Request) bool

	store *Store
	rec   *Record

	mut      sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	coldFor  float64 // seconds, in the next entry only
	listener net.Listener
	conns    map[net.Conn]bool
	stopBeat chan struct{}
	number   atomic.Int64
}

// Conn is a connection of a node to an upstream.
type Conn struct {
	net.Conn
	Number int64
	Reader *bufio.Reader
	// Late is written where the next answer is expected.
	Late []byte
}

// NewUpstream returns an upstream that is not running.
func NewUpstream(ip, zone, service string, port int, sto *Store, rec *Record, handle func(*Upstream, *Conn, *http.Request) bool) *Upstream {
	return &Upstream{IP: ip, Zone: zone, Service: service, Port: port, Slots: 40, Handle: handle, store: sto, rec: rec, conns: map[net.Conn]bool{}}
}

// ID returns the id of the running incarnation.
func (ups *Upstream) ID() string {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	return ups.id
}

// Listen starts an incarnation under a new id; it does not register it.
func (ups *Upstream) Listen(id string) error {
	var lis net.Listener
	var err error
	for range 100 {
		if lis, err = net.Listen("tcp", Addr(ups.IP, ups.Port)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ups.mut.Lock()
	ups.id, ups.born, ups.sequence, ups.state, ups.listener = id, time.Now().UnixMilli(), 0, "ready", lis
	ups.mut.Unlock()
	ups.rec.Note("upstream %s starts as %s", ups.IP, id)
	go ups.accept(lis)
	return nil
}

// Register writes the entry in the store, and again each 1.5 s.
func (ups *Upstream) Register() {
	ups.beat()
	stop := make(chan struct{})
	ups.mut.Lock()
	ups.stopBeat = stop
	ups.mut.Unlock()
	go func() {
		tick := time.NewTicker(1500 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				ups.beat()
			case <-stop:
				return
			}
		}
	}()
}

func (ups *Upstream) beat() {
	ups.mut.Lock()
	ups.sequence++
	key, value := "servers/"+ups.id, map[string]any{
		"service": ups.Service, "address": Addr(ups.IP, ups.Port), "zone": ups.Zone, "version": "v1", "slots": ups.Slots,
		"state": ups.state, "cold_remaining_s": ups.coldFor, "sequence": ups.sequence, "born": ups.born,
	}
	ups.coldFor = 0
	ups.mut.Unlock()
	ups.store.Put(key, value)
}

// Drain reports that the upstream is leaving, and returns when the store has accepted that.
func (ups *Upstream) Drain() {
	ups.mut.Lock()
	ups.state = "draining"
	ups.mut.Unlock()
	ups.beat()
}

// BecomeCold writes an entry that says that the upstream is cold again.
func (ups *Upstream) BecomeCold(remaining time.Duration) {
	ups.mut.Lock()
	ups.coldFor = remaining.Seconds()
	ups.mut.Unlock()
	ups.beat()
}

// Crash ends the incarnation at once: its connections are closed and it sends nothing more. Its entry expires after three
// heartbeat intervals.
func (ups *Upstream) Crash() {
	ups.mut.Lock()
	id := ups.id
	if ups.listener != nil {
		_ = ups.listener.Close()
		ups.listener = nil
	}
	for con := range ups.conns {
		_ = con.Close()
	}
	ups.conns = map[net.Conn]bool{}
	if ups.stopBeat != nil {
		close(ups.stopBeat)
		ups.stopBeat = nil
	}
	ups.mut.Unlock()
	ups.rec.Note("upstream %s (%s) crashes", ups.IP, id)
	time.AfterFunc(4500*time.Millisecond, func() {
		if ups.ID() != id {
			ups.store.Delete("servers/" + id)
		}
	})
}

func (ups *Upstream) accept(lis net.Listener) {
	for {
		raw, err := lis.Accept()
		if err != nil {
			return
		}
		ups.mut.Lock()
		if ups.listener != lis {
			ups.mut.Unlock()
			_ = raw.Close()
			return
		}
		ups.conns[raw] = true
		ups.mut.Unlock()
		go ups.serve(&Conn{Conn: raw, Reader: bufio.NewReader(raw), Number: ups.number.Add(1)})
	}
}

func (ups *Upstream) serve(con *Conn) {
	defer func() {
		_ = con.Close()
		ups.mut.Lock()
		delete(ups.conns, con.Conn)
		ups.mut.Unlock()
	}()
	for {
		req, err := http.ReadRequest(con.Reader)
		if err != nil {
			return
		}
		if late := con.Late; late != nil {
			con.Late = nil
			if _, err := con.Write(late); err != nil {
				return
			}
		}
		if !ups.Handle(ups, con, req) {
			return
		}
	}
}

// ReadBody reads the body of a request to its end.
func ReadBody(req *http.Request) ([]byte, error) { return io.ReadAll(req.Body) }

// Answer returns an answer with a length and the identifier of its request.
func Answer(status int, id string, headers map[string]string, body []byte) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&buf, "Attempt-Id: %s\r\n", id)
	}
	for name, value := range headers {
		fmt.Fprintf(&buf, "%s: %s\r\n", name, value)
	}
	buf.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	buf.Write(body)
	return buf.Bytes()
}
