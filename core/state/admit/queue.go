package admit

import (
	"cmp"
	"container/heap"
	"time"
)

// QueueItem is a call that waits for its place.
type QueueItem struct {
	rank      int
	nested    bool
	order     uint32
	deadline  time.Time
	cancelled bool
	value     any
	places    [2]int // index in each heap, or -1
}

// QueueItemSpec lists the fields of a new QueueItem.
type QueueItemSpec struct {
	Rank     int
	Nested   bool
	Order    uint32    // place among calls of the same rank; lower goes first
	Deadline time.Time // zero for none
	Value    any       // owner's data
}

// NewQueueItem returns an item that is not in a queue yet.
func NewQueueItem(spec QueueItemSpec) *QueueItem {
	return &QueueItem{
		rank: spec.Rank, nested: spec.Nested, order: spec.Order, deadline: spec.Deadline,
		value: spec.Value, places: [2]int{-1, -1},
	}
}

// Value returns the owner's data.
func (ent *QueueItem) Value() any { return ent.value }

// Deadline returns when the caller stops waiting, or the zero time.
func (ent *QueueItem) Deadline() time.Time { return ent.deadline }

// Cancel marks an item whose caller has gone.
func (ent *QueueItem) Cancel() { ent.cancelled = true }

// DeadlineTooClose says whether the time left until the deadline is less than a call needs.
func (ent *QueueItem) DeadlineTooClose(now time.Time, need time.Duration) bool {
	if ent.deadline.IsZero() {
		return false
	}
	left := ent.deadline.Sub(now)
	return left <= 0 || left < need
}

// compare orders by importance: rank, calls of running roots before new roots, hash.
func (ent *QueueItem) compare(oth *QueueItem) int {
	if ent.rank != oth.rank {
		return cmp.Compare(ent.rank, oth.rank)
	}
	if ent.nested != oth.nested {
		if ent.nested {
			return -1
		}
		return 1
	}
	return cmp.Compare(ent.order, oth.order)
}

// ends of the order; each has a heap with that end at its top.
const (
	first = iota
	last
)

type entryHeap struct {
	items []*QueueItem
	end   int
}

func (hea *entryHeap) Len() int { return len(hea.items) }

func (hea *entryHeap) Less(i, j int) bool {
	order := hea.items[i].compare(hea.items[j])
	if hea.end == last {
		return order > 0
	}
	return order < 0
}

func (hea *entryHeap) Swap(i, j int) {
	hea.items[i], hea.items[j] = hea.items[j], hea.items[i]
	hea.items[i].places[hea.end] = i
	hea.items[j].places[hea.end] = j
}

func (hea *entryHeap) Push(item any) {
	ent := item.(*QueueItem)
	ent.places[hea.end] = len(hea.items)
	hea.items = append(hea.items, ent)
}

func (hea *entryHeap) Pop() any {
	end := len(hea.items) - 1
	ent := hea.items[end]
	hea.items[end] = nil
	hea.items = hea.items[:end]
	ent.places[hea.end] = -1
	return ent
}

// Queue is a bounded priority queue. It is not safe for concurrent use.
type Queue struct {
	size  int
	heaps [2]entryHeap
}

// NewQueue returns a queue for at most size items.
func NewQueue(size int) *Queue {
	return &Queue{size: size, heaps: [2]entryHeap{{end: first}, {end: last}}}
}

// Len returns how many items wait.
func (que *Queue) Len() int { return que.heaps[first].Len() }

// Resize changes the bound; items beyond it leave when they are popped or evicted by a Push.
func (que *Queue) Resize(size int) { que.size = size }

// Push adds an item. When the queue is full it returns the least important one, which may be the new one.
func (que *Queue) Push(ent *QueueItem) *QueueItem {
	if que.size <= 0 {
		return ent
	}
	if que.Len() >= que.size {
		worst := que.heaps[last].items[0]
		if ent.compare(worst) >= 0 {
			return ent
		}
		que.Remove(worst)
		que.insert(ent)
		return worst
	}
	que.insert(ent)
	return nil
}

func (que *Queue) insert(ent *QueueItem) {
	heap.Push(&que.heaps[first], ent)
	heap.Push(&que.heaps[last], ent)
}

// Remove takes an item out and says whether it was in the queue.
func (que *Queue) Remove(ent *QueueItem) bool {
	if ent.places[first] < 0 {
		return false
	}
	heap.Remove(&que.heaps[first], ent.places[first])
	heap.Remove(&que.heaps[last], ent.places[last])
	return true
}

// Pop returns the most important item that can still be served in time, or nil. It also returns the items
// that it dropped because their caller has gone or their deadline is too near.
func (que *Queue) Pop(now time.Time, need time.Duration) (*QueueItem, []*QueueItem) {
	var dropped []*QueueItem
	for que.Len() > 0 {
		ent := que.heaps[first].items[0]
		que.Remove(ent)
		if !ent.cancelled && !ent.DeadlineTooClose(now, need) {
			return ent, dropped
		}
		dropped = append(dropped, ent)
	}
	return nil, dropped
}
