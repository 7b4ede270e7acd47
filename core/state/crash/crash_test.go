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

// The bounds that the tests check, and the longest delay of a broadcast in the model. The waits of an innocent request are
// counted from its first failure to its answer; the longer one is for a request that was in flight at two crashes by
// chance and therefore blocked.
const (
	maxTrialCrashes        = 3
	broadcastDelay         = time.Second
	maxInnocentWait        = 30 * time.Second
	maxBlockedInnocentWait = 90 * time.Second
)

// request is a request whose caller sends it until it is answered.
type request struct {
	fp            core.Fingerprint
	isPoison      bool      // crashes every upstream that runs it
	nextSend      time.Time // time of the next send
	failedAt      time.Time // time of the first failure
	blocked       bool      // an innocent request was refused as blocked
	plainRuns     int       // runs of a poison request outside of trials
	latePlainRuns int       // plainRuns that started when every host must have received the state update
	trialCrashes  int       // crashes in trials
}

// call is a request in flight at a host.
type call struct {
	req     *request
	run     crash.Run
	isTrial bool
	end     time.Time // when the upstream answers or, for a poison request, crashes
}

// host models an upstream with its detector.
type host struct {
	name       string
	det        *crash.Detector
	calls      []call
	upAt       time.Time
	crashTimes []time.Time // times of crashes that no request causes
}

// delivery is a broadcast state update on its way to one host.
type delivery struct {
	to  *host
	upd crash.StateUpdate
	at  time.Time
}

// fleet models the hosts of one service.
type fleet struct {
	rng              *rand.Rand
	now              time.Time
	hosts            []*host
	hostNames        []string
	deliveries       []delivery
	waiting          []*request // failed or refused, to be sent again
	requestCount     uint64
	maxServiceTime   time.Duration // longest time that an upstream takes to answer
	crashes          int
	firstCrash       map[core.Fingerprint]time.Time // first crash with a poison request in flight
	slowestAnswer    map[bool]time.Duration         // longest time from first failure to answer of innocent requests, by whether they were blocked
	failedInnocents  int                            // innocent requests that failed
	blockedInnocents int                            // innocent requests that were blocked and later answered
}

func (fle *fleet) up(hos *host) bool { return !fle.now.Before(hos.upAt) }

func (fle *fleet) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(fle.rng.Int64N(int64(high-low)))
}

func (fle *fleet) newRequest(isPoison bool) *request {
	fle.requestCount++
	req := &request{isPoison: isPoison}
	binary.BigEndian.PutUint64(req.fp[:], fle.requestCount*0x9e3779b97f4a7c15)
	return req
}

// broadcast sends a state update to all other hosts, with a random delay for each.
func (fle *fleet) broadcast(from *host, upd crash.StateUpdate) {
	for _, hos := range fle.hosts {
		if hos != from {
			fle.deliveries = append(fle.deliveries, delivery{to: hos, upd: upd, at: fle.now.Add(fle.jitter(0, broadcastDelay))})
		}
	}
}

// send sends a request to a random host, which forwards a suspect to the owner of its fingerprint after the state update.
func (fle *fleet) send(req *request) {
	req.nextSend = fle.now.Add(fle.jitter(50*time.Millisecond, 200*time.Millisecond))
	hos := fle.hosts[fle.rng.IntN(len(fle.hosts))]
	dec := hos.det.Check(fle.now, req.fp)
	owner := dec == crash.DecisionForward
	if owner {
		hos = fle.hosts[slices.Index(fle.hostNames, decl.RendezvousOrder(crash.RendezvousKey(req.fp), fle.hostNames)[0])]
		hos.det.Merge(fle.now, req.fp, crash.StateSuspected)
	}
	if dec == crash.DecisionBlock || !fle.up(hos) {
		fle.refuse(req, dec == crash.DecisionBlock)
		return
	}
	run, dec := hos.det.Start(fle.now, req.fp, owner)
	if dec != crash.DecisionAllow && dec != crash.DecisionTrial {
		fle.refuse(req, dec == crash.DecisionBlock)
		return
	}
	if req.isPoison && dec == crash.DecisionAllow {
		req.plainRuns++
		if first, ok := fle.firstCrash[req.fp]; ok && fle.now.After(first.Add(broadcastDelay)) {
			req.latePlainRuns++
		}
	}
	hos.calls = append(hos.calls, call{req: req, run: run, isTrial: dec == crash.DecisionTrial, end: fle.now.Add(fle.jitter(fle.maxServiceTime/10, fle.maxServiceTime))})
}

