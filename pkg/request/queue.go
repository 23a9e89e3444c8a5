package request

import "container/heap"

// queue holds the waiting requests of a service, earliest deadline first.
type queue struct {
	heap requestHeap
}

// Len returns the number of waiting requests.
func (q *queue) Len() int { return len(q.heap) }

func (q *queue) push(r *request) { heap.Push(&q.heap, r) }

func (q *queue) first() *request { return q.heap[0] }

func (q *queue) remove(r *request) { heap.Remove(&q.heap, r.queueIndex) }

type requestHeap []*request

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(i, j int) bool {
	if h[i].deadline != h[j].deadline {
		return h[i].deadline < h[j].deadline
	}
	return h[i].arrived.ID < h[j].arrived.ID
}
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex, h[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*request)
	r.queueIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	n := len(old) - 1
	r := old[n]
	old[n] = nil
	*h = old[:n]
	r.queueIndex = -1
	return r
}
