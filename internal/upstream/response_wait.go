package upstream

import (
	"errors"
	"os"
	"time"
)

// A pause inside a response proves nothing: an endpoint that pauses, one that hangs and one that is
// gone look alike for a while. With Config.MaxStreamBytes set it ends no attempt before the deadline.
//
// A body that is known to have SmallResponseBytes at most is timed by its last byte and is held back
// until it is complete. A longer one is timed by its first bytes and is passed on as it arrives. A
// body of unknown length is held back, so that the request can be retried, until it is complete,
// longer than SmallResponseBytes, maxHold old, or until holdMargin before the deadline. Then it is
// passed on as far as it has arrived, and the rest as it arrives.
const (
	// pauseThreshold is the pause inside a response that ResponseObserver is told of.
	pauseThreshold = 500 * time.Millisecond

	// maxHold bounds how long the first byte of a body is held back. What an endpoint gives of a long
	// response has to be passed on within 2 s.
	maxHold = 1750 * time.Millisecond

	// holdMargin is how long before the deadline of an attempt the response is passed on.
	holdMargin = 10 * time.Millisecond

	// maxSilence is the pause that tells an endpoint that hangs from one that pauses, once the
	// deadline of the attempt has come and the response is not known to be long. It is no longer waited for.
	maxSilence = 1300 * time.Millisecond

	// lateResponseGrace is how long after its deadline the last byte of a response may still arrive, however
	// slowly. Half a second after the caller's time one of up to SmallResponseBytes is lost.
	lateResponseGrace = 430 * time.Millisecond

	// discardPauseTimeout bounds a pause inside a body that is not used.
	discardPauseTimeout = 500 * time.Millisecond
)

// responseWait bounds the wait for the rest of a response that has begun.
type responseWait struct {
	active          bool
	deadline        time.Time        // of the attempt
	maxPause        time.Duration    // longest pause; 0 for no limit
	holdUntil       time.Time        // when an incomplete body is passed on; zero for never
	lastData        time.Time        // when the last data arrived
	observer        ResponseObserver // nil for none
	processObserver ProcessObserver  // nil for none
	reported        bool             // observer has been told of a pause
}

// end returns when the wait for more data ends.
func (w *responseWait) end() time.Time {
	end := w.deadline
	if !w.holdUntil.IsZero() && w.holdUntil.Before(end) {
		end = w.holdUntil
	}
	if w.maxPause > 0 {
		end = earlier(end, w.lastData.Add(w.maxPause))
	}
	return end
}

// next returns when the wait has to be checked.
func (w *responseWait) next() time.Time {
	if w.reported || w.observer == nil {
		return w.end()
	}
	return earlier(w.end(), w.lastData.Add(pauseThreshold))
}

// reportPause tells the observer of the first pause of pauseThreshold.
func (c *conn) reportPause(now time.Time) {
	w := &c.wait
	if w.reported || w.observer == nil || now.Sub(w.lastData) < pauseThreshold {
		return
	}
	w.reported = true
	if w.processObserver != nil && c.target.pool.mayBeOtherProcess(c) {
		w.processObserver.MayHaveReachedOtherProcess()
	}
	w.observer.ResponsePaused()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beginResponse starts to bound the reads of a response, whose first byte has arrived.
func (c *conn) beginResponse(deadline time.Time) {
	c.wait.active, c.wait.deadline, c.wait.lastData = true, deadline, time.Now()
	c.wait.maxPause = c.target.pool.cfg.ResponseStallTimeout
	c.SetReadDeadline(c.wait.next())
}

// suspendResponse stops bounding the reads, between an interim response and the next one.
func (c *conn) suspendResponse(deadline time.Time) {
	c.wait.active = false
	c.SetReadDeadline(deadline)
}

// Read implements net.Conn. While a response is received, it returns when data has arrived or
// responseWait has ended.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.wait.active {
			return n, err
		}
		if n > 0 {
			c.wait.lastData = time.Now()
			c.SetReadDeadline(c.wait.next())
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.continueWait() {
			return n, err
		}
	}
}

// continueWait reports whether to wait for more of the response after a deadline has expired.
func (c *conn) continueWait() bool {
	now := time.Now()
	if c.aborted.Load() || c.graceEnded(now) || !now.Before(c.wait.end()) {
		return false
	}
	c.reportPause(now)
	c.SetReadDeadline(c.wait.next())
	return true
}

// holdBack begins to hold back a body of unknown length.
func (c *conn) holdBack() {
	c.wait.holdUntil = c.wait.deadline.Add(-holdMargin)
	if c.wait.observer != nil {
		c.wait.observer.ResponseHeld()
	}
	c.SetReadDeadline(c.wait.next())
}

// limitHold bounds the time for which a body is held back, whose first bytes have arrived.
func (c *conn) limitHold() {
	c.wait.holdUntil = earlier(c.wait.holdUntil, time.Now().Add(maxHold))
	c.SetReadDeadline(c.wait.next())
}

// holdDecision is what happens to a body that is held back after a read that failed.
type holdDecision int

const (
	holdFailed holdDecision = iota // the attempt ends
	holdLonger                     // the endpoint has been silent: nothing is passed on unless it goes on
	passOn
)

// decideHold decides on a body that is held back after a read that failed.
func (c *conn) decideHold(err error) holdDecision {
	now, w := time.Now(), &c.wait
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded) || now.Before(w.holdUntil) || c.endsBy.Load() != nil || c.aborted.Load():
		return holdFailed
	case now.Before(w.deadline.Add(-holdMargin)) || now.Sub(w.lastData) < maxSilence:
		return passOn
	case !now.Before(w.deadline):
		return holdFailed
	}
	w.holdUntil = w.deadline
	c.SetReadDeadline(w.next())
	return holdLonger
}
