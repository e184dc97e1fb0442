package retry_test

import (
	"testing"
	"time"

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
