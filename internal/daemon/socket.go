package daemon

import (
	"fmt"
	"net"
)

// duplicate opens the socket of l once more: connections that wait on it are
// taken by whichever of the two is served, and none is lost when one is closed.
func duplicate(l net.Listener) (net.Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listen: %T cannot be taken over", l)
	}
	f, err := tcp.File()
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	defer f.Close()
	next, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return next, nil
}
