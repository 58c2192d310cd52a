// Command drill runs balancers on the simulator's wire: events on standard
// input, actions on standard output. It decides nothing, and lets go of idle
// connections as the sidecar does.
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
	"gorselink/internal/upstream"
	"gorselink/internal/wire"
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

// decider is a Balancer, or one whose decisions are captured.
type decider interface {
	Members(now time.Duration, kind balance.ListKind, list []balance.Endpoint)
	Request(now time.Duration, id balance.RequestID, class, tenant int, budget time.Duration)
	Outcome(now time.Duration, id balance.RequestID, number int, result balance.Result, elapsed time.Duration, over bool)
	Withdrawn(now time.Duration, id balance.RequestID)
	Timer(now time.Duration, token uint64)
}

// host carries one balancer's actions to the wire.
type host struct {
	number int
	out    *wire.Writer
	bal    decider
	record *recording // nil for none
	conns  conns
	keep   time.Duration             // that idle connections are kept for
	tries  map[balance.RequestID]int // of requests that are owed an answer
}

func (h *host) Send(id balance.RequestID, addr string, timeout time.Duration) {
	h.out.Send(h.number, uint64(id), addr, timeout)
	if h.conns.sent(uint64(id), h.tries[id], addr) {
		h.out.After(h.number, h.keep, sweepToken)
	}
	h.tries[id]++
}

func (h *host) Refuse(id balance.RequestID, retryAfter time.Duration) {
	h.out.Refuse(h.number, uint64(id), retryAfter)
	delete(h.tries, id)
}

func (h *host) Fail(id balance.RequestID) {
	h.out.Fail(h.number, uint64(id))
	delete(h.tries, id)
}

func (h *host) After(d time.Duration, token uint64) { h.out.After(h.number, d, token) }

func (h *host) Watch() { h.out.Watch(h.number) }

// run plays in until its end. With a folder each life of an instance is captured in a
// file of its own there.
func run(in io.Reader, out io.Writer, captures string) (err error) {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	hosts := map[int]*host{}
	defer func() {
		for _, h := range hosts {
			err = errors.Join(err, h.record.close())
		}
	}()
	lives := 0
	var e wire.Event
	for {
		err := r.Next(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch e.Kind {
		case wire.Batch:
		case wire.EndOf:
			if err := w.Reply(); err != nil {
				return err
			}
		case wire.Start:
			lives++
			if err := start(hosts, w, &e, captures, lives); err != nil {
				return err
			}
		case wire.Stop:
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

func start(hosts map[int]*host, w *wire.Writer, e *wire.Event, captures string, life int) error {
	h := &host{number: e.Instance, out: w, tries: map[balance.RequestID]int{}}
	settings, err := wire.ParseSettings(e.Settings)
	var config balance.Config
	if err == nil {
		config = settings.BalancerConfig()
		h.keep = upstream.OptimalIdleTimeout(settings.ConnPrices())
		err = settings.Err()
	}
	if err == nil && captures != "" {
		if h.record, err = newRecording(captures, e.Instance, life); err != nil {
			return err
		}
		h.bal, err = capture.NewTap(config, e.Seed, h, h.record.put)
	} else if err == nil {
		h.bal, err = balance.New(config, e.Seed, h)
	}
	if err != nil {
		w.Fault(e.Instance, err.Error())
		if h.record == nil {
			return nil
		}
		return errors.Join(h.record.close(), os.Remove(h.record.file.Name())) // it never began
	}
	hosts[e.Instance] = h
	return nil
}

// recording is the capture of one life of an instance.
type recording struct {
	file *os.File
	to   *capture.Writer
}

func newRecording(dir string, instance, life int) (*recording, error) {
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("%d-%d.capture", instance, life)))
	if err != nil {
		return nil, err
	}
	return &recording{f, capture.NewWriter(f)}, nil
}

func (r *recording) put(e *capture.Event) { r.to.Write(e) } // the error shows at close

func (r *recording) close() error {
	if r == nil {
		return nil
	}
	return errors.Join(r.to.Flush(), r.file.Close())
}

func deliver(h *host, e *wire.Event) {
	b, id := h.bal, balance.RequestID(e.ID)
	switch e.Kind {
	case wire.Members:
		b.Members(e.Now, e.ListKind, e.List)
	case wire.Request:
		b.Request(e.Now, id, e.Class, e.Tenant, e.Budget)
	case wire.Outcome:
		h.conns.ended(e.ID, e.Number)
		if e.Over {
			delete(h.tries, id)
		}
		b.Outcome(e.Now, id, e.Number, e.Result, e.Elapsed, e.Over)
	case wire.Withdrawn:
		delete(h.tries, id)
		b.Withdrawn(e.Now, id)
	case wire.Timer:
		if e.ID != sweepToken {
			b.Timer(e.Now, e.ID)
		} else if h.conns.sweep(func(addr string) { h.out.Release(h.number, addr) }) {
			h.out.After(h.number, h.keep, sweepToken)
		}
	}
}
