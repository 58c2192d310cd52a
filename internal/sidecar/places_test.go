//go:build linux && amd64

package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// changing is a discovery at one address that can go and come back. It lists one endpoint,
// which drains once another has come.
type changing struct {
	addr   string
	names  [2]string // addresses of the endpoints
	drains atomic.Bool
	heard  atomic.Bool // that it drains has been told
	server *http.Server
}

func (d *changing) start(t *testing.T) {
	t.Helper()
	var l net.Listener
	eventually(t, "the address of discovery is free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", d.addr)
		return err == nil
	})
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		drains := d.drains.Load()
		index, status, more := 41, "in_service", ""
		const e = `{"name":%q,"address":%q,"zone":"a","group":0,"status":%q,"since_ms":0}`
		if drains {
			index, status, more = 42, "terminating", ","+fmt.Sprintf(e, "s-2", d.names[1], "in_service")
		}
		if r.URL.Query().Get("after") == fmt.Sprint(index) {
			time.Sleep(20 * time.Millisecond) // a short watch
		}
		if _, err := fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[`+e+"%s]}", index, "s-1", d.names[0], status, more); err == nil && drains {
			d.heard.Store(true)
		}
	})}
	go d.server.Serve(l)
	t.Cleanup(func() { d.server.Close() })
}

// Idle clients take every place that there is for them while discovery is down. The process
// may hold no more descriptors than it is told, and the kernel sees to that. Places for
// discovery, for operators and for endpoints stay: operators are answered, a caller that is
// there is served, and a drain that discovery tells at its return is heard within its grace.
func TestDiscoveryKeepsItsPlace(t *testing.T) {
	const sockets, idle = 64, 200
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			one, two := endpoint(t, "s-1"), endpoint(t, "s-2")
			d := &changing{addr: freeAddr(t), names: [2]string{address(one), address(two)}}
			d.start(t)
			m := &member{listen: freeAddr(t), dir: t.TempDir()}
			m.path = filepath.Join(m.dir, "config.json")
			console := freeAddr(t)
			text := strings.Replace(configuration(m.listen, d.addr), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
			text = strings.Replace(text, `"name":"n0"`, fmt.Sprintf(`"name":"n0","console":%q`, console), 1)
			text = strings.Replace(text, `"RegistryMode":"push"`, `"RegistryMode":"`+mode+`"`, 1)
			// The second endpoint is new to the process, whatever its stamp says: with a ramp
			// it would be cold, and not owed all that is asked for at once.
			text = strings.Replace(text, `"RampTimeS":5`, `"RampTimeS":0`, 1)
			put(t, m.path, strings.Replace(text, `"DrainGraceS":2`, `"DrainGraceS":2,"AskWithinS":10`, 1))
			m.start(t)
			p := m.process()
			if p == nil {
				t.Fatal("no process")
			}
			t.Cleanup(func() { p.cmd.Process.Kill(); <-p.ended })
			if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
				t.Fatal(err)
			}
			caller, err := net.Dial("tcp", m.listen)
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			in := bufio.NewReader(caller)
			n := 0
			asks := func() string {
				n++
				fmt.Fprintf(caller, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 1500\r\n\r\n", n)
				caller.SetReadDeadline(time.Now().Add(patience))
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					return err.Error()
				}
				defer resp.Body.Close()
				body, _ := io.ReadAll(resp.Body)
				return string(body)
			}
			eventually(t, "the first endpoint", func() bool { return asks() == "s-1" })
			d.server.Close()
			for range idle {
				c, err := net.DialTimeout("tcp", m.listen, time.Second)
				if err != nil {
					break // the queue of new ones is full as well
				}
				defer c.Close()
			}
			for range 10 { // over a second in which all that is free is taken
				if got := asks(); got != "s-1" {
					t.Fatalf("the caller that was there got %q, want s-1", got)
				}
				asked := time.Now()
				if status := call(console, "GET", "/ready", ""); status != 200 || time.Since(asked) > 4*time.Second {
					t.Fatalf("operators are answered %d after %v, want 200 within 1 s, or 4 on a busy machine", status, time.Since(asked))
				}
				time.Sleep(100 * time.Millisecond)
			}
			d.drains.Store(true)
			back := time.Now()
			d.start(t)
			eventually(t, "the drain is heard", func() bool { return d.heard.Load() && asks() == "s-2" })
			most := 2 * time.Second
			if mode == "ask" {
				most = 6 * time.Second
			}
			if took := time.Since(back); took > most {
				t.Errorf("heard %v after discovery's return, want %v at the most", took, most)
			}
			for range 20 {
				if got := asks(); got != "s-2" {
					t.Errorf("answered by %q after the drain, want s-2", got)
				}
			}
		})
	}
}
