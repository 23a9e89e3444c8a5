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
	// proposalTimeout is how long this instance waits to apply a proposed command
	// before it answers the call with ChangeUnknown. The operator may then retry
	// the change at any control instance.
	proposalTimeout = 4 * time.Second
	// proposalRetryInterval is the interval at which a proposal is sent to the
	// leader again. The leader may have changed, or may not have received the
	// proposal. Repeated proposals are harmless, since commands are idempotent.
	proposalRetryInterval = 700 * time.Millisecond
	// commandsPerSnapshot is the largest number of commands that are applied between two
	// snapshots.
	commandsPerSnapshot = 1024
	// bytesPerSnapshot is how large the commands may be that are applied between two
	// snapshots, unless the snapshot itself is larger. It bounds the log, which a process
	// has in memory and reads when it starts.
	bytesPerSnapshot = 4 << 20
)

// proposal is a command that a call proposed and that this instance has not
// applied yet.
type proposal struct {
	data     []byte
	deadline model.Time
	retryAt  model.Time
}

// pendingCalls holds the calls that have no result yet.
type pendingCalls struct {
	// proposals holds the proposed commands by call.
	proposals map[uint64]*proposal
	// confirming holds the calls that wait for a majority of the control group to
	// store the state of an upstream. The value is the upstream.
	confirming map[uint64]model.UpstreamID
	// reads holds the calls that read the items, in the order in which they arrived.
	reads []*itemsRead
}

// itemsRead is a call that reads the items and waits until this instance has
// applied all changes from before the call.
type itemsRead struct {
	call     event.CallID
	id       agreement.ReadID
	retryAt  model.Time
	deadline model.Time
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
	for _, r := range c.reads {
		if next == 0 || r.retryAt < next {
			next = r.retryAt
		}
	}
	return next
}

func (s *State) proposeItems(at model.Time, b event.ItemsProposed) {
	s.propose(at, b.Call, b.Receipt, &catalog.Command{Items: b.Items})
}

func (s *State) proposeEvacuation(at model.Time, b event.EvacuationProposed) {
	s.propose(at, b.Call, b.Receipt, &catalog.Command{Evacuation: &model.Evacuation{Zone: b.Zone, Active: b.Active}})
}

// propose sends a command to the leader of the replicated log. The call is
// answered when this instance applies the command. By then, this instance and a
// majority have synced the command to disk. The command takes effect only if it is not
// overtaken since its basis, see catalog.Command. A command that could undo what was decided
// since its caller left is proposed only if the caller has confirmed the call.
func (s *State) propose(at model.Time, call event.CallID, receipt event.Receipt, c *catalog.Command) {
	if s.rejectsOrder(at, call, receipt.At) {
		return
	}
	c.Origin, c.Incarnation, c.Call = s.identity.ID, s.identity.Incarnation, uint64(call)
	c.Conditional, c.Basis = true, receipt.ConfirmedAt
	if c.Basis == 0 {
		if s.catalog.NeedsConfirmation(c) {
			s.askForConfirmation(call)
			return
		}
		c.Basis = s.catalog.Position()
	}
	data, err := s.codec.EncodeCommand(c)
	if err != nil {
		s.reply(call, result.MalformedChange, err.Error())
		return
	}
	if len(data) > agreement.MaxEntryBytes {
		s.reply(call, result.MalformedChange, "the change is too large")
		return
	}
	p := &proposal{data: data, deadline: at.Add(proposalTimeout)}
	s.calls.proposals[c.Call] = p
	s.sendProposal(at, p)
}

// askForConfirmation answers a call whose caller may have left long ago. A caller that still
// waits sends the call again with the position of the reply; whatever is decided after that
// position overtakes it.
func (s *State) askForConfirmation(call event.CallID) {
	position := s.catalog.Position()
	s.out.Add(event.Log{Code: logevent.ConfirmationAsked, Fields: []logevent.Field{
		logevent.F("call", call), logevent.F("position", position)}})
	s.out.Add(event.Count{Counter: event.ConfirmationsAsked, Add: 1})
	s.out.Add(event.CallReply{Call: call, Code: result.ConfirmationNeeded, ConfirmedAt: position})
}

