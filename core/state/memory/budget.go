package memory

import "sync/atomic"

// Budget is a number of bytes that concurrent holders share. The zero value has no bytes to give.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(bytes int) *Budget { return &Budget{limit: int64(max(bytes, 0))} }

// Reserve takes bytes and reports whether they were left; if not, it takes none.
func (bud *Budget) Reserve(bytes int) bool {
	if bytes <= 0 {
		return true
	}
	for {
		used := bud.used.Load()
		if int64(bytes) > bud.limit-used {
			return false
		}
		if bud.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

// Release gives back bytes that Reserve took.
func (bud *Budget) Release(bytes int) {
	if bytes > 0 {
		bud.used.Add(-int64(bytes))
	}
}

// Used returns the bytes that are taken.
func (bud *Budget) Used() int { return int(bud.used.Load()) }

// Limit returns the bytes of the budget.
func (bud *Budget) Limit() int { return int(bud.limit) }
