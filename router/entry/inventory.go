package entry

import (
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/takeout"
)

// inventory lists the zones and runners of the bundle in force with the work
// that this instance has there.
type inventory struct {
	catalog *catalog.Current
	pools   pool.Pools
}

func newInventory(c *catalog.Current, pools pool.Pools) *inventory {
	return &inventory{catalog: c, pools: pools}
}

// Names returns a row for each zone or runner.
func (i *inventory) Names(k takeout.Kind) []operatorapi.TakeoutStatus {
	current, err := i.catalog.Load()
	if err != nil {
		return nil
	}
	if k == takeout.Zone {
		return i.zones(current)
	}
	return i.runners(current)
}

func (i *inventory) zones(c *catalog.Catalog) []operatorapi.TakeoutStatus {
	busy := map[string]int{}
	for _, row := range i.pools.Status() {
		busy[row.Zone] += row.InFlight
	}
	var rows []operatorapi.TakeoutStatus
	for _, z := range c.Bundle().Zones {
		row := operatorapi.TakeoutStatus{InFlight: busy[z.ID]}
		row.Name = z.ID
		rows = append(rows, row)
	}
	return rows
}

func (i *inventory) runners(c *catalog.Catalog) []operatorapi.TakeoutStatus {
	busy := map[string]int{}
	for _, row := range i.pools.Status() {
		busy[row.Runner] = row.InFlight
	}
	var rows []operatorapi.TakeoutStatus
	for _, r := range c.Bundle().Runners {
		row := operatorapi.TakeoutStatus{Service: r.Service, Zone: r.Zone, InFlight: busy[r.ID]}
		row.Name = r.ID
		rows = append(rows, row)
	}
	return rows
}
