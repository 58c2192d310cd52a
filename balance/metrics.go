package balance

// RejectReason is why a request was rejected.
type RejectReason int

const (
	RejectedByLimit      RejectReason = iota // the admission limit was reached
	RejectedForTime                          // too little time left for an attempt
	RejectedNoEndpoint                       // no endpoint could be tried, or none was left
	RejectedAtDeadline                       // the budget ended
	RejectedAfterFailure                     // an attempt failed, and the retry budget was used up
	RejectedOnClose                          // the process ends
	rejectReasons                            // number of reasons
)

// Metrics are counts and measurements of a Balancer for its operators.
type Metrics struct {
	AdmissionLimit      float64            // attempts in flight; 0 means no limit yet
	Rejected            [rejectReasons]int // requests, by RejectReason
	ShortBudgetFailures int                // attempts whose failure a short budget explains
}

// Metrics returns the current metrics.
func (b *Balancer) Metrics() Metrics {
	m := b.metrics
	m.AdmissionLimit = b.admission.limit
	return m
}
