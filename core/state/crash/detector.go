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
const shardCount = 64

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
	fingerprint core.Fingerprint
	state       State
}

// Fingerprint returns the fingerprint.
func (upd StateUpdate) Fingerprint() core.Fingerprint { return upd.fingerprint }

// State returns the state.
func (upd StateUpdate) State() State { return upd.state }

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
	fingerprint core.Fingerprint
	epoch       uint64
	trial       bool
}

// entry is what a host knows about a marked fingerprint.
type entry struct {
	state      State
	strikes    int       // crashes in trials
	finalBlock bool      // convicted again after the recheck
	recheckAt  time.Time // when a convicted fingerprint may have one more trial
	expiresAt  time.Time
}

// suspect says whether the fingerprint may run only in trials.
func (ent *entry) isSuspect() bool { return ent != nil && ent.state != StateCleared }

// solo says whether a trial must have no other suspect in flight.
func (ent *entry) needsSolo() bool { return ent.strikes > 0 || ent.state == StateBlocked }

// verdict returns what may be done with the fingerprint at a host that does not try it.
func (ent *entry) decision(now time.Time) Decision {
	switch {
	case !ent.isSuspect():
		return DecisionAllow
	case ent.state == StateBlocked && (ent.finalBlock || now.Before(ent.recheckAt)):
		return DecisionBlock
	}
	return DecisionSuspect
}

// shard holds a part of the fingerprints.
type shard struct {
	mut      sync.Mutex
	epoch    uint64 // crashes so far
	inFlight map[core.Fingerprint]int
	entries  map[core.Fingerprint]*entry
}

// reset is a run whose connection was lost; whether the upstream crashed is decided a little later.
type reset struct {
	run Run
	at  time.Time
}

// Detector knows the requests in flight at one upstream and the marked fingerprints of its service.
type Detector struct {
	set        Settings
	entryCount atomic.Int64 // marks in all shards; zero makes Check cheap
	shards     [shardCount]shard

	mut               sync.Mutex // for trials and resets; taken before a shard's lock
	trials            map[core.Fingerprint]bool
	soloRunning       bool      // the only trial is a solo trial
	soloReservedUntil time.Time // until then only a solo trial may start
	pendingResets     []reset
}

// New returns the detector of an upstream without requests.
func New(set Settings) *Detector {
	det := &Detector{set: set, trials: map[core.Fingerprint]bool{}}
	for i := range det.shards {
		det.shards[i].inFlight = map[core.Fingerprint]int{}
		det.shards[i].entries = map[core.Fingerprint]*entry{}
	}
	return det
}

func (det *Detector) shardOf(fp core.Fingerprint) *shard { return &det.shards[fp[0]%shardCount] }

// lookup returns a mark that has not expired, or nil; the caller holds the shard's lock.
func (det *Detector) lookup(shd *shard, now time.Time, fp core.Fingerprint) *entry {
	ent := shd.entries[fp]
	if ent != nil && !now.Before(ent.expiresAt) {
		det.remove(shd, fp)
		return nil
	}
	return ent
}

func (det *Detector) remove(shd *shard, fp core.Fingerprint) {
	delete(shd.entries, fp)
	det.entryCount.Add(-1)
}

// mark stores a new mark; a full shard gives up the mark that expires first, a conviction only for a conviction.
func (det *Detector) store(shd *shard, now time.Time, fp core.Fingerprint, ent *entry) {
	if shd.entries[fp] == nil {
		if len(shd.entries) >= (det.set.MaxStateUpdates+shardCount-1)/shardCount && !det.evict(shd, now, ent) {
			return
		}
		det.entryCount.Add(1)
	}
	shd.entries[fp] = ent
}

func (det *Detector) evict(shd *shard, now time.Time, ent *entry) bool {
	var soonest core.Fingerprint
	var soonestEntry *entry
	for fp, other := range shd.entries {
		if !now.Before(other.expiresAt) {
			det.remove(shd, fp)
			return true
		}
		protected := other.state == StateBlocked && ent.state != StateBlocked
		if !protected && (soonestEntry == nil || other.expiresAt.Before(soonestEntry.expiresAt)) {
			soonest, soonestEntry = fp, other
		}
	}
	if soonestEntry == nil {
		return false
	}
	det.remove(shd, soonest)
	return true
}

