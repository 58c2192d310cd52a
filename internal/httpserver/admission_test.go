package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// entryHarness returns a harness at the entry tier whose classes have a latency target.
func entryHarness(t *testing.T, release chan struct{}) *harness {
	t.Helper()
	cfg := newTestConfig()
	cfg.Balance.Entry = true
	for i := range cfg.Balance.Classes {
		cfg.Balance.Classes[i].LatencyTarget = 500 * time.Millisecond
		cfg.Balance.Classes[i].Deadline = testTimeout
	}
	return newHarnessWithConfig(t, cfg, 128, release)
}

// sendRequests sends n requests at once, each on a new connection. The channel receives the status
// of each response.
func (r *harness) sendRequests(t *testing.T, n int, path string) <-chan int {
	t.Helper()
	statuses := make(chan int, n)
	for range n {
		c := r.dial(t)
		io.WriteString(c, strings.Replace(viewRequest(""), "/view/1", path, 1))
		go func() {
			status, _, _ := readResponse(bufio.NewReader(c))
			c.Close()
			statuses <- status
		}()
	}
	return statuses
}

// countRejected returns how many of n responses have a status other than 200.
func countRejected(statuses <-chan int, n int) (rejected int) {
	for range n {
		if <-statuses != 200 {
			rejected++
		}
	}
	return rejected
}

// Two late responses of ten are within chance, and no request is rejected because of them.
func TestFewLateResponsesCauseNoRejections(t *testing.T) {
	release := make(chan struct{})
	r := entryHarness(t, release)
	if n := countRejected(r.sendRequests(t, 8, "/view/now"), 8); n > 0 {
		t.Fatalf("%d of the first 8 requests were rejected, want 0", n)
	}
	late := r.sendRequests(t, 2, "/view/1")
	time.Sleep(time.Second) // twice the latency target
	later := r.sendRequests(t, 8, "/view/1")
	eventually(t, "all requests have been sent or rejected", func() bool { return r.requests.Load()+int64(len(later)) >= 18 })
	close(release)
	if n := countRejected(late, 2) + countRejected(later, 8); n > 0 {
		t.Errorf("%d of 10 requests were rejected, want 0", n)
	}
}

// Once delayed responses limit admission at an instance that is a second old, it still admits as
// many requests as it has usually served within the latency target.
func TestNewInstanceAdmitsItsServedRate(t *testing.T) {
	release := make(chan struct{})
	r := entryHarness(t, release)
	for range 6 { // in batches, because the endpoint gets at most 32 connections
		if n := countRejected(r.sendRequests(t, 10, "/view/now"), 10); n > 0 {
			t.Fatalf("%d of 10 requests in a first batch were rejected, want 0", n)
		}
	}
	blocked := r.sendRequests(t, 30, "/view/1")
	time.Sleep(time.Second) // twice the latency target
	for len(blocked) < 30 {
		select {
		case release <- struct{}{}: // one request completes
		case <-time.After(time.Millisecond):
		}
	}
	requestsBefore := r.requests.Load()
	later := r.sendRequests(t, 10, "/view/1")
	eventually(t, "10 requests have been sent or rejected", func() bool { return r.requests.Load()-requestsBefore+int64(len(later)) >= 10 })
	close(release)
	if n := countRejected(later, 10); n > 0 {
		t.Errorf("%d of 10 requests were rejected after 60 were served within a second, want 0", n)
	}
}

// A request that is rejected because responses are delayed gets a Retry-After.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	release := make(chan struct{})
	r := entryHarness(t, release)
	blocked := r.sendRequests(t, 20, "/view/1")
	time.Sleep(time.Second) // twice the latency target
	c := r.dial(t)
	io.WriteString(c, viewRequest(""))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %v, error %v, want status 503", resp, err)
	}
	text := resp.Header.Get("Retry-After")
	if after, err := strconv.ParseFloat(text, 64); err != nil || after <= 0 || after > testTimeout.Seconds()/2 {
		t.Errorf("Retry-After %q, want a positive number of seconds, at most half the deadline", text)
	}
	close(release)
	countRejected(blocked, 20)
}
