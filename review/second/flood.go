package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["flood"] = flood }

// flood is a survey: usual clients beside bad ones, with few descriptors.
func flood(l *lab) (bool, string) {
	mode := os.Getenv("MODE")
	var known []entry
	var endpoints []*endpoint
	for i := range 6 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", func(c net.Conn, r *request) {
			time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			answer(c, 200, "served "+r.id)
		})
		endpoints = append(endpoints, e)
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true, MemoryMB: 64, Sockets: 256}
	p := l.sidecar(c)
	l.waitReady(c)
	end := time.Now().Add(12 * time.Second)
	var wg sync.WaitGroup
	for w := range 400 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				conn, err := net.DialTimeout("tcp", c.Listen, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("bad%06x%06x", w, n)
				conn.SetDeadline(time.Now().Add(4 * time.Second))
				switch k := w % 4; {
				case k == 0 || mode == "silent":
				case k == 1:
					fmt.Fprintf(conn, "POST /payment/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", id)
				case k == 2:
					for j := range 100 {
						fmt.Fprintf(conn, "GET /campaign-view/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s%d\r\n\r\n", id, j)
					}
				case k == 3:
					conn.Write([]byte(strings.Repeat("garbage", 1000)))
				}
				io.Copy(io.Discard, bufio.NewReader(conn))
				conn.Close()
			}
		}()
	}
	var mu sync.Mutex
	status := map[int]int{}
	late, refusedConn, worst, noAnswer, ranNoAnswer := 0, 0, time.Duration(0), 0, 0
	var lost []string
	for w := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("%08x%08x", w, n)
				conn, err := net.DialTimeout("tcp", c.Listen, 3*time.Second)
				if err != nil {
					mu.Lock()
					refusedConn++
					mu.Unlock()
					continue
				}
				began := time.Now()
				a := sendOn(conn, bufio.NewReader(conn), call{method: "GET", path: "/campaign-view/1", id: id, budget: 1500 * time.Millisecond, wait: 4 * time.Second})
				conn.Close()
				mu.Lock()
				status[a.status]++
				if a.status == 0 {
					noAnswer++
					lost = append(lost, id)
				}
				worst = max(worst, time.Since(began))
				if time.Since(began) > 2050*time.Millisecond {
					late++
					l.note("late %s: %v", id, a)
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, e := range endpoints {
		for _, r := range e.requests() {
			ran[r.id] = true
		}
	}
	for _, id := range lost {
		if ran[id] {
			ranNoAnswer++
		}
	}
	return !p.running() || late > 0 || ranNoAnswer > 0, fmt.Sprintf("%s: statuses %v, %d late, %d without answer (%d of them ran), %d not connected, worst %v, runs %t", mode, status, late, noAnswer, ranNoAnswer, refusedConn, worst, p.running())
}
