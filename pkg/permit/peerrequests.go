package permit

import (
	"container/heap"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

// maxAsks bounds the requests of other instances that wait for a service.
const maxQueuedRequests = 2000

// Ask is a request of another instance for a slot.
type PeerRequest struct {
	message.PermitRequest
	From     model.InstanceID
	Deadline model.Time
	// Target is where the upstream must be.
	Target Target
	// Near asks come from this instance's own region.
	SameRegion bool
}

// Target limits the upstreams that an ask can use. Empty fields stand for any.
type Target struct {
	Zone   model.Zone
	Region model.Region
}

// line is what asks wait in. Those with the same target form one, so that an ask
// that can't be served doesn't hold up others.
type queueKey struct {
	service model.ServiceName
	target  Target
}

type queuedRequest struct {
	PeerRequest
	received  model.Time
	heapIndex int
}

// askQueue orders the asks for a service: those of the own region first, then
// by deadline, so that work from other regions never displaces local work.
type requestQueue = priority.Queue[*queuedRequest]

// Before implements priority.Item.
func (a *queuedRequest) Before(other *queuedRequest) bool {
	if a.SameRegion != other.SameRegion {
		return a.SameRegion
	}
	if a.Deadline != other.Deadline {
		return a.Deadline < other.Deadline
	}
	return lessAttempt(a.Attempt, other.Attempt)
}

// Position implements priority.Item.
func (a *queuedRequest) Position() *int { return &a.heapIndex }

// ReceiveRequest queues a request of another instance. maxDeadline is the
// longest deadline of the service: a later one could outlast the wait of a
// future owner. serves says whether this instance may have slots to grant.
func (s *State) ReceivePeerRequest(at model.Time, r PeerRequest, maxDeadline model.Duration, serves bool, out *event.Effects) {
	m, from := &r.PermitRequest, r.From
	if p := s.permits[m.Attempt]; p != nil {
		if p.grantMessage != nil {
			// The grant was lost or is still on its way.
			out.Add(event.Send{To: from, Message: p.grantMessage})
		}
		return
	}
	if s.peerRequests[m.Attempt] != nil {
		return
	}
	q := s.queueFor(queueKey{m.Service, r.Target})
	limited := m.Shift != "" && !s.MayGrantShifted(at, m.Shift)
	if !serves || limited || m.Remaining <= 0 || m.Remaining > maxDeadline || q.Len() >= maxQueuedRequests {
		out.Add(event.Send{To: from, Message: &message.PermitRefusal{Attempt: m.Attempt, LimitReached: limited}})
		return
	}
	r.Deadline = at.Add(m.Remaining)
	a := &queuedRequest{PeerRequest: r, received: at}
	s.peerRequests[m.Attempt] = a
	heap.Push(q, a)
	s.requestDeadlines.Add(a.Deadline, m.Attempt)
	s.addTrigger(DispatchTrigger{Service: m.Service})
}

// line returns the queue of asks that wait in a line.
func (s *State) queueFor(l queueKey) *requestQueue {
	q := s.requestQueues[l]
	if q == nil {
		q = &requestQueue{}
		s.requestQueues[l] = q
		s.targets[l.service] = append(s.targets[l.service], l.target)
	}
	return q
}

// Targets lists where asks for the service want upstreams. It may list targets
// for which none waits now.
func (s *State) Targets(service model.ServiceName) []Target { return s.targets[service] }

// FirstAsk returns the ask for the service and target that is next in turn, nil
// if none waits.
func (s *State) FirstPeerRequest(service model.ServiceName, target Target) *PeerRequest {
	q := s.requestQueues[queueKey{service, target}]
	if q == nil || q.Len() == 0 {
		return nil
	}
	return &(*q)[0].PeerRequest
}

// Waiting returns the number of asks that wait for the service.
func (s *State) WaitingPeerRequests(service model.ServiceName) int {
	n := 0
	for _, target := range s.targets[service] {
		n += s.requestQueues[queueKey{service, target}].Len()
	}
	return n
}

// GrantAsk gives a free slot of the upstream to the waiting ask.
func (s *State) GrantPeerRequest(at model.Time, attempt model.AttemptID, to message.PermitGrant, out *event.Effects) {
	a := s.peerRequests[attempt]
	s.removePeerRequest(a)
	g := to
	g.Attempt = attempt
	g.SentAt = a.SentAt
	g.QueueTime = at.Sub(a.received)
	p := &permit{attempt: attempt, holder: a.From, account: s.accounts[g.Upstream], grantedAt: at,
		expiresAt: a.Deadline.Add(DeadlineGrace), grantMessage: &g, crossRegion: !a.SameRegion}
	if a.Shift != "" {
		s.chargeShare(p, a.Shift, out)
	}
	s.grant(at, p, out)
	out.Add(event.Count{Counter: event.PermitsGranted, Add: 1})
	out.Add(event.Send{To: a.From, Message: &g})
}

// RefuseAsk drops a waiting ask and tells its sender.
func (s *State) RefusePeerRequest(attempt model.AttemptID, limited bool, out *event.Effects) {
	a := s.peerRequests[attempt]
	s.removePeerRequest(a)
	out.Add(event.Send{To: a.From, Message: &message.PermitRefusal{Attempt: attempt, LimitReached: limited}})
}

func (s *State) removePeerRequest(a *queuedRequest) {
	delete(s.peerRequests, a.Attempt)
	heap.Remove(s.requestQueues[queueKey{a.Service, a.Target}], a.heapIndex)
}

// endAsk drops an ask whose deadline has passed.
func (s *State) expirePeerRequest(attempt model.AttemptID, at model.Time) {
	if a := s.peerRequests[attempt]; a != nil && a.Deadline <= at {
		s.removePeerRequest(a)
	}
}

// ReceiveRelease ends the permit or the ask of another instance. It is
// acknowledged in any case: an unknown attempt holds nothing here.
func (s *State) ReceiveRelease(at model.Time, from model.InstanceID, m *message.PermitRelease, out *event.Effects) {
	if p := s.permits[m.Attempt]; p != nil {
		s.endAndForward(at, p, out)
	}
	if a := s.peerRequests[m.Attempt]; a != nil {
		s.removePeerRequest(a)
	}
	out.Add(event.Send{To: from, Message: &message.PermitReleaseAck{Attempt: m.Attempt}})
}
