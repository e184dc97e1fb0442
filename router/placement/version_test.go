package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"

	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
)

// withVersions gives every second engine another version.
func withVersions(w *fixture) {
	s := *w.current.Load()
	s.Revision.Number++
	s.Runners = make(map[string]*inventory.Runner)
	for id, r := range w.current.Load().Runners {
		next := *r
		next.Version = map[bool]string{true: "v1", false: "v2"}[id == "e0" || id == "e2"]
		s.Runners[id] = &next
	}
	w.current.Advance(&s)
}

// ofVersion returns a request for engines of a version.
func ofVersion(n int, version string) placement.Request {
	r := request(fmt.Sprint(n), fmt.Sprint("s", n), 10_000)
	r.Version = &version
	r.Accepts = func(t *target.Target) bool { return t.Runner().Version == version }
	return r
}

// TestStreamsArePlacedAtTheirVersion guards against owners that place them at any, as those
// of older builds do.
func TestStreamsArePlacedAtTheirVersion(t *testing.T) {
	for _, build := range []string{"no", "this", "older"} {
		t.Run(build+" owner", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				other, self := newFixture(t, 4, "other"), newFixture(t, 4, "other")
				withVersions(other)
				withVersions(self)
				m, peer := &fakeMesh{handlers: map[string]instance.Handler{}}, &fakeMesh{handlers: map[string]instance.Handler{}}
				_ = sharedPlacer(other, "other", peer)
				if build == "older" {
					peer.handlers["placement.engine"] = withoutVersion(peer.handlers["placement.engine"])
				}
				m.peer = peer
				p := sharedPlacer(self, "self", m)
				if build == "no" {
					p = self.local
				}
				for n := range 40 {
					want := []string{"v1", "v2"}[n%2]
					place := p.Place(t.Context(), ofVersion(n, want))
					is.Equal(place.Target().Runner().Version, want)
					synctest.Wait()
					if build == "this" {
						is.Equal(m.calls[len(m.calls)-1], "other placement.engine") // the owner tracks it
					}
					place.Ended()
					synctest.Wait()
				}
				if place := p.Place(t.Context(), ofVersion(41, "v3")); place != nil {
					t.Errorf("placed at %q", place.Target().Runner().ID)
				}
			})
		})
	}
}

// withoutVersion handles messages as an older build does.
func withoutVersion(h instance.Handler) instance.Handler {
	return func(ctx context.Context, from string, params json.RawMessage) (any, error) {
		var fields map[string]any
		if err := json.Unmarshal(params, &fields); err != nil {
			return nil, err
		}
		delete(fields, "version")
		params, err := json.Marshal(fields)
		if err != nil {
			return nil, err
		}
		return h(ctx, from, params)
	}
}
