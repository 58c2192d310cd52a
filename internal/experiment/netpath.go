package experiment

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gorselink/internal/acceptloop"
)

// Conditions describes how a network path treats the data in one direction.
type Conditions struct {
	Delay  time.Duration
	Jitter time.Duration // added to Delay, drawn evenly from 0 to Jitter
	Loss   float64       // probability that a datagram is dropped, or that a chunk of a stream is retransmitted
	Rate   int64         // bytes per second; 0 for no limit
	Cut    bool          // nothing passes, and neither side is notified
}

// Direction is a direction of a link. DirectionOut is from the side that opens connections.
type Direction string

const (
	DirectionBoth Direction = "both"
	DirectionOut  Direction = "out"
	DirectionBack Direction = "back"
)

func (w Direction) includes(dir int) bool {
	return w == DirectionBoth || dir == dirOut && w == DirectionOut || dir == dirBack && w == DirectionBack
}

const (
	dirOut = iota
	dirBack
	dirCount
)

// retransmitTimeout is the delay of a lost chunk of a stream. It is the minimum retransmission
// timeout of common systems; RFC 6298 has one second.
const retransmitTimeout = 200 * time.Millisecond

// netPath emulates the network between two parties, in both directions, for all their
// connections and datagrams.
type netPath struct {
	mu          sync.Mutex
	rng         *rand.Rand
	conditions  [dirCount]Conditions
	freeAt      [dirCount]time.Time // when the bytes scheduled so far will have been sent, if Rate is set
	changed     chan struct{}       // closed when the conditions change
	connections map[*pathConnection]bool
	closed      bool
}

func newNetPath(seed, number uint64) *netPath {
	return &netPath{rng: rand.New(rand.NewPCG(seed, number)), changed: make(chan struct{}), connections: map[*pathConnection]bool{}}
}

