package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// newUpstreams returns the sub-reducer for upstreams. With Identity.IgnoreSlots
// every instance owns all upstreams that announce themselves to it and counts no
// slots.
func (s *State) newUpstreams() *upstream.State {
	id := &s.identity
	if id.IgnoreSlots {
		return upstream.New(unlimitedSlots{}, soleOwner{s}, id.Incarnation, id.Seed)
	}
	return upstream.New(s.permits, s, id.Incarnation, id.Seed)
}

// soleOwner describes a deployment in which this instance is the preferred
// owner of every upstream. It implements upstream.Deployment.
type soleOwner struct{ *State }

// PreferredOwner implements upstream.Deployment.
func (soleOwner) PreferredOwner(*model.Announcement) (model.InstanceID, string) { return "", "" }

// Peers implements upstream.Deployment.
func (soleOwner) Peers() []model.InstanceID { return nil }

// unlimitedSlots counts no slots, so that upstreams accept any number of
// requests. It implements upstream.SlotAccounting.
type unlimitedSlots struct{}

// OpenAccount implements upstream.SlotAccounting.
func (unlimitedSlots) OpenAccount(permit.Account) permit.Usage { return unlimitedUsage{} }

// Renew implements upstream.SlotAccounting.
func (unlimitedSlots) Renew(model.UpstreamID, model.Time) {}

// Resize implements upstream.SlotAccounting.
func (unlimitedSlots) Resize(model.UpstreamID, int) {}

// CloseAccount implements upstream.SlotAccounting.
func (unlimitedSlots) CloseAccount(model.UpstreamID) {}

// HandOver implements upstream.SlotAccounting.
func (unlimitedSlots) HandOver(model.Time, model.UpstreamID, model.InstanceID) ([]message.HeldPermit, bool) {
	return nil, false
}

// TakeOver implements upstream.SlotAccounting.
func (unlimitedSlots) TakeOver(model.Time, model.UpstreamID, []message.HeldPermit) {}

// unlimitedUsage always reports a free slot.
type unlimitedUsage struct{}

// Free implements permit.Usage.
func (unlimitedUsage) Free(model.Time) int { return 1 }

// Used implements permit.Usage.
func (unlimitedUsage) Used() int { return 0 }

// OldestGrant implements permit.Usage.
func (unlimitedUsage) OldestGrant() model.Time { return permit.Never }
