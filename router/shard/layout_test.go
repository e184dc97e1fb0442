package shard_test

import (
	"fmt"
	"slices"
	"testing"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"github.com/matryer/is"
)

// fleet describes the runners of a snapshot: how many of a service are in each
// zone.
type fleet map[string]map[string]int

// snapshot returns a snapshot in which "engines" are engines, and all other
// services make pieces.
func (f fleet) snapshot(t testing.TB) *inventory.Snapshot {
	t.Helper()
	cfg := routing.Config{Version: 1}
	s := &inventory.Snapshot{Revision: era.New(0, 1), Runners: make(map[string]*inventory.Runner), ZonesOut: make(map[string]bool)}
	for service, zones := range f {
		svc := routing.Service{Name: service, Batches: &routing.Batches{MaxPieces: 8}}
		if service == "engines" {
			svc = routing.Service{Name: service, Engine: &routing.Engine{}}
		}
		cfg.Services = append(cfg.Services, svc)
		for zone, n := range zones {
			for i := range n {
				id := fmt.Sprint(service, "-", zone, "-", i)
				s.Runners[id] = &inventory.Runner{ID: id, Service: service, Zone: zone}
			}
		}
	}
	table, err := routing.NewTable(cfg)
	is.New(t).NoErr(err)
	s.Table = table
	return s
}

// even returns n runners in each of some zones.
func even(zones, n int) map[string]int {
	out := make(map[string]int)
	for i := range zones {
		out[fmt.Sprint("z", i)] = n
	}
	return out
}

// TestZoneWithoutVersionsInUseIsNoShard guards against calls that are sent to a zone whose
// runners all have a version that gets none, or few.
func TestZoneWithoutVersionsInUseIsNoShard(t *testing.T) {
	for _, c := range []struct {
		name  string
		state rollout.State
		zones []string
	}{
		{"no rollout", rollout.State{}, []string{"z0", "z1", "z2"}},
		{"small share", rollout.State{Target: "v2", Phase: rollout.Running, Share: 0.05}, []string{"z0", "z1"}},
		{"share 1", rollout.State{Target: "v2", Phase: rollout.Running, Share: 1}, []string{"z1", "z2"}},
		{"rolled back", rollout.State{Target: "v2", Phase: rollout.RolledBack}, []string{"z0", "z1"}},
		{"completed", rollout.State{Target: "v2", Phase: rollout.Completed, Barred: []string{"v1"}}, []string{"z1", "z2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := fleet{"s": even(3, 10), "engines": even(6, 40)}.snapshot(t)
			for id, r := range s.Runners {
				// z0 has runners of v1, z2 of v2, z1 of both.
				r.Version = "v1"
				if r.Zone == "z2" || (r.Zone == "z1" && id[len(id)-1]%2 == 0) {
					r.Version = "v2"
				}
			}
			s.Rollouts = map[string]rollout.State{"s": c.state}
			zones := shard.NewLayout(s).RankZones("key", []string{"s"})
			slices.Sort(zones)
			is.New(t).Equal(zones, c.zones)
		})
	}
}

func TestServicesOfLargeFleetsAreDivided(t *testing.T) {
	for name, c := range map[string]struct {
		fleet fleet
		want  bool
	}{
		"small fleet":              {fleet{"s": even(4, 2), "engines": even(4, 2)}, false},
		"one owner is enough":      {fleet{"s": even(4, 6), "engines": even(4, 25)}, false},
		"large fleet":              {fleet{"s": even(6, 6), "engines": even(6, 40)}, true},
		"few runners in each zone": {fleet{"s": even(6, 2), "engines": even(6, 40)}, false},
		"one zone":                 {fleet{"s": even(1, 60), "engines": even(1, 240)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := shard.NewLayout(c.fleet.snapshot(t))
			is.Equal(l.Divided("s"), c.want)
			want := shard.Whole("s")
			if c.want {
				want.Zone = "z0"
			}
			is.Equal(l.Of("s", "z0"), want)
			is.Equal(l.Of("unknown", "z0"), shard.Whole("unknown"))
		})
	}
}

// large is a fleet whose services are divided.
func large() fleet { return fleet{"s": even(6, 6), "engines": even(6, 40)} }

// TestLossesKeepTheLayout loses a third of the runners of one service, and then a
// zone.
func TestLossesKeepTheLayout(t *testing.T) {
	is := is.New(t)
	s := large().snapshot(t)
	for i := range 6 {
		s.Runners[fmt.Sprint("s-z", i, "-0")].Draining = true
		delete(s.Runners, fmt.Sprint("s-z", i, "-1"))
	}
	is.True(shard.NewLayout(s).Divided("s"))
	s = large().snapshot(t)
	s.ZonesOut["z2"] = true
	l := shard.NewLayout(s)
	is.True(l.Divided("s"))
	other := l.Of("s", "z2") // calls whose zone was taken out meanwhile
	is.True(other.Zone != "z2" && other.Zone != "")
	is.Equal(len(l.RankZones("k", []string{"s"})), 5)
}

// TestKeysAreSpreadByRunners ranks the zones of many keys. A zone with twice the
// runners gets about twice the keys, limited by its scarcest service, and keys
// whose zone stays keep it when another zone is lost.
func TestKeysAreSpreadByRunners(t *testing.T) {
	is := is.New(t)
	f := fleet{
		"s":       {"a": 20, "b": 10, "c": 10},
		"engines": {"a": 100, "b": 100, "c": 100, "d": 100},
	}
	s := f.snapshot(t)
	before := shard.NewLayout(s)
	s.ZonesOut = map[string]bool{"c": true}
	after := shard.NewLayout(s)
	const keys = 4000
	first := make(map[string]int)
	moved := 0
	for i := range keys {
		key := fmt.Sprint("part", i)
		zones := before.RankZones(key, []string{"s", "engines"})
		is.Equal(len(zones), 3) // d makes no pieces
		first[zones[0]]++
		if next := after.RankZones(key, []string{"s", "engines"})[0]; next != zones[0] && zones[0] != "c" {
			moved++
		}
	}
	is.True(first["a"] < keys*2/5 && first["a"] > keys/4) // by its engines, not by its pieces
	is.True(first["b"] > keys/5 && first["c"] > keys/5)
	is.True(moved < keys/5)
}
