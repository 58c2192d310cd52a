// Command drill runs balancers on the simulator's wire: events on standard
// input, actions on standard output. It decides nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"gorselink/balance"
	"gorselink/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// host carries one balancer's actions to the wire.
type host struct {
	number int
	out    *wire.Writer
	bal    *balance.Balancer
}

func (h *host) Send(id balance.RequestID, addr string, timeout time.Duration) {
	h.out.Send(h.number, uint64(id), addr, timeout)
}

func (h *host) Refuse(id balance.RequestID, retryAfter time.Duration) {
	h.out.Refuse(h.number, uint64(id), retryAfter)
}

func (h *host) Fail(id balance.RequestID) { h.out.Fail(h.number, uint64(id)) }

func (h *host) After(d time.Duration, token uint64) { h.out.After(h.number, d, token) }

func (h *host) Watch() { h.out.Watch(h.number) }

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	hosts := map[int]*host{}
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
			start(hosts, w, &e)
		case wire.Stop:
			delete(hosts, e.Instance)
		default:
			if h := hosts[e.Instance]; h != nil {
				deliver(h.bal, &e)
			}
		}
	}
}

func start(hosts map[int]*host, w *wire.Writer, e *wire.Event) {
	h := &host{number: e.Instance, out: w}
	config, err := wire.ParseSettings(e.Settings)
	if err == nil {
		h.bal, err = balance.New(config, e.Seed, h)
	}
	if err != nil {
		w.Fault(e.Instance, err.Error())
		return
	}
	hosts[e.Instance] = h
}

func deliver(b *balance.Balancer, e *wire.Event) {
	switch e.Kind {
	case wire.Members:
		b.Members(e.Now, e.ListKind, e.List)
	case wire.Request:
		b.Request(e.Now, balance.RequestID(e.ID), e.Class, e.Tenant, e.Budget)
	case wire.Outcome:
		b.Outcome(e.Now, balance.RequestID(e.ID), e.Number, e.Result, e.Elapsed, e.Over)
	case wire.Withdrawn:
		b.Withdrawn(e.Now, balance.RequestID(e.ID))
	case wire.Timer:
		b.Timer(e.Now, e.ID)
	}
}
