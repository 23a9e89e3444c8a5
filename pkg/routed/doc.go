// Package routed is the sub-reducer of routed requests: requests from clients
// whose host and path select a route, that is, the services that may handle the
// request and the rules for its timeout and retries. It selects a service by
// the weights of the route and an upstream of the service by package balance.
// It retries a request if this cannot execute a non-idempotent request twice
// and if the retry budget, which all entry instances share, permits it. Every
// request ends in one of three ways: with the response of an upstream, with a
// rejection that proves that no upstream executed it, or with an unknown
// outcome.
package routed
