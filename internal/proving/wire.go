package proving

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

// Weather is how a way treats what goes over it, in one direction.
type Weather struct {
	Delay  time.Duration // of everything
	Jitter time.Duration // on top of Delay, drawn evenly from 0 to this
	Loss   float64       // share of what is lost: a datagram for good, a piece of a stream for as long as a retransmission takes
	Rate   int64         // bytes a second; 0 for no bound
	Cut    bool          // nothing comes through, and nobody is told
}

// Way is a direction of a link: Out is from the one that opens connections.
type Way string

const (
	Both Way = "both"
	Out  Way = "out"
	Back Way = "back"
)

func (w Way) has(dir int) bool {
	return w == Both || dir == out && w == Out || dir == back && w == Back
}

const (
	out = iota
	back
	ways
)

// retransmit is what the loss of a piece of a stream costs: the least time after
// which TCP sends again (RFC 6298 has a second, the common systems 200 ms).
const retransmit = 200 * time.Millisecond

// wire is one way between two parties, both directions of it. All the connections and
// datagrams between them go over it.
type wire struct {
	mu      sync.Mutex
	rng     *rand.Rand
	weather [ways]Weather
	free    [ways]time.Time // when the bytes before have gone, with a Rate
	changed chan struct{}   // closed when the weather changes
	conns   map[*passage]bool
	ended   bool
}

func newWire(seed, number uint64) *wire {
	return &wire{rng: rand.New(rand.NewPCG(seed, number)), changed: make(chan struct{}), conns: map[*passage]bool{}}
}

