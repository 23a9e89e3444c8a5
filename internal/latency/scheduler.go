package latency

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Scheduler calls functions at later times from one goroutine, in the order of
// their due times. Functions with the same due time are called in the order in
// which they were added.
type Scheduler struct {
	mu      sync.Mutex
	pending callHeap
	nextSeq uint64
	// earlierCall wakes the goroutine when a call was added that is due before all
	// others.
	earlierCall chan struct{}
}

// NewScheduler returns a scheduler that calls functions until the context ends.
func NewScheduler(ctx context.Context) *Scheduler {
	s := &Scheduler{earlierCall: make(chan struct{}, 1)}
	go s.run(ctx)
	return s
}

// At schedules a call of f for the due time. f must not block, since all functions
// are called from one goroutine.
func (s *Scheduler) At(due time.Time, f func()) {
	s.mu.Lock()
	heap.Push(&s.pending, scheduledCall{due: due, seq: s.nextSeq, f: f})
	s.nextSeq++
	earliest := s.pending[0].seq == s.nextSeq-1
	s.mu.Unlock()
	if !earliest {
		return
	}
	select {
	case s.earlierCall <- struct{}{}:
	default:
	}
}

// run calls the added functions when they are due, until the context ends.
func (s *Scheduler) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.runDue())
		select {
		case <-timer.C:
		case <-s.earlierCall:
		case <-ctx.Done():
			return
		}
	}
}

// runDue calls the functions that are due. It returns the time until the next one is
// due, or an hour if there is none.
func (s *Scheduler) runDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 {
		remaining := time.Until(s.pending[0].due)
		if remaining > 0 {
			return remaining
		}
		f := heap.Pop(&s.pending).(scheduledCall).f
		s.mu.Unlock()
		f()
		s.mu.Lock()
	}
	return time.Hour
}

// scheduledCall is a function to call at the due time.
type scheduledCall struct {
	due time.Time
	seq uint64
	f   func()
}

// callHeap is a heap of calls, ordered by due time and then by sequence number.
type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	if !h[i].due.Equal(h[j].due) {
		return h[i].due.Before(h[j].due)
	}
	return h[i].seq < h[j].seq
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callHeap) Push(x any) { *h = append(*h, x.(scheduledCall)) }

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	n := len(old) - 1
	c := old[n]
	old[n] = scheduledCall{}
	*h = old[:n]
	return c
}
