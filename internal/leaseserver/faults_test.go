package leaseserver

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gorselink/internal/experiment"
	"gorselink/internal/leaseclient"
)

// programDir holds the binaries that TestMain builds for the tests that start processes.
var programDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "voter")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	programDir = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "gorselink/cmd/gorselink", "gorselink/cmd/voter").CombinedOutput()
	if err != nil {
		fmt.Printf("%v: %s\n", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// newExperiment returns an experiment. Its first instances are voters, and each of the others
// requests one of the leases. Instance N is the group pN, and l-FROM-TO is the link from an
// instance to a voter.
func newExperiment(t *testing.T, voters, clients, leases int, length, span time.Duration, events string) *experiment.Experiment {
	t.Helper()
	return newExperimentWithCommand(t, voters, clients, leases, length, span, events, "sleep 1000")
}

// newExperimentWithCommand is like newExperiment, but lease holders run the given command.
func newExperimentWithCommand(t *testing.T, voters, clients, leases int, length, span time.Duration, events, command string) *experiment.Experiment {
	t.Helper()
	claimsDir := filepath.Join(t.TempDir(), "claims")
	if err := os.Mkdir(claimsDir, 0o700); err != nil {
		t.Fatal(err)
	}
	var config, leaseName strings.Builder
	for i := voters; i < voters+clients; i++ { // instance i requests lease i modulo leases
		fmt.Fprintf(&leaseName, "{{if eq .Index %d}}l%d{{end}}", i, i%leases)
	}
	fmt.Fprintf(&config, "span = \"%v\"\n[instances]\ncount = %d\nready = \"none\"\nports = [\"quorum\"]\ndrain = \"30s\"\nprogram = \"/bin/sh\"\n", span, voters+clients)
	fmt.Fprintf(&config, "arguments = [\"-c\", '{{if lt .Index %d}}exec %s/voter run --init -c {{.Config}}{{else}}exec %s/gorselink lease -c {{.Config}} run --claims %s/{{.Name}} --length %v --grace %v --retry %v %s -- %s{{end}}']\n",
		voters, programDir, programDir, claimsDir, length, length/4, length/2, leaseName.String(), command)
	config.WriteString("config = '''\n[quorum]\ncluster = \"test\"\ntick = \"50ms\"\n")
	for i := range voters {
		fmt.Fprintf(&config, "{{if eq .Index %d}}id = %d\nlisten = \"{{.Address \"quorum\"}}\"\ndir = \"{{.Dir}}/votes\"{{end}}\n", i, i+1)
	}
	for i := range voters {
		fmt.Fprintf(&config, "[[quorum.voters]]\nid = %d\naddress = \"{{.Reach %d \"quorum\"}}\"\n", i+1, i)
	}
	config.WriteString("'''\n[nodes]\ncount = 1\n")
	for i := range voters + clients {
		fmt.Fprintf(&config, "[[groups]]\nname = \"p%d\"\nof = \"instances\"\nfrom = %d\nmembers = 1\n", i, i)
	}
	for i := range voters + clients {
		for k := range voters {
			if i != k {
				fmt.Fprintf(&config, "[[links]]\nname = \"l-%d-%d\"\nfrom = \"p%d\"\nto = \"p%d\"\n", i, k, i, k)
			}
		}
	}
	e, err := experiment.Parse("voter.toml", []byte(config.String()+events))
	if err != nil {
		t.Fatal(err)
	}
	e.Name = claimsDir
	return e
}

// event returns one event of an experiment as TOML.
func event(at time.Duration, do, on, more string) string {
	return fmt.Sprintf("[[events]]\nat = \"%v\"\ndo = %q\non = %q\n%s\n", at, do, on, more)
}

// claim is a period in which a process reported that it held a lease.
type claim struct {
	lease      string
	pid        int
	epoch      uint64
	begin, end int64 // boot clock, in ns
	ended      bool  // the process reported the end; otherwise end is the time of its last report
}

// readClaims reads the claim files in dir and returns the claims, sorted by begin.
func readClaims(t *testing.T, dir string) (claims []claim) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			var eventKind, name string
			var pid int
			var epoch uint64
			var now, until int64
			if n, _ := fmt.Sscan(line, &eventKind, &name, &pid, &epoch, &now, &until); n != 6 {
				continue // the process was killed during the write
			}
			k := slices.IndexFunc(claims, func(c claim) bool { return c.lease == name && c.pid == pid && c.epoch == epoch && !c.ended })
			if eventKind == "begin" || k < 0 {
				claims = append(claims, claim{lease: name, pid: pid, epoch: epoch, begin: now, end: now})
				continue
			}
			claims[k].end, claims[k].ended = now, eventKind == "end"
		}
	}
	slices.SortFunc(claims, func(a, b claim) int { return int(a.begin - b.begin) })
	return claims
}

