package distribution

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// treeState holds this instance's place in the distribution tree of the latest
// update.
type treeState struct {
	// parent is the instance from which this instance first received
	// highestVersion, empty at the root. highestVersion is the highest version that
	// this instance has received or pushed.
	parent         model.InstanceID
	highestVersion model.Version
	// pendingAcks holds the versions in force in this instance's subtree that are
	// sent to the parent at sendAcksAt, by instance.
	pendingAcks map[model.InstanceID]message.InstanceVersion
	sendAcksAt  model.Time
}

// pushConfig sends a newly committed configuration along a distribution tree
// that contains all live peers. Where possible it sends only the difference from
// the previous configuration.
func (s *State) pushConfig(c, previous *model.Config, out *event.Effects) {
	// This instance becomes the root, so it drops the acknowledgements that it
	// would have sent to its former parent.
	clear(s.tree.pendingAcks)
	s.tree.parent, s.tree.highestVersion, s.tree.sendAcksAt = "", c.Version, 0
	s.forwardUpdate(makeUpdate(previous, c), s.peers, out)
}

// forwardUpdate divides the targets into at most FanOut groups. It sends the
// update to the first instance in each group that is connected to this one. The
// receiver forwards the update to the rest of its group.
func (s *State) forwardUpdate(u *message.ConfigUpdate, targets []model.InstanceID, out *event.Effects) {
	groups := min(FanOut, len(targets))
	for group := range groups {
		share := targets[group*len(targets)/groups : (group+1)*len(targets)/groups]
		receiver := slices.IndexFunc(share, s.isLive)
		if receiver < 0 {
			continue
		}
		m := *u
		m.ForwardTo = slices.Concat(share[:receiver], share[receiver+1:])
		s.send(share[receiver], &m, out)
	}
}

// sendUpdate sends the configuration in force to one peer, which forwards it to
// the targets. The update is a delta if this instance still has the
// configuration that is in force at the peer.
func (s *State) sendUpdate(to model.InstanceID, peerVersion model.Version, targets []model.InstanceID, out *event.Effects) {
	c := s.inForce.config
	if c == nil {
		s.send(to, &message.ConfigUpdate{}, out)
		return
	}
	u := makeUpdate(s.recentConfig(peerVersion), c)
	u.ForwardTo = targets
	s.send(to, u, out)
}

// receiveUpdate handles an update from a peer. An update with a new highest
// version is forwarded to its targets even if this instance cannot apply the
// delta.
func (s *State) receiveUpdate(at model.Time, from model.InstanceID, u *message.ConfigUpdate, out *event.Effects) {
	s.inForce.repliedPeers[from] = true
	if u.Config.Version == 0 {
		s.checkCandidate(at, out)
		return
	}
	if u.Config.Version > s.tree.highestVersion {
		s.tree.parent, s.tree.highestVersion = from, u.Config.Version
		s.forwardUpdate(u, u.ForwardTo, out)
	}
	if u.Config.Version <= s.Version() {
		// The sender did not know which version is in force here. The
		// acknowledgement reports this version.
		s.send(from, &message.ConfigAck{Versions: []message.InstanceVersion{s.ownVersion()}}, out)
		return
	}
	c := applyUpdate(s.inForce.config, u)
	if c == nil {
		s.send(from, &message.ConfigFetch{InForce: s.Version()}, out)
		return
	}
	s.offerConfig(at, c, out)
}

// acknowledgeVersion reports the version in force at this instance to its parent
// in the distribution tree, without ackDelay.
func (s *State) acknowledgeVersion(out *event.Effects) {
	if s.tree.parent == "" {
		return
	}
	s.tree.pendingAcks[s.identity.ID] = s.ownVersion()
	s.flushAcks(out)
}

// receiveAck records the acknowledged versions of other instances. New versions
// are forwarded to the parent after ackDelay.
func (s *State) receiveAck(at model.Time, m *message.ConfigAck, out *event.Effects) {
	for _, v := range m.Versions {
		if !s.recordVersion(at, v, out) || s.tree.parent == "" {
			continue
		}
		s.tree.pendingAcks[v.Instance] = v
		if s.tree.sendAcksAt == 0 {
			s.tree.sendAcksAt = at.Add(ackDelay)
		}
	}
}

