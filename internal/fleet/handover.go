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

// Kinds of handover messages, given in the first byte. The Unix socket preserves message
// boundaries (SOCK_SEQPACKET), so that a descriptor arrives with the message it belongs to.
const (
	statePartMessage = 'p' // from the previous process: a part of the state
	stateEndMessage  = 's' // from the previous process: the last part of the state, with the listener
	readyMessage     = 'r' // from the successor: it is ready to serve requests
	connMessage      = 'c' // from the previous process: a caller's connection, with the bytes read from it
	eventsMessage    = 'e' // from either process: request events; unknown to earlier versions
)

const (
	socketName = "next"

	// stateTimeout bounds the transfer of the state, so that a hung previous process does
	// not block the start of its successor.
	stateTimeout = 1500 * time.Millisecond
	// sendTimeout bounds the sending of any other message.
	sendTimeout = time.Second

	maxPartBytes     = 32 << 10
	maxStateBytes    = 4 << 20
	maxBufferedBytes = 16 << 10 // read from a connection before it is handed over

	// minRetryWait and maxRetryWait bound the wait before the next attempt to create the
	// handover socket.
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 5 * time.Second
)

// errTruncated means that a part of a message, or its descriptor, was lost.
var errTruncated = errors.New("handover: message or its control data truncated")

// HandoverLink connects a process of a sidecar and its successor during the handover. The
// link ends when either process ends.
type HandoverLink struct {
	conn *net.UnixConn
	mu   sync.Mutex // serializes sending
	done chan struct{}
	once sync.Once

	onRequestEvent func(RequestEvent) // see HandleRequestEvents
}

// HandleRequestEvents sets the function that receives the request events of the other process. It is
// called before ReceiveConns, or in onConnect of ListenForSuccessor.
func (l *HandoverLink) HandleRequestEvents(handle func(RequestEvent)) { l.onRequestEvent = handle }

func newHandoverLink(c *net.UnixConn) *HandoverLink {
	return &HandoverLink{conn: c, done: make(chan struct{})}
}

// Done returns a channel that is closed when the other process has ended or Close has been
// called.
func (l *HandoverLink) Done() <-chan struct{} { return l.done }

// Close closes the link.
func (l *HandoverLink) Close() {
	l.once.Do(func() { close(l.done) })
	l.conn.Close()
}

// send sends one message, with the descriptor of a socket unless socket is nil.
func (l *HandoverLink) send(kind byte, text []byte, socket syscall.Conn, timeout time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg := append([]byte{kind}, text...)
	l.conn.SetWriteDeadline(time.Now().Add(timeout))
	if socket == nil {
		_, _, err := l.conn.WriteMsgUnix(msg, nil, nil)
		return err
	}
	// The File method of a net connection would switch its duplicate to blocking mode, and
	// with it the original descriptor in both processes.
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	err = raw.Control(func(fd uintptr) {
		_, _, sendErr = l.conn.WriteMsgUnix(msg, syscall.UnixRights(int(fd)), nil)
	})
	return errors.Join(err, sendErr)
}

// receive reads one message, with its descriptor if it has one.
func (l *HandoverLink) receive(buf []byte) (kind byte, text []byte, file *os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(buf, oob)
	if errors.Is(err, syscall.ECONNRESET) {
		// The other process has ended without reading all messages. What it has sent before can
		// still be read.
		n, oobn, flags, _, err = l.conn.ReadMsgUnix(buf, oob)
	}
	if err != nil {
		return 0, nil, nil, err
	}
	if oobn > 0 {
		if file, err = parseDescriptor(oob[:oobn]); err != nil {
			return 0, nil, nil, err
		}
	}
	if n == 0 {
		return 0, nil, file, io.ErrUnexpectedEOF
	}
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		if file != nil {
			file.Close()
		}
		return 0, nil, nil, errTruncated
	}
	return buf[0], buf[1:n], file, nil
}

// parseDescriptor returns the single descriptor of a control message.
func parseDescriptor(oob []byte) (*os.File, error) {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	var fds []int
	for i := range msgs {
		rights, err := syscall.ParseUnixRights(&msgs[i])
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		fds = append(fds, rights...)
	}
	if len(fds) != 1 {
		for _, fd := range fds {
			syscall.Close(fd)
		}
		return nil, fmt.Errorf("handover: message has %d descriptors, want 1", len(fds))
	}
	// Sockets of the Go runtime are non-blocking, and os.NewFile preserves that.
	return os.NewFile(uintptr(fds[0]), "handover descriptor"), nil
}

// SendReady reports to the previous process that this one is ready to serve requests.
func (l *HandoverLink) SendReady() error { return l.send(readyMessage, nil, nil, sendTimeout) }

// SendConn hands over a caller's connection to the successor, with the bytes already read
// from it. The connection c must still be closed in this process.
func (l *HandoverLink) SendConn(c net.Conn, buffered []byte) error {
	socket, ok := c.(syscall.Conn)
	if !ok || len(buffered) > maxBufferedBytes {
		return errors.New("handover: connection is not a socket, or too many bytes have been read from it")
	}
	return l.send(connMessage, buffered, socket, sendTimeout)
}

// ReceiveConns passes each connection from the previous process to handle until that
// process has ended. The successor must call it once.
func (l *HandoverLink) ReceiveConns(handle func(c net.Conn, buffered []byte)) {
	defer l.Close()
	buf := make([]byte, maxBufferedBytes+1)
	for {
		kind, buffered, file, err := l.receive(buf)
		if errors.Is(err, errTruncated) { // only one connection is lost
			slog.Error("receiving a handed-over connection failed; waiting for the next one", "error", err)
			continue
		}
		if err != nil {
			return
		}
		l.receiveEvents(kind, buffered)
		if file == nil || kind != connMessage {
			continue
		}
		c, err := net.FileConn(file)
		file.Close()
		if err == nil {
			handle(c, append([]byte(nil), buffered...))
		}
	}
}

