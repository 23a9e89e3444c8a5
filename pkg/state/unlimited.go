package state

import (
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/upstream"
)

// newUpstreams returns the sub-reducer for upstreams. With Identity.IgnoreSlots, an
// instance owns every upstream that announces itself to it, and counts no slots.
func (s *State) newUpstreams() *upstream.State {
	id := &s.identity
	if id.IgnoreSlots {
		return upstream.New(noSlotAccounting{}, soleInstance{s}, id.Incarnation, id.Seed)
	}
	return upstream.New(s.permits, s, id.Incarnation, id.Seed)
}

// soleInstance implements upstream.Deployment as if this instance were the only one:
// it is the preferred owner of every upstream and has no peers from which to request
// a handover.
type soleInstance struct{ *State }

// PreferredOwner implements upstream.Deployment.
func (soleInstance) PreferredOwner(*model.Announcement) (model.InstanceID, string) { return "", "" }

// Peers implements upstream.Deployment.
func (soleInstance) Peers() []model.InstanceID { return nil }

// noSlotAccounting implements upstream.SlotAccounting without counting slots, so
// that any number of requests may be sent to an upstream at the same time.
type noSlotAccounting struct{}

// OpenAccount implements upstream.SlotAccounting.
func (noSlotAccounting) OpenAccount(permit.Account) permit.Usage { return unlimitedUsage{} }

// Renew implements upstream.SlotAccounting.
func (noSlotAccounting) Renew(model.UpstreamID, model.Time) {}

// Resize implements upstream.SlotAccounting.
func (noSlotAccounting) Resize(model.UpstreamID, int) {}

// CloseAccount implements upstream.SlotAccounting.
func (noSlotAccounting) CloseAccount(model.UpstreamID) {}

// HandOver implements upstream.SlotAccounting.
func (noSlotAccounting) HandOver(model.Time, model.UpstreamID, model.InstanceID) ([]message.HeldPermit, bool) {
	return nil, false
}

// TakeOver implements upstream.SlotAccounting.
func (noSlotAccounting) TakeOver(model.Time, model.UpstreamID, []message.HeldPermit) {}

// unlimitedUsage implements permit.Usage. It always reports one free slot, so that
// every upstream can be chosen at any time.
type unlimitedUsage struct{}

// Free implements permit.Usage.
func (unlimitedUsage) Free(model.Time) int { return 1 }

// Used implements permit.Usage.
func (unlimitedUsage) Used() int { return 0 }

// OldestGrant implements permit.Usage.
func (unlimitedUsage) OldestGrant() model.Time { return permit.Never }
