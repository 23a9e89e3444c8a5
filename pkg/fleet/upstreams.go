package fleet

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// confirmTimeout bounds the wait for a majority that holds a departure.
	// Upstreams wait a second for the acknowledgement.
	confirmTimeout = 900 * time.Millisecond
	// heardInterval is how often control instances tell the others which
	// upstreams they have heartbeats from.
	heartbeatReportInterval = 2 * time.Second
	// heardCurrent is how long the news of heartbeats counts as complete. Leases
	// are not checked without it, since silence may be that of the news.
	heartbeatReportValidity = 3 * heartbeatReportInterval
)

// heartbeat takes an upstream's announcement. One that says that the upstream
// drains is acknowledged once a majority of the control group holds it, so that
// it binds after the loss of this instance.
func (s *State) receiveHeartbeat(at model.Time, b event.HeartbeatReceived) {
	changed := s.registry.Heartbeat(at, b.Registration)
	e := s.registry.Get(b.Registration.ID)
	s.heartbeatReports.add(b.Registration.ID)
	if changed {
		s.logRegistration(&e.Registration)
	}
	if e.State == model.RegistrationServing {
		if changed {
			s.replica.Push(message.Records{Registrations: []model.Registration{e.At(at)}}, &s.out)
		}
		s.out.Add(event.CallReply{Call: b.Call, Code: result.Answered})
		return
	}
	s.confirmByMajority(at, b.Call, b.Registration.ID)
}

func (s *State) receiveDeregistration(at model.Time, b event.DepartureReceived) {
	r, changed := s.registry.Depart(at, b.Upstream, b.StartTimeMs)
	if changed {
		s.logRegistration(&r)
	}
	s.confirmByMajority(at, b.Call, b.Upstream)
}

// confirm answers a call once a majority of the control group holds the state of
// an upstream.
func (s *State) confirmByMajority(at model.Time, call event.CallID, id model.UpstreamID) {
	e := s.registry.Get(id)
	if e.Confirmed || e.State == model.RegistrationServing {
		// A late call of an earlier start changes nothing.
		s.out.Add(event.CallReply{Call: call, Code: result.Answered})
		return
	}
	s.calls.confirming[uint64(call)] = id
	s.replica.Confirm(uint64(call), message.Records{Registrations: []model.Registration{e.At(at)}},
		s.controlMajority(at), at.Add(confirmTimeout), &s.out)
}

// majority is the number of control instances that make a majority of the
// group.
func (s *State) controlMajority(at model.Time) int {
	voters := 0
	for _, m := range s.agreement.Status(at).Members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// answerConfirmed answers the calls whose state is held by a majority, or was
// not in time.
func (s *State) replyToConfirmed() {
	for _, c := range s.replica.Take() {
		id := s.calls.confirming[c.Token]
		delete(s.calls.confirming, c.Token)
		code := result.ControlUnavailable
		if c.OK {
			code = result.Answered
			if e := s.registry.Get(id); e != nil {
				e.Confirmed = true
			}
		}
		s.reply(event.CallID(c.Token), code, "")
	}
}

// heardNews collects the upstreams that sent heartbeats to this instance, and
// notes when news of others arrived.
type heartbeatReports struct {
	upstreams    map[model.UpstreamID]bool
	sendAt       model.Time
	receivedAt   model.Time
	gaplessSince model.Time
}

func (h *heartbeatReports) add(id model.UpstreamID) {
	if h.upstreams == nil {
		h.upstreams = map[model.UpstreamID]bool{}
	}
	h.upstreams[id] = true
}

func (h *heartbeatReports) nextWake(control bool) model.Time {
	if !control {
		return 0
	}
	return h.sendAt
}

// isCurrent reports whether news of heartbeats have arrived without a gap for
// long enough to judge leases by them.
func (h *heartbeatReports) isComplete(at model.Time) bool {
	return h.receivedAt != 0 && at < h.receivedAt.Add(heartbeatReportValidity) && at > h.gaplessSince.Add(heartbeatReportValidity)
}

// wakeHeard tells the other instances which upstreams sent heartbeats here.
func (s *State) sendHeartbeatReport(at model.Time) {
	if !s.identity.Control || at < s.heartbeatReports.sendAt {
		return
	}
	s.heartbeatReports.sendAt = at.Add(heartbeatReportInterval)
	if len(s.heartbeatReports.upstreams) == 0 {
		return
	}
	m := &message.UpstreamHeartbeats{}
	for id := range s.heartbeatReports.upstreams {
		m.Keys = append(m.Keys, registrationKey(id))
	}
	slices.Sort(m.Keys)
	clear(s.heartbeatReports.upstreams)
	for _, p := range s.replica.Peers() {
		s.out.Add(event.Send{To: p.ID, Message: m})
	}
}

func (s *State) receiveHeartbeatReport(at model.Time, m *message.UpstreamHeartbeats) {
	if at >= s.heartbeatReports.receivedAt.Add(heartbeatReportValidity) {
		s.heartbeatReports.gaplessSince = at
	}
	s.heartbeatReports.receivedAt = at
	reported := make(map[uint64]bool, len(m.Keys))
	for _, k := range m.Keys {
		reported[k] = true
	}
	for _, r := range s.registry.Registrations(at) {
		if reported[registrationKey(r.ID)] {
			s.registry.Heard(at, r.ID)
		}
	}
}
