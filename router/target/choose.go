package target

import (
	"cmp"
	"slices"
	"time"
)

// Prompt is what a choice of an engine depends on.
type Prompt struct {
	// Parts are the prompt's parts in order; the last one is its own.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
}

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

const (
	// crossZone is what a call into another zone costs beside the runner's own
	// time: a round trip and its bytes.
	crossZone = 2 * time.Millisecond
)

// candidate is a target with what it costs to choose it.
type candidate struct {
	target *Target
	cost   time.Duration
	aside  bool
}

func (s *set) Plain(service, zone string, avoid []*Target) *Target {
	return s.Choose(service, avoid, true, func(t *Target) time.Duration {
		cost := t.busyTime()
		if t.Runner().Zone != zone {
			cost += crossZone
		}
		return cost
	})
}

func (s *set) Choose(service string, avoid []*Target, permit bool, cost func(*Target) time.Duration) *Target {
	now := s.clk.Now()
	var list []candidate
	for _, t := range s.Usable(service) {
		if !slices.Contains(avoid, t) {
			list = append(list, candidate{target: t, cost: cost(t), aside: s.setAside && t.backsOff(now)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.aside != b.aside {
			if a.aside {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	for _, c := range list {
		if !permit || s.Permit(c.target) {
			return c.target
		}
	}
	return nil
}
