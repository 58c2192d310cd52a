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

	"gorselink/internal/standin"
)

// pause is between two parts of a message, so that they come apart.
const pause = time.Millisecond

// TestHeadSplitAnywhere: a head may come in any two parts, a caller's as well as
// a node's, and in single bytes; it reads the same.
func TestHeadSplitAnywhere(t *testing.T) {
	const request = "POST /a%2Db?q HTTP/1.1\r\nHost: a.example.org\r\nX-One: 1\r\nContent-Length: 5\r\n\r\nhello"
	const answer = "HTTP/1.1 201 Made\r\nX-Two: 2\r\nContent-Length: 2\r\n\r\nok"
	var mu sync.Mutex
	splitAt := 0 // of the answer; 0 for none, -1 for every byte
	write := func(c net.Conn, text string, at int) {
		switch {
		case at == 0:
			io.WriteString(c, text)
		case at > 0:
			io.WriteString(c, text[:at])
			time.Sleep(pause)
			io.WriteString(c, text[at:])
		default:
			for i := range len(text) {
				io.WriteString(c, text[i:i+1])
				time.Sleep(pause / 4)
			}
		}
	}
	var seen []string
	node := rawNode(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			mu.Lock()
			seen = append(seen, fmt.Sprintf("%s %s %s %s %s", req.Method, req.RequestURI, req.Host, req.Header.Get("X-One"), body))
			at := splitAt
			mu.Unlock()
			write(c, answer, at)
		}
	})
	text := strings.Replace(head, "128 MiB", "512 MiB", 1) + fmt.Sprintf("[pools.a]\nnodes = [%q]\n", node) + routeText("a.example.org", "a")
	addr := start(t, text).at(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	ask := func(what string, at, answerAt int) {
		t.Helper()
		mu.Lock()
		splitAt, seen = answerAt, nil
		mu.Unlock()
		conn.SetDeadline(time.Now().Add(patience))
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
		if len(seen) != 1 || seen[0] != "POST /a-b?q a.example.org 1 hello" {
			t.Fatalf("%s: the node has seen %q", what, seen)
		}
	}
	for at := 1; at < len(request); at++ {
		ask(fmt.Sprintf("request split at %d", at), at, 0)
	}
	for at := 1; at < len(answer); at++ {
		ask(fmt.Sprintf("answer split at %d", at), 0, at)
	}
	ask("both in single bytes", -1, -1)
}

// TestNoBytesCross: buffers, heads and connections are used again, and no caller
// ever sees a byte of another's: 100 callers at once, each with a body, a path
// and fields of its own, of lengths that grow and shrink.
func TestNoBytesCross(t *testing.T) {
	nodes := startNodes(t, "n", 3, standin.NodeConfig{Answer: func(req *http.Request, body []byte) standin.Answer {
		return standin.Answer{
			Body:   req.URL.Path + "|" + req.Header.Get("X-Mine") + "|" + string(body),
			Header: http.Header{"X-Yours": {req.Header.Get("X-Mine")}},
		}
	}})
	text := strings.Replace(head, "128 MiB", "512 MiB", 1) + poolText("a", list(nodes)) + routeText("a.example.org", "a")
	addr := start(t, text).at(t)
	var callers sync.WaitGroup
	for k := range 100 {
		callers.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			in := bufio.NewReader(conn)
			for n := range 20 {
				mine := fmt.Sprintf("%d-%d", k, n)
				path := "/" + mine + strings.Repeat("p", (k*7+n*13)%300)
				body := bytes.Repeat([]byte(mine+";"), (k*31+n*97)%2000)
				method := "POST"
				if n%3 == 0 {
					method, body = "GET", nil
				}
				var out bytes.Buffer
				fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: a.example.org\r\nX-Mine: %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, mine, mine, len(body), body)
				if _, err := conn.Write(out.Bytes()); err != nil {
					t.Errorf("%s: %v", mine, err)
					return
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("%s: %v", mine, err)
					return
				}
				got, err := io.ReadAll(resp.Body)
				if want := path + "|" + mine + "|" + string(body); err != nil || resp.StatusCode != 200 || string(got) != want || resp.Header.Get("X-Yours") != mine {
					t.Errorf("%s: %d, %v, %.100q, want %.100q", mine, resp.StatusCode, err, got, want)
					return
				}
			}
		})
	}
	callers.Wait()
}
