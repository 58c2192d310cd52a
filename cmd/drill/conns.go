package main

// sweepToken is the timer that releases idle connections. The Balancer's tokens are lower.
const sweepToken = 1 << 62

// connTracker estimates which connections of an instance are idle. The simulator opens
// connections as needed and closes idle ones on a RELEASE action.
type connTracker struct {
	endpoints      []*endpointConns // in the order of first use
	byAddr         map[string]*endpointConns
	inFlight       map[attemptKey]*endpointConns
	sweepScheduled bool
}

type attemptKey struct {
	id     uint64
	number int
}

// endpointConns counts the connections of an instance to one endpoint.
type endpointConns struct {
	addr     string
	inFlight int // attempts without an outcome
	peak     int // of inFlight since the last sweep
	open     int // upper bound of the open connections
}

// sent records the start of an attempt and reports whether a sweep has to be scheduled.
func (c *connTracker) sent(id uint64, number int, addr string) (needsSweep bool) {
	e := c.byAddr[addr]
	if e == nil {
		if c.byAddr == nil {
			c.byAddr, c.inFlight = map[string]*endpointConns{}, map[attemptKey]*endpointConns{}
		}
		e = &endpointConns{addr: addr}
		c.byAddr[addr] = e
		c.endpoints = append(c.endpoints, e)
	}
	c.inFlight[attemptKey{id, number}] = e
	e.inFlight++
	e.peak, e.open = max(e.peak, e.inFlight), max(e.open, e.inFlight)
	needsSweep = !c.sweepScheduled
	c.sweepScheduled = true
	return needsSweep
}

// ended records the end of an attempt.
func (c *connTracker) ended(id uint64, number int) {
	k := attemptKey{id, number}
	if e := c.inFlight[k]; e != nil {
		e.inFlight--
		delete(c.inFlight, k)
	}
}

// sweep calls release for each endpoint with connections that were unused since the last
// sweep, and reports whether another sweep has to be scheduled.
func (c *connTracker) sweep(release func(addr string)) (again bool) {
	kept := c.endpoints[:0]
	for _, e := range c.endpoints {
		if e.open > e.peak {
			release(e.addr)
			e.open = e.inFlight
		}
		e.peak = e.inFlight
		if e.open == 0 {
			delete(c.byAddr, e.addr)
			continue
		}
		kept = append(kept, e)
	}
	clear(c.endpoints[len(kept):])
	c.endpoints = kept
	c.sweepScheduled = len(kept) > 0
	return c.sweepScheduled
}
