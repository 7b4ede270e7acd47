//go:build review

// Command 5 shows that one entry of another writer in the store keeps all nodes from learning that upstreams leave.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/review/rig"
)

const (
	service   = "wuno96b"
	drainTime = 2 * time.Second  // drain_s
	exitTime  = 10 * time.Second // from the acknowledgement until the upstream exits
)

// ledger records what the leaving upstream did.
type ledger struct {
	mut          sync.Mutex
	acknowledged time.Time
	arrivals     int             // after the acknowledgement
	late         int             // later than drainTime after it
	working      map[string]bool // requests at work
	lost         int             // at work when it exited
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	recordPath := flag.String("record", "review/5/record.txt", "file to write")
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
	led := &ledger{working: map[string]bool{}}
	handle := func(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool { return answer(rec, led, ups, con, req) }
	var machines []rig.Machine
	for i, zone := range []string{"tunis-nord", "tunis-nord", "tunis-sud", "ariana"} {
		machines = append(machines, rig.Machine{IP: fmt.Sprintf("127.206.0.%d", i+1), Zone: zone, Service: service})
	}
	fle, err := rig.NewFleet(rec, machines, handle)
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
	return play(rec, fle, led, trouble)
}

// answer runs a request for 60 ms; a leaving upstream goes on serving.
func answer(rec *rig.Record, led *ledger, ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
	if _, err := rig.ReadBody(req); err != nil {
		return false
	}
	if req.URL.Path == "/health" {
		_, err := con.Write(rig.Answer(200, "", map[string]string{"Instance-Id": ups.ID()}, []byte("healthy\n")))
		return err == nil
	}
	id := req.Header.Get("Attempt-Id")
	rec.Note("upstream %s runs %s", ups.IP, id)
	leaving := ups.IP == "127.206.0.1"
	if leaving {
		led.mut.Lock()
		if since := time.Since(led.acknowledged); !led.acknowledged.IsZero() {
			led.arrivals++
			if since > drainTime {
				led.late++
				rec.Note("DRAIN: %s reached the upstream %.3f s after the acknowledgement", id, since.Seconds())
			}
		}
		led.working[id] = true
		led.mut.Unlock()
	}
	time.Sleep(60 * time.Millisecond)
	if leaving {
		led.mut.Lock()
		delete(led.working, id)
		led.mut.Unlock()
	}
	_, err := con.Write(rig.Answer(200, id, map[string]string{"Server-Signature": "sig." + id}, []byte("booked "+id+"\n")))
	return err == nil
}

// play sends requests at all nodes. Meanwhile another writer registers itself, then an upstream leaves.
func play(rec *rig.Record, fle *rig.Fleet, led *ledger, trouble bool) int {
	var sent, good, failed atomic.Int64
	until := time.Now().Add(16 * time.Second)
	var all sync.WaitGroup
	for who := range 8 {
		all.Go(func() {
			nod := fle.Nodes[who%len(fle.Nodes)]
			cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
			defer cal.Close()
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("c%dn%04d", who, i)
				rep := cal.Send(rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 5 * time.Second, Body: []byte("order")})
				rec.Note("caller: %s at %s answered %v", id, nod.IP, rep)
				sent.Add(1)
				switch {
				case rep.Err == nil && rep.Status == http.StatusOK:
					good.Add(1)
				case rep.Err != nil || rep.Status == http.StatusBadGateway || rep.Status == http.StatusGatewayTimeout:
					failed.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		rec.Note("another writer registers an agent of the service backup-agent")
		fle.Store.Put("servers/agent-7", map[string]any{
			"service": "backup-agent", "address": "[::1]:9100", "zone": "tunis-nord", "version": "v3", "slots": 4,
			"state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(2 * time.Second)
	ups := fle.Upstreams[0]
	ups.Drain()
	led.mut.Lock()
	led.acknowledged = time.Now()
	led.mut.Unlock()
	rec.Note("the store has acknowledged that the upstream at %s is draining", ups.IP)
	time.Sleep(exitTime)
	led.mut.Lock()
	led.lost = len(led.working)
	led.mut.Unlock()
	fle.Store.Delete("servers/" + ups.ID())
	ups.Crash()
	all.Wait()
	return verdict(rec, led, sent.Load(), good.Load(), failed.Load())
}

func verdict(rec *rig.Record, led *ledger, sent, good, failed int64) int {
	led.mut.Lock()
	defer led.mut.Unlock()
	text := fmt.Sprintf("%d requests sent, %d answered with success, %d with 502, 504 or not at all; %d reached the leaving upstream, %d of them later than %v after the acknowledgement; %d were at work when it exited",
		sent, good, failed, led.arrivals, led.late, drainTime, led.lost)
	rec.Note("%s", text)
	fmt.Println(text)
	switch {
	case led.late > 0:
		return rig.Broken
	case good < sent/2:
		return rig.NotRun
	}
	return rig.Held
}
