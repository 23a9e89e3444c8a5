package capacity

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	slopes       = flag.Bool("slopes", false, "measure all series and print their slopes")
	seriesPrefix = flag.String("series", "", "with -slopes, measure only the series whose names begin with this")
)

// TestSlopes measures all series and prints the table of measured slopes in
// docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("measures for minutes; run with -slopes")
	}
	fmt.Print(MarkdownHeader)
	for _, s := range AllSeries() {
		if !strings.HasPrefix(s.Name, *seriesPrefix) {
			continue
		}
		rows, err := Measure(&s)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			if err := r.WriteMarkdown(os.Stdout); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// BenchmarkSeries runs each series at each of its sizes.
func BenchmarkSeries(b *testing.B) {
	for _, s := range AllSeries() {
		for _, n := range s.Sizes {
			b.Run(fmt.Sprintf("%s/%s=%d", s.Name, s.Variable, n), func(b *testing.B) { s.Bench(b, n) })
		}
	}
}

// Guards against a fit that differs from the line on which all points lie. Also
// guards against a wrong residual for points that do not lie on one line.
func TestFitLine(t *testing.T) {
	g := NewWithT(t)
	for _, growth := range []Growth{Linear, Log, NLogN, Quadratic} {
		var points []Point
		for _, x := range []float64{2, 16, 64, 1024} {
			points = append(points, Point{x, 7 + 3*growth.term(x)})
		}
		f, err := FitLine(growth, points)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.Base).To(BeNumerically("~", 7, 1e-6), growth.Name)
		g.Expect(f.Slope).To(BeNumerically("~", 3, 1e-9), growth.Name)
		g.Expect(f.Residual).To(BeNumerically("<", 1e-9), growth.Name)
		g.Expect(f.At(4)).To(BeNumerically("~", 7+3*growth.term(4), 1e-6), growth.Name)
	}
	// The least-squares line of these points is y = 2. Their distances from it are
	// 1, 2 and 1, so the residual is sqrt((1+4+1)/3) / 2 = 0.7071.
	f, err := FitLine(Linear, []Point{{0, 1}, {1, 4}, {2, 1}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Base).To(BeNumerically("~", 2, 1e-9))
	g.Expect(f.Slope).To(BeNumerically("~", 0, 1e-9))
	g.Expect(f.Residual).To(BeNumerically("~", 0.7071, 1e-4))
	_, err = FitLine(Linear, []Point{{5, 1}, {5, 2}})
	g.Expect(err).To(MatchError(ErrTooFewPoints))
}

// Runs the benchmark of each series at its smallest size. Guards against a
// benchmark that fails or does not report one of its metrics, for example because
// the simulation was not adapted to a change of the code that it measures.
func TestSeriesRunAtTheirSmallestSize(t *testing.T) {
	g := NewWithT(t)
	benchtime := flag.Lookup("test.benchtime")
	defer func(old string) { g.Expect(benchtime.Value.Set(old)).To(Succeed()) }(benchtime.Value.String())
	g.Expect(benchtime.Value.Set("2x")).To(Succeed())
	for _, s := range AllSeries() {
		r := testing.Benchmark(func(b *testing.B) { s.Bench(b, s.Sizes[0]) })
		g.Expect(r.N).To(BeNumerically(">", 0), s.Name)
		for _, m := range s.Metrics {
			if m.Unit != "ns/op" {
				g.Expect(r.Extra).To(HaveKey(m.Unit), s.Name)
			}
		}
	}
}
