package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/agreement"
	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/distribution"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

// bootstrapID is the change identifier of the first change of every deployment.
// Because the identifier is always the same, the first change is applied only once:
// if two leaders propose it, the second proposal gets the result of the first.
const bootstrapID = "bootstrap"

// controlLog is the log of configuration changes. It is the replicated log of the
// control group or, for an instance that does not store that log, a replacement (see
// newControlLog).
type controlLog interface {
	distribution.ControlGroup
	// TakeCommitted returns the changes and snapshots committed since the last
	// call, in log order.
	TakeCommitted() []committed
	// LeadingTerm returns the current term if this instance is the leader, 0 if it
	// is not.
	LeadingTerm() uint64
	// Compact replaces the log entries that the state machine has applied with a
	// snapshot of the state machine, once there are enough of them.
	Compact(machine *change.State, out *event.Effects)
}

// committed is an item that the log has committed: either a change, or a snapshot
// that replaces the state resulting from all earlier changes.
type committed struct {
	// position is the log position of the change, or the last position that the
	// snapshot covers.
	position uint64
	// change is the committed change, nil if the item is a snapshot.
	change *change.Change
	// restored is the state machine decoded from the snapshot, nil if the item is
	// a change.
	restored *change.State
}

// configuration connects the replicated log, the state machine that applies its
// entries, and the distribution of the resulting configuration.
type configuration struct {
	log          controlLog
	stateMachine *change.State
	distribution *distribution.State
	// bootstrap is the first configuration of a new deployment, nil if the
	// settings have none.
	bootstrap *event.BootstrapOffered
	// bootstrapTerm is the latest term in which this instance proposed the first
	// configuration, 0 if it never did. It proposes at most once per term.
	bootstrapTerm uint64
	// announcedTerm is the latest term in which this instance announced to the
	// others that it is the leader, 0 if it never did.
	announcedTerm uint64
}

func newConfiguration(s *State, log controlLog) *configuration {
	c := &configuration{log: log, stateMachine: change.New()}
	c.distribution = distribution.New(distribution.Identity{
		ID:          s.identity.ID,
		Incarnation: s.identity.Incarnation,
		Zone:        s.identity.Zone,
		HasDisk:     s.identity.HasDisk,
		Seed:        s.identity.Seed,
		Group:       s.identity.ControlGroup,
	}, log, c, configInstaller{s})
	return c
}

// DryRun implements distribution.StateMachine.
func (c *configuration) DryRun(x *change.Change) (change.Result, *model.Config) {
	return c.stateMachine.DryRun(x)
}

// Version implements distribution.StateMachine.
func (c *configuration) Version() model.Version {
	if config := c.stateMachine.Config(); config != nil {
		return config.Version
	}
	return 0
}

// History implements distribution.StateMachine.
func (c *configuration) History(limit int) []change.Entry { return c.stateMachine.History(limit) }

// handleConfigEvent handles the events that concern the configuration. It ignores
// all others.
func (s *State) handleConfigEvent(at model.Time, body event.Body) {
	d, out := s.configuration.distribution, &s.out
	switch b := body.(type) {
	case event.ConfigLoaded:
		d.Load(at, &b.Config, out)
	case event.BootstrapOffered:
		s.configuration.offerBootstrap(&b)
	case event.ConfigSaved:
		d.ConfigSaved(at, b, out)
	case event.ChangeProposed:
		d.Propose(at, &b, out)
	case event.StatusRequested:
		d.QueryStatus(at, b, out)
	case event.HistoryRequested:
		d.QueryHistory(at, b, out)
	}
}

// offerBootstrap stores the configuration with which the settings start a new
// deployment. In a deployment without a control group, the first instance in that
// configuration's roster becomes the leader.
func (c *configuration) offerBootstrap(b *event.BootstrapOffered) {
	c.bootstrap = b
	if l, ok := c.log.(*localLog); ok && len(b.Config.Roster) > 0 {
		l.leader = b.Config.Roster[0].ID
	}
}

