package telemetry

import (
	"sync"
	"time"
)

const (
	// maxLinesPerSecond is how many log lines a process may write per second on
	// average. A line has 200 to 500 bytes. Successful requests write no line,
	// so that the limit leaves room for failures and changes.
	maxLinesPerSecond = 200
	// lineBurst is how many lines may be written at once, for example when a
	// process receives the list of all upstreams.
	lineBurst = 1000
)

// lineLimiter is a token bucket that limits how many log lines are written per
// second. It counts the lines that it skips.
type lineLimiter struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	skipped    int
}

// allow reports whether a line may be written now. If so, it also returns how
// many lines were skipped since the last written line.
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
