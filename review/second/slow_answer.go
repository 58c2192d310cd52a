package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["slow-answer"] = slowAnswer }

// slowAnswer has endpoints that write answers of 32 KiB with no length in small pieces, slowly.
func slowAnswer(l *lab) (bool, string) {
	var known []entry
	for i := range 3 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", func(c net.Conn, r *request) {
			pause := time.Millisecond
			if l.trouble && r.URL.Path == "/campaign-view/slow" {
				pause = 75 * time.Millisecond
			}
			piece := make([]byte, 1024)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range 32 {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
				time.Sleep(pause)
			}
			fmt.Fprintf(c, "0\r\n\r\n")
		})
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true}
	l.sidecar(c)
	l.waitReady(c)
	late := 0
	for i := range 10 {
		path := "/campaign-view/1"
		if i >= 5 {
			path = "/campaign-view/slow"
		}
		a := l.send(c.Listen, call{method: "GET", path: path, id: fmt.Sprintf("%016x", 1+i), budget: 1500 * time.Millisecond, wait: 10 * time.Second})
		l.note("client: request %d: %v", i+1, a)
		if a.took > 2050*time.Millisecond {
			late++
		}
	}
	return late > 0, fmt.Sprintf("%d answers ended later than half a second after the client's time", late)
}
