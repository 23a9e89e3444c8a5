package capacity

import (
	"errors"
	"math"
)

// Growth is a function of a size, such as the number of instances. Apart from a
// constant part, a cost is proportional to its growth function, for example to the
// size itself or to its square.
type Growth struct {
	// Name is the formula of the function, which is printed after the slope of a
	// fitted line.
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

// Point is the cost Y that was measured at the size X.
type Point struct {
	X, Y float64
}

// Fit is the fitted line of a cost: Base + Slope * term(x) at the size x, where
// term is the function of Growth.
type Fit struct {
	Growth Growth
	Base   float64
	Slope  float64
	// Residual is the root mean square of the differences between the measured
	// costs and the line, divided by the mean of the measured costs.
	Residual float64
}

// ErrTooFewPoints is returned by FitLine if the points have fewer than two
// different sizes, since these do not determine a line.
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

// At returns the cost that the fitted line has at the size x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*f.Growth.term(x) }
