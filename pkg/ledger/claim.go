package ledger

import (
	"container/heap"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// firstReplicaTimeout is how long an instance waits for the vote of the first
	// replica of a key before it sends its claim to the other replicas. Concurrent
	// claims of one key do not split the votes, because the first replica grants only
	// one of them.
	firstReplicaTimeout = 150 * time.Millisecond
	// claimRetryInterval is the time after which a claim is sent again to the
	// replicas that have not granted it.
	claimRetryInterval = 150 * time.Millisecond
	// waitingRetryInterval replaces claimRetryInterval while another request with
	// the key is being executed.
	waitingRetryInterval = 200 * time.Millisecond
	// claimTimeout is how long a claim may take to reach a majority before its
	// request is rejected.
	claimTimeout = 2 * time.Second
	// lateVoteRetention is how long a claim is kept after it was closed. If the vote
	// of a replica grants the claim during this time, the replica is sent a
	// LedgerAbandon, because the claim's request will never be executed.
	lateVoteRetention = 10 * time.Second
)

// stage is the progress of a claim at its coordinator, the instance that received
// the request.
type stage uint8

const (
	claiming stage = iota // the claim waits for a majority
	granted               // the request may be dispatched
	closed                // the claim's request will never be executed
)

// claim is the claim of an idempotency key by one request of this instance.
type claim struct {
	claimant model.Claimant
	key      model.IdempotencyKey
	digest   uint64
	group    []model.InstanceID
	// votes holds the latest vote of each replica in the order of group, nil for a
	// replica that has not voted. A vote that grants the claim is not replaced.
	votes []*message.LedgerVote
	stage stage
	// sentToAll is true once the claim was sent to every replica of the group, not
	// only to the first.
	sentToAll bool
	// waitingForHolder is true while another request with the key is being
	// executed.
	waitingForHolder bool
	// retryAt is the time at which the claim is sent again to the replicas that have
	// not granted it.
	retryAt model.Time
	// stageEndsAt is the time at which the current stage times out.
	stageEndsAt model.Time
	// requestDeadline is the deadline of the caller's request.
	requestDeadline model.Time
	// update is the LedgerRecord or LedgerAbandon message that is being sent to the
	// replicas, nil if there is none.
	update *update

	// wakeAt is the time at which the next retry or timeout of the claim is due.
	wakeAt model.Time
	// heapIndex is the index of the claim in State.timers, -1 if it is not in timers.
	heapIndex int
}

func (c *claim) majority() int { return len(c.group)/2 + 1 }

// Claim asks the replicas of the request's key for permission to execute the
// request. A later call of TakeDecisions returns the result.
func (s *State) Claim(at model.Time, r *event.RequestArrived, out *event.Effects) {
	if isExpired(at, &r.Key) {
		s.addDecision(r.ID, result.KeyExpired, nil)
		return
	}
	group := s.group(r.Key.Home)
	if len(group) == 0 {
		s.addDecision(r.ID, result.LedgerNoMajority, nil)
		return
	}
	c := &claim{
		claimant:        model.Claimant{Instance: s.self, Incarnation: s.incarnation, Request: r.ID},
		key:             r.Key,
		digest:          r.Digest,
		group:           group,
		votes:           make([]*message.LedgerVote, len(group)),
		requestDeadline: at.Add(s.timeoutOf(r)),
		retryAt:         at.Add(firstReplicaTimeout),
		heapIndex:       -1,
	}
	c.stageEndsAt = min(c.requestDeadline, at.Add(claimTimeout))
	s.claims[r.ID] = c
	s.sendClaim(c, 0, out)
	s.schedule(c)
	s.handleLocal(at, out)
}

