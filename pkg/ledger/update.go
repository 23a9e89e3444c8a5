package ledger

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// updateTimeout is how long an outcome or an abandoned claim is resent to replicas
	// that do not acknowledge it. A graceful stop waits no longer than this for
	// acknowledgements.
	updateTimeout = 10 * time.Second
	// minUpdateRetryInterval is the time between the first two sends of an update.
	// The time doubles after each send, up to maxUpdateRetryInterval.
	minUpdateRetryInterval = 200 * time.Millisecond
	maxUpdateRetryInterval = 2 * time.Second
)

// update is a LedgerRecord or LedgerAbandon that is sent again until enough
// replicas have acknowledged it.
type update struct {
	message message.Message
	// recorded is true if message is a LedgerRecord.
	recorded bool
	// acked has one element per replica, in the order of claim.group. An element is
	// true if the replica has acknowledged the message.
	acked []bool
	// requiredAcks is the number of replicas that must acknowledge the update.
	requiredAcks  int
	retryInterval model.Duration
	retryAt       model.Time
	deadline      model.Time
}

// Record sends the outcome of an executed request to the replicas. If answer is nil
// or too large, the replicas record only that the request was executed.
func (s *State) Record(at model.Time, id model.RequestID, answer *model.Answer, out *event.Effects) {
	c := s.claims[id]
	if c == nil || c.stage != granted || c.update != nil {
		return
	}
	if answer != nil && len(answer.Body) > model.MaxRecordedBodyBytes {
		answer = nil
	}
	m := &message.LedgerRecord{Key: c.key.Text, Claimant: c.claimant, Digest: c.digest, Answer: answer}
	s.startUpdate(at, c, &update{message: m, recorded: true, requiredAcks: c.majority()}, out)
	s.schedule(c)
	s.handleLocal(at, out)
}

// closeClaim ends a claim whose request will never be executed. It sends
// LedgerAbandon to every replica, because a replica that has not voted may still
// receive the claim and grant it.
func (s *State) closeClaim(at model.Time, c *claim, out *event.Effects) {
	c.stage = closed
	c.stageEndsAt = at.Add(lateVoteRetention)
	m := &message.LedgerAbandon{Key: c.key.Text, Claimant: c.claimant}
	s.startUpdate(at, c, &update{message: m, requiredAcks: len(c.group)}, out)
}

func (s *State) startUpdate(at model.Time, c *claim, u *update, out *event.Effects) {
	u.acked = make([]bool, len(c.group))
	u.retryInterval = minUpdateRetryInterval
	u.deadline = at.Add(updateTimeout)
	c.update = u
	s.sendUpdate(at, c, out)
}

// sendUpdate sends the update to the replicas that have not acknowledged it.
func (s *State) sendUpdate(at model.Time, c *claim, out *event.Effects) {
	u := c.update
	u.retryAt = at.Add(u.retryInterval)
	u.retryInterval = min(2*u.retryInterval, maxUpdateRetryInterval)
	for k, ok := range u.acked {
		if !ok {
			s.send(c.group[k], u.message, out)
		}
	}
}

func (s *State) wakeUpdate(at model.Time, c *claim, out *event.Effects) {
	if at < c.update.deadline {
		s.sendUpdate(at, c, out)
		return
	}
	s.endUpdate(c)
}

// endUpdate stops sending the update. The claim is deleted unless it is closed:
// a closed claim is kept for lateVoteRetention.
func (s *State) endUpdate(c *claim) {
	c.update = nil
	if c.stage == granted {
		s.deleteClaim(c)
	}
}

func (s *State) receiveAck(_ model.Time, from model.InstanceID, m *message.LedgerAck, _ *event.Effects) {
	c := s.ownClaim(m.Claimant)
	if c == nil || c.update == nil || c.update.recorded != m.Recorded {
		return
	}
	k := slices.Index(c.group, from)
	if k < 0 {
		return
	}
	c.update.acked[k] = true
	if countTrue(c.update.acked) >= c.update.requiredAcks {
		s.endUpdate(c)
	}
	s.schedule(c)
}

func countTrue(flags []bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// abandonLateVote releases the key at a replica whose vote granted a claim after
// the claim was closed.
func (s *State) abandonLateVote(at model.Time, c *claim, memberIndex int, out *event.Effects) {
	if c.update == nil {
		s.closeClaim(at, c, out)
	} else {
		c.update.acked[memberIndex] = false
		s.send(c.group[memberIndex], c.update.message, out)
	}
	s.schedule(c)
}
