package httpserver

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

	"gorselink/internal/discovery"
	"gorselink/internal/pool"
	"gorselink/internal/upstream"
)

// streamHarness starts a sidecar that streams, in front of an endpoint that handler serves.
func streamHarness(t *testing.T, readAheadBytes int64, handler http.HandlerFunc) *harness {
	t.Helper()
	return streamHarnessWithLongBudget(t, readAheadBytes, 8<<20, handler)
}

// streamHarnessWithLongBudget is streamHarness with longBodyBytes of memory for long request bodies.
func streamHarnessWithLongBudget(t *testing.T, readAheadBytes, longBodyBytes int64, handler http.HandlerFunc) *harness {
	t.Helper()
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	cfg := newTestConfig()
	conns := upstream.New(upstream.Config{
		DialTimeout: time.Second, IdleTimeout: cfg.Balance.IdleConnTimeout, MaxConns: 32, LargeResponseBytes: readAheadBytes, MaxStreamBytes: PlatformMaxBytes,
	})
	t.Cleanup(conns.Close)
	cfg.Known.Endpoints = []discovery.Endpoint{{Name: "s-1", Address: srv.Listener.Addr().String(), Zone: "a", Status: discovery.InService}}
	p, err := pool.New(pool.Config{
		Name: "test", Zones: map[string]int{"a": 0}, Balance: cfg.Balance, Known: cfg.Known,
		Limits: pool.Limits{BodyBytes: 8 << 20, LongBytes: longBodyBytes},
	}, conns)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{Pool: p}
	r.router = NewPlatformRouter(p, testPlatformConfig(cfg))
	r.server = NewServer(r.router, 32, Timeouts{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r.addr = l.Addr().String()
	go r.server.Serve(l)
	return r
}

// randomBytes returns n pseudorandom bytes, the same in each call.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	src := rand.NewChaCha8([32]byte{1})
	src.Read(b)
	return b
}

// A long response arrives complete at fast and slow callers, with and without a length or memory to
// read ahead. The connection to the endpoint is reused, and no request stays open.
func TestLongResponsesArriveComplete(t *testing.T) {
	const size = 3<<20 + 17
	data := randomBytes(size)
	for _, readAheadBytes := range []int64{0, 300 << 10, 8 << 20} {
		for _, chunked := range []bool{false, true} {
			for _, slow := range []bool{false, true} {
				t.Run(fmt.Sprintf("read-ahead memory %d, chunked %t, slow %t", readAheadBytes, chunked, slow), func(t *testing.T) {
					t.Parallel()
					r := streamHarness(t, readAheadBytes, func(w http.ResponseWriter, req *http.Request) {
						if !chunked {
							w.Header().Set("Content-Length", fmt.Sprint(size))
						}
						w.Write(data)
					})
					for range 2 {
						c := r.dial(t)
						io.WriteString(c, viewRequest(""))
						resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
						if err != nil || resp.StatusCode != 200 {
							t.Fatalf("response %v, error %v, want status 200", resp, err)
						}
						if slow {
							time.Sleep(300 * time.Millisecond)
						}
						sum := sha256.New()
						n, err := io.Copy(sum, resp.Body)
						if err != nil || n != size || [32]byte(sum.Sum(nil)) != sha256.Sum256(data) {
							t.Fatalf("read %d bytes, error %v, want all %d unchanged", n, err, size)
						}
					}
					eventually(t, "one connection is idle and no request is open", func() bool { return r.Conns().OpenConns() == 1 && r.Pool.OpenRequests() == 0 })
				})
			}
		}
	}
}

// A slow caller does not hold a connection to an endpoint while there is memory to read ahead.
func TestSlowCallerDoesNotHoldEndpoint(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) { testSlowCaller(t, chunked) })
	}
}

