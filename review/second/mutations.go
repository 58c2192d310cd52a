package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["mutations"] = mutations }

// mutate changes some bytes of a message: some are replaced, removed, doubled, or cut off.
func mutate(text []byte) []byte {
	out := bytes.Clone(text)
	for range rand.IntN(4) {
		if len(out) < 4 {
			break
		}
		i := rand.IntN(len(out) - 2)
		j := i + 1 + rand.IntN(min(40, len(out)-i-1))
		switch rand.IntN(5) {
		case 0:
			out[i] = byte(rand.IntN(256))
		case 1:
			out = append(out[:i:i], out[j:]...)
		case 2:
			out = append(out[:j:j], out[i:]...)
		case 3:
			out = out[:j]
		case 4:
			words := []string{"\r\n", "\n", "Content-Length: -1\r\n", "Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\n", "0\r\n\r\n", "Connection: close, X-Call-Id\r\n", "Expect: 100-continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "\x00"}
			out = append(out[:i:i], append([]byte(words[rand.IntN(len(words))]), out[i:]...)...)
		}
	}
	return out
}

// madeFor finds the id that an answer was made for. A change may have hit the id itself.
var madeFor = regexp.MustCompile(`^served ((?:good|bad)[0-9a-f]{12}) `)

// mutations is a survey: clients send, and endpoints answer, changed messages. It looks for panics, an exit
// and answers that no endpoint made for their request.
func mutations(l *lab) (bool, string) {
	var known []entry
	for i := range 4 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", func(c net.Conn, r *request) {
			body := "served " + r.id + " " + strings.Repeat("x", rand.IntN(2000))
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Load-Report: inflight=7\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			switch rand.IntN(3) {
			case 0:
				text = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			case 1:
				text = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + text
			}
			out := []byte(text)
			if !strings.HasPrefix(r.id, "good") || rand.IntN(10) == 0 {
				out = mutate(out)
			}
			for len(out) > 0 {
				n := min(len(out), 1+rand.IntN(400))
				if _, err := c.Write(out[:n]); err != nil {
					return
				}
				out = out[n:]
			}
		})
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true, MemoryMB: 64}
	var p *process
	if os.Getenv("MODE") == "serve" {
		p = l.daemon(fmt.Sprintf("[process]\nname = \"d1\"\nmemory = \"256 MiB\"\ndescriptors = 512\n[listeners.main]\naddress = %q\nform = \"platform\"\nconnections = 100\n[classes.campaign-view]\nsemantics = \"safe\"\ndeadline = \"1500ms\"\n[classes.payment]\nsemantics = \"unsafe\"\ndeadline = \"3s\"\n[pools.ledger]\nnodes = [%q, %q]\nconnections = 100\n[[routes]]\npool = \"ledger\"\n",
			c.Listen, known[0].Address, known[1].Address))
	} else {
		p = l.sidecar(c)
	}
	l.waitReady(c)
	end := time.Now().Add(15 * time.Second)
	var wg sync.WaitGroup
	var sent, good, foreign atomic.Int64
	for w := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				if w < 10 {
					id := fmt.Sprintf("good%06x%06x", w, n)
					a := send(c.Listen, call{method: "GET", path: "/campaign-view/1", id: id, budget: 700 * time.Millisecond, wait: 3 * time.Second})
					good.Add(1)
					if made := madeFor.FindSubmatch(a.body); made != nil && string(made[1]) != id {
						foreign.Add(1)
						l.note("%s got %.60q", id, a.body)
					}
					continue
				}
				conn, err := net.DialTimeout("tcp", c.Listen, time.Second)
				if err != nil {
					continue
				}
				conn.SetDeadline(time.Now().Add(4 * time.Second))
				id := fmt.Sprintf("bad%06x%06x", w, n)
				text := fmt.Sprintf("POST /payment/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 300\r\nContent-Length: 5\r\n\r\nhello", id)
				switch rand.IntN(3) {
				case 0:
					text = fmt.Sprintf("GET /campaign-view/1?a=b HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 300\r\n\r\n", id)
				case 1:
					text = fmt.Sprintf("POST /payment/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 300\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;a=b\r\nlo\r\n0\r\nT: x\r\n\r\n", id)
				}
				conn.Write(mutate([]byte(text)))
				sent.Add(1)
				conn.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, bufio.NewReader(conn))
				conn.Close()
			}
		}()
	}
	wg.Wait()
	text, _ := os.ReadFile(p.log)
	panics := strings.Count(string(text), "panic")
	return panics > 0 || !p.running() || foreign.Load() > 0, fmt.Sprintf("%d changed requests, %d usual ones, %d panics, %d foreign answers, process runs %t", sent.Load(), good.Load(), panics, foreign.Load(), p.running())
}
