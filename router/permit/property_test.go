package permit_test

import (
	"fmt"
	"slices"
	"testing"

	"cicadawell.dev/router/permit"
	"pgregory.net/rapid"
)

// TestCoverProperty mixes instances that follow the old view, both, or the new
// one, for up to 450 of them: their shares never exceed the slots.
func TestCoverProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 5, 30, 450}).Draw(t, "instances")
		old := make([]string, n)
		for i := range old {
			old[i] = fmt.Sprintf("instance-%03d", i)
		}
		next := slices.Clone(old)
		if rapid.Bool().Draw(t, "joins") || n == 1 {
			next = append(next, "joiner")
		} else {
			i := rapid.IntRange(0, n-1).Draw(t, "leaver")
			next = slices.Delete(next, i, i+1)
		}
		slots := rapid.IntRange(1, 2*n).Draw(t, "slots")
		inEffect := rapid.Bool().Draw(t, "inEffect")
		sum := 0
		for _, id := range append(slices.Clone(old), "joiner") {
			cover := permit.Cover{}.With(permit.NewView(old, id), true)
			moved := rapid.Bool().Draw(t, "moved")
			switch {
			case inEffect && moved:
				cover = cover.With(permit.NewView(next, id), true)
			case inEffect || moved:
				cover = cover.With(permit.NewView(next, id), false)
			}
			sum += cover.Share("runner", slots)
		}
		if sum > slots {
			t.Fatalf("%d instances share %d of %d slots", n, sum, slots)
		}
	})
}
