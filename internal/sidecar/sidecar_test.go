package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gorselink/internal/config"
	"gorselink/internal/fleet"
)

// testTimeout bounds every wait in these tests.
const testTimeout = 20 * time.Second

// newDiscoveryServer starts a discovery server that lists one endpoint.
func newDiscoveryServer(t *testing.T, name, address string) *httptest.Server {
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

// newEndpointServer starts an endpoint that responds with its name.
func newEndpointServer(t *testing.T, name string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, name)
	}))
	t.Cleanup(s.Close)
	return s
}

func serverAddr(s *httptest.Server) string { return s.Listener.Addr().String() }

func configJSON(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
"limits":{"cores":1,"memory_mb":64,"sockets":256},
"settings":{"Me":0,"NInstances":1,"Zone":0,"Tier":0,"Zones":["a"],"RegistryMode":"push",
"Limits":{"ConnectTimeoutS":1,"ConnIdleS":5,"TryLimit":3,"Multiplex":1},
"Obligations":{"ColdShare":0.3,"RampTimeS":5,"OverloadForS":3,"DrainGraceS":2},
"RequestClasses":[{"Name":"view","AimS":1,"DeadlineS":2,"Semantics":"free","Worth":1}]}}`, listen, discovery)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// get sends a request with call id n and returns the body of a 200 response, or "".
func get(listen string, n int) string {
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

// sidecarInstance is a sidecar that runs in the test process.
type sidecarInstance struct {
	*Sidecar
	ctx    context.Context
	stop   context.CancelFunc
	reload chan os.Signal
	ended  chan error
}

// startInstance starts a sidecar with the configuration at path, waits until its console
// reports it ready, and returns it with its console address.
func startInstance(t *testing.T, path, temp string) (*sidecarInstance, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	console := l.Addr().String()
	l.Close()
	cfg, err := config.LoadPlatform(path)
	if err != nil {
		t.Fatal(err)
	}
	p := &sidecarInstance{
		Sidecar: &Sidecar{options: Options{ConfigPath: path, ConsoleAddr: console, TempDir: temp}, cfg: cfg},
		reload:  make(chan os.Signal, 1),
		ended:   make(chan error, 1),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	go func() { p.ended <- p.run(p.ctx, p.reload) }()
	t.Cleanup(p.stop)
	for end := time.Now().Add(testTimeout); callStatus(console, "GET", "/ready", "") != 200; time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.ended:
			t.Fatalf("the process ended: %v", err)
		default:
		}
		if time.Now().After(end) {
			t.Fatal("the sidecar did not become ready in time")
		}
	}
	return p, console
}

// finish stops the sidecar and waits for its end.
func (p *sidecarInstance) finish(t *testing.T) {
	t.Helper()
	p.stop()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Fatalf("the process ended: %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the sidecar did not end")
	}
}

// callStatus sends a request and returns the response status, or 0 without a response.
func callStatus(console, method, path, body string) int {
	req, _ := http.NewRequest(method, "http://"+console+path, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

var lastCallID atomic.Int64

func getWithNewID(listen string) string { return get(listen, int(lastCallID.Add(1))) }

// A reload applies a new discovery address. A reload of an invalid file changes nothing.
func TestReload(t *testing.T) {
	first, second := newEndpointServer(t, "first"), newEndpointServer(t, "second")
	before, after := newDiscoveryServer(t, "s-1", serverAddr(first)), newDiscoveryServer(t, "s-2", serverAddr(second))
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configJSON(listen, serverAddr(before)))
	p, _ := startInstance(t, path, "")
	expectBody := func(want string) {
		t.Helper()
		eventually(t, "a response from "+want, func() bool { return getWithNewID(listen) == want })
	}
	expectBody("first")
	writeFile(t, path, strings.Replace(configJSON(listen, serverAddr(after)), "{", "[", 1))
	p.reload <- syscall.SIGHUP
	expectBody("first")
	writeFile(t, path, configJSON(listen, serverAddr(after)))
	p.reload <- syscall.SIGHUP
	expectBody("second")
	before.CloseClientConnections()
	expectBody("second")
	p.finish(t)
}

// A disabled endpoint gets no requests, also from the successor process, until it is enabled
// again.
func TestDisabledEndpointStaysDisabledAcrossProcesses(t *testing.T) {
	first := newEndpointServer(t, "first")
	disc := newDiscoveryServer(t, "s-1", serverAddr(first))
	listen, path, temp := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeFile(t, path, configJSON(listen, serverAddr(disc)))
	old, console := startInstance(t, path, temp)
	eventually(t, "a response", func() bool { return getWithNewID(listen) == "first" })
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/endpoints/disable", `{"target":"s-9"}`, 404},
		{"POST", "/endpoints/disable", `{"target":""}`, 400},
		{"POST", "/endpoints/disable", `{"tar`, 400},
		{"GET", "/endpoints/disable", ``, 405},
		{"POST", "/nothing", ``, 404},
		{"POST", "/endpoints/disable", `{"target":"s-1"}`, 200},
		{"POST", "/endpoints/disable", `{"target":"s-1"}`, 200},
	} {
		if got := callStatus(console, c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s %s: %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	if got := getWithNewID(listen); got != "" {
		t.Errorf("response %q from a disabled endpoint", got)
	}
	next, console := startInstance(t, path, temp)
	if m := next.pool.LearnedState().Balancer; m.Classes[0].N == 0 || m.Endpoints["s-1"].N == 0 {
		t.Errorf("the successor has %+v, want the learned state", m)
	}
	old.finish(t)
	if got := getWithNewID(listen); got != "" {
		t.Errorf("response %q from a disabled endpoint through the successor", got)
	}
	if got := callStatus(console, "POST", "/endpoints/enable", `{"target":"s-1"}`); got != 200 {
		t.Fatalf("enable: %d, want 200", got)
	}
	eventually(t, "a response", func() bool { return getWithNewID(listen) == "first" })
	next.finish(t)
}

// A second process takes over from the first under load without a failed request or connection,
// on kept and new connections.
func TestUpgradeLosesNoRequests(t *testing.T) {
	disc := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "first")))
	listen, path, temp := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeFile(t, path, configJSON(listen, serverAddr(disc)))
	p, _ := startInstance(t, path, temp)
	done := make(chan struct{})
	var wg sync.WaitGroup
	var failed, succeeded atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			// An http.Client would retry failed requests, so connections are used directly.
			var c net.Conn
			var in *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-done:
					if c != nil {
						c.Close()
					}
					return
				case <-time.After(time.Duration(i+1) * time.Millisecond):
				}
				if c == nil || i%3 == 0 { // a third of the callers open a new connection each time
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						failed.Add(1)
						c = nil
						continue
					}
					c.SetDeadline(time.Now().Add(testTimeout))
					in = bufio.NewReader(c)
				}
				fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastCallID.Add(1))
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Logf("caller %d, request %d: %v, %v", i, n, resp, err)
					failed.Add(1)
					c.Close()
					c = nil
					continue
				}
				io.Copy(io.Discard, resp.Body)
				succeeded.Add(1)
				if resp.Close {
					t.Logf("caller %d: the connection is closed after the response", i)
					failed.Add(1)
					c.Close()
					c = nil
				}
			}
		})
	}
	for range 4 {
		time.Sleep(100 * time.Millisecond)
		next, _ := startInstance(t, path, temp)
		eventually(t, "the previous process leaves new connections to the successor", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.successorServing
		})
		time.Sleep(100 * time.Millisecond)
		p.finish(t)
		p = next
	}
	time.Sleep(100 * time.Millisecond)
	close(done)
	wg.Wait()
	if failed.Load() > 0 || succeeded.Load() < 100 {
		t.Errorf("%d requests succeeded, %d failed, want at least 100 and 0", succeeded.Load(), failed.Load())
	}
	p.finish(t)
}

