package crash

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

// shards is a power of two, so that the first byte of a fingerprint selects a shard evenly.
const shards = 64

// Settings are the bounds of a detector.
type Settings struct {
	Life            time.Duration // how long a mark lasts
	Recheck         time.Duration // time from a conviction to one more solo trial
	Delay           time.Duration // longest delay of a broadcast
	ResetWindow     time.Duration // longest time from the first reset call to the detection of a crash
	Reserve         time.Duration // how long a solo trial that was refused keeps shared trials from starting
	Group           int           // suspects in one shared trial
	MaxStateUpdates int           // fingerprints marked at once
}

// DefaultSettings returns the settings of a host.
func DefaultSettings() Settings {
	return Settings{
		Life: 10 * time.Minute, Recheck: time.Minute, Delay: time.Second, ResetWindow: time.Second,
		Reserve: time.Second, Group: 8, MaxStateUpdates: 8192,
	}
}

// State is what the hosts of a service tell each other about a fingerprint; the values are those of wire.Suspect.
type State uint8

// The states of a fingerprint.
const (
	StateSuspected State = 1
	StateBlocked   State = 2
	StateCleared   State = 3
)

// StateUpdate is a fingerprint and its state, for broadcast.
type StateUpdate struct {
	print core.Fingerprint
	state State
}

// Fingerprint returns the fingerprint.
func (mar StateUpdate) Fingerprint() core.Fingerprint { return mar.print }

// State returns the state.
func (mar StateUpdate) State() State { return mar.state }

// Decision is what may be done with a request.
type Decision uint8

// The decisions of Check and Start.
const (
	DecisionAllow   Decision = iota // run it
	DecisionTrial                   // run it as a trial; only Start returns this
	DecisionWait                    // wait and ask again, or refuse it as not run; only Start returns this
	DecisionSuspect                 // send it to the owner of its fingerprint
	DecisionBlock                   // refuse it
)

// Result is how a run ended.
type Result uint8

// The ways in which a run ends.
const (
	ResultAnswered     Result = iota // the upstream answered
	ResultReset                      // the upstream's connection was reset or closed before the answer
	ResultInconclusive               // timeout, cancellation, or never sent
)

// Run is a request in flight at the upstream.
type Run struct {
	print core.Fingerprint
	epoch uint64
	trial bool
}

// entry is what a host knows about a marked fingerprint.
type entry struct {
	state   State
	strikes int       // crashes in trials
	final   bool      // convicted again after the recheck
	recheck time.Time // when a convicted fingerprint may have one more trial
	expires time.Time
}

// suspect says whether the fingerprint may run only in trials.
func (ent *entry) suspect() bool { return ent != nil && ent.state != StateCleared }

// solo says whether a trial must have no other suspect in flight.
func (ent *entry) solo() bool { return ent.strikes > 0 || ent.state == StateBlocked }

// verdict returns what may be done with the fingerprint at a host that does not try it.
func (ent *entry) verdict(now time.Time) Decision {
	switch {
	case !ent.suspect():
		return DecisionAllow
	case ent.state == StateBlocked && (ent.final || now.Before(ent.recheck)):
		return DecisionBlock
	}
	return DecisionSuspect
}

// shard holds a part of the fingerprints.
type shard struct {
	mut    sync.Mutex
	epoch  uint64 // crashes so far
	flight map[core.Fingerprint]int
	marks  map[core.Fingerprint]*entry
}

// reset is a run whose connection was lost; whether the upstream crashed is decided a little later.
type reset struct {
	run Run
	at  time.Time
}

// Detector knows the requests in flight at one upstream and the marked fingerprints of its service.
type Detector struct {
	set    Settings
	marked atomic.Int64 // marks in all shards; zero makes Check cheap
	shards [shards]shard

	mut      sync.Mutex // for trials and resets; taken before a shard's lock
	trials   map[core.Fingerprint]bool
	alone    bool      // the only trial is a solo trial
	reserved time.Time // until then only a solo trial may start
	resets   []reset
}

// New returns the detector of an upstream without requests.
func New(set Settings) *Detector {
	led := &Detector{set: set, trials: map[core.Fingerprint]bool{}}
	for i := range led.shards {
		led.shards[i].flight = map[core.Fingerprint]int{}
		led.shards[i].marks = map[core.Fingerprint]*entry{}
	}
	return led
}

func (led *Detector) shard(fin core.Fingerprint) *shard { return &led.shards[fin[0]%shards] }

