// Package clock passes time into the code that needs it, so that tests decide
// when it passes.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits. The times it returns carry the monotonic
// reading of the process where the implementation has one.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives once, when d has passed.
	After(d time.Duration) <-chan time.Time
	// Sleep waits for d or until ctx ends, and returns ctx.Err() in the
	// latter case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Timers calls functions when time has passed.
type Timers interface {
	// AfterFunc calls f on a goroutine of its own when d has passed. The
	// returned function prevents the call and reports whether it did.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// SystemTimers returns the timers of the operating system's clock.
func SystemTimers() Timers { return system{} }

// System returns the clock of the operating system. Inside a bubble of
// testing/synctest it is the bubble's clock.
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
