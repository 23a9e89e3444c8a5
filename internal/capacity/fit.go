package capacity

import (
	"errors"
	"math"
)

// Growth is the function of the size in proportion to which a cost grows, such
// as the size itself or its square.
type Growth struct {
	// Name is printed as the unit of the slope.
	Name string
	term func(x float64) float64
}

// Growth functions of the measured mechanisms.
var (
	Linear    = Growth{"n", func(x float64) float64 { return x }}
	Log       = Growth{"log2 n", math.Log2}
	NLogN     = Growth{"n log2 n", func(x float64) float64 { return x * math.Log2(x) }}
	Quadratic = Growth{"n^2", func(x float64) float64 { return x * x }}
)

// Point is the cost Y measured at the size X.
type Point struct {
	X, Y float64
}

// Fit is the line Base + Slope * term(x).
type Fit struct {
	Growth Growth
	Base   float64
	Slope  float64
	// Residual is the root mean square deviation of the measured costs from the
	// line, divided by the mean of the costs.
	Residual float64
}

// ErrTooFewPoints is returned for points of fewer than two different sizes.
var ErrTooFewPoints = errors.New("a fit needs points of at least two sizes")

// FitLine fits a line to the points by least squares.
func FitLine(growth Growth, points []Point) (Fit, error) {
	n := float64(len(points))
	var sumTerm, sumCost float64
	for _, p := range points {
		sumTerm += growth.term(p.X)
		sumCost += p.Y
	}
	meanTerm, meanCost := sumTerm/n, sumCost/n
	var termSquares, termCostProducts float64
	for _, p := range points {
		termDeviation := growth.term(p.X) - meanTerm
		termSquares += termDeviation * termDeviation
		termCostProducts += termDeviation * (p.Y - meanCost)
	}
	if len(points) < 2 || termSquares == 0 {
		return Fit{}, ErrTooFewPoints
	}
	fit := Fit{Growth: growth, Slope: termCostProducts / termSquares}
	fit.Base = meanCost - fit.Slope*meanTerm
	var squaredDeviations float64
	for _, p := range points {
		deviation := p.Y - fit.At(p.X)
		squaredDeviations += deviation * deviation
	}
	if meanCost != 0 {
		fit.Residual = math.Sqrt(squaredDeviations/n) / math.Abs(meanCost)
	}
	return fit, nil
}

// At returns the fitted cost at a size.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*f.Growth.term(x) }