// timeoutOf returns the timeout that the caller set or the timeout of the
// service's profile, whichever is shorter.
func (s *State) timeoutOf(r *event.RequestArrived) model.Duration {
	timeout := model.MaxTimeout
	if p := s.config.ProfileOf(r.Service); p != nil {
		timeout = p.Timeout()
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return timeout
}

func (s *State) sendClaim(c *claim, memberIndex int, out *event.Effects) {
	s.send(c.group[memberIndex], &message.LedgerClaim{Key: c.key.Text, Claimant: c.claimant, Digest: c.digest, Group: c.group}, out)
}

// receiveVote handles the vote of a replica on a claim. A vote that grants the
// claim stays valid: until the claim is abandoned, the replica grants the key to no
// other claimant, even after a restart.
func (s *State) receiveVote(at model.Time, from model.InstanceID, m *message.LedgerVote, out *event.Effects) {
	c := s.ownClaim(m.Claimant)
	if c == nil || c.key.Text != m.Key {
		return
	}
	k := slices.Index(c.group, from)
	if k < 0 {
		return
	}
	if c.stage == closed && m.Vote == message.VoteGranted {
		s.abandonLateVote(at, c, k, out)
		return
	}
	if c.stage != claiming {
		return
	}
	if c.votes[k] == nil || c.votes[k].Vote != message.VoteGranted {
		c.votes[k] = m
	}
	s.evaluate(at, c, out)
	switch {
	case c.stage != claiming || c.sentToAll:
	case c.isHeldAtFirstReplica():
		s.waitForHolder(at, c)
	default:
		s.sendClaimToRest(at, c, out)
	}
	s.schedule(c)
}

// isHeldAtFirstReplica reports whether the first replica granted the key to an
// earlier request with the same digest.
func (c *claim) isHeldAtFirstReplica() bool {
	v := c.votes[0]
	return v != nil && v.Vote == message.VoteHeldByOther && v.Digest == c.digest
}

// waitForHolder makes the claim wait for the earlier request that holds the key at
// the first replica. If the claim were sent to the other replicas now, it could
// win votes that the earlier request still needs, and neither request would reach
// a majority.
func (s *State) waitForHolder(at model.Time, c *claim) {
	c.waitingForHolder = true
	c.stageEndsAt = c.requestDeadline
	c.retryAt = at.Add(waitingRetryInterval)
}

// ownClaim returns the claim of the claimant, nil if the claim was deleted or the
// claimant belongs to another process.
func (s *State) ownClaim(id model.Claimant) *claim {
	if id.Instance != s.self || id.Incarnation != s.incarnation {
		return nil
	}
	return s.claims[id.Request]
}

// sendClaimToRest sends the claim to every replica except the first.
func (s *State) sendClaimToRest(at model.Time, c *claim, out *event.Effects) {
	c.sentToAll = true
	c.retryAt = at.Add(claimRetryInterval)
	for k := 1; k < len(c.group); k++ {
		s.sendClaim(c, k, out)
	}
}

// retryClaim sends the claim again to the replicas that have not granted it.
func (s *State) retryClaim(at model.Time, c *claim, out *event.Effects) {
	pause := claimRetryInterval
	if c.waitingForHolder {
		pause = waitingRetryInterval
	}
	c.retryAt = at.Add(pause)
	for k, v := range c.votes {
		if v == nil || v.Vote != message.VoteGranted {
			s.sendClaim(c, k, out)
		}
	}
}

// evaluate decides the claim as soon as its votes allow a decision.
func (s *State) evaluate(at model.Time, c *claim, out *event.Effects) {
	t := c.tally()
	switch {
	case t.outcome != nil:
		code, answer := t.outcome.decisionFor(c.digest)
		s.endWithoutExecution(at, c, code, answer, out)
	case t.granted >= c.majority() || s.disabledRules.minorityGrant && t.granted > 0:
		s.grant(c)
	case t.future >= c.majority():
		s.endWithoutExecution(at, c, result.KeyFromFuture, nil, out)
	case t.granted+t.missing >= c.majority():
		// The votes that are still missing may complete a majority for this claim.
		c.waitingForHolder = false
	case t.maxHeldByOneClaimant >= c.majority():
		// An earlier request with the key has a majority and may be in progress.
		c.waitingForHolder = true
		c.stageEndsAt = c.requestDeadline
	case t.unknown > 0 && t.missing > 0:
		// A replica that has not voted yet may hold the recorded answer.
		c.waitingForHolder = false
	default:
		s.endWithoutExecution(at, c, t.rejectionCode(c.majority()), nil, out)
	}
}

// grant permits the execution of the claim's request. The claim is kept until the
// outcome of the request is recorded or the key has expired at every replica.
func (s *State) grant(c *claim) {
	c.stage = granted
	c.votes = nil
	c.stageEndsAt = c.key.Issued.Add(model.KeyRetention + 2*model.MaxClockSkew)
	s.addDecision(c.claimant.Request, result.Success, nil)
}

// endWithoutExecution ends a claim whose request is not dispatched. The request
// ends with the given result code and, if one is recorded, the answer of an earlier
// request. All replicas are asked to release the key, because each of them may have
// granted the claim or may still grant it.
func (s *State) endWithoutExecution(at model.Time, c *claim, code result.Code, answer *model.Answer, out *event.Effects) {
	s.addDecision(c.claimant.Request, code, answer)
	s.closeClaim(at, c, out)
}

func (s *State) addDecision(id model.RequestID, code result.Code, answer *model.Answer) {
	s.decisions = append(s.decisions, Decision{Request: id, Code: code, Answer: answer})
}

// Abandon releases the key of a request that was provably not executed.
func (s *State) Abandon(at model.Time, id model.RequestID, out *event.Effects) {
	c := s.claims[id]
	if c == nil || c.stage == closed || c.update != nil {
		return
	}
	s.closeClaim(at, c, out)
	s.schedule(c)
	s.handleLocal(at, out)
}

// NextWake returns the time at which Wake must be called next, 0 if no call is
// needed.
func (s *State) NextWake() model.Time {
	next := s.nextQueryWake()
	if len(s.timers) > 0 && (next == 0 || s.timers[0].wakeAt < next) {
		next = s.timers[0].wakeAt
	}
	return next
}

// Wake executes the retries and timeouts of claims and queries that are due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	for len(s.timers) > 0 && s.timers[0].wakeAt <= at {
		s.wakeClaim(at, s.timers[0], out)
		s.handleLocal(at, out)
	}
	s.wakeQueries(at, out)
}

