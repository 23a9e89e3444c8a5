package permit

import (
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// rampStepPercent is the percentage of a new share that becomes usable at once.
	// After each rampInterval the same percentage is added. This gradual increase
	// is called the ramp.
	rampStepPercent = 10
	rampInterval    = time.Second
	// maxP95Factor multiplies the p95 latency that the service had when the ramp
	// began. The ramp pauses while the present p95 latency in the target region is
	// at or above the product.
	maxP95Factor = 2
	// maxConfigLag is how long another instance may still use the previous
	// configuration after this instance has received a new one.
	maxConfigLag = 5 * time.Second
)

// Share is this instance's part of the cap of a traffic shift. A traffic shift
// moves requests for a service into this instance's region. The cap limits how many
// of these requests are in flight.
type Share struct {
	Shift   string
	Service model.ServiceName
	// Limit is how many of the shifted requests may hold a permit of this instance
	// at the same time.
	Limit int
	// LongestTimeout is the longest timeout that the service has had. A permit that
	// was granted earlier may remain in use for this time plus DeadlineGrace.
	LongestTimeout model.Duration
	// ExistedBefore is true if the previous configuration already contained the
	// traffic shift. Other instances may then still use the part of the cap that
	// this instance gains by the new configuration.
	ExistedBefore bool
}

// Latencies reports the latency of services at this instance.
type Latencies interface {
	// P95 returns the p95 latency of the service observed at this instance, 0 if
	// unknown.
	P95(model.ServiceName) model.Duration
}

// share is a Share with its present use and the state of its ramp.
type share struct {
	service model.ServiceName
	// used is the number of existing permits that count against the share.
	used int
	// limit is how many permits may count against the share at the same time once
	// the ramp has ended.
	limit int
	// nextLimit replaces limit at nextLimitAt. Until then other instances may still
	// use the part of the cap by which this share increases.
	nextLimit   int
	nextLimitAt model.Time
	// grantFrom is the earliest time at which permits may be granted. Earlier,
	// permits of a previous process of this instance may still use the whole share.
	// If the previous configuration already contained the shift, other instances
	// may also still use the part of the cap that is now this share.
	grantFrom model.Time
	// rampPercent is how much of the share is usable at present, in percent of the
	// value of the field limit.
	rampPercent int
	nextRampAt  model.Time
	// baselineP95 is the p95 latency of the service when the ramp began, 0 if
	// unknown.
	baselineP95 model.Duration
}

// shares holds this instance's shares of all traffic shifts.
type shares struct {
	// byShift holds the shares by the identifier of the shift.
	byShift map[string]*share
	// timers holds the times at which the limit or the rampPercent of a share
	// changes. Its items are the identifiers of the shifts.
	timers alarm.Queue[string]
	// startedAt is when this process started.
	startedAt model.Time
}

func newShares() shares { return shares{byShift: map[string]*share{}} }

// SetStartTime sets the time at which this process started. No share grants permits
// until the permits of the previous process must have expired.
func (s *State) SetStartTime(at model.Time) { s.shares.startedAt = at }

// Configure sets this instance's shares to those in the list, which follows from a
// new configuration. The share of a shift that is no longer in the list grants no
// more permits.
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

// currentLimit returns how many permits may count against the share at the given
// time. During the ramp this is less than limit.
func (sh *share) currentLimit(at model.Time) int {
	if at < sh.grantFrom || sh.limit == 0 {
		return 0
	}
	return max(1, sh.limit*sh.rampPercent/100)
}

// MayGrantShifted reports whether this instance's share allows one more permit for
// a request that the traffic shift moved here.
func (s *State) MayGrantShifted(at model.Time, shift string) bool {
	sh := s.shares.byShift[shift]
	return s.DisabledRules.IgnoreShare || sh != nil && sh.used < sh.currentLimit(at)
}

// chargeShare counts a permit against this instance's share of the traffic shift.
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

// advanceRamps handles the shares whose timer is due. It puts a new limit into
// force and raises the usable percentage. The percentage stays the same while the
// latency of the service in this region, the target of the shift, is too high. The
// percentage is never lowered, because load would then oscillate between the
// regions.
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
