package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestModelReleasesAllSlots runs the model with every kind of event, also under
// the race detector, and checks that nothing is in flight or queued at the end.
func TestModelReleasesAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel(scenario{
			seed: 1, duration: 3 * time.Second, paying: 0.6, free: 0.8,
			events: []event{
				{0.3, func(m *model) { m.engines["generate-1"].turnCold() }},
				{0.5, func(m *model) { m.setZone("zone-2", true) }},
				{0.8, func(m *model) { m.setZone("zone-2", false) }},
			},
		})
		m.run(t.Context())
		for _, p := range m.pools {
			for _, row := range p.Status() {
				is.Equal(row.InFlight, 0)
				is.Equal(row.Queued, 0)
			}
		}
		for _, e := range m.order {
			is.Equal(e.running, 0)
		}
	})
}
