package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// FanOut bounds the peers to which one instance sends the same update, so that
	// the leader does not send it to all instances itself.
	FanOut = 8
	// CompareInterval is the time from one comparison of versions with a random
	// peer to the next.
	CompareInterval = time.Second
	// ackDelay is how long an instance collects acknowledgements from its subtree
	// of the distribution tree before it forwards them to its parent in one
	// message.
	ackDelay = 20 * time.Millisecond
	// candidateTimeout is how long an instance without a configuration waits for
	// higher versions after it was offered the first one. The first version may
	// come from a lagging peer.
	candidateTimeout = 250 * time.Millisecond
	// discoveryTimeout is how long after its start an instance without a
	// configuration asks its peers for one. Only then may the instance conclude
	// that the deployment is new. The timeout leaves time to establish
	// connections.
	discoveryTimeout = 500 * time.Millisecond
	// maxDigestSample bounds the instances whose versions one ConfigDigest
	// contains as a sample.
	maxDigestSample = 32
	// maxRecentConfigs bounds the latest configurations that are kept as bases for
	// deltas. A peer with an older version receives the whole configuration.
	maxRecentConfigs = 8
	// maxLaggingUpdates bounds the lagging peers to which the leader sends an
	// update in each CompareInterval.
	maxLaggingUpdates = 8
)

// Identity describes this instance. It does not change while the process runs.
type Identity struct {
	ID          model.InstanceID
	Incarnation model.Incarnation
	Zone        model.Zone
	// HasDisk is true if configurations are saved in a data folder.
	HasDisk bool
	Seed    uint64
	// Group lists the instances that may be members of the control group.
	Group []model.InstanceID
}

// Installer puts a configuration in force in the other parts of this instance.
type Installer interface {
	Install(at model.Time, c *model.Config, out *event.Effects)
}

// ControlStatus is the state of the control group as one instance knows it.
// The control group is the consensus group that decides the configuration.
type ControlStatus struct {
	// Member is true if this instance is a member of the control group. If it is
	// false, all other fields are unset.
	Member bool
	// Leading is true at the leader. Current is true while the leader holds its
	// lease.
	Leading bool
	Current bool
	Leader  model.InstanceID
	Term    uint64
	Members []model.InstanceID
}

// ControlGroup is the replicated log of the control group. Every member passes
// the committed changes to State.ChangeCommitted in log order.
type ControlGroup interface {
	Status(at model.Time) ControlStatus
	// Propose appends a change to the log. It returns result.Success if the
	// change was appended. Any other result code means that the change was
	// certainly not appended.
	Propose(at model.Time, c *change.Change, out *event.Effects) result.Code
}

// StateMachine is the replicated state of the control group as this instance has
// applied it. Dry runs and requests for the history are answered from it.
type StateMachine interface {
	DryRun(c *change.Change) (change.Result, *model.Config)
	History(limit int) []change.Entry
	// Version returns the latest committed version that was applied, 0 if there
	// is none. This version may not be in force yet.
	Version() model.Version
}

// State is the distribution state of one instance.
type State struct {
	identity  Identity
	control   ControlGroup
	machine   StateMachine
	installer Installer
	rng       *rand.Rand

	// peers lists the live peers, which are the connected ones, in identifier
	// order.
	peers []model.InstanceID
	// versions holds the latest known version in force at each instance, this
	// one included.
	versions map[model.InstanceID]message.InstanceVersion
	// lastLeaderHint is the latest leader, term and member list of the control
	// group that a digest from a peer contained. It is used only while this
	// instance is not a member itself.
	lastLeaderHint message.LeaderHint

	inForce  inForceState
	tree     treeState
	requests requests
	// nextCompareAt is when this instance next compares versions with a random
	// peer.
	nextCompareAt model.Time
	startedAt     model.Time
}

// New returns the state of an instance without a configuration.
func New(id Identity, control ControlGroup, machine StateMachine, installer Installer) *State {
	s := &State{
		identity:  id,
		control:   control,
		machine:   machine,
		installer: installer,
		rng:       rand.New(rand.NewPCG(id.Seed, uint64(id.Incarnation))),
		versions:  map[model.InstanceID]message.InstanceVersion{},
	}
	s.inForce.repliedPeers = map[model.InstanceID]bool{}
	s.tree.pendingAcks = map[model.InstanceID]message.InstanceVersion{}
	s.requests.pending = map[message.ControlRequestID]*pendingRequest{}
	s.requests.lastHandled = map[model.InstanceID]message.ControlRequestID{}
	s.versions[id.ID] = s.ownVersion()
	s.lastLeaderHint.Members = id.Group
	return s
}

