package pool

import (
	"slices"

	"cicadawell.dev/fleet/fault"
)

// dispatchFree dispatches the group's runners if no paying request waits any
// longer. While one waits, these runners accept no free requests.
func (p *pools) dispatchFree(g *group) {
	if g.waiting[payingClass].Load() > 0 {
		return
	}
	now := p.now()
	for r := range g.members.Load().all {
		p.dispatch(r, now)
	}
}

func noRunnerError(g *group) error {
	return fault.New(fault.NoRunner, "no runner serves service %q with model %q at present", g.key.service, g.key.model)
}

// rejectWaiters refuses all waiting requests of a group that has no runners.
func (p *pools) rejectWaiters(g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for class := range g.queues {
		q := &g.queues[class]
		for len(q.heap) > 0 {
			w := q.heap[0]
			q.removeUnserved(w)
			g.publishQueueLength(class)
			w.result <- waitResult{err: noRunnerError(g)}
		}
	}
}

// dispatch gives the available slots of r to waiting requests, first to the
// paying requests of all groups.
func (p *pools) dispatch(r *runner, now instant) {
	for r != nil {
		var redispatch *runner
		for class := payingClass; class <= freeClass; class++ {
			for _, g := range *r.groups.Load() {
				if u := p.dispatchGroup(g, class, r, now); u != nil {
					redispatch = u
				}
			}
		}
		r = redispatch
	}
}

func (p *pools) dispatchGroup(g *group, class int, r *runner, now instant) *runner {
	if g.waiting[class].Load() == 0 {
		return nil
	}
	g.mu.Lock()
	waitingBefore := len(g.queues[class].heap)
	redispatch := p.serveQueue(g, class, r, now)
	drained := class == payingClass && waitingBefore > 0 && len(g.queues[class].heap) == 0
	g.mu.Unlock()
	if drained {
		p.dispatchFree(g)
	}
	return redispatch
}

// serveQueue gives slots to the requests of a queue: slots on only, or on any
// runner of the group if only is nil. It returns a runner that needs a dispatch
// because a free request gave up a slot on it, or nil. g.mu is held.
func (p *pools) serveQueue(g *group, class int, only *runner, now instant) *runner {
	if class == freeClass && g.waiting[payingClass].Load() > 0 {
		return nil
	}
	q := &g.queues[class]
	var skipped []*waiter
	var redispatch *runner
	for len(q.heap) > 0 {
		w := q.heap[0]
		a := acquisition{p: p, g: g, req: w.req, now: now}
		var pl *slot
		if only != nil {
			pl = a.tryRunner(only, reasonQueued)
		} else {
			pl = a.tryAny()
		}
		if a.redispatch != nil {
			redispatch = a.redispatch
		}
		if pl != nil {
			q.removeServed(w, now)
			g.publishQueueLength(class)
			w.result <- waitResult{slot: pl}
			continue
		}
		if len(w.req.Exclude) == 0 {
			break
		}
		// A later request may be able to use a runner that this one excludes.
		skipped = append(skipped, q.setAside())
	}
	for _, w := range skipped {
		q.putBack(w)
	}
	if class == payingClass {
		p.preemptFor(g)
	}
	return redispatch
}

// preemptFor preempts one free-tier slot for each waiting paying request that
// has no preemption pending; g.mu is held.
func (p *pools) preemptFor(g *group) {
	for _, w := range g.queues[payingClass].heap {
		if w.pendingPreemptions.Load() > 0 {
			continue
		}
		for r := range g.members.Load().all {
			if slices.Contains(w.req.Exclude, r.id) || r.disabled.Load() {
				continue
			}
			if r.preemptNewest(w) {
				break
			}
		}
	}
}
