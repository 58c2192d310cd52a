package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
)

const (
	reuseEndpoints = 4
	reuseClients   = 16
	// reuseRounds is how often an endpoint is replaced at its address, after each reusePause.
	reuseRounds = 8
	reusePause  = 150 * time.Millisecond
	// reuseWork is how long an endpoint works on a request.
	reuseWork = 25 * time.Millisecond
)

// deduplicatingFleet is a set of endpoints. Those of a zone run a request with a key only once.
type deduplicatingFleet struct {
	mu   sync.Mutex
	runs map[string]map[string]string // by key and zone: the endpoint that ran it
}

// run runs the request with this key unless its zone has.
func (f *deduplicatingFleet) run(key, zone, endpoint string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[key] == nil {
		f.runs[key] = map[string]string{}
	}
	if f.runs[key][zone] == "" {
		f.runs[key][zone] = endpoint
	}
}

// repeated returns the keys that have run in more than one zone.
func (f *deduplicatingFleet) repeated() (keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, zones := range f.runs {
		if len(zones) > 1 {
			keys = append(keys, fmt.Sprintf("%s %v", key, zones))
		}
	}
	return keys
}

// endpointProcess is a process of an endpoint.
type endpointProcess struct {
	net.Listener
	entry fakeserver.Entry
	fleet *deduplicatingFleet

	mu     sync.Mutex
	conns  map[net.Conn]bool
	killed bool
}

// startEndpointProcess starts a process at an address, which may end with ":0".
func startEndpointProcess(t *testing.T, fleet *deduplicatingFleet, name, zone, address string) *endpointProcess {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &endpointProcess{Listener: l, fleet: fleet, conns: map[net.Conn]bool{},
		entry: fakeserver.Entry{Name: name, Address: l.Addr().String(), Zone: zone, Status: string(discovery.InService), SinceMs: time.Now().UnixMilli()}}
	t.Cleanup(p.kill)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// kill resets all connections and ends all work.
func (p *endpointProcess) kill() {
	p.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	for conn := range p.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (p *endpointProcess) alive(conn net.Conn, open bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[conn] = true; !open || p.killed {
		delete(p.conns, conn)
	}
	return !p.killed
}

func (p *endpointProcess) serve(conn net.Conn) {
	defer conn.Close()
	defer p.alive(conn, false)
	for in := bufio.NewReader(conn); p.alive(conn, true); {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if !p.alive(conn, true) {
			return
		}
		p.fleet.run(r.Header.Get("X-Call-Id"), p.entry.Zone, p.entry.Name)
		time.Sleep(reuseWork)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// sendKeyed sends requests with ever new keys until done is closed, and counts those that are served.
func sendKeyed(listen string, done <-chan struct{}) (served, total int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return served, total
		default:
		}
		id := fmt.Sprintf("%016x", lastCallID.Add(1))
		req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/view", strings.NewReader("ok"))
		req.Header.Set("X-Call-Id", id)
		req.Header.Set("X-Budget-Ms", "1800")
		req.Header["Idempotency-Key"] = []string{id}
		req.GetBody = nil // the transport must not send it again by itself
		total++
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served++
		}
	}
}

// A request with a key does not run in two zones when an endpoint dies and a new one, of another name and
// zone, starts at its address, whenever discovery reports it.
func TestNewProcessAtOldAddress(t *testing.T) {
	for _, delay := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint("reported after ", delay), func(t *testing.T) {
			t.Parallel()
			fleet := &deduplicatingFleet{runs: map[string]map[string]string{}}
			zones := []string{"a", "b", "b", "b"} // a request of zone a can be repeated only at the endpoint that dies
			var processes []*endpointProcess
			var list []fakeserver.Entry
			for i := range reuseEndpoints {
				p := startEndpointProcess(t, fleet, fmt.Sprint("s-", i), zones[i], nextLoopbackHost()+":0")
				p.entry.SinceMs = 0
				processes, list = append(processes, p), append(list, p.entry)
			}
			agent, err := fakeserver.StartAgent(list...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
			writeFile(t, path, strings.NewReplacer(`"Zones":["a"]`, `"Zones":["a","b"]`, `"RampTimeS":5`, `"RampTimeS":0`, `"TryLimit":3`, `"TryLimit":4,"MayDuplicate":true`,
				`"Semantics":"free"`, `"Semantics":"guarded","KeyScope":"zone","MemorySpanS":5`).Replace(configJSON(listen, agent.Addr())))
			startInstance(t, path, t.TempDir())
			done := make(chan struct{})
			var clients sync.WaitGroup
			var mu sync.Mutex
			served, total := 0, 0
			for range reuseClients {
				clients.Go(func() {
					s, n := sendKeyed(listen, done)
					mu.Lock()
					defer mu.Unlock()
					served, total = served+s, total+n
				})
			}
			for round := range reuseRounds {
				time.Sleep(reusePause)
				old := processes[round%2]
				old.kill()
				zone := "a"
				if old.entry.Zone == zone {
					zone = "b"
				}
				next := startEndpointProcess(t, fleet, fmt.Sprint("n-", round), zone, old.entry.Address)
				processes[round%2] = next
				time.Sleep(delay)
				gone := old.entry
				gone.Status = "terminated"
				agent.Update(gone, next.entry)
			}
			time.Sleep(reusePause)
			close(done)
			clients.Wait()
			t.Logf("%d of %d requests were served", served, total)
			for _, key := range fleet.repeated() {
				t.Errorf("ran in two zones: %s", key)
			}
			if served < total*9/10 {
				t.Errorf("%d of %d requests were served, want nine in ten", served, total)
			}
		})
	}
}
