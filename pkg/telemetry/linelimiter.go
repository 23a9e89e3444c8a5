package telemetry

import (
	"sync"
	"time"
)

const (
	// maxLinesPerSecond bounds the log lines of one process; a line has 200 to 500
	// bytes. Ended requests that were answered write none, so that the lines are
	// for failures and changes.
	maxLinesPerSecond = 200
	// lineBurst is how many lines may come at once, as when a process learns of
	// all upstreams.
	lineBurst = 1000
)

// lineLimit bounds the rate of log lines and counts those that are left out.
type lineLimiter struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	skipped    int
}

// admit reports whether a line may be written now, and how many were left out
// since the last one that was.
func (l *lineLimiter) allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refilledAt.IsZero() {
		l.tokens = lineBurst
	} else {
		l.tokens = min(lineBurst, l.tokens+maxLinesPerSecond*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
