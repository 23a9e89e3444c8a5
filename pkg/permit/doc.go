// Package permit is the sub-reducer that counts slots and exchanges permits
// with other instances. Every attempt holds one permit of the instance that owns
// the upstream. A permit ends when the slot is known to be free, or when the
// attempt's deadline and a grace time have passed, since upstreams stop work at
// its deadline.
//
// accounts.go counts the slots of owned upstreams, asks.go queues the requests
// of other instances, held.go keeps the permits that other instances granted to
// this one, and hints.go what other instances say they own.
package permit
