package simulation

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

func (s *sim) crash(n *node) {
	id, incarnation := n.id, n.incarnation
	n.state = nil
	for key, r := range s.requests {
		if key.node == id && key.incarnation == incarnation && !r.ended {
			r.lost = true
		}
	}
	for _, m := range s.nodes {
		if m.state != nil {
			s.after(s.delay(), func() {
				if m.state != nil && n.incarnation == incarnation {
					s.step(m, event.PeerLost{Peer: id})
				}
			})
		}
	}
	s.after(s.between(200*time.Millisecond, 4*time.Second), func() { s.boot(n) })
}

// split cuts the traffic from one zone to another, sometimes in both
// directions, and heals it later.
func (s *sim) split() {
	a := s.config.Zones[s.rng.IntN(3)].Zone
	b := s.config.Zones[s.rng.IntN(3)].Zone
	cuts := [][2]model.Zone{{a, b}}
	if s.chance(60) {
		cuts = append(cuts, [2]model.Zone{b, a})
	}
	for _, c := range cuts {
		s.cut[c] = true
	}
	s.after(s.between(100*time.Millisecond, 4*time.Second), func() {
		for _, c := range cuts {
			delete(s.cut, c)
		}
		s.eachLink(cuts, s.connect)
	})
	if s.chance(50) {
		s.eachLink(cuts, func(n, m *node) {
			if n.state != nil {
				s.step(n, event.PeerLost{Peer: m.id})
			}
		})
	}
}

func (s *sim) eachLink(cuts [][2]model.Zone, f func(n, m *node)) {
	for _, c := range cuts {
		for _, n := range s.nodes {
			for _, m := range s.nodes {
				if n != m && n.zone == c[0] && m.zone == c[1] {
					f(n, m)
				}
			}
		}
	}
}

func (s *sim) fault() {
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	if s.chance(30) {
		u = s.upstreams[len(s.upstreams)-1]
	}
	switch s.rng.IntN(8) {
	case 0, 1:
		if n := s.nodes[s.rng.IntN(len(s.nodes))]; n.state != nil {
			s.crash(n)
		}
	case 2:
		s.split()
	case 3:
		s.drain(u)
	case 4:
		s.crashUpstream(u)
	case 5:
		// The upstream announces itself elsewhere, as after failed announcements.
		u.owner = s.rng.IntN(len(s.nodes))
	case 6:
		s.step(s.nodes[s.rng.IntN(len(s.nodes))], event.StopRequested{})
	case 7:
		s.drainBehindCut(u)
	}
}

// drainBehindCut drains an upstream whose zone is heard by no other for a while,
// so that grants made before the drain arrive long after it.
func (s *sim) drainBehindCut(u *server) {
	var cuts [][2]model.Zone
	for _, z := range s.config.Zones {
		if z.Zone != u.zone {
			cuts = append(cuts, [2]model.Zone{u.zone, z.Zone})
			s.cut[cuts[len(cuts)-1]] = true
		}
	}
	s.after(s.between(0, 500*time.Millisecond), func() { s.drain(u) })
	s.after(s.between(3*time.Second, maxLate), func() {
		for _, c := range cuts {
			delete(s.cut, c)
		}
	})
}

func (s *sim) drain(u *server) {
	if u.up && u.state == model.Serving {
		u.state, u.drainedAt = model.Draining, s.now
		s.announce(u)
	}
}
