package daemon

import (
	"errors"
	"log/slog"
	"net"
	"sync"

	"gorselink/internal/acceptloop"
	httpfront "gorselink/internal/front/http"
)

// door is a socket that listens, and those to whom its connections go. They can
// be replaced with no moment in which nobody takes connections.
//
// The socket itself is never duplicated for that: net.FileListener makes the
// description that both share block for a moment, and an Accept that falls into
// it sleeps in the kernel, so that Close waits for the next connection, perhaps
// for ever.
type door struct {
	l net.Listener

	mu sync.Mutex
	to *httpfront.Server
}

func newDoor(addr string, to *httpfront.Server) (*door, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	return &door{l: l, to: to}, nil
}

// serve takes connections until the door is closed.
func (d *door) serve() {
	if err := acceptloop.Serve(d.l, d.take); !errors.Is(err, net.ErrClosed) {
		slog.Error("listener ended", "address", d.l.Addr().String(), "error", err)
	}
}

func (d *door) take(nc net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.to.HandleConn(nc)
}

// leadTo makes all connections from now on go to cs.
func (d *door) leadTo(cs *httpfront.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.to = cs
}
