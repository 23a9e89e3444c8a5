package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Names of the figures of a run.
const (
	headroom       = "headroom"
	drainLast      = "drain_last_new_work_s"
	holRatio       = "hol_ratio"
	maxSlotUse     = "max_slot_use"
	maxRegionUse   = "max_region_use"
	maxShiftUse    = "max_shift_use"
	otherFailures  = "other_region_failures"
	maxLinkWait    = "max_link_wait_ms"
	cpuCores       = "cpu_cores"
	generatorLag   = "generator_lag_p99_ms"
	highestLatency = time.Minute
	// significantFigures of the histograms.
	significantFigures = 3
)

// maxDrain is how long after its announcement a draining upstream may get work.
const maxDrain = 3 * time.Second

// latencies is a histogram in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(1, highestLatency.Microseconds(), significantFigures)}
}

func (l *latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d, time.Microsecond), highestLatency).Microseconds())
}

// percentile returns a percentile in milliseconds.
func (l *latencies) percentile(p float64) float64 {
	return float64(l.h.ValueAtPercentile(p)) / 1000
}

// measurement is what one run gave.
type measurement struct {
	counts  deployment.Counts
	figures map[string]float64
	// services and tenants hold the latencies of answered requests.
	services map[model.ServiceName]*latencies
	tenants  map[tenantKey]*latencies
	details  []string
}

type tenantKey struct {
	service model.ServiceName
	tenant  model.Tenant
}

// measure compares what callers were told with what ran.
func (r *runner) measure(all []deployment.Result) *measurement {
	m := &measurement{
		figures:  map[string]float64{},
		services: map[model.ServiceName]*latencies{},
		tenants:  map[tenantKey]*latencies{},
	}
	for i := range all {
		m.counts.Add(&all[i], r.deployment.Journal)
		r.addLatency(m, &all[i])
	}
	m.counts.AddDuplicateKeys(r.deployment.Journal)
	m.figures[headroom] = r.usefulShare(all)
	m.figures[maxLinkWait] = float64(r.deployment.MaxLinkQueueTime().Microseconds()) / 1000
	m.figures[generatorLag] = r.lag.percentile(99)
	if r.options.Scenario == LongWork {
		m.figures[holRatio] = r.headOfLine(all)
	}
	if r.scenario.lost != "" {
		m.figures[otherFailures] = float64(r.failuresElsewhere(all))
	}
	r.measureDrains(m)
	r.measureUse(m)
	m.details = r.deployment.Violations()
	m.counts.Violations = len(m.details)
	return m
}

func (r *runner) addLatency(m *measurement, result *deployment.Result) {
	if result.Call.Outcome != fake.Answered || result.IntendedStart < r.scenario.warmUp() {
		return
	}
	key := tenantKey{result.Service, result.Tenant}
	if m.services[key.service] == nil {
		m.services[key.service] = newLatencies()
	}
	if m.tenants[key] == nil {
		m.tenants[key] = newLatencies()
	}
	m.services[key.service].add(result.ResponseTime)
	m.tenants[key].add(result.ResponseTime)
}

// usefulShare returns the answered work as a share of slot capacity, between the
// warm-up and the end of the load. Work counts with its undisturbed time, so
// that a slow upstream does not look useful.
func (r *runner) usefulShare(all []deployment.Result) float64 {
	var work time.Duration
	for i := range all {
		end := all[i].IntendedStart + all[i].ResponseTime
		if all[i].Call.Outcome == fake.Answered && end >= r.scenario.warmUp() && end < r.scenario.duration {
			work += r.deployment.Journal.ServiceTime(all[i].Token)
		}
	}
	slots := 0
	for i := range r.plan.Services {
		slots += r.plan.Services[i].Upstreams * r.plan.Services[i].Slots
	}
	return work.Seconds() / (float64(slots) * (r.scenario.duration - r.scenario.warmUp()).Seconds())
}

// headOfLine returns the p99 of short work in the half with long work over that
// in the half without. The warm-up and a fifth of the second half, in which the
// queues of long work fill, are left out.
func (r *runner) headOfLine(all []deployment.Result) float64 {
	without, with := newLatencies(), newLatencies()
	for i := range all {
		if r.plan.Service(all[i].Service).IsLong() || all[i].Call.Outcome != fake.Answered {
			continue
		}
		switch at := all[i].IntendedStart; {
		case at < r.scenario.warmUp():
		case at < r.scenario.half():
			without.add(all[i].ResponseTime)
		case at >= r.scenario.half()+(r.scenario.duration-r.scenario.half())/5:
			with.add(all[i].ResponseTime)
		}
	}
	return with.percentile(99) / without.percentile(99)
}

// failuresElsewhere counts the requests of other regions that were not answered
// after a region was lost.
func (r *runner) failuresElsewhere(all []deployment.Result) int {
	n := 0
	for i := range all {
		after := all[i].IntendedStart+all[i].ResponseTime >= r.scenario.lostAt
		if after && all[i].Region != r.scenario.lost && all[i].Call.Outcome != fake.Answered {
			n++
		}
	}
	return n
}

// measureDrains checks when drained upstreams got their last new work.
func (r *runner) measureDrains(m *measurement) {
	for id, at := range r.drainedAt {
		last := max(0, r.deployment.Upstream(id).Stats().LastExecutionStart.Sub(at))
		m.figures[drainLast] = max(m.figures[drainLast], last.Seconds())
		if last > maxDrain {
			r.deployment.RecordViolation(fmt.Sprintf("%s got new work %v after its drain", id, last))
		}
	}
}

// measureUse compares the most slots in use with their bounds.
func (r *runner) measureUse(m *measurement) {
	d := r.deployment
	d.CheckSlots()
	for _, u := range d.Upstreams {
		s := u.Stats()
		m.figures[maxSlotUse] = max(m.figures[maxSlotUse], float64(s.MaxConcurrent)/float64(s.Slots))
	}
	for _, region := range r.plan.Regions() {
		slots := 0
		for i := range r.plan.Services {
			slots += r.plan.SlotsInRegion(&r.plan.Services[i], region)
		}
		use := float64(d.Journal.MaxConcurrentInRegion(region)) / float64(slots)
		m.figures[maxRegionUse] = max(m.figures[maxRegionUse], use)
		if use > 1 {
			d.RecordViolation(fmt.Sprintf("region %s had %.3f of its slots in use", region, use))
		}
	}
	for _, s := range r.scenario.steps {
		if shift, ok := s.Action.(ShiftTraffic); ok {
			r.measureShift(m, &shift.Shift)
		}
	}
}

// measureShift compares the most shifted requests at once with the cap.
func (r *runner) measureShift(m *measurement, s *model.Shift) {
	most := r.deployment.Journal.MaxConcurrentInFlow(fake.Flow{Service: s.Service, From: s.From, To: s.To})
	m.figures[maxShiftUse] = float64(most) / float64(s.Cap)
	if most > s.Cap {
		r.deployment.RecordViolation(fmt.Sprintf("shift %s had %d requests at once, cap %d", s.ID, most, s.Cap))
	}
}
