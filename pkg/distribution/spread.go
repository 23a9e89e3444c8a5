package distribution

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// spread holds this instance's place in the tree of the latest update.
type spread struct {
	// parent sent the highest update, which had the given version.
	parent  model.InstanceID
	version model.Version
	// acks wait for ackAt to be sent to the parent.
	acks  map[model.InstanceID]message.InstanceVersion
	ackAt model.Time
}

// push sends the present configuration down a tree over all live peers.
func (s *State) push(c, previous *model.Config, out *event.Effects) {
	// Acknowledgements that wait for a former parent stay here: this is the root.
	clear(s.spread.acks)
	s.spread.parent, s.spread.version, s.spread.ackAt = "", c.Version, 0
	s.passOn(update(previous, c), s.peers, out)
}

// passOn sends an update to at most FanOut targets, each with a share of the
// others to pass it on to.
func (s *State) passOn(u *message.ConfigUpdate, targets []model.InstanceID, out *event.Effects) {
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
	u := update(s.recentVersion(have), c)
	u.ForwardTo = targets
	s.send(to, u, out)
}

// updated handles an update. The targets get it even if this instance has it
// or cannot use it.
func (s *State) updated(at model.Time, from model.InstanceID, u *message.ConfigUpdate, out *event.Effects) {
	s.inForce.answered[from] = true
	if u.Config.Version == 0 {
		s.checkJoin(at, out)
		return
	}
	if u.Config.Version > s.spread.version {
		s.spread.parent, s.spread.version = from, u.Config.Version
		s.passOn(u, u.ForwardTo, out)
	}
	if u.Config.Version <= s.Version() {
		// The sender did not know; an acknowledgement tells it.
		s.send(from, &message.ConfigAck{Versions: []message.InstanceVersion{s.held()}}, out)
		return
	}
	c := patch(s.inForce.config, u)
	if c == nil {
		s.send(from, &message.ConfigFetch{InForce: s.Version()}, out)
		return
	}
	s.offer(at, c, out)
}

// acknowledge reports the version in force to the parent at once.
func (s *State) acknowledge(out *event.Effects) {
	if s.spread.parent == "" {
		return
	}
	s.spread.acks[s.identity.ID] = s.held()
	s.flushAcks(out)
}

// acknowledged takes in acknowledgements and passes them on towards the root.
func (s *State) acknowledged(at model.Time, m *message.ConfigAck, out *event.Effects) {
	for _, h := range m.Versions {
		if !s.learn(at, h, out) || s.spread.parent == "" {
			continue
		}
		s.spread.acks[h.Instance] = h
		if s.spread.ackAt == 0 {
			s.spread.ackAt = at.Add(ackDelay)
		}
	}
}

func (s *State) flushAcks(out *event.Effects) {
	s.spread.ackAt = 0
	if len(s.spread.acks) == 0 {
		return
	}
	m := &message.ConfigAck{}
	for _, h := range s.spread.acks {
		m.Versions = append(m.Versions, h)
	}
	slices.SortFunc(m.Versions, compareHeld)
	clear(s.spread.acks)
	s.send(s.spread.parent, m, out)
}

func compareHeld(a, b message.InstanceVersion) int {
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
func (s *State) compare(at model.Time, out *event.Effects) {
	if len(s.peers) == 0 {
		return
	}
	if s.inForce.config == nil {
		s.askAgain(out)
		return
	}
	s.compareWith(at, s.peers[s.rng.IntN(len(s.peers))], false, out)
	if s.control.Status(at).Leading {
		s.repair(out)
	}
}

// askAgain asks the peers that have not offered a configuration.
func (s *State) askAgain(out *event.Effects) {
	start := s.rng.IntN(len(s.peers))
	for i := range min(FanOut, len(s.peers)) {
		s.send(s.peers[(start+i)%len(s.peers)], &message.ConfigFetch{}, out)
	}
}

func (s *State) repair(out *event.Effects) {
	repairs := 0
	start := s.rng.IntN(len(s.peers))
	for i := range s.peers {
		peer := s.peers[(start+i)%len(s.peers)]
		if have := s.known[peer].Version; have < s.Version() && repairs < maxRepairs {
			repairs++
			s.sendUpdate(peer, have, nil, out)
		}
	}
}

func (s *State) compareWith(at model.Time, peer model.InstanceID, reply bool, out *event.Effects) {
	s.send(peer, &message.ConfigDigest{Sender: s.held(), Sample: s.sample(), Hint: s.leaderHint(at), Reply: reply}, out)
}

// sample returns a part of what this instance knows of others. Successive
// samples begin at random places and so cover everything.
func (s *State) sample() []message.InstanceVersion {
	ids := s.knownIDs()
	n := min(maxSample, len(ids))
	list := make([]message.InstanceVersion, n)
	start := s.rng.IntN(len(ids))
	for i := range list {
		list[i] = s.known[ids[(start+i)%len(ids)]]
	}
	return list
}

// knownIDs lists all instances with a known version, in identifier order.
func (s *State) knownIDs() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(s.known))
	for id := range s.known {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// compared handles a digest: whoever has the higher version sends it.
func (s *State) compared(at model.Time, from model.InstanceID, m *message.ConfigDigest, out *event.Effects) {
	s.learn(at, m.Sender, out)
	for _, h := range m.Sample {
		s.learn(at, h, out)
	}
	s.takeHint(m.Hint)
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
	s.compareWith(at, from, true, out)
}
