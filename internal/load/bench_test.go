package load

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// BenchmarkRun runs for two seconds against a fake node in the same process. It
// reports the generator's delay, the latency, and the CPU time and memory of both
// sides together.
func BenchmarkRun(b *testing.B) {
	for _, rate := range []int{1000, 5000, 20000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			n := startNode(b, fakeserver.NodeConfig{})
			var res *Result
			for b.Loop() {
				s := testStream(b, fmt.Sprintf("hold %d 2s", rate))
				res = runLoad(b, testConfig(n.Addr(), s))
				if res.Outcomes[OK] != int64(2*rate) {
					b.Fatalf("outcomes %v", res.Outcomes)
				}
			}
			b.ReportMetric(float64(res.GeneratorDelay.ValueAtQuantile(50)), "late-p50-µs")
			b.ReportMetric(float64(res.GeneratorDelay.ValueAtQuantile(99)), "late-p99-µs")
			b.ReportMetric(float64(res.Latency.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(res.Latency.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(float64(res.CPU/time.Microsecond)/float64(2*rate), "cpu-µs/request")
			b.ReportMetric(float64(2*rate)/res.CPU.Seconds(), "requests/core-s")
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.Sys)/1e6, "MB")
		})
	}
}
