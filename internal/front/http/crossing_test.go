package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/sock"
)

// gated is a caller's connection whose reads from the n-th on wait at a gate, as those of
// a goroutine that does not get to run.
type gated struct {
	*net.TCPConn
	mu   sync.Mutex
	n    int
	gate chan struct{}
	at   chan struct{} // closed once a read waits there
	fail error         // what the read at the gate returns, once
}

func newGated(c net.Conn, n int) *gated {
	return &gated{TCPConn: c.(*net.TCPConn), n: n, gate: make(chan struct{}), at: make(chan struct{})}
}

func (g *gated) Read(b []byte) (int, error) {
	g.mu.Lock()
	g.n--
	waits := g.n == 0
	g.mu.Unlock()
	if waits {
		close(g.at)
		<-g.gate
		if g.fail != nil {
			return 0, g.fail
		}
	}
	return g.TCPConn.Read(b)
}

// join makes a connection whose other end the rig holds as wrapped by wrap.
func (r *rig) join(t *testing.T, wrap func(net.Conn) net.Conn) net.Conn {
	t.Helper()
	c, there := connected(t)
	r.callers.HandleConn(wrap(there))
	return c
}

// A request comes in the moment in which the wait for it ends. It is whole, and is served:
// a close would lose it.
func TestRequestAtTheEndOfItsWait(t *testing.T) {
	r := newRig(t, 4, nil)
	var g *gated
	c := r.join(t, func(c net.Conn) net.Conn { g = newGated(c, 1); return g })
	g.fail = os.ErrDeadlineExceeded
	<-g.at
	io.WriteString(c, view(""))
	eventually(t, "the request in the kernel", func() bool { return sock.HasPendingData(g.TCPConn) })
	close(g.gate)
	if status, _, err := get(bufio.NewReader(c)); status != 200 {
		t.Errorf("answered %d, %v, want 200", status, err)
	}
}

// All places are taken when another connection comes, and the one that would give way has
// a whole request in the kernel, a part of one, or one that has just been read. Each has
// an answer.
func TestGivingWayLosesNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		reads       int // until the gate
		first, rest string
		want        int
	}{
		"whole, unread":        {1, "", view(""), 200},
		"its end, unread":      {2, "GET /view/1 HTTP/1.1\r\nHost: x\r\n", "X-Call-Id: " + newID() + "\r\n\r\n", 408},
		"its body, unread":     {2, pay("Content-Length: 4\r\n\r\nab"), "cd", 408},
		"a half, and no more":  {2, "GET /view/1 HTTP/1.1\r\n", "", 408},
		"whole, and just read": {0, "", view(""), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 1, nil)
			judging, judge := make(chan struct{}), make(chan struct{})
			if c.reads == 0 {
				r.callers.router = slowJudge{r.callers.router, judging, judge}
			}
			var g *gated
			first := r.join(t, func(c2 net.Conn) net.Conn { g = newGated(c2, c.reads); return g })
			io.WriteString(first, c.first)
			if c.reads > 0 {
				<-g.at
			}
			io.WriteString(first, c.rest)
			if c.reads == 0 {
				<-judging
			} else if c.rest != "" {
				eventually(t, "the rest in the kernel", func() bool { return sock.HasPendingData(g.TCPConn) })
			}
			second := r.dial(t)
			if c.want == 200 { // nothing gives way, and the new one is closed
				if _, err := second.Read(make([]byte, 1)); err == nil {
					t.Error("a connection too many is answered")
				}
			} else {
				eventually(t, "the first one is asked to give way", func() bool {
					r.callers.mu.Lock()
					defer r.callers.mu.Unlock()
					e := r.callers.conns[stateReading].Front()
					return e == nil || e.Value.closeRequested
				})
			}
			close(g.gate)
			close(judge)
			if status, _, err := get(bufio.NewReader(first)); status != c.want {
				t.Errorf("answered %d, %v, want %d", status, err, c.want)
			}
		})
	}
}

// slowJudge judges once it is let.
type slowJudge struct {
	of           Router
	judging, let chan struct{}
}

func (j slowJudge) ReadyStatus() int { return j.of.ReadyStatus() }

func (j slowJudge) Route(req *Request) (*Plan, *Rejection) {
	close(j.judging)
	<-j.let
	return j.of.Route(req)
}

