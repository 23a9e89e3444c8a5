package request

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// budgetShare is the part of a service's requests that may be repeated or
	// hedged. Beyond it, repeats would add to an overload instead of helping.
	tokensPerRequest = 0.1
	// budgetRate adds repeats per second, for services with few requests.
	tokensPerSecond = 1.0
	// budgetBurst bounds what is saved up.
	maxTokens = 20.0
)

// budget is the retry budget of a service, shared by retries and hedges.
type retryBudget struct {
	tokens   float64
	filledAt model.Time
}

func newRetryBudget(at model.Time) retryBudget {
	return retryBudget{tokens: maxTokens / 2, filledAt: at}
}

func (b *retryBudget) refill(at model.Time, tokens float64) {
	tokens += tokensPerSecond * float64(at.Sub(b.filledAt)) / float64(time.Second)
	b.filledAt = at
	b.tokens = min(maxTokens, b.tokens+tokens)
}

// request counts a request of a caller.
func (b *retryBudget) addRequest(at model.Time) { b.refill(at, tokensPerRequest) }

// take reports whether another dispatch of a request may be made.
func (b *retryBudget) spend(at model.Time) bool {
	b.refill(at, 0)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
