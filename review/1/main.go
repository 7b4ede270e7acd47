//go:build review

// Command 1 shows that a non-idempotent request runs twice after a second copy of a 421 answer.
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
	service    = "wuno96b"
	callers    = 4
	faultyTime = 5 * time.Second // length of the time in which an upstream sends second answers
	lateShare  = 0.03            // of its answers, the most that it sends twice in that time
	faultyIP   = "127.202.0.1"
)

// ledger records at which upstreams each request ran.
type ledger struct {
	mut           sync.Mutex
	runs          map[string][]string
	until         time.Time // second answers are sent until then
	answers, late int       // of the faulty upstream since the last change of until
}

func (led *ledger) ran(id, place string) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.runs[id] = append(led.runs[id], place)
}

func main() {
	// TROUBLE=0 leaves out both disruptions, TROUBLE=crash the second answers only.
	trouble, late := os.Getenv("TROUBLE") != "0", os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "crash"
	recordPath := flag.String("record", "review/1/record.txt", "file to write")
	flag.Parse()
	rec, err := rig.NewRecord(*recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.NotRun)
	}
	code := run(rec, trouble, late)
	rec.Note("exit code %d", code)
	rec.Close()
	os.Exit(code)
}

// handler returns the function that answers requests at all upstreams.
func handler(rec *rig.Record, led *ledger, late bool) func(*rig.Upstream, *rig.Conn, *http.Request) bool {
	return func(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
		if _, err := rig.ReadBody(req); err != nil {
			return false
		}
		id, own := req.Header.Get("Attempt-Id"), ups.ID()
		if ups.IP == faultyIP {
			led.mut.Lock()
			led.answers++
			led.mut.Unlock()
		}
		if req.URL.Path == "/health" {
			_, err := con.Write(rig.Answer(200, "", map[string]string{"Instance-Id": own}, []byte("healthy\n")))
			return err == nil
		}
		if target := req.Header.Get("Target-Instance"); target != "" && target != own {
			time.Sleep(5 * time.Millisecond)
			answer := rig.Answer(421, id, map[string]string{"Instance-Id": own, "Not-Executed": "1"}, []byte("another instance\n"))
			rec.Note("upstream %s (%s) connection %d: rejects %s for %s with 421", ups.IP, own, con.Number, id, target)
			led.mut.Lock()
			defer led.mut.Unlock()
			if late && ups.IP == faultyIP && time.Now().Before(led.until) && float64(led.late+1) <= lateShare*float64(led.answers) {
				con.Late = answer
				led.late++
				rec.Note("upstream %s connection %d: a second copy of that answer follows late", ups.IP, con.Number)
			}
			_, err := con.Write(answer)
			return err == nil
		}
		led.ran(id, ups.IP)
		rec.Note("upstream %s (%s) connection %d: runs %s %s", ups.IP, own, con.Number, req.Method, id)
		time.Sleep(30 * time.Millisecond)
		_, err := con.Write(rig.Answer(200, id, map[string]string{"Server-Signature": "sig." + id}, []byte("booked "+id+"\n")))
		return err == nil
	}
}

func run(rec *rig.Record, trouble, late bool) int {
	led := &ledger{runs: map[string][]string{}}
	machines := []rig.Machine{
		{IP: faultyIP, Zone: "tunis-nord", Service: service},
		{IP: "127.202.0.2", Zone: "tunis-sud", Service: service},
		{IP: "127.202.0.3", Zone: "tunis-sud", Service: service},
		{IP: "127.202.0.4", Zone: "ariana", Service: service},
	}
	fle, err := rig.NewFleet(rec, machines, handler(rec, led, late))
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
	sent, good := 0, 0
	for round := range 3 {
		led.mut.Lock()
		led.until, led.answers, led.late = time.Now().Add(faultyTime), 0, 0
		led.mut.Unlock()
		for phase, count := range []int{30, 90} {
			if phase > 0 && trouble {
				crash(rec, fle.Upstreams[0], round)
			}
			one, two := load(rec, fle.Nodes[0], fmt.Sprintf("r%dp%d", round, phase), count)
			sent, good = sent+one, good+two
		}
		led.mut.Lock()
		rec.Note("round %d: the upstream at %s gave %d answers, %d of them twice", round, faultyIP, led.answers, led.late)
		led.mut.Unlock()
		time.Sleep(4 * time.Second)
	}
	return verdict(rec, led, sent, good)
}

// crash ends the upstream between two requests. It is back after 300 ms under a new id and registers itself 700 ms later.
func crash(rec *rig.Record, ups *rig.Upstream, round int) {
	time.Sleep(200 * time.Millisecond)
	ups.Crash()
	time.Sleep(300 * time.Millisecond)
	if err := ups.Listen(fmt.Sprintf("i-again%d", round)); err != nil {
		rec.Note("%v", err)
	}
	time.AfterFunc(700*time.Millisecond, ups.Register)
}

// load sends requests of several callers to one node and returns how many were sent and how many got their own answer.
func load(rec *rig.Record, nod *rig.Node, name string, count int) (sent, good int) {
	var mut sync.Mutex
	var all sync.WaitGroup
	for who := range callers {
		all.Go(func() {
			cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
			defer cal.Close()
			for i := range count {
				id := fmt.Sprintf("%sc%dn%03d", name, who, i)
				rep := cal.Send(rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 5 * time.Second, Body: []byte("order")})
				rec.Note("caller: %s answered %v", id, rep)
				mut.Lock()
				sent++
				if rep.Err == nil && rep.Status == http.StatusOK && rep.Signature == "sig."+id {
					good++
				}
				mut.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
	return sent, good
}

func verdict(rec *rig.Record, led *ledger, sent, good int) int {
	led.mut.Lock()
	defer led.mut.Unlock()
	twice := 0
	for id, places := range led.runs {
		if len(places) > 1 {
			twice++
			rec.Note("TWICE: %s ran at %v", id, places)
		}
	}
	rec.Note("%d requests sent, %d answered with success, %d ran more than once", sent, good, twice)
	fmt.Printf("sent %d, good %d, ran more than once %d\n", sent, good, twice)
	switch {
	case twice > 0:
		return rig.Broken
	case good < sent/2:
		return rig.NotRun
	}
	return rig.Held
}
