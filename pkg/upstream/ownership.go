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
	// candidateWindow is how soon after a first registration the next
	// announcement must come to prove that the upstream got our answer. Until
	// then the upstream might register elsewhere with all slots free. An upstream
	// that found another owner in between needs at least two announcement
	// intervals to come back.
	confirmWindow = 800 * time.Millisecond
	// handoverInterval is how often a request for a handover is repeated.
	handoverInterval = 200 * time.Millisecond
	// handoverQuiet is how long no request for a handover must have come before
	// the last ones count as answered.
	handoverSettleTime = 3 * handoverInterval
	// maxRedirects is how often an upstream is sent to its preferred owner
	// without a sign that it arrived there.
	maxRedirects = 3
	// redirectMemory is how long a redirect that failed keeps the upstream here.
	redirectFailureTime = 10 * time.Second
)

// handedOver is a handover message that is repeated when its receiver asks
// again.
type sentHandover struct {
	to      model.InstanceID
	message *message.Handover
}

// redirect is what became of sending an upstream to its preferred owner.
type redirect struct {
	to            model.InstanceID
	since         model.Time
	attempts      int
	reachedTarget bool
}

// Announce handles an announcement.
func (s *State) Announce(at model.Time, ev event.UpstreamAnnounced, out *event.Effects) {
	a := ev.Announcement
	if err := a.Validate(); err != nil {
		out.Add(event.AnnounceReply{Call: ev.Call, Code: result.MalformedAnnouncement})
		return
	}
	u := s.owned[a.Upstream]
	if u != nil && a.Incarnation < u.Announcement.Incarnation {
		// A delayed announcement of an earlier process says nothing about the
		// present one.
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
			s.disown(u)
		}
		u = nil
	}
	if a.State != model.Leaving {
		if address := s.redirectAddress(at, &a); address != "" {
			out.Add(event.AnnounceReply{Call: ev.Call, Code: result.Answered, Redirect: address})
			return
		}
	}
	out.Add(event.AnnounceReply{Call: ev.Call, Code: result.Answered, Owner: true})
	s.applyAnnouncement(at, u, a, out)
}

// redirect returns the address of the instance to which the upstream should
// announce itself, "" if that is this one. The lease here is not renewed; the
// new owner asks for the count.
func (s *State) redirectAddress(at model.Time, a *model.Announcement) string {
	id, address := s.deployment.PreferredOwner(a)
	if id == "" {
		delete(s.redirects, a.Upstream)
		return ""
	}
	r := s.redirects[a.Upstream]
	if r == nil || r.to != id || at > r.since.Add(redirectFailureTime) {
		r = &redirect{to: id, since: at}
		s.redirects[a.Upstream] = r
	}
	if r.attempts >= maxRedirects && !r.reachedTarget {
		return ""
	}
	r.attempts++
	return address
}

