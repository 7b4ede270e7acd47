package hedge

import (
	"sync"
	"time"
)

const (
	// The smoothed time and its deviation follow the estimator for retransmissions of TCP (RFC 6298), with the weights
	// given there. Calls differ more than round trips do, so more deviations pass before an answer counts as lost.
	meanWeight = 1.0 / 8
	devWeight  = 1.0 / 4
	devs       = 6
	// leastSamples and leastWait keep the estimate of a few quick answers from doubling the calls.
	leastSamples = 20
	leastWait    = 60 * time.Millisecond
)

// Estimator knows how long the answers of one ingress route take. It is safe for concurrent use.
type Estimator struct {
	mut   sync.Mutex
	mean  time.Duration
	dev   time.Duration
	count int
}

// Observe records the time of an answer.
func (tim *Estimator) Observe(took time.Duration) {
	tim.mut.Lock()
	defer tim.mut.Unlock()
	tim.count++
	if tim.count == 1 {
		tim.mean, tim.dev = took, took/2
		return
	}
	diff := took - tim.mean
	tim.mean += time.Duration(meanWeight * float64(diff))
	tim.dev += time.Duration(devWeight * float64(max(diff, -diff)-tim.dev))
}

// Delay returns the time after which an answer has probably been lost, or 0 when too few answers are known, or when a
// further call would not be answered within the remaining time.
func (tim *Estimator) Delay(remaining time.Duration) time.Duration {
	tim.mut.Lock()
	defer tim.mut.Unlock()
	if tim.count < leastSamples {
		return 0
	}
	after := max(tim.mean+devs*tim.dev, leastWait)
	if after+tim.mean > remaining {
		return 0
	}
	return after
}
