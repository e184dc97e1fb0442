package pool

import (
	"slices"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/router/permit"
)

// golden spreads consecutive multiples evenly over the interval from 0 to 1.
const golden = 0.6180339887498949

func (p *pools) Update(t Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.close(t)
	view := permit.NewView(t.Instances, t.Self)
	if len(t.Instances) == 0 && t.Self == "" {
		view = permit.NewView([]string{""}, "")
	}
	p.forgetLapsed(now)
	p.cover = p.cover.With(view, t.Settled)
	next := p.arrange(t, view, now)
	p.snapshot.Store(next)
	for _, r := range next.runners {
		p.dispatch(r, now)
	}
	for _, g := range next.groups {
		if g.members.Load().len() == 0 {
			p.strand(g)
		}
	}
}

// forgetLapsed drops what was known of the views if the hold has lapsed since
// the last topology: others may have owned this instance's shares meanwhile.
func (p *pools) forgetLapsed(now instant) {
	if !p.lapsed.Swap(false) && p.holds(now) {
		return
	}
	p.cover = permit.Cover{}
	for _, r := range p.runners {
		r.mu.Lock()
		r.permits = permits{}
		r.mu.Unlock()
	}
}

// close bars the runners that the topology takes no new work to, before
// anything else changes.
func (p *pools) close(t Topology) {
	open := make(map[string]bool, len(t.Runners))
	for _, desc := range t.Runners {
		open[desc.ID] = !t.ZonesOut[desc.Zone] && !t.Draining[desc.ID]
	}
	for id, r := range p.runners {
		if !open[id] {
			r.out.Store(true)
		}
	}
}

// arrange builds the snapshot of the topology from the runners and groups that
// exist.
func (p *pools) arrange(t Topology, view permit.View, now instant) *snapshot {
	next := &snapshot{
		groups:  make(map[groupKey]*group),
		runners: make(map[string]*runner, len(t.Runners)),
	}
	lists := make(map[groupKey]*members)
	ranks := make(map[groupKey]int)
	self := max(0, slices.Index(t.Instances, t.Self))
	for i := range t.Runners {
		desc := t.Runners[i]
		r := p.runner(desc)
		next.runners[desc.ID] = r
		open := !t.ZonesOut[desc.Zone] && !t.Draining[desc.ID]
		place := groupKey{desc.Service, desc.Zone}
		p.open(r, desc, t, view, rounding(ranks[place], self), open, now)
		ranks[place]++
		groups := p.join(next, lists, r, desc, t.Zone, open)
		r.groups.Store(&groups)
	}
	p.publish(next, lists, self, view)
	p.runners, p.groups = next.runners, next.groups
	return next
}

func (p *pools) runner(desc bundle.Runner) *runner {
	if r := p.runners[desc.ID]; r != nil {
		return r
	}
	return newRunner(desc)
}

// rounding spreads the headroom of runners with few places, so that of the
// first runner of a zone free work may have all.
func rounding(rank, self int) float64 {
	if rank == 0 {
		return 0.999
	}
	return frac(float64(rank+self) * golden)
}

// open sets the runner's state and limits. A runner that was not open before
// counts as cold.
func (p *pools) open(
	r *runner, desc bundle.Runner, t Topology, view permit.View,
	offset float64, open bool, now instant,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desc.Store(&desc)
	r.offset = offset
	r.permits.assign(p.cover.Share(desc.ID, desc.ColdSlots), now, longest(t.Longest))
	r.adaptive.bounds(view.Share(desc.ID, desc.Slots), desc.Slots)
	if open && r.out.Load() {
		p.reopen(r, now)
	}
	r.setLimits(p.cfg, now)
	if open {
		r.out.Store(false)
	}
}

// reopen makes the runner cold: one never seen until a report says otherwise,
// one that was out until a report made from now on does.
func (p *pools) reopen(r *runner, now instant) {
	if p.runners[r.id] == nil {
		r.cool(never)
		return
	}
	r.cool(now)
}

// join lists the runner in its groups and returns them.
func (p *pools) join(
	next *snapshot, lists map[groupKey]*members, r *runner, desc bundle.Runner, zone string, open bool,
) []*group {
	models := desc.Models
	if len(models) == 0 {
		models = []string{""}
	}
	groups := make([]*group, 0, len(models))
	for _, model := range models {
		key := groupKey{desc.Service, model}
		g := next.groups[key]
		if g == nil {
			g = p.group(key)
			next.groups[key] = g
			lists[key] = &members{}
		}
		groups = append(groups, g)
		if !open {
			continue
		}
		if m := lists[key]; desc.Zone == zone {
			m.local = append(m.local, r)
		} else {
			m.remote = append(m.remote, r)
		}
	}
	return groups
}

func (p *pools) group(key groupKey) *group {
	if g := p.groups[key]; g != nil {
		return g
	}
	g := &group{key: key}
	g.members.Store(&members{})
	return g
}

// publish puts the lists of runners in force; groups without a runner in the
// topology lose theirs.
func (p *pools) publish(next *snapshot, lists map[groupKey]*members, self int, view permit.View) {
	for key, g := range p.groups {
		if next.groups[key] == nil {
			g.members.Store(&members{})
			p.strand(g)
		}
	}
	for key, m := range lists {
		m.local = p.narrow(m.local, self, view)
		m.remote = p.narrow(m.remote, self, view)
		next.groups[key].members.Store(m)
	}
}