// keep owns the upstream from this announcement on.
func (s *State) applyAnnouncement(at model.Time, u *Upstream, a model.Announcement, out *event.Effects) {
	switch {
	case a.State == model.Leaving:
		if u != nil {
			s.disown(u)
			out.Add(event.Log{Code: logevent.UpstreamLeft, Fields: []logevent.Field{logevent.F("upstream", a.Upstream)}})
		}
		return
	case u == nil && a.First:
		u = s.register(at, a, out)
	case u == nil:
		u = s.takeOver(at, a, out)
	case a.First && u.confirmUntil == 0:
		// A delayed copy of the registration.
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

// register takes a first registration. Slots are granted from the next
// announcement on.
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

// takeOver takes an upstream that may have work of a former owner in flight.
func (s *State) takeOver(at model.Time, a model.Announcement, out *event.Effects) *Upstream {
	u := s.addToPool(at, a)
	from := at.Add(TakeoverWait)
	until := from.Add(s.deployment.LongestDeadline(a.Service))
	s.openAccount(u, permit.Account{GrantFrom: from, AssumedInUse: a.Slots, AssumedUntil: until})
	s.beginTenure(at, u, out)
	out.Add(event.Log{Code: logevent.UpstreamTakenOver, Fields: []logevent.Field{
		logevent.F("upstream", a.Upstream), logevent.F("service", a.Service)}})
	return u
}

func (s *State) openAccount(u *Upstream, a permit.Account) {
	a.Upstream = u.Announcement.Upstream
	a.Service = u.Announcement.Service
	a.Slots = u.Announcement.Slots
	u.Usage = s.slots.OpenAccount(a)
}

// start tells the other instances of the new ownership and asks for the count.
func (s *State) beginTenure(at model.Time, u *Upstream, out *event.Effects) {
	s.lastTenure++
	u.tenure = s.lastTenure
	u.requestHandoverUntil = at.Add(TakeoverWait)
	u.retainUntil = at.Add(retentionTime)
	s.retentionTimers.Add(u.retainUntil, u)
	s.requestHandover(at, u, out)
}

func (s *State) requestHandover(at model.Time, u *Upstream, out *event.Effects) {
	for _, p := range s.deployment.Peers() {
		out.Add(event.Send{To: p, Message: &message.HandoverRequest{
			Upstream: u.Announcement.Upstream, Incarnation: u.Announcement.Incarnation, Tenure: u.tenure}})
	}
	s.handoverTimers.Add(at.Add(handoverInterval), u)
}

func (s *State) repeatHandoverRequests(at model.Time, out *event.Effects) {
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

func (s *State) renewAndUpdate(at model.Time, u *Upstream, a model.Announcement, out *event.Effects) {
	previous := u.Announcement
	if s.Faults.IgnoreDrain {
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

// ReceiveHandoverRequest gives up an upstream that another instance has taken
// over, if the count is exact. Otherwise the other waits until it knows that
// nothing is in flight.
func (s *State) ReceiveHandoverRequest(at model.Time, from model.InstanceID, m *message.HandoverRequest, out *event.Effects) {
	if r := s.redirects[m.Upstream]; r != nil && r.to == from {
		r.reachedTarget = true
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
		// The process that this instance owned has ended.
		s.disown(u)
		return
	}
	if u.Announcement.Incarnation > m.Incarnation || u.confirmUntil != 0 {
		return
	}
	permits, ok := s.slots.HandOver(at, m.Upstream, from)
	if !ok {
		return
	}
	s.disown(u)
	if s.Faults.KeepAfterHandover {
		kept := s.addToPool(at, u.Announcement)
		kept.retainUntil = at.Add(retentionTime)
		s.openAccount(kept, permit.Account{GrantFrom: at, GrantUntil: kept.retainUntil})
	}
	h := &sentHandover{to: from, message: &message.Handover{
		Upstream: m.Upstream, Incarnation: m.Incarnation, Tenure: m.Tenure, Permits: permits}}
	s.sentHandovers[m.Upstream] = h
	out.Add(event.Send{To: from, Message: h.message})
}

// HandoversSettled reports whether the new owners seem to have the counts: they
// repeat their request until they do.
func (s *State) HandoversSettled(at model.Time) bool {
	return s.lastHandoverRequestAt == 0 || at >= s.lastHandoverRequestAt.Add(handoverSettleTime)
}

// ReceiveHandover takes the count of the former owner. Only the answer to the
// request of the present ownership counts: an older one may have missed grants.
func (s *State) ReceiveHandover(at model.Time, m *message.Handover) {
	u := s.owned[m.Upstream]
	if u == nil || u.confirmUntil != 0 || u.tenure == 0 || u.tenure != m.Tenure && !s.Faults.AnyTenure || u.Announcement.Incarnation != m.Incarnation {
		return
	}
	u.tenure = 0
	s.slots.TakeOver(at, m.Upstream, m.Permits)
}
