package simulation

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/state"
)

// startInstance starts a process of the instance and connects it to the others.
func (s *sim) startInstance(inst *instance) {
	inst.incarnation = model.Incarnation(s.now)
	inst.state = state.New(state.Identity{ID: inst.id, Incarnation: inst.incarnation, Zone: inst.zone, Address: string(inst.id), Seed: s.rng.Uint64()}, nil)
	inst.state.DisableRules(s.disabledRules)
	inst.attempts = map[model.AttemptID]*attempt{}
	inst.timerSeq++
	s.step(inst, event.Started{})
	s.step(inst, event.ConfigLoaded{Config: s.config})
	for _, peer := range s.instances {
		if peer != inst && peer.state != nil {
			s.connect(inst, peer)
			s.connect(peer, inst)
		}
	}
}

// connect reports to inst that peer has connected, unless one of the two is
// down or a partition separates them.
func (s *sim) connect(inst, peer *instance) {
	if inst.state != nil && peer.state != nil && !s.partitioned[[2]model.Zone{inst.zone, peer.zone}] {
		s.step(inst, event.PeerConnected{Peer: peer.id, Incarnation: peer.incarnation, Zone: peer.zone, Address: string(peer.id)})
	}
}

// step passes an event to the instance and executes the effects.
func (s *sim) step(inst *instance, body event.Body) {
	if inst.state == nil {
		return
	}
	s.steps++
	effects := inst.state.Step(event.Event{At: s.now, Body: body})
	for _, e := range append([]event.Effect(nil), effects...) {
		s.executeEffect(inst, e)
	}
}

// executeEffect executes one effect of the instance.
func (s *sim) executeEffect(inst *instance, e event.Effect) {
	process := inst.state
	if process == nil {
		return
	}
	switch e := e.(type) {
	case event.SetTimer:
		inst.timerSeq++
		timerSeq := inst.timerSeq
		s.scheduled.Add(max(e.At, s.now), func() {
			if inst.timerSeq == timerSeq && inst.state == process {
				s.step(inst, event.TimerFired{})
			}
		})
	case event.Send:
		s.deliver(inst, e)
	case event.Dispatch:
		s.dispatch(inst, e)
	case event.Relay:
		s.relay(inst, e)
	case event.CancelAttempt:
		s.cancelAttempt(inst, inst.attempts[e.Attempt])
	case event.Finish:
		s.finishRequest(requestID{inst.id, inst.incarnation, e.Request}, e.Code)
	case event.Stopped:
		s.instanceStopped(inst)
	case event.InvariantFailed:
		s.recordViolation("%s: invariant %s: %s", inst.id, e.Name, e.Detail)
	case event.Count:
		if e.Counter == event.PermitsGranted {
			s.permitsGranted++
		}
		if e.Counter == event.Hedges {
			s.hedges++
		}
	}
}

// deliver sends a message to another instance. The network may lose, duplicate or
// delay it.
func (s *sim) deliver(sender *instance, e event.Send) {
	copies := 1
	if s.chance(6) {
		copies = 2
	}
	peer := s.instanceByID(e.To)
	for range copies {
		if s.chance(6) || s.partitioned[[2]model.Zone{sender.zone, peer.zone}] {
			continue
		}
		delay := s.randomDelay()
		if s.chance(3) {
			delay += s.randomDuration(0, maxExtraDelay)
		}
		from, incarnation, msg := sender.id, sender.incarnation, e.Message
		s.after(delay, func() { s.step(peer, event.PeerReceived{From: from, Incarnation: incarnation, Message: clone(msg)}) })
	}
}

// clone copies a message whose memory the sender reuses, so that the
// receiver does not share it.
func clone(msg message.Message) message.Message {
	if availability, ok := msg.(*message.Availability); ok {
		c := *availability
		c.Offers = append([]message.Offer(nil), availability.Offers...)
		return &c
	}
	return msg
}

// instanceByID returns the instance with the identifier, nil if none has it.
func (s *sim) instanceByID(id model.InstanceID) *instance {
	for _, inst := range s.instances {
		if inst.id == id {
			return inst
		}
	}
	return nil
}

// instanceStopped ends a process that has stopped gracefully and checks that it
// left no request open.
func (s *sim) instanceStopped(inst *instance) {
	s.gracefulStops++
	for key, request := range s.requests {
		if key.instance == inst.id && key.incarnation == inst.incarnation && !request.ended {
			s.recordViolation("%s stopped with request %d open", inst.id, key.id)
		}
	}
	s.crashInstance(inst)
}
