// Command drill runs balancers for the simulator: it reads events from standard input
// and writes actions to standard output. Idle connections are released as in the sidecar.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"gorselink/balance"
	"gorselink/internal/capture"
	"gorselink/internal/simproto"
	"gorselink/internal/upstream"
)

func main() {
	dir := ""
	if len(os.Args) == 3 && os.Args[1] == "--capture" {
		dir = os.Args[2]
	} else if len(os.Args) > 1 {
		fmt.Fprintln(os.Stderr, "usage: drill [--capture FOLDER]")
		os.Exit(2)
	}
	if err := run(os.Stdin, os.Stdout, dir); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// balancer is a balance.Balancer, or a capture.Recorder around one.
type balancer interface {
	UpdateEndpoints(now time.Duration, kind balance.UpdateKind, list []balance.Endpoint)
	Request(now time.Duration, id balance.RequestID, class, tenant int, budget time.Duration)
	Outcome(now time.Duration, id balance.RequestID, number int, result balance.Result, elapsed time.Duration, final bool)
	Cancelled(now time.Duration, id balance.RequestID)
	Timer(now time.Duration, token uint64)
}

// instance is one balancer of the simulation. It implements balance.Actions by writing the
// actions to the simulator.
type instance struct {
	number      int
	out         *simproto.Writer
	balancer    balancer
	record      *recording // nil without --capture
	conns       connTracker
	idleTimeout time.Duration             // after which idle connections are released
	attempts    map[balance.RequestID]int // number of attempts by open request
}

func (h *instance) Send(id balance.RequestID, addr string, timeout time.Duration) {
	h.out.Send(h.number, uint64(id), addr, timeout)
	if h.conns.sent(uint64(id), h.attempts[id], addr) {
		h.out.After(h.number, h.idleTimeout, sweepToken)
	}
	h.attempts[id]++
}

func (h *instance) Reject(id balance.RequestID, retryAfter time.Duration) {
	h.out.Reject(h.number, uint64(id), retryAfter)
	delete(h.attempts, id)
}

func (h *instance) Fail(id balance.RequestID) {
	h.out.Fail(h.number, uint64(id))
	delete(h.attempts, id)
}

func (h *instance) After(d time.Duration, token uint64) { h.out.After(h.number, d, token) }

func (h *instance) Watch() { h.out.Watch(h.number) }

// run processes events until the end of in. If captureDir is not empty, each start of an
// instance writes a capture file there.
func run(in io.Reader, out io.Writer, captureDir string) (err error) {
	r, w := simproto.NewReader(in), simproto.NewWriter(out)
	instances := map[int]*instance{}
	defer func() {
		for _, h := range instances {
			err = errors.Join(err, h.record.close())
		}
	}()
	starts := 0
	var e simproto.Event
	for {
		err := r.Next(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch e.Kind {
		case simproto.BatchStart:
		case simproto.BatchEnd:
			if err := w.Reply(); err != nil {
				return err
			}
		case simproto.InstanceStart:
			starts++
			if err := start(instances, w, &e, captureDir, starts); err != nil {
				return err
			}
		case simproto.InstanceStop:
			if h := instances[e.Instance]; h != nil {
				if err := h.record.close(); err != nil {
					return err
				}
			}
			delete(instances, e.Instance)
		default:
			if h := instances[e.Instance]; h != nil {
				deliver(h, &e)
			}
		}
	}
}

// start starts an instance. Invalid settings are reported to the simulator as a FAULT
// action. startNumber counts the starts of all instances and makes capture file names unique.
func start(instances map[int]*instance, w *simproto.Writer, e *simproto.Event, captureDir string, startNumber int) error {
	h := &instance{number: e.Instance, out: w, attempts: map[balance.RequestID]int{}}
	settings, err := simproto.ParseSettings(e.Settings)
	var config balance.Config
	if err == nil {
		config = settings.BalancerConfig()
		h.idleTimeout = upstream.OptimalIdleTimeout(settings.ConnPrices())
		err = settings.Err()
	}
	if err == nil && captureDir != "" {
		if h.record, err = newRecording(captureDir, e.Instance, startNumber); err != nil {
			return err
		}
		h.balancer, err = capture.NewRecorder(config, e.Seed, h, h.record.write)
	} else if err == nil {
		h.balancer, err = balance.New(config, e.Seed, h)
	}
	if err != nil {
		w.Fault(e.Instance, err.Error())
		if h.record == nil {
			return nil
		}
		return errors.Join(h.record.close(), os.Remove(h.record.file.Name())) // the instance never ran
	}
	instances[e.Instance] = h
	return nil
}

// recording writes the capture file of one start of an instance.
type recording struct {
	file   *os.File
	writer *capture.Writer
}

func newRecording(dir string, instance, startNumber int) (*recording, error) {
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("%d-%d.capture", instance, startNumber)))
	if err != nil {
		return nil, err
	}
	return &recording{f, capture.NewWriter(f)}, nil
}

func (r *recording) write(e *capture.Event) { r.writer.Write(e) } // errors are returned by close

func (r *recording) close() error {
	if r == nil {
		return nil
	}
	return errors.Join(r.writer.Flush(), r.file.Close())
}

// deliver passes an event to the instance's balancer.
func deliver(h *instance, e *simproto.Event) {
	b, id := h.balancer, balance.RequestID(e.ID)
	switch e.Kind {
	case simproto.EndpointUpdate:
		b.UpdateEndpoints(e.Now, e.UpdateKind, e.List)
	case simproto.Request:
		b.Request(e.Now, id, e.Class, e.Tenant, e.Budget)
	case simproto.Outcome:
		h.conns.ended(e.ID, e.Number)
		if e.Final {
			delete(h.attempts, id)
		}
		b.Outcome(e.Now, id, e.Number, e.Result, e.Elapsed, e.Final)
	case simproto.Cancelled:
		delete(h.attempts, id)
		b.Cancelled(e.Now, id)
	case simproto.Timer:
		if e.ID != sweepToken {
			b.Timer(e.Now, e.ID)
		} else if h.conns.sweep(func(addr string) { h.out.Release(h.number, addr) }) {
			h.out.After(h.number, h.idleTimeout, sweepToken)
		}
	}
}
