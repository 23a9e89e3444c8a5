package balance

import (
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// requestLimit is the limit that an upstream has stated for the requests per
// second from all instances together.
type requestLimit struct {
	// perSecond is the limit, 0 if there is none.
	perSecond float64
	// statedAt is when the latest answer with a limit arrived.
	statedAt model.Time
}

func (l *requestLimit) isSet() bool { return l.perSecond > 0 }

// observe records the limit that an answer states, 0 for none. Answers may arrive
// out of order: one without a limit ends the limit only if its request was sent
// after the limit was last stated. observe reports whether the limit changed.
func (l *requestLimit) observe(at, sentAt model.Time, perSecond float64) bool {
	previous := l.perSecond
	switch {
	case perSecond > 0:
		l.perSecond, l.statedAt = perSecond, at
	case sentAt >= l.statedAt:
		l.perSecond = 0
	}
	return l.perSecond != previous
}

// limitPace returns the pace of this instance's requests to an upstream with a
// request limit.
func (s *State) limitPace(_ model.Time, t *target) pace {
	return newPace(s.equalShare(t.limit.perSecond), maxPacingDelay)
}
