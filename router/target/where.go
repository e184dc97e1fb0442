package target

import (
	"slices"
	"time"

	"cicadawell.dev/router/shard"
)

// Considered is a target that may be chosen for a call, with what counts in the choice.
type Considered struct {
	Target *Target
	// Running counts the calls of this instance at the runner.
	Running int
	// Cost is what the targets are compared by.
	Cost     time.Duration
	Slowdown float64
	// BackedOff is set during a backoff, PausedFor is the rest of a pause.
	BackedOff bool
	PausedFor time.Duration
	// Cold is set if a call needs a permit, NoPermit if there is none now.
	Cold, NoPermit bool
	// Withheld is set if the rollout of the service sends the next call to another
	// version.
	Withheld bool
}

func (s *set) PreviewLeastLoaded(service, zone string) (*Target, []Considered) {
	return s.Preview(shard.Whole(service), s.loadCost(zone))
}

func (s *set) Preview(sh shard.Shard, cost func(*Target) time.Duration) (*Target, []Considered) {
	v, now := s.view.Load(), s.clk.Now()
	p := v.rollouts[sh.Service]
	if p == nil || !p.split() {
		list := s.consider(v, v.usable[sh], cost, now)
		return firstAllowed(list), list
	}
	candidates, baseline := s.consider(v, s.healthyCandidates(p, sh, nil), cost, now), s.consider(v, p.baseline[sh], cost, now)
	var chosen *Target
	if p.credit.sufficient(p.share) {
		chosen = firstAllowed(candidates)
	}
	other := candidates
	if chosen == nil {
		chosen = firstAllowed(baseline)
	} else {
		other = baseline
	}
	for i := range other {
		other[i].Withheld = true
	}
	return chosen, slices.Concat(candidates, baseline)
}

// firstAllowed returns the first target of an ordered list that may get a call, or nil.
func firstAllowed(list []Considered) *Target {
	for _, c := range list {
		if c.PausedFor == 0 && !c.NoPermit {
			return c.Target
		}
	}
	return nil
}

// consider returns targets in the order in which they are chosen.
func (s *set) consider(v *view, targets []*Target, cost func(*Target) time.Duration, now time.Time) []Considered {
	list := make([]Considered, 0, len(targets))
	for _, t := range targets {
		c := Considered{Target: t, Cost: cost(t), Running: t.Running(), Slowdown: t.Slowdown(now), PausedFor: t.PausedFor(now), BackedOff: s.backOff && t.inBackoff(now)}
		c.Cold, c.NoPermit = s.previewPermit(v, t, now)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Considered) int {
		return compare(candidate{cost: a.Cost, backedOff: a.BackedOff}, candidate{cost: b.Cost, backedOff: b.BackedOff})
	})
	return list
}

// previewPermit reports whether a target is cold, and whether it may get no call now. It
// takes no permit.
func (s *set) previewPermit(v *view, t *Target, now time.Time) (cold, none bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.coldAt(now, v.snapshot.ReturnedZones[t.runner.Zone], s.describeLag) {
		return false, false
	}
	copied := Target{runner: t.runner, coldPacer: t.coldPacer, suspectRevision: t.suspectRevision, suspectSince: t.suspectSince}
	return true, !s.takePermit(v, &copied, now)
}
