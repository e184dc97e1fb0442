package pool

import (
	"context"
	"time"

	"cicadawell.dev/fleet/fault"
)

// waitForSlot waits until the queued request receives a slot or an error.
func (p *pools) waitForSlot(ctx context.Context, w *waiter) (Slot, error) {
	g := w.g
	for {
		now := p.now()
		until := p.latestStart(w, now)
		wake := p.nextGrant(g, until)
		select {
		case o := <-w.result:
			return o.unpack()
		case <-ctx.Done():
			return p.abandon(w, fault.Wrap(fault.Overloaded, ctx.Err(), "gave up waiting").
				WithOutcome(fault.NotRun), true)
		case <-p.clk.After(wake.sub(now)):
			if wake >= until {
				return p.abandon(w, fault.New(fault.Overloaded,
					"no place for %s in time", w.req.Service).WithOutcome(fault.NotRun), false)
			}
			p.activateGrants(g, p.now())
		}
	}
}

func (o waitResult) unpack() (Slot, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.slot, nil
}

// latestStart returns the latest time at which a slot is still of use to w.
func (p *pools) latestStart(w *waiter, now instant) instant {
	if !p.cfg.deadlineChecks {
		return w.deadline
	}
	return w.deadline - instant(w.g.latency.likelyMax(now))
}

// nextGrant returns when the next grant of a cold runner's share takes effect,
// at most until.
func (p *pools) nextGrant(g *group, until instant) instant {
	for r := range g.members.Load().all {
		if at := instant(r.grantAt.Load()); at != 0 && at < until {
			until = at
		}
	}
	return until
}

// activateGrants applies the grants that are due and dispatches their runners.
func (p *pools) activateGrants(g *group, now instant) {
	for r := range g.members.Load().all {
		if at := instant(r.grantAt.Load()); at == 0 || at > now {
			continue
		}
		r.mu.Lock()
		r.updateLimits(p.cfg, now)
		r.mu.Unlock()
		p.dispatch(r, now)
	}
}

// enqueue refuses the request if it can't be served in time. Otherwise it
// queues the request and serves the queue once, so that a slot given back in
// the meantime isn't missed.
func (p *pools) enqueue(g *group, req Request, now instant) (*waiter, error) {
	w := &waiter{
		g: g, req: req, index: -1, result: make(chan waitResult, 1),
		deadline: p.instantOf(req.Deadline),
	}
	class := classOf(req.Paying)
	g.mu.Lock()
	q := &g.queues[class]
	err := p.checkWait(w, q, now)
	if g.members.Load().len() == 0 {
		err = noRunnerError(g)
	}
	if err == nil {
		err = p.ensureCapacity(w, q)
	}
	if err != nil {
		g.mu.Unlock()
		return nil, err
	}
	q.push(w, now)
	g.publishQueueLength(class)
	redispatch := p.serveQueue(g, class, nil, now)
	g.mu.Unlock()
	if redispatch != nil {
		p.dispatch(redispatch, now)
	}
	return w, nil
}

// ensureCapacity refuses the newest request of the team with the longest
// backlog if the queue is full. It returns an error if that team is w's own;
// g.mu is held.
func (p *pools) ensureCapacity(w *waiter, q *queue) error {
	if len(q.heap) < p.cfg.maxQueue {
		return nil
	}
	full := fault.New(fault.Overloaded, "the queue of %s is full", w.req.Service)
	victim := q.longestBacklog()
	if victim.req.Team == w.req.Team {
		return full
	}
	q.removeUnserved(victim)
	w.g.publishQueueLength(classOf(w.req.Paying))
	victim.result <- waitResult{err: full}
	return nil
}

// checkWait returns an error if the requests ahead of w are expected to take
// too long; g.mu is held.
func (p *pools) checkWait(w *waiter, q *queue, now instant) error {
	if !p.cfg.deadlineChecks || q.serveInterval == 0 || len(q.heap) == 0 {
		return nil
	}
	interval := max(q.serveInterval, float64(now-q.lastServedAt))
	ahead := q.countAhead(q.startTag(w.req.Team)) + 1
	left := p.latestStart(w, now).sub(now)
	if over := time.Duration(float64(ahead)*interval) - left; over > 0 {
		return fault.New(fault.Overloaded, "%d asks of %s wait ahead",
			ahead-1, w.req.Service).WithRetryAfter(over)
	}
	return nil
}

// abandon removes w from its queue. A slot that was handed over just before goes
// to the caller, or is released if the caller is gone.
func (p *pools) abandon(w *waiter, err error, callerGone bool) (Slot, error) {
	g, class := w.g, classOf(w.req.Paying)
	g.mu.Lock()
	if w.index >= 0 {
		g.queues[class].removeUnserved(w)
		g.publishQueueLength(class)
		g.mu.Unlock()
		if class == payingClass {
			p.dispatchFree(g)
		}
		return nil, err
	}
	g.mu.Unlock()
	o := <-w.result
	if o.slot != nil && callerGone {
		o.slot.Release(Result{Ending: Unsent})
		return nil, err
	}
	return o.unpack()
}
