package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stress"] = stress }

// serveText returns a configuration of the daemon of which some settings are drawn: those for which pools
// and listeners are replaced, and the pool of the route.
func serveText(listen string, known []entry, window time.Duration) string {
	pick := func(a, b string) string {
		if rand.IntN(2) == 0 {
			return a
		}
		return b
	}
	pool := func(name string, part []entry) string {
		var nodes []string
		for _, e := range part {
			nodes = append(nodes, fmt.Sprintf("\"%s cell=%d\"", e.Address, e.Group))
		}
		return fmt.Sprintf("[pools.%s]\nnodes = [%s]\nattempts = %s\nconnect_timeout = \"%s\"\nconnections = 150\n", name, strings.Join(nodes, ", "), pick("3", "4"), pick("250ms", "300ms"))
	}
	return fmt.Sprintf(`[process]
name = "d1"
memory = "256 MiB"
descriptors = 1000
[listeners.main]
address = "%s"
form = "platform"
connections = 100
idle_timeout = "%s"
[classes.campaign-view]
semantics = "safe"
deadline = "1500ms"
[classes.pledge]
semantics = "%s"
deadline = "1500ms"
memory_span = "%[4]v"
[classes.receipt]
semantics = "unsafe"
deadline = "3s"
[classes.payment]
semantics = "%[3]s"
deadline = "3s"
memory_span = "%[4]v"
key_scope = "cell"
[[routes]]
pool = "%[5]s"
`, listen, pick("8s", "9s"), map[bool]string{true: "keyed", false: "unsafe"}[strings.Contains(os.Getenv("MODE"), "keyed")], window, pick("a", "b")) + pool("a", known[:4]) + pool("b", known[2:])
}

