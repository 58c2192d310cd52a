package upstream

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Upload is the body of a request that is forwarded while it is received, because there is no
// memory to buffer it. Once Commit has returned true, no second attempt is possible. An endpoint
// does not execute a request before it has received the last byte, so an upload that fails
// earlier has had no effect.
type Upload struct {
	Buffered  []byte        // the buffered beginning of the body
	Remaining io.Reader     // the rest; read by one attempt at a time
	Length    int64         // of the whole body in bytes; -1 for chunked
	Done      chan struct{} // closed when no attempt uses the Upload any more

	// ResponseTimeout is the time for the response, counted from the last byte of the body. It
	// applies if Incomplete is not nil and returns true; otherwise the time left until the
	// deadline of the attempt applies, also counted from the last byte.
	ResponseTimeout time.Duration

	// Incomplete reports whether the last byte of the body is known not to have arrived at this
	// machine yet. It is not called while Remaining is being read.
	Incomplete func() bool

	// Commit is called before Remaining is first read. It reports whether to continue.
	Commit func() bool

	mu      sync.Mutex
	err     error
	sentAt  time.Time
	aborted bool
}

// Abort stops forwarding the body, because the caller has disconnected.
func (u *Upload) Abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.aborted = true
}

func (u *Upload) isAborted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.aborted
}

// Err returns the reason why the body could not be received.
func (u *Upload) Err() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err
}

// Sent reports whether the last byte of the body has been sent.
func (u *Upload) Sent() bool { return !u.SentAt().IsZero() }

// SentAt returns the time at which the last byte was sent, or the zero time.
func (u *Upload) SentAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.sentAt
}

func (u *Upload) finish(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err = err; err == nil {
		u.sentAt = time.Now()
	}
}

// errCallerGone means that the caller disconnected before its body had been forwarded.
var errCallerGone = errors.New("the caller disconnected before its request body was forwarded")

// errBodyIncomplete means that the body was not received completely, which is not the
// endpoint's fault.
var errBodyIncomplete = errors.New("request body not received completely")

// uploadWriteTimeout bounds the write of one piece of a body to an endpoint.
const uploadWriteTimeout = 10 * time.Second

// upload sends the head and then the body, piece by piece as it is received.
func (c *conn) upload(call *Call, head []byte, u *Upload) error {
	buffer := c.target.pool.newCopyBuffer()
	defer buffer.Release()
	chunked := u.Length < 0
	write := func(prefix, data []byte) error {
		if call.Ended() {
			return net.ErrClosed
		}
		c.SetWriteDeadline(time.Now().Add(uploadWriteTimeout))
		buffers := net.Buffers{prefix, data}
		if chunked && len(data) > 0 {
			prefix = strconv.AppendInt(prefix, int64(len(data)), 16)
			buffers = net.Buffers{append(prefix, "\r\n"...), data, []byte("\r\n")}
		}
		_, err := buffers.WriteTo(c.Conn)
		return err
	}
	if err := write(head, u.Buffered); err != nil {
		return err
	}
	if !u.Commit() {
		return net.ErrClosed
	}
	for {
		n, err := u.Remaining.Read(buffer.Bytes())
		if u.isAborted() {
			u.finish(errCallerGone)
			return errBodyIncomplete
		}
		if n > 0 {
			if err := write(nil, buffer.Bytes()[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			u.finish(err)
			return errBodyIncomplete
		}
	}
	if chunked {
		if err := write([]byte("0\r\n\r\n"), nil); err != nil {
			return err
		}
	}
	u.finish(nil)
	return nil
}
