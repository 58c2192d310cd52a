package main

import (
	"fmt"
	"net"
	"time"
)

func init() { cases["shorter-window"] = shorterWindow }

// shorterWindow moves a route to another pool while a client still has to repeat a payment. The nodes of
// the new pool remember keys for a shorter time, and the class says so.
func shorterWindow(l *lab) (bool, string) {
	const longWindow, shortWindow = 20 * time.Second, 2 * time.Second
	first := true
	serve := func(m *memory, window time.Duration) func(net.Conn, *request) {
		return func(c net.Conn, r *request) {
			if r.key == "" {
				answer(c, 200, "served "+r.id)
				return
			}
			if m.run(r.key, window) {
				l.note("the effect of key %s happens", r.key)
			} else {
				l.note("key %s is remembered, no effect", r.key)
			}
			if first {
				first = false
				l.note("the connection is reset under %s", r.id)
				reset(c)
				return
			}
			answer(c, 200, "served "+r.id)
		}
	}
	ma, mb := newMemory(), newMemory()
	a := l.newEndpoint("a", "", serve(ma, longWindow))
	b := l.newEndpoint("b", "", serve(mb, shortWindow))
	listen := l.freeAddr()
	text := func(pool string, window time.Duration) string {
		return fmt.Sprintf(`
[process]
name = "d1"
memory = "256 MiB"
descriptors = 512
[listeners.main]
address = "%s"
form = "platform"
connections = 100
[classes.default]
memory_span = "2s"
[classes.campaign-view]
semantics = "safe"
deadline = "1500ms"
[classes.payment]
semantics = "keyed"
deadline = "3s"
memory_span = "%v"
[pools.old]
nodes = ["%s"]
attempts = 1
connections = 50
[pools.new]
nodes = ["%s"]
attempts = 1
connections = 50
[[routes]]
pool = "%s"
`, listen, window, a.addr, b.addr, pool)
	}
	p := l.daemon(text("old", longWindow))
	c := config{Name: "d1", Listen: listen}
	l.waitReady(c)
	l.usual(c, 10, 50*time.Millisecond)
	pay := func(id string) reply {
		r := l.send(listen, call{method: "POST", path: "/payment/1", id: id, key: "key-1", budget: 3 * time.Second, body: []byte("x"), wait: 4 * time.Second})
		l.note("client: payment %s with key-1: %v", id, r)
		return r
	}
	pay("00000000000000aa")
	time.Sleep(time.Second)
	if l.trouble {
		l.reload(p, text("new", shortWindow))
	} else {
		l.reload(p, text("new", longWindow))
	}
	for range 5 {
		time.Sleep(time.Second)
		l.usual(c, 3, 0)
	}
	if r := pay("00000000000000bb"); r.status == 0 {
		panic(stop{"the repeat got no answer"})
	}
	n := ma.count("key-1") + mb.count("key-1")
	return n > 1, fmt.Sprintf("the effect of key-1 happened %d times", n)
}
