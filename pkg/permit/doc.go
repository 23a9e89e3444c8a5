// Package permit is the sub-reducer that counts the slots of upstreams in use
// and exchanges permits with other instances. A slot is the capacity for one
// attempt at an upstream; a permit is the right of one attempt to use a slot.
// Every attempt needs a permit from the instance that owns the upstream. A permit
// ends when its slot is known to be free. It ends DeadlineGrace after the attempt's
// deadline at the latest, because upstreams stop working on an attempt at its
// deadline.
//
// The owner of an upstream keeps an account for it. The account records how many
// slots the upstream has, how many of them are in use, and in which period the
// owner may grant them.
//
// A peer request is a permit request that another instance sent to this one. A
// remote permit is a permit that this instance requested from another one.
//
// accounts.go counts the slots of owned upstreams, peerrequests.go queues the
// permit requests of other instances, remote.go tracks the permits that this
// instance requested from others, offers.go holds the offers that other
// instances broadcast, and shares.go limits the requests that traffic
// shifts bring into this region.
package permit
