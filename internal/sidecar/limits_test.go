package sidecar

import (
	"testing"

	"gorselink/internal/config"
)

// The parts of a process fit its memory together, whatever the descriptors. Budgets that leave no
// room for the connections let it grow beyond its limit.
func TestDivideLimits(t *testing.T) {
	for _, c := range []struct {
		memoryMB, sockets, processes int
		wantFull                     bool // bodies get their whole part
	}{
		{32, 256, 1, false},
		{32, 1024, 1, false},
		{32, 1024, 2, false},
		{48, 1024, 2, false},
		{192, 1024, 1, false},
		{512, 256, 1, true},
		{2048, 4096, 1, true},
	} {
		memory := float64(int64(c.memoryMB)<<20) / float64(c.processes)
		limits := divideLimits(config.Limits{MemoryMB: c.memoryMB, Sockets: c.sockets}, c.processes)
		bodies := float64(limits.bodies.BodyBytes + limits.bodies.LongBytes + limits.upstream.LargeResponseBytes + limits.upstream.BufferBytes)
		if part := bodies / memory; part < 0.99*minBodyFraction || c.wantFull && part < 0.99*bodyFraction {
			t.Errorf("%+v: %.3f of the memory for bodies", c, part)
		}
		if used := bodies + idleProcessBytes + float64(limits.callerConns)*bytesPerRequest; used > memory {
			t.Errorf("%+v: %.0f bytes in use at most, want %.0f", c, used, memory)
		}
		if limits.upstream.MaxConns != limits.callerConns || 2*limits.callerConns > c.sockets/c.processes {
			t.Errorf("%+v: %d connections of callers and %d to endpoints", c, limits.callerConns, limits.upstream.MaxConns)
		}
	}
}
