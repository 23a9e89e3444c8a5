package distribution

import (
	"slices"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/change"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/logevent"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/result"
)

const (
	// ChangeTimeout is how long a change may wait for its result. After it the
	// operator is told that the outcome is unknown.
	ChangeTimeout = 2 * time.Second
	// QueryTimeout is how long a query may wait for the leader.
	QueryTimeout = time.Second
	// MaxWait bounds how long a status may wait for a version.
	MaxWait = time.Minute
	// maxHops bounds how often a request is passed on: to a member of the
	// control group, from there to the leader, and on if the leader changed.
	maxHops = 3
	// MaxHistory bounds the entries of one answer.
	MaxHistory = change.MaxHistory
)

// calls holds the requests that wait for an answer.
type calls struct {
	seq     uint64
	pending map[message.ControlRequestID]*pending
	// order lists the pending requests in order of arrival.
	order []*pending
	// handled is the highest request seen from each origin. A copy that arrives
	// again or late is dropped: an earlier copy may have been appended, and
	// refusing this one would tell the origin that nothing was.
	handled map[model.InstanceID]message.ControlRequestID
}

// pending is one request that waits here, at its origin, on its way or at the
// leader.
type pending struct {
	request message.ControlRequest
	// call is the caller at the origin; from is the previous hop elsewhere.
	call event.CallID
	from model.InstanceID
	// via is the next hop, empty while the request waits here.
	via model.InstanceID
	// term is the latest term known when the request was passed on.
	term     uint64
	digest   change.BodyDigest
	deadline model.Time
}

// Propose handles a change from an operator at this instance.
func (s *State) Propose(at model.Time, ev *event.ChangeProposed, out *event.Effects) {
	r := message.ControlRequest{Request: message.RequestChange, Change: ev.Change}
	if ev.DryRun {
		r.Request = message.RequestDryRun
	}
	s.begin(at, r, ev.Call, out)
}

// QueryStatus handles a status request at this instance.
func (s *State) QueryStatus(at model.Time, ev event.StatusRequested, out *event.Effects) {
	wait := min(max(ev.Wait, 0), MaxWait)
	s.begin(at, message.ControlRequest{Request: message.RequestStatus, Version: ev.Version, Wait: wait}, ev.Call, out)
}

// QueryHistory handles a history request at this instance.
func (s *State) QueryHistory(at model.Time, ev event.HistoryRequested, out *event.Effects) {
	limit := min(max(ev.Limit, 0), MaxHistory)
	s.begin(at, message.ControlRequest{Request: message.RequestHistory, Limit: limit}, ev.Call, out)
}

// begin starts a request of this instance.
func (s *State) begin(at model.Time, r message.ControlRequest, call event.CallID, out *event.Effects) {
	s.calls.seq++
	r.ID = message.ControlRequestID{Origin: s.identity.ID, Incarnation: s.identity.Incarnation, Seq: s.calls.seq}
	s.handle(at, &pending{request: r, call: call}, out)
}

// requested handles a request from a peer.
func (s *State) requested(at model.Time, from model.InstanceID, r *message.ControlRequest, out *event.Effects) {
	seen := s.calls.handled[r.ID.Origin]
	if r.ID.Origin == s.identity.ID || r.ID.Incarnation < seen.Incarnation ||
		r.ID.Incarnation == seen.Incarnation && r.ID.Seq <= seen.Seq {
		return
	}
	s.calls.handled[r.ID.Origin] = r.ID
	s.handle(at, &pending{request: *r, from: from}, out)
}

// handle answers a request here or passes it on.
func (s *State) handle(at model.Time, p *pending, out *event.Effects) {
	r := &p.request
	p.deadline = at.Add(timeoutOf(r))
	if r.Request == message.RequestChange || r.Request == message.RequestDryRun {
		if err := r.Change.Validate(); err != nil {
			s.reply(p, &message.ControlReply{ID: r.ID,
				Result: change.Result{Code: result.MalformedChange, Detail: err.Error()}}, out)
			return
		}
	}
	if status := s.control.Status(at); status.Member && status.Leading {
		s.lead(at, p, status, out)
		return
	}
	s.forward(at, p, out)
}

func timeoutOf(r *message.ControlRequest) model.Duration {
	switch r.Request {
	case message.RequestChange:
		return ChangeTimeout
	case message.RequestStatus:
		return QueryTimeout + r.Wait
	}
	return QueryTimeout
}

