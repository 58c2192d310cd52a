package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/capacity"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
	"gorselink/internal/hollow"
	"gorselink/internal/tomlfile"
)

const roleArg = "run-role"

// All hollow sidecars have the registry's lists after a simulated day with disruptions and at
// every fleet size.
func TestSmallScaleRun(t *testing.T) {
	t.Parallel()
	_, s, err := ReadAny(filepath.Join("testdata", "scale.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	res, err := RunScale(ctx, s, ScaleOptions{RoleCommand: []string{os.Args[0], roleArg}, Log: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range res.Violations() {
		t.Error(line)
	}
	if res.Day == nil || res.Day.Changes != s.Day.Changes || len(res.Reloads) != 1 {
		t.Errorf("day: %+v; reloads: %+v", res.Day, res.Reloads)
	}
	if sizes := res.Sweeps[0].Sizes; len(sizes) != 4 || sizes[3].Size.Sidecars != 24 || sizes[3].Changes == 0 {
		t.Errorf("sizes: %+v", sizes)
	}
	var table, page strings.Builder
	if err := errors.Join(res.WriteTable(&table), res.WritePage(&page)); err != nil || !strings.Contains(page.String(), "by sidecars") {
		t.Errorf("table and page: %v\n%s", err, table.String())
	}
	if left, _ := filepath.Glob("/proc/[0-9]*/cmdline"); len(left) > 0 {
		for _, path := range left {
			text, _ := os.ReadFile(path)
			if strings.HasPrefix(string(text), os.Args[0]+"\x00"+roleArg) {
				t.Errorf("role process still runs: %s", path)
			}
		}
	}
}

// testSidecar is a real or a hollow sidecar with its own registry.
type testSidecar struct {
	registry *fakeserver.Registry
	path     string
	addrs    *strings.Replacer // replaces the registry's addresses with names that both sidecars share
}

func newTestSidecar(t *testing.T, name string, lists [][]fakeserver.Entry) *testSidecar {
	r, err := fakeserver.StartRegistry("127.0.0.1", lists)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	w := &testSidecar{registry: r, path: filepath.Join(t.TempDir(), name+".toml")}
	var pairs []string
	for i, addr := range r.Addrs() {
		r.RecordQueries(i)
		pairs = append(pairs, addr, fmt.Sprintf("list-%d", i))
	}
	w.addrs = strings.NewReplacer(pairs...)
	return w
}

// write writes the configuration with the first lists and additional text.
func (w *testSidecar) write(t *testing.T, front string, services int, extra string) {
	text := sidecarConfig(1, 0, 1, 0, front, w.registry.Addrs()[:services]) + extra
	if err := os.WriteFile(w.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// queries returns the queries for a list and their number. Repeated queries and wait times are
// left out, as they depend on timing.
func (w *testSidecar) queries(list int) (distinct []string, calls int) {
	for _, q := range w.registry.Queries(list) {
		if q = strings.TrimSuffix(q, "&wait_ms=0"); len(distinct) == 0 || distinct[len(distinct)-1] != strings.TrimSuffix(q, "&wait_ms=500") {
			distinct = append(distinct, strings.TrimSuffix(q, "&wait_ms=500"))
		}
		calls++
	}
	return distinct, calls
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 30 s", what)
		}
	}
}

var reloadLine = regexp.MustCompile(`INFO reload change=(.*)`)

// A hollow sidecar and a process of `gorselink serve` that get the same changes send the same
// queries and end with the same lists and configuration. Neither opens a socket to an endpoint
// before the first request.
func TestHollowSidecarMatchesRealSidecar(t *testing.T) {
	t.Parallel()
	const services = 3
	path := buildProgram(t)
	var endpoints [services][]*fakeserver.Node
	lists := make([][]fakeserver.Entry, services)
	for s := range services {
		for e := range 4 {
			n, err := fakeserver.StartNode(fakeserver.NodeConfig{Name: fmt.Sprintf("s%d-%d", s, e), Cores: 8})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(n.Close)
			endpoints[s] = append(endpoints[s], n)
			if e < 3 {
				lists[s] = append(lists[s], fakeserver.NewEntry(n, "in_service"))
			}
		}
	}
	realSidecar, hollowSidecar := newTestSidecar(t, "real", lists), newTestSidecar(t, "hollow", lists)
	sidecars := []*testSidecar{realSidecar, hollowSidecar}
	block, lock, err := acquireAddressBlock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lock.Close() })
	front := fmt.Sprintf("%s:%d", instanceHost(block, 0), portBase)
	realSidecar.write(t, front, 2, "")
	hollowSidecar.write(t, "127.0.0.1:0", 2, "")

	spawner := newProcessSpawner()
	t.Cleanup(spawner.close)
	dir := filepath.Dir(realSidecar.path)
	text, err := os.ReadFile(realSidecar.path)
	if err != nil {
		t.Fatal(err)
	}
	p := &instance{info: &InstanceInfo{Name: "real", Dir: dir, Config: realSidecar.path}, program: path, args: []string{"serve", "--config", realSidecar.path}, config: string(text),
		spawner: spawner, readyTimeout: 20 * time.Second, drainTimeout: 20 * time.Second, onCrash: func(line string) { t.Error(line) }}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	var fleet hollow.Sidecars
	t.Cleanup(fleet.Close)
	if err := fleet.Start(0, hollowSidecar.path); err != nil {
		t.Fatal(err)
	}
	waitForIndex := func(list, index int) {
		t.Helper()
		for _, w := range sidecars {
			waitFor(t, fmt.Sprintf("change %d of list %d", index, list), func() bool {
				distinct, _ := w.queries(list)
				return len(distinct) > 0 && distinct[len(distinct)-1] == fmt.Sprintf("after=%d", index)
			})
		}
	}
	waitForIndex(0, 1)
	waitForIndex(1, 1)
	change := func(list, node int, status string) {
		t.Helper()
		index := 0
		for _, w := range sidecars {
			var err error
			if index, err = w.registry.Update(list, fakeserver.NewEntry(endpoints[list][node], status)); err != nil {
				t.Fatal(err)
			}
		}
		waitForIndex(list, index)
	}
	change(0, 1, "terminating")
	change(1, 3, "in_service")
	change(0, 1, "terminated")
	change(0, 3, "in_service")
	change(1, 0, "terminating")

	// A reload adds a pool, a class and a route.
	more := "[classes.pay]\nworth = 5\n[[routes]]\nhost = \"pay.internal\"\npool = \"s000\"\nclass = \"pay\"\n"
	realSidecar.write(t, front, 3, more)
	hollowSidecar.write(t, "127.0.0.1:0", 3, more)
	if _, err := p.signal(syscall.SIGHUP, false); err != nil {
		t.Fatal(err)
	}
	changes, err := fleet.Reload(0)
	if err != nil {
		t.Fatal(err)
	}
	waitForIndex(2, 1)
	change(2, 2, "terminated")
	var logged []string
	waitFor(t, "configuration changes of the real sidecar", func() bool {
		log, _ := os.ReadFile(filepath.Join(dir, "log"))
		logged = nil
		for _, m := range reloadLine.FindAllStringSubmatch(string(log), -1) {
			logged = append(logged, unquote(m[1]))
		}
		return len(logged) >= len(changes)
	})
	for i := range changes {
		changes[i] = hollowSidecar.addrs.Replace(changes[i])
	}
	if all := realSidecar.addrs.Replace(strings.Join(logged, "\n")); all != strings.Join(changes, "\n") || len(changes) < 2 {
		t.Errorf("configuration changes of the real sidecar:\n%s\nof the hollow sidecar:\n%s", all, strings.Join(changes, "\n"))
	}

	// Compare the queries so far, and the rate of polls without changes.
	callsBefore := [2][services]int{}
	for i, w := range sidecars {
		for l := range services {
			_, callsBefore[i][l] = w.queries(l)
		}
	}
	for i, w := range sidecars {
		for l := range services {
			waitFor(t, "polls without changes", func() bool { _, calls := w.queries(l); return calls >= callsBefore[i][l]+4 })
		}
	}
	for l := range services {
		a, realCalls := realSidecar.queries(l)
		b, hollowCalls := hollowSidecar.queries(l)
		if !slices.Equal(a, b) { // also with different wait times
			t.Errorf("list %d: the real sidecar queried %q, the hollow one %q", l, a, b)
		}
		// The rates are compared with a tolerance, as the machine may stall either sidecar.
		realIdle, hollowIdle := realCalls-callsBefore[0][l], hollowCalls-callsBefore[1][l]
		if fewest := min(realIdle, hollowIdle); max(realIdle, hollowIdle) > 2+fewest+fewest/2 {
			t.Errorf("list %d: %d polls without changes by the real sidecar, %d by the hollow one", l, realIdle, hollowIdle)
		}
	}
	opened := 0
	for s := range services {
		for _, n := range endpoints[s] {
			opened += n.TotalConns()
		}
	}
	if opened > 0 {
		t.Errorf("%d sockets to endpoints before the first request", opened)
	}

	// The endpoints that the real sidecar sends requests to show its list.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	hollowLists := fleet.Lists(0)
	for s := range services {
		var known []string
		for _, e := range hollowLists[hollow.PoolName(s)].Endpoints {
			if e.Status == discovery.InService {
				known = append(known, e.Name)
			}
		}
		reached := func() (names []string) {
			for _, n := range endpoints[s] {
				if n.TotalRuns() > 0 {
					names = append(names, n.Name())
				}
			}
			return names
		}
		// An endpoint that joined is in slow start and may get none of the first 60 requests.
		good := 0
		waitFor(t, "60 requests through the real sidecar, at least one at each endpoint", func() bool {
			req, err := http.NewRequest(http.MethodGet, "http://"+front+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = hollow.PoolName(s) + ".internal"
			// The sidecar drops a connection that stalls for two seconds, which may happen on a busy
			// machine. Failed requests are repeated.
			resp, err := client.Do(req)
			if err != nil {
				return false
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				good++
			}
			return good >= 60 && len(reached()) >= len(known)
		})
		served := reached()
		if !slices.Equal(served, known) || len(known) < 2 {
			t.Errorf("service %d: the real sidecar has endpoints %q, the hollow one %q", s, served, known)
		}
	}
}

