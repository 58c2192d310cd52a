package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// idRequest sends a request with an id that must not run twice and returns a function that returns the status
// of its response.
func idRequest(t *testing.T, conn net.Conn, id string) (status func() int) {
	t.Helper()
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := fmt.Fprintf(conn, "POST /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 8000\r\nContent-Length: 0\r\n\r\n", id); err != nil {
		t.Fatal(err)
	}
	return func() int {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
}

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// While a process takes over, a request with the id of a request that is open, or has just ended, in one of the
// two processes is rejected by the other one.
func TestOpenIDIsRejectedByOtherProcess(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if !strings.HasPrefix(r.Header.Get("X-Call-Id"), "fast") {
			<-release
		}
	}))
	t.Cleanup(node.Close)
	discovery := newDiscoveryServer(t, "s-1", serverAddr(node))
	listen, path, temp := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeFile(t, path, strings.NewReplacer(`"DeadlineS":2,"Semantics":"free"`, `"DeadlineS":9,"Semantics":"single_shot"`).Replace(configJSON(listen, serverAddr(discovery))))
	old, _ := startInstance(t, path, temp)
	kept := []net.Conn{dialTest(t, listen), dialTest(t, listen), dialTest(t, listen)} // connections that stay with the old process
	if status := idRequest(t, kept[0], "fast0")(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	before := idRequest(t, dialTest(t, listen), "before")
	eventually(t, "the first requests run", func() bool { return runs.Load() == 2 })
	startInstance(t, path, temp)
	eventually(t, "the old process has left new connections to the other one", func() bool {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.successorServing
	})
	during := idRequest(t, kept[1], "during")
	after := idRequest(t, dialTest(t, listen), "after")
	eventually(t, "all requests run", func() bool { return runs.Load() == 4 })
	time.Sleep(50 * time.Millisecond) // the events are sent while the requests run
	for _, c := range []struct {
		id   string
		conn net.Conn
	}{
		{"fast0", dialTest(t, listen)}, {"before", dialTest(t, listen)}, {"during", dialTest(t, listen)}, {"after", kept[2]},
	} {
		if status := idRequest(t, c.conn, c.id)(); status != http.StatusConflict {
			t.Errorf("id %s, sent again to the other process: status %d, want %d", c.id, status, http.StatusConflict)
		}
	}
	close(release)
	for id, response := range map[string]func() int{"before": before, "during": during, "after": after} {
		if status := response(); status != http.StatusOK {
			t.Errorf("id %s: status %d", id, status)
		}
	}
	if n := runs.Load(); n != 4 {
		t.Errorf("%d requests ran, want 4", n)
	}
}