// If a new process fails during the handover, the previous one continues to serve.
func TestFailedUpgradeIsReverted(t *testing.T) {
	disc := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "first")))
	listen, path, temp := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	writeFile(t, path, configJSON(listen, serverAddr(disc)))
	p, _ := startInstance(t, path, temp)
	var inherited handoverState
	link, l, err := fleet.TakeOver(p.sharedDir(), &inherited)
	if err != nil || link == nil || len(inherited.Endpoints) != 1 || len(inherited.KnownNames) != 1 {
		t.Fatalf("handover: %v, %v, %+v, want a link and one endpoint", link, err, inherited)
	}
	if err := link.SendReady(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the previous process leaves new connections to the new one", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.successorServing
	})
	l.Close()
	link.Close()
	http.DefaultClient.CloseIdleConnections()
	eventually(t, "a response", func() bool { return getWithNewID(listen) == "first" })
	p.finish(t)
}

// An operator's drain makes the sidecar report not ready and close connections without open
// requests. It can be reverted.
func TestOperatorDrain(t *testing.T) {
	disc := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "first")))
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configJSON(listen, serverAddr(disc)))
	p, console := startInstance(t, path, t.TempDir())
	ready := func() int { return callStatus(listen, "GET", "/-/ready", "") }
	eventually(t, "a response", func() bool { return getWithNewID(listen) == "first" })
	if got := ready(); got != 200 {
		t.Fatalf("ready: %d", got)
	}
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastCallID.Add(1))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	start := time.Now()
	if got := callStatus(console, "POST", "/drain", ""); got != 200 {
		t.Fatalf("drain: %d", got)
	}
	if got := ready(); got != 503 {
		t.Errorf("ready after the drain: %d, want 503", got)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the kept connection: %v, want EOF", err)
	}
	if d := time.Since(start); d < newConnPeriod/2 || d > 4*time.Second {
		t.Errorf("connection closed after %v, want at least half of newConnPeriod and 4 s at most", d)
	}
	if got := callStatus(console, "GET", "/ready", ""); got != 200 {
		t.Errorf("console readiness during the drain: %d, want 200", got)
	}
	if got := callStatus(console, "POST", "/undrain", ""); got != 200 {
		t.Fatalf("undrain: %d", got)
	}
	if got := ready(); got != 200 {
		t.Errorf("ready after the end of the drain: %d, want 200", got)
	}
	eventually(t, "a response", func() bool { return getWithNewID(listen) == "first" })
	p.finish(t)
}

