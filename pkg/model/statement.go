package model

// MaxRequestLimit is the highest request limit of an upstream, in requests per
// second. A higher one limits nothing.
const MaxRequestLimit = 1_000_000

// UpstreamStatement is what an upstream states about itself in a response, besides
// the response to the request.
type UpstreamStatement struct {
	// RequestLimit is the number of requests per second that the upstream accepts
	// from all instances together, 0 if it states none. It applies as long as the
	// responses of the upstream state it.
	RequestLimit float64
}
