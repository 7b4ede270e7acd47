package crash

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

// shardCount is a power of two, so that the first byte of a fingerprint selects a shard evenly.
const shardCount = 64

// Settings configures a detector.
type Settings struct {
	EntryLifetime     time.Duration // how long a suspect or blocked fingerprint is kept
	Recheck           time.Duration // time from blocking a fingerprint to one more solo trial
	MaxBroadcastDelay time.Duration // longest time until a broadcast state update arrives
	ResetWindow       time.Duration // longest time from the first reset connection to the detection of a crash
	SoloReservation   time.Duration // how long a solo trial that must wait keeps shared trials from starting
	MaxTrialSuspects  int           // most suspects that share a trial
	MaxFingerprints   int           // most fingerprints whose state is kept
}

// DefaultSettings returns the settings that every host uses.
func DefaultSettings() Settings {
	return Settings{
		EntryLifetime: 10 * time.Minute, Recheck: time.Minute, MaxBroadcastDelay: time.Second, ResetWindow: time.Second,
		SoloReservation: time.Second, MaxTrialSuspects: 8, MaxFingerprints: 8192,
	}
}

// State is the state of a fingerprint that the hosts of a service broadcast to each other; its values are those of
// wire.Suspect.
type State uint8

// The states of a fingerprint.
const (
	StateSuspected State = 1
	StateBlocked   State = 2
	StateCleared   State = 3
)

// StateUpdate is a fingerprint and its new state, for broadcast.
type StateUpdate struct {
	fingerprint core.Fingerprint
	state       State
}

// Fingerprint returns the fingerprint.
func (upd StateUpdate) Fingerprint() core.Fingerprint { return upd.fingerprint }

// State returns the state.
func (upd StateUpdate) State() State { return upd.state }

// Decision reports whether and how a request may run.
type Decision uint8

// The decisions of Check and Start.
const (
	DecisionAllow   Decision = iota // run the request
	DecisionTrial                   // run the request as a trial; only Start returns this
	DecisionWait                    // call Start again later, or refuse the request as not run; only Start returns this
	DecisionForward                 // send the request to the owner of its fingerprint
	DecisionBlock                   // refuse the request
)

// Result says how a run ended.
type Result uint8

// The results of a run.
const (
	ResultAnswered     Result = iota // the upstream answered
	ResultReset                      // the upstream's connection was reset or closed before the answer
	ResultInconclusive               // timeout or cancellation, or the request was never sent
)

// Run is a request in flight at the upstream.
type Run struct {
	fingerprint core.Fingerprint
	crashCount  uint64 // crashes that the shard had counted at the start of the run
	isTrial     bool
}

// entry is what a host knows about a fingerprint that a state update named.
type entry struct {
	state        State
	strikes      int       // crashes with the suspect in flight, other than in a solo trial, which blocks it
	isFinalBlock bool      // crashed again in the solo trial after recheckAt; blocked until expiresAt
	recheckAt    time.Time // from when a blocked fingerprint may have one more solo trial
	expiresAt    time.Time
}

// isSuspect reports whether the fingerprint is suspect or blocked, so that it may run in trials only.
func (ent *entry) isSuspect() bool { return ent != nil && ent.state != StateCleared }

// needsSolo reports whether a trial of the fingerprint must have no other suspect in flight.
func (ent *entry) needsSolo() bool { return ent.strikes > 0 || ent.state == StateBlocked }

// decision returns the decision on a request with the fingerprint at a host that does not run its trials.
func (ent *entry) decision(now time.Time) Decision {
	switch {
	case !ent.isSuspect():
		return DecisionAllow
	case ent.state == StateBlocked && (ent.isFinalBlock || now.Before(ent.recheckAt)):
		return DecisionBlock
	}
	return DecisionForward
}

// shard holds the fingerprints whose first byte selects it.
type shard struct {
	mut        sync.Mutex
	crashCount uint64                   // crashes so far; runs that started before the last one are no longer in inFlight
	inFlight   map[core.Fingerprint]int // number of runs
	entries    map[core.Fingerprint]*entry
}

