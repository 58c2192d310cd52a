//go:build linux

package sidecar

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// resourceUsage is the resource usage of one sidecar during a test run.
type resourceUsage struct {
	cpu            time.Duration
	peakMemory     int64 // bytes
	descriptors    int   // maximum
	connections    int   // opened to endpoints
	discoveryBytes int64 // bytes received from discovery
	served         int
	requests       int
}

// processCPU returns the CPU time used by a process.
func processCPU(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	ticks := 0
	for _, f := range fields[11:13] { // utime and stime
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * (time.Second / 100)
}

// processPeakMemory returns the peak resident memory of a process.
func processPeakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

// measureSidecar runs a sidecar with a changing list of endpoints and a fixed load, and
// returns its resource usage. sidecars is the configured number of sidecars.
func measureSidecar(t *testing.T, endpoints, sidecars int) (usage resourceUsage) {
	t.Helper()
	const processes, duration, changes = 16, 1200 * time.Millisecond, 8
	var nodes []*fakeserver.Node
	for range processes {
		n, err := fakeserver.StartNode(fakeserver.NodeConfig{Latency: 5 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	entry := func(i int) fakeserver.Entry {
		return fakeserver.Entry{Name: fmt.Sprintf("s-%08x", i), Address: nodes[i%processes].Addr(), Zone: "a", Group: i / 8, Status: "in_service"}
	}
	var list []fakeserver.Entry
	for i := range endpoints {
		list = append(list, entry(i))
	}
	registry, err := fakeserver.StartRegistry("127.0.0.1", [][]fakeserver.Entry{list})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	m := &fleetMember{listen: isolatedAddr(t), dir: t.TempDir()}
	m.configPath = filepath.Join(m.dir, "config.json")
	text := strings.Replace(configJSON(m.listen, registry.Addrs()[0]), `"NInstances":1`, fmt.Sprintf(`"NInstances":%d`, sidecars), 1)
	writeFile(t, m.configPath, strings.Replace(text, `"memory_mb":64,"sockets":256`, `"memory_mb":256,"sockets":512`, 1))
	m.start(t)
	p := m.process()
	if p == nil {
		t.Fatal("the sidecar process did not start")
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); <-p.ended })
	s := newScenario(t, fmt.Sprintf("%d endpoints", endpoints))
	s.sidecarAddr.Store(&m.listen)
	pid, end := p.cmd.Process.Pid, time.Now().Add(duration)
	var all sync.WaitGroup
	var mu sync.Mutex
	for range 4 {
		all.Go(func() {
			for time.Now().Before(end) {
				ok := getWithNewID(m.listen) != ""
				mu.Lock()
				usage.requests++
				if ok {
					usage.served++
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	for i := range changes {
		time.Sleep(duration / (changes + 1))
		removed, added := entry(i), entry(endpoints+i)
		removed.Status = "terminated"
		if _, err := registry.Update(0, removed, added); err != nil {
			t.Fatal(err)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		usage.descriptors = max(usage.descriptors, len(fds))
	}
	all.Wait()
	usage.cpu, usage.peakMemory, usage.discoveryBytes = processCPU(t, pid), processPeakMemory(t, pid), registry.Counts().BytesOut
	for _, n := range nodes {
		usage.connections += n.TotalConns()
	}
	return usage
}

// The resource usage of a sidecar stays within the bounds that operators require when the
// numbers of endpoints and sidecars grow sixteenfold.
func TestGrowthOverSixteenTimesTheEndpoints(t *testing.T) {
	t.Parallel()
	const small, large = 200, 3200
	smallUsage, largeUsage := measureSidecar(t, small, 56), measureSidecar(t, large, 900)
	t.Logf("%d endpoints: %+v", small, smallUsage)
	t.Logf("%d endpoints: %+v", large, largeUsage)
	const thousands = float64(large-small) / 1000
	expectAtMost := func(what string, few, many, factor, extra float64) {
		if limit := few*factor + extra; many > limit {
			t.Errorf("%s: %.4g with few endpoints, %.4g with %d endpoints, want %.4g at most", what, few, many, large, limit)
		}
	}
	const mb, kb = 1 << 20, 1 << 10
	expectAtMost("CPU seconds", smallUsage.cpu.Seconds(), largeUsage.cpu.Seconds(), 1.4, (0.02+0.03*thousands)*raceCPUFactor)
	expectAtMost("peak memory", float64(smallUsage.peakMemory), float64(largeUsage.peakMemory), 1.5, 8*mb+4*mb*thousands)
	expectAtMost("descriptors", float64(smallUsage.descriptors), float64(largeUsage.descriptors), 2, 40)
	expectAtMost("connections opened", float64(smallUsage.connections), float64(largeUsage.connections), 2.5, 40)
	expectAtMost("bytes from discovery", float64(smallUsage.discoveryBytes), float64(largeUsage.discoveryBytes), 2, 64*kb+500*kb*thousands)
	servedShare := func(u resourceUsage) float64 { return float64(u.served) / float64(max(1, u.requests)) }
	if servedShare(largeUsage) < 0.85*servedShare(smallUsage) || smallUsage.served == 0 {
		t.Errorf("%d of %d requests served with few endpoints, %d of %d with %d endpoints, want a similar share", smallUsage.served, smallUsage.requests, largeUsage.served, largeUsage.requests, large)
	}
}
