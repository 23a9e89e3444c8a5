package latency

import (
	"sync"
	"time"
)

// Link simulates one direction of a network link that transfers a limited number of
// bytes per second. Data waits in a queue while the link transfers earlier data.
type Link struct {
	bytesPerSecond int64
	mu             sync.Mutex
	idleAt         time.Time
	maxQueueTime   time.Duration
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond int64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Reserve queues n bytes at the given time and returns the time at which the link
// has transferred them. A nil Link transfers them at once.
func (l *Link) Reserve(at time.Time, n int) time.Time {
	if l == nil {
		return at
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	start := at
	if l.idleAt.After(start) {
		start = l.idleAt
	}
	l.maxQueueTime = max(l.maxQueueTime, start.Sub(at))
	l.idleAt = start.Add(time.Duration(int64(n) * int64(time.Second) / l.bytesPerSecond))
	return l.idleAt
}

// MaxQueueTime returns the longest time that data has waited in the queue of the
// link.
func (l *Link) MaxQueueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxQueueTime
}
