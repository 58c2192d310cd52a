// Package leaseclient is the client side of the lease server: the frames on a connection, a
// client that finds the leader among the voters, and the timers and requests that drive a
// lease.Holder. The voters are in package leaseserver, which sidecars do not import.
package leaseclient

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

// Now returns the time since boot, including time during which the machine was suspended.
// A clock that stops during suspension would keep a claim valid after the lease has been
// granted to another client.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("leaseclient: clock_gettime: " + err.Error()) // supported since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Kinds of frames. A frame consists of the length of its body (4 bytes, big endian), its
// kind (1 byte) and the body. The first frame in each direction is a FrameHello.
const (
	FrameHello       = 'h'
	FrameRaftMessage = 'm' // from voter to voter
	FrameRequest     = 'a' // from a client
	FrameResponse    = 'r' // to a client
	FrameLeaseChange = 'n' // to a client that watches the lease

	MaxFrameBytes       = 64 << 20 // between voters, and from a voter to a client
	MaxClientFrameBytes = 64 << 10 // from a client, and for a hello
	protocolVersion     = 1
	HandshakeTimeout    = 5 * time.Second
)

// Voter is a replica of the lease server.
type Voter struct {
	ID      uint64 // at least 1; the ID of a removed voter is never reused
	Address string
}

// Status is the state of one voter.
type Status struct {
	ID            uint64 `json:"id"`
	Term          uint64 `json:"term"`
	Leader        uint64 `json:"leader"` // 0 if unknown
	AppliedIndex  uint64 `json:"applied"`
	Leases        int    `json:"leases"`
	Clients       int    `json:"clients"`
	SnapshotIndex uint64 `json:"snapshot"`
}

// Hello identifies the sender at the start of a connection.
type Hello struct {
	Version int    `json:"version"`
	Cluster string `json:"cluster"`
	Voter   uint64 `json:"voter,omitempty"` // 0 for a client
	Error   string `json:"error,omitempty"` // why the sender rejects the connection
}

// Request is a client's request. Exactly one of Command, Watch, List and Status is set.
type Request struct {
	RequestID uint64         `json:"number"`
	Command   *lease.Command `json:"command,omitempty"`
	Watch     string         `json:"watch,omitempty"` // name of a lease whose changes are to be sent
	List      bool           `json:"list,omitempty"`  // return all leases
	Status    bool           `json:"status,omitempty"`
}

// Response is the response to the Request with the same ID. With NotLeader, Leader is the
// ID of the voter to send the request to instead, if it is known.
type Response struct {
	RequestID uint64                  `json:"number"`
	Error     string                  `json:"error,omitempty"`
	Code      string                  `json:"code,omitempty"`
	Record    lease.Record            `json:"record"`
	NotLeader bool                    `json:"not_leader,omitempty"`
	Leader    uint64                  `json:"leader,omitempty"` // an ID, as clients may reach voters at other addresses
	Leases    map[string]lease.Record `json:"leases,omitempty"`
	Status    *Status                 `json:"status,omitempty"`
}

// LeaseChange notifies a watching client that a lease has a new holder or epoch, or is free.
type LeaseChange struct {
	Lease  string       `json:"lease"`
	Record lease.Record `json:"record"`
}

// errorsByCode maps each Response.Code to the error that callers compare with.
var errorsByCode = map[string]error{"held": lease.ErrHeld, "stale": lease.ErrStale, "unknown": lease.ErrUnknownLease, "bounds": lease.ErrInvalidCommand}

// ErrorCode returns the Response.Code for err, or "" if it has none.
func ErrorCode(err error) string {
	for code, e := range errorsByCode {
		if errors.Is(err, e) {
			return code
		}
	}
	return ""
}

// result converts the response to a command into a lease.Result.
func (r *Response) result() lease.Result {
	res := lease.Result{Record: r.Record}
	if r.Error != "" {
		if res.Err = errorsByCode[r.Code]; res.Err == nil {
			res.Err = errors.New(r.Error)
		}
	}
	return res
}

// FrameConn is a connection that carries frames.
type FrameConn struct {
	net.Conn
	reader *bufio.Reader
}

// NewFrameConn returns a FrameConn on c.
func NewFrameConn(c net.Conn) *FrameConn { return &FrameConn{c, bufio.NewReader(c)} }

// ReadFrame reads one frame. A body of more than maxBytes bytes is an error.
func (f *FrameConn) ReadFrame(maxBytes int) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(header[:4]))
	if n > maxBytes {
		return 0, nil, fmt.Errorf("frame of %d bytes exceeds the limit of %d", n, maxBytes)
	}
	// The buffer grows with the bytes received, so that a false length allocates nothing.
	body, err = io.ReadAll(io.LimitReader(f.reader, int64(n)))
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return header[4], body, err
}

// WriteFrame writes one frame.
func (f *FrameConn) WriteFrame(kind byte, body []byte) error {
	frame := make([]byte, 5, 5+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = kind
	_, err := f.Conn.Write(append(frame, body...))
	return err
}

// WriteJSON writes one frame whose body is v encoded as JSON.
func (f *FrameConn) WriteJSON(kind byte, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return f.WriteFrame(kind, body)
}

// Handshake sends this side's hello and returns the peer's. If the protocol versions or the
// clusters differ, it fails at both ends.
func (f *FrameConn) Handshake(own Hello) (peer Hello, err error) {
	f.SetDeadline(time.Now().Add(HandshakeTimeout))
	defer f.SetDeadline(time.Time{})
	own.Version = protocolVersion
	if err := f.WriteJSON(FrameHello, own); err != nil {
		return peer, err
	}
	kind, body, err := f.ReadFrame(MaxClientFrameBytes)
	if err != nil {
		return peer, err
	}
	if kind != FrameHello {
		return peer, fmt.Errorf("received frame of kind %q, want a hello", kind)
	}
	if err := json.Unmarshal(body, &peer); err != nil {
		return peer, fmt.Errorf("decode hello: %w", err)
	}
	switch {
	case peer.Error != "":
		return peer, fmt.Errorf("connection rejected by the peer: %s", peer.Error)
	case peer.Version != protocolVersion:
		err = fmt.Errorf("received hello with protocol version %d, want %d", peer.Version, protocolVersion)
	case peer.Cluster != own.Cluster:
		err = fmt.Errorf("received hello from cluster %q, want %q", peer.Cluster, own.Cluster)
	}
	if err != nil {
		f.WriteJSON(FrameHello, Hello{Version: protocolVersion, Cluster: own.Cluster, Error: err.Error()})
	}
	return peer, err
}
