package sidecar

import (
	"gorselink/internal/config"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

const (
	// runtimeFraction is the part of the memory limit given to the Go runtime. The rest covers
	// kernel socket buffers, which count towards the limit, and overshoot of the runtime.
	runtimeFraction = 0.7
	// liveFraction is the part of the runtime's memory that may be in use at the same time. The
	// rest is for garbage, without which the collector would run all the time.
	liveFraction = 0.9
	// idleProcessBytes is the memory of a process without connections.
	idleProcessBytes = 4 << 20
	// bytesPerRequest is the memory of an open request beside the budgets: read buffers of both
	// connections, stacks, heads, and the first buffer for its response.
	bytesPerRequest = 32 << 10
)

// Parts of the memory limit for bodies. All are reduced in the same proportion where the limit
// leaves less beside the connections, but not below minBodyFraction together: then the part of the
// memory that the runtime does not get is needed if all connections have an open request.
const (
	shortBodyFraction    = 1.0 / 8 // request bodies up to 64 KiB
	longBodyFraction     = 1.0 / 8 // longer request bodies
	longResponseFraction = 1.0 / 5 // data read ahead of responses over 64 KiB
	bufferFraction       = 1.0 / 8 // short responses, and buffers for forwarding bodies
	bodyFraction         = shortBodyFraction + longBodyFraction + longResponseFraction + bufferFraction
	minBodyFraction      = 1.0 / 6

	// headFraction is the part of the memory limit for request heads of many fields, reduced in the same
	// proportion.
	headFraction = 1.0 / 32
)

// processLimits are the limits of one process.
type processLimits struct {
	runtimeBytes int64 // memory limit of the Go runtime
	callerConns  int
	headBytes    int64 // see httpserver.Server.SetHeadMemory
	bodies       pool.Limits
	upstream     upstream.Limits
}

// divideLimits divides the configured limits among equal processes, and those of a process among
// its parts.
func divideLimits(limits config.Limits, processes int) processLimits {
	memory := float64(int64(limits.MemoryMB)<<20) / float64(processes)
	connsPerSide := max(2, limits.Sockets/processes-config.ReservedDescriptors) / 2
	unused := memory*runtimeFraction*liveFraction - idleProcessBytes - float64(connsPerSide)*bytesPerRequest
	scale := min(1, max(unused/memory, minBodyFraction)/bodyFraction)
	part := func(fraction float64) int64 { return int64(memory * fraction * scale) }
	return processLimits{
		runtimeBytes: int64(memory * runtimeFraction),
		callerConns:  connsPerSide,
		headBytes:    part(headFraction),
		bodies:       pool.Limits{BodyBytes: part(shortBodyFraction), LongBytes: part(longBodyFraction)},
		upstream: upstream.Limits{
			MaxConns:           connsPerSide,
			LargeResponseBytes: part(longResponseFraction),
			BufferBytes:        part(bufferFraction),
		},
	}
}