// setConditions changes the conditions of one or both directions.
func (w *netPath) setConditions(way Direction, change func(*Conditions)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for dir := range dirCount {
		if way.includes(dir) {
			change(&w.conditions[dir])
		}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// resetConnections resets all connections, on both sides.
func (w *netPath) resetConnections() {
	w.mu.Lock()
	all := make([]*pathConnection, 0, len(w.connections))
	for p := range w.connections {
		all = append(all, p)
	}
	w.mu.Unlock()
	for _, p := range all {
		p.abort()
	}
}

// close resets all connections, and relay then resets new ones.
func (w *netPath) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.setConditions(DirectionBoth, func(x *Conditions) { x.Cut = false })
	w.resetConnections()
}

// schedule returns when n bytes that arrive now are delivered, and whether they are lost. Bytes
// of a stream are delayed instead of lost.
func (w *netPath) schedule(dir, n int, stream bool) (at time.Time, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &w.conditions[dir]
	at = time.Now()
	if x.Rate > 0 {
		if w.freeAt[dir].After(at) {
			at = w.freeAt[dir]
		}
		at = at.Add(time.Duration(float64(n) / float64(x.Rate) * float64(time.Second)))
		w.freeAt[dir] = at
	}
	at = at.Add(x.Delay)
	if x.Jitter > 0 {
		at = at.Add(time.Duration(w.rng.Int64N(int64(x.Jitter))))
	}
	if x.Loss > 0 {
		if !stream {
			return at, x.Cut || w.rng.Float64() < x.Loss
		}
		for wait := retransmitTimeout; w.rng.Float64() < x.Loss && wait < time.Minute; wait *= 2 {
			at = at.Add(wait)
		}
	}
	return at, x.Cut && !stream
}

// waitUncut waits until a direction is not cut. It returns false if ctx ends first.
func (w *netPath) waitUncut(ctx context.Context, dir int) bool {
	for {
		w.mu.Lock()
		cut, changed := w.conditions[dir].Cut, w.changed
		w.mu.Unlock()
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// pathConnection is one connection over a path.
type pathConnection struct {
	path    *netPath
	sockets [dirCount]*net.TCPConn // sockets[dirOut] is the accepted one
	ctx     context.Context
	cancel  context.CancelFunc
	once    sync.Once
}

// abort closes both sockets with a reset.
func (p *pathConnection) abort() {
	p.once.Do(func() {
		p.cancel()
		p.path.mu.Lock()
		ends := p.sockets
		p.path.mu.Unlock()
		for _, c := range ends {
			if c != nil {
				c.SetLinger(0)
				c.Close()
			}
		}
		p.path.mu.Lock()
		delete(p.path.connections, p)
		p.path.mu.Unlock()
	})
}

// chunk is the data of one read, to be written at a given time.
type chunk struct {
	at   time.Time
	data []byte // nil for the end of the stream
}

const (
	maxChunkSize      = 16 << 10
	maxChunksInFlight = 64 // per direction; the sender is blocked beyond it, as by a full TCP window
)

// relay relays an accepted connection over the path to a target. It returns when both
// directions have ended.
//
// The kernel accepts the connection before relay is called, so connecting over a cut path succeeds
// and no data follows, while on a real network the connect would hang. To account for the
// handshake, the first byte is delayed by one additional round trip.
func (w *netPath) relay(ctx context.Context, near *net.TCPConn, dialer *net.Dialer, target string) {
	p := &pathConnection{path: w}
	p.ctx, p.cancel = context.WithCancel(ctx)
	defer p.abort()
	defer context.AfterFunc(p.ctx, p.abort)()
	w.mu.Lock()
	p.sockets[dirOut] = near
	ended := w.closed
	w.connections[p] = true
	w.mu.Unlock()
	if ended || !w.waitUncut(p.ctx, dirOut) || !w.waitUncut(p.ctx, dirBack) {
		return
	}
	far, err := dialer.DialContext(p.ctx, "tcp", target)
	if err != nil {
		return // the near side sees a refused connection as a reset
	}
	w.mu.Lock()
	p.sockets[dirBack] = far.(*net.TCPConn)
	aborted := p.ctx.Err() != nil
	earliest := time.Now().Add(w.conditions[dirOut].Delay + w.conditions[dirBack].Delay)
	w.mu.Unlock()
	if aborted {
		far.Close()
		return
	}
	var both sync.WaitGroup
	for dir := range dirCount {
		chunks := make(chan chunk, maxChunksInFlight)
		both.Go(func() { p.receive(dir, chunks) })
		both.Go(func() { p.deliver(dir, earliest, chunks) })
	}
	both.Wait()
}

// receive reads the data of one direction and schedules the delivery of each chunk.
func (p *pathConnection) receive(dir int, chunks chan<- chunk) {
	defer close(chunks)
	buf := make([]byte, maxChunkSize)
	for {
		n, err := p.sockets[dir].Read(buf)
		if n > 0 {
			at, _ := p.path.schedule(dir, n, true)
			select {
			case chunks <- chunk{at, append([]byte(nil), buf[:n]...)}:
			case <-p.ctx.Done():
				return
			}
		}
		if errors.Is(err, io.EOF) {
			at, _ := p.path.schedule(dir, 0, true)
			select {
			case chunks <- chunk{at: at}:
			case <-p.ctx.Done():
			}
			return
		}
		if err != nil {
			p.abort()
			return
		}
	}
}

// deliver writes the chunks in order, each at its time.
func (p *pathConnection) deliver(dir int, earliest time.Time, chunks <-chan chunk) {
	to := p.sockets[1-dir]
	for x := range chunks {
		at := x.at
		if at.Before(earliest) {
			at = earliest
		}
		if !sleep(p.ctx, time.Until(at)) || !p.path.waitUncut(p.ctx, dir) {
			return
		}
		if x.data == nil {
			to.CloseWrite()
			return
		}
		if _, err := to.Write(x.data); err != nil {
			p.abort()
			return
		}
	}
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// forwarder listens in place of a party, on TCP and optionally on the same UDP port.
type forwarder struct {
	target  string
	pathFor func(from netip.Addr) *netPath // path for a sender's address; nil to reset its connections and drop its datagrams

	ctx     context.Context // of all relayed connections
	cancel  context.CancelFunc
	tcp     *net.TCPListener
	udp     *net.UDPConn
	running sync.WaitGroup

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	closed   bool
}

// startForwarder starts a forwarder on an address.
func startForwarder(at, target string, datagrams bool, pathFor func(from netip.Addr) *netPath) (*forwarder, error) {
	f := &forwarder{target: target, pathFor: pathFor, sessions: map[netip.AddrPort]*net.UDPConn{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	f.tcp = l.(*net.TCPListener)
	if datagrams {
		addr, err := net.ResolveUDPAddr("udp", at)
		if err == nil {
			f.udp, err = net.ListenUDP("udp", addr)
		}
		if err != nil {
			l.Close()
			return nil, err
		}
		f.running.Go(f.relayDatagrams)
	}
	f.running.Go(f.relayStreams)
	return f, nil
}

func (f *forwarder) close() {
	f.mu.Lock()
	f.closed = true
	for _, s := range f.sessions {
		s.Close()
	}
	f.mu.Unlock()
	f.cancel()
	f.tcp.Close()
	if f.udp != nil {
		f.udp.Close()
	}
	f.running.Wait()
}

func (f *forwarder) relayStreams() {
	acceptloop.Serve(f.tcp, func(conn net.Conn) {
		c := conn.(*net.TCPConn)
		from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		w := f.pathFor(from)
		if w == nil {
			c.SetLinger(0)
			c.Close()
			return
		}
		// The target sees the sender's address.
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
		f.running.Go(func() { w.relay(f.ctx, c, d, f.target) })
	})
}

const (
	dialTimeout     = 10 * time.Second
	maxSessions     = 1024
	maxDatagramSize = 64 << 10
)

// relayDatagrams relays datagrams to the target, with a socket for each sender, and the replies
// back.
func (f *forwarder) relayDatagrams() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			f.mu.Lock()
			ended := f.closed
			f.mu.Unlock()
			if ended {
				return
			}
			continue // ICMP error of an earlier datagram
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		w := f.pathFor(from.Addr())
		if w == nil {
			continue
		}
		s := f.session(from, w)
		if s == nil {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if at, lost := w.schedule(dirOut, n, false); !lost {
			time.AfterFunc(time.Until(at), func() { s.Write(data) })
		}
	}
}

func (f *forwarder) session(from netip.AddrPort, w *netPath) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sessions[from]; s != nil || f.closed || len(f.sessions) >= maxSessions {
		return s
	}
	to, err := net.ResolveUDPAddr("udp", f.target)
	if err != nil {
		return nil
	}
	s, err := net.DialUDP("udp", &net.UDPAddr{IP: from.Addr().AsSlice()}, to)
	if err != nil {
		return nil
	}
	f.sessions[from] = s
	f.running.Go(func() {
		buf := make([]byte, maxDatagramSize)
		for {
			n, err := s.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // connection refused: the target is not listening
			}
			data := append([]byte(nil), buf[:n]...)
			if at, lost := w.schedule(dirBack, n, false); !lost {
				time.AfterFunc(time.Until(at), func() { f.udp.WriteToUDPAddrPort(data, from) })
			}
		}
	})
	return s
}
