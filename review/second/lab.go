// Command review-2 runs one case of the second review: it starts the sidecar as a process of its
// own, with stand-ins for clients, endpoints and discovery on loopback addresses, and judges what
// they have seen.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The results of a case, which are the exit codes of its script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// lab holds what a case has started, and its record.
type lab struct {
	root    string // of the project
	temp    string
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	closed bool
	sent   int // usual requests
}

// note writes a line with its time to the record.
func (l *lab) note(format string, args ...any) {
	at := time.Since(l.start).Seconds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		fmt.Fprintf(l.record, "%8.3f %s\n", at, fmt.Sprintf(format, args...))
	}
}

// stop panics with the reason for which the case could not run.
type stop struct{ reason string }

// unixMs returns the Unix time in milliseconds, of which the script gives the second of its start.
func (l *lab) unixMs() int64 {
	seconds, err := strconv.ParseInt(os.Getenv("STARTED"), 10, 64)
	l.must(err)
	return seconds*1000 + time.Since(l.start).Milliseconds()
}

// must stops the case after an error.
func (l *lab) must(err error) {
	if err != nil {
		panic(stop{err.Error()})
	}
}

// process is a started sidecar.
type process struct {
	cmd    *exec.Cmd
	config string
	exited chan struct{}
	log    string
}

// deployKey returns a command of the deploy file.
func (l *lab) deployKey(name string) string {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy/balancer.toml"))
	l.must(err)
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" = \""); ok {
			return strings.TrimSuffix(strings.TrimSpace(rest), "\"")
		}
	}
	panic(stop{"deploy/balancer.toml has no " + name})
}

// sidecar starts a sidecar with this configuration, by the run command of the deploy file.
func (l *lab) sidecar(c config) *process {
	name := fmt.Sprintf("%s-%d", c.Name, len(l.procs))
	path := filepath.Join(l.temp, name+".json")
	c.write(l, path)
	tmp := filepath.Join(l.temp, c.Name+"-tmp")
	l.must(os.MkdirAll(tmp, 0o700))
	return l.launch(name, path, l.deployKey("run"), "ROUTER_NAME="+c.Name, "ROUTER_LISTEN="+c.Listen, "ROUTER_DISCOVERY="+c.Discovery, "ROUTER_CONFIG="+path, "TMPDIR="+tmp)
}

// daemon starts the program of the run command as a daemon of several services, with this configuration.
func (l *lab) daemon(text string) *process {
	name := fmt.Sprintf("daemon-%d", len(l.procs))
	path := filepath.Join(l.temp, name+".toml")
	l.must(os.WriteFile(path, []byte(text), 0o600))
	return l.launch(name, path, l.deployKey("run")+" serve --config "+path)
}

// launch starts a command.
func (l *lab) launch(name, path, command string, env ...string) *process {
	logPath := filepath.Join(l.temp, name+".log")
	out, err := os.Create(logPath)
	l.must(err)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = l.root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	l.must(cmd.Start())
	p := &process{cmd: cmd, config: path, exited: make(chan struct{}), log: logPath}
	go func() {
		err := cmd.Wait()
		l.note("process %s exited: %v", name, err)
		close(p.exited)
	}()
	l.procs = append(l.procs, p)
	l.note("process %s started, pid %d", name, cmd.Process.Pid)
	return p
}

// signal sends a signal to the sidecar.
func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// reload replaces the configuration of a daemon.
func (l *lab) reload(p *process, text string) {
	l.must(os.WriteFile(p.config+".new", []byte(text), 0o600))
	l.must(os.Rename(p.config+".new", p.config))
	l.note("SIGHUP with a new configuration")
	p.signal(syscall.SIGHUP)
}

// waitReady waits until the sidecar says that it is ready.
func (l *lab) waitReady(c config) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := send(c.Listen, call{method: "GET", path: "/-/ready", wait: time.Second})
		if a.status == 200 {
			l.note("sidecar %s is ready", c.Name)
			return
		}
	}
	panic(stop{"the sidecar was not ready within 20 s"})
}

