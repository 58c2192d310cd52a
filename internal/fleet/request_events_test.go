package fleet

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// newLinks returns both ends of a link.
func newLinks(t *testing.T) (previous, successor *HandoverLink) {
	t.Helper()
	address := &net.UnixAddr{Name: filepath.Join(t.TempDir(), "link"), Net: "unixpacket"}
	l, err := net.ListenUnix("unixpacket", address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.DialUnix("unixpacket", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	previous, successor = newHandoverLink(accepted), newHandoverLink(c)
	t.Cleanup(previous.Close)
	t.Cleanup(successor.Close)
	return previous, successor
}

// Connections that the previous process has handed over arrive although it has ended without reading the
// successor's events.
func TestUnreadEventsLoseNoConnection(t *testing.T) {
	previous, successor := newLinks(t)
	l := listen(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	if err := successor.send(eventsMessage, appendEvent(nil, RequestEvent{"a", true}), nil, sendTimeout); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := previous.SendConn(caller, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	previous.Close()
	received := 0
	successor.ReceiveConns(func(c net.Conn, buffered []byte) {
		received++
		c.Close()
	})
	if received != 3 {
		t.Errorf("%d connections were received, want 3", received)
	}
}

// Events arrive in their order, and none waits for the other process.
func TestRequestEventsArrive(t *testing.T) {
	previous, successor := newLinks(t)
	events := NewRequestEvents()
	var want []RequestEvent
	for i := range 3 * maxQueuedEvents {
		event := RequestEvent{fmt.Sprint(i, strings.Repeat("x", 50)), i%2 == 0}
		events.Add(event) // drops the later ones
		if i < maxQueuedEvents {
			want = append(want, event)
		}
	}
	var got []RequestEvent
	all := make(chan struct{})
	successor.HandleRequestEvents(func(event RequestEvent) {
		if got = append(got, event); len(got) == len(want) {
			close(all)
		}
	})
	go successor.ReceiveConns(func(net.Conn, []byte) {})
	go events.Send(previous)
	select {
	case <-all:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the events")
	}
	if !slices.Equal(got, want) {
		t.Error("other events arrived than were sent")
	}
}