// checkClaims checks that claims of different processes for the same lease do not overlap and that
// their epochs increase.
func checkClaims(t *testing.T, claims []claim) {
	t.Helper()
	for i, c := range claims {
		for _, earlier := range claims[:i] {
			if earlier.lease != c.lease || earlier.pid == c.pid {
				continue
			}
			if earlier.end > c.begin {
				t.Errorf("lease %s: claim of process %d with epoch %d begins %v before the claim of process %d with epoch %d ends", c.lease, c.pid, c.epoch, time.Duration(earlier.end-c.begin), earlier.pid, earlier.epoch)
			}
			if earlier.epoch >= c.epoch {
				t.Errorf("lease %s: claim of process %d has epoch %d, want more than the epoch of process %d, which is %d", c.lease, c.pid, c.epoch, earlier.pid, earlier.epoch)
			}
		}
	}
}

// firstClaimBetween returns the first claim for a lease that begins in [from, to), or nil.
func firstClaimBetween(claims []claim, lease string, from, to int64) *claim {
	for i := range claims {
		if claims[i].lease == lease && claims[i].begin >= from && claims[i].begin < to {
			return &claims[i]
		}
	}
	return nil
}

// playExperiment runs an experiment and returns its claims and its start on the boot clock.
func playExperiment(t *testing.T, e *experiment.Experiment) (claims []claim, begin int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	start := int64(0)
	record, err := experiment.Run(ctx, e, experiment.Options{Program: "/bin/sh", OnReady: func([]int) { start = int64(leaseclient.Now()) }})
	if err != nil {
		t.Fatal(err)
	}
	for _, problem := range slices.Concat(record.EventErrors, record.Crashes, record.DrainFailures) {
		t.Error(problem)
	}
	return readClaims(t, e.Name), start
}

// While processes are killed, stopped and restarted and links are cut and delayed, a lease must
// have at most one holder and increasing epochs. After the faults each lease must have a holder.
func TestLeaseHasOneHolderDuringFaults(t *testing.T) {
	t.Parallel()
	const voters, clients, leases = 3, 6, 2
	const length, faultPeriod, recoveryPeriod = 2 * time.Second, 24 * time.Second, 12 * time.Second
	rng := rand.New(rand.NewPCG(4, 5))
	var events strings.Builder
	busyUntil := make([]time.Duration, voters+clients) // by instance: the end of its current fault
	for at := 3 * time.Second; at < faultPeriod; at += time.Duration(200+rng.IntN(700)) * time.Millisecond {
		i := rng.IntN(voters + clients)
		duration := time.Duration(300+rng.IntN(3700)) * time.Millisecond
		if busyUntil[i] > at {
			continue
		}
		busyUntil[i] = at + duration + 200*time.Millisecond
		p := fmt.Sprint("p", i)
		switch rng.IntN(4) {
		case 0:
			events.WriteString(event(at, "kill", p, "") + event(at+duration, "start", p, ""))
		case 1:
			events.WriteString(event(at, "stop", p, "") + event(at+duration, "continue", p, ""))
		case 2:
			direction := []string{"both", "out", "back"}[rng.IntN(3)]
			for k := range voters {
				if k != i {
					l := fmt.Sprintf("l-%d-%d", i, k)
					events.WriteString(event(at, "cut", l, "way = \""+direction+"\"") + event(at+duration, "heal", l, ""))
				}
			}
		case 3:
			for k := range voters {
				if k != i {
					l := fmt.Sprintf("l-%d-%d", i, k)
					events.WriteString(event(at, "weather", l, "delay = \"400ms\"\njitter = \"2s\"\nloss = 0.1") + event(at+duration, "heal", l, ""))
				}
			}
		}
	}
	e := newExperiment(t, voters, clients, leases, length, faultPeriod+4*time.Second+recoveryPeriod, events.String())
	claims, begin := playExperiment(t, e)
	checkClaims(t, claims)
	holders := map[int]bool{}
	for _, c := range claims {
		holders[c.pid] = true
	}
	t.Logf("%d claims by %d processes", len(claims), len(holders))
	if len(claims) < 6 {
		t.Error("too few claims, want at least 6")
	}
	end := begin + int64(faultPeriod+4*time.Second+recoveryPeriod)
	for i := range leases {
		name := fmt.Sprint("l", i)
		if !slices.ContainsFunc(claims, func(c claim) bool { return c.lease == name && c.end > end-int64(2*time.Second) }) {
			t.Errorf("lease %s has no holder after the faults", name)
		}
	}
}

