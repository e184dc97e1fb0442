package inventory

import (
	"context"
	"time"
)

// Descriptions of runners lapse while nobody can renew them. A removal that
// follows an outage of the store may be such a lapse, and the runner is back
// within moments; all other removals mean that the runner leaves.
const (
	// defaultOutage is how long the store has to be away for descriptions to
	// lapse: they outlive two heartbeats that were missed.
	defaultOutage = 2400 * time.Millisecond
	// defaultLapse is how long after the store's return runners need to describe
	// themselves anew. A removal that still stands then is no lapse.
	defaultLapse = 2 * time.Second
)

// WithOutage sets how long the store has to be away for descriptions of runners
// to lapse.
func WithOutage(d time.Duration) FollowerOption { return func(f *follower) { f.lapses.outage = d } }

// Standing says how far the view of an instance can be relied on.
type Standing struct {
	// Confirmed is when the view was last known to be the newest.
	Confirmed time.Time
	// Steady is since when the instance heard of the store without an outage.
	Steady time.Time
}

// lapses tells whether a removal may be a lapse. It is not safe for concurrent
// use.
type lapses struct {
	outage time.Duration
	// heard is when the store was last known to answer some instance; zero before
	// the first time.
	heard time.Time
	// steady is since when it was heard of without an outage.
	steady time.Time
	// before is when it was heard of last before the latest outage, and after when
	// it was heard of again.
	before, after time.Time
	// until ends the time in which removals may be lapses of that outage.
	until time.Time
}

// hear notes that the store answered at a time, up to now. It reports whether an
// outage has ended.
func (l *lapses) hear(at, now time.Time) bool {
	if !at.After(l.heard) {
		return false
	}
	away := !l.heard.IsZero() && at.Sub(l.heard) >= l.outage
	if l.heard.IsZero() || away {
		l.steady = at
	}
	if away {
		l.before, l.after, l.until = l.heard, at, now.Add(defaultLapse)
	}
	l.heard = at
	return away
}

// doubts reports whether a removal may be a lapse.
func (l *lapses) doubts(now time.Time) bool { return now.Before(l.until) }

// vouch takes the view of an instance that heard of the store throughout this
// one's outage. It reports whether there is no doubt any more.
func (l *lapses) vouch(s Standing) bool {
	if l.until.IsZero() || s.Steady.IsZero() || s.Steady.After(l.before) || l.after.Sub(s.Confirmed) >= l.outage {
		return false
	}
	l.steady, l.until = s.Steady, time.Time{}
	return true
}

// mark marks the removals among changes that may be lapses.
func (l *lapses) mark(now time.Time, changes []Change) []Change {
	if !l.doubts(now) {
		return changes
	}
	out := make([]Change, len(changes))
	for i, c := range changes {
		c.Lapsed = c.RunnerGone != ""
		out[i] = c
	}
	return out
}

// settled returns the removals that were taken for lapses as removals.
func (s *Snapshot) settled() []Change {
	var out []Change
	for id, revision := range s.Lapsed {
		out = append(out, Change{Revision: revision, RunnerGone: id})
	}
	return out
}

// carry returns the snapshot with the runners of an older one that it lacks, as
// lapsed.
func (s *Snapshot) carry(old *Snapshot) *Snapshot {
	next := s.with(nil, s.Revision)
	for id, r := range old.Runners {
		if next.Runners[id] == nil {
			next.Runners[id], next.Lapsed[id] = r, s.Revision
		}
	}
	return next
}

// settle believes the removals that still stand when the time for lapses is
// over, until ctx ends.
func (f *follower) settle(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.doubted:
		}
		for left := f.doubtLeft(); left > 0 && ctx.Err() == nil; left = f.doubtLeft() {
			_ = f.clk.Sleep(ctx, left)
		}
		f.believe()
	}
}

// doubtLeft returns for how long removals may still be lapses.
func (f *follower) doubtLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lapses.until.Sub(f.clk.Now())
}

// believe takes the removals that were doubted for removals.
func (f *follower) believe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.current.Load(); len(old.Lapsed) > 0 && !f.lapses.doubts(f.clk.Now()) {
		f.advance(old, old.settled(), old.Revision)
	}
}

// hear notes that the store answered at a time. The caller holds mu.
func (f *follower) hear(at, now time.Time) {
	if f.lapses.hear(at, now) {
		f.log.Info("store was away, removals of runners may be lapses", "silentMillis", at.Sub(f.lapses.before).Milliseconds())
		select {
		case f.doubted <- struct{}{}:
		default:
		}
	}
}

// vouch notes how far another instance's view can be relied on. The caller holds
// mu.
func (f *follower) vouch(from string, s Standing, now time.Time) {
	f.hear(s.Confirmed, now)
	if !f.lapses.vouch(s) {
		return
	}
	old := f.current.Load()
	f.log.Info("store was not away for another instance, no removal is a lapse", "instance", from, "lapsed", len(old.Lapsed))
	f.advance(old, old.settled(), old.Revision)
}
