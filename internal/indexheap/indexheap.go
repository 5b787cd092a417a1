// Package indexheap implements a binary heap whose items store their positions, so that
// an item can be removed or moved without searching for it.
//
// A Heap is not safe for concurrent use. Push, Remove and Fix take O(log n).
package indexheap

import "container/heap"

// Heap is a min-heap of items of type T.
type Heap[T any] struct{ inner inner[T] }

// New returns an empty heap. less orders the items. position returns a pointer to the
// field of an item in which the heap stores its position; nothing else may write it.
func New[T any](less func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{inner[T]{less: less, position: position}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.inner.items) }

// First returns the least item; ok is false if the heap is empty.
func (h *Heap[T]) First() (item T, ok bool) {
	if h.Len() == 0 {
		return item, false
	}
	return h.inner.items[0], true
}

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.inner, item) }

// Remove removes an item, which must be in the heap.
func (h *Heap[T]) Remove(item T) { heap.Remove(&h.inner, *h.inner.position(item)) }

// Fix restores the order after the sort key of an item has changed. The item must be in
// the heap.
func (h *Heap[T]) Fix(item T) { heap.Fix(&h.inner, *h.inner.position(item)) }

// inner implements heap.Interface; it is a separate type so that Heap does not export
// the methods of that interface.
type inner[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int
}

func (h *inner[T]) Len() int           { return len(h.items) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *inner[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]), *h.position(h.items[j]) = i, j
}

func (h *inner[T]) Push(x any) {
	item := x.(T)
	*h.position(item) = len(h.items)
	h.items = append(h.items, item)
}

func (h *inner[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	return item
}
