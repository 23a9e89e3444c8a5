package simulation

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// crashInstance ends the process of the instance. Its peers receive PeerLost,
// and the instance starts again later.
func (s *sim) crashInstance(inst *instance) {
	id, incarnation := inst.id, inst.incarnation
	inst.state = nil
	for key, request := range s.requests {
		if key.instance == id && key.incarnation == incarnation && !request.ended {
			request.instanceCrashed = true
		}
	}
	for _, peer := range s.instances {
		if peer.state != nil {
			s.after(s.randomDelay(), func() {
				if peer.state != nil && inst.incarnation == incarnation {
					s.step(peer, event.PeerLost{Peer: id})
				}
			})
		}
	}
	s.after(s.randomDuration(200*time.Millisecond, 4*time.Second), func() { s.startInstance(inst) })
}

// partitionZones partitions one zone from another, often in both directions, and
// heals the partition later. In half of the cases, the connections between the
// zones break as well.
func (s *sim) partitionZones() {
	from := s.config.Zones[s.rng.IntN(3)].Zone
	to := s.config.Zones[s.rng.IntN(3)].Zone
	pairs := [][2]model.Zone{{from, to}}
	if s.chance(60) {
		pairs = append(pairs, [2]model.Zone{to, from})
	}
	for _, pair := range pairs {
		s.partitioned[pair] = true
	}
	s.after(s.randomDuration(100*time.Millisecond, 4*time.Second), func() {
		for _, pair := range pairs {
			delete(s.partitioned, pair)
		}
		s.forEachInstancePair(pairs, s.connect)
	})
	if s.chance(50) {
		s.forEachInstancePair(pairs, func(inst, peer *instance) {
			if inst.state != nil {
				s.step(inst, event.PeerLost{Peer: peer.id})
			}
		})
	}
}

// forEachInstancePair calls f for each pair of instances in each pair of zones.
func (s *sim) forEachInstancePair(pairs [][2]model.Zone, f func(inst, peer *instance)) {
	for _, pair := range pairs {
		for _, inst := range s.instances {
			for _, peer := range s.instances {
				if inst != peer && inst.zone == pair[0] && peer.zone == pair[1] {
					f(inst, peer)
				}
			}
		}
	}
}

// injectFault injects one random fault.
func (s *sim) injectFault() {
	u := s.upstreams[s.rng.IntN(len(s.upstreams))]
	if s.chance(30) {
		u = s.upstreams[len(s.upstreams)-1]
	}
	switch s.rng.IntN(8) {
	case 0, 1:
		if inst := s.instances[s.rng.IntN(len(s.instances))]; inst.state != nil {
			s.crashInstance(inst)
		}
	case 2:
		s.partitionZones()
	case 3:
		s.drainUpstream(u)
	case 4:
		s.crashUpstream(u)
	case 5:
		// The upstream sends its announcements to another instance, as it does
		// after failed announcements.
		u.ownerIndex = s.rng.IntN(len(s.instances))
	case 6:
		s.step(s.instances[s.rng.IntN(len(s.instances))], event.StopRequested{})
	case 7:
		s.drainDuringPartition(u)
	}
}

// drainDuringPartition drains an upstream while no other zone receives messages
// from its zone, so that instances in other zones do not learn of the drain.
// Permits that were granted before the drain arrive long after it.
func (s *sim) drainDuringPartition(u *fakeUpstream) {
	var pairs [][2]model.Zone
	for _, z := range s.config.Zones {
		if z.Zone != u.zone {
			pairs = append(pairs, [2]model.Zone{u.zone, z.Zone})
			s.partitioned[pairs[len(pairs)-1]] = true
		}
	}
	s.after(s.randomDuration(0, 500*time.Millisecond), func() { s.drainUpstream(u) })
	s.after(s.randomDuration(3*time.Second, maxExtraDelay), func() {
		for _, pair := range pairs {
			delete(s.partitioned, pair)
		}
	})
}

// drainUpstream changes the state of an upstream to draining and announces it.
func (s *sim) drainUpstream(u *fakeUpstream) {
	if u.alive && u.state == model.Serving {
		u.state, u.drainedAt = model.Draining, s.now
		s.announce(u)
	}
}
