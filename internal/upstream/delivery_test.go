package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/acceptloop"
)

// readSlowly reads a request from c, with a pause after each 64 KiB of its body, and returns X-Budget-Ms.
func readSlowly(c net.Conn, pause time.Duration) (budget string, err error) {
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return "", err
	}
	for err == nil {
		_, err = io.CopyN(io.Discard, r.Body, 64<<10)
		time.Sleep(pause)
	}
	if err != io.EOF {
		return "", err
	}
	return r.Header.Get("X-Budget-Ms"), nil
}

// newListeningPool returns a Pool with the endpoint s-1, which passes each connection to handle.
func newListeningPool(t *testing.T, handle func(c net.Conn)) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go acceptloop.Serve(l, func(c net.Conn) {
		go func() {
			defer c.Close()
			handle(c)
		}()
	})
	p := New(Config{DialTimeout: testTimeout, IdleTimeout: testTimeout, MaxConns: 5})
	t.Cleanup(p.Close)
	p.Set("s-1", Target{Address: l.Addr().String()})
	return p
}

// A request whose attempt has ended does not arrive later from the buffers of this machine.
func TestAbandonedRequestDoesNotArriveLater(t *testing.T) {
	ended, arrived := make(chan struct{}), make(chan error, 1)
	p := newListeningPool(t, func(c net.Conn) {
		<-ended
		c.SetReadDeadline(time.Now().Add(testTimeout))
		_, err := readSlowly(c, 0)
		arrived <- err
	})
	r := &Request{Method: "POST", URI: "/", Host: "x", Body: make([]byte, 1<<20)}
	_, result := p.Do(new(Call), "s-1", r, time.Now().Add(300*time.Millisecond), nil)
	if result != balance.Timeout {
		t.Fatalf("result %v, want a timeout after the last byte has been written", result)
	}
	close(ended)
	if err := <-arrived; err == nil {
		t.Error("the whole request arrived after its attempt had ended")
	}
}

// pausingObserver implements Confirmer and DeliveryObserver. The process pauses before the last byte.
type pausingObserver struct {
	deadline time.Time
	pause    bool
}

func (o *pausingObserver) Confirm() bool { return true }

func (o *pausingObserver) Delivery() Delivery {
	return Delivery{Deadline: o.deadline, ReportLastByte: true}
}

func (o *pausingObserver) LastByteWriting() {
	if o.pause {
		time.Sleep(time.Until(o.deadline))
	}
}

// The last byte of a request is not written after a pause of the process over the end of its time.
func TestLastByteIsNotWrittenAfterPause(t *testing.T) {
	for _, pause := range []bool{false, true} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			arrived := make(chan error, 1)
			p := newListeningPool(t, func(c net.Conn) {
				_, err := readSlowly(c, 0)
				arrived <- err
				fmt.Fprint(c, okResponse)
			})
			r := &Request{Method: "POST", URI: "/", Host: "x", Body: make([]byte, 1<<20)}
			observer := &pausingObserver{deadline: time.Now().Add(time.Second), pause: pause}
			resp, result := p.Do(new(Call), "s-1", r, time.Now().Add(testTimeout), observer)
			if resp != nil {
				resp.Release()
			}
			err := <-arrived
			if want := map[bool]balance.Result{false: balance.OK, true: balance.NotSent}[pause]; result != want || pause == (err == nil) {
				t.Errorf("result %v, want %v; the endpoint read the request with error %v", result, want, err)
			}
		})
	}
}

// The budget that an endpoint is told counts from the last byte of the request: the time that the endpoint
// takes to read a long body is taken off.
func TestToldBudgetAllowsForLongBody(t *testing.T) {
	const attemptTimeout = 2 * time.Second
	budgets := make(chan string, 2)
	p := newListeningPool(t, func(c net.Conn) {
		budget, err := readSlowly(c, 8*time.Millisecond)
		if err != nil {
			budget = err.Error()
		}
		budgets <- budget
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngood")
	})
	var told [2]int
	for i := range told {
		r := &Request{Method: "POST", URI: "/", Host: "x", Body: make([]byte, 6<<20)}
		resp, result := p.Do(new(Call), "s-1", r, time.Now().Add(attemptTimeout), &pausingObserver{})
		if result != balance.OK {
			t.Fatalf("result %v", result)
		}
		resp.Release()
		ms, err := strconv.Atoi(<-budgets)
		if err != nil {
			t.Fatal(err)
		}
		told[i] = ms
	}
	if told[1] > told[0]-200 { // 6 MiB with a pause of 8 ms for each 64 KiB take 0.77 s
		t.Errorf("the endpoint was told a budget of %d ms, after %d ms for the request before", told[1], told[0])
	}
}

// leavingBody is a body whose caller leaves when it has been read.
type leavingBody struct {
	data   []byte
	upload *Upload
}

func (b *leavingBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		b.upload.Abort()
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// A forwarded request whose last byte has been written counts as sent, although its caller leaves right after.
func TestUploadCountsAsSentOnceItsLastByteIsWritten(t *testing.T) {
	p := newListeningPool(t, func(c net.Conn) {
		if _, err := readSlowly(c, 0); err == nil {
			fmt.Fprint(c, okResponse)
		}
	})
	u := &Upload{Length: 100 << 10, Commit: func() bool { return true }, ResponseTimeout: testTimeout}
	u.Remaining = &leavingBody{make([]byte, u.Length), u}
	r := &Request{Method: "POST", URI: "/", Host: "x", Upload: u}
	resp, result := p.Do(new(Call), "s-1", r, time.Now().Add(testTimeout), nil)
	if result != balance.OK || !u.Sent() {
		t.Errorf("result %v, sent %t, error %v; want a response", result, u.Sent(), u.Err())
	}
	if resp != nil {
		resp.Release()
	}
}
