package target

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadawell.dev/router/shard"
)

// Prompt describes the prompt of a call for the choice of an engine.
type Prompt struct {
	// Parts are the prompt's parts in order; the last one isn't shared with other
	// calls.
	Parts []Part
	// Tokens is the length of the whole prompt in tokens.
	Tokens int
}

// LastPart returns the identifier of the last part, which no other prompt has, or "".
func (p Prompt) LastPart() string {
	if len(p.Parts) == 0 {
		return ""
	}
	return p.Parts[len(p.Parts)-1].ID
}

// SharedKey identifies the parts that the prompt shares with others, all but the
// last. It is empty if there are none.
func (p Prompt) SharedKey() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

// Part is a section of a prompt that calls may share.
type Part struct {
	ID     string
	Tokens int
}

const (
	// crossZoneCost is the additional cost of a call to a runner in another zone: a
	// round trip and the transfer.
	crossZoneCost = 2 * time.Millisecond
)

// ExcludedCost is the cost of a target that must not be chosen.
const ExcludedCost time.Duration = math.MinInt64

// candidate is a target with the cost of choosing it.
type candidate struct {
	target    *Target
	cost      time.Duration
	backedOff bool
}

func (s *set) LeastLoaded(service, zone string, avoid []*Target) *Target {
	return s.Choose(shard.Whole(service), avoid, true, s.loadCost(zone))
}

// loadCost returns the cost of one more call of an instance in a zone.
func (s *set) loadCost(zone string) func(*Target) time.Duration {
	now := s.clk.Now()
	return func(t *Target) time.Duration {
		cost := t.expectedTime(now)
		if t.Runner().Zone != zone {
			cost += crossZoneCost
		}
		return cost
	}
}

// compare orders candidates: by cost, and those in backoff last.
func compare(a, b candidate) int {
	if a.backedOff != b.backedOff {
		if a.backedOff {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.cost, b.cost)
}

func (s *set) Choose(sh shard.Shard, avoid []*Target, permit bool, cost func(*Target) time.Duration) *Target {
	v := s.view.Load()
	p := v.rollouts[sh.Service]
	if p == nil || !p.split() {
		return s.chooseAmong(v, v.usable[sh], avoid, permit, cost)
	}
	if !permit {
		return s.chooseAmong(v, p.baselineOr(v, sh), avoid, false, cost)
	}
	return s.chooseInRollout(p, sh, avoid, func(targets []*Target) *Target {
		return s.chooseAmong(v, targets, avoid, true, cost)
	})
}

// chooseAmong returns the one of the targets with the least cost, or nil.
func (s *set) chooseAmong(v *view, targets, avoid []*Target, permit bool, cost func(*Target) time.Duration) *Target {
	now := s.clk.Now()
	var list []candidate
	for _, t := range targets {
		if slices.Contains(avoid, t) || t.PausedFor(now) != 0 {
			continue
		}
		if c := cost(t); c != ExcludedCost {
			list = append(list, candidate{target: t, cost: c, backedOff: s.backOff && t.inBackoff(now)})
		}
	}
	slices.SortFunc(list, compare)
	for _, c := range list {
		if !permit || s.takeColdPermit(v, c.target) {
			return c.target
		}
	}
	return nil
}

func (s *set) HasAlternative(service string, avoid []*Target) bool {
	now := s.clk.Now()
	return slices.ContainsFunc(s.primary(service), func(t *Target) bool {
		return !slices.Contains(avoid, t) && t.PausedFor(now) == 0 && (!s.backOff || !t.inBackoff(now))
	})
}
