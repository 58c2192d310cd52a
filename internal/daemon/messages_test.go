package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
)

// splitDelay separates two parts of a message, so that they are received separately.
const splitDelay = time.Millisecond

// A request or response may arrive in any two parts or in single bytes, and is parsed the
// same.
func TestMessagesSplitAtAnyByte(t *testing.T) {
	const request = "POST /a%2Db?q HTTP/1.1\r\nHost: a.example.org\r\nX-One: 1\r\nContent-Length: 5\r\n\r\nhello"
	const response = "HTTP/1.1 201 Made\r\nX-Two: 2\r\nContent-Length: 2\r\n\r\nok"
	var mu sync.Mutex
	responseSplitAt := 0 // offset at which the response is split; 0 for none, -1 for every byte
	write := func(c net.Conn, text string, at int) {
		switch {
		case at == 0:
			io.WriteString(c, text)
		case at > 0:
			io.WriteString(c, text[:at])
			time.Sleep(splitDelay)
			io.WriteString(c, text[at:])
		default:
			for i := range len(text) {
				io.WriteString(c, text[i:i+1])
				time.Sleep(splitDelay / 4)
			}
		}
	}
	var received []string
	node := startRawNode(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			mu.Lock()
			received = append(received, fmt.Sprintf("%s %s %s %s %s", req.Method, req.RequestURI, req.Host, req.Header.Get("X-One"), body))
			at := responseSplitAt
			mu.Unlock()
			write(c, response, at)
		}
	})
	text := strings.Replace(baseConfig, "128 MiB", "512 MiB", 1) + fmt.Sprintf("[pools.a]\nnodes = [%q]\n", node) + routeText("a.example.org", "a")
	addr := startDaemon(t, text).publicAddr(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	exchange := func(what string, at, responseAt int) {
		t.Helper()
		mu.Lock()
		responseSplitAt, received = responseAt, nil
		mu.Unlock()
		conn.SetDeadline(time.Now().Add(testTimeout))
		write(conn, request, at)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		body, err := io.ReadAll(resp.Body)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || resp.StatusCode != 201 || resp.Header.Get("X-Two") != "2" || string(body) != "ok" {
			t.Fatalf("%s: %d %q, %v", what, resp.StatusCode, body, err)
		}
		if len(received) != 1 || received[0] != "POST /a-b?q a.example.org 1 hello" {
			t.Fatalf("%s: the node received %q", what, received)
		}
	}
	for at := 1; at < len(request); at++ {
		exchange(fmt.Sprintf("request split at %d", at), at, 0)
	}
	for at := 1; at < len(response); at++ {
		exchange(fmt.Sprintf("response split at %d", at), 0, at)
	}
	exchange("both in single bytes", -1, -1)
}

// Buffers and connections are reused without leaking data from one caller's request or
// response to another caller. The callers send paths, fields and bodies of varying lengths.
func TestNoDataLeaksBetweenCallers(t *testing.T) {
	nodes := startNodes(t, "n", 3, fakeserver.NodeConfig{Respond: func(req *http.Request, body []byte) fakeserver.Response {
		return fakeserver.Response{
			Body:   req.URL.Path + "|" + req.Header.Get("X-Mine") + "|" + string(body),
			Header: http.Header{"X-Yours": {req.Header.Get("X-Mine")}},
		}
	}})
	text := strings.Replace(baseConfig, "128 MiB", "512 MiB", 1) + poolText("a", nodeList(nodes)) + routeText("a.example.org", "a")
	addr := startDaemon(t, text).publicAddr(t)
	var callers sync.WaitGroup
	for k := range 100 {
		callers.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			in := bufio.NewReader(conn)
			for n := range 20 {
				id := fmt.Sprintf("%d-%d", k, n)
				path := "/" + id + strings.Repeat("p", (k*7+n*13)%300)
				body := bytes.Repeat([]byte(id+";"), (k*31+n*97)%2000)
				method := "POST"
				if n%3 == 0 {
					method, body = "GET", nil
				}
				var out bytes.Buffer
				fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: a.example.org\r\nX-Mine: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, id, len(body), body)
				if _, err := conn.Write(out.Bytes()); err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				if want := path + "|" + id + "|" + string(body); err != nil || resp.StatusCode != 200 || string(got) != want || resp.Header.Get("X-Yours") != id {
					t.Errorf("%s: %d, %v, %.100q, want %.100q", id, resp.StatusCode, err, got, want)
					return
				}
			}
		})
	}
	callers.Wait()
}
