package admission

import (
	"container/heap"
	"time"
)

// entry is one queued request.
type entry struct {
	Request
	seq       uint64          // order of arrival
	checkAt   time.Time       // next time to check the deadline; zero if there is none
	positions [orderCount]int // position in the heap of each order
}

// The orders in which queued requests are looked up.
const (
	byMostImportant  = iota // most important first; isolated requests have a separate heap
	byLeastImportant        // least important first
	byCheckTime             // earliest check first
	orderCount
)

// indexedHeap is a container/heap of entries that store their position in it.
type indexedHeap struct {
	entries []*entry
	order   int
	less    func(a, b *entry) bool
}

func (h *indexedHeap) Len() int           { return len(h.entries) }
func (h *indexedHeap) Less(i, j int) bool { return h.less(h.entries[i], h.entries[j]) }

func (h *indexedHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].positions[h.order], h.entries[j].positions[h.order] = i, j
}

func (h *indexedHeap) Push(x any) {
	e := x.(*entry)
	e.positions[h.order] = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *indexedHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

func (h *indexedHeap) first() *entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

func (h *indexedHeap) remove(e *entry) { heap.Remove(h, e.positions[h.order]) }

// moreImportant orders by priority value, then by arrival.
func moreImportant(a, b *entry) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.seq < b.seq
}

func lessImportant(a, b *entry) bool { return moreImportant(b, a) }

func checkedEarlier(a, b *entry) bool { return a.checkAt.Before(b.checkAt) }

// queue holds requests that wait for a slot.
type queue struct {
	normal, isolated indexedHeap // byMostImportant
	leastImportant   indexedHeap
	checks           indexedHeap
	seq              uint64
}

func newQueue() queue {
	return queue{
		normal:         indexedHeap{order: byMostImportant, less: moreImportant},
		isolated:       indexedHeap{order: byMostImportant, less: moreImportant},
		leastImportant: indexedHeap{order: byLeastImportant, less: lessImportant},
		checks:         indexedHeap{order: byCheckTime, less: checkedEarlier},
	}
}

func (q *queue) len() int { return q.leastImportant.Len() }

// heapOf returns the heap in which e is ordered by importance.
func (q *queue) heapOf(e *entry) *indexedHeap {
	if e.Isolated {
		return &q.isolated
	}
	return &q.normal
}

func (q *queue) add(r Request, checkAt time.Time) *entry {
	q.seq++
	e := &entry{Request: r, seq: q.seq, checkAt: checkAt}
	heap.Push(q.heapOf(e), e)
	heap.Push(&q.leastImportant, e)
	if !checkAt.IsZero() {
		heap.Push(&q.checks, e)
	}
	return e
}

func (q *queue) remove(e *entry) {
	q.heapOf(e).remove(e)
	q.leastImportant.remove(e)
	if !e.checkAt.IsZero() {
		q.checks.remove(e)
	}
}

// postpone sets the next check of an entry that has one.
func (q *queue) postpone(e *entry, checkAt time.Time) {
	e.checkAt = checkAt
	heap.Fix(&q.checks, e.positions[byCheckTime])
}

// next returns the most important entry that may start, or nil. Isolated entries
// may start only while no isolated request is running.
func (q *queue) next(isolatedRunning bool) *entry {
	firstNormal, firstIsolated := q.normal.first(), q.isolated.first()
	if firstIsolated == nil || isolatedRunning {
		return firstNormal
	}
	if firstNormal == nil || moreImportant(firstIsolated, firstNormal) {
		return firstIsolated
	}
	return firstNormal
}
