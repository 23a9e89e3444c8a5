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
	// tokensPerSecond is the number of tokens added per second whether or not
	// requests arrive, so that a service with few requests can retry them.
	tokensPerSecond = 1.0
	// maxTokens is the most tokens that the budget holds. It limits how many
	// retries and hedges can be sent in one burst.
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

// refill adds the given tokens and those for the time since the last call, at the
// rate tokensPerSecond. The total is limited to maxTokens.
func (b *retryBudget) refill(at model.Time, tokens float64) {
	tokens += tokensPerSecond * float64(at.Sub(b.filledAt)) / float64(time.Second)
	b.filledAt = at
	b.tokens = min(maxTokens, b.tokens+tokens)
}

// addRequest adds tokensPerRequest tokens when a new request of a caller arrives.
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