// reset is a run whose connection was reset; it is kept for Settings.ResetWindow, within which a crash is detected.
type reset struct {
	run Run
	at  time.Time
}

// Detector tracks the requests in flight at one upstream, and the states of fingerprints of its service.
type Detector struct {
	settings   Settings
	entryCount atomic.Int64 // entries in all shards; while it is zero, Check takes no lock
	shards     [shardCount]shard

	mut               sync.Mutex // guards trials and resets; locked before a shard's mut
	trials            map[core.Fingerprint]bool
	soloRunning       bool      // the trial in progress is a solo trial
	soloReservedUntil time.Time // until then no shared trial may start, so that a waiting solo trial gets its turn
	pendingResets     []reset
}

// New returns the detector of an upstream with no requests in flight.
func New(set Settings) *Detector {
	det := &Detector{settings: set, trials: map[core.Fingerprint]bool{}}
	for i := range det.shards {
		det.shards[i].inFlight = map[core.Fingerprint]int{}
		det.shards[i].entries = map[core.Fingerprint]*entry{}
	}
	return det
}

func (det *Detector) shardOf(fp core.Fingerprint) *shard { return &det.shards[fp[0]%shardCount] }

// lookup returns the entry of a fingerprint if it has not expired, or nil; the caller holds the shard's lock.
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

// store adds or replaces an entry. If the shard is full, an added entry evicts another one; if none may be evicted, it is
// not added.
func (det *Detector) store(shd *shard, now time.Time, fp core.Fingerprint, ent *entry) {
	if shd.entries[fp] == nil {
		if len(shd.entries) >= (det.settings.MaxFingerprints+shardCount-1)/shardCount && !det.evict(shd, now, ent) {
			return
		}
		det.entryCount.Add(1)
	}
	shd.entries[fp] = ent
}

// evict removes an expired entry, or else the one that expires first; a blocked fingerprint makes room only for another
// blocked one. It returns false if no entry may be removed.
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

// Check returns the decision on a request at a node that does not run it; the node that runs it calls Start.
func (det *Detector) Check(now time.Time, fp core.Fingerprint) Decision {
	if det.entryCount.Load() == 0 {
		return DecisionAllow
	}
	shd := det.shardOf(fp)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return det.lookup(shd, now, fp).decision(now)
}

// Start registers a request that is about to be sent to the upstream; isOwner reports whether this host runs the trials
// of the fingerprint. The caller must call Finish after DecisionAllow and DecisionTrial, and must not run the request
// otherwise.
func (det *Detector) Start(now time.Time, fp core.Fingerprint, isOwner bool) (Run, Decision) {
	shd := det.shardOf(fp)
	shd.mut.Lock()
	dec := det.lookup(shd, now, fp).decision(now)
	if dec == DecisionAllow {
		defer shd.mut.Unlock()
		shd.inFlight[fp]++
		return Run{fingerprint: fp, crashCount: shd.crashCount}, DecisionAllow
	}
	shd.mut.Unlock()
	if dec == DecisionBlock || !isOwner {
		return Run{}, dec
	}
	return det.startTrial(now, fp)
}

// startTrial starts a trial if the trials in progress allow it.
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
		det.soloReservedUntil = now.Add(det.settings.SoloReservation)
		return Run{}, DecisionWait
	case !solo && (det.soloRunning || now.Before(det.soloReservedUntil) ||
		len(det.trials) >= det.settings.MaxTrialSuspects):
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
	return Run{fingerprint: fp, crashCount: shd.crashCount, isTrial: true}, DecisionTrial
}

// suspectInFlight reports whether a suspect is in flight, including one that started before its state update arrived.
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
	if res == ResultReset || run.isTrial {
		det.finishResetOrTrial(now, run, res)
	}
	shd := det.shardOf(run.fingerprint)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	// A crash has already removed the runs that started before it from inFlight.
	if run.crashCount == shd.crashCount {
		shd.removeInFlight(run.fingerprint)
	}
	if res != ResultAnswered || !det.lookup(shd, now, run.fingerprint).isSuspect() {
		return StateUpdate{}, false
	}
	det.storeCleared(shd, now, run.fingerprint)
	return StateUpdate{fingerprint: run.fingerprint, state: StateCleared}, true
}

