package permit_test

import (
	"fmt"
	"slices"
	"testing"

	"cicadawell.dev/router/permit"
	"pgregory.net/rapid"
)

// TestSharesNeverExceedTheSlotsProperty checks that the shares never exceed the
// slots while some of up to 450 instances use the old view, some the new one and
// some both. More slots would be used than the runner has if an instance gained
// its share in the new view while others still used theirs in the old one.
func TestSharesNeverExceedTheSlotsProperty(t *testing.T) {
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
			views := permit.ActiveViews{}.With(permit.NewView(old, id), true)
			seesNext := rapid.Bool().Draw(t, "moved")
			switch {
			case inEffect && seesNext:
				views = views.With(permit.NewView(next, id), true)
			case inEffect || seesNext:
				views = views.With(permit.NewView(next, id), false)
			}
			sum += views.Share("runner", slots)
		}
		if sum > slots {
			t.Fatalf("%d instances share %d of %d slots", n, sum, slots)
		}
	})
}
