package proof_test

import (
	"os"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/soak"
	"github.com/matryer/is"
)

// TestSoak plays two seeds of overlapping faults, for a short time.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{2, 3} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			fleets <- struct{}{}
			defer func() { <-fleets }()
			is.New(t).NoErr(soak.Run(t.Context(), soak.Config{
				Bin: bin, Seed: seed, Size: "demo", Routers: 4, Faults: 6 * time.Second, Out: os.Stdout, Clock: clock.System(),
			}))
		})
	}
}
