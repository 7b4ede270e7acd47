package cost

import (
	"math"
	"sort"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// The distribution of a kind covers factors of 1.1 over about five orders of magnitude in at most maxBins bins.
	relativeAccuracy = 0.05
	maxBins          = 128
	// After each halveInterval the calls before it count half, unless they are fewer than minHalved. It is much longer than
	// slownessHalfLife, so that the distributions stay as they are while the upstream is slow for some seconds.
	halveInterval = 20 * time.Second
	minHalved     = 256
	// unusualWeight is the weight of a call that ends while the upstream is not about as fast as usual, between
	// 1/usualFactor and usualFactor times: its usual work is known less well.
	unusualWeight = 0.1
	usualFactor   = 1.5
	// refreshCount is the number of calls after which the sums over the tail are computed again.
	refreshCount = 64
	// minTailCount is the number of calls that must have lasted longer than an age to say what is left of one.
	minTailCount = 2
	minWork      = 100 * time.Microsecond // less counts as this much
)

// distribution is the decayed distribution of the work of one kind, in seconds.
type distribution struct {
	sketch   *ddsketch.DDSketch
	count    float64 // decayed number of calls
	sum      float64 // decayed sum of their work
	halvedAt time.Time
	stale    int // calls since the tail sums were computed
	values   []float64
	tailNum  []float64 // calls of at least the value of the same index
	tailSums []float64 // sum of their work
	usedAt   time.Time
}

// bins maps values to bins; all distributions share it.
var bins = newBins()

func newBins() *mapping.LogarithmicMapping {
	mpg, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		panic(err) // only if relativeAccuracy is not between 0 and 1
	}
	return mpg
}

func newDistribution(now time.Time) *distribution {
	return &distribution{
		sketch:   ddsketch.NewDDSketch(bins, store.NewCollapsingLowestDenseStore(maxBins), store.NewDenseStore()),
		halvedAt: now, stale: refreshCount,
	}
}

// add counts a call of the given work at the usual speed.
func (dis *distribution) add(now time.Time, work, weight float64) {
	work = max(work, minWork.Seconds())
	if dis.sketch.AddWithCount(work, weight) != nil { // refuses only values that are not numbers or out of its range
		return
	}
	dis.count += weight
	dis.sum += weight * work
	dis.stale++
	if now.Sub(dis.halvedAt) < halveInterval {
		return
	}
	if dis.count >= minHalved && dis.sketch.Reweight(0.5) == nil { // refuses only a weight that is not above 0
		dis.count, dis.sum = dis.count/2, dis.sum/2
	}
	dis.halvedAt = now
}

// refresh computes the sums over the tail from each bin on.
func (dis *distribution) refresh() {
	dis.stale = 0
	dis.values, dis.tailNum, dis.tailSums = dis.values[:0], dis.tailNum[:0], dis.tailSums[:0]
	dis.sketch.ForEach(func(value, count float64) bool {
		if count > 0 {
			dis.values = append(dis.values, value)
			dis.tailNum = append(dis.tailNum, count)
			dis.tailSums = append(dis.tailSums, count*value)
		}
		return false
	})
	for i := len(dis.values) - 2; i >= 0; i-- {
		dis.tailNum[i] += dis.tailNum[i+1]
		dis.tailSums[i] += dis.tailSums[i+1]
	}
}

// remaining returns the expected rest of the work of a call of which the given work is done. Beyond the longest calls
// seen, a call is expected to need as much again as it has had.
func (dis *distribution) remaining(done, mean float64) float64 {
	if dis.stale >= refreshCount {
		dis.refresh()
	}
	idx := sort.SearchFloat64s(dis.values, done)
	if idx == len(dis.values) || dis.tailNum[idx] < minTailCount {
		return math.Max(mean, done)
	}
	return dis.tailSums[idx]/dis.tailNum[idx] - done
}
