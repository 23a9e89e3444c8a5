package fleet

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/agreement"
	"github.com/anvilcrank/anvilcrank/pkg/catalog"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// proposalTimeout ends a proposal without a result. The operator sends it
	// again, here or elsewhere.
	proposalTimeout = 4 * time.Second
	// proposalResend is how often a proposal goes to the leader again, which may
	// have changed or not have received it. Commands are idempotent.
	proposalRetryInterval = 700 * time.Millisecond
	// compactEvery is how many commands are applied between two snapshots.
	commandsPerSnapshot = 1024
)

// proposal is a command that waits to be applied here.
type proposal struct {
	data      []byte
	deadline  model.Time
	retryAt   model.Time
	startedAt model.Time
}

// calls are the calls that wait for a result.
type pendingCalls struct {
	proposals  map[uint64]*proposal
	confirming map[uint64]model.UpstreamID
}

func newPendingCalls() pendingCalls {
	return pendingCalls{proposals: map[uint64]*proposal{}, confirming: map[uint64]model.UpstreamID{}}
}

func (c *pendingCalls) nextWake() model.Time {
	var next model.Time
	for _, p := range c.proposals {
		if next == 0 || p.retryAt < next {
			next = p.retryAt
		}
	}
	return next
}

func (s *State) proposeItems(at model.Time, b event.ItemsProposed) {
	s.propose(at, b.Call, &catalog.Command{Items: b.Items})
}

func (s *State) proposeEvacuation(at model.Time, b event.EvacuationProposed) {
	s.propose(at, b.Call, &catalog.Command{Evacuation: &model.Evacuation{Zone: b.Zone, Active: b.Active}})
}

// propose brings a command to the leader's log. The call is answered when the
// command is applied here: a majority has synced it then, and this instance too.
func (s *State) propose(at model.Time, call event.CallID, c *catalog.Command) {
	c.Origin, c.Incarnation, c.Call = s.identity.ID, s.identity.Incarnation, uint64(call)
	data, err := s.codec.EncodeCommand(c)
	if err != nil {
		s.reply(call, result.MalformedChange, err.Error())
		return
	}
	if len(data) > agreement.MaxEntry {
		s.reply(call, result.MalformedChange, "the change is too large")
		return
	}
	p := &proposal{data: data, deadline: at.Add(proposalTimeout), startedAt: at}
	s.calls.proposals[uint64(call)] = p
	s.sendProposal(at, p)
}

func (s *State) sendProposal(at model.Time, p *proposal) {
	p.retryAt = at.Add(proposalRetryInterval)
	st := s.agreement.Status(at)
	switch {
	case st.Role == agreement.Leader:
		if _, code := s.agreement.Propose(at, p.data, &s.out); code != result.Answered {
			p.retryAt = at.Add(proposalRetryInterval / 4)
		}
	case st.Leader.Instance != "":
		s.out.Add(event.Send{To: st.Leader.Instance, Message: &message.Proposal{Data: p.data}})
	default:
		p.retryAt = at.Add(proposalRetryInterval / 4)
	}
}

// wakeCalls sends proposals again and ends those that took too long.
func (s *State) retryProposals(at model.Time) {
	for _, call := range sortedCalls(s.calls.proposals) {
		p := s.calls.proposals[call]
		switch {
		case at >= p.deadline:
			delete(s.calls.proposals, call)
			s.reply(event.CallID(call), result.ChangeUnknown, "")
		case at >= p.retryAt:
			s.sendProposal(at, p)
		}
	}
}

func sortedCalls(m map[uint64]*proposal) []uint64 {
	list := make([]uint64, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// reply answers a call and logs a result that is not clear.
func (s *State) reply(call event.CallID, code result.Code, detail string) {
	if code != result.Answered {
		s.out.Add(event.Log{Code: logevent.CallFailed, Fields: []logevent.Field{
			logevent.F("call", call), logevent.F("code", int(code)), logevent.F("detail", detail)}})
	}
	s.out.Add(event.CallReply{Call: call, Code: code, Detail: detail})
}

// applyCommitted applies what the replicated log has committed in this step.
func (s *State) applyCommitted(at model.Time) {
	if s.agreement == nil {
		return
	}
	for _, e := range s.agreement.Take() {
		s.apply(at, &e)
	}
	s.replica.Known = s.catalog.Known()
	s.compact()
}

func (s *State) apply(at model.Time, e *agreement.Committed) {
	if e.Snapshot {
		snapshot, err := s.codec.DecodeSnapshot(e.Data)
		if err != nil {
			s.out.Add(event.InvariantFailed{Name: "catalog_snapshot", Detail: err.Error()})
			return
		}
		s.catalog = catalog.Restore(*snapshot)
		s.snapshotPosition = e.Index
		s.records.itemChanges++
		s.replica.Forward(recordsForEntries(snapshot.Items, snapshot.Evacuations), &s.out)
		return
	}
	c, err := s.codec.DecodeCommand(e.Data)
	if err != nil {
		s.out.Add(event.InvariantFailed{Name: "catalog_command", Detail: err.Error()})
		return
	}
	r := s.catalog.Apply(e.Index, c)
	s.out.Add(event.Log{Code: logevent.CommandApplied, Fields: []logevent.Field{
		logevent.F("position", e.Index), logevent.F("origin", c.Origin), logevent.F("call", c.Call),
		logevent.F("code", int(r.Code)), logevent.F("detail", r.Detail), logevent.F("items", len(r.Items))}})
	if len(r.Items) > 0 || len(r.Evacuations) > 0 {
		s.records.itemChanges++
		s.logConfigInForce(r.Items, r.Evacuations)
		s.replica.Forward(recordsForEntries(r.Items, r.Evacuations), &s.out)
	}
	if c.Origin == s.identity.ID && c.Incarnation == s.identity.Incarnation && s.calls.proposals[c.Call] != nil {
		delete(s.calls.proposals, c.Call)
		s.reply(event.CallID(c.Call), r.Code, r.Detail)
	}
}

// compact replaces the log by a snapshot now and then.
func (s *State) compact() {
	if s.catalog.Position() < s.snapshotPosition+commandsPerSnapshot {
		return
	}
	snapshot := s.catalog.Snapshot()
	data, err := s.codec.EncodeSnapshot(&snapshot)
	if err != nil {
		s.out.Add(event.InvariantFailed{Name: "catalog_snapshot", Detail: err.Error()})
		return
	}
	s.snapshotPosition = s.catalog.Position()
	s.agreement.Compact(s.snapshotPosition, data, &s.out)
}

// readItems answers with the items that stand. An instance that hears no leader
// may lack some, so it says that it is not current.
func (s *State) replyWithItems(at model.Time, b event.ItemsRequested) {
	st := s.agreement.Status(at)
	if st.Leader.Instance == "" || st.Role == agreement.Leader && !st.Current {
		s.reply(b.Call, result.NotCurrent, "")
		return
	}
	reply := event.ItemsReply{Call: b.Call}
	for _, i := range s.catalog.Items() {
		if !i.Removed {
			reply.Items = append(reply.Items, i)
		}
	}
	s.out.Add(reply)
}
