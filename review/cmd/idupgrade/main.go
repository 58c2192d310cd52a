// Command idupgrade plays the id of another client's open request during an upgrade.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"review/standin"
)

const openID = "00000000000000aa"

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	e, err := c.Serve("s-1", func(conn *net.TCPConn, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		c.Note("s-1: runs request %s", r.Header.Get("X-Call-Id"))
		time.Sleep(2 * time.Second)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
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
	time.Sleep(time.Second)
	open := make(chan int, 1)
	go func() { open <- pay(c, s, "client") }()
	time.Sleep(200 * time.Millisecond)
	if c.Trouble {
		console, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		os.Setenv("ROUTER_CONSOLE", console)
		if _, err := s.Next(console); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	if status := pay(c, s, "bad client"); status == http.StatusOK {
		c.Break("a payment with the id of another client's open payment was served")
	}
	<-open
	return nil
}

func pay(c *standin.Case, s *standin.Sidecar, who string) int {
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	c.Note("%s: sends a payment with the id %s", who, openID)
	fmt.Fprintf(conn, "POST /payment/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: 3000\r\nContent-Length: 2\r\n\r\n10", openID)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.Note("%s: %v", who, err)
		return 0
	}
	c.Note("%s: status %d", who, resp.StatusCode)
	return resp.StatusCode
}
