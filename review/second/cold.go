package main

import (
	"fmt"
	"math"
	"net"
	"sync"
	"time"
)

func init() { cases["cold"] = cold }

// cold is a survey: three sidecars before four endpoints of one core, of which one exits and comes back cold
// under a burst. It compares what reaches the cold one with what the settings allow.
func cold(l *lab) (bool, string) {
	const (
		work               = 60 * time.Millisecond
		coldShare, multple = 0.31, 3.0
		ramp, span         = 8800 * time.Millisecond, 3 * time.Second
	)
	var mu sync.Mutex
	var restarted time.Time
	share := func(at time.Time) float64 {
		if restarted.IsZero() || at.Before(restarted) {
			return 1
		}
		return min(1, coldShare+(1-coldShare)*at.Sub(restarted).Seconds()/ramp.Seconds())
	}
	serve := func(isCold bool) func(net.Conn, *request) {
		core, queued := make(chan struct{}, 1), make(chan struct{}, 24)
		return func(c net.Conn, r *request) {
			select {
			case queued <- struct{}{}:
			default:
				fmt.Fprintf(c, "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
				return
			}
			core <- struct{}{}
			speed := 1.0
			if isCold {
				mu.Lock()
				speed = share(time.Now())
				mu.Unlock()
			}
			time.Sleep(time.Duration(float64(work) / speed))
			<-core
			<-queued
			answer(c, 200, "served "+r.id)
		}
	}
	var known []entry
	var endpoints []*endpoint
	for i := range 4 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", serve(i == 0))
		endpoints = append(endpoints, e)
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	var configs []config
	for i := range 3 {
		c := config{Name: fmt.Sprintf("n%d", i), Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true, Me: i, Others: 2}
		l.sidecar(c)
		l.waitReady(c)
		configs = append(configs, c)
	}
	began := time.Now()
	var back *endpoint
	time.AfterFunc(10*time.Second, func() {
		endpoints[0].exit()
		gone := known[0]
		gone.Status = "terminated"
		time.AfterFunc(2*time.Second, func() { d.update(gone) })
		time.AfterFunc(5*time.Second, func() {
			mu.Lock()
			restarted = time.Now()
			back = l.newEndpoint("s-0", endpoints[0].addr, serve(true))
			mu.Unlock()
			again := known[0]
			again.SinceMs = l.unixMs()
			d.update(again)
		})
	})
	var wg sync.WaitGroup
	status := map[int]int{}
	for n := 0; time.Since(began) < 28*time.Second; n++ {
		rate := 44.0 // two thirds of the capacity of all
		if at := time.Since(began); at > 15*time.Second && at < 22*time.Second {
			rate *= 1.5
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := range 4 {
				c := configs[[]int{0, 0, 0, 1, 1, 2}[(n+try)%6]]
				a := send(c.Listen, call{method: "GET", path: "/campaign-view/1", id: fmt.Sprintf("%08x%08x", n+1, try+1), budget: 800 * time.Millisecond, wait: 1500 * time.Millisecond})
				mu.Lock()
				status[a.status]++
				mu.Unlock()
				if a.status == 200 {
					return
				}
			}
		}()
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wg.Wait()
	got := back.requests()
	worst, worstN, allowed := 0.0, 0, 0.0
	for i := range got {
		n := 0
		for _, r := range got[i:] {
			if r.last.Sub(got[i].last) < span {
				n++
			}
		}
		most := multple * share(got[i].last) * span.Seconds() / work.Seconds()
		if most < 30 {
			most += 3*math.Sqrt(most) + 3
		} else {
			most += 2*math.Sqrt(most) + 2
		}
		if ratio := float64(n) / most; ratio > worst {
			worst, worstN, allowed = ratio, n, most
		}
	}
	return worst > 1, fmt.Sprintf("at most %.2f of what is allowed: %d requests in 3 s where %.0f are; statuses %v", worst, worstN, allowed, status)
}
