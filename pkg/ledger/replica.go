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

// maxReplicaBytes bounds the memory of the entries. It leaves room within the
// 256 MB that a node may use for control.
const maxReplicaBytes = 64 << 20

// replica holds the keys of the groups that this instance belongs to.
type replica struct {
	faults *faults
	// floor is the latest issue time of a key that this replica may have
	// forgotten. It covers everything until start is called.
	floor model.Time
	// zoneFloors are the floors of groups that a configuration change altered.
	zoneFloors  map[model.Zone]model.Time
	entries     map[string]*entry
	byIssueTime entryHeap
	// answers lists entries in the order in which their answers were recorded.
	withAnswer []*entry
	usedBytes  int
	maxBytes   int
}

func newReplica(f *faults) *replica {
	return &replica{
		faults:     f,
		floor:      math.MaxInt64,
		zoneFloors: map[model.Zone]model.Time{},
		entries:    map[string]*entry{},
		maxBytes:   maxReplicaBytes,
	}
}

// start sets the floor of a process without memory. An earlier process under
// this identifier granted no key issued later than its clock plus MaxClockSkew.
func (r *replica) start(at model.Time) { r.floor = at.Add(model.MaxClockSkew) }

// groupChanged raises the floor of a zone whose group was altered: the members
// before may have granted keys that this replica does not know.
func (r *replica) raiseZoneFloor(at model.Time, home model.Zone) {
	r.zoneFloors[home] = at.Add(model.MaxClockSkew)
}

// isForgotten reports whether the key may have been granted without this
// replica knowing it.
func (r *replica) mayBeForgotten(key *model.IdempotencyKey) bool {
	return !r.faults.noFloor && key.Issued <= max(r.floor, r.zoneFloors[key.Home])
}

func isExpired(at model.Time, key *model.IdempotencyKey) bool {
	return at > key.Issued.Add(model.KeyRetention)
}

func isFuture(at model.Time, key *model.IdempotencyKey) bool {
	return key.Issued > at.Add(model.MaxClockSkew)
}

// claim votes on a claim. It returns nil for a late duplicate of an abandoned
// claim, whose coordinator expects no answer. sameGroup says that the claimant
// counts votes over the group that this replica knows.
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
		e.fillTakenVote(vote)
	case e != nil && slices.Contains(e.abandoned, m.Claimant):
		return nil
	case isFuture(at, &key):
		vote.Vote = message.VoteFuture
	case !sameGroup || r.mayBeForgotten(&key):
		vote.Vote = message.VoteUnknown
	default:
		e = r.entryOf(key)
		e.state, e.holder, e.digest = model.KeyRunning, m.Claimant, m.Digest
		r.accountAndEvict(at, e)
		vote.Vote = message.VoteGranted
	}
	return vote
}

// describe fills in a vote for a key that another claimant has.
func (e *entry) fillTakenVote(v *message.LedgerVote) {
	v.Vote = message.VoteTaken
	v.Holder, v.Digest, v.State, v.Answer = e.holder, e.digest, e.state, e.answer
}

// abandon gives the key back if the claimant has it. The claim is remembered,
// since its duplicate may arrive later.
func (r *replica) abandon(at model.Time, key model.IdempotencyKey, c model.Claimant) {
	if isExpired(at, &key) {
		return
	}
	e := r.entryOf(key)
	if e.state == model.KeyRunning && (e.holder == c || r.faults.abandonByOthers) {
		e.state, e.holder, e.digest = model.KeyUnclaimed, model.Claimant{}, 0
	}
	if e.state != model.KeyRan {
		e.addAbandoned(c)
	}
	r.accountAndEvict(at, e)
}

// record stores an outcome and returns the claimants that wait for it. The
// claimant ran, so it had a majority; a claim of another one here cannot.
func (r *replica) record(at model.Time, key model.IdempotencyKey, m *message.LedgerRecord, out *event.Effects) []model.Claimant {
	if isExpired(at, &key) {
		return nil
	}
	e := r.entryOf(key)
	if e.state == model.KeyRan {
		if e.holder != m.Claimant {
			out.Add(event.InvariantFailed{Name: "at_most_once", Detail: fmt.Sprintf("key %s ran for %v and for %v", m.Key, e.holder, m.Claimant)})
		}
		return nil
	}
	waiters := e.waiters
	e.state, e.holder, e.digest = model.KeyRan, m.Claimant, m.Digest
	e.waiters, e.abandoned = nil, nil
	if m.Answer != nil && len(m.Answer.Body) <= model.MaxRecordedBodyBytes {
		e.answer = m.Answer
		r.withAnswer = append(r.withAnswer, e)
	}
	r.accountAndEvict(at, e)
	return waiters
}

// known tells what this replica knows of a key, and the status of its answer.
func (r *replica) keyState(at model.Time, key model.IdempotencyKey) (model.KeyState, int) {
	e := r.entries[key.Text]
	switch {
	case isExpired(at, &key):
		return model.KeyOutcomeUnknown, 0
	case e != nil && e.answer != nil:
		return e.state, e.answer.Status
	case e != nil && e.state != model.KeyUnclaimed:
		return e.state, 0
	case r.mayBeForgotten(&key):
		return model.KeyOutcomeUnknown, 0
	}
	return model.KeyUnclaimed, 0
}

// entry returns the entry of the key, a new one if there is none.
func (r *replica) entryOf(key model.IdempotencyKey) *entry {
	e := r.entries[key.Text]
	if e == nil {
		e = &entry{key: key}
		r.entries[key.Text] = e
		heap.Push(&r.byIssueTime, e)
	}
	return e
}

// resize accounts for a changed entry and keeps the memory bounded: expired
// entries go first, then recorded answers, and claims inside the retention last,
// for which the floor is raised.
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
		if !r.faults.evictWithoutFloor {
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

// dropOldestAnswer forgets an answer; that its request ran is kept.
func (r *replica) dropOldestAnswer() {
	e := r.withAnswer[0]
	r.withAnswer[0] = nil
	r.withAnswer = r.withAnswer[1:]
	if e.answer != nil {
		e.answer = nil
		r.updateUsedBytes(e)
	}
}
