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
type requests struct {
	lastSeq uint64
	pending map[message.ControlRequestID]*pendingRequest
	// order lists the pending requests in order of arrival.
	order []*pendingRequest
	// handled is the highest request seen from each origin. A copy that arrives
	// again or late is dropped: an earlier copy may have been appended, and
	// refusing this one would tell the origin that nothing was.
	lastHandled map[model.InstanceID]message.ControlRequestID
}

// pending is one request that waits here, at its origin, on its way or at the
// leader.
type pendingRequest struct {
	request message.ControlRequest
	// call is the caller at the origin; from is the previous hop elsewhere.
	call        event.CallID
	previousHop model.InstanceID
	// via is the next hop, empty while the request waits here.
	nextHop model.InstanceID
	// term is the latest term known when the request was passed on.
	knownTerm uint64
	digest    change.ChangeDigest
	deadline  model.Time
}

// Propose handles a change from an operator at this instance.
func (s *State) Propose(at model.Time, ev *event.ChangeProposed, out *event.Effects) {
	r := message.ControlRequest{Request: message.RequestChange, Change: ev.Change}
	if ev.DryRun {
		r.Request = message.RequestDryRun
	}
	s.startRequest(at, r, ev.Call, out)
}

// QueryStatus handles a status request at this instance.
func (s *State) QueryStatus(at model.Time, ev event.StatusRequested, out *event.Effects) {
	wait := min(max(ev.Wait, 0), MaxWait)
	s.startRequest(at, message.ControlRequest{Request: message.RequestStatus, Version: ev.Version, Wait: wait}, ev.Call, out)
}

// QueryHistory handles a history request at this instance.
func (s *State) QueryHistory(at model.Time, ev event.HistoryRequested, out *event.Effects) {
	limit := min(max(ev.Limit, 0), MaxHistory)
	s.startRequest(at, message.ControlRequest{Request: message.RequestHistory, Limit: limit}, ev.Call, out)
}

// begin starts a request of this instance.
func (s *State) startRequest(at model.Time, r message.ControlRequest, call event.CallID, out *event.Effects) {
	s.requests.lastSeq++
	r.ID = message.ControlRequestID{Origin: s.identity.ID, Incarnation: s.identity.Incarnation, Seq: s.requests.lastSeq}
	s.handleRequest(at, &pendingRequest{request: r, call: call}, out)
}

// requested handles a request from a peer.
func (s *State) receiveRequest(at model.Time, from model.InstanceID, r *message.ControlRequest, out *event.Effects) {
	seen := s.requests.lastHandled[r.ID.Origin]
	if r.ID.Origin == s.identity.ID || r.ID.Incarnation < seen.Incarnation ||
		r.ID.Incarnation == seen.Incarnation && r.ID.Seq <= seen.Seq {
		return
	}
	s.requests.lastHandled[r.ID.Origin] = r.ID
	s.handleRequest(at, &pendingRequest{request: *r, previousHop: from}, out)
}

// handle answers a request here or passes it on.
func (s *State) handleRequest(at model.Time, p *pendingRequest, out *event.Effects) {
	r := &p.request
	p.deadline = at.Add(requestTimeout(r))
	if r.Request == message.RequestChange || r.Request == message.RequestDryRun {
		if err := r.Change.Validate(); err != nil {
			s.reply(p, &message.ControlReply{ID: r.ID,
				Result: change.Result{Code: result.MalformedChange, Detail: err.Error()}}, out)
			return
		}
	}
	if status := s.control.Status(at); status.Member && status.Leading {
		s.handleAsLeader(at, p, status, out)
		return
	}
	s.forwardRequest(at, p, out)
}

func requestTimeout(r *message.ControlRequest) model.Duration {
	switch r.Request {
	case message.RequestChange:
		return ChangeTimeout
	case message.RequestStatus:
		return QueryTimeout + r.Wait
	}
	return QueryTimeout
}

