package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/request"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// slots joins the choice of an upstream and the accounting of its slots for the
// requests sub-reducer.
type slots struct{ s *State }

// Acquire implements request.Slots.
func (l *slots) Acquire(at model.Time, r request.SlotRequest, out *event.Effects) (request.SlotGrant, bool) {
	u := l.s.upstreams.Choose(at, r.Service, l.s.isDrained)
	if u == nil {
		return request.SlotGrant{}, false
	}
	a := &u.Announcement
	if !l.s.upstreams.BindsEarly() {
		l.s.permits.Grant(at, a.Upstream, r.Attempt, r.Deadline, out)
	}
	return request.SlotGrant{
		Upstream:    a.Upstream,
		Address:     a.Address,
		Region:      l.s.config.RegionOf(a.Zone),
		Connections: l.s.connectionShare(a),
	}, true
}

// Release implements request.Slots.
func (l *slots) Release(_ model.Time, attempt model.AttemptID, _ *event.Effects) bool {
	return l.s.permits.Release(attempt)
}

// Serves implements request.Slots.
func (l *slots) Serves(service model.ServiceName) bool { return l.s.upstreams.Serves(service) }

// isDrained reports whether operators took the upstream out of service.
func (s *State) isDrained(u *upstream.Upstream) bool {
	if len(s.config.Drains) == 0 {
		return false
	}
	a := &u.Announcement
	return s.config.IsDrained(model.DrainUpstream, string(a.Upstream)) ||
		s.config.IsDrained(model.DrainZone, string(a.Zone)) ||
		s.config.IsDrained(model.DrainRegion, string(s.config.RegionOf(a.Zone)))
}

// connectionShare splits the connections of an upstream over the roster, so
// that all instances together stay within its total.
func (s *State) connectionShare(a *model.Announcement) int {
	return max(1, a.Connections/max(1, len(s.config.Roster)))
}
