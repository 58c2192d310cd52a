package upstream

import (
	"testing"
	"time"
)

// The idle timeout grows with the price of new connections and shrinks with that of open ones.
func TestOptimalIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		handshake, connection float64
		want                  time.Duration
	}{
		{0, 0, 250 * time.Millisecond},
		{-1, -1, 250 * time.Millisecond}, // negative prices count as 0
		{0.1, 0, 427 * time.Millisecond}, // (2.4 + 1.7) / 9.6
		{1, 0, 2021 * time.Millisecond},
		{0, 1, 164 * time.Millisecond}, // 2.4 / (9.6 + 5)
		{1, 1, 1329 * time.Millisecond},
		{1e9, 0, time.Hour},
		{0, 1e9, 10 * time.Millisecond},
	} {
		if got := OptimalIdleTimeout(c.handshake, c.connection); (got - c.want).Abs() > time.Millisecond {
			t.Errorf("prices %v and %v: idle timeout %v, want %v", c.handshake, c.connection, got, c.want)
		}
	}
}
