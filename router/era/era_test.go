package era_test

import (
	"slices"
	"testing"

	"cicadawell.dev/router/era"
	"github.com/matryer/is"
)

// TestLaterErasAreAfterAllOfEarlierOnes guards against an item of a store that came back from
// a copy being taken for the older one by its number.
func TestLaterErasAreAfterAllOfEarlierOnes(t *testing.T) {
	is := is.New(t)
	ordered := []era.Revision{{}, era.New(0, 7), era.CarriedInto(1), era.New(1, 1), era.New(1, 900), era.CarriedInto(2), era.New(2, 3), era.New(4, 2)}
	shuffled := []era.Revision{ordered[5], ordered[7], ordered[0], ordered[6], ordered[1], ordered[4], ordered[3], ordered[2]}
	slices.SortFunc(shuffled, era.Revision.Compare)
	is.Equal(shuffled, ordered)
	for n, r := range ordered[1:] {
		is.True(r.After(ordered[n]) && ordered[n].Before(r))
		is.Equal(era.Max(r, ordered[n]), r)
	}
	is.True(ordered[5].Carried() && !ordered[5].Stored())
	is.True(!ordered[1].Carried() && ordered[1].Stored())
	is.True(!ordered[0].Carried()) // a store without eras carries nothing
}
