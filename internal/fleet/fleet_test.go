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

// patience bounds every wait of these tests; a sound run needs far less.
const patience = 20 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// What is said to one process holds in another one, with ids that no file could be
// called by, and in the next one; a folder that cannot be is an error.
func TestMarksAreShared(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "marks")
	heard := make(chan OperatorState, 100)
	a, err := OpenOperatorStore(dir, func(OperatorState) {})
	if err != nil {
		t.Fatal(err)
	}
	b, err := OpenOperatorStore(dir, func(s OperatorState) { heard <- s })
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	defer close(done)
	go b.Watch(done)
	next := func(what string, ok func(OperatorState) bool) {
		t.Helper()
		for end := time.After(patience); ; {
			select {
			case s := <-heard:
				if ok(s) {
					return
				}
			case <-end:
				t.Fatalf("not heard: %s", what)
			}
		}
	}
	ids := []string{"s-1", "..", "a/b", "%2F", "out-", "ä é", "drained"}
	for _, id := range ids {
		if err := a.SetDisabled(id, true); err != nil {
			t.Fatal(err)
		}
		next(id+" is out", func(s OperatorState) bool { return s.Disabled[id] && !s.Drained })
	}
	if err := a.SetDrained(true); err != nil {
		t.Fatal(err)
	}
	next("drained", func(s OperatorState) bool { return s.Drained && len(s.Disabled) == len(ids) })
	c, err := OpenOperatorStore(dir, func(OperatorState) {})
	if err != nil || !c.State().equal(a.State()) {
		t.Errorf("the next process: %+v, %v, want %+v", c.State(), err, a.State())
	}
	for _, id := range ids {
		if err := c.SetDisabled(id, false); err != nil {
			t.Fatal(err)
		}
	}
	next("all are back", func(s OperatorState) bool { return len(s.Disabled) == 0 && s.Drained })
	if err := a.SetDisabled(strings.Repeat("x", 2*maxName), true); err == nil || a.State().Disabled[strings.Repeat("x", 2*maxName)] {
		t.Error("an id that no file can be called by was taken")
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenOperatorStore(filepath.Join(file, "marks"), func(OperatorState) {}); err == nil {
		t.Error("a folder inside a file")
	}
}

// A state of many parts, the listener and a connection with bytes that were read
// of it go over; nobody, a dead socket and a wrong word are told apart.
func TestHandover(t *testing.T) {
	dir := t.TempDir()
	if l, _, err := TakeOver(dir, new(string)); l != nil || err != nil {
		t.Fatalf("nobody there: %v, %v", l, err)
	}
	front := listen(t)
	state := strings.Repeat("0123456789", 30_000)
	ready := make(chan *HandoverLink, 1)
	s, err := ListenForSuccessor(dir, front, func() any { return state }, func(*HandoverLink) {}, func(l *HandoverLink) { ready <- l })
	if err != nil {
		t.Fatal(err)
	}
	var got string
	link, over, err := TakeOver(dir, &got)
	if err != nil || link == nil || got != state || over.Addr().String() != front.Addr().String() {
		t.Fatalf("%d bytes of state, want %d; %v", len(got), len(state), err)
	}
	defer over.Close()
	if err := link.SendReady(); err != nil {
		t.Fatal(err)
	}
	var old *HandoverLink
	select {
	case old = <-ready:
	case <-time.After(patience):
		t.Fatal("the old process does not hear that the new one serves")
	}
	// The old process takes a connection, reads some of it and passes it on.
	client, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(patience))
	io.WriteString(client, "read ")
	taken, err := front.Accept()
	if err != nil {
		t.Fatal(err)
	}
	ahead := make([]byte, 5)
	if _, err := io.ReadFull(taken, ahead); err != nil {
		t.Fatal(err)
	}
	go link.ReceiveConns(func(c net.Conn, ahead []byte) {
		line, err := bufio.NewReader(c).ReadString('\n')
		fmt.Fprintf(c, "%s%s %v\n", ahead, strings.TrimSpace(line), err)
		c.Close()
	})
	if err := old.SendConn(taken, ahead); err != nil {
		t.Fatal(err)
	}
	taken.Close()
	io.WriteString(client, "and sent later\n")
	if line, err := bufio.NewReader(client).ReadString('\n'); line != "read and sent later <nil>\n" {
		t.Errorf("%q, %v", line, err)
	}
	// The listener goes on in the new process after the end of the old one.
	front.Close()
	s.Close()
	old.Close()
	select {
	case <-link.Done():
	case <-time.After(patience):
		t.Fatal("the new process does not hear of the old one's end")
	}
	go net.Dial("tcp", over.Addr().String())
	if c, err := over.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	if l, _, err := TakeOver(dir, &got); l != nil || err != nil {
		t.Errorf("a dead socket: %v, %v, want nobody", l, err)
	}
	var number int
	s, err = ListenForSuccessor(dir, over, func() any { return "text" }, func(*HandoverLink) {}, func(*HandoverLink) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if l, _, err := TakeOver(dir, &number); l != nil || err == nil {
		t.Errorf("a state of another form: %v, %v, want an error", l, err)
	}
}

// A process that hangs does not hold up the next one for long.
func TestHungProcessIsNotWaitedFor(t *testing.T) {
	dir := t.TempDir()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, socketName), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	start := time.Now()
	if link, _, err := TakeOver(dir, new(string)); link != nil || err == nil {
		t.Errorf("taken over from a hung process: %v, %v", link, err)
	}
	if d := time.Since(start); d > patience/2 {
		t.Errorf("waited for %v", d)
	}
}
