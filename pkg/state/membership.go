package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/membership"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/view"
)

// newMembership returns the membership state of an instance.
func newMembership(i *Identity) *membership.State {
	return membership.New(message.Member{
		ID:          i.ID,
		Incarnation: i.Incarnation,
		Zone:        i.Zone,
		Address:     i.Address,
		PeerAddress: i.PeerAddress,
	}, i.Seed)
}

// connectedMember returns the member at the remote end of a new connection.
func connectedMember(b *event.PeerConnected) message.Member {
	return message.Member{
		ID:          b.Peer,
		Incarnation: b.Incarnation,
		Zone:        b.Zone,
		Address:     b.Address,
		PeerAddress: b.PeerAddress,
	}
}

// servingInstances returns the instances that lookups may return, in identifier
// order. It omits instances that an operator has drained.
func (s *State) servingInstances() []view.Instance {
	members := s.members.Serving()
	list := make([]view.Instance, 0, len(members))
	for i := range members {
		m := &members[i]
		instance := view.Instance{ID: m.ID, Address: m.Address, Zone: m.Zone, Region: s.config.RegionOf(m.Zone)}
		if !s.isInstanceDrained(&instance) {
			list = append(list, instance)
		}
	}
	return list
}

// isInstanceDrained reports whether an operator has drained the instance, its zone
// or its region.
func (s *State) isInstanceDrained(i *view.Instance) bool {
	return s.config.IsDrained(model.DrainInstance, string(i.ID)) ||
		s.config.IsDrained(model.DrainZone, string(i.Zone)) ||
		s.config.IsDrained(model.DrainRegion, string(i.Region))
}
