//go:build review

// Command 3 shows that a caller is told that its request has not run although an upstream is at work on it.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"amaranthline/review/rig"
)

const (
	service   = "wuno96b"
	bodyBytes = 200 << 10
	bodyPart  = 4 << 10 // the caller sends its body in such parts
	partPause = 20 * time.Millisecond
	callers   = 16
	freezeFor = 5 * time.Second
)

// ledger records which requests upstreams began to work on.
type ledger struct {
	mut   sync.Mutex
	began map[string]bool
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	recordPath := flag.String("record", "review/3/record.txt", "file to write")
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

func run(rec *rig.Record, trouble bool) int {
	led := &ledger{began: map[string]bool{}}
	handle := func(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool { return answer(rec, led, ups, con, req) }
	var machines []rig.Machine
	for i := range 10 {
		zone := []string{"tunis-nord", "tunis-sud", "ariana"}[i%3]
		machines = append(machines, rig.Machine{IP: fmt.Sprintf("127.205.0.%d", i+1), Zone: zone, Service: []string{service, "huvo11a"}[i/5]})
	}
	fle, err := rig.NewFleet(rec, machines, handle)
	if err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	defer fle.Close()
	fle.WriteConfig(7, []rig.Route{{Name: "r-orders", Hostname: "jepu9.example", Prefix: "/puka111/", Type: "unsafe", Service: service, Timeout: 10}})
	if err := fle.Start(); err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	time.Sleep(2 * time.Second)
	return load(rec, fle, led, trouble)
}

// answer begins to work on a request when its head has arrived, and answers when the body is in and the work is done.
func answer(rec *rig.Record, led *ledger, ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
	if req.URL.Path == "/health" {
		_, err := con.Write(rig.Answer(200, "", map[string]string{"Instance-Id": ups.ID()}, []byte("healthy\n")))
		return err == nil
	}
	id := req.Header.Get("Attempt-Id")
	led.mut.Lock()
	led.began[id] = true
	led.mut.Unlock()
	rec.Note("upstream %s: begins to work on %s %s with a body of %d bytes", ups.IP, req.Method, id, req.ContentLength)
	read, err := io.Copy(io.Discard, req.Body)
	rec.Note("upstream %s: %d bytes of the body of %s read: %v", ups.IP, read, id, err)
	if err != nil {
		return false
	}
	time.Sleep(50 * time.Millisecond)
	_, err = con.Write(rig.Answer(200, id, map[string]string{"Server-Signature": "sig." + id}, []byte("booked "+id+"\n")))
	return err == nil
}

// load uploads bodies at one node, which is frozen meanwhile.
func load(rec *rig.Record, fle *rig.Fleet, led *ledger, trouble bool) int {
	nod := fle.Nodes[0]
	replies := map[string]rig.Reply{}
	var mut sync.Mutex
	for round := range 5 {
		var all sync.WaitGroup
		for who := range callers {
			all.Go(func() {
				time.Sleep(time.Duration(who) * 10 * time.Millisecond)
				id := fmt.Sprintf("r%dc%d", round, who)
				cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
				defer cal.Close()
				req := rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 10 * time.Second, Body: bytes.Repeat([]byte("o"), bodyBytes)}
				rep := cal.SendWith(req, func(con net.Conn) error { return upload(con, req) })
				rec.Note("caller: %s answered %v", id, rep)
				mut.Lock()
				replies[id] = rep
				mut.Unlock()
			})
		}
		time.Sleep(600 * time.Millisecond)
		if trouble {
			rec.Note("round %d: the node at %s is frozen for %v", round, nod.IP, freezeFor)
			nod.Signal(syscall.SIGSTOP)
			time.Sleep(freezeFor)
			nod.Signal(syscall.SIGCONT)
			rec.Note("round %d: the node goes on", round)
		}
		all.Wait()
		time.Sleep(3 * time.Second)
	}
	return verdict(rec, led, replies)
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

func verdict(rec *rig.Record, led *ledger, replies map[string]rig.Reply) int {
	led.mut.Lock()
	defer led.mut.Unlock()
	good, refused := 0, 0
	for id, rep := range replies {
		switch {
		case rep.Err != nil:
		case rep.Status == http.StatusOK:
			good++
		case rep.Status == 429 || rep.Status == 503 || rep.Status == 408 || rep.Status == 421:
			if led.began[id] {
				refused++
				rec.Note("REFUSED: %s was answered %d and has run", id, rep.Status)
			}
		}
	}
	text := fmt.Sprintf("%d requests sent, %d answered with success, %d refused as not run though an upstream had begun", len(replies), good, refused)
	rec.Note("%s", text)
	fmt.Println(text)
	switch {
	case refused > 0:
		return rig.Broken
	case good == 0:
		return rig.NotRun
	}
	return rig.Held
}
