package routing_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 500) }

// drawConfig draws a configuration whose routes and teams often equal those of others.
func drawConfig(t *rapid.T, version int64) routing.Config {
	cfg := routing.Config{Version: version, Services: services, Limits: routing.Limits{BodyBytes: rapid.Int64Range(0, 2).Draw(t, "body")}}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 12), 0, 10, rapid.ID).Draw(t, "routes") {
		r := route(fmt.Sprint("r", n), fmt.Sprint("h", n%3), fmt.Sprintf("/%d/", n))
		r.Priority = rapid.IntRange(0, 1).Draw(t, "priority")
		cfg.Routes = append(cfg.Routes, r)
	}
	for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID).Draw(t, "teams") {
		cfg.Teams = append(cfg.Teams, routing.Team{Name: fmt.Sprint("t", n), Keys: []string{fmt.Sprint("k", rapid.IntRange(0, 1).Draw(t, "key"))}})
	}
	return cfg
}

func TestPatchGivesTheSameConfigurationProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base, err := routing.NewTable(drawConfig(rt, 3))
		if err != nil {
			rt.Fatal(err)
		}
		next, err := routing.NewTable(drawConfig(rt, 4))
		if err != nil {
			rt.Fatal(err)
		}
		for _, from := range []*routing.Table{nil, base} {
			raw, err := json.Marshal(routing.NewPatch(from, next))
			if err != nil {
				rt.Fatal(err)
			}
			var p routing.Patch
			if err := json.Unmarshal(raw, &p); err != nil {
				rt.Fatal(err)
			}
			got, err := p.Apply(base)
			if err != nil {
				rt.Fatal(err)
			}
			if !reflect.DeepEqual(got, next.Config()) {
				rt.Fatalf("%+v, want %+v", got, next.Config())
			}
		}
	})
}

func TestPatchHasOnlyWhatDiffers(t *testing.T) {
	is := is.New(t)
	cfg := routing.Config{Version: 3, Services: services}
	for i := range 1000 {
		cfg.Routes = append(cfg.Routes, route(fmt.Sprint("r", i), "h", fmt.Sprintf("/%d/", i)))
	}
	base := table(t, cfg)
	changed := cfg
	changed.Version = 4
	changed.Routes = append(append([]routing.Route(nil), cfg.Routes[:500]...), cfg.Routes[501:]...)
	changed.Routes[700].Priority = 7
	p := routing.NewPatch(base, table(t, changed))
	items := 0
	for _, r := range p.Routes {
		items += len(r.Items)
	}
	is.Equal(items, 1)
	is.Equal(len(p.Routes), 3) // before the removed route, up to the changed one, and the rest
}

func TestInvalidPatchesAreRejected(t *testing.T) {
	base := table(t, routing.Config{Version: 3, Services: services, Routes: []routing.Route{route("r", "h", "/")}})
	for field, p := range map[string]routing.Patch{
		"base":   {Base: 2, Version: 4},
		"routes": {Base: 3, Version: 4, Routes: []routing.Run[routing.Route]{{From: 1, Count: 1}}},
		"teams":  {Base: 3, Version: 4, Teams: []routing.Run[routing.Team]{{From: -1, Count: 1}}},
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			_, err := p.Apply(base)
			is.Equal(fault.Of(err).Kind(), fault.BadRequest)
			is.Equal(fault.Of(err).Field(), field)
		})
	}
}
