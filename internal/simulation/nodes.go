package simulation

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/state"
)

// boot starts a process of the instance and connects it to the others.
func (s *sim) boot(n *node) {
	n.incarnation = model.Incarnation(s.now)
	n.state = state.New(state.Identity{ID: n.id, Incarnation: n.incarnation, Zone: n.zone, Address: string(n.id), Seed: s.rng.Uint64()}, nil)
	n.state.DisableRules(s.faults)
	n.attempts = map[model.AttemptID]*attempt{}
	n.timer++
	s.step(n, event.Started{})
	s.step(n, event.ConfigLoaded{Config: s.config})
	for _, m := range s.nodes {
		if m != n && m.state != nil {
			s.connect(n, m)
			s.connect(m, n)
		}
	}
}

func (s *sim) connect(n, m *node) {
	if n.state != nil && m.state != nil && !s.cut[[2]model.Zone{n.zone, m.zone}] {
		s.step(n, event.PeerConnected{Peer: m.id, Incarnation: m.incarnation, Zone: m.zone, Address: string(m.id)})
	}
}

// step hands an event to an instance and carries out the effects.
func (s *sim) step(n *node, body event.Body) {
	if n.state == nil {
		return
	}
	s.ran++
	effects := n.state.Step(event.Event{At: s.now, Body: body})
	for _, e := range append([]event.Effect(nil), effects...) {
		s.carryOut(n, e)
	}
}

func (s *sim) carryOut(n *node, e event.Effect) {
	process := n.state
	if process == nil {
		return
	}
	switch e := e.(type) {
	case event.SetTimer:
		n.timer++
		timer := n.timer
		s.queue.Add(max(e.At, s.now), func() {
			if n.timer == timer && n.state == process {
				s.step(n, event.TimerFired{})
			}
		})
	case event.Send:
		s.deliver(n, e)
	case event.Dispatch:
		s.dispatch(n, e)
	case event.Relay:
		s.relay(n, e)
	case event.CancelAttempt:
		s.cancel(n, n.attempts[e.Attempt])
	case event.Finish:
		s.finish(requestID{n.id, n.incarnation, e.Request}, e.Code)
	case event.Stopped:
		s.stopped(n)
	case event.InvariantFailed:
		s.violation("%s: invariant %s: %s", n.id, e.Name, e.Detail)
	case event.Count:
		if e.Counter == event.PermitsGranted {
			s.granted++
		}
		if e.Counter == event.Hedges {
			s.hedges++
		}
	}
}

func (s *sim) deliver(n *node, e event.Send) {
	copies := 1
	if s.chance(6) {
		copies = 2
	}
	m := s.node(e.To)
	for range copies {
		if s.chance(6) || s.cut[[2]model.Zone{n.zone, m.zone}] {
			continue
		}
		d := s.delay()
		if s.chance(3) {
			d += s.between(0, maxLate)
		}
		from, incarnation, msg := n.id, n.incarnation, e.Message
		s.after(d, func() { s.step(m, event.PeerReceived{From: from, Incarnation: incarnation, Message: copyOf(msg)}) })
	}
}

// copyOf keeps a receiver from sharing memory with the sender.
func copyOf(m message.Message) message.Message {
	if a, ok := m.(*message.Availability); ok {
		c := *a
		c.Offers = append([]message.Offer(nil), a.Offers...)
		return &c
	}
	return m
}

func (s *sim) node(id model.InstanceID) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// stopped ends a process that stopped gracefully.
func (s *sim) stopped(n *node) {
	s.stops++
	for key, r := range s.requests {
		if key.node == n.id && key.incarnation == n.incarnation && !r.ended {
			s.violation("%s stopped with request %d open", n.id, key.id)
		}
	}
	s.crash(n)
}
