package pool

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gorselink/balance"
	"gorselink/internal/discovery"
	"gorselink/internal/upstream"
)

// A request that ends abnormally is logged in one line with its attempts, up to
// maxAbnormalEndLines lines per second. A served request is not logged.
func TestAbnormalEndIsLogged(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ok" {
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: time.Second})
	conns.SetLimits(upstream.Limits{MaxConns: 8, LargeResponseBytes: 1 << 20})
	defer conns.Close()
	p, err := New(Config{
		Name: "p",
		Balance: balance.Config{
			Instances: 1, AttemptLimit: 2, Multiplex: 1, IdleConnTimeout: time.Second,
			Classes: []balance.Class{{Deadline: 10 * time.Second, Idempotency: balance.NonIdempotent, PriorityWeight: 1}},
		},
		Known: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-1", Address: server.Listener.Addr().String(), Status: discovery.InService}}},
	}, conns)
	if err != nil {
		t.Fatal(err)
	}
	send := func(path string, n int) {
		r := &Request{Budget: 10 * time.Second, CallID: fmt.Sprintf("id-%d", n), Outgoing: upstream.Request{Method: "POST", URI: path, Host: "x", NonIdempotent: true}}
		if err := p.Submit(r); err != nil {
			t.Fatal(err)
		}
		p.RunFirstAttempt(r)
		a := <-r.Response()
		if a.Upstream != nil {
			a.Upstream.Release()
		}
		p.Done(r)
	}
	send("/ok", 0)
	if log.Len() > 0 {
		t.Errorf("a served request was logged: %q", log.String())
	}
	for n := range 3 * maxAbnormalEndLines {
		send("/error", n+1)
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) != maxAbnormalEndLines {
		t.Fatalf("%d log lines for %d requests that failed within a second, want %d", len(lines), 3*maxAbnormalEndLines, maxAbnormalEndLines)
	}
	for _, want := range []string{"id=id-1 ", "class=0 ", "end=failed ", "budget=10s ", "attempts=1 ", "s-1 error after ", " (status 500)"} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("log line %q does not contain %q", lines[0], want)
		}
	}
	log.Reset()
	p.Report(time.Now())
	if want := fmt.Sprintf("untold=%d", 2*maxAbnormalEndLines); !strings.Contains(log.String(), want) {
		t.Errorf("report %q does not contain %q", log.String(), want)
	}
	send("/error", 100)
	if !strings.Contains(log.String(), "id=id-100 ") {
		t.Errorf("a failed request in the next second was not logged: %q", log.String())
	}
}
