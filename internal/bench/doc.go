// Package bench measures whole deployments at their real sizes in one process:
// what callers see under load and faults, compared with baseline policies.
//
// A scenario is data: the load over time and the faults with their times. One
// goroutine carries it out; another owns the results.
package bench
