package capacity

import (
	"fmt"
	"io"
	"slices"
	"testing"
)

// Metric is one cost that a series measures, such as time or bytes.
type Metric struct {
	// Unit is "ns/op" or a unit that the benchmark passes to
	// testing.B.ReportMetric.
	Unit string
	// Growth is the function of the size to which the costs are fitted.
	Growth Growth
}

// Series describes the measurement of one mechanism at several sizes, such as
// several numbers of instances.
type Series struct {
	Name string
	// Variable names what Sizes counts, for example "nodes" for instances.
	Variable string
	// Sizes lists the sizes at which the series measures.
	Sizes []int
	// DesignSize is the size at the design scale of docs/design.md.
	// docs/CAPACITY.md states the cost at this size. If DesignSize is not in
	// Sizes, this cost is extrapolated.
	DesignSize int
	Metrics    []Metric
	// Bench runs the benchmark at one size.
	Bench func(b *testing.B, size int)
}

// InstanceCounts lists the numbers of instances at which most series measure.
var InstanceCounts = []int{50, 200, 800, 1600}

// DesignInstances is the number of instances at the design scale of docs/design.md.
const DesignInstances = 4800

// AllSeries lists all series, in the order of the table in docs/CAPACITY.md.
func AllSeries() []Series {
	return slices.Concat(blockSeries(), instanceSeries(), memberSeries(), distributionSeries(), groupSeries())
}

// Row holds the measured costs of one metric of a series and the line that is
// fitted to them.
type Row struct {
	Series *Series
	Metric Metric
	Points []Point
	Fit    Fit
}

// Measure runs the benchmark of a series at each size. It returns a row with the
// measured costs and the fitted line for each metric.
func Measure(s *Series) ([]Row, error) {
	rows := make([]Row, len(s.Metrics))
	for i, m := range s.Metrics {
		rows[i] = Row{Series: s, Metric: m}
	}
	for _, size := range s.Sizes {
		r := testing.Benchmark(func(b *testing.B) { s.Bench(b, size) })
		if r.N == 0 {
			return nil, fmt.Errorf("series %s failed at %d", s.Name, size)
		}
		for i, m := range s.Metrics {
			rows[i].Points = append(rows[i].Points, Point{float64(size), metricValue(&r, m.Unit)})
		}
	}
	for i := range rows {
		var err error
		if rows[i].Fit, err = FitLine(rows[i].Metric.Growth, rows[i].Points); err != nil {
			return nil, fmt.Errorf("series %s, %s: %w", s.Name, rows[i].Metric.Unit, err)
		}
	}
	return rows, nil
}

// metricValue returns the value that a benchmark result has for the metric with
// this unit.
func metricValue(r *testing.BenchmarkResult, unit string) float64 {
	if unit == "ns/op" {
		return float64(r.T.Nanoseconds()) / float64(r.N)
	}
	return r.Extra[unit]
}

// WriteMarkdown writes the row as a line of a Markdown table.
func (r *Row) WriteMarkdown(w io.Writer) error {
	measured := ""
	for i, p := range r.Points {
		if i > 0 {
			measured += ", "
		}
		measured += fmt.Sprintf("%.0f: %.4g", p.X, p.Y)
	}
	method := "extrapolated"
	if slices.Contains(r.Series.Sizes, r.Series.DesignSize) {
		method = "inside the fit"
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %.4g + %.4g * %s | %.1f%% | %d %s: %.4g (%s) |\n",
		r.Series.Name, r.Metric.Unit, measured, r.Fit.Base, r.Fit.Slope, r.Fit.Growth.Name, 100*r.Fit.Residual,
		r.Series.DesignSize, r.Series.Variable, r.Fit.At(float64(r.Series.DesignSize)), method)
	return err
}

// MarkdownHeader is the header of the Markdown table. Row.WriteMarkdown writes its
// other lines.
const MarkdownHeader = "| series | metric | measured | fit | residual | at the design scale |\n|---|---|---|---|---|---|\n"
