package pool

import (
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/fleet/runnerapi"
)

func (p *pools) ExtendView(until time.Time) {
	now := p.now()
	expired := !p.viewValid(now)
	p.viewValidUntil.Store(int64(p.instantOf(until)))
	if !expired {
		return
	}
	p.viewExpired.Store(true)
	for _, r := range p.snapshot.Load().runners {
		p.dispatch(r, now)
	}
}

// viewValid reports whether the view may still be used, see ExtendView.
func (p *pools) viewValid(now instant) bool { return now < instant(p.viewValidUntil.Load()) }

func (p *pools) EstimateWait(service, model string, isPaying bool) time.Duration {
	g := p.snapshot.Load().groups[groupKey{service, model}]
	if g == nil {
		return 0
	}
	wait := int64(0)
	for class := payingClass; class <= classOf(isPaying); class++ {
		if g.waiting[class].Load() > 0 {
			wait += g.waitEstimates[class].Load()
		}
	}
	return time.Duration(wait)
}

func (p *pools) ReportLoad(id string, load runnerapi.Load) {
	r := p.snapshot.Load().runners[id]
	if r == nil {
		return
	}
	now := p.now()
	at := earliestTime(now, load.AgeMillis)
	r.mu.Lock()
	wasCold := r.cold.Load()
	r.applyReport(load, at)
	r.updateLimits(p.cfg, now)
	r.mu.Unlock()
	p.notifyCold(r, wasCold)
	p.dispatch(r, now)
}

// coldRunnerBuffer is the capacity of the channel that ColdRunners returns.
const coldRunnerBuffer = 64

func (p *pools) ColdRunners() <-chan string { return p.coldRunners }

// notifyCold sends the runner to ColdRunners if it turned cold; wasCold is its
// state before. It drops the notification if the channel is full.
func (p *pools) notifyCold(r *runner, wasCold bool) {
	if wasCold || !r.cold.Load() {
		return
	}
	select {
	case p.coldRunners <- r.desc.Load().ID:
	default:
	}
}

func (p *pools) Digest(since time.Time) Digest {
	from, now := p.instantOf(since), p.now()
	var d Digest
	for id, r := range p.snapshot.Load().runners {
		r.mu.Lock()
		at := r.coldState.confirmedAt
		cold := r.cold.Load()
		r.mu.Unlock()
		if at != 0 && at >= from {
			d.Entries = append(d.Entries, DigestEntry{id, cold, now.sub(at).Milliseconds()})
		}
	}
	slices.SortFunc(d.Entries, func(x, y DigestEntry) int { return cmp.Compare(x.Runner, y.Runner) })
	return d
}

func (p *pools) MergeDigest(d Digest, delay time.Duration) {
	now := p.now()
	runners := p.snapshot.Load().runners
	for _, e := range d.Entries {
		r := runners[e.Runner]
		if r == nil {
			continue
		}
		at := earliestTime(now, e.AgeMillis) - instant(delay)
		r.mu.Lock()
		if e.Cold {
			if at > r.coldState.confirmedAt {
				r.markCold(at + instant(ageResolution))
			}
		} else {
			r.markWarm(at)
		}
		r.updateLimits(p.cfg, now)
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
			InFlight: int(r.inFlight.Load()), Limit: float64(r.limit.Load()),
			Cold: r.cold.Load(), Out: r.disabled.Load(),
		}
		r.mu.Lock()
		row.Permits = r.coldShare.share
		r.mu.Unlock()
		for _, g := range *r.groups.Load() {
			row.Queued += int(g.waiting[payingClass].Load() + g.waiting[freeClass].Load())
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(x, y Status) int { return cmp.Compare(x.Runner, y.Runner) })
	return rows
}
