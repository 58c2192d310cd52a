package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["taken-address"] = takenAddress }

// takenAddress replaces an endpoint by one of another cell at the same address, and the list tells so
// 3 s later. At all endpoints each third request with a key runs and ends in an error.
func takenAddress(l *lab) (bool, string) {
	const requests = 20
	cells := map[int]*memory{1: newMemory(), 2: newMemory()}
	var mu sync.Mutex
	count, failed := 0, map[string]bool{}
	serve := func(cell int) func(net.Conn, *request) {
		return func(c net.Conn, r *request) {
			time.Sleep(20 * time.Millisecond)
			if r.key == "" {
				answer(c, 200, "served "+r.id)
				return
			}
			if cells[cell].run(r.key, 5*time.Second) {
				l.note("cell %d: the effect of key %s happens", cell, r.key)
			} else {
				l.note("cell %d: key %s is remembered, no effect", cell, r.key)
			}
			mu.Lock()
			fails := false
			if !failed[r.key] {
				count++
				fails = count%3 == 0
				failed[r.key] = fails
			}
			mu.Unlock()
			if fails {
				l.note("cell %d answers 500 to %s", cell, r.id)
				answer(c, 500, "")
				return
			}
			answer(c, 200, "served "+r.id)
		}
	}
	x := l.newEndpoint("s-x", "", serve(1))
	z := l.newEndpoint("s-z", "", serve(1))
	known := []entry{
		{"s-x", x.addr, "hall-a", "gw-fast", 1, "in_service", 1, 0},
		{"s-z", z.addr, "hall-a", "gw-fast", 1, "in_service", 1, 0},
	}
	d := l.newDiscovery(41, known...)
	classes := defaultClasses()
	classes[3] = class{"payment", "guarded", "cell", 1.2, 3, 5, 9, 0.2, false}
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: classes, Known: list{41, true, known}}
	l.sidecar(c)
	l.waitReady(c)
	l.usual(c, 20, 50*time.Millisecond)
	time.Sleep(time.Second) // the sidecar closes its idle connections
	if l.trouble {
		x.exit()
		y := l.newEndpoint("s-y", x.addr, serve(2))
		since := l.unixMs()
		time.AfterFunc(3*time.Second, func() {
			d.update(entry{"s-x", x.addr, "hall-a", "gw-fast", 1, "terminated", 1, 0},
				entry{"s-y", y.addr, "hall-a", "gw-fast", 2, "in_service", 1, since})
		})
	}
	served := 0
	for i := range requests {
		id := fmt.Sprintf("%016x", i+1)
		a := l.send(c.Listen, call{method: "POST", path: "/payment/1", id: id, key: "key-" + id, budget: 3 * time.Second, body: []byte("x"), wait: 4 * time.Second})
		l.note("client: request %s: %v", id, a)
		if a.status == 200 {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	if served < requests/2 {
		panic(stop{"too few requests were served"})
	}
	twice := 0
	for i := range requests {
		key := fmt.Sprintf("key-%016x", i+1)
		if n := cells[1].count(key) + cells[2].count(key); n > 1 {
			twice++
			l.note("the effect of key %s happened %d times for one request of the client", key, n)
		}
	}
	return twice > 0, fmt.Sprintf("the effect of %d of %d keyed requests happened twice", twice, requests)
}