// finishResetOrTrial ends a trial, and keeps a reset until it is known whether the upstream crashed.
func (det *Detector) finishResetOrTrial(now time.Time, run Run, res Result) {
	det.mut.Lock()
	defer det.mut.Unlock()
	if det.crashedSinceStart(run) {
		return
	}
	if res == ResultReset {
		det.pruneResets(now)
		det.pendingResets = append(det.pendingResets, reset{run: run, at: now})
		// The trial stays in progress, so that the next one does not start before the crash is detected.
		if run.isTrial {
			return
		}
	}
	det.endTrial(run)
}

// crashedSinceStart reports whether the upstream has crashed since the run started; HandleCrash has then ended the run.
func (det *Detector) crashedSinceStart(run Run) bool {
	shd := det.shardOf(run.fingerprint)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return run.crashCount != shd.crashCount
}

func (det *Detector) endTrial(run Run) {
	if run.isTrial {
		delete(det.trials, run.fingerprint)
		det.soloRunning = false
	}
}

// pruneResets drops resets that no crash followed within Settings.ResetWindow, and ends their trials.
func (det *Detector) pruneResets(now time.Time) {
	for len(det.pendingResets) > 0 && now.Sub(det.pendingResets[0].at) > det.settings.ResetWindow {
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

// storeCleared keeps the cleared state for as long as an older state update that makes the fingerprint suspect may still
// arrive.
func (det *Detector) storeCleared(shd *shard, now time.Time, fp core.Fingerprint) {
	det.store(shd, now, fp, &entry{state: StateCleared, expiresAt: now.Add(2 * det.settings.MaxBroadcastDelay)})
}

// HandleCrash updates the states of the requests in flight when the upstream crashed and returns the state updates to
// broadcast.
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
		shd.crashCount++
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

// updateAfterCrash sets and returns the next state of a fingerprint that was in flight at a crash; block reports
// whether it was in a solo trial.
func (det *Detector) updateAfterCrash(now time.Time, fp core.Fingerprint, block bool) State {
	shd := det.shardOf(fp)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	ent := det.lookup(shd, now, fp)
	switch {
	case !ent.isSuspect():
		det.store(shd, now, fp, &entry{state: StateSuspected, expiresAt: now.Add(det.settings.EntryLifetime)})
		return StateSuspected
	case block:
		det.block(shd, now, fp, ent)
	case ent.state == StateSuspected:
		ent.strikes++
	}
	return ent.state
}

// block blocks a fingerprint. A fingerprint that is already blocked and due for its recheck stays blocked until its entry
// expires.
func (det *Detector) block(shd *shard, now time.Time, fp core.Fingerprint, ent *entry) {
	if ent.isSuspect() && ent.state == StateBlocked {
		ent.isFinalBlock = ent.isFinalBlock || !now.Before(ent.recheckAt)
		return
	}
	if !ent.isSuspect() {
		ent = &entry{}
		det.store(shd, now, fp, ent)
	}
	ent.state = StateBlocked
	ent.recheckAt = now.Add(det.settings.Recheck)
	ent.expiresAt = now.Add(det.settings.EntryLifetime)
}

// Merge applies a state update that a host of the service has broadcast.
func (det *Detector) Merge(now time.Time, fp core.Fingerprint, state State) {
	shd := det.shardOf(fp)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	ent := det.lookup(shd, now, fp)
	switch state {
	case StateSuspected:
		// A cleared state that is still kept is newer than an update that makes the fingerprint suspect.
		if ent == nil {
			det.store(shd, now, fp, &entry{state: StateSuspected, expiresAt: now.Add(det.settings.EntryLifetime)})
		}
	case StateBlocked:
		det.block(shd, now, fp, ent)
	case StateCleared:
		det.storeCleared(shd, now, fp)
	}
}
