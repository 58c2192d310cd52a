// Command chunk plays a case: an endpoint hangs in the middle of a long chunked answer.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/standin"
)

const (
	budget    = 3 * time.Second
	maxHeld   = 2 * time.Second // what an endpoint gives may not be held back for longer
	slack     = 50 * time.Millisecond
	bodyBytes = 160_000 // one chunk
	pieceSize = 640     // bytes, written every 10 ms: 64 kB a second
	hangAt    = 90_240  // bytes
	hang      = 8300 * time.Millisecond
	endpoints = 5 // of which one hangs
	clients   = 20
)

// progress is how many bytes of an answer's body had been written or read by when.
type progress struct {
	mu    sync.Mutex
	bytes []int
	at    []time.Duration
}

func (p *progress) add(n int, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes, p.at = append(p.bytes, n), append(p.at, at)
}

// when returns when n bytes were there, and whether they ever were.
func (p *progress) when(n int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.bytes {
		if p.bytes[i] >= n {
			return p.at[i], true
		}
	}
	return 0, false
}

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var given sync.Map    // progress at the endpoint, by id
	var hangs atomic.Bool // whether the first endpoint hangs
	var entries []standin.Entry
	body := strings.Repeat("0123456789abcdef", bodyBytes/16)
	for i := range endpoints {
		name := fmt.Sprintf("s-%d", i+1)
		e, err := c.Serve(name, func(conn *net.TCPConn, r *http.Request) bool {
			id := r.Header.Get("X-Call-Id")
			p := &progress{}
			given.Store(id, p)
			c.Note("%s: runs request %s", name, id)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes)
			for n := 0; n < bodyBytes; n += pieceSize {
				if _, err := io.WriteString(conn, body[n:n+pieceSize]); err != nil {
					c.Note("%s: request %s broke off after %d bytes: %v", name, id, n, err)
					return false
				}
				p.add(n+pieceSize, c.Now())
				if i == 0 && hangs.Load() && n+pieceSize == hangAt {
					c.Note("%s: hangs after %d of %d bytes of the answer to %s", name, hangAt, bodyBytes, id)
					time.Sleep(hang)
				}
				time.Sleep(10 * time.Millisecond)
			}
			_, err := io.WriteString(conn, "\r\n0\r\n\r\n")
			c.Note("%s: request %s, the answer is written, %v", name, id, err)
			return err == nil
		})
		if err != nil {
			return err
		}
		entries = append(entries, e.Entry())
	}
	discovery, err := c.Discover(entries)
	if err != nil {
		return err
	}
	s, err := c.NewSidecar(standin.SidecarConfig{Discovery: discovery.Address, MemoryMB: 64, Sockets: 512, Classes: standin.Classes()})
	if err != nil {
		return err
	}
	if _, err := s.Run(); err != nil {
		return err
	}
	hangs.Store(c.Trouble)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0x2000+i)
			got, err := download(c, s, id, body)
			p, ok := given.Load(id)
			if !ok {
				c.Note("client %s: no endpoint ran it", id)
				return
			}
			judge(c, id, p.(*progress), got, err)
		})
	}
	wg.Wait()
	return nil
}

// judge checks that no byte that the endpoint gave was held back.
func judge(c *standin.Case, id string, given, got *progress, err error) {
	for n := 1000; n <= bodyBytes; n += 1000 {
		gave, ok := given.when(n)
		if !ok {
			return
		}
		came, ok := got.when(n)
		if !ok {
			c.Break("request %s: byte %d, which its endpoint gave, never came: %v", id, n, err)
			return
		}
		if came-gave > maxHeld+slack {
			c.Break("request %s: byte %d came %.3f s after its endpoint had given it", id, n, (came - gave).Seconds())
			return
		}
	}
}

// download sends one request and returns when its answer came.
func download(c *standin.Case, s *standin.Sidecar, id, want string) (*progress, error) {
	got := &progress{}
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		return got, err
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /campaign-view/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\n\r\n", id, budget.Milliseconds())
	c.Note("client %s: request sent", id)
	conn.SetReadDeadline(time.Now().Add(40 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return got, err
	}
	c.Note("client %s: status %d", id, resp.StatusCode)
	n, noted := 0, time.Duration(0)
	for buf := make([]byte, 1000); ; {
		k, err := resp.Body.Read(buf)
		if string(buf[:k]) != want[n:min(len(want), n+k)] {
			return got, fmt.Errorf("the body differs")
		}
		n += k
		now := c.Now()
		got.add(n, now)
		if err != nil || now-noted > 300*time.Millisecond {
			c.Note("client %s: %d bytes have come", id, n)
			noted = now
		}
		if err != nil {
			return got, err
		}
	}
}
