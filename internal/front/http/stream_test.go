package httpfront

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gorselink/internal/nodes"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// longRig is a sidecar that streams, before an endpoint that h answers for.
func longRig(t *testing.T, room int64, h http.HandlerFunc) *rig {
	t.Helper()
	return tightRig(t, room, 8<<20, h)
}

// tightRig is longRig with so many bytes for long bodies.
func tightRig(t *testing.T, room, long int64, h http.HandlerFunc) *rig {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	cfg := testConfig()
	conns := upstream.New(upstream.Config{
		DialTimeout: time.Second, IdleTimeout: cfg.Balance.IdleConnTimeout, MaxConns: 32, LargeResponseBytes: room, MaxStreamBytes: PlatformMaxBytes,
	})
	t.Cleanup(conns.Close)
	cfg.Known.Endpoints = []nodes.Endpoint{{Name: "s-1", Address: srv.Listener.Addr().String(), Zone: "a", Status: nodes.InService}}
	p, err := pool.New(pool.Config{
		Name: "test", Zones: map[string]int{"a": 0}, Balance: cfg.Balance, Known: cfg.Known,
		Limits: pool.Limits{BodyBytes: 8 << 20, LongBytes: long},
	}, conns)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Pool: p}
	r.judge = NewPlatformRouter(p, testForm(cfg))
	r.callers = NewServer(r.judge, 32, Timeouts{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r.addr = l.Addr().String()
	go r.callers.Serve(l)
	return r
}

// noise is n bytes that differ from stretch to stretch.
func noise(n int) []byte {
	b := make([]byte, n)
	src := rand.NewChaCha8([32]byte{1})
	src.Read(b)
	return b
}

// A long answer comes whole, with and without a length, to callers quick and
// slow, with room to read ahead of them and without; its connection is used
// again, and nothing stays held.
func TestLongAnswersComeWhole(t *testing.T) {
	const size = 3<<20 + 17
	data := noise(size)
	for _, room := range []int64{0, 300 << 10, 8 << 20} {
		for _, chunked := range []bool{false, true} {
			for _, slow := range []bool{false, true} {
				t.Run(fmt.Sprintf("room %d, chunked %t, slow %t", room, chunked, slow), func(t *testing.T) {
					t.Parallel()
					r := longRig(t, room, func(w http.ResponseWriter, req *http.Request) {
						if !chunked {
							w.Header().Set("Content-Length", fmt.Sprint(size))
						}
						w.Write(data)
					})
					for range 2 {
						c := r.dial(t)
						io.WriteString(c, view(""))
						resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
						if err != nil || resp.StatusCode != 200 {
							t.Fatalf("%v, %v", resp, err)
						}
						if slow {
							time.Sleep(300 * time.Millisecond)
						}
						sum := sha256.New()
						n, err := io.Copy(sum, resp.Body)
						if err != nil || n != size || [32]byte(sum.Sum(nil)) != sha256.Sum256(data) {
							t.Fatalf("%d bytes, %v, want all %d", n, err, size)
						}
					}
					eventually(t, "one connection that waits for the next", func() bool { return r.Conns().OpenConns() == 1 && r.Pool.OpenRequests() == 0 })
				})
			}
		}
	}
}

// A slow caller does not hold an endpoint's connection while there is room to
// read ahead.
func TestSlowCallerFreesTheEndpoint(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) { slowCaller(t, chunked) })
	}
}

func slowCaller(t *testing.T, chunked bool) {
	const size = 30 << 20 // far over what sockets hold
	whole := make(chan struct{}, 1)
	data := noise(size)
	r := longRig(t, 32<<20, func(w http.ResponseWriter, req *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		w.Write(data)
		w.(http.Flusher).Flush()
		whole <- struct{}{}
	})
	c := r.dial(t)
	c.(*net.TCPConn).SetReadBuffer(16 << 10)
	io.WriteString(c, view(""))
	in := bufio.NewReaderSize(c, 1<<10)
	// One piece is read, so that the next one is seen to be slow.
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	deadline := time.After(patience)
	for done := false; !done; {
		select {
		case <-whole:
			done = true
		case <-deadline:
			t.Fatal("the endpoint is held up by its caller")
		case <-time.After(10 * time.Millisecond):
			n, _ := io.CopyN(io.Discard, resp.Body, 8<<10)
			total += n
		}
	}
	if total > size/4 {
		t.Errorf("the caller had read %d of %d before the endpoint was done", total, size)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || total+n != size {
		t.Errorf("%d bytes, %v, want %d", total+n, err, size)
	}
}

// An answer that breaks off breaks at the caller, and never ends cleanly.
func TestStreamBreaksAtCaller(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		r := longRig(t, 8<<20, func(w http.ResponseWriter, req *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close() // a clean end of the connection, not of the answer
			data := noise(1 << 20)
			if chunked {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(data), data)
			} else {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n%s", data)
			}
		})
		c := r.dial(t)
		io.WriteString(c, view(""))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		n, err := io.Copy(io.Discard, resp.Body)
		if d := time.Since(start); err == nil || d > idleTimeout/2 { // which would end it as well
			t.Errorf("chunked %t: %v after %d bytes and %v, want a break at once", chunked, err, n, d)
		}
		eventually(t, "nothing is held", func() bool { return r.Conns().OpenConns() == 0 && r.Pool.OpenRequests() == 0 })
	}
}

