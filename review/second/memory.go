package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

// memoryKB returns lines of the process's memory: what is not backed by files, and the most of all.
func (p *process) memoryKB() (now, most string) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if s, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			now = strings.TrimSpace(s)
		}
		if s, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			most = strings.TrimSpace(s)
		}
	}
	return now, most
}

// number returns a number from the environment.
func number(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// bodies is a survey: many long answers and bodies at slow clients, with little memory.
func bodies(l *lab) (bool, string) {
	mode := os.Getenv("MODE")
	var known []entry
	for i := range 6 {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), "", func(c net.Conn, r *request) {
			time.Sleep(20 * time.Millisecond)
			piece := make([]byte, 64<<10)
			if strings.Contains(r.URL.Path, "big") {
				n := 512
				if strings.Contains(r.URL.Path, "nolen") {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					for range n {
						if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
							return
						}
					}
					fmt.Fprintf(c, "0\r\n\r\n")
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n*len(piece))
				for range n {
					if _, err := c.Write(piece); err != nil {
						return
					}
				}
				return
			}
			if strings.Contains(r.URL.Path, "mid") {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for range 63 {
					fmt.Fprintf(c, "%x\r\n%s\r\n", 1024, piece[:1024])
					time.Sleep(15 * time.Millisecond)
				}
				fmt.Fprintf(c, "0\r\n\r\n")
				return
			}
			answer(c, 200, "served "+r.id)
		})
		known = append(known, entry{e.name, e.addr, "hall-a", "gw-fast", i, "in_service", 1, 0})
	}
	d := l.newDiscovery(41, known...)
	c := config{Name: "n1", Listen: l.freeAddr(), Discovery: d.addr, Classes: defaultClasses(), Known: list{41, true, known}, MayDuplicate: true, MemoryMB: number("MB", 64), Sockets: number("SOCKETS", 512)}
	p := l.sidecar(c)
	l.waitReady(c)
	end := time.Now().Add(15 * time.Second)
	var wg sync.WaitGroup
	for w := range number("CLIENTS", 300) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(end); n++ {
				conn, err := net.DialTimeout("tcp", c.Listen, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				conn.(*net.TCPConn).SetReadBuffer(32 << 10)
				id := fmt.Sprintf("%08x%08x", w+1, n+1)
				conn.SetDeadline(time.Now().Add(6 * time.Second))
				br := bufio.NewReader(conn)
				x := rand.IntN(4)
				path := []string{"big", "bignolen", "mid", "mid"}[x]
				switch {
				case strings.Contains(mode, "up") && (w%2 == 0 || mode == "up"):
					fmt.Fprintf(conn, "POST /payment/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 3000\r\nContent-Length: %d\r\n\r\n", id, 8<<20)
					piece := make([]byte, 64<<10)
					for range 128 {
						if _, err := conn.Write(piece); err != nil {
							break
						}
						time.Sleep(time.Millisecond)
					}
					io.Copy(io.Discard, br)
				case strings.Contains(mode, "heads") && w%3 == 0:
					fmt.Fprintf(conn, "GET /campaign-view/%s HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1500\r\n%s\r\n", path, id, strings.Repeat("a:\r\n", 1900))
					io.Copy(io.Discard, br)
				default:
					fmt.Fprintf(conn, "GET /campaign-view/%s HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 1500\r\n\r\n", path, id)
					for {
						if _, err := io.CopyN(io.Discard, br, 6<<10); err != nil {
							break
						}
						time.Sleep(50 * time.Millisecond)
					}
				}
				conn.Close()
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(3 * time.Second)
		now, most := p.memoryKB()
		l.note("memory %s, most %s", now, most)
		fmt.Println(mode, "memory", now, "most", most)
	}
	wg.Wait()
	return !p.running(), "see above"
}
