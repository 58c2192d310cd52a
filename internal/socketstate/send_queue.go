package socketstate

import (
	"net"

	"golang.org/x/sys/unix"
)

// SendQueue describes what has been written to a TCP connection, in bytes.
type SendQueue struct {
	Unacknowledged int // written, and not acknowledged by the peer's kernel
	PeerWindow     int // what the peer's kernel takes at present beyond that
}

// Unacknowledged returns how many bytes written to c the peer's kernel has not acknowledged; 0 if c is
// not an open socket.
func Unacknowledged(c net.Conn) (n int) {
	withFD(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n
}

// ReadSendQueue returns the state of c, and whether it is known: it is not if c is no open TCP connection.
func ReadSendQueue(c net.Conn) (q SendQueue, known bool) {
	withFD(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		q, known = SendQueue{Unacknowledged: n, PeerWindow: int(info.Snd_wnd)}, err == nil
	})
	return q, known
}
