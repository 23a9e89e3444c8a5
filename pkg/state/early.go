package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// newUpstreams makes the sub-reducer for upstreams. Where work is bound early,
// every instance takes all upstreams that announce themselves, and none counts
// slots.
func (s *State) newUpstreams() *upstream.State {
	id := &s.identity
	if id.BindEarly {
		return upstream.New(uncounted{}, alone{s}, id.Incarnation, id.Seed)
	}
	return upstream.New(s.permits, s, id.Incarnation, id.Seed)
}

// alone is a deployment in which no other instance wants the upstreams.
type alone struct{ *State }

// PreferredOwner implements upstream.Deployment.
func (alone) PreferredOwner(*model.Announcement) (model.InstanceID, string) { return "", "" }

// Peers implements upstream.Deployment.
func (alone) Peers() []model.InstanceID { return nil }

// uncounted is a slot accounting without bounds. It implements upstream.SlotAccounting.
type uncounted struct{}

// OpenAccount implements upstream.SlotAccounting.
func (uncounted) OpenAccount(permit.Account) permit.Usage { return unbounded{} }

// Renew implements upstream.SlotAccounting.
func (uncounted) Renew(model.UpstreamID, model.Time) {}

// Resize implements upstream.SlotAccounting.
func (uncounted) Resize(model.UpstreamID, int) {}

// CloseAccount implements upstream.SlotAccounting.
func (uncounted) CloseAccount(model.UpstreamID) {}

// HandOver implements upstream.SlotAccounting.
func (uncounted) HandOver(model.Time, model.UpstreamID, model.InstanceID) ([]message.HeldPermit, bool) {
	return nil, false
}

// TakeOver implements upstream.SlotAccounting.
func (uncounted) TakeOver(model.Time, model.UpstreamID, []message.HeldPermit) {}

// unbounded always has a free slot.
type unbounded struct{}

// Free implements permit.Usage.
func (unbounded) Free(model.Time) int { return 1 }

// Used implements permit.Usage.
func (unbounded) Used() int { return 0 }

// OldestGrant implements permit.Usage.
func (unbounded) OldestGrant() model.Time { return permit.Never }
