package linkbudget

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// burstTime determines the capacity of a bucket: as many tokens as its rate yields
// in this time. The capacity limits the burst that may be sent at once after a
// pause.
const burstTime = 50 * time.Millisecond

// bucket is a token bucket with one token per byte to be sent. A sender may take
// more tokens than there are, which makes the balance negative. The sender must
// then wait until the balance would be zero again. Later senders wait longer, so
// they are served in order.
type bucket struct {
	// rate is the number of tokens added per second, which is the permitted number
	// of bytes per second.
	rate int64
	// tokens is the balance at filledAt. It is negative if more tokens were taken
	// than there were.
	tokens   float64
	filledAt model.Time
}

// setRate changes the rate and keeps the balance of tokens. The first call fills
// the bucket to its capacity.
func (b *bucket) setRate(at model.Time, rate int64) {
	b.refill(at)
	if b.rate == 0 {
		b.tokens = float64(rate) * burstTime.Seconds()
		b.filledAt = at
	}
	b.rate = rate
}

// refill adds the tokens that the rate has yielded since filledAt, up to the
// capacity.
func (b *bucket) refill(at model.Time) {
	b.tokens += float64(b.rate) * at.Sub(b.filledAt).Seconds()
	b.tokens = min(b.tokens, float64(b.rate)*burstTime.Seconds())
	b.filledAt = at
}

// take deducts n tokens and returns how long the sender must wait before it sends
// the n bytes.
func (b *bucket) take(at model.Time, n int) time.Duration {
	b.refill(at)
	b.tokens -= float64(n)
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / float64(b.rate) * float64(time.Second))
}
