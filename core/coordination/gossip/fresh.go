package gossip

import (
	"math/rand/v2"
	"time"
)

const (
	staleAfter       = 10 * time.Second // without news of a direct read, a node reads the platform itself
	fallbackPause    = 30 * time.Second // shortest time between two direct reads of one node
	maxFallbackPause = 4 * time.Minute
)

// Freshness tracks the newest direct read of the platform that a node knows of, and when the node should read
// the platform itself because it heard of none.
type Freshness struct {
	started time.Time
	newest  time.Time
	last    time.Time // own fallback read
	due     time.Time
	pause   time.Duration
}

// NewFreshness returns the freshness of a node that starts now and has heard of no read.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{started: now, pause: fallbackPause}
}

// Heard records a direct read that this node or another one made.
func (fre *Freshness) Heard(at time.Time) {
	if at.After(fre.newest) {
		fre.newest = at
	}
}

// Age returns the time since the newest known direct read, or since the start and false if none is known.
func (fre *Freshness) Age(now time.Time) (time.Duration, bool) {
	if fre.newest.IsZero() {
		return now.Sub(fre.started), false
	}
	return max(now.Sub(fre.newest), 0), true
}

// Due says whether this node should read the platform itself now. The first read falls at a random time within
// the pause, because all nodes stop hearing of reads at the same moment when the platform fails.
func (fre *Freshness) Due(now time.Time, rng *rand.Rand) bool {
	if age, _ := fre.Age(now); age < staleAfter {
		fre.due, fre.pause = time.Time{}, fallbackPause
		return false
	}
	if fre.due.IsZero() {
		fre.due = fre.earliest(now).Add(randomPart(rng, fallbackPause))
	}
	return !now.Before(fre.due)
}

// earliest keeps the pause between own reads also when freshness returned and was lost again in between.
func (fre *Freshness) earliest(now time.Time) time.Time {
	if next := fre.last.Add(fallbackPause); next.After(now) {
		return next
	}
	return now
}

// Done records an own fallback read; failed or stale reads double the pause up to 4 minutes.
func (fre *Freshness) Done(now time.Time, good bool, rng *rand.Rand) {
	fre.last = now
	if good {
		fre.pause = fallbackPause
	} else {
		fre.pause = min(2*fre.pause, maxFallbackPause)
	}
	fre.due = now.Add(fre.pause + randomPart(rng, fre.pause))
}

// randomPart returns a random time below a whole.
func randomPart(rng *rand.Rand, whole time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(whole)))
}
