package gossip

import (
	"math/rand/v2"
	"time"
)

const (
	fallbackReadAfter = 10 * time.Second // age of the newest known direct read from which a node reads the platform itself
	minFallbackPause  = 30 * time.Second // shortest time between two fallback reads of one node
	maxFallbackPause  = 4 * time.Minute  // without the random part, which at most doubles it
)

// Freshness tracks the newest direct read of the platform by any node that this node knows of, and schedules this
// node's fallback reads: direct reads that it makes because it knows of no recent one.
type Freshness struct {
	started       time.Time
	newestRead    time.Time
	lastFallback  time.Time
	nextFallback  time.Time     // zero while no fallback read is planned, as while a recent direct read is known
	fallbackPause time.Duration // shortest time from the last fallback read to the next
}

// NewFreshness returns the freshness of a node that starts now and knows of no direct read.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{started: now, fallbackPause: minFallbackPause}
}

// RecordRead records the time of a direct read by this node or another one.
func (fre *Freshness) RecordRead(at time.Time) {
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

// IsFallbackDue reports whether this node should make a fallback read now. The first one is due at a random time within
// minFallbackPause: when the platform fails, all nodes stop learning of direct reads at the same moment, and without
// the random time they would all read simultaneously.
func (fre *Freshness) IsFallbackDue(now time.Time, rng *rand.Rand) bool {
	if age, _ := fre.Age(now); age < fallbackReadAfter {
		fre.nextFallback, fre.fallbackPause = time.Time{}, minFallbackPause
		return false
	}
	if fre.nextFallback.IsZero() {
		fre.nextFallback = fre.earliestFallback(now).Add(randomDuration(rng, minFallbackPause))
	}
	return !now.Before(fre.nextFallback)
}

// earliestFallback returns the earliest time of the next fallback read. It keeps minFallbackPause after the last one
// even if direct reads became known and stopped again in between.
func (fre *Freshness) earliestFallback(now time.Time) time.Time {
	if next := fre.lastFallback.Add(minFallbackPause); next.After(now) {
		return next
	}
	return now
}

// RecordFallback records a fallback read of this node and schedules the next. A read that fails or returns an old version
// doubles the pause between them, up to maxFallbackPause; any other resets it to minFallbackPause. A random time of up
// to the pause is added.
func (fre *Freshness) RecordFallback(now time.Time, succeeded bool, rng *rand.Rand) {
	fre.lastFallback = now
	if succeeded {
		fre.fallbackPause = minFallbackPause
	} else {
		fre.fallbackPause = min(2*fre.fallbackPause, maxFallbackPause)
	}
	fre.nextFallback = now.Add(fre.fallbackPause + randomDuration(rng, fre.fallbackPause))
}

// randomDuration returns a random duration of at least zero and below a limit.
func randomDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
