package inventory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"github.com/matryer/is"
)

func TestOldViewIsOutdatedOnlyWhileNewerOneArrives(t *testing.T) {
	for name, c := range map[string]struct {
		age, arriving time.Duration
		want          bool
	}{
		"old, without an answer":                {age: 3 * time.Second},
		"old, with an answer that just began":   {age: 3 * time.Second, arriving: 200 * time.Millisecond},
		"old, with an answer that takes long":   {age: 3 * time.Second, arriving: time.Second, want: true},
		"young, with an answer that takes long": {age: time.Second, arriving: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clk := clock.System()
				current := inventory.NewCurrent(clk, inventory.WithMaxOutdated(1300*time.Millisecond))
				current.Confirm(clk.Now())
				is.NoErr(clk.Sleep(t.Context(), c.age))
				if c.arriving > 0 {
					current.BeginArrival(clk.Now().Add(-c.arriving))
				}
				is.Equal(current.Outdated(), c.want)
				current.EndArrival()
				is.Equal(current.Outdated(), false)
			})
		})
	}
}
