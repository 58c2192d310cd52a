package sidecar

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// lagMeter measures the lag of the machine with a periodic round trip over a loopback
// connection. Tests do not check the time limits of requests in intervals with high lag.
type lagMeter struct {
	mu           sync.Mutex
	lagIntervals []interval
	lastReply    time.Time
}

type interval struct{ from, until time.Time }

const (
	lagProbeInterval = 10 * time.Millisecond
	// lagThreshold is the round trip time above which the machine lags. It is well below
	// responseSlack because a request takes more steps than a round trip.
	lagThreshold = 40 * time.Millisecond
	// stallThreshold is the round trip time above which a sidecar may have closed a
	// connection because its client could not send a request in time.
	stallThreshold = time.Second
)

// machineLag returns the lagMeter of this process, which runs until the process exits.
var machineLag = sync.OnceValues(func() (*lagMeter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	serverConn, err := l.Accept()
	if err != nil {
		return nil, err
	}
	m := &lagMeter{lastReply: time.Now()}
	go io.Copy(serverConn, serverConn)
	go m.run(clientConn)
	return m, nil
})

func (m *lagMeter) run(echo net.Conn) {
	one := make([]byte, 1)
	for {
		time.Sleep(lagProbeInterval)
		if _, err := echo.Write(one); err != nil {
			return
		}
		if _, err := io.ReadFull(echo, one); err != nil {
			return
		}
		m.recordReply(time.Now())
	}
}

// recordReply records the end of a round trip.
func (m *lagMeter) recordReply(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastReply) > lagProbeInterval+lagThreshold {
		m.lagIntervals = append(m.lagIntervals, interval{m.lastReply, now})
	}
	m.lastReply = now
}

// lagged reports whether the machine lagged at any time between from and until.
func (m *lagMeter) lagged(from, until time.Time) bool { return m.exceeded(lagThreshold, from, until) }

// stalled reports whether the machine stalled at any time between from and until.
func (m *lagMeter) stalled(from, until time.Time) bool {
	return m.exceeded(stallThreshold, from, until)
}

// exceeded reports whether a round trip between from and until took longer than threshold.
func (m *lagMeter) exceeded(threshold time.Duration, from, until time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return until.Sub(m.lastReply) > lagProbeInterval+threshold || slices.ContainsFunc(m.lagIntervals, func(s interval) bool {
		return s.until.Sub(s.from) > lagProbeInterval+threshold && s.from.Before(until) && from.Before(s.until)
	})
}

// The meter reports lag and stalls only for intervals that contain them.
func TestLagMeter(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	m := &lagMeter{lastReply: at(0)}
	for _, ms := range []int{11, 25, 200, 215} {
		m.recordReply(at(ms))
	}
	for _, c := range []struct {
		from, until int
		want        bool
	}{{0, 20, false}, {20, 30, true}, {100, 120, true}, {190, 300, true}, {201, 215, false}, {201, 260, false}, {201, 270, true}} {
		if got := m.lagged(at(c.from), at(c.until)); got != c.want {
			t.Errorf("%d to %d ms: lagged is %t, want %t", c.from, c.until, got, c.want)
		}
		if m.stalled(at(c.from), at(c.until)) {
			t.Errorf("%d to %d ms: stalled is true, want false", c.from, c.until)
		}
	}
	m.recordReply(at(1300))
	if !m.stalled(at(250), at(300)) || m.stalled(at(100), at(210)) {
		t.Error("a stall is not reported, or is reported for an interval without one")
	}
}
