//go:build review

// Command 2 shows that a caller gets the answer to a health check.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"amaranthline/review/rig"
)

const (
	service  = "huvo11a"
	faultyIP = "127.201.0.1"
	perPhase = 5 * time.Second        // length of the time in which an upstream sends second answers
	slotWait = 250 * time.Millisecond // of a health check at an upstream that has just become cold
	maxLate  = 1                      // second answers in that time, in which there are about 60 answers
)

// phase says which answers the upstream sends twice.
type phase int

const (
	none   phase = iota
	health       // that to the health check of a node that has just started
	calls        // that to a call before the health check of an upstream that is cold again
)

// tally counts what one upstream answered and how many of its answers it sent twice.
type tally struct {
	mut           sync.Mutex
	phase         phase
	until         time.Time // second answers are sent until then
	answers, late int
}

// begin starts the time in which the upstream sends second answers.
func (tal *tally) begin(pha phase) {
	tal.mut.Lock()
	defer tal.mut.Unlock()
	tal.phase, tal.until, tal.answers, tal.late = pha, time.Now().Add(perPhase), 0, 0
}

// sendTwice counts an answer and reports whether a second copy of it follows.
func (tal *tally) sendTwice(pha phase) bool {
	tal.mut.Lock()
	defer tal.mut.Unlock()
	tal.answers++
	if tal.phase != pha || !time.Now().Before(tal.until) || tal.late == maxLate {
		return false
	}
	tal.late++
	return true
}

// setPhase changes which answers are sent twice, and returns what it was.
func (tal *tally) setPhase(pha phase) phase {
	tal.mut.Lock()
	defer tal.mut.Unlock()
	old := tal.phase
	tal.phase = pha
	return old
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	recordPath := flag.String("record", "review/2/record.txt", "file to write")
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
	var tal tally
	handle := func(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
		if _, err := rig.ReadBody(req); err != nil {
			return false
		}
		id, answer, pha := req.Header.Get("Attempt-Id"), []byte(nil), calls
		if req.URL.Path == "/health" {
			pha = health
			rec.Note("upstream %s connection %d: health check", ups.IP, con.Number)
			if ups.IP == faultyIP && tal.setPhase(health) == calls {
				tal.setPhase(none)
				time.Sleep(slotWait)
			}
			answer = rig.Answer(200, "", map[string]string{"Instance-Id": ups.ID()}, []byte("healthy\n"))
		} else {
			rec.Note("upstream %s connection %d: runs %s %s", ups.IP, con.Number, req.Method, id)
			time.Sleep(20 * time.Millisecond)
			answer = rig.Answer(200, id, map[string]string{"Server-Signature": "sig." + id}, []byte("booked "+id+"\n"))
		}
		if ups.IP == faultyIP && tal.sendTwice(pha) && trouble {
			con.Late = answer
			rec.Note("upstream %s connection %d: a second copy of this answer follows late", ups.IP, con.Number)
		}
		_, err := con.Write(answer)
		return err == nil
	}
	fle, err := rig.NewFleet(rec, []rig.Machine{{IP: faultyIP, Zone: "tunis-nord", Service: service}, {IP: "127.201.0.2", Zone: "tunis-sud", Service: service}}, handle)
	if err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	defer fle.Close()
	fle.WriteConfig(7, []rig.Route{{Name: "r-orders", Hostname: "jepu9.example", Prefix: "/puka111/", Type: "unsafe", Service: service, Timeout: 6}})
	if err := fle.Start(); err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	time.Sleep(2 * time.Second)
	var res result
	for round := range 3 {
		rec.Note("round %d: SIGTERM to the node at %s, then start again", round, faultyIP)
		fle.Nodes[0].Stop()
		tal.begin(health)
		if err := fle.Nodes[0].Start(); err != nil {
			rec.Note("%v", err)
			return rig.NotRun
		}
		time.Sleep(300 * time.Millisecond)
		res.add(load(rec, fle, fmt.Sprintf("restart%d", round)))
		tal.note(rec)
	}
	for round := range 3 {
		tal.begin(none)
		time.AfterFunc(2*time.Second, func() {
			rec.Note("round %d: the upstream at %s is cold again", round, faultyIP)
			fle.Upstreams[0].BecomeCold(2 * time.Second)
			time.Sleep(40 * time.Millisecond) // the health check follows 100 ms after the entry
			tal.setPhase(calls)
		})
		res.add(load(rec, fle, fmt.Sprintf("cold%d", round)))
		tal.note(rec)
	}
	rec.Note("%v", res)
	fmt.Println(res)
	switch {
	case res.foreign > 0:
		return rig.Broken
	case res.good < res.sent/2:
		return rig.NotRun
	}
	return rig.Held
}

func (tal *tally) note(rec *rig.Record) {
	tal.mut.Lock()
	defer tal.mut.Unlock()
	rec.Note("the upstream at %s gave %d answers, %d of them were chosen to be sent twice", faultyIP, tal.answers, tal.late)
}

// result counts requests and their answers.
type result struct{ sent, good, foreign int }

func (res *result) add(other result) {
	res.sent, res.good, res.foreign = res.sent+other.sent, res.good+other.good, res.foreign+other.foreign
}

// String describes the result in one line.
func (res result) String() string {
	return fmt.Sprintf("%d requests sent, %d answered by the server, %d foreign successes", res.sent, res.good, res.foreign)
}

// load sends requests to the node beside the faulty upstream and checks their answers.
func load(rec *rig.Record, fle *rig.Fleet, name string) result {
	var res result
	cal := rig.NewCaller(rig.Addr(faultyIP, fle.Ports.Outbound))
	defer cal.Close()
	for i := range 65 {
		id := fmt.Sprintf("%sn%03d", name, i)
		rep := cal.Send(rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 5 * time.Second, Body: []byte("order")})
		res.sent++
		rec.Note("caller: %s answered %v", id, rep)
		switch {
		case rep.Err != nil || rep.Status >= 300:
		case rep.Signature != "sig."+id || string(rep.Body) != "booked "+id+"\n":
			res.foreign++
			rec.Note("MIXED: %s got a success that no server gave to it", id)
		default:
			res.good++
		}
		time.Sleep(60 * time.Millisecond)
	}
	return res
}
