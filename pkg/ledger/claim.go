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
	// firstTimeout is how long a claim waits for the first replica of the group
	// before it is sent to the others. Racing claimants are ordered there.
	firstTimeout = 150 * time.Millisecond
	// claimRepeat is the pause before a claim is sent again to replicas that did
	// not grant it.
	claimRepeat = 150 * time.Millisecond
	// waitRepeat replaces claimRepeat while another request with the key runs.
	waitRepeat = 200 * time.Millisecond
	// claimTimeout bounds the time to find a majority.
	claimTimeout = 2 * time.Second
	// lateVoteTime is how long a claim that was not granted is remembered, to
	// give back what late votes grant.
	lateVoteTime = 10 * time.Second
)

// stage is the stage of a claim at its coordinator.
type stage uint8

const (
	claiming stage = iota
	granted
	closed // and never to run
)

// claim is the claim of one request of this instance.
type claim struct {
	claimant model.Claimant
	key      model.IdempotencyKey
	digest   uint64
	group    []model.InstanceID
	// votes are the latest ones, by position in the group.
	votes []*message.LedgerVote
	stage stage
	// opened says that the claim went to the replicas after the first.
	opened bool
	// waiting says that another request with the key runs.
	waiting  bool
	repeatAt model.Time
	// giveUpAt ends the stage.
	giveUpAt model.Time
	deadline model.Time
	update   *update

	wakeAt model.Time
	index  int
}

func (c *claim) majority() int { return len(c.group)/2 + 1 }

// Claim asks for the right to run a request with a key. A Decision follows.
func (s *State) Claim(at model.Time, r *event.RequestArrived, out *event.Effects) {
	if isExpired(at, &r.Key) {
		s.decide(r.ID, result.KeyExpired, nil)
		return
	}
	group := s.group(r.Key.Home)
	if len(group) == 0 {
		s.decide(r.ID, result.LedgerNoMajority, nil)
		return
	}
	c := &claim{
		claimant: model.Claimant{Instance: s.self, Incarnation: s.incarnation, Request: r.ID},
		key:      r.Key,
		digest:   r.Digest,
		group:    group,
		votes:    make([]*message.LedgerVote, len(group)),
		deadline: at.Add(s.allowed(r)),
		repeatAt: at.Add(firstTimeout),
		index:    -1,
	}
	c.giveUpAt = min(c.deadline, at.Add(claimTimeout))
	s.claims[r.ID] = c
	s.sendClaim(c, 0, out)
	s.schedule(c)
	s.flush(at, out)
}

// allowed returns how long the request may take.
func (s *State) allowed(r *event.RequestArrived) model.Duration {
	allowed := model.MaxDeadline
	if p := s.config.ProfileOf(r.Service); p != nil {
		allowed = p.Deadline()
	}
	if r.Timeout > 0 {
		allowed = min(allowed, r.Timeout)
	}
	return allowed
}

func (s *State) sendClaim(c *claim, k int, out *event.Effects) {
	s.send(c.group[k], &message.LedgerClaim{Key: c.key.Text, Claimant: c.claimant, Digest: c.digest, Group: c.group}, out)
}

// receiveVote takes the vote of a replica. A granted vote stands: the replica
// gives the key to no one else, even after a restart.
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
		s.giveBack(at, c, k, out)
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
	case c.stage != claiming || c.opened:
	case c.isBehind():
		s.waitForHolder(at, c)
	default:
		s.openClaim(at, c, out)
	}
	s.schedule(c)
}

// isBehind reports whether the first replica gave the key to an earlier request
// that is the same.
func (c *claim) isBehind() bool {
	v := c.votes[0]
	return v != nil && v.Vote == message.VoteTaken && v.Digest == c.digest
}

// waitForHolder lets the earlier request finish. Asking the other replicas would
// take their votes from it, and neither would run.
func (s *State) waitForHolder(at model.Time, c *claim) {
	c.waiting = true
	c.giveUpAt = c.deadline
	c.repeatAt = at.Add(waitRepeat)
}

// ownClaim returns the claim of a claimant of this process, nil if it is not
// known any more.
func (s *State) ownClaim(id model.Claimant) *claim {
	if id.Instance != s.self || id.Incarnation != s.incarnation {
		return nil
	}
	return s.claims[id.Request]
}

// openClaim sends the claim to the replicas after the first.
func (s *State) openClaim(at model.Time, c *claim, out *event.Effects) {
	c.opened = true
	c.repeatAt = at.Add(claimRepeat)
	for k := 1; k < len(c.group); k++ {
		s.sendClaim(c, k, out)
	}
}