func unquote(s string) string {
	if strings.HasPrefix(s, `"`) {
		return strings.ReplaceAll(strings.Trim(s, `"`), `\"`, `"`)
	}
	return s
}

// A day depends only on its seed. It has all its changes, most of them within four hours, and
// each failed machine returns.
func TestDayActions(t *testing.T) {
	d := &Day{Fleet: Size{Sidecars: 84}, Changes: 2700, Restarts: 260, MachineFailures: 6, SidecarsPerMachine: 4, Regions: 3, Zones: 7}
	all, again := d.actionsInOrder(1), d.actionsInOrder(1)
	counts, morningChanges := map[string]int{}, 0
	for i, x := range all {
		if again[i].action != x.action || again[i].hour != x.hour || i > 0 && x.hour < all[i-1].hour {
			t.Fatalf("action %d: %+v and %+v", i, x, again[i])
		}
		if counts[x.action] += max(1, x.editCount); x.action == "edit" && x.hour >= 9 && x.hour < 13 {
			morningChanges += x.editCount
		}
		if x.location != "" && len(x.sidecars) != 4 {
			t.Errorf("%s has sidecars %v, want 4", x.location, x.sidecars)
		}
	}
	if counts["edit"] != 2700 || counts["restart"] != 260 || counts["stop"] != 6 || counts["start"] != 6 || morningChanges < 1620 {
		t.Errorf("actions: %v; %d changes between 9:00 and 13:00", counts, morningChanges)
	}
	seen := map[string]int{}
	for i := range d.Fleet.Sidecars {
		for _, place := range []string{fmt.Sprintf("zone-%d", d.zoneOf(i)), fmt.Sprintf("region-%d", d.zoneOf(i)%3), fmt.Sprintf("machine-%d", d.machineOf(i)), fmt.Sprintf("rack-%d", d.rackOf(d.machineOf(i)))} {
			seen[place]++
			if !slices.Contains(d.sidecarsAt(place), i) {
				t.Errorf("sidecar %d is not in %s", i, place)
			}
		}
	}
	if len(seen) != 7+3+21+7 || len(d.sidecarsAt("zone-7")) > 0 || len(d.sidecarsAt("moon-1")) > 0 || len(d.sidecarsAt("zone")) > 0 {
		t.Errorf("locations: %v", seen)
	}
}

