package handle

import (
	"sync/atomic"
	"time"

	"amaranthline/core/state/limit"
)

const (
	minConsecutiveSheds = 8           // shed calls, with no success between them, after which the upstream counts as shedding every call
	shedHoldTime        = time.Second // after this time without a shed call, the upstream gets calls again as a trial
)

// shedDetector detects an upstream that sheds every call, as one that drains does.
type shedDetector struct {
	consecutive atomic.Int32
	lastShed    atomic.Int64 // nanoseconds since the Unix epoch
}

// record counts the result of a call.
func (sde *shedDetector) record(now time.Time, res limit.Result) {
	switch res {
	case limit.Shed:
		sde.consecutive.Add(1)
		sde.lastShed.Store(now.UnixNano())
	case limit.Success:
		if sde.consecutive.Load() != 0 {
			sde.consecutive.Store(0)
		}
	}
}

// shedsAll reports whether the upstream sheds every call at the given time.
func (sde *shedDetector) shedsAll(now time.Time) bool {
	return sde.consecutive.Load() >= minConsecutiveSheds && now.UnixNano()-sde.lastShed.Load() < int64(shedHoldTime)
}
