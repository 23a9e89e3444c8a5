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
	// ChangeTimeout is how long a change may wait for its result. After this time
	// the operator is told that the outcome is unknown.
	ChangeTimeout = 2 * time.Second
	// QueryTimeout is how long a status request, a history request or a dry run
	// may wait for the leader's reply.
	QueryTimeout = time.Second
	// MaxStatusWait bounds how long a status request may wait until the requested
	// version is in force everywhere.
	MaxStatusWait = time.Minute
	// maxHops bounds how often one request is forwarded: first to a member of the
	// control group, then to the leader, and once more if the leader has changed.
	maxHops = 3
	// MaxHistory bounds the accepted changes in one reply to a history request.
	MaxHistory = change.MaxHistory
)

// requests holds the requests that wait for a reply.
type requests struct {
	lastSeq uint64
	pending map[message.ControlRequestID]*pendingRequest
	// order lists the pending requests in the order in which they were added.
	order []*pendingRequest
	// lastHandled holds the latest request that this instance has handled from
	// each origin. Further copies of a request are dropped, since the change in
	// the first copy may have been appended to the log. If a further copy were
	// rejected, the origin would wrongly conclude that nothing was appended.
	lastHandled map[model.InstanceID]message.ControlRequestID
}

// pendingRequest is a request that waits for a reply at its origin, at an
// instance that forwarded it, or at the leader.
type pendingRequest struct {
	request message.ControlRequest
	// call identifies the operator's API call that waits for the reply. It is set
	// only at the origin of the request.
	call event.CallID
	// previousHop is the instance from which this instance received the request,
	// empty at the origin.
	previousHop model.InstanceID
	// nextHop is the instance that the request was forwarded to, empty if this
	// instance handles it.
	nextHop model.InstanceID
	// termWhenForwarded is the latest term of the control group that this instance
	// knew when it forwarded the request.
	termWhenForwarded uint64
	digest            change.ChangeDigest
	deadline          model.Time
}

// Propose handles a change or a dry run that an operator sent to this instance.
func (s *State) Propose(at model.Time, ev *event.ChangeProposed, out *event.Effects) {
	r := message.ControlRequest{Request: message.RequestChange, Change: ev.Change}
	if ev.DryRun {
		r.Request = message.RequestDryRun
	}
	s.startRequest(at, r, ev.Call, out)
}

// QueryStatus handles a status request that an operator sent to this instance.
func (s *State) QueryStatus(at model.Time, ev event.StatusRequested, out *event.Effects) {
	wait := min(max(ev.Wait, 0), MaxStatusWait)
	s.startRequest(at, message.ControlRequest{Request: message.RequestStatus, Version: ev.Version, Wait: wait}, ev.Call, out)
}

// QueryHistory handles a history request that an operator sent to this instance.
func (s *State) QueryHistory(at model.Time, ev event.HistoryRequested, out *event.Effects) {
	limit := min(max(ev.Limit, 0), MaxHistory)
	s.startRequest(at, message.ControlRequest{Request: message.RequestHistory, Limit: limit}, ev.Call, out)
}

// startRequest assigns an identifier to a request whose origin is this instance,
// and handles the request.
func (s *State) startRequest(at model.Time, r message.ControlRequest, call event.CallID, out *event.Effects) {
	s.requests.lastSeq++
	r.ID = message.ControlRequestID{Origin: s.identity.ID, Incarnation: s.identity.Incarnation, Seq: s.requests.lastSeq}
	s.handleRequest(at, &pendingRequest{request: r, call: call}, out)
}

// receiveRequest handles a request from a peer, unless it is a copy of an
// earlier one.
func (s *State) receiveRequest(at model.Time, from model.InstanceID, r *message.ControlRequest, out *event.Effects) {
	latest := s.requests.lastHandled[r.ID.Origin]
	if r.ID.Origin == s.identity.ID || r.ID.Incarnation < latest.Incarnation ||
		r.ID.Incarnation == latest.Incarnation && r.ID.Seq <= latest.Seq {
		return
	}
	s.requests.lastHandled[r.ID.Origin] = r.ID
	s.handleRequest(at, &pendingRequest{request: *r, previousHop: from}, out)
}

