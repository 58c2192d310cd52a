//go:build linux && amd64

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

	"gorselink/internal/standin"
)

// fleetNeeds is what one sidecar of a fleet needs over a short day.
type fleetNeeds struct {
	cpu         time.Duration
	peak        int64 // bytes of memory
	descriptors int   // at the most
	connections int   // made to endpoints
	lists       int64 // bytes from discovery
	served      int
	asked       int
}

// procStat is the processor time that a process has used.
func procStat(t *testing.T, pid int) time.Duration {
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

// procPeak is the most memory that a process has had.
func procPeak(t *testing.T, pid int) int64 {
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

// fleetDay plays a sidecar before so many endpoints, of which some come and go, with the
// traffic that one sidecar has in a fleet of any size.
func fleetDay(t *testing.T, endpoints, sidecars int) (need fleetNeeds) {
	t.Helper()
	const processes, lasts, changes = 16, 1200 * time.Millisecond, 8
	var nodes []*standin.Node
	for range processes {
		n, err := standin.StartNode(standin.NodeConfig{Latency: 5 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	entry := func(i int) standin.Entry {
		return standin.Entry{Name: fmt.Sprintf("s-%08x", i), Address: nodes[i%processes].Addr(), Zone: "a", Group: i / 8, Status: "in_service"}
	}
	var list []standin.Entry
	for i := range endpoints {
		list = append(list, entry(i))
	}
	registry, err := standin.StartRegistry("127.0.0.1", [][]standin.Entry{list})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	m := &member{listen: ownAddr(t), dir: t.TempDir()}
	m.path = filepath.Join(m.dir, "config.json")
	text := strings.Replace(configuration(m.listen, registry.Addrs()[0]), `"NInstances":1`, fmt.Sprintf(`"NInstances":%d`, sidecars), 1)
	put(t, m.path, strings.Replace(text, `"memory_mb":64,"sockets":256`, `"memory_mb":256,"sockets":512`, 1))
	m.start(t)
	p := m.process()
	if p == nil {
		t.Fatal("no process")
	}
	t.Cleanup(func() { p.cmd.Process.Kill(); <-p.ended })
	s := newScene(t, fmt.Sprintf("%d endpoints", endpoints))
	s.listen.Store(&m.listen)
	pid, end := p.cmd.Process.Pid, time.Now().Add(lasts)
	var all sync.WaitGroup
	var mu sync.Mutex
	for range 4 {
		all.Go(func() {
			for time.Now().Before(end) {
				ok := askNew(m.listen) != ""
				mu.Lock()
				need.asked++
				if ok {
					need.served++
				}
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	for i := range changes {
		time.Sleep(lasts / (changes + 1))
		gone, come := entry(i), entry(endpoints+i)
		gone.Status = "terminated"
		if _, err := registry.Update(0, gone, come); err != nil {
			t.Fatal(err)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		need.descriptors = max(need.descriptors, len(fds))
	}
	all.Wait()
	need.cpu, need.peak, need.lists = procStat(t, pid), procPeak(t, pid), registry.Counts().BytesOut
	for _, n := range nodes {
		need.connections += n.TotalConns()
	}
	return need
}

// A sidecar of a fleet with sixteen times the endpoints, and as many more sidecars, needs
// only so much more over the same day: the bounds are the operators'.
func TestGrowthOverSixteenTimesTheEndpoints(t *testing.T) {
	t.Parallel()
	const usual, large = 200, 3200
	few, many := fleetDay(t, usual, 56), fleetDay(t, large, 900)
	t.Logf("%d endpoints: %+v", usual, few)
	t.Logf("%d endpoints: %+v", large, many)
	const thousands = float64(large-usual) / 1000
	bound := func(what string, few, many, times, plus float64) {
		if most := few*times + plus; many > most {
			t.Errorf("%s: %.4g, and %.4g with %d endpoints, want %.4g at most", what, few, many, large, most)
		}
	}
	const mb, kb = 1 << 20, 1 << 10
	bound("CPU seconds", few.cpu.Seconds(), many.cpu.Seconds(), 1.4, (0.02+0.03*thousands)*detectorCost)
	bound("peak memory", float64(few.peak), float64(many.peak), 1.5, 8*mb+4*mb*thousands)
	bound("descriptors", float64(few.descriptors), float64(many.descriptors), 2, 40)
	bound("connections made", float64(few.connections), float64(many.connections), 2.5, 40)
	bound("bytes of lists", float64(few.lists), float64(many.lists), 2, 64*kb+500*kb*thousands)
	share := func(n fleetNeeds) float64 { return float64(n.served) / float64(max(1, n.asked)) }
	if share(many) < 0.85*share(few) || few.served == 0 {
		t.Errorf("%d of %d served, and %d of %d with %d endpoints", few.served, few.asked, many.served, many.asked, large)
	}
}