func stress(l *lab) (bool, string) {
	mode := os.Getenv("MODE")
	hang := strings.Contains(mode, "hang")
	keyed := strings.Contains(mode, "keyed")
	const window = 500 * time.Millisecond
	cells, all := []*memory{newMemory(), newMemory(), newMemory()}, newMemory()
	var known []entry
	var endpoints []*endpoint
	for i := range 6 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", nil)
		e.serve = func(c net.Conn, r *request) {
			x := rand.Float64()
			if r.key != "" {
				group := all
				if strings.HasPrefix(r.URL.Path, "/payment") {
					group = cells[i/2]
				}
				group.run(r.key, window+170*time.Millisecond)
				if x /= 2; x >= 0.06 && x < 0.09 { // more failures, and none that says that it has not run
					x = 0.05
				}
			}
			switch {
			case hang && i < 2:
				time.Sleep(6 * time.Second)
				c.Close()
				return
			case x < 0.03:
				reset(c)
				return
			case x < 0.06:
				answer(c, 500, "")
				return
			case x < 0.09:
				fmt.Fprintf(c, "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
				return
			case x < 0.2:
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
			default:
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
			body := "served " + r.id
			if x > 0.9 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				return
			}
			answer(c, 200, body)
		}
		endpoints = append(endpoints, e)
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i / 2, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true, Console: l.freeAddr()}
	if keyed {
		c.Classes[1] = class{"pledge", "guarded", "all", 0.6, 1.5, window.Seconds(), 3, 0.25, false}
		c.Classes[3] = class{"payment", "guarded", "cell", 1.2, 3, window.Seconds(), 9, 0.2, false}
	}
	var p *process
	if strings.HasPrefix(mode, "serve") {
		p = l.daemon(serveText(c.Listen, known, window))
	} else {
		p = l.sidecar(c)
	}
	l.waitReady(c)
	type result struct {
		class      int
		a          reply
		leftAt     time.Time
		sentAt     time.Time
		reused     bool
		alive      bool
		partOfTerm bool
	}
	var mu sync.Mutex
	results := map[string]result{}
	paths := []string{"/campaign-view/1", "/pledge/1", "/receipt/1", "/payment/1"}
	end := time.Now().Add(18 * time.Second)
	var wg sync.WaitGroup
	for w := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var conn net.Conn
			var br *bufio.Reader
			for n := 0; time.Now().Before(end); n++ {
				reused := conn != nil
				if conn == nil {
					var err error
					if conn, err = net.DialTimeout("tcp", c.Listen, time.Second); err != nil {
						conn = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
					br = bufio.NewReader(conn)
				}
				k := rand.IntN(4)
				id := fmt.Sprintf("%08x%08x", w+1, n+1)
				budget := 1500 * time.Millisecond
				if k >= 2 {
					budget = 3 * time.Second
				}
				q := call{method: "POST", path: paths[k], id: id, budget: budget, body: []byte("body"), wait: budget + 600*time.Millisecond}
				if k == 0 {
					q.method, q.body = "GET", nil
				}
				if keyed && (k == 1 || k == 3) {
					q.key = "key-" + id
				}
				var res result
				leaves := rand.Float64() < 0.1
				if leaves {
					q.wait = time.Duration(rand.IntN(100)) * time.Millisecond
				}
				res.sentAt = time.Now()
				res.a = sendOn(conn, br, q)
				res.class, res.reused = k, reused
				if !res.a.whole {
					conn.Close()
					conn = nil
				}
				if leaves && !res.a.whole {
					res.leftAt = time.Now()
				}
				mu.Lock()
				results[id] = res
				mu.Unlock()
				if conn != nil && rand.Float64() < 0.05 {
					conn.Close()
					conn = nil
				}
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
			if conn != nil {
				conn.Close()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	termAt := time.Now()
	killed := time.Time{}
	switch {
	case strings.HasPrefix(mode, "upgrade"):
		c2 := c
		c2.Console = l.freeAddr()
		p2 := l.sidecar(c2)
		_ = p2
		for range 100 {
			if a := send(c2.Console, call{method: "GET", path: "/ready", wait: time.Second}); a.status == 200 {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		termAt = time.Now()
		l.note("SIGTERM to the old process")
		p.signal(syscall.SIGTERM)
		time.AfterFunc(3700*time.Millisecond, func() {
			if p.running() {
				l.note("SIGKILL to the old process")
				killed = time.Now()
				p.signal(syscall.SIGKILL)
			}
		})
	case strings.HasPrefix(mode, "term"):
		p.signal(syscall.SIGTERM)
		time.AfterFunc(3700*time.Millisecond, func() {
			if p.running() {
				l.note("SIGKILL to the old process")
				killed = time.Now()
				p.signal(syscall.SIGKILL)
			}
		})
	case strings.HasPrefix(mode, "pause"):
		go func() {
			for time.Now().Before(end) {
				p.signal(syscall.SIGSTOP)
				time.Sleep(145 * time.Millisecond)
				p.signal(syscall.SIGCONT)
				time.Sleep(200 * time.Millisecond)
			}
		}()
	case strings.HasPrefix(mode, "hup"):
		go func() {
			for i := 0; time.Now().Before(end); i++ {
				c3 := c
				c3.Discovery = l.newDiscovery(41, known...).addr
				c3.write(l, p.config)
				p.signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	case strings.HasPrefix(mode, "serve"):
		go func() {
			for time.Now().Before(end) {
				l.reload(p, serveText(c.Listen, known, window))
				time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			}
		}()
	case strings.HasPrefix(mode, "drain"):
		go func() {
			for time.Now().Before(end) {
				l.note("drain %v", send(c.Console, call{method: "POST", path: "/drain", wait: time.Second}))
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				l.note("undrain %v", send(c.Console, call{method: "POST", path: "/undrain", wait: time.Second}))
				time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	runs := map[string][]*request{}
	for _, e := range endpoints {
		for _, r := range e.requests() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	bad := 0
	status := map[int]int{}
	noAnswer, unsafeRuns := 0, map[string]int{}
	for id, r := range results {
		status[r.a.status]++
		ran := runs[id]
		if r.leftAt.IsZero() && r.a.status == 0 {
			noAnswer++
			if len(ran) > 0 {
				bad++
				l.note("LOST? %s class %d ran %d times, no answer: %v; sent %.3f s after the signal, reused %t", id, r.class, len(ran), r.a, r.sentAt.Sub(termAt).Seconds(), r.reused)
			}
		}
		if n := cells[0].count("key-"+id) + cells[1].count("key-"+id) + cells[2].count("key-"+id) + all.count("key-"+id); n > 1 {
			bad++
			l.note("TWICE key-%s: %d times", id, n)
		}
		if n := len(ran); n > 1 && r.class > 0 && !keyed {
			unsafeRuns[id] = n
		}
		if r.a.status == 200 && string(r.a.body) != "served "+id {
			bad++
			l.note("FOREIGN %s: %q", id, r.a.body)
		}
		if !r.leftAt.IsZero() {
			for _, x := range ran {
				if x.first.Sub(r.leftAt) > 100*time.Millisecond {
					bad++
					l.note("LEFT %s class %d: attempt begins %.3f s after the client left", id, r.class, x.first.Sub(r.leftAt).Seconds())
				}
			}
		}
		if r.a.took > 0 && r.a.status != 0 && r.leftAt.IsZero() {
			limit := 2.0
			if r.class >= 2 {
				limit = 3.5
			}
			if r.a.took.Seconds() > limit {
				bad++
				l.note("LATE %s: %v", id, r.a)
			}
		}
	}
	_ = killed
	return bad > 0, fmt.Sprintf("%s: %d bad, %d requests, statuses %v, %d without answer, %d unsafe came twice, process runs %t", mode, bad, len(results), status, noAnswer, len(unsafeRuns), p.running())
}
