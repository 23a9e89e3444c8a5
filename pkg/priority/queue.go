// Package priority implements a priority queue for container/heap that tracks
// the index of each item, so that an item can be removed or moved at any time.
package priority

// Item is an item of a Queue, usually a pointer.
type Item[T any] interface {
	// Before reports whether the item is ordered before the other item. The order
	// must be total, so that the order of removal does not depend on the order of
	// insertion.
	Before(other T) bool
	// HeapIndex returns a pointer to the variable in which the queue stores the
	// item's index. The queue sets the index to -1 when the item is removed.
	HeapIndex() *int
}

// Queue implements heap.Interface. Its element 0 is the first in order.
type Queue[T Item[T]] []T

// Len implements heap.Interface.
func (q Queue[T]) Len() int { return len(q) }

// Less implements heap.Interface.
func (q Queue[T]) Less(i, j int) bool { return q[i].Before(q[j]) }

// Swap implements heap.Interface.
func (q Queue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	*q[i].HeapIndex(), *q[j].HeapIndex() = i, j
}

// Push implements heap.Interface.
func (q *Queue[T]) Push(x any) {
	item := x.(T)
	*item.HeapIndex() = len(*q)
	*q = append(*q, item)
}

// Pop implements heap.Interface.
func (q *Queue[T]) Pop() any {
	old := *q
	n := len(old) - 1
	item := old[n]
	var zero T
	old[n] = zero
	*q = old[:n]
	*item.HeapIndex() = -1
	return item
}
