package main

import (
	"sync"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/quota"
	"cicadawell.dev/router/settings"
)

// absences tells which availability zones and runners receive no new work.
type absences interface {
	Zones() map[string]bool
	Runners() map[string]bool
}

// topology puts what the pools choose from together whenever the bundle, the
// orders to take out or the view change.
type topology struct {
	cfg     settings.Settings
	catalog *catalog.Current
	out     absences
	roster  ledger.Roster
	pools   pool.Pools
	quotas  quota.Quotas
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
	view := t.roster.View()
	t.pools.Update(pool.Topology{
		Runners:   current.Bundle().Runners,
		ZonesOut:  t.out.Zones(),
		Draining:  t.out.Runners(),
		Zone:      t.cfg.Zone,
		Instances: view.Members,
		Self:      t.cfg.ID,
		Settled:   true,
	})
	t.quotas.Update(view.Members, t.cfg.ID)
}

// Members returns the instances that share the runners.
func (t *topology) Members() []string { return t.roster.View().Members }

// Runners returns the runners of the bundle in force.
func (t *topology) Runners() []bundle.Runner {
	current, err := t.catalog.Load()
	if err != nil {
		return nil
	}
	return current.Bundle().Runners
}
