package ledger

import (
	"container/heap"
	"fmt"
	"math"
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// maxReplicaBytes limits the memory of the entries of a replica. It is a quarter of
// the 256 MB that one node may use for control.
const maxReplicaBytes = 64 << 20

// replica stores the keys of those ledger groups to which this instance belongs.
type replica struct {
	disabledRules *disabledRules
	// floor is an issue time. A key issued at or before the floor may have been
	// granted by this replica although the replica has no entry for it. Until start
	// is called, the floor is later than the issue time of every key.
	floor model.Time
	// zoneFloors holds an additional floor for each home zone whose ledger group has
	// changed. For a key of such a zone, the later of the two floors applies.
	zoneFloors  map[model.Zone]model.Time
	entries     map[string]*entry // by the text of the key
	byIssueTime entryHeap
	// withAnswer lists the entries with a recorded answer, oldest answer first. Some
	// of the listed entries may have lost their answer since.
	withAnswer []*entry
	// usedBytes is the estimated memory of the entries, at most maxBytes.
	usedBytes int
	maxBytes  int
}

func newReplica(rules *disabledRules) *replica {
	return &replica{
		disabledRules: rules,
		floor:         math.MaxInt64,
		zoneFloors:    map[model.Zone]model.Time{},
		entries:       map[string]*entry{},
		maxBytes:      maxReplicaBytes,
	}
}

// start sets the floor when the process starts at the given time. Earlier processes
// of this instance may have granted keys, and their entries are lost. None of these
// keys was issued later than MaxClockSkew after the start, because a replica does
// not grant a key whose issue time is further in the future.
func (r *replica) start(at model.Time) { r.floor = at.Add(model.MaxClockSkew) }

// raiseZoneFloor raises the floor of a home zone whose ledger group has changed.
// The former members may have granted keys for which this replica has no entry.
func (r *replica) raiseZoneFloor(at model.Time, home model.Zone) {
	r.zoneFloors[home] = at.Add(model.MaxClockSkew)
}

// isCoveredByFloor reports whether the key was issued at or before the floor that
// applies to its zone. If so, the key may have been granted earlier although there
// is no entry for it.
func (r *replica) isCoveredByFloor(key *model.IdempotencyKey) bool {
	return !r.disabledRules.noFloor && key.Issued <= max(r.floor, r.zoneFloors[key.Home])
}

func isExpired(at model.Time, key *model.IdempotencyKey) bool {
	return at > key.Issued.Add(model.KeyRetention)
}

func isFuture(at model.Time, key *model.IdempotencyKey) bool {
	return key.Issued > at.Add(model.MaxClockSkew)
}

// vote returns the vote of this replica on a claim. It returns nil for a late
// duplicate of an abandoned claim, because the coordinator of that claim no longer
// needs a vote. sameGroup is true if the group in the claim equals the group of the
// key according to this replica's configuration.
func (r *replica) vote(at model.Time, key model.IdempotencyKey, m *message.LedgerClaim, sameGroup bool) *message.LedgerVote {
	vote := &message.LedgerVote{Key: m.Key, Claimant: m.Claimant}
	if isExpired(at, &key) {
		vote.Vote = message.VoteExpired
		return vote
	}
	e := r.entries[m.Key]
	switch {
	case e != nil && e.state == model.KeyRunning && e.holder == m.Claimant:
		vote.Vote = message.VoteGranted
	case e != nil && e.state != model.KeyUnclaimed:
		if e.state == model.KeyRunning {
			e.addWaiter(m.Claimant)
			r.accountAndEvict(at, e)
		}
		e.fillHeldVote(vote)
	case e != nil && slices.Contains(e.abandoned, m.Claimant):
		return nil
	case isFuture(at, &key):
		vote.Vote = message.VoteFuture
	case !sameGroup || r.isCoveredByFloor(&key):
		vote.Vote = message.VoteUnknown
	default:
		e = r.entryOf(key)
		e.state, e.holder, e.digest = model.KeyRunning, m.Claimant, m.Digest
		r.accountAndEvict(at, e)
		vote.Vote = message.VoteGranted
	}
	return vote
}

// fillHeldVote fills in a vote for a key that another claimant holds.
func (e *entry) fillHeldVote(v *message.LedgerVote) {
	v.Vote = message.VoteHeldByOther
	v.Holder, v.Digest, v.State, v.Answer = e.holder, e.digest, e.state, e.answer
}

// abandon releases the key if the claimant holds it. The entry also remembers the
// claimant, so that a late duplicate of the claim is not granted.
func (r *replica) abandon(at model.Time, key model.IdempotencyKey, c model.Claimant) {
	if isExpired(at, &key) {
		return
	}
	e := r.entryOf(key)
	if e.state == model.KeyRunning && (e.holder == c || r.disabledRules.abandonByOthers) {
		e.state, e.holder, e.digest = model.KeyUnclaimed, model.Claimant{}, 0
	}
	if e.state != model.KeyExecuted {
		e.addAbandoned(c)
	}
	r.accountAndEvict(at, e)
}

// record stores the outcome of an executed request and returns the claimants that
// wait for it. If another claimant holds the key at this replica, the claimant of
// the executed request replaces that holder. The executed request had a majority,
// so no other claimant can have one.
func (r *replica) record(at model.Time, key model.IdempotencyKey, m *message.LedgerRecord, out *event.Effects) []model.Claimant {
	if isExpired(at, &key) {
		return nil
	}
	e := r.entryOf(key)
	if e.state == model.KeyExecuted {
		if e.holder != m.Claimant {
			out.Add(event.InvariantFailed{Name: "at_most_once", Detail: fmt.Sprintf("key %s ran for %v and for %v", m.Key, e.holder, m.Claimant)})
		}
		return nil
	}
	waiters := e.waiters
	e.state, e.holder, e.digest = model.KeyExecuted, m.Claimant, m.Digest
	e.waiters, e.abandoned = nil, nil
	if m.Answer != nil && len(m.Answer.Body) <= model.MaxRecordedBodyBytes {
		e.answer = m.Answer
		r.withAnswer = append(r.withAnswer, e)
	}
	r.accountAndEvict(at, e)
	return waiters
}

// keyState returns the state of a key at this replica and the HTTP status of the
// recorded answer, 0 if no answer is stored.
func (r *replica) keyState(at model.Time, key model.IdempotencyKey) (model.KeyState, int) {
	e := r.entries[key.Text]
	switch {
	case isExpired(at, &key):
		return model.KeyOutcomeUnknown, 0
	case e != nil && e.answer != nil:
		return e.state, e.answer.Status
	case e != nil && e.state != model.KeyUnclaimed:
		return e.state, 0
	case r.isCoveredByFloor(&key):
		return model.KeyOutcomeUnknown, 0
	}
	return model.KeyUnclaimed, 0
}

// entryOf returns the entry of the key. It creates the entry if there is none.
func (r *replica) entryOf(key model.IdempotencyKey) *entry {
	e := r.entries[key.Text]
	if e == nil {
		e = &entry{key: key}
		r.entries[key.Text] = e
		heap.Push(&r.byIssueTime, e)
	}
	return e
}

// accountAndEvict updates usedBytes after the entry e has changed and removes all
// entries with expired keys. While usedBytes still exceeds maxBytes, it drops
// recorded answers, oldest first. When no answers are left, it evicts the entries
// with the earliest issue times and raises the floor to these times.
func (r *replica) accountAndEvict(at model.Time, e *entry) {
	r.updateUsedBytes(e)
	for len(r.byIssueTime) > 0 && isExpired(at, &r.byIssueTime[0].key) {
		r.remove(r.byIssueTime[0])
	}
	for len(r.withAnswer) > 0 && (r.withAnswer[0].answer == nil || r.usedBytes > r.maxBytes) {
		r.dropOldestAnswer()
	}
	for r.usedBytes > r.maxBytes && len(r.byIssueTime) > 0 {
		oldest := r.byIssueTime[0]
		if !r.disabledRules.evictWithoutFloor {
			r.floor = max(r.floor, oldest.key.Issued)
		}
		r.remove(oldest)
	}
}

func (r *replica) updateUsedBytes(e *entry) {
	size := e.sizeBytes()
	r.usedBytes += size - e.accountedBytes
	e.accountedBytes = size
}

func (r *replica) remove(e *entry) {
	heap.Remove(&r.byIssueTime, e.heapIndex)
	delete(r.entries, e.key.Text)
	r.usedBytes -= e.accountedBytes
	e.answer, e.accountedBytes = nil, 0
}

// dropOldestAnswer deletes the oldest recorded answer. The entry keeps the state
// KeyExecuted.
func (r *replica) dropOldestAnswer() {
	e := r.withAnswer[0]
	r.withAnswer[0] = nil
	r.withAnswer = r.withAnswer[1:]
	if e.answer != nil {
		e.answer = nil
		r.updateUsedBytes(e)
	}
}
