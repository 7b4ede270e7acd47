package hedge

import (
	"sync"
	"time"
)

const (
	// The mean answer time and its deviation are computed as in the retransmission timer of TCP (RFC 6298), with the
	// weights given there. Calls vary more than round trips do, so an answer counts as lost only after more deviations.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 6
	// minSamples and minDelay keep an estimate from a few quick answers from doubling the number of calls.
	minSamples = 20
	minDelay   = 60 * time.Millisecond
)

// Estimator estimates the answer times of one ingress route. Its zero value is ready and it is safe for concurrent use.
type Estimator struct {
	mut       sync.Mutex
	mean      time.Duration // moving average of the answer times
	deviation time.Duration // moving average of their absolute deviations from the mean
	samples   int
}

// Observe records how long an answer took.
func (est *Estimator) Observe(elapsed time.Duration) {
	est.mut.Lock()
	defer est.mut.Unlock()
	est.samples++
	if est.samples == 1 {
		est.mean, est.deviation = elapsed, elapsed/2
		return
	}
	diff := elapsed - est.mean
	est.mean += time.Duration(meanWeight * float64(diff))
	est.deviation += time.Duration(deviationWeight * float64(max(diff, -diff)-est.deviation))
}

// Delay returns the time after which an answer has probably been lost, or 0 when too few answers were observed, or when
// a second attempt after that time would probably not be answered within the remaining time.
func (est *Estimator) Delay(remaining time.Duration) time.Duration {
	est.mut.Lock()
	defer est.mut.Unlock()
	if est.samples < minSamples {
		return 0
	}
	delay := max(est.mean+deviations*est.deviation, minDelay)
	if delay+est.mean > remaining {
		return 0
	}
	return delay
}
