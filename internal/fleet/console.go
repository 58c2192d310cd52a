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

// Controller applies the operations of the console to a sidecar.
type Controller interface {
	// Ready reports whether the process can serve requests.
	Ready() bool
	// EverListed reports whether an endpoint has ever been in a list.
	EverListed(id string) bool
	// SetDisabled disables or enables an endpoint. The change is effective on return.
	SetDisabled(id string, disabled bool) error
	// SetDrained starts or ends the drain of the sidecar.
	SetDrained(drained bool) error
}

const (
	// consoleTimeout bounds the time to read a request, so that a connection with an
	// incomplete request, or without one, is closed.
	consoleTimeout = 2 * time.Second
	// maxConsoleConns leaves file descriptors for the connections of callers.
	maxConsoleConns = 16
	maxConsoleBytes = 4 << 10
)

// NewConsole returns the HTTP server of the operator console. Each connection serves one
// request:
//
//	GET /ready                                200 once the process can serve requests
//	POST /endpoints/disable {"target":"ID"}   disable endpoint ID
//	POST /endpoints/enable {"target":"ID"}    enable endpoint ID
//	POST /drain, POST /undrain                start or end the drain of the sidecar
//
// A status of 2xx means success. With any other status nothing has changed.
func NewConsole(controller Controller) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !controller.Ready() {
			writeResponse(w, http.StatusServiceUnavailable, errors.New("not ready: no endpoint list has been received"))
			return
		}
		writeResponse(w, http.StatusOK, nil)
	})
	mux.HandleFunc("POST /endpoints/disable", handleSetDisabled(controller, true))
	mux.HandleFunc("POST /endpoints/enable", handleSetDisabled(controller, false))
	for path, drained := range map[string]bool{"POST /drain": true, "POST /undrain": false} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if _, err := readBody(w, r); err != nil { // an incomplete request has no effect
				writeResponse(w, http.StatusBadRequest, err)
				return
			}
			if err := controller.SetDrained(drained); err != nil {
				writeResponse(w, http.StatusInternalServerError, err)
				return
			}
			slog.Info("operator changed the drain state", "on", drained)
			writeResponse(w, http.StatusOK, nil)
		})
	}
	s := &http.Server{
		Handler:        mux,
		ReadTimeout:    consoleTimeout,
		WriteTimeout:   2 * consoleTimeout,
		MaxHeaderBytes: maxConsoleBytes,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false)
	return s
}

// handleSetDisabled handles requests that disable or enable an endpoint.
func handleSetDisabled(controller Controller, disabled bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			Target string `json:"target"`
		}
		body, err := readBody(w, r)
		if err == nil {
			err = json.Unmarshal(body, &request)
		}
		switch {
		case err != nil:
			writeResponse(w, http.StatusBadRequest, fmt.Errorf(`want {"target":"ID"}: %w`, err))
		case request.Target == "":
			writeResponse(w, http.StatusBadRequest, errors.New(`want {"target":"ID"}: no target`))
		case !controller.EverListed(request.Target):
			writeResponse(w, http.StatusNotFound, fmt.Errorf("endpoint %.80q has never been listed", request.Target))
		default:
			if err := controller.SetDisabled(request.Target, disabled); err != nil {
				writeResponse(w, http.StatusInternalServerError, err)
				return
			}
			slog.Info("operator changed the state of an endpoint", "id", request.Target, "out", disabled)
			writeResponse(w, http.StatusOK, nil)
		}
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxConsoleBytes))
}

func writeResponse(w http.ResponseWriter, status int, err error) {
	text := "ok\n"
	if err != nil {
		text = err.Error() + "\n"
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// LimitedListener is a listener with a limited number of open connections. A connection
// over the limit closes the oldest one, which is most likely idle because requests take
// only milliseconds. If Accept waited for a connection to end, idle connections would block
// the console.
type LimitedListener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open []*limitedConn // the oldest first
}

// NewLimitedListener returns l with the connection limit of the console. Its Accept fails
// only after l has been closed, since http.Server stops on most other errors of Accept.
func NewLimitedListener(l net.Listener) *LimitedListener {
	return &LimitedListener{Listener: acceptloop.Wrap(l), maxConns: maxConsoleConns}
}

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: nc, listener: l}
	l.mu.Lock()
	l.open = append(l.open, c)
	var oldest *limitedConn
	if len(l.open) > l.maxConns {
		oldest = l.open[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return c, nil
}

type limitedConn struct {
	net.Conn
	listener *LimitedListener
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	l := c.listener
	l.mu.Lock()
	for i := range l.open {
		if l.open[i] == c {
			l.open = append(l.open[:i], l.open[i+1:]...)
			break
		}
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
