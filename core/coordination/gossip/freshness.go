package gossip

import (
	"math/rand/v2"
	"time"
)

const (
	staleAfter       = 10 * time.Second // without news of a direct read, a node reads the platform itself
	minFallbackPause = 30 * time.Second // shortest time between two direct reads of one node
	maxFallbackPause = 4 * time.Minute
)

// Freshness tracks the newest direct read of the platform that a node knows of, and when the node should read
// the platform itself because it heard of none.
type Freshness struct {
	started       time.Time
	newestRead    time.Time
	lastFallback  time.Time // own fallback read
	nextFallback  time.Time
	fallbackPause time.Duration
}

// NewFreshness returns the freshness of a node that starts now and has heard of no read.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{started: now, fallbackPause: minFallbackPause}
}

// Heard records a direct read that this node or another one made.
func (fre *Freshness) Heard(at time.Time) {
	if at.After(fre.newestRead) {
		fre.newestRead = at
	}
}

// Age returns the time since the newest known direct read, or since the start and false if none is known.
func (fre *Freshness) Age(now time.Time) (time.Duration, bool) {
	if fre.newestRead.IsZero() {
		return now.Sub(fre.started), false
	}
	return max(now.Sub(fre.newestRead), 0), true
}

// Due says whether this node should read the platform itself now. The first read falls at a random time within
// the pause, because all nodes stop hearing of reads at the same moment when the platform fails.
func (fre *Freshness) Due(now time.Time, rng *rand.Rand) bool {
	if age, _ := fre.Age(now); age < staleAfter {
		fre.nextFallback, fre.fallbackPause = time.Time{}, minFallbackPause
		return false
	}
	if fre.nextFallback.IsZero() {
		fre.nextFallback = fre.earliestFallback(now).Add(randomDuration(rng, minFallbackPause))
	}
	return !now.Before(fre.nextFallback)
}

// earliest keeps the pause between own reads also when freshness returned and was lost again in between.
func (fre *Freshness) earliestFallback(now time.Time) time.Time {
	if next := fre.lastFallback.Add(minFallbackPause); next.After(now) {
		return next
	}
	return now
}

// Done records an own fallback read; failed or stale reads double the pause up to 4 minutes.
func (fre *Freshness) Done(now time.Time, succeeded bool, rng *rand.Rand) {
	fre.lastFallback = now
	if succeeded {
		fre.fallbackPause = minFallbackPause
	} else {
		fre.fallbackPause = min(2*fre.fallbackPause, maxFallbackPause)
	}
	fre.nextFallback = now.Add(fre.fallbackPause + randomDuration(rng, fre.fallbackPause))
}

// randomPart returns a random time below a whole.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
