package permit

import (
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// MaxOfferAge is the age in nanoseconds (5 s) beyond which callers should ignore a
// PeerOffer.
const MaxOfferAge = 5 * 1e9

// PeerOffer is the latest offer that another instance broadcast for a service in a
// zone. It may be out of date.
type PeerOffer struct {
	message.Offer
	Instance   model.InstanceID
	ReceivedAt model.Time
}

// availabilityVersion identifies the last availability message of an instance.
type availabilityVersion struct {
	incarnation model.Incarnation
	seq         uint64
}

// ReceiveAvailability replaces the offers of the sending instance by those of the
// message. If the message is not newer than the last one from that instance,
// ReceiveAvailability ignores it and returns false.
func (s *State) ReceiveAvailability(at model.Time, from model.InstanceID, incarnation model.Incarnation, m *message.Availability) bool {
	p := s.availabilityVersions[from]
	if p == nil {
		p = &availabilityVersion{}
		s.availabilityVersions[from] = p
	}
	if incarnation < p.incarnation || incarnation == p.incarnation && m.Seq <= p.seq {
		return false
	}
	p.incarnation, p.seq = incarnation, m.Seq
	s.removePeerOffers(from)
	for _, o := range m.Offers {
		list := append(s.peerOffers[o.Service], &PeerOffer{Offer: o, Instance: from, ReceivedAt: at})
		sort.Slice(list, func(i, j int) bool {
			if list[i].Instance != list[j].Instance {
				return list[i].Instance < list[j].Instance
			}
			return list[i].Zone < list[j].Zone
		})
		s.peerOffers[o.Service] = list
	}
	return true
}

// ForgetPeer removes the offers of an instance that cannot be reached.
func (s *State) ForgetPeer(id model.InstanceID) { s.removePeerOffers(id) }

// removePeerOffers removes the offers of an instance for all services.
func (s *State) removePeerOffers(id model.InstanceID) {
	for service, list := range s.peerOffers {
		kept := list[:0]
		for _, offer := range list {
			if offer.Instance != id {
				kept = append(kept, offer)
			}
		}
		s.peerOffers[service] = kept
	}
}

// PeerOffers returns the offers of other instances for the service, ordered by
// instance and zone. The list includes offers older than MaxOfferAge. A caller
// that requests slots may reduce the free slots of the offer accordingly.
func (s *State) PeerOffers(service model.ServiceName) []*PeerOffer { return s.peerOffers[service] }
