package httpfront

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// answer is what a caller is given.
type answer struct {
	status     int
	up         *upstream.Answer // a node's, passed on
	text       string           // what was wrong, for who reads logs on the other side
	retryAfter time.Duration    // 0 for none
	whole      bool             // Retry-After in whole seconds
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

// write writes the answer to a request with this method in one piece; keep
// tells that the connection goes on.
func (a answer) write(w io.Writer, method string, keep bool) error {
	body := []byte(a.text)
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	length := len(body)
	if a.up != nil {
		body = a.up.Body
		length = len(body)
		if method == http.MethodHead || a.status == http.StatusNotModified {
			// Its length is that of the body that a GET would bring.
			if n, err := strconv.Atoi(a.up.Header.Get("Content-Length")); err == nil {
				length = n
			}
		}
		endToEnd(a.up.Header).Write(&head)
	} else if a.text != "" {
		head.WriteString("Content-Type: text/plain; charset=utf-8\r\n")
	}
	if method == http.MethodHead {
		body = nil
	}
	if a.retryAfter > 0 {
		seconds := strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64)
		if a.whole {
			seconds = strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds())))
		}
		head.WriteString("Retry-After: " + seconds + "\r\n")
	}
	if !keep {
		head.WriteString("Connection: close\r\n")
	}
	if a.status != http.StatusNoContent { // which has no length, RFC 9110, section 8.6
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	head.WriteString("\r\n")
	all := net.Buffers{[]byte(head.String()), body}
	_, err := all.WriteTo(w)
	return err
}
