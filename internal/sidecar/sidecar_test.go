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

// process is one process of a sidecar under test.
type process struct {
	*Sidecar
	ctx    context.Context
	stop   context.CancelFunc
	reload chan os.Signal
	ended  chan error
}

// start starts a process by the file at path and waits until operators are told
// that it can serve.
func start(t *testing.T, path, temp string) (*process, string) {
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
	p := &process{
		Sidecar: &Sidecar{place: Options{ConfigPath: path, ConsoleAddr: console, TempDir: temp}, cfg: cfg},
		reload:  make(chan os.Signal, 1),
		ended:   make(chan error, 1),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	go func() { p.ended <- p.run(p.ctx, p.reload) }()
	t.Cleanup(p.stop)
	for end := time.Now().Add(patience); call(console, "GET", "/ready", "") != 200; time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.ended:
			t.Fatalf("the process ended: %v", err)
		default:
		}
		if time.Now().After(end) {
			t.Fatal("not ready in time")
		}
	}
	return p, console
}

// end ends the process and waits for it.
func (p *process) finish(t *testing.T) {
	t.Helper()
	p.stop()
	select {
	case err := <-p.ended:
		if err != nil {
			t.Fatalf("the process ended: %v", err)
		}
	case <-time.After(patience):
		t.Fatal("the process did not end")
	}
}

// call makes one call of an operator and returns the status, 0 for none.
func call(console, method, path, body string) int {
	req, _ := http.NewRequest(method, "http://"+console+path, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// freeAddr is an address that nobody listens at.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

var lastAsk atomic.Int64

func askNew(listen string) string { return ask(listen, int(lastAsk.Add(1))) }

// A reload under load takes up the new discovery address; one that cannot be
// read changes nothing; and the process goes on through both until its end.
func TestReload(t *testing.T) {
	first, second := endpoint(t, "first"), endpoint(t, "second")
	before, after := told(t, "s-1", address(first)), told(t, "s-2", address(second))
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	put(t, path, configuration(listen, address(before)))
	p, _ := start(t, path, "")
	until := func(want string) {
		t.Helper()
		eventually(t, "an answer of "+want, func() bool { return askNew(listen) == want })
	}
	until("first")
	put(t, path, strings.Replace(configuration(listen, address(after)), "{", "[", 1))
	p.reload <- syscall.SIGHUP
	until("first")
	put(t, path, configuration(listen, address(after)))
	p.reload <- syscall.SIGHUP
	until("second")
	before.CloseClientConnections()
	until("second")
	p.finish(t)
}

// What an operator takes out gets nothing more from the yes on, whatever is
// listed, also from the process that comes next; what comes back is used.
func TestOutByHandOutlivesAProcess(t *testing.T) {
	first := endpoint(t, "first")
	disc := told(t, "s-1", address(first))
	listen, path, temp := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	put(t, path, configuration(listen, address(disc)))
	old, console := start(t, path, temp)
	eventually(t, "an answer", func() bool { return askNew(listen) == "first" })
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
		if got := call(console, c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s %s: %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	if got := askNew(listen); got != "" {
		t.Errorf("an answer of %q by an endpoint that is out", got)
	}
	next, console := start(t, path, temp)
	if m := next.pool.LearnedState().Balancer; m.Classes[0].N == 0 || m.Endpoints["s-1"].N == 0 {
		t.Errorf("the next process knows %+v, want what was learnt", m)
	}
	old.finish(t)
	if got := askNew(listen); got != "" {
		t.Errorf("an answer of %q by an endpoint that is out, from the next process", got)
	}
	if got := call(console, "POST", "/endpoints/enable", `{"target":"s-1"}`); got != 200 {
		t.Fatalf("back: %d", got)
	}
	eventually(t, "an answer", func() bool { return askNew(listen) == "first" })
	next.finish(t)
}

// A second process takes the place of the first under load: no request meets a
// connection that is refused, reset or unread, on kept connections or new ones.
func TestUpgradeLosesNothing(t *testing.T) {
	disc := told(t, "s-1", address(endpoint(t, "first")))
	listen, path, temp := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	put(t, path, configuration(listen, address(disc)))
	p, _ := start(t, path, temp)
	done := make(chan struct{})
	var wg sync.WaitGroup
	var bad, good atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			// No request is made again on another connection unseen: each is
			// written and read here.
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
				if c == nil || i%3 == 0 { // a third of them comes anew each time
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						bad.Add(1)
						c = nil
						continue
					}
					c.SetDeadline(time.Now().Add(patience))
					in = bufio.NewReader(c)
				}
				fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastAsk.Add(1))
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Logf("caller %d, request %d: %v, %v", i, n, resp, err)
					bad.Add(1)
					c.Close()
					c = nil
					continue
				}
				io.Copy(io.Discard, resp.Body)
				good.Add(1)
				if resp.Close {
					t.Logf("caller %d is told to come anew", i)
					bad.Add(1)
					c.Close()
					c = nil
				}
			}
		})
	}
	for range 4 {
		time.Sleep(100 * time.Millisecond)
		next, _ := start(t, path, temp)
		eventually(t, "the old process leaves new callers to the next", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.serving
		})
		time.Sleep(100 * time.Millisecond)
		p.finish(t)
		p = next
	}
	time.Sleep(100 * time.Millisecond)
	close(done)
	wg.Wait()
	if bad.Load() > 0 || good.Load() < 100 {
		t.Errorf("%d requests went well, %d did not", good.Load(), bad.Load())
	}
	p.finish(t)
}

