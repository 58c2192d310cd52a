// Command second plays a case: second answers come some milliseconds late.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"review/standin"
)

const (
	budget    = 1500 * time.Millisecond
	endpoints = 3
	clients   = 40
	oneWay    = 600 * time.Microsecond // between two halls
	share     = 0.1                    // of the answers, which have a second copy
	minLate   = 3 * time.Millisecond
	maxLate   = 8 * time.Millisecond
	work      = 20 * time.Millisecond
	busy      = time.Second      // clients send so long,
	quiet     = 31 * time.Second // and rest so long
	periods   = 4
)

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var entries []standin.Entry
	for i := range endpoints {
		address, err := endpoint(c, fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return err
		}
		if address, err = hall(address); err != nil {
			return err
		}
		entries = append(entries, (&standin.Endpoint{Name: fmt.Sprintf("s-%d", i+1), Address: address}).Entry())
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
	var n, served atomic.Int64
	for period := range periods {
		if period > 0 {
			time.Sleep(quiet)
		}
		c.Note("clients send for %v", busy)
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				for end := time.Now().Add(busy); time.Now().Before(end); {
					client(c, s, end, &n, &served)
				}
			})
		}
		wg.Wait()
		c.Note("%d requests so far, %d served", n.Load(), served.Load())
	}
	return nil
}

// endpoint starts an endpoint in another hall and returns its address.
func endpoint(c *standin.Case, name string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, name, conn)
		}
	}()
	return l.Addr().String(), nil
}

// serve answers the requests on a connection. Behind some answers it sends a second copy, if no
// byte of another request has come by then.
func serve(c *standin.Case, name string, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Call-Id")
		c.Note("%s: runs payment %s", name, id)
		time.Sleep(work + rand.N(2*time.Millisecond))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if !c.Trouble || rand.Float64() >= share {
			continue
		}
		late := minLate + rand.N(maxLate-minLate)
		conn.SetReadDeadline(time.Now().Add(late))
		_, err = in.Peek(1)
		conn.SetReadDeadline(time.Time{})
		if err == nil {
			continue // a request waits
		}
		c.Note("%s: second answer to %s, %.1f ms late", name, id, late.Seconds()*1000)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// hall starts a proxy in front of an address in another hall, and returns its address.
func hall(address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far)
			go carry(far, near)
		}
	}()
	return l.Addr().String(), nil
}

// piece is what has been read at one time.
type piece struct {
	at   time.Time
	data []byte
}

// carry writes to one connection what comes from another, oneWay later.
func carry(from, to net.Conn) {
	pieces := make(chan piece, 100)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 4<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{time.Now(), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		for time.Since(p.at) < oneWay {
			runtime.Gosched()
		}
		to.Write(p.data)
	}
	to.Close()
}

// client sends payments on one connection until it is closed or the end has come.
func client(c *standin.Case, s *standin.Sidecar, end time.Time, n, served *atomic.Int64) {
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		c.Note("client: %v", err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", 0x2000+n.Add(1))
		fmt.Fprintf(conn, "POST /payment/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", id, budget.Milliseconds(), len(id), id)
		c.Note("client: payment %s sent", id)
		conn.SetReadDeadline(time.Now().Add(budget + time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			c.Note("client %s: %v", id, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		switch {
		case err != nil || resp.StatusCode != http.StatusOK:
			c.Note("client %s: status %d, %v", id, resp.StatusCode, err)
		case string(body) != id:
			c.Break("the payment %s was answered with the answer of %s", id, body)
		default:
			c.Note("client: payment %s answered with status 200 and its own answer", id)
			served.Add(1)
		}
		if resp.Close {
			return
		}
	}
}
