package alarm

import (
	"container/heap"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Queue is a priority queue of items by due time. Items with equal due times are
// returned in the order in which they were added. An item cannot be removed before
// it is due. Therefore the caller of Pop must check whether the returned item is
// still valid.
type Queue[T any] struct {
	items entries[T]
	// lastSeq is the insertion number (entry.seq) of the last item added.
	lastSeq uint64
}

// entry is an item with its due time and its insertion number, seq. The insertion
// number orders items with equal due times.
type entry[T any] struct {
	dueAt model.Time
	seq   uint64
	value T
}

// Add adds an item that becomes due at the given time.
func (q *Queue[T]) Add(at model.Time, value T) {
	q.lastSeq++
	heap.Push(&q.items, entry[T]{at, q.lastSeq, value})
}

// Next returns the earliest due time of an item, 0 if the queue is empty.
func (q *Queue[T]) Next() model.Time {
	if len(q.items) == 0 {
		return 0
	}
	return q.items[0].dueAt
}

// Pop removes and returns the item with the earliest due time. If no item is due at
// the given time, it returns false.
func (q *Queue[T]) Pop(at model.Time) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].dueAt > at {
		return value, false
	}
	return heap.Pop(&q.items).(entry[T]).value, true
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

// Len implements heap.Interface.
func (h entries[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entries[T]) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h entries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entries[T]) Push(x any) { *h = append(*h, x.(entry[T])) }

// Pop implements heap.Interface.
func (h *entries[T]) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = entry[T]{}
	*h = old[:n]
	return e
}
