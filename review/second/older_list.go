package main

import (
	"fmt"
	"time"
)

func init() { cases["older-list"] = olderList }

// olderList moves discovery by SIGHUP after an endpoint has begun to drain. The new agent has an older list,
// which names the endpoint in service, and is told of the drain 4 s later.
func olderList(l *lab) (bool, string) {
	var known []entry
	var endpoints []*endpoint
	for i := range 3 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", nil)
		endpoints = append(endpoints, e)
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	before, after := l.newDiscovery(41, known...), l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: before.addr, Classes: defaultClasses(), Known: list{41, true, known}}
	p := l.sidecar(c)
	l.waitReady(c)
	l.usual(c, 20, 100*time.Millisecond)
	drains := known[0]
	drains.Status = "terminating"
	before.update(drains)
	told := time.Now()
	if !l.trouble {
		after.update(drains)
	}
	l.usual(c, 10, 50*time.Millisecond)
	c.Discovery = after.addr
	c.write(l, p.config)
	l.note("SIGHUP")
	p.signal(1)
	if l.trouble {
		time.AfterFunc(4*time.Second, func() { after.update(drains) })
	}
	l.usual(c, 60, 100*time.Millisecond)
	late := 0
	for _, r := range endpoints[0].requests() {
		if r.first.Sub(told) > 2200*time.Millisecond {
			late++
		}
	}
	return late > 0, fmt.Sprintf("%d requests to the draining endpoint more than 2.2 s after its drain was told", late)
}
