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

func TestMissedViewsGiveNoShare(t *testing.T) {
	is := is.New(t)
	view := func(ids ...string) permit.View { return permit.NewView(ids, "a") }
	effective := permit.ActiveViews{}.With(view("a", "b"), true)
	is.Equal(effective.Share("r", 4), 2)
	is.Equal(permit.ActiveViews{}.With(view("a"), false).Share("r", 4), 0)
	is.Equal(effective.With(view("a", "b"), false).Share("r", 4), 0)      // the next view is unknown
	is.Equal(effective.With(view("a", "c", "d"), false).Share("r", 4), 0) // more than one change
	is.Equal(effective.With(view("a", "x"), false).Share("r", 4), 0)      // two changes
	pending := effective.With(view("a"), false)
	is.Equal(pending.Share("r", 4), 2)
	is.Equal(pending.With(view("a"), false).Share("r", 4), 2)
	is.Equal(pending.With(view("a"), true).Share("r", 4), 4)
}