// All errors in a scale experiment are reported at once, with line and key.
func TestScaleReportsAllErrors(t *testing.T) {
	_, err := ParseScale("x.toml", []byte("kind = \"scale\"\nspan = \"1\"\n[fleet]\nsidecars = 5000\nservices = 900\n[[sweeps]]\nof = \"moons\"\nsizes = [3, 4, 5]\n[[sweeps]]\nof = \"endpoints\"\nsizes = [4, 3, 5, 6, 7]\n[[reals]]\nsidecars = 2\n[day]\nnight = 1\n[[day.events]]\non = \"zone-9\"\ndo = \"cut\"\n"))
	var parseErrors tomlfile.Errors
	if !errors.As(err, &parseErrors) {
		t.Fatalf("got error %v, want a list of errors", err)
	}
	for _, want := range []string{"x.toml:2: span", "x.toml:4: fleet.sidecars", "x.toml:7: sweeps[0].of", "x.toml:8: sweeps[0].sizes", "x.toml:11: sweeps[1].sizes", "x.toml:13: reals[0].sidecars", "x.toml:15: day.night", "x.toml:17: day.events[0].on"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("not reported: %s; reported:\n%v", want, err)
		}
	}
}

// Void measurements have no costs and are left out of the fit. Predictions use only the smaller
// half of the sizes.
func TestVoidSizesHaveNoCosts(t *testing.T) {
	sized := func(at int, calls float64, void ...string) Measured {
		m := Measured{At: at, Costs: map[string]float64{"calls": calls}, Void: void}
		return *m.withoutVoidCosts()
	}
	r := SweepResult{Dimension: "sidecars", Sizes: []Measured{sized(1, 10), sized(2, 20), sized(3, 999, "busy")}}
	r.predict(4)
	r.Sizes = append(r.Sizes, sized(4, 44))
	r.fitLines()
	if len(r.Lines) != 1 {
		t.Fatalf("got lines %+v, want one", r.Lines)
	}
	l := r.Lines[0]
	if len(r.Sizes[2].Costs) != 0 || l.Predicted == nil || *l.Predicted != 40 || l.Measured == nil || *l.Measured != 44 || !l.Used || len(l.Residuals) != 3 {
		t.Errorf("line %+v, sizes %+v", l, r.Sizes)
	}
	far := SweepResult{Sizes: []Measured{sized(1, 10), sized(2, 20), sized(3, 30)}}
	far.predict(4)
	far.Sizes = append(far.Sizes, sized(4, 80))
	if far.fitLines(); far.Lines[0].Used {
		t.Error("a slope whose prediction missed by half is used")
	}
}

