package pool

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/permit"
	"github.com/cespare/xxhash/v2"
)

// New returns Pools without runners; Update brings them.
func New(clk clock.Clock, options ...Option) Pools {
	p := &pools{clk: clk, cfg: defaults(), began: clk.Now().Add(-past)}
	for _, o := range options {
		o(&p.cfg)
	}
	p.state.Store(p.cfg.seed)
	p.snapshot.Store(&snapshot{})
	p.hold.Store(math.MaxInt64)
	return p
}

type pools struct {
	clk clock.Clock
	cfg settings
	// began is the origin of instants.
	began time.Time
	// state is the state of the random choices.
	state    atomic.Uint64
	snapshot atomic.Pointer[snapshot]
	// hold is the instant until which cold runners may be used.
	hold atomic.Int64
	// lapsed is set when a hold ended before it was renewed.
	lapsed atomic.Bool

	// mu is held by Update; the fields below belong to it.
	mu sync.Mutex
	// runners are all that were ever seen and still have work or a row.
	runners map[string]*runner
	groups  map[groupKey]*group
	// cover holds the last settled view and the unsettled ones since.
	cover permit.Cover
}

// snapshot is what the path of a request reads. It is immutable.
type snapshot struct {
	groups  map[groupKey]*group
	runners map[string]*runner
}

// past lets instants from before the pools were made stay positive.
const past = time.Hour

func (p *pools) now() instant { return p.instantOf(p.clk.Now()) }

func (p *pools) instantOf(t time.Time) instant { return instant(t.Sub(p.began)) }

// random returns the next number of a splitmix64 sequence.
func (p *pools) random() uint64 { return mix(p.state.Add(0x9e3779b97f4a7c15)) }

func (p *pools) Acquire(ctx context.Context, ask Ask) (Place, error) {
	g := p.snapshot.Load().groups[groupKey{ask.Service, ask.Model}]
	if g == nil {
		return nil, fault.New(fault.NoRunner, "no runner serves %s %s", ask.Service, ask.Model)
	}
	if g.members.Load().len() == 0 {
		return nil, noRunner(g)
	}
	now := p.now()
	pl, err := p.atOnce(g, &ask, now)
	if err != nil {
		return nil, err
	}
	if pl != nil {
		return pl, nil
	}
	w, err := p.enqueue(g, ask, now)
	if err != nil {
		return nil, err
	}
	return p.wait(ctx, w)
}

// atOnce returns a place without waiting, or nil when the ask has to wait.
func (p *pools) atOnce(g *group, ask *Ask, now instant) (*place, error) {
	left := p.instantOf(ask.Deadline).sub(now)
	if need := g.latency.likely(now); p.cfg.budgets && left < need {
		return nil, fault.New(fault.DeadlineShort, "%v remain, %s needs %v",
			left, ask.Service, need)
	}
	if !g.mustWait(ask.Paying) {
		a := attempt{p: p, g: g, ask: *ask, now: now}
		pl := a.anywhere()
		if a.undone != nil {
			p.dispatch(a.undone, now)
		}
		if pl != nil {
			return pl, nil
		}
	}
	if !g.usable(ask) {
		return nil, fault.New(fault.NoRunner, "all runners of %s were tried", ask.Service)
	}
	return nil, nil
}

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

func (p *pools) Hold(until time.Time) {
	now := p.now()
	lapsed := !p.holds(now)
	p.hold.Store(int64(p.instantOf(until)))
	if !lapsed {
		return
	}
	p.lapsed.Store(true)
	for _, r := range p.snapshot.Load().runners {
		p.dispatch(r, now)
	}
}

// holds reports whether the view may still be relied on.
func (p *pools) holds(now instant) bool { return now < instant(p.hold.Load()) }

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
	return fault.New(fault.NoRunner, "no runner serves %s %s at present", g.key.service, g.key.model)
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

func (p *pools) Wait(service, model string, isPaying bool) time.Duration {
	g := p.snapshot.Load().groups[groupKey{service, model}]
	if g == nil {
		return 0
	}
	wait := int64(0)
	for class := paying; class <= classOf(isPaying); class++ {
		if g.waiting[class].Load() > 0 {
			wait += g.waits[class].Load()
		}
	}
	return time.Duration(wait)
}

func (p *pools) Report(id string, load runnerapi.Load) {
	r := p.snapshot.Load().runners[id]
	if r == nil {
		return
	}
	now := p.now()
	at := madeAt(now, load.AgeMillis)
	r.mu.Lock()
	r.reported(load, at)
	r.setLimits(p.cfg, now)
	r.mu.Unlock()
	p.dispatch(r, now)
}

func (p *pools) Digest(since time.Time) Digest {
	from, now := p.instantOf(since), p.now()
	var d Digest
	for id, r := range p.snapshot.Load().runners {
		r.mu.Lock()
		at := r.warmth.confirmed
		cold := r.cold.Load()
		r.mu.Unlock()
		if at != 0 && at >= from {
			d.Entries = append(d.Entries, DigestEntry{id, cold, now.sub(at).Milliseconds()})
		}
	}
	slices.SortFunc(d.Entries, func(x, y DigestEntry) int { return cmp.Compare(x.Runner, y.Runner) })
	return d
}

func (p *pools) Learn(d Digest, delay time.Duration) {
	now := p.now()
	runners := p.snapshot.Load().runners
	for _, e := range d.Entries {
		r := runners[e.Runner]
		if r == nil {
			continue
		}
		at := madeAt(now, e.AgeMillis) - instant(delay)
		r.mu.Lock()
		if e.Cold {
			if at > r.warmth.confirmed {
				r.cool(at + instant(ageUnit))
			}
		} else {
			r.warm(at)
		}
		r.setLimits(p.cfg, now)
		r.mu.Unlock()
		p.dispatch(r, now)
	}
}

func (p *pools) Status() []Status {
	s := p.snapshot.Load()
	rows := make([]Status, 0, len(s.runners))
	for id, r := range s.runners {
		desc := r.desc.Load()
		row := Status{
			Runner: id, Zone: desc.Zone, Service: desc.Service,
			InFlight: int(r.total.Load()), Limit: float64(r.limit.Load()),
			Cold: r.cold.Load(), Out: r.out.Load(),
		}
		r.mu.Lock()
		row.Permits = r.permits.share
		r.mu.Unlock()
		for _, g := range *r.groups.Load() {
			row.Queued += int(g.waiting[paying].Load() + g.waiting[free].Load())
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(x, y Status) int { return cmp.Compare(x.Runner, y.Runner) })
	return rows
}

// frac returns the part of x after the point.
func frac(x float64) float64 { return x - math.Floor(x) }

func newRunner(desc bundle.Runner) *runner {
	r := &runner{id: desc.ID, hash: xxhash.Sum64String(desc.ID)}
	r.desc.Store(&desc)
	r.groups.Store(&[]*group{})
	r.out.Store(true)
	return r
}
