package pool

import (
	"slices"

	"cicadawell.dev/fleet/fault"
)

// dispatchFree lets free work have the places that paying work, which has
// left, had held up.
func (p *pools) dispatchFree(g *group) {
	if g.waiting[paying].Load() > 0 {
		return
	}
	now := p.now()
	for r := range g.members.Load().all {
		p.dispatch(r, now)
	}
}

func noRunner(g *group) error {
	return fault.New(fault.NoRunner, "no runner serves service %q with model %q at present", g.key.service, g.key.model)
}

// strand refuses the asks of a group without runners.
func (p *pools) strand(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for class := range g.queues {
		q := &g.queues[class]
		for len(q.heap) > 0 {
			w := q.heap[0]
			q.drop(w)
			g.changed(class)
			w.out <- outcome{err: noRunner(g)}
		}
	}
}

// dispatch hands the places of r to the asks that wait for them, paying ones
// of all groups first.
func (p *pools) dispatch(r *runner, now instant) {
	for r != nil {
		var again *runner
		for class := paying; class <= free; class++ {
			for _, g := range *r.groups.Load() {
				if u := p.dispatchGroup(g, class, r, now); u != nil {
					again = u
				}
			}
		}
		r = again
	}
}

func (p *pools) dispatchGroup(g *group, class int, r *runner, now instant) *runner {
	if g.waiting[class].Load() == 0 {
		return nil
	}
	g.mu.Lock()
	had := len(g.queues[class].heap)
	again := p.serve(g, class, r, now)
	drained := class == paying && had > 0 && len(g.queues[class].heap) == 0
	g.mu.Unlock()
	if drained {
		p.dispatchFree(g)
	}
	return again
}

// serve hands places to the asks of a queue: those of hint, or of any runner
// of the group when hint is nil. It returns a runner that needs a dispatch
// because free work gave a place on it back, or nil. g.mu is held.
func (p *pools) serve(g *group, class int, hint *runner, now instant) *runner {
	if class == free && g.waiting[paying].Load() > 0 {
		return nil
	}
	q := &g.queues[class]
	var passed []*waiter
	var undone *runner
	for len(q.heap) > 0 {
		w := q.heap[0]
		a := attempt{p: p, g: g, ask: w.ask, now: now}
		var pl *place
		if hint != nil {
			pl = a.on(hint, reasonQueued)
		} else {
			pl = a.anywhere()
		}
		if a.undone != nil {
			undone = a.undone
		}
		if pl != nil {
			q.take(w, now)
			g.changed(class)
			w.out <- outcome{place: pl}
			continue
		}
		if len(w.ask.Exclude) == 0 {
			break
		}
		// Another ask may use what this one has excluded.
		passed = append(passed, q.setAside())
	}
	for _, w := range passed {
		q.putBack(w)
	}
	if class == paying {
		p.displaceFor(g)
	}
	return undone
}

// displaceFor tells free work to leave for each paying ask that waits without
// a place on its way; g.mu is held.
func (p *pools) displaceFor(g *group) {
	for _, w := range g.queues[paying].heap {
		if w.victims.Load() > 0 {
			continue
		}
		for r := range g.members.Load().all {
			if slices.Contains(w.ask.Exclude, r.id) || r.out.Load() {
				continue
			}
			if r.displaceNewest(w) {
				break
			}
		}
	}
}
