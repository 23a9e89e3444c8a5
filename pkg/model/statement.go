package model

import "time"

const (
	// MaxRequestLimit is the highest request limit of an upstream, in requests per
	// second. A higher one limits nothing.
	MaxRequestLimit = 1_000_000
	// MaxPause is the longest pause that is granted to an upstream. An upstream that
	// still wants no requests then says so again to the first one.
	MaxPause = 10 * time.Minute
)

// UpstreamStatement is what an upstream states about itself in a response, besides
// the response to the request.
type UpstreamStatement struct {
	// RequestLimit is the number of requests per second that the upstream accepts
	// from all instances together, 0 if it states none. It applies as long as the
	// responses of the upstream state it.
	RequestLimit float64
	// Leaving is true if the process of the upstream is about to end.
	Leaving bool
	// Pause is how long the upstream wants no further requests from this instance,
	// 0 if it accepts them.
	Pause Duration
}
