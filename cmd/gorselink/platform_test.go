package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/config"
)

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

// told is a discovery service that lists one endpoint.
func told(t *testing.T, name, address string) *httptest.Server {
	list := fmt.Sprintf(`{"index":7,"snapshot":true,"endpoints":[{"name":%q,"address":%q,"zone":"a","group":0,"status":"in_service","since_ms":0}]}`, name, address)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
			}
			io.WriteString(w, `{"index":7,"snapshot":false,"endpoints":[]}`)
			return
		}
		io.WriteString(w, list)
	}))
	t.Cleanup(s.Close)
	return s
}

// endpoint answers every request with its name.
func endpoint(t *testing.T, name string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, name)
	}))
	t.Cleanup(s.Close)
	return s
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

func configuration(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
"limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"Me":0,"NInstances":1,"Zone":0,"Tier":0,"Zones":["a"],"RegistryMode":"push",
"Limits":{"ConnectTimeoutS":1,"ConnIdleS":5,"TryLimit":3,"Multiplex":1},
"Obligations":{"ColdShare":0.3,"RampTimeS":5,"OverloadForS":3,"DrainGraceS":2},
"RequestClasses":[{"Name":"view","AimS":1,"DeadlineS":2,"Semantics":"free","Worth":1}]}}`, listen, discovery)
}

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// ask makes one request and returns the body of a 200, or "".
func ask(listen string, n int) string {
	req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/view", nil)
	req.Header.Set("X-Call-Id", fmt.Sprintf("%016x", n))
	req.Header.Set("X-Budget-Ms", "1500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// A reload under load takes up the new discovery address; one that cannot be
// read changes nothing; and the process goes on through both until its end.
func TestReload(t *testing.T) {
	first, second := endpoint(t, "first"), endpoint(t, "second")
	before, after := told(t, "s-1", address(first)), told(t, "s-2", address(second))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	path := filepath.Join(t.TempDir(), "config.json")
	put(t, path, configuration(listen, address(before)))
	cfg, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	reload := make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, cfg, l, path, reload) }()

	n := 0
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			n++
			if got := ask(listen, n); got == want {
				return
			}
			select {
			case err := <-ended:
				t.Fatalf("serve ended: %v", err)
			default:
			}
		}
		t.Fatalf("no answer of %q in time", want)
	}
	until("first")
	put(t, path, strings.Replace(configuration(listen, address(after)), "{", "[", 1))
	reload <- syscall.SIGHUP
	until("first")
	put(t, path, configuration(listen, address(after)))
	reload <- syscall.SIGHUP
	until("second")
	before.CloseClientConnections()
	until("second")
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatalf("serve: %v", err)
		}
	case <-time.After(patience):
		t.Fatal("serve did not end")
	}
}
