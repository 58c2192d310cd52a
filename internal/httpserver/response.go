package httpserver

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

// response is what a caller is sent for one request.
type response struct {
	status       int
	endpoint     *upstream.Response // passed on from an endpoint; excludes text
	text         string             // plain-text body that states the reason
	retryAfter   time.Duration      // 0 for none
	wholeSeconds bool               // Retry-After in whole seconds
}

// responseFor returns the response to write for a pool's response to a request.
func responseFor(a pool.Response, p *Plan) response {
	resp := response{retryAfter: a.RetryAfter, wholeSeconds: p.Ordinary}
	switch a.Outcome {
	case pool.Rejected:
		resp.status = http.StatusServiceUnavailable
	case pool.Failed:
		resp.status = http.StatusBadGateway
	case pool.TimedOut, pool.CallerGone:
		resp.status = http.StatusGatewayTimeout
	}
	if a.Upstream != nil {
		resp.endpoint, resp.status = a.Upstream, a.Upstream.Status
	} else if p.Ordinary {
		resp.text = http.StatusText(resp.status) + "\n"
	}
	return resp
}

// streams reports whether the body is written while it still arrives from the endpoint.
func (r *response) streams() bool { return r.endpoint != nil && r.endpoint.Remaining != nil }

// write writes the response to a request with this method. If keepAlive is false,
// it announces that the connection closes.
func (r response) write(w io.Writer, method string, keepAlive bool) error {
	buf := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buf)
	head := append((*buf)[:0], "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(r.status), 10)
	head = append(head, ' ')
	head = append(head, http.StatusText(r.status)...)
	head = append(head, "\r\n"...)
	var body []byte
	var rest *upstream.BodyStream
	length := len(r.text)
	if r.endpoint != nil {
		body, rest = r.endpoint.Body, r.endpoint.Remaining
		length = len(body)
		if method == http.MethodHead || r.status == http.StatusNotModified {
			// The length is that of the body which a GET would return (RFC 9110, section
			// 8.6).
			if n, err := strconv.Atoi(r.endpoint.Fields.Get("Content-Length")); err == nil {
				length = n
			}
		}
		head = r.endpoint.Fields.AppendForwarded(head)
	} else if r.text != "" {
		head = append(head, "Content-Type: text/plain; charset=utf-8\r\n"...)
	}
	if r.retryAfter > 0 {
		head = append(head, "Retry-After: "...)
		if r.wholeSeconds {
			head = strconv.AppendInt(head, int64(math.Ceil(r.retryAfter.Seconds())), 10)
		} else {
			head = strconv.AppendFloat(head, r.retryAfter.Seconds(), 'f', 3, 64)
		}
		head = append(head, "\r\n"...)
	}
	if !keepAlive {
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
		return writeStream(w, *buf, r.endpoint)
	case r.status != http.StatusNoContent: // has no Content-Length (RFC 9110, section 8.6)
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(length), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	if method != http.MethodHead {
		head = append(head, r.text...)
		if len(body) <= maxCopiedBody {
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
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(w)
	return err
}

// maxCopiedBody is the longest body, in bytes, that is copied behind the head so that
// one buffer holds both.
const maxCopiedBody = 4 << 10

// headBuffers holds buffers for responses that are being written.
var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2<<10); return &b }}
