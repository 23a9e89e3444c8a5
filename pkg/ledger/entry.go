package ledger

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

const (
	// entryOverheadBytes estimates the memory of an entry without its key, answer,
	// abandoned claims and waiters, whose sizes vary.
	entryOverheadBytes = 384
	// claimantBytes estimates the memory of one element of entry.abandoned or
	// entry.waiters.
	claimantBytes = 64
	// maxAbandoned is the number of abandoned claims that are stored per key. If a
	// claim was dropped from a full list, a late duplicate of that claim may be
	// granted. Its coordinator has closed the claim, and therefore releases the key
	// again when the vote arrives.
	maxAbandoned = 16
	// maxWaiters is the number of waiting claimants per key to which the outcome is
	// sent as soon as it is recorded. They are the latest claimants; earlier
	// claimants receive the outcome when they retry their claim.
	maxWaiters = 16
)

// entry is the state of one key at a replica.
type entry struct {
	key   model.IdempotencyKey
	state model.KeyState // KeyUnclaimed, KeyRunning or KeyExecuted
	// holder is the claimant to which the key is granted, zero for none.
	holder model.Claimant
	// digest is the hash of the holder's request.
	digest uint64
	// answer is the recorded answer to the holder's request, nil if none is stored.
	answer *model.Answer
	// abandoned lists claimants that have released the key. A late duplicate of the
	// claim of such a claimant must not be granted.
	abandoned []model.Claimant
	// waiters lists the claimants to notify when the outcome is recorded.
	waiters []model.Claimant
	// accountedBytes is the part of replica.usedBytes that this entry uses.
	accountedBytes int
	// heapIndex is the index of this entry in replica.byIssueTime.
	heapIndex int
}

// sizeBytes estimates the memory that the entry uses.
func (e *entry) sizeBytes() int {
	n := entryOverheadBytes + len(e.key.Text) + claimantBytes*(len(e.abandoned)+len(e.waiters))
	if e.answer == nil {
		return n
	}
	n += len(e.answer.Body)
	for _, f := range e.answer.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

func (e *entry) addAbandoned(c model.Claimant) {
	e.abandoned = appendBounded(e.abandoned, c, maxAbandoned)
}

func (e *entry) addWaiter(c model.Claimant) { e.waiters = appendBounded(e.waiters, c, maxWaiters) }

// appendBounded appends a claimant unless the list contains it. If the list has
// reached the limit, its oldest element is dropped.
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
func (e *entry) HeapIndex() *int { return &e.heapIndex }
