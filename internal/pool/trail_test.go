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
	"gorselink/internal/nodes"
	"gorselink/internal/upstream"
)

// A request that ends wrongly tells in one line what was tried for it, and a storm of
// them no more than a few a second. One that ends well, or is refused, tells nothing.
func TestTellsHowARequestEndedWrongly(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	sick := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/good" {
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer sick.Close()
	conns := upstream.New(upstream.Config{DialTimeout: time.Second, IdleTimeout: time.Second})
	conns.SetLimits(8, 1<<20)
	defer conns.Close()
	p, err := New(Config{
		Name: "p",
		Balance: balance.Config{
			Instances: 1, AttemptLimit: 2, Multiplex: 1, IdleConnTimeout: time.Second,
			Classes: []balance.Class{{Deadline: 10 * time.Second, Semantics: balance.Unsafe, Worth: 1}},
		},
		Known: nodes.List{Endpoints: []nodes.Endpoint{{Name: "s-1", Address: sick.Listener.Addr().String(), Status: nodes.InService}}},
	}, conns)
	if err != nil {
		t.Fatal(err)
	}
	ask := func(path string, n int) {
		r := &Request{Budget: 10 * time.Second, CallID: fmt.Sprintf("id-%d", n), Outgoing: upstream.Request{Method: "POST", URI: path, Host: "x", NonIdempotent: true}}
		if err := p.Submit(r); err != nil {
			t.Fatal(err)
		}
		p.RunFirstAttempt(r)
		a := <-r.Answer()
		if a.Upstream != nil {
			a.Upstream.Release()
		}
		p.Done(r)
	}
	ask("/good", 0)
	if log.Len() > 0 {
		t.Errorf("a request that ended well tells %q", log.String())
	}
	for n := range 3 * maxAbnormalEndLines {
		ask("/sick", n+1)
	}
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) != maxAbnormalEndLines {
		t.Fatalf("%d lines of %d requests that failed within a second, want %d", len(lines), 3*maxAbnormalEndLines, maxAbnormalEndLines)
	}
	for _, want := range []string{"id=id-1 ", "class=0 ", "end=failed ", "budget=10s ", "attempts=1 ", "s-1 error after "} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("%q lacks %q", lines[0], want)
		}
	}
	log.Reset()
	p.Report(time.Now())
	if want := fmt.Sprintf("untold=%d", 2*maxAbnormalEndLines); !strings.Contains(log.String(), want) {
		t.Errorf("%q lacks %q", log.String(), want)
	}
	ask("/sick", 100)
	if !strings.Contains(log.String(), "id=id-100 ") {
		t.Errorf("the next second tells nothing: %q", log.String())
	}
}
