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

// balancer is a balance.Balancer, or a capture.Tap around one.
type balancer interface {
	UpdateEndpoints(now time.Duration, kind balance.UpdateKind, list []balance.Endpoint)
	Request(now time.Duration, id balance.RequestID, class, tenant int, budget time.Duration)
	Outcome(now time.Duration, id balance.RequestID, number int, result balance.Result, elapsed time.Duration, final bool)
	Cancelled(now time.Duration, id balance.RequestID)
	Timer(now time.Duration, token uint64)
}

// host writes the actions of one instance's balancer to the simulator.
type host struct {
	instance    int
	out         *simproto.Writer
	balancer    balancer
	record      *recording // nil without --capture
	conns       connTracker
	idleTimeout time.Duration             // after which idle connections are released
	attempts    map[balance.RequestID]int // number of attempts by open request
}

func (h *host) Send(id balance.RequestID, addr string, timeout time.Duration) {
	h.out.Send(h.instance, uint64(id), addr, timeout)
	if h.conns.sent(uint64(id), h.attempts[id], addr) {
		h.out.After(h.instance, h.idleTimeout, sweepToken)
	}
	h.attempts[id]++
}

func (h *host) Reject(id balance.RequestID, retryAfter time.Duration) {
	h.out.Reject(h.instance, uint64(id), retryAfter)
	delete(h.attempts, id)
}

func (h *host) Fail(id balance.RequestID) {
	h.out.Fail(h.instance, uint64(id))
	delete(h.attempts, id)
}

func (h *host) After(d time.Duration, token uint64) { h.out.After(h.instance, d, token) }

func (h *host) Watch() { h.out.Watch(h.instance) }

// run processes events until the end of in. If captureDir is not empty, each start of an
// instance writes a capture file there.
func run(in io.Reader, out io.Writer, captureDir string) (err error) {
	r, w := simproto.NewReader(in), simproto.NewWriter(out)
	hosts := map[int]*host{}
	defer func() {
		for _, h := range hosts {
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
			if err := start(hosts, w, &e, captureDir, starts); err != nil {
				return err
			}
		case simproto.InstanceStop:
			if h := hosts[e.Instance]; h != nil {
				if err := h.record.close(); err != nil {
					return err
				}
			}
			delete(hosts, e.Instance)
		default:
			if h := hosts[e.Instance]; h != nil {
				deliver(h, &e)
			}
		}
	}
}

// start starts an instance. Invalid settings are reported to the simulator as a FAULT.
func start(hosts map[int]*host, w *simproto.Writer, e *simproto.Event, captureDir string, number int) error {
	h := &host{instance: e.Instance, out: w, attempts: map[balance.RequestID]int{}}
	settings, err := simproto.ParseSettings(e.Settings)
	var config balance.Config
	if err == nil {
		config = settings.BalancerConfig()
		h.idleTimeout = upstream.OptimalIdleTimeout(settings.ConnPrices())
		err = settings.Err()
	}
	if err == nil && captureDir != "" {
		if h.record, err = newRecording(captureDir, e.Instance, number); err != nil {
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
	hosts[e.Instance] = h
	return nil
}

// recording writes the capture file of one start of an instance.
type recording struct {
	file   *os.File
	writer *capture.Writer
}

func newRecording(dir string, instance, number int) (*recording, error) {
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("%d-%d.capture", instance, number)))
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
func deliver(h *host, e *simproto.Event) {
	b, id := h.balancer, balance.RequestID(e.ID)
	switch e.Kind {
	case simproto.Members:
		b.UpdateEndpoints(e.Now, e.ListKind, e.List)
	case simproto.Request:
		b.Request(e.Now, id, e.Class, e.Tenant, e.Budget)
	case simproto.Outcome:
		h.conns.ended(e.ID, e.Number)
		if e.Final {
			delete(h.attempts, id)
		}
		b.Outcome(e.Now, id, e.Number, e.Result, e.Elapsed, e.Final)
	case simproto.Withdrawn:
		delete(h.attempts, id)
		b.Cancelled(e.Now, id)
	case simproto.Timer:
		if e.ID != sweepToken {
			b.Timer(e.Now, e.ID)
		} else if h.conns.sweep(func(addr string) { h.out.Release(h.instance, addr) }) {
			h.out.After(h.instance, h.idleTimeout, sweepToken)
		}
	}
}
