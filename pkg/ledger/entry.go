package ledger

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

const (
	// entryOverhead estimates the memory of an entry besides its variable parts.
	entryOverhead = 384
	// claimantCost estimates the memory of a listed claimant.
	claimantCost = 64
	// maxAbandoned bounds the remembered abandoned claims of a key. A late
	// duplicate of a forgotten one is granted again, and its coordinator, which
	// has closed the claim, gives it back.
	maxAbandoned = 16
	// maxWaiters bounds the claimants that are told of an outcome at once. Others
	// learn it when they repeat their claim.
	maxWaiters = 16
)

// entry is what a replica knows of one key.
type entry struct {
	key    model.IdempotencyKey
	state  model.KeyState // KeyUnclaimed, KeyRunning or KeyRan
	holder model.Claimant
	digest uint64
	answer *model.Answer
	// abandoned claims must not be granted to a late duplicate.
	abandoned []model.Claimant
	waiters   []model.Claimant
	cost      int
	index     int
}

// size returns the estimated memory of the entry in bytes.
func (e *entry) size() int {
	n := entryOverhead + len(e.key.Text) + claimantCost*(len(e.abandoned)+len(e.waiters))
	if e.answer == nil {
		return n
	}
	n += len(e.answer.Body)
	for _, f := range e.answer.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

func (e *entry) abandon(c model.Claimant) { e.abandoned = appendBounded(e.abandoned, c, maxAbandoned) }

func (e *entry) await(c model.Claimant) { e.waiters = appendBounded(e.waiters, c, maxWaiters) }

// appendBounded appends a claimant that is not listed yet and drops the oldest
// one beyond the limit.
func appendBounded(list []model.Claimant, c model.Claimant, limit int) []model.Claimant {
	if slices.Contains(list, c) {
		return list
	}
	if len(list) == limit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, c)
}

// entryHeap orders entries by issue time, then by key.
type entryHeap = priority.Queue[*entry]

// Before implements priority.Item.
func (e *entry) Before(other *entry) bool {
	if e.key.Issued != other.key.Issued {
		return e.key.Issued < other.key.Issued
	}
	return e.key.Text < other.key.Text
}

// HeapIndex implements priority.Item.
func (e *entry) HeapIndex() *int { return &e.index }
