package httpserver

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"
)

// A request with less time than the mean response time is still tried. It is rejected only if
// hardly any response is that fast.
func TestShortBudgetsAreTried(t *testing.T) {
	release := make(chan struct{})
	r := newHarness(t, 16, release)
	slow := r.sendRequests(t, 3, "/view/1")
	time.Sleep(time.Second) // the least mean response time from here on
	close(release)
	if n := countRejected(slow, 3); n > 0 {
		t.Fatalf("%d of the first 3 requests were rejected, want 0", n)
	}
	for _, c := range []struct {
		budget string
		want   int
	}{{"900", 200}, {"300", 503}} {
		conn := r.dial(t)
		io.WriteString(conn, strings.Replace(viewRequest("X-Budget-Ms: "+c.budget+"\r\n"), "/view/1", "/view/now", 1))
		if status, _, err := readResponse(bufio.NewReader(conn)); status != c.want {
			t.Errorf("budget of %s ms: status %d, error %v, want %d", c.budget, status, err, c.want)
		}
	}
}
