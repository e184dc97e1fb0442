package clock

import (
	"context"
	"sync"
	"time"
)

// Manual is a fake clock for tests. Its time changes only when Advance is called;
// Sleep and After complete when Advance reaches their end.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a fake clock whose current time is start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current time of the fake clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives one value when Advance has moved the clock
// forward by d.
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

// Sleep waits until the clock has moved forward by d or ctx is done. It returns
// ctx.Err() in the latter case.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-m.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Advance moves the clock by d and completes the calls of After and Sleep that have
// expired. d may be negative, to simulate a clock that is set back.
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
