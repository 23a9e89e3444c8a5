package request

import (
	"container/heap"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/priority"
)

// maxCost bounds how many times the mean service time a tenant's request may
// count in the fair queue, and so the rounds until its turn.
const maxRelativeCost = 8

// queue holds the waiting requests of a service. Tenants take turns by deficit
// round robin, with service time as the cost, so that a tenant with more or
// longer requests doesn't delay the others. Within a tenant, the earliest
// deadline goes first.
type queue struct {
	tenants map[model.Tenant]*tenantQueue
	// active holds the tenants with waiting requests in the order of their turns.
	active []*tenantQueue
	length int
}

type tenantQueue struct {
	tenant  model.Tenant
	heap    requestHeap
	deficit float64
}

// Len returns the number of waiting requests.
func (q *queue) Len() int { return q.length }

func (q *queue) push(r *request) {
	t := q.tenants[r.arrived.Tenant]
	if t == nil {
		t = &tenantQueue{tenant: r.arrived.Tenant}
		q.tenants[t.tenant] = t
		q.active = append(q.active, t)
	}
	heap.Push(&t.heap, r)
	q.length++
}

// first returns the request whose turn it is. The queue must not be empty.
// Calling it again returns the same request until that is removed.
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

// charge counts the cost of a dispatched request for its tenant.
func (q *queue) charge(r *request, cost float64) {
	if t := q.tenants[r.arrived.Tenant]; t != nil {
		t.deficit = max(0, t.deficit-cost)
	}
}

func (q *queue) remove(r *request) {
	t := q.tenants[r.arrived.Tenant]
	heap.Remove(&t.heap, r.queueIndex)
	q.length--
	if len(t.heap) > 0 {
		return
	}
	// An idle tenant saves up no turns.
	delete(q.tenants, t.tenant)
	for i, other := range q.active {
		if other == t {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
}

// displaced returns a request of the tenant with the most waiting ones, to be
// refused in favor of one of the given tenant, nil if that would be no fairer.
func (q *queue) displaceable(tenant model.Tenant) *request {
	var longest *tenantQueue
	for _, t := range q.active {
		if longest == nil || len(t.heap) > len(longest.heap) {
			longest = t
		}
	}
	own := 0
	if t := q.tenants[tenant]; t != nil {
		own = len(t.heap)
	}
	if longest == nil || len(longest.heap) <= own+1 {
		return nil
	}
	return longest.heap[len(longest.heap)-1]
}

type requestHeap = priority.Queue[*request]

// Before implements priority.Item.
func (r *request) Before(other *request) bool {
	if r.deadline != other.deadline {
		return r.deadline < other.deadline
	}
	return r.arrived.ID < other.arrived.ID
}

// Position implements priority.Item.
func (r *request) Position() *int { return &r.queueIndex }
