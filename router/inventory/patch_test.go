package inventory_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/router/inventory"
	"github.com/matryer/is"
)

// TestBuildsWithAndWithoutPatchesShareConfigurations guards against instances that miss a
// configuration while a fleet is upgraded one by one.
func TestBuildsWithAndWithoutPatchesShareConfigurations(t *testing.T) {
	for name, unpatched := range map[string]func(f *fleet, n *node) bool{
		"lead of an older build":  func(f *fleet, n *node) bool { return n == f.lead() },
		"lead of this build":      func(f *fleet, n *node) bool { return n != f.lead() },
		"no instance of an older": func(*fleet, *node) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, stop := newFleet(t, 4)
				defer stop()
				sleep(t, 5*time.Second)
				for _, n := range f.nodes {
					n.unpatched.Store(unpatched(f, n))
				}
				for version := int64(2); version <= 3; version++ {
					f.log.add(inventory.Change{Table: largeConfig(t, version, 1398+int(version))})
					sleep(t, propagationBound)
				}
				for _, n := range f.nodes {
					is.Equal(n.current.Load().Table.Version(), int64(3))
					is.Equal(n.current.Load().Table.Config(), largeConfig(t, 3, 1401).Config())
				}
			})
		})
	}
}

// TestAnswersHaveOnlyWhatTheRequesterLacks checks the size and the form of answers with a
// large configuration.
func TestAnswersHaveOnlyWhatTheRequesterLacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 2)
		defer stop()
		f.log.add(inventory.Change{Table: largeConfig(t, 2, 1400)})
		sleep(t, 5*time.Second)
		f.log.add(inventory.Change{Table: largeConfig(t, 3, 1401)})
		sleep(t, 5*time.Second)
		ask := func(version int64, field string) (size int, answer map[string]any) {
			got, err := f.lead().handlers["inventory.get"](t.Context(), "x", json.RawMessage(fmt.Sprintf(`{"version":%d%s}`, version, field)))
			is.NoErr(err)
			raw, err := json.Marshal(got)
			is.NoErr(err)
			is.NoErr(json.Unmarshal(raw, &answer))
			return len(raw), answer
		}
		const patches = `,"patches":true`
		size, answer := ask(0, "")
		is.True(size > 500_000 && answer["config"] != nil && answer["compressed"] == nil)
		size, answer = ask(0, patches)
		is.True(size < 100_000 && answer["compressed"] != nil && answer["config"] == nil)
		size, answer = ask(2, patches)
		is.True(size < 2000 && answer["patch"] != nil)
		size, answer = ask(3, patches)
		is.True(size < 1000 && answer["patch"] == nil && answer["config"] == nil)
	})
}

// TestPatchesReachInstancesTwoVersionsBehind guards against whole configurations after a missed version.
func TestPatchesReachInstancesTwoVersionsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, stop := newFleet(t, 2)
		defer stop()
		for version := int64(2); version <= 4; version++ {
			f.log.add(inventory.Change{Table: largeConfig(t, version, 1398+int(version))})
			sleep(t, propagationBound)
		}
		got, err := f.lead().handlers["inventory.get"](t.Context(), "x", json.RawMessage(`{"version":2,"patches":true}`))
		is.NoErr(err)
		raw, err := json.Marshal(got)
		is.NoErr(err)
		is.True(len(raw) < 4000)
		var answer struct {
			Patch *struct{ Base, Version int64 }
		}
		is.NoErr(json.Unmarshal(raw, &answer))
		is.True(answer.Patch != nil)
		is.Equal(answer.Patch.Base, int64(2))
		is.Equal(answer.Patch.Version, int64(4))
	})
}
