package httpfront

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// bodyStall is how long a body may stop, and bodyGrace how long it may come
	// more slowly than bodyRate, in bytes a second. A caller on a thin line that
	// goes on sending is served; one that brings half a body is told off in
	// the 3 s that it is owed a word in.
	bodyStall = 2 * time.Second
	bodyGrace = 2500 * time.Millisecond
	bodyRate  = 32 << 10
)

// intake reads what a caller sends. While a body comes, each read may last as
// long as the pace of what has come allows; otherwise the deadline of the
// connection holds.
type intake struct {
	conn  net.Conn
	begun time.Time // of the body; zero for none
	got   int64     // bytes of it

	stopped atomic.Bool // nothing more is read of the request that is coming
}

// stop ends the reading of the request that is coming, from another goroutine.
func (k *intake) stop() {
	k.stopped.Store(true)
	k.conn.SetReadDeadline(past)
}

func (k *intake) begin() { k.begun, k.got = time.Now(), 0 }
func (k *intake) end()   { k.begun = time.Time{} }

// Read implements io.Reader.
func (k *intake) Read(b []byte) (int, error) {
	if k.begun.IsZero() {
		return k.conn.Read(b)
	}
	until := k.begun.Add(bodyGrace + time.Duration(k.got)*time.Second/bodyRate)
	if stall := time.Now().Add(bodyStall); stall.Before(until) {
		until = stall
	}
	k.conn.SetReadDeadline(until)
	if k.stopped.Load() { // meanwhile, or before
		k.conn.SetReadDeadline(past)
	}
	n, err := k.conn.Read(b)
	k.got += int64(n)
	return n, err
}
