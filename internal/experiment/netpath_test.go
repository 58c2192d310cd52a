package experiment

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

const waitTimeout = 20 * time.Second

// startEcho starts a TCP and UDP echo server on one port, and reports the address of each TCP
// client.
func startEcho(t *testing.T) (addr string, from chan netip.Addr) {
	t.Helper()
	var l net.Listener
	var u net.PacketConn
	for u == nil { // until a port is free for both protocols
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		if u, err = net.ListenPacket("udp", l.Addr().String()); err != nil {
			l.Close()
			if !errors.Is(err, syscall.EADDRINUSE) {
				t.Fatal(err)
			}
			u = nil
		}
	}
	t.Cleanup(func() { l.Close(); u.Close() })
	from = make(chan netip.Addr, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			from <- c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	go func() {
		buf := make([]byte, 2000)
		for {
			n, a, err := u.ReadFrom(buf)
			if err != nil {
				return
			}
			u.WriteTo(buf[:n], a)
		}
	}()
	return l.Addr().String(), from
}

// startTestForwarder starts a forwarder to a target.
func startTestForwarder(t *testing.T, target string, over func(netip.Addr) *netPath) string {
	t.Helper()
	for port := 30000; ; port++ {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.250.0.1"), uint16(port)).String()
		f, err := startForwarder(at, target, true, over)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.close)
		return at
	}
}

