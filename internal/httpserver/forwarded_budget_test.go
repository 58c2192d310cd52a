package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/pool"
)

// A streamed request is forwarded with the caller's whole time limit while part of its body has not
// arrived. If all of it has arrived, the time that the request has waited is subtracted, even if
// the body has not been read.
func TestForwardedBudgetIsRemainingTime(t *testing.T) {
	const budget = testTimeout / 2
	const size = 20 << 10 // fits the receive buffer but not the buffer for the head
	for name, c := range map[string]struct {
		delayed, bodyLater, chunked bool
	}{
		"sent at once":                                 {},
		"connection delayed":                           {delayed: true},
		"connection delayed, body incomplete":          {delayed: true, bodyLater: true},
		"connection delayed, chunked":                  {delayed: true, chunked: true},
		"connection delayed, chunked, body incomplete": {delayed: true, bodyLater: true, chunked: true},
		"sent at once, body incomplete":                {bodyLater: true},
		"sent at once, chunked, body incomplete":       {bodyLater: true, chunked: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type received struct {
				budget time.Duration
				at     time.Time
			}
			requests := make(chan received, 8)
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := time.Now()
				ms, _ := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
				requests <- received{time.Duration(ms) * time.Millisecond, now}
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, "ok")
			}))
			var lateListener *fakeserver.FullListener
			if c.delayed {
				var err error
				if lateListener, err = fakeserver.ListenFull(); err != nil {
					t.Fatal(err)
				}
				srv.Listener.Close()
				srv.Listener = lateListener
			}
			t.Cleanup(srv.Close)
			// With one byte of memory for long bodies and none for short ones, every body is streamed.
			d := newDisconnectHarness(t, 1, inServiceEndpoint("s-1", srv.Listener.Addr().String()))
			d.Pool.SetLimits(pool.Limits{LongBytes: 1})
			if !c.delayed {
				srv.Start()
			}
			d.startAccepting()
			conn := d.dial(t)
			coding, data := "Content-Length: "+strconv.Itoa(size), strings.Repeat("b", size)
			if c.chunked {
				coding, data = "Transfer-Encoding: chunked", strconv.FormatInt(size, 16)+"\r\n"+data+"\r\n0\r\n\r\n"
			}
			head := "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\nX-Budget-Ms: " + strconv.Itoa(int((budget + transitMargin).Milliseconds())) + "\r\n" + coding + "\r\n\r\n"
			start := time.Now()
			if c.bodyLater {
				io.WriteString(conn, head)
			} else {
				io.WriteString(conn, head+data)
			}
			longest := budget
			if c.delayed {
				eventually(t, "the request waits for its connection", func() bool { return d.Pool.Stats().FirstAttempts == 1 && d.Conns().OpenConns() == 1 })
				waitStart := time.Now()
				time.Sleep(200 * time.Millisecond)
				longest -= time.Since(waitStart)
				if err := lateListener.Unblock(); err != nil {
					t.Fatal(err)
				}
				srv.Start()
			}
			got := <-requests
			if c.bodyLater {
				io.WriteString(conn, data)
			}
			if status, _, err := readResponse(bufio.NewReader(conn)); status != 200 {
				t.Fatalf("status %d, error %v, want 200", status, err)
			}
			shortest := budget - got.at.Sub(start) - time.Millisecond
			if c.bodyLater {
				shortest, longest = budget, budget
			}
			if got.budget < shortest || got.budget > longest {
				t.Errorf("endpoint received a budget of %v, want %v to %v", got.budget, shortest, longest)
			}
		})
	}
}