// forward passes a request on towards the leader.
func (s *State) forward(at model.Time, p *pending, out *event.Effects) {
	to := s.nextHop(at, p.from)
	if to == "" || p.request.Hops >= maxHops {
		s.refuse(at, p, out)
		return
	}
	p.via, p.term = to, s.leaderHint(at).Term
	s.wait(p)
	m := p.request
	m.Hops++
	s.send(to, &m, out)
}

// nextHop returns the leader if it is linked, otherwise a linked member of the
// control group. It never goes back to where the request came from.
func (s *State) nextHop(at model.Time, from model.InstanceID) model.InstanceID {
	h := s.leaderHint(at)
	if h.Leader != "" && h.Leader != from && s.isLive(h.Leader) {
		return h.Leader
	}
	if s.control.Status(at).Member && h.Leader == "" {
		// The other members know no more than this one.
		return ""
	}
	for _, m := range h.Members {
		if m != from && m != s.identity.ID && s.isLive(m) {
			return m
		}
	}
	return ""
}

// refuse answers a request that was not passed on.
func (s *State) refuse(at model.Time, p *pending, out *event.Effects) {
	code := result.ControlUnavailable
	switch {
	case p.request.Request == message.RequestStatus && p.from == "":
		s.replyStatus(at, p, out)
		return
	case p.request.Request != message.RequestChange:
		code = result.NotCurrent
	case s.control.Status(at).Member:
		code = result.NotLeader
	}
	s.reply(p, message.FailedReply(p.request.ID, code), out)
}

// lead answers a request as the leader.
func (s *State) lead(at model.Time, p *pending, status ControlStatus, out *event.Effects) {
	r := &p.request
	switch {
	case r.Request == message.RequestChange:
		p.digest = r.Change.Digest()
		s.wait(p)
		if code := s.control.Propose(at, &r.Change, out); code != result.Answered {
			s.done(p)
			s.reply(p, message.FailedReply(r.ID, code), out)
		}
	case r.Request == message.RequestStatus:
		// The origin waits longer, so that this answer still reaches it.
		p.deadline = at.Add(r.Wait)
		s.wait(p)
		s.checkWaiting(at, out)
	case !status.Current:
		s.reply(p, message.FailedReply(r.ID, result.NotCurrent), out)
	case r.Request == message.RequestDryRun:
		dry, _ := s.machine.DryRun(&r.Change)
		s.reply(p, &message.ControlReply{ID: r.ID, Result: dry}, out)
	case r.Request == message.RequestHistory:
		s.reply(p, &message.ControlReply{ID: r.ID, History: s.machine.History(r.Limit)}, out)
	default:
		s.reply(p, message.FailedReply(r.ID, result.MalformedRequest), out)
	}
}

// Decided takes the result of a committed change and the configuration that is
// the latest after it. Every member of the control group calls it for every
// entry in log order.
func (s *State) Decided(at model.Time, c *change.Change, r change.Result, config *model.Config, out *event.Effects) {
	if r.Code == result.Answered && config != nil && config.Version == r.Version {
		if s.control.Status(at).Leading && config.Version > s.spread.version {
			s.push(config, s.recentVersion(c.Expected), out)
		}
		if c.Operation.Kind == change.Bootstrap && s.control.Status(at).Leading {
			// The leader proposes this only after it has found no other one.
			s.adopt(at, config, out)
		} else {
			s.offer(at, config, out)
		}
	}
	digest := c.Digest()
	for _, p := range slices.Clone(s.calls.order) {
		if p.request.Request == message.RequestChange && p.via == "" &&
			p.request.Change.ID == c.ID && p.digest == digest {
			s.done(p)
			s.reply(p, &message.ControlReply{ID: p.request.ID, Result: r}, out)
		}
	}
}

// Restored takes the configuration of a snapshot that replaces all entries
// before it. Requests that wait for one of those entries run into their
// deadline: their outcome is unknown here.
func (s *State) Restored(at model.Time, config *model.Config, out *event.Effects) {
	if config != nil {
		s.offer(at, config, out)
	}
}

// answered passes an answer back along the way of its request. Where nobody
// else could answer, the origin tells what it knows itself.
func (s *State) answered(at model.Time, m *message.ControlReply, out *event.Effects) {
	p := s.calls.pending[m.ID]
	if p == nil || p.via == "" {
		return
	}
	s.done(p)
	if p.request.Request == message.RequestStatus && p.from == "" && m.Result.Code != result.Answered {
		s.replyStatus(at, p, out)
		return
	}
	s.reply(p, m, out)
}