// applyCommitted applies the changes and snapshots that were committed in this step
// to the state machine. It passes each result and the resulting configuration to the
// sub-reducer distribution, which sends the configuration to the other instances.
func (s *State) applyCommitted(at model.Time) {
	c := s.configuration
	c.proposeBootstrap(at, &s.out)
	for _, e := range c.log.TakeCommitted() {
		if e.restored != nil {
			c.stateMachine = e.restored
			c.distribution.SnapshotRestored(at, c.stateMachine.Config(), &s.out)
			continue
		}
		r := c.stateMachine.Apply(e.position, e.change)
		c.distribution.ChangeCommitted(at, e.change, r, c.stateMachine.Config(), &s.out)
	}
	if term := c.log.LeadingTerm(); term > c.announcedTerm {
		c.announcedTerm = term
		c.distribution.AnnounceLeader(at, &s.out)
	}
	c.distribution.CheckLeaderChange(at, &s.out)
	c.log.Compact(c.stateMachine, &s.out)
}

// proposeBootstrap proposes the first configuration if this instance leads a
// control group that has none. The deployment may nevertheless be an old one whose
// members have all lost their disks. Therefore, if this instance still has a
// configuration in force, it proposes that configuration instead of the one from
// the settings.
func (c *configuration) proposeBootstrap(at model.Time, out *event.Effects) {
	if c.stateMachine.Config() != nil {
		return
	}
	status := c.log.Status(at)
	if !status.Leading || !status.Current || c.bootstrapTerm == status.Term {
		return
	}
	config := c.distribution.Config()
	if config == nil && c.bootstrap != nil && (c.bootstrap.SingleInstance || c.distribution.NoConfigFound(at)) {
		config = &c.bootstrap.Config
	}
	if config == nil {
		return
	}
	c.bootstrapTerm = status.Term
	c.log.Propose(at, &change.Change{
		ID: bootstrapID, Author: "settings", Time: at, Reason: "first configuration of the deployment",
		Operation: change.Operation{Kind: change.Bootstrap, Config: config},
	}, out)
}

// configInstaller implements distribution.Installer for a State.
type configInstaller struct{ state *State }

// Install puts a configuration in force.
func (i configInstaller) Install(at model.Time, c *model.Config, _ *event.Effects) {
	i.state.applyConfig(at, c)
}

// localLog replaces the replicated log in a deployment without a control group.
// The first instance of the roster leads and commits each change at once. Nothing
// is replicated or stored, so localLog is suitable for demonstrations and tests
// only.
type localLog struct {
	// self is this instance. leader is the instance that leads, "" until the
	// roster is known.
	self, leader model.InstanceID
	// position is the log position of the last change, 0 if there is none.
	position uint64
	// entries holds the changes proposed since the last call of TakeCommitted.
	entries []committed
}

// Status implements distribution.ControlGroup.
func (l *localLog) Status(model.Time) distribution.ControlStatus {
	if l.leader == "" {
		return distribution.ControlStatus{}
	}
	leads := l.leader == l.self
	return distribution.ControlStatus{Member: true, Leading: leads, Current: leads,
		Leader: l.leader, Term: 1, Members: []model.InstanceID{l.leader}}
}

// Propose implements distribution.ControlGroup.
func (l *localLog) Propose(_ model.Time, c *change.Change, _ *event.Effects) result.Code {
	l.position++
	l.entries = append(l.entries, committed{position: l.position, change: c})
	return result.Success
}

// TakeCommitted implements controlLog.
func (l *localLog) TakeCommitted() []committed {
	entries := l.entries
	l.entries = nil
	return entries
}

// ChangeCodec encodes the changes and snapshots that the replicated log stores.
// pkg/codec implements it, so that the reducer does not depend on an encoding.
type ChangeCodec interface {
	EncodeChange(*change.Change) ([]byte, error)
	DecodeChange([]byte) (*change.Change, error)
	EncodeSnapshot(*change.Snapshot) ([]byte, error)
	DecodeSnapshot([]byte) (*change.Snapshot, error)
}

