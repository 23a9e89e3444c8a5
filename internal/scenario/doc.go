// Package scenario is the language of the scripted failure tests. Scripts in
// testdata start a small deployment of real anvilcrankd processes on loopback
// addresses, make calls, fail things, change the configuration and state what
// must be seen. They follow the conventions of testscript, with these commands:
//
//	deploy NAME[+disk]...     write settings for instances; a-1 is in zone a
//	start NAME...             start instances and wait until they serve
//	crash NAME...             end instances with SIGKILL
//	freeze NAME, thaw NAME    stop and continue a process (SIGSTOP, SIGCONT)
//	terminate NAME...         begin a graceful stop (SIGTERM)
//	exited NAME...            wait for a graceful stop; the exit code must be 0
//	upstream ID KEY=VALUE...  start a fake upstream and wait until it is registered:
//	                          service, at, slots, time, size
//	drain ID                  let an upstream announce that it drains
//	killupstream ID           end an upstream as a crash does
//	slow ID FACTOR            multiply an upstream's service time
//	idle ID DURATION          an upstream gets no work for the duration
//	call NAME METHOD SERVICE KEY=VALUE...
//	                          send a request in the background: at, key, size, deadline
//	running NAME              wait until an upstream runs the request
//	result NAME OUTCOME [CODE]
//	                          wait for the request; OUTCOME is answered, not_run,
//	                          unknown or lost
//	calls COUNT METHOD SERVICE KEY=VALUE...
//	                          send requests one after the other, all must be
//	                          answered: at, within, most, eventually
//	load NAME METHOD SERVICE zone=ZONE
//	                          send requests until "loaded", following look-ups
//	loaded NAME...            end a load; all its requests must have been answered
//	lookup DURATION REGEXP INSTANCE SERVICE
//	                          ask until the names in the answer match
//	pause DURATION            wait
//	leader VARIABLE INSTANCE  put the leader's name into a variable and its address
//	                          into VARIABLE_address; other and other_address get
//	                          those of another member
//	changes COUNT INSTANCE    make changes one after the other
//	loseDisk NAME...          delete the data folder of an instance that is down
//	newkey VARIABLE ZONE      make an idempotency key
//	runs NAME COUNT           how often upstreams ran the request
//	await DURATION REGEXP PROGRAM ARG...
//	                          run a program until its output matches
//
// A ledger replica that has just started refuses keys issued before its floor, so
// scripts pause for longer than the clock skew before they make keys.
//
// Zones a and b form region r1, zones c and d region r2. The environment holds
// the address of each instance, such as $a_1, and $PATH finds the programs.
package scenario
