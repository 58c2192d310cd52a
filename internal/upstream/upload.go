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
	Remaining io.Reader     // the rest; read by one attempt at a time, and waited for if it is a DataWaiter
	Length    int64         // of the whole body in bytes; -1 for chunked
	Done      chan struct{} // closed when no attempt uses the Upload any more

	// ResponseTimeout is the time for the response, counted from when the caller may have written the
	// last byte of the body: from the last moment at which Incomplete returned true, or at which too much
	// of the body was missing. Without such a moment the deadline of the attempt applies.
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

// DataWaiter waits until Read returns at once, or returns why that will not be. It needs no buffer.
type DataWaiter interface{ WaitForData() error }

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

// maxUnreadBytes is how many bytes of a body may lie in the buffers of the caller's machine and this
// one, as Linux sizes them by default. If more are to come, the caller cannot have written its last byte.
const maxUnreadBytes = 4<<20 + 512<<10

// bodyForwarder forwards the body of an Upload on a connection.
type bodyForwarder struct {
	conn   *conn
	call   *Call
	upload *Upload
	unread int64 // bytes of the body that have not been read; negative if the length is unknown

	// due is when the response is due. The caller counts its time from its last byte, which it may have
	// written long before it is read here if the endpoint is slow. due is moved as long as the last byte
	// is known to be still to come.
	due time.Time
}

// forwardBody sends the head and then the body, piece by piece as it is received. The response is
// due at the given time, counted as if the last byte had arrived. It returns when the response is due.
func (c *conn) forwardBody(call *Call, head []byte, u *Upload, due time.Time) (time.Time, error) {
	f := &bodyForwarder{conn: c, call: call, upload: u, unread: u.Length, due: due}
	if u.Length >= 0 {
		f.unread -= int64(len(u.Buffered))
	}
	if err := f.write(head, u.Buffered); err != nil {
		return f.due, err
	}
	if !u.Commit() {
		return f.due, net.ErrClosed
	}
	for complete := false; !complete; {
		var err error
		if complete, err = f.forwardPiece(); err != nil {
			return f.due, err
		}
	}
	if u.Length < 0 {
		if err := f.write([]byte("0\r\n\r\n"), nil); err != nil {
			return f.due, err
		}
	}
	u.finish(nil)
	return f.due, nil
}

// forwardPiece reads what has arrived of the body and writes it. It reports whether the body is complete. A
// buffer is used only meanwhile, so that slow callers hold none.
func (f *bodyForwarder) forwardPiece() (complete bool, err error) {
	outstanding := f.lastByteOutstanding()
	if waiter, ok := f.upload.Remaining.(DataWaiter); ok {
		err = waiter.WaitForData()
	}
	buffer := f.conn.target.pool.newCopyBuffer()
	defer buffer.Release()
	n := 0
	if err == nil {
		n, err = f.upload.Remaining.Read(buffer.Bytes())
	}
	if outstanding {
		f.due = later(f.due, time.Now().Add(f.upload.ResponseTimeout))
	}
	if f.upload.isAborted() {
		f.upload.finish(errCallerGone)
		return false, errBodyIncomplete
	}
	if n > 0 {
		f.unread -= int64(n)
		if err := f.write(nil, buffer.Bytes()[:n]); err != nil {
			return false, err
		}
		if f.upload.Length >= 0 && f.unread == 0 { // the endpoint may run it: a caller who leaves now changes nothing
			return true, nil
		}
	}
	switch err {
	case nil:
		return false, nil
	case io.EOF:
		return true, nil
	}
	f.upload.finish(err)
	return false, errBodyIncomplete
}

// lastByteOutstanding reports whether the caller is known not to have written the last byte of the
// body yet.
func (f *bodyForwarder) lastByteOutstanding() bool {
	return f.unread > maxUnreadBytes || f.upload.Incomplete != nil && f.upload.Incomplete()
}

// write writes a prefix and then data of the body, until the response is due.
func (f *bodyForwarder) write(prefix, data []byte) error {
	if f.call.Ended() {
		return net.ErrClosed
	}
	f.conn.SetWriteDeadline(f.due)
	buffers := net.Buffers{prefix, data}
	if f.upload.Length < 0 && len(data) > 0 {
		prefix = strconv.AppendInt(prefix, int64(len(data)), 16)
		buffers = net.Buffers{append(prefix, "\r\n"...), data, []byte("\r\n")}
	}
	_, err := buffers.WriteTo(f.conn.Conn)
	return err
}
