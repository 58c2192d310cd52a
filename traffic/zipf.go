package traffic

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Zipf draws ranks from 1 to n, rank k with a chance in proportion to 1/k^s.
// Few donors' pages are asked for by most; s is about 1 for pages and keys of
// public services, 0 makes all alike.
//
// The method is rejection-inversion (W. Hörmann, G. Derflinger,
// "Rejection-inversion to generate variates from monotone discrete
// distributions", 1996), which takes constant time and memory for every s of 0
// and more; math/rand's wants s above 1.
type Zipf struct {
	n, s     float64
	low      float64 // hIntegral(1.5) - 1
	high     float64 // hIntegral(n + 0.5)
	shortcut float64
}

// NewZipf returns a Zipf over ranks 1 to n with exponent s.
func NewZipf(n int, s float64) (*Zipf, error) {
	if n < 1 || !(s >= 0 && s <= 20) {
		return nil, fmt.Errorf("zipf over %d ranks with exponent %v, want 1 rank at least and 0 to 20", n, s)
	}
	z := &Zipf{n: float64(n), s: s}
	z.low = z.integral(1.5) - 1
	z.high = z.integral(z.n + 0.5)
	z.shortcut = 2 - z.inverse(z.integral(2.5)-z.density(2))
	return z, nil
}

// Draw returns a rank.
func (z *Zipf) Draw(rng *rand.Rand) int {
	for {
		u := z.high + rng.Float64()*(z.low-z.high)
		x := z.inverse(u)
		k := min(max(math.Floor(x+0.5), 1), z.n)
		if k-x <= z.shortcut || u >= z.integral(k+0.5)-z.density(k) {
			return int(k)
		}
	}
}

// density is 1/x^s.
func (z *Zipf) density(x float64) float64 { return math.Exp(-z.s * math.Log(x)) }

// integral is an antiderivative of density, (x^(1-s) - 1) / (1-s), also where
// s is 1 and this is log x.
func (z *Zipf) integral(x float64) float64 {
	log := math.Log(x)
	return expm1Over((1-z.s)*log) * log
}

// inverse is the inverse of integral.
func (z *Zipf) inverse(y float64) float64 {
	t := max(y*(1-z.s), -1)
	return math.Exp(log1pOver(t) * y)
}

// log1pOver is log(1+x)/x, also near 0.
func log1pOver(x float64) float64 {
	if math.Abs(x) > 1e-8 {
		return math.Log1p(x) / x
	}
	return 1 - x*(0.5-x*(1.0/3-0.25*x))
}

// expm1Over is (exp(x)-1)/x, also near 0.
func expm1Over(x float64) float64 {
	if math.Abs(x) > 1e-8 {
		return math.Expm1(x) / x
	}
	return 1 + x*0.5*(1+x*1.0/3*(1+0.25*x))
}
