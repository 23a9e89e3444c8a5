package latency

import (
	"sync"
	"time"
)

// Link is one direction of a link that carries a limited number of bytes per
// second. Data that finds the link busy waits for its turn.
type Link struct {
	bytesPerSecond int64
	mu             sync.Mutex
	freeAt         time.Time
	maxWait        time.Duration
}

// NewLink returns an idle link.
func NewLink(bytesPerSecond int64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Reserve returns when n bytes that are handed in at the time have left the
// link. A nil link has no limit.
func (l *Link) Reserve(at time.Time, n int) time.Time {
	if l == nil {
		return at
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	start := at
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	l.maxWait = max(l.maxWait, start.Sub(at))
	l.freeAt = start.Add(time.Duration(int64(n) * int64(time.Second) / l.bytesPerSecond))
	return l.freeAt
}

// MaxWait returns the longest time that data waited for the link.
func (l *Link) MaxQueueTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxWait
}