// refuse records whether an innocent request was blocked, and lets its caller send it again.
func (fle *fleet) refuse(req *request, blocked bool) {
	req.blocked = req.blocked || blocked && !req.isPoison
	fle.waiting = append(fle.waiting, req)
}

// finish ends the calls that are due; a poison request crashes the upstream.
func (fle *fleet) finish(hos *host) {
	var due []call
	hos.calls = slices.DeleteFunc(hos.calls, func(cal call) bool {
		if cal.end.After(fle.now) {
			return false
		}
		due = append(due, cal)
		return true
	})
	for i, cal := range due {
		if cal.req.isPoison {
			if cal.isTrial {
				cal.req.trialCrashes++
			}
			hos.calls = append(hos.calls, due[i:]...)
			fle.crashHost(hos)
			return
		}
		if upd, ok := hos.det.Finish(fle.now, cal.run, crash.ResultAnswered); ok {
			fle.broadcast(hos, upd)
		}
		if !cal.req.failedAt.IsZero() {
			elapsed := fle.now.Sub(cal.req.failedAt)
			fle.slowestAnswer[cal.req.blocked] = max(fle.slowestAnswer[cal.req.blocked], elapsed)
			if cal.req.blocked {
				fle.blockedInnocents++
			}
		}
	}
}

// crashHost crashes an upstream; the resets of some of its calls are seen before the crash is detected, others after it.
func (fle *fleet) crashHost(hos *host) {
	fle.crashes++
	resetsBefore := fle.rng.IntN(len(hos.calls) + 1)
	for _, cal := range hos.calls[:resetsBefore] {
		hos.det.Finish(fle.now, cal.run, crash.ResultReset)
	}
	for _, upd := range hos.det.HandleCrash(fle.now) {
		fle.broadcast(hos, upd)
	}
	for _, cal := range hos.calls[resetsBefore:] {
		hos.det.Finish(fle.now, cal.run, crash.ResultReset)
	}
	for _, cal := range hos.calls {
		if _, ok := fle.firstCrash[cal.req.fp]; cal.req.isPoison && !ok {
			fle.firstCrash[cal.req.fp] = fle.now
		}
		if cal.req.failedAt.IsZero() {
			cal.req.failedAt = fle.now
			if !cal.req.isPoison {
				fle.failedInnocents++
			}
		}
		cal.req.nextSend = fle.now.Add(fle.jitter(0, 100*time.Millisecond))
		fle.waiting = append(fle.waiting, cal.req)
	}
	hos.calls = nil
	hos.upAt = fle.now.Add(fle.jitter(500*time.Millisecond, 2*time.Second))
}

// step advances the model by 20 ms; arrivals is the number of new innocent requests.
func (fle *fleet) step(arrivals int) {
	fle.now = fle.now.Add(20 * time.Millisecond)
	fle.deliveries = slices.DeleteFunc(fle.deliveries, func(del delivery) bool {
		if del.at.After(fle.now) {
			return false
		}
		del.to.det.Merge(fle.now, del.upd.Fingerprint(), del.upd.State())
		return true
	})
	for _, hos := range fle.hosts {
		if len(hos.crashTimes) > 0 && !hos.crashTimes[0].After(fle.now) {
			hos.crashTimes = hos.crashTimes[1:]
			fle.crashHost(hos)
		}
		fle.finish(hos)
	}
	waiting := fle.waiting
	fle.waiting = nil
	for _, req := range waiting {
		if req.nextSend.After(fle.now) {
			fle.waiting = append(fle.waiting, req)
			continue
		}
		fle.send(req)
	}
	for range arrivals {
		fle.send(fle.newRequest(false))
	}
}

// unansweredInnocents counts the innocent requests that have failed and are not answered.
func (fle *fleet) unansweredInnocents() int {
	unanswered := 0
	for _, req := range fle.waiting {
		if !req.isPoison && !req.failedAt.IsZero() {
			unanswered++
		}
	}
	return unanswered
}

