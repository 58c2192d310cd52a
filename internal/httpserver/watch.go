package httpserver

import (
	"errors"
	"os"
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/socketstate"
)

// watchDelay is how long a request is open before its caller is watched for a
// disconnect. Most requests get their response within it and need no watching
// goroutine.
const watchDelay = 5 * time.Millisecond

// watchCaller waits for the caller to disconnect while its request is open. Input that
// arrives before the response is discarded, because a close may follow it. The response
// ends the wait.
func (c *callerConn) watchCaller() {
	left := c.awaitDisconnect()
	if left {
		c.pool.Cancel(c.request)
		c.setCallerGone(c.pool, c.request)
	}
	c.callerLeft <- left
}

const (
	// Input that arrives before the response is discarded at full speed up to
	// discardBurst bytes; from then on a discardPause follows every discardStep bytes.
	// This bounds the processor time that a flooding caller costs to some per cent of a core. A
	// caller that has filled the buffers of its connection and disconnected is noticed at once.
	discardBurst = 1 << 20
	discardStep  = 64 << 10
	discardPause = time.Millisecond
)

// awaitDisconnect waits for the caller to disconnect or a read deadline to expire, and
// reports whether the caller has disconnected.
func (c *callerConn) awaitDisconnect() bool {
	_, err := c.in.Peek(1)
	if err == nil {
		c.earlyBytes.Store(true)
		for n, next := 0, discardBurst; err == nil; _, err = c.in.Peek(1) {
			k, _ := c.in.Discard(c.in.Buffered()) // needs no buffer of its own
			if n += k; n >= next {
				next = n + discardStep
				time.Sleep(discardPause)
			}
		}
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Disconnected implements pool.Caller.
func (c *callerConn) Disconnected() bool {
	switch c.peer.State() {
	case socketstate.Closed:
		return true
	case socketstate.DataPending:
		if c.streamsBody {
			return c.leftBehindBody()
		}
		return c.leftAfterEarlyBytes()
	}
	return false
}

// leftBehindBody reports whether the caller of a streamed request has disconnected behind the
// part of the body that has arrived. A close behind more bytes than the receive buffer and
// maxReadAheadBytes hold is not visible.
func (c *callerConn) leftBehindBody() bool {
	for range maxReadAheadBytes / closeVisibleBytes {
		if c.paced.readAhead() < closeVisibleBytes {
			break
		}
		if c.peer.State() == socketstate.Closed {
			return true
		}
		time.Sleep(discardPause) // for input that now fits the receive buffer
	}
	return c.peer.State() == socketstate.Closed
}

const (
	// closeVisibleBytes is a number of unread bytes that leaves room in the receive
	// buffer for a close behind them.
	closeVisibleBytes = 4 << 10
	// maxDiscardRounds bounds how often early input is discarded before a caller that
	// keeps sending counts as disconnected, which takes half a second or more.
	maxDiscardRounds = 500
)

// leftAfterEarlyBytes reports whether the caller has disconnected after sending bytes
// before the response. A close behind a full receive buffer is visible only once the
// bytes have been read. They are discarded here, because watchCaller may not have run.
func (c *callerConn) leftAfterEarlyBytes() bool {
	for range maxDiscardRounds {
		discarded, requestOpen := c.discardEarlyBytes()
		if !requestOpen || c.peer.State() == socketstate.Closed {
			return true
		}
		if discarded < closeVisibleBytes {
			return false
		}
		time.Sleep(discardPause) // for input that now fits the receive buffer
	}
	return true
}

// discardEarlyBytes discards input that has arrived before the response. If no request
// is open, it discards nothing, because the input may be the next request.
func (c *callerConn) discardEarlyBytes() (discarded int, requestOpen bool) {
	c.discardMu.Lock()
	defer c.discardMu.Unlock()
	if !c.discardInput {
		return 0, false
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if discarded = socketstate.Discard(c.conn, *buf); discarded > 0 {
		c.earlyBytes.Store(true)
	}
	return discarded, true
}

// setDiscardInput sets whether input belongs to no request. This is the case while a
// request is open and its whole body has been read.
func (c *callerConn) setDiscardInput(discard bool) {
	c.discardMu.Lock()
	defer c.discardMu.Unlock()
	c.discardInput = discard
}

// uploadPollInterval is how often a caller is checked for a disconnect while its body is
// forwarded.
const uploadPollInterval = 25 * time.Millisecond

// watchUpload cancels a streamed request if its caller disconnects before the
// response, and reports whether it has. It polls the socket, because only an attempt may wait for
// input. Until one does, the body is read ahead, which makes a close behind it visible.
func (c *callerConn) watchUpload(p *pool.Pool, r *pool.Request, responded <-chan struct{}) (left bool) {
	tick := time.NewTicker(uploadPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-responded:
			return false
		case <-tick.C:
		}
		c.paced.readAhead()
		if c.peer.State() == socketstate.Closed {
			r.Outgoing.Upload.Abort()
			p.Cancel(r)
			c.setCallerGone(p, r)
			return true
		}
	}
}
