package handle

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

const (
	learnedLife = 500 * time.Millisecond // how long a fraction is used as it was reported
	raiseEvery  = 100 * time.Millisecond // pause between raises of a fraction that nobody confirms
	raiseFactor = 1.5
	raiseStep   = 0.01
	// learnWeight is the weight of one answer. A route of which only some requests reach an
	// overloaded service settles between the fractions of the two kinds of requests.
	learnWeight = 0.2
)

// learnKey names what a fraction was learned for.
type learnKey struct {
	service string
	pattern string
	team    string
}

// learned is one immutable observation; a newer one replaces it.
type learned struct {
	fraction float64
	at       time.Time
}

// learner holds the admission fractions that answers reported, so that the entry refuses
// requests which a deeper hop would refuse after work was done for them.
type learner struct {
	entries sync.Map // learnKey to *atomic.Pointer[learned]
}

func (lea *learner) slot(key learnKey) *atomic.Pointer[learned] {
	if slot, ok := lea.entries.Load(key); ok {
		return slot.(*atomic.Pointer[learned])
	}
	slot, _ := lea.entries.LoadOrStore(key, new(atomic.Pointer[learned]))
	return slot.(*atomic.Pointer[learned])
}

// fraction returns the current fraction. Without news it rises step by step instead of jumping
// to one, because a jump lets a whole burst through to a service that may still be overloaded.
func (lea *learner) fraction(now time.Time, key learnKey) float64 {
	obs := lea.slot(key).Load()
	if obs == nil {
		return 1
	}
	return obs.raised(now)
}

func (obs *learned) raised(now time.Time) float64 {
	frac := obs.fraction
	for age := now.Sub(obs.at) - learnedLife; age > 0 && frac < 1; age -= raiseEvery {
		frac = frac*raiseFactor + raiseStep
	}
	return min(frac, 1)
}

// learn adds the fraction of one answer.
func (lea *learner) learn(now time.Time, key learnKey, fraction float64) {
	slot := lea.slot(key)
	for {
		old := slot.Load()
		if old == nil && fraction >= 1 {
			return
		}
		next := &learned{fraction: fraction, at: now}
		if old != nil {
			next.fraction = old.raised(now)*(1-learnWeight) + fraction*learnWeight
		}
		if slot.CompareAndSwap(old, next) {
			return
		}
	}
}

// admits compares the hash that all hops of the chain share with the learned fraction.
func (lea *learner) admits(now time.Time, key learnKey, rid core.RootID) bool {
	return float64(rid.Hash()) < lea.fraction(now, key)*core.HashSpace
}
