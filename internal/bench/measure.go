package bench

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
	"github.com/anvilcrank/anvilcrank/internal/fake"
	"github.com/anvilcrank/anvilcrank/pkg/model"
)

// Names of the metrics of a run in the JSON output. Some names abbreviate the
// names of their constants.
const (
	metricHeadroom            = "headroom"
	metricDrainDelay          = "drain_last_new_work_s"
	metricHeadOfLineRatio     = "hol_ratio"
	metricMaxSlotUse          = "max_slot_use"
	metricMaxRegionUse        = "max_region_use"
	metricMaxShiftUse         = "max_shift_use"
	metricOtherRegionFailures = "other_region_failures"
	metricMaxLinkWait         = "max_link_wait_ms"
	metricCPUCores            = "cpu_cores"
	metricGeneratorLag        = "generator_lag_p99_ms"
	// maxRecordedLatency is the highest value of the latency histograms. Longer
	// latencies are recorded as this value.
	maxRecordedLatency = time.Minute
	// significantDigits is the number of significant decimal digits to which the
	// latency histograms are exact.
	significantDigits = 3
)

// maxDrainDelay is how long an upstream may still receive new requests after it
// has announced its drain. docs/design.md requires this limit.
const maxDrainDelay = 3 * time.Second

// latencyHistogram holds latencies in microseconds.
type latencyHistogram struct{ histogram *hdrhistogram.Histogram }

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hdrhistogram.New(1, maxRecordedLatency.Microseconds(), significantDigits)}
}

func (l *latencyHistogram) record(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d, time.Microsecond), maxRecordedLatency).Microseconds())
}

// percentileMs returns the p-th percentile of the latencies in milliseconds; p is
// between 0 and 100.
func (l *latencyHistogram) percentileMs(p float64) float64 {
	return float64(l.histogram.ValueAtPercentile(p)) / 1000
}

// measurement holds the counts, metrics, latencies and violations of one run.
type measurement struct {
	counts  deployment.Counts
	metrics map[string]float64
	// serviceLatencies and tenantLatencies hold the latencies of answered requests
	// that were sent after the warm-up.
	serviceLatencies map[model.ServiceName]*latencyHistogram
	tenantLatencies  map[tenantKey]*latencyHistogram
	violations       []string
}

// tenantKey identifies the requests of one tenant to one service.
type tenantKey struct {
	service model.ServiceName
	tenant  model.Tenant
}

// measure computes the metrics of a run. It compares the outcome of each request
// at its caller with the executions of the request in the journal, in which all
// upstreams record what they execute.
func (r *runner) measure(results []deployment.Result) *measurement {
	m := &measurement{
		metrics:          map[string]float64{},
		serviceLatencies: map[model.ServiceName]*latencyHistogram{},
		tenantLatencies:  map[tenantKey]*latencyHistogram{},
	}
	for i := range results {
		m.counts.Add(&results[i], r.deployment.Journal)
		r.recordLatency(m, &results[i])
	}
	m.counts.AddDuplicateKeys(r.deployment.Journal)
	m.metrics[metricHeadroom] = r.usefulUtilization(results)
	m.metrics[metricMaxLinkWait] = float64(r.deployment.MaxLinkQueueTime().Microseconds()) / 1000
	m.metrics[metricGeneratorLag] = r.sendLag.percentileMs(99)
	if r.options.Scenario == ScenarioLongWork {
		m.metrics[metricHeadOfLineRatio] = r.headOfLineRatio(results)
	}
	if r.scenario.lostRegion != "" {
		m.metrics[metricOtherRegionFailures] = float64(r.otherRegionFailures(results))
	}
	r.measureDrains(m)
	r.measureSlotUse(m)
	m.violations = r.deployment.Violations()
	m.counts.Violations = len(m.violations)
	return m
}

// recordLatency adds the latency of an answered request to the histograms of its
// service and tenant, unless the request belongs to the warm-up.
func (r *runner) recordLatency(m *measurement, result *deployment.Result) {
	if result.Call.Outcome != fake.Answered || result.IntendedStart < r.scenario.warmUp() {
		return
	}
	key := tenantKey{result.Service, result.Tenant}
	if m.serviceLatencies[key.service] == nil {
		m.serviceLatencies[key.service] = newLatencyHistogram()
	}
	if m.tenantLatencies[key] == nil {
		m.tenantLatencies[key] = newLatencyHistogram()
	}
	m.serviceLatencies[key.service].record(result.ResponseTime)
	m.tenantLatencies[key].record(result.ResponseTime)
}

