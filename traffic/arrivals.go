package traffic

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Pattern is how arrivals lie within a Shape.
type Pattern int

const (
	// Even arrivals come one for each that the shape expects, at the moment
	// when half of it is due: no chance, the least a target can be given.
	Even Pattern = iota
	// Poisson arrivals are independent of each other, as those of many people
	// are. Their rate is the shape's; their number varies by chance.
	Poisson
)

// ParsePattern reads the name of a pattern.
func ParsePattern(s string) (Pattern, error) {
	switch s {
	case "even":
		return Even, nil
	case "poisson":
		return Poisson, nil
	}
	return 0, fmt.Errorf("arrivals %q, want even or poisson", s)
}

// Times is the sequence of the times at which something is due, since the
// begin. Next gives them in order, and false at the end.
type Times interface {
	Next() (time.Duration, bool)
}

// NewTimes returns the times of arrivals by a shape. Those of a Poisson pattern
// come from the seed: the time of each is where the shape expects as many
// arrivals as a sum of exponential draws says (the inversion method; Çinlar,
// "Introduction to Stochastic Processes", 1975, chapter 4).
func NewTimes(s *Shape, p Pattern, seed uint64) Times {
	t := &shaped{at: cursor{s: s}, n: 0.5}
	if p == Poisson {
		t.rng = rand.New(rand.NewPCG(seed, streamTimes))
		t.n = t.rng.ExpFloat64()
	}
	return t
}

type shaped struct {
	at  cursor
	rng *rand.Rand // nil for even
	n   float64    // expected arrivals before the next one
}

func (t *shaped) Next() (time.Duration, bool) {
	at, ok := t.at.when(t.n)
	if t.rng == nil {
		t.n++
	} else {
		t.n += t.rng.ExpFloat64()
	}
	return at, ok
}

// Second words of the seeds of draws that must not hang on each other.
const (
	streamTimes   = 0x74696d6573
	streamContent = 0x636f6e74656e74
)
