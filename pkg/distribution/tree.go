package distribution

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// spread holds this instance's place in the tree of the latest update.
type treeState struct {
	// parent sent the highest update, which had the given version.
	parent  model.InstanceID
	version model.Version
	// acks wait for ackAt to be sent to the parent.
	pendingAcks map[model.InstanceID]message.InstanceVersion
	sendAcksAt  model.Time
}

// push sends the present configuration down a tree over all live peers.
func (s *State) pushConfig(c, previous *model.Config, out *event.Effects) {
	// Acknowledgements that wait for a former parent stay here: this is the root.
	clear(s.tree.pendingAcks)
	s.tree.parent, s.tree.version, s.tree.sendAcksAt = "", c.Version, 0
	s.forwardUpdate(makeUpdate(previous, c), s.peers, out)
}

// passOn sends an update to at most FanOut targets, each with a share of the
// others to pass it on to.
func (s *State) forwardUpdate(u *message.ConfigUpdate, targets []model.InstanceID, out *event.Effects) {
	groups := min(FanOut, len(targets))
	for g := range groups {
		share := targets[g*len(targets)/groups : (g+1)*len(targets)/groups]
		head := slices.IndexFunc(share, s.isLive)
		if head < 0 {
			continue
		}
		m := *u
		m.ForwardTo = slices.Concat(share[:head], share[head+1:])
		s.send(share[head], &m, out)
	}
}

// sendUpdate sends the configuration in force to one peer, as a delta if the
// peer's version is a recent one.
func (s *State) sendUpdate(to model.InstanceID, have model.Version, targets []model.InstanceID, out *event.Effects) {
	c := s.inForce.config
	if c == nil {
		s.send(to, &message.ConfigUpdate{}, out)
		return
	}
	u := makeUpdate(s.recentConfig(have), c)
	u.ForwardTo = targets
	s.send(to, u, out)
}

// updated handles an update. The targets get it even if this instance has it
// or cannot use it.
func (s *State) receiveUpdate(at model.Time, from model.InstanceID, u *message.ConfigUpdate, out *event.Effects) {
	s.inForce.repliedPeers[from] = true
	if u.Config.Version == 0 {
		s.checkCandidate(at, out)
		return
	}
	if u.Config.Version > s.tree.version {
		s.tree.parent, s.tree.version = from, u.Config.Version
		s.forwardUpdate(u, u.ForwardTo, out)
	}
	if u.Config.Version <= s.Version() {
		// The sender did not know; an acknowledgement tells it.
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

// acknowledge reports the version in force to the parent at once.
func (s *State) acknowledgeVersion(out *event.Effects) {
	if s.tree.parent == "" {
		return
	}
	s.tree.pendingAcks[s.identity.ID] = s.ownVersion()
	s.flushAcks(out)
}

// acknowledged takes in acknowledgements and passes them on towards the root.
func (s *State) receiveAck(at model.Time, m *message.ConfigAck, out *event.Effects) {
	for _, h := range m.Versions {
		if !s.recordVersion(at, h, out) || s.tree.parent == "" {
			continue
		}
		s.tree.pendingAcks[h.Instance] = h
		if s.tree.sendAcksAt == 0 {
			s.tree.sendAcksAt = at.Add(ackDelay)
		}
	}
}

func (s *State) flushAcks(out *event.Effects) {
	s.tree.sendAcksAt = 0
	if len(s.tree.pendingAcks) == 0 {
		return
	}
	m := &message.ConfigAck{}
	for _, h := range s.tree.pendingAcks {
		m.Versions = append(m.Versions, h)
	}
	slices.SortFunc(m.Versions, compareInstances)
	clear(s.tree.pendingAcks)
	s.send(s.tree.parent, m, out)
}

func compareInstances(a, b message.InstanceVersion) int {
	switch {
	case a.Instance < b.Instance:
		return -1
	case a.Instance > b.Instance:
		return 1
	}
	return 0
}

// compare compares versions with a random live peer. The leader also sends the
// present version to peers that are known to lag, since each of them would
// otherwise wait for a lucky draw.
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

// askAgain asks the peers that have not offered a configuration.
func (s *State) fetchFromPeers(out *event.Effects) {
	start := s.rng.IntN(len(s.peers))
	for i := range min(FanOut, len(s.peers)) {
		s.send(s.peers[(start+i)%len(s.peers)], &message.ConfigFetch{}, out)
	}
}

func (s *State) updateLaggingPeers(out *event.Effects) {
	repairs := 0
	start := s.rng.IntN(len(s.peers))
	for i := range s.peers {
		peer := s.peers[(start+i)%len(s.peers)]
		if have := s.versions[peer].Version; have < s.Version() && repairs < maxLaggingUpdates {
			repairs++
			s.sendUpdate(peer, have, nil, out)
		}
	}
}

func (s *State) sendDigest(at model.Time, peer model.InstanceID, reply bool, out *event.Effects) {
	s.send(peer, &message.ConfigDigest{Sender: s.ownVersion(), Sample: s.versionSample(), Hint: s.leaderHint(at), Reply: reply}, out)
}

// sample returns a part of what this instance knows of others. Successive
// samples begin at random places and so cover everything.
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

// knownIDs lists all instances with a known version, in identifier order.
func (s *State) instanceIDs() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(s.versions))
	for id := range s.versions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// compared handles a digest: whoever has the higher version sends it.
func (s *State) receiveDigest(at model.Time, from model.InstanceID, m *message.ConfigDigest, out *event.Effects) {
	s.recordVersion(at, m.Sender, out)
	for _, h := range m.Sample {
		s.recordVersion(at, h, out)
	}
	s.updateHint(m.Hint)
	if m.Reply {
		// The sender of a reply has already sent or asked for what differs.
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
