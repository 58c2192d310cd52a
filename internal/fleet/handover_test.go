package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"
)

// grown is a state of several parts.
type grown struct {
	Names []string `json:"names"`
	Count int      `json:"count"`
}

func bigState() grown {
	s := grown{Count: 7}
	for i := range 3000 {
		s.Names = append(s.Names, fmt.Sprintf("endpoint %d %s", i, strings.Repeat("x", 20)))
	}
	return s
}

// message is one of the old process.
type message struct {
	kind  byte
	text  []byte
	about syscall.Conn
}

// spoken are the messages that hand over a state.
func spoken(t *testing.T, front syscall.Conn) (all []message) {
	t.Helper()
	text, err := json.Marshal(bigState())
	if err != nil {
		t.Fatal(err)
	}
	for len(text) > mostPart {
		all = append(all, message{partMark, text[:mostPart], nil})
		text = text[mostPart:]
	}
	return append(all, message{stateMark, text, front})
}

// old speaks so to the first process that comes, and then is gone.
func old(t *testing.T, dir string, say []message) {
	t.Helper()
	path := filepath.Join(dir, socketName)
	os.Remove(path)
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer l.Close()
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		link := newLink(c)
		defer link.Close()
		for _, m := range say {
			if link.send(m.kind, m.text, m.about, patience) != nil {
				return
			}
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
}

// A state that ends at any message, or has lost a part, its end or its listener, is not
// taken up, and nothing of it is.
func TestTornHandoverIsNotTakenUp(t *testing.T) {
	front := listen(t).(syscall.Conn)
	whole := spoken(t, front)
	if len(whole) < 3 {
		t.Fatalf("%d messages: that is no test", len(whole))
	}
	last := len(whole) - 1
	end := whole[last].text
	but := func(i int, m message) []message {
		some := append([]message(nil), whole...)
		some[i] = m
		return some
	}
	cases := map[string][]message{
		"a part is lost":            append([]message{whole[0]}, whole[2:]...),
		"no listener":               but(last, message{stateMark, end, nil}),
		"a listener too early":      but(0, message{partMark, whole[0].text, front}),
		"another word":              but(last, message{'x', end, front}),
		"a part that is too long":   but(0, message{partMark, append(whole[0].text[:mostPart:mostPart], ' '), nil}),
		"a count that is no number": but(last, message{stateMark, []byte(strings.Replace(string(end), `"count":7`, `"count":"7"`, 1)), front}),
	}
	for n := range whole {
		cases[fmt.Sprintf("%d messages", n)] = whole[:n]
	}
	for _, cut := range []int{0, 1, len(end) / 2, len(end) - 1} {
		cases[fmt.Sprintf("%d bytes of the last one", cut)] = but(last, message{stateMark, end[:cut], front})
	}
	for name, say := range cases {
		dir := t.TempDir()
		old(t, dir, say)
		var got grown
		link, l, err := TakeOver(dir, &got)
		if link != nil || l != nil || err == nil || !reflect.DeepEqual(got, grown{}) {
			t.Errorf("%s: link %v, listener %v, %v, %d names and count %d", name, link != nil, l != nil, err, len(got.Names), got.Count)
		}
	}
	dir := t.TempDir()
	old(t, dir, whole)
	var got grown
	link, l, err := TakeOver(dir, &got)
	if err != nil || !reflect.DeepEqual(got, bigState()) {
		t.Fatalf("whole: %v, %d names and count %d", err, len(got.Names), got.Count)
	}
	link.Close()
	l.Close()
}

// New processes that end at any point of the handover leave the old one as it was: the
// next one is served.
func TestOldProcessOutlastsTheNew(t *testing.T) {
	dir := t.TempDir()
	front := listen(t)
	begun := make(chan *HandoverLink, 100)
	s, err := ListenForSuccessor(dir, front, func() any { return bigState() }, func(l *HandoverLink) { begun <- l }, func(*HandoverLink) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	all := len(spoken(t, front.(syscall.Conn)))
	for reads := range all + 1 {
		c, err := net.Dial("unixpacket", filepath.Join(dir, socketName))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		link := newLink(c.(*net.UnixConn))
		buf := make([]byte, mostPart+1)
		for range reads {
			if _, _, f, err := link.receive(buf); err != nil {
				t.Fatal(err)
			} else if f != nil {
				f.Close()
			}
		}
		link.Close()
	}
	var got grown
	link, l, err := TakeOver(dir, &got)
	if err != nil || !reflect.DeepEqual(got, bigState()) {
		t.Fatalf("the next one: %v, %d names", err, len(got.Names))
	}
	l.Close()
	link.Close()
	gone := time.After(patience)
	for n := 0; n == 0 || len(begun) > 0; n++ { // whoever has begun is seen to be gone
		select {
		case b := <-begun:
			select {
			case <-b.Done():
			case <-gone:
				t.Fatal("the end of a new process is not seen")
			}
		case <-gone:
			t.Fatal("no process is seen to begin")
		}
	}
}

// While the folder does not take the socket, nothing is left there and nothing is taken
// from who is found there; once it does, the process is found.
func TestSuccessorsAreAwaitedInTheEnd(t *testing.T) {
	for name, trouble := range map[string]struct{ begin, end func(dir string) error }{
		"no folder": {
			func(dir string) error { return os.Remove(dir) },
			func(dir string) error { return os.Mkdir(dir, 0o700) },
		},
		"no rename": {
			func(dir string) error { return os.Mkdir(filepath.Join(dir, socketName), 0o700) },
			func(dir string) error { return os.Remove(filepath.Join(dir, socketName)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "shared")
			if err := os.Mkdir(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			if err := trouble.begin(dir); err != nil {
				t.Fatal(err)
			}
			front := listen(t)
			s, err := ListenForSuccessor(dir, front, func() any { return grown{Count: 3} }, func(*HandoverLink) {}, func(*HandoverLink) {})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if left, _ := filepath.Glob(filepath.Join(dir, socketName+".*")); len(left) > 0 {
				t.Errorf("left behind: %v", left)
			}
			if err := trouble.end(dir); err != nil {
				t.Fatal(err)
			}
			var got grown
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				link, l, err := TakeOver(dir, &got)
				if link != nil {
					link.Close()
					l.Close()
					break
				}
				if time.Now().After(end) {
					t.Fatalf("not found: %v", err)
				}
			}
			if got.Count != 3 {
				t.Errorf("count %d", got.Count)
			}
		})
	}
	long := filepath.Join(t.TempDir(), strings.Repeat("x", 200))
	if _, err := ListenForSuccessor(long, listen(t), nil, nil, nil); err == nil {
		t.Error("a path that no socket can have")
	}
	s, err := ListenForSuccessor(filepath.Join(t.TempDir(), "none"), listen(t), nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Close() // while it still tries
	s.Close()
}
