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

// multipartState is a state that takes several messages.
type multipartState struct {
	Names []string `json:"names"`
	Count int      `json:"count"`
}

func newMultipartState() multipartState {
	s := multipartState{Count: 7}
	for i := range 3000 {
		s.Names = append(s.Names, fmt.Sprintf("endpoint %d %s", i, strings.Repeat("x", 20)))
	}
	return s
}

// handoverMessage is a message from the previous process.
type handoverMessage struct {
	kind   byte
	text   []byte
	socket syscall.Conn
}

// stateMessages returns the messages that hand over a state.
func stateMessages(t *testing.T, socket syscall.Conn) (messages []handoverMessage) {
	t.Helper()
	text, err := json.Marshal(newMultipartState())
	if err != nil {
		t.Fatal(err)
	}
	for len(text) > maxPartBytes {
		messages = append(messages, handoverMessage{statePartMessage, text[:maxPartBytes], nil})
		text = text[maxPartBytes:]
	}
	return append(messages, handoverMessage{stateEndMessage, text, socket})
}

// servePreviousProcess sends the messages to the first process that connects and then closes.
func servePreviousProcess(t *testing.T, dir string, messages []handoverMessage) {
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
		link := newHandoverLink(c)
		defer link.Close()
		for _, m := range messages {
			if link.send(m.kind, m.text, m.socket, testTimeout) != nil {
				return
			}
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
}

// A state that is truncated, or lacks a part or its listener, is rejected as a whole.
func TestIncompleteStateIsRejected(t *testing.T) {
	socket := listen(t).(syscall.Conn)
	messages := stateMessages(t, socket)
	if len(messages) < 3 {
		t.Fatalf("invalid test: %d messages, want at least 3", len(messages))
	}
	last := len(messages) - 1
	lastPart := messages[last].text
	withMessage := func(i int, m handoverMessage) []handoverMessage {
		changed := append([]handoverMessage(nil), messages...)
		changed[i] = m
		return changed
	}
	cases := map[string][]handoverMessage{
		"missing part":                 append([]handoverMessage{messages[0]}, messages[2:]...),
		"no listener":                  withMessage(last, handoverMessage{stateEndMessage, lastPart, nil}),
		"listener with the first part": withMessage(0, handoverMessage{statePartMessage, messages[0].text, socket}),
		"unknown kind":                 withMessage(last, handoverMessage{'x', lastPart, socket}),
		"part too long":                withMessage(0, handoverMessage{statePartMessage, append(messages[0].text[:maxPartBytes:maxPartBytes], ' '), nil}),
		"count of the wrong type":      withMessage(last, handoverMessage{stateEndMessage, []byte(strings.Replace(string(lastPart), `"count":7`, `"count":"7"`, 1)), socket}),
	}
	for n := range messages {
		cases[fmt.Sprintf("only %d messages", n)] = messages[:n]
	}
	for _, cut := range []int{0, 1, len(lastPart) / 2, len(lastPart) - 1} {
		cases[fmt.Sprintf("%d bytes of the last message", cut)] = withMessage(last, handoverMessage{stateEndMessage, lastPart[:cut], socket})
	}
	for name, incomplete := range cases {
		dir := t.TempDir()
		servePreviousProcess(t, dir, incomplete)
		var got multipartState
		link, l, err := TakeOver(dir, &got)
		if link != nil || l != nil || err == nil || !reflect.DeepEqual(got, multipartState{}) {
			t.Errorf("%s: link %v, listener %v, error %v, %d names and count %d, want only an error", name, link != nil, l != nil, err, len(got.Names), got.Count)
		}
	}
	dir := t.TempDir()
	servePreviousProcess(t, dir, messages)
	var got multipartState
	link, l, err := TakeOver(dir, &got)
	if err != nil || !reflect.DeepEqual(got, newMultipartState()) {
		t.Fatalf("complete state: error %v, %d names and count %d", err, len(got.Names), got.Count)
	}
	link.Close()
	l.Close()
}

// A successor that ends at any point of the handover does not affect the previous process,
// which hands over to the next successor.
func TestFailedHandoverLeavesPreviousProcessServing(t *testing.T) {
	dir := t.TempDir()
	listener := listen(t)
	connected := make(chan *HandoverLink, 100)
	s, err := ListenForSuccessor(dir, listener, func() any { return newMultipartState() }, func(l *HandoverLink) { connected <- l }, func(*HandoverLink) {})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	messages := len(stateMessages(t, listener.(syscall.Conn)))
	for reads := range messages + 1 {
		c, err := net.Dial("unixpacket", filepath.Join(dir, socketName))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		link := newHandoverLink(c.(*net.UnixConn))
		buf := make([]byte, maxPartBytes+1)
		for range reads {
			if _, _, f, err := link.receive(buf); err != nil {
				t.Fatal(err)
			} else if f != nil {
				f.Close()
			}
		}
		link.Close()
	}
	var got multipartState
	link, l, err := TakeOver(dir, &got)
	if err != nil || !reflect.DeepEqual(got, newMultipartState()) {
		t.Fatalf("next process: error %v, %d names", err, len(got.Names))
	}
	l.Close()
	link.Close()
	timeout := time.After(testTimeout)
	for n := 0; n == 0 || len(connected) > 0; n++ { // the end of each connected process is noticed
		select {
		case link := <-connected:
			select {
			case <-link.Done():
			case <-timeout:
				t.Fatal("the end of a successor was not noticed")
			}
		case <-timeout:
			t.Fatal("no process connected")
		}
	}
}

// While the handover socket cannot be created, no temporary file is left. Once it can be
// created, successors can take over.
func TestSuccessorListenerRetries(t *testing.T) {
	for name, failure := range map[string]struct{ begin, end func(dir string) error }{
		"no directory": {
			func(dir string) error { return os.Remove(dir) },
			func(dir string) error { return os.Mkdir(dir, 0o700) },
		},
		"rename fails": {
			func(dir string) error { return os.Mkdir(filepath.Join(dir, socketName), 0o700) },
			func(dir string) error { return os.Remove(filepath.Join(dir, socketName)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "shared")
			if err := os.Mkdir(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			if err := failure.begin(dir); err != nil {
				t.Fatal(err)
			}
			listener := listen(t)
			s, err := ListenForSuccessor(dir, listener, func() any { return multipartState{Count: 3} }, func(*HandoverLink) {}, func(*HandoverLink) {})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if left, _ := filepath.Glob(filepath.Join(dir, socketName+".*")); len(left) > 0 {
				t.Errorf("temporary files left: %v", left)
			}
			if err := failure.end(dir); err != nil {
				t.Fatal(err)
			}
			var got multipartState
			for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
				link, l, err := TakeOver(dir, &got)
				if link != nil {
					link.Close()
					l.Close()
					break
				}
				if time.Now().After(end) {
					t.Fatalf("timed out waiting for the takeover: %v", err)
				}
			}
			if got.Count != 3 {
				t.Errorf("count %d, want 3", got.Count)
			}
		})
	}
	long := filepath.Join(t.TempDir(), strings.Repeat("x", 200))
	if _, err := ListenForSuccessor(long, listen(t), nil, nil, nil); err == nil {
		t.Error("a path that is too long for a socket was accepted")
	}
	s, err := ListenForSuccessor(filepath.Join(t.TempDir(), "none"), listen(t), nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Close() // while it still retries
	s.Close()
}