// receiveEvents handles a message if it has request events.
func (l *HandoverLink) receiveEvents(kind byte, text []byte) {
	if kind == eventsMessage && l.onRequestEvent != nil {
		decodeEvents(text, l.onRequestEvent)
	}
}

// TakeOver requests the listener and the state of the running process that has its handover
// socket in the directory dir. It decodes the state from JSON into the value that state points
// to. If there is no such process, the link, the listener and the error are nil. After an
// error the value is unchanged, and the previous process continues to serve requests.
func TakeOver(dir string, state any) (*HandoverLink, net.Listener, error) {
	c, err := net.DialTimeout("unixpacket", filepath.Join(dir, socketName), stateTimeout)
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil, nil, nil // no process listens there
		}
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	l := newHandoverLink(c.(*net.UnixConn))
	l.conn.SetReadDeadline(time.Now().Add(stateTimeout))
	listener, err := l.receiveState(state)
	if err != nil {
		l.Close()
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	l.conn.SetReadDeadline(time.Time{})
	return l, listener, nil
}

// receiveState receives the whole state and the listener.
func (l *HandoverLink) receiveState(state any) (net.Listener, error) {
	var text []byte
	buf := make([]byte, maxPartBytes+1)
	for {
		kind, part, file, err := l.receive(buf)
		if err != nil {
			return nil, err
		}
		text = append(text, part...)
		if kind == statePartMessage && file == nil && len(text) <= maxStateBytes {
			continue
		}
		if file == nil {
			return nil, fmt.Errorf("message of kind %q has no descriptor, want the end of the state with a listener", kind)
		}
		defer file.Close()
		if kind != stateEndMessage {
			return nil, fmt.Errorf("message of kind %q, want the end of the state with a listener", kind)
		}
		return installState(text, state, file)
	}
}

// installState decodes the state and opens the listener. It changes state only if both
// succeed.
func installState(text []byte, state any, file *os.File) (net.Listener, error) {
	target := reflect.ValueOf(state).Elem()
	decoded := reflect.New(target.Type())
	if err := json.Unmarshal(text, decoded.Interface()); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	target.Set(decoded.Elem())
	return listener, nil
}

// SuccessorListener accepts successors and hands over the listener and the state to them.
type SuccessorListener struct {
	listener net.Listener // set once; serve reads it without the mutex

	mu     sync.Mutex
	closed bool
	done   chan struct{}
}

// ListenForSuccessor creates the handover socket in the directory dir, in place of that of
// the previous process. Each successor receives the listener and the state, one successor at
// a time. onConnect is called when it has received them, and onReady when it is ready to
// serve requests. If the socket cannot be created, that of the previous process remains and
// the creation is retried.
func ListenForSuccessor(dir string, listener net.Listener, state func() any, onConnect, onReady func(*HandoverLink)) (*SuccessorListener, error) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("handover: listener is not a socket")
	}
	path := filepath.Join(dir, socketName)
	l, err := listenAt(path)
	if errors.Is(err, syscall.EINVAL) { // the path is too long
		return nil, err
	}
	s := &SuccessorListener{done: make(chan struct{})}
	if err == nil {
		s.setListener(l)
		go s.serve(socket, state, onConnect, onReady)
		return s, nil
	}
	slog.Warn("no other process can take this one's place: creating the handover socket failed; retrying", "error", err)
	go func() {
		if s.retryListen(path) {
			s.serve(socket, state, onConnect, onReady)
		}
	}()
	return s, nil
}

// listenAt listens on a socket at the path and replaces an existing file there.
func listenAt(path string) (*net.UnixListener, error) {
	// The rename replaces the socket of the previous process atomically.
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(tempPath)
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: tempPath, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to the successor
	if err := os.Rename(tempPath, path); err != nil {
		l.Close()
		os.Remove(tempPath)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

// retryListen retries listenAt until it succeeds. It returns false after Close.
func (s *SuccessorListener) retryListen(path string) bool {
	for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
		select {
		case <-s.done:
			return false
		case <-time.After(wait):
		}
		if l, err := listenAt(path); err == nil {
			slog.Info("handover socket created; a successor can take over")
			return s.setListener(l)
		}
	}
}

// setListener stores the listener. After Close it closes the listener instead and returns false.
func (s *SuccessorListener) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		l.Close()
		return false
	}
	s.listener = acceptloop.Wrap(l)
	return true
}

// Close stops accepting successors.
func (s *SuccessorListener) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if s.listener != nil {
		s.listener.Close()
	}
}

// serve hands over to one successor at a time. If a successor disconnects, it accepts the next.
func (s *SuccessorListener) serve(socket syscall.Conn, state func() any, onConnect, onReady func(*HandoverLink)) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		link := newHandoverLink(c.(*net.UnixConn))
		if err := link.sendState(state(), socket); err != nil {
			link.Close()
			continue
		}
		onConnect(link)
		buf := make([]byte, maxEventBytes+1)
		for {
			kind, text, file, err := link.receive(buf)
			if file != nil {
				file.Close()
			}
			if err != nil {
				break
			}
			link.receiveEvents(kind, text)
			if kind == readyMessage {
				onReady(link)
			}
		}
		link.Close()
	}
}

// sendState sends the state in parts and the listener with the last one.
func (l *HandoverLink) sendState(state any, socket syscall.Conn) error {
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	for len(text) > maxPartBytes {
		if err := l.send(statePartMessage, text[:maxPartBytes], nil, stateTimeout); err != nil {
			return err
		}
		text = text[maxPartBytes:]
	}
	return l.send(stateEndMessage, text, socket, stateTimeout)
}
