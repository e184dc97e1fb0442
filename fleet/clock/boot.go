package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a clock for bounds that must also count the time for which the
// machine was suspended, such as leases. Its times have no monotonic reading and
// are comparable only with each other: they count from the machine's start.
func Boot() Clock { return boot{} }

type boot struct{ system }

func (boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel knows this clock since Linux 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d on the steady clock.
func (b boot) Sleep(ctx context.Context, d time.Duration) error { return b.system.Sleep(ctx, d) }