// A caller that leaves inside a long answer takes all with it, also what is read
// ahead.
func TestLeavingInsideALongAnswer(t *testing.T) {
	r := longRig(t, 8<<20, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(32<<20))
		w.Write(noise(32 << 20))
	})
	for range 3 {
		c := r.dial(t)
		io.WriteString(c, view(""))
		if _, err := io.CopyN(io.Discard, c, 1<<20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		c.Close()
	}
	eventually(t, "nothing is held", func() bool { return r.Conns().OpenConns() == 0 && r.Pool.OpenRequests() == 0 })
}

// A long body comes at the pace of a slow caller; one that stops is told off.
func TestSlowBodyIsTaken(t *testing.T) {
	r := longRig(t, 0, func(w http.ResponseWriter, req *http.Request) {
		n, _ := io.Copy(io.Discard, req.Body)
		fmt.Fprint(w, n)
	})
	const size = 300 << 10
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			t.Parallel()
			c := r.dial(t)
			if chunked {
				io.WriteString(c, pay("Transfer-Encoding: chunked\r\n\r\n"))
			} else {
				io.WriteString(c, pay(fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
			}
			// 3 s in all, longer than any request may take without a pace.
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				piece := strings.Repeat("b", size/30)
				if chunked {
					piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
				}
				io.WriteString(c, piece)
			}
			if chunked {
				io.WriteString(c, "0\r\n\r\n")
			}
			status, body, err := get(bufio.NewReader(c))
			if err != nil || status != 200 || body != fmt.Sprint(size) {
				t.Errorf("%d %q, %v, want 200 with %d", status, body, err, size)
			}
		})
	}
}

// A body that finds no room is sent on while it comes, in order and whole, and its
// connections go on.
func TestBodiesWithoutRoomStream(t *testing.T) {
	const size = 5<<20 + 3
	data := noise(size)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			t.Parallel()
			r := tightRig(t, 0, 100<<10, func(w http.ResponseWriter, req *http.Request) {
				sum := sha256.New()
				n, err := io.Copy(sum, req.Body)
				fmt.Fprintf(w, "%d %x %v", n, sum.Sum(nil), err)
			})
			c := r.dial(t)
			in := bufio.NewReader(c)
			want := fmt.Sprintf("%d %x <nil>", size, sha256.Sum256(data))
			for range 2 {
				if chunked {
					io.WriteString(c, pay("Transfer-Encoding: chunked\r\n\r\n"))
					for rest := data; len(rest) > 0; {
						n := min(len(rest), 100_000)
						fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n])
						rest = rest[n:]
					}
					io.WriteString(c, "0\r\n\r\n")
				} else {
					io.WriteString(c, pay(fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
					c.Write(data)
				}
				if status, body, err := get(in); err != nil || status != 200 || body != want {
					t.Fatalf("%d %q, %v, want 200 %q", status, body, err, want)
				}
			}
			eventually(t, "one connection that waits for the next", func() bool { return r.Conns().OpenConns() == 1 && r.Pool.OpenRequests() == 0 })
			if left := r.Bodies().Available(); left != r.Bodies().Total() {
				t.Errorf("%d bytes of room left of %d", left, r.Bodies().Total())
			}
		})
	}
}

// A body that stops on the way, or is too long, is told off and never whole at its
// node; a node that gives up in the middle is a refusal.
func TestBrokenUploads(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
		away       bool // the node turns the request away
	}{
		{"stops", pay("Content-Length: 900000\r\n\r\n" + strings.Repeat("b", 400000)), 408, false},
		{"stops inside chunks", pay("Transfer-Encoding: chunked\r\n\r\nF4240\r\n" + strings.Repeat("b", 400000)), 408, false},
		{"bad chunk", pay("Transfer-Encoding: chunked\r\n\r\n61A80\r\n" + strings.Repeat("b", 400000) + "\r\nzz\r\n"), 400, false},
		{"turned away", pay("Content-Length: 9000000\r\n\r\n" + strings.Repeat("b", 9000000)), 503, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			whole := make(chan error, 10)
			r := tightRig(t, 0, 100<<10, func(w http.ResponseWriter, req *http.Request) {
				if c.away {
					w.Header().Set("X-Rejected", "1")
					w.Header().Set("Connection", "close")
					w.WriteHeader(503)
					return
				}
				_, err := io.Copy(io.Discard, req.Body)
				whole <- err
			})
			conn, start := r.dial(t), time.Now()
			go io.WriteString(conn, c.text)
			if status, _, err := get(bufio.NewReader(conn)); err != nil || status != c.status {
				t.Errorf("status %d, %v, want %d", status, err, c.status)
			}
			if d := time.Since(start); d > 4*bodyStallTimeout {
				t.Errorf("told off after %v, want about %v", d, bodyStallTimeout)
			}
			if !c.away {
				select {
				case err := <-whole:
					if err == nil {
						t.Error("the node had the body whole")
					}
				case <-time.After(patience):
					t.Error("the node still waits for the rest")
				}
			}
			eventually(t, "nothing is held", func() bool { return r.Conns().OpenConns() == 0 && r.Pool.OpenRequests() == 0 })
		})
	}
}
