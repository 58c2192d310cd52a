// Command slowlist plays a discovery that is asked and slow, while an endpoint begins to drain.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"review/standin"
)

const (
	delay = 2500 * time.Millisecond // of each answer of discovery
	told  = 6 * time.Second         // at the latest after discovery had it
	grace = 2*time.Second + 50*time.Millisecond
)

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var draining atomic.Int64 // since when, by the case's time; 0 for not
	var entries []standin.Entry
	for i := range 2 {
		name := fmt.Sprintf("s-%d", i+1)
		e, err := c.Serve(name, func(conn *net.TCPConn, r *http.Request) bool {
			io.Copy(io.Discard, r.Body)
			if since := time.Duration(draining.Load()); i == 0 && since > 0 {
				if at := c.Now() - since; at > told+grace {
					c.Break("%s gets request %s %.2f s after discovery had that it drains", name, r.Header.Get("X-Call-Id"), at.Seconds())
				}
			}
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
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
	if c.Trouble {
		discovery.Delay = delay
	}
	s, err := c.NewSidecar(standin.SidecarConfig{Discovery: discovery.Address, MemoryMB: 64, Sockets: 512, Classes: standin.Classes(), Asked: true, Known: entries})
	if err != nil {
		return err
	}
	if _, err := s.Run(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	changed := append([]standin.Entry(nil), entries...)
	changed[0].Status = "terminating"
	discovery.Set(changed)
	draining.Store(int64(c.Now()))
	c.Note("discovery has that s-1 drains")
	for i, end := 0, time.Now().Add(14*time.Second); time.Now().Before(end); i++ {
		conn, err := net.Dial("tcp", s.Listen)
		if err != nil {
			return err
		}
		fmt.Fprintf(conn, "GET /campaign-view/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %016x\r\nX-Caller: acme\r\nX-Budget-Ms: 1500\r\n\r\n", 0x2000+i)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			c.Note("client: %v", err)
		}
		conn.Close()
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
