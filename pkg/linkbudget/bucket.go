package linkbudget

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// burstTime is how long a bucket saves up its rate. It bounds how far the rate
// can be exceeded over a short time.
const burstTime = 50 * time.Millisecond

// bucket is a token bucket of bytes. Tokens may be taken in advance; the taker
// then waits until they are due, so that takers are served in order.
type bucket struct {
	rate     int64
	tokens   float64
	filledAt model.Time
}

func (b *bucket) setRate(at model.Time, rate int64) {
	b.refill(at)
	if b.rate == 0 {
		b.tokens = float64(rate) * burstTime.Seconds()
		b.filledAt = at
	}
	b.rate = rate
}

func (b *bucket) refill(at model.Time) {
	b.tokens += float64(b.rate) * at.Sub(b.filledAt).Seconds()
	b.tokens = min(b.tokens, float64(b.rate)*burstTime.Seconds())
	b.filledAt = at
}

// take takes tokens and returns how long to wait before they may be used.
func (b *bucket) take(at model.Time, n int) time.Duration {
	b.refill(at)
	b.tokens -= float64(n)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / float64(b.rate) * float64(time.Second))
}
