// Package clock provides the clocks that are injected into code that depends on
// time, so that tests can control the time.
package clock

import (
	"context"
	"time"
)

// Clock returns the current time and waits for durations. The times it returns
// have a monotonic reading if the implementation provides one.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives one value when d has elapsed.
	After(d time.Duration) <-chan time.Time
	// Sleep waits for d or until ctx is done, and returns ctx.Err() in the
	// latter case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Timers calls functions after a delay.
type Timers interface {
	// AfterFunc calls f in its own goroutine when d has elapsed. The returned
	// function cancels the call and reports whether it did.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// SystemTimers returns timers that use the system clock.
func SystemTimers() Timers { return system{} }

// System returns the system clock. Inside a testing/synctest bubble it is the
// bubble's fake clock.
func System() Clock { return system{} }

type system struct{}

func (system) Now() time.Time { return time.Now() }

func (system) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (system) AfterFunc(d time.Duration, f func()) (stop func() bool) {
	return time.AfterFunc(d, f).Stop
}

func (system) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
