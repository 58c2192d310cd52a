package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery starts a sidecar whose file has an old list, while discovery takes 2.5 s for a call.
// One endpoint has begun to drain since.
func slowDiscovery(l *lab) (bool, string) {
	const rate, span = 100 * time.Millisecond, 22 * time.Second
	var endpoints []*endpoint
	var known []entry
	for i := range 4 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", func(c net.Conn, r *request) {
			time.Sleep(20 * time.Millisecond)
			answer(c, 200, "served "+r.id)
		})
		endpoints = append(endpoints, e)
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	if l.trouble {
		d.delay = 2500 * time.Millisecond
	}
	draining := known[0]
	draining.Status = "terminating"
	d.update(draining)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Mode: "ask", Classes: defaultClasses(), Known: list{41, true, known}}
	began := time.Now()
	l.sidecar(c)
	l.waitReady(c)
	answered := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; time.Since(began) < span; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := send(c.Listen, call{method: "GET", path: "/campaign-view/1", id: fmt.Sprintf("%016x", i+1), budget: 1500 * time.Millisecond, wait: 2500 * time.Millisecond})
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				answered++
			}
			l.note("client: request %016x: %v", i+1, a)
		}()
		time.Sleep(rate)
	}
	wg.Wait()
	if answered < 20 {
		panic(stop{"too few requests were served"})
	}
	// Told 6 s after the start at the latest, and the grace, its slack and the time for which a sidecar
	// may be held up.
	limit := began.Add(6*time.Second + 2*time.Second + 50*time.Millisecond + 150*time.Millisecond)
	late := 0
	for _, r := range endpoints[0].requests() {
		if r.first.After(limit) {
			late++
			l.note("endpoint %s, which drains, got %s %.3f s after the start of the sidecar", endpoints[0].name, r.id, r.first.Sub(began).Seconds())
		}
	}
	return late > 0, fmt.Sprintf("%d requests to the draining endpoint later than 8.2 s after the start; %d of all served", late, answered)
}
