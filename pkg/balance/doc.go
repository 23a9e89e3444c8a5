// Package balance is the sub-reducer that selects upstreams for routed requests.
// It compares the expected time to a complete response: the round-trip time, the
// queue time, and the time of work, which is shorter where the object is cached.
// Loads are estimated from this instance's own sends and from the load reports in
// responses; no round trip precedes a request.
package balance
