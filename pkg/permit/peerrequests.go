package permit

import (
	"container/heap"

	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/message"
	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

// maxQueuedRequests is the maximum number of peer requests that wait for the same
// service and target. It bounds the memory that the queue uses. Further peer
// requests are refused.
const maxQueuedRequests = 2000

// PeerRequest is a permit request that another instance sent to this one.
type PeerRequest struct {
	message.PermitRequest
	From     model.InstanceID
	Deadline model.Time
	// Target is the zone or region of the upstreams whose slots may be granted to
	// this request.
	Target Target
	// SameRegion is true if the requesting instance is in the region of this
	// instance.
	SameRegion bool
}

// Target limits a peer request to the upstreams of a zone or a region. An empty
// field sets no limit.
type Target struct {
	Zone   model.Zone
	Region model.Region
}

// queueKey identifies a queue of peer requests. Every target has its own queue, so
// that a request for a target without free slots does not block requests for other
// targets.
type queueKey struct {
	service model.ServiceName
	target  Target
}

// queuedRequest is a peer request that waits for a free slot.
type queuedRequest struct {
	PeerRequest
	receivedAt model.Time
	heapIndex  int
}

// requestQueue is a queue of peer requests. Requests of instances in this
// instance's region come before those of instances in other regions and so are
// never delayed by them. Within each of these two groups, the request with the
// earliest deadline is first.
type requestQueue = priority.Queue[*queuedRequest]

// Before implements priority.Item.
func (r *queuedRequest) Before(other *queuedRequest) bool {
	if r.SameRegion != other.SameRegion {
		return r.SameRegion
	}
	if r.Deadline != other.Deadline {
		return r.Deadline < other.Deadline
	}
	return lessAttempt(r.Attempt, other.Attempt)
}

// HeapIndex implements priority.Item.
func (r *queuedRequest) HeapIndex() *int { return &r.heapIndex }

// ReceivePeerRequest queues a permit request of another instance or refuses it.
//
// maxTimeout is the longest timeout that the service has had. A request with more
// remaining time is refused: a new owner of the upstream waits only as long as
// maxTimeout for the attempts of the former owner to end, and the attempt of such a
// request could take longer. serves is true if this instance owns upstreams that
// may have slots to grant.
func (s *State) ReceivePeerRequest(at model.Time, r PeerRequest, maxTimeout model.Duration, serves bool, out *event.Effects) {
	m, from := &r.PermitRequest, r.From
	if p := s.permits[m.Attempt]; p != nil {
		if p.grantMessage != nil {
			// The sender repeated its request, so the grant was lost or has not
			// arrived yet.
			out.Add(event.Send{To: from, Message: p.grantMessage})
		}
		return
	}
	if s.peerRequests[m.Attempt] != nil {
		return
	}
	queue := s.queueFor(queueKey{m.Service, r.Target})
	limited := m.Shift != "" && !s.MayGrantShifted(at, m.Shift)
	if !serves || limited || m.Remaining <= 0 || m.Remaining > maxTimeout || queue.Len() >= maxQueuedRequests {
		out.Add(event.Send{To: from, Message: &message.PermitRefusal{Attempt: m.Attempt, LimitReached: limited}})
		return
	}
	r.Deadline = at.Add(m.Remaining)
	queued := &queuedRequest{PeerRequest: r, receivedAt: at}
	s.peerRequests[m.Attempt] = queued
	heap.Push(queue, queued)
	s.requestDeadlines.Add(queued.Deadline, m.Attempt)
	s.addTrigger(DispatchTrigger{Service: m.Service})
}

// queueFor returns the request queue for the key and creates the queue if
// necessary.
func (s *State) queueFor(key queueKey) *requestQueue {
	q := s.requestQueues[key]
	if q == nil {
		q = &requestQueue{}
		s.requestQueues[key] = q
		s.targets[key.service] = append(s.targets[key.service], key.target)
	}
	return q
}

// Targets returns the targets of all peer requests for the service since the start,
// including targets for which no request waits at present.
func (s *State) Targets(service model.ServiceName) []Target { return s.targets[service] }

// FirstPeerRequest returns the first peer request in the queue for the service and
// target, nil if the queue is empty.
func (s *State) FirstPeerRequest(service model.ServiceName, target Target) *PeerRequest {
	q := s.requestQueues[queueKey{service, target}]
	if q == nil || q.Len() == 0 {
		return nil
	}
	return &(*q)[0].PeerRequest
}

// WaitingPeerRequests returns how many peer requests wait for a slot of any
// upstream of the service, over all targets.
func (s *State) WaitingPeerRequests(service model.ServiceName) int {
	n := 0
	for _, target := range s.targets[service] {
		n += s.requestQueues[queueKey{service, target}].Len()
	}
	return n
}

// GrantPeerRequest grants a free slot to the attempt whose peer request is waiting,
// and sends the grant to the requesting instance. template describes the upstream
// that has the slot.
func (s *State) GrantPeerRequest(at model.Time, attempt model.AttemptID, template message.PermitGrant, out *event.Effects) {
	r := s.peerRequests[attempt]
	s.removePeerRequest(r)
	g := template
	g.Attempt = attempt
	g.SentAt = r.SentAt
	g.QueueTime = at.Sub(r.receivedAt)
	p := &permit{attempt: attempt, holder: r.From, account: s.accounts[g.Upstream], grantedAt: at,
		expiresAt: r.Deadline.Add(DeadlineGrace), grantMessage: &g, crossRegion: !r.SameRegion}
	if r.Shift != "" {
		s.chargeShare(p, r.Shift, out)
	}
	s.grant(at, p, out)
	out.Add(event.Count{Counter: event.PermitsGranted, Add: 1})
	out.Add(event.Send{To: r.From, Message: &g})
}

// RefusePeerRequest removes the waiting peer request of the attempt and sends a
// refusal to the requesting instance. limited is true if the reason is a limit on
// shifted or cross-region requests, false if it is a lack of slots.
func (s *State) RefusePeerRequest(attempt model.AttemptID, limited bool, out *event.Effects) {
	r := s.peerRequests[attempt]
	s.removePeerRequest(r)
	out.Add(event.Send{To: r.From, Message: &message.PermitRefusal{Attempt: attempt, LimitReached: limited}})
}

// removePeerRequest removes a waiting peer request from its queue.
func (s *State) removePeerRequest(r *queuedRequest) {
	delete(s.peerRequests, r.Attempt)
	heap.Remove(s.requestQueues[queueKey{r.Service, r.Target}], r.heapIndex)
}

// expirePeerRequest removes the peer request of the attempt if it still waits and
// its deadline has passed.
func (s *State) expirePeerRequest(attempt model.AttemptID, at model.Time) {
	if r := s.peerRequests[attempt]; r != nil && r.Deadline <= at {
		s.removePeerRequest(r)
	}
}

// ReceiveRelease handles a release by another instance: it ends the permit of the
// attempt, or removes the attempt's waiting peer request. The release is
// acknowledged even if the attempt has neither, so that the sender stops resending
// it.
func (s *State) ReceiveRelease(at model.Time, from model.InstanceID, m *message.PermitRelease, out *event.Effects) {
	if p := s.permits[m.Attempt]; p != nil {
		s.endAndForward(at, p, out)
	}
	if r := s.peerRequests[m.Attempt]; r != nil {
		s.removePeerRequest(r)
	}
	out.Add(event.Send{To: from, Message: &message.PermitReleaseAck{Attempt: m.Attempt}})
}
