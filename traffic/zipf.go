package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Zipf draws ranks from 1 to n with a probability proportional to 1/k^s for rank
// k. An exponent s of 0 gives the uniform distribution.
//
// It uses rejection-inversion (W. Hörmann, G. Derflinger, "Rejection-inversion to
// generate variates from monotone discrete distributions", 1996), which takes
// constant time and memory for every s of at least 0; math/rand requires s above 1.
type Zipf struct {
	n, s    float64
	low     float64 // integral(1.5) - 1
	high    float64 // integral(n + 0.5)
	squeeze float64
}

// NewZipf returns a Zipf over ranks 1 to n with exponent s.
func NewZipf(n int, s float64) (*Zipf, error) {
	if n < 1 || !(s >= 0 && s <= 20) {
		return nil, fmt.Errorf("zipf over %d ranks with exponent %v, want at least 1 rank and an exponent of 0 to 20", n, s)
	}
	z := &Zipf{n: float64(n), s: s}
	z.low = z.integral(1.5) - 1
	z.high = z.integral(z.n + 0.5)
	z.squeeze = 2 - z.inverse(z.integral(2.5)-z.density(2))
	return z, nil
}

// Draw returns a random rank.
func (z *Zipf) Draw(rng *rand.Rand) int {
	for {
		u := z.high + rng.Float64()*(z.low-z.high)
		x := z.inverse(u)
		k := min(max(math.Floor(x+0.5), 1), z.n)
		if k-x <= z.squeeze || u >= z.integral(k+0.5)-z.density(k) {
			return int(k)
		}
	}
}

// density returns 1/x^s.
func (z *Zipf) density(x float64) float64 { return math.Exp(-z.s * math.Log(x)) }

// integral is an antiderivative of density, (x^(1-s) - 1) / (1-s), continued to
// log x at s = 1.
func (z *Zipf) integral(x float64) float64 {
	log := math.Log(x)
	return expm1Over((1-z.s)*log) * log
}

// inverse is the inverse function of integral.
func (z *Zipf) inverse(y float64) float64 {
	t := max(y*(1-z.s), -1)
	return math.Exp(log1pOver(t) * y)
}

// log1pOver returns log(1+x)/x, continued to x = 0.
func log1pOver(x float64) float64 {
	if math.Abs(x) > 1e-8 {
		return math.Log1p(x) / x
	}
	return 1 - x*(0.5-x*(1.0/3-0.25*x))
}

// expm1Over returns (exp(x)-1)/x, continued to x = 0.
func expm1Over(x float64) float64 {
	if math.Abs(x) > 1e-8 {
		return math.Expm1(x) / x
	}
	return 1 + x*0.5*(1+x*1.0/3*(1+0.25*x))
}
