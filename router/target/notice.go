package target

import (
	"slices"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/shard"
)

// Notice is what a runner says in an answer about itself and about further calls of
// this instance.
type Notice struct {
	// Leaving is set if the runner is about to stop. It gets no new calls from then
	// on, whatever its description says.
	Leaving bool
	// Pause is for how long the runner takes no calls of this instance; zero if it
	// didn't say.
	Pause time.Duration
	// Limit is how many calls per second the runner takes from all instances together;
	// zero if it didn't say.
	Limit float64
	// Unlimited is set if an answer without a limit ends the one named before.
	Unlimited bool
	// Brittle is how many calls in a second the runner bears to turn away for want of room,
	// from all instances together; zero if it didn't say.
	Brittle float64
	// NotBrittle is set if an answer that says nothing of it ends what was said before.
	NotBrittle bool
	// TurnedAway is set if a brittle runner had no room for the call or batch, Accepted if
	// it had.
	TurnedAway, Accepted bool
	Load                 Load
}

// aboutLimit reports whether the notice says something of the runner's limit.
func (n Notice) aboutLimit() bool { return n.Limit > 0 || n.Unlimited }

// aboutRoom reports whether the notice says something of the room of a brittle runner.
func (n Notice) aboutRoom() bool {
	return n.Brittle > 0 || n.NotBrittle || n.TurnedAway || n.Accepted
}

const (
	// maxPause bounds a pause, so that a runner with a faulty one gets calls again.
	maxPause = 10 * time.Minute
	// leavingMemory is how long a runner that is leaving is remembered after its
	// description was removed. Descriptions that expired in an outage of the store
	// come back.
	leavingMemory = 10 * time.Minute
)

// incarnation identifies one start of a runner. Without a birth time it identifies
// the runner for as long as it is described.
type incarnation struct {
	id, address string
	born        int64
}

func incarnationOf(r *inventory.Runner) incarnation {
	return incarnation{id: r.ID, address: r.Address, born: r.Born}
}

func (s *set) Observe(r *inventory.Runner, n Notice) {
	if n.Leaving {
		s.markLeaving(r)
	}
	hasLoad := s.useLoad && n.Load.Slots > 0
	if n.Pause <= 0 && !hasLoad && !n.aboutLimit() && !n.aboutRoom() {
		return
	}
	t := s.Find(r.ID)
	if t == nil || incarnationOf(t.Runner()) != incarnationOf(r) {
		return
	}
	if hasLoad {
		t.observeLoad(n.Load, s.clk.Now())
	}
	if n.aboutLimit() {
		s.observeLimit(t, n.Limit)
	}
	if n.aboutRoom() {
		s.observeBrittle(t, n)
	}
	if n.Pause <= 0 {
		return
	}
	if d := min(n.Pause, maxPause); t.pause(s.clk.Now().Add(d)) {
		s.log.Info("runner paused", "runner", r.ID, "service", r.Service, "zone", r.Zone, "pauseMillis", d.Milliseconds())
	}
}

// markLeaving records that a runner is about to stop, and removes it from the
// targets that accept calls.
func (s *set) markLeaving(r *inventory.Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnationOf(r)
	if _, known := s.leaving[key]; known {
		return
	}
	v := s.view.Load()
	if t := v.all[r.ID]; r.Born == 0 && (t == nil || incarnationOf(t.Runner()) != key) {
		return
	}
	s.leaving[key] = s.clk.Now()
	s.log.Info("runner leaving by its own answer", "runner", r.ID, "service", r.Service, "zone", r.Zone, "draining", r.Draining)
	s.view.Store(s.newView(v.snapshot, v.all))
}

// forgetLeaving drops the runners that left. The caller holds mu.
func (s *set) forgetLeaving(next *inventory.Snapshot) {
	now := s.clk.Now()
	for key, since := range s.leaving {
		r := next.Runners[key.id]
		described := r != nil && incarnationOf(r) == key
		if !described && (key.born == 0 || now.Sub(since) > leavingMemory) {
			delete(s.leaving, key)
		}
	}
}

// keepPauses keeps the pauses of targets that are no longer described, until they
// end. The caller holds mu.
func (s *set) keepPauses(old *view, all map[string]*Target) {
	now := s.clk.Now()
	for key, until := range s.absentPauses {
		if !now.Before(until) {
			delete(s.absentPauses, key)
		}
	}
	for id, t := range old.all {
		if all[id] == t {
			continue
		}
		t.mu.Lock()
		key, until := incarnationOf(t.runner), latest(t.pausedUntil, t.limit.next)
		t.mu.Unlock()
		if now.Before(until) {
			s.absentPauses[key] = until
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *set) Excluded(service string) []*Target {
	v, now := s.view.Load(), s.clk.Now()
	excluded := slices.Clone(v.leaving[service])
	for _, t := range v.usable[shard.Whole(service)] {
		if t.PausedFor(now) > 0 {
			excluded = append(excluded, t)
		}
	}
	return excluded
}

func (s *set) PausedFor(service string) time.Duration {
	now := s.clk.Now()
	var shortest time.Duration
	for _, t := range s.primary(service) {
		d := t.PausedFor(now)
		if d == 0 {
			return 0
		}
		if shortest == 0 || d < shortest {
			shortest = d
		}
	}
	return shortest
}

// PausedFor returns for how long the runner takes no calls of this instance, because it
// said so, by its limit, or since it is brittle and may have no room; zero if it takes them.
func (t *Target) PausedFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	room := t.brittle.pausedFor(now, t.inFlightBrittle(), t.hasFreeSlot(now))
	return max(0, t.pausedUntil.Sub(now), t.limit.next.Sub(now), room)
}

// pause extends the pause up to a time. It reports whether that was later than
// before.
func (t *Target) pause(until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !until.After(t.pausedUntil) {
		return false
	}
	t.pausedUntil = until
	return true
}
