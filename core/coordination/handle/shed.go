package handle

import (
	"sync/atomic"
	"time"

	"amaranthline/core/state/limit"
)

const (
	minConsecutiveSheds = 8           // sheds in a row, without a success in between, that show an upstream that takes nothing
	shedHoldTime        = time.Second // after this without a shed, the upstream gets calls again that try it
)

// shedding notices an upstream that sheds every call, as one that drains does.
type shedDetector struct {
	consecutive atomic.Int32
	lastShed    atomic.Int64 // nanoseconds since the epoch
}

// ended records the result of a call.
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

// on says whether the upstream takes nothing now.
func (sde *shedDetector) shedsAll(now time.Time) bool {
	return sde.consecutive.Load() >= minConsecutiveSheds && now.UnixNano()-sde.lastShed.Load() < int64(shedHoldTime)
}
