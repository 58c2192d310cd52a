package upstream

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"gorselink/internal/socketstate"
)

// An endpoint begins a request when its last byte has arrived, and so does the time for which it
// deduplicates repeats of its key. A retry of such a request has to arrive before that time ends. As long
// as the last byte is not written, the request cannot run.
const (
	// deliveryPieceBytes is how much of a body is written between two checks of its progress.
	deliveryPieceBytes = 64 << 10

	// deliveryCheckInterval bounds the time between two checks while the endpoint reads nothing.
	deliveryCheckInterval = 20 * time.Millisecond

	// deliveryPollInterval is the time between two looks at the send queue before the last byte is written.
	deliveryPollInterval = time.Millisecond

	// minObservedShare is the share of the time for a delivery after which its pace is judged.
	minObservedShare = 0.25

	// paceTolerance is how many times faster an endpoint is assumed to become.
	paceTolerance = 2
)

// ErrDeliveryTooLate means that the last byte of a request was not written, because it could not have
// arrived in time.
var ErrDeliveryTooLate = errors.New("the last byte of the request could not arrive in time to be deduplicated")

// errDeliveryNotBegun is an ErrDeliveryTooLate of a request of which nothing was written.
var errDeliveryNotBegun = fmt.Errorf("%w: not begun", ErrDeliveryTooLate)

// Delivery is what the last byte of a request is bound to.
type Delivery struct {
	Deadline       time.Time // by which the last byte has to arrive at the endpoint; zero for none
	ReportLastByte bool      // DeliveryObserver.LastByteWriting is to be called
}

// DeliveryObserver bounds the delivery of long requests and is told of their last byte. A Confirmer may
// implement it; its methods are called in the goroutine of the attempt.
type DeliveryObserver interface {
	// Delivery is called before a request with a long body is written.
	Delivery() Delivery
	// LastByteWriting is called right before the last byte of the request is written.
	LastByteWriting()
}

// delivery writes a request with a long body.
type delivery struct {
	Delivery
	conn     *conn
	call     *Call
	observer DeliveryObserver
	limit    time.Time // Deadline, or that of the attempt if it is earlier
	began    time.Time
	size     int // bytes of the request
	written  int
	window   int // largest window that the peer has had, in bytes
}

// deliver writes the prepared head and then a long body.
func (x *exchange) deliver(body []byte) error {
	head := x.conn.writeBuf
	d := delivery{Delivery: x.delivery.Delivery(), conn: x.conn, call: x.call, observer: x.delivery, began: time.Now(), size: len(head) + len(body)}
	err := d.write(head, body, x.deadline)
	x.conn.target.pace.record(d.written-socketstate.Unacknowledged(x.conn.Conn), time.Since(d.began))
	return err
}

// write writes the request by the deadline of the attempt.
func (d *delivery) write(head, body []byte, attemptDeadline time.Time) (err error) {
	if d.Delivery == (Delivery{}) {
		return d.writeAtOnce(head, body)
	}
	last := len(body) - 1
	if d.Deadline.IsZero() {
		err = d.writeAtOnce(head, body[:last])
	} else {
		err = d.writeInTime(head, body[:last], attemptDeadline)
	}
	if err != nil {
		return err
	}
	return d.writeLastByte(body[last:])
}

// writeAtOnce writes the head and so much of the body.
func (d *delivery) writeAtOnce(head, body []byte) error {
	buffers := net.Buffers{head, body}
	n, err := buffers.WriteTo(d.conn.Conn)
	d.written = int(n)
	return err
}

// writeLastByte writes the last byte unless the deadline has passed.
func (d *delivery) writeLastByte(b []byte) error {
	if d.ReportLastByte {
		d.observer.LastByteWriting()
	}
	if !d.Deadline.IsZero() && !time.Now().Before(d.limit) {
		return ErrDeliveryTooLate
	}
	_, err := d.conn.Write(b)
	return err
}

// writeInTime writes the request without its last byte and returns when all of that has arrived, or when the
// last byte could not arrive in time.
func (d *delivery) writeInTime(head, body []byte, attemptDeadline time.Time) error {
	d.limit = earlier(d.Deadline, attemptDeadline)
	if d.conn.target.pace.expected(d.size, d.began) > paceTolerance*d.limit.Sub(d.began) {
		return errDeliveryNotBegun
	}
	defer func() { d.conn.SetWriteDeadline(d.limit) }()
	for _, part := range [][]byte{head, body} {
		if err := d.writeObserved(part); err != nil {
			return err
		}
	}
	return d.awaitArrival()
}

// writeObserved writes b and checks the progress between the writes.
func (d *delivery) writeObserved(b []byte) error {
	for len(b) > 0 {
		d.conn.SetWriteDeadline(earlier(d.limit, time.Now().Add(deliveryCheckInterval)))
		n, err := d.conn.Write(b[:min(len(b), deliveryPieceBytes)])
		d.written += n
		b = b[n:]
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if _, err := d.check(); err != nil {
			return err
		}
	}
	return nil
}

// awaitArrival waits until the endpoint has received what has been written.
func (d *delivery) awaitArrival() error {
	for {
		arrived, err := d.check()
		if arrived || err != nil {
			return err
		}
		time.Sleep(deliveryPollInterval)
	}
}

// check reports whether all that has been written has arrived and the last byte would arrive in time. It
// returns an error if the call has ended or the last byte cannot arrive in time.
func (d *delivery) check() (arrived bool, err error) {
	now := time.Now()
	switch {
	case d.call.Ended():
		return false, net.ErrClosed
	case !now.Before(d.limit):
		return false, ErrDeliveryTooLate
	}
	queue, known := socketstate.ReadSendQueue(d.conn.Conn)
	if !known {
		return true, nil
	}
	consumed := d.written - queue.Unacknowledged - d.unread(queue.PeerWindow)
	elapsed, left := now.Sub(d.began), d.limit.Sub(now)
	needed := timeAtPace(d.size-consumed, consumed, elapsed)
	observed := elapsed.Seconds() >= minObservedShare*(elapsed+left).Seconds()
	if observed && needed > paceTolerance*left {
		return false, ErrDeliveryTooLate
	}
	return queue.Unacknowledged == 0 && queue.PeerWindow > 0 && needed < left, nil
}

// unread estimates how many bytes of the request the endpoint's kernel holds that the endpoint has not
// read, from how much the window has shrunk. A kernel tells of a window that grows only once it has
// doubled, so that one of at least half of the largest size says nothing.
func (d *delivery) unread(window int) int {
	d.window = max(d.window, window)
	if window >= d.window/2 {
		return 0
	}
	return min(d.window-window, d.written)
}