// schedule configures one simulation of the model; all faults begin within 4 s.
type schedule struct {
	seed             uint64
	hosts            int
	maxServiceTime   time.Duration
	unrelatedCrashes int // crashes that no request causes
	poisonRequests   int
	copiesPerPoison  int // of each poison request, in flight at once
	arrivalsPercent  int // innocent requests in each step of the first 5 s, in percent of maxArrivalsPerStep
}

// maxArrivalsPerStep is the number of new requests per step that keeps 100 requests in flight at each host (Little's law).
func (sch schedule) maxArrivalsPerStep() int {
	meanServiceTime := sch.maxServiceTime * 11 / 20 // service times are uniform between a tenth and the whole of maxServiceTime
	return 100 * sch.hosts * int(20*time.Millisecond) / int(meanServiceTime)
}

// simulate runs a schedule for 150 s, which covers blocking an innocent request by chance and its recheck. It returns the
// fleet and all copies of the poison requests.
func (sch schedule) simulate() (*fleet, []*request) {
	fle := &fleet{
		rng: rand.New(rand.NewPCG(sch.seed, 3)), now: epoch, maxServiceTime: sch.maxServiceTime,
		slowestAnswer: map[bool]time.Duration{}, firstCrash: map[core.Fingerprint]time.Time{},
	}
	for i := range sch.hosts {
		hos := &host{name: fmt.Sprintf("h%d", i), det: crash.New(crash.DefaultSettings())}
		fle.hosts = append(fle.hosts, hos)
		fle.hostNames = append(fle.hostNames, hos.name)
	}
	for range sch.unrelatedCrashes {
		hos := fle.hosts[fle.rng.IntN(len(fle.hosts))]
		hos.crashTimes = append(hos.crashTimes, epoch.Add(fle.jitter(0, 4*time.Second)))
		slices.SortFunc(hos.crashTimes, time.Time.Compare)
	}
	var poisonCopies []*request
	for range sch.poisonRequests {
		first := epoch.Add(fle.jitter(0, 3*time.Second))
		fp := fle.newRequest(true).fp
		for range sch.copiesPerPoison {
			req := &request{fp: fp, isPoison: true, nextSend: first}
			fle.waiting = append(fle.waiting, req)
			poisonCopies = append(poisonCopies, req)
		}
	}
	for range 250 {
		fle.step(sch.maxArrivalsPerStep() * sch.arrivalsPercent / 100)
	}
	for range 7250 {
		fle.step(0)
	}
	return fle, poisonCopies
}

// A poison request (one that always crashes the upstream) must crash at most three trials, and must not run outside of
// trials once its state update has reached all hosts. No innocent request may stay blocked. The model has up to two poison
// requests, upstreams that crash for other reasons, delayed broadcasts and callers that resend after at most 200 ms.
func TestCrashesAreBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		fle, poisonCopies := schedule{
			seed:             rapid.Uint64().Draw(rt, "seed"),
			hosts:            rapid.IntRange(2, 8).Draw(rt, "hosts"),
			maxServiceTime:   time.Duration(rapid.IntRange(100, 250).Draw(rt, "longest service time in ms")) * time.Millisecond,
			unrelatedCrashes: rapid.IntRange(0, 5).Draw(rt, "crashes that no request causes"),
			poisonRequests:   rapid.IntRange(0, 2).Draw(rt, "poison requests"),
			copiesPerPoison:  rapid.IntRange(1, 3).Draw(rt, "copies of each poison request"),
			arrivalsPercent:  rapid.IntRange(0, 100).Draw(rt, "arrivals in percent"),
		}.simulate()
		for _, sum := range sumByFingerprint(poisonCopies) {
			if sum.trialCrashes > maxTrialCrashes {
				rt.Errorf("a poison request crashed %d trials, more than the bound", sum.trialCrashes)
			}
			if sum.latePlainRuns > 0 {
				rt.Errorf("a poison request ran %d times outside of trials after every host had received its state update", sum.latePlainRuns)
			}
		}
		if unanswered := fle.unansweredInnocents(); unanswered > 0 {
			rt.Errorf("%d innocent requests were not answered within 145 s", unanswered)
		}
	})
}

