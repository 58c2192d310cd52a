package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
)

// Operated is what operators can do with a sidecar by hand.
type Controller interface {
	// Ready tells whether the process can serve.
	Ready() bool
	// Listed tells whether an endpoint has ever been listed.
	EverListed(id string) bool
	// Out leaves an endpoint out, or puts it back; it holds from the return on.
	SetDisabled(id string, out bool) error
	// Drain empties the sidecar, or ends that.
	SetDrained(on bool) error
}

const (
	// consoleTime is what a call gets from its connection to its last byte; an
	// operator's tool needs milliseconds. Who brings half a call, or none, is
	// let go of after it.
	consoleTime = 2 * time.Second
	// consoleConns bounds the connections. Each is cheap, but descriptors are
	// few, and callers need them more.
	consoleConns = 16
	consoleBody  = 4 << 10
)

// NewConsole returns the server of the operators' calls. Each connection brings
// one call:
//
//	GET /ready                                yes once the process can serve
//	POST /endpoints/disable {"target":"ID"}   leave endpoint ID out
//	POST /endpoints/enable {"target":"ID"}    put it back
//	POST /drain, POST /undrain                empty the sidecar, or end that
//
// A status of 2xx means yes; any other means no and changes nothing.
func NewConsole(op Controller) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !op.Ready() {
			answer(w, http.StatusServiceUnavailable, errors.New("no endpoint is known yet"))
			return
		}
		answer(w, http.StatusOK, nil)
	})
	mux.HandleFunc("POST /endpoints/disable", target(op, true))
	mux.HandleFunc("POST /endpoints/enable", target(op, false))
	for path, on := range map[string]bool{"POST /drain": true, "POST /undrain": false} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if _, err := whole(w, r); err != nil { // half a call is none
				answer(w, http.StatusBadRequest, err)
				return
			}
			if err := op.SetDrained(on); err != nil {
				answer(w, http.StatusInternalServerError, err)
				return
			}
			slog.Info("operators: drain", "on", on)
			answer(w, http.StatusOK, nil)
		})
	}
	s := &http.Server{
		Handler:        mux,
		ReadTimeout:    consoleTime,
		WriteTimeout:   2 * consoleTime,
		MaxHeaderBytes: consoleBody,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false)
	return s
}

// target answers calls that take an endpoint out or put it back.
func target(op Controller, out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Target string `json:"target"`
		}
		text, err := whole(w, r)
		if err == nil {
			err = json.Unmarshal(text, &call)
		}
		switch {
		case err != nil:
			answer(w, http.StatusBadRequest, fmt.Errorf(`want {"target":"ID"}: %w`, err))
		case call.Target == "":
			answer(w, http.StatusBadRequest, errors.New(`want {"target":"ID"}: no target`))
		case !op.EverListed(call.Target):
			answer(w, http.StatusNotFound, fmt.Errorf("endpoint %.80q has never been listed", call.Target))
		default:
			if err := op.SetDisabled(call.Target, out); err != nil {
				answer(w, http.StatusInternalServerError, err)
				return
			}
			slog.Info("operators: endpoint", "id", call.Target, "out", out)
			answer(w, http.StatusOK, nil)
		}
	}
}

func whole(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, consoleBody))
}

func answer(w http.ResponseWriter, status int, err error) {
	text := "ok\n"
	if err != nil {
		text = err.Error() + "\n"
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// Bounded is a listener that holds so many connections at most. A new one over
// the bound takes the place of the oldest: those that bring a call are gone in
// milliseconds, so that the oldest is one that says nothing. A listener that
// waited for room would let the silent ones shut out everybody.
type LimitedListener struct {
	net.Listener
	most int

	mu   sync.Mutex
	open []*boundedConn // the oldest first
}

// NewBounded returns l, bounded for the console. Its Accept fails only once l is closed:
// http.Server gives a listener up at most errors of the system.
func NewLimitedListener(l net.Listener) *LimitedListener {
	return &LimitedListener{Listener: acceptloop.Wrap(l), most: consoleConns}
}

// Accept implements net.Listener.
func (b *LimitedListener) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: nc, of: b}
	b.mu.Lock()
	b.open = append(b.open, c)
	var oldest *boundedConn
	if len(b.open) > b.most {
		oldest = b.open[0]
	}
	b.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

type boundedConn struct {
	net.Conn
	of *LimitedListener
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	b := c.of
	b.mu.Lock()
	for i := range b.open {
		if b.open[i] == c {
			b.open = append(b.open[:i], b.open[i+1:]...)
			break
		}
	}
	b.mu.Unlock()
	return c.Conn.Close()
}
