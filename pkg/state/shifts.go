package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
)

// farReserve is the divisor that gives the part of this instance's slots of a
// service which other regions never get, so that work of this region finds a
// slot at once.
const farReserve = 10

// Shift implements request.Slots: of the requests that arrive in the origin
// region of a shift, its percentage is drawn at random.
func (l *slots) Shift(service model.ServiceName) string {
	s := l.s
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

// shiftTarget returns the target region of a shift, "" if there is none.
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

// ownShares splits the caps of the shifts into this instance's region over the
// region's roster. The remainder goes to the first instances in order.
func (s *State) ownShares(before *model.Config) []permit.Share {
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
				LongestTimeout: s.longestDeadline(shift.Service), ExistedBefore: hasShift(before, shift.ID)})
		}
	}
	return list
}

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

// isLimited reports whether the bound of a shift or of this region forbids the
// request now.
func (s *State) isLimited(at model.Time, a *permit.PeerRequest) bool {
	if a.Shift != "" && (s.shiftTarget(a.Shift) == "" || !s.permits.MayGrantShifted(at, a.Shift)) {
		return true
	}
	return !a.SameRegion && s.farRoom(a.Service) <= 0
}

// farRoom returns how many more slots of the service other regions may hold.
func (s *State) farRoom(service model.ServiceName) int {
	slots := s.upstreams.Slots(service)
	return slots - slots/farReserve - s.permits.CrossRegionUsed(service)
}
