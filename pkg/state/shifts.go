package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
)

// crossRegionReserveDivisor sets how many slots of a service are never granted to
// instances of other regions: one tenth of the slots of the upstreams that this
// instance owns. The reserve lets requests of this region find a free slot at once.
const crossRegionReserveDivisor = 10

// Shift implements request.Slots. It decides at random whether a request takes part
// in a traffic shift. A shift applies to requests that arrive in its origin region,
// and its percentage is the probability that a request takes part.
func (source *slotSource) Shift(service model.ServiceName) string {
	s := source.state
	if len(s.config.Shifts) == 0 {
		return ""
	}
	own := s.config.RegionOf(s.identity.Zone)
	for i := range s.config.Shifts {
		shift := &s.config.Shifts[i]
		if shift.Service == service && shift.From == own && s.rng.IntN(100) < shift.Percent {
			return shift.ID
		}
	}
	return ""
}

// shiftTarget returns the target region of a shift, "" if the configuration does not
// contain the shift.
func (s *State) shiftTarget(id string) model.Region {
	if id == "" {
		return ""
	}
	for i := range s.config.Shifts {
		if s.config.Shifts[i].ID == id {
			return s.config.Shifts[i].To
		}
	}
	return ""
}

// shiftShares returns this instance's shares of the caps of all shifts into its
// region. Each cap is divided evenly among the instances of the region that are in
// the roster. The remainder of the division goes to the first of these instances in
// roster order. previous is the configuration that s.config has replaced.
func (s *State) shiftShares(previous *model.Config) []permit.Share {
	region := s.config.RegionOf(s.identity.Zone)
	roster := s.config.RosterInRegion(region)
	var list []permit.Share
	for _, shift := range s.config.Shifts {
		if shift.To != region {
			continue
		}
		for i, id := range roster {
			if id != s.identity.ID {
				continue
			}
			limit := shift.Cap / len(roster)
			if i < shift.Cap%len(roster) {
				limit++
			}
			list = append(list, permit.Share{Shift: shift.ID, Service: shift.Service, Limit: limit,
				LongestTimeout: s.longestTimeout(shift.Service), ExistedBefore: hasShift(previous, shift.ID)})
		}
	}
	return list
}

// hasShift reports whether the configuration contains a traffic shift with the
// identifier.
func hasShift(c *model.Config, id string) bool {
	if c == nil {
		return false
	}
	for i := range c.Shifts {
		if c.Shifts[i].ID == id {
			return true
		}
	}
	return false
}

// exceedsLimit reports whether granting the peer request now would exceed this
// instance's share of the cap of the request's shift, or the number of slots that may
// be granted to other regions. It also returns true if the shift no longer exists.
func (s *State) exceedsLimit(at model.Time, r *permit.PeerRequest) bool {
	if r.Shift != "" && (s.shiftTarget(r.Shift) == "" || !s.permits.MayGrantShifted(at, r.Shift)) {
		return true
	}
	return !r.SameRegion && s.crossRegionCapacity(r.Service) <= 0
}

// crossRegionCapacity returns how many more slots of the service this instance may
// grant to other regions. It is negative if too many are granted already.
func (s *State) crossRegionCapacity(service model.ServiceName) int {
	slots := s.upstreams.Slots(service)
	return slots - slots/crossRegionReserveDivisor - s.permits.CrossRegionUsed(service)
}