// Void measurements are repeated, up to a limit per run.
func TestVoidSizesAreMeasuredAgain(t *testing.T) {
	calls := 0
	measure := func(voidCount int) func() (*Measured, error) {
		calls = 0
		return func() (*Measured, error) {
			if calls++; calls <= voidCount {
				return &Measured{Void: []string{"busy"}}, nil
			}
			return &Measured{}, nil
		}
	}
	var o ScaleOptions
	if m, err := o.repeatIfVoid(measure(2)); err != nil || len(m.Void) > 0 || calls != 3 {
		t.Errorf("got %+v, error %v after %d measurements", m, err, calls)
	}
	if m, err := o.repeatIfVoid(measure(99)); err != nil || len(m.Void) == 0 || calls != 1+maxRepetitions-2 {
		t.Errorf("got %+v, error %v after %d measurements", m, err, calls)
	}
}

// The capacity page can read the written slopes; void measurements have no figures.
func TestSlopesAreReadBack(t *testing.T) {
	s := SweepResult{Dimension: "sidecars"}
	for i, calls := range []float64{200, 410, 590, 805} {
		s.Sizes = append(s.Sizes, Measured{At: 10 * (i + 1), Size: Size{Sidecars: 10 * (i + 1), Services: 10}, Costs: map[string]float64{"calls": calls, "busy": 20 + float64(i)}})
	}
	last := s.Sizes[3]
	s.Sizes = s.Sizes[:3]
	s.predict(40)
	s.Sizes = append(s.Sizes, last)
	s.fitLines()
	r := ScaleResult{Experiment: "x", Seed: 7, Cores: 8, Speedup: 1800, Sweeps: []SweepResult{s}, RealSidecars: []Measured{{Size: Size{Services: 20}, Void: []string{"busy"}}}, Day: &Measured{Costs: map[string]float64{"calls": 12.5}, Changes: 3}}
	var b strings.Builder
	if err := r.WriteSlopes(&b, "prove x"); err != nil {
		t.Fatal(err)
	}
	var in capacity.Inputs
	if err := in.ReadSlopes("x.toml", []byte(b.String())); err != nil {
		t.Fatalf("%v\n%s", err, b.String())
	}
	if len(in.Slopes) != 1 || in.Slopes[0].Name != "sidecars.calls" || in.Slopes[0].Slope != 19.95 || in.Slopes[0].Predicted != 830 || in.Slopes[0].Measured != 805 || in.Slopes[0].Base["services"] != 10 || in.Slopes[0].Base["sidecars"] != 0 || in.Slopes[0].MaxBusyPercent != 23 {
		t.Errorf("slopes: %+v", in.Slopes)
	}
	got := map[string]float64{}
	for _, f := range in.Figures {
		got[f.Name] = f.Value
	}
	if got["x.day.calls"] != 12.5 || got["x.day.changes"] != 3 || len(got) != 7 {
		t.Errorf("figures: %v", got)
	}
	if len(in.Runs) != 1 || in.Runs[0].Speedup != 1800 || in.Runs[0].Command != "prove x" {
		t.Errorf("runs: %+v", in.Runs)
	}
}

