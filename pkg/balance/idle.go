package balance

import (
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// restMemory is how long a bound on the rest of connections holds.
	idleLimitTTL = 10 * time.Second
	// restPart is the part of a rest that an upstream did not bear which is taken
	// to be safe; minRest is the least bound.
	safeIdleFraction = 0.25
	minIdleLimit     = 100 * time.Millisecond
	// restWitnesses is how many upstreams must have lost requests on rested
	// connections before the bound holds for all.
	minAffectedUpstreams = 3
	// resetDelay is how long after the round trip a reset counts as that of a
	// forgotten connection. Later ones come from upstreams that were at work.
	maxResetDelay = 50 * time.Millisecond
)

// restLimit bounds how long a kept connection may have rested before it is used
// again. An upstream may forget connections earlier than it states and without
// notice; what is sent on them is lost, and nobody knows whether it ran.
type idleLimit struct {
	value model.Duration
	until model.Time
}

// at returns the bound that holds now, 0 for none.
func (l *idleLimit) current(at model.Time) model.Duration {
	if at >= l.until {
		return 0
	}
	return l.value
}

// tighten lowers the bound after a loss on a connection that rested so long.
func (l *idleLimit) tighten(at model.Time, idleTime model.Duration) {
	value := max(minIdleLimit, model.Duration(safeIdleFraction*float64(idleTime)))
	if now := l.current(at); now > 0 {
		value = min(value, now)
	}
	*l = idleLimit{value: value, until: at.Add(idleLimitTTL)}
}

// maxRest returns the bound for connections to an upstream, 0 for none.
func (s *State) maxIdleTime(at model.Time, t *target) model.Duration {
	own, all := t.idleLimit.current(at), s.idleLimit.current(at)
	if own == 0 || all == 0 {
		return max(own, all)
	}
	return min(own, all)
}

// observeRest takes the end of a send on a kept connection. Several upstreams
// that forget connections stand for all others.
func (s *State) observeIdleReset(at model.Time, t *target, end *End) {
	if end.Result != Failed || end.IdleTime == 0 || end.ResponseTime > s.roundTrip(t)+maxResetDelay {
		return
	}
	t.idleLimit.tighten(at, end.IdleTime)
	affected := 0
	for _, other := range s.targets {
		if other.idleLimit.current(at) > 0 {
			affected++
		}
	}
	if affected >= minAffectedUpstreams {
		s.idleLimit.tighten(at, end.IdleTime)
	}
}
