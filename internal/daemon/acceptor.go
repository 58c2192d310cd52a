package daemon

import (
	"errors"
	"log/slog"
	"net"
	"sync"

	"gorselink/internal/acceptloop"
	"gorselink/internal/httpserver"
)

// acceptor accepts connections from a listening socket and passes them to a server,
// which can be replaced without closing the socket.
//
// The socket is not duplicated: net.FileListener briefly puts the shared file
// description into blocking mode. An Accept during that time blocks in the kernel,
// and Close then waits until the next connection arrives.
type acceptor struct {
	listener net.Listener

	mu     sync.Mutex
	server *httpserver.Server
}

func newAcceptor(addr string, server *httpserver.Server) (*acceptor, error) {
	l, err := listen(addr)
	if err != nil {
		return nil, err
	}
	return &acceptor{listener: l, server: server}, nil
}

// serve accepts connections until the socket is closed.
func (a *acceptor) serve() {
	if err := acceptloop.Serve(a.listener, a.handle); !errors.Is(err, net.ErrClosed) {
		slog.Error("accepting connections failed; this address is no longer served", "address", a.listener.Addr().String(), "error", err)
	}
}

func (a *acceptor) handle(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.HandleConn(conn)
}

// setServer passes all later connections to server.
func (a *acceptor) setServer(server *httpserver.Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server = server
}