// Check returns what a node that does not run the request may do with it; the owner of a suspect calls Start.
func (det *Detector) Check(now time.Time, fp core.Fingerprint) Decision {
	if det.entryCount.Load() == 0 {
		return DecisionAllow
	}
	shd := det.shardOf(fp)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return det.lookup(shd, now, fp).decision(now)
}

// Start registers a request that is about to be sent to the upstream; owner says whether this host tries the fingerprint.
// The caller must call Finish after DecisionAllow and DecisionTrial, and must not run the request otherwise.
func (det *Detector) Start(now time.Time, fp core.Fingerprint, owner bool) (Run, Decision) {
	shd := det.shardOf(fp)
	shd.mut.Lock()
	dec := det.lookup(shd, now, fp).decision(now)
	if dec == DecisionAllow {
		defer shd.mut.Unlock()
		shd.inFlight[fp]++
		return Run{fingerprint: fp, epoch: shd.epoch}, DecisionAllow
	}
	shd.mut.Unlock()
	if dec == DecisionBlock || !owner {
		return Run{}, dec
	}
	return det.startTrial(now, fp)
}

// try starts a trial if the trials in progress allow it.
func (det *Detector) startTrial(now time.Time, fp core.Fingerprint) (Run, Decision) {
	det.mut.Lock()
	defer det.mut.Unlock()
	det.pruneResets(now)
	shd := det.shardOf(fp)
	shd.mut.Lock()
	ent := det.lookup(shd, now, fp)
	solo := ent.isSuspect() && ent.needsSolo()
	shd.mut.Unlock()

	switch {
	case det.trials[fp]:
		return Run{}, DecisionWait
	case solo && (len(det.trials) > 0 || det.suspectInFlight(now)):
		det.soloReservedUntil = now.Add(det.set.Reserve)
		return Run{}, DecisionWait
	case !solo && (det.soloRunning || now.Before(det.soloReservedUntil) || len(det.trials) >= det.set.Group):
		return Run{}, DecisionWait
	}
	det.trials[fp] = true
	det.soloRunning = solo
	if solo {
		det.soloReservedUntil = time.Time{}
	}
	shd.mut.Lock()
	defer shd.mut.Unlock()
	shd.inFlight[fp]++
	return Run{fingerprint: fp, epoch: shd.epoch, trial: true}, DecisionTrial
}

// suspectInFlight says whether a copy that started before its state update arrived is still running.
func (det *Detector) suspectInFlight(now time.Time) bool {
	for i := range det.shards {
		shd := &det.shards[i]
		shd.mut.Lock()
		for fp := range shd.inFlight {
			if det.lookup(shd, now, fp).isSuspect() {
				shd.mut.Unlock()
				return true
			}
		}
		shd.mut.Unlock()
	}
	return false
}

// Finish records the end of a run; it returns a state update to broadcast when an answer has cleared the fingerprint.
func (det *Detector) Finish(now time.Time, run Run, res Result) (StateUpdate, bool) {
	if res == ResultReset || run.trial {
		det.finishResetOrTrial(now, run, res)
	}
	shd := det.shardOf(run.fingerprint)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	// A crash has already removed earlier runs from flight.
	if run.epoch == shd.epoch {
		shd.removeInFlight(run.fingerprint)
	}
	if res != ResultAnswered || !det.lookup(shd, now, run.fingerprint).isSuspect() {
		return StateUpdate{}, false
	}
	det.storeCleared(shd, now, run.fingerprint)
	return StateUpdate{fingerprint: run.fingerprint, state: StateCleared}, true
}

// endRare frees the slot of a trial and remembers a reset until it is known whether the upstream crashed.
func (det *Detector) finishResetOrTrial(now time.Time, run Run, res Result) {
	det.mut.Lock()
	defer det.mut.Unlock()
	if det.crashedSinceStart(run) {
		return
	}
	if res == ResultReset {
		det.pruneResets(now)
		det.pendingResets = append(det.pendingResets, reset{run: run, at: now})
		// The slot stays taken, so that the next trial does not start before the crash is detected.
		if run.trial {
			return
		}
	}
	det.endTrial(run)
}

