//go:build review

// Command 4 shows that a request which crashes the upstreams that run it is passed on without end.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/review/rig"
)

const (
	service  = "huvo11a"
	contact  = 3 * time.Second // contact_s
	backTime = 2 * time.Second // from a crash until the upstream is back
	allowed  = 3               // retries that may reach upstreams later than contact_s after the third crash
	poison   = "/leny950/7c"
)

// ledger records when the request that crashes upstreams reached one, and which other requests a crash ended.
type ledger struct {
	mut      sync.Mutex
	arrivals []arrival
	working  map[string]map[string]bool // by upstream: the requests at work
	lost     int                        // requests at work when their upstream crashed
	starts   int
}

// arrival is one arrival of the crashing request at an upstream.
type arrival struct {
	id string
	at time.Time
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

func run(rec *rig.Record, trouble bool) int {
	led := &ledger{working: map[string]map[string]bool{}}
	handle := func(ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
		return answer(rec, led, trouble, ups, con, req)
	}
	var machines []rig.Machine
	for i, zone := range []string{"tunis-nord", "tunis-nord", "tunis-sud", "ariana"} {
		machines = append(machines, rig.Machine{IP: fmt.Sprintf("127.204.0.%d", i+1), Zone: zone, Service: service})
	}
	fle, err := rig.NewFleet(rec, machines, handle)
	if err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	defer fle.Close()
	fle.WriteConfig(7, []rig.Route{
		{Name: "r-lookup", Hostname: "hulo84.example", Prefix: "/leny950/", Type: "safe", Service: service, Timeout: 6, Priority: 2},
		{Name: "r-orders", Hostname: "jepu9.example", Prefix: "/puka111/", Type: "unsafe", Service: service, Timeout: 6},
	})
	if err := fle.Start(); err != nil {
		rec.Note("%v", err)
		return rig.NotRun
	}
	time.Sleep(2 * time.Second)
	return load(rec, fle, led)
}

// answer serves a request; the crashing one ends the upstream, which is back after a while under another id.
func answer(rec *rig.Record, led *ledger, trouble bool, ups *rig.Upstream, con *rig.Conn, req *http.Request) bool {
	if _, err := rig.ReadBody(req); err != nil {
		return false
	}
	if req.URL.Path == "/health" {
		_, err := con.Write(rig.Answer(200, "", map[string]string{"Instance-Id": ups.ID()}, []byte("healthy\n")))
		return err == nil
	}
	id, own := req.Header.Get("Attempt-Id"), ups.ID()
	if target := req.Header.Get("Target-Instance"); target != "" && target != own {
		_, err := con.Write(rig.Answer(421, id, map[string]string{"Instance-Id": own, "Not-Executed": "1"}, nil))
		return err == nil
	}
	if req.URL.Path == poison {
		led.mut.Lock()
		led.arrivals = append(led.arrivals, arrival{id, time.Now()})
		number := len(led.arrivals)
		if trouble {
			led.lost += len(led.working[ups.IP])
			led.starts++
		}
		starts := led.starts
		led.mut.Unlock()
		rec.Note("upstream %s (%s) runs the crashing request as %s: arrival %d", ups.IP, own, id, number)
		if trouble {
			ups.Crash()
			time.AfterFunc(backTime, func() {
				if ups.Listen(fmt.Sprintf("i-again%d", starts)) == nil {
					ups.Register()
				}
			})
			return false
		}
	}
	rec.Note("upstream %s (%s) runs %s", ups.IP, own, id)
	led.mut.Lock()
	if led.working[ups.IP] == nil {
		led.working[ups.IP] = map[string]bool{}
	}
	led.working[ups.IP][id] = true
	led.mut.Unlock()
	time.Sleep(120 * time.Millisecond)
	led.mut.Lock()
	delete(led.working[ups.IP], id)
	led.mut.Unlock()
	_, err := con.Write(rig.Answer(200, id, map[string]string{"Server-Signature": "sig." + id}, []byte("done\n")))
	return err == nil
}

// load sends the usual requests at all nodes, and beside them the crashing one again and again at one node after another.
func load(rec *rig.Record, fle *rig.Fleet, led *ledger) int {
	var sent, good, cut atomic.Int64
	until := time.Now().Add(24 * time.Second)
	var all sync.WaitGroup
	for who := range 12 {
		all.Go(func() {
			nod := fle.Nodes[who%len(fle.Nodes)]
			cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
			defer cal.Close()
			for i := 0; time.Now().Before(until); i++ {
				id := fmt.Sprintf("c%dn%04d", who, i)
				rep := cal.Send(rig.Request{Method: http.MethodPost, Host: "jepu9.example", Path: "/puka111/2f", ID: id, Key: rig.Key, Deadline: 5 * time.Second, Body: []byte("order")})
				sent.Add(1)
				rec.Note("caller: %s at %s answered %v", id, nod.IP, rep)
				switch {
				case rep.Err == nil && rep.Status == http.StatusOK:
					good.Add(1)
				case rep.Err != nil || rep.Status == http.StatusBadGateway || rep.Status == http.StatusGatewayTimeout:
					cut.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	all.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			nod := fle.Nodes[i%len(fle.Nodes)]
			cal := rig.NewCaller(rig.Addr(nod.IP, nod.Ports.Outbound))
			id := fmt.Sprintf("again%03d", i)
			rep := cal.Send(rig.Request{Method: http.MethodGet, Host: "hulo84.example", Path: poison, ID: id, Key: rig.Key, Deadline: 5 * time.Second})
			rec.Note("caller: %s at %s answered %v", id, nod.IP, rep)
			cal.Close()
			time.Sleep(time.Second)
		}
	})
	all.Wait()
	return verdict(rec, led, sent.Load(), good.Load(), cut.Load())
}

func verdict(rec *rig.Record, led *ledger, sent, good, cut int64) int {
	led.mut.Lock()
	defer led.mut.Unlock()
	retries := map[string]bool{} // the caller's attempts that reached an upstream after the rule's time
	if len(led.arrivals) >= 3 && led.starts > 0 {
		third := led.arrivals[2].at
		for _, arr := range led.arrivals[3:] {
			if arr.at.After(third.Add(contact)) {
				retries[arr.id] = true
			}
		}
	}
	late := len(retries)
	text := []string{
		fmt.Sprintf("the crashing request reached upstreams %d times; %d retries of its caller did so later than %v after the third crash (allowed: %d)", len(led.arrivals), late, contact, allowed),
		fmt.Sprintf("%d other requests sent, %d answered with success, %d with 502, 504 or not at all; %d were at work when an upstream crashed", sent, good, cut, led.lost),
	}
	rec.Note("%s", strings.Join(text, "; "))
	fmt.Println(strings.Join(text, "\n"))
	switch {
	case late > allowed:
		return rig.Broken
	case good < sent/2 || len(led.arrivals) == 0:
		return rig.NotRun
	}
	return rig.Held
}
