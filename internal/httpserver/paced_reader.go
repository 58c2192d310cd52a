package httpserver

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// bodyStallTimeout bounds each pause within a body. After bodyRateGrace a body must
	// also have arrived at minBodyRate, in bytes per second. Both times are below 3 s,
	// within which the platform expects an error for an incomplete body.
	bodyStallTimeout = 2 * time.Second
	bodyRateGrace    = 2500 * time.Millisecond
	minBodyRate      = 32 << 10
)

// pacedReader reads what a caller sends. While a body arrives, its progress determines
// the deadline of each read; otherwise the deadline of the connection applies.
type pacedReader struct {
	conn      net.Conn
	bodyStart time.Time // zero outside a body
	bodyBytes int64     // received of the body

	stopped atomic.Bool // the arriving request is not read further
}

// stop ends the reading of the arriving request. It may be called from another
// goroutine.
func (r *pacedReader) stop() {
	r.stopped.Store(true)
	r.conn.SetReadDeadline(expiredDeadline)
}

func (r *pacedReader) startBody() { r.bodyStart, r.bodyBytes = time.Now(), 0 }
func (r *pacedReader) endBody()   { r.bodyStart = time.Time{} }

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	if r.bodyStart.IsZero() {
		return r.conn.Read(b)
	}
	deadline := r.bodyStart.Add(bodyRateGrace + time.Duration(r.bodyBytes)*time.Second/minBodyRate)
	if stall := time.Now().Add(bodyStallTimeout); stall.Before(deadline) {
		deadline = stall
	}
	r.conn.SetReadDeadline(deadline)
	if r.stopped.Load() { // stop may have run before the deadline was set
		r.conn.SetReadDeadline(expiredDeadline)
	}
	n, err := r.conn.Read(b)
	r.bodyBytes += int64(n)
	return n, err
}
