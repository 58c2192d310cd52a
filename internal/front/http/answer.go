package httpfront

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// answer is what a caller is given.
type answer struct {
	status     int
	up         *upstream.Response // a node's, passed on; without text
	text       string             // what was wrong, for who reads logs on the other side
	retryAfter time.Duration      // 0 for none
	whole      bool               // Retry-After in whole seconds
}

// answerOf words what a pool says.
func answerOf(a pool.Answer, p *Plan) answer {
	w := answer{retryAfter: a.RetryAfter, whole: p.Ordinary}
	switch a.Verdict {
	case pool.Refused:
		w.status = http.StatusServiceUnavailable
	case pool.Failed:
		w.status = http.StatusBadGateway
	case pool.Late, pool.Left:
		w.status = http.StatusGatewayTimeout
	}
	if a.Up != nil {
		w.up, w.status = a.Up, a.Up.Status
	} else if p.Ordinary {
		w.text = http.StatusText(w.status) + "\n"
	}
	return w
}

// streams tells whether the answer is written piece by piece.
func (a *answer) streams() bool { return a.up != nil && a.up.Remaining != nil }

// write writes the answer to a request with this method in one piece; keep
// tells that the connection goes on.
func (a answer) write(w io.Writer, method string, keep bool) error {
	buf := heads.Get().(*[]byte)
	defer heads.Put(buf)
	head := append((*buf)[:0], "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(a.status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(a.status)...)
	head = append(head, "\r\n"...)
	var body []byte
	var rest *upstream.BodyStream
	length := len(a.text)
	if a.up != nil {
		body, rest = a.up.Body, a.up.Remaining
		length = len(body)
		if method == http.MethodHead || a.status == http.StatusNotModified {
			// Its length is that of the body that a GET would bring.
			if n, err := strconv.Atoi(a.up.Fields.Get("Content-Length")); err == nil {
				length = n
			}
		}
		head = a.up.Fields.AppendForwarded(head)
	} else if a.text != "" {
		head = append(head, "Content-Type: text/plain; charset=utf-8\r\n"...)
	}
	if a.retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		if a.whole {
			head = strconv.AppendInt(head, int64(math.Ceil(a.retryAfter.Seconds())), 10)
		} else {
			head = strconv.AppendFloat(head, a.retryAfter.Seconds(), 'f', 3, 64)
		}
		head = append(head, "\r\n"...)
	}
	if !keep {
		head = append(head, "Connection: close\r\n"...)
	}
	switch {
	case rest != nil:
		if rest.Length >= 0 {
			head = append(head, "Content-Length: "...)
			head = strconv.AppendInt(head, rest.Length, 10)
			head = append(head, "\r\n"...)
		} else {
			head = append(head, "Transfer-Encoding: chunked\r\n"...)
		}
		*buf = append(head, "\r\n"...)
		return stream(w, *buf, body, rest)
	case a.status != http.StatusNoContent: // which has no length, RFC 9110, section 8.6
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(length), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if method != http.MethodHead {
		head = append(head, a.text...)
		if len(body) <= shortBody {
			head = append(head, body...)
			body = nil
		}
	} else {
		body = nil
	}
	*buf = head
	if len(body) == 0 {
		_, err := w.Write(head)
		return err
	}
	all := net.Buffers{head, body}
	_, err := all.WriteTo(w)
	return err
}

// shortBody is up to where copying a body behind its head is cheaper than
// writing the two as they are.
const shortBody = 4 << 10

// heads holds buffers for answers that are being written.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}
