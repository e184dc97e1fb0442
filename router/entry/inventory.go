package entry

import (
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/takeout"
)

// inventory lists the zones and runners of the bundle in force with the number
// of calls that this instance has in flight there.
type inventory struct {
	catalog *catalog.Current
	pools   pool.Pools
}

func newInventory(c *catalog.Current, pools pool.Pools) *inventory {
	return &inventory{catalog: c, pools: pools}
}

// Names returns a row for each zone or runner.
func (i *inventory) Names(k takeout.Kind) []operatorapi.TakeoutStatus {
	c, err := i.catalog.Load()
	if err != nil {
		return nil
	}
	if k == takeout.Zone {
		return i.zones(c)
	}
	return i.runners(c)
}

func (i *inventory) zones(c *catalog.Catalog) []operatorapi.TakeoutStatus {
	inFlight := map[string]int{}
	for _, row := range i.pools.Status() {
		inFlight[row.Zone] += row.InFlight
	}
	var rows []operatorapi.TakeoutStatus
	for _, z := range c.Bundle().Zones {
		row := operatorapi.TakeoutStatus{InFlight: inFlight[z.ID]}
		row.Name = z.ID
		rows = append(rows, row)
	}
	return rows
}

func (i *inventory) runners(c *catalog.Catalog) []operatorapi.TakeoutStatus {
	inFlight := map[string]int{}
	for _, row := range i.pools.Status() {
		inFlight[row.Runner] = row.InFlight
	}
	var rows []operatorapi.TakeoutStatus
	for _, r := range c.Bundle().Runners {
		row := operatorapi.TakeoutStatus{Service: r.Service, Zone: r.Zone, InFlight: inFlight[r.ID]}
		row.Name = r.ID
		rows = append(rows, row)
	}
	return rows
}
