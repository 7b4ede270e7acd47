package admit

import (
	"cmp"
	"container/heap"
	"time"
)

// QueueItem is a queued call that waits for a slot.
type QueueItem struct {
	rank        int
	nested      bool
	order       uint32
	deadline    time.Time
	cancelled   bool
	value       any
	heapIndexes [2]int // index in each heap of the queue, -1 outside a queue
}

// QueueItemSpec lists the fields of a new QueueItem.
type QueueItemSpec struct {
	Rank     int
	Nested   bool
	Order    uint32    // position among calls of the same rank and the same Nested; lower goes first
	Deadline time.Time // zero for none
	Value    any       // opaque to the queue
}

// NewQueueItem returns an item that is not in a queue yet.
func NewQueueItem(spec QueueItemSpec) *QueueItem {
	return &QueueItem{
		rank: spec.Rank, nested: spec.Nested, order: spec.Order, deadline: spec.Deadline,
		value: spec.Value, heapIndexes: [2]int{-1, -1},
	}
}

// Value returns the value given to NewQueueItem.
func (ite *QueueItem) Value() any { return ite.value }

// Deadline returns when the caller stops waiting, or the zero time.
func (ite *QueueItem) Deadline() time.Time { return ite.deadline }

// Cancel marks an item whose caller no longer waits; Pop drops it.
func (ite *QueueItem) Cancel() { ite.cancelled = true }

// DeadlineTooClose reports whether the deadline has passed or is closer than need, the time that a call needs.
func (ite *QueueItem) DeadlineTooClose(now time.Time, need time.Duration) bool {
	if ite.deadline.IsZero() {
		return false
	}
	left := ite.deadline.Sub(now)
	return left <= 0 || left < need
}

// compare orders items by importance: by rank, then nested calls (of root requests that run already) before root
// requests, then by order.
func (ite *QueueItem) compare(oth *QueueItem) int {
	if ite.rank != oth.rank {
		return cmp.Compare(ite.rank, oth.rank)
	}
	if ite.nested != oth.nested {
		if ite.nested {
			return -1
		}
		return 1
	}
	return cmp.Compare(ite.order, oth.order)
}

// A queue has one heap with its most important item at the top, to pop, and one with its least important, to evict.
const (
	mostImportant = iota
	leastImportant
)

type itemHeap struct {
	items []*QueueItem
	top   int // mostImportant or leastImportant
}

func (iht *itemHeap) Len() int { return len(iht.items) }

func (iht *itemHeap) Less(i, j int) bool {
	order := iht.items[i].compare(iht.items[j])
	if iht.top == leastImportant {
		return order > 0
	}
	return order < 0
}

func (iht *itemHeap) Swap(i, j int) {
	iht.items[i], iht.items[j] = iht.items[j], iht.items[i]
	iht.items[i].heapIndexes[iht.top] = i
	iht.items[j].heapIndexes[iht.top] = j
}

func (iht *itemHeap) Push(item any) {
	ite := item.(*QueueItem)
	ite.heapIndexes[iht.top] = len(iht.items)
	iht.items = append(iht.items, ite)
}

func (iht *itemHeap) Pop() any {
	last := len(iht.items) - 1
	ite := iht.items[last]
	iht.items[last] = nil
	iht.items = iht.items[:last]
	ite.heapIndexes[iht.top] = -1
	return ite
}

// Queue is a bounded priority queue of calls. It is not safe for concurrent use.
type Queue struct {
	maxLen int
	heaps  [2]itemHeap
}

// NewQueue returns a queue for at most maxLen items.
func NewQueue(maxLen int) *Queue {
	return &Queue{maxLen: maxLen, heaps: [2]itemHeap{{top: mostImportant}, {top: leastImportant}}}
}

// Len returns how many items are queued.
func (que *Queue) Len() int { return que.heaps[mostImportant].Len() }

// Resize changes the bound. Items beyond a lower bound stay until they are popped, removed or evicted by a Push.
func (que *Queue) Resize(maxLen int) { que.maxLen = maxLen }

// Push adds an item. When the queue is full, Push evicts and returns the least important item, which may be the new one.
func (que *Queue) Push(ite *QueueItem) *QueueItem {
	if que.maxLen <= 0 {
		return ite
	}
	if que.Len() >= que.maxLen {
		least := que.heaps[leastImportant].items[0]
		if ite.compare(least) >= 0 {
			return ite
		}
		que.Remove(least)
		que.insert(ite)
		return least
	}
	que.insert(ite)
	return nil
}

func (que *Queue) insert(ite *QueueItem) {
	heap.Push(&que.heaps[mostImportant], ite)
	heap.Push(&que.heaps[leastImportant], ite)
}

// Remove takes an item out and reports whether it was in the queue.
func (que *Queue) Remove(ite *QueueItem) bool {
	if ite.heapIndexes[mostImportant] < 0 {
		return false
	}
	heap.Remove(&que.heaps[mostImportant], ite.heapIndexes[mostImportant])
	heap.Remove(&que.heaps[leastImportant], ite.heapIndexes[leastImportant])
	return true
}

// Pop returns the most important item that can still be served in time, or nil. It also returns the items
// that it dropped because they were cancelled or their deadline is too close.
func (que *Queue) Pop(now time.Time, need time.Duration) (*QueueItem, []*QueueItem) {
	var dropped []*QueueItem
	for que.Len() > 0 {
		ite := que.heaps[mostImportant].items[0]
		que.Remove(ite)
		if !ite.cancelled && !ite.DeadlineTooClose(now, need) {
			return ite, dropped
		}
		dropped = append(dropped, ite)
	}
	return nil, dropped
}
