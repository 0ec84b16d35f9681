package costmodel_test

import (
	"errors"
	"math"
	"testing"

	"lupinpond/internal/testbed/costmodel"
)

// TestFitPoints checks that points on a power law yield its exponent and scale, and points on a line its slope
// and offset, each with a residual of almost 0.
func TestFitPoints(t *testing.T) {
	var power, line []costmodel.Point
	for _, size := range []float64{100, 400, 1600, 6400, 25600} {
		power = append(power, costmodel.Point{Size: size, Value: 3 * math.Pow(size, 0.75)})
		line = append(line, costmodel.Point{Size: size, Value: 50 + 0.2*size})
	}
	fit, err := costmodel.FitPoints(power)
	if err != nil || math.Abs(fit.Power.Slope-0.75) > 1e-9 || math.Abs(fit.Power.Scale-3) > 1e-6 ||
		fit.Power.Residual > 1e-9 {
		t.Errorf("power law: got %+v, error %v", fit, err)
	}
	if fit.From != 100 || fit.To != 25600 || fit.Points != 5 || fit.Linear.Residual < 0.1 {
		t.Errorf("%+v", fit)
	}
	fit, err = costmodel.FitPoints(line)
	if err != nil || math.Abs(fit.Linear.Slope-0.2) > 1e-9 || math.Abs(fit.Linear.Scale-50) > 1e-6 ||
		fit.Linear.Residual > 1e-9 {
		t.Errorf("line: got %+v, error %v", fit, err)
	}
}

// TestFitPointsRejectsInvalidPoints checks that FitPoints returns an error for fewer than four points and for sizes or
// values of 0.
func TestFitPointsRejectsInvalidPoints(t *testing.T) {
	var few costmodel.TooFewPointsError
	if _, err := costmodel.FitPoints(make([]costmodel.Point, 3)); !errors.As(err, &few) || few.Points != 3 {
		t.Error(err)
	}
	if _, err := costmodel.FitPoints(make([]costmodel.Point, 4)); err == nil {
		t.Error("FitPoints accepted sizes of 0")
	}
}

// TestCoreServesTheTraffic checks that a measured core serves its traffic, and that equal seeds yield equal counts.
func TestCoreServesTheTraffic(t *testing.T) {
	load := costmodel.Load{Workers: 60, Functions: 200, Gateways: 10, Rate: 50, Skew: 1.7, Requests: 400, Seed: 3}
	first, err := costmodel.MeasureCore(load)
	if err != nil {
		t.Fatal(err)
	}
	again, err := costmodel.MeasureCore(load)
	if err != nil || first.Counts != again.Counts {
		t.Errorf("counts of two runs with the same seed: %+v and %+v, error %v", first.Counts, again.Counts, err)
	}
	counts := first.Counts
	if counts.Requests != 400 || counts.Served < 300 || counts.LoadRequests == 0 || counts.Attempts < counts.Served/2 {
		t.Errorf("%+v", counts)
	}
	if first.RequestMicros <= 0 || first.WorkerBytes <= 0 || first.ChangeMicros <= 0 || first.IdleTickMicros <= 0 {
		t.Errorf("%+v", first)
	}
	if _, err := costmodel.MeasureCore(costmodel.Load{}); err == nil {
		t.Error("MeasureCore accepted an empty load")
	}
}