// lookup returns a mark that has not expired, or nil; the caller holds the shard's lock.
func (led *Detector) lookup(sha *shard, now time.Time, fin core.Fingerprint) *entry {
	ent := sha.marks[fin]
	if ent != nil && !now.Before(ent.expires) {
		led.drop(sha, fin)
		return nil
	}
	return ent
}

func (led *Detector) drop(sha *shard, fin core.Fingerprint) {
	delete(sha.marks, fin)
	led.marked.Add(-1)
}

// mark stores a new mark; a full shard gives up the mark that expires first, a conviction only for a conviction.
func (led *Detector) mark(sha *shard, now time.Time, fin core.Fingerprint, ent *entry) {
	if sha.marks[fin] == nil {
		if len(sha.marks) >= (led.set.MaxStateUpdates+shards-1)/shards && !led.makeRoom(sha, now, ent) {
			return
		}
		led.marked.Add(1)
	}
	sha.marks[fin] = ent
}

func (led *Detector) makeRoom(sha *shard, now time.Time, ent *entry) bool {
	var oldest core.Fingerprint
	var found *entry
	for fin, old := range sha.marks {
		if !now.Before(old.expires) {
			led.drop(sha, fin)
			return true
		}
		keep := old.state == StateBlocked && ent.state != StateBlocked
		if !keep && (found == nil || old.expires.Before(found.expires)) {
			oldest, found = fin, old
		}
	}
	if found == nil {
		return false
	}
	led.drop(sha, oldest)
	return true
}

// Check returns what a node that does not run the request may do with it; the owner of a suspect calls Start.
func (led *Detector) Check(now time.Time, fin core.Fingerprint) Decision {
	if led.marked.Load() == 0 {
		return DecisionAllow
	}
	sha := led.shard(fin)
	sha.mut.Lock()
	defer sha.mut.Unlock()
	return led.lookup(sha, now, fin).verdict(now)
}

// Start registers a request that is about to be sent to the upstream; owner says whether this host tries the fingerprint.
// The caller must call Finish after DecisionAllow and DecisionTrial, and must not run the request otherwise.
func (led *Detector) Start(now time.Time, fin core.Fingerprint, owner bool) (Run, Decision) {
	sha := led.shard(fin)
	sha.mut.Lock()
	ver := led.lookup(sha, now, fin).verdict(now)
	if ver == DecisionAllow {
		defer sha.mut.Unlock()
		sha.flight[fin]++
		return Run{print: fin, epoch: sha.epoch}, DecisionAllow
	}
	sha.mut.Unlock()
	if ver == DecisionBlock || !owner {
		return Run{}, ver
	}
	return led.try(now, fin)
}

// try starts a trial if the trials in progress allow it.
func (led *Detector) try(now time.Time, fin core.Fingerprint) (Run, Decision) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.pruneResets(now)
	sha := led.shard(fin)
	sha.mut.Lock()
	ent := led.lookup(sha, now, fin)
	solo := ent.suspect() && ent.solo()
	sha.mut.Unlock()

	switch {
	case led.trials[fin]:
		return Run{}, DecisionWait
	case solo && (len(led.trials) > 0 || led.suspectInFlight(now)):
		led.reserved = now.Add(led.set.Reserve)
		return Run{}, DecisionWait
	case !solo && (led.alone || now.Before(led.reserved) || len(led.trials) >= led.set.Group):
		return Run{}, DecisionWait
	}
	led.trials[fin] = true
	led.alone = solo
	if solo {
		led.reserved = time.Time{}
	}
	sha.mut.Lock()
	defer sha.mut.Unlock()
	sha.flight[fin]++
	return Run{print: fin, epoch: sha.epoch, trial: true}, DecisionTrial
}

// suspectInFlight says whether a copy that started before its state update arrived is still running.
func (led *Detector) suspectInFlight(now time.Time) bool {
	for i := range led.shards {
		sha := &led.shards[i]
		sha.mut.Lock()
		for fin := range sha.flight {
			if led.lookup(sha, now, fin).suspect() {
				sha.mut.Unlock()
				return true
			}
		}
		sha.mut.Unlock()
	}
	return false
}

// Finish records the end of a run; it returns a state update to broadcast when an answer has cleared the fingerprint.
func (led *Detector) Finish(now time.Time, run Run, end Result) (StateUpdate, bool) {
	if end == ResultReset || run.trial {
		led.endRare(now, run, end)
	}
	sha := led.shard(run.print)
	sha.mut.Lock()
	defer sha.mut.Unlock()
	// A crash has already removed earlier runs from flight.
	if run.epoch == sha.epoch {
		sha.land(run.print)
	}
	if end != ResultAnswered || !led.lookup(sha, now, run.print).suspect() {
		return StateUpdate{}, false
	}
	led.clear(sha, now, run.print)
	return StateUpdate{print: run.print, state: StateCleared}, true
}

