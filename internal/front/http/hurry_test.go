package httpfront

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"
)

// A client with less time than the mean call takes is tried all the same, and
// refused only where hardly any call is so quick.
func TestClientsInAHurryAreTried(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 16, hold)
	slow := r.ask(t, 3, "/view/1")
	time.Sleep(time.Second) // the mean from here on, at the least
	close(hold)
	if n := refusals(slow, 3); n > 0 {
		t.Fatalf("%d of the first 3 refused", n)
	}
	for _, c := range []struct {
		budget string
		want   int
	}{{"900", 200}, {"300", 503}} {
		conn := r.dial(t)
		io.WriteString(conn, strings.Replace(view("X-Budget-Ms: "+c.budget+"\r\n"), "/view/1", "/view/now", 1))
		if status, _, err := get(bufio.NewReader(conn)); status != c.want {
			t.Errorf("with %s ms: %d, %v, want %d", c.budget, status, err, c.want)
		}
	}
}