// reply gives the answer to the previous hop or the caller.
func (s *State) reply(p *pending, m *message.ControlReply, out *event.Effects) {
	if p.from != "" {
		s.send(p.from, m, out)
		return
	}
	switch p.request.Request {
	case message.RequestChange:
		s.audit(&p.request.Change, m.Result, out)
		out.Add(event.ChangeReply{Call: p.call, Result: m.Result})
	case message.RequestDryRun:
		out.Add(event.ChangeReply{Call: p.call, Result: m.Result})
	case message.RequestStatus:
		out.Add(event.StatusReply{Call: p.call, Result: m.Result, Status: m.Status})
	case message.RequestHistory:
		out.Add(event.HistoryReply{Call: p.call, Result: m.Result, Entries: m.History})
	}
}

// audit logs an operator's change and its result at the instance that took it.
func (s *State) audit(c *change.Change, r change.Result, out *event.Effects) {
	fields := []logevent.Field{
		logevent.F("change", c.ID), logevent.F("author", c.Author), logevent.F("reason", c.Reason),
		logevent.F("operation", c.Operation.Kind), logevent.F("expected_version", c.Expected),
		logevent.F("code", int(r.Code)), logevent.F("version", r.Version)}
	if r.Code != result.MalformedChange {
		fields = append(fields, logevent.F("target", c.Operation.Target()))
	}
	out.Add(event.Log{Code: logevent.OperatorChange, Fields: fields})
}

func (s *State) wait(p *pending) {
	s.calls.pending[p.request.ID] = p
	s.calls.order = append(s.calls.order, p)
}

func (s *State) done(p *pending) {
	delete(s.calls.pending, p.request.ID)
	s.calls.order = slices.DeleteFunc(s.calls.order, func(q *pending) bool { return q == p })
}

func (c *calls) nextDeadline() model.Time {
	var next model.Time
	for _, p := range c.order {
		if next == 0 || p.deadline < next {
			next = p.deadline
		}
	}
	return next
}

// expire ends the requests whose time is up.
func (s *State) expire(at model.Time, out *event.Effects) {
	for _, p := range slices.Clone(s.calls.order) {
		if p.deadline <= at {
			s.giveUp(at, p, out)
		}
	}
}

// failVia ends this instance's requests that went to a peer whose link broke.
func (s *State) failVia(at model.Time, peer model.InstanceID, out *event.Effects) {
	for _, p := range slices.Clone(s.calls.order) {
		if p.via == peer {
			s.giveUp(at, p, out)
		}
	}
}

// AnnounceLeader tells all live peers that this instance leads. Instances outside
// the control group would otherwise send changes to the former leader until a
// comparison with a random peer tells them.
func (s *State) AnnounceLeader(at model.Time, out *event.Effects) {
	for _, peer := range s.peers {
		s.compareWith(at, peer, false, out)
	}
}

// FollowLeader ends requests whose leader has been replaced or has stepped down.
// Their answers may be lost; an operator who is told so at once sends the change
// again instead of waiting for ChangeTimeout. It is called after every event.
func (s *State) FollowLeader(at model.Time, out *event.Effects) {
	if len(s.calls.order) == 0 {
		return
	}
	hint, leading := s.leaderHint(at), s.control.Status(at).Leading
	for _, p := range slices.Clone(s.calls.order) {
		replaced := p.via != "" && hint.Leader != "" && hint.Leader != p.via && hint.Term > p.term
		steppedDown := p.via == "" && p.request.Request == message.RequestChange && !leading
		if replaced || steppedDown {
			s.giveUp(at, p, out)
		}
	}
}

// giveUp ends a request without an answer. A change may still be committed, so
// it is never refused here.
func (s *State) giveUp(at model.Time, p *pending, out *event.Effects) {
	s.done(p)
	switch {
	case p.request.Request == message.RequestChange:
		s.reply(p, message.FailedReply(p.request.ID, result.ChangeUnknown), out)
	case p.request.Request == message.RequestStatus && (p.via == "" || p.from == ""):
		s.replyStatus(at, p, out)
	default:
		s.reply(p, message.FailedReply(p.request.ID, result.NotCurrent), out)
	}
}