// The end of the process finds a request whose last byte has come and was not read, and
// one whose last byte never comes: both are told.
func TestCutTellsWhatIsComing(t *testing.T) {
	r := newRig(t, 4, nil)
	var g *gated
	whole := r.join(t, func(c net.Conn) net.Conn { g = newGated(c, 2); return g })
	half, body := r.dial(t), r.dial(t)
	io.WriteString(whole, "GET /view/1 HTTP/1.1\r\nHost: x\r\n")
	io.WriteString(half, "GET /view/1 HTTP/1.1\r\n")
	io.WriteString(body, pay("Content-Length: 9\r\n\r\nhalf"))
	<-g.at
	io.WriteString(whole, "X-Call-Id: "+newID()+"\r\n\r\n")
	eventually(t, "the rest in the kernel, and the others come", func() bool {
		r.callers.mu.Lock()
		defer r.callers.mu.Unlock()
		return sock.HasPendingData(g.TCPConn) && r.callers.conns[stateReading].Len() == 3
	})
	began := time.Now()
	r.callers.StopReading()
	close(g.gate)
	for name, c := range map[string]net.Conn{"a whole one": whole, "half a head": half, "half a body": body} {
		if status, _, err := get(bufio.NewReader(c)); status != 408 {
			t.Errorf("%s is answered %d, %v, want 408", name, status, err)
		}
	}
	if took := time.Since(began); took > requestTimeout*3/4 {
		t.Errorf("told after %v, want it at once", took)
	}
}

// The last connection of a drain has just ended when another one comes. Once no more can
// come, a second Drain waits for it.
func TestDrainWaitsForWhoCameLast(t *testing.T) {
	hold := make(chan struct{})
	r := newRig(t, 4, hold)
	r.callers.Drain(time.Now().Add(patience)) // there is nobody
	c := r.dial(t)
	io.WriteString(c, view(""))
	eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		time.Sleep(50 * time.Millisecond)
		close(hold)
		if status, _, err := get(bufio.NewReader(c)); status != 200 {
			t.Errorf("answered %d, %v, want 200", status, err)
		}
	}()
	r.callers.Drain(time.Now().Add(patience))
	if n := r.callers.OpenConns(); n > 0 {
		t.Errorf("%d connections are open after a drain", n)
	}
	select {
	case <-answered:
	case <-time.After(patience):
		t.Error("no answer")
	}
}

// The process that was to take the callers over dies while they are handed to it. They
// end here, long before they would by themselves.
func TestDrainAfterAPassThatFails(t *testing.T) {
	r := newRig(t, 8, nil)
	for range 3 {
		c := r.dial(t)
		io.WriteString(c, view(""))
		if status, _, err := get(bufio.NewReader(c)); status != 200 {
			t.Fatalf("answered %d, %v, want 200", status, err)
		}
	}
	r.callers.SetHandover(func(net.Conn, []byte) error { return errors.New("nobody there") })
	began := time.Now()
	r.callers.Drain(time.Now().Add(patience))
	if took := time.Since(began); took > idleTimeout/2 || r.callers.OpenConns() > 0 {
		t.Errorf("%d connections open after %v", r.callers.OpenConns(), took)
	}
}

// A reload shortens the deadlines while a request is open by the old ones. Its id stays
// its own.
func TestIDsOutliveAShorterDeadline(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	r := newRig(t, 8, hold)
	c, text := r.dial(t), view("")
	io.WriteString(c, text)
	eventually(t, "the request at the endpoint", func() bool { return r.requests.Load() == 1 })
	form := testForm(testConfig())
	for name, class := range form.Classes {
		class.Deadline = 10 * time.Millisecond
		form.Classes[name] = class
	}
	r.judge.SetConfig(form)
	for range 3 { // other ids, each more than two of the new deadlines later
		time.Sleep(30 * time.Millisecond)
		other := r.dial(t)
		io.WriteString(other, view("X-Budget-Ms: 1\r\n"))
		get(bufio.NewReader(other))
	}
	again := r.dial(t)
	io.WriteString(again, strings.Replace(text, "/view/1", "/view/now", 1))
	if status, _, err := get(bufio.NewReader(again)); status != 409 {
		t.Errorf("the same id: status %d, %v, want 409", status, err)
	}
}
