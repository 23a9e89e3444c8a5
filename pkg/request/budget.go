package request

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// budgetShare is the part of a service's requests that may be repeated or
	// hedged. Beyond it, repeats would add to an overload instead of helping.
	budgetShare = 0.1
	// budgetRate adds repeats per second, for services with few requests.
	budgetRate = 1.0
	// budgetBurst bounds what is saved up.
	budgetBurst = 20.0
)

// budget is the retry budget of a service, shared by retries and hedges.
type budget struct {
	tokens float64
	filled model.Time
}

func newBudget(at model.Time) budget { return budget{tokens: budgetBurst / 2, filled: at} }

func (b *budget) fill(at model.Time, tokens float64) {
	tokens += budgetRate * float64(at.Sub(b.filled)) / float64(time.Second)
	b.filled = at
	b.tokens = min(budgetBurst, b.tokens+tokens)
}

// request counts a request of a caller.
func (b *budget) request(at model.Time) { b.fill(at, budgetShare) }

// take reports whether another dispatch of a request may be made.
func (b *budget) take(at model.Time) bool {
	b.fill(at, 0)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
