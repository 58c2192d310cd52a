package sidecar

import (
	"log/slog"
	"runtime/metrics"
)

// memoryReportFraction is the part of the runtime's memory limit from which on its use is logged, if
// live objects and stacks take it.
const memoryReportFraction = 0.6

// runtimeMemory is the memory of the Go runtime by use, in bytes.
type runtimeMemory struct {
	total  int64 // what counts towards the runtime's memory limit
	live   int64 // objects that the last collection has left
	stacks int64 // of goroutines
}

func readRuntimeMemory() runtimeMemory {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	return runtimeMemory{total: value(0) - value(1), live: value(2), stacks: value(3)}
}

// reportMemory logs what the memory is used for, if the runtime is close to its limit. Call it about
// once a second.
func (s *Sidecar) reportMemory() {
	s.mu.Lock()
	limit := s.runtimeLimit
	s.mu.Unlock()
	used := readRuntimeMemory()
	if float64(used.live+used.stacks) < memoryReportFraction*float64(limit) {
		return
	}
	bodies, longBodies := s.pool.BodyBudget(), s.pool.LongBodyBudget()
	slog.Info("memory is short", "runtime_kb", used.total>>10, "limit_kb", limit>>10, "live_kb", used.live>>10, "stacks_kb", used.stacks>>10,
		"bodies_kb", bodies.InUse()>>10, "long_bodies_kb", longBodies.InUse()>>10, "long_responses_kb", s.upstream.LongResponseMemory()>>10, "buffers_kb", s.upstream.BufferMemory()>>10,
		"callers", s.server.OpenConns(), "conns", s.upstream.OpenConns())
}
