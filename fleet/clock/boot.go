package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock whose Now includes the time for which the machine was
// suspended. It is for time limits that must include it, such as leases. Its times
// have no monotonic reading and may be compared only with each other, since they
// count from the machine's boot.
func Boot() Clock { return boot{} }

type boot struct{ system }

func (boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has supported CLOCK_BOOTTIME since version 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d on the monotonic clock, not on the boot clock.
func (b boot) Sleep(ctx context.Context, d time.Duration) error { return b.system.Sleep(ctx, d) }
