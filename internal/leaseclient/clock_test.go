package leaseclient

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Now must be the time since boot: it cannot be set, is the same in every process, and
// includes time during which the machine was suspended.
func TestNowIsTheTimeSinceBoot(t *testing.T) {
	bootTime := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			t.Fatal(err)
		}
		return time.Duration(ts.Nano())
	}
	for range 100 {
		before, now, after := bootTime(), Now(), bootTime()
		if now < before || now > after {
			t.Fatalf("Now returned %v, want a time from %v to %v", now, before, after)
		}
	}
}
