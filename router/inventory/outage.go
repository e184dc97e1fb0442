package inventory

import (
	"context"
	"time"
)

// Descriptions of runners expire if they are not renewed, which is impossible
// during an outage of the store. A removal shortly after an outage may be such
// an expiry, and the runner soon describes itself again. It is therefore held
// back for a grace period. All other removals mean that the runner leaves. Log
// messages call such an expiry a lapse; the log field lapsed and LapsedAt concern
// the removals that are held back, which may be lapses.
const (
	// defaultOutageThreshold is how long the store has to be unreachable for
	// descriptions to expire: they outlast two missed heartbeats.
	defaultOutageThreshold = 2400 * time.Millisecond
	// maxRemovalGrace is the time after the end of an outage in which runners
	// describe themselves again. Removals that are still held back after it are
	// applied.
	maxRemovalGrace = 2 * time.Second
)

// WithOutageThreshold sets how long the store has to be unreachable for
// descriptions of runners to expire.
func WithOutageThreshold(d time.Duration) FollowerOption {
	return func(f *follower) { f.outages.threshold = d }
}

// WithRemovalGrace sets how long removals may be held back, if that is less than the time
// in which runners describe themselves again. A removal that isn't a lapse must be applied
// in time.
func WithRemovalGrace(d time.Duration) FollowerOption {
	return func(f *follower) { f.outages.grace = min(max(0, d), maxRemovalGrace) }
}

// Freshness describes how current and how reliable the view of an instance is.
type Freshness struct {
	// ConfirmedAt is when the view was last known to be the newest.
	ConfirmedAt time.Time
	// ConnectedSince is the start of the time in which the instance had answers
	// of the store, its own or those of other instances, without an outage.
	ConnectedSince time.Time
}

// outageTracker detects outages of the store and decides whether a removal may
// be due to one. It is not safe for concurrent use.
type outageTracker struct {
	// threshold is the time without an answer that counts as an outage.
	threshold time.Duration
	// grace is how long removals are held back after an outage.
	grace time.Duration
	// lastAnswer is when the store was last known to answer some instance; zero
	// before the first answer.
	lastAnswer time.Time
	// connectedSince is the start of the current period without an outage.
	connectedSince time.Time
	// outageStart is the last answer before the latest outage, outageEnd the
	// first answer after it.
	outageStart, outageEnd time.Time
	// graceEnd is when the grace period after that outage ends; zero before the
	// first outage and after a grace period that was ended early.
	graceEnd time.Time
}

// noteAnswer records that the store answered at a time that is not after now. It
// reports whether that ended an outage.
func (o *outageTracker) noteAnswer(at, now time.Time) bool {
	if !at.After(o.lastAnswer) {
		return false
	}
	ended := !o.lastAnswer.IsZero() && at.Sub(o.lastAnswer) >= o.threshold
	if o.lastAnswer.IsZero() || ended {
		o.connectedSince = at
	}
	if ended {
		o.outageStart, o.outageEnd, o.graceEnd = o.lastAnswer, at, now.Add(o.grace)
	}
	o.lastAnswer = at
	return ended
}

// inGrace reports whether a removal may be due to an outage.
func (o *outageTracker) inGrace(now time.Time) bool { return now.Before(o.graceEnd) }

// endGrace ends the grace period if another instance was connected to the store
// throughout this instance's outage, since descriptions could be renewed then.
// It reports whether the grace period was ended.
func (o *outageTracker) endGrace(s Freshness) bool {
	if o.graceEnd.IsZero() || s.ConnectedSince.IsZero() || s.ConnectedSince.After(o.outageStart) || o.outageEnd.Sub(s.ConfirmedAt) >= o.threshold {
		return false
	}
	o.connectedSince, o.graceEnd = s.ConnectedSince, time.Time{}
	return true
}

// markRemovals sets Held in the removals of runners during a grace period.
func (o *outageTracker) markRemovals(now time.Time, changes []Change) []Change {
	if !o.inGrace(now) {
		return changes
	}
	out := make([]Change, len(changes))
	for i, c := range changes {
		c.Held = c.RemovedRunner != ""
		out[i] = c
	}
	return out
}

// removalChanges returns the removals that were held back, as changes that take
// effect at once.
func (s *Snapshot) removalChanges() []Change {
	var out []Change
	for id, revision := range s.HeldRemovals {
		out = append(out, Change{Revision: revision, RemovedRunner: id})
	}
	return out
}

// keepRunners returns the snapshot with the runners that only an older snapshot
// has. Their removals are held back.
func (s *Snapshot) keepRunners(old *Snapshot) *Snapshot {
	next := s.with(nil, s.Revision)
	for id, r := range old.Runners {
		if next.Runners[id] == nil {
			next.Runners[id], next.HeldRemovals[id] = r, s.Revision
		}
	}
	return next
}

// commitAfterGrace applies the held removals at the end of each grace period,
// until ctx ends.
func (f *follower) commitAfterGrace(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.graceStarted:
		}
		for left := f.graceLeft(); left > 0 && ctx.Err() == nil; left = f.graceLeft() {
			_ = f.clk.Sleep(ctx, left)
		}
		f.commitRemovals()
	}
}

// graceLeft returns the rest of the grace period.
func (f *follower) graceLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outages.graceEnd.Sub(f.clk.Now())
}

// commitRemovals applies the held removals, unless a grace period has started
// again.
func (f *follower) commitRemovals() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.current.Load(); len(old.HeldRemovals) > 0 && !f.outages.inGrace(f.clk.Now()) {
		f.advance(old, old.removalChanges(), old.Revision)
	}
}

// noteAnswer records that the store answered at a time, and starts a grace
// period if that ended an outage. The caller holds mu.
func (f *follower) noteAnswer(at, now time.Time) {
	if f.outages.noteAnswer(at, now) {
		f.log.Info("store was away, removals of runners may be lapses", "silentMillis", at.Sub(f.outages.outageStart).Milliseconds())
		select {
		case f.graceStarted <- struct{}{}:
		default:
		}
	}
}

// useFreshness records the answer of the store to another instance, and applies
// the held removals if that instance had no outage. The caller holds mu.
func (f *follower) useFreshness(from string, s Freshness, now time.Time) {
	f.noteAnswer(s.ConfirmedAt, now)
	if !f.outages.endGrace(s) {
		return
	}
	old := f.current.Load()
	f.log.Info("store was not away for another instance, no removal is a lapse", "instance", from, "lapsed", len(old.HeldRemovals))
	f.advance(old, old.removalChanges(), old.Revision)
}
