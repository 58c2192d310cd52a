package pool

import (
	"gorselink/balance"
	"gorselink/internal/upstream"
)

// The methods of attempt in this file implement upstream.DeliveryObserver.

// Delivery bounds the delivery of a retry to the time in which its key is deduplicated.
func (a *attempt) Delivery() (d upstream.Delivery) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	d.ReportLastByte = p.balancer.Idempotency(a.request.Class) == balance.IdempotentByKey
	if deadline, bounded := p.balancer.ArrivalDeadline(a.request.id, a.number); bounded {
		d.Deadline = p.start.Add(deadline)
	}
	return d
}

// LastByteWriting records from when on endpoints deduplicate repeats of the request.
func (a *attempt) LastByteWriting() {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.LastByteSent(p.now(), a.request.id, a.number)
}
