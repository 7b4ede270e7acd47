package handle

import (
	"sync/atomic"
	"time"

	"amaranthline/core/state/limit"
)

const (
	shedRow  = 8           // sheds in a row, without a success in between, that show an upstream that takes nothing
	shedLife = time.Second // after this without a shed, the upstream gets calls again that try it
)

// shedding notices an upstream that sheds every call, as one that drains does.
type shedding struct {
	row  atomic.Int32
	last atomic.Int64 // nanoseconds since the epoch
}

// ended records the result of a call.
func (she *shedding) ended(now time.Time, res limit.Result) {
	switch res {
	case limit.Shed:
		she.row.Add(1)
		she.last.Store(now.UnixNano())
	case limit.Success:
		if she.row.Load() != 0 {
			she.row.Store(0)
		}
	}
}

// on says whether the upstream takes nothing now.
func (she *shedding) on(now time.Time) bool {
	return she.row.Load() >= shedRow && now.UnixNano()-she.last.Load() < int64(shedLife)
}
