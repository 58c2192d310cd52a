// Package capacity estimates the cost of a fleet: it fits lines to costs measured at several
// sizes, extrapolates them to other sizes, and renders the tables of docs/CAPACITY.md. It does
// no I/O and reads no clock, so that the same inputs give the same page.
package capacity

import (
	"errors"
	"fmt"
	"math"
)

// Point is a cost Y measured at a size X.
type Point struct{ X, Y float64 }

// Line is a least-squares line.
type Line struct {
	Intercept float64 // the cost at size 0
	Slope     float64 // the cost of one more unit of size
	// SlopeLow and SlopeHigh are the 95% confidence interval of the slope, assuming normally
	// distributed residuals; NaN with two points.
	SlopeLow, SlopeHigh float64
	Residuals           []float64 // measured minus fitted cost, in the order of the points

	count              float64
	meanX, sumSquaresX float64 // of X: the mean, and the sum of squared deviations from it
	residualDeviation  float64 // standard deviation with n-2 degrees of freedom; NaN with two points
	hasInterval        bool
}

// errTooFewSizes reports points that do not determine a line.
var errTooFewSizes = errors.New("fitting a line needs points at two or more sizes")

// Fit fits a least-squares line to points.
func Fit(points []Point) (*Line, error) {
	l := &Line{count: float64(len(points))}
	var meanY float64
	for i, p := range points {
		if math.IsNaN(p.X+p.Y) || math.IsInf(p.X+p.Y, 0) {
			return nil, fmt.Errorf("point %d: (%v, %v) has a value that is not finite", i+1, p.X, p.Y)
		}
		l.meanX += p.X
		meanY += p.Y
	}
	if len(points) < 2 {
		return nil, errTooFewSizes
	}
	l.meanX /= l.count
	meanY /= l.count
	sumProducts := 0.0
	for _, p := range points {
		l.sumSquaresX += (p.X - l.meanX) * (p.X - l.meanX)
		sumProducts += (p.X - l.meanX) * (p.Y - meanY)
	}
	if l.sumSquaresX == 0 {
		return nil, errTooFewSizes
	}
	l.Slope = sumProducts / l.sumSquaresX
	l.Intercept = meanY - l.Slope*l.meanX
	squaredResiduals := 0.0
	for _, p := range points {
		residual := p.Y - l.Predict(p.X)
		l.Residuals = append(l.Residuals, residual)
		squaredResiduals += residual * residual
	}
	l.SlopeLow, l.SlopeHigh, l.residualDeviation = math.NaN(), math.NaN(), math.NaN()
	if freedom := len(points) - 2; freedom > 0 {
		l.hasInterval = true
		l.residualDeviation = math.Sqrt(squaredResiduals / float64(freedom))
		halfWidth := studentQuantile(freedom) * l.residualDeviation / math.Sqrt(l.sumSquaresX)
		l.SlopeLow, l.SlopeHigh = l.Slope-halfWidth, l.Slope+halfWidth
	}
	return l, nil
}

// Predict returns the cost that the line gives for a size.
func (l *Line) Predict(x float64) float64 { return l.Intercept + l.Slope*x }

// PredictionInterval returns the 95% prediction interval for one more measurement at a size;
// NaN with two points.
func (l *Line) PredictionInterval(x float64) (low, high float64) {
	if !l.hasInterval {
		return math.NaN(), math.NaN()
	}
	halfWidth := studentQuantile(int(l.count)-2) * l.residualDeviation * math.Sqrt(1+1/l.count+(x-l.meanX)*(x-l.meanX)/l.sumSquaresX)
	return l.Predict(x) - halfWidth, l.Predict(x) + halfWidth
}

// studentQuantile returns the 0.975 quantile of Student's t distribution with the given degrees of
// freedom.
func studentQuantile(freedom int) float64 {
	table := [...]float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131}
	if freedom <= len(table) {
		return table[freedom-1]
	}
	return 1.96 + 2.5/float64(freedom) // approximation with an error below 0.01
}

// PredictionTolerance is the largest relative error of a prediction with which its slope may
// be used.
const PredictionTolerance = 0.2

// Prediction compares the measured cost of the largest size with the cost extrapolated from
// the smaller sizes.
type Prediction struct {
	Size      float64
	Predicted float64
	Low, High float64 // 95% prediction interval; NaN when fitted to two sizes
	Measured  float64
}

// RelativeError returns the absolute error of the prediction divided by the measured cost.
func (p *Prediction) RelativeError() float64 {
	if p.Measured == 0 {
		if p.Predicted == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return math.Abs(p.Predicted-p.Measured) / math.Abs(p.Measured)
}

// WithinTolerance reports whether the slope may be used for estimates.
func (p *Prediction) WithinTolerance() bool { return p.RelativeError() <= PredictionTolerance }

// SmallerHalf returns how many of the smallest sizes are used to predict the largest of the given
// number of sizes.
func SmallerHalf(sizes int) int { return sizes / 2 }
