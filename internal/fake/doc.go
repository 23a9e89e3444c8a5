// Package fake stands in for the systems around anvilcrank: upstreams with slots
// and service times, and callers that cache look-ups. Demo, bench and tests use
// it. A Journal compares what ran with what callers were told.
package fake
