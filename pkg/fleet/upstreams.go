package fleet

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// confirmTimeout is how long a majority of the control group may take to store
	// a deregistration or a drain. It is shorter than the 1 s for which upstreams
	// wait for the acknowledgement.
	confirmTimeout = 900 * time.Millisecond
	// heartbeatReportInterval is how often a control instance sends a heartbeat
	// report: the list of upstreams from which it received heartbeats since the
	// last report.
	heartbeatReportInterval = 2 * time.Second
	// heartbeatReportValidity is how long after the latest heartbeat report an
	// instance continues to check the leases of upstreams. Without reports it
	// cannot distinguish upstreams that send no heartbeats from reports that were
	// lost.
	heartbeatReportValidity = 3 * heartbeatReportInterval
)

// receiveHeartbeat handles the heartbeat of an upstream. If the upstream is not
// serving, for example because it is draining, the heartbeat is acknowledged
// only once a majority of the control group has that state on disk. A drain then
// stays in force after the loss of this instance, and of all processes at once.
func (s *State) receiveHeartbeat(at model.Time, b event.HeartbeatReceived) {
	if s.rejectsStart(at, b.Call, &b.Registration) {
		return
	}
	changed := s.registry.Heartbeat(at, b.Registration)
	e := s.registry.Get(b.Registration.ID)
	s.heartbeatReports.add(b.Registration.ID)
	if changed {
		s.logRegistration(&e.Registration)
	}
	if e.State == model.RegistrationServing {
		if changed {
			s.replica.Push(at, message.Records{Registrations: []model.Registration{e.RegistrationAt(at)}}, &s.out)
		}
		s.out.Add(event.CallReply{Call: b.Call, Code: result.Success})
		return
	}
	s.confirmByMajority(at, b.Call, b.Registration.ID)
}

// registrationSaveInterval is the least time between two saves of the registrations.
const registrationSaveInterval = 2 * time.Second

// saveRegistrations saves the registrations if they have changed. After a restart of
// all instances, upstreams are known at once instead of one after the other with
// their heartbeats: entry instances that know a few of them send these all requests,
// and place objects elsewhere than before.
func (s *State) saveRegistrations(at model.Time) {
	revision := s.registry.Revision()
	if !s.identity.Control || !s.registrationsLoaded || at < s.nextSaveAt || revision == s.savedRevision {
		return
	}
	s.savedRevision, s.nextSaveAt = revision, at.Add(registrationSaveInterval)
	s.out.Add(event.SaveRegistrations{Registrations: s.registry.Registrations(at)})
}

// loadRegistrations takes over saved registrations, except those about which this
// instance knows more by now. Their leases expire if no heartbeat follows.
func (s *State) loadRegistrations(at model.Time, b event.RegistrationsLoaded) {
	changed := s.records.Merge(at, &message.Records{Registrations: b.Registrations})
	s.savedRevision, s.registrationsLoaded = s.registry.Revision(), true
	s.replica.Push(at, changed, &s.out)
}

// rejectsStart answers the call of an upstream whose process starts in the future
// and reports whether it has.
func (s *State) rejectsStart(at model.Time, call event.CallID, r *model.Registration) bool {
	err := r.ValidateStart(at)
	if err == nil {
		return false
	}
	s.out.Add(event.Log{Code: logevent.RecordInvalid, Fields: []logevent.Field{
		logevent.F("upstream", r.ID), logevent.F("address", r.Address), logevent.F("error", err.Error())}})
	s.out.Add(event.CallReply{Call: call, Code: result.MalformedAnnouncement, Detail: err.Error()})
	return true
}

func (s *State) receiveDeregistration(at model.Time, b event.DepartureReceived) {
	if s.rejectsStart(at, b.Call, &model.Registration{ID: b.Upstream, StartTimeMs: b.StartTimeMs}) {
		return
	}
	r, changed := s.registry.Deregister(at, b.Upstream, b.StartTimeMs)
	if changed {
		s.logRegistration(&r)
	}
	s.confirmByMajority(at, b.Call, b.Upstream)
}

// confirmByMajority answers the call once a majority of the control group has the
// state of the upstream on disk.
func (s *State) confirmByMajority(at model.Time, call event.CallID, id model.UpstreamID) {
	e := s.registry.Get(id)
	if e.Confirmed || e.State == model.RegistrationServing {
		// The state is already confirmed, or the call was sent by an earlier process
		// of the upstream and arrived too late to change anything.
		s.out.Add(event.CallReply{Call: call, Code: result.Success})
		return
	}
	majority, known := s.controlMajority(at)
	if !known {
		s.reply(call, result.ControlUnavailable, "this instance does not know the members of the control group")
		return
	}
	s.calls.confirming[uint64(call)] = id
	s.replica.Confirm(uint64(call), message.Records{Registrations: []model.Registration{e.RegistrationAt(at)}},
		majority, at.Add(confirmTimeout), &s.out)
}

// controlMajority returns the least number of control instances that are a
// majority of the voters. It returns false if no voter is known, as at an instance that
// has lost its disk and is not a member again yet.
func (s *State) controlMajority(at model.Time) (int, bool) {
	voters := 0
	for _, m := range s.agreement.Status(at).Members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1, voters > 0
}

// replyToConfirmationCalls answers the calls that waited for a majority of the
// control group to store the state of an upstream: with Success if the majority
// has stored it, with ControlUnavailable if the time for this is over.
func (s *State) replyToConfirmationCalls() {
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

// heartbeatReports holds the next heartbeat report of this instance, and the
// times of the reports that it received from other instances.
type heartbeatReports struct {
	// upstreams holds the content of the next report, which is sent at sendAt.
	upstreams map[model.UpstreamID]bool
	sendAt    model.Time
	// receivedAt is when the latest report of any other instance arrived.
	receivedAt model.Time
	// uninterruptedSince is when the first report arrived after the last
	// interruption. An interruption is a time of heartbeatReportValidity or more
	// without a report.
	uninterruptedSince model.Time
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

// isComplete reports whether the received heartbeat reports suffice to check
// the leases of upstreams: the reports have arrived without an interruption for
// more than heartbeatReportValidity.
func (h *heartbeatReports) isComplete(at model.Time) bool {
	return h.receivedAt != 0 && at < h.receivedAt.Add(heartbeatReportValidity) && at > h.uninterruptedSince.Add(heartbeatReportValidity)
}

// sendHeartbeatReport sends the heartbeat report to all peers if it is due. A
// report without upstreams is not sent.
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
		m.Keys = append(m.Keys, message.RegistrationKey(id))
	}
	slices.Sort(m.Keys)
	clear(s.heartbeatReports.upstreams)
	for _, p := range s.replica.Peers() {
		s.out.Add(event.Send{To: p.ID, Message: m})
	}
}

func (s *State) receiveHeartbeatReport(at model.Time, m *message.UpstreamHeartbeats) {
	if at >= s.heartbeatReports.receivedAt.Add(heartbeatReportValidity) {
		s.heartbeatReports.uninterruptedSince = at
	}
	s.heartbeatReports.receivedAt = at
	for _, k := range m.Keys {
		s.registry.ForwardedHeartbeat(at, k)
	}
}
