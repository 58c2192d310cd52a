package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gorselink/internal/upstream"
)

// answer is what a caller is given.
type answer struct {
	status     int
	up         *upstream.Answer // with 200
	text       string           // what was wrong, for who reads logs on the other side
	retryAfter time.Duration    // 0 for none
}

// write writes the answer in one piece; keep tells that the connection goes on.
func (a answer) write(w io.Writer, keep bool) error {
	body := []byte(a.text)
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if a.up != nil {
		body = a.up.Body
		endToEnd(a.up.Header).Write(&head)
	} else if a.text != "" {
		head.WriteString("Content-Type: text/plain; charset=utf-8\r\n")
	}
	if a.retryAfter > 0 {
		head.WriteString("Retry-After: " + strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64) + "\r\n")
	}
	if !keep {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	all := net.Buffers{[]byte(head.String()), body}
	_, err := all.WriteTo(w)
	return err
}