// forward passes a request on towards the leader.
func (s *State) forwardRequest(at model.Time, p *pendingRequest, out *event.Effects) {
	to := s.nextHop(at, p.previousHop)
	if to == "" || p.request.Hops >= maxHops {
		s.rejectRequest(at, p, out)
		return
	}
	p.nextHop, p.knownTerm = to, s.leaderHint(at).Term
	s.addPending(p)
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
func (s *State) rejectRequest(at model.Time, p *pendingRequest, out *event.Effects) {
	code := result.ControlUnavailable
	switch {
	case p.request.Request == message.RequestStatus && p.previousHop == "":
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
func (s *State) handleAsLeader(at model.Time, p *pendingRequest, status ControlStatus, out *event.Effects) {
	r := &p.request
	switch {
	case r.Request == message.RequestChange:
		p.digest = r.Change.Digest()
		s.addPending(p)
		if code := s.control.Propose(at, &r.Change, out); code != result.Answered {
			s.removePending(p)
			s.reply(p, message.FailedReply(r.ID, code), out)
		}
	case r.Request == message.RequestStatus:
		// The origin waits longer, so that this answer still reaches it.
		p.deadline = at.Add(r.Wait)
		s.addPending(p)
		s.answerStatusRequests(at, out)
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
func (s *State) ChangeCommitted(at model.Time, c *change.Change, r change.Result, config *model.Config, out *event.Effects) {
	if r.Code == result.Answered && config != nil && config.Version == r.Version {
		if s.control.Status(at).Leading && config.Version > s.tree.version {
			s.pushConfig(config, s.recentConfig(c.Expected), out)
		}
		if c.Operation.Kind == change.Bootstrap && s.control.Status(at).Leading {
			// The leader proposes this only after it has found no other one.
			s.saveAndInstall(at, config, out)
		} else {
			s.offerConfig(at, config, out)
		}
	}
	digest := c.Digest()
	for _, p := range slices.Clone(s.requests.order) {
		if p.request.Request == message.RequestChange && p.nextHop == "" &&
			p.request.Change.ID == c.ID && p.digest == digest {
			s.removePending(p)
			s.reply(p, &message.ControlReply{ID: p.request.ID, Result: r}, out)
		}
	}
}

// Restored takes the configuration of a snapshot that replaces all entries
// before it. Requests that wait for one of those entries run into their
// deadline: their outcome is unknown here.
func (s *State) SnapshotRestored(at model.Time, config *model.Config, out *event.Effects) {
	if config != nil {
		s.offerConfig(at, config, out)
	}
}

// answered passes an answer back along the way of its request. Where nobody
// else could answer, the origin tells what it knows itself.
func (s *State) receiveReply(at model.Time, m *message.ControlReply, out *event.Effects) {
	p := s.requests.pending[m.ID]
	if p == nil || p.nextHop == "" {
		return
	}
	s.removePending(p)
	if p.request.Request == message.RequestStatus && p.previousHop == "" && m.Result.Code != result.Answered {
		s.replyStatus(at, p, out)
		return
	}
	s.reply(p, m, out)
}

// reply gives the answer to the previous hop or the caller.
func (s *State) reply(p *pendingRequest, m *message.ControlReply, out *event.Effects) {
	if p.previousHop != "" {
		s.send(p.previousHop, m, out)
		return
	}
	switch p.request.Request {
	case message.RequestChange:
		s.logOperatorChange(&p.request.Change, m.Result, out)
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
func (s *State) logOperatorChange(c *change.Change, r change.Result, out *event.Effects) {
	fields := []logevent.Field{
		logevent.F("change", c.ID), logevent.F("author", c.Author), logevent.F("reason", c.Reason),
		logevent.F("operation", c.Operation.Kind), logevent.F("expected_version", c.Expected),
		logevent.F("code", int(r.Code)), logevent.F("version", r.Version)}
	if r.Code != result.MalformedChange {
		fields = append(fields, logevent.F("target", c.Operation.Target()))
	}
	out.Add(event.Log{Code: logevent.OperatorChange, Fields: fields})
}

func (s *State) addPending(p *pendingRequest) {
	s.requests.pending[p.request.ID] = p
	s.requests.order = append(s.requests.order, p)
}

func (s *State) removePending(p *pendingRequest) {
	delete(s.requests.pending, p.request.ID)
	s.requests.order = slices.DeleteFunc(s.requests.order, func(q *pendingRequest) bool { return q == p })
}

func (c *requests) nextDeadline() model.Time {
	var next model.Time
	for _, p := range c.order {
		if next == 0 || p.deadline < next {
			next = p.deadline
		}
	}
	return next
}

// expire ends the requests whose time is up.
func (s *State) expireRequests(at model.Time, out *event.Effects) {
	for _, p := range slices.Clone(s.requests.order) {
		if p.deadline <= at {
			s.abandonRequest(at, p, out)
		}
	}
}

// failVia ends this instance's requests that went to a peer whose link broke.
func (s *State) abandonRequestsTo(at model.Time, peer model.InstanceID, out *event.Effects) {
	for _, p := range slices.Clone(s.requests.order) {
		if p.nextHop == peer {
			s.abandonRequest(at, p, out)
		}
	}
}

// AnnounceLeader tells all live peers that this instance leads. Instances outside
// the control group would otherwise send changes to the former leader until a
// comparison with a random peer tells them.
func (s *State) AnnounceLeader(at model.Time, out *event.Effects) {
	for _, peer := range s.peers {
		s.sendDigest(at, peer, false, out)
	}
}

// FollowLeader ends requests whose leader has been replaced or has stepped down.
// Their answers may be lost; an operator who is told so at once sends the change
// again instead of waiting for ChangeTimeout. It is called after every event.
func (s *State) CheckLeaderChange(at model.Time, out *event.Effects) {
	if len(s.requests.order) == 0 {
		return
	}
	hint, leading := s.leaderHint(at), s.control.Status(at).Leading
	for _, p := range slices.Clone(s.requests.order) {
		replaced := p.nextHop != "" && hint.Leader != "" && hint.Leader != p.nextHop && hint.Term > p.knownTerm
		steppedDown := p.nextHop == "" && p.request.Request == message.RequestChange && !leading
		if replaced || steppedDown {
			s.abandonRequest(at, p, out)
		}
	}
}

// giveUp ends a request without an answer. A change may still be committed, so
// it is never refused here.
func (s *State) abandonRequest(at model.Time, p *pendingRequest, out *event.Effects) {
	s.removePending(p)
	switch {
	case p.request.Request == message.RequestChange:
		s.reply(p, message.FailedReply(p.request.ID, result.ChangeUnknown), out)
	case p.request.Request == message.RequestStatus && (p.nextHop == "" || p.previousHop == ""):
		s.replyStatus(at, p, out)
	default:
		s.reply(p, message.FailedReply(p.request.ID, result.NotCurrent), out)
	}
}
