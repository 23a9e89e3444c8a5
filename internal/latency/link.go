package latency

import (
	"sync"
	"time"
)

// Link is one direction of a link with a limited rate. Data waits in a queue
// while the link is busy.
type Link struct {
	bytesPerSecond int64
	mu             sync.Mutex
	idleAt         time.Time
	maxQueueTime   time.Duration
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond int64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Reserve queues n bytes at the given time and returns when the link has sent
// them. A nil link has no limit.
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

// MaxQueueTime returns the longest time that data waited in the queue.
func (l *Link) MaxQueueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxQueueTime
}
