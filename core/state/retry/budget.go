package retry

import "sync/atomic"

// DefaultBudget is the number of retries of one root request.
const DefaultBudget = 2

// Budget holds the remaining retries of a root request at the node next to a calling upstream.
//
// A nested call borrows all remaining retries. A nested call that starts while another one holds the budget borrows
// nothing, but its own retries at this node use what other nested calls have returned by then. Retries that are borrowed
// and not returned are lost, so the retries of a root request never exceed its budget.
type Budget struct {
	remaining atomic.Int64
}

// NewBudget returns the budget of a running call that arrived with this many remaining retries.
func NewBudget(remaining int) *Budget {
	bud := &Budget{}
	bud.remaining.Store(int64(max(remaining, 0)))
	return bud
}

// Remaining returns the retries that can be spent or borrowed now.
func (bud *Budget) Remaining() int { return max(int(bud.remaining.Load()), 0) }

// Borrow takes all remaining retries for one nested call.
func (bud *Budget) Borrow() int {
	for {
		remaining := bud.remaining.Load()
		if remaining <= 0 {
			return 0
		}
		if bud.remaining.CompareAndSwap(remaining, 0) {
			return int(remaining)
		}
	}
}

// Return gives back the unused retries of a nested call, at most as many as the call borrowed.
func (bud *Budget) Return(borrowed, unused int) {
	unused = min(unused, borrowed)
	if unused > 0 {
		bud.remaining.Add(int64(unused))
	}
}

// Spend takes one retry and reports whether one remained.
func (bud *Budget) Spend() bool {
	for {
		remaining := bud.remaining.Load()
		if remaining <= 0 {
			return false
		}
		if bud.remaining.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
}

// Close returns the unused retries, which the answer of the running call carries. Retries that nested calls return
// later are lost.
func (bud *Budget) Close() int {
	// A value this far below zero stays negative, whatever nested calls return later.
	const closed = -1 << 40
	return max(int(bud.remaining.Swap(closed)), 0)
}