func testSlowCaller(t *testing.T, chunked bool) {
	const size = 30 << 20 // more than the socket buffers hold
	complete := make(chan struct{}, 1)
	data := randomBytes(size)
	r := streamHarness(t, 32<<20, func(w http.ResponseWriter, req *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		w.Write(data)
		w.(http.Flusher).Flush()
		complete <- struct{}{}
	})
	c := r.dial(t)
	c.(*net.TCPConn).SetReadBuffer(16 << 10)
	io.WriteString(c, viewRequest(""))
	in := bufio.NewReaderSize(c, 1<<10)
	// One piece is read, so that the write of the next one is measured as slow.
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	deadline := time.After(testTimeout)
	for done := false; !done; {
		select {
		case <-complete:
			done = true
		case <-deadline:
			t.Fatal("the slow caller holds the connection to the endpoint")
		case <-time.After(10 * time.Millisecond):
			n, _ := io.CopyN(io.Discard, resp.Body, 8<<10)
			total += n
		}
	}
	if total > size/4 {
		t.Errorf("the caller had read %d of %d bytes before the endpoint was done, want a quarter at most", total, size)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || total+n != size {
		t.Errorf("read %d bytes, error %v, want %d", total+n, err, size)
	}
}

// If an endpoint does not complete its response, the caller can detect that it is incomplete.
func TestBrokenResponseIsIncompleteAtCaller(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		r := streamHarness(t, 8<<20, func(w http.ResponseWriter, req *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close() // closes the connection without a reset, within the response
			data := randomBytes(1 << 20)
			if chunked {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(data), data)
			} else {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n%s", data)
			}
		})
		c := r.dial(t)
		io.WriteString(c, viewRequest(""))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		n, err := io.Copy(io.Discard, resp.Body)
		if d := time.Since(start); err == nil || d > idleTimeout/2 { // the idle timeout would also end it
			t.Errorf("chunked %t: error %v after %d bytes and %v, want an error at once", chunked, err, n, d)
		}
		eventually(t, "no connection to the endpoint and no request is open", func() bool { return r.Conns().OpenConns() == 0 && r.Pool.OpenRequests() == 0 })
	}
}

// If a caller disconnects during a long response, its request and connections are released.
func TestDisconnectDuringLongResponse(t *testing.T) {
	r := streamHarness(t, 8<<20, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(32<<20))
		w.Write(randomBytes(32 << 20))
	})
	for range 3 {
		c := r.dial(t)
		io.WriteString(c, viewRequest(""))
		if _, err := io.CopyN(io.Discard, c, 1<<20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		c.Close()
	}
	eventually(t, "no connection to the endpoint and no request is open", func() bool { return r.Conns().OpenConns() == 0 && r.Pool.OpenRequests() == 0 })
}

// A long body may arrive slowly, as long as it keeps the minimum rate.
func TestSlowBodyIsAccepted(t *testing.T) {
	r := streamHarness(t, 0, func(w http.ResponseWriter, req *http.Request) {
		n, _ := io.Copy(io.Discard, req.Body)
		fmt.Fprint(w, n)
	})
	const size = 300 << 10
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			t.Parallel()
			c := r.dial(t)
			if chunked {
				io.WriteString(c, payRequest("Transfer-Encoding: chunked\r\n\r\n"))
			} else {
				io.WriteString(c, payRequest(fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
			}
			// 3 s in all, longer than requestTimeout.
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
			status, body, err := readResponse(bufio.NewReader(c))
			if err != nil || status != 200 || body != fmt.Sprint(size) {
				t.Errorf("status %d, body %q, error %v, want 200 with body %d", status, body, err, size)
			}
		})
	}
}