// ownVersion returns the version in force at this instance, in the form in which
// it is sent to peers.
func (s *State) ownVersion() message.InstanceVersion {
	return message.InstanceVersion{Instance: s.identity.ID, Incarnation: s.identity.Incarnation,
		Zone: s.identity.Zone, Version: s.Version()}
}

// Start schedules the first comparison of versions at a random time, so that
// instances that start together do not compare at the same time.
func (s *State) Start(at model.Time) {
	s.startedAt = at
	s.nextCompareAt = at.Add(model.Duration(s.rng.Int64N(int64(CompareInterval))) + 1)
}

// PeerConnected adds a live peer and compares versions with it. An instance
// without a configuration asks the peer for its configuration instead.
func (s *State) PeerConnected(at model.Time, peer model.InstanceID, incarnation model.Incarnation, zone model.Zone, out *event.Effects) {
	if i, found := slices.BinarySearch(s.peers, peer); !found {
		s.peers = slices.Insert(s.peers, i, peer)
	}
	s.recordVersion(at, message.InstanceVersion{Instance: peer, Incarnation: incarnation, Zone: zone}, out)
	if s.inForce.config == nil {
		delete(s.inForce.repliedPeers, peer)
		s.send(peer, &message.ConfigFetch{}, out)
		return
	}
	s.sendDigest(at, peer, false, out)
}

// PeerLost removes a peer that is no longer connected, and ends the requests that
// were forwarded to it.
func (s *State) PeerLost(at model.Time, peer model.InstanceID, out *event.Effects) {
	if i, found := slices.BinarySearch(s.peers, peer); found {
		s.peers = slices.Delete(s.peers, i, i+1)
	}
	delete(s.inForce.repliedPeers, peer)
	s.abandonRequestsTo(at, peer, out)
	s.checkCandidate(at, out)
}

// isLive reports whether a peer is connected.
func (s *State) isLive(peer model.InstanceID) bool {
	_, found := slices.BinarySearch(s.peers, peer)
	return found
}

func (s *State) send(to model.InstanceID, m message.Message, out *event.Effects) {
	out.Add(event.Send{To: to, Message: m})
}

// Receive handles a message from a peer. It reports whether the message is of a
// type that this package handles.
func (s *State) Receive(at model.Time, from model.InstanceID, m message.Message, out *event.Effects) bool {
	switch m := m.(type) {
	case *message.ConfigUpdate:
		s.receiveUpdate(at, from, m, out)
	case *message.ConfigAck:
		s.receiveAck(at, m, out)
	case *message.ConfigDigest:
		s.receiveDigest(at, from, m, out)
	case *message.ConfigFetch:
		s.sendUpdate(from, m.InForce, nil, out)
	case *message.ControlRequest:
		s.receiveRequest(at, from, m, out)
	case *message.ControlReply:
		s.receiveReply(at, m, out)
	default:
		return false
	}
	return true
}

// recordVersion records the version in force at another instance. It reports
// whether the record changed. Messages may arrive out of order, so a lower
// version of the same incarnation, or an earlier incarnation, changes nothing.
func (s *State) recordVersion(at model.Time, v message.InstanceVersion, out *event.Effects) bool {
	if v.Instance == s.identity.ID {
		return false
	}
	known, ok := s.versions[v.Instance]
	if ok && (v.Incarnation < known.Incarnation || v.Incarnation == known.Incarnation && v.Version <= known.Version) {
		return false
	}
	s.versions[v.Instance] = v
	s.answerStatusRequests(at, out)
	return true
}

// NextWake returns when Wake must be called next, 0 for never.
func (s *State) NextWake() model.Time {
	next := s.nextCompareAt
	for _, t := range []model.Time{s.inForce.candidateDeadline, s.tree.sendAcksAt, s.requests.nextDeadline()} {
		if t != 0 && (next == 0 || t < next) {
			next = t
		}
	}
	return next
}

// Wake handles all timers that are due.
func (s *State) Wake(at model.Time, out *event.Effects) {
	s.checkCandidate(at, out)
	if s.tree.sendAcksAt != 0 && s.tree.sendAcksAt <= at {
		s.flushAcks(out)
	}
	if s.nextCompareAt != 0 && s.nextCompareAt <= at {
		s.nextCompareAt = at.Add(CompareInterval)
		s.compareVersions(at, out)
	}
	s.expireRequests(at, out)
}
