package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"syscall"
	"time"

	"gorselink/internal/acceptloop"
)

// The handover is spoken over a Unix socket whose messages keep their bounds
// (SOCK_SEQPACKET), so that a descriptor stays with what is said of it. The
// first byte of a message tells its kind.
const (
	partMark  = 'p' // from the old process: a part of the state
	stateMark = 's' // from the old process: its last part, with the listener
	readyMark = 'r' // from the new process: it serves
	connMark  = 'c' // from the old process: a caller's connection, and what was read of it
)

const (
	socketName = "next"

	// helloTime is what the old process gets to hand over its state: it is
	// a few milliseconds' work, and a new one that waits for a hung one would
	// not be ready in its time.
	helloTime = 1500 * time.Millisecond
	// passTime bounds the handing over of one connection.
	passTime = time.Second

	mostPart  = 32 << 10
	mostState = 4 << 20
	mostAhead = 16 << 10 // bytes of a connection that have been read already

	// awaitLeast and awaitMost bound the wait before another try to be found by the
	// next process.
	awaitLeast = 50 * time.Millisecond
	awaitMost  = 5 * time.Second
)

// errTorn tells of a message of which something was lost on the way.
var errTorn = errors.New("handover: a message is cut off, or there was no room for its descriptor")

// Link connects two processes of one sidecar while the new one takes the place
// of the old one. Either of them sees the other's end as the end of the Link.
type HandoverLink struct {
	conn *net.UnixConn
	mu   sync.Mutex // of sending
	done chan struct{}
	once sync.Once
}

func newLink(c *net.UnixConn) *HandoverLink { return &HandoverLink{conn: c, done: make(chan struct{})} }

// Done is closed once the other side is gone, or Close has been called.
func (l *HandoverLink) Done() <-chan struct{} { return l.done }

// Close ends the Link.
func (l *HandoverLink) Close() {
	l.once.Do(func() { close(l.done) })
	l.conn.Close()
}

// send sends one message, with the descriptor of what it is about, if any.
func (l *HandoverLink) send(kind byte, text []byte, about syscall.Conn, limit time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg := append([]byte{kind}, text...)
	l.conn.SetWriteDeadline(time.Now().Add(limit))
	if about == nil {
		_, _, err := l.conn.WriteMsgUnix(msg, nil, nil)
		return err
	}
	// The descriptor is sent as it is. What net hands out as a File would be a
	// copy that blocks, and with it, for both processes, the original.
	raw, err := about.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	err = raw.Control(func(fd uintptr) {
		_, _, sent = l.conn.WriteMsgUnix(msg, syscall.UnixRights(int(fd)), nil)
	})
	return errors.Join(err, sent)
}

// receive reads one message.
func (l *HandoverLink) receive(buf []byte) (kind byte, text []byte, about *os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return 0, nil, nil, err
	}
	if oobn > 0 {
		if about, err = descriptor(oob[:oobn]); err != nil {
			return 0, nil, nil, err
		}
	}
	if n == 0 {
		return 0, nil, about, io.ErrUnexpectedEOF
	}
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		if about != nil {
			about.Close()
		}
		return 0, nil, nil, errTorn
	}
	return buf[0], buf[1:n], about, nil
}

// descriptor takes the one descriptor out of a control message.
func descriptor(oob []byte) (*os.File, error) {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var fds []int
	for i := range msgs {
		more, err := syscall.ParseUnixRights(&msgs[i])
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		fds = append(fds, more...)
	}
	if len(fds) != 1 {
		for _, fd := range fds {
			syscall.Close(fd)
		}
		return nil, fmt.Errorf("handover: %d descriptors in a message, want one", len(fds))
	}
	// Sockets of the runtime do not block, and os.NewFile keeps that.
	return os.NewFile(uintptr(fds[0]), "handed over"), nil
}

// Ready tells the old process that this one serves.
func (l *HandoverLink) SendReady() error { return l.send(readyMark, nil, nil, passTime) }

// Pass hands a caller's connection to the new process, and what has been read of
// it. The connection of this process is still to be closed.
func (l *HandoverLink) SendConn(c net.Conn, ahead []byte) error {
	s, ok := c.(syscall.Conn)
	if !ok || len(ahead) > mostAhead {
		return errors.New("handover: not a socket, or too much of it has been read")
	}
	return l.send(connMark, ahead, s, passTime)
}

// Take hands each connection that the old process passes on to take, until the
// old process is gone. It must be called once, by the new process.
func (l *HandoverLink) ReceiveConns(take func(c net.Conn, ahead []byte)) {
	defer l.Close()
	buf := make([]byte, mostAhead+1)
	for {
		kind, ahead, f, err := l.receive(buf)
		if errors.Is(err, errTorn) { // one connection is lost; the others come
			slog.Error("a connection of the process before is lost", "error", err)
			continue
		}
		if err != nil {
			return
		}
		if f == nil || kind != connMark {
			continue
		}
		c, err := net.FileConn(f)
		f.Close()
		if err == nil {
			take(c, append([]byte(nil), ahead...))
		}
	}
}

