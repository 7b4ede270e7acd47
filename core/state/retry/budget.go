package retry

import "sync/atomic"

// DefaultBudget is the number of retries of one root request.
const DefaultBudget = 2

// Budget is what remains of a root request's retries at the node beside a calling upstream.
//
// A nested call borrows everything that remains. A nested call that starts while another one holds the budget borrows
// nothing, but its own retries at this node draw on what the others have returned by then. What is borrowed and not
// returned is lost, so the retries of a root request never exceed its budget.
type Budget struct {
	remaining atomic.Int64
}

// NewBudget returns the budget that a running call brought along.
func NewBudget(remaining int) *Budget {
	bud := &Budget{}
	bud.remaining.Store(int64(max(remaining, 0)))
	return bud
}

// Remaining returns the retries that can be spent or borrowed now.
func (bud *Budget) Remaining() int { return max(int(bud.remaining.Load()), 0) }

// Borrow takes the whole remaining budget for one nested call.
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

// Return gives back the unused part of what a nested call borrowed; a larger claim counts as the borrowed amount.
func (bud *Budget) Return(borrowed, unused int) {
	unused = min(unused, borrowed)
	if unused > 0 {
		bud.remaining.Add(int64(unused))
	}
}

// Spend takes one retry and reports whether there was one.
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

// Close returns the unused budget for the answer of the running call; what nested calls return later is lost.
func (bud *Budget) Close() int {
	// A value this far below zero stays negative whatever late nested calls return.
	const closed = -1 << 40
	return max(int(bud.remaining.Swap(closed)), 0)
}
