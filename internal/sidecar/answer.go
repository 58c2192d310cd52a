package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"oatgw/internal/upstream"
)

// answer is what a client is given.
type answer struct {
	status     int
	up         *upstream.Answer // with 200
	retryAfter time.Duration    // 0 for none
}

// unread is how long a client may leave what is written to it unread. It
// guards against clients that stop reading: each would hold its connection,
// and with a long answer that of an endpoint as well, for good.
const unread = 10 * time.Second

// write gives a client its answer.
func (s *Sidecar) write(w http.ResponseWriter, req *http.Request, a answer) {
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(unread))
	if a.up == nil {
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		w.WriteHeader(a.status)
		return
	}
	defer a.up.Discard()
	for name, values := range endToEnd(a.up.Header) {
		w.Header()[name] = values
	}
	if a.up.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.up.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	w.Write(a.up.Body)
	if a.up.Rest != nil {
		pass(w, rc, a.up.Rest)
	}
}

// pass passes the rest of a long answer on as it comes. If it cannot be
// finished the connection is aborted, so that the client can tell.
func pass(w http.ResponseWriter, rc *http.ResponseController, rest io.Reader) {
	rc.Flush()
	buf := make([]byte, bodyChunk)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			rc.SetWriteDeadline(time.Now().Add(unread))
			if _, err := w.Write(buf[:n]); err != nil {
				panic(http.ErrAbortHandler)
			}
			rc.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
