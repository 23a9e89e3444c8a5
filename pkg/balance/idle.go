package balance

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// idleLimitTTL is how long an idle limit applies after the last request was
	// lost on an idle connection.
	idleLimitTTL = 10 * time.Second
	// safeIdleFraction determines the new idle limit when a request is lost: it is
	// this fraction of the idle time that the connection had. minIdleLimit is the
	// lowest idle limit.
	safeIdleFraction = 0.25
	minIdleLimit     = 100 * time.Millisecond
	// minAffectedUpstreams is the number of upstreams with an idle limit from
	// which all upstreams are assumed to close idle connections early. An idle
	// limit then applies to all upstreams.
	minAffectedUpstreams = 3
	// maxResetDelay distinguishes two causes of a failed send on a reused
	// connection. If the send fails within one round trip plus this time, the
	// upstream had closed the idle connection. If it fails later, the upstream was
	// processing the request.
	maxResetDelay = 50 * time.Millisecond
)

// idleLimit is the longest idle time after which a connection is reused. An
// upstream may close idle connections without notice, and earlier than it
// states. A request sent on such a connection is lost, and it is unknown
// whether it was executed.
type idleLimit struct {
	value model.Duration
	until model.Time
}

// current returns the limit that applies now, 0 for none.
func (l *idleLimit) current(at model.Time) model.Duration {
	if at >= l.until {
		return 0
	}
	return l.value
}

// lower lowers the limit after a request was lost on a connection with the
// given idle time.
func (l *idleLimit) lower(at model.Time, idleTime model.Duration) {
	value := max(minIdleLimit, model.Duration(safeIdleFraction*float64(idleTime)))
	if now := l.current(at); now > 0 {
		value = min(value, now)
	}
	*l = idleLimit{value: value, until: at.Add(idleLimitTTL)}
}

// maxIdleTime returns the longest idle time after which a connection to the
// upstream is reused, 0 for no limit.
func (s *State) maxIdleTime(at model.Time, t *target) model.Duration {
	own, all := t.idleLimit.current(at), s.idleLimit.current(at)
	if own == 0 || all == 0 {
		return max(own, all)
	}
	return min(own, all)
}

// observeIdleReset lowers the idle limit of an upstream if a send to it failed
// because the upstream had closed the idle connection. If at least
// minAffectedUpstreams have an idle limit, the limit for all upstreams is
// lowered as well.
func (s *State) observeIdleReset(at model.Time, t *target, end *End) {
	if end.Result != Failed || end.IdleTime == 0 || end.ResponseTime > s.roundTrip(t)+maxResetDelay {
		return
	}
	t.idleLimit.lower(at, end.IdleTime)
	affected := 0
	for _, other := range s.targets {
		if other.idleLimit.current(at) > 0 {
			affected++
		}
	}
	if affected >= minAffectedUpstreams {
		s.idleLimit.lower(at, end.IdleTime)
	}
}
