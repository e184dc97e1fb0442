package ledger

import (
	"testing"
	"time"

	"cicadawell.dev/router/roster/hold"
	"github.com/matryer/is"
)

// TestHandoverOfASlotThatMovedOnIsPassedOn has a slot move twice before its
// handover comes: from a to b to c.
func TestHandoverOfASlotThatMovedOnIsPassedOn(t *testing.T) {
	is := is.New(t)
	a, b, c := hold.Member{ID: "a"}, hold.Member{ID: "b"}, hold.Member{ID: "c"}
	second := hold.View{Epoch: 2, Members: []hold.Member{a, b}, Prior: []hold.Member{a}}
	third := hold.View{Epoch: 3, Members: []hold.Member{a, b, c}, Prior: []hold.Member{a, b}}
	vouched := time.Unix(1000, 0)
	gained, moved := slotTimes{}, 0
	for slot := range hold.Slot(hold.Slots) {
		if home, _ := hold.HomeOf(second.Members, slot); home != b {
			continue
		}
		gained[slot] = vouched
		if home, _ := hold.HomeOf(third.Members, slot); home == c {
			moved++
		}
	}
	is.True(moved > 0)

	cover := newCoverage(time.Second, time.Second)
	cover.advance(hold.State{Self: b, View: second})
	cover.advance(hold.State{Self: b, View: third})
	is.Equal(len(cover.drain()), 0) // nothing is known of the slots yet
	cover.receive(handoverID{2, a}, gained)
	yields := cover.drain()
	is.Equal(len(yields), 1)
	is.Equal(yields[0].epoch, uint64(3))
	is.Equal(len(yields[0].slots[c]), moved)
	for _, from := range yields[0].slots[c] {
		is.Equal(from, vouched)
	}
	cover.receive(handoverID{2, a}, gained)
	is.Equal(len(cover.drain()), 0) // once
}

// TestSlotGainedInAMissedViewIsTakenOver has an instance join in a view that it
// never sees, since the next one follows at once.
func TestSlotGainedInAMissedViewIsTakenOver(t *testing.T) {
	is := is.New(t)
	a, b, c := hold.Member{ID: "a"}, hold.Member{ID: "b"}, hold.Member{ID: "c"}
	first := hold.View{Epoch: 1, Members: []hold.Member{a}}
	joined := []hold.Member{a, b}
	third := hold.View{Epoch: 3, Members: []hold.Member{a, b, c}, Prior: joined}
	now := time.Unix(1000, 0)
	gained, kept, moved := slotTimes{}, 0, 0
	for slot := range hold.Slot(hold.Slots) {
		if home, _ := hold.HomeOf(joined, slot); home != b {
			continue
		}
		gained[slot] = time.Time{}
		if home, _ := hold.HomeOf(third.Members, slot); home == b {
			kept++
		} else {
			moved++
		}
	}

	cover := newCoverage(time.Second, time.Second)
	cover.advance(hold.State{Self: b, View: first, Effective: true})
	cover.advance(hold.State{Self: b, View: third, Effective: true, EffectiveAt: now})
	cover.receive(handoverID{2, a}, gained)
	vouched := 0
	for slot := range gained {
		if cover.vouch(slot, now, now) == nil {
			vouched++
		}
	}
	is.Equal(vouched, kept) // those that stayed are served at once
	yields := cover.drain()
	is.Equal(len(yields), 1)
	is.Equal(len(yields[0].slots[c]), moved) // the others are passed on
}