// close ends what the case has started.
func (l *lab) close() {
	for _, p := range l.procs {
		if p.running() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			select {
			case <-p.exited:
			case <-time.After(5 * time.Second):
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.record.Close()
	os.RemoveAll(l.temp)
}

// usual sends n reads of campaigns, one after the other.
func (l *lab) usual(c config, n int, pause time.Duration) {
	for range n {
		l.sent++
		a := l.send(c.Listen, call{method: "GET", path: "/campaign-view/1", id: fmt.Sprintf("%016x", 0x1000+l.sent), budget: 1500 * time.Millisecond, wait: 2500 * time.Millisecond})
		l.note("client: usual request: %v", a)
		time.Sleep(pause)
	}
}

// memory is what a group of endpoints remembers of keys.
type memory struct {
	mu    sync.Mutex
	until map[string]time.Time
	runs  map[string]int
}

func newMemory() *memory { return &memory{until: map[string]time.Time{}, runs: map[string]int{}} }

// run runs a request with a key unless the group remembers it, and reports whether it did. The key is
// remembered for the window from then on.
func (m *memory) run(key string, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.until[key]) {
		return false
	}
	m.until[key] = time.Now().Add(window)
	m.runs[key]++
	return true
}

// count returns how often the group has run a key.
func (m *memory) count(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[key]
}

// freeAddr returns a free loopback address.
func (l *lab) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// class is a class of requests in the settings.
type class struct {
	Name                                           string
	Semantics, KeyScope                            string
	AimS, DeadlineS, MemorySpanS, Worth, LateWorth float64
	Stream                                         bool
}

// config is the configuration of a sidecar.
type config struct {
	Name, Listen, Discovery string
	Known                   list
	Mode                    string // push or ask
	Classes                 []class
	MayDuplicate            bool
}

// entry is an endpoint in discovery's form.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// list is a list in discovery's form.
type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// defaultClasses are those of the donation platform.
func defaultClasses() []class {
	return []class{
		{"campaign-view", "free", "all", 0.6, 1.5, 5, 3, 0.5, false},
		{"pledge", "single_shot", "all", 0.6, 1.5, 5, 3, 0.25, false},
		{"receipt", "single_shot", "all", 1.2, 3, 5, 3, 0.25, false},
		{"payment", "single_shot", "all", 1.2, 3, 5, 9, 0.2, false},
	}
}

func (c *config) write(l *lab, path string) {
	type object = map[string]any
	if c.Mode == "" {
		c.Mode = "push"
	}
	settings := object{
		"Me": 0, "NInstances": 1, "Zone": 0, "Zones": []string{"hall-a", "hall-b", "hall-c"},
		"Tier": 0, "Tiers": []string{"gateway", "ledger"}, "Kinds": []string{"gw-fast", "gw-std"},
		"Clients": object{"MarksRetry": true}, "Workload": "chain", "Specifics": object{"PassesDeadline": false},
		"RegistryMode": c.Mode, "WeightSource": "nominal", "WorthBy": "request", "OverShareWorth": 0.1, "TickS": 0.002,
		"Goal": object{"Whole": 0.8, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.1},
		"Limits": object{"Cancel": true, "ConnIdleS": 5.0, "ConnectTimeoutS": 0.15, "CpuUsPerRequest": 0.0, "CpuUsPerS": 39359,
			"MaxOpen": 52479, "MaxRetryAfterS": 1.5, "MayDuplicate": c.MayDuplicate, "Multiplex": 1, "Peers": false, "Probes": false, "RetryAfter": true, "TryLimit": 6},
		"Obligations": object{"AnswerSlackS": 0.008, "AskWithinS": 10.0, "ColdShare": 0.31, "DrainGraceS": 2.0, "FallMultiple": 3.0, "OverloadForS": 3.0, "RampTimeS": 8.8},
		"Prices":      object{"Connection": 0.0, "CrossZone": 0.0, "Handshake": 0.0, "LateFail": 0.08, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0, "RegistryMode": 0.0, "Waste": 0.02},
		"Report":      object{"Fields": []string{}, "How": "none"}, "Tenants": []string{}, "RequestClasses": c.Classes,
	}
	text, err := json.MarshalIndent(object{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"known":  c.Known, "settings": settings,
	}, "", " ")
	l.must(err)
	l.must(os.WriteFile(path+".new", text, 0o600))
	l.must(os.Rename(path+".new", path))
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*lab) (bool, string){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER ROOT")
		os.Exit(couldNot)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(couldNot)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

// noteLogs notes the ends of the logs of all processes.
func (l *lab) noteLogs() {
	for _, p := range l.procs {
		if text, err := os.ReadFile(p.log); err == nil {
			lines := strings.Split(strings.TrimSpace(string(text)), "\n")
			for _, line := range lines[max(0, len(lines)-40):] {
				l.note("log of pid %d: %s", p.cmd.Process.Pid, line)
			}
		}
	}
}

func runCase(run func(*lab) (bool, string), folder, root string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	l := &lab{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	defer l.close()
	defer func() {
		if s, ok := recover().(stop); ok {
			l.noteLogs()
			l.note("COULD NOT RUN: %s", s.reason)
			fmt.Println("could not run:", s.reason)
			code = couldNot
		}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		why := "over 115 s"
		select {
		case s := <-ended:
			why = s.String()
		case <-time.After(115 * time.Second):
		}
		l.note("COULD NOT RUN: %s", why)
		l.close()
		os.Exit(couldNot)
	}()
	l.note("trouble: %t", l.trouble)
	isBroken, why := run(l)
	l.noteLogs()
	word := map[bool]string{true: "BROKEN", false: "HELD"}[isBroken]
	l.note("%s: %s", word, why)
	fmt.Printf("%s: %s\n", word, why)
	if isBroken {
		return broken
	}
	return held
}