func dial(t *testing.T, network, at string, from netip.Addr) net.Conn {
	t.Helper()
	d := net.Dialer{Timeout: waitTimeout}
	if from.IsValid() && network == "tcp" {
		d.LocalAddr = &net.TCPAddr{IP: from.AsSlice()}
	} else if from.IsValid() {
		d.LocalAddr = &net.UDPAddr{IP: from.AsSlice()}
	}
	c, err := d.Dial(network, at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// echoTime sends a word and returns the time until its echo, and whether it came within wait.
func echoTime(t *testing.T, c net.Conn, wait time.Duration) (time.Duration, bool) {
	t.Helper()
	begin := time.Now()
	if _, err := io.WriteString(c, "word"); err != nil {
		return 0, false
	}
	c.SetReadDeadline(begin.Add(wait))
	got := make([]byte, 4)
	_, err := io.ReadFull(c, got)
	return time.Since(begin), err == nil && string(got) == "word"
}

// Conditions affect streams and datagrams. Times are checked only for lower bounds, as a busy
// machine adds delay.
func TestConditions(t *testing.T) {
	t.Parallel()
	addr, _ := startEcho(t)
	w := newNetPath(1, 1)
	t.Cleanup(w.close)
	at := startTestForwarder(t, addr, func(netip.Addr) *netPath { return w })
	tcp, udp := dial(t, "tcp", at, netip.Addr{}), dial(t, "udp", at, netip.Addr{})
	both := map[string]net.Conn{"tcp": tcp, "udp": udp}
	for name, c := range both {
		if _, ok := echoTime(t, c, waitTimeout); !ok {
			t.Fatalf("%s: no echo without any conditions set", name)
		}
	}
	w.setConditions(DirectionBoth, func(x *Conditions) { x.Delay = 100 * time.Millisecond })
	for name, c := range both {
		if took, ok := echoTime(t, c, waitTimeout); !ok || took < 200*time.Millisecond {
			t.Errorf("%s: round trip in %v, want at least 200ms", name, took)
		}
	}
	w.setConditions(DirectionBack, func(x *Conditions) { *x = Conditions{} })
	if took, ok := echoTime(t, tcp, waitTimeout); !ok || took < 100*time.Millisecond {
		t.Errorf("round trip in %v with a delay of 100ms in one direction", took)
	}
	// A lost chunk of a stream is delayed, a lost datagram is dropped.
	w.setConditions(DirectionBoth, func(x *Conditions) { *x = Conditions{} })
	w.setConditions(DirectionOut, func(x *Conditions) { *x = Conditions{Loss: 1} })
	if _, ok := echoTime(t, udp, 200*time.Millisecond); ok {
		t.Error("a datagram arrived with a loss of 1")
	}
	w.setConditions(DirectionOut, func(x *Conditions) { *x = Conditions{Loss: 0.5} })
	late := 0
	for range 12 { // with this seed some of them are late
		if took, ok := echoTime(t, tcp, waitTimeout); !ok {
			t.Error("a stream lost bytes")
		} else if took >= retransmitTimeout {
			late++
		}
	}
	if late == 0 {
		t.Error("loss did not delay the stream")
	}
	w.setConditions(DirectionOut, func(x *Conditions) { *x = Conditions{Rate: 20} }) // 4 bytes take 200 ms
	if took, ok := echoTime(t, tcp, waitTimeout); !ok || took < 200*time.Millisecond {
		t.Errorf("4 bytes at 20 bytes per second in %v, want at least 200ms", took)
	}
}

// A cut drops datagrams and holds the data of streams until it heals. A cut in one direction
// leaves the other one open.
func TestCutIsSilent(t *testing.T) {
	t.Parallel()
	addr, from := startEcho(t)
	w := newNetPath(1, 1)
	t.Cleanup(w.close)
	at := startTestForwarder(t, addr, func(netip.Addr) *netPath { return w })
	tcp, udp := dial(t, "tcp", at, netip.Addr{}), dial(t, "udp", at, netip.Addr{})
	if _, ok := echoTime(t, tcp, waitTimeout); !ok {
		t.Fatal("no echo without any conditions set")
	}
	<-from
	for _, way := range []Direction{DirectionOut, DirectionBack} {
		w.setConditions(way, func(x *Conditions) { x.Cut = true })
		for _, c := range []net.Conn{tcp, udp} {
			if took, ok := echoTime(t, c, 200*time.Millisecond); ok || took < 150*time.Millisecond {
				t.Errorf("cut %s: echo after %v (%v), want none", way, took, ok)
			}
		}
		fresh := dial(t, "tcp", at, netip.Addr{})
		select {
		case <-from:
			t.Errorf("cut %s: a connection went through", way)
		case <-time.After(100 * time.Millisecond):
		}
		w.setConditions(DirectionBoth, func(x *Conditions) { x.Cut = false })
		got := make([]byte, 4)
		tcp.SetReadDeadline(time.Now().Add(waitTimeout))
		if _, err := io.ReadFull(tcp, got); err != nil {
			t.Errorf("healed %s: held data did not arrive: %v", way, err)
		}
		if _, ok := echoTime(t, fresh, waitTimeout); !ok {
			t.Errorf("healed %s: no echo on a connection opened during the cut", way)
		}
		<-from
		if _, ok := echoTime(t, udp, waitTimeout); !ok {
			t.Errorf("healed %s: no echo of a datagram", way)
		}
	}
	w.resetConnections()
	tcp.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := tcp.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
}

// A forwarder uses the path of each sender's address, and the target sees that address.
func TestPathBySenderAddress(t *testing.T) {
	t.Parallel()
	addr, from := startEcho(t)
	one, other := netip.MustParseAddr("127.250.1.1"), netip.MustParseAddr("127.250.1.2")
	wires := map[netip.Addr]*netPath{one: newNetPath(1, 1), other: newNetPath(1, 2)}
	for _, w := range wires {
		t.Cleanup(w.close)
	}
	at := startTestForwarder(t, addr, func(a netip.Addr) *netPath { return wires[a] })
	wires[one].setConditions(DirectionBoth, func(x *Conditions) { x.Cut = true })
	for _, network := range []string{"tcp", "udp"} {
		if _, ok := echoTime(t, dial(t, network, at, one), 200*time.Millisecond); ok {
			t.Errorf("%s: echo through a cut", network)
		}
		if _, ok := echoTime(t, dial(t, network, at, other), waitTimeout); !ok {
			t.Errorf("%s: no echo over the path that is not cut", network)
		}
	}
	if a := <-from; a != other {
		t.Errorf("the target sees %v, want %v", a, other)
	}
	d := net.Dialer{Timeout: waitTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 250, 1, 3)}}
	if c, err := d.Dial("tcp", at); err == nil { // the reset may arrive during or after the connect
		defer c.Close()
		if _, ok := echoTime(t, c, waitTimeout); ok {
			t.Error("a sender without a path got an echo")
		}
	}
}
