// Package balance is the sub-reducer that selects an upstream for each routed
// request. It selects the upstream with the shortest expected response time,
// plus costs such as that of a transfer between regions. The response time is
// the sum of the round-trip time, the queue time and the work time, which is
// shorter if the upstream has the object of the request in its cache. The loads
// of upstreams are estimated from the requests that this instance has sent and
// from the load reports in responses, so no message precedes a request.
package balance
