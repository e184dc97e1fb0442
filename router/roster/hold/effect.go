package hold

import (
	"slices"
	"time"
)

// advance takes in that time has passed: it acknowledges the view once all
// promises in the epoch before have run out, and finds out whether the view is
// in effect.
func (m *machine) advance(now time.Time) {
	if m.effective || m.view.Epoch == 0 {
		return
	}
	if slices.Contains(m.view.Prior, m.self) {
		m.released.add(m.self)
		if now.After(m.owed) {
			m.acked.add(m.self)
		}
	}
	if m.inEffect(now) {
		m.settle(now)
	}
}

// inEffect reports whether no member can act in the epoch before any more. A
// hold in it was renewed last either by a store read that began before the view
// was written, or by a majority of promises, each of which is owed by a member
// that acknowledges only when it has run out, at most Limit after such a read.
// Every majority has a member among so many that the others are none.
func (m *machine) inEffect(now time.Time) bool {
	since := now.Sub(m.seen)
	t := m.timing
	switch {
	case m.released.len() == len(m.view.Prior):
		return true
	case since >= t.Stretch(t.Hold) && m.acked.len() >= blockingOf(len(m.view.Prior)):
		return true
	default:
		return since >= t.Stretch(t.Hold+t.limit(len(m.view.Prior)))
	}
}

// State is what a member knows at one moment. It is immutable.
type State struct {
	Self Member
	View View
	// Effective is true when View is in effect, since EffectiveAt by this
	// member's clock.
	Effective   bool
	EffectiveAt time.Time
	// Held is the start of the call that renewed the hold last; zero for
	// none.
	Held time.Time
	// Hold is how long a hold lasts.
	Hold time.Duration
	// Read is a time at or before the start of the latest store read known
	// that showed the epoch; zero for none.
	Read time.Time
}

func (m *machine) State(now time.Time) State {
	m.advance(now)
	return State{
		Self:        m.self,
		View:        m.view,
		Effective:   m.effective,
		EffectiveAt: m.effectiveAt,
		Held:        m.hold,
		Hold:        m.timing.Hold,
		Read:        m.read,
	}
}

// Holds reports whether the hold is fresh now.
func (s State) Holds(now time.Time) bool {
	return !s.Held.IsZero() && elapsed(s.Held, now) < s.Hold
}

// Acts reports whether the member may act as home of the slot now: it holds the
// epoch, is the slot's home in it, and no other member can be home in the epoch
// before, because the view is in effect or because this one was home there too.
func (s State) Acts(now time.Time, slot Slot) bool {
	if !s.Holds(now) {
		return false
	}
	home, ok := HomeOf(s.View.Members, slot)
	if !ok || home != s.Self {
		return false
	}
	if s.Effective {
		return true
	}
	before, ok := HomeOf(s.View.Prior, slot)
	return ok && before == s.Self
}