// Innocent requests that were in flight at a crash must be answered within the bounds at full load, where the many
// suspects of each crash have to share the trials. The schedules have fixed seeds.
func TestInnocentRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	const schedules, workers = 60, 6
	var fleets [schedules]*fleet
	var poisonCopies [schedules][]*request
	var wgr sync.WaitGroup
	for worker := range workers {
		wgr.Go(func() {
			for i := worker; i < schedules; i += workers {
				fleets[i], poisonCopies[i] = schedule{
					seed: uint64(i), hosts: 2 + i%7, maxServiceTime: 250 * time.Millisecond,
					unrelatedCrashes: i % 6, poisonRequests: 1 + i%2, copiesPerPoison: 3, arrivalsPercent: 100,
				}.simulate()
			}
		})
	}
	wgr.Wait()

	mostCrashes, failedInnocents, blockedInnocents, plainRuns, trialCrashes := 0, 0, 0, 0, 0
	worstWait := map[bool]time.Duration{}
	for i, fle := range fleets {
		for _, sum := range sumByFingerprint(poisonCopies[i]) {
			plainRuns, trialCrashes = max(plainRuns, sum.plainRuns), max(trialCrashes, sum.trialCrashes)
		}
		for _, blocked := range []bool{false, true} {
			worstWait[blocked] = max(worstWait[blocked], fle.slowestAnswer[blocked])
		}
		mostCrashes, failedInnocents, blockedInnocents = max(mostCrashes, fle.crashes), failedInnocents+fle.failedInnocents, blockedInnocents+fle.blockedInnocents
		if fle.slowestAnswer[false] > maxInnocentWait || fle.slowestAnswer[true] > maxBlockedInnocentWait {
			t.Errorf("seed %d: innocent requests waited up to %v, blocked ones up to %v", i, fle.slowestAnswer[false], fle.slowestAnswer[true])
		}
	}
	t.Logf("at most %d runs of one poison request before its state update arrived, %d crashes in its trials", plainRuns, trialCrashes)
	t.Logf("at most %d crashes in a schedule; %d innocent requests failed, %d of them were blocked; slowest answer after %v, of a blocked one after %v",
		mostCrashes, failedInnocents, blockedInnocents, worstWait[false], worstWait[true])
}

// sumByFingerprint adds up the counts of the copies of each poison request.
func sumByFingerprint(poisonCopies []*request) map[core.Fingerprint]*request {
	sums := map[core.Fingerprint]*request{}
	for _, req := range poisonCopies {
		sum := sums[req.fp]
		if sum == nil {
			sum = &request{}
			sums[req.fp] = sum
		}
		sum.plainRuns += req.plainRuns
		sum.latePlainRuns += req.latePlainRuns
		sum.trialCrashes += req.trialCrashes
	}
	return sums
}

