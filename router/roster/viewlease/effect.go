package viewlease

import (
	"slices"
	"time"
)

// advance updates the state to the time now. Until the view is in effect, it
// records this member's release of the prior epoch, and its acknowledgement of
// the new one once all promises given in the prior epoch have expired, and
// then checks whether the view is in effect.
func (m *machine) advance(now time.Time) {
	if m.effective || m.view.Epoch == 0 {
		return
	}
	if slices.Contains(m.view.Prior, m.self) {
		m.released.add(m.self)
		if now.After(m.priorPromisedUntil) {
			m.acked.add(m.self)
		}
	}
	if m.inEffect(now) {
		m.markEffective(now)
	}
}

// inEffect reports whether no member can act in the prior epoch any more. A
// lease on the prior epoch was last renewed either by a store read that began
// before the view was written, or by the promises of a majority, at most
// MaxReadAge after such a read. A member acknowledges the new epoch only after
// its promises in the prior one have expired. Once blockingSize prior members
// have acknowledged it, the others are too few for a majority of promises.
func (m *machine) inEffect(now time.Time) bool {
	since := now.Sub(m.adoptedAt)
	t := m.timing
	switch {
	case m.released.len() == len(m.view.Prior):
		return true
	case since >= t.DriftAdjusted(t.LeaseDuration) && m.acked.len() >= blockingSize(len(m.view.Prior)):
		return true
	default:
		return since >= t.DriftAdjusted(t.LeaseDuration+t.maxReadAge(len(m.view.Prior)))
	}
}

// State is a snapshot of what a member knows. It is immutable.
type State struct {
	Self Member
	View View
	// Effective is true when View is in effect; EffectiveAt is when this member
	// found it to be in effect, by its own clock.
	Effective   bool
	EffectiveAt time.Time
	// LeaseStart is the start of the call that last renewed the lease on the
	// epoch; zero for none.
	LeaseStart time.Time
	// LeaseDuration is the duration of the lease, counted from LeaseStart.
	LeaseDuration time.Duration
	// LastRead is a time at or before the start of the latest known store read
	// that showed the epoch; zero for none.
	LastRead time.Time
}

func (m *machine) State(now time.Time) State {
	m.advance(now)
	return State{
		Self:          m.self,
		View:          m.view,
		Effective:     m.effective,
		EffectiveAt:   m.effectiveAt,
		LeaseStart:    m.leaseStart,
		LeaseDuration: m.timing.LeaseDuration,
		LastRead:      m.lastRead,
	}
}

// HasLease reports whether the lease on the epoch is valid at now.
func (s State) HasLease(now time.Time) bool {
	return !s.LeaseStart.IsZero() && elapsed(s.LeaseStart, now) < s.LeaseDuration
}

// MayServe reports whether the member may serve the slot as its home at now. It
// must have a valid lease on the epoch and be the slot's home in it, and no
// other member may be able to serve the slot as its home in the prior epoch:
// either the view is in effect, or this member was the home there too.
func (s State) MayServe(now time.Time, slot Slot) bool {
	if !s.HasLease(now) {
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
