//go:build linux

package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// fullSpeedClients send at full speed for fullSpeedTime.
	fullSpeedClients = 4
	fullSpeedTime    = 2500 * time.Millisecond
	// usualClients send a request after each usualPause.
	usualClients = 8
	usualPause   = 20 * time.Millisecond
	usualBudget  = time.Second
)

// operatorCalls is the name of the case whose clients call the operators' console.
const operatorCalls = "operator calls"

// fullSpeedRequests returns the text of the next request of a client at full speed.
var fullSpeedRequests = map[string]func(n int) string{
	operatorCalls: func(n int) string {
		body := fmt.Sprintf(`{"target":"none-%d"}`, n)
		return fmt.Sprintf("POST /endpoints/disable HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
	"ids and tiny budgets": func(n int) string { return fullSpeedRequest("/view", n, 1, "") },
	"ids and tenants":      func(n int) string { return fullSpeedRequest("/view", n, 900, fmt.Sprintf("X-Caller: t%d\r\n", n)) },
	"one id":               func(n int) string { return fullSpeedRequest("/view", 0, 900, "") },
	"unknown classes":      func(n int) string { return fullSpeedRequest(fmt.Sprintf("/c%d", n), n, 900, "") },
	"readiness":            func(int) string { return "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" },
	"garbage":              func(n int) string { return fmt.Sprintf("\x00\x01 %d\r\n\r\n", n) },
	"connection options": func(n int) string {
		return fullSpeedRequest("/view", n, 900, "Connection: "+strings.Repeat("a,", 1500)+"\r\n"+strings.Repeat("b:\r\n", 800))
	},
	"chunks of one byte": func(n int) string {
		return strings.Replace(fullSpeedRequest("/view", n, 900, ""), "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 2000)+"0\r\n\r\n", 1)
	},
}

func fullSpeedRequest(path string, n, budgetMs int, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: f%d\r\nX-Budget-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", path, n, budgetMs, fields)
}

// sendAtFullSpeed sends requests, each after the response to the last one, until done is closed.
func sendAtFullSpeed(listen string, client int, next func(n int) string, done <-chan struct{}) (sent int) {
	for {
		select {
		case <-done:
			return sent
		default:
		}
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(fullSpeedTime))
		for in := bufio.NewReader(conn); ; {
			if _, err := io.WriteString(conn, next(client+fullSpeedClients*sent)); err != nil {
				break
			}
			sent++
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.Close {
				break
			}
		}
		conn.Close()
	}
}

// sendUsualRequests sends requests at a moderate rate until done is closed, and returns the durations until their
// responses, and how many were not served.
func sendUsualRequests(listen string, done <-chan struct{}) (took []time.Duration, notServed int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return took, notServed
		case <-time.After(usualPause):
		}
		req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/view", nil)
		req.Header.Set("X-Call-Id", fmt.Sprintf("%016x", lastCallID.Add(1)))
		req.Header.Set("X-Budget-Ms", fmt.Sprint(usualBudget.Milliseconds()))
		start := time.Now()
		resp, err := client.Do(req)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		took = append(took, time.Since(start))
		if err != nil || resp.StatusCode != http.StatusOK {
			notServed++
		}
	}
}

// Clients that send sound or unsound requests as fast as they are answered neither take the service from
// others nor make the memory grow, on one core.
func TestClientsAtFullSpeed(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gorselink")
	if out, err := exec.Command("go", "build", "-o", program, "gorselink/cmd/gorselink").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for name, next := range fullSpeedRequests {
		t.Run(name, func(t *testing.T) {
			limits := memoryCase{memoryMB: 32, sockets: 256}
			s := newMemoryTestSidecar(t, program, &limits, func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
			s.start(t)
			done := make(chan struct{})
			var all sync.WaitGroup
			var mu sync.Mutex
			var durations []time.Duration
			sent, failed := 0, 0
			for range usualClients {
				all.Go(func() {
					took, notServed := sendUsualRequests(s.listen, done)
					mu.Lock()
					defer mu.Unlock()
					durations, failed = append(durations, took...), failed+notServed
				})
			}
			address := s.listen
			if name == operatorCalls {
				address = s.console
			}
			for client := range fullSpeedClients {
				all.Go(func() {
					n := sendAtFullSpeed(address, client, next, done)
					mu.Lock()
					defer mu.Unlock()
					sent += n
				})
			}
			time.Sleep(fullSpeedTime)
			close(done)
			all.Wait()
			slices.Sort(durations)
			longest, p99 := durations[len(durations)-1], durations[len(durations)*99/100]
			peak := float64(s.peakMemory()) / (1 << 20)
			t.Logf("%d requests at full speed; others: %d requests, %d not served, p99 %v, longest %v; %.1f MB", sent, len(durations), failed, p99, longest, peak)
			if longest > usualBudget+finalResponseSlack {
				t.Errorf("a response to another client took %v, want %v at most", longest, usualBudget+finalResponseSlack)
			}
			if failed > len(durations)/100 {
				t.Errorf("%d of %d requests of other clients were not served, want one in a hundred at most", failed, len(durations))
			}
			if peak > float64(limits.memoryMB) {
				t.Errorf("the sidecar used %.1f MB, want %d at most", peak, limits.memoryMB)
			}
		})
	}
}
