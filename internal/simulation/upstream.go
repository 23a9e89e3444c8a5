package simulation

import (
	"sort"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// startUpstream starts a process of the upstream, with regular announcements.
func (s *sim) startUpstream(u *fakeUpstream) {
	u.incarnation = model.Incarnation(s.now)
	u.state, u.drainedAt = model.Serving, 0
	u.firstAnnouncement, u.alive, u.failedAnnouncements = true, true, 0
	u.executing = map[model.AttemptID]*attempt{}
	u.received = map[model.AttemptID]bool{}
	incarnation := u.incarnation
	var tick func()
	tick = func() {
		if u.alive && u.incarnation == incarnation {
			s.announce(u)
			s.after(500*time.Millisecond, tick)
		}
	}
	s.after(s.randomDuration(0, 200*time.Millisecond), tick)
}

// crashUpstream ends the process of the upstream and breaks the connections of
// its attempts. The upstream starts again later.
func (s *sim) crashUpstream(u *fakeUpstream) {
	if !u.alive {
		return
	}
	u.alive = false
	lost := make([]*attempt, 0, len(u.executing))
	for _, a := range u.executing {
		lost = append(lost, a)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].dispatch.Attempt.String() < lost[j].dispatch.Attempt.String() })
	u.executing = nil
	for _, a := range lost {
		s.endAttempt(a, event.LostAfterDispatch)
	}
	s.after(s.randomDuration(100*time.Millisecond, 3*time.Second), func() { s.startUpstream(u) })
}

// announce sends one announcement to the instance that owns the upstream. After
// three consecutive failures, the next announcements go to a random instance.
func (s *sim) announce(u *fakeUpstream) {
	a := model.Announcement{Upstream: u.id, Incarnation: u.incarnation, Service: u.service, Zone: u.zone,
		Address: string(u.id) + ":80", Slots: u.slots, MaxConnections: 100, State: u.state, First: u.firstAnnouncement}
	accepted := false
	s.sendAnnouncement(u, a, u.ownerIndex, 0, &accepted)
	s.after(400*time.Millisecond, func() {
		if accepted {
			u.failedAnnouncements = 0
			return
		}
		if u.failedAnnouncements++; u.failedAnnouncements >= 3 {
			u.ownerIndex, u.failedAnnouncements = s.rng.IntN(len(s.instances)), 0
		}
	})
}

// sendAnnouncement sends an announcement to an instance.
func (s *sim) sendAnnouncement(u *fakeUpstream, a model.Announcement, receiver, hops int, accepted *bool) {
	inst := s.instances[receiver]
	if hops > 3 || s.chance(5) || s.partitioned[[2]model.Zone{u.zone, inst.zone}] {
		return
	}
	s.after(s.randomDelay(), func() {
		if inst.state == nil {
			return
		}
		s.steps++
		effects := inst.state.Step(event.Event{At: s.now, Body: event.UpstreamAnnounced{Announcement: a}})
		for _, e := range append([]event.Effect(nil), effects...) {
			reply, ok := e.(event.AnnounceReply)
			if !ok {
				s.executeEffect(inst, e)
				continue
			}
			if s.chance(5) || s.partitioned[[2]model.Zone{inst.zone, u.zone}] {
				continue
			}
			s.after(s.randomDelay(), func() { s.handleAnnounceReply(u, a, receiver, hops, reply, accepted) })
		}
	})
}

// handleAnnounceReply follows a redirect, or records the instance that accepted
// the announcement as the owner.
func (s *sim) handleAnnounceReply(u *fakeUpstream, a model.Announcement, receiver, hops int, reply event.AnnounceReply, accepted *bool) {
	if !u.alive || u.incarnation != a.Incarnation || reply.Code != 0 {
		return
	}
	if reply.Redirect != "" {
		for i, inst := range s.instances {
			if strings.EqualFold(string(inst.id), reply.Redirect) {
				s.sendAnnouncement(u, a, i, hops+1, accepted)
			}
		}
		return
	}
	*accepted = true
	u.firstAnnouncement = false
	u.ownerIndex = receiver
}

// dispatch sends a request to its upstream. The connection may fail, or the
// upstream may refuse the request.
func (s *sim) dispatch(inst *instance, d event.Dispatch) {
	key := requestID{inst.id, inst.incarnation, d.Request}
	a := &attempt{instance: inst, state: inst.state, request: key, dispatch: d}
	for _, u := range s.upstreams {
		if u.id == d.Upstream {
			a.upstream = u
		}
	}
	u := a.upstream
	a.shifted = u.service == "shifted" && inst.zone[0] != u.zone[0]
	if a.shifted {
		s.shiftedDispatches++
	}
	inst.attempts[d.Attempt] = a
	remaining := d.Deadline.Sub(s.now)
	switch {
	case s.partitioned[[2]model.Zone{inst.zone, u.zone}] || s.chance(2):
		s.after(s.randomDuration(0, maxDelay), func() { s.endAttempt(a, event.ConnectFailed) })
		return
	case s.chance(2):
		s.after(s.randomDuration(0, maxDelay), func() { s.endAttempt(a, event.RefusedBeforeExecution) })
		return
	}
	s.after(s.randomDelay(), func() { s.startExecution(a, remaining) })
	s.after(remaining, func() { s.endAttempt(a, event.TimedOut) })
}

