package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gorselink/internal/acceptloop"
	"gorselink/internal/discovery"
	"gorselink/internal/fakeserver"
)

const (
	// finalResponseSlack is how long after its budget a request may get its final response.
	finalResponseSlack = 550 * time.Millisecond
	// earlySlack is how long before the end of its budget a request may fail although its endpoint
	// has not.
	earlySlack = 100 * time.Millisecond
	// slowEndpointHang ends the responses of endpoints that hang.
	slowEndpointHang = 8 * time.Second
)

// responseFraming is how the end of a response is marked.
type responseFraming string

const (
	byLength responseFraming = "length"
	byChunks responseFraming = "chunked"
	byClose  responseFraming = "close"
)

func (f responseFraming) head(size int) string {
	switch f {
	case byLength:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
	case byChunks:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
}

// writePiece writes a part of the body. An empty part ends it.
func (f responseFraming) writePiece(w io.Writer, piece []byte) error {
	if f != byChunks {
		_, err := w.Write(piece)
		return err
	}
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece)
	return err
}

// responsePace is when an endpoint writes the parts of a body after the head.
type responsePace struct {
	silence time.Duration // before the first part
	parts   int
	pause   time.Duration // between parts
	hang    bool          // after the first part
	once    bool          // later attempts of the same request get the response at once
}

var responsePaces = map[string]responsePace{
	"lateBody": {silence: 800 * time.Millisecond, parts: 6, pause: 30 * time.Millisecond},
	"lumps":    {parts: 4, pause: 620 * time.Millisecond},
	"steady":   {parts: 40, pause: 45 * time.Millisecond},
	"crawl":    {parts: 128, pause: 40 * time.Millisecond},
	"hang":     {parts: 3, hang: true},
	"hangOnce": {parts: 3, hang: true, once: true},
}

// slowResponseCase is one request of TestSlowResponses.
type slowResponseCase struct {
	class   string
	framing responseFraming
	size    int // of the body
	pace    string
	budget  time.Duration
	// whole is set if the whole response has to arrive. Otherwise the request fails at the end of
	// its budget.
	whole bool
}

func (c *slowResponseCase) path() string {
	return fmt.Sprintf("/%s/%s/%d/%s", c.class, c.framing, c.size, c.pace)
}

func slowResponseCases() (all []slowResponseCase) {
	const long, short = 3 * time.Second, 800 * time.Millisecond
	for _, class := range []string{"view", "pay"} {
		for _, framing := range []responseFraming{byLength, byChunks, byClose} {
			for _, size := range []int{2_000, 50_000, 150_000, 600_000} {
				all = append(all,
					slowResponseCase{class, framing, size, "lateBody", long, true},
					slowResponseCase{class, framing, size, "lumps", long, true},
					slowResponseCase{class, framing, size, "steady", long, true})
			}
			// The first bytes of these are in time, and the endpoint goes on.
			for _, pace := range []string{"lateBody", "lumps", "steady"} {
				all = append(all, slowResponseCase{class, framing, 150_000, pace, short, true})
			}
			// 80 bytes and 1 kB at a time, long after the end of the budget.
			if framing != byLength {
				all = append(all, slowResponseCase{class, framing, 10_000, "crawl", short, true}, slowResponseCase{class, framing, 2_000, "lumps", short, true})
			}
			all = append(all, slowResponseCase{class, framing, 128_000, "crawl", 480 * time.Millisecond, true})
			all = append(all, slowResponseCase{class, framing, 2_000, "hang", 1500 * time.Millisecond, false})
		}
	}
	return all
}

// slowEndpoints counts the attempts that have reached any of the endpoints.
type slowEndpoints struct {
	mu       sync.Mutex
	attempts map[string]int // by id
}

// count counts an attempt and returns how many have come with its id.
func (e *slowEndpoints) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[id]++
	return e.attempts[id]
}

// serve writes the response that the path of the request asks for.
func (e *slowEndpoints) serve(conn net.Conn, r *http.Request) error {
	fields := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	framing, pace := responseFraming(fields[1]), responsePaces[fields[3]]
	if attempt := e.count(r.Header.Get("X-Call-Id")); attempt > 1 && pace.once {
		pace = responsePace{parts: 1}
	}
	size, err := strconv.Atoi(fields[2])
	if err != nil {
		return err
	}
	io.WriteString(conn, framing.head(size))
	time.Sleep(pace.silence)
	body := slowBody(size)
	for i := range pace.parts {
		if i > 0 {
			time.Sleep(pace.pause)
		}
		if err := framing.writePiece(conn, body[i*size/pace.parts:(i+1)*size/pace.parts]); err != nil {
			return err
		}
		if pace.hang {
			time.Sleep(slowEndpointHang)
			return errors.New("the endpoint has hung")
		}
	}
	if framing == byClose {
		return io.EOF
	}
	if framing == byChunks {
		return framing.writePiece(conn, nil)
	}
	return nil
}

