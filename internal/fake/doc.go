// Package fake implements stand-ins for the systems around anvilcrank: upstreams
// with slots and service times, and callers that cache lookups. The demo, the
// benchmarks and tests use it. A Journal records which requests were executed,
// for comparison with the results that callers received.
package fake