// set changes the weather of a way.
func (w *wire) set(way Way, change func(*Weather)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for dir := range ways {
		if way.has(dir) {
			change(&w.weather[dir])
		}
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// reset breaks all connections; both sides see it.
func (w *wire) reset() {
	w.mu.Lock()
	all := make([]*passage, 0, len(w.conns))
	for p := range w.conns {
		all = append(all, p)
	}
	w.mu.Unlock()
	for _, p := range all {
		p.abort()
	}
}

// end breaks all connections and takes no more.
func (w *wire) end() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.set(Both, func(x *Weather) { x.Cut = false })
	w.reset()
}

// fate is when n bytes that come now are through, and whether they are lost. Those
// of a stream are not lost, they come later.
func (w *wire) fate(dir, n int, stream bool) (at time.Time, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := &w.weather[dir]
	at = time.Now()
	if x.Rate > 0 {
		if w.free[dir].After(at) {
			at = w.free[dir]
		}
		at = at.Add(time.Duration(float64(n) / float64(x.Rate) * float64(time.Second)))
		w.free[dir] = at
	}
	at = at.Add(x.Delay)
	if x.Jitter > 0 {
		at = at.Add(time.Duration(w.rng.Int64N(int64(x.Jitter))))
	}
	if x.Loss > 0 {
		if !stream {
			return at, x.Cut || w.rng.Float64() < x.Loss
		}
		for wait := retransmit; w.rng.Float64() < x.Loss && wait < time.Minute; wait *= 2 {
			at = at.Add(wait)
		}
	}
	return at, x.Cut && !stream
}

// open waits until a direction is not cut. It is false where ctx ends before.
func (w *wire) open(ctx context.Context, dir int) bool {
	for {
		w.mu.Lock()
		cut, changed := w.weather[dir].Cut, w.changed
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

// passage is one connection over a wire.
type passage struct {
	w      *wire
	ends   [ways]*net.TCPConn // ends[out] is the one that was opened to us
	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once
}

// abort breaks both sides, so that they see a reset.
func (p *passage) abort() {
	p.once.Do(func() {
		p.cancel()
		p.w.mu.Lock()
		ends := p.ends
		p.w.mu.Unlock()
		for _, c := range ends {
			if c != nil {
				c.SetLinger(0)
				c.Close()
			}
		}
		p.w.mu.Lock()
		delete(p.w.conns, p)
		p.w.mu.Unlock()
	})
}

// piece is what came at once.
type piece struct {
	at   time.Time
	data []byte // nil for the end of the stream
}

const (
	pieceSize = 16 << 10
	mostHeld  = 64 // pieces on the way in a direction; then the sender is held, as by a full window
)

// carry takes a new connection over the wire to a target. It returns when both
// directions have ended.
//
// The system opens the near side before we are asked, so that a connection through a
// cut wire is made and then hears nothing, where in truth the opening would hang. To
// whoever bounds both times alike it is the same. A round trip of the weather is
// added before the first byte, as the opening takes one.
func (w *wire) carry(ctx context.Context, near *net.TCPConn, dialer *net.Dialer, target string) {
	p := &passage{w: w}
	p.ctx, p.cancel = context.WithCancel(ctx)
	defer p.abort()
	defer context.AfterFunc(p.ctx, p.abort)()
	w.mu.Lock()
	p.ends[out] = near
	ended := w.ended
	w.conns[p] = true
	w.mu.Unlock()
	if ended || !w.open(p.ctx, out) || !w.open(p.ctx, back) {
		return
	}
	far, err := dialer.DialContext(p.ctx, "tcp", target)
	if err != nil {
		return // a refused opening is seen as a reset
	}
	w.mu.Lock()
	p.ends[back] = far.(*net.TCPConn)
	gone := p.ctx.Err() != nil
	first := time.Now().Add(w.weather[out].Delay + w.weather[back].Delay)
	w.mu.Unlock()
	if gone {
		far.Close()
		return
	}
	var both sync.WaitGroup
	for dir := range ways {
		pieces := make(chan piece, mostHeld)
		both.Go(func() { p.take(dir, pieces) })
		both.Go(func() { p.give(dir, first, pieces) })
	}
	both.Wait()
}

// take reads what comes in one direction.
func (p *passage) take(dir int, pieces chan<- piece) {
	defer close(pieces)
	buf := make([]byte, pieceSize)
	for {
		n, err := p.ends[dir].Read(buf)
		if n > 0 {
			at, _ := p.w.fate(dir, n, true)
			select {
			case pieces <- piece{at, append([]byte(nil), buf[:n]...)}:
			case <-p.ctx.Done():
				return
			}
		}
		if errors.Is(err, io.EOF) {
			at, _ := p.w.fate(dir, 0, true)
			select {
			case pieces <- piece{at: at}:
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

// give writes it when its time has come, in order.
func (p *passage) give(dir int, first time.Time, pieces <-chan piece) {
	to := p.ends[1-dir]
	for x := range pieces {
		at := x.at
		if at.Before(first) {
			at = first
		}
		if !pause(p.ctx, time.Until(at)) || !p.w.open(p.ctx, dir) {
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

// pause is false where ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
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

// forwarder listens in the place of a party, for TCP and where it is asked for also
// for UDP on the same port.
type forwarder struct {
	target string
	over   func(from netip.Addr) *wire // the way of whoever comes from an address; nil to turn it away

	ctx  context.Context // of all it carries
	stop context.CancelFunc
	tcp  *net.TCPListener
	udp  *net.UDPConn
	work sync.WaitGroup

	mu       sync.Mutex
	sessions map[netip.AddrPort]*net.UDPConn
	ended    bool
}

// forward starts a forwarder at an address.
func forward(at, target string, datagrams bool, over func(from netip.Addr) *wire) (*forwarder, error) {
	f := &forwarder{target: target, over: over, sessions: map[netip.AddrPort]*net.UDPConn{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
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
		f.work.Go(f.datagrams)
	}
	f.work.Go(f.streams)
	return f, nil
}

func (f *forwarder) close() {
	f.mu.Lock()
	f.ended = true
	for _, s := range f.sessions {
		s.Close()
	}
	f.mu.Unlock()
	f.stop()
	f.tcp.Close()
	if f.udp != nil {
		f.udp.Close()
	}
	f.work.Wait()
}

func (f *forwarder) streams() {
	acceptloop.Serve(f.tcp, func(conn net.Conn) {
		c := conn.(*net.TCPConn)
		from := c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		w := f.over(from)
		if w == nil {
			c.SetLinger(0)
			c.Close()
			return
		}
		// The far side sees who it is from.
		d := &net.Dialer{Timeout: dialTime, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: from.AsSlice()}}
		f.work.Go(func() { w.carry(f.ctx, c, d, f.target) })
	})
}

const (
	dialTime     = 10 * time.Second
	mostSessions = 1024
	datagramSize = 64 << 10
)

// datagrams carries those that come to us on to the target, from a socket for each
// sender, and the answers back.
func (f *forwarder) datagrams() {
	buf := make([]byte, datagramSize)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			f.mu.Lock()
			ended := f.ended
			f.mu.Unlock()
			if ended {
				return
			}
			continue // an ICMP error of an earlier datagram
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		w := f.over(from.Addr())
		if w == nil {
			continue
		}
		s := f.session(from, w)
		if s == nil {
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		if at, lost := w.fate(out, n, false); !lost {
			time.AfterFunc(time.Until(at), func() { s.Write(data) })
		}
	}
}

func (f *forwarder) session(from netip.AddrPort, w *wire) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.sessions[from]; s != nil || f.ended || len(f.sessions) >= mostSessions {
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
	f.work.Go(func() {
		buf := make([]byte, datagramSize)
		for {
			n, err := s.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // refused: nobody listens at present
			}
			data := append([]byte(nil), buf[:n]...)
			if at, lost := w.fate(back, n, false); !lost {
				time.AfterFunc(time.Until(at), func() { f.udp.WriteToUDPAddrPort(data, from) })
			}
		}
	})
	return s
}
