// Command keyscope plays a lost zone: the answers of its nodes get lost, and a client repeats a
// request with the same key. It starts gorselink serve.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/standin"
)

const requests = 10

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var mu sync.Mutex
	ran := map[string][]string{}
	var lost atomic.Bool
	nodes := ""
	for _, zone := range []string{"a", "b"} {
		keys := map[string]bool{}
		for i := range 2 {
			name := fmt.Sprintf("%s%d", zone, i+1)
			e, err := c.Serve(name, func(conn *net.TCPConn, r *http.Request) bool {
				io.Copy(io.Discard, r.Body)
				key := r.Header.Get("Idempotency-Key")
				mu.Lock()
				runs := !keys[key]
				keys[key] = true
				if runs {
					ran[key] = append(ran[key], zone)
				}
				mu.Unlock()
				c.Note("%s: key %s runs %t, lost %t", name, key, runs, zone == "a" && lost.Load())
				if zone == "a" && lost.Load() {
					time.Sleep(9 * time.Second)
					return false
				}
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})
			if err != nil {
				return err
			}
			nodes += fmt.Sprintf("  %q,\n", e.Address+" zone="+zone+" name="+name)
		}
	}
	listen, err := standin.FreeAddress()
	if err != nil {
		return err
	}
	config := filepath.Join(c.Dir, "gorselink.toml")
	text := fmt.Sprintf("[listeners.public]\naddress = %q\n\n[classes.default]\ndeadline = \"2s\"\nmemory_span = \"60s\"\nkey_scope = \"zone\"\n\n[pools.pledge]\nnodes = [\n%s]\n\n[[routes]]\npool = \"pledge\"\n", listen, nodes)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := c.Start("gorselink", nil, "bin/gorselink", "serve", "--config", config)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	for i := range 6 {
		c.Note("status %d", post(c, listen, fmt.Sprintf("warm-%d", i)))
	}
	lost.Store(c.Trouble)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			key := fmt.Sprintf("key-%d", i)
			for try := range 3 {
				status := post(c, listen, key)
				c.Note("client: key %s, try %d: status %d", key, try, status)
				if status == 200 {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	for key, where := range ran {
		if len(where) > 1 {
			c.Break("key %s ran in the zones %v", key, where)
		}
	}
	mu.Unlock()
	c.Signal(p, syscall.SIGTERM)
	return nil
}

func post(c *standin.Case, address, key string) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /pledge HTTP/1.1\r\nHost: donate.example.org\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n10", key)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.Note("client: %v", err)
		return 0
	}
	return resp.StatusCode
}