// entriesPerSnapshot is the number of log entries applied between two snapshots. It
// limits how many entries a restarted member has to read after its latest snapshot.
const entriesPerSnapshot = 1024

// replicatedLog is the replicated log of a member of the control group. It encodes
// changes and snapshots into the bytes that the agreement protocol replicates, and
// decodes the committed ones.
type replicatedLog struct {
	agreement *agreement.State
	codec     ChangeCodec
	// decodeError is the latest error in decoding a committed entry or snapshot.
	// It is nil if there was none or Compact has reported it.
	decodeError error
	// snapshotPosition is the log position of the latest snapshot.
	snapshotPosition uint64
}

// Status implements distribution.ControlGroup.
func (l *replicatedLog) Status(at model.Time) distribution.ControlStatus {
	st := l.agreement.Status(at)
	status := distribution.ControlStatus{
		Member:  true,
		Leading: st.Role == agreement.Leader,
		Current: st.Current,
		Leader:  st.Leader.Instance,
		Term:    st.Term,
	}
	for _, m := range st.Members {
		status.Members = append(status.Members, m.ID.Instance)
	}
	return status
}

// Propose implements distribution.ControlGroup.
func (l *replicatedLog) Propose(at model.Time, c *change.Change, out *event.Effects) result.Code {
	data, err := l.codec.EncodeChange(c)
	if err != nil {
		return result.MalformedChange
	}
	_, code := l.agreement.Propose(at, data, out)
	return code
}

// TakeCommitted implements controlLog. It skips entries that cannot be decoded.
// All members store the same bytes, so every member skips the same entries.
func (l *replicatedLog) TakeCommitted() []committed {
	var list []committed
	for _, e := range l.agreement.TakeCommitted() {
		c := committed{position: e.Index}
		if e.IsSnapshot {
			snapshot, err := l.codec.DecodeSnapshot(e.Data)
			if err != nil {
				l.decodeError = err
				continue
			}
			c.restored = change.Restore(*snapshot)
			l.snapshotPosition = e.Index
		} else {
			var err error
			if c.change, err = l.codec.DecodeChange(e.Data); err != nil {
				l.decodeError = err
				continue
			}
		}
		list = append(list, c)
	}
	return list
}

// Compact implements controlLog.
func (l *replicatedLog) Compact(machine *change.State, out *event.Effects) {
	if l.decodeError != nil {
		out.Add(event.InvariantFailed{Name: "config_entry", Detail: l.decodeError.Error()})
		l.decodeError = nil
	}
	if machine.Position() < l.snapshotPosition+entriesPerSnapshot {
		return
	}
	snapshot := machine.Snapshot()
	data, err := l.codec.EncodeSnapshot(&snapshot)
	if err != nil {
		return
	}
	l.snapshotPosition = machine.Position()
	l.agreement.Compact(l.snapshotPosition, data, out)
}

// LeadingTerm implements controlLog.
func (l *replicatedLog) LeadingTerm() uint64 { return l.agreement.LeadingTerm() }

// LeadingTerm implements controlLog. It returns 0 even at the leader, so that the
// leader does not announce itself to other instances: the leader of a local log
// never changes.
func (l *localLog) LeadingTerm() uint64 { return 0 }

// Compact implements controlLog.
func (l *localLog) Compact(*change.State, *event.Effects) {}

// nonMemberLog replaces the replicated log at instances outside the control
// group. It reports no leader and commits nothing.
type nonMemberLog struct{ localLog }

// Status implements distribution.ControlGroup.
func (*nonMemberLog) Status(model.Time) distribution.ControlStatus {
	return distribution.ControlStatus{}
}

// newControlLog returns the log for an instance: replicatedLog for a member of the
// control group, nonMemberLog for any other instance of a deployment with a control
// group, and localLog in a deployment without one.
func newControlLog(s *State, codec ChangeCodec) controlLog {
	switch {
	case s.agreement != nil && codec != nil:
		return &replicatedLog{agreement: s.agreement, codec: codec}
	case len(s.identity.ControlGroup) > 0:
		return &nonMemberLog{}
	}
	return &localLog{self: s.identity.ID}
}
