package permit

import (
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// rampStepPercent is the percentage of a share that becomes usable in each
	// rampInterval.
	rampStepPercent = 10
	rampInterval    = time.Second
	// maxP95Factor is the p95 latency of the target, as a multiple of the
	// baseline, from which the ramp pauses.
	maxP95Factor = 2
	// maxConfigLag is how long another instance may still use the previous
	// configuration after a change.
	maxConfigLag = 5 * time.Second
)

// Share is this instance's part of the cap of a traffic shift into its region.
// The cap limits the shifted requests in flight.
type Share struct {
	Shift   string
	Service model.ServiceName
	// Limit is the maximum number of shifted requests that hold a permit of
	// this instance at the same time.
	Limit int
	// LongestTimeout is the longest time for which permits granted earlier may
	// still be in use, without DeadlineGrace.
	LongestTimeout model.Duration
	// ExistedBefore is true if the previous configuration contained the shift, so
	// that other instances may still use the part of the cap by which this share
	// grows.
	ExistedBefore bool
}

// Latencies reports the latency of services at this instance.
type Latencies interface {
	// P95 returns the observed p95 latency, 0 if unknown.
	P95(model.ServiceName) model.Duration
}

// share is the state of a Share.
type share struct {
	service model.ServiceName
	used    int
	limit   int
	// nextLimit replaces limit at nextLimitAt. Until then other instances may
	// still use the part of the cap that this share gains.
	nextLimit   int
	nextLimitAt model.Time
	// grantFrom is when grants may begin. Before it, permits that a previous
	// process of this instance granted may still use the whole share.
	grantFrom   model.Time
	rampPercent int
	nextRampAt  model.Time
	// baselineP95 is the p95 latency of the service when the ramp began, 0 if
	// unknown.
	baselineP95 model.Duration
}

// shares holds the shares of all traffic shifts by the identifier of the shift.
type shares struct {
	byShift   map[string]*share
	timers    alarm.Queue[string]
	startedAt model.Time
}

func newShares() shares { return shares{byShift: map[string]*share{}} }

// SetStartTime sets the start time of this process.
func (s *State) SetStartTime(at model.Time) { s.shares.startedAt = at }

// Configure replaces the shares. A share that is not in the list grants no more
// permits.
func (s *State) Configure(at model.Time, list []Share, latencies Latencies) {
	listed := map[string]bool{}
	for _, c := range list {
		listed[c.Shift] = true
		wait := c.LongestTimeout + DeadlineGrace
		sh := s.shares.byShift[c.Shift]
		if sh == nil {
			sh = &share{service: c.Service, limit: c.Limit, rampPercent: rampStepPercent,
				grantFrom: s.shares.startedAt.Add(wait), baselineP95: latencies.P95(c.Service)}
			if c.ExistedBefore {
				sh.grantFrom = at.Add(wait + maxConfigLag)
			}
			sh.nextRampAt = max(at, sh.grantFrom).Add(rampInterval)
			s.shares.byShift[c.Shift] = sh
			s.shares.timers.Add(sh.nextRampAt, c.Shift)
			continue
		}
		sh.nextLimit = c.Limit
		if c.Limit <= sh.limit {
			sh.limit = c.Limit
			continue
		}
		sh.nextLimitAt = at.Add(wait + maxConfigLag)
		s.shares.timers.Add(sh.nextLimitAt, c.Shift)
	}
	for id, sh := range s.shares.byShift {
		if !listed[id] {
			sh.limit, sh.nextLimit = 0, 0
		}
	}
}

// currentLimit returns how many shifted requests may hold a permit at the time,
// which is less than the share's limit during the ramp.
func (sh *share) currentLimit(at model.Time) int {
	if at < sh.grantFrom || sh.limit == 0 {
		return 0
	}
	return max(1, sh.limit*sh.rampPercent/100)
}

// MayGrantShifted reports whether this instance may grant a permit to another
// request of the shift.
func (s *State) MayGrantShifted(at model.Time, shift string) bool {
	sh := s.shares.byShift[shift]
	return s.DisabledRules.IgnoreShare || sh != nil && sh.used < sh.currentLimit(at)
}

// chargeShare counts a permit against the share of a shift.
func (s *State) chargeShare(p *permit, shift string, out *event.Effects) {
	sh := s.shares.byShift[shift]
	if sh == nil {
		return
	}
	p.share = sh
	sh.used++
	if sh.used > sh.limit && !s.DisabledRules.IgnoreShare {
		out.Add(event.InvariantFailed{Name: "shift_cap", Detail: fmt.Sprintf("shift %s: %d granted of a share of %d", shift, sh.used, sh.limit)})
	}
}

// advanceRamps puts new limits into force and raises the usable percentage of
// the shares that are due. The ramp pauses while the target is slow. It is not
// lowered, because load would then oscillate between the regions.
func (s *State) advanceRamps(at model.Time, latencies Latencies) {
	for {
		id, ok := s.shares.timers.Pop(at)
		if !ok {
			return
		}
		sh := s.shares.byShift[id]
		if sh.nextLimitAt != 0 && at >= sh.nextLimitAt {
			sh.limit, sh.nextLimitAt = sh.nextLimit, 0
		}
		if sh.rampPercent >= 100 || at < sh.nextRampAt {
			continue
		}
		now := latencies.P95(sh.service)
		if sh.baselineP95 == 0 {
			sh.baselineP95 = now
		}
		if sh.baselineP95 == 0 || now < maxP95Factor*sh.baselineP95 {
			sh.rampPercent += rampStepPercent
		}
		sh.nextRampAt = at.Add(rampInterval)
		s.shares.timers.Add(sh.nextRampAt, id)
	}
}
