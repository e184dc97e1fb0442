package proof_test

import (
	"os"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/soak"
	"github.com/matryer/is"
)

// TestSoak runs short soaks of overlapping faults with fixed seeds.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		name   string
		seed   uint64
		faults time.Duration
	}{
		{"two", 2, 6 * time.Second},
		{"three", 3, 6 * time.Second},
		{"half of a view leaves without the store", 1, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			defer func() { <-fleetSlots }()
			is.New(t).NoErr(soak.Run(t.Context(), soak.Config{
				Bin: bin, Seed: c.seed, Size: "demo", Routers: 4, Faults: c.faults, Out: os.Stdout, Clock: clock.System(),
			}))
		})
	}
}
