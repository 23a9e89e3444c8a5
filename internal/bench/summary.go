package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"

	"github.com/anvilcrank/anvilcrank/internal/deployment"
)

// Summary holds the metrics of all runs of a benchmark.
type Summary struct {
	options *Options
	// values maps the name of a metric to its value in each run. Dots in a name
	// separate the keys of nested objects in JSON.
	values map[string][]float64
	// resultCodes counts the responses that instances produced themselves, by
	// result code and over all runs.
	resultCodes map[string]int
	violations  []string
}

// zeroMetrics are the counts that must be 0 in each run. Of each count, the highest
// value of all runs is reported, since a median would hide a single failed run.
var zeroMetrics = []string{"lost", "wrong_answers", "duplicate_runs", "false_not_run", "cut_off", "violations"}

// nullableMetrics are reported as null if the scenario does not measure them.
var nullableMetrics = []string{metricHeadroom, metricDrainDelay, metricHeadOfLineRatio, metricMaxSlotUse,
	metricMaxRegionUse}

// percentiles are the reported percentiles of latencies. The suffix of a percentile
// is the last part of the names of its metrics.
var percentiles = []struct {
	suffix     string
	percentile float64
}{{"p50_ms", 50}, {"p99_ms", 99}, {"p999_ms", 99.9}}

func newSummary(o *Options) *Summary {
	return &Summary{options: o, values: map[string][]float64{}, resultCodes: map[string]int{}}
}

// addRun adds the metrics and violations of one run to the summary.
func (s *Summary) addRun(m *measurement) {
	s.addCounts(&m.counts)
	for name, v := range m.metrics {
		s.addValue(name, v)
	}
	for name, l := range m.serviceLatencies {
		s.addLatencies("services."+string(name), l)
	}
	for key, l := range m.tenantLatencies {
		s.addLatencies(fmt.Sprintf("services.%s.tenants.%s", key.service, key.tenant), l)
	}
	s.violations = append(s.violations, m.violations...)
}

func (s *Summary) addCounts(c *deployment.Counts) {
	s.addValue("requests", float64(c.Requests))
	s.addValue("answered", float64(c.Answered))
	s.addValue("refused_not_run", float64(c.NotExecuted))
	s.addValue("outcome_unknown", float64(c.OutcomeUnknown))
	s.addValue("broken_by_fault", float64(c.BrokenByFault))
	for i, v := range []int{c.Lost, c.WrongResponses, c.DuplicateExecutions, c.FalseNotExecuted, c.Truncated, c.Violations} {
		s.addValue(zeroMetrics[i], float64(v))
	}
	for code, n := range c.Codes {
		s.resultCodes[code] += n
	}
}

func (s *Summary) addLatencies(prefix string, l *latencyHistogram) {
	for _, p := range percentiles {
		s.addValue(prefix+"."+p.suffix, l.percentileMs(p.percentile))
	}
}

func (s *Summary) addValue(name string, v float64) { s.values[name] = append(s.values[name], v) }

// FailedMetrics returns the names of the metrics that must be 0 but are not.
func (s *Summary) FailedMetrics() []string {
	var names []string
	for _, name := range zeroMetrics {
		if v, _ := s.Value(name); v > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Value returns the reported value of a metric: the highest value of all runs for a
// count that must be 0, else the median. It reports false if no run measured the
// metric.
func (s *Summary) Value(name string) (float64, bool) {
	values := s.values[name]
	if len(values) == 0 {
		return 0, false
	}
	if slices.Contains(zeroMetrics, name) {
		return slices.Max(values), true
	}
	return median(values), true
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	sort.Float64s(sorted)
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// MarshalJSON encodes the summary as one object with the reported value of each
// metric. The nested object "spread" holds the lowest and the highest value of each
// metric in all runs.
func (s *Summary) MarshalJSON() ([]byte, error) {
	out := map[string]any{
		"name":     s.options.Deployment,
		"policy":   s.options.Policy,
		"scenario": s.options.Scenario,
		"seed":     s.options.FirstSeed,
		"seeds":    s.options.NumSeeds,
		"codes":    s.resultCodes,
		"details":  s.violations,
	}
	for _, name := range nullableMetrics {
		out[name] = nil
	}
	spread := map[string]any{}
	for name, values := range s.values {
		v, _ := s.Value(name)
		setNested(out, name, roundThousandths(v))
		setNested(spread, name, map[string]float64{"min": roundThousandths(slices.Min(values)), "max": roundThousandths(slices.Max(values))})
	}
	out["spread"] = spread
	return json.Marshal(out)
}

// WriteTable writes the metrics as a text table, followed by the violations.
func (s *Summary) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%s %s %s, %d seeds from %d\tvalue\tmin\tmax\n", s.options.Deployment, s.options.Policy, s.options.Scenario, s.options.NumSeeds, s.options.FirstSeed)
	names := make([]string, 0, len(s.values))
	for name := range s.values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		v, _ := s.Value(name)
		values := s.values[name]
		fmt.Fprintf(table, "%s\t%v\t%v\t%v\n", name, roundThousandths(v), roundThousandths(slices.Min(values)), roundThousandths(slices.Max(values)))
	}
	for _, d := range s.violations {
		fmt.Fprintf(table, "violation: %s\n", d)
	}
	return table.Flush()
}
