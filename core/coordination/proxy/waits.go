package proxy

import (
	"sync"
	"time"
)

// nestedWaits adds up how long a running call waits for its nested calls, and how much of that these spend in queues. It is
// safe for concurrent use.
type nestedWaits struct {
	mut      sync.Mutex
	inFlight int
	since    time.Time     // when inFlight last rose from 0
	waited   time.Duration // while at least one nested call was in flight
	elapsed  time.Duration // sum over the nested calls
	queued   time.Duration // sum over the nested calls
}

// begin records that a nested call has begun.
func (nwa *nestedWaits) begin(now time.Time) {
	nwa.mut.Lock()
	defer nwa.mut.Unlock()
	if nwa.inFlight == 0 {
		nwa.since = now
	}
	nwa.inFlight++
}

// end records that a nested call has ended which began at a time and was queued for a part of its duration.
func (nwa *nestedWaits) end(now, began time.Time, queued time.Duration) {
	nwa.mut.Lock()
	defer nwa.mut.Unlock()
	nwa.elapsed += now.Sub(began)
	nwa.queued += queued
	if nwa.inFlight--; nwa.inFlight == 0 {
		nwa.waited += now.Sub(nwa.since)
	}
}

// queuedFor returns how much of its duration the call has waited for nested calls that were queued. Nested calls at the same
// time share the wait.
func (nwa *nestedWaits) queuedFor() time.Duration {
	nwa.mut.Lock()
	defer nwa.mut.Unlock()
	if nwa.elapsed <= 0 {
		return 0
	}
	return time.Duration(float64(nwa.queued) * min(float64(nwa.waited)/float64(nwa.elapsed), 1))
}