func slowBody(size int) []byte { return bytes.Repeat([]byte("0123456789"), size/10) }

// start starts an endpoint and returns its address.
func (e *slowEndpoints) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go acceptloop.Serve(l, func(conn net.Conn) {
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil || e.serve(conn, r) != nil {
					return
				}
			}
		}()
	})
	return l.Addr().String()
}

// send sends the request and checks its response.
func (c *slowResponseCase) send(listen, id string) error {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	method := http.MethodGet
	if c.class == "pay" {
		method = http.MethodPost
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	start := time.Now()
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, c.path(), id, c.budget.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	firstByte := time.Since(start)
	body, err := io.ReadAll(resp.Body)
	took := time.Since(start)
	whole := resp.StatusCode == http.StatusOK && err == nil
	switch {
	case whole != c.whole:
		return fmt.Errorf("status %d after %v, %d of %d bytes after %v, %v; want the whole body: %t", resp.StatusCode, firstByte, len(body), c.size, took, err, c.whole)
	case !whole && (took < c.budget-earlySlack || took > c.budget+finalResponseSlack):
		return fmt.Errorf("status %d, %v after %v, want about %v", resp.StatusCode, err, took, c.budget)
	case whole && !bytes.Equal(body, slowBody(c.size)):
		return errors.New("the body differs")
	case whole && firstByte > c.budget+finalResponseSlack:
		return fmt.Errorf("the first byte came after %v, want %v at most", firstByte, c.budget)
	}
	return nil
}

// A response that an endpoint writes slowly or with pauses is not cut off, whatever its framing and
// length and the class of its request, and a request whose endpoint hangs inside the response does not
// fail before the end of its budget.
func TestSlowResponses(t *testing.T) { runSlowResponses(t, slowResponseCases()) }

// While an endpoint hangs inside its response, another attempt is made beside it if the class of the
// request allows that.
func TestAttemptBesidePausedResponse(t *testing.T) {
	var cases []slowResponseCase
	for _, framing := range []responseFraming{byLength, byChunks, byClose} {
		cases = append(cases, slowResponseCase{"view", framing, 2_000, "hangOnce", 1500 * time.Millisecond, true},
			slowResponseCase{"pay", framing, 2_000, "hangOnce", 1500 * time.Millisecond, false})
	}
	runSlowResponses(t, cases)
}

// runSlowResponses sends the requests of all cases to one sidecar.
func runSlowResponses(t *testing.T, cases []slowResponseCase) {
	var list []fakeserver.Entry
	endpoints := &slowEndpoints{attempts: map[string]int{}}
	for i := range 12 {
		list = append(list, fakeserver.Entry{Name: fmt.Sprintf("s-%d", i), Address: endpoints.start(t), Zone: "a", Status: string(discovery.InService)})
	}
	agent, err := fakeserver.StartAgent(list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	listen, path := isolatedAddr(t), filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.NewReplacer(
		`"sockets":256`, `"sockets":1024`,
		`"TryLimit":3`, `"TryLimit":3,"MayDuplicate":true`,
		`"RampTimeS":5`, `"RampTimeS":0`,
		`"DeadlineS":2,"Semantics":"free","Worth":1}`, `"DeadlineS":4,"Semantics":"free","Worth":1},{"Name":"pay","AimS":1,"DeadlineS":4,"Semantics":"single_shot","Worth":1}`,
	).Replace(configJSON(listen, agent.Addr())))
	startInstance(t, path, t.TempDir())
	var all sync.WaitGroup
	for i, c := range cases {
		all.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			if err := c.send(listen, id); err != nil {
				t.Errorf("%s, budget %v: %v", c.path(), c.budget, err)
			}
			if attempts := endpoints.count(id) - 1; c.class == "pay" && attempts != 1 {
				t.Errorf("%s, budget %v: %d attempts, want 1", c.path(), c.budget, attempts)
			}
		})
		time.Sleep(5 * time.Millisecond) // the requests do not all begin at the same time
	}
	all.Wait()
}
