package crash_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"amaranthline/core"
	"amaranthline/core/state/crash"
	"amaranthline/core/state/decl"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// The targets: crashes in trials, the delay of broadcasts, and the time until an innocent request is answered, counted
// from its first failure; the last one is for a request that two crashes hit by chance.
const (
	mostTrialCrashes  = 3
	broadcastDelay    = time.Second
	innocentWithin    = 30 * time.Second
	innocentWithinTwo = 90 * time.Second
)

// request is one request whose caller sends it until it is answered.
type request struct {
	fin       core.Fingerprint
	poison    bool
	next      time.Time // of the next send
	failed    time.Time // first failure
	convicted bool
	started   int // runs of a poisonous request that were not trials
	late      int // those that started when every host must have known the state update
	trials    int // crashes in trials
}

// run is a request in flight at a host.
type run struct {
	req   *request
	run   crash.Run
	trial bool
	end   time.Time
}

// host is an upstream with its detector.
type host struct {
	name  string
	led   *crash.Detector
	runs  []run
	upAt  time.Time
	crash []time.Time // times at which it crashes by itself
}

// letter is a broadcast on its way to one host.
type letter struct {
	to   *host
	mark crash.StateUpdate
	at   time.Time
}

// fleet is the model of the hosts of one service.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	hosts   []*host
	names   []string
	letters []letter
	waiting []*request // failed or refused, to be sent again
	serial  uint64
	service time.Duration // longest time of an answer
	crashes int
	marked  map[core.Fingerprint]time.Time // first crash with a poisonous request in flight
	slowest map[bool]time.Duration         // of innocent requests, by whether they were convicted
	failed  int                            // innocent requests that failed
	wrongly int                            // innocent requests that were convicted
}

func (fle *fleet) up(hos *host) bool { return !fle.now.Before(hos.upAt) }

func (fle *fleet) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(fle.rng.Int64N(int64(high-low)))
}

func (fle *fleet) newRequest(poison bool) *request {
	fle.serial++
	req := &request{poison: poison}
	binary.BigEndian.PutUint64(req.fin[:], fle.serial*0x9e3779b97f4a7c15)
	return req
}

// broadcast sends a state update to all other hosts; each gets it after a delay of its own.
func (fle *fleet) broadcast(from *host, mark crash.StateUpdate) {
	for _, hos := range fle.hosts {
		if hos != from {
			fle.letters = append(fle.letters, letter{to: hos, mark: mark, at: fle.now.Add(fle.jitter(0, broadcastDelay))})
		}
	}
}

// send offers a request to any host; a suspect goes on to the owner of its fingerprint, with its state update.
func (fle *fleet) send(req *request) {
	req.next = fle.now.Add(fle.jitter(50*time.Millisecond, 200*time.Millisecond))
	hos := fle.hosts[fle.rng.IntN(len(fle.hosts))]
	ver := hos.led.Check(fle.now, req.fin)
	owner := ver == crash.DecisionSuspect
	if owner {
		hos = fle.hosts[slices.Index(fle.names, decl.RendezvousOrder(crash.RendezvousKey(req.fin), fle.names)[0])]
		hos.led.Merge(fle.now, req.fin, crash.StateSuspected)
	}
	if ver == crash.DecisionBlock || !fle.up(hos) {
		fle.refuse(req, ver == crash.DecisionBlock)
		return
	}
	started, ver := hos.led.Start(fle.now, req.fin, owner)
	if ver != crash.DecisionAllow && ver != crash.DecisionTrial {
		fle.refuse(req, ver == crash.DecisionBlock)
		return
	}
	if req.poison && ver == crash.DecisionAllow {
		req.started++
		if first, ok := fle.marked[req.fin]; ok && fle.now.After(first.Add(broadcastDelay)) {
			req.late++
		}
	}
	hos.runs = append(hos.runs, run{req: req, run: started, trial: ver == crash.DecisionTrial, end: fle.now.Add(fle.jitter(fle.service/10, fle.service))})
}

func (fle *fleet) refuse(req *request, convicted bool) {
	req.convicted = req.convicted || convicted && !req.poison
	fle.waiting = append(fle.waiting, req)
}

// finish ends the runs that are due; a poisonous one crashes the upstream.
func (fle *fleet) finish(hos *host) {
	var due []run
	hos.runs = slices.DeleteFunc(hos.runs, func(rin run) bool {
		if rin.end.After(fle.now) {
			return false
		}
		due = append(due, rin)
		return true
	})
	for i, rin := range due {
		if rin.req.poison {
			if rin.trial {
				rin.req.trials++
			}
			hos.runs = append(hos.runs, due[i:]...)
			fle.fail(hos)
			return
		}
		if mark, ok := hos.led.Finish(fle.now, rin.run, crash.ResultAnswered); ok {
			fle.broadcast(hos, mark)
		}
		if !rin.req.failed.IsZero() {
			took := fle.now.Sub(rin.req.failed)
			fle.slowest[rin.req.convicted] = max(fle.slowest[rin.req.convicted], took)
			if rin.req.convicted {
				fle.wrongly++
			}
		}
	}
}

