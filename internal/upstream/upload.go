package upstream

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Upload is the body of a request that is sent on while it comes, for want of
// room to hold it. Once any of it that is not held has been sent there is no
// second attempt; its node has not begun it before its last byte, so that one
// which breaks off on the way has never run.
type Upload struct {
	Buffered  []byte    // what is held of it
	Remaining io.Reader // the rest; one attempt reads it at a time
	Length    int64     // of all in bytes; -1 for chunked
	Done      chan struct{}

	// Time is what the caller gives for the answer, counted from the last byte of the
	// body, and Coming tells whether that byte is surely still to come, so that none of it
	// has gone by; it is asked while nobody reads In. Where it says no the body may have
	// been on this machine for as long as the request, and what is left of the attempt's
	// own time is all that is left. Without Coming that is so always.
	ResponseTimeout time.Duration
	Incomplete      func() bool

	// Begin is asked once before In is read, and tells whether the request goes on;
	// whoever says so makes no second attempt.
	Commit func() bool

	mu    sync.Mutex
	err   error
	whole time.Time
	left  bool
}

// Leave tells that the caller has gone away: nothing more of the body is sent on.
func (u *Upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.left = true
}

func (u *Upload) hasLeft() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.left
}

// Err is why the body did not come.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// Whole tells whether its last byte has been sent.
func (u *Upload) Sent() bool { return !u.WholeAt().IsZero() }

// WholeAt is when its last byte was sent, zero before.
func (u *Upload) WholeAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.whole
}

func (u *Upload) end(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err = err; err == nil {
		u.whole = time.Now()
	}
}

// errLeft tells of a caller that has gone away before its body was sent on.
var errLeft = errors.New("the caller has left")

// errUpload tells of a body that did not come, which is not the node's doing.
var errUpload = errors.New("the body has not come whole")

// pieceTime is how long a node may leave a piece of a body unread.
const pieceTime = 10 * time.Second

// upload sends head and body, piece by piece.
func (c *conn) upload(call *Call, head []byte, u *Upload) error {
	buf := c.target.pool.chunks.get()
	defer c.target.pool.chunks.put(buf)
	chunked := u.Length < 0
	write := func(before, data []byte) error {
		if call.Over() {
			return net.ErrClosed
		}
		c.SetWriteDeadline(time.Now().Add(pieceTime))
		all := net.Buffers{before, data}
		if chunked && len(data) > 0 {
			before = strconv.AppendInt(before, int64(len(data)), 16)
			all = net.Buffers{append(before, "\r\n"...), data, []byte("\r\n")}
		}
		_, err := all.WriteTo(c.Conn)
		return err
	}
	if err := write(head, u.Buffered); err != nil {
		return err
	}
	if !u.Commit() {
		return net.ErrClosed
	}
	for {
		n, err := u.Remaining.Read(*buf)
		if u.hasLeft() {
			u.end(errLeft)
			return errUpload
		}
		if n > 0 {
			if err := write(nil, (*buf)[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			u.end(err)
			return errUpload
		}
	}
	if chunked {
		if err := write([]byte("0\r\n\r\n"), nil); err != nil {
			return err
		}
	}
	u.end(nil)
	return nil
}
