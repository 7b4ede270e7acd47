//go:build review

package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	Method, Host, Path, ID, Key string
	Deadline                    time.Duration
	Body                        []byte
}

// Reply is what the caller saw; Err is set if no whole answer came.
type Reply struct {
	Status    int
	Signature string
	Header    http.Header
	Body      []byte
	Err       error
}

// String describes the reply in one line.
func (rep Reply) String() string {
	if rep.Err != nil {
		return "no whole answer: " + rep.Err.Error()
	}
	return fmt.Sprintf("%d signature=%q body=%q", rep.Status, rep.Signature, firstBytes(rep.Body))
}

func firstBytes(body []byte) []byte { return body[:min(len(body), 60)] }

// Caller is a client with one kept connection.
type Caller struct {
	addr string
	con  net.Conn
	rea  *bufio.Reader
}

// NewCaller returns a caller of a node's outbound address.
func NewCaller(addr string) *Caller { return &Caller{addr: addr} }

// Head returns the head of a request.
func Head(req Request) []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\n", req.Method, req.Path, req.Host, req.ID, req.Deadline.Milliseconds())
	if req.Key != "" {
		fmt.Fprintf(&buf, "Api-Key: %s\r\n", req.Key)
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(req.Body))
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// Send sends a request and reads its answer.
func (cal *Caller) Send(req Request) Reply {
	return cal.SendWith(req, func(con net.Conn) error {
		_, err := con.Write(append(Head(req), req.Body...))
		return err
	})
}

// SendWith is Send with a function of its own that writes the request.
func (cal *Caller) SendWith(req Request, write func(net.Conn) error) Reply {
	if cal.con == nil {
		con, err := net.DialTimeout("tcp", cal.addr, time.Second)
		if err != nil {
			return Reply{Err: err}
		}
		cal.con, cal.rea = con, bufio.NewReader(con)
	}
	_ = cal.con.SetDeadline(time.Now().Add(req.Deadline + time.Second))
	written := make(chan error, 1)
	go func() { written <- write(cal.con) }()
	rsp, err := http.ReadResponse(cal.rea, &http.Request{Method: req.Method})
	if err != nil {
		cal.Close()
		<-written
		return Reply{Err: err}
	}
	rep := Reply{Status: rsp.StatusCode, Signature: rsp.Header.Get("Server-Signature"), Header: rsp.Header}
	rep.Body, rep.Err = io.ReadAll(rsp.Body)
	if werr := <-written; rep.Err != nil || rsp.Close || werr != nil {
		cal.Close()
	}
	return rep
}

// Close closes the connection.
func (cal *Caller) Close() {
	if cal.con != nil {
		_ = cal.con.Close()
		cal.con = nil
	}
}
