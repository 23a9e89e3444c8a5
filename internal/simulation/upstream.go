package simulation

import (
	"sort"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// startUpstream starts a process of the upstream and its announcements.
func (s *sim) startUpstream(u *server) {
	u.incarnation = model.Incarnation(s.now)
	u.state, u.drainedAt = model.Serving, 0
	u.first, u.up, u.failed = true, true, 0
	u.running = map[model.AttemptID]*attempt{}
	u.seen = map[model.AttemptID]bool{}
	incarnation := u.incarnation
	var tick func()
	tick = func() {
		if u.up && u.incarnation == incarnation {
			s.announce(u)
			s.after(500*time.Millisecond, tick)
		}
	}
	s.after(s.between(0, 200*time.Millisecond), tick)
}

func (s *sim) crashUpstream(u *server) {
	if !u.up {
		return
	}
	u.up = false
	lost := make([]*attempt, 0, len(u.running))
	for _, a := range u.running {
		lost = append(lost, a)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].dispatch.Attempt.String() < lost[j].dispatch.Attempt.String() })
	u.running = nil
	for _, a := range lost {
		s.report(a, event.LostAfterDispatch)
	}
	s.after(s.between(100*time.Millisecond, 3*time.Second), func() { s.startUpstream(u) })
}

// announce sends one announcement and follows a redirect.
func (s *sim) announce(u *server) {
	a := model.Announcement{Upstream: u.id, Incarnation: u.incarnation, Service: u.service, Zone: u.zone,
		Address: string(u.id), Slots: u.slots, Connections: 100, State: u.state, First: u.first}
	done := false
	s.announceTo(u, a, u.owner, 0, &done)
	s.after(400*time.Millisecond, func() {
		if done {
			u.failed = 0
			return
		}
		if u.failed++; u.failed >= 3 {
			u.owner, u.failed = s.rng.IntN(len(s.nodes)), 0
		}
	})
}

func (s *sim) announceTo(u *server, a model.Announcement, to, hops int, done *bool) {
	n := s.nodes[to]
	if hops > 3 || s.chance(5) || s.cut[[2]model.Zone{u.zone, n.zone}] {
		return
	}
	s.after(s.delay(), func() {
		if n.state == nil {
			return
		}
		s.ran++
		effects := n.state.Step(event.Event{At: s.now, Body: event.UpstreamAnnounced{Announcement: a}})
		for _, e := range append([]event.Effect(nil), effects...) {
			reply, ok := e.(event.AnnounceReply)
			if !ok {
				s.carryOut(n, e)
				continue
			}
			if s.chance(5) || s.cut[[2]model.Zone{n.zone, u.zone}] {
				continue
			}
			s.after(s.delay(), func() { s.announced(u, a, to, hops, reply, done) })
		}
	})
}

func (s *sim) announced(u *server, a model.Announcement, to, hops int, reply event.AnnounceReply, done *bool) {
	if !u.up || u.incarnation != a.Incarnation || reply.Code != 0 {
		return
	}
	if reply.Redirect != "" {
		for i, n := range s.nodes {
			if strings.EqualFold(string(n.id), reply.Redirect) {
				s.announceTo(u, a, i, hops+1, done)
			}
		}
		return
	}
	*done = true
	u.first = false
	u.owner = to
}

// dispatch carries a request to its upstream.
func (s *sim) dispatch(n *node, d event.Dispatch) {
	key := requestID{n.id, n.incarnation, d.Request}
	a := &attempt{node: n, state: n.state, request: key, dispatch: d}
	for _, u := range s.upstreams {
		if u.id == d.Upstream {
			a.upstream = u
		}
	}
	u := a.upstream
	a.shifted = u.service == "shifted" && n.zone[0] != u.zone[0]
	if a.shifted {
		s.shifted++
	}
	n.attempts[d.Attempt] = a
	left := d.Deadline.Sub(s.now)
	switch {
	case s.cut[[2]model.Zone{n.zone, u.zone}] || s.chance(2):
		s.after(s.between(0, maxDelay), func() { s.report(a, event.ConnectFailed) })
		return
	case s.chance(2):
		s.after(s.between(0, maxDelay), func() { s.report(a, event.RefusedBeforeExecution) })
		return
	}
	s.after(s.delay(), func() { s.begin(a, left) })
	s.after(left, func() { s.report(a, event.TimedOut) })
}

