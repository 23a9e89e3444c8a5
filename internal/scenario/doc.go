// Package scenario defines the commands of the scripted failure tests. The
// scripts in testdata start a small deployment of anvilcrankd processes on
// loopback addresses, send requests, inject faults, change the configuration
// and check the results. They are testscript scripts with these additional
// commands:
//
//	deploy NAME[+disk]...     write the settings of instances; a-1 is in zone a;
//	                          instances with +disk form the control group
//	start NAME...             start instances and wait until they serve
//	crash NAME...             kill instances (SIGKILL)
//	freeze NAME..., thaw NAME...
//	                          suspend and continue instances (SIGSTOP, SIGCONT)
//	terminate NAME...         begin a graceful stop (SIGTERM)
//	exited NAME...            wait for the end of a graceful stop; the exit code
//	                          must be 0
//	upstream ID KEY=VALUE...  start a fake upstream and wait until it is
//	                          registered. Keys: service, at (the instance to
//	                          register with), slots, time (service time of a
//	                          request), size (of a response body)
//	drain ID...               let upstreams announce that they are draining
//	killupstream ID...        close upstreams without deregistration
//	slow ID FACTOR            multiply an upstream's service time
//	idle ID DURATION          wait; the upstream must not begin to execute a request
//	call NAME METHOD SERVICE KEY=VALUE...
//	                          send a request in the background. Keys: at (the
//	                          instance), key (idempotency key), size (expected
//	                          size of the response body), deadline (timeout)
//	running NAME...           wait until an upstream executes the request
//	result NAME OUTCOME [CODE]
//	                          wait for the outcome of the request, which must be
//	                          OUTCOME: answered, not_run (not executed), unknown
//	                          or lost (no response); CODE is the result code
//	runs NAME COUNT           check how often upstreams executed the request
//	calls COUNT METHOD SERVICE KEY=VALUE...
//	                          send requests one after the other; all must be
//	                          answered. Keys: at (the instance), within (a time),
//	                          most (how many requests must be answered within
//	                          that time; all if not given), eventually (how long
//	                          the first request is sent again after failures)
//	load NAME METHOD SERVICE zone=ZONE
//	                          send requests from a zone in the background until
//	                          "loaded", to the instances that lookups return
//	loaded NAME...            stop a load; all its requests must have been
//	                          answered
//	lookup DURATION REGEXP INSTANCE SERVICE
//	                          repeat a lookup until the names of the instances
//	                          that it returns match
//	pause DURATION            wait
//	leader VARIABLE INSTANCE  set variables to the name of the leader and its
//	                          address (VARIABLE_address), and other and
//	                          other_address to those of another member of the
//	                          control group
//	changes COUNT INSTANCE    make changes of the configuration one after the
//	                          other
//	loseDisk NAME...          delete the data folder of a stopped instance
//	newkey VARIABLE ZONE      set a variable to a new idempotency key
//	await DURATION REGEXP PROGRAM ARG...
//	                          run a program repeatedly until its output matches
//
// The services are tabview (short idempotent requests), settle (short
// non-idempotent requests, retried only if not executed) and export (long
// requests, never retried).
//
// A ledger replica rejects idempotency keys that were issued before it started
// or within the clock skew after that, so scripts pause for longer than the
// clock skew before they make keys.
//
// Zones a and b form region r1, zones c and d region r2. Environment variables
// hold the addresses of the instances, such as $a_1 for a-1, and $PATH contains
// the folder of the programs.
package scenario
