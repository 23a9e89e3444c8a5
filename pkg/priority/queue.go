// Package priority implements a priority queue for use with package container/heap.
// It tracks the index of each item, so that any item can be removed or moved with
// heap.Remove and heap.Fix.
package priority

// Item is an item of a Queue, usually a pointer.
type Item[T any] interface {
	// Before reports whether the item comes before the other item in the queue. No
	// two items may be equal in this order, so that the order of removal does not
	// depend on the order of insertion.
	Before(other T) bool
	// HeapIndex returns a pointer to the variable in which the queue stores the
	// item's index. The queue sets the index to -1 when it removes the item.
	HeapIndex() *int
}

// Queue implements heap.Interface. Its element 0 is the item that comes before all
// others.
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