// A new process that dies leaves everything to the old one.
func TestUpgradeThatFailsIsUndone(t *testing.T) {
	disc := told(t, "s-1", address(endpoint(t, "first")))
	listen, path, temp := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
	put(t, path, configuration(listen, address(disc)))
	p, _ := start(t, path, temp)
	var was handed
	link, l, err := fleet.TakeOver(p.folder(), &was)
	if err != nil || link == nil || len(was.Nodes) != 1 || len(was.Listed) != 1 {
		t.Fatalf("taken over: %v, %v, %+v", link, err, was)
	}
	if err := link.SendReady(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the old process leaves callers to the new one", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.serving
	})
	l.Close()
	link.Close()
	http.DefaultClient.CloseIdleConnections()
	eventually(t, "an answer", func() bool { return askNew(listen) == "first" })
	p.finish(t)
}

// A drain by hand turns readiness to no, lets go of each caller once no request
// is open on its connection, and can be taken back.
func TestDrainByHand(t *testing.T) {
	disc := told(t, "s-1", address(endpoint(t, "first")))
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	put(t, path, configuration(listen, address(disc)))
	p, console := start(t, path, t.TempDir())
	ready := func() int { return call(listen, "GET", "/-/ready", "") }
	eventually(t, "an answer", func() bool { return askNew(listen) == "first" })
	if got := ready(); got != 200 {
		t.Fatalf("ready: %d", got)
	}
	c, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n", lastAsk.Add(1))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%v, %v", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	start := time.Now()
	if got := call(console, "POST", "/drain", ""); got != 200 {
		t.Fatalf("drain: %d", got)
	}
	if got := ready(); got != 503 {
		t.Errorf("ready after the drain: %d, want 503", got)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the kept connection: %v, want its end", err)
	}
	if d := time.Since(start); d < comingTime/2 || d > 4*time.Second {
		t.Errorf("let go of after %v, want after the front could know, and within 4 s", d)
	}
	if got := call(console, "GET", "/ready", ""); got != 200 {
		t.Errorf("the process can serve: %d, want 200", got)
	}
	if got := call(console, "POST", "/undrain", ""); got != 200 {
		t.Fatalf("undrain: %d", got)
	}
	if got := ready(); got != 200 {
		t.Errorf("ready after the end of the drain: %d, want 200", got)
	}
	eventually(t, "an answer", func() bool { return askNew(listen) == "first" })
	p.finish(t)
}

