package entry

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/order"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/quota"
	"cicadawell.dev/router/roster"
	"cicadawell.dev/router/roster/viewlease"
	"cicadawell.dev/router/settings"
	"cicadawell.dev/router/takeout"
)

// topology rebuilds the pools' topology and the limiter's member list whenever
// the bundle, the set of zones and runners taken out, or the membership view
// changes.
type topology struct {
	cfg      settings.Settings
	catalog  *catalog.Current
	takeouts takeout.Takeouts
	roster   roster.Roster
	pools    pool.Pools
	limiter  quota.Limiter
	clk      clock.Clock
	// mu serializes updates, so that the last one has read the newest state
	// of each source.
	mu sync.Mutex
}

// applyBundle puts a bundle in force at this instance.
func (t *topology) applyBundle(b *bundle.Bundle) {
	t.catalog.Advance(catalog.New(*b))
	t.update()
}

// update rebuilds the topology. It is called after each change of a source and
// does nothing while no bundle is in force.
func (t *topology) update() {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, err := t.catalog.Load()
	if err != nil {
		return
	}
	state := t.roster.State()
	members := memberIDs(state.View.Members)
	t.pools.Update(pool.Topology{
		Runners:        current.Bundle().Runners,
		ZonesOut:       t.takeouts.Zones(),
		Draining:       t.takeouts.Runners(),
		Zone:           t.cfg.Zone,
		Instances:      members,
		Self:           t.cfg.ID,
		ViewEffective:  state.Effective,
		AttemptTimeout: maxDeadline(current.Bundle().Pipelines),
	})
	t.extendView()
	t.limiter.SetInstances(members, t.cfg.ID)
}

// maxDeadline returns the longest deadline that a request may set.
func maxDeadline(pipelines []bundle.Pipeline) time.Duration {
	longest := time.Duration(0)
	for _, p := range pipelines {
		longest = max(longest, p.MaxDeadline())
	}
	return longest
}

// extendPeriod is the interval at which extendView is called.
const extendPeriod = 250 * time.Millisecond

// extendView passes the end of this instance's lease on the membership view to
// the pools. Until then the view is certain to be valid.
func (t *topology) extendView() {
	state := t.roster.State()
	t.pools.ExtendView(state.LeaseStart.Add(state.LeaseDuration))
}

// extendPeriodically calls extendView every extendPeriod until ctx ends.
func (t *topology) extendPeriodically(ctx context.Context) error {
	for {
		t.extendView()
		if err := t.clk.Sleep(ctx, extendPeriod); err != nil {
			return err
		}
	}
}

func memberIDs(members []viewlease.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

// Members returns the identifiers of the instances in the view, which share the
// runners.
func (t *topology) Members() []string { return memberIDs(t.roster.State().View.Members) }

// Runners returns the runners of the bundle in force.
func (t *topology) Runners() []bundle.Runner {
	current, err := t.catalog.Load()
	if err != nil {
		return nil
	}
	return current.Bundle().Runners
}

// orderFleet returns the input from which the placement of models is planned.
func (t *topology) orderFleet() order.Fleet {
	runners := t.Runners()
	runnersOut := map[string]bool{}
	for _, r := range runners {
		if t.takeouts.Zones()[r.Zone] || t.takeouts.Runners()[r.ID] {
			runnersOut[r.ID] = true
		}
	}
	return order.Fleet{Runners: runners, Out: runnersOut, Instances: t.Members(), Self: t.cfg.ID}
}
