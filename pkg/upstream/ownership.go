package upstream

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/permit"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// confirmWindow is the time after a first registration within which the next
	// announcement confirms that the upstream received the reply. Without the
	// reply, the upstream may have registered with another instance, which then
	// counts all slots of the upstream as free. After that, the upstream needs at
	// least two announcement intervals to return to this instance. These are longer
	// than the window.
	confirmWindow = 800 * time.Millisecond
	// handoverInterval is the time after which an unanswered handover request is
	// resent.
	handoverInterval = 200 * time.Millisecond
	// handoverSettleTime is the time without a handover request after which this
	// instance assumes that the new owners of its former upstreams have received
	// all handovers. A new owner resends its request every handoverInterval.
	handoverSettleTime = 3 * handoverInterval
	// maxRedirects limits how often an upstream is redirected to its preferred
	// owner as long as there is no sign that it can reach that instance.
	maxRedirects = 3
	// redirectFailureTime is how long an upstream that cannot reach its preferred
	// owner remains with this instance, counted from the first redirect. After that
	// time this instance redirects the upstream again.
	redirectFailureTime = 10 * time.Second
)

// sentHandover is a handover message that this instance has sent. The message is
// sent again if the new owner repeats its handover request.
type sentHandover struct {
	to      model.InstanceID
	message *message.Handover
}

// redirect records how often this instance has redirected an upstream to its
// preferred owner.
type redirect struct {
	// preferredOwner is the instance to which the upstream was redirected.
	preferredOwner model.InstanceID
	// since is the time of the first redirect to that owner.
	since model.Time
	// attempts is the number of redirects to that owner.
	attempts int
	// reachedPreferredOwner is true once the upstream is known to have announced
	// itself to the preferred owner, because the preferred owner has requested a
	// handover of the upstream.
	reachedPreferredOwner bool
}

// Announce handles an announcement of an upstream and replies to it.
func (s *State) Announce(at model.Time, ev event.UpstreamAnnounced, out *event.Effects) {
	a := ev.Announcement
	if err := a.Validate(); err != nil {
		out.Add(event.AnnounceReply{Call: ev.Call, Code: result.MalformedAnnouncement})
		return
	}
	u := s.owned[a.Upstream]
	if u != nil && a.Incarnation < u.Announcement.Incarnation {
		// The announcement was delayed. It is from an earlier process of the
		// upstream.
		out.Add(event.AnnounceReply{Call: ev.Call, Code: result.MalformedAnnouncement})
		return
	}
	if u != nil && u.retainUntil <= at {
		s.expire(u, out)
		u = nil
	}
	if u != nil && (u.Announcement.Service != a.Service || u.Announcement.Incarnation != a.Incarnation) {
		if u.Announcement.Service == a.Service && u.Announcement.Address == a.Address && a.State != model.Leaving {
			s.removeFromPool(u)
		} else {
			s.endOwnership(u)
		}
		u = nil
	}
	if a.State != model.Leaving {
		if address := s.redirectAddress(at, &a); address != "" {
			out.Add(event.AnnounceReply{Call: ev.Call, Code: result.Success, Redirect: address})
			return
		}
	}
	out.Add(event.AnnounceReply{Call: ev.Call, Code: result.Success, Owner: true})
	s.applyAnnouncement(at, u, a, out)
}

// redirectAddress returns the address of the instance to which the upstream should
// announce itself, "" if the upstream should stay with this instance. A redirect
// does not renew the lease of this instance. The new owner requests a handover of
// the upstream.
func (s *State) redirectAddress(at model.Time, a *model.Announcement) string {
	id, address := s.deployment.PreferredOwner(a)
	if id == "" {
		delete(s.redirects, a.Upstream)
		return ""
	}
	r := s.redirects[a.Upstream]
	if r == nil || r.preferredOwner != id || at > r.since.Add(redirectFailureTime) {
		r = &redirect{preferredOwner: id, since: at}
		s.redirects[a.Upstream] = r
	}
	if r.attempts >= maxRedirects && !r.reachedPreferredOwner {
		return ""
	}
	r.attempts++
	return address
}

