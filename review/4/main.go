//go:build review

// Command 4 shows that an upstream which answers before it has read a long body gets other bytes in place of the rest.
package main

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"amaranthline/review/rig"
)

const (
	service     = "huvo11a"
	bodyBytes   = 240 << 10
	answerBytes = 300 << 10
	earlyAfter  = 80 << 10 // bytes of the body that the upstream reads before it answers
	bodyPart    = 8 << 10  // the caller sends its body in such parts
	partPause   = 20 * time.Millisecond
	requests    = 12
)

// ledger records what the upstreams saw of each body.
type ledger struct {
	mut     sync.Mutex
	changed map[string]string // by Attempt-Id: where a body differs from the one that was sent
	read    map[string]int    // bytes of each body that were read
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	recordPath := flag.String("record", "review/4/record.txt", "file to write")
	flag.Parse()
	rec, err := rig.NewRecord(*recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.NotRun)
	}
	code := run(rec, trouble)
	rec.Note("exit code %d", code)
	rec.Close()
	os.Exit(code)
}

// bodyOf returns a body in which each eight bytes say where they stand.
func bodyOf(size int) []byte {
	data := make([]byte, 0, size)
	for len(data) < size {
		data = binary.BigEndian.AppendUint64(data, uint64(len(data)))
	}
	return data
}

func run(rec *rig.Record, trouble bool) int {
	led := &ledger{changed: map[string]string{}, read: map[string]int{}}
	handle := func(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
		return answer(rec, led, trouble, ups, con, req)
	}
	fle, err := rig.NewFleet(rec, []rig.Machine{{IP: "127.203.0.1", Zone: "tunis-nord", Service: service}, {IP: "127.203.0.2", Zone: "tunis-sud", Service: "lovo22d"}}, handle)
	if err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	defer fle.Close()
	fle.WriteConfig(7, []rig.Route{{Name: "r-upload", Hostname: "jepu9.example", Prefix: "/puka111/", Type: "unsafe", Service: service, Timeout: 6}})
	if err := fle.Start(); err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	time.Sleep(2 * time.Second)
	return load(rec, fle, led)
}

// answer reads a part of a long body, gives the answer and reads on; without trouble it reads the whole body first.
func answer(rec *rig.Record, led *ledger, trouble bool, ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
	if req.URL.Path == "/health" {
		_, err := con.Write(rig.Answer(200, "", map[string]string{"Instance-Id": ups.ID()}, []byte("healthy\n")))
		return err == nil
	}
	id := req.Header.Get("Attempt-Id")
	rec.Note("upstream %s connection %d: runs %s %s with a body of %d bytes", ups.IP, con.Number, req.Method, id, req.ContentLength)
	want := bodyOf(int(req.ContentLength))
	first := len(want)
	if trouble {
		first = earlyAfter
	}
	got := make([]byte, len(want))
	read, err := io.ReadFull(req.Body, got[:first])
	if err == nil {
		rec.Note("upstream %s: %d bytes of the body of %s are in; the answer begins", ups.IP, read, id)
		answered := make(chan error, 1)
		go func() {
			_, err := con.Write(rig.Answer(200, id, map[string]string{"Server-Signature": "sig." + id}, bytes.Repeat([]byte("a"), answerBytes)))
			answered <- err
		}()
		var rest int
		rest, err = io.ReadFull(req.Body, got[read:])
		read += rest
		if werr := <-answered; err == nil {
			err = werr
		}
	}
	led.mut.Lock()
	defer led.mut.Unlock()
	led.read[id] = read
	for i := range read {
		if got[i] != want[i] {
			at := i / 8 * 8
			led.changed[id] = fmt.Sprintf("at byte %d the upstream got the bytes that the caller sent at byte %d", at, binary.BigEndian.Uint64(got[at:]))
			break
		}
	}
	rec.Note("upstream %s: %s: %d bytes of the body read (%v) %s", ups.IP, id, read, err, led.changed[id])
	return err == nil
}

// load uploads bodies on kept connections, half of them at the machine of the upstream and half at the other one.
func load(rec *rig.Record, fle *rig.Fleet, led *ledger) int {
	good, cut := 0, 0
	body := bodyOf(bodyBytes)
	var mut sync.Mutex
	var all sync.WaitGroup
	for _, nod := range fle.Nodes {
		all.Go(func() {
			cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
			defer cal.Close()
			for i := range requests / 2 {
				id := fmt.Sprintf("%sn%02d", strings.ReplaceAll(nod.IP, ".", "-"), i)
				req := rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 5 * time.Second, Body: body}
				rep := cal.SendWith(req, func(con net.Conn) error { return upload(con, req) })
				whole := rep.Err == nil && rep.Status == http.StatusOK && len(rep.Body) == answerBytes && rep.Signature == "sig."+id
				rec.Note("caller: %s answered %d, %d of %d bytes, error %v", id, rep.Status, len(rep.Body), answerBytes, rep.Err)
				mut.Lock()
				if whole {
					good++
				} else {
					cut++
				}
				mut.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	led.mut.Lock()
	defer led.mut.Unlock()
	text := fmt.Sprintf("%d requests sent, %d whole answers, %d without; %d bodies changed on the way", requests, good, cut, len(led.changed))
	rec.Note("%s", text)
	for id, how := range led.changed {
		rec.Note("UNASKED: %s: %s", id, how)
	}
	fmt.Println(text)
	switch {
	case len(led.changed) > 0:
		return rig.Broken
	case good < requests/2:
		return rig.NotRun
	}
	return rig.Held
}

// upload sends the head at once and the body in parts, as over a slow line.
func upload(con net.Conn, req rig.Request) error {
	if _, err := con.Write(rig.Head(req)); err != nil {
		return err
	}
	for rest := req.Body; len(rest) > 0; {
		part := rest[:min(bodyPart, len(rest))]
		if _, err := con.Write(part); err != nil {
			return err
		}
		rest = rest[len(part):]
		time.Sleep(partPause)
	}
	return nil
}