// fail crashes an upstream; some of its calls are seen to end before the crash is detected, others after it.
func (fle *fleet) fail(hos *host) {
	fle.crashes++
	before := fle.rng.IntN(len(hos.runs) + 1)
	for _, rin := range hos.runs[:before] {
		hos.led.Finish(fle.now, rin.run, crash.ResultReset)
	}
	for _, mark := range hos.led.HandleCrash(fle.now) {
		fle.broadcast(hos, mark)
	}
	for _, rin := range hos.runs[before:] {
		hos.led.Finish(fle.now, rin.run, crash.ResultReset)
	}
	for _, rin := range hos.runs {
		if _, ok := fle.marked[rin.req.fin]; rin.req.poison && !ok {
			fle.marked[rin.req.fin] = fle.now
		}
		if rin.req.failed.IsZero() {
			rin.req.failed = fle.now
			if !rin.req.poison {
				fle.failed++
			}
		}
		rin.req.next = fle.now.Add(fle.jitter(0, 100*time.Millisecond))
		fle.waiting = append(fle.waiting, rin.req)
	}
	hos.runs = nil
	hos.upAt = fle.now.Add(fle.jitter(500*time.Millisecond, 2*time.Second))
}

// step lets 20 ms pass.
func (fle *fleet) step(arrivals int) {
	fle.now = fle.now.Add(20 * time.Millisecond)
	fle.letters = slices.DeleteFunc(fle.letters, func(let letter) bool {
		if let.at.After(fle.now) {
			return false
		}
		let.to.led.Merge(fle.now, let.mark.Fingerprint(), let.mark.State())
		return true
	})
	for _, hos := range fle.hosts {
		if len(hos.crash) > 0 && !hos.crash[0].After(fle.now) {
			hos.crash = hos.crash[1:]
			fle.fail(hos)
		}
		fle.finish(hos)
	}
	due := fle.waiting
	fle.waiting = nil
	for _, req := range due {
		if req.next.After(fle.now) {
			fle.waiting = append(fle.waiting, req)
			continue
		}
		fle.send(req)
	}
	for range arrivals {
		fle.send(fle.newRequest(false))
	}
}

// innocents counts the innocent requests that have failed and are not answered.
func (fle *fleet) innocents() int {
	left := 0
	for _, req := range fle.waiting {
		if !req.poison && !req.failed.IsZero() {
			left++
		}
	}
	return left
}

// schedule lists the faults of one run of the model; all of them begin within 4 s.
type schedule struct {
	seed     uint64
	hosts    int
	service  time.Duration
	lone     int // crashes without a cause in a request
	poisons  int
	copies   int // of each poisonous request, in flight at once
	arrivals int // innocent requests in each step of the first 5 s, as a share of maxArrivals in percent
}

// maxArrivals is the rate that keeps 100 requests in flight at each host (Little's law), per step.
func (sch schedule) maxArrivals() int {
	mean := sch.service * 11 / 20 // answers take a tenth to the whole of the service time
	return 100 * sch.hosts * int(20*time.Millisecond) / int(mean)
}

// play runs a schedule for 150 s, which is longer than a conviction by chance and its recheck.
func (sch schedule) play() (*fleet, []*request) {
	fle := &fleet{
		rng: rand.New(rand.NewPCG(sch.seed, 3)), now: epoch, service: sch.service,
		slowest: map[bool]time.Duration{}, marked: map[core.Fingerprint]time.Time{},
	}
	for i := range sch.hosts {
		hos := &host{name: fmt.Sprintf("h%d", i), led: crash.New(crash.DefaultSettings())}
		fle.hosts = append(fle.hosts, hos)
		fle.names = append(fle.names, hos.name)
	}
	for range sch.lone {
		hos := fle.hosts[fle.rng.IntN(len(fle.hosts))]
		hos.crash = append(hos.crash, epoch.Add(fle.jitter(0, 4*time.Second)))
		slices.SortFunc(hos.crash, time.Time.Compare)
	}
	var poisons []*request
	for range sch.poisons {
		first := epoch.Add(fle.jitter(0, 3*time.Second))
		fin := fle.newRequest(true).fin
		for range sch.copies {
			req := &request{fin: fin, poison: true, next: first}
			fle.waiting = append(fle.waiting, req)
			poisons = append(poisons, req)
		}
	}
	for range 250 {
		fle.step(sch.maxArrivals() * sch.arrivals / 100)
	}
	for range 7250 {
		fle.step(0)
	}
	return fle, poisons
}

