package httpserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gorselink/internal/socketstate"
)

const (
	// bodyStallTimeout bounds each pause within a body. After bodyRateGrace a body must
	// also have arrived at minBodyRate, in bytes per second. Both times are below 3 s,
	// within which the platform expects an error for an incomplete body.
	bodyStallTimeout = 2 * time.Second
	bodyRateGrace    = 2500 * time.Millisecond
	minBodyRate      = 32 << 10

	// readPauseThreshold is the duration of a pause between two reads of a body from which on it
	// is checked whether the pause counts as time of the caller.
	readPauseThreshold = 10 * time.Millisecond
)

// pacedReader reads what a caller sends. While a body arrives, its progress determines
// the deadline of each read; otherwise the deadline of the connection applies. Time in which
// the caller's bytes have arrived and are not read does not count as time of the caller.
type pacedReader struct {
	conn    net.Conn
	stopped atomic.Bool // the arriving request is not read further

	mu        sync.Mutex // held while reading; guards the following fields
	bodyStart time.Time  // zero outside a body
	bodyBytes int64      // received of the body
	lastRead  time.Time  // end of the last read of the body
	ahead     *readAheadBuffer
}

// stop ends the reading of the arriving request. It may be called from another
// goroutine.
func (r *pacedReader) stop() {
	r.stopped.Store(true)
	r.conn.SetReadDeadline(expiredDeadline)
}

func (r *pacedReader) startBody() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.bodyStart, r.lastRead, r.bodyBytes = now, now, 0
}

// endBody ends the body. What has been read ahead of it and was not returned is discarded.
func (r *pacedReader) endBody() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyStart = time.Time{}
	if r.ahead != nil {
		r.ahead.release()
		r.ahead = nil
	}
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bodyStart.IsZero() {
		return r.conn.Read(b)
	}
	if r.ahead != nil {
		if n := r.ahead.consume(b); n > 0 {
			return n, nil
		}
	}
	r.excludePause()
	r.setBodyDeadline()
	n, err := r.conn.Read(b)
	r.bodyBytes += int64(n)
	r.lastRead = time.Now()
	return n, err
}

// setBodyDeadline sets the deadline of a read by the progress of the body. r.mu must be held.
func (r *pacedReader) setBodyDeadline() {
	deadline := r.bodyStart.Add(bodyRateGrace + time.Duration(r.bodyBytes)*time.Second/minBodyRate)
	if stall := time.Now().Add(bodyStallTimeout); stall.Before(deadline) {
		deadline = stall
	}
	r.conn.SetReadDeadline(deadline)
	if r.stopped.Load() { // stop may have run before the deadline was set
		r.conn.SetReadDeadline(expiredDeadline)
	}
}

// waitForData waits until Read has something to return, or the deadline that Read would have has
// expired. The time counts as time of the caller.
func (r *pacedReader) waitForData() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bodyStart.IsZero() || r.ahead != nil && len(r.ahead.data) > 0 {
		return nil
	}
	r.excludePause()
	r.setBodyDeadline()
	err := socketstate.WaitReadable(r.conn)
	r.lastRead = time.Now()
	return err
}

// excludePause moves the start of the body by the time since the last read if bytes have
// arrived since. If none have, the receive buffer was empty all the time, and the caller could
// have sent. r.mu must be held.
func (r *pacedReader) excludePause() {
	pause := time.Since(r.lastRead)
	if pause >= readPauseThreshold && socketstate.HasPendingData(r.conn) {
		r.bodyStart = r.bodyStart.Add(pause)
	}
	r.lastRead = r.lastRead.Add(pause)
}

// startReadAhead lets readAhead store bytes of the body in buffer.
func (r *pacedReader) startReadAhead(buffer *readAheadBuffer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ahead = buffer
}

// stopReadAhead makes readAhead do nothing. What it has stored is still returned by Read.
func (r *pacedReader) stopReadAhead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ahead != nil {
		r.ahead.closed = true
	}
}

// readAhead stores bytes that have arrived, as far as there is memory for them, and returns
// their number. It does not wait, and does nothing while Read is in progress.
func (r *pacedReader) readAhead() (n int) {
	if !r.mu.TryLock() {
		return 0
	}
	defer r.mu.Unlock()
	if r.ahead == nil || r.ahead.closed || r.stopped.Load() {
		return 0
	}
	r.excludePause()
	n = r.ahead.fill(r.conn)
	r.bodyBytes += int64(n)
	return n
}

// hasReadAhead reports whether bytes are stored that Read has not returned.
func (r *pacedReader) hasReadAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ahead != nil && len(r.ahead.data) > 0
}
