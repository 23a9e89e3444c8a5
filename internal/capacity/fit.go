package capacity

import (
	"errors"
	"math"
)

// Growth is how a cost depends on the size of a deployment.
type Growth struct {
	// Name is printed as the unit of the slope.
	Name string
	term func(x float64) float64
}

// Growths that the mechanisms show.
var (
	Linear    = Growth{"n", func(x float64) float64 { return x }}
	Log       = Growth{"log2 n", math.Log2}
	NLogN     = Growth{"n log2 n", func(x float64) float64 { return x * math.Log2(x) }}
	Quadratic = Growth{"n^2", func(x float64) float64 { return x * x }}
)

// Point is a cost measured at a size.
type Point struct {
	X, Y float64
}

// Fit is the line Base + Slope * term(x).
type Fit struct {
	Growth Growth
	Base   float64
	Slope  float64
	// Residual is the root mean square of the deviations, as a share of the
	// mean of the measured costs.
	Residual float64
}

// ErrTooFewPoints reports points that determine no line.
var ErrTooFewPoints = errors.New("a fit needs points of two sizes")

// FitLine fits a line by least squares.
func FitLine(g Growth, points []Point) (Fit, error) {
	n := float64(len(points))
	var sumT, sumY float64
	for _, p := range points {
		sumT += g.term(p.X)
		sumY += p.Y
	}
	meanT, meanY := sumT/n, sumY/n
	var tt, ty float64
	for _, p := range points {
		d := g.term(p.X) - meanT
		tt += d * d
		ty += d * (p.Y - meanY)
	}
	if len(points) < 2 || tt == 0 {
		return Fit{}, ErrTooFewPoints
	}
	f := Fit{Growth: g, Slope: ty / tt}
	f.Base = meanY - f.Slope*meanT
	var squares float64
	for _, p := range points {
		d := p.Y - f.At(p.X)
		squares += d * d
	}
	if meanY != 0 {
		f.Residual = math.Sqrt(squares/n) / math.Abs(meanY)
	}
	return f, nil
}

// At returns the cost at a size.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*f.Growth.term(x) }
