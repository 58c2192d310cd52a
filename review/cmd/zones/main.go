// Command zones plays a case: new settings add zones, and answers of keyed requests get lost.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"review/standin"
)

const (
	budget   = 1500 * time.Millisecond
	requests = 400
	pause    = 20 * time.Millisecond // between two requests
	loseEach = 10                    // one of so many answers gets lost
)

var zones = []string{"hall-a", "hall-b", "hall-c"}

// zone is a group of endpoints that drops the repeats of a key.
type zone struct {
	mu   sync.Mutex
	keys map[string]bool
}

// run reports whether a request runs, and not only repeats one that has run in the zone.
func (z *zone) run(key string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.keys[key] {
		return false
	}
	z.keys[key] = true
	return true
}

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var mu sync.Mutex
	ran := map[string][]string{} // where each key ran
	served := 0
	var first, all []standin.Entry
	for _, name := range zones {
		z := &zone{keys: map[string]bool{}}
		for i := range 2 {
			endpoint := fmt.Sprintf("s-%s-%d", name, i+1)
			e, err := c.Serve(endpoint, func(conn *net.TCPConn, r *http.Request) bool {
				io.Copy(io.Discard, r.Body)
				key := r.Header.Get("Idempotency-Key")
				runs := z.run(key)
				mu.Lock()
				served++
				lose := runs && served%loseEach == 0
				if runs {
					ran[key] = append(ran[key], name)
				}
				mu.Unlock()
				c.Note("%s: request %s with key %s runs %t, its answer gets lost %t", endpoint, r.Header.Get("X-Call-Id"), key, runs, lose)
				time.Sleep(5 * time.Millisecond)
				if lose {
					conn.SetLinger(0) // a reset
					return false
				}
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})
			if err != nil {
				return err
			}
			entry := e.Entry()
			entry.Zone, entry.Group = name, 3*len(all)
			all = append(all, entry)
			if name == zones[0] {
				first = append(first, entry)
			}
		}
	}
	discovery, err := c.Discover(first)
	if err != nil {
		return err
	}
	classes := standin.Classes()
	classes[1].Semantics, classes[1].KeyScope = "guarded", "zone"
	cfg := standin.SidecarConfig{Discovery: discovery.Address, MemoryMB: 64, Sockets: 512, Classes: classes, Zones: zones}
	begin := cfg
	if c.Trouble {
		begin.Zones = zones[:1]
	}
	s, err := c.NewSidecar(begin)
	if err != nil {
		return err
	}
	if _, err := s.Run(); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	if c.Trouble {
		c.Note("new settings with the zones %v", zones)
		if err := s.Reload(cfg); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	c.Note("the list has the endpoints of all zones")
	discovery.Set(all)
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { request(c, s, fmt.Sprintf("%016x", 0x2000+i), fmt.Sprintf("%032x", 0x9000+i)) })
		time.Sleep(pause)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i := range requests {
		key := fmt.Sprintf("%032x", 0x9000+i)
		if where := ran[key]; len(where) > 1 {
			c.Break("the request with key %s ran %d times, in %v", key, len(where), where)
		}
	}
	return nil
}

// request sends one pledge.
func request(c *standin.Case, s *standin.Sidecar, id, key string) {
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		c.Note("client %s: %v", id, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /pledge/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: 6\r\n\r\npledge",
		id, budget.Milliseconds(), key)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.Note("client %s: %v", id, err)
		return
	}
	c.Note("client %s: status %d", id, resp.StatusCode)
}
