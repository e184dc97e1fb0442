package order

import (
	"maps"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
)

// Session is one instance's lease with the locks on runners that it holds under
// the lease. It is immutable; the zero value has no lease and no locks. All
// times are by this instance's clock.
type Session struct {
	// Lease identifies the lease; zero means none.
	Lease uint64
	// ValidUntil is the earliest time at which the lease can expire. It
	// counts from the start of the call that granted or renewed the lease,
	// since the store may have started the TTL then, less the allowed drift.
	ValidUntil time.Time
	// locks holds the locks by runner.
	locks map[string]Lock
}

// Lock is the exclusive right to send orders to one runner.
type Lock struct {
	// FencingToken is the revision at which the runner's key was created. It
	// increases with each holder.
	FencingToken uint64
	// ReadyAt is the time from which no order written earlier can take
	// effect any more.
	ReadyAt time.Time
	// Invalidated is true if no more orders may carry the fencing token.
	Invalidated bool
}

// WithLease returns a session with a new lease, requested at start, and without
// locks.
func (s Session) WithLease(lease uint64, start time.Time, l Limits) Session {
	return Session{Lease: lease}.WithRenewal(start, l)
}

// WithRenewal returns a copy whose lease was renewed by a call that began at
// start.
func (s Session) WithRenewal(start time.Time, l Limits) Session {
	until := start.Add(l.LeaseTTL - l.drift(l.LeaseTTL))
	if until.After(s.ValidUntil) {
		s.ValidUntil = until
	}
	return s
}

// WithLock returns a copy that holds the lock on a runner. now is the time when
// the store's answer arrived.
func (s Session) WithLock(runner string, fencing uint64, now time.Time, l Limits) Session {
	s.locks = setLock(s.locks, runner, Lock{FencingToken: fencing, ReadyAt: now.Add(l.lockDelay())})
	return s
}

// WithUnansweredOrder returns a copy in which the lock on a runner becomes ready
// only when an order that is unanswered at now can no longer take effect.
func (s Session) WithUnansweredOrder(runner string, now time.Time, l Limits) Session {
	h, ok := s.locks[runner]
	if !ok {
		return s
	}
	h.ReadyAt = now.Add(l.lockDelay())
	s.locks = setLock(s.locks, runner, h)
	return s
}

// WithInvalidated returns a copy in which the present lock on a runner allows no
// more orders.
func (s Session) WithInvalidated(runner string) Session {
	h, ok := s.locks[runner]
	if !ok {
		return s
	}
	h.Invalidated = true
	s.locks = setLock(s.locks, runner, h)
	return s
}

// WithoutLock returns a copy without the lock on a runner.
func (s Session) WithoutLock(runner string) Session {
	s.locks = maps.Clone(s.locks)
	delete(s.locks, runner)
	return s
}

// Lock returns the lock on a runner and whether there is one.
func (s Session) Lock(runner string) (Lock, bool) {
	h, ok := s.locks[runner]
	return h, ok
}

// LockedRunners returns the runners with a lock, in ascending order.
func (s Session) LockedRunners() []string {
	runners := make([]string, 0, len(s.locks))
	for r := range s.locks {
		runners = append(runners, r)
	}
	slices.Sort(runners)
	return runners
}

// Remaining returns the minimum remaining time of the lease. It uses the smaller
// of the differences by the monotonic and by the wall clock, since the monotonic
// clock may stop while the machine is suspended.
func (s Session) Remaining(now time.Time) time.Duration {
	return min(s.ValidUntil.Sub(now), s.ValidUntil.Round(0).Sub(now.Round(0)))
}

// CheckLocked returns an error with the outcome not run unless the runner is
// locked at now and for long enough to cover the maximum delivery time of an
// order written at now.
func (s Session) CheckLocked(runner string, now time.Time, l Limits) error {
	if h, ok := s.locks[runner]; !ok || h.Invalidated {
		return fault.New(fault.HomeUnsettled, "the orders to the runner are not held").WithField(runner)
	}
	if remaining := s.Remaining(now); remaining < l.lockDelay() {
		return fault.New(fault.HomeUnsettled, "%v left of the lease, needed is %v", remaining, l.lockDelay()).WithField(runner)
	}
	return nil
}

// CheckReady returns an error with the outcome not run unless an order to the
// runner may be written at now.
func (s Session) CheckReady(runner string, now time.Time, l Limits) error {
	if err := s.CheckLocked(runner, now, l); err != nil {
		return err
	}
	if wait := s.locks[runner].ReadyAt.Sub(now); wait > 0 {
		return fault.New(fault.HomeUnsettled, "an earlier order can still arrive").WithField(runner).WithRetryAfter(wait)
	}
	return nil
}

func setLock(locks map[string]Lock, runner string, h Lock) map[string]Lock {
	copied := make(map[string]Lock, len(locks)+1)
	maps.Copy(copied, locks)
	copied[runner] = h
	return copied
}
