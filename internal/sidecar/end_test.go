package sidecar

import (
	"bufio"
	"context"
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

// Where requests may take 18 s, SIGKILL still comes 3.7 s after SIGTERM: all that
// was taken before it and since has its final answer by then, and the process is
// gone. Seen in the full fleet's roll, where the process reckoned with 18.9 s: 92
// requests of a day were lost with it.
func TestEndsBeforeTheKillWhereDeadlinesAreLong(t *testing.T) {
	var begun atomic.Int64
	hung, cancel := context.WithCancel(context.Background())
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		begun.Add(1)
		select {
		case <-hung.Done():
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(node.Close)
	t.Cleanup(cancel)
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(configuration(listen, address(told(t, "s-1", address(node)))), `"DeadlineS":2,"Semantics":"free","Worth":1}`,
		`"DeadlineS":18,"Semantics":"free","Worth":1},{"Name":"pay","AimS":1,"DeadlineS":18,"Semantics":"single_shot","Worth":1}`, 1)
	put(t, path, text)
	p, _ := start(t, path, t.TempDir())

	const each = 8 // of the two classes, and of a body that streams, before and after SIGTERM
	type end struct {
		kind string
		resp *http.Response
		err  error
	}
	ends := make(chan end, 6*each)
	callers := func() {
		for n := range 3 * each {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			kind := []string{"safe", "unsafe", "long"}[n%3]
			head := fmt.Sprintf("X-Call-Id: %016x\r\nX-Budget-Ms: 18000\r\n", lastAsk.Add(1))
			switch kind {
			case "safe":
				fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\n%s\r\n", head)
			case "unsafe":
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%sContent-Length: 2\r\n\r\nok", head)
			default: // more than there is room for beside the others, so that it streams
				const long = 6 << 20
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", head, long)
				go c.Write(make([]byte, long))
			}
			go func() {
				c.SetReadDeadline(time.Now().Add(patience))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				ends <- end{kind, resp, err}
			}()
		}
	}
	callers()
	eventually(t, "all requests are out", func() bool { return begun.Load() == 3*each })
	told := time.Now()
	p.stop()
	callers()
	for range 6 * each {
		e := <-ends
		took := time.Since(told)
		if e.err != nil {
			t.Errorf("a %s request has no answer after %v: %v", e.kind, took, e.err)
			continue
		}
		if e.kind != "safe" && begun.Load() >= 6*each && e.resp.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("a %s request that may have run is refused", e.kind)
		}
		if took > killLongest+killTime {
			t.Errorf("a %s request is answered %v after SIGTERM, when the process may be dead", e.kind, took)
		}
	}
	select {
	case err := <-p.ended:
		if took := time.Since(told); err != nil || took > killLongest+killTime {
			t.Errorf("the process ends %v after SIGTERM: %v", took, err)
		}
	case <-time.After(patience):
		t.Error("the process does not end")
	}
}

// SIGTERM finds connections in every state. What is whole, or becomes whole while the
// connection stands, is answered; what is not is told so or closed; and whoever connects
// while the front still deals out connections here is served.
func TestEndFindsEveryState(t *testing.T) {
	release := make(chan struct{})
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/view/held" {
			<-release
		}
		io.WriteString(w, r.Header.Get("X-Call-Id"))
	}))
	t.Cleanup(node.Close)
	listen, path := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
	text := strings.Replace(configuration(listen, address(told(t, "s-1", address(node)))), `"Worth":1}`,
		`"Worth":1},{"Name":"pay","AimS":1,"DeadlineS":2,"Semantics":"single_shot","Worth":1}`, 1)
	put(t, path, text)
	p, _ := start(t, path, t.TempDir())

	type client struct {
		net.Conn
		in *bufio.Reader
		id string
	}
	dial := func() *client {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		return &client{c, bufio.NewReader(c), fmt.Sprintf("%016x", lastAsk.Add(1))}
	}
	get := func(c *client, path string) {
		c.id = fmt.Sprintf("%016x", lastAsk.Add(1))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\n\r\n", path, c.id)
	}
	served := func(what string, c *client) {
		t.Helper()
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != http.StatusOK || string(body) != c.id {
			t.Errorf("%s: %d %q, want its answer", what, resp.StatusCode, body)
		}
	}

	silent, idle, head, body, out, late := dial(), dial(), dial(), dial(), dial(), dial()
	get(idle, "/view")
	served("before", idle)
	get(late, "/view")
	served("before", late)
	fmt.Fprintf(head, "GET /view HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\n", head.id)
	fmt.Fprintf(body, "POST /pay HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nContent-Length: 4\r\n\r\nab", body.id)
	get(out, "/view/held")
	eventually(t, "a request is out", func() bool { return p.pool.OpenRequests() == 1 })
	told := time.Now()
	p.stop()
	eventually(t, "the front is told not to come", func() bool {
		resp, err := http.Get("http://" + listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	anew := dial()
	get(anew, "/view")
	served("on a connection that came after SIGTERM", anew)
	get(late, "/view")
	served("on a connection that stayed", late)
	io.WriteString(head, "\r\n")
	served("whose head was cut by SIGTERM", head)
	io.WriteString(body, "cd")
	served("whose body was cut by SIGTERM", body)
	never := dial() // half a request, and nothing more
	io.WriteString(never, "POST /pay HTTP/1.1\r\nHost: x\r\n")
	close(release)
	served("that was out", out)
	for what, c := range map[string]*client{"silent": silent, "idle": idle, "kept": late, "half": never} {
		if _, err := c.in.ReadByte(); err == nil && c != never { // which may be told so
			t.Errorf("a %s connection brings more than it is owed", what)
		}
	}
	select {
	case err := <-p.ended:
		if took := time.Since(told); err != nil || took > 2*time.Second+killTime {
			t.Errorf("the process ends %v after SIGTERM: %v", took, err)
		}
	case <-time.After(patience):
		t.Error("the process does not end")
	}
}
