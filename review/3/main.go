//go:build review

// Command 3 shows that a planned stop breaks off requests at which upstreams are at work.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"amaranthline/review/rig"
)

const (
	frontService = "huvo11a"
	backService  = "kafi81c"
	parents      = 8
	callsEach    = 6
	callWork     = 1200 * time.Millisecond // of each call that a parent makes, one after the other
	stopAfter    = 300 * time.Millisecond  // from the first parent until SIGTERM; all are sent before it
	grace        = 6 * time.Second         // grace_s
	excusedUntil = 3 * time.Second         // requests sent later after SIGTERM may not be broken off at all
	deadlineGap  = 100 * time.Millisecond  // an answer so close before the deadline counts as given at the deadline
)

// call is one call of an upstream through the node beside it.
type call struct {
	node        string // that took it
	sent, ended time.Time
	deadline    time.Time
	reply       rig.Reply
	atWork      bool // an upstream was at work on it when it was answered
}

// ledger records the calls and which of them upstreams work on.
type ledger struct {
	mut     sync.Mutex
	calls   map[string]*call
	working map[string]bool
}

// player plays the case.
type player struct {
	rec *rig.Record
	led *ledger
	fle *rig.Fleet
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
	ply := &player{rec: rec, led: &ledger{calls: map[string]*call{}, working: map[string]bool{}}}
	machines := []rig.Machine{
		{IP: "127.207.0.1", Zone: "tunis-nord", Service: frontService},
		{IP: "127.207.0.2", Zone: "tunis-sud", Service: frontService},
		{IP: "127.207.0.3", Zone: "tunis-nord", Service: backService},
		{IP: "127.207.0.4", Zone: "tunis-sud", Service: backService},
	}
	var err error
	if ply.fle, err = rig.NewFleet(rec, machines, ply.answer); err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	defer ply.fle.Close()
	ply.fle.WriteConfig(7, []rig.Route{
		{Name: "r-orders", Hostname: "jepu9.example", Prefix: "/puka111/", Type: "unsafe", Service: frontService, Timeout: 10},
		{Name: "r-book", Hostname: "inner4.example", Prefix: "/cufi502/", Type: "unsafe", Service: backService, Timeout: 6},
	})
	if err := ply.fle.Start(); err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	time.Sleep(2 * time.Second)
	return ply.play(trouble)
}

// answer runs a request. One of a caller makes several calls of its own, one after the other.
func (ply *player) answer(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
	if _, err := rig.ReadBody(req); err != nil {
		return false
	}
	if req.URL.Path == "/health" {
		_, err := con.Write(rig.Answer(200, "", map[string]string{"Instance-Id": ups.ID()}, []byte("healthy\n")))
		return err == nil
	}
	id := req.Header.Get("Attempt-Id")
	ply.rec.Note("upstream %s runs %s", ups.IP, id)
	status := http.StatusOK
	remaining, _ := strconv.Atoi(req.Header.Get("Request-Deadline"))
	deadline := time.Now().Add(time.Duration(remaining) * time.Millisecond)
	if strings.HasPrefix(req.URL.Path, "/puka111/") {
		for i := range callsEach {
			if !ply.makeCall(ups, fmt.Sprintf("%s.%02d", id, i), deadline) {
				status = http.StatusInternalServerError
				break
			}
		}
	} else {
		ply.led.setWorking(id, true)
		time.Sleep(callWork)
		ply.led.setWorking(id, false)
	}
	_, err := con.Write(rig.Answer(status, id, map[string]string{"Server-Signature": "sig." + id}, []byte("booked "+id+"\n")))
	return err == nil
}

func (led *ledger) setWorking(id string, working bool) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.working[id] = working
}

// makeCall sends a call of an upstream to the node beside it. It expires at the deadline of its parent, or after 5 s.
func (ply *player) makeCall(ups *rig.Upstream, id string, deadline time.Time) bool {
	cal := rig.NewCaller(rig.Addr(ups.IP, ply.fle.Ports.Outbound))
	defer cal.Close()
	left := min(time.Until(deadline), 5*time.Second)
	cll := &call{node: ups.IP, sent: time.Now(), deadline: time.Now().Add(left)}
	cll.reply = cal.Send(rig.Request{Method: http.MethodPost, Host: "inner4.example", Path: "/cufi502/2f", ID: id, Deadline: left, Body: []byte("booking")})
	ply.led.mut.Lock()
	defer ply.led.mut.Unlock()
	cll.ended, cll.atWork = time.Now(), ply.led.working[id]
	ply.led.calls[id] = cll
	ply.rec.Note("upstream %s: its call %s was answered %v after %v", ups.IP, id, cll.reply, cll.ended.Sub(cll.sent).Round(time.Millisecond))
	return cll.reply.Err == nil && cll.reply.Status == http.StatusOK
}

// play sends requests to one node, which is stopped meanwhile.
func (ply *player) play(trouble bool) int {
	nod := ply.fle.Nodes[0]
	var all sync.WaitGroup
	for who := range parents {
		all.Go(func() {
			time.Sleep(time.Duration(who) * 20 * time.Millisecond)
			cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
			defer cal.Close()
			id := fmt.Sprintf("order%02d", who)
			rep := cal.Send(rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 9 * time.Second, Body: []byte("order")})
			ply.rec.Note("caller: %s answered %v", id, rep)
		})
	}
	time.Sleep(stopAfter)
	stopped := time.Now()
	if trouble {
		ply.rec.Note("SIGTERM to the node at %s", nod.IP)
		nod.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() {
			if nod.Running() {
				ply.rec.Note("SIGKILL to the node at %s", nod.IP)
				nod.Signal(syscall.SIGKILL)
			}
		})
	}
	all.Wait()
	return ply.verdict(nod, stopped)
}

func (ply *player) verdict(nod *rig.Node, stopped time.Time) int {
	ply.led.mut.Lock()
	defer ply.led.mut.Unlock()
	good, lost := 0, 0
	for id, cll := range ply.led.calls {
		whole := cll.reply.Err == nil && cll.reply.Signature == "sig."+id
		sent := cll.sent.Sub(stopped)
		switch {
		case whole:
			good++
		case cll.node == nod.IP && cll.atWork && sent > excusedUntil && cll.ended.Before(cll.deadline.Add(-deadlineGap)):
			lost++
			ply.rec.Note("LOST: %s, sent %.3f s after SIGTERM, was broken off %.3f s after it, %.3f s before its deadline, while an upstream was at work: %v",
				id, sent.Seconds(), cll.ended.Sub(stopped).Seconds(), cll.deadline.Sub(cll.ended).Seconds(), cll.reply)
		}
	}
	text := fmt.Sprintf("%d calls sent, %d answered by their upstreams, %d sent later than %v after SIGTERM and broken off at work", len(ply.led.calls), good, lost, excusedUntil)
	ply.rec.Note("%s", text)
	fmt.Println(text)
	switch {
	case lost > 0:
		return rig.Broken
	case good == 0:
		return rig.NotRun
	}
	return rig.Held
}
