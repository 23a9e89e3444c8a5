package linkbudget

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// burstTime determines the capacity of a bucket: the bytes that the rate allows in
// this time. The capacity limits how far the rate can be exceeded over a short
// time.
const burstTime = 50 * time.Millisecond

// bucket is a token bucket with one token per byte. Tokens may be taken before they
// are due, which makes the balance negative. The caller then waits for the time in
// which the balance rises to zero, so callers are served in order.
type bucket struct {
	// rate is in bytes per second.
	rate int64
	// tokens is the balance at filledAt. It is negative while tokens are taken in
	// advance.
	tokens   float64
	filledAt model.Time
}

// setRate changes the rate and keeps the balance. The first call fills the bucket
// to its capacity.
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

// take deducts n tokens and returns how long the caller must wait before it sends
// the n bytes.
func (b *bucket) take(at model.Time, n int) time.Duration {
	b.refill(at)
	b.tokens -= float64(n)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / float64(b.rate) * float64(time.Second))
}
