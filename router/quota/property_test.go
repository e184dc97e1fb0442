package quota_test

import (
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/router/quota"
	"pgregory.net/rapid"
)

// TestSharesProperty sends a team's requests at steady, unequal rates. All
// instances together admit no more than the limit and the burst, and nearly all
// requests that the limit allows.
func TestSharesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "instances")
		ids := make([]string, n)
		rates := make([]int, n)
		offered := 0
		for i := range ids {
			ids[i] = fmt.Sprintf("i%d", i)
			rates[i] = rapid.IntRange(0, 60).Draw(t, "rate")
			offered += rates[i]
		}
		limiters := map[string]quota.Limiter{}
		for _, id := range ids {
			limiters[id] = quota.New()
			limiters[id].SetInstances(ids, id)
		}
		limited := bundle.Team{ID: "t", RatePerSecond: float64(rapid.IntRange(n, 100).Draw(t, "limit"))}
		const settling, seconds = 12, 20
		admitted := 0
		for second := range settling + seconds {
			for i, id := range ids {
				for k := range rates[i] {
					now := start.Add(time.Duration(second)*time.Second + time.Duration(k)*time.Second/time.Duration(rates[i]))
					if ok, _ := limiters[id].Allow(limited, now); ok && second >= settling {
						admitted++
					}
				}
			}
			for _, id := range ids {
				exchange(limiters, id, start.Add(time.Duration(second+1)*time.Second-1))
			}
		}
		allowed := limited.RatePerSecond*(seconds+1) + float64(n)
		if float64(admitted) > allowed*1.01 {
			t.Fatalf("%d admitted of %v allowed", admitted, allowed)
		}
		expected := min(float64(offered), limited.RatePerSecond) * seconds
		if float64(admitted) < 0.85*expected-float64(n) {
			t.Fatalf("%d admitted of %v offered under the limit", admitted, expected)
		}
	})
}