// handleRequest rejects a request that contains a malformed change. Any other
// request is handled here if this instance is the leader, and otherwise
// forwarded.
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

// requestTimeout returns how long a request may wait at one instance for its
// reply.
func requestTimeout(r *message.ControlRequest) model.Duration {
	switch r.Request {
	case message.RequestChange:
		return ChangeTimeout
	case message.RequestStatus:
		return QueryTimeout + r.Wait
	}
	return QueryTimeout
}

// forwardRequest forwards a request to the next hop on its way to the leader. It
// rejects the request if there is no next hop or if the request was already
// forwarded maxHops times.
func (s *State) forwardRequest(at model.Time, p *pendingRequest, out *event.Effects) {
	to := s.nextHop(at, p.previousHop)
	if to == "" || p.request.Hops >= maxHops {
		s.rejectRequest(at, p, out)
		return
	}
	p.nextHop, p.termWhenForwarded = to, s.leaderHint(at).Term
	s.addPending(p)
	m := p.request
	m.Hops++
	s.send(to, &m, out)
}

// nextHop returns the instance to which a request is forwarded: the leader if it
// is connected, otherwise a connected member of the control group, "" if there
// is none. It never returns the previous hop.
func (s *State) nextHop(at model.Time, previousHop model.InstanceID) model.InstanceID {
	h := s.leaderHint(at)
	if h.Leader != "" && h.Leader != previousHop && s.isLive(h.Leader) {
		return h.Leader
	}
	if s.control.Status(at).Member && h.Leader == "" {
		// This member knows no leader. The other members are not expected to
		// know one either, so the request is not forwarded to them.
		return ""
	}
	for _, m := range h.Members {
		if m != previousHop && m != s.identity.ID && s.isLive(m) {
			return m
		}
	}
	return ""
}

// rejectRequest answers a request that cannot be forwarded. A status request
// whose origin is this instance is not rejected: it is answered with the status
// that this instance knows.
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

// handleAsLeader handles a request at the leader. A change is appended to the log
// and answered once it is committed; other requests are answered from the
// leader's state.
func (s *State) handleAsLeader(at model.Time, p *pendingRequest, status ControlStatus, out *event.Effects) {
	r := &p.request
	switch {
	case r.Request == message.RequestChange:
		p.digest = r.Change.Digest()
		s.addPending(p)
		if code := s.control.Propose(at, &r.Change, out); code != result.Success {
			s.removePending(p)
			s.reply(p, message.FailedReply(r.ID, code), out)
		}
	case r.Request == message.RequestStatus:
		// The leader replies after r.Wait at the latest. The origin waits for
		// QueryTimeout longer, so the reply reaches the origin in time.
		p.deadline = at.Add(r.Wait)
		s.addPending(p)
		s.answerStatusRequests(at, out)
	case !status.Current:
		s.reply(p, message.FailedReply(r.ID, result.NotCurrent), out)
	case r.Request == message.RequestDryRun:
		dryRunResult, _ := s.machine.DryRun(&r.Change)
		s.reply(p, &message.ControlReply{ID: r.ID, Result: dryRunResult}, out)
	case r.Request == message.RequestHistory:
		s.reply(p, &message.ControlReply{ID: r.ID, History: s.machine.History(r.Limit)}, out)
	default:
		s.reply(p, message.FailedReply(r.ID, result.MalformedRequest), out)
	}
}