// After the holder of a lease is killed, stopped, terminated or disconnected from the voters, the
// other process must acquire the lease within the expected time, and only after the claim of the
// first holder has ended.
func TestLeaseTransfer(t *testing.T) {
	t.Parallel()
	const length = 2 * time.Second
	for name, c := range map[string]struct {
		events   func(holder int) string
		minDelay time.Duration // from the event to the begin of the next claim
		maxDelay time.Duration
	}{
		// The upper limits allow for the lease length, clock drift, a tick of the leader and
		// scheduling delays.
		"killed": {func(h int) string { return event(6*time.Second, "kill", fmt.Sprint("p", h), "") }, 0, length + 3*time.Second},
		"stopped": {func(h int) string {
			return event(6*time.Second, "stop", fmt.Sprint("p", h), "") + event(12*time.Second, "continue", fmt.Sprint("p", h), "")
		}, 0, length + 3*time.Second},
		"disconnected":      {func(h int) string { return isolationEvents(h, "both") }, length / 2, length + 3*time.Second},
		"outgoing link cut": {func(h int) string { return isolationEvents(h, "out") }, length / 2, length + 3*time.Second},
		"incoming link cut": {func(h int) string { return isolationEvents(h, "back") }, 0, 2*length + 3*time.Second},
		"terminated":        {func(h int) string { return event(6*time.Second, "term", fmt.Sprint("p", h), "") }, 0, length / 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Two processes request one lease. The second one is stopped until the first one
			// holds it.
			e := newExperiment(t, 3, 2, 1, length, 14*time.Second, event(0, "stop", "p4", "")+event(5*time.Second, "continue", "p4", "")+c.events(3))
			claims, begin := playExperiment(t, e)
			checkClaims(t, claims)
			first := firstClaimBetween(claims, "l0", begin, begin+int64(6*time.Second))
			if first == nil {
				t.Fatalf("no holder within 6 s: claims %v", claims)
			}
			at := begin + int64(6*time.Second)
			next := firstClaimBetween(claims, "l0", at, math.MaxInt64)
			if next == nil || next.pid == first.pid {
				t.Fatalf("no other process acquired the lease: claims %v", claims)
			}
			delay := time.Duration(next.begin - at)
			t.Logf("next claim began %v after the event and %v after the end of the previous claim", delay.Round(time.Millisecond), time.Duration(next.begin-first.end).Round(time.Millisecond))
			if delay < c.minDelay || delay > c.maxDelay {
				t.Errorf("next claim began %v after the event, want %v to %v", delay, c.minDelay, c.maxDelay)
			}
		})
	}
}

// While a majority of the voters is down, a claim must not last longer than the lease length. After
// the voters have restarted with their logs, claims must have higher epochs.
func TestLeaseAfterMajorityRestart(t *testing.T) {
	t.Parallel()
	const length = 2 * time.Second
	e := newExperiment(t, 3, 2, 1, length, 20*time.Second, event(6*time.Second, "kill", "p0", "")+event(6*time.Second, "kill", "p1", "")+
		event(12*time.Second, "start", "p0", "")+event(12*time.Second, "start", "p1", ""))
	claims, begin := playExperiment(t, e)
	checkClaims(t, claims)
	restartAt := begin + int64(12*time.Second)
	for _, c := range claims {
		if c.begin < restartAt && c.end > begin+int64(6*time.Second+length)+int64(200*time.Millisecond) {
			t.Errorf("process %d claims the lease until %v after the majority was killed", c.pid, time.Duration(c.end-begin)-6*time.Second)
		}
	}
	before, after := firstClaimBetween(claims, "l0", begin, begin+int64(6*time.Second)), firstClaimBetween(claims, "l0", restartAt, math.MaxInt64)
	if before == nil || after == nil || after.epoch <= before.epoch {
		t.Errorf("claim before the restart %+v, after it %+v; want both, the second with a higher epoch", before, after)
	}
}