// Guards the bound on the crashes of a poisonous request, and that no innocent request is blocked for good, with up to two
// poisonous requests, hosts that crash by themselves, delayed broadcasts and callers that resend at once.
func TestCrashesAreBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		fle, poisons := schedule{
			seed:     rapid.Uint64().Draw(rt, "seed"),
			hosts:    rapid.IntRange(2, 8).Draw(rt, "hosts"),
			service:  time.Duration(rapid.IntRange(100, 250).Draw(rt, "service ms")) * time.Millisecond,
			lone:     rapid.IntRange(0, 5).Draw(rt, "crashes without a cause"),
			poisons:  rapid.IntRange(0, 2).Draw(rt, "poisonous requests"),
			copies:   rapid.IntRange(1, 3).Draw(rt, "copies"),
			arrivals: rapid.IntRange(0, 100).Draw(rt, "arrivals"),
		}.play()
		for _, sum := range perPoison(poisons) {
			if sum.trials > mostTrialCrashes {
				rt.Errorf("a poisonous request crashed %d trials", sum.trials)
			}
			if sum.late > 0 {
				rt.Errorf("a poisonous request ran %d times outside of trials after every host knew its mark", sum.late)
			}
		}
		if left := fle.innocents(); left > 0 {
			rt.Errorf("%d innocent requests were not answered within 145 s", left)
		}
	})
}

// Guards the time for which innocent requests wait at full load, in schedules with fixed seeds.
func TestInnocentRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	const schedules, workers = 60, 6
	var fleets [schedules]*fleet
	var poisons [schedules][]*request
	var wgr sync.WaitGroup
	for worker := range workers {
		wgr.Go(func() {
			for i := worker; i < schedules; i += workers {
				fleets[i], poisons[i] = schedule{
					seed: uint64(i), hosts: 2 + i%7, service: 250 * time.Millisecond,
					lone: i % 6, poisons: 1 + i%2, copies: 3, arrivals: 100,
				}.play()
			}
		})
	}
	wgr.Wait()

	most, failed, wrongly, started, trials := 0, 0, 0, 0, 0
	worst := map[bool]time.Duration{}
	for i, fle := range fleets {
		for _, sum := range perPoison(poisons[i]) {
			started, trials = max(started, sum.started), max(trials, sum.trials)
		}
		for _, convicted := range []bool{false, true} {
			worst[convicted] = max(worst[convicted], fle.slowest[convicted])
		}
		most, failed, wrongly = max(most, fle.crashes), failed+fle.failed, wrongly+fle.wrongly
		if fle.slowest[false] > innocentWithin || fle.slowest[true] > innocentWithinTwo {
			t.Errorf("seed %d: innocent requests waited %v, convicted ones %v", i, fle.slowest[false], fle.slowest[true])
		}
	}
	t.Logf("at most %d runs of one poisonous request before its mark arrived, %d crashes in its trials", started, trials)
	t.Logf("at most %d crashes in a schedule; %d innocent requests failed, %d of them were convicted; slowest answer after %v, of a convicted one after %v",
		most, failed, wrongly, worst[false], worst[true])
}

// perPoison adds up the copies of each fingerprint.
func perPoison(poisons []*request) map[core.Fingerprint]*request {
	sums := map[core.Fingerprint]*request{}
	for _, req := range poisons {
		sum := sums[req.fin]
		if sum == nil {
			sum = &request{}
			sums[req.fin] = sum
		}
		sum.started += req.started
		sum.late += req.late
		sum.trials += req.trials
	}
	return sums
}

