package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["cut-answer"] = cutAnswer }

// cutAnswer has endpoints that write answers of 128 KiB with no length steadily and slowly. Their first
// bytes come in time.
func cutAnswer(l *lab) (bool, string) {
	const (
		size, piece = 128 << 10, 1 << 10
		requests    = 5
		budget      = 480 * time.Millisecond
	)
	var known []entry
	for i := range 3 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", nil)
		e.serve = func(c net.Conn, r *request) {
			if r.URL.Path != "/campaign-view/long" {
				answer(c, 200, "served "+r.id)
				return
			}
			time.Sleep(30 * time.Millisecond)
			began, given, text := time.Now(), 0, make([]byte, piece)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for given < size {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", piece, text); err != nil {
					l.note("endpoint %s: the sidecar cut off the answer to %s after %d bytes in %.3f s", e.name, r.id, given, time.Since(began).Seconds())
					return
				}
				given += piece
				if l.trouble {
					time.Sleep(62500 * time.Microsecond) // 16 KiB a second
				}
			}
			fmt.Fprintf(c, "0\r\n\r\n")
			l.note("endpoint %s has given its answer to %s in %.3f s", e.name, r.id, time.Since(began).Seconds())
		}
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true}
	l.sidecar(c)
	l.waitReady(c)
	l.usual(c, 10, 50*time.Millisecond)
	cut := 0
	for i := range requests {
		a := l.send(c.Listen, call{method: "GET", path: "/campaign-view/long", id: fmt.Sprintf("%016x", 1+i), budget: budget, wait: 12 * time.Second})
		l.note("client: request %d: %v", i+1, a)
		if !a.whole || len(a.body) < size {
			cut++
		}
	}
	return cut > 0, fmt.Sprintf("%d of %d long answers were cut off while their endpoint was still writing", cut, requests)
}
