package traffic

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Client describes how callers retry and give up.
type Client struct {
	Retries     int           // maximum number of retries
	RetryWait   time.Duration // before the first retry; 0 to retry at once
	RetryGrow   bool          // the wait doubles with each retry
	HonourShare float64       // share of callers that honour Retry-After
	LeaveShare  float64       // share of callers that disconnect before the response
	LeaveAfter  time.Duration // how long those callers wait
}

// maxRetryWait bounds a growing retry wait.
const maxRetryWait = time.Minute

// Check returns an error if a setting of c is out of range.
func (c *Client) Check() error {
	switch {
	case c.Retries < 0 || c.Retries > 1000:
		return fmt.Errorf("%d retries, want 0 to 1000", c.Retries)
	case c.RetryWait < 0 || c.RetryWait > maxRetryWait:
		return fmt.Errorf("retry wait %v, want 0 to %v", c.RetryWait, maxRetryWait)
	case !(c.HonourShare >= 0 && c.HonourShare <= 1) || !(c.LeaveShare >= 0 && c.LeaveShare <= 1):
		return fmt.Errorf("share of callers that honour Retry-After %v, share that leaves %v, want 0 to 1", c.HonourShare, c.LeaveShare)
	case c.LeaveShare > 0 && c.LeaveAfter <= 0:
		return fmt.Errorf("callers leave after %v, want a duration above 0", c.LeaveAfter)
	}
	return nil
}

// NextRetry returns whether a caller makes another retry after the given number of
// retries, and how long it waits before. retryable means that the request was not
// executed or is idempotent. retryAfter is the Retry-After of the response, 0 for
// none; a caller that honours it waits at least that long.
func (c *Client) NextRetry(retries int, retryable bool, retryAfter time.Duration, honours bool) (wait time.Duration, retry bool) {
	if !retryable || retries >= c.Retries {
		return 0, false
	}
	wait = c.RetryWait
	if c.RetryGrow {
		for range min(retries, 20) {
			wait = min(2*wait, maxRetryWait)
		}
	}
	if honours {
		wait = max(wait, retryAfter)
	}
	return wait, true
}

// CallerBehaviour is how one caller behaves. It follows from the seed and the
// arrival's index.
type CallerBehaviour struct {
	HonoursRetryAfter bool
	Leaves            bool
}

// CallerBehaviour draws the behaviour of an arrival's caller.
func (g *ContentGenerator) CallerBehaviour(c *Client, index uint64) CallerBehaviour {
	g.pcg.Seed(g.seed^seedCaller, index)
	return CallerBehaviour{HonoursRetryAfter: g.rng.Float64() < c.HonourShare, Leaves: g.rng.Float64() < c.LeaveShare}
}

// CallID returns the ID of one attempt; each attempt has a different one.
func (g *ContentGenerator) CallID(index uint64, attempt int) string {
	g.pcg.Seed(g.seed^seedCallID, index)
	id := rand.NewPCG(g.rng.Uint64(), uint64(attempt)).Uint64()
	return fmt.Sprintf("%016x", id)
}

const (
	seedCaller = 0x63616c6c6572
	seedCallID = 0x6964
)
