package order

import (
	"maps"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
)

// Tenure is one instance's lease with the runners that it holds under it. It
// is immutable; the zero value holds nothing. All times are by this instance's
// clock.
type Tenure struct {
	// Lease is zero when there is none.
	Lease uint64
	// Until is when the lease can end at the earliest. It counts from the
	// start of the call that granted or renewed the lease, less the drift
	// allowed.
	Until time.Time
	// holds are by runner.
	holds map[string]Hold
}

// Hold is the right to order one runner.
type Hold struct {
	// Fencing is the revision at which the runner's key was created. It
	// grows with each holder.
	Fencing uint64
	// ReadyAt is when every order that was written before has either taken
	// effect or never will.
	ReadyAt time.Time
	// Spent tells that the number is not to be used again.
	Spent bool
}

// WithLease returns a tenure with a new lease, asked for at start, and without
// holds.
func (t Tenure) WithLease(lease uint64, start time.Time, l Limits) Tenure {
	return Tenure{Lease: lease}.WithRenewal(start, l)
}

// WithRenewal returns a copy whose lease was renewed by a call that began at
// start.
func (t Tenure) WithRenewal(start time.Time, l Limits) Tenure {
	until := start.Add(l.LeaseTTL - l.drift(l.LeaseTTL))
	if until.After(t.Until) {
		t.Until = until
	}
	return t
}

// WithHold returns a copy that holds a runner, as learnt at now.
func (t Tenure) WithHold(runner string, fencing uint64, now time.Time, l Limits) Tenure {
	t.holds = withEntry(t.holds, runner, Hold{Fencing: fencing, ReadyAt: now.Add(l.wait())})
	return t
}

// WithUnsettled returns a copy that waits for the end of an order that was not
// answered until now.
func (t Tenure) WithUnsettled(runner string, now time.Time, l Limits) Tenure {
	h, ok := t.holds[runner]
	if !ok {
		return t
	}
	h.ReadyAt = now.Add(l.wait())
	t.holds = withEntry(t.holds, runner, h)
	return t
}

// WithSpent returns a copy that gives no more orders to a runner under the hold
// that it has.
func (t Tenure) WithSpent(runner string) Tenure {
	h, ok := t.holds[runner]
	if !ok {
		return t
	}
	h.Spent = true
	t.holds = withEntry(t.holds, runner, h)
	return t
}

// WithoutHold returns a copy that does not hold a runner.
func (t Tenure) WithoutHold(runner string) Tenure {
	t.holds = maps.Clone(t.holds)
	delete(t.holds, runner)
	return t
}

// Hold returns the hold of a runner.
func (t Tenure) Hold(runner string) (Hold, bool) {
	h, ok := t.holds[runner]
	return h, ok
}

// Held returns the runners that are held, in ascending order.
func (t Tenure) Held() []string {
	runners := make([]string, 0, len(t.holds))
	for r := range t.holds {
		runners = append(runners, r)
	}
	slices.Sort(runners)
	return runners
}

// Left returns how much of the lease is left at least. It takes the smaller of
// the monotonic and the wall clock's difference, since a suspended machine may
// have stopped the former.
func (t Tenure) Left(now time.Time) time.Duration {
	return min(t.Until.Sub(now), t.Until.Round(0).Sub(now.Round(0)))
}

// CheckHeld returns an error, not run, unless the runner is held at now and
// for long enough to cover the longest delivery of an order written at once.
func (t Tenure) CheckHeld(runner string, now time.Time, l Limits) error {
	if h, ok := t.holds[runner]; !ok || h.Spent {
		return fault.New(fault.HomeUnsettled, "the orders to the runner are not held").WithField(runner)
	}
	if left := t.Left(now); left < l.wait() {
		return fault.New(fault.HomeUnsettled, "%v left of the lease, needed is %v", left, l.wait()).WithField(runner)
	}
	return nil
}

// Check returns an error, not run, unless an order to the runner may be
// written at now.
func (t Tenure) Check(runner string, now time.Time, l Limits) error {
	if err := t.CheckHeld(runner, now, l); err != nil {
		return err
	}
	if wait := t.holds[runner].ReadyAt.Sub(now); wait > 0 {
		return fault.New(fault.HomeUnsettled, "an earlier order can still arrive").WithField(runner).WithRetryAfter(wait)
	}
	return nil
}

func withEntry(holds map[string]Hold, runner string, h Hold) map[string]Hold {
	grown := make(map[string]Hold, len(holds)+1)
	maps.Copy(grown, holds)
	grown[runner] = h
	return grown
}
