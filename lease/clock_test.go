package lease

import (
	"fmt"
	"testing"
	"time"

	clocks "gorselink/internal/clock"
)

// machine has its own wall clock and monotonic clock. Times passed to the code under
// test are those of the monotonic clock.
type machine struct {
	*clocks.Manual
	booted time.Time
}

func newMachine() machine {
	m := clocks.NewManual(0)
	return machine{m, m.Clock().Now()}
}

func (m machine) now() time.Duration { return m.Clock().Since(m.booted) }

// machineHolder is a Holder on its own machine. It queues the commands that the Holder
// sends, for the test to execute or to drop.
type machineHolder struct {
	machine
	holder      *Holder
	requestIDs  []uint64
	commands    []Command
	taskRunning bool
	reason      Reason
}

func newMachineHolder(name string, length time.Duration) *machineHolder {
	m := &machineHolder{machine: newMachine()}
	m.holder = NewHolder(HolderConfig{Lease: "l", Client: name, Length: length, Grace: length / 10, RetryInterval: length / 5, Rand: func() float64 { return 0.5 }}, m)
	return m
}

func (m *machineHolder) Send(requestID uint64, cmd Command) {
	m.requestIDs, m.commands = append(m.requestIDs, requestID), append(m.commands, cmd)
}
func (m *machineHolder) StartTask(Epoch, []byte) { m.taskRunning = true }
func (m *machineHolder) StopTask(reason Reason)  { m.taskRunning, m.reason = false, reason }
func (m *machineHolder) WakeAt(time.Duration)    {}

// Steps of the wall clock on the holder, on the waiting client or on the leader must not
// change when claims begin and end, and must not make two claims overlap.
func TestWallClockStepsChangeNoClaim(t *testing.T) {
	const length, tick, span = 3 * time.Second, 10 * time.Millisecond, 20 * time.Second
	const cutOff = 8 * time.Second // from then on the first client's commands are dropped
	run := func(t *testing.T, stepAt, step time.Duration, stepped int) (transitions []string) {
		first, second, leader := newMachineHolder("first", length), newMachineHolder("second", length), newMachine()
		var state State
		tracker := NewExpiryTracker(&state, leader.now())
		machines := []machine{first.machine, second.machine, leader}
		first.holder.Start(first.now())
		for at := time.Duration(0); at < span; at += tick {
			if at == time.Second {
				second.holder.Start(second.now())
			}
			if at == stepAt {
				machines[stepped].Step(step)
			}
			for _, m := range machines {
				m.Advance(tick)
			}
			due, _ := tracker.Due(&state, leader.now())
			for _, c := range due {
				state.Apply(c)
				tracker.CommandApplied(&state, c.Lease, leader.now())
			}
			claims := 0
			for i, m := range []*machineHolder{first, second} {
				wasRunning := m.taskRunning
				m.holder.Wake(m.now())
				requestIDs, commands := m.requestIDs, m.commands
				m.requestIDs, m.commands = nil, nil
				for k, cmd := range commands {
					if i == 0 && at >= cutOff {
						continue
					}
					r := state.Apply(cmd)
					tracker.CommandApplied(&state, cmd.Lease, leader.now())
					m.holder.HandleResult(m.now(), requestIDs[k], r)
				}
				if m.taskRunning != wasRunning {
					transitions = append(transitions, fmt.Sprint(at, i, m.taskRunning, m.reason))
				}
				if wasRunning && !m.taskRunning {
					m.holder.TaskEnded(m.now())
				}
				if _, _, ok := m.holder.Claim(m.now()); ok {
					claims++
				}
			}
			if claims > 1 {
				t.Fatalf("%d claims are valid at %v, want at most 1", claims, at)
			}
		}
		return transitions
	}
	want := run(t, 0, 0, 0)
	if len(want) < 3 {
		t.Fatalf("task transitions without a clock step: %v, want the first client to start and stop, and the second to start", want)
	}
	for name, at := range map[string]time.Duration{
		"before the lease is acquired":     0,
		"while the lease is held":          4 * time.Second,
		"right before a renewal":           length/3 + 4*tick,
		"after the holder is cut off":      cutOff + 500*time.Millisecond,
		"while the leader waits":           cutOff + length,
		"while the second client holds it": 15 * time.Second,
		"right before the expiry":          cutOff + length - tick,
	} {
		for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
			for stepped, role := range []string{"holder", "waiting client", "leader"} {
				if got := run(t, at, step, stepped); fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("%s, wall clock of the %s stepped by %v: task transitions %v, want %v", name, role, step, got, want)
				}
			}
		}
	}
}