// Each event must lead to the state that the trials build on; times are offsets from the first crash.
func TestStates(t *testing.T) {
	one, two := core.Fingerprint{1}, core.Fingerprint{2}
	var led *crash.Detector
	at := epoch.Add
	// crashWith crashes the upstream while fingerprints are in flight.
	crashWith := func(after time.Duration, fins ...core.Fingerprint) {
		for _, fin := range fins {
			led.Start(at(after), fin, true)
		}
		led.HandleCrash(at(after))
	}
	end := func(how crash.Result) {
		run, _ := led.Start(at(0), one, true)
		led.Finish(at(0), run, how)
	}
	tests := []struct {
		name  string
		steps func()
		after time.Duration
		want  crash.Decision
	}{
		{"no crash", func() { end(crash.ResultReset) }, 0, crash.DecisionAllow},
		{"in flight at a crash", func() { crashWith(0, one) }, 0, crash.DecisionSuspect},
		{"reset shortly before a crash", func() { end(crash.ResultReset); led.HandleCrash(at(time.Second)) }, time.Second, crash.DecisionSuspect},
		{"reset long before a crash", func() { end(crash.ResultReset); led.HandleCrash(at(2 * time.Second)) }, 2 * time.Second, crash.DecisionAllow},
		{"answered trial", func() { crashWith(0, one); end(crash.ResultAnswered) }, 0, crash.DecisionAllow},
		{"abandoned trial", func() { crashWith(0, one); end(crash.ResultInconclusive) }, 0, crash.DecisionSuspect},
		{"crash in a shared trial", func() { crashWith(0, one, two); crashWith(0, one, two) }, 0, crash.DecisionSuspect},
		{"two solo crashes", func() { crashWith(0, one); crashWith(0, one); crashWith(0, one) }, 0, crash.DecisionBlock},
		{"recheck", func() { crashWith(0, one); crashWith(0, one); crashWith(0, one) }, time.Minute, crash.DecisionSuspect},
		{"crash after the recheck", func() {
			crashWith(0, one)
			crashWith(0, one)
			crashWith(0, one)
			crashWith(time.Minute, one)
		}, 9 * time.Minute, crash.DecisionBlock},
		{"end of life", func() { led.Merge(epoch, one, crash.StateBlocked) }, 10 * time.Minute, crash.DecisionAllow},
		{"suspicion older than a clearance", func() {
			led.Merge(epoch, one, crash.StateCleared)
			led.Merge(at(time.Second), one, crash.StateSuspected)
		}, time.Second, crash.DecisionAllow},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			led = crash.New(crash.DefaultSettings())
			tst.steps()
			if diff := cmp.Diff(tst.want, led.Check(at(tst.after), one)); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

// A solo trial must not overlap another suspect, also one that started before its state update arrived.
func TestSoloTrialIsAlone(t *testing.T) {
	led := crash.New(crash.DefaultSettings())
	striker, loose, other := core.Fingerprint{1}, core.Fingerprint{2}, core.Fingerprint{3}
	for range 2 {
		led.Start(epoch, striker, true)
		led.HandleCrash(epoch)
	}
	early, _ := led.Start(epoch, loose, true)
	led.Merge(epoch, loose, crash.StateSuspected)
	led.Merge(epoch, other, crash.StateSuspected)
	var got []crash.Decision
	start := func(fin core.Fingerprint) {
		_, ver := led.Start(epoch, fin, true)
		got = append(got, ver)
	}
	start(striker) // waits for the loose copy
	start(other)   // waits for the solo trial
	led.Finish(epoch, early, crash.ResultInconclusive)
	start(striker)
	start(other)
	want := []crash.Decision{crash.DecisionWait, crash.DecisionWait, crash.DecisionTrial, crash.DecisionWait}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

func BenchmarkStartFinish(b *testing.B) {
	for _, marks := range []int{0, 1000} {
		b.Run(fmt.Sprintf("marks=%d", marks), func(b *testing.B) {
			led := crash.New(crash.DefaultSettings())
			for i := range marks {
				led.Merge(epoch, core.Fingerprint{byte(i), byte(i >> 8), 1}, crash.StateSuspected)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				fin := core.Fingerprint{byte(rand.Int()), 2}
				for pb.Next() {
					fin[0]++
					led.Check(epoch, fin)
					run, _ := led.Start(epoch, fin, false)
					led.Finish(epoch, run, crash.ResultAnswered)
				}
			})
		})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 8<<10)
	b.ReportAllocs()
	for b.Loop() {
		crash.Fingerprint("verona", "stampa", "POST", "/prints?copies=2", body)
	}
}

// A call that ends while a crash is being recorded must not stay in flight, where the next crash would blame it.
func TestConcurrentCrashLeavesNothingInFlight(t *testing.T) {
	led := crash.New(crash.DefaultSettings())
	var wgr sync.WaitGroup
	for worker := range 8 {
		wgr.Go(func() {
			for i := range 2000 {
				fin := core.Fingerprint{byte(i), byte(i >> 8), byte(worker)}
				run, ver := led.Start(epoch, fin, true)
				if ver == crash.DecisionAllow || ver == crash.DecisionTrial {
					led.Finish(epoch, run, crash.Result(i%3))
				}
				if i%100 == 0 {
					led.HandleCrash(epoch)
				}
			}
		})
	}
	wgr.Wait()
	later := epoch.Add(time.Hour) // resets and marks have expired
	if diff := cmp.Diff([]crash.StateUpdate(nil), led.HandleCrash(later), cmp.AllowUnexported(crash.StateUpdate{})); diff != "" {
		t.Errorf("victims of a crash without calls (-want +got):\n%s", diff)
	}
}
