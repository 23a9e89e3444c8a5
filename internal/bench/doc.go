// Package bench benchmarks whole deployments in one process, with their full
// number of instances and upstreams. It measures the responses and latencies that
// callers observe under load and faults. For comparison, it can run simpler
// policies for the selection of upstreams.
//
// A scenario is data: the load over time and a list of actions, such as faults,
// with the times at which they happen. One goroutine executes the actions, another
// collects the results of the requests.
package bench
