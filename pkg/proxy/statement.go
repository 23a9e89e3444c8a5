package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Headers by which an upstream states something about itself in its responses.
const (
	// HeaderRequestLimit is the number of requests per second, a decimal number, that
	// the upstream accepts from all instances together, as long as its responses say
	// so.
	HeaderRequestLimit = "Anvilcrank-Request-Limit"
	// HeaderLeaving has the value 1 if the process of the upstream is about to end.
	HeaderLeaving = "Anvilcrank-Leaving"
	// headerRetryAfter states in a response with the status 503 after how many
	// seconds the upstream accepts requests again.
	headerRetryAfter = "Retry-After"
	// leavingValue is the value of HeaderLeaving.
	leavingValue = "1"
)

// minRequestLimit is the lowest request limit of an upstream that is applied, in
// requests per second. With fewer requests, this instance would not learn in time
// that the limit has ended.
const minRequestLimit = 0.05

// ReadStatement returns what an upstream states about itself in a response with the
// given status and header. limitName and leavingName are the names of the headers
// for these statements. A statement that is malformed is ignored; ReadStatement
// then also returns the name of its header.
func ReadStatement(status int, h http.Header, limitName, leavingName string) (s model.UpstreamStatement, malformed string) {
	var ok bool
	if s.RequestLimit, ok = parseRequestLimit(h.Get(limitName)); !ok {
		malformed = limitName
	}
	if status == http.StatusServiceUnavailable {
		if s.Pause, ok = parsePause(h.Get(headerRetryAfter), h.Get("Date")); !ok {
			malformed = headerRetryAfter
		}
	}
	switch h.Get(leavingName) {
	case "":
	case leavingValue:
		s.Leaving = true
	default:
		malformed = leavingName
	}
	return s, malformed
}

// parseRequestLimit parses a request limit. It returns 0 if the limit is absent
// or above model.MaxRequestLimit, and false if it is malformed or negative.
func parseRequestLimit(text string) (float64, bool) {
	if text == "" {
		return 0, true
	}
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil || math.IsNaN(limit) || limit < 0:
		return 0, false
	case limit > model.MaxRequestLimit:
		return 0, true
	}
	return max(limit, minRequestLimit), true
}

// parsePause parses the time after which an upstream accepts requests again: a
// number of seconds, with or without a fraction, or a date. A date is compared with
// the date of the response, since clocks differ. parsePause returns 0 if the time is
// absent, and false if it is malformed, negative or above model.MaxPause; the pause
// is then 0, or model.MaxPause.
func parsePause(text, responseDate string) (time.Duration, bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, true
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		switch {
		case math.IsNaN(seconds) || seconds < 0:
			return 0, false
		case seconds > model.MaxPause.Seconds():
			return model.MaxPause, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	from, fromErr := http.ParseTime(responseDate)
	if err != nil || fromErr != nil || until.Before(from) {
		return 0, false
	}
	return min(until.Sub(from), model.MaxPause), until.Sub(from) <= model.MaxPause
}
