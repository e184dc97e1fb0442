package proof_test

import (
	"os"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/soak"
	"github.com/matryer/is"
)

// TestSoak plays some seeds of overlapping faults, for a short time.
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
			fleets <- struct{}{}
			defer func() { <-fleets }()
			is.New(t).NoErr(soak.Run(t.Context(), soak.Config{
				Bin: bin, Seed: c.seed, Size: "demo", Routers: 4, Faults: c.faults, Out: os.Stdout, Clock: clock.System(),
			}))
		})
	}
}