func (s *State) wakeClaim(at model.Time, c *claim, out *event.Effects) {
	switch {
	case c.update != nil:
		s.wakeUpdate(at, c, out)
	case c.stage != claiming:
		s.deleteClaim(c)
		return
	case at >= c.stageEndsAt:
		s.endWithoutExecution(at, c, c.tally().rejectionCode(c.majority()), nil, out)
	case !c.sentToAll && c.isHeldAtFirstReplica():
		s.waitForHolder(at, c)
		s.sendClaim(c, 0, out)
	case !c.sentToAll:
		s.sendClaimToRest(at, c, out)
		s.sendClaim(c, 0, out)
	default:
		s.retryClaim(at, c, out)
	}
	s.schedule(c)
}

// schedule updates the wake time of a claim and its place in the timer heap.
func (s *State) schedule(c *claim) {
	if s.claims[c.claimant.Request] != c {
		return
	}
	c.wakeAt = c.stageEndsAt
	switch {
	case c.update != nil:
		c.wakeAt = min(c.update.retryAt, c.update.deadline)
	case c.stage == claiming:
		c.wakeAt = min(c.retryAt, c.stageEndsAt)
	}
	if c.heapIndex < 0 {
		heap.Push(&s.timers, c)
		return
	}
	heap.Fix(&s.timers, c.heapIndex)
}

func (s *State) deleteClaim(c *claim) {
	delete(s.claims, c.claimant.Request)
	if c.heapIndex >= 0 {
		heap.Remove(&s.timers, c.heapIndex)
	}
}

// claimHeap orders claims by wake time, then by request.
type claimHeap = priority.Queue[*claim]

// Before implements priority.Item.
func (c *claim) Before(other *claim) bool {
	if c.wakeAt != other.wakeAt {
		return c.wakeAt < other.wakeAt
	}
	return c.claimant.Request < other.claimant.Request
}

// HeapIndex implements priority.Item.
func (c *claim) HeapIndex() *int { return &c.heapIndex }
