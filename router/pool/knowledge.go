package pool

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

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
	before := r.cold.Load()
	r.reported(load, at)
	r.setLimits(p.cfg, now)
	r.mu.Unlock()
	p.sign(r, before)
	p.dispatch(r, now)
}

// signsKept is how many cold signs wait for being told.
const signsKept = 64

func (p *pools) ColdSigns() <-chan string { return p.signs }

// sign tells of a runner that was not cold before and is now.
func (p *pools) sign(r *runner, before bool) {
	if before || !r.cold.Load() {
		return
	}
	select {
	case p.signs <- r.desc.Load().ID:
	default:
	}
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
