// Package rateshare is the sub-reducer that divides the request limits of
// upstreams among the entry instances, by their demand. It runs at the leading
// control instance. Entry instances report their demand (package balance) and use
// an equal share of a limit while they have no valid share from here.
package rateshare
