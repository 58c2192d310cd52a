package capacity

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(a)+math.Abs(b)) }

// Checks the fit against a textbook example: slope, confidence interval of the slope and
// prediction interval.
func TestFitTextbookExample(t *testing.T) {
	l, err := Fit([]Point{{1, 2}, {2, 4}, {3, 5}, {4, 4}, {5, 5}})
	if err != nil {
		t.Fatal(err)
	}
	low, high := l.PredictionInterval(6)
	for _, x := range []struct {
		what      string
		got, want float64
	}{
		{"slope", l.Slope, 0.6}, {"intercept", l.Intercept, 2.2},
		{"slope, low", l.SlopeLow, 0.6 - 3.182*math.Sqrt(0.8)/math.Sqrt(10)},
		{"slope, high", l.SlopeHigh, 0.6 + 3.182*math.Sqrt(0.8)/math.Sqrt(10)},
		{"prediction, low", low, 5.8 - 3.182*math.Sqrt(0.8)*math.Sqrt(1+0.2+0.9)},
		{"prediction, high", high, 5.8 + 3.182*math.Sqrt(0.8)*math.Sqrt(1+0.2+0.9)},
		{"third residual", l.Residuals[2], 1},
	} {
		if !near(x.got, x.want) {
			t.Errorf("%s: %v, want %v", x.what, x.got, x.want)
		}
	}
}

// Checks that points on a line are fitted exactly, and that the residuals of other points sum
// to zero.
func TestFitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(-100, 100).Draw(t, "at 0"), rapid.Float64Range(-100, 100).Draw(t, "slope")
		n := rapid.IntRange(3, 8).Draw(t, "sizes")
		var on, off []Point
		for i := range n {
			x := float64(i + 1)
			on = append(on, Point{x, a + b*x})
			off = append(off, Point{x, a + b*x + rapid.Float64Range(-1, 1).Draw(t, "noise")})
		}
		l, err := Fit(on)
		if err != nil || !near(l.Predict(100), a+b*100) || l.SlopeHigh-l.SlopeLow > 1e-6 {
			t.Fatalf("points on a line: got %+v, %v", l, err)
		}
		if l, err = Fit(off); err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, r := range l.Residuals {
			sum += r
		}
		low, high := l.PredictionInterval(float64(n))
		if math.Abs(sum) > 1e-6 || !(l.SlopeLow <= l.Slope && l.Slope <= l.SlopeHigh && low <= l.Predict(float64(n)) && l.Predict(float64(n)) <= high) {
			t.Fatalf("residuals sum to %v, slope %v in %v to %v", sum, l.Slope, l.SlopeLow, l.SlopeHigh)
		}
	})
}

func TestFitRejectsInvalidPoints(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}}, {{1, 1}, {1, 2}}, {{1, 1}, {2, math.NaN()}}, {{1, 1}, {2, math.Inf(1)}}} {
		if l, err := Fit(points); err == nil {
			t.Errorf("%v: got %+v, want an error", points, l)
		}
	}
	l, err := Fit([]Point{{1, 1}, {2, 2}})
	if err != nil || !math.IsNaN(l.SlopeLow) {
		t.Errorf("two points: got %+v, %v, want no interval of the slope", l, err)
	}
}

func TestPredictionTolerance(t *testing.T) {
	for _, x := range []struct {
		predicted, measured float64
		within              bool
	}{{100, 100, true}, {120, 100, true}, {81, 100, true}, {79, 100, false}, {121, 100, false}, {0, 0, true}, {1, 0, false}} {
		if p := (Prediction{Predicted: x.predicted, Measured: x.measured}); p.WithinTolerance() != x.within {
			t.Errorf("predicted %v, measured %v: got within tolerance %t", x.predicted, x.measured, p.WithinTolerance())
		}
	}
	if SmallerHalf(4) != 2 || SmallerHalf(6) != 3 || SmallerHalf(5) != 2 {
		t.Error("SmallerHalf does not return half of the sizes, rounded down")
	}
}
