package traffic

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Pattern is how arrivals are distributed within a Shape.
type Pattern int

const (
	// Even arrivals are spaced deterministically: the n-th one, counted from 0,
	// is due when the shape expects n+0.5 arrivals.
	Even Pattern = iota
	// Poisson arrivals are independent of each other. Their rate follows the
	// shape; their number is random.
	Poisson
)

// ParsePattern parses the name of a pattern.
func ParsePattern(s string) (Pattern, error) {
	switch s {
	case "even":
		return Even, nil
	case "poisson":
		return Poisson, nil
	}
	return 0, fmt.Errorf("arrival pattern %q, want even or poisson", s)
}

// ArrivalTimes is a sequence of due times, relative to the start of the run.
// Next returns them in ascending order, and false after the last one.
type ArrivalTimes interface {
	Next() (time.Duration, bool)
}

// NewArrivalTimes returns the due times of arrivals that follow a shape. Poisson
// times are derived from the seed by the inversion method: each is the time at
// which the shape expects as many arrivals as the sum of the exponential draws
// so far (Çinlar, "Introduction to Stochastic Processes", 1975, chapter 4).
func NewArrivalTimes(s *Shape, p Pattern, seed uint64) ArrivalTimes {
	t := &shapeTimes{cursor: cursor{shape: s}, expected: 0.5}
	if p == Poisson {
		t.rng = rand.New(rand.NewPCG(seed, seedTimes))
		t.expected = t.rng.ExpFloat64()
	}
	return t
}

type shapeTimes struct {
	cursor   cursor
	rng      *rand.Rand // nil for Even
	expected float64    // number of arrivals that the shape expects before the next due time
}

func (t *shapeTimes) Next() (time.Duration, bool) {
	at, ok := t.cursor.timeOf(t.expected)
	if t.rng == nil {
		t.expected++
	} else {
		t.expected += t.rng.ExpFloat64()
	}
	return at, ok
}

// Constants that keep the random streams for different purposes independent.
const (
	seedTimes   = 0x74696d6573
	seedContent = 0x636f6e74656e74
)
