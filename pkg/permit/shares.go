package permit

import (
	"fmt"
	"time"

	"github.com/anvilcrank/anvilcrank/pkg/alarm"
	"github.com/anvilcrank/anvilcrank/pkg/event"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

const (
	// rampStep is the part of a share, in percent, by which its use may grow in
	// each rampInterval.
	rampStepPercent = 10
	rampInterval    = time.Second
	// rampTolerance is how many times its baseline the target's p95 may be for
	// the ramp to go on.
	maxP95Factor = 2
	// configLag is how long another instance may still work by the configuration
	// before a change.
	maxConfigLag = 5 * time.Second
)

// Share is this instance's part of the cap of a shift into its region.
type Share struct {
	Shift   string
	Service model.ServiceName
	// Limit is the most shifted requests that it may grant at once.
	Limit int
	// LongestDeadline bounds work that was granted before.
	LongestDeadline model.Duration
	// Existed says that the configuration before had the shift too, so that other
	// instances may still use what this share gains.
	ExistedBefore bool
}

// Latencies tells how a service does here.
type Latencies interface {
	// P95 returns the observed p95 latency, 0 if unknown.
	P95(model.ServiceName) model.Duration
}

type share struct {
	service model.ServiceName
	used    int
	limit   int
	// next replaces limit at nextAt: others may still use what this share gains.
	nextLimit   int
	nextLimitAt model.Time
	// from is when grants may begin: a former process of this instance may have
	// granted the whole share.
	grantFrom   model.Time
	rampPercent int
	nextRampAt  model.Time
	baselineP95 model.Duration
}

type shares struct {
	byShift   map[string]*share
	timers    alarm.Queue[string]
	startedAt model.Time
}

func newShares() shares { return shares{byShift: map[string]*share{}} }

// Start notes when this process began.
func (s *State) Start(at model.Time) { s.shares.startedAt = at }

// Configure replaces the shares. A share that is not listed grants nothing more.
func (s *State) Configure(at model.Time, list []Share, latencies Latencies) {
	listed := map[string]bool{}
	for _, c := range list {
		listed[c.Shift] = true
		wait := c.LongestDeadline + DeadlineGrace
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

// allowance returns how many shifted requests the share may have in flight now.
func (sh *share) currentLimit(at model.Time) int {
	if at < sh.grantFrom || sh.limit == 0 {
		return 0
	}
	return max(1, sh.limit*sh.rampPercent/100)
}

// MayShift reports whether another request of the shift may be granted here.
func (s *State) MayGrantShifted(at model.Time, shift string) bool {
	sh := s.shares.byShift[shift]
	return s.Faults.IgnoreShare || sh != nil && sh.used < sh.currentLimit(at)
}

func (s *State) chargeShare(p *permit, shift string, out *event.Effects) {
	sh := s.shares.byShift[shift]
	if sh == nil {
		return
	}
	p.share = sh
	sh.used++
	if sh.used > sh.limit && !s.Faults.IgnoreShare {
		out.Add(event.InvariantFailed{Name: "shift_cap", Detail: fmt.Sprintf("shift %s: %d granted of a share of %d", shift, sh.used, sh.limit)})
	}
}

// wakeShares goes on with the ramps. A target that has become slow holds its
// ramp where it is; lowering it would make load swing between the regions.
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
