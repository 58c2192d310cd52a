package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 20 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// A change made in one process is effective in another one and in the next one, even for
// endpoint ids that are not valid file names. An unusable directory is an error.
func TestStateIsSharedBetweenProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "operator")
	states := make(chan OperatorState, 100)
	a, err := OpenOperatorStore(dir, func(OperatorState) {})
	if err != nil {
		t.Fatal(err)
	}
	b, err := OpenOperatorStore(dir, func(s OperatorState) { states <- s })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	defer close(done)
	go b.Watch(done)
	waitFor := func(what string, ok func(OperatorState) bool) {
		t.Helper()
		for end := time.After(testTimeout); ; {
			select {
			case s := <-states:
				if ok(s) {
					return
				}
			case <-end:
				t.Fatalf("timed out waiting for: %s", what)
			}
		}
	}
	ids := []string{"s-1", "..", "a/b", "%2F", "out-", "ä é", "drained"}
	for _, id := range ids {
		if err := a.SetDisabled(id, true); err != nil {
			t.Fatal(err)
		}
		waitFor(id+" is disabled", func(s OperatorState) bool { return s.Disabled[id] && !s.Drained })
	}
	if err := a.SetDrained(true); err != nil {
		t.Fatal(err)
	}
	waitFor("drained", func(s OperatorState) bool { return s.Drained && len(s.Disabled) == len(ids) })
	c, err := OpenOperatorStore(dir, func(OperatorState) {})
	if err != nil || !c.State().equal(a.State()) {
		t.Errorf("next process: state %+v, error %v, want %+v", c.State(), err, a.State())
	}
	for _, id := range ids {
		if err := c.SetDisabled(id, false); err != nil {
			t.Fatal(err)
		}
	}
	waitFor("all enabled", func(s OperatorState) bool { return len(s.Disabled) == 0 && s.Drained })
	if err := a.SetDisabled(strings.Repeat("x", 2*maxFileNameBytes), true); err == nil || a.State().Disabled[strings.Repeat("x", 2*maxFileNameBytes)] {
		t.Error("an id that is too long for a file name was accepted")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenOperatorStore(filepath.Join(file, "operator"), func(OperatorState) {}); err == nil {
		t.Error("a directory inside a file was accepted")
	}
}

// A multipart state, the listener and a partly read connection are handed over. No process
// and a stale socket are not errors; an invalid state is one.
func TestHandover(t *testing.T) {
	dir := t.TempDir()
	if l, _, err := TakeOver(dir, new(string)); l != nil || err != nil {
		t.Fatalf("no previous process: link %v, error %v", l, err)
	}
	oldListener := listen(t)
	state := strings.Repeat("0123456789", 30_000)
	ready := make(chan *HandoverLink, 1)
	s, err := ListenForSuccessor(dir, oldListener, func() any { return state }, func(*HandoverLink) {}, func(l *HandoverLink) { ready <- l })
	if err != nil {
		t.Fatal(err)
	}
	var got string
	link, listener, err := TakeOver(dir, &got)
	if err != nil || link == nil || got != state || listener.Addr().String() != oldListener.Addr().String() {
		t.Fatalf("%d bytes of state, want %d; error %v", len(got), len(state), err)
	}
	defer listener.Close()
	if err := link.SendReady(); err != nil {
		t.Fatal(err)
	}
	var oldLink *HandoverLink
	select {
	case oldLink = <-ready:
	case <-time.After(testTimeout):
		t.Fatal("the previous process did not receive the ready message")
	}
	// The previous process accepts a connection, reads some bytes and hands it over.
	client, err := net.Dial("tcp", oldListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(client, "read ")
	conn, err := oldListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	buffered := make([]byte, 5)
	if _, err := io.ReadFull(conn, buffered); err != nil {
		t.Fatal(err)
	}
	go link.ReceiveConns(func(c net.Conn, buffered []byte) {
		line, err := bufio.NewReader(c).ReadString('\n')
		fmt.Fprintf(c, "%s%s %v\n", buffered, strings.TrimSpace(line), err)
		c.Close()
	})
	if err := oldLink.SendConn(conn, buffered); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	io.WriteString(client, "and sent later\n")
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "read and sent later <nil>\n" {
		t.Errorf("response %q, error %v", line, err)
	}
	// The listener works in the successor after the previous one has ended.
	oldListener.Close()
	s.Close()
	oldLink.Close()
	select {
	case <-link.Done():
	case <-time.After(testTimeout):
		t.Fatal("the successor did not notice the end of the previous one")
	}
	go net.Dial("tcp", listener.Addr().String())
	if c, err := listener.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	if l, _, err := TakeOver(dir, &got); l != nil || err != nil {
		t.Errorf("stale socket: link %v, error %v, want neither", l, err)
	}
	var number int
	s, err = ListenForSuccessor(dir, listener, func() any { return "text" }, func(*HandoverLink) {}, func(*HandoverLink) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if l, _, err := TakeOver(dir, &number); l != nil || err == nil {
		t.Errorf("state of another type: link %v, error %v, want an error", l, err)
	}
}

// A hung process delays the next one only until the timeout.
func TestTakeOverFromHungProcessTimesOut(t *testing.T) {
	dir := t.TempDir()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, socketName), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	start := time.Now()
	if link, _, err := TakeOver(dir, new(string)); link != nil || err == nil {
		t.Errorf("takeover from a hung process: link %v, error %v, want an error", link, err)
	}
	if d := time.Since(start); d > testTimeout/2 {
		t.Errorf("TakeOver took %v", d)
	}
}
