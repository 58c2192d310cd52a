// Command upload plays a case: an endpoint hangs while it reads a long body.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"review/standin"
)

const (
	memoryMB  = 32
	bodyBytes = 4_300_000 // more than an eighth of the memory; some bodies are longer
	moreBytes = 1_000_000
	budget    = 3 * time.Second
	late      = 500 * time.Millisecond // a later answer is lost
	slack     = 50 * time.Millisecond
	clients   = 24
	readUntil = 192 << 10 // the endpoint hangs there, or up to 144 KiB later
)

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var hung atomic.Bool // whether the first endpoint hangs
	var hangs atomic.Int64
	var entries []standin.Entry
	for i := range 2 {
		name := fmt.Sprintf("s-%d", i+1)
		e, err := c.Serve(name, func(conn *net.TCPConn, r *http.Request) bool {
			id := r.Header.Get("X-Call-Id")
			c.Note("%s: request %s begins, X-Budget-Ms %s", name, id, r.Header.Get("X-Budget-Ms"))
			if i == 0 && hung.Load() {
				n, _ := io.CopyN(io.Discard, r.Body, readUntil+16<<10*(hangs.Add(1)%10))
				c.Note("%s: hangs after %d bytes of request %s", name, n, id)
				time.Sleep(30 * time.Second)
				return false
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				c.Note("%s: request %s broke off after %d bytes: %v", name, id, n, err)
				return false
			}
			c.Note("%s: runs request %s, %d bytes", name, id, n)
			time.Sleep(30 * time.Millisecond)
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
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
	s, err := c.NewSidecar(standin.SidecarConfig{Discovery: discovery.Address, MemoryMB: memoryMB, Sockets: 512, Classes: standin.Classes()})
	if err != nil {
		return err
	}
	if _, err := s.Run(); err != nil {
		return err
	}
	for i := range 2 { // both endpoints are well known before the trouble
		if _, err := request(c, s, fmt.Sprintf("%016x", 0x1000+i), bodyBytes); err != nil {
			return err
		}
	}
	hung.Store(c.Trouble)
	var wg sync.WaitGroup
	var taken atomic.Int64
	for i := range clients {
		wg.Go(func() {
			if whole, _ := request(c, s, fmt.Sprintf("%016x", 0x2000+i), bodyBytes+i%4/3*moreBytes); whole {
				taken.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	c.Note("%d of %d requests were written to their last byte", taken.Load(), clients)
	return nil
}

// request sends one payment and judges its answer. It reports whether the last byte was written.
func request(c *standin.Case, s *standin.Sidecar, id string, length int) (whole bool, err error) {
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	head := fmt.Sprintf("POST /payment/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, budget.Milliseconds(), length)
	began := c.Now()
	conn.SetWriteDeadline(time.Now().Add(25 * time.Second))
	if _, err := conn.Write(append([]byte(head), bytes.Repeat([]byte("x"), length)...)); err != nil {
		c.Note("client %s: the last byte could not be written: %v", id, err)
		return false, err
	}
	written := c.Now()
	c.Note("client %s: last byte of %d written %.3f s after the first", id, length, (written - began).Seconds())
	time.AfterFunc(200*time.Millisecond, func() {
		c.Note("client %s: %d bytes are not yet acknowledged by the sidecar's machine", id, unacknowledged(conn))
	})
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	took := c.Now() - written
	switch {
	case err != nil:
		c.Break("request %s had no whole answer %.3f s after its last byte: %v", id, took.Seconds(), err)
	case took > budget+late+slack:
		c.Break("request %s was answered with status %d, %.3f s after its last byte; its client waits %v", id, resp.StatusCode, took.Seconds(), budget)
	default:
		c.Note("client %s: status %d %q after %.3f s", id, resp.StatusCode, body, took.Seconds())
	}
	return true, nil
}

// unacknowledged returns how many bytes of the send queue the other machine has not acknowledged.
func unacknowledged(conn net.Conn) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	n := int32(-1)
	raw.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	})
	return int(n)
}
