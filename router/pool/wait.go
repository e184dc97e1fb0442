package pool

import (
	"context"
	"time"

	"cicadawell.dev/fleet/fault"
)

// wait waits for the place of an ask in the queue.
func (p *pools) wait(ctx context.Context, w *waiter) (Place, error) {
	g := w.g
	for {
		now := p.now()
		until := p.latest(w, now)
		wake := p.nextGain(g, until)
		select {
		case o := <-w.out:
			return o.answer()
		case <-ctx.Done():
			return p.leave(w, fault.Wrap(fault.Overloaded, ctx.Err(), "gave up waiting").
				WithOutcome(fault.NotRun), true)
		case <-p.clk.After(wake.sub(now)):
			if wake >= until {
				return p.leave(w, fault.New(fault.Overloaded,
					"no place for %s in time", w.ask.Service).WithOutcome(fault.NotRun), false)
			}
			p.refresh(g, p.now())
		}
	}
}

func (o outcome) answer() (Place, error) {
	if o.err != nil {
		return nil, o.err
	}
	return o.place, nil
}

// latest returns until when a place is of use to w.
func (p *pools) latest(w *waiter, now instant) instant {
	if !p.cfg.budgets {
		return w.deadline
	}
	return w.deadline - instant(w.g.latency.likely(now))
}

// nextGain returns when a share of a cold runner comes into use, or until.
func (p *pools) nextGain(g *group, until instant) instant {
	for r := range g.members.Load().all {
		if at := instant(r.gainAt.Load()); at != 0 && at < until {
			until = at
		}
	}
	return until
}

// refresh puts shares in force whose time has come.
func (p *pools) refresh(g *group, now instant) {
	for r := range g.members.Load().all {
		if at := instant(r.gainAt.Load()); at == 0 || at > now {
			continue
		}
		r.mu.Lock()
		r.setLimits(p.cfg, now)
		r.mu.Unlock()
		p.dispatch(r, now)
	}
}

// enqueue refuses the ask if it can't be served in time, and else puts it
// into the queue and serves the queue once, so that no place given back
// meanwhile is missed.
func (p *pools) enqueue(g *group, ask Ask, now instant) (*waiter, error) {
	w := &waiter{
		g: g, ask: ask, index: -1, out: make(chan outcome, 1),
		deadline: p.instantOf(ask.Deadline),
	}
	class := classOf(ask.Paying)
	g.mu.Lock()
	q := &g.queues[class]
	err := p.tooLong(w, q, now)
	if g.members.Load().len() == 0 {
		err = noRunner(g)
	}
	if err == nil {
		err = p.makeRoom(w, q)
	}
	if err != nil {
		g.mu.Unlock()
		return nil, err
	}
	q.push(w, now)
	g.changed(class)
	again := p.serve(g, class, nil, now)
	g.mu.Unlock()
	if again != nil {
		p.dispatch(again, now)
	}
	return w, nil
}

// makeRoom refuses the newest ask of the team with the longest backlog when
// the queue is full, which may be w itself; g.mu is held.
func (p *pools) makeRoom(w *waiter, q *queue) error {
	if len(q.heap) < p.cfg.queue {
		return nil
	}
	full := fault.New(fault.Overloaded, "the queue of %s is full", w.ask.Service)
	victim := q.longest()
	if victim.ask.Team == w.ask.Team {
		return full
	}
	q.drop(victim)
	w.g.changed(classOf(w.ask.Paying))
	victim.out <- outcome{err: full}
	return nil
}

// tooLong returns an error if the asks ahead of w will take too long; g.mu is
// held.
func (p *pools) tooLong(w *waiter, q *queue, now instant) error {
	if !p.cfg.budgets || q.interval == 0 || len(q.heap) == 0 {
		return nil
	}
	interval := max(q.interval, float64(now-q.served))
	ahead := q.ahead(q.startTag(w.ask.Team)) + 1
	left := p.latest(w, now).sub(now)
	if over := time.Duration(float64(ahead)*interval) - left; over > 0 {
		return fault.New(fault.Overloaded, "%d asks of %s wait ahead",
			ahead-1, w.ask.Service).WithRetryAfter(over)
	}
	return nil
}

// leave takes w out of its queue. A place that was handed over just before is
// kept, unless the ask is gone.
func (p *pools) leave(w *waiter, err error, gone bool) (Place, error) {
	g, class := w.g, classOf(w.ask.Paying)
	g.mu.Lock()
	if w.index >= 0 {
		g.queues[class].drop(w)
		g.changed(class)
		g.mu.Unlock()
		if class == paying {
			p.dispatchFree(g)
		}
		return nil, err
	}
	g.mu.Unlock()
	o := <-w.out
	if o.place != nil && gone {
		o.place.Done(Result{Ending: Unsent})
		return nil, err
	}
	return o.answer()
}
