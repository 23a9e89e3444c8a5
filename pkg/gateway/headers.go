package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
	"github.com/anvilcrank/anvilcrank/pkg/proxy"
)

// Headers names the headers that a protocol uses between callers, entry
// instances and upstreams. Names are in canonical form.
type Headers struct {
	// Attempt identifies a request; upstreams repeat it in their responses.
	AttemptID string
	// Remaining is the time that is left, in milliseconds.
	Remaining string
	// Object names what the request concerns.
	AffinityKey string
	// Upstream names the upstream that a request is meant for.
	TargetUpstream string
	// NotExecuted marks responses of upstreams that ran nothing.
	NotExecuted string
	// Load states an upstream's load: requests running and waiting, slots, and
	// the slowdown in percent, separated by commas.
	Load string
	// ColdRemaining states how much longer an upstream is cold, in milliseconds.
	ColdRemaining string
}

// percent is the scale of the slowdown in a load header.
const percentScale = 100.0

// parseLoad reads a load header. It returns nil for one that cannot be read,
// which then says nothing.
func parseLoad(text string) *model.LoadReport {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return nil
	}
	var numbers [4]int
	numbers[3] = percentScale
	for i := range min(len(parts), len(numbers)) {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 {
			return nil
		}
		numbers[i] = v
	}
	return &model.LoadReport{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Slowdown: float64(numbers[3]) / percentScale}
}

// parseMillis reads a number of milliseconds, 0 for one that cannot be read.
func parseMillis(text string) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || ms <= 0 || ms > float64(model.MaxDeadline.Milliseconds()) {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// keepAliveTimeout returns the idle time that a Keep-Alive header states, 0 if
// it states none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// passedOn returns the headers that are passed on to the other side.
func endToEndHeaders(h http.Header) http.Header {
	endToEnd := h.Clone()
	proxy.RemoveHopByHopHeaders(endToEnd)
	endToEnd.Del("Content-Length")
	return endToEnd
}
