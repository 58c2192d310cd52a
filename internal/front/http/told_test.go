package httpfront

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/standin"
)

// A body that is sent on while it comes: what is told for it is all of its caller's time
// while some of the body is still to come, and what is left of it where the body has been
// here for as long as the request has waited, though nobody has read it yet.
func TestToldTimeIsWhatIsLeft(t *testing.T) {
	const budget = patience / 2
	const size = 20 << 10 // fits into the buffers of the connection, and is no part of the head
	for name, c := range map[string]struct {
		late, coming, chunked bool
	}{
		"at once":                      {},
		"late":                         {late: true},
		"late, still coming":           {late: true, coming: true},
		"late, chunked":                {late: true, chunked: true},
		"late, chunked, still coming":  {late: true, coming: true, chunked: true},
		"at once, and still coming":    {coming: true},
		"at once, chunked, and coming": {coming: true, chunked: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type told struct {
				budget time.Duration
				at     time.Time
			}
			heard := make(chan told, 8)
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := time.Now()
				ms, _ := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
				heard <- told{time.Duration(ms) * time.Millisecond, now}
				io.Copy(io.Discard, r.Body)
				io.WriteString(w, "ok")
			}))
			var late *standin.Late
			if c.late {
				var err error
				if late, err = standin.ListenLate(); err != nil {
					t.Fatal(err)
				}
				srv.Listener.Close()
				srv.Listener = late
			}
			t.Cleanup(srv.Close)
			// One byte for long bodies, and none for short ones: all are sent on.
			d := newDepartures(t, 1, inService("s-1", srv.Listener.Addr().String()))
			d.Pool.SetLimits(pool.Limits{LongBytes: 1})
			if !c.late {
				srv.Start()
			}
			d.serve()
			conn := d.dial(t)
			coding, data := "Content-Length: "+strconv.Itoa(size), strings.Repeat("b", size)
			if c.chunked {
				coding, data = "Transfer-Encoding: chunked", strconv.FormatInt(size, 16)+"\r\n"+data+"\r\n0\r\n\r\n"
			}
			head := "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + newID() + "\r\nX-Budget-Ms: " + strconv.Itoa(int((budget + transitMargin).Milliseconds())) + "\r\n" + coding + "\r\n\r\n"
			began := time.Now()
			if c.coming {
				io.WriteString(conn, head)
			} else {
				io.WriteString(conn, head+data)
			}
			most := budget
			if c.late {
				eventually(t, "it waits for the connection", func() bool { return d.Pool.Stats().FirstAttempts == 1 && d.Conns().OpenConns() == 1 })
				taken := time.Now()
				time.Sleep(200 * time.Millisecond)
				most -= time.Since(taken)
				if err := late.Open(); err != nil {
					t.Fatal(err)
				}
				srv.Start()
			}
			got := <-heard
			if c.coming {
				io.WriteString(conn, data)
			}
			if status, _, err := get(bufio.NewReader(conn)); status != 200 {
				t.Fatalf("answered %d, %v, want 200", status, err)
			}
			least := budget - got.at.Sub(began) - time.Millisecond
			if c.coming {
				least, most = budget, budget
			}
			if got.budget < least || got.budget > most {
				t.Errorf("told %v, want %v to %v", got.budget, least, most)
			}
		})
	}
}