// cancelCall stops proposing the command of a call whose caller has left. A command that
// was sent to the leader may still be applied, unless another one overtakes it.
func (s *State) cancelCall(call event.CallID) { delete(s.calls.proposals, uint64(call)) }

func (s *State) sendProposal(at model.Time, p *proposal) {
	p.retryAt = at.Add(proposalRetryInterval)
	st := s.agreement.Status(at)
	switch {
	case st.Role == agreement.Leader:
		if _, code := s.agreement.Propose(at, p.data, &s.out); code != result.Success {
			p.retryAt = at.Add(proposalRetryInterval / 4)
		}
	case st.Leader.Instance != "":
		s.out.Add(event.Send{To: st.Leader.Instance, Message: &message.Proposal{Data: p.data}})
	default:
		p.retryAt = at.Add(proposalRetryInterval / 4)
	}
}

// retryProposals resends the proposals whose retryAt has been reached, and ends
// those whose deadline has been reached.
func (s *State) retryProposals(at model.Time) {
	for _, call := range sortedCallIDs(s.calls.proposals) {
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

// sortedCallIDs returns the identifiers of the calls in ascending order, so
// that the effects do not depend on the iteration order of the map.
func sortedCallIDs(m map[uint64]*proposal) []uint64 {
	list := make([]uint64, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// reply answers a call and logs any result other than Success.
func (s *State) reply(call event.CallID, code result.Code, detail string) {
	if code != result.Success {
		s.out.Add(event.Log{Code: logevent.CallFailed, Fields: []logevent.Field{
			logevent.F("call", call), logevent.F("code", int(code)), logevent.F("detail", detail)}})
	}
	s.out.Add(event.CallReply{Call: call, Code: code, Detail: detail})
}

// applyCommitted applies the log entries that were committed during this step.
func (s *State) applyCommitted(at model.Time) {
	if s.agreement == nil {
		return
	}
	for _, e := range s.agreement.TakeCommitted() {
		s.apply(at, &e)
	}
	s.replica.HasConfig = s.catalog.HasItems()
	s.compact()
}

// apply applies one committed log entry to the catalog and forwards the changed
// records to entry instances. If this process proposed the command, its call is
// answered.
func (s *State) apply(at model.Time, e *agreement.Committed) {
	if e.IsSnapshot {
		snapshot, err := s.codec.DecodeSnapshot(e.Data)
		if err != nil {
			s.out.Add(event.InvariantFailed{Name: "catalog_snapshot", Detail: err.Error()})
			return
		}
		s.catalog = catalog.Restore(*snapshot)
		s.snapshotPosition, s.snapshotBytes, s.bytesSinceSnapshot = e.Index, len(e.Data), 0
		s.records.itemChanges++
		s.replica.Forward(at, recordsForEntryInstances(snapshot.Items, snapshot.Evacuations), &s.out)
		return
	}
	c, err := s.codec.DecodeCommand(e.Data)
	if err != nil {
		s.out.Add(event.InvariantFailed{Name: "catalog_command", Detail: err.Error()})
		return
	}
	s.bytesSinceSnapshot += len(e.Data)
	r := s.catalog.Apply(e.Index, c)
	s.out.Add(event.Log{Code: logevent.CommandApplied, Fields: []logevent.Field{
		logevent.F("position", e.Index), logevent.F("origin", c.Origin), logevent.F("call", c.Call),
		logevent.F("code", int(r.Code)), logevent.F("detail", r.Detail), logevent.F("items", len(r.ChangedItems))}})
	if len(r.ChangedItems) > 0 || len(r.ChangedEvacuations) > 0 {
		s.records.itemChanges++
		s.logConfigInForce(r.ChangedItems, r.ChangedEvacuations)
		s.replica.Forward(at, recordsForEntryInstances(r.ChangedItems, r.ChangedEvacuations), &s.out)
	}
	if c.Origin == s.identity.ID && c.Incarnation == s.identity.Incarnation {
		s.answerProposal(c, r)
	}
}

// answerProposal answers the call for which this process proposed a command that was
// applied. If other changes overtook the command, a caller that still waits may confirm it.
func (s *State) answerProposal(c *catalog.Command, r catalog.Result) {
	if s.calls.proposals[c.Call] == nil {
		return
	}
	delete(s.calls.proposals, c.Call)
	if r.Code == result.ChangeOvertaken {
		s.askForConfirmation(event.CallID(c.Call))
		return
	}
	s.reply(event.CallID(c.Call), r.Code, r.Detail)
}

// compact replaces the applied log entries by a snapshot after commandsPerSnapshot
// commands, or bytesPerSnapshot.
func (s *State) compact() {
	if s.catalog.Position() < s.snapshotPosition+commandsPerSnapshot && s.bytesSinceSnapshot < max(bytesPerSnapshot, s.snapshotBytes) {
		return
	}
	snapshot := s.catalog.Snapshot()
	data, err := s.codec.EncodeSnapshot(&snapshot)
	if err != nil {
		s.out.Add(event.InvariantFailed{Name: "catalog_snapshot", Detail: err.Error()})
		return
	}
	s.snapshotPosition, s.snapshotBytes, s.bytesSinceSnapshot = s.catalog.Position(), len(data), 0
	s.agreement.Compact(s.snapshotPosition, data, &s.out)
}

const (
	// readTimeout is how long a call that reads the items waits for the confirmation
	// that this instance has all changes. Operators wait for 1 s.
	readTimeout = 900 * time.Millisecond
	// readRetryInterval is the interval at which the confirmation is requested
	// again, since messages may be lost and the leader may change.
	readRetryInterval = 300 * time.Millisecond
)

// readItems begins a call that reads the items. An instance that knows no leader
// answers NotCurrent at once.
func (s *State) readItems(at model.Time, b event.ItemsRequested) {
	r := &itemsRead{call: b.Call, retryAt: at.Add(readRetryInterval), deadline: at.Add(readTimeout)}
	var ok bool
	if r.id, ok = s.agreement.Read(at, &s.out); !ok {
		s.reply(b.Call, result.NotCurrent, "")
		return
	}
	s.calls.reads = append(s.calls.reads, r)
}

// retryReads requests the confirmations of open reads again, and ends those whose
// deadline has been reached.
func (s *State) retryReads(at model.Time) {
	s.calls.reads = slices.DeleteFunc(s.calls.reads, func(r *itemsRead) bool {
		if at >= r.deadline {
			s.reply(r.call, result.NotCurrent, "")
			return true
		}
		if at >= r.retryAt {
			r.retryAt = min(at.Add(readRetryInterval), r.deadline)
			if id, ok := s.agreement.Read(at, &s.out); ok {
				r.id = id
			}
		}
		return false
	})
}

// replyToReads answers the reads for which this instance has applied all changes
// from before the call.
func (s *State) replyToReads() {
	if s.agreement == nil {
		return
	}
	for _, id := range s.agreement.TakeReads() {
		s.calls.reads = slices.DeleteFunc(s.calls.reads, func(r *itemsRead) bool {
			if r.id == id {
				s.replyWithItems(r.call)
			}
			return r.id == id
		})
	}
}

// replyWithItems answers a call with all items that are not removed.
func (s *State) replyWithItems(call event.CallID) {
	reply := event.ItemsReply{Call: call}
	for _, i := range s.catalog.Items() {
		if !i.Removed {
			reply.Items = append(reply.Items, i)
		}
	}
	s.out.Add(event.Log{Code: logevent.ItemsRead, Fields: []logevent.Field{
		logevent.F("call", call), logevent.F("items", len(reply.Items)), logevent.F("position", s.catalog.Position())}})
	s.out.Add(reply)
}
