package lease

import (
	"fmt"
	"testing"
	"time"

	clocks "gorselink/internal/clock"
)

// side is a machine with clocks of its own, and what runs there goes by its monotonic one.
type side struct {
	*clocks.Manual
	booted time.Time
}

func newSide() side {
	m := clocks.NewManual(0)
	return side{m, m.Clock().Now()}
}

func (s side) now() time.Duration { return s.Clock().Since(s.booted) }

// claimant is a Holder on a machine whose questions the quorum answers at once, or not at all.
type claimant struct {
	side
	h      *Holder
	asked  []uint64
	asks   []Command
	duty   bool
	reason Reason
}

func newClaimant(name string, length time.Duration) *claimant {
	c := &claimant{side: newSide()}
	c.h = NewHolder(HolderConfig{Lease: "l", Client: name, Length: length, Grace: length / 10, RetryInterval: length / 5, Draw: func() float64 { return 0.5 }}, c)
	return c
}

func (c *claimant) Ask(number uint64, cmd Command) {
	c.asked, c.asks = append(c.asked, number), append(c.asks, cmd)
}
func (c *claimant) Begin(Epoch, []byte) { c.duty = true }
func (c *claimant) End(why Reason)      { c.duty, c.reason = false, why }
func (c *claimant) Wake(time.Duration)  {}

// Wherever the wall clocks of the holder, of the one that waits for the lease and of the
// leader are stepped while a lease is held, its claims begin and end in the same moments as
// if they had not been, and no two are held at once.
func TestWallClockStepsChangeNoClaim(t *testing.T) {
	const length, tick, span = 3 * time.Second, 10 * time.Millisecond, 20 * time.Second
	const cutOff = 8 * time.Second // when the first holder is heard no more
	play := func(t *testing.T, stepAt, step time.Duration, who int) (told []string) {
		first, second, leader := newClaimant("first", length), newClaimant("second", length), newSide()
		var state State
		keeper := NewExpiryTracker(&state, leader.now())
		sides := []side{first.side, second.side, leader}
		first.h.Start(first.now())
		for at := time.Duration(0); at < span; at += tick {
			if at == time.Second {
				second.h.Start(second.now())
			}
			if at == stepAt {
				sides[who].Step(step)
			}
			for _, s := range sides {
				s.Advance(tick)
			}
			due, _ := keeper.Due(&state, leader.now())
			for _, c := range due {
				state.Apply(c)
				keeper.CommandApplied(&state, c.Lease, leader.now())
			}
			held := 0
			for i, c := range []*claimant{first, second} {
				was := c.duty
				c.h.Wake(c.now())
				numbers, asks := c.asked, c.asks
				c.asked, c.asks = nil, nil
				for k, cmd := range asks {
					if i == 0 && at >= cutOff {
						continue
					}
					r := state.Apply(cmd)
					keeper.CommandApplied(&state, cmd.Lease, leader.now())
					c.h.Answer(c.now(), numbers[k], r)
				}
				if c.duty != was {
					told = append(told, fmt.Sprint(at, i, c.duty, c.reason))
				}
				if was && !c.duty {
					c.h.Ended(c.now())
				}
				if _, _, ok := c.h.Claims(c.now()); ok {
					held++
				}
			}
			if held > 1 {
				t.Fatalf("%d claims are held at %v", held, at)
			}
		}
		return told
	}
	want := play(t, 0, 0, 0)
	if len(want) < 3 {
		t.Fatalf("%v: want the lease to be taken, lost and taken by another", want)
	}
	for name, at := range map[string]time.Duration{
		"before it is held":             0,
		"while it is held":              4 * time.Second,
		"right before a renewal":        length/3 + 4*tick,
		"once its holder is cut off":    cutOff + 500*time.Millisecond,
		"while its time is waited out":  cutOff + length,
		"once another has taken it":     15 * time.Second,
		"right before it is given away": cutOff + length - tick,
	} {
		for _, step := range []time.Duration{5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
			for who, side := range []string{"holder", "waiting", "leader"} {
				if got := play(t, at, step, who); fmt.Sprint(got) != fmt.Sprint(want) {
					t.Errorf("%s, the clock of the %s stepped by %v: %v, want %v", name, side, step, got, want)
				}
			}
		}
	}
}
