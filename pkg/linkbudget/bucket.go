package linkbudget

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// burstTime is the capacity of a bucket as a time at its rate. It limits how
// far the rate can be exceeded over a short time.
const burstTime = 50 * time.Millisecond

// bucket is a token bucket for bytes. Tokens may be taken before they are due,
// which makes the balance negative. Callers then wait until the balance would
// be zero again, so they are served in order.
type bucket struct {
	rate     int64
	tokens   float64
	filledAt model.Time
}

// setRate changes the rate and keeps the balance. The first call fills the
// bucket.
func (b *bucket) setRate(at model.Time, rate int64) {
	b.refill(at)
	if b.rate == 0 {
		b.tokens = float64(rate) * burstTime.Seconds()
		b.filledAt = at
	}
	b.rate = rate
}

// refill adds the tokens that are due since the last call.
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
