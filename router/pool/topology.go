package pool

import (
	"slices"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/router/permit"
)

// goldenRatio is the fractional part of the golden ratio. The fractional parts
// of its multiples are spread evenly over the interval from 0 to 1.
const goldenRatio = 0.6180339887498949

func (p *pools) Update(t Topology) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.close(t)
	view := permit.NewView(t.Instances, t.Self)
	if len(t.Instances) == 0 && t.Self == "" {
		view = permit.NewView([]string{""}, "")
	}
	p.resetExpiredView(now)
	p.activeViews = p.activeViews.With(view, t.ViewEffective)
	next := p.buildSnapshot(t, view, now)
	p.snapshot.Store(next)
	for _, r := range next.runners {
		p.dispatch(r, now)
	}
	for _, g := range next.groups {
		if g.members.Load().len() == 0 {
			p.rejectWaiters(g)
		}
	}
}

// resetExpiredView discards the known views and shares if the view expired
// since the last topology: other instances may have owned this instance's
// shares in the meantime.
func (p *pools) resetExpiredView(now instant) {
	if !p.viewExpired.Swap(false) && p.viewValid(now) {
		return
	}
	p.activeViews = permit.ActiveViews{}
	for _, r := range p.runners {
		r.mu.Lock()
		r.coldShare = coldShare{}
		r.mu.Unlock()
	}
}

// close disables the runners that may receive no new work under the topology.
// It runs before any other change of Update, so that a slot's Check fails for
// them.
func (p *pools) close(t Topology) {
	enabled := make(map[string]bool, len(t.Runners))
	for _, desc := range t.Runners {
		enabled[desc.ID] = !t.ZonesOut[desc.Zone] && !t.Draining[desc.ID]
	}
	for id, r := range p.runners {
		if !enabled[id] {
			r.disabled.Store(true)
		}
	}
}

// buildSnapshot builds the snapshot of the topology, reusing existing runners
// and groups.
func (p *pools) buildSnapshot(t Topology, view permit.View, now instant) *snapshot {
	next := &snapshot{
		groups:  make(map[groupKey]*group),
		runners: make(map[string]*runner, len(t.Runners)),
	}
	lists := make(map[groupKey]*members)
	ranks := make(map[groupKey]int)
	self := max(0, slices.Index(t.Instances, t.Self))
	for i := range t.Runners {
		desc := t.Runners[i]
		r := p.runnerFor(desc)
		next.runners[desc.ID] = r
		enabled := !t.ZonesOut[desc.Zone] && !t.Draining[desc.ID]
		// The ranks are per service and zone; the zone stands in the key's model.
		zoneKey := groupKey{desc.Service, desc.Zone}
		p.configure(r, desc, t, view, roundingOffsetFor(ranks[zoneKey], self), enabled, now)
		ranks[zoneKey]++
		groups := p.joinGroups(next, lists, r, desc, t.Zone, enabled)
		r.groups.Store(&groups)
	}
	p.publishMembers(next, lists, self, view)
	p.runners, p.groups = next.runners, next.groups
	return next
}

func (p *pools) runnerFor(desc bundle.Runner) *runner {
	if r := p.runners[desc.ID]; r != nil {
		return r
	}
	return newRunner(desc)
}

// roundingOffsetFor returns the offset that spreads the rounding of headrooms
// over runners with few slots. On the first runner of a service in a zone, the
// headroom is rounded down: free work may use the whole limit if the headroom
// is less than one slot.
func roundingOffsetFor(rank, self int) float64 {
	if rank == 0 {
		return 0.999
	}
	return frac(float64(rank+self) * goldenRatio)
}

// configure sets the runner's state and limits. A runner that was disabled
// before counts as cold.
func (p *pools) configure(
	r *runner, desc bundle.Runner, t Topology, view permit.View,
	offset float64, enabled bool, now instant,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desc.Store(&desc)
	r.roundingOffset = offset
	r.coldShare.assign(p.activeViews.Share(desc.ID, desc.ColdSlots), now, attemptTimeoutOrDefault(t.AttemptTimeout))
	r.adaptive.setRange(view.Share(desc.ID, desc.Slots), desc.Slots)
	if enabled && r.disabled.Load() {
		p.markColdOnEnable(r, now)
	}
	r.updateLimits(p.cfg, now)
	if enabled {
		r.disabled.Store(false)
	}
}

// markColdOnEnable marks the runner as cold. For a new runner, any report that
// it is warm ends this; for one that was disabled, only a report made from now
// on.
func (p *pools) markColdOnEnable(r *runner, now instant) {
	if p.runners[r.id] == nil {
		r.markCold(beforeAnyReport)
		return
	}
	r.markCold(now)
}

// joinGroups adds the runner to its groups' lists and returns the groups.
func (p *pools) joinGroups(
	next *snapshot, lists map[groupKey]*members, r *runner, desc bundle.Runner, zone string, enabled bool,
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
			g = p.groupFor(key)
			next.groups[key] = g
			lists[key] = &members{}
		}
		groups = append(groups, g)
		if !enabled {
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

func (p *pools) groupFor(key groupKey) *group {
	if g := p.groups[key]; g != nil {
		return g
	}
	g := &group{key: key}
	g.members.Store(&members{})
	return g
}

// publishMembers publishes the lists of runners. Groups without a runner in the
// topology get an empty list.
func (p *pools) publishMembers(next *snapshot, lists map[groupKey]*members, self int, view permit.View) {
	for key, g := range p.groups {
		if next.groups[key] == nil {
			g.members.Store(&members{})
			p.rejectWaiters(g)
		}
	}
	for key, m := range lists {
		m.local = p.selectRunners(m.local, self, view)
		m.remote = p.selectRunners(m.remote, self, view)
		next.groups[key].members.Store(m)
	}
}
