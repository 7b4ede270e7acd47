package handle

import (
	"sync"
	"sync/atomic"
	"time"

	"amaranthline/core"
)

const (
	fractionHoldTime = 500 * time.Millisecond // how long after an answer the fraction stays as it is
	recoveryInterval = 100 * time.Millisecond // interval at which a fraction rises while no answer reports one
	recoveryFactor   = 1.5
	recoveryStep     = 0.01 // lets a fraction of 0 rise as well
	// smoothingWeight is the weight of one answer in the moving average. On a route of which only some requests reach
	// an overloaded service, the average settles between the fractions of the two kinds of requests.
	smoothingWeight = 0.2
)

// fractionKey identifies the root requests that share an admission fraction.
type fractionKey struct {
	service string
	pattern string
	team    string
}

// fractionEstimate is the moving average of the fractions in answers. It is immutable; each answer replaces it.
type fractionEstimate struct {
	fraction float64
	updated  time.Time
}

// admissionFilter keeps the admission fractions that answers reported, so that the entry node refuses requests that a
// deeper hop would refuse after work had been done for them.
type admissionFilter struct {
	estimates sync.Map // fractionKey to *atomic.Pointer[fractionEstimate]
}

func (afi *admissionFilter) estimate(key fractionKey) *atomic.Pointer[fractionEstimate] {
	if ptr, ok := afi.estimates.Load(key); ok {
		return ptr.(*atomic.Pointer[fractionEstimate])
	}
	ptr, _ := afi.estimates.LoadOrStore(key, new(atomic.Pointer[fractionEstimate]))
	return ptr.(*atomic.Pointer[fractionEstimate])
}

// fraction returns the admission fraction of a key. While no answer reports a fraction, it rises step by step: a jump to
// 1 would let a whole burst through to a service that may still be overloaded.
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

// record adds the admission fraction that one answer reported.
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

// admits reports whether a root request is admitted: its admission hash, which is the same at all hops of the call chain,
// must be below the admission fraction.
func (afi *admissionFilter) admits(now time.Time, key fractionKey, rid core.RootID) bool {
	return float64(rid.Hash()) < afi.fraction(now, key)*core.AdmissionHashSpace
}