// usefulUtilization returns the share of the slot capacity of all upstreams that
// was used for answered requests between the end of the warm-up and the end of
// the load. It adds up the service times of the requests that ended in this time.
// Service times do not include slowdowns, so slow upstreams do not raise the
// share.
func (r *runner) usefulUtilization(results []deployment.Result) float64 {
	var usefulWork time.Duration
	for i := range results {
		end := results[i].IntendedStart + results[i].ResponseTime
		if results[i].Call.Outcome == fake.Answered && end >= r.scenario.warmUp() && end < r.scenario.duration {
			usefulWork += r.deployment.Journal.ServiceTime(results[i].Token)
		}
	}
	slots := 0
	for i := range r.plan.Services {
		slots += r.plan.Services[i].Upstreams * r.plan.Services[i].Slots
	}
	return usefulWork.Seconds() / (float64(slots) * (r.scenario.duration - r.scenario.warmUp()).Seconds())
}

// headOfLineRatio measures how much long requests delay short ones in
// ScenarioLongWork. There are no long requests before the midpoint of the
// scenario. The ratio is the p99 latency of short requests after the midpoint,
// divided by their p99 latency before the midpoint. It leaves out the warm-up and
// the first fifth of the time after the midpoint, in which the queues of long
// requests fill.
func (r *runner) headOfLineRatio(results []deployment.Result) float64 {
	shortOnly, withLong := newLatencyHistogram(), newLatencyHistogram()
	for i := range results {
		if r.plan.Service(results[i].Service).IsLong() || results[i].Call.Outcome != fake.Answered {
			continue
		}
		switch at := results[i].IntendedStart; {
		case at < r.scenario.warmUp():
		case at < r.scenario.midpoint():
			shortOnly.record(results[i].ResponseTime)
		case at >= r.scenario.midpoint()+(r.scenario.duration-r.scenario.midpoint())/5:
			withLong.record(results[i].ResponseTime)
		}
	}
	return withLong.percentileMs(99) / shortOnly.percentileMs(99)
}

// otherRegionFailures counts the requests that ended without an answer after a
// region was lost, although their callers are in other regions.
func (r *runner) otherRegionFailures(results []deployment.Result) int {
	count := 0
	for i := range results {
		endedAfterLoss := results[i].IntendedStart+results[i].ResponseTime >= r.scenario.lostAt
		if endedAfterLoss && results[i].Region != r.scenario.lostRegion && results[i].Call.Outcome != fake.Answered {
			count++
		}
	}
	return count
}

// measureDrains measures, for each drained upstream, the time from its drain
// announcement until it last began to execute a request. It stores the longest of
// these times as a metric, and records a violation for each that exceeds
// maxDrainDelay.
func (r *runner) measureDrains(m *measurement) {
	for id, drainedAt := range r.drainedAt {
		delay := max(0, r.deployment.Upstream(id).Stats().LastExecutionStart.Sub(drainedAt))
		m.metrics[metricDrainDelay] = max(m.metrics[metricDrainDelay], delay.Seconds())
		if delay > maxDrainDelay {
			r.deployment.RecordViolation(fmt.Sprintf("%s received new work %v after it announced its drain", id, delay))
		}
	}
}

// measureSlotUse computes, for each upstream and for each region, the highest
// number of slots in use at the same time as a share of all its slots. It stores
// the highest share of an upstream and of a region, and measures the traffic
// shifts.
func (r *runner) measureSlotUse(m *measurement) {
	d := r.deployment
	d.CheckSlots()
	for _, u := range d.Upstreams {
		stats := u.Stats()
		m.metrics[metricMaxSlotUse] = max(m.metrics[metricMaxSlotUse], float64(stats.MaxConcurrent)/float64(stats.Slots))
	}
	for _, region := range r.plan.Regions() {
		slots := 0
		for i := range r.plan.Services {
			slots += r.plan.SlotsInRegion(&r.plan.Services[i], region)
		}
		utilization := float64(d.Journal.MaxConcurrentInRegion(region)) / float64(slots)
		m.metrics[metricMaxRegionUse] = max(m.metrics[metricMaxRegionUse], utilization)
		if utilization > 1 {
			d.RecordViolation(fmt.Sprintf("region %s had %.3f times its slots in use", region, utilization))
		}
	}
	for _, step := range r.scenario.steps {
		if shift, ok := step.Action.(ShiftTraffic); ok {
			r.measureShift(m, &shift.Shift)
		}
	}
}

// measureShift compares the highest number of concurrently executed requests of a
// traffic shift with the cap of the shift.
func (r *runner) measureShift(m *measurement, shift *model.Shift) {
	maxInFlight := r.deployment.Journal.MaxConcurrentInFlow(fake.Flow{Service: shift.Service, From: shift.From, To: shift.To})
	m.metrics[metricMaxShiftUse] = float64(maxInFlight) / float64(shift.Cap)
	if maxInFlight > shift.Cap {
		r.deployment.RecordViolation(fmt.Sprintf("shift %s had %d requests in flight, cap %d", shift.ID, maxInFlight, shift.Cap))
	}
}