// TakeOver asks the process that serves in the folder dir for its listener and
// its state, which must be JSON for what state points to. The Link is nil if there
// is none. After an error state is as before, and the old process serves on.
func TakeOver(dir string, state any) (*HandoverLink, net.Listener, error) {
	c, err := net.DialTimeout("unixpacket", filepath.Join(dir, socketName), helloTime)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, nil, nil // nobody serves there
		}
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	l := newLink(c.(*net.UnixConn))
	l.conn.SetReadDeadline(time.Now().Add(helloTime))
	listener, err := l.hear(state)
	if err != nil {
		l.Close()
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	l.conn.SetReadDeadline(time.Time{})
	return l, listener, nil
}

// hear reads the state to its end.
func (l *HandoverLink) hear(state any) (net.Listener, error) {
	var text []byte
	buf := make([]byte, mostPart+1)
	for {
		kind, part, f, err := l.receive(buf)
		if err != nil {
			return nil, err
		}
		text = append(text, part...)
		if kind == partMark && f == nil && len(text) <= mostState {
			continue
		}
		if f == nil {
			return nil, fmt.Errorf("message %q without a descriptor, want a state with a listener", kind)
		}
		defer f.Close()
		if kind != stateMark {
			return nil, fmt.Errorf("message %q, want a state with a listener", kind)
		}
		return adopt(text, state, f)
	}
}

// adopt takes up a state and its listener, or nothing of both: half of a state is
// worth less than none.
func adopt(text []byte, state any, f *os.File) (net.Listener, error) {
	into := reflect.ValueOf(state).Elem()
	whole := reflect.New(into.Type())
	if err := json.Unmarshal(text, whole.Interface()); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	into.Set(whole.Elem())
	return listener, nil
}

// Successors takes in the processes that are to take this one's place.
type SuccessorListener struct {
	l net.Listener // of the one goroutine that serves, once it is set

	mu     sync.Mutex
	closed bool
	done   chan struct{}
}

// AwaitSuccessor makes this process the one that is found in the folder dir.
// Each new process is given the listener and the state, one at a time; ready is
// called once it serves, and Done of the Link tells if it ends again. While the
// folder does not take the socket, the process that was found there stays so, and
// this one tries again.
func ListenForSuccessor(dir string, listener net.Listener, state func() any, begins, ready func(*HandoverLink)) (*SuccessorListener, error) {
	about, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("handover: the listener is no socket")
	}
	path := filepath.Join(dir, socketName)
	l, err := found(path)
	if errors.Is(err, syscall.EINVAL) { // a path that is too long stays so
		return nil, err
	}
	s := &SuccessorListener{done: make(chan struct{})}
	if err == nil {
		s.hold(l)
		go s.serve(about, state, begins, ready)
		return s, nil
	}
	slog.Warn("no other process can take this one's place yet", "error", err)
	go func() {
		if s.retry(path) {
			s.serve(about, state, begins, ready)
		}
	}()
	return s, nil
}

// found listens at a path, in the place of what was there.
func found(path string) (*net.UnixListener, error) {
	// Beside it first: the old process is found there until the new one is.
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: fresh, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // what is found there may be the next process
	if err := os.Rename(fresh, path); err != nil {
		l.Close()
		os.Remove(fresh)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

// retry tries to be found until it is; false if that is not wanted any more.
func (s *SuccessorListener) retry(path string) bool {
	for wait := awaitLeast; ; wait = min(2*wait, awaitMost) {
		select {
		case <-s.done:
			return false
		case <-time.After(wait):
		}
		if l, err := found(path); err == nil {
			slog.Info("another process can take this one's place now")
			return s.hold(l)
		}
	}
}

// hold keeps the listener; false if it is not wanted any more.
func (s *SuccessorListener) hold(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		l.Close()
		return false
	}
	s.l = acceptloop.Wrap(l)
	return true
}

// Close ends the waiting for a successor.
func (s *SuccessorListener) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if s.l != nil {
		s.l.Close()
	}
}

func (s *SuccessorListener) serve(about syscall.Conn, state func() any, begins, ready func(*HandoverLink)) {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		l := newLink(c.(*net.UnixConn))
		if err := l.tell(state(), about); err != nil {
			l.Close()
			continue
		}
		begins(l)
		buf := make([]byte, 16)
		for {
			kind, _, f, err := l.receive(buf)
			if f != nil {
				f.Close()
			}
			if err != nil {
				break
			}
			if kind == readyMark {
				ready(l)
			}
		}
		l.Close()
	}
}

// tell sends the state.
func (l *HandoverLink) tell(state any, about syscall.Conn) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	for len(text) > mostPart {
		if err := l.send(partMark, text[:mostPart], nil, helloTime); err != nil {
			return err
		}
		text = text[mostPart:]
	}
	return l.send(stateMark, text, about, helloTime)
}
