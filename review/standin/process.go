package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Process is a process that the case has started, in a process group of its own.
type Process struct {
	Cmd   *exec.Cmd
	name  string
	ended chan struct{}
}

// Start starts a program and writes its output to the record.
func (c *Case) Start(name string, env []string, command ...string) (*Process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir = c.Root
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = in, in
	err = cmd.Start()
	in.Close()
	if err != nil {
		out.Close()
		return nil, err
	}
	p := &Process{Cmd: cmd, name: name, ended: make(chan struct{})}
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Note("%s: started, process %d", name, cmd.Process.Pid)
	go c.copyLines(name, out)
	go func() {
		err := cmd.Wait()
		c.Note("%s: ended, %v", name, err)
		close(p.ended)
	}()
	return p, nil
}

func (c *Case) copyLines(name string, from io.ReadCloser) {
	defer from.Close()
	for lines := bufio.NewScanner(from); lines.Scan(); {
		c.Note("%s| %.400s", name, lines.Text())
	}
}

// Signal sends a signal to the process itself.
func (c *Case) Signal(p *Process, sig syscall.Signal) {
	c.Note("%s: %v is sent", p.name, sig)
	p.Cmd.Process.Signal(sig)
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// endProcesses kills the process groups of all processes and calls the functions of AtEnd.
func (c *Case) endProcesses() {
	c.mu.Lock()
	procs, atEnd := c.procs, c.atEnd
	c.mu.Unlock()
	for _, p := range procs {
		syscall.Kill(-p.Cmd.Process.Pid, syscall.SIGKILL)
	}
	for _, p := range procs {
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
	}
	for _, f := range atEnd {
		f()
	}
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Class is a class of requests in the settings.
type Class struct {
	Name      string  `json:"Name"`
	Semantics string  `json:"Semantics"` // free, guarded or single_shot
	AimS      float64 `json:"AimS"`
	DeadlineS float64 `json:"DeadlineS"`
	Worth     float64 `json:"Worth"`
	LateWorth float64 `json:"LateWorth"`
	KeyScope  string  `json:"KeyScope"`
	MemoryS   float64 `json:"MemorySpanS"`
	Stream    bool    `json:"Stream"`
}

// Classes are those of the donation platform, as the brief has them.
func Classes() []Class {
	return []Class{
		{Name: "campaign-view", Semantics: "free", AimS: 0.6, DeadlineS: 1.5, Worth: 3, LateWorth: 0.5, KeyScope: "all", MemoryS: 5},
		{Name: "pledge", Semantics: "single_shot", AimS: 0.6, DeadlineS: 1.5, Worth: 3, LateWorth: 0.25, KeyScope: "all", MemoryS: 5},
		{Name: "receipt", Semantics: "single_shot", AimS: 1.2, DeadlineS: 3, Worth: 3, LateWorth: 0.25, KeyScope: "all", MemoryS: 5},
		{Name: "payment", Semantics: "single_shot", AimS: 1.2, DeadlineS: 3, Worth: 9, LateWorth: 0.2, KeyScope: "all", MemoryS: 5},
	}
}

// Sidecar is one sidecar of the platform, which may have several processes in turn.
type Sidecar struct {
	Listen string

	c      *Case
	config string
	tmp    string
	proc   *Process
}

// SidecarConfig has the settings of a sidecar that differ between cases.
type SidecarConfig struct {
	Discovery string
	MemoryMB  int
	Sockets   int
	Classes   []Class
	Zones     []string // hall-a unless set
	Asked     bool     // discovery is asked, where lists are pushed otherwise
	Known     []Entry
}

// NewSidecar writes the configuration of a sidecar, with the settings that the WIRE page has as
// its example.
func (c *Case) NewSidecar(cfg SidecarConfig) (*Sidecar, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	s := &Sidecar{Listen: listen, c: c, config: filepath.Join(c.Dir, "config.json"), tmp: filepath.Join(c.Dir, "tmp")}
	if err := os.MkdirAll(s.tmp, 0o700); err != nil {
		return nil, err
	}
	return s, s.Configure(cfg)
}

// Configure writes the configuration of the sidecar.
func (s *Sidecar) Configure(cfg SidecarConfig) error {
	if cfg.Zones == nil {
		cfg.Zones = []string{"hall-a"}
	}
	if cfg.Known == nil {
		cfg.Known = []Entry{}
	}
	mode := "push"
	if cfg.Asked {
		mode = "ask"
	}
	config := map[string]any{
		"name": "n1", "listen": s.Listen, "discovery": cfg.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets},
		"known":  map[string]any{"index": 1, "snapshot": true, "endpoints": cfg.Known},
		"settings": map[string]any{
			"Me": 0, "NInstances": 1, "Tier": 0, "Tiers": []string{"gateway", "ledger"}, "Zone": 0, "Zones": cfg.Zones,
			"Kinds": []string{"gw-fast", "gw-std"}, "Clients": map[string]any{"MarksRetry": true},
			"Goal": map[string]any{"Whole": 0.8, "WorstClass": 0.1, "WorstTenant": 0.0, "WorstWindow": 0.1},
			"Limits": map[string]any{"Cancel": true, "ConnIdleS": 5.0, "ConnectTimeoutS": 0.15, "CpuUsPerRequest": 0.0, "CpuUsPerS": 39359, "MaxOpen": 52479,
				"MaxRetryAfterS": 1.5, "MayDuplicate": true, "Multiplex": 1, "Peers": false, "Probes": false, "RetryAfter": true, "TryLimit": 6},
			"Obligations": map[string]any{"AnswerSlackS": 0.008, "AskWithinS": 10.0, "ColdShare": 0.31, "DrainGraceS": 2.0, "FallMultiple": 3.0, "OverloadForS": 3.0, "RampTimeS": 8.8},
			"Prices": map[string]any{"Connection": 0.0, "CrossZone": 0.015, "Handshake": 0.0, "LateFail": 0.08, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0,
				"RegistryMode": 0.0, "Waste": 0.02},
			"OverShareWorth": 0.1, "RegistryMode": mode, "Report": map[string]any{"Fields": []string{}, "How": "none"}, "RequestClasses": cfg.Classes,
			"Specifics": map[string]any{"PassesDeadline": false}, "Tenants": []any{}, "TickS": 0.002, "WeightSource": "nominal", "Workload": "chain", "WorthBy": "request",
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.config, text, 0o600)
}

// Reload replaces the configuration and sends SIGHUP.
func (s *Sidecar) Reload(cfg SidecarConfig) error {
	if err := s.Configure(cfg); err != nil {
		return err
	}
	s.c.Signal(s.proc, syscall.SIGHUP)
	return nil
}

// Run starts a process of the sidecar by the deploy file's run and waits until it is ready.
func (s *Sidecar) Run() (*Process, error) {
	return s.start("sidecar", func() (bool, error) {
		resp, err := http.Get("http://" + s.Listen + "/-/ready")
		if err != nil {
			return false, nil
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK, nil
	})
}

func (s *Sidecar) start(name string, ready func() (bool, error)) (*Process, error) {
	deploy, err := os.ReadFile(filepath.Join(s.c.Root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run")
	}
	p, err := s.c.Start(name, []string{"ROUTER_NAME=n1", "ROUTER_LISTEN=" + s.Listen, "ROUTER_CONFIG=" + s.config, "TMPDIR=" + s.tmp}, "/bin/sh", "-c", string(run[1]))
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ok, err := ready()
		if err != nil {
			return nil, err
		}
		if ok {
			s.c.Note("%s: ready", name)
			s.proc = p
			return p, nil
		}
		select {
		case <-p.ended:
			return nil, fmt.Errorf("%s has ended before it was ready", name)
		default:
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%s is not ready", name)
		}
	}
}

// Next starts another process of the sidecar and waits until its console says that it is ready.
func (s *Sidecar) Next(console string) (*Process, error) {
	return s.start("successor", func() (bool, error) {
		resp, err := http.Get("http://" + console + "/ready")
		if err != nil {
			return false, nil
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK, nil
	})
}
