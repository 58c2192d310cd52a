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

// A worker is a process of its own that makes one part of a plan. It is told
// what to do on its standard input and answers on its standard output, an
// object a line:
//
//	in   order         what to do
//	out  word{ready}   its plan is made, or why it cannot be
//	in   start
//	out  word{live}    about once a second
//	in   stop          at any time: end now and report
//	out  word{report}
//
// The end of its input is a stop too, so that no worker outlives its parent.
type order struct {
	Spec *Spec      `json:"spec"`
	Part WorkerPart `json:"part"`
}

type word struct {
	Ready  bool      `json:"ready,omitempty"`
	Error  string    `json:"error,omitempty"`
	Live   *Progress `json:"live,omitempty"`
	Report *Report   `json:"report,omitempty"`
}

const (
	wordStart = "start"
	wordStop  = "stop"
	// mostWord bounds a line of the parent or of a worker; a report of a long
	// run has some megabytes.
	mostWord = 1 << 30
	// windUp is how long a worker may take from a stop to its report.
	windUp = 15 * time.Second
)

// ServeWorker does a worker's part: it reads what to do from in and writes how
// it goes to out, until it has reported. The first worker tells on errs which
// lines of traces are skipped; the others read the same ones.
func ServeWorker(ctx context.Context, in io.Reader, out, errs io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	enc := json.NewEncoder(out)
	say := func(w word) error {
		mu.Lock()
		defer mu.Unlock()
		return enc.Encode(w)
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, mostWord)
	if !lines.Scan() {
		return errors.New("load: worker: no order")
	}
	var o order
	if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
		return fmt.Errorf("load: worker: order: %w", err)
	}
	skips := SkipReporter{Out: errs}
	r, err := o.runner(&skips, func(l Progress) { say(word{Live: &l}) })
	if err != nil {
		return say(word{Error: err.Error()})
	}
	if err := say(word{Ready: true}); err != nil {
		return err
	}
	if !lines.Scan() || lines.Text() != wordStart {
		return nil // the parent has thought better of it
	}
	go func() {
		defer cancel()
		lines.Scan() // a stop, or the end of the parent
	}()
	rep, err := r.Run(ctx).Report()
	skips.Summarize()
	if err != nil {
		return err
	}
	return say(word{Report: rep})
}

func (o *order) runner(skips *SkipReporter, live func(Progress)) (*Runner, error) {
	if o.Spec == nil {
		return nil, errors.New("load: worker: an order without a run")
	}
	var tell func(string, *trace.BadLine)
	if o.Part.Index == 0 {
		tell = skips.Report
	}
	cfg, err := o.Spec.Config(o.Part, tell)
	if err != nil {
		return nil, err
	}
	cfg.OnProgress = live
	return New(*cfg)
}

// RunWorkers makes a run by several processes at once, each of which command
// returns, and merges what they have measured, exactly. A worker that dies
// leaves its part uncounted, which the Result's Err tells.
func RunWorkers(ctx context.Context, workers int, s *Spec, live func(Progress), command func() *exec.Cmd) (*Result, error) {
	all := make([]*worker, workers)
	defer func() {
		for _, w := range all {
			if w != nil {
				w.end()
			}
		}
	}()
	for i := range all {
		w, err := startWorker(command(), order{s, WorkerPart{i, workers}})
		if err != nil {
			return nil, fmt.Errorf("load: worker %d of %d: %w", i+1, workers, err)
		}
		all[i] = w
	}
	for i, w := range all {
		if err := w.ready(); err != nil {
			return nil, fmt.Errorf("load: worker %d of %d: %w", i+1, workers, err)
		}
	}
	begun := time.Now()
	for _, w := range all {
		io.WriteString(w.in, wordStart+"\n") // one that is gone shows at its report
	}
	var reading sync.WaitGroup
	for _, w := range all {
		reading.Go(w.follow)
	}
	done := make(chan struct{})
	go func() {
		reading.Wait()
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
				io.WriteString(w.in, wordStop+"\n")
				kill := time.AfterFunc(windUp, func() { w.cmd.Process.Kill() })
				defer kill.Stop()
			}
		case <-tick.C:
			if live != nil {
				sum := Progress{At: time.Since(begun)}
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
			res.Err = errors.Join(res.Err, fmt.Errorf("worker %d of %d: %w; its part is not counted", i+1, workers, w.err))
			continue
		}
		res.Merge(w.res)
	}
	return res, nil
}

// worker is one process, as its parent has it.
type worker struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	live  atomic.Pointer[Progress]
	res   *Result // once follow has returned
	err   error
	ended bool
}

func startWorker(cmd *exec.Cmd, o order) (*worker, error) {
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
	w.lines.Buffer(nil, mostWord)
	if err := json.NewEncoder(in).Encode(o); err != nil {
		w.end()
		return nil, err
	}
	return w, nil
}

// next is the next thing that the worker says.
func (w *worker) next() (word, error) {
	if !w.lines.Scan() {
		if err := w.lines.Err(); err != nil {
			return word{}, err
		}
		return word{}, fmt.Errorf("ended without a report (%v)", w.wait())
	}
	var v word
	if err := json.Unmarshal(w.lines.Bytes(), &v); err != nil {
		return word{}, fmt.Errorf("said %.80q: %w", w.lines.Text(), err)
	}
	if v.Error != "" {
		return v, errors.New(v.Error)
	}
	return v, nil
}

func (w *worker) ready() error {
	v, err := w.next()
	if err == nil && !v.Ready {
		err = errors.New("said something else than that it is ready")
	}
	return err
}

// follow reads until the report.
func (w *worker) follow() {
	for w.res == nil && w.err == nil {
		v, err := w.next()
		switch {
		case err != nil:
			w.err = err
		case v.Live != nil:
			w.live.Store(v.Live)
		case v.Report != nil:
			w.res, w.err = v.Report.Result()
		}
	}
}

// wait waits for the end of the process; it is the exit status.
func (w *worker) wait() error {
	w.ended = true
	if err := w.cmd.Wait(); err != nil {
		return err
	}
	return errors.New("exit status 0")
}

// end ends the process; closing its input lets it go by itself.
func (w *worker) end() {
	if w.ended {
		return
	}
	w.in.Close()
	kill := time.AfterFunc(windUp, func() { w.cmd.Process.Kill() })
	defer kill.Stop()
	w.wait()
}
