package clock

import (
	"context"
	"sync"
	"time"
)

// Manual is a clock that stands still until it is moved. It serves tests of
// code that asks for the time; Sleep and After end when Advance passes them.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a clock that shows start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that the clock shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives once Advance has moved the clock by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{at: m.now.Add(d), ch: ch})
	return ch
}

// Sleep waits until the clock has moved by d or ctx ends.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-m.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Advance moves the clock by d, which may be negative to model a clock that
// is set back, and wakes those whose time has come.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.waiters[:0]
	for _, w := range m.waiters {
		if w.at.After(m.now) {
			kept = append(kept, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = kept
}