// begin runs a request at its upstream and checks that it may run there.
func (s *sim) begin(a *attempt, left time.Duration) {
	u := a.upstream
	switch {
	case !u.up:
		s.report(a, event.ConnectFailed)
		return
	case u.incarnation != a.dispatch.Incarnation:
		s.report(a, event.RefusedBeforeExecution)
		return
	case u.seen[a.dispatch.Attempt]:
		// The cancellation overtook the request.
		s.report(a, event.RefusedBeforeExecution)
		return
	}
	u.seen[a.dispatch.Attempt] = true
	u.running[a.dispatch.Attempt] = a
	s.requests[a.request].runs++
	if len(u.running) > u.slots {
		s.violation("%s runs %d requests in %d slots", u.id, len(u.running), u.slots)
	}
	if u.state == model.Draining && s.now > u.drainedAt.Add(3*time.Second) {
		s.violation("%s got new work %v after its drain", u.id, s.now.Sub(u.drainedAt))
	}
	s.checkCap()
	service := s.between(5*time.Millisecond, 150*time.Millisecond)
	if s.chance(10) {
		service = s.between(slowTime/2, slowTime)
	}
	if u.service == "exports" {
		service *= 4
	}
	incarnation := u.incarnation
	s.after(min(service, left), func() {
		if u.incarnation != incarnation || u.running[a.dispatch.Attempt] == nil {
			return
		}
		delete(u.running, a.dispatch.Attempt)
		switch {
		case service > left || s.chance(2):
			s.after(s.delay(), func() { s.report(a, event.LostAfterDispatch) })
		case !s.cut[[2]model.Zone{u.zone, a.node.zone}]:
			s.after(s.delay(), func() { s.answer(a, service) })
		}
	})
}

// checkCap counts the shifted requests that run in the target region.
func (s *sim) checkCap() {
	shifted := 0
	for _, u := range s.upstreams {
		for _, a := range u.running {
			if a.shifted {
				shifted++
			}
		}
	}
	if limit := s.config.Shifts[0].Cap; shifted > limit {
		s.violation("%d shifted requests run under a cap of %d", shifted, limit)
	}
}

func (s *sim) answer(a *attempt, took time.Duration) {
	if a.ended || a.node.state != a.state {
		return
	}
	s.step(a.node, event.AttemptAnswered{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Status: 200, Latency: took})
}

func (s *sim) relay(n *node, e event.Relay) {
	a := n.attempts[e.Attempt]
	a.relayed = true
	res := event.Completed
	if s.chance(5) {
		res = event.Truncated
	}
	s.after(s.between(0, 20*time.Millisecond), func() { s.report(a, res) })
}

// report ends an attempt once.
func (s *sim) report(a *attempt, res event.AttemptResult) {
	if a.ended || a.node.state != a.state {
		return
	}
	a.ended = true
	if a.relayed && res != event.Truncated {
		s.requests[a.request].ended = true
	}
	s.step(a.node, event.AttemptEnded{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Result: res, Resumable: s.chance(50)})
}

// cancel closes an attempt and asks its upstream to stop it.
func (s *sim) cancel(n *node, a *attempt) {
	u := a.upstream
	s.after(0, func() { s.report(a, event.Canceled) })
	reply := func(c event.CancelState) {
		s.after(s.delay(), func() {
			if n.state == a.state {
				s.step(n, event.CancelConfirmed{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, State: c})
			}
		})
	}
	if s.chance(10) || s.cut[[2]model.Zone{n.zone, u.zone}] {
		reply(event.CancelUnknown)
		return
	}
	s.after(s.delay(), func() {
		switch {
		case !u.up:
			reply(event.CancelUnknown)
		case u.running[a.dispatch.Attempt] != nil:
			delete(u.running, a.dispatch.Attempt)
			reply(event.CancelStopped)
		case u.seen[a.dispatch.Attempt]:
			reply(event.CancelFinished)
		default:
			u.seen[a.dispatch.Attempt] = true
			reply(event.CancelNotExecuted)
		}
	})
}
