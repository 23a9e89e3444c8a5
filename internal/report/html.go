package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
	// barGroupWidth is the total width of the bars of one scenario, in points.
	barGroupWidth = 48
)

// policyColors are the bar colors of the policies, in the order in which the
// policies first occur in the rows of the report.
var policyColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x7b, B: 0x1c, A: 0xff},
	color.RGBA{R: 0x5a, G: 0x9a, B: 0x3c, A: 0xff},
}

// chart shows one metric of a deployment. It has a group of bars for each scenario,
// with one bar for each policy.
type chart struct {
	Title string
	// SVG is inserted into the page without escaping. That is safe because the
	// plotting library generates it and it contains no text from callers.
	SVG template.HTML
}

// section is the part of the page for one deployment. Its table has the column
// titles Header and the rows Cells.
type section struct {
	Name   string
	Charts []chart
	Header []string
	Cells  [][]string
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>anvilcrank measurements</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}
td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}td:first-child,td:nth-child(2){text-align:left}</style></head><body>
<h1>anvilcrank measurements</h1>
<p>Started {{.Started}}; medians of {{.Seeds}} seeds; of counts that must be 0, the value of the worst seed.</p>
{{range .Sections}}<h2>{{.Name}}</h2>
{{range .Charts}}<h3>{{.Title}}</h3>
{{.SVG}}
{{end}}<table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Cells}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}</body></html>
`))

// WriteHTML writes the report as one HTML page that refers to no other file.
func (r *Report) WriteHTML(w io.Writer) error {
	var sections []section
	for _, deployment := range r.distinctValues(func(row *Row) string { return row.Deployment }) {
		s, err := r.buildSection(deployment)
		if err != nil {
			return err
		}
		sections = append(sections, s)
	}
	return pageTemplate.Execute(w, map[string]any{
		"Started":  r.Started.Format("2006-01-02 15:04 MST"),
		"Seeds":    r.NumSeeds,
		"Sections": sections,
	})
}

// distinctValues calls value for each row of the report. It returns the distinct
// results, in the order of their first occurrence.
func (r *Report) distinctValues(value func(*Row) string) []string {
	var values []string
	for i := range r.Rows {
		if v := value(&r.Rows[i]); !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	return values
}

// tableMetrics are the metrics that are columns of the table of each deployment.
var tableMetrics = []string{"answered", "refused_not_run", "outcome_unknown", "lost", "wrong_answers", "duplicate_runs",
	"false_not_run", "cut_off", "violations", "headroom", "drain_last_new_work_s", "hol_ratio", "max_slot_use", "max_region_use"}

// buildSection returns the section of a deployment. It has a chart for each of these
// metrics: the headroom, the drain delay, the head-of-line ratio and the latency
// percentiles of each service. A chart is left out if no row of the deployment has
// its metric.
func (r *Report) buildSection(deployment string) (section, error) {
	s := section{Name: deployment, Header: append([]string{"scenario", "policy"}, tableMetrics...)}
	chartMetrics := []string{"headroom", "drain_last_new_work_s", "hol_ratio"}
	for i := range r.Rows {
		row := &r.Rows[i]
		if row.Deployment != deployment {
			continue
		}
		cells := []string{row.Scenario, row.Policy}
		for _, metric := range tableMetrics {
			cells = append(cells, metricText(row, metric))
		}
		s.Cells = append(s.Cells, cells)
		for _, service := range row.Summary.ServiceNames() {
			for _, percentile := range []string{"p50_ms", "p99_ms", "p999_ms"} {
				if metric := "services." + service + "." + percentile; !slices.Contains(chartMetrics, metric) {
					chartMetrics = append(chartMetrics, metric)
				}
			}
		}
	}
	for _, metric := range chartMetrics {
		c, ok, err := r.drawChart(deployment, metric)
		if err != nil {
			return s, err
		}
		if ok {
			s.Charts = append(s.Charts, c)
		}
	}
	return s, nil
}

// metricText returns the text of a metric in the table, or "" if the runs of the row
// did not measure it.
func metricText(row *Row, metric string) string {
	v, ok := row.Summary.Value(metric)
	if !ok {
		return ""
	}
	return fmt.Sprintf("%.4g", v)
}

// drawChart draws the chart of one metric of a deployment. It returns false if no
// row of the deployment has the metric.
func (r *Report) drawChart(deployment, metric string) (chart, bool, error) {
	scenarios := r.distinctValues(func(row *Row) string { return row.Scenario })
	policies := r.distinctValues(func(row *Row) string { return row.Policy })
	p := plot.New()
	p.Y.Min = 0
	p.Legend.Top = true
	found := false
	width := vg.Points(barGroupWidth / float64(len(policies)))
	for policyIndex, policy := range policies {
		values := make(plotter.Values, len(scenarios))
		for i := range r.Rows {
			row := &r.Rows[i]
			if row.Deployment != deployment || row.Policy != policy {
				continue
			}
			if v, ok := row.Summary.Value(metric); ok {
				values[slices.Index(scenarios, row.Scenario)] = v
				found = true
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return chart{}, false, fmt.Errorf("chart %s: %w", metric, err)
		}
		bars.Color = policyColors[policyIndex%len(policyColors)]
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(2*policyIndex-len(policies)+1) / 2
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	if !found {
		return chart{}, false, nil
	}
	p.NominalX(scenarios...)
	svg, err := renderSVG(p)
	return chart{Title: strings.TrimPrefix(metric, "services."), SVG: svg}, true, err
}

// renderSVG returns the plot as an svg element for the HTML page. It removes what
// the plotting library writes before this element, such as the XML declaration.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("render plot as SVG: %w", err)
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