// If the links of a voter are cut and restored every 200 ms, it must not disrupt the leader, due
// to pre-vote, and the holder must keep its lease.
func TestFlappingLinkKeepsLeader(t *testing.T) {
	t.Parallel()
	var events strings.Builder
	for at := 5 * time.Second; at < 13*time.Second; at += 400 * time.Millisecond {
		for _, l := range []string{"l-2-0", "l-2-1", "l-0-2", "l-1-2"} {
			events.WriteString(event(at, "cut", l, "") + event(at+200*time.Millisecond, "heal", l, ""))
		}
	}
	e := newExperiment(t, 3, 2, 1, 4*time.Second, 16*time.Second, events.String())
	claims, begin := playExperiment(t, e)
	checkClaims(t, claims)
	if c := firstClaimBetween(claims, "l0", begin, math.MaxInt64); c == nil || len(claims) != 1 || c.end < begin+int64(15*time.Second) {
		t.Errorf("claims %+v, want a single claim that lasts to the end", claims)
	}
}

// The child of a holder that is disconnected from the voters must be killed before the claim ends,
// even if it ignores SIGTERM.
func TestLeaseRunKillsChildBeforeClaimEnds(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	script, outputPath := filepath.Join(dir, "child.sh"), filepath.Join(dir, "output")
	if err := os.WriteFile(script, []byte("trap '' TERM\nwhile :; do read up rest </proc/uptime; echo $LEASE_EPOCH $up >>"+outputPath+"; sleep 0.05; done\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const length = 2 * time.Second
	e := newExperimentWithCommand(t, 3, 1, 1, length, 12*time.Second, isolationEvents(3, "both"), "sh "+script)
	claims, begin := playExperiment(t, e)
	checkClaims(t, claims)
	if len(claims) == 0 || claims[0].begin > begin+int64(6*time.Second) {
		t.Fatalf("claims %+v, want the first one to begin within 6 s", claims)
	}
	data, err := os.ReadFile(outputPath)
	if err != nil {
		t.Fatal(err)
	}
	last, n := 0.0, 0
	for _, line := range strings.Split(string(data), "\n") {
		var epoch uint64
		var up float64
		if k, _ := fmt.Sscan(line, &epoch, &up); k == 2 && epoch == claims[0].epoch {
			last, n = max(last, up), n+1
		}
	}
	// The script writes the uptime with a resolution of 10 ms.
	if late := last - float64(claims[0].end)/1e9; n < 20 || late > 0.011 {
		t.Errorf("%d lines of output, the last one %.3f s after the end of the claim; want at least 20 lines and at most 0.011 s", n, late)
	}
}

// A voter with a missing or damaged log must exit with an error that names the file.
func TestVoterRejectsMissingOrDamagedLog(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "v.toml")
	if err := os.WriteFile(file, []byte("[quorum]\ncluster = \"c\"\nid = 1\ndir = \"votes\"\n[[quorum.voters]]\nid = 1\naddress = \"127.0.0.1:1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) (string, error) {
		out, err := exec.Command(programDir+"/voter", append(args, "-c", file)...).CombinedOutput()
		return string(out), err
	}
	if out, err := run("run"); err == nil || !strings.Contains(out, "votes/quorum.db: log file not found") {
		t.Errorf("run without a log: error %v, output %s", err, out)
	}
	if out, err := run("init"); err != nil {
		t.Errorf("init: error %v, output %s", err, out)
	}
	if out, err := run("init"); err == nil || !strings.Contains(out, "log file already exists") {
		t.Errorf("second init: error %v, output %s", err, out)
	}
	if err := os.Truncate(filepath.Join(dir, "votes", dbFileName), 5000); err != nil {
		t.Fatal(err)
	}
	if out, err := run("run"); err == nil || !strings.Contains(out, "quorum.db") || strings.Contains(out, "goroutine") {
		t.Errorf("run with a truncated log: error %v, output %s", err, out)
	}
}

// isolationEvents cuts the links from instance h to all voters at 6 s and restores them at 12 s.
func isolationEvents(h int, direction string) (events string) {
	for k := range 3 {
		l := fmt.Sprintf("l-%d-%d", h, k)
		events += event(6*time.Second, "cut", l, "way = \""+direction+"\"") + event(12*time.Second, "heal", l, "")
	}
	return events
}
