package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
)

// Fields of the query by which a request tells a scriptedEndpoint what to do. Times are in milliseconds.
const (
	queryWork       = "work"  // time before the response
	queryReset      = "reset" // time from the effect until the connection is reset; for first attempts only
	queryBodyPause  = "body"  // pause after each piece of the body; for later attempts only
	querySize       = "size"  // bytes of a response of unknown length
	queryParts      = "parts" // of the response
	queryPartPause  = "pause" // between two parts
	queryUntilClose = "close" // 1: the end of the connection is the end of the response
)

// bodyPieceBytes is how much of a body a scriptedEndpoint reads between two pauses.
const bodyPieceBytes = 64 << 10

// scriptedEndpoint is an endpoint that treats each request as its query says. Endpoints that share an
// effectRecorder deduplicate together.
type scriptedEndpoint struct {
	listener net.Listener
	effects  *effectRecorder
}

// effectRecorder deduplicates requests by key and counts their effects. Without a key each run is an effect.
type effectRecorder struct {
	window time.Duration // how long a key is remembered after its effect

	mu       sync.Mutex
	attempts map[string]int // that have begun to arrive, by request id
	effects  map[string]int // by key or request id
	known    map[string]time.Time
}

func newEffectRecorder(window time.Duration) *effectRecorder {
	return &effectRecorder{window: window, attempts: map[string]int{}, effects: map[string]int{}, known: map[string]time.Time{}}
}

// beginAttempt counts an attempt and reports whether it is the first with this id.
func (e *effectRecorder) beginAttempt(id string) (first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[id]++
	return e.attempts[id] == 1
}

// run records that a request has arrived completely.
func (e *effectRecorder) run(id, key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if key == "" {
		e.effects[id]++
		return
	}
	if until, known := e.known[key]; known && time.Now().Before(until) {
		return
	}
	e.known[key] = time.Now().Add(e.window)
	e.effects[key]++
}

// count returns the number of effects of a key or request id.
func (e *effectRecorder) count(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.effects[name]
}

func startScriptedEndpoint(effects *effectRecorder) (*scriptedEndpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &scriptedEndpoint{listener: l, effects: effects}
	go acceptloop.Serve(l, func(c net.Conn) { go e.serveConn(c) })
	return e, nil
}

func (e *scriptedEndpoint) address() string { return e.listener.Addr().String() }

func (e *scriptedEndpoint) close() { e.listener.Close() }

func (e *scriptedEndpoint) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !e.serve(c, r) {
			return
		}
	}
}

// serve serves one request and reports whether the connection goes on.
func (e *scriptedEndpoint) serve(c net.Conn, r *http.Request) bool {
	query := r.URL.Query()
	number := func(name string) int {
		n, _ := strconv.Atoi(query.Get(name)) // 0 if it is missing
		return n
	}
	pause := func(name string) { time.Sleep(time.Duration(number(name)) * time.Millisecond) }
	id, key := r.Header.Get("X-Call-Id"), r.Header.Get("Idempotency-Key")
	first := e.effects.beginAttempt(id)
	for {
		_, err := io.CopyN(io.Discard, r.Body, bodyPieceBytes)
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
		if !first {
			pause(queryBodyPause)
		}
	}
	e.effects.run(id, key)
	if first && query.Has(queryReset) {
		pause(queryReset)
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	pause(queryWork)
	if size := number(querySize); size > 0 {
		return writeUnsizedResponse(c, size, number(queryParts), time.Duration(number(queryPartPause))*time.Millisecond, query.Has(queryUntilClose))
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	return err == nil
}

// writeUnsizedResponse writes a response of unknown length in parts and reports whether the connection goes on.
func writeUnsizedResponse(c net.Conn, size, parts int, pause time.Duration, untilClose bool) bool {
	field, format, end := "Transfer-Encoding: chunked", "%x\r\n%s\r\n", "0\r\n\r\n"
	if untilClose {
		field, format, end = "Connection: close", "%[2]s", ""
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n", field); err != nil {
		return false
	}
	for i := range parts {
		part := strings.Repeat("x", (i+1)*size/parts-i*size/parts)
		if _, err := fmt.Fprintf(c, format, len(part), part); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(c, end)
	return err == nil && !untilClose
}
