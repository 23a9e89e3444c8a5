// Package priority orders items for container/heap and keeps the position of
// each, so that an item can be removed or moved at any time.
package priority

// Item is an item of a Queue, usually a pointer.
type Item[T any] interface {
	// Before reports whether the item comes before the other one. It must order
	// all items, so that the order does not depend on how they were added.
	Before(other T) bool
	// Position is where the queue keeps the item's index, -1 outside a queue.
	HeapIndex() *int
}

// Queue implements heap.Interface; its first element is the first in order.
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
	var none T
	old[n] = none
	*q = old[:n]
	*item.HeapIndex() = -1
	return item
}
