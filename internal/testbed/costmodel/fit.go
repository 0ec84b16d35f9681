package costmodel

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a curve through measured points, and how far the points lie from it.
type Fit struct {
	Power  Curve   `json:"power"`  // Scale * size^Slope
	Linear Curve   `json:"linear"` // Scale + Slope * size
	From   float64 `json:"from"`   // the range that was measured; all beyond it is extrapolated
	To     float64 `json:"to"`
	Points int     `json:"points"`
}

// Curve is one form of a fit.
type Curve struct {
	Scale    float64 `json:"scale"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // largest distance of a point from the curve, as a part of the point
}

// minPoints is the number of sizes below which no curve is fitted.
const minPoints = 4

// TooFewPointsError says that a curve was asked for with too few sizes.
type TooFewPointsError struct{ Points int }

// Error says how many there are and how many are needed.
func (e TooFewPointsError) Error() string {
	return fmt.Sprintf("a slope needs figures at %d sizes, there are %d", minPoints, e.Points)
}

// ErrNotPositive says that a size or a figure is not above 0.
var ErrNotPositive = errors.New("a slope needs sizes and figures above 0")

// FitPoints fits a power law (least squares on logarithms) and a line through points of positive sizes.
func FitPoints(points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, TooFewPointsError{len(points)}
	}
	var sizes, values, logSizes, logValues []float64
	for _, p := range points {
		if p.Size <= 0 || p.Value <= 0 {
			return Fit{}, fmt.Errorf("%w: %v at %v", ErrNotPositive, p.Value, p.Size)
		}
		sizes, values = append(sizes, p.Size), append(values, p.Value)
		logSizes, logValues = append(logSizes, math.Log(p.Size)), append(logValues, math.Log(p.Value))
	}
	fit := Fit{From: sizes[0], To: sizes[0], Points: len(points)}
	for _, size := range sizes {
		fit.From, fit.To = min(fit.From, size), max(fit.To, size)
	}
	fit.Linear.Scale, fit.Linear.Slope = stat.LinearRegression(sizes, values, nil, false)
	logScale, exponent := stat.LinearRegression(logSizes, logValues, nil, false)
	fit.Power.Scale, fit.Power.Slope = math.Exp(logScale), exponent
	for i, size := range sizes {
		power := fit.Power.Scale * math.Pow(size, exponent)
		line := fit.Linear.Scale + fit.Linear.Slope*size
		fit.Power.Residual = max(fit.Power.Residual, math.Abs(power/values[i]-1))
		fit.Linear.Residual = max(fit.Linear.Residual, math.Abs(line/values[i]-1))
	}
	return fit, nil
}

// String spells the curve that lies closer to the points.
func (f Fit) String() string {
	if f.Power.Residual <= f.Linear.Residual {
		return fmt.Sprintf("%.4g * size^%.3f, residual %.0f %%, measured %g to %g",
			f.Power.Scale, f.Power.Slope, 100*f.Power.Residual, f.From, f.To)
	}
	return fmt.Sprintf("%.4g + %.4g * size (exponent %.3f), residual %.0f %%, measured %g to %g",
		f.Linear.Scale, f.Linear.Slope, f.Power.Slope, 100*f.Linear.Residual, f.From, f.To)
}
