package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

func init() { cases["replaced-listener"] = replacedListener }

// replacedListener gives the daemon a new configuration, in which a timeout of its listener differs, while
// a payment is open, and then ends it as a supervisor does.
func replacedListener(l *lab) (bool, string) {
	const work = 2500 * time.Millisecond
	e := l.newEndpoint("s-0", "", func(c net.Conn, r *request) {
		if r.URL.Path == "/payment/1" {
			time.Sleep(work)
		}
		answer(c, 200, "served "+r.id)
	})
	listen := l.freeAddr()
	text := func(idle string) string {
		return fmt.Sprintf(`
[process]
name = "d1"
memory = "256 MiB"
descriptors = 512
[listeners.main]
address = "%s"
form = "platform"
connections = 100
idle_timeout = "%s"
[classes.campaign-view]
semantics = "safe"
deadline = "1500ms"
[classes.payment]
semantics = "unsafe"
deadline = "3s"
[pools.ledger]
nodes = ["%s"]
connections = 100
requests = 50
memory = "100 MiB"
[[routes]]
pool = "ledger"
`, listen, idle, e.addr)
	}
	p := l.daemon(text("10s"))
	c := config{Name: "d1", Listen: listen}
	l.waitReady(c)
	l.usual(c, 10, 150*time.Millisecond) // no SIGHUP comes in the first second
	answers := make(chan reply, 1)
	go func() {
		answers <- l.send(listen, call{method: "POST", path: "/payment/1", id: "00000000000000aa", budget: 3 * time.Second, body: []byte("x"), wait: 4 * time.Second})
	}()
	time.Sleep(500 * time.Millisecond)
	if l.trouble {
		l.reload(p, text("5s"))
	}
	time.Sleep(500 * time.Millisecond)
	l.usual(c, 5, 0)
	l.note("SIGTERM")
	p.signal(syscall.SIGTERM)
	a := <-answers
	l.note("client: payment: %v", a)
	ran := 0
	for _, r := range e.requests() {
		if r.id == "00000000000000aa" {
			ran++
		}
	}
	if ran != 1 {
		panic(stop{fmt.Sprintf("the payment came to the endpoint %d times", ran)})
	}
	return !a.whole, fmt.Sprintf("the payment ran, and its client got: %v", a)
}