// ChangeCommitted handles the committed change c with the result r. config is the
// configuration after the change. Every member of the control group calls
// ChangeCommitted for every committed change, in log order.
func (s *State) ChangeCommitted(at model.Time, c *change.Change, r change.Result, config *model.Config, out *event.Effects) {
	if r.Code == result.Success && config != nil && config.Version == r.Version {
		if s.control.Status(at).Leading && config.Version > s.tree.highestVersion {
			s.pushConfig(config, s.recentConfig(c.Expected), out)
		}
		if c.Operation.Kind == change.Bootstrap && s.control.Status(at).Leading {
			// A leader proposes a bootstrap only if it has a configuration in force, is
			// the only instance, or its peers have reported that they have no
			// configuration. The leader therefore does not ask its peers again.
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

// SnapshotRestored handles the configuration of a snapshot that replaces all
// entries before it. Requests that wait for the result of one of these entries
// end at their deadline, since this instance does not know the result.
func (s *State) SnapshotRestored(at model.Time, config *model.Config, out *event.Effects) {
	if config != nil {
		s.offerConfig(at, config, out)
	}
}

// receiveReply passes a reply on to the previous hop of its request, or to the
// caller at the origin. A status request that failed at another instance is
// answered with the status that the origin knows.
func (s *State) receiveReply(at model.Time, m *message.ControlReply, out *event.Effects) {
	p := s.requests.pending[m.ID]
	if p == nil || p.nextHop == "" {
		return
	}
	s.removePending(p)
	if p.request.Request == message.RequestStatus && p.previousHop == "" && m.Result.Code != result.Success {
		s.replyStatus(at, p, out)
		return
	}
	s.reply(p, m, out)
}

// reply sends a reply to the previous hop or, at the origin, to the caller.
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

// logOperatorChange logs a change and its result at the instance that received
// the change from the operator.
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

// addPending adds a request to the requests that wait for a reply.
func (s *State) addPending(p *pendingRequest) {
	s.requests.pending[p.request.ID] = p
	s.requests.order = append(s.requests.order, p)
}

// removePending removes a request that no longer waits for a reply.
func (s *State) removePending(p *pendingRequest) {
	delete(s.requests.pending, p.request.ID)
	s.requests.order = slices.DeleteFunc(s.requests.order, func(q *pendingRequest) bool { return q == p })
}

// nextDeadline returns the earliest deadline of a pending request, 0 if there
// is none.
func (r *requests) nextDeadline() model.Time {
	var next model.Time
	for _, p := range r.order {
		if next == 0 || p.deadline < next {
			next = p.deadline
		}
	}
	return next
}

// expireRequests ends the pending requests whose deadline has passed without a
// reply.
func (s *State) expireRequests(at model.Time, out *event.Effects) {
	for _, p := range slices.Clone(s.requests.order) {
		if p.deadline <= at {
			s.abandonRequest(at, p, out)
		}
	}
}

// abandonRequestsTo ends the requests that were forwarded to a peer. It is called
// when the connection to the peer broke, since the replies may then be lost.
func (s *State) abandonRequestsTo(at model.Time, peer model.InstanceID, out *event.Effects) {
	for _, p := range slices.Clone(s.requests.order) {
		if p.nextHop == peer {
			s.abandonRequest(at, p, out)
		}
	}
}

// AnnounceLeader informs all live peers that this instance leads. Instances
// outside the control group would otherwise send changes to the former leader
// until they compare versions with a peer that knows the new leader.
func (s *State) AnnounceLeader(at model.Time, out *event.Effects) {
	for _, peer := range s.peers {
		s.sendDigest(at, peer, false, out)
	}
}

// CheckLeaderChange ends requests that wait for a leader that was replaced or
// has stepped down, since their replies may be lost. The operator learns at
// once that the outcome is unknown, and can resend the change without waiting
// for ChangeTimeout. CheckLeaderChange must be called after every event.
func (s *State) CheckLeaderChange(at model.Time, out *event.Effects) {
	if len(s.requests.order) == 0 {
		return
	}
	hint, leading := s.leaderHint(at), s.control.Status(at).Leading
	for _, p := range slices.Clone(s.requests.order) {
		replaced := p.nextHop != "" && hint.Leader != "" && hint.Leader != p.nextHop && hint.Term > p.termWhenForwarded
		steppedDown := p.nextHop == "" && p.request.Request == message.RequestChange && !leading
		if replaced || steppedDown {
			s.abandonRequest(at, p, out)
		}
	}
}

// abandonRequest ends a pending request that has received no reply, and reports
// this to its previous hop or its caller. A change may still be committed, so its
// outcome is reported as unknown and not as a rejection.
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
