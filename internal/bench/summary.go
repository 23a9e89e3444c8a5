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

// Summary holds the figures of all seeds.
type Summary struct {
	options *Options
	// values lists the figure of each run by its name; names with dots are
	// nested objects in JSON.
	values  map[string][]float64
	codes   map[string]int
	details []string
}

// neverNames are counts of what must never happen. The worst seed is reported,
// since a median would hide it.
var neverNames = []string{"lost", "wrong_answers", "duplicate_runs", "false_not_run", "cut_off", "violations"}

// alwaysNames are reported as null if the scenario does not measure them.
var alwaysNames = []string{headroom, drainLast, holRatio, maxSlotUse, maxRegionUse}

var percentiles = []struct {
	name string
	at   float64
}{{"p50_ms", 50}, {"p99_ms", 99}, {"p999_ms", 99.9}}

func newSummary(o *Options) *Summary {
	return &Summary{options: o, values: map[string][]float64{}, codes: map[string]int{}}
}

// add takes the figures of one run.
func (s *Summary) add(m *measurement) {
	s.addCounts(&m.counts)
	for name, v := range m.figures {
		s.put(name, v)
	}
	for name, l := range m.services {
		s.addLatencies("services."+string(name), l)
	}
	for key, l := range m.tenants {
		s.addLatencies(fmt.Sprintf("services.%s.tenants.%s", key.service, key.tenant), l)
	}
	s.details = append(s.details, m.details...)
}

func (s *Summary) addCounts(c *deployment.Counts) {
	s.put("requests", float64(c.Requests))
	s.put("answered", float64(c.Answered))
	s.put("refused_not_run", float64(c.NotExecuted))
	s.put("outcome_unknown", float64(c.OutcomeUnknown))
	s.put("broken_by_fault", float64(c.BrokenByFault))
	for i, v := range []int{c.Lost, c.WrongResponses, c.DuplicateExecutions, c.FalseNotExecuted, c.Truncated, c.Violations} {
		s.put(neverNames[i], float64(v))
	}
	for code, n := range c.Codes {
		s.codes[code] += n
	}
}

func (s *Summary) addLatencies(prefix string, l *latencies) {
	for _, p := range percentiles {
		s.put(prefix+"."+p.name, l.percentile(p.at))
	}
}

func (s *Summary) put(name string, v float64) { s.values[name] = append(s.values[name], v) }

// FailedNames lists the counts of what must never happen that are not 0.
func (s *Summary) FailedNames() []string {
	var names []string
	for _, name := range neverNames {
		if v, _ := s.Value(name); v > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Value returns the reported figure of a name: the median, or the worst seed for
// what must never happen.
func (s *Summary) Value(name string) (float64, bool) {
	list := s.values[name]
	if len(list) == 0 {
		return 0, false
	}
	if slices.Contains(neverNames, name) {
		return slices.Max(list), true
	}
	return median(list), true
}

func median(list []float64) float64 {
	sorted := slices.Clone(list)
	sort.Float64s(sorted)
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// MarshalJSON gives one object with a value for each figure and, under spread,
// the least and the greatest one of the seeds.
func (s *Summary) MarshalJSON() ([]byte, error) {
	out := map[string]any{
		"name":     s.options.Name,
		"policy":   s.options.Policy,
		"scenario": s.options.Scenario,
		"seed":     s.options.Seed,
		"seeds":    s.options.Seeds,
		"codes":    s.codes,
		"details":  s.details,
	}
	for _, name := range alwaysNames {
		out[name] = nil
	}
	spread := map[string]any{}
	for name, list := range s.values {
		v, _ := s.Value(name)
		setNested(out, name, round(v))
		setNested(spread, name, map[string]float64{"min": round(slices.Min(list)), "max": round(slices.Max(list))})
	}
	out["spread"] = spread
	return json.Marshal(out)
}

// WriteTable writes the figures for people.
func (s *Summary) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s %s %s, %d seeds from %d\tvalue\tmin\tmax\n", s.options.Name, s.options.Policy, s.options.Scenario, s.options.Seeds, s.options.Seed)
	names := make([]string, 0, len(s.values))
	for name := range s.values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		v, _ := s.Value(name)
		list := s.values[name]
		fmt.Fprintf(t, "%s\t%v\t%v\t%v\n", name, round(v), round(slices.Min(list)), round(slices.Max(list)))
	}
	for _, d := range s.details {
		fmt.Fprintf(t, "violation: %s\n", d)
	}
	return t.Flush()
}
