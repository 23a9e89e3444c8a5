package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// Headers holds the names of the HTTP headers that callers, entry instances and
// upstreams send to each other. Names are in the canonical form of
// http.CanonicalHeaderKey.
type Headers struct {
	// AttemptID identifies a request. Upstreams copy it to their responses, so
	// that a response can be matched to its request.
	AttemptID string
	// Remaining is the time left until the request's deadline, in milliseconds.
	Remaining string
	// AffinityKey names the object that the request concerns. On routes with session
	// affinity, requests with the same key go to the same upstreams if possible.
	AffinityKey string
	// TargetUpstream is the identifier of the upstream that the request is sent
	// to. If a different upstream now has the address, that upstream refuses
	// the request.
	TargetUpstream string
	// NotExecuted marks a response of an upstream that did not execute the request.
	NotExecuted string
	// Load describes the load of the upstream in its responses: the numbers of
	// running requests, waiting requests and slots, and optionally the slowdown
	// in percent, separated by commas.
	Load string
	// ColdRemaining is how much longer the upstream remains cold, in
	// milliseconds. A cold upstream was started recently and can handle fewer
	// requests per second. Upstreams send the header in responses.
	ColdRemaining string
	// RequestLimit is the number of requests per second, a decimal number, that the
	// upstream accepts from all instances together. Upstreams send it in all
	// responses as long as the limit applies.
	RequestLimit string
	// Leaving has the value 1 in all responses of an upstream whose process is about
	// to end.
	Leaving string
}

// DefaultHeaders are the product's own names.
var DefaultHeaders = Headers{
	AttemptID:      proxy.HeaderAttempt,
	Remaining:      proxy.HeaderDeadline,
	AffinityKey:    "Anvilcrank-Affinity-Key",
	TargetUpstream: "Anvilcrank-Upstream",
	NotExecuted:    proxy.HeaderNotRun,
	Load:           "Anvilcrank-Load",
	ColdRemaining:  "Anvilcrank-Cold-Ms",
	RequestLimit:   proxy.HeaderRequestLimit,
	Leaving:        proxy.HeaderLeaving,
}

const (
	// percentScale converts the slowdown in a load header to a factor.
	percentScale = 100.0
	// maxReportedNumber is the largest number in a load header. A header with a
	// larger one is malformed.
	maxReportedNumber = 100_000
	// maxKeepAliveSeconds bounds a Keep-Alive timeout, so that it can be converted
	// to a duration.
	maxKeepAliveSeconds = 3600
)

// parseLoad parses a load header. It returns nil if the header is absent or
// malformed. Without a slowdown in the header, the slowdown is 1.
func parseLoad(text string) *model.LoadReport {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return nil
	}
	var numbers [4]int
	numbers[3] = percentScale
	for i := range min(len(parts), len(numbers)) {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 || v > maxReportedNumber {
			return nil
		}
		numbers[i] = v
	}
	return &model.LoadReport{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Slowdown: float64(numbers[3]) / percentScale}
}

// parseMillis parses a number of milliseconds. It returns 0 if the number is
// absent, malformed, not positive or larger than model.MaxTimeout.
func parseMillis(text string) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || ms <= 0 || ms > float64(model.MaxTimeout.Milliseconds()) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header: how
// long the sender of the header keeps an idle connection open. It returns 0 if
// the header lacks the parameter.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		}
	}
	return 0
}

// endToEndHeaders returns a copy of the headers without hop-by-hop headers and
// Content-Length. The copy is sent to the upstream with a request or to the
// caller with a response.
func endToEndHeaders(h http.Header) http.Header {
	endToEnd := h.Clone()
	proxy.RemoveHopByHopHeaders(endToEnd)
	endToEnd.Del("Content-Length")
	return endToEnd
}
