package upstream

import (
	"testing"
	"time"
)

// Connections are kept for longer where operators charge for new ones, and for less long
// where they charge for open ones; without prices for what they cost an endpoint.
func TestKeepIdleWeighsPrices(t *testing.T) {
	for _, c := range []struct {
		handshake, connection float64
		want                  time.Duration
	}{
		{0, 0, 250 * time.Millisecond},
		{-1, -1, 250 * time.Millisecond}, // impossible: as if there were none
		{0.1, 0, 427 * time.Millisecond}, // (2.4 + 1.7) / 9.6
		{1, 0, 2021 * time.Millisecond},
		{0, 1, 164 * time.Millisecond}, // 2.4 / (9.6 + 5)
		{1, 1, 1329 * time.Millisecond},
		{1e9, 0, time.Hour},
		{0, 1e9, 10 * time.Millisecond},
	} {
		if got := OptimalIdleTimeout(c.handshake, c.connection); (got - c.want).Abs() > time.Millisecond {
			t.Errorf("prices of %v and %v: kept for %v, want %v", c.handshake, c.connection, got, c.want)
		}
	}
}
