package costmodel

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit contains a power law and a line that are fitted to measured points.
type Fit struct {
	Power  Curve   `json:"power"`  // Scale * size^Slope
	Linear Curve   `json:"linear"` // Scale + Slope * size
	From   float64 `json:"from"`   // smallest measured size; the curves extrapolate outside From to To
	To     float64 `json:"to"`     // largest measured size
	Points int     `json:"points"`
}

// Curve contains the parameters of a fitted curve.
type Curve struct {
	Scale    float64 `json:"scale"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // largest relative deviation of the curve from a point
}

// minPoints is the minimum number of points to fit a curve.
const minPoints = 4

// TooFewPointsError is returned by FitPoints for fewer than minPoints points.
type TooFewPointsError struct{ Points int }

// Error returns the number of points and the required number.
func (e TooFewPointsError) Error() string {
	return fmt.Sprintf("a curve needs points at %d sizes, got %d", minPoints, e.Points)
}

// ErrNotPositive is returned by FitPoints if a size or a value is not greater than 0.
var ErrNotPositive = errors.New("a curve needs sizes and values greater than 0")

// FitPoints fits a power law (by least squares on the logarithms) and a line (by least squares) to points with positive
// sizes and values.
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

// String returns the curve with the smaller residual as a formula, with its residual and the measured range.
func (f Fit) String() string {
	if f.Power.Residual <= f.Linear.Residual {
		return fmt.Sprintf("%.4g * size^%.3f, residual %.0f %%, measured %g to %g",
			f.Power.Scale, f.Power.Slope, 100*f.Power.Residual, f.From, f.To)
	}
	return fmt.Sprintf("%.4g + %.4g * size (exponent %.3f), residual %.0f %%, measured %g to %g",
		f.Linear.Scale, f.Linear.Slope, f.Power.Slope, 100*f.Linear.Residual, f.From, f.To)
}
