// Package bench runs benchmarks of whole deployments, at their real number of
// instances and upstreams, in one process. It measures what callers observe under
// load and faults, and can run baseline policies for comparison.
//
// A scenario is data: the load over time and a list of timed actions, such as
// faults. One goroutine executes the actions, another collects the results.
package bench
