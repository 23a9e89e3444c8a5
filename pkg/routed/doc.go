// Package routed is the sub-reducer of requests whose route is selected by host
// and path. It selects the service by the weights of the route and asks the
// balancer for an upstream. It retries requests where this is safe and within the
// shared retry budget. Every request ends with the response of an upstream, with a
// rejection that is certain, or with an unknown outcome.
package routed
