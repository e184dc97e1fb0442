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
	"cicadawell.dev/router/roster/hold"
	"cicadawell.dev/router/settings"
	"cicadawell.dev/router/takeout"
)

// topology puts what the pools choose from together whenever the bundle, the
// orders to take out or the view change.
type topology struct {
	cfg     settings.Settings
	catalog *catalog.Current
	out     takeout.Takeouts
	roster  roster.Roster
	pools   pool.Pools
	quotas  quota.Quotas
	clk     clock.Clock
	// mu makes updates follow one another, so that the last one has read
	// the newest of each part.
	mu sync.Mutex
}

// adopt puts a bundle in force here.
func (t *topology) adopt(b *bundle.Bundle) {
	t.catalog.Advance(catalog.New(*b))
	t.update()
}

// update is called after each change of a part.
func (t *topology) update() {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, err := t.catalog.Load()
	if err != nil {
		return
	}
	state := t.roster.State()
	members := ids(state.View.Members)
	t.pools.Update(pool.Topology{
		Runners:   current.Bundle().Runners,
		ZonesOut:  t.out.Zones(),
		Draining:  t.out.Runners(),
		Zone:      t.cfg.Zone,
		Instances: members,
		Self:      t.cfg.ID,
		Settled:   state.Effective,
		Longest:   longest(current.Bundle().Pipelines),
	})
	t.renew()
	t.quotas.Update(members, t.cfg.ID)
}

// longest returns the longest deadline that a request may name.
func longest(pipelines []bundle.Pipeline) time.Duration {
	most := time.Duration(0)
	for _, p := range pipelines {
		most = max(most, p.MaxDeadline())
	}
	return most
}

// renewPeriod is how often the pools learn how long the view is sure to stand.
const renewPeriod = 250 * time.Millisecond

// renew tells the pools how long the view is sure to stand.
func (t *topology) renew() {
	state := t.roster.State()
	t.pools.Hold(state.Held.Add(state.Hold))
}

// follow renews until ctx ends.
func (t *topology) follow(ctx context.Context) error {
	for {
		t.renew()
		if err := t.clk.Sleep(ctx, renewPeriod); err != nil {
			return err
		}
	}
}

func ids(members []hold.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

// Members returns the instances that share the runners.
func (t *topology) Members() []string { return ids(t.roster.State().View.Members) }

// Runners returns the runners of the bundle in force.
func (t *topology) Runners() []bundle.Runner {
	current, err := t.catalog.Load()
	if err != nil {
		return nil
	}
	return current.Bundle().Runners
}

// orders returns what the placement of models is planned from.
func (t *topology) orders() order.Fleet {
	runners := t.Runners()
	out := map[string]bool{}
	for _, r := range runners {
		if t.out.Zones()[r.Zone] || t.out.Runners()[r.ID] {
			out[r.ID] = true
		}
	}
	return order.Fleet{Runners: runners, Out: out, Instances: t.Members(), Self: t.cfg.ID}
}
