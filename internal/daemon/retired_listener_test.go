package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gorselink/internal/fakeserver"
	"gorselink/internal/socketstate"
)

// innerListener returns the configuration of a second listener. Listeners with another idle timeout or address
// replace each other.
func innerListener(addr string, idleSeconds int) string {
	return fmt.Sprintf("[listeners.inner]\naddress = %q\nidle_timeout = \"%ds\"\n", addr, idleSeconds)
}

// openRequest sends text to addr.
func openRequest(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, text)
	return conn
}

// startWithInner starts a daemon with a listener named inner at addr, before a node that does not respond yet.
// common is the part of the configuration that reloads keep.
func startWithInner(t *testing.T, addr string) (d *Daemon, node *fakeserver.Node, common string) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{})
	common = poolText("a", nodeList(nodes)) + routeText("", "a")
	d = startDaemon(t, baseConfig, innerListener(addr, 9), common)
	nodes[0].SetMode(fakeserver.ModeFreeze)
	return d, nodes[0], common
}

// checkResponse checks that a response has been sent, which must be before the exit, and its status.
func checkResponse(t *testing.T, what string, conn net.Conn, wanted func(status int) bool) {
	t.Helper()
	if !socketstate.HasPendingData(conn) {
		t.Errorf("%s: no response before the end of the drain", what)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || !wanted(resp.StatusCode) {
		t.Errorf("%s: response %v, error %v", what, resp, err)
	}
}

// reloadsOfInner are reloads that retire the listener named inner, by name: the configurations of the listener
// that follow each other.
func reloadsOfInner(addr, otherAddr string) map[string][]string {
	return map[string][]string{
		"replaced":           {innerListener(addr, 5)},
		"removed":            {""},
		"moved":              {innerListener(otherAddr, 9)},
		"replaced and moved": {innerListener(addr, 5), innerListener(addr, 6), innerListener(otherAddr, 6), ""},
	}
}

// A request that is open on a listener which reloads have replaced or removed gets the response of its endpoint
// before the process exits.
func TestDrainWaitsForRetiredListeners(t *testing.T) {
	for name := range reloadsOfInner("", "") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := freeAddr(t)
			d, node, common := startWithInner(t, addr)
			configs := append([]string{innerListener(addr, 9)}, reloadsOfInner(addr, freeAddr(t))[name]...)
			var conns []net.Conn
			for i, config := range configs { // a request on each generation that is retired
				if i > 0 {
					applyConfig(t, d, baseConfig, config, common)
				}
				if i == len(configs)-1 || d.Addr("inner").String() != addr {
					continue
				}
				conns = append(conns, openRequest(t, addr, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
				eventually(t, "the request is at the node", func() bool { return node.OpenRequests() == len(conns) })
			}
			drained := make(chan int, 1)
			go func() { drained <- d.Drain(0, time.Now().Add(testTimeout)) }()
			eventually(t, "the daemon drains", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.closed
			})
			if _, err := d.Apply(parseConfig(t, baseConfig, common)); err == nil {
				t.Error("a configuration was applied during the drain")
			}
			select {
			case <-drained:
				t.Fatal("the drain ended with requests open")
			case <-time.After(100 * time.Millisecond):
			}
			node.SetMode(fakeserver.ModeServe)
			if unanswered := <-drained; unanswered != 0 {
				t.Errorf("%d requests without a response, want none", unanswered)
			}
			for i, conn := range conns {
				checkResponse(t, fmt.Sprintf("generation %d", i+1), conn, func(status int) bool { return status == http.StatusOK })
			}
		})
	}
}

// Requests on a listener that a reload has retired get an error response at the deadline of the drain, also those
// that are still arriving.
func TestDrainDeadlineAppliesToRetiredListeners(t *testing.T) {
	for name := range reloadsOfInner("", "") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := freeAddr(t)
			d, node, common := startWithInner(t, addr)
			var conns []net.Conn
			for _, text := range []string{
				"GET / HTTP/1.1\r\nHost: x\r\n",
				"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf",
				"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
			} {
				conns = append(conns, openRequest(t, addr, text))
			}
			eventually(t, "the complete request is at the node and the others are being read", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return node.OpenRequests() == 1 && d.listeners["inner"].server.OpenRequests().Arriving == 2
			})
			for _, config := range reloadsOfInner(addr, freeAddr(t))[name] {
				applyConfig(t, d, baseConfig, config, common)
			}
			if unanswered := d.Drain(0, time.Now().Add(500*time.Millisecond)); unanswered != 0 {
				t.Errorf("%d requests without a response, want none", unanswered)
			}
			for i, conn := range conns {
				checkResponse(t, fmt.Sprintf("request %d", i), conn, func(status int) bool { return status >= 400 })
			}
		})
	}
}

// A drain leaves the requests of an earlier configuration their longer deadline.
func TestDrainDeadlineCoversEarlierConfiguration(t *testing.T) {
	const longDeadline = 8 * time.Second
	classes := func(deadline time.Duration) string {
		return fmt.Sprintf("[classes.default]\ndeadline = %q\n", deadline)
	}
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{})
	common := poolText("a", nodeList(nodes)) + routeText("", "a")
	d := startDaemon(t, baseConfig, classes(longDeadline), common)
	for range 2 {
		applyConfig(t, d, baseConfig, classes(time.Second), common)
	}
	if left := time.Until(d.DrainDeadline(0)); left < longDeadline {
		t.Errorf("the drain ends after %v, want no less than %v after the reload", left, longDeadline)
	}
	applyConfig(t, d, baseConfig, classes(2*longDeadline), common)
	if left := time.Until(d.DrainDeadline(0)); left < 2*longDeadline {
		t.Errorf("the drain ends after %v, want no less than the present deadline %v", left, 2*longDeadline)
	}
}

// A retired listener is forgotten once its connections are closed.
func TestDrainedListenersAreForgotten(t *testing.T) {
	nodes := startNodes(t, "n", 1, fakeserver.NodeConfig{})
	addr := freeAddr(t)
	common := poolText("a", nodeList(nodes)) + routeText("", "a")
	d := startDaemon(t, baseConfig, innerListener(addr, 9), common)
	openRequest(t, addr, "")
	applyConfig(t, d, baseConfig, innerListener(addr, 5), common)
	eventually(t, "no retired listener is left", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.retiredListeners) == 0
	})
}