// endRare frees the slot of a trial and remembers a reset until it is known whether the upstream crashed.
func (led *Detector) endRare(now time.Time, run Run, end Result) {
	led.mut.Lock()
	defer led.mut.Unlock()
	if led.ended(run) {
		return
	}
	if end == ResultReset {
		led.pruneResets(now)
		led.resets = append(led.resets, reset{run: run, at: now})
		// The slot stays taken, so that the next trial does not start before the crash is detected.
		if run.trial {
			return
		}
	}
	led.endTrial(run)
}

// ended says whether a crash has already ended a run.
func (led *Detector) ended(run Run) bool {
	sha := led.shard(run.print)
	sha.mut.Lock()
	defer sha.mut.Unlock()
	return run.epoch != sha.epoch
}

func (led *Detector) endTrial(run Run) {
	if run.trial {
		delete(led.trials, run.print)
		led.alone = false
	}
}

// pruneResets forgets resets that no crash followed.
func (led *Detector) pruneResets(now time.Time) {
	for len(led.resets) > 0 && now.Sub(led.resets[0].at) > led.set.ResetWindow {
		led.endTrial(led.resets[0].run)
		led.resets = led.resets[1:]
	}
}

func (sha *shard) land(fin core.Fingerprint) {
	if sha.flight[fin] > 1 {
		sha.flight[fin]--
		return
	}
	delete(sha.flight, fin)
}

// clear remembers a clearance for as long as an older suspicion may still be on its way.
func (led *Detector) clear(sha *shard, now time.Time, fin core.Fingerprint) {
	led.mark(sha, now, fin, &entry{state: StateCleared, expires: now.Add(2 * led.set.Delay)})
}

// HandleCrash marks what was in flight when the upstream crashed and returns the state updates to broadcast.
func (led *Detector) HandleCrash(now time.Time) []StateUpdate {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.pruneResets(now)
	victims := map[core.Fingerprint]bool{}
	for _, res := range led.resets {
		victims[res.run.print] = true
	}
	for i := range led.shards {
		sha := &led.shards[i]
		sha.mut.Lock()
		for fin := range sha.flight {
			victims[fin] = true
		}
		clear(sha.flight)
		sha.epoch++
		sha.mut.Unlock()
	}
	var out []StateUpdate
	for fin := range victims {
		out = append(out, StateUpdate{print: fin, state: led.blame(now, fin, led.alone && led.trials[fin])})
	}
	clear(led.trials)
	led.alone = false
	led.resets = nil
	slices.SortFunc(out, func(one, two StateUpdate) int { return bytes.Compare(one.print[:], two.print[:]) })
	return out
}

// blame gives a victim of a crash its next state.
func (led *Detector) blame(now time.Time, fin core.Fingerprint, convict bool) State {
	sha := led.shard(fin)
	sha.mut.Lock()
	defer sha.mut.Unlock()
	ent := led.lookup(sha, now, fin)
	switch {
	case !ent.suspect():
		led.mark(sha, now, fin, &entry{state: StateSuspected, expires: now.Add(led.set.Life)})
		return StateSuspected
	case convict:
		led.convict(sha, now, fin, ent)
	case ent.state == StateSuspected:
		ent.strikes++
	}
	return ent.state
}

// convict blocks a fingerprint; a conviction after the recheck is final for the rest of the life.
func (led *Detector) convict(sha *shard, now time.Time, fin core.Fingerprint, ent *entry) {
	if ent.suspect() && ent.state == StateBlocked {
		ent.final = ent.final || !now.Before(ent.recheck)
		return
	}
	if !ent.suspect() {
		ent = &entry{}
		led.mark(sha, now, fin, ent)
	}
	ent.state = StateBlocked
	ent.recheck = now.Add(led.set.Recheck)
	ent.expires = now.Add(led.set.Life)
}

// Merge applies a state update that a host of the service has broadcast.
func (led *Detector) Merge(now time.Time, fin core.Fingerprint, state State) {
	sha := led.shard(fin)
	sha.mut.Lock()
	defer sha.mut.Unlock()
	ent := led.lookup(sha, now, fin)
	switch state {
	case StateSuspected:
		// A clearance that is still remembered is newer than a suspicion on its way.
		if ent == nil {
			led.mark(sha, now, fin, &entry{state: StateSuspected, expires: now.Add(led.set.Life)})
		}
	case StateBlocked:
		led.convict(sha, now, fin, ent)
	case StateCleared:
		led.clear(sha, now, fin)
	}
}
