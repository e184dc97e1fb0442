package inventory

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
)

// Current holds the newest snapshot and the time at which it was last confirmed
// to be the newest. It is safe for concurrent use.
type Current struct {
	clk clock.Clock
	// maxOutdated is zero if outdated views may have any age.
	maxOutdated time.Duration

	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Int64
	// arrivingSince is when the answer that will replace the view began to arrive; zero if
	// none is arriving.
	arrivingSince atomic.Int64

	mu        sync.Mutex
	listeners []func(*Snapshot)
}

// arrivalGrace is how long an answer usually arrives and is applied, even after a wait for
// changes in which the view has aged.
const arrivalGrace = 250 * time.Millisecond

// CurrentOption changes a default of NewCurrent.
type CurrentOption func(*Current)

// WithMaxOutdated sets the maximum age of a view that is known to be outdated. By default
// there is none.
func WithMaxOutdated(d time.Duration) CurrentOption { return func(c *Current) { c.maxOutdated = d } }

// NewCurrent returns a Current with an empty snapshot. The clock must include
// the time for which the machine was suspended.
func NewCurrent(clk clock.Clock, opts ...CurrentOption) *Current {
	c := &Current{clk: clk}
	for _, opt := range opts {
		opt(c)
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// Load returns the newest snapshot.
func (c *Current) Load() *Snapshot { return c.snapshot.Load() }

// Subscribe calls f with each snapshot that is stored from now on.
func (c *Current) Subscribe(f func(*Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

// Advance replaces the snapshot unless its revision is below the current one,
// and reports whether it did. The configuration is kept if the new snapshot has
// none or an older version.
func (c *Current) Advance(next *Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.snapshot.Load()
	if next.Revision.Before(old.Revision) {
		return false
	}
	if old.Table != nil && (next.Table == nil || next.Table.Version() < old.Table.Version()) {
		kept := *next
		kept.Table = old.Table
		next = &kept
	}
	c.snapshot.Store(next)
	for _, f := range c.listeners {
		f(next)
	}
	return true
}

// Confirm records that the snapshot was the newest at a time, which is the start
// of the call that confirmed it. Earlier times have no effect.
func (c *Current) Confirm(at time.Time) {
	for n := at.UnixNano(); ; {
		old := c.confirmed.Load()
		if n <= old || c.confirmed.CompareAndSwap(old, n) {
			return
		}
	}
}

// Age returns the time since the snapshot was last confirmed to be the newest.
func (c *Current) Age() time.Duration {
	return time.Duration(c.clk.Now().UnixNano() - c.confirmed.Load())
}

// BeginArrival records that an answer of the source, which replaces the view, began to
// arrive at a time.
func (c *Current) BeginArrival(at time.Time) { c.arrivingSince.CompareAndSwap(0, at.UnixNano()) }

// EndArrival records that the answer was applied or given up.
func (c *Current) EndArrival() { c.arrivingSince.Store(0) }

// ArrivingFor returns for how long an answer that replaces the view has been arriving; zero
// if none is.
func (c *Current) ArrivingFor() time.Duration {
	since := c.arrivingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(c.clk.Now().UnixNano() - since)
}

// Outdated reports whether the view must not be used: it is too old, and the answer that
// replaces it is arriving. An old view without such an answer may still be the newest, as
// during an outage of the source.
func (c *Current) Outdated() bool {
	return c.maxOutdated > 0 && c.ArrivingFor() > arrivalGrace && c.Age() > c.maxOutdated
}