// repeatClaim sends the claim again to the replicas that did not grant it.
func (s *State) repeatClaim(at model.Time, c *claim, out *event.Effects) {
	pause := claimRepeat
	if c.waiting {
		pause = waitRepeat
	}
	c.repeatAt = at.Add(pause)
	for k, v := range c.votes {
		if v == nil || v.Vote != message.VoteGranted {
			s.sendClaim(c, k, out)
		}
	}
}

// evaluate decides the claim if its votes allow it.
func (s *State) evaluate(at model.Time, c *claim, out *event.Effects) {
	t := c.tally()
	switch {
	case t.ran != nil:
		code, answer := t.ran.outcomeFor(c.digest)
		s.refuse(at, c, code, answer, out)
	case t.granted >= c.majority() || s.faults.minorityGrant && t.granted > 0:
		s.grant(c)
	case t.future >= c.majority():
		s.refuse(at, c, result.KeyFromFuture, nil, out)
	case t.granted+t.missing >= c.majority():
		c.waiting = false
	case t.heldByOne >= c.majority():
		c.waiting = true
		c.giveUpAt = c.deadline
	case t.unknown > 0 && t.missing > 0:
		// A replica that has not answered yet may hold the recorded answer.
		c.waiting = false
	default:
		s.refuse(at, c, t.refusal(c.majority()), nil, out)
	}
}

// grant lets the request run. The claim is kept until its outcome is known, or
// until the key has expired at every replica.
func (s *State) grant(c *claim) {
	c.stage = granted
	c.votes = nil
	c.giveUpAt = c.key.Issued.Add(model.KeyRetention + 2*model.MaxClockSkew)
	s.decide(c.claimant.Request, result.Answered, nil)
}

// refuse ends a claim whose request is never dispatched, and gives back what
// replicas granted or may still grant.
func (s *State) refuse(at model.Time, c *claim, code result.Code, answer *model.Answer, out *event.Effects) {
	s.decide(c.claimant.Request, code, answer)
	s.close(at, c, out)
}

func (s *State) decide(id model.RequestID, code result.Code, answer *model.Answer) {
	s.decisions = append(s.decisions, Decision{Request: id, Code: code, Answer: answer})
}

// Abandon gives back a claim whose request provably did not run.
func (s *State) Abandon(at model.Time, id model.RequestID, out *event.Effects) {
	c := s.claims[id]
	if c == nil || c.stage == closed || c.update != nil {
		return
	}
	s.close(at, c, out)
	s.schedule(c)
	s.flush(at, out)
}

// NextWake returns when Wake is next needed, 0 if it is not.
func (s *State) NextWake() model.Time {
	next := s.nextQueryWake()
	if len(s.timers) > 0 && (next == 0 || s.timers[0].wakeAt < next) {
		next = s.timers[0].wakeAt
	}
	return next
}

// Wake handles everything that is due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	for len(s.timers) > 0 && s.timers[0].wakeAt <= at {
		s.wakeClaim(at, s.timers[0], out)
		s.flush(at, out)
	}
	s.wakeQueries(at, out)
}

func (s *State) wakeClaim(at model.Time, c *claim, out *event.Effects) {
	switch {
	case c.update != nil:
		s.wakeUpdate(at, c, out)
	case c.stage != claiming:
		s.forget(c)
		return
	case at >= c.giveUpAt:
		s.refuse(at, c, c.tally().refusal(c.majority()), nil, out)
	case !c.opened && c.isBehind():
		s.waitForHolder(at, c)
		s.sendClaim(c, 0, out)
	case !c.opened:
		s.openClaim(at, c, out)
		s.sendClaim(c, 0, out)
	default:
		s.repeatClaim(at, c, out)
	}
	s.schedule(c)
}

// schedule puts the claim in its place among the timers.
func (s *State) schedule(c *claim) {
	if s.claims[c.claimant.Request] != c {
		return
	}
	c.wakeAt = c.giveUpAt
	switch {
	case c.update != nil:
		c.wakeAt = min(c.update.repeatAt, c.update.giveUpAt)
	case c.stage == claiming:
		c.wakeAt = min(c.repeatAt, c.giveUpAt)
	}
	if c.index < 0 {
		heap.Push(&s.timers, c)
		return
	}
	heap.Fix(&s.timers, c.index)
}

func (s *State) forget(c *claim) {
	delete(s.claims, c.claimant.Request)
	if c.index >= 0 {
		heap.Remove(&s.timers, c.index)
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
func (c *claim) HeapIndex() *int { return &c.index }
