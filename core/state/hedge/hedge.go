package hedge

import (
	"sync"
	"time"
)

const (
	// The smoothed time and its deviation follow the estimator for retransmissions of TCP (RFC 6298), with the weights
	// given there. Calls differ more than round trips do, so more deviations pass before an answer counts as lost.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviations      = 6
	// leastSamples and leastWait keep the estimate of a few quick answers from doubling the calls.
	minSamples = 20
	minDelay   = 60 * time.Millisecond
)

// Estimator knows how long the answers of one ingress route take. It is safe for concurrent use.
type Estimator struct {
	mut       sync.Mutex
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// Observe records the time of an answer.
func (est *Estimator) Observe(took time.Duration) {
	est.mut.Lock()
	defer est.mut.Unlock()
	est.samples++
	if est.samples == 1 {
		est.mean, est.deviation = took, took/2
		return
	}
	diff := took - est.mean
	est.mean += time.Duration(meanWeight * float64(diff))
	est.deviation += time.Duration(deviationWeight * float64(max(diff, -diff)-est.deviation))
}

// Delay returns the time after which an answer has probably been lost, or 0 when too few answers are known, or when a
// further call would not be answered within the remaining time.
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