// startExecution executes a request at its upstream. It checks the number of
// slots, that a drained upstream starts no request, and the shift cap.
func (s *sim) startExecution(a *attempt, remaining time.Duration) {
	u := a.upstream
	switch {
	case !u.alive:
		s.endAttempt(a, event.ConnectFailed)
		return
	case u.incarnation != a.dispatch.Incarnation:
		s.endAttempt(a, event.RefusedBeforeExecution)
		return
	case u.received[a.dispatch.Attempt]:
		// The cancellation overtook the request.
		s.endAttempt(a, event.RefusedBeforeExecution)
		return
	}
	u.received[a.dispatch.Attempt] = true
	u.executing[a.dispatch.Attempt] = a
	s.requests[a.request].executions++
	if len(u.executing) > u.slots {
		s.recordViolation("%s executes %d requests in %d slots", u.id, len(u.executing), u.slots)
	}
	if u.state == model.Draining && s.now > u.drainedAt.Add(3*time.Second) {
		s.recordViolation("%s started a request %v after its drain", u.id, s.now.Sub(u.drainedAt))
	}
	s.checkShiftCap()
	serviceTime := s.randomDuration(5*time.Millisecond, 150*time.Millisecond)
	if s.chance(10) {
		serviceTime = s.randomDuration(maxSlowServiceTime/2, maxSlowServiceTime)
	}
	if u.service == "exports" {
		serviceTime *= 4
	}
	incarnation := u.incarnation
	s.after(min(serviceTime, remaining), func() {
		if u.incarnation != incarnation || u.executing[a.dispatch.Attempt] == nil {
			return
		}
		delete(u.executing, a.dispatch.Attempt)
		switch {
		case serviceTime > remaining || s.chance(2):
			s.after(s.randomDelay(), func() { s.endAttempt(a, event.LostAfterDispatch) })
		case !s.partitioned[[2]model.Zone{u.zone, a.instance.zone}]:
			s.after(s.randomDelay(), func() { s.respond(a, serviceTime) })
		}
	})
}

// checkShiftCap checks the number of shifted requests that are being executed in
// the target region against the cap.
func (s *sim) checkShiftCap() {
	shifted := 0
	for _, u := range s.upstreams {
		for _, a := range u.executing {
			if a.shifted {
				shifted++
			}
		}
	}
	if limit := s.config.Shifts[0].Cap; shifted > limit {
		s.recordViolation("%d shifted requests execute under a cap of %d", shifted, limit)
	}
}

// respond delivers the start of the response to the instance.
func (s *sim) respond(a *attempt, responseTime time.Duration) {
	if a.ended || a.instance.state != a.state {
		return
	}
	s.step(a.instance, event.AttemptAnswered{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Status: 200, Latency: responseTime})
}

// relay relays a response to the caller and ends the attempt. Some responses are
// truncated.
func (s *sim) relay(inst *instance, e event.Relay) {
	a := inst.attempts[e.Attempt]
	a.relayed = true
	result := event.Completed
	if s.chance(5) {
		result = event.Truncated
	}
	s.after(s.randomDuration(0, 20*time.Millisecond), func() { s.endAttempt(a, result) })
}

// endAttempt reports the end of an attempt to its instance. It does nothing if
// the end was already reported, or if the process that dispatched the attempt
// has ended.
func (s *sim) endAttempt(a *attempt, result event.AttemptResult) {
	if a.ended || a.instance.state != a.state {
		return
	}
	a.ended = true
	if a.relayed && result != event.Truncated {
		s.requests[a.request].ended = true
	}
	s.step(a.instance, event.AttemptEnded{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Result: result, Resumable: s.chance(50)})
}

// cancelAttempt ends an attempt at its instance as canceled and sends a
// cancellation to the upstream.
func (s *sim) cancelAttempt(inst *instance, a *attempt) {
	u := a.upstream
	s.after(0, func() { s.endAttempt(a, event.Canceled) })
	reply := func(c event.CancelState) {
		s.after(s.randomDelay(), func() {
			if inst.state == a.state {
				s.step(inst, event.CancelConfirmed{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, State: c})
			}
		})
	}
	if s.chance(10) || s.partitioned[[2]model.Zone{inst.zone, u.zone}] {
		reply(event.CancelUnknown)
		return
	}
	s.after(s.randomDelay(), func() {
		switch {
		case !u.alive:
			reply(event.CancelUnknown)
		case u.executing[a.dispatch.Attempt] != nil:
			delete(u.executing, a.dispatch.Attempt)
			reply(event.CancelStopped)
		case u.received[a.dispatch.Attempt]:
			reply(event.CancelFinished)
		default:
			u.received[a.dispatch.Attempt] = true
			reply(event.CancelNotExecuted)
		}
	})
}