// flushAcks sends the pending acknowledgements to the parent in the distribution
// tree.
func (s *State) flushAcks(out *event.Effects) {
	s.tree.sendAcksAt = 0
	if len(s.tree.pendingAcks) == 0 {
		return
	}
	m := &message.ConfigAck{}
	for _, v := range s.tree.pendingAcks {
		m.Versions = append(m.Versions, v)
	}
	slices.SortFunc(m.Versions, compareInstances)
	clear(s.tree.pendingAcks)
	s.send(s.tree.parent, m, out)
}

// compareInstances orders versions by the identifier of their instance.
func compareInstances(a, b message.InstanceVersion) int {
	switch {
	case a.Instance < b.Instance:
		return -1
	case a.Instance > b.Instance:
		return 1
	}
	return 0
}

// compareVersions starts a comparison of versions with a random live peer. The
// leader also sends the configuration in force to peers that are known to lag,
// since otherwise each such peer would lag until a random comparison selects
// it.
func (s *State) compareVersions(at model.Time, out *event.Effects) {
	if len(s.peers) == 0 {
		return
	}
	if s.inForce.config == nil {
		s.fetchFromPeers(out)
		return
	}
	s.sendDigest(at, s.peers[s.rng.IntN(len(s.peers))], false, out)
	if s.control.Status(at).Leading {
		s.updateLaggingPeers(out)
	}
}

// fetchFromPeers asks at most FanOut peers for their configuration, beginning
// at a random one.
func (s *State) fetchFromPeers(out *event.Effects) {
	start := s.rng.IntN(len(s.peers))
	for i := range min(FanOut, len(s.peers)) {
		s.send(s.peers[(start+i)%len(s.peers)], &message.ConfigFetch{}, out)
	}
}

// updateLaggingPeers sends the configuration in force to at most
// maxLaggingUpdates live peers with a lower version, beginning at a random one.
func (s *State) updateLaggingPeers(out *event.Effects) {
	sentUpdates := 0
	start := s.rng.IntN(len(s.peers))
	for i := range s.peers {
		peer := s.peers[(start+i)%len(s.peers)]
		if peerVersion := s.versions[peer].Version; peerVersion < s.Version() && sentUpdates < maxLaggingUpdates {
			sentUpdates++
			s.sendUpdate(peer, peerVersion, nil, out)
		}
	}
}

// sendDigest sends a peer the version in force at this instance, a sample of the
// known versions of all instances, and the leader hint.
func (s *State) sendDigest(at model.Time, peer model.InstanceID, reply bool, out *event.Effects) {
	s.send(peer, &message.ConfigDigest{Sender: s.ownVersion(), Sample: s.versionSample(), LeaderHint: s.leaderHint(at), Reply: reply}, out)
}

// versionSample returns at most maxDigestSample of the known versions. Each
// sample begins at a random instance, so that over time the samples cover all
// instances.
func (s *State) versionSample() []message.InstanceVersion {
	ids := s.instanceIDs()
	n := min(maxDigestSample, len(ids))
	list := make([]message.InstanceVersion, n)
	start := s.rng.IntN(len(ids))
	for i := range list {
		list[i] = s.versions[ids[(start+i)%len(ids)]]
	}
	return list
}

// instanceIDs lists all instances with a known version, in identifier order.
func (s *State) instanceIDs() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(s.versions))
	for id := range s.versions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// receiveDigest handles a digest from a peer. If the versions differ, the
// instance with the lower version receives the configuration of the one with
// the higher version.
func (s *State) receiveDigest(at model.Time, from model.InstanceID, m *message.ConfigDigest, out *event.Effects) {
	s.recordVersion(at, m.Sender, out)
	for _, v := range m.Sample {
		s.recordVersion(at, v, out)
	}
	s.updateLeaderHint(m.LeaderHint)
	if m.Reply {
		// The sender of a reply has already compared the two versions and has
		// sent or requested the configuration if they differ.
		return
	}
	switch {
	case m.Sender.Version < s.Version():
		s.sendUpdate(from, m.Sender.Version, nil, out)
	case m.Sender.Version > s.Version():
		s.send(from, &message.ConfigFetch{InForce: s.Version()}, out)
	}
	s.sendDigest(at, from, true, out)
}
