// Command openid plays the id of another client's open request: its answer takes long, as its
// client reads slowly.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"review/standin"
)

const (
	answer    = 3 << 20 // bytes
	piece     = 8 << 10
	readPause = 125 * time.Millisecond // after each piece: 64 kB a second
	openID    = "00000000000000aa"
)

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	e, err := c.Serve("s-1", func(conn *net.TCPConn, r *http.Request) bool {
		id, length := r.Header.Get("X-Call-Id"), 16
		if id == openID {
			length = answer
		}
		c.Note("s-1: runs request %s", id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
		for n := 0; n < length; n += piece {
			if _, err := conn.Write(make([]byte, min(piece, length-n))); err != nil {
				c.Note("s-1: the answer to %s broke off: %v", id, err)
				return false
			}
		}
		c.Note("s-1: the answer to %s is written", id)
		return true
	})
	if err != nil {
		return err
	}
	discovery, err := c.Discover([]standin.Entry{e.Entry()})
	if err != nil {
		return err
	}
	s, err := c.NewSidecar(standin.SidecarConfig{Discovery: discovery.Address, MemoryMB: 32, Sockets: 256, Classes: standin.Classes()})
	if err != nil {
		return err
	}
	if _, err := s.Run(); err != nil {
		return err
	}
	open := make(chan error, 1)
	go func() { open <- get(c, s, openID, readPause) }()
	for i := range 30 { // the usual clients
		time.Sleep(time.Second)
		if err := get(c, s, fmt.Sprintf("%016x", 0x2000+i), 0); err != nil {
			return err
		}
		if c.Trouble && (i == 1 || i == 24) {
			select {
			case err := <-open:
				return fmt.Errorf("the first request is not open any more: %v", err)
			default:
			}
			resp, err := send(s, openID)
			switch {
			case err != nil:
				c.Note("bad client: %v", err)
			case resp.StatusCode == http.StatusOK:
				c.Break("a request with the id of another client's open request was served after %d s", i+1)
			default:
				c.Note("bad client: status %d", resp.StatusCode)
			}
		}
	}
	return nil
}

func send(s *standin.Sidecar, id string) (*http.Response, error) {
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	fmt.Fprintf(conn, "GET /campaign-view/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: 1500\r\n\r\n", id)
	conn.SetReadDeadline(time.Now().Add(80 * time.Second))
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

func get(c *standin.Case, s *standin.Sidecar, id string, pause time.Duration) error {
	resp, err := send(s, id)
	if err != nil {
		return err
	}
	c.Note("client %s: status %d", id, resp.StatusCode)
	for buf := make([]byte, piece); ; {
		_, err := resp.Body.Read(buf)
		if err != nil {
			c.Note("client %s: the answer ends, %v", id, err)
			if err == io.EOF {
				return nil
			}
			return err
		}
		time.Sleep(pause)
	}
}
