package fake

import (
	"net/http"
	"strconv"
	"time"
)

// Statement is what an upstream states about itself in its responses.
type Statement struct {
	Leaving bool
	// RequestLimit is the number of requests per second that the upstream accepts, 0
	// for any number.
	RequestLimit float64
	// PausedUntil is when the upstream accepts requests again.
	PausedUntil time.Time
}

// AddTo adds the statement to the header of a response, under the given names, and
// reports whether the upstream refuses the request because of a pause.
func (s *Statement) AddTo(h http.Header, limitName, leavingName string) (refuses bool) {
	if s.Leaving {
		h.Set(leavingName, "1")
	}
	if s.RequestLimit > 0 {
		h.Set(limitName, strconv.FormatFloat(s.RequestLimit, 'f', -1, 64))
	}
	rest := time.Until(s.PausedUntil)
	if rest <= 0 {
		return false
	}
	h.Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
	return true
}