// ended says whether a crash has already ended a run.
func (det *Detector) crashedSinceStart(run Run) bool {
	shd := det.shardOf(run.fingerprint)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return run.epoch != shd.epoch
}

func (det *Detector) endTrial(run Run) {
	if run.trial {
		delete(det.trials, run.fingerprint)
		det.soloRunning = false
	}
}

// pruneResets forgets resets that no crash followed.
func (det *Detector) pruneResets(now time.Time) {
	for len(det.pendingResets) > 0 && now.Sub(det.pendingResets[0].at) > det.set.ResetWindow {
		det.endTrial(det.pendingResets[0].run)
		det.pendingResets = det.pendingResets[1:]
	}
}

func (shd *shard) removeInFlight(fp core.Fingerprint) {
	if shd.inFlight[fp] > 1 {
		shd.inFlight[fp]--
		return
	}
	delete(shd.inFlight, fp)
}

// clear remembers a clearance for as long as an older suspicion may still be on its way.
func (det *Detector) storeCleared(shd *shard, now time.Time, fp core.Fingerprint) {
	det.store(shd, now, fp, &entry{state: StateCleared, expiresAt: now.Add(2 * det.set.Delay)})
}

// HandleCrash marks what was in flight when the upstream crashed and returns the state updates to broadcast.
func (det *Detector) HandleCrash(now time.Time) []StateUpdate {
	det.mut.Lock()
	defer det.mut.Unlock()
	det.pruneResets(now)
	inFlight := map[core.Fingerprint]bool{}
	for _, rst := range det.pendingResets {
		inFlight[rst.run.fingerprint] = true
	}
	for i := range det.shards {
		shd := &det.shards[i]
		shd.mut.Lock()
		for fp := range shd.inFlight {
			inFlight[fp] = true
		}
		clear(shd.inFlight)
		shd.epoch++
		shd.mut.Unlock()
	}
	var out []StateUpdate
	for fp := range inFlight {
		out = append(out, StateUpdate{fingerprint: fp, state: det.updateAfterCrash(now, fp, det.soloRunning && det.trials[fp])})
	}
	clear(det.trials)
	det.soloRunning = false
	det.pendingResets = nil
	slices.SortFunc(out, func(one, two StateUpdate) int { return bytes.Compare(one.fingerprint[:], two.fingerprint[:]) })
	return out
}

// blame gives a victim of a crash its next state.
func (det *Detector) updateAfterCrash(now time.Time, fp core.Fingerprint, block bool) State {
	shd := det.shardOf(fp)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	ent := det.lookup(shd, now, fp)
	switch {
	case !ent.isSuspect():
		det.store(shd, now, fp, &entry{state: StateSuspected, expiresAt: now.Add(det.set.Life)})
		return StateSuspected
	case block:
		det.block(shd, now, fp, ent)
	case ent.state == StateSuspected:
		ent.strikes++
	}
	return ent.state
}

// convict blocks a fingerprint; a conviction after the recheck is final for the rest of the life.
func (det *Detector) block(shd *shard, now time.Time, fp core.Fingerprint, ent *entry) {
	if ent.isSuspect() && ent.state == StateBlocked {
		ent.finalBlock = ent.finalBlock || !now.Before(ent.recheckAt)
		return
	}
	if !ent.isSuspect() {
		ent = &entry{}
		det.store(shd, now, fp, ent)
	}
	ent.state = StateBlocked
	ent.recheckAt = now.Add(det.set.Recheck)
	ent.expiresAt = now.Add(det.set.Life)
}

// Merge applies a state update that a host of the service has broadcast.
func (det *Detector) Merge(now time.Time, fp core.Fingerprint, state State) {
	shd := det.shardOf(fp)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	ent := det.lookup(shd, now, fp)
	switch state {
	case StateSuspected:
		// A clearance that is still remembered is newer than a suspicion on its way.
		if ent == nil {
			det.store(shd, now, fp, &entry{state: StateSuspected, expiresAt: now.Add(det.set.Life)})
		}
	case StateBlocked:
		det.block(shd, now, fp, ent)
	case StateCleared:
		det.storeCleared(shd, now, fp)
	}
}
