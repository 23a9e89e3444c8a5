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
	// confirmTimeout bounds the wait for a majority to store a deregistration or a
	// drain. It is below the 1 s that upstreams wait for the acknowledgement.
	confirmTimeout = 900 * time.Millisecond
	// heartbeatReportInterval is how often a control instance reports to the other
	// instances from which upstreams it has received heartbeats.
	heartbeatReportInterval = 2 * time.Second
	// heartbeatReportValidity is how long after a heartbeat report the reports
	// count as complete. Leases are checked only while they are complete, because
	// without reports an upstream may seem silent that is not.
	heartbeatReportValidity = 3 * heartbeatReportInterval
)

// receiveHeartbeat handles an upstream's heartbeat. A heartbeat in any state but
// serving is acknowledged once a majority of the control group stores it, so that
// a drain stays in force after the loss of this instance.
func (s *State) receiveHeartbeat(at model.Time, b event.HeartbeatReceived) {
	changed := s.registry.Heartbeat(at, b.Registration)
	e := s.registry.Get(b.Registration.ID)
	s.heartbeatReports.add(b.Registration.ID)
	if changed {
		s.logRegistration(&e.Registration)
	}
	if e.State == model.RegistrationServing {
		if changed {
			s.replica.Push(message.Records{Registrations: []model.Registration{e.RegistrationAt(at)}}, &s.out)
		}
		s.out.Add(event.CallReply{Call: b.Call, Code: result.Success})
		return
	}
	s.confirmByMajority(at, b.Call, b.Registration.ID)
}

func (s *State) receiveDeregistration(at model.Time, b event.DepartureReceived) {
	r, changed := s.registry.Deregister(at, b.Upstream, b.StartTimeMs)
	if changed {
		s.logRegistration(&r)
	}
	s.confirmByMajority(at, b.Call, b.Upstream)
}

// confirmByMajority answers a call once a majority of the control group stores
// the state of an upstream.
func (s *State) confirmByMajority(at model.Time, call event.CallID, id model.UpstreamID) {
	e := s.registry.Get(id)
	if e.Confirmed || e.State == model.RegistrationServing {
		// The state is already confirmed, or the call is a late one of an earlier
		// process of the upstream and changed nothing.
		s.out.Add(event.CallReply{Call: call, Code: result.Success})
		return
	}
	s.calls.confirming[uint64(call)] = id
	s.replica.Confirm(uint64(call), message.Records{Registrations: []model.Registration{e.RegistrationAt(at)}},
		s.controlMajority(at), at.Add(confirmTimeout), &s.out)
}

// controlMajority returns the number of control instances that form a majority
// of the voters.
func (s *State) controlMajority(at model.Time) int {
	voters := 0
	for _, m := range s.agreement.Status(at).Members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// replyToConfirmed answers the calls whose confirmation by a majority has
// succeeded or timed out.
func (s *State) replyToConfirmed() {
	for _, c := range s.replica.TakeConfirmations() {
		id := s.calls.confirming[c.Token]
		delete(s.calls.confirming, c.Token)
		code := result.ControlUnavailable
		if c.OK {
			code = result.Success
			if e := s.registry.Get(id); e != nil {
				e.Confirmed = true
			}
		}
		s.reply(event.CallID(c.Token), code, "")
	}
}

// heartbeatReports collects the upstreams that sent heartbeats to this instance
// for its next report, and tracks when reports of other instances arrived.
type heartbeatReports struct {
	// upstreams holds the upstreams for the next report, which is due at sendAt.
	upstreams map[model.UpstreamID]bool
	sendAt    model.Time
	// receivedAt is the time of the latest report of another instance.
	receivedAt model.Time
	// gaplessSince is the time of the first report after the last gap between two
	// reports of at least heartbeatReportValidity.
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

// isComplete reports whether heartbeat reports have arrived without a gap for
// long enough to check leases by them.
func (h *heartbeatReports) isComplete(at model.Time) bool {
	return h.receivedAt != 0 && at < h.receivedAt.Add(heartbeatReportValidity) && at > h.gaplessSince.Add(heartbeatReportValidity)
}

// sendHeartbeatReport reports to all connected instances which upstreams have
// sent heartbeats to this instance since the last report.
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
			s.registry.ForwardedHeartbeat(at, r.ID)
		}
	}
}