// applyAnnouncement registers, takes over, renews or removes the upstream that sent
// the announcement. u is the upstream, nil if this instance does not own it.
func (s *State) applyAnnouncement(at model.Time, u *Upstream, a model.Announcement, out *event.Effects) {
	switch {
	case a.State == model.Leaving:
		if u != nil {
			s.endOwnership(u)
			out.Add(event.Log{Code: logevent.UpstreamLeft, Fields: []logevent.Field{logevent.F("upstream", a.Upstream)}})
		}
		return
	case u == nil && a.First:
		u = s.register(at, a, out)
	case u == nil:
		u = s.takeOver(at, a, out)
	case a.First && u.confirmUntil == 0:
		// The registration is already confirmed, so this announcement is a delayed
		// copy of the first one.
		return
	case a.First:
		u.confirmUntil = at.Add(confirmWindow)
	case u.confirmUntil != 0 && at <= u.confirmUntil:
		u.confirmUntil = 0
		u.tenure = 0
		s.openAccount(u, permit.Account{GrantFrom: at})
	case u.confirmUntil != 0:
		s.removeFromPool(u)
		u = s.takeOver(at, a, out)
	}
	s.renewAndUpdate(at, u, a, out)
}

// register handles the first registration of an upstream process. Slots of the
// upstream are granted only after the next announcement has confirmed the
// registration.
func (s *State) register(at model.Time, a model.Announcement, out *event.Effects) *Upstream {
	u := s.addToPool(at, a)
	u.confirmUntil = at.Add(confirmWindow)
	if s.Policy.UsesHealth() {
		u.beginSlowStart(at)
	}
	s.openAccount(u, permit.Account{GrantFrom: permit.Never})
	s.beginTenure(at, u, out)
	out.Add(event.Log{Code: logevent.UpstreamRegistered, Fields: []logevent.Field{
		logevent.F("upstream", a.Upstream), logevent.F("service", a.Service)}})
	return u
}

// takeOver begins the ownership of an upstream that may still be executing attempts
// to which a former owner granted slots. No slot is granted for TakeoverWait. After
// that, all slots count as in use for the longest timeout of the service. Both
// periods end early if the former owner hands over its permits for the upstream.
func (s *State) takeOver(at model.Time, a model.Announcement, out *event.Effects) *Upstream {
	u := s.addToPool(at, a)
	from := at.Add(TakeoverWait)
	until := from.Add(s.deployment.LongestTimeout(a.Service))
	s.openAccount(u, permit.Account{GrantFrom: from, AssumedInUse: a.Slots, AssumedUntil: until})
	s.beginTenure(at, u, out)
	out.Add(event.Log{Code: logevent.UpstreamTakenOver, Fields: []logevent.Field{
		logevent.F("upstream", a.Upstream), logevent.F("service", a.Service)}})
	return u
}

// openAccount opens an account for the slots of the upstream. The caller sets the
// fields of a that do not follow from the announcement.
func (s *State) openAccount(u *Upstream, a permit.Account) {
	a.Upstream = u.Announcement.Upstream
	a.Service = u.Announcement.Service
	a.Slots = u.Announcement.Slots
	u.Usage = s.slots.OpenAccount(a)
}

// beginTenure starts a tenure with a new number. It requests from the other
// instances a handover of the permits for the upstream.
func (s *State) beginTenure(at model.Time, u *Upstream, out *event.Effects) {
	s.lastTenure++
	u.tenure = s.lastTenure
	u.requestHandoverUntil = at.Add(TakeoverWait)
	u.retainUntil = at.Add(retentionTime)
	s.retentionTimers.Add(u.retainUntil, u)
	s.requestHandover(at, u, out)
}

// requestHandover sends a handover request for the upstream to all reachable
// instances, because any of them may be the former owner.
func (s *State) requestHandover(at model.Time, u *Upstream, out *event.Effects) {
	for _, p := range s.deployment.Peers() {
		out.Add(event.Send{To: p, Message: &message.HandoverRequest{
			Upstream: u.Announcement.Upstream, Incarnation: u.Announcement.Incarnation, Tenure: u.tenure}})
	}
	s.handoverTimers.Add(at.Add(handoverInterval), u)
}

// resendHandoverRequests resends the handover requests that have had no answer for
// handoverInterval.
func (s *State) resendHandoverRequests(at model.Time, out *event.Effects) {
	for {
		u, ok := s.handoverTimers.Pop(at)
		if !ok {
			return
		}
		if s.owned[u.Announcement.Upstream] != u || u.tenure == 0 || at >= u.requestHandoverUntil {
			continue
		}
		s.requestHandover(at, u, out)
	}
}

