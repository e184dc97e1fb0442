package permit_test

import (
	"fmt"
	"testing"

	"cicadawell.dev/router/permit"
	"github.com/matryer/is"
)

func TestSharesAddUpToTheSlots(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 5, 13} {
		ids := make([]string, n)
		for i := range ids {
			ids[i] = fmt.Sprintf("instance-%d", i)
		}
		for slots := range 20 {
			sum := 0
			for _, id := range ids {
				sum += permit.NewView(ids, id).Share("runner", slots)
			}
			is.Equal(sum, slots)
		}
		is.Equal(permit.NewView(ids, "stranger").Share("runner", 20), 0)
	}
}
