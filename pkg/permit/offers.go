package permit

import (
	"sort"

	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// MaxOfferAge is the age in nanoseconds (5 s) above which callers should ignore a
// PeerOffer. A connected instance repeats its offers at least once per second, so
// an older offer is probably out of date.
const MaxOfferAge = 5 * 1e9

// PeerOffer is the latest offer that another instance broadcast for a service in a
// zone: how many slots the other instance can grant there. The offer may be out of
// date.
type PeerOffer struct {
	message.Offer
	Instance   model.InstanceID
	ReceivedAt model.Time
}

// availabilityVersion identifies the last Availability message received from an
// instance. Later messages have a higher incarnation or, with the same incarnation,
// a higher seq.
type availabilityVersion struct {
	incarnation model.Incarnation
	seq         uint64
}

// ReceiveAvailability deletes the offers received earlier from the sending instance
// and stores the offers that the message contains. If the message is not newer than
// the last one from that instance, ReceiveAvailability ignores it and returns
// false.
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

// ForgetPeer deletes the offers received from an instance that can no longer be
// reached.
func (s *State) ForgetPeer(id model.InstanceID) { s.removePeerOffers(id) }

// removePeerOffers deletes the offers received from an instance, for all services.
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
// instance and zone. The list includes offers older than MaxOfferAge. After a caller
// has requested a slot, it may decrement the number of free slots in the returned
// offer, so that it does not request the same slot twice.
func (s *State) PeerOffers(service model.ServiceName) []*PeerOffer { return s.peerOffers[service] }
