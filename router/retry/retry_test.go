package retry_test

import (
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/retry"
	"github.com/matryer/is"
)

type latencies struct{}

func (latencies) Percentiles(string, int) (median, high time.Duration, ok bool) {
	return time.Millisecond, time.Second, true
}

func TestRetriesAreAShareOfSuccesses(t *testing.T) {
	is := is.New(t)
	b := retry.New(latencies{}, retry.WithShare(0.1), retry.WithBurst(2))
	is.True(b.Allow("s"))
	is.True(b.Allow("s"))
	is.True(!b.Allow("s"))
	for range 100 {
		b.Success("s")
	}
	is.True(b.Allow("s"))
	is.True(b.Allow("s"))
	is.True(!b.Allow("s")) // the budget is capped at the burst
	is.True(b.Allow("other"))
	d, ok := b.HedgeAfter("p", 0)
	is.True(ok)
	is.Equal(d, time.Second)
}

// TestBudgetsOfQuietInstancesRefill has an instance whose share of the successes
// gives it less than one attempt in a window. Over any window it gets at most its
// maximum twice.
func TestBudgetsOfQuietInstancesRefill(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	b := retry.New(nil, retry.WithShare(0.1), retry.WithRefill(clk, 10*time.Second), retry.WithBurstFunc(func() float64 { return 2.5 }))
	is.True(!b.Allow("s")) // a restart adds nothing
	clk.Advance(4 * time.Second)
	is.True(b.Allow("s"))
	is.True(!b.Allow("s"))
	clk.Advance(time.Hour)
	allowed := 0
	for range 100 {
		if b.Allow("s") {
			allowed++
		}
		clk.Advance(100 * time.Millisecond)
	}
	is.True(allowed >= 4 && allowed <= 5)
}
