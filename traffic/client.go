package traffic

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Client is how callers behave when they are not served.
type Client struct {
	Retries    int           // tries after the first one, at most
	Wait       time.Duration // before the first retry; 0 to try again at once
	Grow       bool          // the wait doubles with each try
	Honour     float64       // share of callers that heed Retry-After
	Leave      float64       // share of callers that leave before the answer
	LeaveAfter time.Duration // and how long they wait
}

// maxWait bounds a wait that grows.
const maxWait = time.Minute

// Check tells what is wrong with c, or nil.
func (c *Client) Check() error {
	switch {
	case c.Retries < 0 || c.Retries > 1000:
		return fmt.Errorf("%d retries, want 0 to 1000", c.Retries)
	case c.Wait < 0 || c.Wait > maxWait:
		return fmt.Errorf("a wait of %v, want 0 to %v", c.Wait, maxWait)
	case !(c.Honour >= 0 && c.Honour <= 1) || !(c.Leave >= 0 && c.Leave <= 1):
		return fmt.Errorf("shares of %v and %v, want 0 to 1", c.Honour, c.Leave)
	case c.Leave > 0 && c.LeaveAfter <= 0:
		return fmt.Errorf("callers that leave after %v, want a time above 0", c.LeaveAfter)
	}
	return nil
}

// Next says whether a caller tries again, and when, after so many retries.
// harmless tells that the answer said so, or that the request may be repeated
// by its nature; retryAfter is what the answer asked for, 0 for nothing.
//
// A caller that heeds Retry-After waits so long at the least; one that does not
// waits as it always does.
func (c *Client) Next(retries int, harmless bool, retryAfter time.Duration, heeds bool) (wait time.Duration, again bool) {
	if !harmless || retries >= c.Retries {
		return 0, false
	}
	wait = c.Wait
	if c.Grow {
		for range min(retries, 20) {
			wait = min(2*wait, maxWait)
		}
	}
	if heeds {
		wait = max(wait, retryAfter)
	}
	return wait, true
}

// Caller is the character of who makes one request: it follows from the seed
// and the arrival's number, as the content does.
type Caller struct {
	Heeds  bool // Retry-After
	Leaves bool
}

// Caller draws the character of an arrival's caller.
func (f *Filler) Caller(c *Client, index uint64) Caller {
	f.pcg.Seed(f.seed^streamCaller, index)
	return Caller{Heeds: f.rng.Float64() < c.Honour, Leaves: f.rng.Float64() < c.Leave}
}

// CallID is the id of one try: every try has its own.
func (f *Filler) CallID(index uint64, try int) string {
	f.pcg.Seed(f.seed^streamID, index)
	id := rand.NewPCG(f.rng.Uint64(), uint64(try)).Uint64()
	return fmt.Sprintf("%016x", id)
}

const (
	streamCaller = 0x63616c6c6572
	streamID     = 0x6964
)
