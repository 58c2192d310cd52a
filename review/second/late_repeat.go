package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["late-repeat"] = lateRepeat }

// lateRepeat sends keyed requests with long bodies. The connection is reset under the first attempt,
// after it has run, and the endpoint of the second one reads its body slowly. All endpoints share what
// they remember of keys.
func lateRepeat(l *lab) (bool, string) {
	const (
		window   = time.Second
		requests = 5
		bodySize = 8 << 20
		heldUp   = 150 * time.Millisecond // a sidecar may be held up for so long
	)
	group := newMemory()
	var mu sync.Mutex
	attempted := map[string]bool{} // keys of which an attempt has come
	var known []entry
	for i := range 3 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", nil)
		e.serve = func(c net.Conn, r *request) {
			if r.key == "" {
				time.Sleep(20 * time.Millisecond)
				answer(c, 200, "served "+r.id)
				return
			}
			mu.Lock()
			first := !attempted[r.key]
			attempted[r.key] = true
			mu.Unlock()
			if group.run(r.key, window+heldUp) {
				l.note("endpoint %s: the effect of key %s happens", e.name, r.key)
			} else {
				l.note("endpoint %s: key %s is remembered, no effect", e.name, r.key)
			}
			if first && l.trouble {
				time.Sleep(500 * time.Millisecond)
				l.note("endpoint %s resets the connection under %s", e.name, r.id)
				reset(c)
				return
			}
			time.Sleep(30 * time.Millisecond)
			answer(c, 200, "served "+r.id)
		}
		e.pace = func(r *request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if l.trouble && attempted[r.key] {
				return 12 * time.Millisecond // 64 KiB each: 5 MB/s
			}
			return 0
		}
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	classes := defaultClasses()
	classes[3] = class{"payment", "guarded", "all", 1.2, 3, window.Seconds(), 9, 0.2, false}
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: classes, Known: list{41, true, known}}
	l.sidecar(c)
	l.waitReady(c)
	l.usual(c, 20, 0)
	body := make([]byte, bodySize)
	keys, answered := []string{}, 0
	for i := range requests {
		id := fmt.Sprintf("%016x", i+1)
		keys = append(keys, "key-"+id)
		a := l.send(c.Listen, call{method: "POST", path: "/payment/1", id: id, key: keys[i], budget: 3 * time.Second, body: body, wait: 4 * time.Second})
		l.note("client: request %s: %v", id, a)
		if a.status != 0 {
			answered++
		}
		time.Sleep(300 * time.Millisecond)
	}
	if answered < requests {
		panic(stop{"not all requests were answered"})
	}
	twice := 0
	for _, key := range keys {
		if n := group.count(key); n > 1 {
			twice++
			l.note("the effect of key %s happened %d times for one request of the client", key, n)
		}
	}
	return twice > 0, fmt.Sprintf("the effect of %d of %d keyed requests happened twice", twice, requests)
}
