package routed

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// budgetSlots divide the window of the retry budget.
	budgetBuckets = 10
	// budgetMargin is the part of the shared retry budget that is used. The rest
	// allows for requests that other instances count in another window.
	budgetUseFraction = 0.7
)

// BudgetLimits bound the sends to a service beyond the first of each request,
// over all entry instances together.
type RetryBudgetLimits struct {
	Window model.Duration
	// Ratio is the share of the requests in the window.
	Ratio float64
	// Slack is the number that is always allowed.
	Slack float64
}

// budget counts the requests and repeats for one service in a sliding window.
type retryBudget struct {
	buckets [budgetBuckets]struct {
		number   int64
		requests int
		retries  int
	}
}

func (b *retryBudget) bucketNumber(at model.Time, window model.Duration) int64 {
	return int64(at) / int64(max(window, time.Second)/budgetBuckets)
}

func (b *retryBudget) countRequest(at model.Time, window model.Duration) {
	b.currentBucket(at, window).requests++
}

func (b *retryBudget) currentBucket(at model.Time, window model.Duration) *struct {
	number   int64
	requests int
	retries  int
} {
	n := b.bucketNumber(at, window)
	s := &b.buckets[n%budgetBuckets]
	if s.number != n {
		s.number, s.requests, s.retries = n, 0, 0
	}
	return s
}

// take counts a repeat if the budget of this instance allows it.
func (b *retryBudget) tryRetry(at model.Time, l RetryBudgetLimits, entries int) bool {
	current := b.bucketNumber(at, l.Window)
	requests, retries := 0, 0
	for i := range b.buckets {
		if b.buckets[i].number > current-budgetBuckets {
			requests += b.buckets[i].requests
			retries += b.buckets[i].retries
		}
	}
	allowed := budgetUseFraction * (l.Ratio*float64(requests) + l.Slack/float64(max(1, entries)))
	if float64(retries+1) > allowed {
		return false
	}
	b.currentBucket(at, l.Window).retries++
	return true
}