// renewAndUpdate renews the lease of an owned upstream and applies its
// announcement: state, number of slots and load.
func (s *State) renewAndUpdate(at model.Time, u *Upstream, a model.Announcement, out *event.Effects) {
	previous := u.Announcement
	if s.DisabledRules.IgnoreDrain {
		a.State = model.Serving
	}
	switch {
	case a.State == model.Draining:
		u.drainReportedAt = at
	case previous.State == model.Draining && at < u.drainReportedAt.Add(drainGuardTime):
		a.State = model.Draining
	}
	u.Announcement = a
	u.health.load, u.health.loadReportedAt = a.Load, at
	u.retainUntil = at.Add(retentionTime)
	s.slots.Renew(a.Upstream, at.Add(LeaseDuration-grantMargin))
	if previous.Slots != a.Slots {
		s.slots.Resize(a.Upstream, a.Slots)
	}
	if previous.State != a.State && a.State == model.Draining {
		out.Add(event.Log{Code: logevent.UpstreamDraining, Fields: []logevent.Field{logevent.F("upstream", a.Upstream)}})
	}
	p := s.pools[a.Service]
	if previous.State != a.State {
		p.removeReady(u)
	}
	if previous.State != a.State || previous.Slots != a.Slots {
		p.recount()
	}
	if u.free(at) > 0 {
		p.addReady(u)
	}
}

// ReceiveHandoverRequest hands an upstream over to the sender, to which the
// upstream now announces itself. If this instance does not know exactly which slots
// of the upstream are in use, it sends nothing. The new owner then waits until all
// attempts to which this instance granted slots must have ended.
func (s *State) ReceiveHandoverRequest(at model.Time, from model.InstanceID, m *message.HandoverRequest, out *event.Effects) {
	if r := s.redirects[m.Upstream]; r != nil && r.preferredOwner == from {
		r.reachedPreferredOwner = true
	}
	s.lastHandoverRequestAt = at
	if h := s.sentHandovers[m.Upstream]; h != nil && h.to == from && h.message.Tenure == m.Tenure && h.message.Incarnation == m.Incarnation {
		out.Add(event.Send{To: from, Message: h.message})
		return
	}
	u := s.owned[m.Upstream]
	if u == nil || u.retainUntil <= at {
		return
	}
	if u.Announcement.Incarnation < m.Incarnation {
		// This instance owned an earlier process of the upstream. That process has
		// ended.
		s.endOwnership(u)
		return
	}
	if u.Announcement.Incarnation > m.Incarnation || u.confirmUntil != 0 {
		return
	}
	permits, ok := s.slots.HandOver(at, m.Upstream, from)
	if !ok {
		return
	}
	s.endOwnership(u)
	if s.DisabledRules.KeepAfterHandover {
		kept := s.addToPool(at, u.Announcement)
		kept.retainUntil = at.Add(retentionTime)
		s.openAccount(kept, permit.Account{GrantFrom: at, GrantUntil: kept.retainUntil})
	}
	h := &sentHandover{to: from, message: &message.Handover{
		Upstream: m.Upstream, Incarnation: m.Incarnation, Tenure: m.Tenure, Permits: permits}}
	s.sentHandovers[m.Upstream] = h
	out.Add(event.Send{To: from, Message: h.message})
}

// HandoversSettled reports whether the new owners have probably received all
// handovers from this instance. A new owner resends its handover request until it
// has received the handover. If no request arrived recently, no new owner lacks a
// handover.
func (s *State) HandoversSettled(at model.Time) bool {
	return s.lastHandoverRequestAt == 0 || at >= s.lastHandoverRequestAt.Add(handoverSettleTime)
}

// ReceiveHandover applies the permits that the former owner of an upstream handed
// over. A handover for an earlier tenure of this instance is ignored: the former
// owner may have granted slots after sending it.
func (s *State) ReceiveHandover(at model.Time, m *message.Handover) {
	u := s.owned[m.Upstream]
	if u == nil || u.confirmUntil != 0 || u.tenure == 0 || u.tenure != m.Tenure && !s.DisabledRules.IgnoreTenure || u.Announcement.Incarnation != m.Incarnation {
		return
	}
	u.tenure = 0
	s.slots.TakeOver(at, m.Upstream, m.Permits)
}
