package target

import (
	"time"

	"cicadawell.dev/router/inventory"
)

const (
	// maxLimit bounds a limit, so that intervals don't become zero.
	maxLimit = 1_000_000
	// minLimit is the smallest limit that is kept apart from none, one call in ten minutes.
	minLimit = 1.0 / 600
	// limitSettleTime is how long after a runner named a limit an answer without one is
	// taken for an earlier answer that arrived later.
	limitSettleTime = 500 * time.Millisecond
)

// limit is what a runner takes from all instances together, as it says in its answers. The
// zero value stands for none.
type limit struct {
	// perSecond is the number of calls; zero without a limit.
	perSecond float64
	// namedAt is when an answer last named the limit.
	namedAt time.Time
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

// observeLimit applies the limit that an answer named, or the end of the limit if perSecond
// is zero.
func (s *set) observeLimit(t *Target, perSecond float64) {
	now := s.clk.Now()
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
		s.log.Info("runner named a limit", "runner", r.ID, "service", r.Service, "zone", r.Zone, "perSecond", perSecond)
	case old.perSecond > 0 && now.Sub(old.namedAt) >= limitSettleTime:
		t.limit = limit{}
		s.log.Info("limit of a runner ended", "runner", r.ID, "service", r.Service, "zone", r.Zone, "afterMillis", now.Sub(old.namedAt).Milliseconds())
	}
}

// limitOf returns the limit of a runner that has just been described, which the target old
// stood for, or nil. The caller holds mu.
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
