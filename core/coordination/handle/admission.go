package handle

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

const (
	fractionHoldTime = 500 * time.Millisecond // how long a fraction is used as it was reported
	recoveryInterval = 100 * time.Millisecond // pause between raises of a fraction that nobody confirms
	recoveryFactor   = 1.5
	recoveryStep     = 0.01
	// learnWeight is the weight of one answer. A route of which only some requests reach an
	// overloaded service settles between the fractions of the two kinds of requests.
	smoothingWeight = 0.2
)

// learnKey names what a fraction was learned for.
type fractionKey struct {
	service string
	pattern string
	team    string
}

// learned is one immutable observation; a newer one replaces it.
type fractionEstimate struct {
	fraction float64
	updated  time.Time
}

// learner holds the admission fractions that answers reported, so that the entry refuses
// requests which a deeper hop would refuse after work was done for them.
type admissionFilter struct {
	estimates sync.Map // learnKey to *atomic.Pointer[learned]
}

func (afi *admissionFilter) estimate(key fractionKey) *atomic.Pointer[fractionEstimate] {
	if ptr, ok := afi.estimates.Load(key); ok {
		return ptr.(*atomic.Pointer[fractionEstimate])
	}
	ptr, _ := afi.estimates.LoadOrStore(key, new(atomic.Pointer[fractionEstimate]))
	return ptr.(*atomic.Pointer[fractionEstimate])
}

// fraction returns the current fraction. Without news it rises step by step instead of jumping
// to one, because a jump lets a whole burst through to a service that may still be overloaded.
func (afi *admissionFilter) fraction(now time.Time, key fractionKey) float64 {
	est := afi.estimate(key).Load()
	if est == nil {
		return 1
	}
	return est.fractionAt(now)
}

func (est *fractionEstimate) fractionAt(now time.Time) float64 {
	frac := est.fraction
	for age := now.Sub(est.updated) - fractionHoldTime; age > 0 && frac < 1; age -= recoveryInterval {
		frac = frac*recoveryFactor + recoveryStep
	}
	return min(frac, 1)
}

// learn adds the fraction of one answer.
func (afi *admissionFilter) record(now time.Time, key fractionKey, fraction float64) {
	ptr := afi.estimate(key)
	for {
		old := ptr.Load()
		if old == nil && fraction >= 1 {
			return
		}
		next := &fractionEstimate{fraction: fraction, updated: now}
		if old != nil {
			next.fraction = old.fractionAt(now)*(1-smoothingWeight) + fraction*smoothingWeight
		}
		if ptr.CompareAndSwap(old, next) {
			return
		}
	}
}

// admits compares the hash that all hops of the chain share with the learned fraction.
func (afi *admissionFilter) admits(now time.Time, key fractionKey, rid core.RootID) bool {
	return float64(rid.Hash()) < afi.fraction(now, key)*core.HashSpace
}
