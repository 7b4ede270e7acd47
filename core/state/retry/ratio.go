package retry

import (
	"sync/atomic"
	"time"
)

const (
	// DefaultShare is the highest number of retries of a node divided by its calls without those retries.
	DefaultShare = 0.1
	// DefaultMinPerSecond is the number of retries per second that a node may make however few its calls are.
	DefaultMinPerSecond = 1
	// NestedShareFactor is the fraction of the allowed share of retries that each node uses where the nested calls of a
	// retried call count as retries (CountInducedRetry). A node only knows its own calls: where retried calls gather at
	// a few hosts of a service, the other hosts still have their whole share for retries of their own.
	NestedShareFactor = 0.6

	windowSeconds = 10
	ringBuckets   = 32 // a power of two that holds two windows
	countBits     = 32
	countMask     = 1<<countBits - 1
)

// secondCounts is a ring buffer of event counts per second. Each bucket holds the Unix second in its upper half and the
// count in its lower half.
type secondCounts [ringBuckets]atomic.Uint64

// add adds delta to the count of a second and returns the new count.
func (cnt *secondCounts) add(sec uint64, delta int64) uint64 {
	bucket := &cnt[sec%ringBuckets]
	for {
		old := bucket.Load()
		base := old
		if old>>countBits < sec {
			base = sec << countBits
		}
		next := base + uint64(delta)
		if bucket.CompareAndSwap(old, next) {
			return next & countMask
		}
	}
}

// sum returns the events of the seconds in the window that ends with sec.
func (cnt *secondCounts) sum(sec uint64) uint64 {
	var total uint64
	for i := range cnt {
		packed := cnt[i].Load()
		if bucketSec := packed >> countBits; bucketSec <= sec && bucketSec+windowSeconds > sec {
			total += packed & countMask
		}
	}
	return total
}

// Ratio bounds the retries of a node over the last 10 seconds to a share of its calls.
type Ratio struct {
	share             float64
	minPerSecond      uint64
	usePreviousWindow bool // bound by the calls of the previous window if they are more
	calls             secondCounts
	retries           secondCounts
	byRank            [rankCount]secondCounts // calls that CountRank counted
}

// NewRatio returns a ratio that allows retries up to a share of the calls, and minPerSecond per second in any case.
func NewRatio(share float64, minPerSecond int) *Ratio {
	return &Ratio{share: share, minPerSecond: uint64(max(minPerSecond, 0))}
}

// IncludePreviousWindow makes the bound a share of the calls in the last 10 seconds or in the 10 seconds before,
// whichever are more: when a failure makes callers send fewer calls, these still need as many retries as the usual load.
func (rat *Ratio) IncludePreviousWindow() *Ratio {
	rat.usePreviousWindow = true
	return rat
}

// bound returns how many retries the share allows in the window that ends with sec.
func (rat *Ratio) bound(sec uint64) float64 {
	return rat.share * float64(rat.recent(&rat.calls, sec))
}

// recent returns the count of the window that ends with sec or, if it is used and more, of the one before.
func (rat *Ratio) recent(cnt *secondCounts, sec uint64) uint64 {
	count := cnt.sum(sec)
	if rat.usePreviousWindow && sec >= windowSeconds {
		count = max(count, cnt.sum(sec-windowSeconds))
	}
	return count
}

// CountCall counts a call that is not a retry.
func (rat *Ratio) CountCall(now time.Time) { rat.calls.add(unixSecond(now), 1) }

// CountInducedRetry counts a call that an upstream made while it ran a retry. The called service would not have got
// this call without that retry, so the call uses up the share of retries. The bound does not apply to the call itself.
func (rat *Ratio) CountInducedRetry(now time.Time) {
	sec := unixSecond(now)
	rat.calls.add(sec, 1)
	rat.retries.add(sec, 1)
}

// AllowFraction is Allow with a fraction of the bound, for retries that leave the rest to more important ones.
func (rat *Ratio) AllowFraction(now time.Time, fraction float64) bool {
	sec := unixSecond(now)
	if float64(rat.retries.sum(sec)+1) > fraction*rat.bound(sec) && rat.retries.sum(sec) >= uint64(fraction*float64(rat.minPerSecond)) {
		return false
	}
	return rat.Allow(now)
}

// Allow counts one retry and reports whether the ratio allows it; a refused retry is not counted.
func (rat *Ratio) Allow(now time.Time) bool {
	sec := unixSecond(now)
	// Counting before checking keeps concurrent retries from exceeding the bound together.
	if rat.retries.add(sec, 1) <= rat.minPerSecond {
		return true
	}
	if float64(rat.retries.sum(sec)) <= rat.bound(sec) {
		return true
	}
	rat.retries.add(sec, -1)
	return false
}

// unixSecond returns the Unix time in seconds, which fits into the upper half of a bucket until the year 2106.
func unixSecond(now time.Time) uint64 { return uint64(now.Unix()) & countMask }
