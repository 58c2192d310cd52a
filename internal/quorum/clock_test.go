package quorum

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Leases go by the time since the machine was booted, which nobody can set, is the same in
// every process, and goes on while the machine is suspended.
func TestNowIsTheTimeSinceBoot(t *testing.T) {
	boot := func() time.Duration {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			t.Fatal(err)
		}
		return time.Duration(ts.Nano())
	}
	for range 100 {
		before, now, after := boot(), Now(), boot()
		if now < before || now > after {
			t.Fatalf("now is %v, want it from %v to %v", now, before, after)
		}
	}
}
