package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gorselink/internal/fakeserver"
)

// pauseAllowance is how long a process may be held up between reading its clock and writing.
const pauseAllowance = 150 * time.Millisecond

// scriptedResult is how a request to a scriptedEndpoint ended for its client.
type scriptedResult struct {
	id      string
	status  int // 0 without a response
	bytes   int // of the body
	whole   bool
	took    time.Duration // from the last byte of the request to that of the response
	problem error
	effects int
}

// RunTransfers performs a plan and returns the rules that were broken.
func RunTransfers(plan *TransferPlan, options Options) (breaks []string, err error) {
	r := &run{dir: options.Dir, listen: isolatedAddr(options.Slot), startedAt: time.Now()}
	r.plan = &Plan{Sidecar: SidecarPlan{Deadline: uploadBudget, MemoryMB: 128, Sockets: 256, Window: plan.Window}}
	r.tempDir, r.configPath = filepath.Join(r.dir, "tmp"), filepath.Join(r.dir, "config.json")
	defer r.close()
	effects := newEffectRecorder(plan.Window + pauseAllowance)
	if err := r.startScripted(effects); err != nil {
		return nil, err
	}
	p, err := r.start(options.Program)
	if err != nil {
		return nil, err
	}
	if err := r.awaitReady(p); err != nil {
		return nil, err
	}
	began := time.Now()
	results := make([]scriptedResult, len(plan.Transfers))
	var all sync.WaitGroup
	for i := range plan.Transfers {
		all.Go(func() {
			t := &plan.Transfers[i]
			time.Sleep(time.Until(began.Add(t.At)))
			results[i] = sendTransfer(r.listen, fmt.Sprintf("%016x", i+1), t)
		})
	}
	all.Wait()
	p.signal(syscall.SIGTERM)
	<-p.exited // after it a request that was written late has arrived
	for i := range plan.Transfers {
		results[i].effects = effects.count(results[i].id)
		if text := judgeTransfer(&plan.Transfers[i], &results[i]); text != "" {
			breaks = append(breaks, text)
		}
	}
	return breaks, nil
}

// startScripted starts the endpoints and discovery, and writes the configuration of a sidecar.
func (r *run) startScripted(effects *effectRecorder) error {
	if err := os.MkdirAll(r.tempDir, 0o700); err != nil {
		return err
	}
	var entries []fakeserver.Entry
	for i := range endpointCount {
		e, err := startScriptedEndpoint(effects)
		if err != nil {
			return err
		}
		r.scripted = append(r.scripted, e)
		entries = append(entries, fakeserver.Entry{Name: fmt.Sprintf("e%d", i), Address: e.address(), Zone: "a", Status: "in_service"})
	}
	var err error
	if r.agent, err = fakeserver.StartAgent(entries...); err != nil {
		return err
	}
	return r.writeConfig()
}

// sendTransfer sends the request of a transfer. Its id is also its key.
func sendTransfer(listen, id string, t *Transfer) scriptedResult {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n", t.method(), t.target(), id, t.Budget.Milliseconds())
	if t.Upload == nil {
		head.WriteString("\r\n")
	} else {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", id, t.Upload.Size)
		head.Write(make([]byte, t.Upload.Size))
	}
	return sendScripted(listen, id, head.Bytes())
}

// sendScripted sends one request on a connection of its own and reads the response.
func sendScripted(listen, id string, request []byte) scriptedResult {
	result := scriptedResult{id: id}
	conn, err := net.DialTimeout("tcp", listen, dialTimeout)
	if err != nil {
		result.problem = err
		return result
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(scriptedTimeout))
	if _, err := conn.Write(request); err != nil {
		result.problem = err
		return result
	}
	sent := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var body []byte
		result.status = resp.StatusCode
		body, err = io.ReadAll(resp.Body)
		result.bytes, result.whole = len(body), err == nil
	}
	result.problem, result.took = err, time.Since(sent)
	return result
}

// scriptedTimeout bounds the wait for a response to a scripted request.
const scriptedTimeout = 30 * time.Second

// judgeTransfer returns which rule was broken, or an empty string.
func judgeTransfer(t *Transfer, result *scriptedResult) string {
	describe := func(what string) string {
		return fmt.Sprintf("%s: %s: status %d, %d bytes, whole %t, after %v, %v (%s)", what, result.id, result.status, result.bytes, result.whole, result.took, result.problem, t)
	}
	switch {
	case result.status == 0:
		return describe("no answer")
	case t.Upload != nil && result.effects > 1:
		return describe(fmt.Sprintf("the effect happened %d times", result.effects))
	case t.Upload != nil && result.took > t.Budget+answerSlack:
		return describe("late answer")
	case t.Down != nil && result.status == http.StatusOK && (!result.whole || result.bytes != t.Down.Size):
		return describe("cut off while its endpoint was writing")
	}
	return ""
}
