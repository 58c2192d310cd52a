// Command memory plays a case: many clients read long answers slowly.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/standin"
)

const (
	memoryMB  = 48
	sockets   = 1024
	clients   = sockets / 3 // what clients may hold for requests
	endpoints = 13
	answer    = 1 << 20 // bytes
	piece     = 8 << 10 // in which answers are written and read
	budget    = 1500 * time.Millisecond
	readPause = 125 * time.Millisecond // after each piece: 64 kB a second
	longest   = 40 * time.Second       // of a download
)

func main() { standin.Main(run) }

func run(c *standin.Case) error {
	var entries []standin.Entry
	text := strings.Repeat("x", piece)
	for i := range endpoints {
		e, err := c.Serve(fmt.Sprintf("s-%d", i+1), func(conn *net.TCPConn, r *http.Request) bool {
			c.Note("s-%d: runs request %s", i+1, r.Header.Get("X-Call-Id"))
			time.Sleep(20 * time.Millisecond)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for n := 0; n < answer; n += piece {
				if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", piece, text); err != nil {
					return false
				}
			}
			_, err := io.WriteString(conn, "0\r\n\r\n")
			return err == nil
		})
		if err != nil {
			return err
		}
		entries = append(entries, e.Entry())
	}
	discovery, err := c.Discover(entries)
	if err != nil {
		return err
	}
	s, err := c.NewSidecar(standin.SidecarConfig{Discovery: discovery.Address, MemoryMB: memoryMB, Sockets: sockets, Classes: standin.Classes()})
	if err != nil {
		return err
	}
	p, err := s.Run()
	if err != nil {
		return err
	}
	var whole, cut, open atomic.Int64
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			open.Add(1)
			defer open.Add(-1)
			id := fmt.Sprintf("%016x", 0x2000+i)
			c.Note("client %s: request sent", id)
			n, err := download(c.Trouble, s, id)
			if err != nil {
				cut.Add(1)
				c.Note("client %s: answer cut off after %d bytes: %v", id, n, err)
				return
			}
			c.Note("client %s: %d bytes of an answer came, whole", id, n)
			whole.Add(1)
		})
		time.Sleep(5 * time.Millisecond)
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	watch(c, p, &open, done)
	<-done
	c.Note("%d answers came whole or were refused, %d were cut off", whole.Load(), cut.Load())
	if cut.Load() > 0 {
		c.Break("%d of %d answers were cut off", cut.Load(), clients)
	}
	return nil
}

// watch is the platform: it kills a sidecar that holds more memory than its limit.
func watch(c *standin.Case, p *standin.Process, open *atomic.Int64, done <-chan struct{}) {
	for rounds := 0; ; rounds++ {
		select {
		case <-done:
			return
		case <-p.Ended():
			return
		case <-time.After(100 * time.Millisecond):
		}
		m := memory(p.Cmd.Process.Pid)
		if rounds%10 == 0 || m["RssAnon"] > memoryMB<<10 {
			c.Note("platform: the sidecar holds %d kB without files, %d kB in all; the limit is %d kB; %d clients", m["RssAnon"], m["VmRSS"], memoryMB<<10, open.Load())
		}
		if m["RssAnon"] > memoryMB<<10 {
			c.Break("the sidecar holds %d kB without files at a limit of %d kB, and is killed with %d requests open", m["RssAnon"], memoryMB<<10, open.Load())
			c.Signal(p, syscall.SIGKILL)
			return
		}
	}
}

var kinds = regexp.MustCompile(`(?m)^(VmRSS|RssAnon):\s+(\d+) kB$`)

// memory returns what a process holds, in kB: in all, and without the pages of files.
func memory(pid int) map[string]int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	m := map[string]int{}
	for _, k := range kinds.FindAllStringSubmatch(string(text), -1) {
		m[k[1]], _ = strconv.Atoi(k[2])
	}
	return m
}

// download sends one request and reads its answer, slowly if slow is set. It returns
// the number of bytes, and an error if the answer was cut off.
func download(slow bool, s *standin.Sidecar, id string) (n int, err error) {
	conn, err := net.Dial("tcp", s.Listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	fmt.Fprintf(conn, "GET /campaign-view/x HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\n\r\n", id, budget.Milliseconds())
	conn.SetReadDeadline(time.Now().Add(longest))
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, piece), nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, nil // refused or failed, which is no break: 0 bytes in the record
	}
	for buf := make([]byte, piece); ; {
		k, err := resp.Body.Read(buf)
		n += k
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		if slow {
			time.Sleep(readPause * time.Duration(k) / piece)
		}
	}
}
