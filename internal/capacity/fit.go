// Package capacity reckons what a fleet costs: lines through what was measured at several
// sizes, what they say of sizes that were not, and the tables of docs/CAPACITY.md. It does
// no I/O and reads no clock: the same inputs give the same page.
package capacity

import (
	"errors"
	"fmt"
	"math"
)

// Point is a cost at a size.
type Point struct{ X, Y float64 }

// Line is a line through points by least squares.
type Line struct {
	Intercept float64 // the cost of size 0
	Slope     float64 // the cost of one more
	// SlopeLow and SlopeHigh hold the slope with 95 in 100 where the residuals are normal.
	// With two points they are not known: NaN.
	SlopeLow, SlopeHigh float64
	Residuals           []float64 // measured less the line, in the order of the points

	n          float64
	mean, xx   float64 // of X: the mean, and the sum of squares about it
	deviation  float64 // of the residuals, with n-2 degrees of freedom; NaN with two points
	hasFreedom bool
}

// errPoints is of points that no line can be put through.
var errPoints = errors.New("a line needs two sizes at least")

// Fit puts a line through points.
func Fit(points []Point) (*Line, error) {
	l := &Line{n: float64(len(points))}
	var y float64
	for i, p := range points {
		if math.IsNaN(p.X+p.Y) || math.IsInf(p.X+p.Y, 0) {
			return nil, fmt.Errorf("point %d: (%v, %v) is no cost at a size", i+1, p.X, p.Y)
		}
		l.mean += p.X
		y += p.Y
	}
	if len(points) < 2 {
		return nil, errPoints
	}
	l.mean /= l.n
	y /= l.n
	xy := 0.0
	for _, p := range points {
		l.xx += (p.X - l.mean) * (p.X - l.mean)
		xy += (p.X - l.mean) * (p.Y - y)
	}
	if l.xx == 0 {
		return nil, errPoints
	}
	l.Slope = xy / l.xx
	l.Intercept = y - l.Slope*l.mean
	squares := 0.0
	for _, p := range points {
		r := p.Y - l.Predict(p.X)
		l.Residuals = append(l.Residuals, r)
		squares += r * r
	}
	l.SlopeLow, l.SlopeHigh, l.deviation = math.NaN(), math.NaN(), math.NaN()
	if free := len(points) - 2; free > 0 {
		l.hasFreedom = true
		l.deviation = math.Sqrt(squares / float64(free))
		half := student(free) * l.deviation / math.Sqrt(l.xx)
		l.SlopeLow, l.SlopeHigh = l.Slope-half, l.Slope+half
	}
	return l, nil
}

// At is what the line says of a size.
func (l *Line) Predict(x float64) float64 { return l.Intercept + l.Slope*x }

// Interval holds one more measurement at a size with 95 in 100; NaN with two points.
func (l *Line) PredictionInterval(x float64) (low, high float64) {
	if !l.hasFreedom {
		return math.NaN(), math.NaN()
	}
	half := student(int(l.n)-2) * l.deviation * math.Sqrt(1+1/l.n+(x-l.mean)*(x-l.mean)/l.xx)
	return l.Predict(x) - half, l.Predict(x) + half
}

// student is the 0.975 quantile of Student's t with some degrees of freedom.
func student(free int) float64 {
	table := [...]float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131}
	if free <= len(table) {
		return table[free-1]
	}
	return 1.96 + 2.5/float64(free) // within 0.01 of it
}

// MostMiss is how far a prediction may be off before its slope is not used.
const MostMiss = 0.2

// Prediction is a cost at the largest size as it was told from the smaller ones, and as
// it was then measured.
type Prediction struct {
	Size      float64
	Predicted float64
	Low, High float64 // of the interval for one more measurement; NaN from two sizes
	Measured  float64
}

// Miss is how far the prediction was off, as a share of what was measured.
func (p *Prediction) RelativeError() float64 {
	if p.Measured == 0 {
		if p.Predicted == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return math.Abs(p.Predicted-p.Measured) / math.Abs(p.Measured)
}

// Holds tells whether the slope may be used.
func (p *Prediction) WithinTolerance() bool { return p.RelativeError() <= MostMiss }

// Half is how many sizes, the smallest first, a prediction of the largest is made from.
func SmallerHalf(sizes int) int { return sizes / 2 }
