package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"gorselink/balance"
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

// Abort ends an attempt at once, wherever it is, and the endpoint is not blamed for it.
func TestAbortDuringAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		response string // sent before the abort
		trickles bool   // more bytes follow one by one
		body     int    // length of the request body, which the endpoint does not read
		want     balance.Result
	}{
		"no response":          {want: balance.Cancelled},
		"part of the head":     {response: "HTTP/1.1 200 OK\r\nContent-Le", want: balance.Cancelled},
		"part of the body":     {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", want: balance.Cancelled},
		"body byte by byte":    {response: "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", trickles: true, want: balance.Cancelled},
		"request body unread":  {body: 32 << 20, want: balance.NotSent},
		"uploaded body unread": {body: -32 << 20, want: balance.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			p, _ := scriptedEndpoint(t, func(conn net.Conn, _ int) {
				io.WriteString(conn, c.response)
				close(sent)
				for c.trickles {
					if _, err := io.WriteString(conn, "x"); err != nil {
						break
					}
				}
				<-ended
			})
			call, r := new(Call), &Request{Method: "POST", URI: "/x", Host: "x", Body: make([]byte, max(0, c.body))}
			if c.body < 0 {
				r.Upload = &Upload{Length: int64(-c.body), Remaining: endlessBody{}, Commit: func() bool { return true }}
			}
			results := make(chan balance.Result, 1)
			go func() {
				_, result := p.Do(call, "s-1", r, time.Now().Add(testTimeout), nil)
				results <- result
			}()
			<-sent
			call.End()
			call.Abort()
			select {
			case result := <-results:
				if result != c.want {
					t.Errorf("result %v, want %v", result, c.want)
				}
			case <-time.After(endGracePeriod / 2):
				t.Error("the attempt has not ended")
			}
		})
	}
}

// endlessBody is a body without an end.
type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) { return len(b), nil }
