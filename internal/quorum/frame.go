// Package quorum is what clients of a quorum of voters use: frames over a connection, a
// client that finds the leader, and the driving of a lease.Holder by clock and answers.
// The voters themselves are package voter, which sidecars do not carry.
package quorum

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"gorselink/lease"
)

// Now is the time of a clock that nobody can set and that goes on while the machine is
// suspended: one that stood still meanwhile would let a claim live on after it was given
// to another.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("quorum: clock_gettime: " + err.Error()) // every kernel since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}

// What goes over a connection is frames: the length of the rest, what it is, and that.
// The first frame of either side is a hello.
const (
	FrameHello       = 'h'
	FrameRaftMessage = 'm' // of the engine, between voters
	FrameRequest     = 'a' // of a client
	FrameResponse    = 'r'
	FrameLeaseChange = 'n' // to a client that watches

	MaxFrameBytes       = 64 << 20 // of a snapshot among voters
	MaxClientFrameBytes = 64 << 10 // of a client
	version             = 1
	HandshakeTimeout    = 5 * time.Second
)

// Voter is one of those that keep the state.
type Voter struct {
	ID      uint64 // from 1, never used again for another
	Address string
}

// Status is how a voter stands.
type Status struct {
	ID            uint64 `json:"id"`
	Term          uint64 `json:"term"`
	Leader        uint64 `json:"leader"` // 0 if it knows of none
	AppliedIndex  uint64 `json:"applied"`
	Leases        int    `json:"leases"`
	Clients       int    `json:"clients"`
	SnapshotIndex uint64 `json:"snapshot"` // index
}

// Hello is who speaks.
type Hello struct {
	Version int    `json:"version"`
	Cluster string `json:"cluster"`
	Voter   uint64 `json:"voter,omitempty"` // 0 for a client
	Error   string `json:"error,omitempty"` // why the other side is turned away
}

// Ask is what a client wants to know or to have done.
type Request struct {
	RequestID uint64         `json:"number"`
	Command   *lease.Command `json:"command,omitempty"`
	Watch     string         `json:"watch,omitempty"` // be told when this lease changes
	List      bool           `json:"list,omitempty"`  // all leases, as the leader has them
	Status    bool           `json:"status,omitempty"`
}

// Answer is what has come of it. NotLeader answers say whom to ask, if that is known.
type Response struct {
	RequestID uint64                  `json:"number"`
	Error     string                  `json:"error,omitempty"`
	Code      string                  `json:"code,omitempty"`
	Record    lease.Record            `json:"record"`
	NotLeader bool                    `json:"not_leader,omitempty"`
	Leader    uint64                  `json:"leader,omitempty"` // a voter's number: clients have their own ways to it
	Leases    map[string]lease.Record `json:"leases,omitempty"`
	Status    *Status                 `json:"status,omitempty"`
}

// News is that a lease has changed.
type LeaseChange struct {
	Lease  string       `json:"lease"`
	Record lease.Record `json:"record"`
}

// codes of errors that callers tell apart.
var codes = map[string]error{"held": lease.ErrHeld, "stale": lease.ErrStale, "unknown": lease.ErrUnknown, "bounds": lease.ErrBounds}

func ErrorCode(err error) string {
	for code, e := range codes {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}

// reply is the answer as a lease.Reply.
func (a *Response) reply() lease.Reply {
	r := lease.Reply{Record: a.Record}
	if a.Error != "" {
		if r.Err = codes[a.Code]; r.Err == nil {
			r.Err = errors.New(a.Error)
		}
	}
	return r
}

// Link is a connection with frames.
type FrameConn struct {
	net.Conn
	in *bufio.Reader
}

func NewFrameConn(c net.Conn) *FrameConn { return &FrameConn{c, bufio.NewReader(c)} }

// ReadFrame reads a frame of at most so many bytes.
func (l *FrameConn) ReadFrame(most int) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(l.in, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:4]))
	if n > most {
		return 0, nil, fmt.Errorf("a frame of %d bytes, want %d at most", n, most)
	}
	// What a frame only claims to hold is not set aside before it comes.
	body, err = io.ReadAll(io.LimitReader(l.in, int64(n)))
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return head[4], body, err
}

func (l *FrameConn) WriteFrame(kind byte, body []byte) error {
	out := make([]byte, 5, 5+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	out[4] = kind
	_, err := l.Conn.Write(append(out, body...))
	return err
}

func (l *FrameConn) WriteJSON(kind byte, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return l.WriteFrame(kind, body)
}

// Greet tells who we are and hears who it is. A foreign cluster is an error on both
// sides, which names both.
func (l *FrameConn) Handshake(own Hello) (other Hello, err error) {
	l.SetDeadline(time.Now().Add(HandshakeTimeout))
	defer l.SetDeadline(time.Time{})
	own.Version = version
	if err := l.WriteJSON(FrameHello, own); err != nil {
		return other, err
	}
	kind, body, err := l.ReadFrame(MaxClientFrameBytes)
	if err != nil {
		return other, err
	}
	if kind != FrameHello {
		return other, fmt.Errorf("a frame %q before the hello", kind)
	}
	if err := json.Unmarshal(body, &other); err != nil {
		return other, fmt.Errorf("hello: %w", err)
	}
	switch {
	case other.Error != "":
		return other, fmt.Errorf("turned away: %s", other.Error)
	case other.Version != version:
		err = fmt.Errorf("version %d of the protocol, this one speaks %d", other.Version, version)
	case other.Cluster != own.Cluster:
		err = fmt.Errorf("cluster %q, this is %q", other.Cluster, own.Cluster)
	}
	if err != nil {
		l.WriteJSON(FrameHello, Hello{Version: version, Cluster: own.Cluster, Error: err.Error()})
	}
	return other, err
}
