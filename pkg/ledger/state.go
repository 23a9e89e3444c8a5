package ledger

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// Decision is the result of a claim that was started by State.Claim.
type Decision struct {
	Request model.RequestID
	// Code is Success if the claim was granted or Answer is set. With any other code,
	// the request must not be dispatched and ends with this result code.
	Code result.Code
	// Answer is the recorded answer of an earlier request with the key, nil if there
	// is none. If Answer is set, the request must not be dispatched.
	Answer *model.Answer
}

// State is the part of the ledger that runs at one instance. It is a replica for
// the ledger groups that the instance belongs to. It is also the coordinator of the
// claims of requests that the instance receives from callers.
type State struct {
	self          model.InstanceID
	incarnation   model.Incarnation
	disabledRules disabledRules
	config        *model.Config
	// groups caches the ledger group of each home zone according to config.
	groups  map[model.Zone][]model.InstanceID
	replica *replica

	claims map[model.RequestID]*claim
	timers claimHeap
	// decisions holds the decisions that TakeDecisions has not yet returned.
	decisions []Decision
	// queries holds the open queries in the order of their deadlines.
	queries     []*query
	lastQueryID uint64
	// localMessages holds messages that this instance has sent to itself and not yet
	// handled.
	localMessages []message.Message
}

// New returns an empty ledger. It grants no key before Start is called.
func New(self model.InstanceID, incarnation model.Incarnation) *State {
	s := &State{
		self:        self,
		incarnation: incarnation,
		groups:      map[model.Zone][]model.InstanceID{},
		claims:      map[model.RequestID]*claim{},
	}
	s.replica = newReplica(&s.disabledRules)
	return s
}

// Start sets the floor of the replica to MaxClockSkew after the start of the
// process. From then on, the replica grants keys issued after the floor.
func (s *State) Start(at model.Time) { s.replica.start(at) }

// Configure puts a configuration in force. Open claims keep the ledger group that
// they started with. If the ledger group of a zone has changed and includes this
// instance, the floor of the zone is raised, because former members of the group
// may have granted keys that this instance does not know.
func (s *State) Configure(at model.Time, c *model.Config) {
	old := s.config
	s.config = c
	if old != nil && slices.Equal(old.Roster, c.Roster) && slices.Equal(old.Zones, c.Zones) {
		return
	}
	clear(s.groups)
	if old == nil {
		return
	}
	for _, z := range c.Zones {
		group := c.LedgerGroup(z.Zone)
		if slices.Contains(group, s.self) && !haveSameMembers(group, old.LedgerGroup(z.Zone)) {
			s.replica.raiseZoneFloor(at, z.Zone)
		}
	}
}

func haveSameMembers(a, b []model.InstanceID) bool {
	if len(a) != len(b) {
		return false
	}
	for _, id := range a {
		if !slices.Contains(b, id) {
			return false
		}
	}
	return true
}

// group returns the replicas of the keys whose home is the zone, nil if the zone
// is not configured.
func (s *State) group(home model.Zone) []model.InstanceID {
	if s.config == nil || s.config.RegionOf(home) == "" {
		return nil
	}
	g := s.groups[home]
	if g == nil {
		g = s.config.LedgerGroup(home)
		s.groups[home] = g
	}
	return g
}

// Receive handles a message from another instance. It returns false if the message
// does not belong to the ledger.
func (s *State) Receive(at model.Time, from model.InstanceID, m message.Message, out *event.Effects) bool {
	if !s.handle(at, from, m, out) {
		return false
	}
	s.handleLocal(at, out)
	return true
}

// send sends a message, or queues it for handleLocal if it is for this instance.
func (s *State) send(to model.InstanceID, m message.Message, out *event.Effects) {
	if to == s.self {
		s.localMessages = append(s.localMessages, m)
		return
	}
	out.Add(event.Send{To: to, Message: m})
}

// handleLocal handles the queued messages that this instance has sent to itself.
func (s *State) handleLocal(at model.Time, out *event.Effects) {
	for len(s.localMessages) > 0 {
		m := s.localMessages[0]
		s.localMessages = s.localMessages[1:]
		s.handle(at, s.self, m, out)
	}
	s.localMessages = nil
}

func (s *State) handle(at model.Time, from model.InstanceID, m message.Message, out *event.Effects) bool {
	switch m := m.(type) {
	case *message.LedgerClaim:
		s.receiveClaim(at, from, m, out)
	case *message.LedgerVote:
		s.receiveVote(at, from, m, out)
	case *message.LedgerAbandon:
		s.receiveAbandon(at, from, m, out)
	case *message.LedgerRecord:
		s.receiveRecord(at, from, m, out)
	case *message.LedgerAck:
		s.receiveAck(at, from, m, out)
	case *message.LedgerQuery:
		s.receiveQuery(at, from, m, out)
	case *message.LedgerQueryReply:
		s.receiveQueryReply(from, m, out)
	default:
		return false
	}
	return true
}

func (s *State) receiveClaim(at model.Time, from model.InstanceID, m *message.LedgerClaim, out *event.Effects) {
	key, err := model.ParseKey(m.Key)
	if err != nil || m.Claimant.Instance != from {
		return
	}
	group := s.group(key.Home)
	sameGroup := slices.Contains(group, s.self) && haveSameMembers(group, m.Group)
	if vote := s.replica.vote(at, key, m, sameGroup); vote != nil {
		s.send(from, vote, out)
	}
}

func (s *State) receiveAbandon(at model.Time, from model.InstanceID, m *message.LedgerAbandon, out *event.Effects) {
	key, err := model.ParseKey(m.Key)
	if err != nil || m.Claimant.Instance != from {
		return
	}
	s.replica.abandon(at, key, m.Claimant)
	s.send(from, &message.LedgerAck{Claimant: m.Claimant}, out)
}

// receiveRecord stores the outcome of an executed request and sends it to the
// claimants that wait for it.
func (s *State) receiveRecord(at model.Time, from model.InstanceID, m *message.LedgerRecord, out *event.Effects) {
	key, err := model.ParseKey(m.Key)
	if err != nil || m.Claimant.Instance != from {
		return
	}
	for _, w := range s.replica.record(at, key, m, out) {
		vote := &message.LedgerVote{Key: m.Key, Claimant: w}
		vote.Vote, vote.Holder, vote.Digest, vote.State = message.VoteHeldByOther, m.Claimant, m.Digest, model.KeyExecuted
		vote.Answer = m.Answer
		s.send(w.Instance, vote, out)
	}
	s.send(from, &message.LedgerAck{Claimant: m.Claimant, Recorded: true}, out)
}

// TakeDecisions returns the decisions made since the last call.
func (s *State) TakeDecisions() []Decision {
	d := s.decisions
	s.decisions = nil
	return d
}

// UnconfirmedUpdates returns how many recorded outcomes and abandoned claims of
// this instance have not yet been acknowledged by a majority of their replicas. A
// graceful stop waits until there are none, but at most for updateTimeout.
func (s *State) UnconfirmedUpdates() int {
	n := 0
	for _, c := range s.claims {
		if c.update != nil && countTrue(c.update.acked) < c.majority() {
			n++
		}
	}
	return n
}
