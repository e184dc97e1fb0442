package target

import (
	"math"
	"time"

	"cicadawell.dev/router/inventory"
)

// What users tolerate of a runner with a limit: in any limitWindow, limitOverage times what
// the limit allows and limitSlack more calls, from all instances together.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

const (
	// limitMargin is by how many standard deviations the calls of many independent
	// instances stay below what is tolerated.
	limitMargin = 6
	// maxLimit bounds a limit, so that intervals don't become zero.
	maxLimit = 1_000_000
	// minLimit is the smallest limit that is kept apart from none, one call in ten minutes.
	minLimit = 1.0 / 600
	// limitSettleTime is how long after a runner named a limit an answer without one is
	// taken for an earlier answer that arrived later.
	limitSettleTime = 500 * time.Millisecond
	// uncountedPause is how long a runner with a limit gets nothing while it isn't known
	// how many instances share the limit.
	uncountedPause = 500 * time.Millisecond
)

// limit is what a runner takes from all instances together, as it says in its answers. The
// zero value stands for none.
type limit struct {
	// perSecond is the number of calls; zero without a limit.
	perSecond float64
	// namedAt is when an answer last named the limit.
	namedAt time.Time
	// next is the earliest time of this instance's next call.
	next time.Time
}

// InstanceCount returns how many instances share the limits of runners, or false if that
// isn't known.
type InstanceCount func() (n int, known bool)

// limitInterval returns the time between two calls of one of n instances to a runner that
// takes perSecond from all of them. The instances don't coordinate. As each spaces its
// calls evenly, n instances exceed their mean by n calls in a window at most. Where that is
// more than is tolerated, they use less of the limit, so that it is very unlikely that too
// many of their calls fall into one window.
func limitInterval(perSecond float64, n int) time.Duration {
	mean := perSecond * limitWindow.Seconds()
	tolerated := limitOverage*mean + limitSlack
	if mean+float64(n) > tolerated {
		// The largest mean of a Poisson distribution whose mean and limitMargin standard
		// deviations are tolerated.
		root := (math.Sqrt(limitMargin*limitMargin+4*tolerated) - limitMargin) / 2
		mean = min(mean, root*root)
	}
	return time.Duration(float64(limitWindow) * float64(n) / mean)
}

// Limited reports whether a runner named a limit that is still in force.
func (s *set) Limited(r *inventory.Runner) bool {
	t := s.Find(r.ID)
	return t != nil && incarnationOf(t.Runner()) == incarnationOf(r) && t.Limited()
}

// Limited reports whether the runner takes a limited number of calls.
func (t *Target) Limited() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit.perSecond > 0
}

// Admit reports whether the target accepts a call of this instance now, and counts the call
// against the limit that the runner named.
func (s *set) Admit(t *Target) bool {
	if !s.accepts(t) {
		return false
	}
	now := s.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case now.Before(t.pausedUntil):
		return false
	case t.limit.perSecond == 0:
		return s.admitBrittle(t, now)
	case now.Before(t.limit.next):
		return false
	}
	n, known := s.instances()
	if !known {
		t.limit.next = now.Add(uncountedPause)
		return false
	}
	if !s.admitBrittle(t, now) {
		return false
	}
	t.limit.next = now.Add(limitInterval(t.limit.perSecond, n))
	return true
}

// observeLimit applies the limit that an answer named, or the end of the limit if perSecond
// is zero.
func (s *set) observeLimit(t *Target, perSecond float64) {
	now := s.clk.Now()
	n, _ := s.instances()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, old := t.runner, t.limit
	switch {
	case perSecond > 0:
		perSecond = min(max(minLimit, perSecond), maxLimit)
		t.limit.perSecond, t.limit.namedAt = perSecond, now
		if old.perSecond == perSecond {
			return
		}
		// The instances learn of a limit at about the same time and must not all make their
		// next call at once.
		interval := limitInterval(perSecond, n)
		next := now.Add(time.Duration(float64(interval) * float64(s.random.IntN(1000)) / 1000))
		if old.perSecond == 0 || next.Before(old.next) {
			t.limit.next = next
		}
		s.log.Info("runner named a limit", "runner", r.ID, "service", r.Service, "zone", r.Zone, "perSecond", perSecond, "instances", n, "intervalMillis", interval.Milliseconds())
	case old.perSecond > 0 && now.Sub(old.namedAt) >= limitSettleTime:
		t.limit = limit{}
		s.log.Info("limit of a runner ended", "runner", r.ID, "service", r.Service, "zone", r.Zone, "afterMillis", now.Sub(old.namedAt).Milliseconds())
	}
}

// limitOf returns the limit of a runner that gets a new target: that of its old target, or
// the one that it had when its description was removed. old may be nil. The caller holds mu.
func (s *set) limitOf(old *Target, r *inventory.Runner) limit {
	if old == nil || incarnationOf(old.runner) != incarnationOf(r) {
		return s.absentLimits[incarnationOf(r)]
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	return old.limit
}

// keepLimits keeps the limits of targets that are no longer described, since descriptions
// that expired in an outage of the store come back. The caller holds mu.
func (s *set) keepLimits(old *view, all map[string]*Target) {
	now := s.clk.Now()
	for key, l := range s.absentLimits {
		if now.Sub(l.namedAt) > leavingMemory {
			delete(s.absentLimits, key)
		}
	}
	for id, t := range old.all {
		if all[id] == t {
			continue
		}
		t.mu.Lock()
		key, l := incarnationOf(t.runner), t.limit
		t.mu.Unlock()
		if l.perSecond > 0 {
			s.absentLimits[key] = l
		}
	}
}
