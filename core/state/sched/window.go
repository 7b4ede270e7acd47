package sched

import (
	"math"
	"time"
)

const (
	// windowShare is the part of the target within which the roots in flight finish at the present rate. The rest is
	// left for the spread of their times.
	windowShare = 0.85
	// firstSpread is how many standard deviations of the number in flight (its square root, as arrivals are random) the
	// window of the first rank leaves above its mean. Without it a window refuses a tenth of a load that fits; lower
	// ranks do without, so that their windows close first.
	firstSpread = 2
	// rateTime is the time over which completions are counted. It is about the time of one root, so that a rate that
	// falls shows before many more roots have been admitted.
	rateTime = time.Second
	buckets  = 10
	// leastWindow and leastShare keep a window open for roots of a class that has seen none finish lately: after a
	// pause, or while every chain fails, some must be tried. The larger one holds.
	// While most roots fail, as when a service below has no host, fewer are tried: each one costs work below.
	leastWindow = 4
	leastShare  = 1.0 / 8 // of the slots
	// openTime is how long a class without history is not limited, about two roots long.
	openTime = 2 * time.Second
)

// window bounds the roots of one class that are in flight at a host.
type window struct {
	rank   int
	flying int
	began  time.Time // first root
	target time.Duration
	counts [buckets]count // by tenth of rateTime
	at     int64          // number of the newest bucket
}

// count is what became of roots in one bucket.
type count struct {
	answered int
	failed   int
}

const bucketTime = rateTime / buckets

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketTime) }

// roll empties the buckets that have passed.
func (win *window) roll(now time.Time) {
	at := bucketOf(now)
	for num := max(win.at+1, at-buckets+1); num <= at; num++ {
		win.counts[num%buckets] = count{}
	}
	win.at = max(win.at, at)
}

func (win *window) sum(now time.Time) count {
	win.roll(now)
	var total count
	for _, cou := range win.counts {
		total.answered += cou.answered
		total.failed += cou.failed
	}
	return total
}

// limit returns how many roots may be in flight.
func (win *window) limit(now time.Time, slots int) int {
	total := win.sum(now)
	answered := float64(total.answered+1) / float64(total.answered+total.failed+1)
	least := answered * answered * max(leastWindow, leastShare*float64(slots))
	if total.failed == 0 && (win.began.IsZero() || now.Sub(win.began) < openTime) {
		return slots
	}
	fits := float64(total.answered) / rateTime.Seconds() * windowShare * win.target.Seconds()
	if win.rank == 0 {
		fits += firstSpread * math.Sqrt(fits)
	}
	return min(int(max(least, fits))+1, slots)
}

func (win *window) closed(now time.Time, slots int) bool { return win.flying >= win.limit(now, slots) }

func (win *window) enter(now time.Time) {
	if win.began.IsZero() {
		win.began = now
	}
	win.flying++
}

func (win *window) leave() { win.flying-- }

// finished counts a root that was answered or failed.
func (win *window) finished(now time.Time, target time.Duration, answered bool) {
	win.target = target
	win.roll(now)
	if answered {
		win.counts[win.at%buckets].answered++
	} else {
		win.counts[win.at%buckets].failed++
	}
}

// pacer bounds the requests to a cold upstream in any second.
type pacer struct {
	until time.Time
	sent  []time.Time // of the last requests, as many as a second allows; the oldest at next
	next  int
}

// set takes until when the upstream is cold. What was sent is kept while the rate stays the same.
func (pac *pacer) set(until time.Time, rate float64) {
	pac.until = until
	if allowed := max(1, int(rate)); allowed != len(pac.sent) {
		pac.sent, pac.next = make([]time.Time, allowed), 0
	}
}

// free says whether one more request may be sent.
func (pac *pacer) free(now time.Time) bool {
	return !now.Before(pac.until) || now.Sub(pac.sent[pac.next]) >= time.Second
}

// wait returns when a request may be sent that so many others precede.
func (pac *pacer) wait(now time.Time, ahead int) time.Duration {
	if ahead >= len(pac.sent) {
		return time.Second
	}
	oldest := pac.sent[(pac.next+ahead)%len(pac.sent)]
	return min(time.Second-now.Sub(oldest), pac.until.Sub(now))
}

func (pac *pacer) take(now time.Time) {
	if len(pac.sent) == 0 {
		return
	}
	pac.sent[pac.next] = now
	pac.next = (pac.next + 1) % len(pac.sent)
}
