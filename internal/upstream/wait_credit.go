package upstream

import "time"

// A response that has begun to its caller goes on, also after its deadline, as long as its endpoint
// gives minStreamRate in the mean and does not pause for longer than maxSilence, or maxLongSilence once it is
// known to be long. Cutting it off frees the places that it holds, and nothing else: one of up to
// SmallResponseBytes is late by then, and a longer one is lost only because it is cut off.
const (
	// minStreamRate is in bytes per second. SmallResponseBytes take two minutes at this rate.
	minStreamRate = 512

	// maxLongSilence bounds a pause inside a response that is known to be longer than SmallResponseBytes.
	maxLongSilence = 10 * time.Second
)

// waitCredit is how long a stream still waits for its endpoint. Data adds to it, and waiting uses it up. Time
// in which the caller takes nothing is no waiting. The zero value has no credit.
type waitCredit struct{ left time.Duration }

// receive adds the time in which so many bytes come at minStreamRate, up to a limit.
func (w *waitCredit) receive(bytes int64, limit time.Duration) {
	bytes = min(bytes, int64(limit.Seconds()*minStreamRate)+1)
	w.left = min(w.left+time.Duration(bytes)*time.Second/minStreamRate, limit)
}

// wait takes off the time for which the stream has waited.
func (w *waitCredit) wait(d time.Duration) { w.left = max(w.left-d, 0) }