// A change counts for the event that was in effect when it was made, and for no other.
func TestChangeTimesPerDayEvent(t *testing.T) {
	d := &Day{Duration: 24 * time.Second, Events: []ScaleEvent{
		{Hour: 2, Action: "cut", Location: "region-1"}, {Hour: 4, Action: "heal", Location: "region-1"}, {Hour: 5, Action: "heal", Location: "region-1"},
		{Hour: 3, Action: "stop", Location: "zone-1"}, {Hour: 6, Action: "start", Location: "zone-1"}, {Hour: 20, Action: "weather", Location: "zone-2"},
	}}
	dayStart := time.Unix(1000, 0)
	var changes []fakeserver.Change
	for hour, ms := range map[int]int{1: 900, 2: 20, 3: 30, 4: 40, 5: 50, 6: 800, 23: 7} {
		changes = append(changes, fakeserver.Change{At: dayStart.Add(time.Duration(hour) * time.Second), Delays: []time.Duration{time.Millisecond, time.Duration(ms) * time.Millisecond}})
	}
	m := &Measured{Costs: map[string]float64{}}
	d.recordPerEvent(m, changes, dayStart)
	for name, want := range map[string]float64{"cut-region-1": 30, "stop-zone-1": 50, "weather-zone-2": 7} {
		if got := m.Costs[name+"_force100_slowest"]; got != want || m.Costs[name+"_force50_slowest"] != 1 {
			t.Errorf("%s: %v, want %v; all: %v", name, got, want, m.Costs)
		}
	}
}
