package upstream

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records its read deadline.
type deadlineConn struct {
	net.Conn
	readDeadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error  { c.readDeadline = t; return nil }
func (c *deadlineConn) SetWriteDeadline(t time.Time) error { return nil }

// Abort ends attempts at once, also if End has given them a grace period before.
func TestAbortAfterEnd(t *testing.T) {
	recorder := &deadlineConn{}
	call := new(Call)
	if !call.register(activeAttempt{conn: newConn(recorder, &target{}), deadline: time.Now().Add(testTimeout)}) {
		t.Fatal("the attempt was not registered")
	}
	call.End()
	if left := time.Until(recorder.readDeadline); left <= 0 || left > endGracePeriod {
		t.Errorf("%v left for the response after End, want up to %v", left, endGracePeriod)
	}
	call.Abort()
	if left := time.Until(recorder.readDeadline); left > 0 {
		t.Errorf("%v left for the response after Abort, want none", left)
	}
}
