package request

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// tokensPerRequest is the number of tokens added for each request of a
	// caller: on average one request in ten may be retried or hedged. More
	// retries would aggravate an overload.
	tokensPerRequest = 0.1
	// tokensPerSecond is added independently of requests, so that services with
	// few requests can retry.
	tokensPerSecond = 1.0
	// maxTokens is the capacity of the budget, and so the largest burst of
	// retries and hedges.
	maxTokens = 20.0
)

// retryBudget is the token bucket for the retries and hedges of a service. Each
// retry or hedge costs one token.
type retryBudget struct {
	tokens   float64
	filledAt model.Time
}

// newBudget returns a budget that is half full.
func newBudget(at model.Time) retryBudget { return retryBudget{tokens: maxTokens / 2, filledAt: at} }

// refill adds the given tokens plus tokensPerSecond for the time since the last
// call.
func (b *retryBudget) refill(at model.Time, tokens float64) {
	tokens += tokensPerSecond * float64(at.Sub(b.filledAt)) / float64(time.Second)
	b.filledAt = at
	b.tokens = min(maxTokens, b.tokens+tokens)
}

// addRequest adds the tokens for a new request of a caller.
func (b *retryBudget) addRequest(at model.Time) { b.refill(at, tokensPerRequest) }

// spend removes a token for a retry or hedge. It returns false if there is less
// than one token.
func (b *retryBudget) spend(at model.Time) bool {
	b.refill(at, 0)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
