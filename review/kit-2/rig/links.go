//go:build review

package rig

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// links are proxies before the ports for peers. A connection begins with the name of the host that dialled, which tells the
// proxy between which machines it runs.
type links struct {
	hosts     []string
	mut       sync.Mutex
	isolated  map[string]bool
	listeners []net.Listener
	ended     bool
}

func newLinks(hosts []string) *links { return &links{hosts: hosts, isolated: map[string]bool{}} }

func (lin *links) isolate(host string, cut bool) {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.isolated[host] = cut
}

// cut reports whether bytes between two machines are held up; a machine that is not known yet is "".
func (lin *links) cut(one, other string) bool {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	return !lin.ended && (lin.isolated[one] || lin.isolated[other])
}

func (lin *links) close() {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.ended = true
	for _, lis := range lin.listeners {
		lis.Close()
	}
}

func (lin *links) listen(addr, target, host string) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		Fail("%v", err)
	}
	lin.listeners = append(lin.listeners, lis)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go lin.serve(con, target, host)
		}
	}()
}

func (lin *links) serve(con net.Conn, target, host string) {
	defer con.Close()
	start, from := []byte{}, ""
	buf := make([]byte, 4096)
	for from == "" && len(start) < 1024 {
		got, err := con.Read(buf)
		if err != nil {
			return
		}
		start = append(start, buf[:got]...)
		for _, name := range lin.hosts {
			if bytes.Contains(start, []byte(name)) {
				from = name
			}
		}
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	lin.wait(from, host)
	if _, err := out.Write(start); err != nil {
		return
	}
	go func() {
		lin.copy(con, out, from, host)
		con.Close()
	}()
	lin.copy(out, con, from, host)
}

func (lin *links) wait(from, host string) {
	for lin.cut(from, host) {
		time.Sleep(5 * time.Millisecond)
	}
}

func (lin *links) copy(dst, src net.Conn, from, host string) {
	buf := make([]byte, 32<<10)
	for {
		got, err := src.Read(buf)
		lin.wait(from, host)
		if got > 0 {
			if _, err := dst.Write(buf[:got]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
