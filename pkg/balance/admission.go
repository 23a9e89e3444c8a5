package balance

import "github.com/anvilcrank/anvilcrank/pkg/model"

const (
	// minWorkFraction is the fraction of the expected work time that every request
	// is assumed to need. It is below 1 because some requests of a service take far
	// less time than others.
	minWorkFraction = 0.5
	// maxQueueFraction is the fraction of a route's latency objective that a request
	// may spend in the queue of an upstream. It leaves the time for work on a cached
	// object and for the network.
	maxQueueFraction = 0.6
)

// WillMissDeadline reports whether a request is expected to miss its deadline.
// A request that has to wait for a slot is expected to miss it unless the mean
// work time also fits into the remaining time. Work that is aborted at its
// deadline would take a slot from other requests and leave its object uncached.
func WillMissDeadline(responseTime, queueTime, meanWorkTime, remaining model.Duration) bool {
	work := responseTime - queueTime
	if queueTime > 0 {
		return queueTime+max(work, meanWorkTime) > remaining
	}
	return model.Duration(minWorkFraction*float64(work)) > remaining
}

// QueueTooLong reports whether a request that is expected to miss its objective
// should be rejected because of the queue at the selected upstream, although it may
// be expected to meet its deadline.
//
// The load that this answers is more work than the upstreams can do: their queues
// then grow until deadlines end as much work as is offered in excess. Nearly every
// response is late, work is thrown away, and what it would have left in the caches
// is missing for later requests, which need several times as long. That persists
// when the load has fallen. With short queues, upstreams are as busy, and those
// requests that are admitted meet their objective.
//
// A request for an uncached object, which misses its objective by its work alone,
// is admitted while the queue is short, so that the object gets cached. The
// objective is 0 if the route has none, which permits any queue.
func QueueTooLong(responseTime, queueTime, objective model.Duration) bool {
	return responseTime > objective && ExcessQueueTime(queueTime, objective) > 0
}

// ExcessQueueTime returns how long it takes until the queue is short enough for the
// request, if no others are admitted until then.
func ExcessQueueTime(queueTime, objective model.Duration) model.Duration {
	if objective <= 0 {
		return 0
	}
	return max(0, queueTime-model.Duration(maxQueueFraction*float64(objective)))
}
