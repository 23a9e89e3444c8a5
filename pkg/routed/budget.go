package routed

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// budgetBuckets is the number of buckets in the window of the retry budget.
	budgetBuckets = 10
	// budgetUseFraction is the fraction of its share of the retry budget that an
	// instance uses. The rest is a margin, because other instances may count a
	// request in a different window.
	budgetUseFraction = 0.7
)

// RetryBudgetLimits bound the retries of requests to a service by all entry
// instances together.
type RetryBudgetLimits struct {
	Window model.Duration
	// Ratio is the permitted number of retries per request in a window.
	Ratio float64
	// Slack is the number of additional retries that are permitted in a window,
	// however few requests the window contains.
	Slack float64
}

// retryBudget counts this instance's requests and retries for a service in a
// sliding window.
type retryBudget struct {
	buckets [budgetBuckets]struct {
		number   int64
		requests int
		retries  int
	}
}

// bucketNumber returns the number of the bucket that contains the given time,
// counted from time 0.
func (b *retryBudget) bucketNumber(at model.Time, window model.Duration) int64 {
	return int64(at) / int64(max(window, time.Second)/budgetBuckets)
}

// countRequest counts a new request.
func (b *retryBudget) countRequest(at model.Time, window model.Duration) {
	b.currentBucket(at, window).requests++
}

// currentBucket returns the bucket that contains the given time. It is cleared
// first if its counts are those of an earlier window.
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

// tryRetry returns true and counts a retry if this instance's share of the
// budget permits one more.
func (b *retryBudget) tryRetry(at model.Time, limits RetryBudgetLimits, entryInstances int) bool {
	current := b.bucketNumber(at, limits.Window)
	requests, retries := 0, 0
	for i := range b.buckets {
		if b.buckets[i].number > current-budgetBuckets {
			requests += b.buckets[i].requests
			retries += b.buckets[i].retries
		}
	}
	allowed := budgetUseFraction * (limits.Ratio*float64(requests) + limits.Slack/float64(max(1, entryInstances)))
	if float64(retries+1) > allowed {
		return false
	}
	b.currentBucket(at, limits.Window).retries++
	return true
}