// Silent callers and half calls keep nobody out of the console.
func TestConsoleAnswersBesideSilence(t *testing.T) {
	disc := told(t, "s-1", address(endpoint(t, "first")))
	path := filepath.Join(t.TempDir(), "config.json")
	put(t, path, configuration(freeAddr(t), address(disc)))
	p, console := start(t, path, "")
	for i := range 60 {
		c, err := net.Dial("tcp", console)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "POST /dra", "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"}[i%3])
	}
	if got := call(console, "GET", "/ready", ""); got != 200 {
		t.Errorf("ready: %d, want 200", got)
	}
	time.Sleep(50 * time.Millisecond)
	if p.marks.State().Drained {
		t.Error("half a call has drained the sidecar")
	}
	p.finish(t)
}

// A reload takes up classes that come, go and change, and fewer attempts. A file
// that is empty, cut off, or lacks a key changes nothing at all.
func TestRetune(t *testing.T) {
	disc := told(t, "s-1", address(endpoint(t, "first")))
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	text := configuration(listen, address(disc))
	put(t, path, text)
	p, _ := start(t, path, "")
	asks := func(method, class string) int {
		req, _ := http.NewRequest(method, "http://"+listen+"/"+class, nil)
		req.Header.Set("X-Call-Id", fmt.Sprintf("%016x", lastAsk.Add(1)))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	eventually(t, "an answer", func() bool { return asks("GET", "view") == 200 })
	if got := asks("POST", "pledge"); got != 404 {
		t.Fatalf("a class that is not there: %d, want 404", got)
	}
	pledge := `,{"Name":"pledge","AimS":1,"DeadlineS":2,"Semantics":"single_shot","Worth":1}`
	more := strings.Replace(text, `"Worth":1}]`, `"Worth":1}`+pledge+`]`, 1)
	more = strings.Replace(more, `"TryLimit":3`, `"TryLimit":2`, 1)
	if more == text {
		t.Fatal("the texts do not fit")
	}
	reload := func(text string) {
		put(t, path, text)
		p.reload <- syscall.SIGHUP
		for len(p.reload) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for name, text := range map[string]string{
		"empty":                  "",
		"cut off":                more[:len(more)*2/3],
		"no attempts":            strings.Replace(more, `"TryLimit":2`, `"TryLimit":0`, 1),
		"attempts missing":       strings.Replace(more, `"TryLimit":2,`, ``, 1),
		"a deadline of 0":        strings.Replace(more, `"AimS":1,"DeadlineS":2,"Semantics":"single_shot"`, `"AimS":1,"DeadlineS":0,"Semantics":"single_shot"`, 1),
		"a deadline below 0":     strings.Replace(more, `"DeadlineS":2,"Semantics":"single_shot"`, `"DeadlineS":-1,"Semantics":"single_shot"`, 1),
		"a deadline missing":     strings.Replace(more, `"DeadlineS":2,"Semantics":"single_shot"`, `"Semantics":"single_shot"`, 1),
		"semantics missing":      strings.Replace(more, `,"Semantics":"single_shot"`, ``, 1),
		"the worth missing":      strings.Replace(more, `"single_shot","Worth":1`, `"single_shot"`, 1),
		"classes missing":        strings.Replace(more, `"RequestClasses"`, `"Other"`, 1),
		"obligations missing":    strings.Replace(more, `"DrainGraceS":2`, `"Other":2`, 1),
		"limits as they are not": strings.Replace(more, `"memory_mb":64`, `"memory_mb":0`, 1),
	} {
		if text == more {
			t.Fatalf("%s: the text is whole", name)
		}
		reload(text)
		if got := asks("POST", "pledge"); got != 404 {
			t.Errorf("%s: %d for a class of a broken file, want 404", name, got)
		}
	}
	reload(more)
	eventually(t, "the new class", func() bool { return asks("POST", "pledge") == 200 })
	if got := asks("GET", "pledge"); got != 400 {
		t.Errorf("GET for a class that must not be repeated: %d, want 400", got)
	}
	// The same name with a stricter effect, and one class gone.
	reload(strings.Replace(strings.Replace(more, `"Semantics":"free"`, `"Semantics":"single_shot"`, 1), pledge, "", 1))
	eventually(t, "a stricter class", func() bool { return asks("GET", "view") == 400 && asks("POST", "view") == 200 })
	if got := asks("POST", "pledge"); got != 404 {
		t.Errorf("a class that is gone: %d, want 404", got)
	}
	p.finish(t)
}
