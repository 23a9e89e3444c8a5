package distribution

import (
	"slices"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// leaderHint returns the leader, the term and the members of the control group
// as this instance knows them.
func (s *State) leaderHint(at model.Time) message.LeaderHint {
	if status := s.control.Status(at); status.Member {
		return message.LeaderHint{Leader: status.Leader, Term: status.Term, Members: status.Members}
	}
	return s.lastLeaderHint
}

// updateLeaderHint stores the hint h if h has a higher term than the stored
// hint, or if h has the same term and names a leader.
func (s *State) updateLeaderHint(h message.LeaderHint) {
	if h.Term > s.lastLeaderHint.Term || h.Term == s.lastLeaderHint.Term && h.Leader != "" {
		s.lastLeaderHint = h
	}
}

// deploymentStatus returns the status of the deployment as this instance knows
// it: the leader, the members of the control group, and the version in force at
// each instance.
func (s *State) deploymentStatus(at model.Time) message.Status {
	control := s.control.Status(at)
	hint := s.leaderHint(at)
	st := message.Status{
		From:    s.identity.ID,
		Current: control.Member && control.Leading && control.Current,
		Leader:  hint.Leader,
		Term:    hint.Term,
		Version: max(s.Version(), s.machine.Version()),
		Members: hint.Members,
	}
	roster := s.roster()
	ids := s.instanceIDs()
	for id := range roster {
		if _, known := s.versions[id]; !known {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		zone, inRoster := roster[id]
		i := message.InstanceStatus{InstanceVersion: s.versions[id], InRoster: inRoster,
			Connected: id == s.identity.ID || s.isLive(id)}
		i.Instance = id
		if i.Zone == "" {
			i.Zone = zone
		}
		if i.InRoster || i.Connected {
			st.Instances = append(st.Instances, i)
		}
	}
	return st
}

// roster returns the zone of each instance in the roster of the configuration in
// force.
func (s *State) roster() map[model.InstanceID]model.Zone {
	roster := map[model.InstanceID]model.Zone{}
	if c := s.inForce.config; c != nil {
		for _, r := range c.Roster {
			roster[r.ID] = r.Zone
		}
	}
	return roster
}

// isInForceEverywhere reports whether version v or a higher one is in force at
// this instance, at every instance of the roster and at every live peer, as far
// as this instance knows.
func (s *State) isInForceEverywhere(v model.Version) bool {
	if s.Version() < v {
		return false
	}
	for _, r := range s.inForce.config.Roster {
		if s.versions[r.ID].Version < v {
			return false
		}
	}
	for _, p := range s.peers {
		if s.versions[p].Version < v {
			return false
		}
	}
	return true
}

// answerStatusRequests answers the status requests that this instance handles and
// that need not wait or whose version is in force everywhere.
func (s *State) answerStatusRequests(at model.Time, out *event.Effects) {
	for _, p := range slices.Clone(s.requests.order) {
		if p.request.Request != message.RequestStatus || p.nextHop != "" {
			continue
		}
		if p.request.Version == 0 || p.request.Wait == 0 || s.isInForceEverywhere(p.request.Version) {
			s.removePending(p)
			s.replyStatus(at, p, out)
		}
	}
}

// replyStatus answers a status request with the status as this instance knows
// it.
func (s *State) replyStatus(at model.Time, p *pendingRequest, out *event.Effects) {
	s.reply(p, &message.ControlReply{ID: p.request.ID, Status: s.deploymentStatus(at)}, out)
}
