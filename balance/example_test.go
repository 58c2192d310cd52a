package balance_test

import (
	"fmt"
	"time"

	"gorselink/balance"
)

// printer is a minimal implementation of Actions. A sidecar would open connections and set
// timers here.
type printer struct{}

func (printer) Send(id balance.RequestID, addr string, timeout time.Duration) {
	fmt.Println("send", id, "to", addr, "within", timeout)
}
func (printer) Reject(id balance.RequestID, _ time.Duration) { fmt.Println("reject", id) }
func (printer) Fail(id balance.RequestID)                    { fmt.Println("fail", id) }
func (printer) After(time.Duration, uint64)                  {}
func (printer) Watch()                                       {}

func Example() {
	b, err := balance.New(balance.Config{
		Instances:    1,
		Classes:      []balance.Class{{Deadline: time.Second, Idempotency: balance.Idempotent, PriorityWeight: 1}},
		AttemptLimit: 3,
		Multiplex:    1,
	}, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.UpdateEndpoints(0, balance.Full, []balance.Endpoint{{Addr: "10.0.0.1:80", State: balance.Ready}})
	b.Request(10*time.Millisecond, 1, 0, 0, time.Second)
	b.Outcome(30*time.Millisecond, 1, 0, balance.OK, 20*time.Millisecond, true)

	b.UpdateEndpoints(40*time.Millisecond, balance.Delta, []balance.Endpoint{{Addr: "10.0.0.1:80", State: balance.Draining}})
	b.Request(50*time.Millisecond, 2, 0, 0, time.Second) // held, as no endpoint is ready
	b.Timer(550*time.Millisecond, 2<<3|1)                // the sidecar returns the token passed to After
	b.Request(600*time.Millisecond, 1<<59, 0, 0, time.Second)
	b.Cancelled(700*time.Millisecond, 1<<59) // the client has left and gets no response
	// Output:
	// send 1 to 10.0.0.1:80 within 1s
	// reject 2
}
