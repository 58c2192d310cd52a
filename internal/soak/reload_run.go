package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemonExitTime is how long after SIGTERM a daemon may run: its notice, the longest deadline and a margin.
const daemonExitTime = 600*time.Millisecond + daemonDeadline + 2*time.Second

// innerPort is the port of the second listener.
const innerPort = "8001"

// RunReloads performs a plan and returns the rules that were broken.
func RunReloads(plan *ReloadPlan, options Options) (breaks []string, err error) {
	r := &run{plan: &Plan{}, dir: options.Dir, listen: isolatedAddr(options.Slot), startedAt: time.Now()}
	r.tempDir, r.configPath = filepath.Join(r.dir, "tmp"), filepath.Join(r.dir, "config.toml")
	defer r.close()
	if err := os.MkdirAll(r.tempDir, 0o700); err != nil {
		return nil, err
	}
	effects := newEffectRecorder(0)
	d := &daemonRun{run: r, plan: plan, effects: effects}
	for i := range d.endpoints {
		e, err := startScriptedEndpoint(effects)
		if err != nil {
			return nil, err
		}
		r.scripted, d.endpoints[i] = append(r.scripted, e), e.address()
	}
	host, _, err := net.SplitHostPort(r.listen)
	if err != nil {
		return nil, err
	}
	d.inner = net.JoinHostPort(host, innerPort)
	config := startConfig()
	if err := d.writeConfig(&config); err != nil {
		return nil, err
	}
	p, err := r.start(options.Program, "serve", "--config", r.configPath)
	if err != nil {
		return nil, err
	}
	if err := r.awaitReady(p); err != nil {
		return nil, err
	}
	return d.perform(p), nil
}

// daemonRun is a ReloadPlan in progress.
type daemonRun struct {
	*run
	plan      *ReloadPlan
	effects   *effectRecorder
	inner     string // address of the second listener
	endpoints [2]string
}

func (d *daemonRun) writeConfig(config *DaemonConfig) error {
	temp := d.configPath + ".new"
	if err := os.WriteFile(temp, []byte(config.text(d.listen, d.inner, d.endpoints)), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, d.configPath)
}

// perform sends the requests and signals, and returns the rules that were broken.
func (d *daemonRun) perform(p *process) (breaks []string) {
	began := time.Now()
	sleepUntil := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	results := make([]scriptedResult, len(d.plan.Requests))
	var all sync.WaitGroup
	for i, q := range d.plan.Requests {
		all.Go(func() {
			sleepUntil(q.At)
			results[i] = d.send(i, &q)
		})
	}
	for i := range d.plan.Reloads {
		reload := &d.plan.Reloads[i]
		sleepUntil(reload.At)
		if err := d.writeConfig(&reload.Config); err != nil {
			breaks = append(breaks, err.Error())
		}
		p.signal(syscall.SIGHUP)
	}
	sleepUntil(d.plan.Terminate)
	p.signal(syscall.SIGTERM)
	go d.killAfter(p, d.now(), daemonExitTime)
	all.Wait()
	<-p.exited
	for i := range results {
		if text := d.judge(&d.plan.Requests[i], &results[i]); text != "" {
			breaks = append(breaks, text)
		}
	}
	return append(breaks, judgeExit(p)...)
}

// send sends a request. Its path is unique, as the daemon gives it an id of its own.
func (d *daemonRun) send(number int, q *DaemonRequest) scriptedResult {
	address, id := d.listen, fmt.Sprintf("%016x", number+1)
	if q.Listener == innerListener {
		address = d.inner
	}
	request := fmt.Sprintf("POST /?%s=%d HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\nX-Budget-Ms: %d\r\nContent-Length: 0\r\n\r\n", queryWork, q.Work.Milliseconds(), id, daemonDeadline.Milliseconds())
	return sendScripted(address, id, []byte(request))
}

// judge returns which rule was broken, or an empty string.
func (d *daemonRun) judge(q *DaemonRequest, result *scriptedResult) string {
	effects := d.effects.count(result.id)
	switch {
	case result.status == 0 && effects > 0:
		return fmt.Sprintf("lost after it ran: %s, %v (%+v)", result.id, result.problem, *q)
	case result.status == 0:
		return fmt.Sprintf("no answer: %s, %v (%+v)", result.id, result.problem, *q)
	case result.status == http.StatusServiceUnavailable && effects > 0:
		return fmt.Sprintf("refused although it ran: %s (%+v)", result.id, *q)
	case effects > 1:
		return fmt.Sprintf("ran %d times: %s (%+v)", effects, result.id, *q)
	case result.took > daemonDeadline+answerSlack:
		return fmt.Sprintf("late answer: %s after %v (%+v)", result.id, result.took, *q)
	}
	return ""
}

// judgeExit returns the rules that the process broke.
func judgeExit(p *process) (breaks []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record.Killed {
		breaks = append(breaks, "the process had to be killed")
	} else if p.record.ExitError != "" {
		breaks = append(breaks, p.record.ExitError)
	}
	return breaks
}