// A body for which there is no memory is streamed to the endpoint in order and completely, and the
// connections are reused.
func TestBodiesWithoutMemoryAreStreamed(t *testing.T) {
	const size = 5<<20 + 3
	data := randomBytes(size)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			t.Parallel()
			r := streamHarnessWithLongBudget(t, 0, 100<<10, func(w http.ResponseWriter, req *http.Request) {
				sum := sha256.New()
				n, err := io.Copy(sum, req.Body)
				fmt.Fprintf(w, "%d %x %v", n, sum.Sum(nil), err)
			})
			c := r.dial(t)
			in := bufio.NewReader(c)
			want := fmt.Sprintf("%d %x <nil>", size, sha256.Sum256(data))
			for range 2 {
				if chunked {
					io.WriteString(c, payRequest("Transfer-Encoding: chunked\r\n\r\n"))
					for rest := data; len(rest) > 0; {
						n := min(len(rest), 100_000)
						fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n])
						rest = rest[n:]
					}
					io.WriteString(c, "0\r\n\r\n")
				} else {
					io.WriteString(c, payRequest(fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
					c.Write(data)
				}
				if status, body, err := readResponse(in); err != nil || status != 200 || body != want {
					t.Fatalf("status %d, body %q, error %v, want 200 with body %q", status, body, err, want)
				}
			}
			eventually(t, "one connection is idle and no request is open", func() bool { return r.Conns().OpenConns() == 1 && r.Pool.OpenRequests() == 0 })
			if left := r.BodyBudget().Available(); left != r.BodyBudget().Total() {
				t.Errorf("%d bytes of body memory available of %d, want all", left, r.BodyBudget().Total())
			}
		})
	}
}

// The body of a request that no pool takes is not read as the next request on the connection.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	r := streamHarnessWithLongBudget(t, 0, 100<<10, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	r.Retire() // a pool that has been replaced takes no new requests
	c := r.dial(t)
	in := bufio.NewReader(c)
	io.WriteString(c, payRequest("Content-Length: 900000\r\n\r\n"))
	if status, _, err := readResponse(in); status != 503 || err != nil {
		t.Fatalf("status %d, error %v, want 503", status, err)
	}
	r.Reactivate()
	io.WriteString(c, viewRequest(""))
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if status, body, err := readResponse(in); err == nil {
		t.Errorf("a response of status %d, %q, to bytes of the body, want none", status, body)
	}
}

// A streamed body that stalls or is invalid gets an error response, and the endpoint does not
// receive it in full. An endpoint that rejects the request early causes a 503 response.
func TestBrokenUploads(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
		rejects    bool // the endpoint rejects the request before it has read the body
	}{
		{"stalls", payRequest("Content-Length: 900000\r\n\r\n" + strings.Repeat("b", 400000)), 408, false},
		{"stalls within a chunk", payRequest("Transfer-Encoding: chunked\r\n\r\nF4240\r\n" + strings.Repeat("b", 400000)), 408, false},
		{"bad chunk", payRequest("Transfer-Encoding: chunked\r\n\r\n61A80\r\n" + strings.Repeat("b", 400000) + "\r\nzz\r\n"), 400, false},
		{"rejected by the endpoint", payRequest("Content-Length: 9000000\r\n\r\n" + strings.Repeat("b", 9000000)), 503, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			complete := make(chan error, 10)
			r := streamHarnessWithLongBudget(t, 0, 100<<10, func(w http.ResponseWriter, req *http.Request) {
				if c.rejects {
					w.Header().Set("X-Rejected", "1")
					w.Header().Set("Connection", "close")
					w.WriteHeader(503)
					return
				}
				_, err := io.Copy(io.Discard, req.Body)
				complete <- err
			})
			conn, start := r.dial(t), time.Now()
			go io.WriteString(conn, c.text)
			if status, _, err := readResponse(bufio.NewReader(conn)); err != nil || status != c.status {
				t.Errorf("status %d, error %v, want %d", status, err, c.status)
			}
			if d := time.Since(start); d > 4*bodyStallTimeout {
				t.Errorf("response after %v, want about %v", d, bodyStallTimeout)
			}
			if !c.rejects {
				select {
				case err := <-complete:
					if err == nil {
						t.Error("endpoint received the incomplete body in full")
					}
				case <-time.After(testTimeout):
					t.Error("endpoint still waits for the rest of the body")
				}
			}
			eventually(t, "no connection to the endpoint and no request is open", func() bool { return r.Conns().OpenConns() == 0 && r.Pool.OpenRequests() == 0 })
		})
	}
}
