package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/trace"
)

// A worker is a process that executes one part of a plan. It communicates over
// standard input and output, one JSON object or word per line:
//
//	in   workerOrder             what to do
//	out  workerMessage{Ready}    the plan is ready; or Error, if it cannot be executed
//	in   start
//	out  workerMessage{Live}     about once a second
//	in   stop                    at any time: end now and report
//	out  workerMessage{Report}
//
// The end of the input is a stop too, so that no worker outlives its parent.
type workerOrder struct {
	Spec *Spec      `json:"spec"`
	Part WorkerPart `json:"part"`
}

type workerMessage struct {
	Ready  bool      `json:"ready,omitempty"`
	Error  string    `json:"error,omitempty"`
	Live   *Progress `json:"live,omitempty"`
	Report *Report   `json:"report,omitempty"`
}

const (
	messageStart = "start"
	messageStop  = "stop"
	// maxMessageBytes bounds a line in either direction; the report of a long run
	// has some megabytes.
	maxMessageBytes = 1 << 30
	// workerStopTimeout is the time a worker has from a stop to its report.
	workerStopTimeout = 15 * time.Second
)

// ServeWorker executes a worker's part: it reads its order from in and writes messages
// to out until it has reported. All workers read the same traces, so only the first
// one reports skipped lines, to errs.
func ServeWorker(ctx context.Context, in io.Reader, out, errs io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	enc := json.NewEncoder(out)
	send := func(w workerMessage) error {
		mu.Lock()
		defer mu.Unlock()
		return enc.Encode(w)
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxMessageBytes)
	if !lines.Scan() {
		return errors.New("load: worker: input ended before the order")
	}
	var o workerOrder
	if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
		return fmt.Errorf("load: worker: decode order: %w", err)
	}
	skipReporter := SkipReporter{Out: errs}
	r, err := o.runner(&skipReporter, func(l Progress) { send(workerMessage{Live: &l}) })
	if err != nil {
		return send(workerMessage{Error: err.Error()})
	}
	if err := send(workerMessage{Ready: true}); err != nil {
		return err
	}
	if !lines.Scan() || lines.Text() != messageStart {
		return nil // the parent cancelled the run
	}
	go func() {
		defer cancel()
		lines.Scan() // a stop message, or the end of the parent
	}()
	rep, err := r.Run(ctx).Report()
	skipReporter.Summarize()
	if err != nil {
		return err
	}
	return send(workerMessage{Report: rep})
}

func (o *workerOrder) runner(skipReporter *SkipReporter, live func(Progress)) (*Runner, error) {
	if o.Spec == nil {
		return nil, errors.New("load: worker: the order has no spec")
	}
	var onSkipped func(string, *trace.BadLineError)
	if o.Part.Index == 0 {
		onSkipped = skipReporter.Report
	}
	cfg, err := o.Spec.Config(o.Part, onSkipped)
	if err != nil {
		return nil, err
	}
	cfg.OnProgress = live
	return New(*cfg)
}

// RunWorkers executes a run with several processes, started with the commands that
// command returns, and merges their results. The part of a worker that fails is
// missing from the Result, and its PlanError says so.
func RunWorkers(ctx context.Context, workers int, s *Spec, live func(Progress), command func() *exec.Cmd) (*Result, error) {
	all := make([]*worker, workers)
	defer func() {
		for _, w := range all {
			if w != nil {
				w.stop()
			}
		}
	}()
	for i := range all {
		w, err := startWorker(command(), workerOrder{s, WorkerPart{i, workers}})
		if err != nil {
			return nil, fmt.Errorf("load: worker %d of %d: %w", i+1, workers, err)
		}
		all[i] = w
	}
	for i, w := range all {
		if err := w.awaitReady(); err != nil {
			return nil, fmt.Errorf("load: worker %d of %d: %w", i+1, workers, err)
		}
	}
	start := time.Now()
	for _, w := range all {
		io.WriteString(w.in, messageStart+"\n") // a worker that has ended is detected when its report is read
	}
	var readers sync.WaitGroup
	for _, w := range all {
		readers.Go(w.readUntilReport)
	}
	done := make(chan struct{})
	go func() {
		readers.Wait()
		close(done)
	}()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	stop := ctx.Done()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-stop:
			stop = nil
			for _, w := range all {
				io.WriteString(w.in, messageStop+"\n")
				kill := time.AfterFunc(workerStopTimeout, func() { w.cmd.Process.Kill() })
				defer kill.Stop()
			}
		case <-tick.C:
			if live != nil {
				sum := Progress{At: time.Since(start)}
				for _, w := range all {
					if l := w.live.Load(); l != nil {
						sum.Due, sum.Ended, sum.InFlight = sum.Due+l.Due, sum.Ended+l.Ended, sum.InFlight+l.InFlight
					}
				}
				live(sum)
			}
		}
	}
	var names []string
	for i := range s.Streams {
		names = append(names, s.streamName(i))
	}
	res := newResult(names)
	for i, w := range all {
		if w.err != nil {
			res.PlanError = errors.Join(res.PlanError, fmt.Errorf("worker %d of %d: %w; its part is missing from the result", i+1, workers, w.err))
			continue
		}
		res.Merge(w.result)
	}
	return res, nil
}

// worker is the parent's view of a worker process.
type worker struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	lines  *bufio.Scanner
	live   atomic.Pointer[Progress]
	result *Result // valid after readUntilReport
	err    error
	ended  bool
}

func startWorker(cmd *exec.Cmd, o workerOrder) (*worker, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w := &worker{cmd: cmd, in: in, lines: bufio.NewScanner(out)}
	w.lines.Buffer(nil, maxMessageBytes)
	if err := json.NewEncoder(in).Encode(o); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

// readMessage reads the next message of the worker.
func (w *worker) readMessage() (workerMessage, error) {
	if !w.lines.Scan() {
		if err := w.lines.Err(); err != nil {
			return workerMessage{}, err
		}
		return workerMessage{}, fmt.Errorf("ended without a report (%v)", w.wait())
	}
	var v workerMessage
	if err := json.Unmarshal(w.lines.Bytes(), &v); err != nil {
		return workerMessage{}, fmt.Errorf("decode message %.80q: %w", w.lines.Text(), err)
	}
	if v.Error != "" {
		return v, errors.New(v.Error)
	}
	return v, nil
}

func (w *worker) awaitReady() error {
	v, err := w.readMessage()
	if err == nil && !v.Ready {
		err = errors.New("the first message does not say that the worker is ready")
	}
	return err
}

// readUntilReport reads messages up to the report or an error.
func (w *worker) readUntilReport() {
	for w.result == nil && w.err == nil {
		v, err := w.readMessage()
		switch {
		case err != nil:
			w.err = err
		case v.Live != nil:
			w.live.Store(v.Live)
		case v.Report != nil:
			w.result, w.err = v.Report.Result()
		}
	}
}

// wait waits for the process to end and returns its exit status as an error, even if it is 0.
func (w *worker) wait() error {
	w.ended = true
	if err := w.cmd.Wait(); err != nil {
		return err
	}
	return errors.New("exit status 0")
}

// stop ends the process: closing its input stops it, and it is killed after a timeout.
func (w *worker) stop() {
	if w.ended {
		return
	}
	w.in.Close()
	kill := time.AfterFunc(workerStopTimeout, func() { w.cmd.Process.Kill() })
	defer kill.Stop()
	w.wait()
}
