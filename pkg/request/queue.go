package request

import (
	"container/heap"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

// maxRelativeCost is the highest cost of a request in the fair queue, in units of
// the service's mean hold time. A tenant whose deficit is less than the cost is
// passed over, and its deficit then grows by 1. So maxRelativeCost also bounds how
// many rounds a tenant waits.
const maxRelativeCost = 8

// queue holds the waiting requests of a service. It schedules tenants by deficit
// round robin. The cost of a request is the time for which requests of its tenant
// usually hold a slot, so that a tenant with more or longer requests does not delay
// the others. The requests of one tenant are scheduled by earliest deadline first.
type queue struct {
	// tenants and active hold the tenants with waiting requests, active in
	// round-robin order.
	tenants map[model.Tenant]*tenantQueue
	active  []*tenantQueue
	// length is the number of waiting requests of all tenants.
	length int
}

// tenantQueue holds the waiting requests of one tenant.
type tenantQueue struct {
	tenant model.Tenant
	heap   requestHeap
	// deficit is the total cost of the requests that may be dispatched for this
	// tenant before it is passed over. It grows by 1 each time the tenant is
	// passed over.
	deficit float64
}

// Len returns the number of waiting requests of all tenants.
func (q *queue) Len() int { return q.length }

// push adds a request to the queue of its tenant.
func (q *queue) push(r *request) {
	t := q.tenants[r.arrival.Tenant]
	if t == nil {
		t = &tenantQueue{tenant: r.arrival.Tenant}
		q.tenants[t.tenant] = t
		q.active = append(q.active, t)
	}
	heap.Push(&t.heap, r)
	q.length++
}

// next returns the request to be dispatched next and leaves it in the queue, which
// must not be empty. The function cost returns the cost of a tenant's next request.
// Further calls of next return the same request until the queue or a cost changes.
func (q *queue) next(cost func(model.Tenant) float64) *request {
	for {
		t := q.active[0]
		if len(q.active) == 1 || t.deficit >= cost(t.tenant) {
			return t.heap[0]
		}
		t.deficit++
		copy(q.active, q.active[1:])
		q.active[len(q.active)-1] = t
	}
}

// charge deducts the cost of a dispatched request from its tenant's deficit.
func (q *queue) charge(r *request, cost float64) {
	if t := q.tenants[r.arrival.Tenant]; t != nil {
		t.deficit = max(0, t.deficit-cost)
	}
}

// remove removes a waiting request from the queue of its tenant.
func (q *queue) remove(r *request) {
	t := q.tenants[r.arrival.Tenant]
	heap.Remove(&t.heap, r.queueIndex)
	q.length--
	if len(t.heap) > 0 {
		return
	}
	// A tenant without waiting requests does not keep its deficit.
	delete(q.tenants, t.tenant)
	for i, other := range q.active {
		if other == t {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
}

// requestToDisplace returns the waiting request to refuse so that a new request of
// the given tenant can be queued: one of the tenant with the most waiting requests.
// It returns nil if that tenant has no more waiting requests than the given tenant
// would have with the new request.
func (q *queue) requestToDisplace(tenant model.Tenant) *request {
	var longest *tenantQueue
	for _, t := range q.active {
		if longest == nil || len(t.heap) > len(longest.heap) {
			longest = t
		}
	}
	ownWaiting := 0
	if t := q.tenants[tenant]; t != nil {
		ownWaiting = len(t.heap)
	}
	if longest == nil || len(longest.heap) <= ownWaiting+1 {
		return nil
	}
	return longest.heap[len(longest.heap)-1]
}

// requestHeap orders requests by deadline, then by identifier.
type requestHeap = priority.Queue[*request]

// Before implements priority.Item.
func (r *request) Before(other *request) bool {
	if r.deadline != other.deadline {
		return r.deadline < other.deadline
	}
	return r.arrival.ID < other.arrival.ID
}

// HeapIndex implements priority.Item.
func (r *request) HeapIndex() *int { return &r.queueIndex }