// Each event must lead to the right state of a fingerprint, which the test reads from the decision on its next
// request; times are offsets from the first crash.
func TestStates(t *testing.T) {
	one, two := core.Fingerprint{1}, core.Fingerprint{2}
	var det *crash.Detector
	at := epoch.Add
	// crashWith crashes the upstream while fingerprints are in flight.
	crashWith := func(after time.Duration, fps ...core.Fingerprint) {
		for _, fp := range fps {
			det.Start(at(after), fp, true)
		}
		det.HandleCrash(at(after))
	}
	// runAndFinish runs a request and ends it with a result.
	runAndFinish := func(res crash.Result) {
		run, _ := det.Start(at(0), one, true)
		det.Finish(at(0), run, res)
	}
	tests := []struct {
		name  string
		steps func()
		after time.Duration
		want  crash.Decision
	}{
		{"no crash", func() { runAndFinish(crash.ResultReset) }, 0, crash.DecisionAllow},
		{"in flight at a crash", func() { crashWith(0, one) }, 0, crash.DecisionForward},
		{"reset shortly before a crash", func() { runAndFinish(crash.ResultReset); det.HandleCrash(at(time.Second)) }, time.Second, crash.DecisionForward},
		{"reset long before a crash", func() { runAndFinish(crash.ResultReset); det.HandleCrash(at(2 * time.Second)) }, 2 * time.Second, crash.DecisionAllow},
		{"answered trial", func() { crashWith(0, one); runAndFinish(crash.ResultAnswered) }, 0, crash.DecisionAllow},
		{"inconclusive trial", func() { crashWith(0, one); runAndFinish(crash.ResultInconclusive) }, 0, crash.DecisionForward},
		{"crash in a shared trial", func() { crashWith(0, one, two); crashWith(0, one, two) }, 0, crash.DecisionForward},
		{"crashes in a shared and a solo trial", func() { crashWith(0, one); crashWith(0, one); crashWith(0, one) }, 0, crash.DecisionBlock},
		{"recheck", func() { crashWith(0, one); crashWith(0, one); crashWith(0, one) }, time.Minute, crash.DecisionForward},
		{"crash after the recheck", func() {
			crashWith(0, one)
			crashWith(0, one)
			crashWith(0, one)
			crashWith(time.Minute, one)
		}, 9 * time.Minute, crash.DecisionBlock},
		{"expired block", func() { det.Merge(epoch, one, crash.StateBlocked) }, 10 * time.Minute, crash.DecisionAllow},
		{"suspect update older than a cleared one", func() {
			det.Merge(epoch, one, crash.StateCleared)
			det.Merge(at(time.Second), one, crash.StateSuspected)
		}, time.Second, crash.DecisionAllow},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			det = crash.New(crash.DefaultSettings())
			tst.steps()
			if diff := cmp.Diff(tst.want, det.Check(at(tst.after), one)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// A solo trial must not overlap another suspect, including one that started before its state update arrived.
func TestSoloTrialIsAlone(t *testing.T) {
	det := crash.New(crash.DefaultSettings())
	struck, lateSuspect, other := core.Fingerprint{1}, core.Fingerprint{2}, core.Fingerprint{3}
	for range 2 {
		det.Start(epoch, struck, true)
		det.HandleCrash(epoch)
	}
	earlyRun, _ := det.Start(epoch, lateSuspect, true)
	det.Merge(epoch, lateSuspect, crash.StateSuspected)
	det.Merge(epoch, other, crash.StateSuspected)
	var got []crash.Decision
	start := func(fp core.Fingerprint) {
		_, dec := det.Start(epoch, fp, true)
		got = append(got, dec)
	}
	start(struck) // waits for earlyRun to end
	start(other)  // waits for the solo trial of struck
	det.Finish(epoch, earlyRun, crash.ResultInconclusive)
	start(struck)
	start(other)
	want := []crash.Decision{crash.DecisionWait, crash.DecisionWait, crash.DecisionTrial, crash.DecisionWait}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}

func BenchmarkStartFinish(b *testing.B) {
	for _, suspectCount := range []int{0, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", suspectCount), func(b *testing.B) {
			det := crash.New(crash.DefaultSettings())
			for i := range suspectCount {
				det.Merge(epoch, core.Fingerprint{byte(i), byte(i >> 8), 1}, crash.StateSuspected)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				fp := core.Fingerprint{byte(rand.Int()), 2}
				for pb.Next() {
					fp[0]++
					det.Check(epoch, fp)
					run, _ := det.Start(epoch, fp, false)
					det.Finish(epoch, run, crash.ResultAnswered)
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

// A call that ends while a crash is being handled must not stay in flight, where the next crash would make it a suspect.
func TestConcurrentCrashLeavesNothingInFlight(t *testing.T) {
	det := crash.New(crash.DefaultSettings())
	var wgr sync.WaitGroup
	for worker := range 8 {
		wgr.Go(func() {
			for i := range 2000 {
				fp := core.Fingerprint{byte(i), byte(i >> 8), byte(worker)}
				run, dec := det.Start(epoch, fp, true)
				if dec == crash.DecisionAllow || dec == crash.DecisionTrial {
					det.Finish(epoch, run, crash.Result(i%3))
				}
				if i%100 == 0 {
					det.HandleCrash(epoch)
				}
			}
		})
	}
	wgr.Wait()
	later := epoch.Add(time.Hour) // resets and entries have expired
	if diff := cmp.Diff([]crash.StateUpdate(nil), det.HandleCrash(later), cmp.AllowUnexported(crash.StateUpdate{})); diff != "" {
		t.Errorf("state updates of a crash without calls in flight (-want +got):\n%s", diff)
	}
}