// Silent connections and partial requests do not block the console.
func TestConsoleRespondsDespiteSilentClients(t *testing.T) {
	disc := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "first")))
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configJSON(isolatedAddr(t), serverAddr(disc)))
	p, console := startInstance(t, path, "")
	for i := range 60 {
		c, err := net.Dial("tcp", console)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "POST /dra", "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"}[i%3])
	}
	if got := callStatus(console, "GET", "/ready", ""); got != 200 {
		t.Errorf("ready: %d, want 200", got)
	}
	time.Sleep(50 * time.Millisecond)
	if p.operatorState.State().Drained {
		t.Error("a partial request has drained the sidecar")
	}
	p.finish(t)
}

// A reload applies added, removed and changed classes and a new attempt limit. A file that is
// empty, truncated or invalid changes nothing.
func TestReloadClasses(t *testing.T) {
	disc := newDiscoveryServer(t, "s-1", serverAddr(newEndpointServer(t, "first")))
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	text := configJSON(listen, serverAddr(disc))
	writeFile(t, path, text)
	p, _ := startInstance(t, path, "")
	requestStatus := func(method, class string) int {
		req, _ := http.NewRequest(method, "http://"+listen+"/"+class, nil)
		req.Header.Set("X-Call-Id", fmt.Sprintf("%016x", lastCallID.Add(1)))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	eventually(t, "a response", func() bool { return requestStatus("GET", "view") == 200 })
	if got := requestStatus("POST", "pledge"); got != 404 {
		t.Fatalf("unknown class: %d, want 404", got)
	}
	addedClass := `,{"Name":"pledge","AimS":1,"DeadlineS":2,"Semantics":"single_shot","Worth":1}`
	changed := strings.Replace(text, `"Worth":1}]`, `"Worth":1}`+addedClass+`]`, 1)
	changed = strings.Replace(changed, `"TryLimit":3`, `"TryLimit":2`, 1)
	if changed == text {
		t.Fatal("the configuration has not changed")
	}
	reload := func(text string) {
		writeFile(t, path, text)
		p.reload <- syscall.SIGHUP
		for len(p.reload) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for name, text := range map[string]string{
		"empty":                "",
		"truncated":            changed[:len(changed)*2/3],
		"no attempts":          strings.Replace(changed, `"TryLimit":2`, `"TryLimit":0`, 1),
		"attempts missing":     strings.Replace(changed, `"TryLimit":2,`, ``, 1),
		"deadline of 0":        strings.Replace(changed, `"AimS":1,"DeadlineS":2,"Semantics":"single_shot"`, `"AimS":1,"DeadlineS":0,"Semantics":"single_shot"`, 1),
		"negative deadline":    strings.Replace(changed, `"DeadlineS":2,"Semantics":"single_shot"`, `"DeadlineS":-1,"Semantics":"single_shot"`, 1),
		"deadline missing":     strings.Replace(changed, `"DeadlineS":2,"Semantics":"single_shot"`, `"Semantics":"single_shot"`, 1),
		"semantics missing":    strings.Replace(changed, `,"Semantics":"single_shot"`, ``, 1),
		"worth missing":        strings.Replace(changed, `"single_shot","Worth":1`, `"single_shot"`, 1),
		"classes missing":      strings.Replace(changed, `"RequestClasses"`, `"Other"`, 1),
		"obligations missing":  strings.Replace(changed, `"DrainGraceS":2`, `"Other":2`, 1),
		"invalid memory limit": strings.Replace(changed, `"memory_mb":64`, `"memory_mb":0`, 1),
	} {
		if text == changed {
			t.Fatalf("%s: the configuration has not changed", name)
		}
		reload(text)
		if got := requestStatus("POST", "pledge"); got != 404 {
			t.Errorf("%s: %d for a class of an invalid file, want 404", name, got)
		}
	}
	reload(changed)
	eventually(t, "the new class is in use", func() bool { return requestStatus("POST", "pledge") == 200 })
	if got := requestStatus("GET", "pledge"); got != 400 {
		t.Errorf("GET for a non-idempotent class: %d, want 400", got)
	}
	// One class becomes non-idempotent, and another is removed.
	reload(strings.Replace(strings.Replace(changed, `"Semantics":"free"`, `"Semantics":"single_shot"`, 1), addedClass, "", 1))
	eventually(t, "the changed class is in use", func() bool { return requestStatus("GET", "view") == 400 && requestStatus("POST", "view") == 200 })
	if got := requestStatus("POST", "pledge"); got != 404 {
		t.Errorf("removed class: %d, want 404", got)
	}
	p.finish(t)
}
